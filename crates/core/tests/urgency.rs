//! Urgent requests among others that together need more decode memory than there is.

use std::{collections, time};

use rand::rngs;

use rhubarb_core::{customers, engine, engines, fleet, ids, reports, routing, urgency};

use urgency::Urgency;

const MILLI: time::Duration = time::Duration::from_millis(1);
const URGENT: Urgency = Urgency { rank: 0, route: 0 };
const PATIENT: Urgency = Urgency { rank: 0, route: 2 };
const NEED: engine::Need = engine::Need { prompt: 3_200, output: 70 };
const SLOTS: u32 = 32;
// Room for eight requests.
const MEMORY: u32 = 29_249;

fn engines(count: usize) -> engines::Engines {
    let mut engines = engines::Engines::default();
    let instance = fleet::Instance {
        service: "models".into(),
        address: ([10, 0, 0, 1], 80).into(),
        zone: "hall-a".into(),
        slots: SLOTS,
        stage: Some(fleet::Stage::Decode),
        leaving: false,
        software: "v1".into(),
        started_ms: None,
        sequence: 1,
    };
    (0..count).for_each(|number| engines.set(&format!("d-{number}"), &instance, SLOTS, MEMORY));
    engines
}

fn position(urgency: Urgency, arrived: time::Instant, run: ids::RunId) -> engines::Position {
    engines::Position { urgency, overdue: false, arrived, run }
}

fn any(_: &str) -> bool {
    true
}

// Fills the engines, and returns the runs that hold memory.
fn fill(engines: &mut engines::Engines, now: time::Instant) -> Vec<(ids::ServerName, ids::RunId)> {
    let runs = (1..).map_while(|run| {
        let id = engines.reserve(position(PATIENT, now, run), NEED, any, 0, now)?;
        Some((id, run))
    });
    runs.collect()
}

#[test]
fn urgent_first() {
    let now = time::Instant::now();
    let mut engines = engines(1);
    let held = fill(&mut engines, now);
    let early = position(PATIENT, now, 100);
    let late = position(URGENT, now + MILLI, 101);
    engines.enqueue(early);
    engines.enqueue(late);
    let (id, run) = &held[0];
    engines.release(id, *run, now);
    assert_eq!(engines.reserve(early, NEED, any, 0, now), None);
    assert!(engines.reserve(late, NEED, any, 0, now).is_some());
}

// A long queue of less urgent requests is no reason to reject an urgent one.
#[test]
fn wait_by_urgency() {
    let now = time::Instant::now();
    let mut engines = engines(1);
    fill(&mut engines, now);
    (100..150).for_each(|run| engines.enqueue(position(PATIENT, now, run)));
    assert_eq!(engines.expected_wait(position(URGENT, now, 200), now), time::Duration::ZERO);
    let patient = engines.expected_wait(position(PATIENT, now + MILLI, 200), now);
    assert!(patient > 10_000 * MILLI, "{patient:?}");
}

// A place that becomes free is left to an urgent request at a peer, as long as the peer is heard.
#[test]
fn urgent_at_peer() {
    let now = time::Instant::now();
    let mut engines = engines(1);
    let held = fill(&mut engines, now);
    let nothing = reports::Report {
        range: (0, ids::ServerTag::MAX),
        commitments: reports::Commitments::new(),
    };
    engines.update_peer("peer", &nothing, now);
    engines.set_peer_waiting("peer", Some(URGENT));
    let (id, run) = &held[0];
    engines.release(id, *run, now);
    let patient = position(PATIENT, now, 100);
    assert_eq!(engines.reserve(patient, NEED, any, 0, now), None);
    engines.enqueue(patient);
    let later = now + engine::PEER_TIMEOUT + MILLI;
    assert!(engines.reserve(patient, NEED, any, 0, later).is_some(), "the peer is not heard");
}

// However many urgent requests come, a patient one waits for a bounded number of them.
#[test]
fn patient_not_starved() {
    let now = time::Instant::now();
    let mut engines = engines(1);
    let mut held: collections::VecDeque<_> = fill(&mut engines, now).into();
    let patient = position(PATIENT, now, 100);
    engines.enqueue(patient);
    for run in 200.. {
        let (id, done) = held.pop_front().unwrap();
        engines.release(&id, done, now);
        let urgent = position(URGENT, now, run);
        if let Some(id) = engines.reserve(urgent, NEED, any, 0, now) {
            held.push_back((id, run));
            continue;
        }
        assert_eq!(run as u32 - 200, urgency::MAX_PASSED);
        assert!(engines.reserve(patient, NEED, any, 0, now).is_some());
        break;
    }
}

const TICK: time::Duration = time::Duration::from_millis(5);
const REPORT_DELAY: time::Duration = time::Duration::from_millis(40);
const HEARTBEAT: time::Duration = time::Duration::from_millis(300);
const RECHECK: time::Duration = time::Duration::from_millis(50);
const RUN_TIME: time::Duration = time::Duration::from_millis(3_000);
const PLAY_TIME: time::Duration = time::Duration::from_secs(6);
const ENGINES: usize = 24;

struct Entry {
    engines: engines::Engines,
    waiting: collections::BTreeMap<engines::Position, time::Instant>,
    send_at: time::Instant,
}

#[derive(Debug, Default)]
struct Counts {
    late: u32,
    served: u32,
}

// Time that a request may wait for memory and still meet its target.
fn max_wait(urgency: Urgency) -> time::Duration {
    if urgency == URGENT { 560 * MILLI } else { 1_760 * MILLI }
}

// Plays 6 s at `entries` entries, with `load` times what the engines can serve; `share` of it is
// urgent.
fn play(
    entries: usize,
    load: f64,
    share: f64,
    seed: u64,
) -> collections::BTreeMap<Urgency, Counts> {
    let start = time::Instant::now();
    let mut random: rngs::SmallRng = rand::SeedableRng::seed_from_u64(seed);
    let mut draw = || rand::RngExt::random::<f64>(&mut random);
    let new = || Entry {
        engines: engines(ENGINES),
        waiting: collections::BTreeMap::new(),
        send_at: start,
    };
    let mut all: Vec<_> = (0..entries).map(|_| new()).collect();
    let mut held = collections::BTreeMap::<ids::ServerName, u32>::new();
    let mut ends =
        collections::BTreeSet::<(time::Instant, usize, ids::RunId, ids::ServerName)>::new();
    let mut counts = collections::BTreeMap::<Urgency, Counts>::new();
    let places = MEMORY / NEED.charge();
    let rate = load * f64::from(places) * ENGINES as f64 / RUN_TIME.as_secs_f64();
    let (mut run, mut now) = (0, start);
    while now < start + PLAY_TIME {
        now += TICK;
        while ends.first().is_some_and(|(at, ..)| *at <= now) {
            let Some((_, number, run, id)) = ends.pop_first() else { break };
            *held.entry(id.clone()).or_default() -= 1;
            let entry: &mut Entry = &mut all[number];
            entry.engines.record_progress(&id, run, 1);
            entry.engines.release(&id, run, now);
            entry.waiting.values_mut().for_each(|check_at| *check_at = now);
            entry.send_at = entry.send_at.min(now + REPORT_DELAY);
        }
        let first = (draw() * entries as f64) as usize;
        for number in (0..entries).map(|offset| (first + offset) % entries) {
            let entry = &mut all[number];
            if draw() < rate * TICK.as_secs_f64() / entries as f64 {
                run += 1;
                let urgency = if draw() < share { URGENT } else { PATIENT };
                entry.waiting.insert(position(urgency, now, run), now);
            }
            for (position, check_at) in entry.waiting.clone() {
                if check_at > now {
                    continue;
                }
                entry.waiting.insert(position, now + RECHECK);
                let is_late = now > position.arrived + max_wait(position.urgency);
                let tie = (draw() * 1e9) as u64;
                let id = entry.engines.reserve(position, NEED, any, tie, now).filter(|_| !is_late);
                let Some(id) = id else {
                    if is_late {
                        entry.waiting.remove(&position);
                        entry.engines.dequeue(position);
                        counts.entry(position.urgency).or_default().late += 1;
                    } else {
                        entry.engines.enqueue(position);
                    }
                    entry.send_at = entry.send_at.min(now + REPORT_DELAY);
                    continue;
                };
                let taken = held.entry(id.clone()).or_default();
                if *taken == places {
                    entry.engines.set_full(&id, now);
                    entry.engines.release(&id, position.run, now);
                    entry.waiting.insert(position, now);
                    continue;
                }
                *taken += 1;
                entry.waiting.remove(&position);
                ends.insert((now + RUN_TIME.mul_f64(0.5 + draw()), number, position.run, id));
                counts.entry(position.urgency).or_default().served += 1;
                entry.send_at = entry.send_at.min(now + REPORT_DELAY);
            }
        }
        exchange(&mut all, now);
    }
    counts
}

// Delivers the reports that are due.
fn exchange(entries: &mut [Entry], now: time::Instant) {
    for number in 0..entries.len() {
        if entries[number].send_at > now {
            continue;
        }
        entries[number].send_at = now + HEARTBEAT;
        let sender = &entries[number].engines;
        let commitments = sender.commitments(now);
        let (full, waiting) = (sender.full(now), sender.most_urgent());
        let report = reports::Report { range: (0, ids::ServerTag::MAX), commitments };
        for (_, other) in entries.iter_mut().enumerate().filter(|(other, _)| *other != number) {
            full.iter().for_each(|tag| other.engines.set_full_for_peer(*tag, now));
            let peer = format!("peer-{number}");
            if other.engines.update_peer(&peer, &report, now) {
                other.waiting.values_mut().for_each(|check_at| *check_at = now);
            }
            other.engines.set_peer_waiting(&peer, waiting);
        }
    }
}

fn served(counts: &collections::BTreeMap<Urgency, Counts>, urgency: Urgency) -> f64 {
    let counts = &counts[&urgency];
    f64::from(counts.served) / f64::from(counts.served + counts.late)
}

// Requests that the engines could serve in the time played.
fn capacity() -> u32 {
    MEMORY / NEED.charge() * ENGINES as u32 * PLAY_TIME.as_millis() as u32
        / RUN_TIME.as_millis() as u32
}

// A burst of twice the capacity, a fifth of it urgent: nine of ten urgent ones are served in time,
// and the memory stays in use.
#[test]
fn urgent_in_burst() {
    for entries in [24, 103] {
        let counts = play(entries, 2.0, 0.2, 1);
        assert!(served(&counts, URGENT) >= 0.9, "{entries} entries: {counts:?}");
        let all: u32 = counts.values().map(|counts| counts.served).sum();
        assert!(f64::from(all) >= 0.75 * f64::from(capacity()), "{entries} entries: {counts:?}");
    }
}

// Urgent requests alone need more than there is; the others still get their share.
#[test]
fn urgent_overload() {
    for entries in [24, 103] {
        let counts = play(entries, 2.0, 0.8, 2);
        let (urgent, patient) = (&counts[&URGENT], &counts[&PATIENT]);
        assert!(served(&counts, URGENT) > served(&counts, PATIENT), "{entries}: {counts:?}");
        assert!(patient.served * 20 >= urgent.served, "{entries} entries: {counts:?}");
    }
}

fn route(name: &str, rank: u8, service: &str) -> routing::Route {
    routing::Route {
        name: name.into(),
        host: "models.example".into(),
        prefix: format!("/{name}/"),
        kind: routing::Kind::Stream { resumable: false },
        timeout: 14_000 * MILLI,
        target: 800 * MILLI,
        max_gap: None,
        rank,
        is_public: false,
        splits: vec![routing::Split { service: service.into(), weight: 1 }],
        attempts: 1,
    }
}

fn config(routes: Vec<routing::Route>, ranks: &[Option<u8>]) -> routing::Config {
    let (mut all, mut taken) = (customers::Customers::default(), customers::Taken::default());
    for (number, rank) in ranks.iter().enumerate() {
        let name = format!("customer-{number}");
        all.add(customers::Customer { name, rank: *rank, limit: None }, &[], &mut taken);
    }
    routing::Config {
        version: 1,
        routes: routes.into(),
        services: collections::BTreeMap::new(),
        customers: all,
        limits: routing::Limits { header_bytes: 8_192, body_bytes: 8_192 },
    }
}

// Engines serve requests in the order in which the entries do, whatever numbers the ranks have.
#[test]
fn engine_priorities() {
    let routes = vec![route("review", 0, "m"), route("check", 200, "m"), route("other", 7, "n")];
    let config = config(routes, &[Some(3), None]);
    let place = |rank, route| config.priority("m", Urgency { rank, route });
    assert_eq!(place(0, 0), Some(0), "review of a customer without a rank");
    assert_eq!(place(3, 0), Some(1));
    assert_eq!(place(3, 200), Some(2));
    assert_eq!(place(200, 200), Some(3));
}

// Where all requests are equally urgent, engines get no priorities.
#[test]
fn equal_ranks() {
    let routes = vec![route("review", 4, "m"), route("check", 4, "m"), route("other", 7, "n")];
    assert_eq!(config(routes, &[]).priority("m", Urgency { rank: 4, route: 4 }), None);
}
