//! Age of what an entry knows of one table of the platform's store.
//!
//! ```
//! use std::time;
//!
//! use rhubarb_core::freshness;
//!
//! let terms = freshness::Terms::new(time::Duration::from_secs(3));
//! let now = time::Instant::now();
//! let mut known = freshness::Freshness::default();
//! known.record_answer(now);
//! assert!(known.check_at(&terms, 1.0) < Some(now + terms.limit()));
//! ```

use std::time;

/// When the store is asked whether there are changes, so that what an entry knows does not reach an age.
///
/// An entry that nobody tells that a table is current asks at the latest 0.65 of the limit after the last
/// answer. Two questions of 0.175 of it fit into the rest: one may be lost or refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    limit: time::Duration,
}

/// Parts of the limit. The checkers ask at an interval, and tell it in heartbeats of 0.3 s, of which one
/// may be lost before another entry asks.
const INTERVAL: f64 = 0.25;
const STALE_AGE: f64 = 0.5;
const MAX_DELAY: f64 = 0.15;
const TIMEOUT: f64 = 0.175;
/// Age that shows that nobody was answered, as somebody asks before it and tells the others.
const OUTAGE_AGE: f64 = 0.85;
/// Shortest time without an answer of the store from which an entry concludes an outage. In less time no
/// row expires: it is removed after three heartbeats without a write, of which the first may have passed
/// before.
const MIN_OUTAGE: time::Duration = time::Duration::from_millis(2_500);
/// Answers to others this soon after the first failed call may have come before the outage.
const TOLD_MARGIN: time::Duration = time::Duration::from_millis(500);

impl Terms {
    /// Terms by which what an entry knows stays younger than `limit`, if the store answers it.
    pub fn new(limit: time::Duration) -> Terms {
        Terms { limit }
    }

    /// Age that is not reached.
    pub fn limit(&self) -> time::Duration {
        self.limit
    }

    /// Time after which a checker asks again.
    pub fn interval(&self) -> time::Duration {
        self.limit.mul_f64(INTERVAL)
    }

    /// Age from which an entry asks that is not a checker.
    pub fn stale_age(&self) -> time::Duration {
        self.limit.mul_f64(STALE_AGE)
    }

    /// Timeout of a question that the store is to answer at once.
    pub fn timeout(&self) -> time::Duration {
        self.limit.mul_f64(TIMEOUT)
    }

    fn outage_age(&self) -> time::Duration {
        self.limit.mul_f64(OUTAGE_AGE).max(MIN_OUTAGE)
    }
}

/// Question to the store for the changes of a table, which may wait for some.
#[derive(Clone, Copy, Debug)]
pub struct Question {
    /// When it was sent.
    pub sent_at: time::Instant,
    /// Time for which the store holds it open without changes.
    pub wait: time::Duration,
}

impl Question {
    /// Time as of which an answer that is read at `now` shows all changes. It may have waited on its way,
    /// so that only the time of the question counts, and the wait if that ended without changes.
    pub fn answered_at(&self, has_changes: bool, now: time::Instant) -> time::Instant {
        if has_changes { self.sent_at } else { now.min(self.sent_at + self.wait) }
    }
}

/// Time as of which an entry knows all changes of a table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Freshness {
    current_at: Option<time::Instant>,
    // The same as the store has answered this entry itself.
    answered_at: Option<time::Instant>,
    // When the store last answered another entry, as far as this one was told.
    told_at: Option<time::Instant>,
    // When this was first found to be older than the limit, since it was last learned.
    old_since: Option<time::Instant>,
}

impl Freshness {
    /// Records that the store has told this entry all changes up to `at`.
    pub fn record_answer(&mut self, at: time::Instant) {
        self.advance(at);
        self.answered_at = self.answered_at.max(Some(at));
    }

    /// Records that the store has told another entry all changes up to `at`, which this one knows if
    /// `is_known`.
    pub fn record_told(&mut self, at: time::Instant, is_known: bool) {
        self.told_at = self.told_at.max(Some(at));
        if is_known {
            self.advance(at);
        }
    }

    fn advance(&mut self, at: time::Instant) {
        if self.current_at.is_none_or(|known| known < at) {
            (self.current_at, self.old_since) = (Some(at), None);
        }
    }

    /// Whether a change may be in force by now that this entry does not know.
    pub fn is_old(&self, terms: &Terms, now: time::Instant) -> bool {
        self.age(now).is_some_and(|age| age > terms.limit)
    }

    /// Until when decisions by what is known wait, if it is old: as long as a question to the store may
    /// take, once. It gets old where the entry did not run, and then asks at once.
    pub fn awaited_until(&mut self, terms: &Terms, now: time::Instant) -> Option<time::Instant> {
        if !self.is_old(terms, now) {
            return None;
        }
        let until = *self.old_since.get_or_insert(now) + terms.timeout();
        (now < until).then_some(until)
    }

    /// Records that the clock stood still for `time`.
    pub fn record_suspension(&mut self, time: time::Duration) {
        for at in [&mut self.current_at, &mut self.answered_at, &mut self.told_at] {
            *at = at.and_then(|at| at.checked_sub(time));
        }
    }

    /// Age to tell other entries, of what the store itself has answered this one. What entries were told
    /// they do not pass on, or they would confirm one another what nobody has asked.
    pub fn answer_age(&self, now: time::Instant) -> Option<time::Duration> {
        self.answered_at.map(|at| now.saturating_duration_since(at))
    }

    /// Whether the store answers this entry itself.
    pub fn is_heard(&self, terms: &Terms, now: time::Instant) -> bool {
        self.answer_age(now).is_some_and(|age| age < terms.stale_age())
    }

    /// Whether the store has answered others of late, though it has not answered this entry since
    /// `failed_at`: then it was not away, or was back before.
    pub fn is_answered(&self, terms: &Terms, failed_at: time::Instant, now: time::Instant) -> bool {
        let is_recent = |at| at > failed_at + TOLD_MARGIN && now < at + terms.stale_age();
        self.told_at.is_some_and(is_recent)
    }

    /// Whether the store may have been away for so long that rows of live servers have expired, as it has
    /// answered neither this entry nor, as far as that was told, another one. Refused calls alone do not
    /// show that.
    pub fn may_have_expired(&self, now: time::Instant) -> bool {
        let answered_at = self.answered_at.max(self.told_at);
        answered_at.is_none_or(|at| now.saturating_duration_since(at) >= MIN_OUTAGE)
    }

    /// Whether the store may have been away since all changes were known: nobody was answered.
    pub fn may_follow_outage(&self, terms: &Terms, now: time::Instant) -> bool {
        self.age(now).is_some_and(|age| age > terms.outage_age())
    }

    /// When the entry is to ask the store whether there are changes, unless it learns before that there
    /// are none; `delay` is a random number from 0 to 1, so that one of several entries asks first and
    /// tells the others.
    pub fn check_at(&self, terms: &Terms, delay: f64) -> Option<time::Instant> {
        let delay = terms.limit.mul_f64(MAX_DELAY * delay);
        self.current_at.map(|at| at + terms.stale_age() + delay)
    }

    /// When a checker is to ask the store again.
    pub fn next_check(&self, terms: &Terms) -> Option<time::Instant> {
        self.answered_at.map(|at| at + terms.interval())
    }

    /// Time since all changes were known; `None` before the table is known.
    pub fn age(&self, now: time::Instant) -> Option<time::Duration> {
        self.current_at.map(|at| now.saturating_duration_since(at))
    }
}
