//! Bound on the datagrams that ask other entries for the versions of streams.

use std::time;

/// Token bucket of one entry.
#[derive(Clone, Copy, Debug)]
pub struct Questions {
    tokens: f64,
    refilled_at: time::Instant,
}

/// Datagrams a second in the long run: some 70 kB with headers.
pub const RATE: f64 = 1_000.0;
/// Datagrams at once: at the target four streams may be asked for at all entries.
pub const BURST: f64 = 4_000.0;

impl Questions {
    /// Creates a full bucket.
    pub fn new(now: time::Instant) -> Questions {
        Questions { tokens: BURST, refilled_at: now }
    }

    /// Takes up to `wanted` datagrams from the bucket and returns how many may be sent.
    pub fn take(&mut self, wanted: usize, now: time::Instant) -> usize {
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * RATE).min(BURST);
        self.refilled_at = now;
        let granted = wanted.min(self.tokens as usize);
        self.tokens -= granted as f64;
        granted
    }
}
