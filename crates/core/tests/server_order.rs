//! Registrations of a server that are read in another order than its processes wrote them.

use std::time;

use rhubarb_core::fleet;

const FIRST: u64 = 1_000;
const SECOND: u64 = 2_000;

fn row(started_ms: u64, sequence: u64, leaving: bool) -> fleet::Instance {
    fleet::Instance {
        service: "models".into(),
        address: ([10, 0, 0, 1], 80).into(),
        zone: "hall-a".into(),
        slots: 16,
        stage: Some(fleet::Stage::Decode),
        leaving,
        software: "v1".into(),
        started_ms: Some(started_ms),
        sequence,
    }
}

/// Time after which a row has been removed that its process no longer writes.
const LIFETIME: time::Duration = time::Duration::from_secs(5);

fn fleet() -> fleet::Fleet {
    let mut fleet = fleet::Fleet::default();
    fleet.set_row_lifetime(LIFETIME);
    fleet
}

fn is_used(fleet: &fleet::Fleet) -> bool {
    fleet.get("i-1").is_some_and(|known| !known.leaving)
}

// Guards against work for a server that leaves, after a late write of its process before.
#[test]
fn earlier_process() {
    let mut fleet = fleet();
    fleet.set("i-1", row(FIRST, 3, false));
    fleet.set("i-1", row(SECOND, 1, false));
    fleet.set("i-1", row(SECOND, 2, true));
    assert_eq!(fleet.order("i-1", &row(FIRST, 4, false)), fleet::Order::EarlierProcess);
    assert_eq!(fleet.set("i-1", row(FIRST, 4, false)), None);
    assert!(!is_used(&fleet));
    assert_eq!(fleet.next_expired(time::Instant::now()), None);
    assert!(!is_used(&fleet));
}

// Guards against a notice that is forgotten with the row of another process of the server.
#[test]
fn notice_kept() {
    let mut fleet = fleet();
    fleet.set("i-1", row(SECOND, 2, true));
    fleet.set("i-1", row(FIRST, 4, false));
    fleet.set("i-1", row(SECOND, 1, false));
    assert!(!is_used(&fleet), "it was written before the notice");
    fleet.set("i-1", row(SECOND, 3, false));
    assert!(!is_used(&fleet), "a notice is final");
}

// Guards against the address or stage of a report that its process has replaced.
#[test]
fn earlier_report() {
    let mut fleet = fleet();
    fleet.set("i-1", row(FIRST, 3, false));
    let moved = fleet::Instance { stage: Some(fleet::Stage::Prefill), ..row(FIRST, 5, false) };
    assert_eq!(fleet.set("i-1", moved.clone()), Some(fleet::Change::Updated("i-1".into())));
    assert_eq!(fleet.order("i-1", &row(FIRST, 4, false)), fleet::Order::EarlierReport);
    assert_eq!(fleet.set("i-1", row(FIRST, 4, false)), None);
    assert_eq!(fleet.get("i-1"), Some(&moved));
}

// A count that has grown alone is no change.
#[test]
fn counted_only() {
    let mut fleet = fleet();
    fleet.set("i-1", row(FIRST, 3, false));
    assert_eq!(fleet.set("i-1", row(FIRST, 4, false)), None);
    assert_eq!(fleet.order("i-1", &row(FIRST, 4, false)), fleet::Order::Later);
}

// A row that outlives the process that is known is of a process that runs: the clock of its server was
// set back.
#[test]
fn clock_set_back() {
    let mut fleet = fleet();
    let now = time::Instant::now();
    fleet.set("i-1", row(SECOND, 2, false));
    assert_eq!(fleet.set("i-1", row(FIRST, 1, false)), None);
    assert_eq!(fleet.next_expired(now), None);
    assert_eq!(fleet.set("i-1", row(FIRST, 2, false)), None, "written again meanwhile");
    assert_eq!(fleet.next_expired(now + LIFETIME / 2), None);
    assert_eq!(fleet.get("i-1"), Some(&row(SECOND, 2, false)));
    assert_eq!(fleet.next_expired(now + LIFETIME), Some(fleet::Change::Joined("i-1".into())));
    assert_eq!(fleet.get("i-1"), Some(&row(FIRST, 2, false)));
    assert_eq!(fleet.next_expired(now + 2 * LIFETIME), None);
}

// Guards against work for a server that is gone, after a late write of its process before.
#[test]
fn earlier_after_removal() {
    let mut fleet = fleet();
    let now = time::Instant::now();
    fleet.set("i-1", row(SECOND, 1, false));
    assert_eq!(fleet.remove("i-1", now), Some(fleet::Change::Gone("i-1".into())));
    assert_eq!(fleet.set("i-1", row(FIRST, 4, false)), None);
    assert_eq!(fleet.next_expired(now), None);
    assert_eq!(fleet.remove("i-1", now), None);
    assert_eq!(fleet.next_expired(now + LIFETIME), None, "its row was removed");
    assert!(!is_used(&fleet));
}

// Guards against work for a server that has said in an answer that it leaves, before its first row was
// read.
#[test]
fn answered_before_row() {
    let mut fleet = fleet();
    let now = time::Instant::now();
    fleet.set("i-1", row(FIRST, 3, false));
    fleet.set_leaving("i-1", Some(FIRST), SECOND + 500);
    assert_eq!(fleet.set("i-1", row(SECOND, 1, false)), None);
    assert!(!is_used(&fleet));
    assert_eq!(fleet.next_expired(now), None);
    fleet.set("i-1", row(SECOND, 2, true));
    assert_eq!(fleet.next_expired(now + LIFETIME), None);
    assert!(!is_used(&fleet));
}

// Guards against a server that is not used for good, since the process before it has said in an answer
// that it leaves.
#[test]
fn successor_used() {
    let mut fleet = fleet();
    let now = time::Instant::now();
    fleet.set("i-1", row(FIRST, 3, false));
    fleet.set_leaving("i-1", Some(FIRST), FIRST + 500);
    assert_eq!(fleet.set("i-1", row(SECOND, 1, false)), Some(fleet::Change::Joined("i-1".into())));
    assert!(is_used(&fleet), "it started after the answer");
    let late = fleet.set_leaving("i-1", Some(FIRST), SECOND + 500);
    assert_eq!(late, Some(fleet::Change::Leaving("i-1".into())), "it may have answered");
    assert_eq!(fleet.next_expired(now), None);
    assert_eq!(fleet.next_expired(now + LIFETIME), Some(fleet::Change::Joined("i-1".into())));
    assert!(is_used(&fleet), "nothing but that answer said so");
}

// Guards against a server that is ignored for good after it has started again, where servers do not tell
// their starts: its count begins anew.
#[test]
fn without_start() {
    let mut fleet = fleet();
    let unknown = |row: fleet::Instance| fleet::Instance { started_ms: None, ..row };
    fleet.set("i-1", unknown(row(FIRST, 7, false)));
    let moved =
        fleet::Instance { address: ([10, 0, 0, 2], 80).into(), ..unknown(row(SECOND, 1, false)) };
    assert_eq!(fleet.set("i-1", moved.clone()), Some(fleet::Change::Updated("i-1".into())));
    assert_eq!(fleet.get("i-1"), Some(&moved));
    fleet.set("i-1", unknown(row(SECOND, 2, true)));
    fleet.set("i-1", unknown(row(SECOND, 3, false)));
    assert!(!is_used(&fleet), "a notice is final");
}

// Guards against a server that is dropped after an outage, though its row is there: the copy from which
// the registry was restored has an earlier report of it.
#[test]
fn earlier_after_outage() {
    let mut fleet = fleet();
    let now = time::Instant::now();
    fleet.set("i-1", row(FIRST, 7, false));
    fleet.registry_recovered(None, now);
    assert_eq!(fleet.remove("i-1", now), None);
    assert_eq!(fleet.set("i-1", row(FIRST, 4, false)), Some(fleet::Change::Updated("i-1".into())));
    assert_eq!(fleet.next_expired(now + 2 * LIFETIME), None);
    assert!(is_used(&fleet));
}

// Guards against a notice that is missed, as a report that was written later is known.
#[test]
fn earlier_notice() {
    let mut fleet = fleet();
    fleet.set("i-1", row(FIRST, 7, false));
    assert_eq!(fleet.set("i-1", row(FIRST, 6, true)), Some(fleet::Change::Leaving("i-1".into())));
    assert!(!is_used(&fleet));
}
