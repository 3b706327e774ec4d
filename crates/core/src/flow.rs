//! Life cycle of one model request at its entry.

use std::{collections, fmt, time};

use statig::prelude::*;

use crate::{ids, outcome};

use outcome::{Outcome as Fate, Reason, Refusal};

/// What happened to a request.
#[derive(Clone, Debug)]
pub enum Event {
    /// The request was admitted.
    Begin,
    /// A decode server reserved room.
    Reserved,
    /// The agent replays the stored answer of an idempotency key.
    Replayed,
    /// The prefill ended.
    Prefilled,
    /// The decode server sent tokens to the caller.
    Streamed,
    /// The answer is whole.
    Ended,
    /// The current step failed; `server` is not tried again for this request.
    Failed {
        /// Server that failed.
        server: Option<ids::ServerName>,
        /// What is known.
        refusal: Refusal,
        /// Whether the retry budget allows another attempt.
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
    /// Decode at the server that reserved the room.
    Decode,
    /// Free what is held for the request.
    Release,
    /// Close the answer; nothing was refused.
    Finish,
    /// Give the caller this final answer, at once.
    Refuse(Refusal),
}

/// A model request and its one outcome.
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
    /// Makes the flow of a request; `keyed` if it carries an idempotency key.
    pub fn new(keyed: bool) -> Flow {
        let life = Life { keyed, streamed: false, unsure: false, tried: Vec::new(), retries: 0 };
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

    /// Servers that are not to be tried again.
    pub fn tried(&self) -> &[ids::ServerName] {
        &self.machine.inner().tried
    }

    /// Attempts made after the first.
    pub fn retries(&self) -> u32 {
        self.machine.inner().retries
    }
}

struct Life {
    keyed: bool,
    streamed: bool,
    // An earlier attempt may have run, so the final answer can no longer say otherwise.
    unsure: bool,
    tried: Vec<ids::ServerName>,
    retries: u32,
}

/// Most attempts after the first.
pub const MAX_RETRIES: u32 = 3;
const RETRY_SOON: time::Duration = time::Duration::from_secs(1);

impl Life {
    // A keyed request stays with its home: only a refusal that proves "not run" may be retried,
    // and a stream that has begun is never begun again.
    fn may_retry(&self, refusal: &Refusal) -> bool {
        let is_proven = refusal.outcome == Fate::NotRun;
        self.retries < MAX_RETRIES && (is_proven || !self.keyed) && !(self.keyed && self.streamed)
    }

    fn fail(
        &mut self,
        steps: &mut Steps,
        server: &Option<ids::ServerName>,
        refusal: Refusal,
        retry: bool,
    ) -> Outcome<State> {
        steps.push_back(Step::Release);
        self.unsure |= refusal.outcome != Fate::NotRun;
        if retry && self.may_retry(&refusal) {
            self.retries += 1;
            self.tried.extend(server.clone());
            steps.push_back(Step::Reserve);
            return Transition(State::reserving());
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
    fn idle(context: &mut Steps, event: &Event) -> Outcome<State> {
        match event {
            Event::Begin => {
                context.push_back(Step::Reserve);
                Transition(State::reserving())
            }
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
            Event::Replayed => Transition(State::decoding()),
            _ => Super,
        }
    }

    #[state(superstate = "open")]
    fn prefilling(context: &mut Steps, event: &Event) -> Outcome<State> {
        match event {
            Event::Prefilled => {
                context.push_back(Step::Decode);
                Transition(State::decoding())
            }
            _ => Super,
        }
    }

    #[state(superstate = "open")]
    fn decoding(&mut self, context: &mut Steps, event: &Event) -> Outcome<State> {
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
                context.push_back(Step::Release);
                context.push_back(Step::Refuse(Refusal {
                    reason: Reason::CallerGone,
                    outcome: Fate::Cancelled,
                    retry: None,
                }));
                Transition(State::closed())
            }
            Event::Expired => {
                context.push_back(Step::Release);
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
