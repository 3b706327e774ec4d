//! Rows of the platform's store that name the streams which entries have begun, for a fleet whose
//! entries all start anew.
//!
//! Each process writes rows of its own in a ring of slots, and no other process does.

use std::time;

use crate::{history, ids};

/// Writes per second of all entries together.
const WRITES: f64 = 100.0;
/// Reads per second of all entries together.
const READS: f64 = 300.0;
/// Shortest interval between two writes of an entry.
const MIN_WRITE_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Shortest interval between two reads of an entry.
const MIN_READ_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Difference of the clocks of instances that is allowed for.
const CLOCK_MARGIN: time::Duration = time::Duration::from_secs(10);
/// Maximum number of slots of a process.
const MAX_SLOTS: u32 = 900;
/// Streams in one row: at eight bytes each, in base64, less than 64 KiB.
pub const MAX_STREAMS: usize = 6_000;

/// Interval between writes of an entry among `entries`, if that is known. Streams can be taken up
/// within `window`.
pub fn write_interval(entries: Option<u32>, window: time::Duration) -> time::Duration {
    let shared = f64::from(history::fleet_size(entries)) / WRITES;
    let interval = MIN_WRITE_INTERVAL.max(time::Duration::from_secs_f64(shared));
    // A slot must not be written again within the window.
    interval.max((window + CLOCK_MARGIN) / (MAX_SLOTS - 1))
}

/// Interval between reads of an entry among `entries`, if that is known.
pub fn read_interval(entries: Option<u32>) -> time::Duration {
    let shared = f64::from(history::fleet_size(entries)) / READS;
    MIN_READ_INTERVAL.max(time::Duration::from_secs_f64(shared))
}

/// Slot after `slot` in the ring of a process that writes at `interval` or less often.
pub fn next_slot(slot: u32, interval: time::Duration, window: time::Duration) -> u32 {
    let count = (window + CLOCK_MARGIN).as_secs_f64() / interval.as_secs_f64();
    let count = (count.ceil() as u32 + 1).min(MAX_SLOTS);
    (slot + 1) % count
}

/// Key of the row of a slot.
pub fn key(incarnation: ids::Incarnation, slot: u32) -> String {
    format!("{incarnation:016x}.{slot:03}")
}

/// Part of a key that names the process.
pub fn process(key: &str) -> &str {
    key.split_once('.').map_or(key, |(process, _)| process)
}

/// Whether the streams of a row can no longer be taken up. It was written at `at_ms`; times are Unix
/// milliseconds.
pub fn is_over(at_ms: u64, now_ms: u64, window: time::Duration) -> bool {
    time::Duration::from_millis(now_ms.saturating_sub(at_ms)) > window + CLOCK_MARGIN
}
