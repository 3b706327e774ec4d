//! Versions that began streams: what is remembered, and which entries know it in fleets of 5 to 950.

use std::time;

use rhubarb_core::{members, origins, questions};

mod fleets;

const SECOND: time::Duration = time::Duration::from_secs(1);
/// Others that an entry asks first.
const FIRST_ASKED: usize = 120;

// A stream of a service that server 9 has begun.
fn own(attempt: u64, service: &str, at: time::Instant) -> origins::Own {
    origins::Own {
        attempt,
        service: service.into(),
        server: 9,
        started_ms: None,
        at,
        is_told: false,
        stored: origins::Stored::No,
    }
}

#[test]
fn told_once() {
    let (mut known, now) = (origins::Origins::default(), time::Instant::now());
    known.record_own(own(1, "models", now), Some(7));
    known.record_own(own(2, "other", now), Some(8));
    assert_eq!(known.take_untold(9, |service| service == "models"), [(1, Some(7))]);
    assert_eq!(known.take_untold(9, |service| service == "models"), []);
    assert_eq!(known.take_untold(9, |_| true), [(2, Some(8))]);
    assert_eq!((known.get(1), known.get(3)), (Some(7), None));
}

// What has become uncertain stays so, whatever others say, and two that disagree are not believed.
#[test]
fn uncertain_streams() {
    let (mut known, now) = (origins::Origins::default(), time::Instant::now());
    assert!(known.record_told(1, Some(7)));
    assert!(!known.record_told(1, Some(7)));
    assert!(known.record_told(1, Some(8)));
    assert_eq!(known.get(1), None);
    assert!(!known.record_told(1, Some(7)));
    known.record_own(own(2, "models", now), Some(7));
    known.record_own(own(2, "models", now), None);
    assert!(!known.record_told(2, Some(7)));
    assert_eq!(known.get(2), None);
}

// Guards against streams that a server began after its restart with another version, which the entry
// learned of later (issue 32, ORDER).
#[test]
fn restarted_server() {
    let (mut known, now) = (origins::Origins::default(), time::Instant::now());
    known.record_own(own(1, "models", now), Some(7));
    known.record_own(own(2, "models", now + SECOND * 2), Some(7));
    known.take_untold(9, |_| true);
    assert_eq!(known.retract(8, None, None), 0);
    assert_eq!(known.retract(9, None, Some(now + SECOND)), 1);
    assert_eq!((known.get(1), known.get(2)), (Some(7), None));
    assert_eq!(known.take_untold(9, |_| true), [(2, None)], "told again");
    assert_eq!(known.retract(9, None, None), 2);
}

// Guards against streams that nobody can take up, since their server started again in place with another
// version, though the process that began them was known (review case 14, LOST).
#[test]
fn proven_process() {
    let (mut known, now) = (origins::Origins::default(), time::Instant::now());
    known.record_own(origins::Own { started_ms: Some(5), ..own(1, "models", now) }, Some(7));
    known.record_own(own(2, "models", now), Some(7));
    assert_eq!(known.retract(9, Some(6), None), 1);
    assert_eq!((known.get(1), known.get(2)), (Some(7), None));
    assert!(known.is_uncertain(2) && !known.is_uncertain(1));
    // The same process under another version: the registration was wrong before, or is now.
    assert_eq!(known.retract(9, Some(5), None), 2);
    assert!(known.is_uncertain(1));
}

// Streams are written to the store once, and again if the write was lost or they have become uncertain.
#[test]
fn stored_once() {
    let (mut known, now) = (origins::Origins::default(), time::Instant::now());
    known.record_own(own(1, "models", now), Some(7));
    known.record_own(own(2, "models", now + SECOND * 2), Some(7));
    known.record_own(own(3, "other", now), Some(8));
    let is_models = |stream: &origins::Own| stream.service == "models";
    assert_eq!(known.take_unstored(1, is_models), [(1, Some(7))]);
    assert_eq!(known.take_unstored(9, is_models), [(2, Some(7))]);
    assert_eq!(known.take_unstored(9, is_models), []);
    assert!(!known.has_unstored(is_models) && known.has_unstored(|_| true));
    let told = known.take_untold(9, |service| service == "models");
    assert_eq!(told.len(), 2, "told apart from that");
    known.set_unstored(|attempt| attempt == 1);
    assert_eq!(known.take_unstored(9, is_models), [(1, Some(7))]);
    assert_eq!(known.retract(9, None, Some(now + SECOND)), 1);
    assert_eq!(known.take_unstored(9, is_models), [(2, None)]);
    assert!(known.is_uncertain(2) && !known.is_uncertain(1) && !known.is_uncertain(4));
}

// Guards against a stream that counts as on record before the store has it, or with a version that has become
// uncertain since it was written (review case 15).
#[test]
fn stored_when_answered() {
    let (mut known, now) = (origins::Origins::default(), time::Instant::now());
    for attempt in [1, 2] {
        known.record_own(own(attempt, "models", now), Some(7));
    }
    known.take_untold(9, |_| true);
    let batch = known.take_unstored(9, |_| true);
    assert!(!known.is_stored(1) && !known.are_kept("models", now + SECOND), "not answered");
    known.set_stored(&batch);
    assert!(known.is_stored(1) && known.is_stored(2) && known.are_kept("models", now + SECOND));
    known.retract(9, None, None);
    known.take_untold(9, |_| true);
    assert!(!known.is_stored(1) && !known.are_kept("models", now + SECOND), "uncertain since");
    let later = known.take_unstored(9, |_| true);
    known.set_stored(&batch);
    assert!(!known.is_stored(1), "an answer to the write before");
    known.set_stored(&later);
    assert!(known.is_stored(1) && known.is_stored(3), "others are none of this entry");
}

// Bounded under floods and over time.
#[test]
fn streams_forgotten() {
    let (mut known, now) = (origins::Origins::default(), time::Instant::now());
    for attempt in 0..5 * origins::MAX_STREAMS as u64 {
        known.record_told(attempt, Some(7));
        known.record_own(own(attempt + 1_000_000, "models", now), Some(7));
        assert!(known.len() <= 2 * origins::MAX_STREAMS);
    }
    let untold = known.take_untold(usize::MAX, |_| true);
    assert_eq!(untold.len(), origins::MAX_STREAMS);
    for step in 0..3 {
        known.expire(SECOND * 20, now + SECOND * 21 * step);
    }
    assert!(known.is_empty());
}

// Guards against callers that make an entry ask all others for streams without end.
#[test]
fn questions_bounded() {
    let mut now = time::Instant::now();
    let mut asked = questions::Questions::new(now);
    let mut sent = 0;
    for _ in 0..10_000 {
        now += SECOND / 1_000;
        sent += asked.take(950, now);
    }
    let most = questions::BURST + questions::RATE * 10.0;
    assert!(sent as f64 <= most && sent as f64 >= most - 1.0, "{sent} datagrams");
    assert_eq!(asked.take(120, now + SECOND), 120);
}

fn is_up(fleet: &fleets::Fleet, ip: std::net::IpAddr) -> bool {
    fleet.up().any(|entry| entry.ip == ip)
}

// Whether an entry that asks the first or all others reaches one that knows the streams of `origin`.
fn finds(
    fleet: &fleets::Fleet,
    asker: &members::Members,
    origin: &members::Members,
    count: usize,
) -> bool {
    let keepers = origin.keepers(fleet.now);
    let asked = asker.nearest(fleet.now).into_iter().take(count);
    asked.into_iter().any(|ip| keepers.contains(&ip) && is_up(fleet, ip))
}

// Guards against streams that nobody knows once their entry is dead, frozen or cut off, and against
// keepers of too many (issue 32, ORDER and LOST).
fn check_keepers(size: usize, zones: usize) {
    let mut fleet = fleets::Fleet::new(size, zones, 5);
    fleet.run(SECOND * 12);
    let mut load = std::collections::BTreeMap::new();
    for entry in &fleet.entries {
        let keepers = entry.members.keepers(fleet.now);
        assert_eq!(keepers.len(), 3.min(size - 1));
        keepers.into_iter().for_each(|ip| *load.entry(ip).or_insert(0) += 1);
    }
    let most = load.values().max().copied().unwrap_or(0);
    assert!(most <= 16, "one keeps the streams of {most} others");
    // An entry of the same zone finds the streams of each entry that is gone.
    let origins: Vec<_> = (0..size)
        .step_by((size / 20).max(1))
        .map(|number| fleet.entries[number].members.clone())
        .collect();
    for (number, origin) in (0..size).step_by((size / 20).max(1)).zip(&origins) {
        fleet.entries[number].is_up = false;
        let asker = &fleet.entries[(number + zones) % size].members;
        assert!(finds(&fleet, asker, origin, FIRST_ASKED), "of {size}, entry {number}");
        fleet.entries[number].is_up = true;
    }
    // A whole zone is gone: entries of others find them among all.
    for (number, entry) in fleet.entries.iter_mut().enumerate() {
        entry.is_up = number % zones != 0;
    }
    let lost = fleet.entries[0].members.clone();
    let asker = &fleet.entries[1].members;
    assert!(finds(&fleet, asker, &lost, usize::MAX), "of {size}, a lost zone");
}

#[test]
fn keepers_small() {
    check_keepers(5, 3);
}

#[test]
fn keepers_large() {
    check_keepers(103, 5);
}

#[test]
fn keepers_target() {
    check_keepers(950, 9);
}
