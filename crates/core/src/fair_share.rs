//! Fair shares of the callers at one entry, without configuration or messages between entries.

use std::{collections, time};

use crate::ids;

/// Whether a request is within its caller's fair share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Share {
    /// The request may wait for a slot.
    Within,
    /// The request is served only from spare capacity.
    Excess,
}

/// Decaying request counts of the callers of one service.
///
/// The load balancer spreads the requests of every caller over all entries, so each entry sees
/// the same shares.
#[derive(Clone, Debug, Default)]
pub struct FairShare {
    counts: collections::BTreeMap<ids::CallerName, DecayingCount>,
    // All counts decay at the same rate, so their sum decays as a count of its own.
    total: Option<DecayingCount>,
    pruned_at: Option<time::Instant>,
}

// A count with exponential decay.
#[derive(Clone, Copy, Debug)]
struct DecayingCount {
    value: f64,
    updated_at: time::Instant,
}

const HALF_LIFE: time::Duration = time::Duration::from_secs(5);
/// A caller is within its share up to this multiple of the mean.
const MEAN_FACTOR: f64 = 2.0;
/// Minimum share in requests, so that a few callers do not limit each other.
const MIN_SHARE: f64 = 8.0;
/// Counts of at most this many requests are removed.
const MIN_COUNT: f64 = 0.05;
const PRUNE_PERIOD: time::Duration = time::Duration::from_secs(1);

impl DecayingCount {
    fn value_at(&self, now: time::Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated_at).as_secs_f64();
        let half_lives = age / HALF_LIFE.as_secs_f64();
        self.value * (-half_lives).exp2()
    }
}

impl FairShare {
    /// Classifies a request of `caller`, and counts it if it is within the fair share.
    pub fn admit(&mut self, caller: &str, now: time::Instant) -> Share {
        self.prune(now);
        let total = self.total.map_or(0.0, |total| total.value_at(now));
        let mean = total / self.counts.len().max(1) as f64;
        let count = self.counts.get(caller).map_or(0.0, |count| count.value_at(now));
        if count + 1.0 > MIN_SHARE.max(MEAN_FACTOR * mean) {
            return Share::Excess;
        }
        let updated = |value| DecayingCount { value, updated_at: now };
        self.counts.insert(caller.to_string(), updated(count + 1.0));
        self.total = Some(updated(total + 1.0));
        Share::Within
    }

    fn prune(&mut self, now: time::Instant) {
        if self.pruned_at.is_some_and(|pruned_at| now < pruned_at + PRUNE_PERIOD) {
            return;
        }
        self.pruned_at = Some(now);
        self.counts.retain(|_, count| count.value_at(now) > MIN_COUNT);
    }
}
