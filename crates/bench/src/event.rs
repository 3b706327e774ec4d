//! Events of the virtual clock.

use rhubarb_core::{ids, outcome};

use outcome::Reason;

/// What happens at a moment.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Event {
    Arrive(usize),
    Leave(usize),
    AskRoom { tag: Tag, server: usize },
    Granted { tag: Tag },
    AskPrefill { tag: Tag, server: usize },
    PrefillEnds { tag: Tag, server: usize },
    Prefilled { tag: Tag },
    AskDecode { tag: Tag, server: usize, done_ms: u64 },
    TransferEnds { tag: Tag, server: usize },
    EngineStep { server: usize },
    Ended { tag: Tag },
    Refused { tag: Tag, at_prefill: bool, reason: Reason, ran: bool },
    Cancel { tag: Tag, server: usize },
    Report { entry: usize, server: usize },
    Heard { entry: usize, server: usize, load: LoadKey },
    Sweep { server: usize },
    FaultStarts,
    FaultEnds,
}

// Load in an ordered form, since events are ordered.
pub(crate) type LoadKey = (u32, u32, u32, u32);

/// A request and its attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Tag {
    pub(crate) request: usize,
    pub(crate) attempt: u64,
}

impl Tag {
    /// Id of the run.
    pub(crate) fn run(self) -> ids::RunId {
        ids::run_id(self.request as u64, self.attempt)
    }
}
