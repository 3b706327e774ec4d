//! Events of the virtual clock.

use rhubarb_core::{ids, outcome};

use outcome::Reason;

/// Event of the simulation; requests, entries and servers are given by index.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Event {
    /// A request arrives at its entry.
    Arrive(usize),
    /// The caller of a request closes its connection.
    CallerGone(usize),
    /// A decode server receives the request for a slot.
    RequestSlot { id: AttemptId, server: usize },
    /// The entry receives the grant of a slot.
    Granted { id: AttemptId },
    /// A prefill server receives a prompt.
    RequestPrefill { id: AttemptId, server: usize },
    /// The engine of a prefill server completes a prompt.
    PrefillEnds { id: AttemptId, server: usize },
    /// The entry learns that the prefill is complete.
    Prefilled { id: AttemptId },
    /// A decode server receives a request whose prefill was complete `prefilled_ms` after the start
    /// of the simulation.
    RequestDecode { id: AttemptId, server: usize, prefilled_ms: u64 },
    /// A decode server has the whole prefill result.
    TransferEnds { id: AttemptId, server: usize },
    /// The engine of a decode server completes a step.
    EngineStep { server: usize },
    /// The entry receives the end of an answer.
    Ended { id: AttemptId },
    /// The entry learns that an attempt was refused or failed: `is_prefill` if at the prefill
    /// server, and `ran` if it may have run.
    Refused { id: AttemptId, is_prefill: bool, reason: Reason, ran: bool },
    /// A server receives the cancellation of an attempt.
    Cancel { id: AttemptId, server: usize },
    /// A server sends its load report to an entry.
    SendReport { entry: usize, server: usize },
    /// An entry receives the load report of a server.
    ReportReceived { entry: usize, server: usize, load: LoadTuple },
    /// A server refuses the attempts that waited too long.
    ExpireWaits { server: usize },
    /// The fault of the scenario starts.
    FaultStarts,
    /// The fault of the scenario ends, unless it is permanent.
    FaultEnds,
}

/// Slots, held, waiting and queue time in milliseconds of a load report. Events are ordered and
/// [`rhubarb_core::load::Load`] is not, so they hold a tuple.
pub(crate) type LoadTuple = (u32, u32, u32, u32);

/// Request and number of its attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptId {
    pub(crate) request: usize,
    pub(crate) attempt: u64,
}

impl AttemptId {
    /// Run id of the attempt.
    pub(crate) fn run_id(self) -> ids::RunId {
        ids::run_id(self.request as u64, self.attempt)
    }
}
