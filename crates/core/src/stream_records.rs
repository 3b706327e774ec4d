//! Rows of the platform's store that name the versions which began streams, for a fleet whose entries all
//! start anew.
//!
//! Each process writes rows of its own, one for each stream, before the first event of the stream is sent
//! to its caller. A row does not change: that a version has become uncertain is told by another row.

use std::time;

use crate::{history, ids};

/// Share of the store's calls that these rows may take.
const CALL_SHARE: f64 = 0.5;
/// Calls of an entry that may be made at once.
const BURST: f64 = 8.0;
/// Difference of the clocks of instances that is allowed for.
const CLOCK_MARGIN: time::Duration = time::Duration::from_secs(10);
/// Parts of the table. The store applies the transactions of one part one after the other.
pub const PARTS: [&str; 4] = ["0", "1", "2", "3"];
/// Streams that are written at once, and rows that are removed with them: together what the store takes.
pub const MAX_STREAMS: usize = 50;
/// Mark at the end of the key of a row that says that a version is uncertain.
const UNCERTAIN: &str = "u";

/// Calls a second of an entry among `entries`, if that is known, where the store takes `calls` of all
/// instances together.
pub fn call_rate(calls: f64, entries: Option<u32>) -> f64 {
    calls * CALL_SHARE / f64::from(history::fleet_size(entries).max(1))
}

/// Token bucket for the calls of an entry to the store.
#[derive(Clone, Copy, Debug)]
pub struct Calls {
    // Negative while calls have been taken in advance.
    tokens: f64,
    refilled_at: time::Instant,
}

impl Calls {
    /// Creates a full bucket.
    pub fn new(now: time::Instant) -> Calls {
        Calls { tokens: BURST, refilled_at: now }
    }

    /// Takes one of `rate` calls a second; returns the time to wait before it is made.
    pub fn take(&mut self, rate: f64, now: time::Instant) -> time::Duration {
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * rate).min(BURST) - 1.0;
        self.refilled_at = now;
        let wait = -self.tokens.min(0.0) / rate;
        time::Duration::try_from_secs_f64(wait).unwrap_or(time::Duration::MAX)
    }
}

/// Part with the rows of a stream.
pub fn part(attempt: ids::AttemptTag) -> &'static str {
    PARTS[(attempt % PARTS.len() as u64) as usize]
}

/// Key of the row in which a process tells of a stream.
pub fn key(attempt: ids::AttemptTag, incarnation: ids::Incarnation, is_certain: bool) -> String {
    let mark = if is_certain { "" } else { UNCERTAIN };
    format!("{attempt:016x}.{incarnation:016x}{mark}")
}

/// First key of a stream, and the first one after its keys.
pub fn key_range(attempt: ids::AttemptTag) -> (String, String) {
    (format!("{attempt:016x}."), format!("{attempt:016x}/"))
}

/// Time after which a row may be removed, where streams can be taken up within `window`.
pub fn lifetime(window: time::Duration) -> time::Duration {
    window + CLOCK_MARGIN
}

/// Whether the stream of a row can no longer be taken up. The row was written at `at_ms`; times are Unix
/// milliseconds.
pub fn is_over(at_ms: u64, now_ms: u64, window: time::Duration) -> bool {
    time::Duration::from_millis(now_ms.saturating_sub(at_ms)) > lifetime(window)
}
