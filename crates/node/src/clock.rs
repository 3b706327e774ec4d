//! The runtime's clock, which tests pause and advance.

use std::time;

/// Monotonic time.
pub fn now() -> time::Instant {
    tokio::time::Instant::now().into_std()
}

/// Milliseconds since 1970, for records that people read.
pub fn unix_ms() -> u64 {
    let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// Half to one and a half times `period`, so that processes do not act in step.
pub fn jitter(period: time::Duration) -> time::Duration {
    period.mul_f64(0.5 + rand::random::<f64>())
}
