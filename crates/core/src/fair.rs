//! Fair shares among the callers of one entry, without configuration and without messages.

use std::{collections, time};

use crate::ids;

/// Whether a request is within its caller's fair share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Share {
    /// It may wait for room.
    Within,
    /// It is served only from what others leave free.
    Excess,
}

/// Recent requests of the callers of one service.
///
/// The balancer spreads every caller over all entries, so each entry sees the same shares.
#[derive(Clone, Debug, Default)]
pub struct Fair {
    counts: collections::BTreeMap<ids::CallerName, Count>,
    // All counts halve alike, so their sum is kept as one more count.
    total: Option<Count>,
    pruned_at: Option<time::Instant>,
}

// A count that halves each half-life.
#[derive(Clone, Copy, Debug)]
struct Count {
    amount: f64,
    at: time::Instant,
}

const HALF_LIFE: time::Duration = time::Duration::from_secs(5);
/// A caller is within its share up to this multiple of the mean.
const FACTOR: f64 = 2.0;
/// Requests that are always within the share, so that a few callers do not limit each other.
const ALWAYS: f64 = 8.0;
const FORGOTTEN: f64 = 0.05;
const PRUNE_PERIOD: time::Duration = time::Duration::from_secs(1);

impl Count {
    fn now(&self, now: time::Instant) -> f64 {
        let halves = now.saturating_duration_since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.amount * (-halves).exp2()
    }
}

impl Fair {
    /// Counts a request of `caller` and tells whether it is within the fair share.
    pub fn admit(&mut self, caller: &str, now: time::Instant) -> Share {
        self.prune(now);
        let total = self.total.map_or(0.0, |total| total.now(now));
        let mean = total / self.counts.len().max(1) as f64;
        let own = self.counts.get(caller).map_or(0.0, |count| count.now(now));
        if own + 1.0 > ALWAYS.max(FACTOR * mean) {
            return Share::Excess;
        }
        self.counts.insert(caller.to_string(), Count { amount: own + 1.0, at: now });
        self.total = Some(Count { amount: total + 1.0, at: now });
        Share::Within
    }

    fn prune(&mut self, now: time::Instant) {
        if self.pruned_at.is_some_and(|pruned_at| now < pruned_at + PRUNE_PERIOD) {
            return;
        }
        self.pruned_at = Some(now);
        self.counts.retain(|_, count| count.now(now) > FORGOTTEN);
    }
}
