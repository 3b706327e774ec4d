//! Versions of the software of servers, as kept in the platform's store for entries that start anew.

use std::time;

use rhubarb_core::{history, releases};

const SECOND: time::Duration = time::Duration::from_secs(1);
const WINDOW: time::Duration = time::Duration::from_secs(20);
/// The store's clock when the tests begin.
const BEGIN_MS: u64 = 5_000_000;

// An entry that has the config and servers with `versions`.
fn entry(is_first: bool, versions: &[u32], now: time::Instant) -> releases::Releases {
    let mut known = releases::Releases::new(is_first, now);
    known.set_window(WINDOW, now);
    for version in versions {
        known.set(&format!("i-{version}"), "models", *version, now);
    }
    known.set_known(now);
    known
}

struct Clock(time::Instant);

impl Clock {
    fn start() -> Clock {
        Clock(time::Instant::now() + SECOND * 3_600)
    }

    fn at(&self, seconds: u32) -> time::Instant {
        self.0 + SECOND * seconds
    }

    fn reading(&self, era: u64, seconds: u32) -> history::Reading {
        let now = self.at(seconds);
        let now_ms = BEGIN_MS + u64::from(seconds) * 1_000;
        history::Reading { era, now_ms, asked: now, answered: now }
    }
}

// Guards against an entry that refuses to take streams up for as long as one lasts after its start, with
// one version all the time (issue 41, LOST).
#[test]
fn read_at_start() {
    let clock = Clock::start();
    let first = entry(true, &[1], clock.at(0));
    let row = first.record("models", None, true, &clock.reading(1, 0));
    let mut second = entry(false, &[1], clock.at(5));
    assert_eq!(second.only("models", clock.at(5)), None);
    second.load("models", &row, &clock.reading(1, 5));
    assert_eq!(second.only("models", clock.at(5)), Some(1));
    assert_eq!(second.need("models", 1, clock.at(5)), history::Need::None);
}

// A row that was written by an entry which had started just before is complete only from then on.
#[test]
fn written_late() {
    let clock = Clock::start();
    let late = entry(false, &[1], clock.at(0));
    let row = late.record("models", None, true, &clock.reading(1, 2));
    let mut next = entry(false, &[1], clock.at(10));
    next.load("models", &row, &clock.reading(1, 10));
    assert_eq!(next.only("models", clock.at(19)), None);
    assert_eq!(next.only("models", clock.at(21)), Some(1));
}

// Guards against streams that go on at another version since theirs left before the entry started
// (issue 41, ORDER), also where it left while no entry ran, and nobody noted it.
#[test]
fn left_before() {
    let clock = Clock::start();
    let mut first = entry(true, &[1, 2], clock.at(0));
    let both = first.record("models", None, true, &clock.reading(1, 0));
    first.remove("i-1", clock.at(1));
    first.load("models", &both, &clock.reading(1, 2));
    assert_eq!(first.need("models", 1, clock.at(4)), history::Need::Tidy);
    let noted = first.record("models", Some(&both), true, &clock.reading(1, 4));
    for (row, gone) in [(&both, 10), (&noted, 1)] {
        let mut next = entry(false, &[2], clock.at(10));
        next.load("models", row, &clock.reading(1, 10));
        assert_eq!(next.only("models", clock.at(gone + 20)), None, "{row:?}");
        assert_eq!(next.only("models", clock.at(gone + 26)), Some(2), "{row:?}");
    }
}

// Guards against a copy of the store that lacks the version of a stream (issue 41, ORDER).
#[test]
fn older_copy() {
    let clock = Clock::start();
    let first = entry(true, &[1], clock.at(0));
    let copy = first.record("models", None, true, &clock.reading(1, 0));
    let mut next = entry(false, &[1], clock.at(10));
    next.load("models", &copy, &clock.reading(2, 10));
    assert_eq!(next.only("models", clock.at(10)), None);
    // What the entry writes says no more, and what another reads of it proves no more.
    let row = next.record("models", Some(&copy), true, &clock.reading(2, 10));
    let mut third = entry(false, &[1], clock.at(12));
    third.load("models", &row, &clock.reading(2, 12));
    assert_eq!(third.only("models", clock.at(12)), None);
    assert_eq!(third.only("models", clock.at(31)), Some(1));
}

// An entry that has lived through a restore writes what it knows, once servers have written their rows
// again.
#[test]
fn survived_restore() {
    let clock = Clock::start();
    let mut first = entry(true, &[1, 2], clock.at(0));
    let copy = entry(true, &[1], clock.at(0)).record("models", None, true, &clock.reading(1, 0));
    first.load("models", &copy, &clock.reading(2, 5));
    let early = first.record("models", Some(&copy), false, &clock.reading(2, 5));
    assert_eq!(early.since_ms, Some(BEGIN_MS + 5_000));
    first.load("models", &early, &clock.reading(2, 5));
    assert_eq!(first.need("models", 2, clock.at(11)), history::Need::Tidy);
    let row = first.record("models", Some(&early), true, &clock.reading(2, 11));
    assert_eq!(row.since_ms, None);
    assert_eq!(row.versions, [(1, None), (2, None)].into());
    first.load("models", &row, &clock.reading(2, 11));
    assert_eq!(first.need("models", 2, clock.at(11)), history::Need::None);
}

// Guards against an entry that was frozen or cut off while a version came and left (issue 41, ORDER).
#[test]
fn after_gap() {
    let clock = Clock::start();
    let mut known = entry(true, &[1], clock.at(0));
    let row = known.record("models", None, true, &clock.reading(1, 0));
    known.load("models", &row, &clock.reading(1, 0));
    known.set_gap(clock.at(100));
    assert_eq!(known.only("models", clock.at(100)), None);
    let mut other = row.clone();
    other.versions.insert(2, Some(BEGIN_MS + 90_000));
    known.load("models", &other, &clock.reading(1, 100));
    assert_eq!(known.only("models", clock.at(110)), None);
    assert_eq!(known.only("models", clock.at(116)), Some(1));
}

// Guards against streams that begin at a version of which the store has no record, so that entries that
// start anew take another for the only one.
#[test]
fn record_before_use() {
    let clock = Clock::start();
    let mut known = entry(true, &[1], clock.at(0));
    assert!(known.is_used("models", 1, clock.at(0)), "there is no other");
    known.set("i-2", "models", 2, clock.at(20));
    assert!(!known.is_used("models", 2, clock.at(20)));
    assert_eq!(known.need("models", 1, clock.at(20)), history::Need::Version);
    let row = known.record("models", None, true, &clock.reading(1, 21));
    known.load("models", &row, &clock.reading(1, 21));
    assert!(known.is_used("models", 2, clock.at(21)));
    // A version that comes back is looked at anew.
    known.remove("i-2", clock.at(22));
    known.set("i-2", "models", 2, clock.at(40));
    assert!(!known.is_used("models", 2, clock.at(40)));
}

// In an outage of the store a version is used all the same where it is the only one, or after a while.
#[test]
fn outage() {
    let clock = Clock::start();
    let mut known = entry(true, &[1], clock.at(0));
    assert!(known.is_used("models", 1, clock.at(0)));
    known.set("i-2", "models", 2, clock.at(20));
    assert!(!known.is_used("models", 2, clock.at(29)));
    assert!(known.is_used("models", 2, clock.at(31)));
    known.set("i-3", "models", 3, clock.at(32));
    assert!(!known.is_used("models", 3, clock.at(32)));
    known.remove("i-1", clock.at(33));
    known.remove("i-2", clock.at(33));
    assert!(known.is_used("models", 3, clock.at(33)));
}

// An entry that has just started waits for the rows before it uses any engine, unless the store does not
// answer.
#[test]
fn unread() {
    let clock = Clock::start();
    let mut known = entry(false, &[1], clock.at(0));
    assert!(!known.is_used("models", 1, clock.at(0)));
    known.set_read();
    assert!(known.is_used("models", 1, clock.at(0)));
}

// A timeout that was shortened before the entry started counts for streams that began before.
#[test]
fn shortened_before() {
    let clock = Clock::start();
    let mut first = entry(true, &[1, 2], clock.at(0));
    first.remove("i-1", clock.at(1));
    let row = first.record("models", None, true, &clock.reading(1, 4));
    let mut next = releases::Releases::new(false, clock.at(6));
    next.set("i-2", "models", 2, clock.at(6));
    next.set_known(clock.at(6));
    next.load("models", &row, &clock.reading(1, 6));
    next.set_window(SECOND, clock.at(6));
    assert_eq!(next.only("models", clock.at(20)), None);
    assert_eq!(next.only("models", clock.at(27)), Some(2));
}

// Writes, and reads in the busiest second, of 950 entries that see a new version within `spread_ms`.
fn calls(spread_ms: u64, has_leader: bool, entries: Option<u32>) -> (usize, usize) {
    const ENTRIES: u32 = 950;
    let mut looks: Vec<u64> = (0..ENTRIES)
        .map(|number| {
            let seen = u64::from(number * 7_919 % 1_000) * spread_ms / 1_000;
            let random = f64::from(number * 104_729 % ENTRIES) / f64::from(ENTRIES);
            let is_leader = has_leader && number == 0;
            seen + history::delay(is_leader, entries, random).as_millis() as u64
        })
        .collect();
    looks.sort_unstable();
    // A write takes 20 ms to be seen.
    let writes = looks.iter().filter(|at| **at <= looks[0] + 20).count();
    let within = |from: u64| looks.iter().filter(|at| (from..from + 1_000).contains(*at)).count();
    (writes, looks.iter().map(|from| within(*from)).max().unwrap_or_default())
}

// What a large fleet reads and writes stays within a part of what the store serves (2,000 and 400 calls
// a second), for a version that comes later and at a start, when no entry knows another.
#[test]
fn large_fleet() {
    let (writes, reads) = calls(1_000, true, Some(950));
    assert!(writes <= 40 && reads <= 500, "{writes} writes, {reads} reads");
    let (writes, reads) = calls(300, false, None);
    assert!(writes <= 40 && reads <= 1_000, "{writes} writes, {reads} reads");
}

// One that looks after the write has nothing to write.
#[test]
fn written_by_other() {
    let clock = Clock::start();
    let first = entry(true, &[1], clock.at(0)).record("models", None, true, &clock.reading(1, 0));
    let mut known = entry(false, &[1, 2], clock.at(10));
    known.load("models", &first, &clock.reading(1, 10));
    assert_eq!(known.need("models", 1, clock.at(10)), history::Need::Version);
    let row = known.record("models", Some(&first), true, &clock.reading(1, 10));
    let mut other = entry(false, &[1, 2], clock.at(10));
    other.load("models", &row, &clock.reading(1, 10));
    assert_eq!(other.need("models", 1, clock.at(10)), history::Need::None);
}

// Which version is alone on record when an entry starts, also beside servers of another one: no stream
// that can still be taken up began there (issue 50, ORDER).
#[test]
fn alone_on_record() {
    let clock = Clock::start();
    let initial = |row: &history::History| row.only(&clock.reading(1, 100));
    let gone = |seconds: u64| Some(BEGIN_MS + seconds * 1_000);
    let row = |since_ms, versions: &[(u32, Option<u64>)]| history::History {
        era: 1,
        since_ms,
        window_ms: WINDOW.as_millis() as u64,
        versions: versions.iter().copied().collect(),
    };
    assert_eq!(initial(&row(None, &[(1, None)])), Some(1));
    assert_eq!(initial(&row(gone(50), &[(1, None)])), Some(1));
    assert_eq!(initial(&row(gone(90), &[(1, None)])), None, "complete for ten seconds");
    assert_eq!(initial(&row(None, &[(1, None), (2, None)])), None);
    assert_eq!(initial(&row(None, &[(1, None), (2, gone(90))])), None, "left just before");
    assert_eq!(initial(&row(None, &[(1, None), (2, gone(50))])), Some(1), "left long before");
    let copy = history::History { era: 0, ..row(None, &[(1, None)]) };
    assert_eq!(initial(&copy), None, "a copy may lack the other one");
    let odd = history::History { window_ms: u64::MAX, ..row(gone(50), &[(1, None)]) };
    assert_eq!(initial(&odd), None, "a window without end");
}
