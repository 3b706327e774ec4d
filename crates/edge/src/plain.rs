//! Drives one plain call.

use std::time;

use bytes::Bytes;
use hyper::Response;

use rhubarb_core::{flow, ids, outcome, pool};
use rhubarb_node::{clock, responder, response};
use rhubarb_platform::{request, response as forms};

use outcome::{Outcome, RETRY_SOON, Reason, Refusal};

use crate::{call, connections, directory, exchange, refuse};

/// A repeatable request goes to another server after this multiple of its target.
const PATIENCE: f64 = 1.5;
/// Most sends of one request after the first, whatever came of them.
const MAX_RETRIES: u32 = 2;

/// One plain request on its way.
#[derive(Debug)]
pub(crate) struct Plain {
    call: call::Call,
    reply: responder::Responder,
    flow: flow::Flow,
    // A server's own failure, which is the answer if nothing better comes.
    failure: Option<Whole>,
    answer: Option<Whole>,
    // What was believed of the server that was chosen last.
    belief: Option<pool::Estimate>,
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
    pub(crate) fn new(call: call::Call, reply: responder::Responder) -> Plain {
        let flow = flow::Flow::new(flow::Path::Direct, call.retry_policy(MAX_RETRIES));
        Plain { call, reply, flow, failure: None, answer: None, belief: None }
    }

    /// Runs the call to its one outcome.
    pub(crate) async fn drive(mut self) {
        let take = async |request: &mut Plain, step| request.take_step(step).await;
        flow::drive(&mut self, |request| &mut request.flow, take).await;
    }

    async fn take_step(&mut self, step: flow::Step) -> Option<flow::Event> {
        match step {
            flow::Step::Send => return Some(self.send().await),
            flow::Step::Finish => {
                if let Some(answer) = self.answer.take() {
                    self.finish(answer);
                }
            }
            flow::Step::Refuse(refusal) => self.refuse(refusal),
            // A plain call holds nothing and has no stages.
            flow::Step::Release(_)
            | flow::Step::Reserve
            | flow::Step::Prefill
            | flow::Step::Replay => {}
        }
        None
    }

    async fn send(&mut self) -> flow::Event {
        let target = match self.choose() {
            directory::Choice::Server(target) => target,
            directory::Choice::Late => return no_server(Reason::NoRoom),
            directory::Choice::None => return no_server(Reason::NoServer),
        };
        let attempt = self.attempt(&target).await;
        self.judge(&target, &attempt);
        let refusal = match attempt {
            Attempt::Gone => return flow::Event::CallerGone,
            Attempt::Whole(whole) if !whole.head.status().is_server_error() => {
                self.answer = Some(whole);
                return flow::Event::Ended;
            }
            Attempt::Whole(whole) => {
                self.failure = Some(whole);
                Refusal::unknown(Reason::EngineFailed, RETRY_SOON)
            }
            Attempt::Failed(refusal) => refusal,
        };
        let server = Some(target.id);
        let retry = self.flow.may_retry(server.as_ref(), &refusal, clock::now())
            // What was not written reached no server, so it costs no budget.
            && (refusal.reason == Reason::NoServer || self.call.withdraw_retry(server.as_ref(), 1, refusal.reason));
        flow::Event::Failed { server, refusal, retry }
    }

    fn choose(&mut self) -> directory::Choice {
        let (call, now) = (&self.call, clock::now());
        let mut directory = call.edge.directory();
        let choice = directory.pick(&call.service, call.route.target, self.flow.tried(), now);
        if let directory::Choice::Server(target) = &choice {
            self.belief = directory.service(&call.service).pool.estimate(&target.id, now);
        }
        choice
    }

    // How long this attempt may take; one that can be repeated leaves time for another server.
    fn attempt_deadline(&self) -> time::Instant {
        let call = &self.call;
        if self.flow.is_last_run() {
            return call.deadline;
        }
        call.deadline.min(clock::now() + call.route.target.mul_f64(PATIENCE))
    }

    async fn attempt(&mut self, target: &directory::Target) -> Attempt {
        let deadline = self.attempt_deadline();
        let send = request::ServerHeaders {
            server: &target.id,
            time_left: deadline.saturating_duration_since(clock::now()),
            ..request::ServerHeaders::default()
        };
        let request = self.call.head.to_server(&send, self.call.body.clone());
        let edge = self.call.edge.clone();
        let sent_at = clock::now();
        let whole = exchange::fetch(&edge.links, target.address, request);
        match self.reply.wait(whole, deadline).await {
            responder::WaitOutcome::Disconnected => Attempt::Gone,
            responder::WaitOutcome::Expired => {
                Attempt::Failed(Refusal::unknown(Reason::EngineSilent, RETRY_SOON))
            }
            responder::WaitOutcome::Event(Err(connections::SendError::Unsent(err))) => {
                tracing::info!(id = self.call.id(), server = target.id, err, "edge: not sent");
                Attempt::Failed(Refusal::not_run(Reason::NoServer, RETRY_SOON))
            }
            responder::WaitOutcome::Event(Err(connections::SendError::ConnectionLost(err))) => {
                tracing::info!(id = self.call.id(), server = target.id, err, "edge: broke off");
                Attempt::Failed(Refusal::unknown(Reason::LostContact, RETRY_SOON))
            }
            responder::WaitOutcome::Event(Ok(read)) => self.take(target, sent_at, read),
        }
    }

    fn take(
        &mut self,
        target: &directory::Target,
        sent_at: time::Instant,
        read: exchange::BufferedResponse,
    ) -> Attempt {
        if let Some(load) = forms::reported_load(read.head.headers()) {
            let mut directory = self.call.edge.directory();
            if read.is_success() {
                directory.learn(&self.call.service, clock::now() - sent_at, load);
            }
            directory.hear(&self.call.service, &target.id, load, clock::now());
        }
        match forms::classify(&read.head, self.call.head.attempt.as_ref()) {
            forms::HeadClass::NotRun => {
                Attempt::Failed(Refusal::not_run(Reason::NoRoom, RETRY_SOON))
            }
            forms::HeadClass::OtherServer => {
                Attempt::Failed(Refusal::not_run(Reason::Leaving, RETRY_SOON))
            }
            forms::HeadClass::Invalid => {
                Attempt::Failed(Refusal::unknown(Reason::LostContact, RETRY_SOON))
            }
            forms::HeadClass::Valid => match read.body {
                Some(body) => {
                    let head = forms::forwarded_head(&read.head);
                    Attempt::Whole(Whole { head, body, server: target.id.clone() })
                }
                None => Attempt::Failed(Refusal::unknown(Reason::LostContact, RETRY_SOON)),
            },
        }
    }

    fn judge(&self, target: &directory::Target, attempt: &Attempt) {
        let end = match attempt {
            Attempt::Whole(whole) if whole.head.status().is_server_error() => {
                pool::ServerOutcome::Unknown
            }
            Attempt::Whole(_) => pool::ServerOutcome::Success,
            Attempt::Failed(refusal) => directory::bad_end(refusal.reason),
            Attempt::Gone => pool::ServerOutcome::Unknown,
        };
        let mut directory = self.call.edge.directory();
        let pool = &mut directory.service(&self.call.service).pool;
        pool.record_end(&target.id, end, clock::now());
        if let Attempt::Whole(whole) = attempt {
            pool.record_answer(&target.id, whole.head.status().is_server_error(), clock::now());
        }
    }

    fn finish(&mut self, whole: Whole) {
        let call = &self.call;
        call.edge.counters.requests.answered.inc();
        let took = clock::now() - call.arrived;
        call.edge.counters.plain_time.observe(took.as_secs_f64());
        call.account().add(|totals| {
            totals.count_outcome(Outcome::Answered, None);
            totals.first.add(took);
            let is_good = whole.head.status().is_success() && took <= call.route.target;
            totals.good += u64::from(is_good);
        });
        tracing::info!(
            id = call.id(),
            route = call.route.name,
            config = call.version,
            server = whole.server,
            busy = self.belief.map(|belief| belief.busy),
            news_ms = self.belief.map(|belief| belief.age.as_millis() as u64),
            sends = self.flow.retries() + 1,
            status = whole.head.status().as_u16(),
            age_ms = call.age_ms(),
            "edge: answered"
        );
        self.reply.respond(whole.head.map(|()| response::full(whole.body)));
    }

    fn refuse(&mut self, refusal: Refusal) {
        if refusal.outcome == Outcome::Cancelled {
            return refuse::record(&self.call, refusal);
        }
        if let Some(failure) = self.failure.take() {
            return self.finish(failure);
        }
        self.reply.respond(refuse::call_response(&self.call, refusal));
    }
}

// Without a server there is nothing to try again.
fn no_server(reason: Reason) -> flow::Event {
    let refusal = Refusal::not_run(reason, RETRY_SOON);
    flow::Event::Failed { server: None, refusal, retry: false }
}
