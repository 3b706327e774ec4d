//! Members: order of heartbeats, timeouts, contacts, and the number of entries that share the
//! budgets.

use std::{collections, net, time};

use rhubarb_core::members;

const SECOND: time::Duration = time::Duration::from_secs(1);
const ZONE: u16 = 7;

fn ip(last: u8) -> net::IpAddr {
    [10, 0, 0, last].into()
}

fn heartbeat(last: u8, seq: u64) -> members::Heartbeat {
    members::Heartbeat { ip: ip(last), zone: ZONE, seq }
}

fn new_members(now: time::Instant) -> members::Members {
    members::Members::new(ip(1), ZONE, now)
}

// Always draws the first of the possible choices.
fn first(_: usize) -> usize {
    0
}

#[test]
fn stale_heartbeats() {
    let now = time::Instant::now();
    let mut members = new_members(now);
    assert!(members.record_heartbeat(heartbeat(2, 5), 1, now));
    assert!(!members.record_heartbeat(heartbeat(2, 5), 1, now), "a duplicate");
    assert!(!members.record_heartbeat(heartbeat(2, 4), 1, now), "an older one");
    assert!(members.record_heartbeat(heartbeat(2, 1), 2, now), "a new process");
    members.record_relayed(&[heartbeat(2, 9)], now);
    assert!(members.record_heartbeat(heartbeat(2, 8), 2, now), "another entry was faster");
}

#[test]
fn relayed_heartbeats() {
    let now = time::Instant::now();
    let mut members = new_members(now);
    members.record_relayed(&[heartbeat(2, 5), heartbeat(1, 9)], now);
    assert_eq!(members.live(now).collect::<Vec<_>>(), [ip(2)], "without this entry itself");
    members.record_relayed(&[heartbeat(2, 5)], now + 2 * SECOND);
    assert!(!members.is_live(ip(2), now + 4 * SECOND), "the number has not increased");
    members.record_relayed(&[heartbeat(2, 6)], now + 4 * SECOND);
    assert!(members.is_live(ip(2), now + 6 * SECOND));
}

#[test]
fn unresponsive_peers_count() {
    let now = time::Instant::now();
    let mut members = new_members(now);
    let settled = now + 10 * SECOND;
    for last in 2..6 {
        members.record_heartbeat(heartbeat(last, 1), 1, settled);
    }
    members.tick(settled);
    assert_eq!(members.count(settled), Some(5));
    for wait in [5, 30, 3_600] {
        let later = settled + wait * SECOND;
        members.tick(later);
        assert_eq!(members.live(later).count(), 0);
        assert_eq!(members.count(later), Some(5), "they may be live behind a network partition");
    }
}

#[test]
fn entries_gone() {
    let now = time::Instant::now();
    let mut members = new_members(now);
    for last in 2..12 {
        members.record_heartbeat(heartbeat(last, 1), 1, now);
    }
    members.tick(now);
    let later = now + 1_000 * SECOND;
    members.record_heartbeat(heartbeat(2, 2), 1, later);
    members.tick(later);
    assert_eq!(members.count(later), Some(2), "one other is heard, the rest not for long");
}

#[test]
fn unknown_size() {
    let now = time::Instant::now();
    let mut members = new_members(now);
    members.tick(now);
    assert_eq!(members.count(now + 60 * SECOND), None, "neither peers nor the platform are heard");
    members.record_size(103);
    assert_eq!(members.count(now + 60 * SECOND), Some(103));
    let mut alone = new_members(now);
    alone.record_size(1);
    alone.tick(now);
    assert_eq!(alone.count(now + 60 * SECOND), Some(1), "the platform knows no other entry");
}

#[test]
fn candidates_expire() {
    let now = time::Instant::now();
    let mut members = new_members(now);
    members.add_candidate(ip(9), now);
    members.add_candidate(ip(1), now);
    assert_eq!(members.contacts(first, now), [ip(9)].into());
    members.tick(now + 11 * SECOND);
    assert!(members.contacts(first, now + 11 * SECOND).is_empty());
    members.record_heartbeat(heartbeat(9, 1), 1, now + 9 * SECOND);
    let targets = members.in_cell(members.own_cell(), now + 11 * SECOND);
    assert_eq!(targets.collect::<Vec<_>>(), [ip(9)], "one that was heard stays");
}

#[test]
fn contacts_bounded() {
    let now = time::Instant::now();
    let mut members = new_members(now);
    for last in 2..200 {
        members.add_candidate(ip(last), now);
    }
    let mut contacted = collections::BTreeSet::new();
    for round in 0..33 {
        let contacts = members.contacts(|bound| round * 16 % bound, now);
        assert!(contacts.len() <= 16, "{contacts:?}");
        contacted.extend(contacts);
    }
    assert_eq!(contacted.len(), 198, "all within ten seconds of heartbeats");
}

#[test]
fn joined_peer_greeted() {
    let now = time::Instant::now();
    let mut members = new_members(now);
    members.record_heartbeat(heartbeat(2, 1), 1, now);
    assert_eq!(members.take_greetings(), [ip(2)].into());
    assert!(members.take_greetings().is_empty());
}

#[test]
fn peers_relayed() {
    let now = time::Instant::now();
    let mut members = new_members(now);
    assert!(members.sample(first, now).is_empty());
    for last in 2..12 {
        members.record_heartbeat(heartbeat(last, 1), 1, now);
    }
    assert_eq!(members.sample(first, now).len(), 10, "a peer that joins is sent all");
    let later = now + 2 * SECOND;
    for last in 2..12 {
        members.record_heartbeat(heartbeat(last, 2), 1, later);
    }
    let samples: Vec<_> = (0..5).map(|_| members.sample(first, later)).collect();
    assert!(samples.iter().all(|sample| sample.len() == 4));
    let all: collections::BTreeSet<_> =
        samples.concat().into_iter().map(|heartbeat| heartbeat.ip).collect();
    assert_eq!(all.len(), 10);
    members.record_heartbeat(heartbeat(3, 1), 2, later);
    assert_eq!(members.sample(first, later).len(), 10, "a restarted peer");
}

#[test]
fn lowest_leads() {
    let now = time::Instant::now();
    let mut members = members::Members::new(ip(5), ZONE, now);
    assert_eq!(members.leader(now), None);
    members.record_heartbeat(heartbeat(9, 1), 1, now);
    assert_eq!(members.leader(now), None);
    members.record_relayed(&[heartbeat(3, 1)], now);
    assert_eq!(members.leader(now), Some(ip(3)));
    assert!(!members.is_speaker(now), "of the same cell");
}

// Guards against callers that use up their retries at entries that stop, beside few that are ready.
#[test]
fn ready_peers() {
    let now = time::Instant::now();
    let mut members = members::Members::new(ip(1), ZONE, now);
    assert!(!members.has_ready_peer(now));
    for last in [2, 3, 4] {
        members.record_heartbeat(heartbeat(last, 1), 1, now);
    }
    members.record_ready(ip(2), true, now);
    assert!(!members.has_ready_peer(now), "the balancer uses all four");
    members.record_ready(ip(3), true, now);
    assert!(members.has_ready_peer(now), "two of four");
    assert!(!members.has_ready_peer(now + 3 * SECOND), "they are not heard any more");
    members.record_ready(ip(2), false, now);
    members.record_ready(ip(3), false, now);
    assert!(!members.has_ready_peer(now));
    let far = members::Heartbeat { zone: ZONE + 1, ..heartbeat(9, 1) };
    members.record_heartbeat(far, 1, now);
    members.record_ready(ip(9), true, now);
    assert!(members.has_ready_peer(now), "none in the zone, one in another");
}
