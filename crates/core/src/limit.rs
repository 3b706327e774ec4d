//! Rate and concurrency limits of one caller at one entry.

use std::time;

use crate::outcome;

use outcome::{Reason, Refusal};

/// Token bucket and in-flight count of one caller.
///
/// Each entry enforces the caller's limits divided by the number of live entries, so entries
/// exchange no messages about them.
#[derive(Clone, Copy, Debug)]
pub struct CallerLimiter {
    tokens: f64,
    refilled_at: time::Instant,
    in_flight: u32,
}

/// Retry delay of a caller with too many requests in flight.
const CONCURRENCY_RETRY: time::Duration = time::Duration::from_millis(500);

impl CallerLimiter {
    /// Creates a limiter whose bucket holds one second of this entry's share of `rate`, in
    /// requests per second.
    pub fn new(rate: u32, entries: u32, now: time::Instant) -> CallerLimiter {
        CallerLimiter { tokens: share(rate, entries), refilled_at: now, in_flight: 0 }
    }

    /// Admits a request, or refuses it with a retry delay.
    ///
    /// # Errors
    /// Returns a refusal if the caller exceeds its rate or its number of requests in flight.
    pub fn admit(
        &mut self,
        rate: u32,
        concurrent: u32,
        entries: u32,
        now: time::Instant,
    ) -> Result<(), Refusal> {
        let rate = share(rate, entries);
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * rate).min(rate.max(1.0));
        self.refilled_at = now;
        if f64::from(self.in_flight) >= share(concurrent, entries) {
            return Err(Refusal::not_run(Reason::OverConcurrent, CONCURRENCY_RETRY));
        }
        if self.tokens < 1.0 {
            let wait = time::Duration::from_secs_f64((1.0 - self.tokens) / rate);
            return Err(Refusal::not_run(Reason::OverRate, wait));
        }
        self.tokens -= 1.0;
        self.in_flight += 1;
        Ok(())
    }

    /// Records the end of an admitted request.
    pub fn release(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Number of requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }
}

// Each entry admits at least one request, however many entries there are.
fn share(limit: u32, entries: u32) -> f64 {
    (f64::from(limit) / f64::from(entries.max(1))).max(1.0)
}
