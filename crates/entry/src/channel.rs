//! What passes between the requests of an entry and its connection to one agent.

use std::time;

use tokio::sync::mpsc;

use rhubarb_core::{ids, outcome};
use rhubarb_wire::message;

use outcome::Refusal;

/// What a run gets from its agent.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    /// The room is reserved.
    Reserved,
    /// The prefill ended.
    Prefilled(message::Prefilled),
    /// Start of the answer.
    Head(message::Head),
    /// Next bytes of the answer, in order and each once.
    Bytes(Vec<u8>),
    /// All bytes have come.
    End,
    /// The run was refused or failed; nothing follows.
    Refused(Refusal),
}

/// State of the agent's clock and process while connected.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Contact {
    pub(crate) incarnation: ids::Incarnation,
    pub(crate) clock_ms: u64,
    pub(crate) heard_at: time::Instant,
}

impl Contact {
    /// What the agent's clock shows at `at`, or less.
    pub(crate) fn clock_at(&self, at: time::Instant) -> u64 {
        self.clock_ms + at.saturating_duration_since(self.heard_at).as_millis() as u64
    }
}

/// Whether the agent can be reached.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Reach {
    /// Set while the connection is open.
    pub(crate) contact: Option<Contact>,
    /// Attempts to connect that have failed so far.
    pub(crate) failures: u64,
}

impl Reach {
    /// Contact in which the agent was heard after `oldest`.
    pub(crate) fn heard_after(&self, oldest: Option<time::Instant>) -> Option<Contact> {
        self.contact.filter(|contact| oldest.is_none_or(|oldest| contact.heard_at > oldest))
    }
}

/// What requests ask of the connection.
#[derive(Debug)]
pub(crate) enum Command {
    /// Connect, or probe the connection.
    Connect,
    /// Send the first order of a run.
    Open { run: ids::RunId, incarnation: ids::Incarnation, order: message::ToAgent, sink: Sink },
    /// Send a further order.
    Send(message::ToAgent),
    /// Cancel a run.
    Close(ids::RunId),
}

/// Where the events of a run go.
pub(crate) type Sink = mpsc::Sender<Event>;
