//! Servers at whose registered addresses others answer.

use std::{net, time};

use rhubarb_core::{ids, misdirected};

const MILLIS: time::Duration = time::Duration::from_millis(1);
const SECOND: time::Duration = time::Duration::from_secs(1);

fn place(server: &str) -> misdirected::Place {
    let address = net::SocketAddr::from(([127, 0, 0, 1], 80));
    misdirected::Place { process: ids::process_tag(server, Some(1)), address }
}

fn said(is_other: bool, ago: time::Duration) -> misdirected::Statement {
    misdirected::Statement { place: place("a"), is_other, ago }
}

// A response alone closes a place for a second, then for two; checks that tell nothing change nothing.
#[test]
fn suspicion_ends() {
    let start = time::Instant::now();
    let mut known = misdirected::Misdirected::default();
    assert!(known.suspect(place("a"), start));
    assert!(!known.suspect(place("a"), start), "known");
    assert_eq!(known.take_due(9, 0.0, start), [place("a")]);
    assert!(known.take_unconfirmed(start + 999 * MILLIS).is_empty());
    assert!(known.is_other(place("a")));
    assert_eq!(known.take_unconfirmed(start + SECOND), [place("a")]);
    assert!(!known.is_other(place("a")));
    assert!(known.statements(9, 0, start).is_empty(), "others are not told");
    assert!(known.suspect(place("a"), start + 2 * SECOND));
    assert!(known.take_unconfirmed(start + 3 * SECOND).is_empty());
    assert_eq!(known.take_unconfirmed(start + 4 * SECOND), [place("a")]);
}

#[test]
fn confirmed_and_cleared() {
    let now = time::Instant::now();
    let mut known = misdirected::Misdirected::default();
    assert!(!known.record(place("a"), true, now), "nobody has asked");
    known.suspect(place("a"), now);
    assert!(known.record(place("a"), true, now));
    assert!(known.take_unconfirmed(now + 99 * SECOND).is_empty(), "it has no end of its own");
    assert_eq!(known.statements(9, 0, now), [said(true, time::Duration::ZERO)]);
    assert!(known.record(place("a"), false, now + SECOND));
    assert!(!known.is_other(place("a")));
    assert_eq!(known.next_due(), None);
    assert_eq!(known.statements(9, 0, now + SECOND), [said(false, time::Duration::ZERO)]);
}

// A new row ends a verdict, also against statements of others that are older.
#[test]
fn registered_anew() {
    let now = time::Instant::now();
    let mut known = misdirected::Misdirected::default();
    known.suspect(place("a"), now);
    known.record(place("a"), true, now);
    known.register(place("a"), now + 2 * SECOND);
    assert!(!known.is_other(place("a")));
    assert!(!known.merge(said(true, SECOND), 0.0, now + 2 * SECOND));
    assert!(known.merge(said(true, time::Duration::ZERO), 0.0, now + 4 * SECOND));
    assert!(known.is_other(place("a")));
}

// Guards against findings that come back from others as newer by the time of the datagrams, and put
// the check off for good.
#[test]
fn echoes_ignored() {
    let start = time::Instant::now();
    let mut known = misdirected::Misdirected::default();
    known.suspect(place("a"), start);
    known.take_due(9, 0.0, start);
    known.record(place("a"), true, start);
    let due = known.next_due().expect("it is checked again");
    let mut now = start;
    while now < due {
        now += 20 * MILLIS;
        let ago = (now - start).saturating_sub(15 * MILLIS);
        assert!(!known.merge(said(true, ago), 1.0, now));
    }
    assert_eq!(known.take_due(9, 0.0, now), [place("a")]);
}

// The intervals between checks grow to half a minute, and a check by another entry counts.
#[test]
fn checks_shared() {
    let mut now = time::Instant::now();
    let mut known = misdirected::Misdirected::default();
    assert!(known.merge(said(true, time::Duration::ZERO), 0.0, now));
    for _ in 0..10 {
        now = known.next_due().expect("it is checked again");
        assert_eq!(known.take_due(9, 0.0, now).len(), 1);
        known.record(place("a"), true, now);
    }
    assert_eq!(known.next_due(), Some(now + 30 * SECOND));
    assert!(!known.merge(said(true, time::Duration::ZERO), 0.5, now + 10 * SECOND));
    assert_eq!(known.next_due(), Some(now + 55 * SECOND));
}

#[test]
fn old_places_forgotten() {
    let now = time::Instant::now();
    let mut known = misdirected::Misdirected::default();
    known.suspect(place("a"), now);
    known.suspect(place("b"), now);
    known.record(place("a"), true, now);
    known.record(place("b"), false, now);
    known.expire(|known| known != place("a"), now);
    assert!(!known.is_other(place("a")));
    // The end of the verdict on the other one is kept for a while.
    assert_eq!(known.statements(9, 0, now).len(), 1);
    known.expire(|_| true, now + 60 * SECOND);
    assert!(known.statements(9, 0, now).is_empty());
}
