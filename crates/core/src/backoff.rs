//! Delays between retries of a failing call.

use std::time;

/// Exponential backoff, without jitter.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    base: time::Duration,
    max: time::Duration,
    next: time::Duration,
}

impl Backoff {
    /// Creates a backoff whose first delay is `base` and that doubles up to `max`.
    pub fn new(base: time::Duration, max: time::Duration) -> Backoff {
        Backoff { base, max, next: base }
    }

    /// Delay after a failure; doubles with each call.
    pub fn next_delay(&mut self) -> time::Duration {
        let delay = self.next;
        self.next = (self.next * 2).min(self.max);
        delay
    }

    /// Begins again with the first delay, after a success.
    pub fn reset(&mut self) {
        self.next = self.base;
    }
}
