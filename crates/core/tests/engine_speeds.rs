//! Engines of one service that differ in speed: what is known of it, and the choice by it.

use std::{collections, time};

use rhubarb_core::{engine, engines, fleet, ids, speeds, urgency};

const MILLI: time::Duration = time::Duration::from_millis(1);
const NEED: engine::Need = engine::Need { prompt: 3_000, output: 100 };
/// Usual time per token, in nanoseconds.
const USUAL: u32 = 30_000;

fn sample(id: &str, work: speeds::Work, nanos: u32) -> speeds::Sample {
    speeds::Sample { server: ids::server_tag(id), work, nanos }
}

fn engines(stage: fleet::Stage, count: usize) -> engines::Engines {
    let mut engines = engines::Engines::default();
    for number in 0..count {
        engines.set(&format!("e-{number}"), &instance(stage), 32, 30_000);
    }
    engines
}

fn instance(stage: fleet::Stage) -> fleet::Instance {
    fleet::Instance {
        service: "models".into(),
        address: ([10, 0, 0, 1], 80).into(),
        zone: "hall-a".into(),
        slots: 32,
        stage: Some(stage),
        leaving: false,
        software: "v1".into(),
        started_ms: None,
        sequence: 1,
    }
}

/// Tells `engines` what peers measured at `count` of them; the first `fast` take half the time.
fn tell(engines: &mut engines::Engines, work: speeds::Work, count: usize, fast: usize) {
    for round in 0..20 {
        for number in (0..count).rev() {
            // Work differs from run to run by a few percent.
            let nanos = if number < fast { USUAL / 2 } else { USUAL } + 500 * (round % 4);
            engines.merge_speed(sample(&format!("e-{number}"), work, nanos));
        }
    }
}

#[test]
fn half_speed_engine() {
    let mut speeds = speeds::Speeds::default();
    for _ in 0..20 {
        for id in ["a", "b", "c"] {
            speeds.merge(sample(id, speeds::Work::Answer, USUAL));
        }
        speeds.merge(sample("slow", speeds::Work::Answer, 2 * USUAL));
    }
    let factor = |id: &str| speeds.factor(ids::server_tag(id), speeds::Work::Answer);
    assert!((1.6..2.1).contains(&factor("slow")), "{}", factor("slow"));
    assert_eq!(factor("a"), 1.0);
    let prompt = speeds.factor(ids::server_tag("slow"), speeds::Work::Prompt);
    assert_eq!(prompt, 1.0, "not measured");
}

/// A pause or a queue is no speed.
#[test]
fn outliers() {
    let mut speeds = speeds::Speeds::default();
    for _ in 0..20 {
        for id in ["a", "b", "c"] {
            speeds.merge(sample(id, speeds::Work::Prompt, USUAL));
        }
    }
    for _ in 0..3 {
        speeds.merge(sample("a", speeds::Work::Prompt, 100 * USUAL));
    }
    assert_eq!(speeds.factor(ids::server_tag("a"), speeds::Work::Prompt), 1.0);
}

#[test]
fn few_samples() {
    let mut speeds = speeds::Speeds::default();
    for _ in 0..20 {
        speeds.merge(sample("a", speeds::Work::Prompt, USUAL));
    }
    speeds.merge(sample("new", speeds::Work::Prompt, 2 * USUAL));
    assert_eq!(speeds.factor(ids::server_tag("new"), speeds::Work::Prompt), 1.0);
}

/// A new process under an old id starts from what is usual.
#[test]
fn new_process() {
    let mut engines = engines(fleet::Stage::Prefill, 4);
    tell(&mut engines, speeds::Work::Prompt, 4, 1);
    let now = time::Instant::now();
    let expected = |engines: &engines::Engines| {
        engines.pick_prefill(3_000, "hall-a", |id| id == "e-0", |_| 0, 0, now).unwrap().1
    };
    let usual = engines::prefill_time(3_000);
    assert!(expected(&engines) < usual.mul_f64(0.7));
    engines.remove("e-0");
    engines.set("e-0", &instance(fleet::Stage::Prefill), 32, 30_000);
    assert_eq!(expected(&engines), usual);
}

/// In a burst of prompts fast engines read more of them, and slow ones are not left idle.
#[test]
fn burst_of_prompts() {
    let mut engines = engines(fleet::Stage::Prefill, 8);
    tell(&mut engines, speeds::Work::Prompt, 8, 2);
    let now = time::Instant::now();
    let mut counts = collections::BTreeMap::new();
    for draw in 0..100 {
        let (id, _) = engines.pick_prefill(3_000, "hall-a", |_| true, |_| 0, draw, now).unwrap();
        engines.record_prefill(&id, 3_000, now);
        *counts.entry(id).or_insert(0) += 1;
    }
    let slow: Vec<_> = (2..8).map(|number| counts[&format!("e-{number}")]).collect();
    for id in ["e-0", "e-1"] {
        assert!(slow.iter().all(|slow| counts[id] * 2 > slow * 3), "{counts:?}");
    }
    assert!(slow.iter().all(|slow| *slow >= 6), "{counts:?}");
}

/// Answers fill fast engines first, whose memory is free again sooner, and no engine beyond its
/// memory.
#[test]
fn answers_fill_fast_engines() {
    let mut engines = engines(fleet::Stage::Decode, 4);
    tell(&mut engines, speeds::Work::Answer, 4, 1);
    let now = time::Instant::now();
    let mut counts = collections::BTreeMap::new();
    let mut reserve = |run: u32| {
        let position = engines::Position {
            urgency: urgency::Urgency::default(),
            overdue: false,
            arrived: now,
            run: run.into(),
        };
        engines.reserve(position, NEED, |_| true, run.into(), now)
    };
    for run in 0..16 {
        *counts.entry(reserve(run).unwrap()).or_insert(0) += 1;
    }
    assert!(counts["e-0"] >= 5, "{counts:?}");
    let all = (16..100).filter(|run| reserve(*run).is_some()).count() + 16;
    assert_eq!(all, 4 * 9, "28,500 tokens may be committed, and each request is charged 3,060");
}

/// Without what peers measured, and with engines that are alike, the choice is that by wait.
#[test]
fn alike_engines() {
    let now = time::Instant::now();
    for draw in 0..50 {
        let plain = engines(fleet::Stage::Prefill, 8);
        let mut told = plain.clone();
        tell(&mut told, speeds::Work::Prompt, 8, 0);
        let pick = |engines: &engines::Engines| {
            engines.pick_prefill(3_000, "hall-a", |_| true, |_| 0, draw, now)
        };
        assert_eq!(pick(&plain), pick(&told));
    }
}

/// Time before which other prompts were read tells nothing of an engine.
#[test]
fn queues_are_no_speed() {
    let mut engines = engines(fleet::Stage::Prefill, 4);
    tell(&mut engines, speeds::Work::Prompt, 4, 0);
    let usual = engines::prefill_time(3_000);
    for _ in 0..50 {
        engines.record_prompt_time("e-0", 3_000, 6 * usual, 5 * usual);
    }
    assert_eq!(engines.take_speeds(8), []);
    engines.record_prompt_time("e-0", 3_000, 90 * MILLI, usual);
    assert_eq!(engines.take_speeds(8).len(), 1);
    assert_eq!(engines.take_speeds(8), [], "told once");
}

/// What is told is bounded, also when nobody listens.
#[test]
fn bounded_telling() {
    let mut engines = engines(fleet::Stage::Prefill, 4);
    for _ in 0..1_000 {
        engines.record_prompt_time("e-1", 3_000, 90 * MILLI, 90 * MILLI);
        engines.record_prompt_time("gone", 3_000, 90 * MILLI, 90 * MILLI);
    }
    assert_eq!(engines.take_speeds(12).len(), 12);
    assert_eq!(engines.take_speeds(12), []);
}
