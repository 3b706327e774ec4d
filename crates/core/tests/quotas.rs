//! Limits that servers name hold for all entries together, from 5 to 950 of them, with even and
//! uneven demand.

use std::{collections, time};

use rand::rngs;

use rhubarb_core::{demand, quotas};

const SECOND: time::Duration = time::Duration::from_secs(1);
/// Span in which requests are counted.
const SPAN: time::Duration = time::Duration::from_secs(4);
/// Time after which the limit holds (`contact_ms`).
const CONTACT: time::Duration = time::Duration::from_secs(3);
const STEP: time::Duration = time::Duration::from_millis(10);
const HEARTBEAT: time::Duration = time::Duration::from_millis(300);
const WINDOW: time::Duration = time::Duration::from_secs(10);
const SERVER: u32 = 7;
/// Entries of a cell.
const CELL: usize = 40;

struct Entry {
    quotas: quotas::Quotas,
    demand: demand::Demand,
    // Requests a second.
    rate: f64,
    requests: collections::VecDeque<time::Instant>,
    sent: usize,
    // Neither sends nor receives what entries tell each other.
    is_cut: bool,
}

// Entries before one server with a limit of `rate` requests a second.
struct Fleet {
    entries: Vec<Entry>,
    now: time::Instant,
    limit: f64,
    random: rngs::SmallRng,
    sent: Vec<time::Instant>,
}

impl Fleet {
    fn new(rates: &[f64], limit: f64, seed: u64) -> Fleet {
        let entry = |rate: &f64| Entry {
            quotas: quotas::Quotas::default(),
            demand: demand::Demand::default(),
            rate: *rate,
            requests: collections::VecDeque::new(),
            sent: 0,
            is_cut: false,
        };
        Fleet {
            entries: rates.iter().map(entry).collect(),
            now: time::Instant::now(),
            limit,
            random: rand::SeedableRng::seed_from_u64(seed),
            sent: Vec::new(),
        }
    }

    fn part(&self, number: usize) -> quotas::Part {
        let (entry, size) = (&self.entries[number], self.entries.len());
        let cell = (size - number / CELL * CELL).min(CELL);
        let sizes = demand::Sizes { peers: cell as u32 - 1, fleet: size as u32 };
        let fraction = entry.demand.fraction(sizes, self.now);
        quotas::Part { fraction, phase: (number + 1) as f64 / size as f64 }
    }

    // All entries learn of the limit.
    fn name_limit(&mut self) {
        let said = quotas::Statement {
            process: SERVER,
            rate: Some(self.limit),
            ago: time::Duration::ZERO,
        };
        for number in 0..self.entries.len() {
            let part = self.part(number);
            self.entries[number].quotas.record(said, part, self.now);
        }
    }

    fn run(&mut self, length: time::Duration) {
        let end = self.now + length;
        let mut heartbeat_at = self.now;
        while self.now < end {
            self.now += STEP;
            if self.now >= heartbeat_at {
                heartbeat_at += HEARTBEAT;
                self.tell_demand();
            }
            for number in 0..self.entries.len() {
                self.serve(number);
            }
        }
    }

    fn serve(&mut self, number: usize) {
        let (part, now) = (self.part(number), self.now);
        let entry = &mut self.entries[number];
        while entry.requests.front().is_some_and(|at| *at + WINDOW < now) {
            entry.requests.pop_front();
        }
        let arrives = entry.rate * STEP.as_secs_f64();
        if rand::RngExt::random::<f64>(&mut self.random) >= arrives {
            return;
        }
        entry.requests.push_back(now);
        let is_open = entry.quotas.closed(SERVER, part, now).is_none();
        let is_sent = entry.quotas.try_send(SERVER, 1, part, now);
        assert_eq!(is_open, is_sent);
        if is_sent {
            entry.sent += 1;
            self.sent.push(now);
        }
    }

    fn tell_demand(&mut self) {
        let told: Vec<_> = self.entries.iter().map(|entry| entry.requests.len() as u32).collect();
        for number in 0..self.entries.len() {
            let cell = number / CELL * CELL;
            self.entries[number].demand.record_own(told[number]);
            for other in (cell..(cell + CELL).min(told.len())).filter(|other| *other != number) {
                if self.entries[number].is_cut || self.entries[other].is_cut {
                    continue;
                }
                let peer = format!("edge-{other}");
                self.entries[number].demand.record(&peer, told[other], self.now);
            }
        }
    }

    // Most requests in one span that begins at `from` or later.
    fn most(&self, from: time::Instant) -> usize {
        let sent: Vec<_> = self.sent.iter().filter(|at| **at >= from).collect();
        let mut first = 0;
        let counts = sent.iter().enumerate().map(|(index, at)| {
            while *sent[first] + SPAN <= **at {
                first += 1;
            }
            index + 1 - first
        });
        counts.max().unwrap_or(0)
    }

    fn allowed(&self) -> usize {
        (1.5 * self.limit * SPAN.as_secs_f64()) as usize + 5
    }
}

// Demand of `size` entries of `total` requests a second, of which the first has `share`.
fn rates(size: usize, total: f64, share: f64) -> Vec<f64> {
    let others = total * (1.0 - share) / (size - 1) as f64;
    (0..size).map(|number| if number == 0 { total * share } else { others }).collect()
}

// Guards against entries that each take the whole limit, or each their first request at once (issue
// 29, LIMIT).
#[test]
fn limits_hold() {
    for (size, total) in [(5, 30.0), (103, 250.0), (950, 1_000.0)] {
        for limit in [0.2, 2.9, 3.9, 20.0, 100.0] {
            for share in [1.0 / size as f64, 0.6] {
                let mut fleet = Fleet::new(&rates(size, total, share), limit, 3);
                fleet.run(2 * SECOND);
                let named_at = fleet.now;
                fleet.name_limit();
                fleet.run(CONTACT + 3 * SPAN);
                let (most, allowed) = (fleet.most(named_at + CONTACT), fleet.allowed());
                let case = format!("{size} entries, limit {limit}, share {share:.2}");
                assert!(most <= allowed, "{case}: {most} in 4 s, {allowed} are allowed");
            }
        }
    }
}

// Guards against a limit of which most is not used since demand is uneven, or each part is small.
#[test]
fn limits_used() {
    for (size, total, share, least) in [
        (5, 60.0, 0.2, 0.85),
        (5, 60.0, 0.9, 0.85),
        (103, 500.0, 0.01, 0.7),
        (103, 500.0, 0.5, 0.5),
    ] {
        let limit = 6.0;
        let mut fleet = Fleet::new(&rates(size, total, share), limit, 5);
        fleet.run(11 * SECOND);
        fleet.name_limit();
        fleet.run(CONTACT);
        let before = fleet.sent.len();
        fleet.run(60 * SECOND);
        let used = (fleet.sent.len() - before) as f64 / (60.0 * limit);
        assert!(used >= least, "{size} entries, share {share}: {used:.2} of the limit is used");
        assert!(used <= 1.02, "{size} entries, share {share}: {used:.2} of the limit is used");
    }
}

#[test]
fn busy_entries_get_more() {
    let mut fleet = Fleet::new(&rates(5, 60.0, 0.8), 10.0, 6);
    fleet.run(11 * SECOND);
    fleet.name_limit();
    fleet.run(30 * SECOND);
    let sent: Vec<_> = fleet.entries.iter().map(|entry| entry.sent).collect();
    let others = sent[1..].iter().sum::<usize>();
    assert!(sent[0] > 2 * others, "{sent:?}");
    assert!(sent[1..].iter().all(|sent| *sent >= 5), "no entry is starved: {sent:?}");
}

// All entries are idle for long, then all get requests at once.
#[test]
fn idle_entries_return() {
    for size in [5, 103, 950] {
        let mut fleet = Fleet::new(&vec![0.0; size], 2.9, 7);
        fleet.name_limit();
        fleet.run(40 * SECOND);
        fleet.entries.iter_mut().for_each(|entry| entry.rate = 20.0);
        let from = fleet.now;
        fleet.run(3 * SPAN);
        let (most, allowed) = (fleet.most(from), fleet.allowed());
        assert!(most <= allowed, "{size} entries: {most} in 4 s, {allowed} are allowed");
    }
}

// Guards against entries that are cut off as the demand rises, and that go on with what the others told
// when they had none: each sends at the whole limit then.
#[test]
fn parts_when_cut() {
    for size in [5, 103, 950] {
        let mut fleet = Fleet::new(&vec![0.0; size], 20.0, 8);
        fleet.name_limit();
        fleet.run(11 * SECOND);
        fleet.entries.iter_mut().for_each(|entry| entry.rate = 50.0);
        fleet.entries[1..4].iter_mut().for_each(|entry| entry.is_cut = true);
        let from = fleet.now;
        fleet.run(3 * SPAN);
        let (most, allowed) = (fleet.most(from), fleet.allowed());
        assert!(most <= allowed, "{size} entries: {most} in 4 s, {allowed} are allowed");
    }
}

fn part() -> quotas::Part {
    quotas::Part { fraction: 1.0, phase: 1.0 }
}

fn statement(rate: Option<f64>, ago: time::Duration) -> quotas::Statement {
    quotas::Statement { process: SERVER, rate, ago }
}

#[test]
fn newest_statement_holds() {
    let (mut known, now) = (quotas::Quotas::default(), time::Instant::now() + 60 * SECOND);
    assert!(!known.record(statement(None, time::Duration::ZERO), part(), now), "no limit before");
    assert!(known.record(statement(Some(4.0), 2 * SECOND), part(), now));
    assert!(!known.record(statement(None, 3 * SECOND), part(), now), "older");
    assert!(!known.record(statement(Some(4.0), SECOND), part(), now), "the same");
    assert!(known.record(statement(Some(2.0), SECOND / 2), part(), now));
    assert_eq!(known.rate(SERVER), Some(2.0));
    assert!(known.record(statement(None, SECOND / 4), part(), now));
    assert!(known.closed(SERVER, part(), now).is_none() && known.rate(SERVER).is_none());
    // Others hear of the end, which is then forgotten.
    assert_eq!(known.statements(8, 0, now), [statement(None, SECOND / 4)]);
    known.expire(now + 11 * SECOND);
    assert!(known.is_empty());
}

#[test]
fn odd_limits() {
    for rate in [0.0, 1e-300, 1e300, f64::MAX] {
        let (mut known, mut now) = (quotas::Quotas::default(), time::Instant::now());
        known.record(statement(Some(rate), time::Duration::ZERO), part(), now);
        let small = quotas::Part { fraction: 1e-9, phase: 1e-9 };
        for part in [part(), small] {
            now += SECOND;
            known.try_send(SERVER, 2, part, now);
            known.closed(SERVER, part, now + 10_000 * SECOND);
        }
    }
    let (mut known, now) = (quotas::Quotas::default(), time::Instant::now());
    known.record(statement(Some(0.0), time::Duration::ZERO), part(), now);
    let open = |known: &mut quotas::Quotas, now| known.closed(SERVER, part(), now).is_none();
    assert!(!open(&mut known, now + 40 * SECOND));
    assert!(open(&mut known, now + 51 * SECOND), "a server that wants nothing is asked in a while");
}

// A hold counts for itself and for the request that uses it.
#[test]
fn costs() {
    let (mut known, mut now) = (quotas::Quotas::default(), time::Instant::now());
    known.record(statement(Some(1.0), time::Duration::ZERO), part(), now);
    now += SECOND;
    assert!(known.try_send(SERVER, 2, part(), now));
    assert!(known.try_send(SERVER, 0, part(), now));
    assert!(!known.try_send(SERVER, 1, part(), now + SECOND));
    known.refund(SERVER, 1);
    assert!(known.try_send(SERVER, 1, part(), now + SECOND));
    assert!(known.try_send(SERVER + 1, 1, part(), now), "another process has no limit");
}

#[test]
fn statements_bounded() {
    let (mut known, now) = (quotas::Quotas::default(), time::Instant::now());
    for process in 0..10_000 {
        let said = quotas::Statement { process, ..statement(Some(1.0), time::Duration::ZERO) };
        known.record(said, part(), now);
    }
    let told: collections::BTreeSet<_> = (0..512)
        .flat_map(|round| known.statements(8, round, now + 20 * SECOND))
        .map(|said| said.process)
        .collect();
    assert_eq!(told.len(), 4_096, "all are told in turn, and no more are kept");
}
