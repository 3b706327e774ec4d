//! Age of what an entry knows of one table of the platform's store.

use std::time;

/// Age from which an entry asks the store itself. The entries that check each second whether it is
/// heard tell the others in heartbeats of 0.3 s, so that the age is less while they run.
const STALE_AGE: time::Duration = time::Duration::from_millis(1_600);
/// The same in a fleet of several cells, where news passes through several entries.
const CELLS_STALE_AGE: time::Duration = time::Duration::from_millis(2_600);
/// Longest delay beyond that, so that one of several entries asks first and tells the others.
const MAX_DELAY: time::Duration = time::Duration::from_millis(600);

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

    /// When the entry is to ask the store whether there are changes, unless it learns before that there
    /// are none; `delay` is a random number from 0 to 1.
    pub fn check_at(&self, is_single_cell: bool, delay: f64) -> Option<time::Instant> {
        let age = if is_single_cell { STALE_AGE } else { CELLS_STALE_AGE };
        self.current_at.map(|at| at + age + MAX_DELAY.mul_f64(delay))
    }

    /// Time since all changes were known; `None` before the table is known.
    pub fn age(&self, now: time::Instant) -> Option<time::Duration> {
        self.current_at.map(|at| now.saturating_duration_since(at))
    }
}
