//! Drives one model request: decode room, prefill, decode, and its events to the caller.

use std::time;

use bytes::Bytes;
use hyper::Response;

use rhubarb_core::{engine, engines, flow, ids, outcome, pool, routing, sse};
use rhubarb_node::{clock, responder, response};
use rhubarb_platform::{request, response as forms};

use outcome::{Outcome, RETRY_SOON, Reason, Refusal};

use crate::{call, connections, directory, exchange, prefill, reader, refuse, reservation};

/// One model request on its way.
#[derive(Debug)]
pub(crate) struct Streaming {
    call: call::Call,
    reply: responder::Responder,
    flow: flow::Flow,
    need: engine::Need,
    room: Option<reservation::Reservation>,
    // Room elsewhere for a stream that is to be moved.
    spare: Option<reservation::Reservation>,
    cache: Option<prefill::KvCache>,
    last_event: Option<u64>,
    events: u64,
    first_at: Option<time::Instant>,
    last_at: Option<time::Instant>,
    longest_pause: time::Duration,
}

/// Time from the end of a prefill to the first event: transfer, messages, one batch of steps.
const FIRST_EVENT: time::Duration = time::Duration::from_millis(130);
/// A request that can no longer be in time waits this long: any caller bears so long a silence
/// before the first event, by the platform's pages.
const LATE_WAIT: time::Duration = time::Duration::from_secs(2);
/// Part of the expected time of an answer that must be left: what callers say of its length is
/// often off.
const LEAST_SHARE: f64 = 0.8;
/// A stream that can go on elsewhere is offered to other servers after each silence of this
/// length.
const STALL: time::Duration = time::Duration::from_millis(1_500);
/// A stream that broke off waits this long for room elsewhere.
const RESUME_WAIT: time::Duration = time::Duration::from_millis(1_000);
/// Events after which the growth of a run is noted again, from the first one on: a few in a
/// hundred of its memory.
const PROGRESS_EVENTS: u64 = 8;
/// Need of a request that does not tell its size.
const UNKNOWN_NEED: engine::Need = engine::Need { prompt: 1_000, output: 500 };

impl Streaming {
    pub(crate) fn new(call: call::Call, reply: responder::Responder) -> Streaming {
        let last_event = call.head.last_event;
        Streaming {
            need: call.head.need.unwrap_or(UNKNOWN_NEED),
            flow: flow::Flow::new(flow::Path::Staged, call.retry_policy(flow::MAX_RETRIES)),
            call,
            reply,
            room: None,
            spare: None,
            cache: None,
            last_event,
            events: 0,
            first_at: None,
            last_at: None,
            longest_pause: time::Duration::ZERO,
        }
    }

    /// Runs the request to its one outcome.
    pub(crate) async fn drive(mut self) {
        let take = async |request: &mut Streaming, step| request.take_step(step).await;
        flow::drive(&mut self, |request| &mut request.flow, take).await;
    }

    async fn take_step(&mut self, step: flow::Step) -> Option<flow::Event> {
        match step {
            flow::Step::Reserve => return Some(self.reserve().await),
            flow::Step::Prefill => return Some(self.prefill().await),
            flow::Step::Send => return Some(self.decode().await),
            flow::Step::Release(_) => {
                self.room = None;
                self.cache = None;
            }
            flow::Step::Finish => self.finish(),
            flow::Step::Refuse(refusal) => self.refuse(refusal).await,
            // No server of the platform keeps answers.
            flow::Step::Replay => {}
        }
        None
    }

    fn failed(&self, server: Option<ids::ServerName>, refusal: Refusal) -> flow::Event {
        let retry = self.flow.may_retry(server.as_ref(), &refusal, clock::now())
            && self.call.withdraw_retry(server.as_ref(), self.repeat_sends(), refusal.reason);
        flow::Event::Failed { server, refusal, retry }
    }

    // Sends that another attempt takes: with the prompt read in vain, that is done again too.
    fn repeat_sends(&self) -> u32 {
        if self.cache.is_some() { 2 } else { 1 }
    }

    // Room is of use while the first event can still be in time, or, where it cannot any more,
    // while the caller waits for it.
    fn wait(&self) -> reservation::WaitLimit {
        let now = clock::now();
        if self.events > 0 {
            return reservation::WaitLimit::until(self.call.deadline.min(now + RESUME_WAIT));
        }
        let late = self.call.is_retry;
        let mut directory = self.call.edge.directory();
        let engines = &directory.service(&self.call.service).engines;
        let own = engines::Engines::decode_prefill_time(self.need.prompt);
        let prefill =
            engines.shortest_prefill(self.need.prompt, now).map_or(own, |apart| apart.min(own));
        let target = self.call.route.target;
        let patience = if late { target.max(LATE_WAIT) } else { target };
        let due = self.call.arrived + patience;
        let until = due.checked_sub(prefill + FIRST_EVENT).unwrap_or(now).min(self.call.deadline);
        reservation::WaitLimit { overdue: late, until }
    }

    // Whether the caller will have left long before its answer is whole.
    fn is_in_vain(&self) -> bool {
        if self.events > 0 {
            return false;
        }
        let mut directory = self.call.edge.directory();
        let engines = &directory.service(&self.call.service).engines;
        let expected = engines.answer_time(self.need.output);
        self.call.time_left() < expected.mul_f64(LEAST_SHARE)
    }

    async fn reserve(&mut self) -> flow::Event {
        if let Some(room) = self.spare.take() {
            self.room = Some(room);
            return flow::Event::Reserved;
        }
        if self.is_in_vain() {
            return self.failed(None, Refusal::not_run(Reason::TooLate, RETRY_SOON));
        }
        let wait = self.wait();
        let tried = self.flow.tried().to_vec();
        let asked =
            reservation::reserve(&self.call, &mut self.reply, self.need, &tried, wait).await;
        match asked {
            reservation::ReserveResult::Granted(room) => {
                self.room = Some(room);
                flow::Event::Reserved
            }
            reservation::ReserveResult::Refused(refusal) => self.failed(None, refusal),
            reservation::ReserveResult::Disconnected => flow::Event::CallerGone,
        }
    }

    async fn prefill(&mut self) -> flow::Event {
        if self.is_own_faster() {
            tracing::info!(id = self.call.id(), "edge: the decode engine reads the prompt itself");
            let tokens = u64::from(self.need.prompt);
            self.call.account().add(|totals| totals.prefill_tokens += tokens);
            return flow::Event::Prefilled;
        }
        let zone = self.decode_zone();
        let tried = self.flow.tried().to_vec();
        let prompt = prefill::Prompt { call: &self.call, zone: &zone, tokens: self.need.prompt };
        match prefill::run(prompt, &mut self.reply, &tried).await {
            prefill::PrefillResult::Completed(cache) => {
                self.cache = Some(cache);
                flow::Event::Prefilled
            }
            prefill::PrefillResult::Failed(server, refusal) => self.failed(server, refusal),
            prefill::PrefillResult::Unsent(server) => {
                self.failed(Some(server), Refusal::not_run(Reason::NoServer, RETRY_SOON))
            }
            prefill::PrefillResult::Disconnected => flow::Event::CallerGone,
        }
    }

    fn is_own_faster(&self) -> bool {
        let mut directory = self.call.edge.directory();
        let engines = &directory.service(&self.call.service).engines;
        let apart = engines.shortest_prefill(self.need.prompt, clock::now());
        apart.is_none_or(|apart| apart > engines::Engines::decode_prefill_time(self.need.prompt))
    }

    fn decode_zone(&self) -> ids::ZoneName {
        let Some(room) = &self.room else { return self.call.edge.settings().zone.clone() };
        let mut directory = self.call.edge.directory();
        let engines = &directory.service(&self.call.service).engines;
        engines.zone(&room.target.id).cloned().unwrap_or_default()
    }

    // An engine that cannot be reached or leaves is replaced while the prompt's cache lasts.
    async fn decode(&mut self) -> flow::Event {
        let mut tried = self.flow.tried().to_vec();
        loop {
            let Some(target) = self.room.as_ref().map(|room| room.target.clone()) else {
                return self.failed(None, reservation::no_slot());
            };
            let is_leaving = self.call.edge.directory().is_leaving(&target.id);
            let sent =
                if is_leaving { Sent::No(Reason::Leaving) } else { self.send(&target).await };
            let reason = match sent {
                Sent::Yes(event) => {
                    self.judge(&target.id, &event);
                    return event;
                }
                Sent::No(reason) => reason,
            };
            prefill::record_outcome(&self.call, &target.id, directory::bad_end(reason));
            tried.push(target.id.clone());
            self.room = None;
            let use_by =
                self.cache.as_ref().map_or(clock::now(), |cache| cache.usable_until(&self.call));
            let asked = reservation::reserve(
                &self.call,
                &mut self.reply,
                self.need,
                &tried,
                reservation::WaitLimit::until(use_by),
            )
            .await;
            match asked {
                reservation::ReserveResult::Granted(room) => self.room = Some(room),
                reservation::ReserveResult::Refused(refusal) => {
                    return self.failed(Some(target.id), refusal);
                }
                reservation::ReserveResult::Disconnected => return flow::Event::CallerGone,
            }
        }
    }

    async fn send(&mut self, target: &directory::Target) -> Sent {
        let source = self.cache.as_ref().map(prefill::KvCache::source);
        let send = request::ServerHeaders {
            server: &target.id,
            time_left: self.call.time_left(),
            kv_source: source.as_deref(),
            hold: self.room.as_ref().and_then(reservation::Reservation::hold),
            last_event: self.last_event,
            ..request::ServerHeaders::default()
        };
        let request = self.call.head.to_server(&send, self.call.body.clone());
        let edge = self.call.edge.clone();
        let sending = edge.links.send(target.address, request);
        Sent::Yes(match self.reply.wait(sending, self.call.deadline).await {
            responder::WaitOutcome::Disconnected => flow::Event::CallerGone,
            responder::WaitOutcome::Expired => flow::Event::Expired,
            responder::WaitOutcome::Event(Err(connections::SendError::Unsent(err))) => {
                tracing::info!(id = self.call.id(), server = target.id, err, "edge: not sent");
                return Sent::No(Reason::NoServer);
            }
            responder::WaitOutcome::Event(Err(connections::SendError::ConnectionLost(err))) => {
                tracing::info!(id = self.call.id(), server = target.id, err, "edge: broke off");
                self.broken(&target.id, Reason::LostContact)
            }
            responder::WaitOutcome::Event(Ok(answered)) => self.take(&target.id, answered).await,
        })
    }

    fn broken(&self, server: &str, reason: Reason) -> flow::Event {
        self.failed(Some(server.to_string()), Refusal::unknown(reason, RETRY_SOON))
    }

    fn judge(&mut self, server: &str, event: &flow::Event) {
        match event {
            flow::Event::Ended => {
                prefill::record_outcome(&self.call, server, pool::ServerOutcome::Success)
            }
            flow::Event::Failed { refusal, .. } => {
                prefill::record_outcome(&self.call, server, directory::bad_end(refusal.reason));
            }
            _ => {}
        }
    }

    async fn take(
        &mut self,
        server: &ids::ServerName,
        answered: connections::PendingResponse,
    ) -> flow::Event {
        match forms::classify(&answered.response, self.call.head.attempt.as_ref()) {
            forms::HeadClass::OtherServer => {
                let refusal = Refusal::not_run(Reason::Leaving, RETRY_SOON);
                return self.failed(Some(server.clone()), refusal);
            }
            forms::HeadClass::NotRun => return self.not_admitted(server, answered).await,
            forms::HeadClass::Invalid => return self.broken(server, Reason::LostContact),
            forms::HeadClass::Valid => {}
        }
        if let Some(room) = &mut self.room {
            room.set_hold_used();
        }
        if let Some(cache) = &mut self.cache {
            cache.set_fetched();
            prefill::record_outcome(&self.call, &cache.server, pool::ServerOutcome::Success);
        }
        if !answered.response.status().is_success() {
            return self.pass_failure(server, answered).await;
        }
        self.pass_events(server, answered).await
    }

    // The engine is full, or it could not fetch the KV cache.
    async fn not_admitted(
        &mut self,
        server: &ids::ServerName,
        answered: connections::PendingResponse,
    ) -> flow::Event {
        exchange::read_all(&self.call.edge.links, answered).await;
        if let Some(cache) = &self.cache {
            let lapsed = pool::ServerOutcome::Failure(Reason::LostContact);
            prefill::record_outcome(&self.call, &cache.server, lapsed);
        }
        self.failed(Some(server.clone()), Refusal::not_run(Reason::Evicted, RETRY_SOON))
    }

    // The server ran the request and failed; its answer is the caller's.
    async fn pass_failure(
        &mut self,
        server: &ids::ServerName,
        answered: connections::PendingResponse,
    ) -> flow::Event {
        let edge = self.call.edge.clone();
        let reading = exchange::read_all(&edge.links, answered);
        match self.reply.wait(reading, self.call.deadline).await {
            responder::WaitOutcome::Disconnected => flow::Event::CallerGone,
            responder::WaitOutcome::Expired => flow::Event::Expired,
            responder::WaitOutcome::Event(exchange::BufferedResponse {
                head,
                body: Some(body),
            }) if !self.reply.has_started() => {
                self.reply.respond(forms::forwarded_head(&head).map(|()| response::full(body)));
                flow::Event::Ended
            }
            responder::WaitOutcome::Event(_) => self.broken(server, Reason::EngineFailed),
        }
    }

    async fn pass_events(
        &mut self,
        server: &ids::ServerName,
        answered: connections::PendingResponse,
    ) -> flow::Event {
        let head = forms::forwarded_head(&answered.response);
        let told = connections::idle_timeout(&answered.response);
        let mut reader = reader::Reader::new(answered.response.into_body());
        loop {
            let event = match self.reply.wait(reader.next(), self.silence_ends()).await {
                responder::WaitOutcome::Disconnected => return flow::Event::CallerGone,
                responder::WaitOutcome::Expired if clock::now() >= self.call.deadline => {
                    return flow::Event::Expired;
                }
                responder::WaitOutcome::Expired => match self.find_spare(server).await {
                    Some(room) => return self.move_to(room, server),
                    // A preempted run goes on later; its silence alone does not end the answer.
                    None => continue,
                },
                responder::WaitOutcome::Event(reader::Item::Interrupted(err)) => {
                    tracing::info!(id = self.call.id(), server, err, "edge: stream broke off");
                    return self.broken(server, Reason::LostContact);
                }
                responder::WaitOutcome::Event(reader::Item::End) => {
                    self.call.edge.links.put_back(answered.connection, told);
                    return flow::Event::Ended;
                }
                responder::WaitOutcome::Event(reader::Item::Event(event)) => event,
            };
            if let Some(ended) = self.pass(server, &head, event).await {
                return ended;
            }
        }
    }

    // Room at another server for a stream that stands still, and the budget to go on there.
    async fn find_spare(&mut self, server: &ids::ServerName) -> Option<reservation::Reservation> {
        if self.flow.is_last_run() {
            return None;
        }
        let mut tried = self.flow.tried().to_vec();
        tried.push(server.clone());
        let (call, reply) = (&self.call, &mut self.reply);
        let asked = reservation::reserve(
            call,
            reply,
            self.need,
            &tried,
            reservation::WaitLimit::until(clock::now()),
        )
        .await;
        let reservation::ReserveResult::Granted(room) = asked else { return None };
        let is_other = room.target.id != *server;
        (is_other && self.call.withdraw_retry(Some(server), 2, Reason::EngineSilent))
            .then_some(room)
    }

    fn move_to(&mut self, room: reservation::Reservation, server: &str) -> flow::Event {
        self.spare = Some(room);
        let refusal = Refusal::unknown(Reason::EngineSilent, RETRY_SOON);
        flow::Event::Failed { server: Some(server.to_string()), refusal, retry: true }
    }

    fn silence_ends(&self) -> time::Instant {
        let is_resumable = self.call.route.kind == routing::Kind::Stream { resumable: true };
        let stall = clock::now() + STALL;
        if is_resumable { stall.min(self.call.deadline) } else { self.call.deadline }
    }

    async fn pass(
        &mut self,
        server: &ids::ServerName,
        head: &Response<()>,
        event: sse::Event,
    ) -> Option<flow::Event> {
        if let (Some(id), Some(last)) = (event.id, self.last_event) {
            if id <= last {
                return None;
            }
            if id != last + 1 {
                tracing::warn!(id = self.call.id(), server, last, next = id, "edge: event missing");
                return Some(self.broken(server, Reason::EngineFailed));
            }
        }
        if !self.reply.has_started() {
            self.first_at = Some(clock::now());
            self.reply.start_stream(head.clone());
        }
        self.flow.handle(&flow::Event::Streamed);
        if !self.reply.send(Bytes::from(event.bytes), self.call.deadline).await {
            return Some(flow::Event::CallerGone);
        }
        self.last_event = event.id.or(self.last_event);
        self.events += 1;
        let now = clock::now();
        let pause = self.last_at.map_or(time::Duration::ZERO, |last| now - last);
        self.longest_pause = self.longest_pause.max(pause);
        self.last_at = Some(now);
        if let Some(room) = &self.room
            && self.events % PROGRESS_EVENTS == 1
        {
            room.record_progress(self.events);
        }
        None
    }

    fn finish(&self) {
        let call = &self.call;
        call.edge.counters.requests.answered.inc();
        let first = self.first_at.map(|at| at - call.arrived);
        if let Some(first) = first {
            call.edge.counters.first_event.observe(first.as_secs_f64());
        }
        self.count_answer();
        tracing::info!(
            id = call.id(),
            route = call.route.name,
            config = call.version,
            server = self.room.as_ref().map(|room| room.target.id.as_str()),
            retries = self.flow.retries(),
            events = self.events,
            first_ms = first.map(|first| first.as_millis() as u64),
            age_ms = call.age_ms(),
            "edge: streamed"
        );
    }

    fn count_answer(&self) {
        let call = &self.call;
        let tokens = self.events * u64::from(call.edge.directory().event_tokens(&call.service));
        let times = self.first_at.zip(self.last_at);
        if let Some((first, last)) = times {
            // A pause says more of a fault than of the engines' pace.
            let took = (last - first).saturating_sub(self.longest_pause);
            let mut directory = call.edge.directory();
            directory.service(&call.service).engines.record_answer(tokens, took);
        }
        call.account().add(|totals| {
            totals.count_outcome(Outcome::Answered, None);
            let Some((first, last)) = times else { return };
            let gaps = (tokens.saturating_sub(1)).max(1) as f64;
            let between = (last - first).div_f64(gaps);
            let first = first - call.arrived;
            let is_smooth = call.route.max_gap.is_none_or(|most| self.longest_pause <= most);
            totals.count_answer(first, between, tokens, is_smooth && first <= call.route.target);
        });
    }

    async fn refuse(&mut self, refusal: Refusal) {
        if self.reply.has_started() {
            refuse::record(&self.call, refusal);
            return self.reply.abort(refusal.reason.name()).await;
        }
        if refusal.outcome == Outcome::Cancelled {
            return refuse::record(&self.call, refusal);
        }
        let response = refuse::call_response(&self.call, refusal);
        self.reply.respond(response);
    }
}

// Whether a request went out, and what came of it.
enum Sent {
    Yes(flow::Event),
    No(Reason),
}
