//! Versions of the software of servers: which may have begun a stream that can still be taken up.

use std::{collections, time};

use rhubarb_core::releases;

const SECOND: time::Duration = time::Duration::from_secs(1);
const WINDOW: time::Duration = time::Duration::from_secs(20);

fn start(is_first: bool, now: time::Instant) -> releases::Releases {
    let mut known = releases::Releases::new(is_first, now);
    known.set_window(WINDOW, now);
    known
}

// Guards against a stream that goes on at another version since its own has just left (issue 32, ORDER).
#[test]
fn versions_leave() {
    let now = time::Instant::now() + SECOND * 3_600;
    let mut known = start(true, now);
    known.set_known(now);
    assert!(known.set("i-1", "models", 1, now));
    assert!(!known.set("i-2", "models", 1, now));
    assert_eq!(known.only("models", now), Some(1));
    assert_eq!(known.only("other", now), None);
    assert!(known.set("i-3", "models", 2, now + SECOND));
    assert_eq!(known.only("models", now + SECOND), None);
    known.remove("i-1", now + SECOND * 2);
    known.remove("i-2", now + SECOND * 3);
    assert_eq!(known.only("models", now + SECOND * 3 + WINDOW), None);
    assert_eq!(known.only("models", now + SECOND * 4 + WINDOW), Some(2));
}

// Guards against a history that begins with the process where the clock began with the machine, just
// before.
#[test]
fn first_start() {
    let now = time::Instant::now();
    let mut known = start(true, now);
    known.set("i-1", "models", 1, now);
    known.set_known(now + SECOND);
    assert_eq!(known.only("models", now + SECOND), Some(1));
}

// An entry that has just started does not know which versions have left before.
#[test]
fn started_late() {
    let now = time::Instant::now() + SECOND * 3_600;
    let mut known = start(false, now);
    known.set("i-1", "models", 1, now);
    known.set_known(now + SECOND);
    assert_eq!(known.only("models", now + WINDOW), None);
    assert_eq!(known.only("models", now + SECOND + WINDOW), Some(1));
}

// A version that changes under one id is another one from then on.
#[test]
fn changed_in_place() {
    let now = time::Instant::now() + SECOND * 3_600;
    let mut known = start(true, now);
    known.set_known(now);
    known.set("i-1", "models", 1, now);
    assert!(known.set("i-1", "models", 2, now + SECOND));
    assert_eq!(known.only("models", now + SECOND * 2), None);
    assert_eq!(known.only("models", now + SECOND * 2 + WINDOW), Some(2));
}

// Guards against a stream that is taken up at the version that happens to be registered, by an entry that
// has the servers and not yet the config (issue 41, ORDER).
#[test]
fn servers_first() {
    let now = time::Instant::now() + SECOND * 3_600;
    let mut known = releases::Releases::new(false, now);
    known.set("i-1", "models", 1, now);
    known.set_known(now);
    assert_eq!(known.only("models", now), None);
    assert_eq!(known.only("models", now + WINDOW * 2), None);
    known.set_window(WINDOW, now + WINDOW * 2);
    assert_eq!(known.only("models", now + WINDOW * 2), Some(1));
}

// The same for one that has the config, and of the servers only the first.
#[test]
fn config_first() {
    let now = time::Instant::now() + SECOND * 3_600;
    for is_first in [false, true] {
        let mut known = releases::Releases::new(is_first, now);
        known.set_window(WINDOW, now);
        known.set("i-1", "models", 1, now);
        assert_eq!(known.only("models", now + WINDOW * 2), None);
        known.set("i-2", "models", 2, now + WINDOW * 2);
        known.set_known(now + WINDOW * 2);
        assert_eq!(known.only("models", now + WINDOW * 2), None);
    }
}

// Guards against a stream that began under a longer timeout than the one in force, and is taken up at
// another version once the shorter one is over (issue 41, ORDER).
#[test]
fn timeout_shortened() {
    let now = time::Instant::now() + SECOND * 3_600;
    let mut known = start(true, now);
    known.set_known(now);
    known.set("i-1", "models", 1, now);
    known.set("i-2", "models", 2, now);
    known.remove("i-1", now + SECOND);
    known.set_window(WINDOW / 4, now + SECOND);
    assert_eq!(known.only("models", now + WINDOW / 2), None);
    assert_eq!(known.only("models", now + SECOND * 2 + WINDOW), Some(2));
}

// A longer timeout counts from the moment at which it is known, also for versions that have left before.
#[test]
fn timeout_lengthened() {
    let now = time::Instant::now() + SECOND * 3_600;
    let mut known = start(true, now);
    known.set_known(now);
    known.set("i-1", "models", 1, now);
    known.set("i-2", "models", 2, now);
    known.remove("i-1", now + SECOND);
    assert_eq!(known.only("models", now + SECOND * 2 + WINDOW), Some(2));
    known.set_window(WINDOW * 2, now + SECOND * 2 + WINDOW);
    assert_eq!(known.only("models", now + SECOND * 2 + WINDOW), None);
    assert_eq!(known.only("models", now + SECOND * 2 + WINDOW * 2), Some(2));
}

// Guards against a version that has left long ago for a short timeout, and not for one of an hour
// (issue 41, ORDER).
#[test]
fn long_timeout() {
    let now = time::Instant::now() + SECOND * 36_000;
    let mut known = start(true, now);
    let window = SECOND * 3_600;
    known.set_window(window, now);
    known.set_known(now);
    known.set("i-1", "models", 1, now);
    known.set("i-2", "models", 2, now);
    known.remove("i-1", now + SECOND);
    assert_eq!(known.only("models", now + window / 2), None);
    known.set("i-3", "models", 2, now + window / 2);
    known.remove("i-3", now + window / 2);
    assert_eq!(known.only("models", now + window / 2), None);
    assert_eq!(known.only("models", now + SECOND * 2 + window), Some(2));
}

// Guards against a stream that goes on at the version that another entry takes for the only one, while
// this one knows of a second that the other has not heard of yet (issue 41, ORDER).
#[test]
fn peer_behind() {
    let now = time::Instant::now() + SECOND * 3_600;
    let mut known = start(false, now);
    known.set("i-1", "models", 1, now);
    known.set("i-2", "models", 2, now);
    known.set_known(now);
    let answered =
        |versions: &[u32]| -> collections::BTreeSet<_> { versions.iter().copied().collect() };
    assert_eq!(known.agreed("models", &answered(&[1]), now), None);
    assert_eq!(known.agreed("models", &answered(&[3]), now), None);
    known.remove("i-2", now);
    assert_eq!(known.agreed("models", &answered(&[1]), now), None);
    assert_eq!(known.agreed("models", &answered(&[]), now + SECOND + WINDOW), Some(1));
    assert_eq!(known.agreed("models", &answered(&[1, 2]), now + SECOND + WINDOW), None);
    assert_eq!(known.agreed("models", &answered(&[2]), now + SECOND + WINDOW), None);
}

// An entry that has just started relies on one that has seen a single version for long enough, unless it
// sees another one itself.
#[test]
fn peer_knows() {
    let now = time::Instant::now() + SECOND * 3_600;
    let mut known = start(false, now);
    known.set("i-1", "models", 1, now);
    known.set_known(now);
    assert_eq!(known.agreed("models", &[1].into(), now), Some(1));
    assert_eq!(known.agreed("models", &[2].into(), now), None);
    assert_eq!(known.agreed("models", &[].into(), now), None);
}
