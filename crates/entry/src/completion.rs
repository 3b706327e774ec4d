//! Drives one model request: decode room, prefill, decode, answer.

use std::time;

use bytes::Bytes;
use hyper::{Response, StatusCode, header};
use serde::Deserialize;

use rhubarb_core::{flow, ids, list, outcome, pool};
use rhubarb_node::{answer, clock};
use rhubarb_wire::message;

use crate::{admit, driver, openai, peer, refuse};

use outcome::{Outcome, Reason, Refusal};

const RETRY_SOON: time::Duration = time::Duration::from_secs(1);
const PREFIX_CHARS: usize = 256;

/// One model request on its way.
#[derive(Debug)]
pub(crate) struct Completion {
    ticket: admit::Ticket,
    targets: Targets,
    request: openai::Request,
    style: openai::Style,
    reply: driver::Reply,
    flow: flow::Flow,
    decode: Option<Placed>,
    prefilled: Option<message::Prefilled>,
    // Server of the prefill of which no token came yet.
    source: Option<ids::ServerName>,
    pending: Vec<u8>,
    text: String,
    sent: u32,
    prompt_tokens: u64,
    first_at: Option<time::Instant>,
    last_at: Option<time::Instant>,
    begun: bool,
    failure: Option<Reason>,
}

/// What a service wants of its answers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Targets {
    first_token: time::Duration,
    between_tokens: time::Duration,
    max_wait: time::Duration,
}

impl Targets {
    /// Targets of a model service; `None` for a plain one.
    pub(crate) fn of(service: &list::Service) -> Option<Targets> {
        let list::Kind::Model(model) = &service.kind else { return None };
        Some(Targets {
            first_token: model.first_token,
            between_tokens: model.between_tokens,
            max_wait: model.max_wait,
        })
    }
}

/// A run at a server.
#[derive(Debug)]
struct Placed {
    server: ids::ServerName,
    run: peer::Run,
}

#[derive(Deserialize)]
struct Token {
    token: String,
}

impl Completion {
    pub(crate) fn new(
        ticket: admit::Ticket,
        targets: Targets,
        request: openai::Request,
        style: openai::Style,
        reply: driver::Reply,
    ) -> Completion {
        let flow = flow::Flow::new(ticket.key.is_some());
        Completion {
            ticket,
            targets,
            request,
            style,
            reply,
            flow,
            decode: None,
            prefilled: None,
            source: None,
            pending: Vec::new(),
            text: String::new(),
            sent: 0,
            prompt_tokens: 0,
            first_at: None,
            last_at: None,
            begun: false,
            failure: None,
        }
    }

    /// Runs the request to its one outcome.
    pub(crate) async fn drive(mut self) {
        self.flow.handle(&flow::Event::Begin);
        while let Some(step) = self.flow.next_step() {
            let event = match step {
                flow::Step::Reserve => self.reserve().await,
                flow::Step::Prefill => self.prefill().await,
                flow::Step::Decode => self.decode().await,
                flow::Step::Release => {
                    self.release(self.failure);
                    continue;
                }
                flow::Step::Finish => {
                    self.finish().await;
                    continue;
                }
                flow::Step::Refuse(refusal) => {
                    self.refuse(refusal).await;
                    continue;
                }
            };
            self.failure = reason_of(&event);
            self.flow.handle(&event);
            if matches!(event, flow::Event::Replayed) {
                let event = self.stream().await;
                self.failure = reason_of(&event);
                self.flow.handle(&event);
            }
        }
    }

    fn pick(&self, role: list::Role) -> Option<ids::ServerName> {
        let entry = &self.ticket.entry;
        let mut view = entry.view();
        if let (list::Role::Decode, Some(key)) = (role, &self.ticket.key) {
            return view.home(&self.ticket.service.name, key.hash);
        }
        let prefix: String = self.request.prompt.chars().take(PREFIX_CHARS).collect();
        let affinity = (role == list::Role::Prefill).then(|| ids::digest(&[prefix.as_bytes()]));
        let by_work = role == list::Role::Prefill;
        let size = self.request.prompt.len() as u32;
        let work = match by_work {
            true => view.pace(&self.ticket.service.name).estimate(size),
            false => time::Duration::ZERO,
        };
        let tried = self.flow.tried();
        let wish = pool::Wish { tried, affinity, random: rand::random(), by_work };
        let pool = view.pool(&self.ticket.service.name, role)?;
        let server = pool.pick(wish, clock::now())?;
        pool.sent(&server, work);
        Some(server)
    }

    fn note_end(&self, server: &str, role: list::Role, end: pool::End) {
        let mut view = self.ticket.entry.view();
        if let Some(pool) = view.pool(&self.ticket.service.name, role) {
            pool.ended(server, end, clock::now());
        }
    }

    // A server that cannot be reached did not get the request; with a key, an earlier copy may
    // have reached it.
    fn unreachable(&self, server: Option<ids::ServerName>, keyed: bool) -> flow::Event {
        let refusal = refuse::own(Refusal::not_run(Reason::NoServer, RETRY_SOON), keyed);
        self.failed(server, refusal)
    }

    fn failed(&self, server: Option<ids::ServerName>, refusal: Refusal) -> flow::Event {
        let ticket = &self.ticket;
        let is_useful = clock::now() < ticket.deadline && is_retryable(refusal.reason);
        let retry = is_useful
            && self.flow.retries() < flow::MAX_RETRIES
            && ticket.entry.take_retry(&ticket.service.name, &ticket.caller, refusal.reason);
        flow::Event::Failed { server, refusal, retry }
    }

    async fn reserve(&mut self) -> flow::Event {
        let keyed = self.ticket.key.is_some();
        let Some(server) = self.pick(list::Role::Decode) else {
            self.ticket.entry.list_wanted.notify_one();
            return self.unreachable(None, keyed);
        };
        let Some(peer) = self.ticket.entry.peer(&server) else {
            return self.unreachable(Some(server), keyed);
        };
        let Some(contact) = peer.contact().await else {
            self.note_end(&server, list::Role::Decode, pool::End::Bad(Reason::NoServer));
            return self.unreachable(Some(server), keyed);
        };
        let wait_by = self.ticket.deadline.min(clock::now() + self.targets.max_wait);
        let run = self.ticket.entry.next_run();
        let order = message::Order::Reserve(message::Reserve {
            run,
            key: self.ticket.key.as_ref().map(|key| key.hash),
            wait_by_ms: contact.clock_at(wait_by),
            start_by_ms: contact.clock_at(self.ticket.deadline),
            excess: self.ticket.excess,
        });
        let mut run = peer.start(run, contact, order);
        let waited = self.reply.wait(&mut run, self.ticket.deadline).await;
        self.decode = Some(Placed { server: server.clone(), run });
        match waited {
            driver::Waited::Event(peer::Event::Reserved) => flow::Event::Reserved,
            driver::Waited::Event(peer::Event::Head(_)) => flow::Event::Replayed,
            waited => self.interrupted(server, waited),
        }
    }

    fn interrupted(&self, server: ids::ServerName, waited: driver::Waited) -> flow::Event {
        match waited {
            driver::Waited::Gone => flow::Event::CallerGone,
            driver::Waited::Expired => flow::Event::Expired,
            driver::Waited::Event(peer::Event::Refused(refusal)) => {
                self.failed(Some(server), refusal)
            }
            driver::Waited::Event(_) => {
                self.failed(Some(server), Refusal::unknown(Reason::EngineFailed, RETRY_SOON))
            }
        }
    }

    // Nothing that a caller sees has run while the prompt is prefilled.
    async fn prefill(&mut self) -> flow::Event {
        let Some(server) = self.pick(list::Role::Prefill) else {
            return self.unreachable(None, false);
        };
        let event = self.prefill_at(&server).await;
        let end = reason_of(&event).map_or(pool::End::Open, pool::End::Bad);
        self.note_end(&server, list::Role::Prefill, end);
        event
    }

    async fn prefill_at(&mut self, server: &ids::ServerName) -> flow::Event {
        let contact = match self.ticket.entry.peer(server) {
            Some(peer) => peer.contact().await.map(|contact| (peer, contact)),
            None => None,
        };
        let Some((peer, contact)) = contact else {
            return self.unreachable(Some(server.clone()), false);
        };
        let run = self.ticket.entry.next_run();
        let order = message::Order::Prefill(message::Prefill {
            run,
            start_by_ms: contact.clock_at(self.ticket.deadline),
            due_ms: contact.clock_at(self.ticket.arrived + self.targets.first_token),
            max_wait_ms: self.targets.max_wait.as_millis() as u64,
            limit_ms: self.ticket.time_left().as_millis() as u64,
            excess: self.ticket.excess,
            prompt: self.request.prompt.clone(),
        });
        let mut run = peer.start(run, contact, order);
        match self.reply.wait(&mut run, self.ticket.deadline).await {
            driver::Waited::Event(peer::Event::Prefilled(prefilled)) => {
                self.count_prefill(&prefilled);
                self.prefilled = Some(prefilled);
                self.source = Some(server.clone());
                flow::Event::Prefilled
            }
            driver::Waited::Event(peer::Event::Refused(refusal)) => {
                let refusal = Refusal { outcome: Outcome::NotRun, ..refusal };
                self.failed(Some(server.clone()), refusal)
            }
            waited => self.interrupted(server.clone(), waited),
        }
    }

    fn count_prefill(&mut self, prefilled: &message::Prefilled) {
        let tokens = u64::from(prefilled.tokens);
        self.prompt_tokens = tokens;
        let work = time::Duration::from_micros(prefilled.work_us);
        let size = self.request.prompt.len() as u32;
        self.ticket.entry.view().pace(&self.ticket.service.name).learn(size, work);
        let mut ledger = self.ticket.entry.ledger();
        let totals = ledger.totals(&self.ticket.service.name, &self.ticket.caller);
        totals.prefill_tokens += tokens;
    }

    async fn decode(&mut self) -> flow::Event {
        let (Some(placed), Some(prefilled)) = (&self.decode, &self.prefilled) else {
            return self.unreachable(None, self.ticket.key.is_some());
        };
        let order = message::Order::Decode(message::Decode {
            run: placed.run.id,
            limit_ms: self.ticket.time_left().as_millis() as u64,
            source: prefilled.source.clone(),
            handle: prefilled.handle.clone(),
            prompt: self.request.prompt.clone(),
            max_tokens: self.request.max_tokens,
            skip: self.sent,
            key: self.ticket.key.as_ref().map(|key| key.text.clone()),
        });
        placed.run.send(order);
        self.stream().await
    }

    async fn stream(&mut self) -> flow::Event {
        self.pending.clear();
        loop {
            let Some(placed) = &mut self.decode else {
                return self.unreachable(None, self.ticket.key.is_some());
            };
            match self.reply.wait(&mut placed.run, self.ticket.deadline).await {
                driver::Waited::Event(peer::Event::Head(_) | peer::Event::Reserved) => {}
                driver::Waited::Event(peer::Event::Bytes(bytes)) => {
                    if !self.take_bytes(&bytes).await {
                        return flow::Event::CallerGone;
                    }
                }
                driver::Waited::Event(peer::Event::End) => return flow::Event::Ended,
                waited => {
                    let server = placed.server.clone();
                    return self.interrupted(server, waited);
                }
            }
        }
    }

    // The answer of a decode is one JSON line for each token.
    async fn take_bytes(&mut self, bytes: &[u8]) -> bool {
        self.pending.extend_from_slice(bytes);
        while let Some(end) = self.pending.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.pending.drain(..=end).collect();
            let Ok(token) = serde_json::from_slice::<Token>(&line) else { continue };
            if !self.take_token(&token.token).await {
                return false;
            }
        }
        true
    }

    async fn take_token(&mut self, token: &str) -> bool {
        let now = clock::now();
        self.flow.handle(&flow::Event::Streamed);
        self.judge_source(pool::End::Good);
        self.first_at.get_or_insert(now);
        self.last_at = Some(now);
        self.sent += 1;
        // The prefill is of use once a token came of it.
        self.prefilled = None;
        if !self.request.stream {
            self.text.push_str(token);
            return true;
        }
        self.begin_stream();
        let event = Bytes::from(self.style.event(token));
        self.reply.send(event, self.ticket.deadline).await
    }

    fn begin_stream(&mut self) {
        if self.begun {
            return;
        }
        self.begun = true;
        let mut head = Response::new(());
        let headers = head.headers_mut();
        let kind = header::HeaderValue::from_static("text/event-stream");
        headers.insert(header::CONTENT_TYPE, kind);
        let no_store = header::HeaderValue::from_static("no-cache");
        headers.insert(header::CACHE_CONTROL, no_store);
        self.insert_id(headers);
        self.reply.begin(head);
    }

    fn insert_id(&self, headers: &mut hyper::HeaderMap) {
        if let Ok(id) = header::HeaderValue::from_str(&self.style.id) {
            headers.insert("x-request-id", id);
        }
    }

    // A result that was evicted or never came speaks against the server that prefilled it, one
    // of which a token came speaks for it.
    fn judge_source(&mut self, end: pool::End) {
        let Some(server) = self.source.take() else { return };
        let mut view = self.ticket.entry.view();
        if let Some(pool) = view.pool(&self.ticket.service.name, list::Role::Prefill) {
            pool.judge(&server, end, clock::now());
        }
    }

    // Dropping the run cancels it at the agent.
    fn release(&mut self, reason: Option<Reason>) {
        if reason == Some(Reason::Evicted) {
            self.judge_source(pool::End::Bad(Reason::Evicted));
        }
        if let Some(placed) = self.decode.take() {
            let end = match reason {
                Some(reason) => pool::End::Bad(reason),
                None if self.first_at.is_some() => pool::End::Good,
                None => pool::End::Open,
            };
            self.note_end(&placed.server, list::Role::Decode, end);
        }
        if let Some(prefilled) = self.prefilled.take() {
            let ticket = &self.ticket;
            let reason = reason.unwrap_or(Reason::Withdrawn);
            let tokens = u64::from(prefilled.tokens);
            ticket.entry.count_waste(&ticket.service.name, &ticket.caller, reason, tokens);
        }
    }

    async fn finish(&mut self) {
        let reason = if self.sent >= self.request.max_tokens { "length" } else { "stop" };
        let is_whole = if self.request.stream {
            self.begin_stream();
            let event = Bytes::from(self.style.last_event(reason));
            self.reply.send(event, self.ticket.deadline).await
        } else {
            let usage = openai::Usage { prompt: self.prompt_tokens, output: u64::from(self.sent) };
            let body = self.style.whole(&self.text, reason, usage);
            let mut response = answer::json(StatusCode::OK, &body);
            self.insert_id(response.headers_mut());
            self.reply.answer(response);
            true
        };
        self.release(None);
        if is_whole {
            self.count_answer();
            self.ticket.close(Outcome::Answered, None);
        }
    }

    fn count_answer(&self) {
        let (Some(first), Some(last)) = (self.first_at, self.last_at) else { return };
        let first_time = first - self.ticket.arrived;
        let gaps = self.sent.saturating_sub(1).max(1);
        let between = (last - first) / gaps;
        let is_good =
            first_time <= self.targets.first_token && between <= self.targets.between_tokens;
        let tokens = u64::from(self.sent);
        let mut ledger = self.ticket.entry.ledger();
        let totals = ledger.totals(&self.ticket.service.name, &self.ticket.caller);
        totals.first.add(first_time);
        totals.between.add(between);
        totals.output_tokens += tokens;
        if is_good {
            totals.good += 1;
            totals.useful_tokens += tokens;
        }
    }

    async fn refuse(&mut self, refusal: Refusal) {
        self.release(Some(refusal.reason));
        self.ticket.close(refusal.outcome, Some(refusal.reason));
        if self.reply.has_begun() {
            let event = format!("data: {}\n\n", refuse::body(refusal, None));
            self.reply.send(event.into(), clock::now() + RETRY_SOON).await;
            self.reply.break_off(refusal.reason.name()).await;
        } else {
            let mut response = refuse::answer(refusal, None);
            self.insert_id(response.headers_mut());
            self.reply.answer(response);
        }
    }
}

/// Whether another attempt may go better.
pub(crate) fn is_retryable(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::NoRoom
            | Reason::Leaving
            | Reason::NoServer
            | Reason::EngineFailed
            | Reason::EngineSilent
            | Reason::LostContact
            | Reason::Evicted
            | Reason::Withdrawn
            | Reason::NotLoaded
            | Reason::NoList
    )
}

fn reason_of(event: &flow::Event) -> Option<Reason> {
    match event {
        flow::Event::Failed { refusal, .. } => Some(refusal.reason),
        _ => None,
    }
}
