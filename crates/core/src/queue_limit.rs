//! Queue limit of a plain server, derived from the latency target and the mean service time.

use std::time;

use crate::load;

/// Estimates the service time of a plain service, and from it the queue limit of its servers.
#[derive(Clone, Copy, Debug, Default)]
pub struct QueueLimit {
    service_time: Option<time::Duration>,
}

/// Weight of one answer in the moving average.
const WEIGHT: f64 = 0.05;
/// Part of the latency target available for queueing and service; the rest covers the network,
/// slower requests, and requests that other entries send in the meantime.
const TARGET_SHARE: f64 = 0.8;

impl QueueLimit {
    /// Records an answer that took `elapsed`, from a server that reported `load` with it.
    pub fn record(&mut self, elapsed: time::Duration, load: load::Load) {
        // While requests wait, the elapsed time includes queueing delay.
        if load.waiting > 0 {
            return;
        }
        let mean = self.service_time.unwrap_or(elapsed).as_secs_f64();
        let mean = mean + WEIGHT * (elapsed.as_secs_f64() - mean);
        self.service_time = Some(time::Duration::from_secs_f64(mean));
    }

    /// Maximum number of outstanding requests, running and waiting, at a server with `slots`.
    ///
    /// `None` before the first recorded answer.
    pub fn limit(&self, slots: u32, target: time::Duration) -> Option<u32> {
        let mean = self.service_time?.as_secs_f64().max(f64::MIN_POSITIVE);
        let rounds = target.as_secs_f64() * TARGET_SHARE / mean;
        // A free slot is used however short the target is.
        Some(((f64::from(slots) * rounds) as u32).max(slots))
    }
}
