//! Age of what an entry knows of one table of the platform's store.

use std::time;

/// Age from which an entry asks the store itself. The entries that check each second whether it is
/// heard tell the others in heartbeats of 0.3 s, so that the age is less while they run.
const STALE_AGE: time::Duration = time::Duration::from_millis(1_600);
/// The same in a fleet of several cells, where news passes through several entries.
const CELLS_STALE_AGE: time::Duration = time::Duration::from_millis(2_600);
/// Age that shows that nobody was answered, as somebody asks before it and tells the others.
const OUTAGE_AGE: time::Duration = time::Duration::from_millis(2_500);
/// Answers to others this soon after the first failed call may have come before the outage.
const TOLD_MARGIN: time::Duration = time::Duration::from_millis(500);
/// Longest delay of that question, so that one of several entries asks first and tells the others.
const MAX_DELAY: time::Duration = time::Duration::from_millis(600);

/// Longest way of what the store has answered, in entries. Each adds the delay of its datagram to the
/// time, so that without a bound entries would confirm one another what nobody has asked.
const MAX_HOPS: usize = 3;

/// Number of entries through which a confirmation came; 0 for an answer of the store itself.
pub type Hops = u8;

/// Time as of which an entry knows all changes of a table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Freshness {
    current_at: Option<time::Instant>,
    // Newest times to tell others, by the number of entries through which they came.
    tellable: [Option<time::Instant>; MAX_HOPS],
    // When the store last answered another entry, as far as this one was told.
    told_at: Option<time::Instant>,
}

impl Freshness {
    /// Records that all changes up to `at` are known, as was confirmed through `hops` entries.
    pub fn record(&mut self, at: time::Instant, hops: Hops) {
        self.current_at = self.current_at.max(Some(at));
        if let Some(told) = self.tellable.get_mut(usize::from(hops)) {
            *told = (*told).max(Some(at));
        }
    }

    /// What to tell another entry: time since all changes were known, and through how many entries that
    /// was confirmed. In a fleet of one cell everyone hears those that ask, and nothing is passed on.
    pub fn told(&self, is_single_cell: bool, now: time::Instant) -> Option<(time::Duration, Hops)> {
        let ways = if is_single_cell { 1 } else { MAX_HOPS };
        let known = (0..).zip(&self.tellable[..ways]);
        let newest = known.filter_map(|(hops, at)| Some(((*at)?, hops))).max_by_key(|(at, _)| *at);
        newest.map(|(at, hops)| (now.saturating_duration_since(at), hops))
    }

    /// Records that the store has answered another entry at `at`.
    pub fn record_told(&mut self, at: time::Instant) {
        self.told_at = self.told_at.max(Some(at));
    }

    /// Whether the store has answered others of late, though it has not answered this entry since
    /// `failed_at`: then it was not away, or was back before.
    pub fn is_answered(&self, failed_at: time::Instant, now: time::Instant) -> bool {
        self.told_at.is_some_and(|at| at > failed_at + TOLD_MARGIN && now < at + STALE_AGE)
    }

    /// Whether the store may have been away since all changes were known: nobody was answered.
    pub fn may_follow_outage(&self, now: time::Instant) -> bool {
        self.age(now).is_some_and(|age| age > OUTAGE_AGE)
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
