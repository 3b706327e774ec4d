//! Life cycle of the connection to one agent.

use std::{fmt, time};

use statig::prelude::*;

use rhubarb_core::ids;

/// What happened to the connection.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Event {
    /// The agent accepted the entry.
    Welcomed(ids::Incarnation),
    /// The instance refused the connection.
    Refused,
    /// The connection ended or went silent.
    Broken(time::Instant),
    /// Time has passed.
    Tick(time::Instant),
}

/// What the entry has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// Take up open runs again.
    Resume,
    /// The agent forgot all runs, or contact was lost for too long.
    GiveUp,
}

/// An agent that cannot be reached for this long has lost the entry's runs.
pub(crate) const CONTACT_GRACE: time::Duration = time::Duration::from_millis(1800);

/// Connection to one agent.
pub(crate) struct Link {
    machine: StateMachine<Life>,
    steps: Vec<Step>,
}

impl fmt::Debug for Link {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Link({:?})", self.incarnation())
    }
}

impl Link {
    pub(crate) fn new() -> Link {
        let life = Life { incarnation: None };
        Link { machine: life.state_machine(), steps: Vec::new() }
    }

    /// Takes an event and returns what to do.
    pub(crate) fn handle(&mut self, event: Event) -> Option<Step> {
        self.machine.handle_with_context(&event, &mut self.steps);
        self.steps.pop()
    }

    /// Incarnation of the agent when it last accepted the entry.
    pub(crate) fn incarnation(&self) -> Option<ids::Incarnation> {
        self.machine.inner().incarnation
    }
}

struct Life {
    incarnation: Option<ids::Incarnation>,
}

#[state_machine(initial = "State::idle()", visibility = "pub(crate)")]
impl Life {
    #[state]
    fn idle(&mut self, context: &mut Vec<Step>, event: &Event) -> Outcome<State> {
        match event {
            Event::Welcomed(incarnation) => self.welcome(context, *incarnation),
            Event::Refused => {
                context.push(Step::GiveUp);
                Handled
            }
            _ => Handled,
        }
    }

    #[state]
    fn live(event: &Event) -> Outcome<State> {
        match event {
            Event::Broken(at) => Transition(State::away(*at)),
            _ => Handled,
        }
    }

    #[state]
    fn away(
        &mut self,
        since: &time::Instant,
        context: &mut Vec<Step>,
        event: &Event,
    ) -> Outcome<State> {
        match event {
            Event::Welcomed(incarnation) => self.welcome(context, *incarnation),
            // Nothing listens there any more, so the process that had the runs is gone.
            Event::Refused => {
                context.push(Step::GiveUp);
                Transition(State::idle())
            }
            Event::Tick(now) if *now >= *since + CONTACT_GRACE => {
                context.push(Step::GiveUp);
                Transition(State::idle())
            }
            _ => Handled,
        }
    }
}

impl Life {
    fn welcome(
        &mut self,
        context: &mut Vec<Step>,
        incarnation: ids::Incarnation,
    ) -> Outcome<State> {
        let is_same = self.incarnation == Some(incarnation);
        context.push(if is_same { Step::Resume } else { Step::GiveUp });
        self.incarnation = Some(incarnation);
        Transition(State::live())
    }
}
