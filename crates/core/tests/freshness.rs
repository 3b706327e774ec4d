//! Age of what is known of a table, and when the store is asked again.

use std::time;

use rhubarb_core::freshness;

const SECOND: time::Duration = time::Duration::from_secs(1);

#[test]
fn newest_counts() {
    let now = time::Instant::now();
    let mut known = freshness::Freshness::default();
    assert_eq!((known.age(now), known.check_at(true, 0.0)), (None, None));
    known.record(now, 0);
    known.record(now - SECOND, 0);
    assert_eq!(known.age(now + SECOND), Some(SECOND));
    assert_eq!(known.age(now - SECOND), Some(time::Duration::ZERO));
}

// Guards against entries that keep old information beyond 3 s, as nobody else notices that the feeds
// are silent: one asks early enough for all to learn of it.
#[test]
fn checked_in_time() {
    let now = time::Instant::now();
    let mut known = freshness::Freshness::default();
    known.record(now, 0);
    let first = known.check_at(true, 0.0).unwrap();
    let last = known.check_at(true, 1.0).unwrap();
    // Those that check each second have told by then.
    assert!(first >= now + SECOND + time::Duration::from_millis(500));
    // One call, a datagram and a snapshot later all know.
    assert!(last <= now + time::Duration::from_millis(2_300));
    assert!(known.check_at(false, 0.0).unwrap() > first, "news takes longer in several cells");
    known.record(now + SECOND, 0);
    assert_eq!(known.check_at(true, 0.0), Some(first + SECOND));
}

// Guards against a grace period that an entry begins for itself, as it alone did not reach the store:
// its peers know which servers are gone.
#[test]
fn cut_off_alone() {
    let now = time::Instant::now();
    let mut known = freshness::Freshness::default();
    let failed_at = now - 4 * SECOND;
    assert!(!known.is_answered(failed_at, now), "nobody has told anything");
    known.record_told(failed_at);
    assert!(!known.is_answered(failed_at, now), "told before the outage");
    known.record_told(now - SECOND);
    assert!(known.is_answered(failed_at, now));
    assert!(!known.is_answered(failed_at, now + SECOND), "the store may be away by then");
}

// Guards against live servers that are dropped after an outage which an open feed has outlasted.
#[test]
fn outage_outlasted() {
    let now = time::Instant::now();
    let mut known = freshness::Freshness::default();
    assert!(!known.may_follow_outage(now), "nothing is known yet");
    known.record(now, 0);
    let checked = known.check_at(true, 1.0).unwrap();
    assert!(!known.may_follow_outage(checked), "asked and answered before");
    assert!(known.may_follow_outage(now + 4 * SECOND));
}

// Guards against entries that confirm one another what nobody has asked the store: each adds the delay
// of its datagram to the time that it was told.
#[test]
fn not_confirmed_in_circles() {
    let delay = time::Duration::from_millis(50);
    for (is_single_cell, most) in [(true, delay), (false, 3 * delay)] {
        let now = time::Instant::now();
        let mut entries = [freshness::Freshness::default(); 2];
        entries[0].record(now, 0);
        for round in 0..200 {
            let at = now + round * delay;
            for (from, to) in [(0, 1), (1, 0)] {
                let Some((age, hops)) = entries[from].told(is_single_cell, at) else { continue };
                entries[to].record(at + delay - age, hops + 1);
            }
        }
        for entry in &entries {
            assert!(entry.check_at(true, 0.0) <= freshness_of(now + most).check_at(true, 0.0));
        }
    }
}

fn freshness_of(at: time::Instant) -> freshness::Freshness {
    let mut known = freshness::Freshness::default();
    known.record(at, 0);
    known
}
