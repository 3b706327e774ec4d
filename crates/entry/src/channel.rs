//! Types exchanged between the requests of an entry and the connection to one agent.

use std::time;

use tokio::sync::mpsc;

use rhubarb_core::{ids, outcome};
use rhubarb_wire::message;

use outcome::Refusal;

/// Event of a run.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    /// The slot is reserved.
    Reserved,
    /// The prefill completed.
    Prefilled(message::Prefilled),
    /// Status and headers of the response.
    Head(message::Head),
    /// Next bytes of the response body, in order and without repetitions.
    Bytes(Vec<u8>),
    /// The response is complete.
    End,
    /// The run was refused or failed; no event follows.
    Refused(Refusal),
}

/// Incarnation and clock of a connected agent, as last reported.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AgentState {
    pub(crate) incarnation: ids::Incarnation,
    pub(crate) clock_ms: u64,
    pub(crate) reported_at: time::Instant,
}

impl AgentState {
    /// Lower bound of what the agent's clock shows at `at`, in milliseconds.
    pub(crate) fn clock_at(&self, at: time::Instant) -> u64 {
        self.clock_ms + at.saturating_duration_since(self.reported_at).as_millis() as u64
    }
}

/// Whether the agent can be reached.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Reachability {
    /// Set while the connection is open.
    pub(crate) agent: Option<AgentState>,
    /// Number of failed attempts to connect.
    pub(crate) failures: u64,
}

impl Reachability {
    /// State of the agent, if it was reported after `oldest`.
    pub(crate) fn reported_after(&self, oldest: Option<time::Instant>) -> Option<AgentState> {
        self.agent.filter(|agent| oldest.is_none_or(|oldest| agent.reported_at > oldest))
    }
}

/// Command of a request to the connection.
#[derive(Debug)]
pub(crate) enum Command {
    /// Connect, or probe the open connection.
    Connect,
    /// Open a run by sending its first message.
    Open { run: ids::RunId, incarnation: ids::Incarnation, message: message::ToAgent, sink: Sink },
    /// Send a message that opens no run.
    Send(message::ToAgent),
    /// Cancel a run.
    Cancel(ids::RunId),
}

/// Sender of the events of a run.
pub(crate) type Sink = mpsc::Sender<Event>;
