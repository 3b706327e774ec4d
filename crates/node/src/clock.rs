//! The runtime's clock, which tests pause and advance.

use std::time;

/// Monotonic time.
pub fn now() -> time::Instant {
    tokio::time::Instant::now().into_std()
}

/// Milliseconds since the Unix epoch, for records that people read.
pub fn unix_ms() -> u64 {
    let elapsed = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// Returns a random duration between 0.5 and 1.5 times `period`, so that processes do not
/// synchronize.
pub fn jitter(period: time::Duration) -> time::Duration {
    period.mul_f64(0.5 + rand::random::<f64>())
}
