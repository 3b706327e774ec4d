//! Pace of an engine, learned from the prompts that it has worked on.

use std::time;

/// Expected work for a prompt of a given size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    nanos_each: f64,
}

/// Pace that is assumed until the first prompt has been worked on, in nanoseconds a unit.
const FIRST_NANOS: f64 = 20_000.0;
const WEIGHT: f64 = 0.1;
/// Work that does not depend on the size.
const BASE: time::Duration = time::Duration::from_millis(10);

/// Time from the end of a prefill to the first token: transfer, messages and one step.
const FIRST_STEP: time::Duration = time::Duration::from_millis(60);

/// What a prompt asks of the queue before a prefill engine.
#[derive(Clone, Copy, Debug)]
pub struct Due {
    /// When the first token is due.
    pub first_token: time::Instant,
    /// Longest wait of a prompt that cannot be in time.
    pub max_wait: time::Duration,
}

impl Due {
    /// When a prefill of `work` has to start for the first token to be in time.
    ///
    /// A prompt that cannot be in time even at once waits behind those that can.
    pub fn start_by(&self, work: time::Duration, now: time::Instant) -> time::Instant {
        let start_by = self.first_token.checked_sub(work + FIRST_STEP);
        let patience = self.first_token.saturating_duration_since(now) + self.max_wait;
        start_by.filter(|start_by| *start_by > now).unwrap_or(now + patience)
    }
}

impl Default for Pace {
    fn default() -> Pace {
        Pace { nanos_each: FIRST_NANOS }
    }
}

impl Pace {
    /// Work expected for a prompt of `size` units.
    pub fn estimate(&self, size: u32) -> time::Duration {
        BASE + time::Duration::from_nanos((f64::from(size) * self.nanos_each) as u64)
    }

    /// Learns that a prompt of `size` units took `work`.
    pub fn learn(&mut self, size: u32, work: time::Duration) {
        let nanos = work.saturating_sub(BASE).as_nanos() as f64 / f64::from(size.max(1));
        // Small prompts say little of the pace, large ones much.
        let weight = WEIGHT * (f64::from(size) / (f64::from(size) + 1000.0));
        self.nanos_each += weight * (nanos - self.nanos_each);
    }
}
