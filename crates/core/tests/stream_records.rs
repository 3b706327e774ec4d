//! Rows of the platform's store that name the streams which entries have begun.

use std::{collections, time};

use rhubarb_core::stream_records;

const SECOND: time::Duration = time::Duration::from_secs(1);

// Guards against a fleet that writes or reads more than the store takes (issue 41).
#[test]
fn fleet_calls() {
    for entries in [None, Some(1), Some(5), Some(103), Some(950)] {
        let size = f64::from(entries.unwrap_or(300));
        for seconds in [30, 90, 3_600] {
            let interval = stream_records::write_interval(entries, SECOND * seconds);
            let writes = size / interval.as_secs_f64();
            assert!(writes <= 100.001, "{entries:?}: {writes} writes a second");
        }
        let reads = size / stream_records::read_interval(entries).as_secs_f64();
        assert!(reads <= 300.001 || size < 100.0, "{entries:?}: {reads} reads a second");
    }
    let few = stream_records::write_interval(Some(5), SECOND * 90);
    assert_eq!(few, time::Duration::from_millis(500));
    assert!(stream_records::read_interval(Some(5)) >= SECOND / 4);
}

// Guards against a row that is replaced while its streams can still be taken up, and against rows
// without end.
#[test]
fn slots_reused() {
    for entries in [1, 5, 950] {
        for seconds in [1, 30, 90, 3_600] {
            let window = SECOND * seconds;
            let interval = stream_records::write_interval(Some(entries), window);
            let mut used = collections::BTreeMap::new();
            let (mut slot, mut age) = (0, time::Duration::ZERO);
            for _ in 0..3_000 {
                if let Some(last) = used.insert(slot, age) {
                    assert!(age - last > window, "{entries} entries: slot {slot} used too soon");
                }
                slot = stream_records::next_slot(slot, interval, window);
                age += interval;
            }
            assert!(used.len() <= 900, "{entries} entries: {} slots", used.len());
        }
    }
}

#[test]
fn keys_and_ages() {
    let key = stream_records::key(0xab, 7);
    assert_eq!(key, "00000000000000ab.007");
    assert_eq!(stream_records::process(&key), "00000000000000ab");
    let is_over = |age_ms: u64| stream_records::is_over(5_000, 5_000 + age_ms, SECOND * 30);
    assert!(!is_over(40_000) && is_over(40_001));
    assert!(!stream_records::is_over(9_000, 5_000, SECOND * 30), "a clock that is behind");
}
