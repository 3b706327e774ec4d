//! Limits of one caller at one entry.

use std::time;

use crate::outcome;

use outcome::{Reason, Refusal};

/// Token bucket and in-flight count of one caller.
///
/// An entry grants its share of the caller's limits, which is the limit divided by the number
/// of live entries; no messages between entries are needed.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    tokens: f64,
    filled: time::Instant,
    open: u32,
}

const OPEN_RETRY: time::Duration = time::Duration::from_millis(500);

impl Limit {
    /// Starts with one second's worth of the share of `rate`.
    pub fn new(rate: u32, entries: u32, now: time::Instant) -> Limit {
        Limit { tokens: share(rate, entries), filled: now, open: 0 }
    }

    /// Admits a request or tells when to come back.
    ///
    /// # Errors
    /// Returns the refusal where the caller exceeds its rate or its requests in flight.
    pub fn admit(
        &mut self,
        rate: u32,
        concurrent: u32,
        entries: u32,
        now: time::Instant,
    ) -> Result<(), Refusal> {
        let rate = share(rate, entries);
        let passed = now.saturating_duration_since(self.filled).as_secs_f64();
        self.tokens = (self.tokens + passed * rate).min(rate.max(1.0));
        self.filled = now;
        if f64::from(self.open) >= share(concurrent, entries) {
            return Err(Refusal::not_run(Reason::OverConcurrent, OPEN_RETRY));
        }
        if self.tokens < 1.0 {
            let wait = time::Duration::from_secs_f64((1.0 - self.tokens) / rate);
            return Err(Refusal::not_run(Reason::OverRate, wait));
        }
        self.tokens -= 1.0;
        self.open += 1;
        Ok(())
    }

    /// Notes the end of an admitted request.
    pub fn release(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// Requests in flight.
    pub fn open(&self) -> u32 {
        self.open
    }
}

// Every entry may let at least one request through, however many entries there are.
fn share(limit: u32, entries: u32) -> f64 {
    (f64::from(limit) / f64::from(entries.max(1))).max(1.0)
}
