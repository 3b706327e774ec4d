//! Engines under load: memory before prefill, herds of entries, silent peers.

use std::{collections, time};

use rhubarb_core::{engine, engines, fleet, ids};

const MILLI: time::Duration = time::Duration::from_millis(1);
const NEED: engine::Need = engine::Need { prompt: 3_000, output: 1_000 };

fn engines(prefill: usize, decode: usize) -> engines::Engines {
    let mut engines = engines::Engines::default();
    let stages = (0..prefill).map(|number| (format!("p-{number}"), fleet::Stage::Prefill));
    let decoding = (0..decode).map(|number| (format!("d-{number}"), fleet::Stage::Decode));
    for (id, stage) in stages.chain(decoding) {
        engines.set(&id, &instance(stage), 16, 36_000);
    }
    engines
}

fn instance(stage: fleet::Stage) -> fleet::Instance {
    fleet::Instance {
        service: "models".into(),
        address: ([10, 0, 0, 1], 80).into(),
        zone: "hall-a".into(),
        slots: 16,
        stage: Some(stage),
        leaving: false,
        started_ms: None,
    }
}

fn place(arrived: time::Instant, run: ids::RunId) -> engines::Position {
    engines::Position { overdue: false, arrived, run }
}

fn late(arrived: time::Instant, run: ids::RunId) -> engines::Position {
    engines::Position { overdue: true, arrived, run }
}

fn any(_: &str) -> bool {
    true
}

#[test]
fn full_memory_refuses() {
    let now = time::Instant::now();
    let mut engines = engines(1, 1);
    let granted =
        (0..30).filter(|run| engines.reserve(place(now, *run), NEED, any, 0, now).is_some());
    // 34,200 tokens are given away, and 3,600 charged for each.
    assert_eq!(granted.count(), 9);
}

#[test]
fn slots_bound_too() {
    let now = time::Instant::now();
    let mut engines = engines(1, 1);
    let small = engine::Need { prompt: 10, output: 10 };
    let granted =
        (0..30).filter(|run| engines.reserve(place(now, *run), small, any, 0, now).is_some());
    assert_eq!(granted.count(), 16);
}

#[test]
fn all_come_back() {
    let now = time::Instant::now();
    let mut engines = engines(1, 4);
    let mut held = Vec::new();
    for run in 0..100 {
        held.extend(
            engines.reserve(place(now, run), NEED, any, run as u64, now).map(|id| (id, run)),
        );
    }
    assert!(engines.fill(now) > 900);
    for (id, run) in held {
        engines.release(&id, run, now);
    }
    assert_eq!(engines.fill(now), 0);
}

#[test]
fn first_come_first() {
    let now = time::Instant::now();
    let mut engines = engines(1, 1);
    let (first, second) = (place(now, 1), place(now + MILLI, 2));
    engines.enqueue(second);
    engines.enqueue(first);
    assert_eq!(engines.reserve(second, NEED, any, 0, now), None, "the first one waits");
    assert!(engines.reserve(first, NEED, any, 0, now).is_some());
    assert!(engines.reserve(second, NEED, any, 0, now).is_some());
}

#[test]
fn herd_spreads() {
    // Twenty-four entries that see the same idle engines do not choose the same one.
    let now = time::Instant::now();
    let mut chosen = collections::BTreeMap::new();
    for entry in 0..24u64 {
        let mut engines = engines(1, 12);
        let draw = entry.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let id = engines.reserve(place(now, 1), NEED, any, draw, now).unwrap();
        *chosen.entry(id).or_insert(0) += 1;
    }
    assert!(chosen.len() >= 8 && chosen.values().all(|count| *count <= 6), "{chosen:?}");
}

#[test]
fn peers_count() {
    let now = time::Instant::now();
    let mut engines = engines(1, 1);
    let told = engine::Commitment { tokens: 33_000, runs: 9, prefill: time::Duration::ZERO };
    engines.update_peer("peer", &[("d-0".to_string(), told)].into(), now);
    assert_eq!(engines.reserve(place(now, 1), NEED, any, 0, now), None);
    let later = now + engine::PEER_TIMEOUT + MILLI;
    assert!(engines.reserve(place(now, 1), NEED, any, 0, later).is_some(), "the peer is silent");
}

#[test]
fn peer_released() {
    let now = time::Instant::now();
    let mut engines = engines(1, 1);
    let told = engine::Commitment { tokens: 33_000, runs: 9, prefill: time::Duration::ZERO };
    engines.update_peer("peer", &[("d-0".to_string(), told)].into(), now);
    engines.update_peer("peer", &collections::BTreeMap::new(), now);
    assert!(engines.reserve(place(now, 1), NEED, any, 0, now).is_some());
}

#[test]
fn refused_rests() {
    let now = time::Instant::now();
    let mut engines = engines(1, 1);
    engines.set_full("d-0", now);
    assert_eq!(engines.reserve(place(now, 1), NEED, any, 0, now), None);
    assert!(engines.reserve(place(now, 1), NEED, any, 0, now + 200 * MILLI).is_some());
}

#[test]
fn changing_rests() {
    let now = time::Instant::now();
    let mut engines = engines(2, 1);
    engines.set_changing("p-0", now + 1_000 * MILLI);
    for draw in 0..20 {
        let (id, _) = engines.pick_prefill(1_000, "hall-a", any, draw, now).unwrap();
        assert_eq!(id, "p-1");
    }
    let candidates = engines.candidates(now);
    let changing = candidates.iter().find(|one| one.id == "p-0").unwrap();
    assert_eq!((changing.stage, changing.is_changing), (fleet::Stage::Decode, true));
}

#[test]
fn shortest_backlog() {
    let now = time::Instant::now();
    let mut engines = engines(2, 1);
    engines.record_prefill("p-0", 6_600, now);
    for draw in 0..20 {
        let (id, wait) = engines.pick_prefill(3_300, "hall-a", any, draw, now).unwrap();
        assert_eq!(id, "p-1");
        assert!(wait < 150 * MILLI, "{wait:?}");
    }
}

#[test]
fn own_when_behind() {
    // A burst fills the prefill engines; a decode engine reads a prompt sooner by itself.
    let now = time::Instant::now();
    let mut engines = engines(1, 1);
    assert!(
        engines.shortest_prefill(3_300, now).unwrap()
            < engines::Engines::decode_prefill_time(3_300)
    );
    for _ in 0..5 {
        engines.record_prefill("p-0", 3_300, now);
    }
    assert!(
        engines.shortest_prefill(3_300, now).unwrap()
            > engines::Engines::decode_prefill_time(3_300)
    );
    assert_eq!(engines::Engines::default().shortest_prefill(3_300, now), None);
}

#[test]
fn refusals_are_no_runs() {
    let now = time::Instant::now();
    let mut engines = engines(1, 1);
    for run in 0..9 {
        let id = engines.reserve(place(now, run), NEED, any, 0, now).unwrap();
        // Of those that stay long, some wait for their prompt to be read, in vain.
        let stay = if run < 2 { 10 * MILLI } else { 3_000 * MILLI };
        if run >= 4 {
            engines.record_progress(&id, run, 1);
        }
        engines.release(&id, run, now + stay);
    }
    assert_eq!(engines.usage(now + 3_000 * MILLI).runs, 5);
}

#[test]
fn late_goes_last() {
    // A caller that was refused and came back is late anyway; one that can be in time goes first.
    let now = time::Instant::now();
    let mut engines = engines(1, 2);
    engines.enqueue(late(now, 1));
    engines.enqueue(place(now + MILLI, 2));
    assert_eq!(engines.reserve(late(now, 1), NEED, any, 0, now), None);
    assert!(engines.reserve(place(now + MILLI, 2), NEED, any, 0, now).is_some());
    assert!(engines.reserve(late(now, 1), NEED, any, 0, now).is_some());
}

#[test]
fn late_leaves_room() {
    // Entries do not see each other's queues, so a late request leaves room for another one.
    let now = time::Instant::now();
    let mut engines = engines(1, 1);
    for run in 0..8 {
        assert!(engines.reserve(place(now, run), NEED, any, 0, now).is_some());
    }
    assert_eq!(engines.reserve(late(now, 8), NEED, any, 0, now), None, "room for one is left");
    assert!(engines.reserve(place(now, 9), NEED, any, 0, now).is_some());
}

#[test]
fn answers_timed() {
    // How long an answer takes is known from others, so that none is begun for a caller who leaves
    // in its midst.
    let mut engines = engines(1, 1);
    assert_eq!(engines.answer_time(700), time::Duration::ZERO, "nothing is known yet");
    engines.record_answer(1_000, 5_000 * MILLI);
    assert_eq!(engines.answer_time(700), 3_500 * MILLI);
    engines.record_answer(0, MILLI);
    for _ in 0..200 {
        engines.record_answer(500, 5_000 * MILLI);
    }
    let slower = engines.answer_time(700);
    assert!(slower > 6_990 * MILLI && slower < 7_010 * MILLI, "{slower:?}");
}

#[test]
fn long_queue_known() {
    // Far more requests than memory: a newcomer is told at once that its turn comes too late.
    let now = time::Instant::now();
    let mut engines = engines(1, 1);
    assert_eq!(engines.expected_wait(now), time::Duration::ZERO);
    for run in 0..5 {
        assert!(engines.reserve(place(now, run), NEED, any, 0, now).is_some());
    }
    for run in 10..20 {
        engines.enqueue(place(now + MILLI, run));
    }
    assert_eq!(engines.expected_wait(now), 4_000 * MILLI, "five in two seconds, ten wait");
}

#[test]
fn outgrown_runs() {
    // Hints are right at the median only: half of the answers are longer, some by far.
    let now = time::Instant::now();
    let mut engines = engines(1, 1);
    for run in 0..8 {
        assert!(engines.reserve(place(now, run), NEED, any, 0, now).is_some());
    }
    engines.record_progress("d-0", 0, 400);
    let fill = engines.fill(now);
    assert_eq!(fill, 8 * NEED.charge() * 1_000 / 34_200, "within the estimate");
    for run in 0..4 {
        engines.record_progress("d-0", run, 2_000);
    }
    assert!(engines.fill(now) > fill + 150, "four runs have outgrown theirs");
    assert_eq!(engines.reserve(place(now, 9), NEED, any, 0, now), None);
}

#[test]
fn belief_and_age() {
    let mut engines = engines(0, 1);
    let now = time::Instant::now();
    let told = engine::Commitment { tokens: 17_100, ..engine::Commitment::default() };
    engines.update_peer("old", &[("d-0".to_string(), told)].into(), now);
    engines.update_peer("new", &[("d-0".to_string(), told)].into(), now + 400 * MILLI);
    let later = now + 500 * MILLI;
    let belief = engines.estimate("d-0", later).unwrap();
    assert_eq!(belief, engine::Estimate { fill: 1_000, age: 500 * MILLI });
    let belief = engines.estimate("d-0", now + 1_600 * MILLI).unwrap();
    assert_eq!(belief, engine::Estimate { fill: 500, age: 1_200 * MILLI }, "the old one is silent");
    assert_eq!(engines.estimate("d-1", now), None);
}
