//! Places in decode memory that entries leave to each other, so that each gets its part.
//!
//! An entry learns at once what its own runs release, and its peers with a delay. Without regard for
//! them one whose requests always wait would take each of its places again.

use std::{mem, time};

/// Longest time for which a free place is left to peers: one learns of it, takes it and reports
/// that, with the delay of a datagram each way.
pub const LEAVE_TIME: time::Duration = time::Duration::from_millis(100);
/// Time for which no place is left after one that no peer took.
pub const TAKE_TIME: time::Duration = time::Duration::from_millis(1_000);
/// Time after its last run in which an entry without one counts as served: about half the duration
/// of an answer.
const SERVED_WINDOW: time::Duration = time::Duration::from_secs(2);

/// An entry at which requests wait for decode memory.
#[derive(Clone, Copy, Debug)]
pub struct Waiter {
    /// Its runs at the service's engines.
    pub runs: u32,
    /// When it was last known to have one.
    pub served_at: Option<time::Instant>,
}

// A free place that is left.
#[derive(Clone, Copy, Debug)]
struct Left {
    since: time::Instant,
    // When a request was last kept from it.
    seen_at: time::Instant,
}

/// What an entry leaves to peers at which requests wait.
#[derive(Clone, Copy, Debug, Default)]
pub struct Parts {
    // When this entry's last run ended.
    served_at: Option<time::Instant>,
    left: Option<Left>,
    // Whether a place was left since the last time that this was asked.
    has_news: bool,
    // Until then no place is left.
    taken_until: Option<time::Instant>,
}

impl Parts {
    /// Records the end of a run.
    pub fn record_end(&mut self, now: time::Instant) {
        self.served_at = Some(now);
    }

    /// Whether this entry, with `own` runs, has more than its part among the entries that wait.
    ///
    /// It has if it has more than an equal part of their runs and a peer has less by a margin. Many
    /// entries ask for the same place at once, so the margin grows with their number, from one run to
    /// an equal part. Where there are fewer places than entries, one whose run has just ended has
    /// had its part before a peer that was served earlier.
    pub fn is_beyond(&self, own: u32, peers: &[Waiter], now: time::Instant) -> bool {
        let Some(least) = peers.iter().map(|peer| peer.runs).min() else { return false };
        if own == 0 {
            let recent = self.served_at.filter(|at| now <= *at + SERVED_WINDOW);
            let is_earlier = |peer: &Waiter| peer.runs == 0 && peer.served_at < self.served_at;
            return recent.is_some() && peers.iter().any(is_earlier);
        }
        let count = peers.len() as u64 + 1;
        let sum = u64::from(own) + peers.iter().map(|peer| u64::from(peer.runs)).sum::<u64>();
        let margin = (sum * (count - 2) / (count * count)).max(1);
        u64::from(own) * count > sum && u64::from(own) >= u64::from(least) + margin
    }

    /// Whether a free place is left at `now`; once it has been left for [`LEAVE_TIME`] no peer takes
    /// it, and it is not.
    pub fn leaves(&mut self, now: time::Instant) -> bool {
        if self.taken_until.is_some_and(|until| now < until) {
            return false;
        }
        let last = self.left.filter(|left| now < left.seen_at + LEAVE_TIME);
        let since = last.map_or(now, |left| left.since);
        if now < since + LEAVE_TIME {
            self.has_news |= last.is_none();
            self.left = Some(Left { since, seen_at: now });
            return true;
        }
        (self.left, self.taken_until) = (None, Some(now + TAKE_TIME));
        false
    }

    /// Whether a place was left since the last call.
    pub fn take_news(&mut self) -> bool {
        mem::take(&mut self.has_news)
    }

    /// Records that no place is left: none is free, or not only one.
    pub fn clear(&mut self) {
        self.left = None;
    }
}
