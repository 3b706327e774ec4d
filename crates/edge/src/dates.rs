//! Dates for records that people read; nothing is decided by them.

use std::time;

use rhubarb_node::clock;

/// Dates of a process: that of its start and the time that has passed, whatever the wall clock does.
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
