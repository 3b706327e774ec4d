//! Registered servers: restarts, leaving, and registrations that expire around an outage.

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
        software: "v1".into(),
        started_ms: Some(started_ms),
        sequence: 1,
    }
}

#[test]
fn restart_joins() {
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

// Guards against work for a process that has announced that it is leaving and is registered as ready
// again, for example from an old copy of the registry.
#[test]
fn leaving_kept() {
    let mut fleet = fleet::Fleet::default();
    fleet.set("i-1", instance(1, false));
    assert_eq!(fleet.set_leaving("i-1", Some(1), 0), Some(Change::Leaving("i-1".into())));
    assert_eq!(fleet.set_leaving("i-1", Some(1), 0), None);
    assert_eq!(fleet.set("i-1", instance(1, false)), None);
    assert!(fleet.get("i-1").unwrap().leaving);
    let now = time::Instant::now();
    fleet.remove("i-1", now);
    assert_eq!(fleet.next_expired(now), None);
    assert_eq!(fleet.set("i-1", instance(1, false)), Some(Change::Joined("i-1".into())));
    assert!(fleet.get("i-1").unwrap().leaving, "its registration came back");
}

#[test]
fn leaving_ends() {
    let mut fleet = fleet::Fleet::default();
    fleet.set("i-1", instance(1, true));
    assert_eq!(fleet.set("i-1", instance(2, false)), Some(Change::Joined("i-1".into())));
    assert!(!fleet.get("i-1").unwrap().leaving, "another process has its id");
    assert_eq!(fleet.set_leaving("i-2", Some(1), 0), None, "it is not registered");
}

// Guards against work for a process that announced that it is leaving in an answer while its
// registration was missing, and is registered as ready again.
#[test]
fn leaving_unregistered() {
    let mut fleet = fleet::Fleet::default();
    fleet.set("i-1", instance(1, false));
    fleet.remove("i-1", time::Instant::now());
    assert_eq!(fleet.set_leaving("i-1", Some(1), 0), None);
    fleet.set("i-1", instance(1, false));
    assert!(fleet.get("i-1").unwrap().leaving);
}

#[test]
fn departures_forgotten() {
    let mut fleet = fleet::Fleet::default();
    fleet.set("i-1", instance(1, true));
    let now = time::Instant::now();
    fleet.remove("i-1", now);
    fleet.next_expired(now);
    fleet.next_expired(now + time::Duration::from_secs(3_601));
    fleet.set("i-1", instance(1, false));
    assert!(!fleet.get("i-1").unwrap().leaving);
}

#[test]
fn service_changed() {
    let mut fleet = fleet::Fleet::default();
    fleet.set("i-1", instance(1, false));
    let moved = fleet::Instance { service: "board".into(), ..instance(1, false) };
    assert_eq!(fleet.set("i-1", moved), Some(Change::Joined("i-1".into())));
}

#[test]
fn removed_at_once() {
    let mut fleet = fleet::Fleet::default();
    fleet.set("i-1", instance(1, false));
    let now = time::Instant::now();
    assert_eq!(fleet.remove("i-1", now), Some(Change::Gone("i-1".into())));
    assert_eq!(fleet.remove("i-1", now), None);
}

#[test]
fn expired_renewed() {
    let mut fleet = fleet::Fleet::default();
    fleet.set("i-1", instance(1, false));
    let now = time::Instant::now();
    fleet.registry_recovered(None, now);
    assert_eq!(fleet.remove("i-1", now + 10 * MILLI), None);
    assert_eq!(fleet.next_expired(now + 1_000 * MILLI), None);
    fleet.set("i-1", instance(1, false));
    assert_eq!(fleet.next_expired(now + 5_000 * MILLI), None, "its registration was renewed");
}

#[test]
fn expired_removed() {
    let mut fleet = fleet::Fleet::default();
    fleet.set("i-1", instance(1, false));
    let now = time::Instant::now();
    fleet.registry_recovered(None, now);
    assert_eq!(fleet.remove("i-1", now), None);
    let gone = fleet.next_expired(now + 2_000 * MILLI);
    assert_eq!(gone, Some(Change::Gone("i-1".into())), "two seconds after the recovery");
}

#[test]
fn invalid_at_once() {
    let mut fleet = fleet::Fleet::default();
    fleet.set("i-1", instance(1, false));
    fleet.registry_recovered(None, time::Instant::now());
    assert_eq!(fleet.set_invalid("i-1"), Some(Change::Gone("i-1".into())));
}

#[test]
fn kept_for_peer() {
    let mut fleet = fleet::Fleet::default();
    fleet.set("i-1", instance(1, false));
    let now = time::Instant::now();
    fleet.keep_until("i-1", now + 500 * MILLI);
    fleet.keep_until("i-2", now + 500 * MILLI);
    let missing: Vec<_> = fleet.missing(now + 100 * MILLI).collect();
    assert_eq!(missing, [(&"i-1".to_string(), 400 * MILLI)], "only known servers");
    assert_eq!(fleet.next_expired(now + 400 * MILLI), None);
    assert_eq!(fleet.next_expired(now + 600 * MILLI), Some(Change::Gone("i-1".into())));
}

// Guards against a grace period that begins anew at each entry, as late as it reaches the registry, and
// ends after a removed server must not be used.
#[test]
fn grace_of_return() {
    let now = time::Instant::now();
    let millis = time::Duration::from_millis;
    let mut first = fleet::Fleet::default();
    first.registry_recovered(Some(now - millis(1_500)), now);
    assert_eq!(first.grace_left(now), millis(1_300), "back for half a second, as it may be");
    let mut later = fleet::Fleet::default();
    later.adopt_grace(first.grace_left(now), now);
    later.adopt_grace(millis(1_700), now + millis(400));
    assert_eq!(later.grace_left(now + millis(400)), millis(900));
    later.adopt_grace(time::Duration::from_secs(60), now + millis(2_000));
    assert!(later.grace_left(now + millis(2_000)) <= time::Duration::from_secs(2));
}
