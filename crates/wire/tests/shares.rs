//! Datagrams between entries: size limit, ranges of commitments, and bytes that are no datagram.

use std::{collections, time};

use rhubarb_core::{beginnings, cause, engine, ids, reports, stamp};
use rhubarb_wire::share;

fn commitments(count: u32) -> reports::Commitments {
    let commitment =
        |tokens| engine::Commitment { tokens, runs: 12, prefill: time::Duration::from_millis(900) };
    (0..count).map(|number| (number.wrapping_mul(0x9e37_79b9), commitment(number))).collect()
}

fn heartbeats(count: u8) -> Vec<share::Heartbeat> {
    let heartbeat = |number| share::Heartbeat {
        ip: [10, 1, 0, number].into(),
        zone: ids::ZoneTag::MAX,
        seq: 1_780_000_000_000,
    };
    (0..count).map(heartbeat).collect()
}

fn used() -> share::Used {
    let used = |customer| share::CustomerUse { customer, asked: 4_000_000, debt: 0 };
    let customers = (0..share::MAX_CELL_CUSTOMERS as u32).map(|number| used(u32::MAX - number));
    share::Used { customers: customers.collect(), is_complete: true }
}

fn datagram(engines: u32, members: u8) -> share::Share {
    let committed = share::Commitments::new(&commitments(engines), 0);
    let usage = collections::BTreeMap::new();
    share::Share {
        format: share::FORMAT,
        name: "edge-sfax-hall-a-1".to_string(),
        members: heartbeats(members),
        digest: Some(share::Digest { committed, usage, entries: 40, used: Some(used()) }),
        ..share::Share::default()
    }
}

#[test]
fn cell_fits_packet() {
    let mut share = datagram(40, 44);
    let bytes = share.encode().unwrap();
    assert!(bytes.len() <= share::MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
    let decoded = share::Share::decode(&bytes).unwrap();
    assert_eq!(decoded, share);
    assert!(decoded.members.len() >= 30, "{} heartbeats", decoded.members.len());
}

#[test]
fn evidence_fits_packet() {
    let crash =
        |number| share::Crash { tag: u32::MAX - number, ago_ms: 86_400_000, held_ms: 14_000 };
    let crashes: Vec<_> = (0..8).map(crash).collect();
    let evidence = |part| share::Evidence {
        cause: cause::Cause::Request(u64::MAX - part),
        trials: 2,
        answers: u32::MAX,
        answered_ms: Some(600_000),
        tried_ms: Some(600_000),
        crashes: crashes.clone(),
    };
    let mut share = datagram(40, 44);
    share.evidence = (0..share::MAX_EVIDENCE as u64).map(evidence).collect();
    let limit = |process| share::Limit { process, milli_rate: Some(u64::MAX), ago_ms: u64::MAX };
    share.limits = (0..share::MAX_LIMITS as u32).map(limit).collect();
    let bytes = share.encode().unwrap();
    assert!(bytes.len() <= share::MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
    let decoded = share::Share::decode(&bytes).unwrap();
    assert_eq!(decoded, share);
    assert!(decoded.evidence.len() >= 4, "{} pieces", decoded.evidence.len());
}

// Places of beginnings yield before anything else.
#[test]
fn places_dropped_first() {
    let place = |number| (u64::MAX - number, u32::MAX);
    let mut share = datagram(40, 0);
    share.kept = (0..beginnings::MAX_TOLD as u64).map(place).collect();
    assert_eq!(share::Share::decode(&share.encode().unwrap()).unwrap(), share);
    assert_eq!(share.kept.len(), beginnings::MAX_TOLD);
    let mut full = datagram(40, 90);
    let without = share::Share::decode(&full.clone().encode().unwrap()).unwrap();
    full.kept = share.kept.clone();
    let with = share::Share::decode(&full.encode().unwrap()).unwrap();
    assert_eq!(with, without);
    assert!(with.kept.is_empty() && with.members.len() >= 30, "{} heartbeats", with.members.len());
}

// Customers fit beside all else, or those with least use are dropped, and the rest is not complete.
#[test]
fn customers_fit_packet() {
    let customer = |customer| share::CustomerUse { customer, asked: u32::MAX, debt: u32::MAX };
    let customers: Vec<_> = (0..share::MAX_CUSTOMERS as u32).map(customer).collect();
    let used = share::Used { customers, is_complete: true };
    let mut share = datagram(10, 20);
    share.used = Some(used.clone());
    let decoded = share::Share::decode(&share.encode().unwrap()).unwrap();
    assert_eq!(decoded.used, Some(used.clone()));
    let mut full = share::Share { members: heartbeats(60), ..datagram(40, 0) };
    full.used = Some(used);
    let bytes = full.encode().unwrap();
    assert!(bytes.len() <= share::MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
    let used = share::Share::decode(&bytes).unwrap().used.unwrap();
    assert!(used.customers.len() < share::MAX_CUSTOMERS && !used.is_complete);
}

#[test]
fn speeds_dropped_first() {
    let speed = |server| share::Speed { server, is_answer: true, nanos: u32::MAX };
    let mut share = datagram(40, 44);
    share.speeds = (0..share::MAX_SPEEDS as u32).map(|number| speed(u32::MAX - number)).collect();
    let mut without = datagram(40, 44);
    without.encode().unwrap();
    assert!(share.encode().unwrap().len() <= share::MAX_DATAGRAM_BYTES);
    assert_eq!(share.members, without.members, "heartbeats stay");
    let mut share = datagram(10, 4);
    share.speeds = vec![speed(7)];
    let bytes = share.encode().unwrap();
    assert_eq!(share::Share::decode(&bytes).unwrap().speeds, [speed(7)]);
}

#[test]
fn too_large() {
    let mut share = datagram(40, 44);
    share.name = "x".repeat(share::MAX_DATAGRAM_BYTES);
    let err = share.encode().unwrap_err().to_string();
    assert!(err.contains("use shorter names"), "{err}");
}

// Parts in turn report all engines, each part only for its range.
#[test]
fn parts_cover_all() {
    for count in [0, 1, 40, 41, 133, 500] {
        let all = commitments(count);
        let mut seen = reports::Commitments::new();
        let mut next = 0;
        for part in 0..u64::from(count.div_ceil(40).max(1)) {
            let commitments = share::Commitments::new(&all, part);
            assert!(commitments.engines.len() <= 40);
            let (first, last) = commitments.range;
            assert_eq!(first, next, "part {part} of {count}");
            next = last.wrapping_add(1);
            seen.extend(commitments.report().commitments);
        }
        assert_eq!(next, 0, "the last range ends at the last tag");
        assert_eq!(seen, all);
    }
}

#[test]
fn invalid_datagrams() {
    let bytes = datagram(3, 3).encode().unwrap();
    for length in 0..bytes.len() {
        assert!(share::Share::decode(&bytes[..length]).is_err(), "cut at {length}");
    }
    let mut other = bytes.clone();
    other[0] = share::FORMAT + 1;
    assert!(share::Share::decode(&other).is_err(), "another format");
}

#[test]
fn request_roundtrip() {
    let request = share::SnapshotRequest { config: 7, servers: stamp::Stamp::new(3, u64::MAX - 1) };
    assert_eq!(share::SnapshotRequest::decode(request.encode()), request);
}
