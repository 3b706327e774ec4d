//! State machine of the connection to one agent.

use std::{fmt, time};

use statig::prelude::*;

use rhubarb_core::ids;

/// Event that may change the state of the connection.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Event {
    /// The agent accepted the entry.
    Accepted(ids::Incarnation),
    /// The instance refused the connection.
    Refused,
    /// The connection was closed or timed out.
    Disconnected(time::Instant),
    /// Time has passed.
    Tick(time::Instant),
}

/// Action that the connection manager has to perform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Action {
    /// Resume the open runs.
    ResumeRuns,
    /// Fail the open runs: the agent has restarted, nothing listens at its address, or it could not
    /// be reached for too long.
    FailRuns,
}

/// Time without a connection after which the open runs fail. The agent cancels them as orphans 2 s
/// after the loss of contact.
pub(crate) const CONTACT_GRACE: time::Duration = time::Duration::from_millis(1800);

/// Lifecycle of the connection to one agent.
pub(crate) struct Lifecycle {
    machine: StateMachine<Storage>,
    actions: Vec<Action>,
}

impl fmt::Debug for Lifecycle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Lifecycle({:?})", self.incarnation())
    }
}

impl Lifecycle {
    pub(crate) fn new() -> Lifecycle {
        let storage = Storage { incarnation: None };
        Lifecycle { machine: storage.state_machine(), actions: Vec::new() }
    }

    /// Handles an event and returns the action to perform.
    pub(crate) fn handle(&mut self, event: Event) -> Option<Action> {
        self.machine.handle_with_context(&event, &mut self.actions);
        self.actions.pop()
    }

    /// Incarnation of the agent when it last accepted the entry.
    pub(crate) fn incarnation(&self) -> Option<ids::Incarnation> {
        self.machine.inner().incarnation
    }
}

// Data shared by all states.
struct Storage {
    incarnation: Option<ids::Incarnation>,
}

#[state_machine(initial = "State::idle()", visibility = "pub(crate)")]
impl Storage {
    #[state]
    fn idle(&mut self, context: &mut Vec<Action>, event: &Event) -> Outcome<State> {
        match event {
            Event::Accepted(incarnation) => self.accept(context, *incarnation),
            Event::Refused => {
                context.push(Action::FailRuns);
                Handled
            }
            _ => Handled,
        }
    }

    #[state]
    fn connected(event: &Event) -> Outcome<State> {
        match event {
            Event::Disconnected(at) => Transition(State::disconnected(*at)),
            _ => Handled,
        }
    }

    #[state]
    fn disconnected(
        &mut self,
        since: &time::Instant,
        context: &mut Vec<Action>,
        event: &Event,
    ) -> Outcome<State> {
        match event {
            Event::Accepted(incarnation) => self.accept(context, *incarnation),
            // Nothing listens at the address any more, so the process that had the runs is gone.
            Event::Refused => {
                context.push(Action::FailRuns);
                Transition(State::idle())
            }
            Event::Tick(now) if *now >= *since + CONTACT_GRACE => {
                context.push(Action::FailRuns);
                Transition(State::idle())
            }
            _ => Handled,
        }
    }
}

impl Storage {
    fn accept(
        &mut self,
        context: &mut Vec<Action>,
        incarnation: ids::Incarnation,
    ) -> Outcome<State> {
        let is_same = self.incarnation == Some(incarnation);
        context.push(if is_same { Action::ResumeRuns } else { Action::FailRuns });
        self.incarnation = Some(incarnation);
        Transition(State::connected())
    }
}
