//! How many requests a plain server may have before it when the next one is to be in time.

use std::time;

use crate::load;

/// Time that a plain service needs for one request, learned from answers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Queueing {
    mean: Option<time::Duration>,
}

/// Weight of one answer in the mean.
const WEIGHT: f64 = 0.05;
/// Part of the target that may be used up by waiting and working; the rest is for the way, for
/// work that takes longer, and for what other entries send meanwhile.
const TARGET_SHARE: f64 = 0.8;

impl Queueing {
    /// Learns from an answer that took `took`, from a server that had `load` when it answered.
    pub fn learn(&mut self, took: time::Duration, load: load::Load) {
        // With requests waiting, the time says more of the queue than of the work.
        if load.waiting > 0 {
            return;
        }
        let mean = self.mean.unwrap_or(took).as_secs_f64();
        let mean = mean + WEIGHT * (took.as_secs_f64() - mean);
        self.mean = Some(time::Duration::from_secs_f64(mean));
    }

    /// Requests that a server with `slots` may have, running and waiting, before one more.
    ///
    /// `None` until something is known.
    pub fn limit(&self, slots: u32, target: time::Duration) -> Option<u32> {
        let mean = self.mean?.as_secs_f64().max(f64::MIN_POSITIVE);
        let rounds = target.as_secs_f64() * TARGET_SHARE / mean;
        // A server that is free takes a request, however short the target.
        Some(((f64::from(slots) * rounds) as u32).max(slots))
    }
}
