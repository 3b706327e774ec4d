//! Drives one model request: decode room, prefill, decode, answer.

use std::time;

use serde::Deserialize;

use rhubarb_core::{flow, ids, list, outcome, pool};
use rhubarb_node::{clock, responder};
use rhubarb_wire::message;

use crate::{admit, channel, openai, peer, refuse, response_writer, selection};

use outcome::{Outcome, RETRY_SOON, Reason, Refusal};

/// One model request on its way.
#[derive(Debug)]
pub(crate) struct Completion {
    ticket: admit::Ticket,
    targets: Targets,
    request: openai::Request,
    writer: response_writer::ResponseWriter,
    flow: flow::Flow,
    decode: Option<Placed>,
    prefilled: Option<message::Prefilled>,
    // Server of the prefill of which no token came yet.
    source: Option<ids::ServerName>,
    pending: Vec<u8>,
    sent: u32,
    prompt_tokens: u64,
    first_at: Option<time::Instant>,
    last_at: Option<time::Instant>,
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
        writer: response_writer::ResponseWriter,
    ) -> Completion {
        let rules = flow::RetryPolicy::model(ticket.key.is_some(), ticket.deadline);
        let flow = flow::Flow::new(flow::Path::Staged, rules);
        Completion {
            ticket,
            targets,
            request,
            writer,
            flow,
            decode: None,
            prefilled: None,
            source: None,
            pending: Vec::new(),
            sent: 0,
            prompt_tokens: 0,
            first_at: None,
            last_at: None,
        }
    }

    /// Runs the request to its one outcome.
    pub(crate) async fn drive(mut self) {
        let take = async |request: &mut Completion, step| request.take_step(step).await;
        flow::drive(&mut self, |request| &mut request.flow, take).await;
    }

    async fn take_step(&mut self, step: flow::Step) -> Option<flow::Event> {
        match step {
            flow::Step::Reserve => return Some(self.reserve().await),
            flow::Step::Prefill => return Some(self.prefill().await),
            flow::Step::Send => return Some(self.decode().await),
            flow::Step::Replay => return Some(self.stream().await),
            flow::Step::Release(reason) => self.release(Some(reason)),
            flow::Step::Finish => self.finish().await,
            flow::Step::Refuse(refusal) => self.refuse(refusal).await,
        }
        None
    }

    // A server that cannot be reached did not get the request; with a key, an earlier copy may
    // have reached it.
    fn unreachable(&self, server: Option<ids::ServerName>, keyed: bool) -> flow::Event {
        let refusal = refuse::local_refusal(Refusal::not_run(Reason::NoServer, RETRY_SOON), keyed);
        self.failed(server, refusal)
    }

    fn failed(&self, server: Option<ids::ServerName>, refusal: Refusal) -> flow::Event {
        let ticket = &self.ticket;
        let retry = self.flow.may_retry(server.as_ref(), &refusal, clock::now())
            && ticket.entry.try_retry(&ticket.service.name, &ticket.caller, refusal.reason);
        flow::Event::Failed { server, refusal, retry }
    }

    async fn reserve(&mut self) -> flow::Event {
        let keyed = self.ticket.key.is_some();
        let Some(server) =
            selection::choose(&self.ticket, list::Role::Decode, self.flow.tried(), None)
        else {
            self.ticket.entry.directory.want();
            return self.unreachable(None, keyed);
        };
        let Some(peer) = self.ticket.entry.backend.peer(&server) else {
            return self.unreachable(Some(server), keyed);
        };
        let Some(contact) = peer.contact().await else {
            selection::record_end(
                &self.ticket,
                &server,
                list::Role::Decode,
                pool::ServerOutcome::Failure(Reason::NoServer),
            );
            return self.unreachable(Some(server), keyed);
        };
        let wait_by = self.ticket.deadline.min(clock::now() + self.targets.max_wait);
        let run = self.ticket.entry.backend.next_run();
        let order = message::ToAgent::Reserve(message::Reserve {
            run,
            key: self.ticket.key.as_ref().map(|key| key.hash),
            wait_by_ms: contact.clock_at(wait_by),
            start_by_ms: contact.clock_at(self.ticket.deadline),
            excess: self.ticket.excess,
        });
        let mut run = peer.start(run, contact, order);
        let waited = self.writer.responder.wait(run.next(), self.ticket.deadline).await;
        self.decode = Some(Placed { server: server.clone(), run });
        match waited {
            responder::WaitOutcome::Event(channel::Event::Reserved) => flow::Event::Reserved,
            responder::WaitOutcome::Event(channel::Event::Head(head)) => {
                self.prompt_tokens = head.prompt_tokens().unwrap_or(0).into();
                flow::Event::Replayed
            }
            waited => self.interrupted(server, waited),
        }
    }

    fn interrupted(
        &self,
        server: ids::ServerName,
        waited: responder::WaitOutcome<channel::Event>,
    ) -> flow::Event {
        match waited {
            responder::WaitOutcome::Disconnected => flow::Event::CallerGone,
            responder::WaitOutcome::Expired => flow::Event::Expired,
            responder::WaitOutcome::Event(channel::Event::Refused(refusal)) => {
                self.failed(Some(server), refusal)
            }
            responder::WaitOutcome::Event(_) => {
                self.failed(Some(server), Refusal::unknown(Reason::EngineFailed, RETRY_SOON))
            }
        }
    }

    // Nothing that a caller sees has run while the prompt is prefilled.
    async fn prefill(&mut self) -> flow::Event {
        let Some(server) = selection::choose(
            &self.ticket,
            list::Role::Prefill,
            self.flow.tried(),
            Some(&self.request.prompt),
        ) else {
            return self.unreachable(None, false);
        };
        let event = self.prefill_at(&server).await;
        let end =
            reason_of(&event).map_or(pool::ServerOutcome::Unknown, pool::ServerOutcome::Failure);
        selection::record_end(&self.ticket, &server, list::Role::Prefill, end);
        event
    }

    async fn prefill_at(&mut self, server: &ids::ServerName) -> flow::Event {
        let contact = match self.ticket.entry.backend.peer(server) {
            Some(peer) => peer.contact().await.map(|contact| (peer, contact)),
            None => None,
        };
        let Some((peer, contact)) = contact else {
            return self.unreachable(Some(server.clone()), false);
        };
        let run = self.ticket.entry.backend.next_run();
        let order = message::ToAgent::Prefill(message::Prefill {
            run,
            start_by_ms: contact.clock_at(self.ticket.deadline),
            due_ms: contact.clock_at(self.ticket.arrived + self.targets.first_token),
            max_wait_ms: self.targets.max_wait.as_millis() as u64,
            limit_ms: self.ticket.time_left().as_millis() as u64,
            excess: self.ticket.excess,
            prompt: self.request.prompt.clone(),
        });
        let mut run = peer.start(run, contact, order);
        match self.writer.responder.wait(run.next(), self.ticket.deadline).await {
            responder::WaitOutcome::Event(channel::Event::Prefilled(prefilled)) => {
                self.count_prefill(&prefilled);
                self.prefilled = Some(prefilled);
                self.source = Some(server.clone());
                flow::Event::Prefilled
            }
            responder::WaitOutcome::Event(channel::Event::Refused(refusal)) => {
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
        self.ticket.entry.directory.view().pace(&self.ticket.service.name).record(size, work);
        let mut ledger = self.ticket.entry.ledger();
        let totals = ledger.totals(&self.ticket.service.name, &self.ticket.caller);
        totals.prefill_tokens += tokens;
    }

    async fn decode(&mut self) -> flow::Event {
        let (Some(placed), Some(prefilled)) = (&self.decode, &self.prefilled) else {
            return self.unreachable(None, self.ticket.key.is_some());
        };
        let order = message::ToAgent::Decode(message::Decode {
            run: placed.run.id,
            limit_ms: self.ticket.time_left().as_millis() as u64,
            source: prefilled.source.clone(),
            handle: prefilled.handle.clone(),
            prompt: self.request.prompt.clone(),
            prompt_tokens: self.prompt_tokens as u32,
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
            match self.writer.responder.wait(placed.run.next(), self.ticket.deadline).await {
                responder::WaitOutcome::Event(
                    channel::Event::Head(_) | channel::Event::Reserved,
                ) => {}
                responder::WaitOutcome::Event(channel::Event::Bytes(bytes)) => {
                    if !self.take_bytes(&bytes).await {
                        return flow::Event::CallerGone;
                    }
                }
                responder::WaitOutcome::Event(channel::Event::End) => return flow::Event::Ended,
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
        self.judge_source(pool::ServerOutcome::Success);
        self.first_at.get_or_insert(now);
        self.last_at = Some(now);
        self.sent += 1;
        // The prefill is of use once a token came of it.
        self.prefilled = None;
        self.writer.write_token(token, self.ticket.deadline).await
    }

    // A result that was evicted or never came speaks against the server that prefilled it, one
    // of which a token came speaks for it.
    fn judge_source(&mut self, end: pool::ServerOutcome) {
        let Some(server) = self.source.take() else { return };
        selection::record_outcome(&self.ticket, &server, list::Role::Prefill, end);
    }

    // Dropping the run cancels it at the agent.
    fn release(&mut self, reason: Option<Reason>) {
        if reason == Some(Reason::Evicted) {
            self.judge_source(pool::ServerOutcome::Failure(Reason::Evicted));
        }
        if let Some(placed) = self.decode.take() {
            let end = match reason {
                Some(reason) => pool::ServerOutcome::Failure(reason),
                None if self.first_at.is_some() => pool::ServerOutcome::Success,
                None => pool::ServerOutcome::Unknown,
            };
            selection::record_end(&self.ticket, &placed.server, list::Role::Decode, end);
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
        let usage = openai::Usage { prompt: self.prompt_tokens, output: u64::from(self.sent) };
        let is_whole = self.writer.finish(reason, usage, self.ticket.deadline).await;
        self.release(None);
        if is_whole {
            self.count_answer();
            self.ticket.set_outcome(Outcome::Answered, None);
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
        totals.count_answer(first_time, between, tokens, is_good);
    }

    async fn refuse(&mut self, refusal: Refusal) {
        self.release(Some(refusal.reason));
        self.ticket.set_outcome(refusal.outcome, Some(refusal.reason));
        self.writer.refuse(refusal).await;
    }
}

fn reason_of(event: &flow::Event) -> Option<Reason> {
    match event {
        flow::Event::Failed { refusal, .. } => Some(refusal.reason),
        flow::Event::CallerGone => Some(Reason::CallerGone),
        flow::Event::Expired => Some(Reason::TooLate),
        _ => None,
    }
}
