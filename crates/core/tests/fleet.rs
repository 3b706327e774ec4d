//! Registered servers: lifetimes, leaving, and entries that lapse around an outage.

use std::time;

use rhubarb_core::fleet;

use fleet::Change;

const MILLI: time::Duration = time::Duration::from_millis(1);

fn instance(started_ms: u64, leaving: bool) -> fleet::Instance {
    fleet::Instance {
        service: "models".into(),
        address: ([10, 0, 0, 1], 80).into(),
        zone: "hall-a".into(),
        slots: 16,
        stage: Some(fleet::Stage::Decode),
        leaving,
        started_ms: Some(started_ms),
    }
}

#[test]
fn same_id_reborn() {
    let mut fleet = fleet::Fleet::default();
    assert_eq!(fleet.set("i-1", instance(1, false)), Some(Change::Joined("i-1".into())));
    assert_eq!(fleet.set("i-1", instance(1, false)), None);
    assert_eq!(fleet.set("i-1", instance(2, false)), Some(Change::Joined("i-1".into())));
}

#[test]
fn leaving_once() {
    let mut fleet = fleet::Fleet::default();
    fleet.set("i-1", instance(1, false));
    assert_eq!(fleet.set("i-1", instance(1, true)), Some(Change::Leaving("i-1".into())));
    assert_eq!(fleet.set("i-1", instance(1, true)), None);
}

#[test]
fn other_service() {
    let mut fleet = fleet::Fleet::default();
    fleet.set("i-1", instance(1, false));
    let moved = fleet::Instance { service: "board".into(), ..instance(1, false) };
    assert_eq!(fleet.set("i-1", moved), Some(Change::Joined("i-1".into())));
}

#[test]
fn gone_at_calm() {
    let mut fleet = fleet::Fleet::default();
    fleet.set("i-1", instance(1, false));
    let now = time::Instant::now();
    assert_eq!(fleet.remove("i-1", now), Some(Change::Gone("i-1".into())));
    assert_eq!(fleet.remove("i-1", now), None);
}

#[test]
fn lapsed_returns() {
    let mut fleet = fleet::Fleet::default();
    fleet.set("i-1", instance(1, false));
    let now = time::Instant::now();
    fleet.registry_recovered(now);
    assert_eq!(fleet.remove("i-1", now + 10 * MILLI), None);
    assert_eq!(fleet.next_expired(now + 1_000 * MILLI), None);
    fleet.set("i-1", instance(1, false));
    assert_eq!(fleet.next_expired(now + 5_000 * MILLI), None, "its entry is back");
}

#[test]
fn lapsed_stays_away() {
    let mut fleet = fleet::Fleet::default();
    fleet.set("i-1", instance(1, false));
    let now = time::Instant::now();
    fleet.registry_recovered(now);
    assert_eq!(fleet.remove("i-1", now), None);
    let gone = fleet.next_expired(now + 2_000 * MILLI);
    assert_eq!(gone, Some(Change::Gone("i-1".into())), "two seconds after the return");
}

#[test]
fn unreadable_at_once() {
    let mut fleet = fleet::Fleet::default();
    fleet.set("i-1", instance(1, false));
    fleet.registry_recovered(time::Instant::now());
    assert_eq!(fleet.set_invalid("i-1"), Some(Change::Gone("i-1".into())));
}

#[test]
fn awaited_by_peer() {
    let mut fleet = fleet::Fleet::default();
    fleet.set("i-1", instance(1, false));
    let now = time::Instant::now();
    fleet.keep_until("i-1", now + 500 * MILLI);
    fleet.keep_until("i-2", now + 500 * MILLI);
    let awaited: Vec<_> = fleet.missing(now + 100 * MILLI).collect();
    assert_eq!(awaited, [(&"i-1".to_string(), 400 * MILLI)], "only servers that are known");
    assert_eq!(fleet.next_expired(now + 400 * MILLI), None);
    assert_eq!(fleet.next_expired(now + 600 * MILLI), Some(Change::Gone("i-1".into())));
}
