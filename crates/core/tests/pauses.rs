//! Pauses that servers ask for: their ends, the return after them, and large fleets before few
//! servers.

use std::{collections, time};

use rand::rngs;

use rhubarb_core::{engine, engines, fleet, load, outcome, pauses, pool, urgency};

const SECOND: time::Duration = time::Duration::from_secs(1);
const MILLI: time::Duration = time::Duration::from_millis(1);
const RETURN: pauses::Return = pauses::Return { slots: 6, entries: 1, draw: 0.0 };

fn closed(since: time::Instant, until: time::Instant) -> Option<pauses::Closed> {
    Some(pauses::Closed { until, since })
}

fn process(started_ms: u64) -> pauses::Process {
    ("s-0".into(), Some(started_ms))
}

// Guards against two reports of one pause that two rejections told at the same time.
#[test]
fn one_pause_told_twice() {
    let (mut pauses, now) = (pauses::Pauses::default(), time::Instant::now());
    let later = now + time::Duration::from_micros(400);
    assert_eq!(pauses.record(&process(1), SECOND, RETURN, now), Some(SECOND));
    assert_eq!(pauses.record(&process(1), SECOND, RETURN, later), None);
    assert!(pauses.closed(&process(1), later + SECOND - time::Duration::from_micros(1)).is_some());
    assert_eq!(pauses.record(&process(1), 2 * SECOND, RETURN, later), Some(2 * SECOND));
}

#[test]
fn longest_counts() {
    let now = time::Instant::now();
    let mut pauses = pauses::Pauses::default();
    assert_eq!(pauses.record(&process(1), 2 * SECOND, RETURN, now), Some(2 * SECOND));
    // A shorter one does not cut it, a later end extends it.
    assert_eq!(pauses.record(&process(1), SECOND, RETURN, now + SECOND / 2), None);
    assert_eq!(pauses.closed(&process(1), now), closed(now, now + 2 * SECOND));
    let later = now + SECOND;
    assert_eq!(pauses.record(&process(1), 2 * SECOND, RETURN, later), Some(2 * SECOND));
    assert_eq!(pauses.closed(&process(1), later), closed(now, now + 3 * SECOND));
    assert!(!pauses.try_send(&process(1), now + 3 * SECOND - MILLI));
    assert!(pauses.try_send(&process(1), now + 3 * SECOND));
    assert_eq!(pauses.expire(now + 3 * SECOND)[0].withheld, 1);
    assert_eq!(pauses.expire(now + 3 * SECOND), []);
}

#[test]
fn absurd_bounded() {
    let now = time::Instant::now();
    let mut pauses = pauses::Pauses::default();
    let used = pauses.record(&process(1), time::Duration::MAX, RETURN, now);
    assert_eq!(used, Some(pauses::MAX_PAUSE));
    assert!(pauses.try_send(&process(1), now + pauses::MAX_PAUSE));
    assert_eq!(pauses.record(&process(2), time::Duration::ZERO, RETURN, now), None);
    assert!(pauses.try_send(&process(2), now));
}

#[test]
fn ends_with_lifetime() {
    let now = time::Instant::now();
    let mut pauses = pauses::Pauses::default();
    pauses.record(&process(1), 2 * SECOND, RETURN, now);
    assert_eq!(pauses.closed(&process(2), now), None);
    assert!(pauses.try_send(&process(2), now));
    assert!(!pauses.try_send(&process(1), now));
}

// A server gets the share of one entry until it has answered, or the answers are overdue.
#[test]
fn share_until_answered() {
    let now = time::Instant::now();
    let returning = pauses::Return { entries: 4, ..RETURN };
    assert_eq!(returning.share(), 3);
    let mut pauses = pauses::Pauses::default();
    pauses.record(&process(1), SECOND, returning, now);
    // An answer to a request from before the pause.
    assert!(!pauses.answered(&process(1), now + SECOND / 2));
    assert!(!pauses.answered(&process(1), now + SECOND));
    let end = now + SECOND;
    for _ in 0..3 {
        assert!(pauses.try_send(&process(1), end));
    }
    assert!(!pauses.try_send(&process(1), end));
    assert_eq!(pauses.closed(&process(1), end), closed(end, end + pauses::TRIAL_TIMEOUT));
    assert!(pauses.try_send(&process(1), end + pauses::TRIAL_TIMEOUT));
    assert!(pauses.answered(&process(1), end + pauses::TRIAL_TIMEOUT));
    for _ in 0..20 {
        assert!(pauses.try_send(&process(1), end + pauses::TRIAL_TIMEOUT));
    }
    pauses.expire(end + pauses::TRIAL_TIMEOUT);
    assert!(pauses.is_empty());
}

// A server without requests is not remembered for ever.
#[test]
fn forgotten_without_requests() {
    let now = time::Instant::now();
    let mut pauses = pauses::Pauses::default();
    pauses.record(&process(1), SECOND, RETURN, now);
    assert_eq!(pauses.expire(now + SECOND).len(), 1);
    assert!(!pauses.is_empty());
    pauses.expire(now + 20 * SECOND);
    assert!(pauses.is_empty());
}

#[test]
fn entries_spread() {
    let single = pauses::Return { entries: 1, draw: 1.0, ..RETURN };
    let large = pauses::Return { entries: 103, draw: 1.0, ..RETURN };
    let unknown = pauses::Return { entries: u32::MAX, draw: 0.5, ..RETURN };
    assert_eq!((single.delay(), single.share()), (pauses::RETURN_STEP, 12));
    assert_eq!((large.delay(), large.share()), (pauses::MAX_RETURN, 1));
    assert_eq!((unknown.delay(), unknown.share()), (pauses::MAX_RETURN / 2, 1));
}

#[test]
fn paused_not_chosen() {
    let now = time::Instant::now();
    let mut pool = pool::Pool::new("zone-1".into());
    for name in ["s-0", "s-1", "s-2"] {
        pool.add(name, "zone-1");
        pool.update_load(name, load::Load { slots: 6, held: 3, ..load::Load::default() }, now);
    }
    pool.set_paused("s-0", closed(now, now + SECOND));
    pool.record_outcome("s-1", pool::ServerOutcome::Failure(outcome::Reason::NoServer), now);
    assert_eq!(pool.candidates(&[], |_| true, now), ["s-2"]);
    // An ejected one that is not paused is better than none.
    pool.set_leaving("s-2", true);
    assert_eq!(pool.candidates(&[], |_| true, now), ["s-1"]);
    assert_eq!(pool.paused(now), None);
    pool.set_paused("s-1", closed(now, now + 2 * SECOND));
    assert!(pool.candidates(&[], |_| true, now).is_empty());
    assert_eq!(pool.paused(now), closed(now, now + SECOND));
    let paused = pool.get("s-0").unwrap();
    assert_eq!((paused.load.held, paused.ejected_until, paused.failures), (3, None, 0));
    assert_eq!(pool.candidates(&[], |_| true, now + SECOND), ["s-0"]);
    assert_eq!(pool.paused(now + SECOND), None);
}

#[test]
fn paused_engine_skipped() {
    let now = time::Instant::now();
    let mut engines = engines::Engines::default();
    for (id, stage) in [("d-0", fleet::Stage::Decode), ("p-0", fleet::Stage::Prefill)] {
        let instance = fleet::Instance {
            service: "models".into(),
            address: ([10, 0, 0, 1], 80).into(),
            zone: "hall-a".into(),
            slots: 6,
            stage: Some(stage),
            leaving: false,
            software: "v1".into(),
            started_ms: None,
            sequence: 1,
        };
        engines.set(id, &instance, 6, 20_000);
    }
    let need = engine::Need { prompt: 1_000, output: 100 };
    let position = |run| engines::Position {
        urgency: urgency::Urgency::default(),
        overdue: false,
        arrived: now,
        run,
    };
    assert!(engines.reserve(position(1), need, |_| true, 0, now).is_some());
    let planned = engines.candidates(now).len();
    for id in ["d-0", "p-0"] {
        engines.set_paused(id, closed(now, now + SECOND));
    }
    assert_eq!(engines.reserve(position(2), need, |_| true, 0, now), None);
    assert_eq!(engines.pick_prefill(1_000, "hall-a", |_| true, |_| 0, 0, now), None);
    assert_eq!(engines.shortest_prefill(1_000, None, |_| 0, now), None);
    assert_eq!(engines.paused(fleet::Stage::Decode, now), closed(now, now + SECOND));
    // The planner counts it, and gives it no order.
    let candidates = engines.candidates(now);
    assert_eq!(candidates.len(), planned);
    assert!(candidates.iter().all(|candidate| candidate.is_fixed));
    // What was committed to it is still known.
    assert!(engines.estimate("d-0", now).unwrap().fill > 0);
    let later = now + SECOND;
    assert!(engines.reserve(position(2), need, |_| true, 0, later).is_some());
    assert_eq!(engines.paused(fleet::Stage::Decode, later), None);
}

const ENTRIES: usize = 103;
const SERVERS: usize = 5;
const SLOTS: u32 = 6;
/// Requests that a server queues beyond its slots.
const QUEUE: usize = 6;
/// Time that a server needs for a request.
const SERVICE: time::Duration = time::Duration::from_millis(50);
/// Time that a message takes.
const HOP: time::Duration = time::Duration::from_millis(1);
/// New requests per second: half of what the servers can answer.
const RATE: f64 = 300.0;
/// Time after an answer with a pause in which requests may still arrive.
const GRACE: time::Duration = time::Duration::from_millis(500);
/// Requests of one entry that may arrive in one pause.
const MAX_LATE: u32 = 2;

struct Entry {
    pool: pool::Pool,
    pauses: pauses::Pauses,
}

#[derive(Default)]
struct Server {
    // Ends of the requests that run.
    running: Vec<(time::Instant, Request)>,
    queue: collections::VecDeque<Request>,
    // Pause of each entry: when it was told, and the end.
    told: collections::BTreeMap<usize, (time::Instant, time::Instant)>,
    late: collections::BTreeMap<usize, u32>,
    arrivals: Vec<time::Instant>,
    // Slot time used, by seconds of the trial.
    used: collections::BTreeMap<u64, time::Duration>,
}

#[derive(Clone, Copy)]
enum Message {
    Request,
    Answer(load::Load),
    Shed,
    Pause(time::Duration),
}

/// Attempts of a request after the first.
const MAX_RETRIES: u32 = 2;

// A request at a server, with its entry and the number of its attempt.
#[derive(Clone, Copy)]
struct Request {
    entry: usize,
    attempt: u32,
}

struct Trial {
    now: time::Instant,
    start: time::Instant,
    random: rngs::SmallRng,
    entries: Vec<Entry>,
    servers: Vec<Server>,
    // Messages by time of arrival and number, with entry and server.
    messages: collections::BTreeMap<(time::Instant, u64), (Request, usize, Message)>,
    // Requests that come back, by time and number.
    returning: collections::BTreeSet<(time::Instant, u64)>,
    count: u64,
    shed: u64,
    answered: u64,
}

impl Trial {
    fn new(seed: u64) -> Trial {
        let start = time::Instant::now();
        let entry = |_| {
            let mut pool = pool::Pool::new("zone-1".into());
            for server in 0..SERVERS {
                pool.add(&format!("s-{server}"), "zone-1");
                let idle = load::Load { slots: SLOTS, ..load::Load::default() };
                pool.update_load(&format!("s-{server}"), idle, start);
            }
            Entry { pool, pauses: pauses::Pauses::default() }
        };
        Trial {
            now: start,
            start,
            random: rand::SeedableRng::seed_from_u64(seed),
            entries: (0..ENTRIES).map(entry).collect(),
            servers: (0..SERVERS).map(|_| Server::default()).collect(),
            messages: collections::BTreeMap::new(),
            returning: collections::BTreeSet::new(),
            count: 0,
            shed: 0,
            answered: 0,
        }
    }

    // Plays `duration`; `paused_until` tells the end of the pause of a server at a time.
    fn run(
        &mut self,
        duration: time::Duration,
        paused_until: impl Fn(usize, time::Duration) -> Option<time::Duration>,
    ) {
        while self.now < self.start + duration {
            self.now += MILLI;
            let at = self.now - self.start;
            if rand::RngExt::random::<f64>(&mut self.random) < RATE * MILLI.as_secs_f64() {
                self.arrive();
            }
            while self.returning.first().is_some_and(|(at, _)| *at <= self.now) {
                self.returning.pop_first();
                self.arrive();
            }
            while let Some(((at, _), (request, server, message))) = self.messages.pop_first() {
                if at > self.now {
                    self.count += 1;
                    self.messages.insert((at, self.count), (request, server, message));
                    break;
                }
                let end = paused_until(server, self.now - self.start);
                self.deliver(request, server, message, end.map(|end| self.start + end));
            }
            for server in 0..SERVERS {
                self.work(server, at);
            }
        }
    }

    // A request of a caller reaches a random entry.
    fn arrive(&mut self) {
        let entry = rand::RngExt::random_range(&mut self.random, 0..ENTRIES);
        self.send(Request { entry, attempt: 0 });
    }

    fn send(&mut self, request: Request) {
        let (now, random) = (self.now, &mut self.random);
        let entry = &mut self.entries[request.entry];
        entry.pauses.expire(now);
        let draw = rand::RngExt::random(random);
        let criteria = pool::Criteria { tried: &[], affinity: None, random: draw, by_work: false };
        let Some(name) = entry.pool.pick(criteria, now) else {
            let closed = entry.pool.paused(now).expect("only pauses prevent a choice");
            let delay = pauses::retry_delay(closed, rand::RngExt::random(random), now);
            self.come_back(delay);
            return;
        };
        let process = (name.clone(), None);
        assert!(entry.pauses.try_send(&process, now), "a closed server was chosen");
        entry.pool.set_paused(&name, entry.pauses.closed(&process, now));
        entry.pool.record_sent(&name, time::Duration::ZERO);
        let server = name.trim_start_matches("s-").parse().unwrap();
        self.post(request, server, Message::Request);
    }

    fn come_back(&mut self, delay: time::Duration) {
        self.count += 1;
        self.returning.insert((self.now + delay, self.count));
    }

    fn post(&mut self, request: Request, server: usize, message: Message) {
        self.count += 1;
        self.messages.insert((self.now + HOP, self.count), (request, server, message));
    }

    fn deliver(
        &mut self,
        request: Request,
        server: usize,
        message: Message,
        paused_until: Option<time::Instant>,
    ) {
        let (now, number) = (self.now, request.entry);
        if matches!(message, Message::Request) {
            let state = &mut self.servers[server];
            state.arrivals.push(now);
            if state.told.get(&number).is_some_and(|(at, end)| now > *at + GRACE && now < *end) {
                *state.late.entry(number).or_default() += 1;
            }
            if let Some(end) = paused_until {
                state.told.insert(number, (now, end));
                return self.post(request, server, Message::Pause(end - now));
            }
            if state.queue.len() >= QUEUE {
                self.shed += 1;
                return self.post(request, server, Message::Shed);
            }
            state.queue.push_back(request);
            return;
        }
        let (name, entry) = (format!("s-{server}"), &mut self.entries[number]);
        let process = (name.clone(), None);
        match message {
            Message::Pause(length) => {
                let draw = rand::RngExt::random(&mut self.random);
                let returning = pauses::Return { slots: SLOTS, entries: ENTRIES as u32, draw };
                entry.pauses.record(&process, length, returning, now);
            }
            Message::Answer(_) => drop(entry.pauses.answered(&process, now)),
            _ => {}
        }
        entry.pool.set_paused(&name, entry.pauses.closed(&process, now));
        match message {
            Message::Answer(load) => {
                self.answered += 1;
                entry.pool.update_load(&name, load, now);
                entry.pool.record_end(&name, pool::ServerOutcome::Success, now);
            }
            _ => {
                let refused = pool::ServerOutcome::Failure(outcome::Reason::NoRoom);
                entry.pool.record_end(&name, refused, now);
                if request.attempt < MAX_RETRIES {
                    self.send(Request { attempt: request.attempt + 1, ..request });
                } else {
                    self.come_back(outcome::RETRY_SOON);
                }
            }
        }
    }

    fn work(&mut self, server: usize, at: time::Duration) {
        let now = self.now;
        let state = &mut self.servers[server];
        *state.used.entry(at.as_secs()).or_default() += MILLI * state.running.len() as u32;
        let (ended, running): (Vec<_>, Vec<_>) =
            state.running.drain(..).partition(|(end, _)| *end <= now);
        state.running = running;
        while state.running.len() < SLOTS as usize
            && let Some(request) = state.queue.pop_front()
        {
            let factor = 0.5 + rand::RngExt::random::<f64>(&mut self.random);
            state.running.push((now + SERVICE.mul_f64(factor), request));
        }
        let load = load::Load {
            slots: SLOTS,
            held: state.running.len() as u32,
            waiting: state.queue.len() as u32,
            ..load::Load::default()
        };
        for (_, request) in ended {
            self.post(request, server, Message::Answer(load));
        }
    }

    // Requests that arrived at a server from `from` on, for `length`.
    fn arrivals(&self, server: usize, from: time::Duration, length: time::Duration) -> usize {
        let from = self.start + from;
        let arrivals = self.servers[server].arrivals.iter();
        arrivals.filter(|at| **at >= from && **at < from + length).count()
    }

    fn check_late(&self) {
        for (number, server) in self.servers.iter().enumerate() {
            let worst = server.late.values().max().copied().unwrap_or(0);
            assert!(worst <= MAX_LATE, "{worst} late requests of one entry at server {number}");
        }
    }

    // Checks that a server gets no more after its pause than it can run and queue.
    fn check_return(&self, server: usize, end: time::Duration) {
        // Those that are sent before the server has answered.
        let first = self.arrivals(server, end, 2 * SERVICE);
        let rounds = 2 * SLOTS as usize;
        assert!(first <= rounds + QUEUE, "{first} requests at once at server {server}");
        let arrivals = self.arrivals(server, end, SECOND);
        let capacity = (SECOND.as_secs_f64() / SERVICE.as_secs_f64()) as usize * SLOTS as usize;
        assert!(arrivals <= capacity + QUEUE, "{arrivals} requests at server {server}");
    }
}

// Every entry has many requests that wait for the end of the pause of one server, which answers none
// at first. Together they send it no more than it can run and queue.
#[test]
fn waiting_requests() {
    let sizes = [1, 2, 5, 12, 24, 48, 103];
    for (seed, entries) in (0..20).flat_map(|seed| sizes.map(|entries| (seed, entries))) {
        let mut random: rngs::SmallRng = rand::SeedableRng::seed_from_u64(seed);
        let now = time::Instant::now();
        let mut fleet: Vec<_> = (0..entries).map(|_| pauses::Pauses::default()).collect();
        for pauses in &mut fleet {
            let draw = rand::RngExt::random(&mut random);
            let returning = pauses::Return { slots: SLOTS, entries, draw };
            pauses.record(&process(1), SECOND, returning, now);
        }
        let mut arrivals = Vec::new();
        for at in (0..999).map(|milli| now + SECOND + milli * MILLI) {
            for pauses in &mut fleet {
                while pauses.try_send(&process(1), at) {
                    arrivals.push(at);
                    assert!(arrivals.len() < 1_000, "{entries} entries send without limit");
                }
            }
        }
        let rounds = 2 * SLOTS as usize;
        for first in &arrivals {
            let count = arrivals.iter().filter(|at| **at >= *first && **at < *first + 2 * SERVICE);
            let count = count.count();
            assert!(count <= rounds + QUEUE, "{count} requests at once from {entries} entries");
        }
        assert!(arrivals.len() >= SLOTS as usize, "{} from {entries} entries", arrivals.len());
    }
}

// Each server pauses for 2 s in turn; the others serve meanwhile, and each is busy between its
// pauses.
#[test]
fn large_fleet_in_turn() {
    const PAUSE: u64 = 2;
    for seed in 0..5 {
        let mut trial = Trial::new(seed);
        let turns = 2 * SERVERS as u64;
        let paused_until = |server: usize, at: time::Duration| {
            // The first two seconds have no pause.
            let turn = at.as_secs().checked_sub(2)? / PAUSE;
            (turn % SERVERS as u64 == server as u64)
                .then(|| SECOND * (2 + (turn + 1) * PAUSE) as u32)
        };
        trial.run(SECOND * (2 + turns * PAUSE) as u32, paused_until);
        trial.check_late();
        for turn in 0..turns - 1 {
            let (server, end) = ((turn % SERVERS as u64) as usize, 2 + (turn + 1) * PAUSE);
            trial.check_return(server, SECOND * end as u32);
            // From the second after the return on until its next pause, or the end.
            let next = (end + (SERVERS as u64 - 1) * PAUSE).min(2 + turns * PAUSE);
            let busy: Vec<_> = (end + 1..next).map(|at| trial.servers[server].used[&at]).collect();
            let share = SERVICE.mul_f64(RATE / SERVERS as f64);
            let mean = busy.iter().sum::<time::Duration>() / busy.len().max(1) as u32;
            // The share of one of all servers, less a quarter for chance.
            assert!(
                busy.is_empty() || mean >= share.mul_f64(0.75),
                "server {server} used {mean:?} of {share:?} a second after {end} s"
            );
        }
        let sent =
            trial.answered as f64 / (RATE * trial.now.duration_since(trial.start).as_secs_f64());
        assert!(sent > 0.9, "{sent} of the requests were answered, {} shed", trial.shed);
    }
}

// All servers pause for 2 s at once. Callers come back over a time, and the servers get no more than
// they can run and queue.
#[test]
fn large_fleet_at_once() {
    for seed in 0..5 {
        let mut trial = Trial::new(seed);
        let paused_until =
            |_: usize, at: time::Duration| (2..4).contains(&at.as_secs()).then_some(4 * SECOND);
        trial.run(10 * SECOND, paused_until);
        trial.check_late();
        for server in 0..SERVERS {
            trial.check_return(server, 4 * SECOND);
        }
        let used: time::Duration = trial.servers.iter().map(|server| server.used[&5]).sum();
        let share = SERVICE.mul_f64(RATE);
        assert!(used >= share.mul_f64(0.75), "{used:?} of {share:?} used");
        let sent = trial.answered as f64 / (RATE * 10.0);
        assert!(sent > 0.9, "{sent} of the requests were answered, {} shed", trial.shed);
    }
}
