//! Loads among servers that are not alike: noise of neighbours, an engine that turns slow in a burst, a
//! cold server in a scale-out, and what entries of small and large fleets know of it.

use std::{collections, time};

use rhubarb_core::{engines, fleet, ids, load, pool, speeds};

const MILLI: time::Duration = time::Duration::from_millis(1);
const TOKENS: u32 = 3_000;
/// Usual time of an answer of a plain server.
const USUAL: time::Duration = time::Duration::from_millis(40);
/// Most samples in one datagram.
const MAX_TOLD: usize = 12;
/// Noise: each 600 ms a neighbour makes 90 ms of work take 2.5 times as long.
const PERIOD_MS: u64 = 600;
const SLOWED_MS: u64 = 90;
const SLOWED: f64 = 2.5;

fn engines(count: usize) -> engines::Engines {
    let mut engines = engines::Engines::default();
    for number in 0..count {
        let instance = fleet::Instance {
            service: "models".into(),
            address: ([10, 0, 0, 1], 80).into(),
            zone: "hall-a".into(),
            slots: 32,
            stage: Some(fleet::Stage::Prefill),
            leaving: false,
            software: "v1".into(),
            started_ms: None,
            sequence: 1,
        };
        engines.set(&id(number), &instance, 32, 30_000);
    }
    engines
}

fn id(number: usize) -> String {
    format!("e-{number}")
}

/// Some repeatable number.
fn draw(number: u64) -> u64 {
    let mixed = (number + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (mixed ^ (mixed >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 32
}

/// Time to read the prompt, from its factor and the begin, on a machine with neighbours.
fn noisy_time(factor: f64, begin_ms: u64) -> time::Duration {
    let (mut left, mut at) = (90.0 * factor, begin_ms);
    while left > 0.0 {
        left -= if at % PERIOD_MS < SLOWED_MS { 1.0 / SLOWED } else { 1.0 };
        at += 1;
    }
    10 * MILLI + (at - begin_ms) as u32 * MILLI
}

fn factor(engines: &engines::Engines, number: usize) -> f64 {
    let now = time::Instant::now();
    let only = |other: &str| other == id(number);
    let (_, expected) = engines.pick_prefill(TOKENS, "hall-a", only, |_| 0, 0, now).unwrap();
    let usual = engines::prefill_time(TOKENS);
    expected.as_secs_f64() / usual.as_secs_f64()
}

fn record(engines: &mut engines::Engines, number: usize, took: time::Duration) {
    let now = time::Instant::now();
    let only = |other: &str| other == id(number);
    let (name, expected) = engines.pick_prefill(TOKENS, "hall-a", only, |_| 0, 0, now).unwrap();
    engines.record_prompt_time(&name, TOKENS, took, expected);
}

/// Neighbour noise every 600 ms makes no engine slow, and hides no engine of half the speed.
#[test]
fn neighbour_noise() {
    let mut engines = engines(12);
    let mut clock = 0;
    for number in 0..1_200u64 {
        clock += draw(number) % 50;
        let engine = (number % 12) as usize;
        let factor = if engine == 0 { 2.0 } else { 1.0 };
        // Each machine has neighbours of its own.
        record(&mut engines, engine, noisy_time(factor, clock + 47 * engine as u64));
        if number < 600 {
            continue;
        }
        for engine in 1..12 {
            assert_eq!(self::factor(&engines, engine), 1.0, "engine {engine} after {number}");
        }
        let slow = self::factor(&engines, 0);
        assert!((1.5..2.6).contains(&slow), "{slow} after {number}");
    }
}

/// An engine that turns slow in a burst, 3.5 times for a while, gets the share that it can carry, and
/// comes back: neither at once nor never.
#[test]
fn slow_in_burst() {
    let mut engines = engines(8);
    let run = |engines: &mut engines::Engines, count: usize, slow: f64| {
        for number in 0..8 * count {
            let factor = if number.is_multiple_of(8) { slow } else { 1.0 };
            record(engines, number % 8, 10 * MILLI + (90.0 * factor) as u32 * MILLI);
        }
    };
    run(&mut engines, 20, 1.0);
    let share = |engines: &engines::Engines| {
        let (mut engines, now) = (engines.clone(), time::Instant::now());
        let mut counts = collections::BTreeMap::new();
        for draw in 0..160 {
            let (id, _) =
                engines.pick_prefill(TOKENS, "hall-a", |_| true, |_| 0, draw, now).unwrap();
            engines.record_prefill(&id, TOKENS, now);
            *counts.entry(id).or_insert(0) += 1;
        }
        counts.get("e-0").copied().unwrap_or(0)
    };
    let before = share(&engines);
    assert!((15..=25).contains(&before), "{before} of 160");
    run(&mut engines, 15, 3.5);
    let slowed = share(&engines);
    assert!((6..=13).contains(&slowed), "{slowed} of 160 at 3.5 times");
    run(&mut engines, 3, 1.0);
    assert!(share(&engines) <= before, "no storm");
    run(&mut engines, 17, 1.0);
    let after = share(&engines);
    assert!((15..=25).contains(&after), "{after} of 160");
}

/// A cold server of a scale-out is not flooded, is not left out, and counts in full when it is warm.
#[test]
fn cold_in_scale_out() {
    let report = |held: u32, pace: f64| {
        load::Report::new(load::Load { slots: 6, held, ..load::Load::default() }, pace)
    };
    let mut now = time::Instant::now();
    let mut pool = pool::Pool::new("zone-1".into());
    pool.set_tuning(pool::Tuning { suspect_after: None, backoff: true, by_time: true });
    for number in 0..3 {
        pool.add(&format!("s-{number}"), "zone-1");
    }
    let share = |pool: &pool::Pool, now: time::Instant| {
        let picked = (0..2_000u64).filter(|number| {
            let random = draw(*number) << 32 | draw(number + 7_000);
            let criteria = pool::Criteria { tried: &[], affinity: None, random, by_work: false };
            pool.pick(criteria, now).unwrap() == "s-3"
        });
        picked.count() as f64 / 2_000.0
    };
    for _ in 0..100 {
        for number in 0..3 {
            pool.record_report(&format!("s-{number}"), report(2, 1.0), Some(USUAL), now);
        }
    }
    pool.add("s-3", "zone-1");
    // Cold: 1.6 times, and it says so.
    for _ in 0..20 {
        now += 50 * MILLI;
        for number in 0..3 {
            pool.record_report(&format!("s-{number}"), report(2, 1.0), Some(USUAL), now);
        }
        pool.record_report("s-3", report(2, 1.6), Some(USUAL.mul_f64(1.6)), now);
    }
    let cold = share(&pool, now);
    assert!(cold < 0.25, "{cold}: with as much to do it answers later than the others");
    let queue = load::Load { slots: 6, held: 6, waiting: 6, ..load::Load::default() };
    for number in 0..3 {
        pool.record_report(&format!("s-{number}"), load::Report::new(queue, 1.0), None, now);
    }
    let idle = share(&pool, now);
    assert!(idle > 0.4, "{idle}: the others have queues, and it is not left idle");
    now += 1_000 * MILLI;
    for number in 0..4 {
        pool.record_report(&format!("s-{number}"), report(2, 1.0), Some(USUAL), now);
    }
    let warm = share(&pool, now);
    assert!((0.15..0.35).contains(&warm), "{warm}");
}

/// In fleets of 25, 103 and 950 entries one that never uses an engine knows as much of it as the others
/// of its cell, and what is told stays within its bound. Where a cell has few samples, engines count as
/// alike: half the speed is taken for half or for none, never for more.
#[test]
fn known_in_cells() {
    for (entries, cell) in [(25, 25), (103, 26), (950, 30)] {
        let count = 40;
        let mut fleet = vec![engines(count); cell];
        let mut told = 0;
        // 60 prompts a second in the whole fleet, of which the cell has its share.
        let prompts = 60 * 60 * cell / entries;
        for number in 0..prompts {
            let engine = (draw(number as u64) % count as u64) as usize;
            // The last entry sends nothing.
            let sender = number % (cell - 1);
            let factor = if engine.is_multiple_of(4) { 2.0 } else { 1.0 };
            record(&mut fleet[sender], engine, 10 * MILLI + (90.0 * factor) as u32 * MILLI);
            if number % (cell - 1) == cell - 2 {
                for sender in 0..cell - 1 {
                    let samples = fleet[sender].take_speeds(MAX_TOLD);
                    assert!(samples.len() <= MAX_TOLD);
                    told += samples.len();
                    let others = fleet.iter_mut().enumerate().filter(|(other, _)| *other != sender);
                    for (_, other) in others {
                        samples.iter().for_each(|sample| other.merge_speed(*sample));
                    }
                }
            }
        }
        assert!(told <= prompts, "each sample is told once");
        for number in 0..count {
            let factors = [&fleet[0], &fleet[cell - 1]].map(|entry| factor(entry, number));
            let expected = if number.is_multiple_of(4) { 1.0..2.6 } else { 1.0..1.01 };
            for known in factors {
                assert!(expected.contains(&known), "{entries}: engine {number}: {known}");
            }
            if entries < 950 && number.is_multiple_of(4) {
                assert!(factors[1] > 1.4, "{entries}: engine {number}: {factors:?}");
            }
        }
    }
}

/// What an entry holds and tells is bounded by what it knows: 12,000 servers, of which the samples
/// name some that it does not know.
#[test]
fn many_servers() {
    let mut engines = engines(40);
    for number in 0..24_000 {
        let server = ids::server_tag(&id(number % 12_000));
        engines.merge_speed(speeds::Sample { server, work: speeds::Work::Prompt, nanos: 30_000 });
    }
    assert_eq!(engines.take_speeds(MAX_TOLD), [], "what peers told is not told on");
    assert_eq!(factor(&engines, 39), 1.0);
}
