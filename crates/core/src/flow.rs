//! Life cycle of one request at its entry: its attempts, the retry rule, and its one outcome.

use std::{collections, fmt, time};

use statig::prelude::*;

use crate::{ids, outcome, repeat, routing};

use outcome::{Outcome as Fate, RETRY_SOON, Reason, Refusal};

/// What happened to a request.
#[derive(Clone, Debug)]
pub enum Event {
    /// The request was admitted.
    Begin,
    /// A decode server reserved room.
    Reserved,
    /// The agent has the stored answer of an idempotency key.
    Replayed,
    /// The prefill ended.
    Prefilled,
    /// The caller was sent a part of the answer.
    Streamed,
    /// The answer is whole.
    Ended,
    /// The current step failed; `server` is not tried again for this request.
    Failed {
        /// Server that failed.
        server: Option<ids::ServerName>,
        /// What is known.
        refusal: Refusal,
        /// Whether [`Flow::may_retry`] and the retry budget allow another attempt.
        retry: bool,
    },
    /// The caller closed its connection.
    CallerGone,
    /// The deadline passed.
    Expired,
}

/// What the entry has to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Reserve decode room.
    Reserve,
    /// Prefill the prompt.
    Prefill,
    /// Send the request to the server that is to answer it.
    Send,
    /// Pass on the stored answer.
    Replay,
    /// Free what is held for the request, and why it failed.
    Release(Reason),
    /// Close the answer; nothing was refused.
    Finish,
    /// Give the caller this final answer, at once.
    Refuse(Refusal),
}

/// Steps of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Path {
    /// Room is reserved, the prompt prefilled, then the request is sent.
    Staged,
    /// The request is sent at once.
    Direct,
}

/// What a request may cost.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    /// What may be repeated.
    pub kind: routing::Kind,
    /// Most servers at which it may run.
    pub attempts: u32,
    /// Most attempts after the first.
    pub retries: u32,
    /// When the final answer is due.
    pub deadline: time::Instant,
}

impl Rules {
    /// Rules of a model request; a `keyed` one runs once, others go on elsewhere when they break
    /// off.
    pub fn model(keyed: bool, deadline: time::Instant) -> Rules {
        let free = routing::Kind::Stream { resumable: true };
        let kind = if keyed { routing::Kind::Unsafe } else { free };
        Rules { kind, attempts: MAX_RETRIES + 1, retries: MAX_RETRIES, deadline }
    }
}

/// A request and its one outcome.
pub struct Flow {
    machine: StateMachine<Life>,
    steps: Steps,
}

type Steps = collections::VecDeque<Step>;

impl fmt::Debug for Flow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Flow({:?})", self.machine.state())
    }
}

impl Flow {
    /// Makes the flow of a request.
    pub fn new(path: Path, rules: Rules) -> Flow {
        let life = Life {
            path,
            rules,
            streamed: false,
            unsure: false,
            tried: Vec::new(),
            retries: 0,
            runs: 0,
        };
        Flow { machine: life.state_machine(), steps: Steps::new() }
    }

    /// Takes an event; [`Flow::next_step`] then tells what to do.
    pub fn handle(&mut self, event: &Event) {
        self.machine.handle_with_context(event, &mut self.steps);
    }

    /// Next step to take, if any.
    pub fn next_step(&mut self) -> Option<Step> {
        self.steps.pop_front()
    }

    /// Whether another attempt is allowed, and of use, after one at `server` failed.
    ///
    /// Without any server another attempt is of no use now.
    pub fn may_retry(
        &self,
        server: Option<&ids::ServerName>,
        refusal: &Refusal,
        now: time::Instant,
    ) -> bool {
        let life = self.machine.inner();
        server.is_some()
            && now < life.rules.deadline
            && refusal.reason.is_passing()
            && life.allows(refusal)
    }

    /// Servers that are not to be tried again.
    pub fn tried(&self) -> &[ids::ServerName] {
        &self.machine.inner().tried
    }

    /// Attempts made after the first.
    pub fn retries(&self) -> u32 {
        self.machine.inner().retries
    }

    /// Whether the current attempt is the last that is allowed if it may have run.
    pub fn is_last_run(&self) -> bool {
        !self.machine.inner().allows(&Refusal::unknown(Reason::EngineSilent, RETRY_SOON))
    }
}

/// Runs `request` to its one outcome: `take` carries out one step and tells what came of it.
pub async fn drive<R>(
    request: &mut R,
    flow: impl Fn(&mut R) -> &mut Flow,
    mut take: impl AsyncFnMut(&mut R, Step) -> Option<Event>,
) {
    flow(request).handle(&Event::Begin);
    while let Some(step) = flow(request).next_step() {
        if let Some(event) = take(request, step).await {
            flow(request).handle(&event);
        }
    }
}

struct Life {
    path: Path,
    rules: Rules,
    streamed: bool,
    // An earlier attempt may have run, so the final answer can no longer say otherwise.
    unsure: bool,
    tried: Vec<ids::ServerName>,
    retries: u32,
    // Servers at which the request may have run.
    runs: u32,
}

/// Most attempts after the first of a model request.
pub const MAX_RETRIES: u32 = 3;

impl Life {
    // An answer of which the caller has a part goes on only where its kind allows that.
    fn allows(&self, refusal: &Refusal) -> bool {
        let kind = self.rules.kind;
        let runs = self.runs + u32::from(refusal.outcome != Fate::NotRun);
        let is_resumable = kind == routing::Kind::Stream { resumable: true };
        self.retries < self.rules.retries
            && runs < self.rules.attempts
            && repeat::is_allowed(kind, refusal.outcome)
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
        let is_retried = retry && self.allows(&refusal);
        if refusal.outcome != Fate::NotRun {
            self.unsure = true;
            self.runs += 1;
        }
        if is_retried {
            self.retries += 1;
            self.tried.extend(server.clone());
            return self.begin(steps);
        }
        let outcome = if self.unsure { Fate::Unknown } else { refusal.outcome };
        steps.push_back(Step::Refuse(Refusal { outcome, ..refusal }));
        Transition(State::closed())
    }
}

#[state_machine(
    initial = "State::idle()",
    state(derive(Debug, Clone, Copy, PartialEq, Eq)),
    visibility = "pub(crate)"
)]
impl Life {
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
                    outcome: Fate::Cancelled,
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
