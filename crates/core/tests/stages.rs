//! Changes of stage: the balance, the delay before a change, and the sample of the costs.

use std::time;

use rhubarb_core::{fleet, stages};

const MILLI: time::Duration = time::Duration::from_millis(1);
const COSTS: stages::Costs = stages::Costs { prefill: 0.1, decode: 0.53 };

fn candidates(prefill: usize, decode: usize) -> Vec<stages::Candidate> {
    let all = (0..prefill + decode).map(|number| stages::Candidate {
        id: format!("i-{number}"),
        zone: format!("zone-{}", number % 3),
        stage: if number < prefill { fleet::Stage::Prefill } else { fleet::Stage::Decode },
        software: 1,
        is_fixed: false,
    });
    all.collect()
}

// Guards against a version of the software without an engine at which its streams can go on (issue 32,
// LOST).
#[test]
fn versions_keep_decode() {
    let now = time::Instant::now();
    let costs = stages::Costs { prefill: 0.4, decode: 0.2 };
    // Too few prefill engines; three of the decode engines are of another version.
    let mut engines = candidates(1, 9);
    (4..7).for_each(|number| engines[number].software = 2);
    let mut planner = stages::Planner::default();
    planner.plan(costs, &engines, now);
    let changes = planner.plan(costs, &engines, now + MILLI * 5_000);
    assert!(!changes.is_empty());
    for change in &changes {
        let engine = engines.iter_mut().find(|engine| engine.id == change.id).unwrap();
        engine.stage = change.to;
    }
    for software in [1, 2] {
        let is_decode = |engine: &stages::Candidate| engine.stage == fleet::Stage::Decode;
        assert!(engines.iter().any(|engine| engine.software == software && is_decode(engine)));
    }
    // A version whose engines all read prompts gets one that generates tokens.
    let mut engines = candidates(4, 6);
    (0..2).for_each(|number| engines[number].software = 2);
    let changes = stages::Planner::default().plan(costs, &engines, now);
    assert_eq!(changes, [stages::Change { id: "i-0".into(), to: fleet::Stage::Decode }]);
}

#[test]
fn balance_table() {
    let cases = [
        (0.1, 0.53, 45, 13),
        (0.1, 0.53, 144, 33),
        (0.1, 0.42, 18, 6),
        (0.1, 0.1, 10, 9),
        (0.1, 0.0001, 10, 9),
        (0.0001, 1.0, 10, 1),
        (0.1, 0.5, 2, 1),
    ];
    for (prefill, decode, count, expected) in cases {
        let costs = stages::Costs { prefill, decode };
        assert_eq!(stages::balanced(costs, count), expected, "{costs:?} of {count}");
    }
}

#[test]
fn surplus_must_last() {
    // Long answers: 13 of the 45 engines are enough for prefill, and 16 are in that stage.
    let now = time::Instant::now();
    let mut planner = stages::Planner::default();
    assert!(planner.plan(COSTS, &candidates(16, 29), now).is_empty());
    assert!(planner.plan(COSTS, &candidates(16, 29), now + 1_000 * MILLI).is_empty());
    let changes = planner.plan(COSTS, &candidates(16, 29), now + 1_600 * MILLI);
    assert_eq!(changes.len(), 3);
    assert!(changes.iter().all(|change| change.to == fleet::Stage::Decode));
}

#[test]
fn no_flapping() {
    let now = time::Instant::now();
    let mut planner = stages::Planner::default();
    for step in 0..40 {
        let later = now + step * 500 * MILLI;
        assert!(planner.plan(COSTS, &candidates(13, 32), later).is_empty());
        assert!(
            planner.plan(COSTS, &candidates(12, 33), later).is_empty(),
            "a shortage of one is tolerated"
        );
    }
}

#[test]
fn changing_excluded() {
    let now = time::Instant::now();
    let mut planner = stages::Planner::default();
    let mut all = candidates(16, 29);
    for candidate in all.iter_mut().take(14) {
        candidate.is_fixed = true;
    }
    planner.plan(COSTS, &all, now);
    let changes = planner.plan(COSTS, &all, now + 2_000 * MILLI);
    assert_eq!(changes.len(), 2, "only two can change: {changes:?}");
}

#[test]
fn sample_required() {
    // Guards against costs that include the time of runs that were open before the sample.
    let now = time::Instant::now();
    let mut planner = stages::Planner::default();
    let usage = |runs: u64| stages::Usage {
        prompts: runs,
        prefill: 100 * MILLI * runs as u32,
        runs,
        decode: 500 * MILLI * runs as u32 + 10_000 * MILLI,
    };
    assert_eq!(planner.costs(usage(20), now), None);
    assert_eq!(planner.costs(usage(70), now + 1_000 * MILLI), None);
    assert_eq!(planner.costs(usage(100), now + 2_000 * MILLI), None);
    let costs = planner.costs(usage(140), now + 3_000 * MILLI).unwrap();
    assert!((costs.decode - 0.5).abs() < 0.001 && (costs.prefill - 0.1).abs() < 0.001);
}

const PERIOD: time::Duration = time::Duration::from_millis(500);

// Plans for 20 s in which requests wait for decode memory all the while, or never, and prompts keep
// `busy` prefill engines busy; returns the first changes.
fn plan_under_load(prefill: usize, decode: usize, busy: f64, waits: bool) -> Vec<stages::Change> {
    let now = time::Instant::now();
    let mut planner = stages::Planner::default();
    let mut usage = stages::Usage::default();
    let engines = candidates(prefill, decode);
    for tick in 0..40 {
        let at = now + PERIOD * tick;
        planner.record_wait(waits, at);
        usage.prompts += 100;
        usage.runs += 100;
        usage.prefill += PERIOD.mul_f64(busy);
        usage.decode += PERIOD.mul_f64(busy * COSTS.decode / COSTS.prefill);
        let Some(costs) = planner.costs(usage, at) else { continue };
        let changes = planner.plan(costs, &engines, at);
        if tick >= 24 && !changes.is_empty() {
            return changes;
        }
    }
    Vec::new()
}

// Guards against spare prefill engines while requests are refused for lack of decode memory.
#[test]
fn decode_short() {
    // 13 of 45 engines for a load of up to 7.1, of which 6 are busy.
    let changes = plan_under_load(13, 32, 6.0, true);
    assert_eq!(changes.len(), 4, "{changes:?}");
    assert!(changes.iter().all(|change| change.to == fleet::Stage::Decode));
    assert!(plan_under_load(13, 32, 6.0, false).is_empty(), "the memory is not short");
    let changes = plan_under_load(10, 35, 6.0, false);
    assert!(changes.iter().all(|change| change.to == fleet::Stage::Prefill) && changes.len() == 3);
}

// While its memory is short, engines leave decode only for prompts that find no engine.
#[test]
fn decode_kept() {
    assert!(plan_under_load(8, 37, 7.0, true).is_empty());
    let changes = plan_under_load(5, 40, 7.0, true);
    assert!(changes.iter().all(|change| change.to == fleet::Stage::Prefill) && changes.len() == 2);
}

// A request that waits now and then does not make the memory short.
#[test]
fn rare_waits() {
    let now = time::Instant::now();
    let mut planner = stages::Planner::default();
    for tick in 0..24 {
        let at = now + PERIOD * tick;
        planner.record_wait(tick % 8 == 0, at);
        planner.costs(stages::Usage { runs: 100, ..stages::Usage::default() }, at);
        assert!(!planner.is_decode_short(), "{tick}");
    }
}
