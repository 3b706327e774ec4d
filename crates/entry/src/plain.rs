//! Drives one plain call.

use std::time;

use bytes::Bytes;
use hyper::{HeaderMap, Method, Response, StatusCode, header};

use rhubarb_core::{ids, list, outcome, pool};
use rhubarb_node::{clock, hop, reply};
use rhubarb_wire::{message, offer};

use crate::{admit, completion, peer, placing, refuse};

use outcome::{Outcome, Reason, Refusal};

const RETRY_SOON: time::Duration = time::Duration::from_secs(1);
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
    reply: reply::Reply,
    tried: Vec<ids::ServerName>,
    retries: u32,
    unsure: bool,
}

enum Step {
    Done,
    Failed(Option<ids::ServerName>, Refusal),
}

impl Plain {
    pub(crate) fn new(
        ticket: admit::Ticket,
        target: time::Duration,
        call: Call,
        reply: reply::Reply,
    ) -> Plain {
        Plain { ticket, target, call, reply, tried: Vec::new(), retries: 0, unsure: false }
    }

    /// Runs the call to its one outcome.
    pub(crate) async fn drive(mut self) {
        loop {
            let Step::Failed(server, refusal) = self.attempt().await else { return };
            tracing::debug!("entry: attempt at {server:?} failed: {refusal}");
            self.unsure |= refusal.outcome != Outcome::NotRun;
            // Without any server another attempt is of no use now.
            if server.is_none() || !self.may_retry(&refusal) {
                return self.refuse(refusal).await;
            }
            self.retries += 1;
            self.tried.extend(server);
        }
    }

    // What may have run is repeated only if repeating it has no effect.
    fn may_retry(&self, refusal: &Refusal) -> bool {
        let ticket = &self.ticket;
        let is_safe = refusal.outcome == Outcome::NotRun
            || (ticket.key.is_none() && self.call.method.is_idempotent());
        let is_useful = completion::is_retryable(refusal.reason)
            && !self.reply.has_begun()
            && self.retries < MAX_RETRIES
            && clock::now() < ticket.deadline;
        is_safe
            && is_useful
            && ticket.entry.take_retry(&ticket.service.name, &ticket.caller, refusal.reason)
    }

    async fn attempt(&mut self) -> Step {
        let keyed = self.ticket.key.is_some();
        let unreachable = refuse::own(Refusal::not_run(Reason::NoServer, RETRY_SOON), keyed);
        let Some(server) = placing::choose(&self.ticket, list::Role::Plain, &self.tried, None)
        else {
            self.ticket.entry.list_wanted.notify_one();
            return Step::Failed(None, unreachable);
        };
        let step = self.attempt_at(&server, unreachable).await;
        let end = match &step {
            Step::Failed(_, refusal) => pool::End::Bad(refusal.reason),
            Step::Done => pool::End::Good,
        };
        placing::note_end(&self.ticket, &server, list::Role::Plain, end);
        step
    }

    async fn attempt_at(&mut self, server: &ids::ServerName, unreachable: Refusal) -> Step {
        let Some(peer) = self.ticket.entry.peer(server) else {
            return Step::Failed(Some(server.clone()), unreachable);
        };
        let Some(contact) = peer.contact().await else {
            return Step::Failed(Some(server.clone()), unreachable);
        };
        let run = self.ticket.entry.next_run();
        let order = message::Order::Offer(offer::Offer {
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
                reply::Waited::Event(peer::Event::Head(head)) => self.begin(&head),
                reply::Waited::Event(peer::Event::Bytes(bytes)) => {
                    if !self.reply.send(bytes.into(), self.ticket.deadline).await {
                        return Step::Done;
                    }
                }
                reply::Waited::Event(peer::Event::End) => {
                    self.count_answer();
                    self.ticket.close(Outcome::Answered, None);
                    return Step::Done;
                }
                reply::Waited::Event(peer::Event::Refused(refusal)) => {
                    return Step::Failed(Some(server.clone()), refusal);
                }
                reply::Waited::Event(_) => {}
                reply::Waited::Gone => return Step::Done,
                reply::Waited::Expired => {
                    let late = Refusal::unknown(Reason::TooLate, RETRY_SOON);
                    return Step::Failed(Some(server.clone()), late);
                }
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
        insert_id(response.headers_mut(), &self.call.id);
        self.reply.begin(response);
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
        let outcome = if self.unsure { Outcome::Unknown } else { refusal.outcome };
        let refusal = Refusal { outcome, ..refusal };
        self.ticket.close(refusal.outcome, Some(refusal.reason));
        if self.reply.has_begun() {
            return self.reply.break_off(refusal.reason.name()).await;
        }
        let mut response = refuse::answer(refusal, None);
        insert_id(response.headers_mut(), &self.call.id);
        self.reply.answer(response);
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
    !hop::is_hop(name, headers) && !OWN_HEADERS.contains(&name)
}

/// Sets the id by which the caller can name the request.
pub(crate) fn insert_id(headers: &mut HeaderMap, id: &str) {
    if let Ok(id) = header::HeaderValue::from_str(id) {
        headers.insert("x-request-id", id);
    }
}
