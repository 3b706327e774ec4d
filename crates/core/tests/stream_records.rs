//! Rows of the platform's store that name the versions which began streams.

use std::{collections, time};

use rhubarb_core::{stream_records, uses};

const SECOND: time::Duration = time::Duration::from_secs(1);
/// Writes a second that the store takes.
const WRITES: f64 = 400.0;

// Guards against a fleet that writes or reads more than the store takes (issue 41).
#[test]
fn fleet_calls() {
    for entries in [None, Some(1), Some(5), Some(103), Some(950)] {
        let size = f64::from(entries.unwrap_or(300));
        let rate = stream_records::call_rate(WRITES, entries);
        assert!(rate * size <= WRITES / 2.0 + 0.001, "{entries:?}: {rate} calls a second");
        let reads = size / uses::read_interval(entries).as_secs_f64();
        assert!(reads <= 300.001 || size < 100.0, "{entries:?}: {reads} reads a second");
        // Each entry asks for a call every millisecond for a minute.
        let (mut calls, start) =
            (stream_records::Calls::new(time::Instant::now()), time::Instant::now());
        let (mut now, mut count) = (start, 0);
        while now < start + SECOND * 60 {
            now += calls.take(rate, now) + SECOND / 1_000;
            count += 1;
        }
        assert!(f64::from(count) <= rate * 60.0 + 10.0, "{entries:?}: {count} calls of {rate}");
    }
}

// Guards against first events that wait where the store has room: an entry of a small fleet in a burst.
#[test]
fn calls_at_once() {
    let start = time::Instant::now();
    let mut calls = stream_records::Calls::new(start);
    let rate = stream_records::call_rate(WRITES, Some(5));
    for number in 0..200 {
        let wait = calls.take(rate, start + SECOND / 14 * number);
        assert_eq!(wait, time::Duration::ZERO, "stream {number} of 14 a second");
    }
    // Not more than what fits into one round trip later.
    let burst: time::Duration = (0..8).map(|_| calls.take(rate, start + SECOND * 60)).sum();
    assert_eq!(burst, time::Duration::ZERO);
    assert_eq!(calls.take(rate, start + SECOND * 60), SECOND / 40);
}

// Guards against rows of one stream that are not found together, and against rows that change: a late write
// must not hide that a version has become uncertain.
#[test]
fn keys_of_stream() {
    let (from, to) = stream_records::key_range(0xab);
    let keys = [(7, true), (7, false), (u64::MAX, true), (0, false)];
    let keys: collections::BTreeSet<_> = keys
        .into_iter()
        .map(|(process, is_certain)| stream_records::key(0xab, process, is_certain))
        .collect();
    assert_eq!(keys.len(), 4);
    assert!(keys.iter().all(|key| from <= *key && *key < to));
    for other in [0, 0xaa, 0xac, 0xab0, u64::MAX] {
        let key = stream_records::key(other, 7, true);
        assert!(!(from <= key && key < to), "{key}");
    }
    let parts: collections::BTreeSet<_> = (0..100).map(stream_records::part).collect();
    assert_eq!(parts.len(), stream_records::PARTS.len());
}

#[test]
fn ages() {
    let is_over = |age_ms: u64| stream_records::is_over(5_000, 5_000 + age_ms, SECOND * 30);
    assert!(!is_over(40_000) && is_over(40_001));
    assert!(!stream_records::is_over(9_000, 5_000, SECOND * 30), "a clock that is behind");
    assert!(stream_records::lifetime(SECOND * 30) >= SECOND * 30);
}
