//! Drives model requests: reserves a decode slot, runs prefill and decode, and forwards the events
//! to the caller.

use std::time;

use hyper::{HeaderMap, Response, header};

use rhubarb_core::{engine, engines, event_order, flow, ids, outcome, pool, routing, sse};
use rhubarb_node::{clock, responder, response};
use rhubarb_platform::{request, response as platform_response};

use outcome::{Outcome, RETRY_SOON, Reason, Refusal};

use crate::{
    call, connections, directory, doubts, exchange, origins, prefill, processes, quotas, reader,
    refuse, reservation, stream_records, suspects,
};

/// Model request in progress.
#[derive(Debug)]
pub(crate) struct Streaming {
    call: call::Call,
    responder: responder::Responder,
    flow: flow::Flow,
    need: engine::Need,
    reservation: Option<reservation::Reservation>,
    // Slot at another server, for a stalled stream that resumes there.
    failover: Option<reservation::Reservation>,
    cache: Option<prefill::KvCache>,
    order: event_order::EventOrder,
    // Version of the software that began the stream, once it has begun; it goes on only there.
    software: Option<ids::SoftwareTag>,
    // Whether that version may be another one.
    is_uncertain: bool,
    // Start of the process of the current run, if it was shown to be the registered one.
    started_ms: Option<u64>,
    events: u64,
    // Events received from the current server.
    run_events: u64,
    // When the request was sent to it.
    sent_at: time::Instant,
    first_at: Option<time::Instant>,
    last_at: Option<time::Instant>,
    longest_gap: time::Duration,
}

/// Time from the end of a prefill to the first event: KV cache transfer, messages, one batch of
/// decode steps.
const FIRST_EVENT_DELAY: time::Duration = time::Duration::from_millis(130);
/// Minimum target of a request that can no longer meet the latency target of its route: according
/// to the platform's documentation, all callers wait this long for the first event.
const OVERDUE_TARGET: time::Duration = time::Duration::from_secs(2);
/// Share of an answer's expected duration that must be left until the deadline. Less than 1, since
/// length hints are often inaccurate.
const MIN_TIME_SHARE: f64 = 0.8;
/// Time without an event after which a resumable stream tries to fail over to another server.
const STALL_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);
/// Time for which an interrupted stream waits for a slot at another server.
const RESUME_WAIT: time::Duration = time::Duration::from_millis(1_000);
/// Number of events between updates of a run's memory use, from the first event on; meanwhile it
/// grows by a few percent.
const PROGRESS_INTERVAL: u64 = 8;
/// Need of a request without a size hint.
const DEFAULT_NEED: engine::Need = engine::Need { prompt: 1_000, output: 500 };

impl Streaming {
    pub(crate) fn new(call: call::Call, responder: responder::Responder) -> Streaming {
        let last = call.head.last_event;
        Streaming {
            sent_at: call.arrived,
            need: call.head.need.unwrap_or(DEFAULT_NEED),
            flow: flow::Flow::new(flow::Path::Staged, call.retry_policy(flow::MAX_RETRIES)),
            call,
            responder,
            reservation: None,
            failover: None,
            cache: None,
            order: event_order::EventOrder::new(last, platform_response::EVENT_FIELDS),
            software: None,
            is_uncertain: false,
            started_ms: None,
            events: 0,
            run_events: 0,
            first_at: None,
            last_at: None,
            longest_gap: time::Duration::ZERO,
        }
    }

    /// Runs the request to its final outcome.
    pub(crate) async fn drive(mut self) {
        let execute = async |request: &mut Streaming, step| request.execute(step).await;
        flow::drive(&mut self, |request| &mut request.flow, execute).await;
    }

    async fn execute(&mut self, step: flow::Step) -> Option<flow::Event> {
        match step {
            flow::Step::Reserve => return Some(self.reserve().await),
            flow::Step::Prefill => return Some(self.prefill().await),
            flow::Step::Send => return Some(self.decode().await),
            flow::Step::Release(_) => {
                self.reservation = None;
                self.cache = None;
            }
            flow::Step::Finish => self.finish(),
            flow::Step::Refuse(refusal) => self.refuse(refusal).await,
            // The platform's servers store no answers.
            flow::Step::Replay => {}
        }
        None
    }

    fn failed(&self, server: Option<ids::ServerName>, refusal: Refusal) -> flow::Event {
        if let Some(refusal) = suspects::rejection(&self.call, refusal.outcome) {
            return flow::Event::Failed { server, refusal, retry: false };
        }
        if self.has_changed(server.as_ref()) {
            tracing::info!(
                id = self.call.id(),
                server,
                "edge: version of a begun stream uncertain"
            );
            origins::record(&self.call, server.as_deref().unwrap_or_default(), None, None);
            let refusal = Refusal::unknown(Reason::UnknownVersion, RETRY_SOON);
            return flow::Event::Failed { server, refusal, retry: false };
        }
        let is_lost = refusal.reason == Reason::LostContact;
        let retry = (!is_lost || suspects::may_repeat(&self.call))
            && clock::now() < self.call.deadline()
            && self.order.can_resume()
            && self.flow.may_retry(server.as_ref(), &refusal, clock::now())
            && self.call.withdraw_retry(server.as_ref(), self.retry_sends(), refusal.reason);
        flow::Event::Failed { server, refusal, retry }
    }

    // Whether a server that failed has another version by now than the one that began the stream, and the
    // process of the run may be the one of that version: it may have begun after its restart, which was not
    // registered yet.
    fn has_changed(&self, server: Option<&ids::ServerName>) -> bool {
        let Some(software) = self.software.filter(|_| self.events > 0) else { return false };
        let directory = self.call.edge.directory();
        let Some(target) = server.and_then(|server| directory.target(server)) else {
            return self.is_uncertain;
        };
        let starts = self.started_ms.zip(target.process.1);
        let is_other_process = starts.is_some_and(|(ran, registered)| ran != registered);
        self.is_uncertain || target.software != software && !is_other_process
    }

    // Number of requests that a retry sends: the prefill is repeated as well, if there was one.
    fn retry_sends(&self) -> u32 {
        if self.cache.is_some() { 2 } else { 1 }
    }

    // A slot is useful as long as the first event can meet the latency target, or, for an overdue
    // request, while the caller still waits.
    fn slot_wait(&self) -> reservation::WaitLimit {
        let now = clock::now();
        // The caller has a part of the answer, from here or from an entry before.
        if self.events > 0 || self.order.last().is_some() {
            let until = self.call.deadline().min(now + RESUME_WAIT);
            return reservation::WaitLimit {
                is_started: true,
                ..reservation::WaitLimit::until(until)
            };
        }
        let overdue = self.call.is_retry;
        let mut directory = self.call.edge.directory();
        let engines = &directory.service(&self.call.service).engines;
        let at_decode = engines::Engines::decode_prefill_time(self.need.prompt);
        let prefill = engines
            .shortest_prefill(self.need.prompt, self.software, |_| 0, now)
            .map_or(at_decode, |at_prefill| at_prefill.min(at_decode));
        let target = self.call.route.target;
        let target = if overdue { target.max(OVERDUE_TARGET) } else { target };
        let due = self.call.arrived + target;
        let until =
            due.checked_sub(prefill + FIRST_EVENT_DELAY).unwrap_or(now).min(self.call.deadline());
        reservation::WaitLimit { overdue, until, is_started: false }
    }

    // Whether the deadline is expected to pass long before the answer is complete.
    fn misses_deadline(&self) -> bool {
        if self.events > 0 {
            return false;
        }
        let mut directory = self.call.edge.directory();
        // Of a stream that is taken up the rest is left.
        let events = self.order.last().map_or(0, |last| last.saturating_add(1));
        let done = events.saturating_mul(u64::from(directory.event_tokens(&self.call.service)));
        let rest = u64::from(self.need.output).saturating_sub(done) as u32;
        let engines = &directory.service(&self.call.service).engines;
        self.call.time_left() < engines.answer_time(rest, clock::now()).mul_f64(MIN_TIME_SHARE)
    }

    async fn reserve(&mut self) -> flow::Event {
        if let Some(reservation) = self.failover.take() {
            self.reservation = Some(reservation);
            return flow::Event::Reserved;
        }
        if self.flow.retries() == 0
            && let Err(refusal) = suspects::admit(&mut self.call).await
        {
            return flow::Event::Failed { server: None, refusal, retry: false };
        }
        if let Err(refusal) = self.find_software().await {
            return flow::Event::Failed { server: None, refusal, retry: false };
        }
        if self.misses_deadline() {
            return self.failed(None, Refusal::not_run(Reason::TooLate, RETRY_SOON));
        }
        let limit = self.slot_wait();
        let tried = self.flow.tried().to_vec();
        let (call, responder) = (&self.call, &mut self.responder);
        let result =
            reservation::reserve(call, responder, self.need, &tried, self.software, limit).await;
        match result {
            reservation::ReserveResult::Granted(reservation) => {
                self.reservation = Some(reservation);
                flow::Event::Reserved
            }
            reservation::ReserveResult::Refused(refusal) => self.failed(None, refusal),
            reservation::ReserveResult::Disconnected => flow::Event::CallerGone,
        }
    }

    // Finds out which version began the stream that the request takes up, and of which service.
    async fn find_software(&mut self) -> Result<(), Refusal> {
        if self.software.is_some() || self.order.last().is_none() {
            return Ok(());
        }
        self.software = origins::find(&self.call).await;
        let unknown = Refusal::not_run(Reason::UnknownVersion, RETRY_SOON);
        let software = self.software.ok_or(unknown)?;
        self.set_service(software);
        Ok(())
    }

    // Goes on at the service of the version that began the stream, whichever was drawn.
    fn set_service(&mut self, software: ids::SoftwareTag) {
        let call = &mut self.call;
        let directory = call.edge.directory();
        let service = directory.service_with(software, call.route.services()).cloned();
        let config = directory.config();
        drop(directory);
        if let Some(service) = service.filter(|service| *service != call.service) {
            call.priority = config.and_then(|config| config.priority(&service, call.urgency));
            call.service = service;
        }
    }

    // Version of the engine that is reserved.
    fn reserved_software(&self) -> Option<ids::SoftwareTag> {
        self.reservation.as_ref().map(|reservation| reservation.target.software)
    }

    async fn prefill(&mut self) -> flow::Event {
        // The decode engine of a trial reads the prompt itself, so that no other server is involved.
        if self.call.is_trial || self.is_decode_prefill_faster() {
            tracing::info!(id = self.call.id(), "edge: prefill at the decode engine");
            let tokens = u64::from(self.need.prompt);
            self.call.account().update(|totals| totals.prefill_tokens += tokens);
            return flow::Event::Prefilled;
        }
        let zone = self.decode_zone();
        let tried = self.flow.tried().to_vec();
        let software = self.reserved_software();
        let tokens = self.need.prompt;
        let prompt = prefill::Prompt { call: &self.call, zone: &zone, software, tokens };
        match prefill::run(prompt, &mut self.responder, &tried).await {
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

    // Whether the decode engine prefills the prompt sooner than any prefill engine.
    fn is_decode_prefill_faster(&self) -> bool {
        let (now, tokens) = (clock::now(), self.need.prompt);
        let mut directory = self.call.edge.directory();
        let kept = directory.kept(&self.call.service, &self.call.head.beginnings, now);
        let kept = |id: &str| kept.get(id).copied().unwrap_or_default();
        let engines = &directory.service(&self.call.service).engines;
        let software = self.reserved_software();
        let here = self.reservation.as_ref().map_or(0, |reserved| kept(&reserved.target.id));
        let at_decode = engines::Engines::decode_prefill_time(tokens.saturating_sub(here));
        let at_prefill = engines.shortest_prefill(tokens, software, kept, now);
        at_prefill.is_none_or(|time| time > at_decode)
    }

    fn decode_zone(&self) -> ids::ZoneName {
        let Some(reservation) = &self.reservation else {
            return self.call.edge.settings().zone.clone();
        };
        let mut directory = self.call.edge.directory();
        let engines = &directory.service(&self.call.service).engines;
        engines.zone(&reservation.target.id).cloned().unwrap_or_default()
    }

    // Sends the request to the decode engine. One that is unreachable or leaving is replaced by
    // another as long as the KV cache is usable.
    async fn decode(&mut self) -> flow::Event {
        let mut tried = self.flow.tried().to_vec();
        loop {
            let Some(target) =
                self.reservation.as_ref().map(|reservation| reservation.target.clone())
            else {
                return self.failed(None, reservation::no_slot());
            };
            let reason = match self.send(&target).await {
                SendResult::Sent(event) => {
                    self.record_outcome(&target.id, &event);
                    self.record_abandoned(&target, &event);
                    return event;
                }
                SendResult::NotSent(reason) => reason,
            };
            tracing::info!(
                id = self.call.id(),
                server = target.id,
                reason = reason.name(),
                "edge: request not sent, another server is chosen"
            );
            self.call.record_outcome(&target.id, refuse::failure_outcome(reason));
            tried.push(target.id.clone());
            self.reservation = None;
            // The cache, if there is one, was written for the version of this engine.
            let software = self.cache.as_ref().map(|_| target.software).or(self.software);
            let usable_until =
                self.cache.as_ref().map_or(clock::now(), |cache| cache.usable_until(&self.call));
            let result = reservation::reserve(
                &self.call,
                &mut self.responder,
                self.need,
                &tried,
                software,
                reservation::WaitLimit::until(usable_until),
            )
            .await;
            match result {
                reservation::ReserveResult::Granted(reservation) => {
                    self.reservation = Some(reservation)
                }
                reservation::ReserveResult::Refused(refusal) => {
                    return self.failed(Some(target.id), refusal);
                }
                reservation::ReserveResult::Disconnected => return flow::Event::CallerGone,
            }
        }
    }

    async fn send(&mut self, target: &directory::Target) -> SendResult {
        let source = self.cache.as_ref().map(prefill::KvCache::source);
        let hold = self.reservation.as_ref().and_then(reservation::Reservation::hold);
        let headers = request::ServerHeaders {
            server: &target.id,
            time_left: self.call.time_left(),
            // A hold is admitted before all that wait, so that no other run need be preempted.
            priority: self.call.priority.filter(|_| hold.is_none()),
            kv_source: source.as_deref(),
            hold,
            last_event: self.order.last(),
        };
        let request = self.call.head.to_server(&headers, self.call.body.clone());
        self.run_events = 0;
        self.sent_at = clock::now();
        self.order.begin_run();
        let cost = if hold.is_some() { quotas::Cost::Paid } else { quotas::Cost::One };
        let sending = exchange::send_to_process(&self.call, target, request, cost);
        let deadline = self.call.deadline();
        let sent = self.call.wait(&mut self.responder, sending, deadline).await;
        SendResult::Sent(match sent {
            responder::WaitOutcome::Disconnected => flow::Event::CallerGone,
            responder::WaitOutcome::Expired => flow::Event::Expired,
            responder::WaitOutcome::Event(Err(connections::SendError::Unsent(err))) => {
                tracing::info!(
                    id = self.call.id(),
                    server = target.id,
                    err,
                    "edge: server not reached"
                );
                return SendResult::NotSent(Reason::NoServer);
            }
            responder::WaitOutcome::Event(Err(
                connections::SendError::Leaving | connections::SendError::Replaced,
            )) => {
                return SendResult::NotSent(Reason::Leaving);
            }
            responder::WaitOutcome::Event(Err(connections::SendError::Expired)) => {
                self.failed(None, Refusal::not_run(Reason::TooLate, RETRY_SOON))
            }
            responder::WaitOutcome::Event(Err(
                connections::SendError::Paused | connections::SendError::Limited,
            )) => {
                return SendResult::NotSent(Reason::NoRoom);
            }
            responder::WaitOutcome::Event(Err(connections::SendError::Rejected)) => {
                self.failed(None, Refusal::not_run(Reason::CrashingPrompt, RETRY_SOON))
            }
            responder::WaitOutcome::Event(Err(connections::SendError::ConnectionLost(err))) => {
                tracing::info!(
                    id = self.call.id(),
                    server = target.id,
                    err,
                    events = self.events,
                    parts = ?self.call.head.parts,
                    "edge: connection lost"
                );
                self.lost(target).await
            }
            responder::WaitOutcome::Event(Ok(pending)) => {
                let attempt_id = self.call.head.attempt_id.as_ref();
                let class = platform_response::classify(&pending.response, attempt_id);
                if class == platform_response::HeadClass::NotRun
                    && platform_response::asks_pause(&pending.response)
                {
                    return self.turned_away(&target.id, pending).await;
                }
                self.handle_response(target, pending).await
            }
        })
    }

    // The engine asks for a pause and has not fetched the KV cache, which another one may use.
    async fn turned_away(
        &self,
        server: &ids::ServerName,
        pending: connections::PendingResponse,
    ) -> SendResult {
        exchange::read_rejection(&self.call.edge.connections, pending).await;
        let refusal = Refusal::not_run(Reason::NoRoom, RETRY_SOON);
        let goes_on = self.flow.may_retry(Some(server), &refusal, clock::now())
            && self.call.withdraw_retry(Some(server), 1, refusal.reason);
        if goes_on {
            return SendResult::NotSent(refusal.reason);
        }
        let server = Some(server.clone());
        SendResult::Sent(flow::Event::Failed { server, refusal, retry: false })
    }

    // Failure of a run whose connection was lost.
    async fn lost(&self, target: &directory::Target) -> flow::Event {
        doubts::record(&self.call.edge, target);
        if self.run_events < suspects::BEGUN_EVENTS {
            suspects::record_loss(&self.call, target, self.sent_at).await;
        }
        self.interrupted(&target.id, Reason::LostContact)
    }

    fn interrupted(&self, server: &str, reason: Reason) -> flow::Event {
        self.failed(Some(server.to_string()), Refusal::unknown(reason, RETRY_SOON))
    }

    // Records a run that ended before its answer had begun, without a loss of its connection.
    fn record_abandoned(&self, target: &directory::Target, event: &flow::Event) {
        let is_abandoned = match event {
            flow::Event::CallerGone | flow::Event::Expired => true,
            flow::Event::Failed { refusal, .. } => refusal.reason == Reason::EngineSilent,
            _ => false,
        };
        if is_abandoned && self.run_events < suspects::BEGUN_EVENTS {
            suspects::record_abandoned(&self.call, target, self.sent_at);
        }
    }

    fn record_outcome(&mut self, server: &str, event: &flow::Event) {
        match event {
            flow::Event::Ended => self.call.record_outcome(server, pool::ServerOutcome::Success),
            flow::Event::Failed { refusal, .. } => {
                self.call.record_outcome(server, refuse::failure_outcome(refusal.reason));
            }
            _ => {}
        }
    }

    async fn handle_response(
        &mut self,
        target: &directory::Target,
        pending: connections::PendingResponse,
    ) -> flow::Event {
        let server = &target.id;
        let attempt_id = self.call.head.attempt_id.as_ref();
        let class = platform_response::classify(&pending.response, attempt_id);
        match class {
            platform_response::HeadClass::OtherServer => {
                let refusal = Refusal::not_run(Reason::Leaving, RETRY_SOON);
                return self.failed(Some(server.clone()), refusal);
            }
            platform_response::HeadClass::NotRun => {
                return self.handle_not_run(server, pending).await;
            }
            platform_response::HeadClass::Unsealed | platform_response::HeadClass::Invalid => {
                return self.interrupted(server, Reason::LostContact);
            }
            platform_response::HeadClass::Valid | platform_response::HeadClass::Ambiguous => {}
        }
        if let Some(reservation) = &mut self.reservation {
            reservation.set_hold_used();
        }
        if let Some(cache) = &mut self.cache {
            cache.set_fetched();
            self.call.record_outcome(&cache.server, pool::ServerOutcome::Success);
        }
        if !pending.response.status().is_success() {
            return self.forward_failure(server, class, pending).await;
        }
        let body_class = platform_response::classify_body(&pending.response);
        if body_class == platform_response::BodyClass::Other {
            tracing::warn!(
                id = self.call.id(),
                server,
                content_type = ?pending.response.headers().get(header::CONTENT_TYPE),
                events = self.events,
                "edge: answer is no stream"
            );
            return self.interrupted(server, Reason::EngineFailed);
        }
        self.record_beginnings(server);
        self.forward_events(target, pending).await
    }

    // The engine has fetched or read the prompt and keeps it as well as the answer.
    fn record_beginnings(&self, server: &str) {
        let prompt = &self.call.head.beginnings;
        let tokens = self.need.total();
        let mut directory = self.call.edge.directory();
        let beginnings = &mut directory.service(&self.call.service).beginnings;
        beginnings.record(server, prompt, tokens, clock::now());
    }

    // The engine did not run the request: it is full, or could not fetch the KV cache.
    async fn handle_not_run(
        &mut self,
        server: &ids::ServerName,
        pending: connections::PendingResponse,
    ) -> flow::Event {
        exchange::read_rejection(&self.call.edge.connections, pending).await;
        if let Some(cache) = &self.cache {
            let failure = pool::ServerOutcome::Failure(Reason::LostContact);
            self.call.record_outcome(&cache.server, failure);
        }
        self.failed(Some(server.clone()), Refusal::not_run(Reason::Evicted, RETRY_SOON))
    }

    // The server ran the request and failed; its response is forwarded to the caller.
    async fn forward_failure(
        &mut self,
        server: &ids::ServerName,
        class: platform_response::HeadClass,
        pending: connections::PendingResponse,
    ) -> flow::Event {
        let edge = self.call.edge.clone();
        if !refuse::may_forward(&self.call, server, pending.response.status(), class) {
            exchange::read_rejection(&edge.connections, pending).await;
            return self.interrupted(server, Reason::EngineFailed);
        }
        let reading = exchange::read_all(&edge.connections, pending);
        match self.call.wait(&mut self.responder, reading, self.call.deadline()).await {
            responder::WaitOutcome::Disconnected => flow::Event::CallerGone,
            responder::WaitOutcome::Expired => flow::Event::Expired,
            responder::WaitOutcome::Event(exchange::BufferedResponse {
                head,
                body: Some(body),
            }) if !self.responder.has_started() => {
                self.responder.respond(
                    platform_response::forwarded_head(&head).map(|()| response::full(body)),
                );
                flow::Event::Ended
            }
            responder::WaitOutcome::Event(_) => self.interrupted(server, Reason::EngineFailed),
        }
    }

    async fn forward_events(
        &mut self,
        target: &directory::Target,
        pending: connections::PendingResponse,
    ) -> flow::Event {
        let server = &target.id;
        let head = platform_response::forwarded_head(&pending.response);
        let idle_timeout = connections::idle_timeout(&pending.response);
        let body_class = platform_response::classify_body(&pending.response);
        let is_stream = body_class == platform_response::BodyClass::Stream;
        let (parts, body) = pending.response.into_parts();
        let mut reader = reader::Reader::new(body, self.call.edge.connections.buffers.account());
        let is_proven = pending.connection.peer.is_proven(target.process.1);
        self.started_ms = target.process.1.filter(|_| is_proven);
        loop {
            let until = self.stall_deadline();
            let event = match self.call.wait(&mut self.responder, reader.next(), until).await {
                responder::WaitOutcome::Disconnected => return flow::Event::CallerGone,
                responder::WaitOutcome::Expired if clock::now() >= self.stream_end() => {
                    return flow::Event::Expired;
                }
                responder::WaitOutcome::Expired => match self.reserve_failover(server).await {
                    Some(reservation) => return self.fail_over(reservation, server),
                    // The engine may have preempted the run and continue it later, so a stall alone
                    // does not end the answer.
                    None => continue,
                },
                responder::WaitOutcome::Event(reader::Item::Interrupted(err)) => {
                    tracing::info!(
                        id = self.call.id(),
                        server,
                        err,
                        events = self.events,
                        parts = ?self.call.head.parts,
                        "edge: stream interrupted"
                    );
                    return self.lost(target).await;
                }
                responder::WaitOutcome::Event(reader::Item::End)
                    if !self.order.is_whole(is_stream) =>
                {
                    tracing::info!(
                        id = self.call.id(),
                        server,
                        is_stream,
                        events = self.run_events,
                        last = self.order.last(),
                        "edge: stream ended early"
                    );
                    return self.lost(target).await;
                }
                responder::WaitOutcome::Event(reader::Item::End)
                    if self.is_cut_off(target, &parts.headers).await =>
                {
                    tracing::info!(
                        id = self.call.id(),
                        server,
                        events = self.run_events,
                        last = self.order.last(),
                        "edge: stream ended with its server"
                    );
                    return self.lost(target).await;
                }
                responder::WaitOutcome::Event(reader::Item::End) => {
                    if !self.responder.has_started() {
                        self.responder.start_stream(head.clone());
                    }
                    if (1..suspects::BEGUN_EVENTS).contains(&self.run_events) {
                        suspects::record_answer(&self.call);
                    }
                    self.call.edge.connections.put_back(pending.connection, idle_timeout);
                    return flow::Event::Ended;
                }
                responder::WaitOutcome::Event(reader::Item::Event(event)) => event,
            };
            let placement = self.order.place(&event);
            if let event_order::Placement::Unfit(misfit) = placement {
                tracing::warn!(
                    id = self.call.id(),
                    server,
                    ?misfit,
                    last = self.order.last(),
                    next = event.id,
                    bytes = event.bytes.len(),
                    "edge: event does not belong to the stream"
                );
                return self.interrupted(server, Reason::EngineFailed);
            }
            self.run_events += 1;
            if self.run_events == suspects::BEGUN_EVENTS {
                suspects::record_answer(&self.call);
            }
            if placement == event_order::Placement::Repeated {
                continue;
            }
            if let Some(ended) = self.forward_event(target, &head, event).await {
                return ended;
            }
        }
    }

    // Whether a stream that has ended was cut off by the end of its server.
    async fn is_cut_off(&self, target: &directory::Target, headers: &HeaderMap) -> bool {
        !platform_response::has_marked_end(headers)
            && processes::has_ended(&self.call.edge, target).await
    }

    // Reserves a slot at another server for a stalled stream, and withdraws the retry from the
    // budget.
    async fn reserve_failover(
        &mut self,
        server: &ids::ServerName,
    ) -> Option<reservation::Reservation> {
        let can_resume = self.order.can_resume() && !self.has_changed(Some(server));
        if self.flow.is_last_run() || !can_resume {
            return None;
        }
        let mut tried = self.flow.tried().to_vec();
        tried.push(server.clone());
        let (call, responder) = (&self.call, &mut self.responder);
        let result = reservation::reserve(
            call,
            responder,
            self.need,
            &tried,
            self.software,
            reservation::WaitLimit::until(clock::now()),
        )
        .await;
        let reservation::ReserveResult::Granted(reservation) = result else { return None };
        let is_other = reservation.target.id != *server;
        (is_other && self.call.withdraw_retry(Some(server), 2, Reason::EngineSilent))
            .then_some(reservation)
    }

    fn fail_over(&mut self, reservation: reservation::Reservation, server: &str) -> flow::Event {
        self.failover = Some(reservation);
        let refusal = Refusal::unknown(Reason::EngineSilent, RETRY_SOON);
        flow::Event::Failed { server: Some(server.to_string()), refusal, retry: true }
    }

    // Time at which the answer ends, whether it is complete or not.
    fn stream_end(&self) -> time::Instant {
        match self.responder.has_started() {
            true => self.call.stream_deadline(),
            false => self.call.deadline(),
        }
    }

    fn stall_deadline(&self) -> time::Instant {
        let is_resumable = self.call.route.kind == routing::Kind::Stream { resumable: true };
        let stall = clock::now() + STALL_TIMEOUT;
        if is_resumable { stall.min(self.stream_end()) } else { self.stream_end() }
    }

    async fn forward_event(
        &mut self,
        target: &directory::Target,
        head: &Response<()>,
        event: sse::Event,
    ) -> Option<flow::Event> {
        let server = &target.id;
        let bytes = match self.call.edge.connections.buffers.keep_event(event.bytes) {
            Ok(bytes) => bytes,
            Err(err) => {
                tracing::warn!(id = self.call.id(), server, %err, "edge: event not kept");
                return Some(self.interrupted(server, Reason::EngineFailed));
            }
        };
        if !self.responder.has_started() {
            if let Some(ended) = self.keep_origin(target).await {
                return Some(ended);
            }
            self.first_at = Some(clock::now());
            self.responder.start_stream(head.clone());
        }
        self.flow.handle(&flow::Event::Streamed);
        match self.responder.send(bytes, self.call.stream_deadline()).await {
            responder::SendOutcome::Sent => {}
            responder::SendOutcome::Disconnected => return Some(flow::Event::CallerGone),
            responder::SendOutcome::Expired => return Some(flow::Event::Expired),
        }
        self.events += 1;
        let now = clock::now();
        let gap = self.last_at.map_or(time::Duration::ZERO, |last| now - last);
        self.longest_gap = self.longest_gap.max(gap);
        self.last_at = Some(now);
        if let Some(reservation) = &self.reservation
            && self.events % PROGRESS_INTERVAL == 1
        {
            reservation.record_progress(self.events);
        }
        None
    }

    // Has the version that begins the stream on record before the first event is sent: the caller may take
    // the stream up as soon as it has that.
    async fn keep_origin(&mut self, target: &directory::Target) -> Option<flow::Event> {
        self.is_uncertain =
            self.started_ms.is_none() && self.call.edge.directory().may_be_replaced(target);
        self.software = self.software.or(Some(target.software));
        let is_certain = !self.is_uncertain;
        let origin = self.software.filter(|_| is_certain);
        origins::record(&self.call, &target.id, origin, self.started_ms);
        let (call, end) = (&self.call, self.stream_end());
        match call.wait(&mut self.responder, stream_records::keep(call), end).await {
            responder::WaitOutcome::Event(()) => None,
            responder::WaitOutcome::Disconnected => Some(flow::Event::CallerGone),
            responder::WaitOutcome::Expired => Some(flow::Event::Expired),
        }
    }

    fn finish(&mut self) {
        self.responder.finish();
        let call = &self.call;
        call.edge.counters.requests.answered.inc();
        let first = self.first_at.map(|at| at - call.arrived);
        if let Some(first) = first {
            call.edge.counters.first_event.observe(first.as_secs_f64());
        }
        self.count_answer();
        let ages = call.ages();
        tracing::info!(
            id = call.id(),
            resumes = ?call.head.resumes,
            route = call.route.name,
            config = call.version,
            config_age_ms = ages.config,
            servers_age_ms = ages.servers,
            server = self.reservation.as_ref().map(|reservation| reservation.target.id.as_str()),
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
            // The longest gap is more likely due to a fault than to the engines' speed.
            let duration = (last - first).saturating_sub(self.longest_gap);
            let mut directory = call.edge.directory();
            let engines = &mut directory.service(&call.service).engines;
            engines.record_answer(tokens, duration, clock::now());
            // An answer that went on elsewhere is the work of two engines.
            if let Some(reservation) =
                self.reservation.as_ref().filter(|_| self.flow.retries() == 0)
            {
                let tokens = u32::try_from(tokens).unwrap_or(u32::MAX);
                engines.record_answer_time(&reservation.target.id, tokens, duration);
            }
        }
        call.account().update(|totals| {
            totals.count_outcome(Outcome::Answered, None);
            let Some((first, last)) = times else { return };
            let gaps = (tokens.saturating_sub(1)).max(1) as f64;
            let between = (last - first).div_f64(gaps);
            let first = first - call.arrived;
            let is_smooth = call.route.max_gap.is_none_or(|max| self.longest_gap <= max);
            totals.count_answer(first, between, tokens, is_smooth && first <= call.route.target);
        });
    }

    async fn refuse(&mut self, refusal: Refusal) {
        if self.responder.has_started() {
            refuse::record(&self.call, refusal);
            return self.responder.abort(refusal.reason.name()).await;
        }
        if refusal.outcome == Outcome::Cancelled {
            return refuse::record(&self.call, refusal);
        }
        let response = refuse::call_response(&self.call, refusal);
        self.responder.respond(response);
    }
}

// Whether a request was sent, and the resulting event.
enum SendResult {
    Sent(flow::Event),
    NotSent(Reason),
}
