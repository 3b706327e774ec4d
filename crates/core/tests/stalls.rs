//! Times at which the process did not run.

use std::time;

use rhubarb_core::{stalls, stopping};

fn millis(millis: u64) -> time::Duration {
    time::Duration::from_millis(millis)
}

#[test]
fn signals_on_time() {
    let start = time::Instant::now();
    let mut stalls = stalls::Stalls::new(start);
    for tick in 1..50 {
        let now = start + stalls::PERIOD * tick + millis(u64::from(tick % 3) * 20);
        assert_eq!(stalls.signalled_since(now), now);
        assert_eq!(stalls.record(now), None);
    }
}

// Guards against a grace period that is counted from the end of a pause in which the signal came.
#[test]
fn signal_in_stall() {
    let start = time::Instant::now();
    let mut stalls = stalls::Stalls::new(start);
    let resumed = start + millis(3_000);
    // The signal may be handled before or after the first record.
    assert_eq!(stalls.signalled_since(resumed), start);
    assert_eq!(stalls.record(resumed), Some(millis(3_000)));
    assert_eq!(stalls.signalled_since(resumed + millis(1)), start);
    for tick in 1..10 {
        assert_eq!(stalls.record(resumed + stalls::PERIOD * tick), None);
    }
    let later = resumed + stalls::PERIOD * 9 + millis(1);
    assert_eq!(stalls.signalled_since(later), later);
}

// Guards against answers that are due after the kill, since a short stall was not counted.
#[test]
fn any_stall() {
    let grace = millis(8_000);
    for stall in (0..3_000).step_by(10) {
        for is_recorded in [false, true] {
            let start = time::Instant::now();
            let mut stalls = stalls::Stalls::new(start);
            let (asked, handled) = (start + millis(1), start + millis(1 + stall));
            if is_recorded {
                stalls.record(handled);
            }
            let since = stalls.signalled_since(handled);
            let stop = stopping::Stop::new(handled, grace).asked_since(since);
            assert!(stop.answered_by() < asked + grace, "{stall} ms");
        }
    }
}
