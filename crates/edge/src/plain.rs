//! Drives plain requests, which have a single response and no stages.

use std::{future, time};

use bytes::Bytes;
use hyper::Response;

use rhubarb_core::{flow, ids, outcome, pool};
use rhubarb_node::{clock, responder, response};
use rhubarb_platform::{request, response as platform_response};

use outcome::{Outcome, RETRY_SOON, Reason, Refusal};

use crate::{call, connections, directory, exchange, quotas, refuse, reservation, suspects};

/// Timeout of an attempt that may be followed by another, as a multiple of the latency target.
const ATTEMPT_TIMEOUT_FACTOR: f64 = 1.5;
/// Maximum number of attempts after the first, including those that did not run.
const MAX_RETRIES: u32 = 2;

/// Interval at which a request waits for room in the queues of a plain service: some of its answers
/// arrive in that time.
const ROOM_RECHECK: time::Duration = time::Duration::from_millis(10);

/// Plain request in progress.
#[derive(Debug)]
pub(crate) struct Plain {
    call: call::Call,
    responder: responder::Responder,
    flow: flow::Flow,
    // Failure response of a server, which the caller gets if no other attempt succeeds.
    failure: Option<ServerResponse>,
    answer: Option<ServerResponse>,
    // Estimated load of the server that was chosen last.
    estimate: Option<pool::Estimate>,
    // When the last attempt was sent.
    sent_at: time::Instant,
}

#[derive(Debug)]
struct ServerResponse {
    head: Response<()>,
    body: Bytes,
    server: ids::ServerName,
    class: platform_response::HeadClass,
}

impl ServerResponse {
    // Whether the server says that it failed, or by its status that it did not run what it may have run.
    fn has_failed(&self) -> bool {
        self.class == platform_response::HeadClass::Ambiguous
            || self.head.status().is_server_error()
    }
}

enum Attempt {
    Completed(ServerResponse),
    Failed(Refusal),
    // The request reached no server.
    Unsent(Reason),
    Disconnected,
}

impl Plain {
    pub(crate) fn new(call: call::Call, responder: responder::Responder) -> Plain {
        let flow = flow::Flow::new(flow::Path::Direct, call.retry_policy(MAX_RETRIES));
        let sent_at = call.arrived;
        Plain { call, responder, flow, failure: None, answer: None, estimate: None, sent_at }
    }

    /// Runs the request to its final outcome.
    pub(crate) async fn drive(mut self) {
        let execute = async |request: &mut Plain, step| request.execute(step).await;
        flow::drive(&mut self, |request| &mut request.flow, execute).await;
    }

    async fn execute(&mut self, step: flow::Step) -> Option<flow::Event> {
        match step {
            flow::Step::Send => return Some(self.send().await),
            flow::Step::Finish => {
                if let Some(answer) = self.answer.take() {
                    self.finish(answer);
                }
            }
            flow::Step::Refuse(refusal) => self.refuse(refusal),
            // A plain request holds no resources and has no stages.
            flow::Step::Release(_)
            | flow::Step::Reserve
            | flow::Step::Prefill
            | flow::Step::Replay => {}
        }
        None
    }

    async fn send(&mut self) -> flow::Event {
        if self.flow.retries() == 0
            && let Err(refusal) = suspects::admit(&mut self.call).await
        {
            return flow::Event::Failed { server: None, refusal, retry: false };
        }
        let room_limit = self.room_limit();
        let choice = loop {
            match self.choose() {
                // A server may be sent to again soon enough.
                directory::Choice::Paused(closed) if closed.until <= self.wait_limit() => {
                    let waiting =
                        self.call.wait(&mut self.responder, future::pending::<()>(), closed.until);
                    if let responder::WaitOutcome::Disconnected = waiting.await {
                        return flow::Event::CallerGone;
                    }
                }
                // An answer, or the age of a report, may show room that is soon enough.
                directory::Choice::Saturated if clock::now() + ROOM_RECHECK <= room_limit => {
                    let until = clock::now() + ROOM_RECHECK;
                    let waiting =
                        self.call.wait(&mut self.responder, future::pending::<()>(), until);
                    if let responder::WaitOutcome::Disconnected = waiting.await {
                        return flow::Event::CallerGone;
                    }
                }
                choice => break choice,
            }
        };
        let target = match choice {
            directory::Choice::Server(target) => target,
            directory::Choice::Paused(closed) => {
                return no_server(Reason::NoRoom, refuse::pause_retry(closed));
            }
            directory::Choice::Saturated => return no_server(Reason::NoRoom, RETRY_SOON),
            directory::Choice::NoServer => {
                return no_server(Reason::NoServer, reservation::no_server_retry());
            }
        };
        let attempt = self.attempt(&target).await;
        self.record_outcome(&target, &attempt);
        self.record_evidence(&target, &attempt).await;
        // The retry of a request that reached no server is not charged to the budget.
        let is_charged = !matches!(attempt, Attempt::Unsent(_));
        let refusal = match attempt {
            Attempt::Disconnected => return flow::Event::CallerGone,
            Attempt::Completed(response) if !response.has_failed() => {
                self.answer = Some(response);
                return flow::Event::Ended;
            }
            Attempt::Completed(response) => {
                let (status, class) = (response.head.status(), response.class);
                self.failure =
                    refuse::may_forward(&self.call, &target.id, status, class).then_some(response);
                Refusal::unknown(Reason::EngineFailed, RETRY_SOON)
            }
            Attempt::Failed(refusal) => refusal,
            Attempt::Unsent(reason) => Refusal::not_run(reason, RETRY_SOON),
        };
        let server = Some(target.id);
        if let Some(refusal) = suspects::rejection(&self.call, refusal.outcome) {
            return flow::Event::Failed { server, refusal, retry: false };
        }
        let is_lost = refusal.outcome != Outcome::NotRun;
        let retry = (!is_lost || suspects::may_repeat(&self.call))
            && clock::now() < self.call.deadline()
            && self.flow.may_retry(server.as_ref(), &refusal, clock::now())
            && (!is_charged || self.call.withdraw_retry(server.as_ref(), 1, refusal.reason));
        flow::Event::Failed { server, refusal, retry }
    }

    // Time until which a server is of use that meets the latency target.
    fn wait_limit(&self) -> time::Instant {
        self.call.deadline().min(self.call.arrived + self.call.route.target)
    }

    // Time until which room in a queue is of use: its answer still meets the latency target.
    fn room_limit(&self) -> time::Instant {
        let usual = self.call.edge.directory().usual_time(&self.call.service);
        let limit = self.wait_limit();
        limit.checked_sub(usual).unwrap_or(limit)
    }

    fn choose(&mut self) -> directory::Choice {
        quotas::refresh(&self.call.edge);
        let (call, now) = (&self.call, clock::now());
        let mut directory = call.edge.directory();
        let choice = directory.pick(&call.service, call.route.target, self.flow.tried(), now);
        if let directory::Choice::Server(target) = &choice {
            self.estimate = directory.service(&call.service).pool.estimate(&target.id, now);
        }
        choice
    }

    // Deadline of this attempt; one that may be retried leaves time for another server.
    fn attempt_deadline(&self) -> time::Instant {
        let call = &self.call;
        if self.flow.is_last_run() {
            return call.deadline();
        }
        call.deadline().min(clock::now() + call.route.target.mul_f64(ATTEMPT_TIMEOUT_FACTOR))
    }

    async fn attempt(&mut self, target: &directory::Target) -> Attempt {
        let deadline = self.attempt_deadline();
        let headers = request::ServerHeaders {
            server: &target.id,
            time_left: deadline.saturating_duration_since(clock::now()),
            ..request::ServerHeaders::default()
        };
        let request = self.call.head.to_server(&headers, self.call.body.clone());
        self.sent_at = clock::now();
        let sending = exchange::fetch_call(&self.call, target, request);
        match self.call.wait(&mut self.responder, sending, deadline).await {
            responder::WaitOutcome::Disconnected => Attempt::Disconnected,
            responder::WaitOutcome::Expired => {
                Attempt::Failed(Refusal::unknown(Reason::EngineSilent, RETRY_SOON))
            }
            responder::WaitOutcome::Event(Err(connections::SendError::Unsent(err))) => {
                tracing::info!(
                    id = self.call.id(),
                    server = target.id,
                    err,
                    "edge: request not sent"
                );
                Attempt::Unsent(Reason::NoServer)
            }
            responder::WaitOutcome::Event(Err(
                connections::SendError::Leaving | connections::SendError::Replaced,
            )) => {
                tracing::info!(
                    id = self.call.id(),
                    server = target.id,
                    servers_age_ms = self.call.ages().servers,
                    "edge: request not sent to a leaving server"
                );
                Attempt::Unsent(Reason::Leaving)
            }
            responder::WaitOutcome::Event(Err(connections::SendError::Expired)) => {
                tracing::info!(
                    id = self.call.id(),
                    server = target.id,
                    age_ms = self.call.age_ms(),
                    "edge: request not sent, too late for an answer"
                );
                Attempt::Unsent(Reason::TooLate)
            }
            responder::WaitOutcome::Event(Err(
                connections::SendError::Paused | connections::SendError::Limited,
            )) => {
                tracing::info!(
                    id = self.call.id(),
                    server = target.id,
                    "edge: request not sent to a paused or limited server"
                );
                Attempt::Unsent(Reason::NoRoom)
            }
            responder::WaitOutcome::Event(Err(connections::SendError::Rejected)) => {
                Attempt::Unsent(Reason::CrashingRequest)
            }
            responder::WaitOutcome::Event(Err(connections::SendError::ConnectionLost(err))) => {
                tracing::info!(
                    id = self.call.id(),
                    server = target.id,
                    err,
                    "edge: connection lost"
                );
                Attempt::Failed(Refusal::unknown(Reason::LostContact, RETRY_SOON))
            }
            responder::WaitOutcome::Event(Ok(response)) => self.handle_response(target, response),
        }
    }

    fn handle_response(
        &mut self,
        target: &directory::Target,
        response: exchange::BufferedResponse,
    ) -> Attempt {
        if let Some(report) = platform_response::reported_load(response.head.headers()) {
            let now = clock::now();
            let elapsed = response.is_success().then(|| now - self.sent_at);
            let mut directory = self.call.edge.directory();
            directory.record_report(&self.call.service, &target.id, report, elapsed, now);
        }
        match platform_response::classify(&response.head, self.call.head.attempt_id.as_ref()) {
            platform_response::HeadClass::NotRun => {
                Attempt::Failed(Refusal::not_run(Reason::NoRoom, RETRY_SOON))
            }
            platform_response::HeadClass::OtherServer => {
                Attempt::Failed(Refusal::not_run(Reason::Leaving, RETRY_SOON))
            }
            platform_response::HeadClass::Unsealed | platform_response::HeadClass::Invalid => {
                Attempt::Failed(Refusal::unknown(Reason::LostContact, RETRY_SOON))
            }
            class @ (platform_response::HeadClass::Valid
            | platform_response::HeadClass::Ambiguous) => match response.body {
                Some(body) => {
                    let head = platform_response::forwarded_head(&response.head);
                    let server = target.id.clone();
                    Attempt::Completed(ServerResponse { head, body, server, class })
                }
                None => Attempt::Failed(Refusal::unknown(Reason::LostContact, RETRY_SOON)),
            },
        }
    }

    fn record_outcome(&self, target: &directory::Target, attempt: &Attempt) {
        let outcome = match attempt {
            Attempt::Completed(response) if response.has_failed() => pool::ServerOutcome::Unknown,
            Attempt::Completed(_) => pool::ServerOutcome::Success,
            Attempt::Failed(refusal) => refuse::failure_outcome(refusal.reason),
            Attempt::Unsent(Reason::Leaving | Reason::CrashingRequest | Reason::TooLate) => {
                pool::ServerOutcome::Unknown
            }
            Attempt::Unsent(reason) => pool::ServerOutcome::Failure(*reason),
            Attempt::Disconnected => pool::ServerOutcome::Unknown,
        };
        let mut directory = self.call.edge.directory();
        let pool = &mut directory.service(&self.call.service).pool;
        pool.record_end(&target.id, outcome, clock::now());
        if let Attempt::Completed(response) = attempt
            && !platform_response::asks_pause(&response.head)
        {
            pool.record_answer(&target.id, response.has_failed(), clock::now());
        }
    }

    // Records what an attempt shows of requests that crash servers.
    async fn record_evidence(&self, target: &directory::Target, attempt: &Attempt) {
        match attempt {
            Attempt::Completed(_) => suspects::record_answer(&self.call),
            Attempt::Failed(Refusal { reason: Reason::LostContact, .. }) => {
                suspects::record_loss(&self.call, target, self.sent_at).await;
            }
            Attempt::Failed(Refusal { reason: Reason::EngineSilent, .. })
            | Attempt::Disconnected => suspects::record_abandoned(&self.call, target, self.sent_at),
            Attempt::Failed(_) | Attempt::Unsent(_) => {}
        }
    }

    fn finish(&mut self, response: ServerResponse) {
        let call = &self.call;
        call.edge.counters.requests.answered.inc();
        let duration = clock::now() - call.arrived;
        call.edge.counters.plain_time.observe(duration.as_secs_f64());
        call.account().update(|totals| {
            totals.count_outcome(Outcome::Answered, None);
            totals.first.add(duration);
            let is_good = response.head.status().is_success() && duration <= call.route.target;
            totals.good += u64::from(is_good);
        });
        let ages = call.ages();
        tracing::info!(
            id = call.id(),
            route = call.route.name,
            config = call.version,
            config_age_ms = ages.config,
            servers_age_ms = ages.servers,
            server = response.server,
            busy = self.estimate.map(|estimate| estimate.busy),
            report_age_ms = self.estimate.map(|estimate| estimate.age.as_millis() as u64),
            pace = self.estimate.map(|estimate| estimate.pace),
            attempts = self.flow.retries() + 1,
            status = response.head.status().as_u16(),
            age_ms = call.age_ms(),
            "edge: answered"
        );
        self.responder.respond(response.head.map(|()| response::full(response.body)));
    }

    fn refuse(&mut self, refusal: Refusal) {
        if refusal.outcome == Outcome::Cancelled {
            return refuse::record(&self.call, refusal);
        }
        if let Some(failure) = self.failure.take() {
            return self.finish(failure);
        }
        self.responder.respond(refuse::call_response(&self.call, refusal));
    }
}

// Failure without an available server, which is not retried.
fn no_server(reason: Reason, retry: time::Duration) -> flow::Event {
    let refusal = Refusal::not_run(reason, retry);
    flow::Event::Failed { server: None, refusal, retry: false }
}
