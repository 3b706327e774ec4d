//! Detects retries of refused callers by their remaining timeout.

use std::time;

/// Decaying maximum of the remaining timeouts of the callers of one route.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryDetector {
    max_timeout: time::Duration,
}

/// A remaining timeout below this part of the maximum indicates a retry: on the users' bench
/// first requests had 12 to 14 s left, and retries 6 to 11.5 s.
const FIRST_REQUEST_SHARE: f64 = 0.85;
/// Relative decay of the maximum with each request.
const DECAY: f64 = 0.001;

impl RetryDetector {
    /// Records a request whose caller waits for another `remaining`, and returns whether it is a
    /// retry.
    pub fn record(&mut self, remaining: time::Duration) -> bool {
        self.max_timeout = self.max_timeout.mul_f64(1.0 - DECAY).max(remaining);
        remaining < self.max_timeout.mul_f64(FIRST_REQUEST_SHARE)
    }
}
