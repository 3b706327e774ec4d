//! Commitments to engines under load: limits, queue order, peer reports and estimates.

use std::{collections, time};

use rhubarb_core::{engine, engines, fleet, ids, reports, urgency};

const MILLI: time::Duration = time::Duration::from_millis(1);
const NEED: engine::Need = engine::Need { prompt: 3_000, output: 1_000 };

fn engines(prefill: usize, decode: usize) -> engines::Engines {
    let mut engines = engines::Engines::default();
    let prefill = (0..prefill).map(|number| (format!("p-{number}"), fleet::Stage::Prefill));
    let decode = (0..decode).map(|number| (format!("d-{number}"), fleet::Stage::Decode));
    for (id, stage) in prefill.chain(decode) {
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
        software: "v1".into(),
        started_ms: None,
        sequence: 1,
    }
}

fn position(arrived: time::Instant, run: ids::RunId) -> engines::Position {
    engines::Position { urgency: urgency::Urgency::default(), overdue: false, arrived, run }
}

fn overdue(arrived: time::Instant, run: ids::RunId) -> engines::Position {
    engines::Position { urgency: urgency::Urgency::default(), overdue: true, arrived, run }
}

// A report of all commitments of a peer.
fn report(commitments: &[(&str, engine::Commitment)]) -> reports::Report {
    let tagged = commitments.iter().map(|(id, commitment)| (ids::server_tag(id), *commitment));
    reports::Report { range: (0, ids::ServerTag::MAX), commitments: tagged.collect() }
}

fn any(_: &str) -> bool {
    true
}

// Tokens that an engine keeps of a prompt.
fn nothing(_: &str) -> u32 {
    0
}

#[test]
fn full_memory_refuses() {
    let now = time::Instant::now();
    let mut engines = engines(1, 1);
    let granted =
        (0..30).filter(|run| engines.reserve(position(now, *run), NEED, any, 0, now).is_some());
    // 34,200 tokens may be committed, and each request is charged 3,600.
    assert_eq!(granted.count(), 9);
}

#[test]
fn slots_limit() {
    let now = time::Instant::now();
    let mut engines = engines(1, 1);
    let small = engine::Need { prompt: 10, output: 10 };
    let granted =
        (0..30).filter(|run| engines.reserve(position(now, *run), small, any, 0, now).is_some());
    assert_eq!(granted.count(), 16);
}

#[test]
fn memory_released() {
    let now = time::Instant::now();
    let mut engines = engines(1, 4);
    let mut held = Vec::new();
    for run in 0..100 {
        held.extend(
            engines.reserve(position(now, run), NEED, any, run as u64, now).map(|id| (id, run)),
        );
    }
    assert!(engines.fill(now) > 900);
    for (id, run) in held {
        engines.release(&id, run, now);
    }
    assert_eq!(engines.fill(now), 0);
}

#[test]
fn arrival_order() {
    let now = time::Instant::now();
    let mut engines = engines(1, 1);
    let (first, second) = (position(now, 1), position(now + MILLI, 2));
    engines.enqueue(second);
    engines.enqueue(first);
    assert_eq!(engines.reserve(second, NEED, any, 0, now), None, "an earlier request is queued");
    assert!(engines.reserve(first, NEED, any, 0, now).is_some());
    assert!(engines.reserve(second, NEED, any, 0, now).is_some());
}

#[test]
fn entries_spread() {
    // Guards against a thundering herd: 24 entries that see the same idle engines must not all
    // choose the same one.
    let now = time::Instant::now();
    let mut chosen = collections::BTreeMap::new();
    for entry in 0..24u64 {
        let mut engines = engines(1, 12);
        let draw = entry.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let id = engines.reserve(position(now, 1), NEED, any, draw, now).unwrap();
        *chosen.entry(id).or_insert(0) += 1;
    }
    assert!(chosen.len() >= 8 && chosen.values().all(|count| *count <= 6), "{chosen:?}");
}

#[test]
fn peer_commitments() {
    let now = time::Instant::now();
    let mut engines = engines(1, 1);
    let commitment = engine::Commitment { tokens: 33_000, runs: 9, prefill: time::Duration::ZERO };
    engines.update_peer("peer", &report(&[("d-0", commitment)]), now);
    assert_eq!(engines.reserve(position(now, 1), NEED, any, 0, now), None);
    let later = now + engine::PEER_TIMEOUT + MILLI;
    assert!(
        engines.reserve(position(now, 1), NEED, any, 0, later).is_some(),
        "the peer's report has expired"
    );
}

#[test]
fn peer_released() {
    let now = time::Instant::now();
    let mut engines = engines(1, 1);
    let commitment = engine::Commitment { tokens: 33_000, runs: 9, prefill: time::Duration::ZERO };
    engines.update_peer("peer", &report(&[("d-0", commitment)]), now);
    engines.update_peer("peer", &report(&[]), now);
    assert!(engines.reserve(position(now, 1), NEED, any, 0, now).is_some());
}

#[test]
fn full_engine_skipped() {
    let now = time::Instant::now();
    let mut engines = engines(1, 1);
    engines.set_full("d-0", now);
    assert_eq!(engines.reserve(position(now, 1), NEED, any, 0, now), None);
    assert!(engines.reserve(position(now, 1), NEED, any, 0, now + 200 * MILLI).is_some());
}

#[test]
fn changing_engine_skipped() {
    let now = time::Instant::now();
    let mut engines = engines(2, 1);
    engines.set_changing("p-0", now + 1_000 * MILLI);
    for draw in 0..20 {
        let (id, _) = engines.pick_prefill(1_000, "hall-a", any, nothing, draw, now).unwrap();
        assert_eq!(id, "p-1");
    }
    let candidates = engines.candidates(now);
    let changing = candidates.iter().find(|one| one.id == "p-0").unwrap();
    assert_eq!((changing.stage, changing.is_fixed), (fleet::Stage::Decode, true));
}

#[test]
fn shortest_backlog() {
    let now = time::Instant::now();
    let mut engines = engines(2, 1);
    engines.record_prefill("p-0", 6_600, now);
    for draw in 0..20 {
        let (id, wait) = engines.pick_prefill(3_300, "hall-a", any, nothing, draw, now).unwrap();
        assert_eq!(id, "p-1");
        assert!(wait < 150 * MILLI, "{wait:?}");
    }
}

#[test]
fn decode_prefill_faster() {
    // After a burst of prompts, a decode engine that reads a prompt itself is done sooner.
    let now = time::Instant::now();
    let mut engines = engines(1, 1);
    assert!(
        engines.shortest_prefill(3_300, None, nothing, now).unwrap()
            < engines::Engines::decode_prefill_time(3_300)
    );
    for _ in 0..5 {
        engines.record_prefill("p-0", 3_300, now);
    }
    assert!(
        engines.shortest_prefill(3_300, None, nothing, now).unwrap()
            > engines::Engines::decode_prefill_time(3_300)
    );
    assert_eq!(engines::Engines::default().shortest_prefill(3_300, None, nothing, now), None);
}

#[test]
fn unstarted_not_counted() {
    let now = time::Instant::now();
    let mut engines = engines(1, 1);
    for run in 0..9 {
        let id = engines.reserve(position(now, run), NEED, any, 0, now).unwrap();
        // Runs 0 to 3 generate no token; 2 and 3 hold memory for 3 s, as if waiting for a prefill.
        let duration = if run < 2 { 10 * MILLI } else { 3_000 * MILLI };
        if run >= 4 {
            engines.record_progress(&id, run, 1);
        }
        engines.release(&id, run, now + duration);
    }
    assert_eq!(engines.usage(now + 3_000 * MILLI).runs, 5);
}

#[test]
fn overdue_last() {
    // A request that was retried after a refusal misses its target anyway, so one that can still
    // meet its target is served first.
    let now = time::Instant::now();
    let mut engines = engines(1, 2);
    engines.enqueue(overdue(now, 1));
    engines.enqueue(position(now + MILLI, 2));
    assert_eq!(engines.reserve(overdue(now, 1), NEED, any, 0, now), None);
    assert!(engines.reserve(position(now + MILLI, 2), NEED, any, 0, now).is_some());
    assert!(engines.reserve(overdue(now, 1), NEED, any, 0, now).is_some());
}

#[test]
fn overdue_leaves_memory() {
    // Entries do not see each other's queues, so an overdue request leaves memory for another one.
    let now = time::Instant::now();
    let mut engines = engines(1, 1);
    for run in 0..8 {
        assert!(engines.reserve(position(now, run), NEED, any, 0, now).is_some());
    }
    assert_eq!(
        engines.reserve(overdue(now, 8), NEED, any, 0, now),
        None,
        "memory for another request is left"
    );
    assert!(engines.reserve(position(now, 9), NEED, any, 0, now).is_some());
}

#[test]
fn answer_time_estimated() {
    // The time of an answer is estimated from earlier ones, so that no run starts whose answer
    // would not be complete before the caller's deadline.
    let (mut engines, now) = (engines(1, 1), time::Instant::now());
    assert_eq!(engines.answer_time(700, now), time::Duration::ZERO, "no answer was recorded yet");
    engines.record_answer(1_000, 5_000 * MILLI, now);
    assert_eq!(engines.answer_time(700, now), 3_500 * MILLI);
    engines.record_answer(0, MILLI, now);
    for _ in 0..200 {
        engines.record_answer(500, 5_000 * MILLI, now);
    }
    let slower = engines.answer_time(700, now);
    assert!(slower > 6_990 * MILLI && slower < 7_010 * MILLI, "{slower:?}");
}

// Guards against requests that are refused for good after some slow answers, since none is sent any more
// that could correct the estimate (related to review case 3).
#[test]
fn old_answers_lapse() {
    let (mut engines, now) = (engines(1, 1), time::Instant::now());
    engines.record_answer(10, 10_000 * MILLI, now);
    assert!(engines.answer_time(700, now + 9_000 * MILLI) > 600_000 * MILLI);
    let later = now + 11_000 * MILLI;
    assert_eq!(engines.answer_time(700, later), time::Duration::ZERO);
    engines.record_answer(1_000, 5_000 * MILLI, later);
    assert_eq!(engines.answer_time(700, later), 3_500 * MILLI, "the old answers count no more");
}

#[test]
fn wait_estimated() {
    // With a long queue a new request is rejected at once instead of after a wasted wait.
    let now = time::Instant::now();
    let mut engines = engines(1, 1);
    let new = position(now + 2 * MILLI, 30);
    assert_eq!(engines.expected_wait(new, now), time::Duration::ZERO);
    for run in 0..5 {
        assert!(engines.reserve(position(now, run), NEED, any, 0, now).is_some());
    }
    for run in 10..20 {
        engines.enqueue(position(now + MILLI, run));
    }
    assert_eq!(
        engines.expected_wait(new, now),
        4_000 * MILLI,
        "five grants in two seconds, ten requests queued"
    );
}

#[test]
fn long_runs_charged() {
    // Length hints are right at the median only: half of the answers are longer, some by far.
    let now = time::Instant::now();
    let mut engines = engines(1, 1);
    for run in 0..8 {
        assert!(engines.reserve(position(now, run), NEED, any, 0, now).is_some());
    }
    engines.record_progress("d-0", 0, 400);
    let fill = engines.fill(now);
    assert_eq!(fill, 8 * NEED.charge() * 1_000 / 34_200, "within the estimate");
    for run in 0..4 {
        engines.record_progress("d-0", run, 2_000);
    }
    assert!(engines.fill(now) > fill + 150, "four runs exceed their estimates");
    assert_eq!(engines.reserve(position(now, 9), NEED, any, 0, now), None);
}

#[test]
fn estimate_and_age() {
    let mut engines = engines(0, 1);
    let now = time::Instant::now();
    let commitment = engine::Commitment { tokens: 17_100, ..engine::Commitment::default() };
    engines.update_peer("old", &report(&[("d-0", commitment)]), now);
    engines.update_peer("new", &report(&[("d-0", commitment)]), now + 400 * MILLI);
    let later = now + 500 * MILLI;
    let estimate = engines.estimate("d-0", later).unwrap();
    assert_eq!(estimate, engine::Estimate { fill: 1_000, age: 500 * MILLI });
    let estimate = engines.estimate("d-0", now + 1_600 * MILLI).unwrap();
    assert_eq!(
        estimate,
        engine::Estimate { fill: 500, age: 1_200 * MILLI },
        "the older report has expired"
    );
    assert_eq!(engines.estimate("d-1", now), None);
}
