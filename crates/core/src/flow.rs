//! State machine of one request at its entry: its attempts, retries and final outcome.

use std::{collections, fmt, time};

use statig::prelude::*;

use crate::{ids, outcome, retry, routing};

use outcome::{Outcome as RunOutcome, RETRY_SOON, Reason, Refusal};

/// What happened to a request.
#[derive(Clone, Debug)]
pub enum Event {
    /// The request was admitted.
    Begin,
    /// A decode server reserved a slot.
    Reserved,
    /// The agent has the stored answer of an idempotency key.
    Replayed,
    /// The prefill completed.
    Prefilled,
    /// A part of the answer was sent to the caller.
    Streamed,
    /// The answer is complete.
    Ended,
    /// The current step failed; `server` is not tried again for this request.
    Failed {
        /// Server that failed.
        server: Option<ids::ServerName>,
        /// Reason of the failure, and whether the attempt may have run.
        refusal: Refusal,
        /// Whether [`Flow::may_retry`] and the retry budget allow another attempt.
        retry: bool,
    },
    /// The caller closed its connection.
    CallerGone,
    /// The deadline passed.
    Expired,
}

/// Next action of the entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Reserve a decode slot.
    Reserve,
    /// Prefill the prompt.
    Prefill,
    /// Send the request to the server that answers it.
    Send,
    /// Forward the stored answer to the caller.
    Replay,
    /// Release the resources held for the request, which failed for this reason.
    Release(Reason),
    /// Close the complete answer.
    Finish,
    /// Send the caller this refusal as the final answer, without delay.
    Refuse(Refusal),
}

/// Sequence of steps of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Path {
    /// A slot is reserved, the prompt prefilled, then the request is sent.
    Staged,
    /// The request is sent at once.
    Direct,
}

/// Limits on the attempts of a request.
#[derive(Clone, Copy, Debug)]
pub struct RetryPolicy {
    /// Kind of the request, which determines what may be sent again.
    pub kind: routing::Kind,
    /// Maximum number of servers at which the request may have run.
    pub max_runs: u32,
    /// Maximum number of attempts after the first.
    pub max_retries: u32,
    /// Deadline of the final answer.
    pub deadline: time::Instant,
}

impl RetryPolicy {
    /// Policy of a model request; one with an idempotency key (`keyed`) runs at most once, others
    /// resume at another server after an interruption.
    pub fn model(keyed: bool, deadline: time::Instant) -> RetryPolicy {
        let resumable = routing::Kind::Stream { resumable: true };
        let kind = if keyed { routing::Kind::Unsafe } else { resumable };
        RetryPolicy { kind, max_runs: MAX_RETRIES + 1, max_retries: MAX_RETRIES, deadline }
    }
}

/// State machine of one request, which ends in exactly one final step.
pub struct Flow {
    machine: StateMachine<Lifecycle>,
    steps: Steps,
}

type Steps = collections::VecDeque<Step>;

impl fmt::Debug for Flow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Flow({:?})", self.machine.state())
    }
}

impl Flow {
    /// Creates the state machine of a request that has not begun.
    pub fn new(path: Path, policy: RetryPolicy) -> Flow {
        let lifecycle = Lifecycle {
            path,
            policy,
            streamed: false,
            maybe_ran: false,
            tried: Vec::new(),
            retries: 0,
            runs: 0,
        };
        Flow { machine: lifecycle.state_machine(), steps: Steps::new() }
    }

    /// Processes an event; [`Flow::next_step`] then returns the resulting steps.
    pub fn handle(&mut self, event: &Event) {
        self.machine.handle_with_context(event, &mut self.steps);
    }

    /// Removes and returns the next step to execute, if any.
    pub fn next_step(&mut self) -> Option<Step> {
        self.steps.pop_front()
    }

    /// Whether another attempt is allowed, and can succeed, after one at `server` failed.
    ///
    /// Without a `server` none was available, so an immediate retry would fail too.
    pub fn may_retry(
        &self,
        server: Option<&ids::ServerName>,
        refusal: &Refusal,
        now: time::Instant,
    ) -> bool {
        let lifecycle = self.machine.inner();
        server.is_some()
            && now < lifecycle.policy.deadline
            && refusal.reason.is_retryable()
            && lifecycle.allows_retry(refusal)
    }

    /// Servers excluded from further attempts.
    pub fn tried(&self) -> &[ids::ServerName] {
        &self.machine.inner().tried
    }

    /// Attempts made after the first.
    pub fn retries(&self) -> u32 {
        self.machine.inner().retries
    }

    /// Whether no retry is allowed if the current attempt fails after it may have run.
    pub fn is_last_run(&self) -> bool {
        !self.machine.inner().allows_retry(&Refusal::unknown(Reason::EngineSilent, RETRY_SOON))
    }
}

/// Drives `request` to its final step; `execute` executes one step and returns the resulting
/// event.
pub async fn drive<R>(
    request: &mut R,
    flow: impl Fn(&mut R) -> &mut Flow,
    mut execute: impl AsyncFnMut(&mut R, Step) -> Option<Event>,
) {
    flow(request).handle(&Event::Begin);
    while let Some(step) = flow(request).next_step() {
        if let Some(event) = execute(request, step).await {
            flow(request).handle(&event);
        }
    }
}

struct Lifecycle {
    path: Path,
    policy: RetryPolicy,
    streamed: bool,
    // An earlier attempt may have run, so the final outcome cannot be `NotRun`.
    maybe_ran: bool,
    tried: Vec<ids::ServerName>,
    retries: u32,
    // Number of servers at which the request may have run.
    runs: u32,
}

/// Maximum number of attempts after the first of a model request.
pub const MAX_RETRIES: u32 = 3;

impl Lifecycle {
    // A partly sent answer is continued only if the stream is resumable.
    fn allows_retry(&self, refusal: &Refusal) -> bool {
        let kind = self.policy.kind;
        let runs = self.runs + u32::from(refusal.outcome != RunOutcome::NotRun);
        let is_resumable = kind == routing::Kind::Stream { resumable: true };
        self.retries < self.policy.max_retries
            && runs < self.policy.max_runs
            && retry::is_allowed(kind, refusal.outcome)
            && (is_resumable || !self.streamed)
    }

    fn begin(&self, steps: &mut Steps) -> Outcome<State> {
        match self.path {
            Path::Staged => {
                steps.push_back(Step::Reserve);
                Transition(State::reserving())
            }
            Path::Direct => {
                steps.push_back(Step::Send);
                Transition(State::sending())
            }
        }
    }

    fn fail(
        &mut self,
        steps: &mut Steps,
        server: &Option<ids::ServerName>,
        refusal: Refusal,
        retry: bool,
    ) -> Outcome<State> {
        steps.push_back(Step::Release(refusal.reason));
        let is_retried = retry && self.allows_retry(&refusal);
        if refusal.outcome != RunOutcome::NotRun {
            self.maybe_ran = true;
            self.runs += 1;
        }
        if is_retried {
            self.retries += 1;
            self.tried.extend(server.clone());
            return self.begin(steps);
        }
        let outcome = if self.maybe_ran { RunOutcome::Unknown } else { refusal.outcome };
        steps.push_back(Step::Refuse(Refusal { outcome, ..refusal }));
        Transition(State::closed())
    }
}

#[state_machine(
    initial = "State::idle()",
    state(derive(Debug, Clone, Copy, PartialEq, Eq)),
    visibility = "pub(crate)"
)]
impl Lifecycle {
    #[state(superstate = "open")]
    fn idle(&mut self, context: &mut Steps, event: &Event) -> Outcome<State> {
        match event {
            Event::Begin => self.begin(context),
            _ => Super,
        }
    }

    #[state(superstate = "open")]
    fn reserving(context: &mut Steps, event: &Event) -> Outcome<State> {
        match event {
            Event::Reserved => {
                context.push_back(Step::Prefill);
                Transition(State::prefilling())
            }
            Event::Replayed => {
                context.push_back(Step::Replay);
                Transition(State::sending())
            }
            _ => Super,
        }
    }

    #[state(superstate = "open")]
    fn prefilling(context: &mut Steps, event: &Event) -> Outcome<State> {
        match event {
            Event::Prefilled => {
                context.push_back(Step::Send);
                Transition(State::sending())
            }
            _ => Super,
        }
    }

    #[state(superstate = "open")]
    fn sending(&mut self, context: &mut Steps, event: &Event) -> Outcome<State> {
        match event {
            Event::Streamed => {
                self.streamed = true;
                Handled
            }
            Event::Ended => {
                context.push_back(Step::Finish);
                Transition(State::closed())
            }
            _ => Super,
        }
    }

    #[superstate]
    fn open(&mut self, context: &mut Steps, event: &Event) -> Outcome<State> {
        match event {
            Event::Failed { server, refusal, retry } => {
                self.fail(context, server, *refusal, *retry)
            }
            Event::CallerGone => {
                context.push_back(Step::Release(Reason::CallerGone));
                context.push_back(Step::Refuse(Refusal {
                    reason: Reason::CallerGone,
                    outcome: RunOutcome::Cancelled,
                    retry: None,
                }));
                Transition(State::closed())
            }
            Event::Expired => {
                context.push_back(Step::Release(Reason::TooLate));
                context.push_back(Step::Refuse(Refusal::unknown(Reason::TooLate, RETRY_SOON)));
                Transition(State::closed())
            }
            _ => Handled,
        }
    }

    #[state]
    fn closed() -> Outcome<State> {
        Handled
    }
}
