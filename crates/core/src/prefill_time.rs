//! Prefill time of an engine, estimated from completed prompts.

use std::time;

/// Estimates the time to prefill a prompt from its size, in a unit that the caller chooses, such as
/// bytes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefillTime {
    // Mean time per unit of size, in nanoseconds.
    unit_nanos: f64,
}

/// Estimate before the first completed prompt, in nanoseconds per unit of size.
const INITIAL_UNIT_NANOS: f64 = 20_000.0;
/// Weight of a large prompt in the moving average.
const MAX_WEIGHT: f64 = 0.1;
/// Size at which a prompt has half of the maximum weight, in units.
const HALF_WEIGHT_SIZE: f64 = 1000.0;
/// Part of the time that does not depend on the size.
const FIXED_TIME: time::Duration = time::Duration::from_millis(10);

/// Time from the end of a prefill to the first token: transfer, messages and one decode step.
const FIRST_STEP: time::Duration = time::Duration::from_millis(60);

/// Deadline of a prompt in the queue of a prefill engine.
#[derive(Clone, Copy, Debug)]
pub struct PromptDeadline {
    /// Deadline of the first token.
    pub first_token: time::Instant,
    /// Additional wait of a prompt that cannot meet the deadline.
    pub max_wait: time::Duration,
}

impl PromptDeadline {
    /// Latest start of a prefill of duration `work` that still meets the deadline.
    ///
    /// A prompt that would miss the deadline even if started now is queued behind those that can
    /// meet theirs.
    pub fn latest_start(&self, work: time::Duration, now: time::Instant) -> time::Instant {
        let latest = self.first_token.checked_sub(work + FIRST_STEP);
        let overdue_wait = self.first_token.saturating_duration_since(now) + self.max_wait;
        latest.filter(|latest| *latest > now).unwrap_or(now + overdue_wait)
    }
}

impl Default for PrefillTime {
    fn default() -> PrefillTime {
        PrefillTime { unit_nanos: INITIAL_UNIT_NANOS }
    }
}

impl PrefillTime {
    /// Expected time for a prompt of `size` units.
    pub fn estimate(&self, size: u32) -> time::Duration {
        FIXED_TIME + time::Duration::from_nanos((f64::from(size) * self.unit_nanos) as u64)
    }

    /// Records that a prompt of `size` units took `work`.
    pub fn record(&mut self, size: u32, work: time::Duration) {
        let nanos = work.saturating_sub(FIXED_TIME).as_nanos() as f64 / f64::from(size.max(1));
        // Small prompts are less precise samples of the time per unit.
        let weight = MAX_WEIGHT * (f64::from(size) / (f64::from(size) + HALF_WEIGHT_SIZE));
        self.unit_nanos += weight * (nanos - self.unit_nanos);
    }
}
