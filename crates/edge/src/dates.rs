//! Dates for usage records, which people read, and for the ages of stored verdicts, which last for
//! minutes; no other decision depends on them.

use std::time;

use rhubarb_node::clock;

/// Clock that starts from the wall clock and advances with the monotonic clock, so that later
/// changes of the wall clock have no effect.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Dates {
    start: time::Instant,
    start_ms: u64,
}

impl Dates {
    pub(crate) fn new() -> Dates {
        Dates { start: clock::now(), start_ms: clock::unix_ms() }
    }

    /// Milliseconds since 1970.
    pub(crate) fn now_ms(&self) -> u64 {
        self.start_ms + (clock::now() - self.start).as_millis() as u64
    }
}
