//! Which requests a stopping entry serves.

use std::time;

use rhubarb_core::{routing, stopping};

const KIND: routing::Kind = routing::Kind::Unsafe;
const GRACE: time::Duration = time::Duration::from_secs(8);
const TARGET: time::Duration = time::Duration::from_millis(300);

fn millis(millis: u64) -> time::Duration {
    time::Duration::from_millis(millis)
}

#[test]
fn early_served() {
    let start = time::Instant::now();
    let stop = stopping::Stop::new(start, GRACE);
    let now = start + millis(2_400);
    assert!(!stop.is_out_of_rotation(now));
    assert!(stop.admits(KIND, TARGET, now + millis(60_000), now));
}

// Guards against a request that is sent to a server and cut off at the end of the drain: it came
// after the balancer's delay and had more time than the entry.
#[test]
fn late_refused() {
    let start = time::Instant::now();
    let stop = stopping::Stop::new(start, GRACE);
    let later = stop.answered_by() + millis(1);
    for (after, target) in
        [(2_500, TARGET * 6), (6_701, TARGET), (7_560, TARGET), (7_900, TARGET), (9_000, TARGET)]
    {
        let now = start + millis(after);
        assert!(stop.is_out_of_rotation(now));
        assert!(!stop.admits(KIND, target, later, now), "{after} ms");
    }
    // The answer is expected long before the end.
    for after in [2_500, 6_700] {
        assert!(stop.admits(KIND, TARGET, later, start + millis(after)), "{after} ms");
    }
    let now = start + millis(2_600);
    assert!(stop.admits(KIND, TARGET, now + millis(1_500), now));
    let stream = routing::Kind::Stream { resumable: true };
    assert!(!stop.admits(stream, TARGET, now + millis(1_500), now));
    assert!(stop.answered_by() < stop.drained_by());
    assert!(stop.drained_by() < start + GRACE);
}

#[test]
fn short_grace() {
    let start = time::Instant::now();
    let stop = stopping::Stop::new(start, millis(200));
    assert_eq!((stop.answered_by(), stop.drained_by()), (start, start));
    assert!(stop.admits(KIND, TARGET, start + millis(100), start));
}

// Guards against requests that are admitted up to the kill: the signal was handled late, after a pause.
#[test]
fn handled_late() {
    let asked = time::Instant::now();
    let start = asked + millis(3_000);
    let stop = stopping::Stop::new(start, GRACE).asked_since(asked);
    assert_eq!(stop.answered_by(), stopping::Stop::new(asked, GRACE).answered_by());
    assert_eq!(stop.drained_by(), stopping::Stop::new(start, GRACE).drained_by());
    let now = asked + millis(6_701);
    assert!(!stop.admits(KIND, TARGET, now + millis(2_500), now));
    // A time after the signal was handled cannot be the one at which it was sent.
    let stop = stopping::Stop::new(start, GRACE).asked_since(start + millis(100));
    assert_eq!(stop.answered_by(), stopping::Stop::new(start, GRACE).answered_by());
}

// Guards against callers that use up their retries at entries that all stop.
#[test]
fn retry_delays() {
    let start = time::Instant::now();
    let stop = stopping::Stop::new(start, GRACE);
    let now = start + millis(2_600);
    assert!(stop.retry_delay(true, now) < millis(100));
    assert!(now + stop.retry_delay(false, now) >= stop.drained_by() + millis(1_000));
    assert!(stop.retry_delay(false, start + GRACE) >= millis(1_000));
}
