//! Age of what an entry knows of one table of the platform's store.

use std::time;

/// Time as of which an entry knows all changes of a table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Freshness {
    current_at: Option<time::Instant>,
}

impl Freshness {
    /// Records that all changes up to `at` are known.
    pub fn record(&mut self, at: time::Instant) {
        self.current_at = self.current_at.max(Some(at));
    }

    /// Time since all changes were known; `None` before the table is known.
    pub fn age(&self, now: time::Instant) -> Option<time::Duration> {
        self.current_at.map(|at| now.saturating_duration_since(at))
    }
}
