//! Drives one request to a plain service.

use std::time;

use bytes::Bytes;
use hyper::{HeaderMap, Method, Response, StatusCode, header};

use rhubarb_core::{flow, ids, list, outcome, pool, routing};
use rhubarb_node::{clock, hop, responder};
use rhubarb_wire::{message, offer};

use crate::{admit, channel, refuse, request_id, selection};

use outcome::{Outcome, RETRY_SOON, Reason, Refusal};

const MAX_RETRIES: u32 = 2;

/// Headers addressed to the entry, which are not forwarded.
const ENTRY_HEADERS: [&str; 2] = ["host", "authorization"];

/// Contents of a request to a plain service.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) method: Method,
    pub(crate) target: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) id: String,
}

/// A request to a plain service in progress.
#[derive(Debug)]
pub(crate) struct PlainRequest {
    ticket: admit::Ticket,
    latency_target: time::Duration,
    call: Call,
    responder: responder::Responder,
    flow: flow::Flow,
}

impl PlainRequest {
    pub(crate) fn new(
        ticket: admit::Ticket,
        latency_target: time::Duration,
        call: Call,
        responder: responder::Responder,
    ) -> PlainRequest {
        let flow = flow::Flow::new(flow::Path::Direct, retry_policy(&ticket, &call.method));
        PlainRequest { ticket, latency_target, call, responder, flow }
    }

    /// Drives the request to its final outcome.
    pub(crate) async fn drive(mut self) {
        let execute = async |request: &mut PlainRequest, step| request.execute(step).await;
        flow::drive(&mut self, |request| &mut request.flow, execute).await;
    }

    async fn execute(&mut self, step: flow::Step) -> Option<flow::Event> {
        match step {
            flow::Step::Send => return Some(self.attempt().await),
            flow::Step::Finish => {
                self.responder.finish();
                self.count_answer();
                self.ticket.set_outcome(Outcome::Answered, None);
            }
            flow::Step::Refuse(refusal) => self.refuse(refusal).await,
            // A plain request reserves no slot and has no stages.
            flow::Step::Release(_)
            | flow::Step::Reserve
            | flow::Step::Prefill
            | flow::Step::Replay => {}
        }
        None
    }

    // Event of a failed attempt; withdraws a retry from the budget if the request may be retried.
    fn failure_event(&self, server: Option<ids::ServerName>, refusal: Refusal) -> flow::Event {
        let ticket = &self.ticket;
        let retry = self.flow.may_retry(server.as_ref(), &refusal, clock::now())
            && ticket.entry.try_retry(&ticket.service.name, &ticket.caller, refusal.reason);
        flow::Event::Failed { server, refusal, retry }
    }

    async fn attempt(&mut self) -> flow::Event {
        let keyed = self.ticket.key.is_some();
        let unreachable =
            refuse::local_refusal(Refusal::not_run(Reason::NoServer, RETRY_SOON), keyed);
        let role = list::Role::Plain;
        let selected = selection::connect(&self.ticket, role, self.flow.tried(), None).await;
        let selected = match selected {
            Ok(selected) => selected,
            Err(selection::SelectError::NoServer) => {
                self.ticket.entry.directory.request_refresh();
                return self.failure_event(None, unreachable);
            }
            Err(selection::SelectError::Unreachable(server)) => {
                return self.failure_event(Some(server), unreachable);
            }
        };
        let server = selected.server.clone();
        let event = self.attempt_at(selected).await;
        let outcome = match &event {
            flow::Event::Failed { refusal, .. } => pool::ServerOutcome::Failure(refusal.reason),
            flow::Event::Ended => pool::ServerOutcome::Success,
            _ => pool::ServerOutcome::Unknown,
        };
        selection::record_end(&self.ticket, &server, role, outcome);
        event
    }

    async fn attempt_at(&mut self, selected: selection::Selected) -> flow::Event {
        let selection::Selected { server, peer, agent } = selected;
        let run_id = self.ticket.entry.peers.next_run_id();
        let message = message::ToAgent::Offer(offer::Offer {
            run: run_id,
            key: self.ticket.key.as_ref().map(|key| key.hash),
            start_by_ms: agent.clock_at(self.ticket.deadline()),
            limit_ms: self.ticket.time_left().as_millis() as u64,
            excess: self.ticket.excess,
            method: self.call.method.to_string(),
            target: self.call.target.clone(),
            headers: end_to_end(&self.call.headers),
            body: self.call.body.to_vec(),
        });
        let mut run = peer.start(run_id, agent, message);
        loop {
            match self.ticket.wait(&mut self.responder, run.next()).await {
                responder::WaitOutcome::Event(channel::Event::Head(head)) => {
                    self.start_response(&head)
                }
                responder::WaitOutcome::Event(channel::Event::Bytes(bytes)) => {
                    match self.responder.send(bytes.into(), self.ticket.deadline()).await {
                        responder::SendOutcome::Sent => {}
                        responder::SendOutcome::Disconnected => return flow::Event::CallerGone,
                        responder::SendOutcome::Expired => return flow::Event::Expired,
                    }
                }
                responder::WaitOutcome::Event(channel::Event::End) => return flow::Event::Ended,
                responder::WaitOutcome::Event(channel::Event::Refused(refusal)) => {
                    return self.failure_event(Some(server), refusal);
                }
                responder::WaitOutcome::Event(_) => {}
                responder::WaitOutcome::Disconnected => return flow::Event::CallerGone,
                responder::WaitOutcome::Expired => return flow::Event::Expired,
            }
        }
    }

    fn start_response(&mut self, head: &message::Head) {
        let mut response = Response::new(());
        let status = StatusCode::from_u16(head.status).inspect_err(|err| {
            tracing::warn!(status = head.status, %err, "entry: invalid status from an agent");
        });
        *response.status_mut() = status.unwrap_or(StatusCode::BAD_GATEWAY);
        for copied in &head.headers {
            let name = header::HeaderName::from_bytes(copied.name.as_bytes());
            let value = header::HeaderValue::from_bytes(&copied.value);
            if let (Ok(name), Ok(value)) = (name, value)
                && is_end_to_end(name.as_str(), &HeaderMap::new())
                && name != refuse::OUTCOME_HEADER
            {
                response.headers_mut().append(name, value);
            }
        }
        request_id::insert(response.headers_mut(), &self.call.id);
        self.responder.start_stream(response);
        self.flow.handle(&flow::Event::Streamed);
    }

    fn count_answer(&self) {
        let latency = clock::now() - self.ticket.arrived;
        let mut ledger = self.ticket.entry.ledger();
        let totals = ledger.totals(&self.ticket.service.name, &self.ticket.caller);
        totals.first.add(latency);
        if latency <= self.latency_target {
            totals.good += 1;
        }
    }

    async fn refuse(&mut self, refusal: Refusal) {
        self.ticket.set_outcome(refusal.outcome, Some(refusal.reason));
        if self.responder.has_started() {
            return self.responder.abort(refusal.reason.name()).await;
        }
        let mut response = refuse::error_response(refusal, None);
        request_id::insert(response.headers_mut(), &self.call.id);
        self.responder.respond(response);
    }
}

/// Headers that are forwarded to the backend server.
fn end_to_end(headers: &HeaderMap) -> Vec<offer::Header> {
    let kept = headers.iter().filter(|(name, _)| is_end_to_end(name.as_str(), headers));
    let copied = kept.map(|(name, value)| offer::Header {
        name: name.as_str().to_string(),
        value: value.as_bytes().to_vec(),
    });
    copied.collect()
}

fn is_end_to_end(name: &str, headers: &HeaderMap) -> bool {
    !hop::is_hop_by_hop(name, headers) && !ENTRY_HEADERS.contains(&name)
}

// A request that may have run is sent again only if its method is idempotent and it has no
// idempotency key, because the key limits it to one run.
fn retry_policy(ticket: &admit::Ticket, method: &Method) -> flow::RetryPolicy {
    let is_safe = ticket.key.is_none() && method.is_idempotent();
    let kind = if is_safe { routing::Kind::Safe } else { routing::Kind::Unsafe };
    let attempts = MAX_RETRIES + 1;
    flow::RetryPolicy {
        kind,
        max_runs: attempts,
        max_retries: MAX_RETRIES,
        deadline: ticket.deadline(),
    }
}
