//! Drives one plain call.

use std::time;

use bytes::Bytes;
use hyper::Response;

use rhubarb_core::{ids, outcome, pool, repeat};
use rhubarb_node::{answer, clock, reply};
use rhubarb_platform::{answer as forms, request};

use outcome::{Outcome, Reason, Refusal};

use crate::{call, directory, exchange, links, refuse};

/// Time after which a caller may try again when no server can take its request.
const RETRY_SOON: time::Duration = time::Duration::from_secs(1);
/// A repeatable request goes to another server after this multiple of its target.
const PATIENCE: f64 = 1.5;
/// Most sends of one request, whatever came of them.
const MAX_SENDS: usize = 3;

/// One plain request on its way.
#[derive(Debug)]
pub(crate) struct Plain {
    call: call::Call,
    reply: reply::Reply,
    tried: Vec<ids::ServerName>,
    // Servers at which the request may have run.
    runs: u32,
    unsure: bool,
    // A server's own failure, which is the answer if nothing better comes.
    failure: Option<Whole>,
}

#[derive(Debug)]
struct Whole {
    head: Response<()>,
    body: Bytes,
    server: ids::ServerName,
}

enum Attempt {
    Whole(Whole),
    Failed(Refusal),
    Gone,
}

impl Plain {
    pub(crate) fn new(call: call::Call, reply: reply::Reply) -> Plain {
        Plain { call, reply, tried: Vec::new(), runs: 0, unsure: false, failure: None }
    }

    /// Runs the call to its one outcome.
    pub(crate) async fn drive(mut self) {
        loop {
            let target = match self.choose() {
                directory::Choice::Server(target) => target,
                directory::Choice::Late => {
                    return self.give_up(Refusal::not_run(Reason::NoRoom, RETRY_SOON));
                }
                directory::Choice::None => {
                    return self.give_up(Refusal::not_run(Reason::NoServer, RETRY_SOON));
                }
            };
            let attempt = self.attempt(&target).await;
            self.judge(&target, &attempt);
            self.tried.push(target.id.clone());
            let refusal = match attempt {
                Attempt::Gone => return self.note_gone(),
                Attempt::Whole(whole) if !whole.head.status().is_server_error() => {
                    return self.finish(whole);
                }
                Attempt::Whole(whole) => {
                    self.failure = Some(whole);
                    Refusal::unknown(Reason::EngineFailed, RETRY_SOON)
                }
                Attempt::Failed(refusal) => refusal,
            };
            if refusal.outcome != Outcome::NotRun {
                self.unsure = true;
                self.runs += 1;
            }
            if !self.may_repeat(&refusal) {
                return self.give_up(refusal);
            }
        }
    }

    fn choose(&self) -> directory::Choice {
        let call = &self.call;
        let mut directory = call.edge.directory();
        directory.pick(&call.service, call.route.target, &self.tried, clock::now())
    }

    fn may_repeat(&self, refusal: &Refusal) -> bool {
        let call = &self.call;
        repeat::is_allowed(call.route.kind, refusal.outcome)
            && self.runs < call.route.attempts
            && self.tried.len() < MAX_SENDS
            && clock::now() < call.deadline
            // What was not written reached no server, so it costs no budget.
            && (refusal.reason == Reason::NoServer || call.take_repeats(1, refusal.reason))
    }

    // How long this attempt may take; one that can be repeated leaves time for another server.
    fn attempt_deadline(&self) -> time::Instant {
        let call = &self.call;
        let is_last = self.runs + 1 >= call.route.attempts || self.tried.len() + 1 >= MAX_SENDS;
        if !call.route.kind.is_repeatable() || is_last {
            return call.deadline;
        }
        call.deadline.min(clock::now() + call.route.target.mul_f64(PATIENCE))
    }

    async fn attempt(&mut self, target: &directory::Target) -> Attempt {
        let deadline = self.attempt_deadline();
        let send = request::Send {
            expect: &target.id,
            left: deadline.saturating_duration_since(clock::now()),
            ..request::Send::default()
        };
        let request = self.call.head.to_server(&send, self.call.body.clone());
        let edge = self.call.edge.clone();
        let sent_at = clock::now();
        let whole = exchange::fetch(&edge.links, target.address, request);
        match self.reply.wait(whole, deadline).await {
            reply::Waited::Gone => Attempt::Gone,
            reply::Waited::Expired => {
                Attempt::Failed(Refusal::unknown(Reason::EngineSilent, RETRY_SOON))
            }
            reply::Waited::Event(Err(links::SendError::Unsent(err))) => {
                tracing::info!(id = self.call.id(), server = target.id, err, "edge: not sent");
                Attempt::Failed(Refusal::not_run(Reason::NoServer, RETRY_SOON))
            }
            reply::Waited::Event(Err(links::SendError::Broken(err))) => {
                tracing::info!(id = self.call.id(), server = target.id, err, "edge: broke off");
                Attempt::Failed(Refusal::unknown(Reason::LostContact, RETRY_SOON))
            }
            reply::Waited::Event(Ok(read)) => self.take(target, sent_at, read),
        }
    }

    fn take(
        &mut self,
        target: &directory::Target,
        sent_at: time::Instant,
        read: exchange::Read,
    ) -> Attempt {
        if let Some(load) = forms::load(read.head.headers()) {
            let mut directory = self.call.edge.directory();
            if read.is_success() {
                directory.learn(&self.call.service, clock::now() - sent_at, load);
            }
            directory.hear(&self.call.service, &target.id, load, clock::now());
        }
        match forms::judge(&read.head, self.call.head.attempt.as_ref()) {
            forms::Proof::NotRun => Attempt::Failed(Refusal::not_run(Reason::NoRoom, RETRY_SOON)),
            forms::Proof::OtherServer => {
                Attempt::Failed(Refusal::not_run(Reason::Leaving, RETRY_SOON))
            }
            forms::Proof::Foreign => {
                Attempt::Failed(Refusal::unknown(Reason::LostContact, RETRY_SOON))
            }
            forms::Proof::Genuine => match read.body {
                Some(body) => {
                    let head = forms::to_caller(&read.head);
                    Attempt::Whole(Whole { head, body, server: target.id.clone() })
                }
                None => Attempt::Failed(Refusal::unknown(Reason::LostContact, RETRY_SOON)),
            },
        }
    }

    fn judge(&self, target: &directory::Target, attempt: &Attempt) {
        let end = match attempt {
            Attempt::Whole(whole) if whole.head.status().is_server_error() => pool::End::Open,
            Attempt::Whole(_) => pool::End::Good,
            Attempt::Failed(refusal) => directory::bad_end(refusal.reason),
            Attempt::Gone => pool::End::Open,
        };
        let mut directory = self.call.edge.directory();
        let pool = &mut directory.service(&self.call.service).pool;
        pool.ended(&target.id, end, clock::now());
        if let Attempt::Whole(whole) = attempt {
            pool.answered(&target.id, whole.head.status().is_server_error(), clock::now());
        }
    }

    fn finish(&mut self, whole: Whole) {
        let call = &self.call;
        call.edge.counters.answered.inc();
        call.edge.counters.plain_time.observe((clock::now() - call.arrived).as_secs_f64());
        tracing::info!(
            id = call.id(),
            route = call.route.name,
            config = call.version,
            server = whole.server,
            sends = self.tried.len(),
            status = whole.head.status().as_u16(),
            age_ms = call.age_ms(),
            "edge: answered"
        );
        self.reply.answer(whole.head.map(|()| answer::full(whole.body)));
    }

    fn give_up(&mut self, refusal: Refusal) {
        if let Some(failure) = self.failure.take() {
            return self.finish(failure);
        }
        let outcome = if self.unsure { Outcome::Unknown } else { refusal.outcome };
        let response = refuse::late(&self.call, Refusal { outcome, ..refusal });
        self.reply.answer(response);
    }

    fn note_gone(&self) {
        let outcome = Outcome::Cancelled;
        refuse::note(&self.call, Refusal { reason: Reason::CallerGone, outcome, retry: None });
    }
}
