//! Drives one plain call.

use std::time;

use bytes::Bytes;
use hyper::{HeaderMap, Method, Response, StatusCode, header};

use rhubarb_core::{flow, ids, list, outcome, pool, routing};
use rhubarb_node::{clock, hop, responder};
use rhubarb_wire::{message, offer};

use crate::{admit, channel, refuse, request_id, selection};

use outcome::{Outcome, RETRY_SOON, Reason, Refusal};

const MAX_RETRIES: u32 = 2;

/// Headers that are for the entry itself.
const OWN_HEADERS: [&str; 2] = ["host", "authorization"];

/// A plain call that has been read.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) method: Method,
    pub(crate) target: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) id: String,
}

/// One plain request on its way.
#[derive(Debug)]
pub(crate) struct Plain {
    ticket: admit::Ticket,
    target: time::Duration,
    call: Call,
    reply: responder::Responder,
    flow: flow::Flow,
}

impl Plain {
    pub(crate) fn new(
        ticket: admit::Ticket,
        target: time::Duration,
        call: Call,
        reply: responder::Responder,
    ) -> Plain {
        let flow = flow::Flow::new(flow::Path::Direct, rules(&ticket, &call.method));
        Plain { ticket, target, call, reply, flow }
    }

    /// Runs the call to its one outcome.
    pub(crate) async fn drive(mut self) {
        let take = async |request: &mut Plain, step| request.take_step(step).await;
        flow::drive(&mut self, |request| &mut request.flow, take).await;
    }

    async fn take_step(&mut self, step: flow::Step) -> Option<flow::Event> {
        match step {
            flow::Step::Send => return Some(self.attempt().await),
            flow::Step::Finish => {
                self.count_answer();
                self.ticket.set_outcome(Outcome::Answered, None);
            }
            flow::Step::Refuse(refusal) => self.refuse(refusal).await,
            // A plain call holds nothing and has no stages.
            flow::Step::Release(_)
            | flow::Step::Reserve
            | flow::Step::Prefill
            | flow::Step::Replay => {}
        }
        None
    }

    fn failed(&self, server: Option<ids::ServerName>, refusal: Refusal) -> flow::Event {
        let ticket = &self.ticket;
        let retry = self.flow.may_retry(server.as_ref(), &refusal, clock::now())
            && ticket.entry.try_retry(&ticket.service.name, &ticket.caller, refusal.reason);
        flow::Event::Failed { server, refusal, retry }
    }

    async fn attempt(&mut self) -> flow::Event {
        let keyed = self.ticket.key.is_some();
        let unreachable =
            refuse::local_refusal(Refusal::not_run(Reason::NoServer, RETRY_SOON), keyed);
        let Some(server) =
            selection::choose(&self.ticket, list::Role::Plain, self.flow.tried(), None)
        else {
            self.ticket.entry.directory.want();
            return self.failed(None, unreachable);
        };
        let event = self.attempt_at(&server, unreachable).await;
        let end = match &event {
            flow::Event::Failed { refusal, .. } => pool::ServerOutcome::Failure(refusal.reason),
            flow::Event::Ended => pool::ServerOutcome::Success,
            _ => pool::ServerOutcome::Unknown,
        };
        selection::record_end(&self.ticket, &server, list::Role::Plain, end);
        event
    }

    async fn attempt_at(&mut self, server: &ids::ServerName, unreachable: Refusal) -> flow::Event {
        let Some(peer) = self.ticket.entry.backend.peer(server) else {
            return self.failed(Some(server.clone()), unreachable);
        };
        let Some(contact) = peer.contact().await else {
            return self.failed(Some(server.clone()), unreachable);
        };
        let run = self.ticket.entry.backend.next_run();
        let order = message::ToAgent::Offer(offer::Offer {
            run,
            key: self.ticket.key.as_ref().map(|key| key.hash),
            start_by_ms: contact.clock_at(self.ticket.deadline),
            limit_ms: self.ticket.time_left().as_millis() as u64,
            excess: self.ticket.excess,
            method: self.call.method.to_string(),
            target: self.call.target.clone(),
            headers: end_to_end(&self.call.headers),
            body: self.call.body.to_vec(),
        });
        let mut run = peer.start(run, contact, order);
        loop {
            match self.reply.wait(run.next(), self.ticket.deadline).await {
                responder::WaitOutcome::Event(channel::Event::Head(head)) => self.begin(&head),
                responder::WaitOutcome::Event(channel::Event::Bytes(bytes)) => {
                    if !self.reply.send(bytes.into(), self.ticket.deadline).await {
                        return flow::Event::CallerGone;
                    }
                }
                responder::WaitOutcome::Event(channel::Event::End) => return flow::Event::Ended,
                responder::WaitOutcome::Event(channel::Event::Refused(refusal)) => {
                    return self.failed(Some(server.clone()), refusal);
                }
                responder::WaitOutcome::Event(_) => {}
                responder::WaitOutcome::Disconnected => return flow::Event::CallerGone,
                responder::WaitOutcome::Expired => return flow::Event::Expired,
            }
        }
    }

    fn begin(&mut self, head: &message::Head) {
        let mut response = Response::new(());
        *response.status_mut() = StatusCode::from_u16(head.status).unwrap_or(StatusCode::OK);
        for copied in &head.headers {
            let name = header::HeaderName::from_bytes(copied.name.as_bytes());
            let value = header::HeaderValue::from_bytes(&copied.value);
            if let (Ok(name), Ok(value)) = (name, value)
                && is_end_to_end(name.as_str(), &HeaderMap::new())
            {
                response.headers_mut().append(name, value);
            }
        }
        request_id::insert(response.headers_mut(), &self.call.id);
        self.reply.start_stream(response);
        self.flow.handle(&flow::Event::Streamed);
    }

    fn count_answer(&self) {
        let taken = clock::now() - self.ticket.arrived;
        let mut ledger = self.ticket.entry.ledger();
        let totals = ledger.totals(&self.ticket.service.name, &self.ticket.caller);
        totals.first.add(taken);
        if taken <= self.target {
            totals.good += 1;
        }
    }

    async fn refuse(&mut self, refusal: Refusal) {
        self.ticket.set_outcome(refusal.outcome, Some(refusal.reason));
        if self.reply.has_started() {
            return self.reply.abort(refusal.reason.name()).await;
        }
        let mut response = refuse::error_response(refusal, None);
        request_id::insert(response.headers_mut(), &self.call.id);
        self.reply.respond(response);
    }
}

/// Headers that go on to the backend server.
fn end_to_end(headers: &HeaderMap) -> Vec<offer::Header> {
    let kept = headers.iter().filter(|(name, _)| is_end_to_end(name.as_str(), headers));
    let copied = kept.map(|(name, value)| offer::Header {
        name: name.as_str().to_string(),
        value: value.as_bytes().to_vec(),
    });
    copied.collect()
}

fn is_end_to_end(name: &str, headers: &HeaderMap) -> bool {
    !hop::is_hop_by_hop(name, headers) && !OWN_HEADERS.contains(&name)
}

// What may have run is repeated only if repeating it has no effect.
fn rules(ticket: &admit::Ticket, method: &Method) -> flow::RetryPolicy {
    let is_free = ticket.key.is_none() && method.is_idempotent();
    let kind = if is_free { routing::Kind::Safe } else { routing::Kind::Unsafe };
    let attempts = MAX_RETRIES + 1;
    flow::RetryPolicy {
        kind,
        max_runs: attempts,
        max_retries: MAX_RETRIES,
        deadline: ticket.deadline,
    }
}
