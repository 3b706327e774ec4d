//! Entries whose requests always wait share the decode memory.

use std::{collections, time};

use rand::rngs;

use rhubarb_core::{engine, engines, fleet, ids, parts, reports, urgency};

const MILLI: time::Duration = time::Duration::from_millis(1);
const TICK: time::Duration = time::Duration::from_millis(5);
const BATCH_DELAY: time::Duration = time::Duration::from_millis(20);
const RELEASE_DELAY: time::Duration = time::Duration::from_millis(80);
const HEARTBEAT: time::Duration = time::Duration::from_millis(300);
const RECHECK: time::Duration = time::Duration::from_millis(50);
const NEED: engine::Need = engine::Need { prompt: 100, output: 100 };
const MEMORY: u32 = 100_000;

struct Entry {
    engines: engines::Engines,
    waiting: collections::VecDeque<engines::Position>,
    check_at: time::Instant,
    send_at: time::Instant,
    granted: u32,
}

// What is played: `callers` at each entry, of whom each asks again when its run is over.
struct Scene {
    entries: usize,
    engines: usize,
    slots: u32,
    callers: usize,
    run_time: time::Duration,
    length: time::Duration,
    // Whether the first entry takes nothing, although requests wait there.
    is_idle: bool,
}

#[derive(Debug)]
struct Results {
    by_entry: Vec<u32>,
    // Share of the slots in use.
    fill: f64,
}

impl Results {
    // Grants to all entries, and to the one that got the fewest.
    fn sums(&self) -> (u32, u32) {
        (self.by_entry.iter().sum(), self.by_entry.iter().min().copied().unwrap_or_default())
    }
}

fn instance(slots: u32) -> fleet::Instance {
    fleet::Instance {
        service: "models".into(),
        address: ([10, 0, 0, 1], 80).into(),
        zone: "hall-a".into(),
        slots,
        stage: Some(fleet::Stage::Decode),
        leaving: false,
        software: "v1".into(),
        started_ms: None,
        sequence: 1,
    }
}

fn engines(count: usize, slots: u32) -> engines::Engines {
    let mut engines = engines::Engines::default();
    let instance = instance(slots);
    (0..count).for_each(|number| engines.set(&format!("d-{number}"), &instance, slots, MEMORY));
    engines
}

fn position(run: ids::RunId, arrived: time::Instant) -> engines::Position {
    engines::Position { urgency: urgency::Urgency::default(), overdue: false, arrived, run }
}

fn report(commitments: reports::Commitments) -> reports::Report {
    reports::Report { range: (0, ids::ServerTag::MAX), commitments }
}

fn play(scene: &Scene, seed: u64) -> Results {
    let start = time::Instant::now();
    let mut random: rngs::SmallRng = rand::SeedableRng::seed_from_u64(seed);
    let mut draw = || rand::RngExt::random::<f64>(&mut random);
    let mut run = 0;
    let mut entries = Vec::new();
    for _ in 0..scene.entries {
        let mut waiting = collections::VecDeque::new();
        for _ in 0..scene.callers {
            run += 1;
            waiting.push_back(position(run, start));
        }
        let engines = engines(scene.engines, scene.slots);
        entries.push(Entry { engines, waiting, check_at: start, send_at: start, granted: 0 });
    }
    if scene.is_idle {
        entries[0].engines.enqueue(position(0, start));
        entries[0].waiting.clear();
    }
    let mut held = collections::BTreeMap::<ids::ServerName, u32>::new();
    let mut ends =
        collections::BTreeSet::<(time::Instant, usize, ids::RunId, ids::ServerName)>::new();
    let mut used = 0;
    let mut now = start;
    while now < start + scene.length {
        now += TICK;
        while ends.first().is_some_and(|(at, ..)| *at <= now) {
            let Some((_, number, run, id)) = ends.pop_first() else { break };
            *held.entry(id.clone()).or_default() -= 1;
            let entry: &mut Entry = &mut entries[number];
            entry.engines.record_progress(&id, run, 1);
            entry.engines.release(&id, run, now);
            let is_urgent = entry.engines.reports_at_once();
            let delay = if is_urgent { BATCH_DELAY } else { RELEASE_DELAY };
            entry.send_at = entry.send_at.min(now + delay);
            entry.check_at = now;
            entry.waiting.push_back(position(run, now));
        }
        let first = (draw() * scene.entries as f64) as usize;
        for number in (0..scene.entries).map(|offset| (first + offset) % scene.entries) {
            let entry = &mut entries[number];
            while let Some(position) = entry.waiting.front().copied()
                && entry.check_at <= now
            {
                let tie = (draw() * 1e9) as u64;
                let Some(id) = entry.engines.reserve(position, NEED, |_| true, tie, now) else {
                    let was_waiting = entry.engines.has_queue();
                    entry.engines.enqueue(position);
                    entry.check_at = now + RECHECK;
                    if !was_waiting {
                        entry.send_at = entry.send_at.min(now + BATCH_DELAY);
                    }
                    break;
                };
                entry.send_at = entry.send_at.min(now + BATCH_DELAY);
                let taken = held.entry(id.clone()).or_default();
                if *taken == scene.slots {
                    entry.engines.set_full(&id, now);
                    entry.engines.release(&id, position.run, now);
                    continue;
                }
                *taken += 1;
                entry.waiting.pop_front();
                entry.granted += 1;
                let end = now + scene.run_time.mul_f64(0.5 + draw());
                ends.insert((end, number, position.run, id));
            }
        }
        exchange(&mut entries, now);
        used += held.values().sum::<u32>();
    }
    let ticks = scene.length.as_secs_f64() / TICK.as_secs_f64();
    let fill = f64::from(used) / ticks / (scene.engines as f64 * f64::from(scene.slots));
    Results { by_entry: entries.iter().map(|entry| entry.granted).collect(), fill }
}

// Delivers the reports that are due.
fn exchange(entries: &mut [Entry], now: time::Instant) {
    for number in 0..entries.len() {
        if entries[number].send_at > now {
            continue;
        }
        entries[number].send_at = now + HEARTBEAT;
        let sender = &entries[number].engines;
        let (full, waiting) = (sender.full(now), sender.most_urgent());
        let report = report(sender.commitments(now));
        for (_, other) in entries.iter_mut().enumerate().filter(|(other, _)| *other != number) {
            full.iter().for_each(|tag| other.engines.set_full_for_peer(*tag, now));
            let peer = format!("peer-{number}");
            if other.engines.update_peer(&peer, &report, now) {
                other.check_at = now;
            }
            other.engines.set_peer_waiting(&peer, waiting);
        }
    }
}

fn scene(entries: usize, engines: usize, slots: u32) -> Scene {
    let (run_time, length) = (3_000 * MILLI, 20_000 * MILLI);
    Scene { entries, engines, slots, callers: 15, run_time, length, is_idle: false }
}

// An entry whose requests always wait does not take each of its places again: both get about a
// half, and the slots stay in use.
#[test]
fn two_entries() {
    for run_time in [100 * MILLI, 300 * MILLI, 3_000 * MILLI] {
        for seed in 1..5 {
            let results = play(&Scene { run_time, ..scene(2, 1, 6) }, seed);
            let (all, least) = results.sums();
            assert!(least * 5 >= all * 2, "{run_time:?}, seed {seed}: {results:?}");
            assert!(results.fill >= 0.98, "{run_time:?}, seed {seed}: {results:?}");
        }
    }
}

// With one place for two entries they take turns.
#[test]
fn one_place() {
    for seed in 1..5 {
        let results = play(&Scene { run_time: 1_000 * MILLI, ..scene(2, 1, 1) }, seed);
        let (all, least) = results.sums();
        assert!(least * 5 >= all * 2, "seed {seed}: {results:?}");
        assert!(results.fill >= 0.95, "seed {seed}: {results:?}");
    }
}

// Many entries before many engines: none is starved, and the slots stay in use, also where runs are
// as short as a few datagrams take.
#[test]
fn many_engines() {
    for (run_time, least_fill) in [(500 * MILLI, 0.9), (3_000 * MILLI, 0.98)] {
        let results = play(&Scene { run_time, ..scene(24, 24, 8) }, 1);
        let (all, least) = results.sums();
        assert!(least * 24 * 5 >= all, "{run_time:?}: {results:?}");
        assert!(results.fill >= least_fill, "{run_time:?}: {results:?}");
    }
}

// With fewer places than entries each entry gets one in a while, also where runs are short; then the
// slots are in use for most of the time.
#[test]
fn few_places() {
    for (entries, run_time, least_fill) in [(40, 3_000 * MILLI, 0.95), (137, 200 * MILLI, 0.85)] {
        let results = play(&Scene { callers: 3, run_time, ..scene(entries, 3, 6) }, 1);
        assert!(results.sums().1 >= 1, "{entries} entries: {results:?}");
        assert!(results.fill >= least_fill, "{entries} entries: {results:?}");
    }
}

// A peer that says that requests wait, and takes nothing, costs a bounded time.
#[test]
fn idle_peer() {
    for seed in 1..5 {
        let results = play(&Scene { is_idle: true, ..scene(2, 1, 6) }, seed);
        assert!(results.fill >= 0.95, "seed {seed}: {results:?}");
    }
}

// Fills one engine with two slots, releases one of them, and tells that requests wait at a peer that
// has `runs` at the engine.
fn freed(runs: u32, now: time::Instant) -> engines::Engines {
    let mut engines = engines(1, 2 + runs);
    let held: Vec<_> = (1..3).map(|run| take(&mut engines, run, now)).collect();
    let commitment = engine::Commitment { tokens: 100 * runs, runs, ..Default::default() };
    let commitments = [(ids::server_tag("d-0"), commitment)].into_iter().collect();
    engines.update_peer("peer", &report(commitments), now);
    engines.set_peer_waiting("peer", Some(urgency::Urgency::default()));
    assert!(held.iter().all(Option::is_some));
    engines.record_progress("d-0", 1, 1);
    engines.release("d-0", 1, now);
    engines
}

fn take(
    engines: &mut engines::Engines,
    run: ids::RunId,
    now: time::Instant,
) -> Option<ids::ServerName> {
    engines.reserve(position(run, now), NEED, |_| true, 0, now)
}

// A place is left to a peer that has less, but not once the peer is not heard any more.
#[test]
fn dead_peer() {
    let now = time::Instant::now();
    let mut engines = freed(0, now);
    assert_eq!(take(&mut engines, 3, now), None);
    assert!(engines.take_left());
    let later = now + engine::PEER_TIMEOUT + MILLI;
    assert!(take(&mut engines, 3, later).is_some());
}

// A place that no peer takes is left for a bounded time, and the next ones are not left.
#[test]
fn left_for_while() {
    let now = time::Instant::now();
    let mut engines = freed(0, now);
    assert_eq!(take(&mut engines, 3, now), None);
    assert_eq!(take(&mut engines, 3, now + RECHECK), None);
    let later = now + parts::LEAVE_TIME;
    assert!(take(&mut engines, 3, later).is_some());
    engines.release("d-0", 2, later);
    assert!(take(&mut engines, 4, later + MILLI).is_some());
}

// Nothing is left to a peer that has as much, or at which no equally urgent request waits.
#[test]
fn within_part() {
    let now = time::Instant::now();
    assert!(take(&mut freed(1, now), 3, now).is_some());
    for waiting in [None, Some(urgency::Urgency { rank: 0, route: 1 })] {
        let mut engines = freed(0, now);
        engines.set_peer_waiting("peer", waiting);
        assert!(take(&mut engines, 3, now).is_some(), "{waiting:?}");
        assert!(!engines.take_left());
    }
}

// Where more than one place is free, one is taken and one left.
#[test]
fn two_places() {
    let now = time::Instant::now();
    let mut engines = freed(0, now);
    let instance = fleet::Instance { address: ([10, 0, 0, 2], 80).into(), ..instance(1) };
    engines.set("d-1", &instance, 1, MEMORY);
    assert!(take(&mut engines, 3, now).is_some());
    assert_eq!(take(&mut engines, 4, now), None);
}
