//! Cells of large fleets: even sizes, few changes, and the use of engines of other cells.

use std::{collections, net, time};

use rhubarb_core::{cells, engine, engines, fleet, ids, members, reports, urgency};

const MILLI: time::Duration = time::Duration::from_millis(1);
const NEED: engine::Need = engine::Need { prompt: 3_000, output: 1_000 };

fn ip(number: usize) -> net::IpAddr {
    [10, 2, (number / 250) as u8, (number % 250) as u8 + 1].into()
}

// Partition of a fleet with this number of entries in each zone; zones are numbered from 1.
fn partition(zones: &[usize]) -> cells::Partition {
    let entries = zones.iter().enumerate();
    let tags = entries.flat_map(|(zone, count)| std::iter::repeat_n(zone as u16 + 1, *count));
    cells::Partition::new(tags)
}

fn engine_counts(
    partition: &cells::Partition,
    zones: u16,
    each: usize,
) -> collections::BTreeMap<cells::CellId, usize> {
    let mut counts = collections::BTreeMap::new();
    for zone in 1..=zones {
        for number in 0..each {
            let cell = partition.engine(&format!("i-{zone}-{number}"), zone);
            *counts.entry(cell).or_insert(0) += 1;
        }
    }
    counts
}

#[test]
fn small_fleet_undivided() {
    let partition = partition(&[14, 13, 13]);
    assert!(partition.is_single());
    assert_eq!(partition.engine("i-1", 3), partition.entry(ip(1), 1));
}

#[test]
fn zones_are_cells() {
    let partition = partition(&[19, 22, 23, 21, 18]);
    assert_eq!(partition.cells().len(), 5);
    let counts = engine_counts(&partition, 5, 29);
    assert_eq!(counts.into_values().collect::<Vec<_>>(), [29; 5]);
}

#[test]
fn large_zones_divided() {
    // 950 entries before 11,997 engines in nine zones.
    let partition = partition(&[106, 106, 106, 106, 106, 105, 105, 105, 105]);
    assert_eq!(partition.cells().len(), 27);
    let counts = engine_counts(&partition, 9, 1_333);
    let (least, most) = (counts.values().min().unwrap(), counts.values().max().unwrap());
    assert!(*least >= 390 && *most <= 500, "{least} to {most} engines in a cell");
    let mut entries = collections::BTreeMap::new();
    for number in 0..950 {
        let cell = partition.entry(ip(number), number as u16 % 9 + 1);
        *entries.entry(cell).or_insert(0) += 1;
    }
    assert!(entries.values().all(|count| (15..=60).contains(count)), "{entries:?}");
}

#[test]
fn few_move() {
    let (before, after) = (partition(&[80, 30]), partition(&[81, 30]));
    assert_eq!((before.cells().len(), after.cells().len()), (3, 4));
    let has_moved = |number: &usize| {
        let id = format!("i-{number}");
        before.engine(&id, 1) != after.engine(&id, 1)
    };
    let moved = (0..900).filter(has_moved).count();
    assert!((200..=400).contains(&moved), "a third goes to the new cell, not {moved} of 900");
    let moved = (0..900).filter(|number| {
        let id = format!("i-{number}");
        before.engine(&id, 2) != after.engine(&id, 2)
    });
    assert_eq!(moved.count(), 0, "nothing moves in another zone");
}

// The engines of a zone that has lost its entries are shared out.
#[test]
fn zone_without_entries() {
    let partition = partition(&[30, 0, 30]);
    let counts = engine_counts(&partition, 3, 60);
    assert_eq!(counts.len(), 2);
    assert!(counts.values().all(|count| (75..=105).contains(count)), "{counts:?}");
}

#[test]
fn few_followers() {
    let now = time::Instant::now();
    for (size, zones) in [(41, 1), (103, 5), (950, 9)] {
        let heartbeat = |number: usize, seq| members::Heartbeat {
            ip: ip(number),
            zone: (number % zones) as u16 + 1,
            seq,
        };
        let mut followers = 0;
        let mut cells = collections::BTreeSet::new();
        for own in 0..size {
            let mut members = members::Members::new(ip(own), heartbeat(own, 0).zone, now);
            let others = (0..size).filter(|number| *number != own);
            members.record_relayed(
                &others.map(|number| heartbeat(number, 1)).collect::<Vec<_>>(),
                now,
            );
            members.tick(now);
            followers += usize::from(members.is_follower());
            cells.insert(members.own_cell());
        }
        assert_eq!(followers, 2 * cells.len(), "calls to the store for a change at {size} entries");
        assert!(followers <= 60);
    }
}

#[test]
fn source_lost() {
    let now = time::Instant::now();
    let mut members = members::Members::new(ip(0), 1, now);
    let others: Vec<_> =
        (1..60).map(|number| members::Heartbeat { ip: ip(number), zone: 1, seq: 1 }).collect();
    members.record_relayed(&others, now);
    members.tick(now);
    let near = (1..60).find(|number| members.cell(ip(*number)) == Some(members.own_cell()));
    let far = (1..60).find(|number| members.cell(ip(*number)) != Some(members.own_cell()));
    members.record_following(ip(far.unwrap()), now);
    assert!(!members.has_source(now), "an entry of another cell is no source");
    members.record_following(ip(near.unwrap()), now);
    assert!(members.has_source(now + 1_000 * MILLI));
    assert!(!members.has_source(now + 1_001 * MILLI));
}

const HOME: u16 = 1;
const FAR: u16 = 2;

// Engines of an entry whose cell has the decode engine `near`; `far` belongs to another cell.
fn two_cells() -> (engines::Engines, cells::CellId) {
    let zones = ["near-zone", "far-zone"].map(ids::zone_tag);
    let tags = zones.iter().flat_map(|tag| std::iter::repeat_n(*tag, 30));
    let partition = cells::Partition::new(tags);
    let mut engines = engines::Engines::default();
    let cell = |zone: u16| partition.entry(ip(1), zones[usize::from(zone) - 1]);
    engines.set_cells(&partition, cell(HOME));
    for (id, zone) in [("near", "near-zone"), ("far", "far-zone")] {
        let instance = fleet::Instance {
            service: "models".into(),
            address: ([10, 0, 0, 1], 80).into(),
            zone: zone.into(),
            slots: 16,
            stage: Some(fleet::Stage::Decode),
            leaving: false,
            software: "v1".into(),
            started_ms: None,
            sequence: 1,
        };
        engines.set(id, &instance, 16, 36_000);
    }
    (engines, cell(FAR))
}

fn digest(tokens: u32) -> reports::Report {
    let commitment = engine::Commitment { tokens, runs: 1, prefill: time::Duration::ZERO };
    let commitments = [(ids::server_tag("far"), commitment)].into();
    reports::Report { range: (0, ids::ServerTag::MAX), commitments }
}

fn fill(engines: &mut engines::Engines, now: time::Instant) -> Vec<ids::ServerName> {
    let position = |run| engines::Position {
        urgency: urgency::Urgency::default(),
        overdue: false,
        arrived: now,
        run,
    };
    (0..40).map_while(|run| engines.reserve(position(run), NEED, |_| true, 0, now)).collect()
}

// A burst in one availability zone: its engines come first, then those of other cells with room.
#[test]
fn overflow_to_other_cell() {
    let now = time::Instant::now();
    let (mut engines, far) = two_cells();
    assert!(fill(&mut engines, now).iter().all(|id| id == "near"), "nothing is known of the other");
    let (mut engines, _) = two_cells();
    engines.update_digest(far, &digest(10_000), now);
    let chosen = fill(&mut engines, now);
    assert!(chosen[..3].iter().all(|id| id == "near"), "{chosen:?}");
    let at_far = chosen.iter().filter(|id| *id == "far").count();
    assert_eq!(at_far, 4, "room for two requests more is left: {chosen:?}");
    assert_eq!(engines.foreign_cells(now), [far].into());
}

#[test]
fn stale_digest_unused() {
    let now = time::Instant::now();
    let (mut engines, far) = two_cells();
    engines.update_digest(far, &digest(0), now);
    let later = now + engine::DIGEST_TIMEOUT + MILLI;
    assert!(fill(&mut engines, later).iter().all(|id| id == "near"));
}

#[test]
fn refusal_told_to_cell() {
    let now = time::Instant::now();
    let (mut first, _) = two_cells();
    let (mut second, _) = two_cells();
    first.set_full("near", now);
    let full = first.full(now);
    assert_eq!(full, [ids::server_tag("near")]);
    let run = engines::Position {
        urgency: urgency::Urgency::default(),
        overdue: false,
        arrived: now,
        run: 99,
    };
    let id = second.reserve(run, NEED, |_| true, 0, now).unwrap();
    second.record_progress(&id, 99, 1);
    second.release(&id, 99, now + 3_000 * MILLI);
    let now = now + 3_000 * MILLI;
    second.set_full_for_peer(full[0], now);
    assert!(fill(&mut second, now).is_empty());
    assert!(second.full(now).is_empty(), "only refusals to this entry itself are told");
    assert!(!fill(&mut second, now + 150 * MILLI).is_empty());
}
