//! Drives one model request: slot reservation, prefill, decode and response.

use std::time;

use rhubarb_core::{flow, ids, list, outcome, pool};
use rhubarb_node::{clock, responder};
use rhubarb_wire::message;

use crate::{admit, channel, openai, peer, refuse, response_writer, selection};

use outcome::{Outcome, RETRY_SOON, Reason, Refusal};

/// A model request in progress.
#[derive(Debug)]
pub(crate) struct Completion {
    ticket: admit::Ticket,
    targets: LatencyTargets,
    request: openai::Request,
    writer: response_writer::ResponseWriter,
    flow: flow::Flow,
    decode: Option<ServerRun>,
    prefilled: Option<message::Prefilled>,
    // Server that prefilled the prompt, until a token confirms that the result was usable.
    prefill_server: Option<ids::ServerName>,
    // Whether the attempt failed at its prefill server, so that the decode server is not at fault.
    prefill_failed: bool,
    // Bytes of the response body after its last complete line.
    partial_line: Vec<u8>,
    tokens_sent: u32,
    prompt_tokens: u64,
    // Arrival of the first and of the last token.
    first_at: Option<time::Instant>,
    last_at: Option<time::Instant>,
}

/// Latency targets and maximum queueing time of a service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LatencyTargets {
    first_token: time::Duration,
    between_tokens: time::Duration,
    max_wait: time::Duration,
}

impl LatencyTargets {
    /// Targets of a model service; `None` for a plain one.
    pub(crate) fn for_service(service: &list::Service) -> Option<LatencyTargets> {
        let list::Kind::Model(model) = &service.kind else { return None };
        Some(LatencyTargets {
            first_token: model.first_token,
            between_tokens: model.between_tokens,
            max_wait: model.max_wait,
        })
    }
}

/// A run and the server that executes it.
#[derive(Debug)]
struct ServerRun {
    server: ids::ServerName,
    run: peer::Run,
}

impl Completion {
    pub(crate) fn new(
        ticket: admit::Ticket,
        targets: LatencyTargets,
        request: openai::Request,
        writer: response_writer::ResponseWriter,
    ) -> Completion {
        let policy = flow::RetryPolicy::model(ticket.key.is_some(), ticket.deadline());
        let flow = flow::Flow::new(flow::Path::Staged, policy);
        Completion {
            ticket,
            targets,
            request,
            writer,
            flow,
            decode: None,
            prefilled: None,
            prefill_server: None,
            prefill_failed: false,
            partial_line: Vec::new(),
            tokens_sent: 0,
            prompt_tokens: 0,
            first_at: None,
            last_at: None,
        }
    }

    /// Drives the request to its final outcome.
    pub(crate) async fn drive(mut self) {
        let execute = async |request: &mut Completion, step| request.execute(step).await;
        flow::drive(&mut self, |request| &mut request.flow, execute).await;
    }

    async fn execute(&mut self, step: flow::Step) -> Option<flow::Event> {
        match step {
            flow::Step::Reserve => return Some(self.reserve().await),
            flow::Step::Prefill => {
                let event = self.prefill().await;
                self.prefill_failed = failure_reason(&event).is_some();
                return Some(event);
            }
            flow::Step::Send => return Some(self.decode().await),
            flow::Step::Replay => return Some(self.stream().await),
            flow::Step::Release(reason) => self.release(Some(reason)),
            flow::Step::Finish => self.finish().await,
            flow::Step::Refuse(refusal) => self.refuse(refusal).await,
        }
        None
    }

    // The request was not sent to the server; with an idempotency key, an earlier copy may have
    // reached it.
    fn server_unreachable(&self, server: Option<ids::ServerName>, keyed: bool) -> flow::Event {
        let refusal = refuse::local_refusal(Refusal::not_run(Reason::NoServer, RETRY_SOON), keyed);
        self.failure_event(server, refusal)
    }

    // Event of a failed attempt; withdraws a retry from the budget if the request may be retried.
    fn failure_event(&self, server: Option<ids::ServerName>, refusal: Refusal) -> flow::Event {
        let ticket = &self.ticket;
        let retry = self.flow.may_retry(server.as_ref(), &refusal, clock::now())
            && ticket.entry.try_retry(&ticket.service.name, &ticket.caller, refusal.reason);
        flow::Event::Failed { server, refusal, retry }
    }

    async fn reserve(&mut self) -> flow::Event {
        let keyed = self.ticket.key.is_some();
        let role = list::Role::Decode;
        let selected = selection::connect(&self.ticket, role, self.flow.tried(), None).await;
        let selection::Selected { server, peer, agent } = match selected {
            Ok(selected) => selected,
            Err(selection::SelectError::NoServer) => {
                self.ticket.entry.directory.request_refresh();
                return self.server_unreachable(None, keyed);
            }
            Err(selection::SelectError::Unreachable(server)) => {
                return self.server_unreachable(Some(server), keyed);
            }
        };
        let wait_deadline = self.ticket.deadline().min(clock::now() + self.targets.max_wait);
        let run_id = self.ticket.entry.peers.next_run_id();
        let message = message::ToAgent::Reserve(message::Reserve {
            run: run_id,
            key: self.ticket.key.as_ref().map(|key| key.hash),
            wait_by_ms: agent.clock_at(wait_deadline),
            start_by_ms: agent.clock_at(self.ticket.deadline()),
            excess: self.ticket.excess,
        });
        let mut run = peer.start(run_id, agent, message);
        let result = self.ticket.wait(&mut self.writer.responder, run.next()).await;
        self.decode = Some(ServerRun { server: server.clone(), run });
        match result {
            responder::WaitOutcome::Event(channel::Event::Reserved) => flow::Event::Reserved,
            responder::WaitOutcome::Event(channel::Event::Head(head)) => {
                self.prompt_tokens = head.prompt_tokens().unwrap_or(0).into();
                flow::Event::Replayed
            }
            result => self.wait_failure_event(server, result),
        }
    }

    // Event of an attempt whose wait did not end with the expected event.
    fn wait_failure_event(
        &self,
        server: ids::ServerName,
        result: responder::WaitOutcome<channel::Event>,
    ) -> flow::Event {
        match result {
            responder::WaitOutcome::Disconnected => flow::Event::CallerGone,
            responder::WaitOutcome::Expired => flow::Event::Expired,
            responder::WaitOutcome::Event(channel::Event::Refused(refusal)) => {
                self.failure_event(Some(server), refusal)
            }
            responder::WaitOutcome::Event(_) => {
                self.failure_event(Some(server), Refusal::unknown(Reason::EngineFailed, RETRY_SOON))
            }
        }
    }

    // A prefill produces no output for the caller, so an attempt that fails here counts as not run.
    async fn prefill(&mut self) -> flow::Event {
        let (tried, prompt) = (self.flow.tried(), Some(self.request.prompt.as_str()));
        let selected = selection::connect(&self.ticket, list::Role::Prefill, tried, prompt).await;
        let selected = match selected {
            Ok(selected) => selected,
            Err(selection::SelectError::NoServer) => return self.server_unreachable(None, false),
            Err(selection::SelectError::Unreachable(server)) => {
                return self.server_unreachable(Some(server), false);
            }
        };
        let server = selected.server.clone();
        let event = self.prefill_at(selected).await;
        let outcome = failure_reason(&event)
            .map_or(pool::ServerOutcome::Unknown, pool::ServerOutcome::Failure);
        selection::record_end(&self.ticket, &server, list::Role::Prefill, outcome);
        event
    }

    async fn prefill_at(&mut self, selected: selection::Selected) -> flow::Event {
        let selection::Selected { server, peer, agent } = selected;
        let run_id = self.ticket.entry.peers.next_run_id();
        let message = message::ToAgent::Prefill(message::Prefill {
            run: run_id,
            start_by_ms: agent.clock_at(self.ticket.deadline()),
            due_ms: agent.clock_at(self.ticket.arrived + self.targets.first_token),
            max_wait_ms: self.targets.max_wait.as_millis() as u64,
            limit_ms: self.ticket.time_left().as_millis() as u64,
            excess: self.ticket.excess,
            prompt: self.request.prompt.clone(),
        });
        let mut run = peer.start(run_id, agent, message);
        match self.ticket.wait(&mut self.writer.responder, run.next()).await {
            responder::WaitOutcome::Event(channel::Event::Prefilled(prefilled)) => {
                self.record_prefill(&prefilled);
                self.prefilled = Some(prefilled);
                self.prefill_server = Some(server);
                flow::Event::Prefilled
            }
            responder::WaitOutcome::Event(channel::Event::Refused(refusal)) => {
                let refusal = Refusal { outcome: Outcome::NotRun, ..refusal };
                self.failure_event(Some(server), refusal)
            }
            result => self.wait_failure_event(server, result),
        }
    }

    fn record_prefill(&mut self, prefilled: &message::Prefilled) {
        let tokens = u64::from(prefilled.tokens);
        self.prompt_tokens = tokens;
        let work = time::Duration::from_micros(prefilled.work_us);
        let size = self.request.prompt.len() as u32;
        let service = &self.ticket.service.name;
        self.ticket.entry.directory.view().prefill_time(service).record(size, work);
        let mut ledger = self.ticket.entry.ledger();
        let totals = ledger.totals(service, &self.ticket.caller);
        totals.prefill_tokens += tokens;
    }

    async fn decode(&mut self) -> flow::Event {
        let (Some(decode), Some(prefilled)) = (&self.decode, &self.prefilled) else {
            return self.server_unreachable(None, self.ticket.key.is_some());
        };
        let message = message::ToAgent::Decode(message::Decode {
            run: decode.run.id,
            limit_ms: self.ticket.time_left().as_millis() as u64,
            source: prefilled.source.clone(),
            handle: prefilled.handle.clone(),
            prompt: self.request.prompt.clone(),
            prompt_tokens: self.prompt_tokens as u32,
            max_tokens: self.request.max_tokens,
            skip: self.tokens_sent,
            key: self.ticket.key.as_ref().map(|key| key.text.clone()),
        });
        decode.run.send(message);
        self.stream().await
    }

    async fn stream(&mut self) -> flow::Event {
        self.partial_line.clear();
        loop {
            let Some(decode) = &mut self.decode else {
                return self.server_unreachable(None, self.ticket.key.is_some());
            };
            match self.ticket.wait(&mut self.writer.responder, decode.run.next()).await {
                responder::WaitOutcome::Event(
                    channel::Event::Head(_) | channel::Event::Reserved,
                ) => {}
                responder::WaitOutcome::Event(channel::Event::Bytes(bytes)) => {
                    if let Some(event) = self.handle_bytes(&bytes).await {
                        return event;
                    }
                }
                responder::WaitOutcome::Event(channel::Event::End) => return flow::Event::Ended,
                result => {
                    let server = decode.server.clone();
                    return self.wait_failure_event(server, result);
                }
            }
        }
    }

    // The response body of a decode has one JSON line for each token. Returns the event that ends the
    // run, if there is one.
    async fn handle_bytes(&mut self, bytes: &[u8]) -> Option<flow::Event> {
        self.partial_line.extend_from_slice(bytes);
        while let Some(end) = self.partial_line.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.partial_line.drain(..=end).collect();
            let Ok(token) = serde_json::from_slice::<message::Token>(&line) else {
                let server = self.decode.as_ref().map(|decode| decode.server.clone());
                tracing::warn!(server, bytes = line.len(), "entry: line of an answer has no token");
                let refusal = Refusal::unknown(Reason::EngineFailed, RETRY_SOON);
                return Some(self.failure_event(server, refusal));
            };
            match self.forward_token(&token.token).await {
                responder::SendOutcome::Sent => {}
                responder::SendOutcome::Disconnected => return Some(flow::Event::CallerGone),
                responder::SendOutcome::Expired => return Some(flow::Event::Expired),
            }
        }
        None
    }

    async fn forward_token(&mut self, token: &str) -> responder::SendOutcome {
        let now = clock::now();
        self.flow.handle(&flow::Event::Streamed);
        self.record_prefill_outcome(pool::ServerOutcome::Success);
        self.first_at.get_or_insert(now);
        self.last_at = Some(now);
        self.tokens_sent += 1;
        // The prefill is not wasted once a token has been decoded from it.
        self.prefilled = None;
        self.writer.write_token(token, self.ticket.deadline()).await
    }

    // The prefill server is charged with a failure if its result was evicted or not delivered, and
    // credited with a success at the first token decoded from it.
    fn record_prefill_outcome(&mut self, outcome: pool::ServerOutcome) {
        let Some(server) = self.prefill_server.take() else { return };
        selection::record_outcome(&self.ticket, &server, list::Role::Prefill, outcome);
    }

    // Dropping the run cancels it at the agent. A prefill from which no token was decoded is wasted.
    fn release(&mut self, reason: Option<Reason>) {
        if reason == Some(Reason::Evicted) {
            self.record_prefill_outcome(pool::ServerOutcome::Failure(Reason::Evicted));
        }
        if let Some(decode) = self.decode.take() {
            let outcome = match reason {
                Some(_) if self.prefill_failed => pool::ServerOutcome::Unknown,
                Some(reason) => pool::ServerOutcome::Failure(reason),
                None if self.first_at.is_some() => pool::ServerOutcome::Success,
                None => pool::ServerOutcome::Unknown,
            };
            selection::record_end(&self.ticket, &decode.server, list::Role::Decode, outcome);
        }
        self.prefill_failed = false;
        if let Some(prefilled) = self.prefilled.take() {
            let ticket = &self.ticket;
            let reason = reason.unwrap_or(Reason::Withdrawn);
            let tokens = u64::from(prefilled.tokens);
            ticket.entry.count_waste(&ticket.service.name, &ticket.caller, reason, tokens);
        }
    }

    async fn finish(&mut self) {
        let reason = if self.tokens_sent >= self.request.max_tokens { "length" } else { "stop" };
        let usage =
            openai::Usage { prompt: self.prompt_tokens, output: u64::from(self.tokens_sent) };
        let sent = self.writer.finish(reason, usage, self.ticket.deadline()).await;
        self.release(None);
        match sent {
            responder::SendOutcome::Sent => {
                self.count_answer();
                self.ticket.set_outcome(Outcome::Answered, None);
            }
            responder::SendOutcome::Disconnected => {
                self.ticket.set_outcome(Outcome::Cancelled, Some(Reason::CallerGone));
            }
            responder::SendOutcome::Expired => {
                self.ticket.set_outcome(Outcome::Unknown, Some(Reason::TooLate));
                self.writer.responder.abort(Reason::TooLate.name()).await;
            }
        }
    }

    fn count_answer(&self) {
        let (Some(first), Some(last)) = (self.first_at, self.last_at) else { return };
        let first_latency = first - self.ticket.arrived;
        let gaps = self.tokens_sent.saturating_sub(1).max(1);
        let between = (last - first) / gaps;
        let is_good =
            first_latency <= self.targets.first_token && between <= self.targets.between_tokens;
        let tokens = u64::from(self.tokens_sent);
        let mut ledger = self.ticket.entry.ledger();
        let totals = ledger.totals(&self.ticket.service.name, &self.ticket.caller);
        totals.count_answer(first_latency, between, tokens, is_good);
    }

    async fn refuse(&mut self, refusal: Refusal) {
        self.release(Some(refusal.reason));
        self.ticket.set_outcome(refusal.outcome, Some(refusal.reason));
        self.writer.refuse(refusal).await;
    }
}

fn failure_reason(event: &flow::Event) -> Option<Reason> {
    match event {
        flow::Event::Failed { refusal, .. } => Some(refusal.reason),
        flow::Event::CallerGone => Some(Reason::CallerGone),
        flow::Event::Expired => Some(Reason::TooLate),
        _ => None,
    }
}
