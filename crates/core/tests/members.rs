//! Peers: order of heartbeats, timeouts, and the number of entries that share the budgets.

use std::{net, time};

use rhubarb_core::members;

const SECOND: time::Duration = time::Duration::from_secs(1);

fn ip(last: u8) -> net::IpAddr {
    [10, 0, 0, last].into()
}

#[test]
fn stale_heartbeats() {
    let now = time::Instant::now();
    let mut members = members::Members::default();
    assert!(members.record_heartbeat(ip(2), 1, 5, now));
    assert!(!members.record_heartbeat(ip(2), 1, 5, now), "a duplicate");
    assert!(!members.record_heartbeat(ip(2), 1, 4, now), "an older one");
    assert!(members.record_heartbeat(ip(2), 2, 1, now), "a new process");
}

#[test]
fn unresponsive_peers_count() {
    let now = time::Instant::now();
    let mut members = members::Members::default();
    for last in 2..6 {
        members.record_heartbeat(ip(last), 1, 1, now);
    }
    assert_eq!(members.count(now), 5);
    let later = now + 5 * SECOND;
    assert_eq!(members.live(later).count(), 0);
    assert_eq!(members.count(later), 5, "they may be live behind a network partition");
    assert_eq!(members.count(now + 30 * SECOND), 1);
}

#[test]
fn candidates_expire() {
    let now = time::Instant::now();
    let mut members = members::Members::default();
    members.add_candidate(ip(9), now);
    assert!(members.targets(now).contains(&ip(9)));
    assert!(members.targets(now + 11 * SECOND).is_empty());
    members.record_heartbeat(ip(9), 1, 1, now + 9 * SECOND);
    assert!(members.targets(now + 11 * SECOND).contains(&ip(9)));
}

#[test]
fn targets_bounded() {
    let now = time::Instant::now();
    let mut members = members::Members::default();
    for last in 0..200 {
        members.add_candidate(ip(last), now);
    }
    assert_eq!(members.targets(now).len(), members::MAX_PEERS);
}

#[test]
fn peers_announced() {
    let now = time::Instant::now();
    let mut members = members::Members::default();
    assert!(members.announced(1, now).is_empty());
    for last in 2..12 {
        members.record_heartbeat(ip(last), 1, 1, now);
    }
    assert_eq!(members.announced(1, now).len(), 10, "a peer that joins is sent all addresses");
    let later = now + 2 * SECOND;
    for last in 2..12 {
        members.record_heartbeat(ip(last), 1, 2, later);
    }
    let messages: Vec<_> = (0..5).map(|seq| members.announced(seq, later)).collect();
    assert!(messages.iter().all(|announced| announced.len() == 4));
    let all: std::collections::BTreeSet<_> = messages.concat().into_iter().collect();
    assert_eq!(all.len(), 10);
    members.record_heartbeat(ip(3), 2, 1, later);
    assert_eq!(members.announced(1, later).len(), 10, "a restarted peer");
}
