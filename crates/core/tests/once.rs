//! At-most-once execution of idempotency keys under random faults: crashes, restarts, pauses, lost
//! messages and a lagging instance list, simulated around the real `Gate` and `Members`.

mod random;

use std::{collections, time};

use proptest::prelude::*;

use rhubarb_core::{gate, handover, ids, outcome, owner};

const WINDOW: time::Duration = time::Duration::from_secs(100);
const DEADLINE: time::Duration = time::Duration::from_secs(20);
/// Longest interval between two reads of the instance list by a process that is not paused.
const REFRESH: time::Duration = time::Duration::from_secs(5);
const NAMES: [&str; 3] = ["yard-1", "yard-2", "yard-3"];
const KEYS: u128 = 6;

#[derive(Clone, Debug)]
enum Op {
    Call { entry: usize, key: u128 },
    Deliver(usize),
    Start(usize),
    Finish(usize),
    Withdraw(usize),
    Crash(usize),
    Restart(usize),
    Shutdown(usize),
    Pause(usize),
    Resume(usize),
    Unlist(usize),
    Advance(u64),
}

fn op() -> impl Strategy<Value = Op> {
    let server = || 0..NAMES.len();
    let any = || 0..64usize;
    prop_oneof![
        8 => (0..2usize, 0..KEYS).prop_map(|(entry, key)| Op::Call { entry, key }),
        8 => any().prop_map(Op::Deliver),
        8 => any().prop_map(Op::Start),
        4 => any().prop_map(Op::Finish),
        2 => any().prop_map(Op::Withdraw),
        2 => server().prop_map(Op::Crash),
        3 => server().prop_map(Op::Restart),
        2 => server().prop_map(Op::Shutdown),
        2 => server().prop_map(Op::Pause),
        3 => server().prop_map(Op::Resume),
        2 => server().prop_map(Op::Unlist),
        6 => (1..4u64).prop_map(Op::Advance),
        1 => (5..130u64).prop_map(Op::Advance),
    ]
}

struct Server {
    gate: Option<gate::Gate>,
    incarnation: u64,
    paused: bool,
    handed_over: Option<(handover::Handover, time::Instant)>,
}

#[derive(Clone, Copy)]
struct Message {
    server: usize,
    incarnation: u64,
    offer: gate::Offer,
}

struct Simulation {
    now: time::Instant,
    servers: Vec<Server>,
    listed: [bool; 3],
    entries: Vec<owner::Members>,
    in_transit: Vec<Message>,
    accepted: Vec<Message>,
    started: Vec<Message>,
    next_run: u64,
    first_calls: collections::BTreeMap<u128, time::Instant>,
    ran: collections::BTreeMap<u128, time::Instant>,
    not_run: collections::BTreeSet<ids::RunId>,
}

fn limits() -> gate::Limits {
    gate::Limits { window: WINDOW, max_keys: 100, orphan_grace: time::Duration::from_secs(2) }
}

fn names() -> Vec<ids::ServerName> {
    NAMES.iter().map(|name| name.to_string()).collect()
}

impl Simulation {
    fn new() -> Simulation {
        let now = time::Instant::now() + WINDOW * 10;
        let servers = NAMES.iter().map(|name| {
            let mut gate = gate::Gate::new(name.to_string(), limits(), now);
            gate.mark_history_complete();
            Server { gate: Some(gate), incarnation: 0, paused: false, handed_over: None }
        });
        let mut simulation = Simulation {
            now,
            servers: servers.collect(),
            listed: [true; 3],
            entries: vec![owner::Members::default(); 2],
            in_transit: Vec::new(),
            accepted: Vec::new(),
            started: Vec::new(),
            next_run: 0,
            first_calls: collections::BTreeMap::new(),
            ran: collections::BTreeMap::new(),
            not_run: collections::BTreeSet::new(),
        };
        simulation.refresh();
        simulation
    }

    fn refresh(&mut self) {
        let listed = self.listed;
        let gone = |name: &str| {
            let at = NAMES.iter().position(|other| *other == name);
            !at.is_some_and(|at| listed[at])
        };
        for members in &mut self.entries {
            members.observe(&names(), gone, self.now);
            members.forget(&names(), WINDOW, self.now);
        }
        for server in self.servers.iter_mut().filter(|server| !server.paused) {
            if let Some(gate) = &mut server.gate {
                gate.tick(self.now);
                gate.observe(&names(), gone, self.now);
                while gate.next_expired(self.now).is_some() {}
            }
        }
    }

    fn advance(&mut self, by: time::Duration) {
        let end = self.now + by;
        while self.now < end {
            self.now = end.min(self.now + REFRESH);
            self.refresh();
        }
    }

    fn call(&mut self, entry: usize, key: u128) {
        let first = *self.first_calls.entry(key).or_insert(self.now);
        // Callers repeat a key only within the window.
        if self.now + DEADLINE > first + WINDOW {
            return;
        }
        let Some(owner) = self.entries[entry].owner(key) else { return };
        let server = NAMES.iter().position(|name| name == owner).unwrap();
        self.next_run += 1;
        let run = ids::run_id(entry as u64, self.next_run);
        let start_by = self.now + DEADLINE;
        let offer = gate::Offer { run, key: Some(key), start_by, cancellable: false };
        let incarnation = self.servers[server].incarnation;
        self.in_transit.push(Message { server, incarnation, offer });
    }

    // The gate that a message reaches; `None` if its process is paused or has restarted since.
    fn gate(&mut self, message: &Message) -> Option<&mut gate::Gate> {
        let server = &mut self.servers[message.server];
        let is_reachable = server.incarnation == message.incarnation && !server.paused;
        server.gate.as_mut().filter(|_| is_reachable)
    }

    fn deliver(&mut self, at: usize) {
        let Some(message) = remove_at(&mut self.in_transit, at) else { return };
        let now = self.now;
        let Some(gate) = self.gate(&message) else {
            // The message stays in the socket of a paused process and is lost with a crashed one.
            if self.servers[message.server].incarnation == message.incarnation {
                self.in_transit.push(message);
            }
            return;
        };
        match gate.offer(message.offer, now) {
            gate::Decision::Accept => self.accepted.push(message),
            gate::Decision::Refuse(refusal) if refusal.outcome == outcome::Outcome::NotRun => {
                self.not_run.insert(message.offer.run);
            }
            gate::Decision::Refuse(_) | gate::Decision::Answered(_) | gate::Decision::Duplicate => {
            }
        }
    }

    fn start(&mut self, at: usize) -> Result<(), String> {
        let Some(message) = remove_at(&mut self.accepted, at) else { return Ok(()) };
        let now = self.now;
        let Some(gate) = self.gate(&message) else {
            if self.servers[message.server].incarnation == message.incarnation {
                self.accepted.push(message);
            }
            return Ok(());
        };
        if let Err(refusal) = gate.start(message.offer.run, now) {
            if refusal.outcome == outcome::Outcome::NotRun {
                self.not_run.insert(message.offer.run);
            }
            return Ok(());
        }
        if self.not_run.contains(&message.offer.run) {
            return Err(format!(
                "run {:x} started after it was reported as not run",
                message.offer.run
            ));
        }
        let key = message.offer.key.unwrap();
        if let Some(before) = self.ran.insert(key, now) {
            return Err(format!("key {key} ran twice, {:?} apart", now - before));
        }
        self.started.push(message);
        Ok(())
    }

    fn finish(&mut self, at: usize) {
        let Some(message) = remove_at(&mut self.started, at) else { return };
        let now = self.now;
        if let Some(gate) = self.gate(&message) {
            gate.finish(message.offer.run, true, now);
        }
    }

    // An entry gives up on a run and withdraws it, before or after the agent receives the offer.
    fn withdraw(&mut self, at: usize) {
        let all: Vec<_> = self.in_transit.iter().chain(&self.accepted).copied().collect();
        let Some(message) = all.get(at % all.len().max(1)).copied() else { return };
        let now = self.now;
        if let Some(gate) = self.gate(&message)
            && gate.withdraw(message.offer.run, now) == gate::Withdrawal::NotRun
        {
            self.not_run.insert(message.offer.run);
        }
    }

    fn crash(&mut self, at: usize) {
        let server = &mut self.servers[at];
        if !server.paused {
            server.gate = None;
            server.incarnation += 1;
        }
    }

    // A clean shutdown waits until no run is open and hands over the key records.
    fn shut_down(&mut self, at: usize) {
        let now = self.now;
        let server = &mut self.servers[at];
        let Some(gate) = server.gate.as_mut().filter(|_| !server.paused) else { return };
        gate.leave();
        if gate.open_runs() > 0 {
            return;
        }
        server.handed_over = gate.export(now).map(|handover| (handover, now));
        self.crash(at);
    }

    fn restart(&mut self, at: usize) {
        let now = self.now;
        let server = &mut self.servers[at];
        if server.gate.is_some() {
            return;
        }
        let mut gate = gate::Gate::new(NAMES[at].to_string(), limits(), now);
        if let Some((handover, stopped)) = server.handed_over.take() {
            gate.import(&handover, now - stopped, now);
        }
        server.gate = Some(gate);
        self.listed[at] = true;
        self.refresh();
    }

    // The platform drops only instances that have crashed or are paused.
    fn unlist(&mut self, at: usize) {
        if self.servers[at].gate.is_none() || self.servers[at].paused {
            self.listed[at] = false;
        }
    }

    fn apply(&mut self, op: &Op) -> Result<(), String> {
        match *op {
            Op::Call { entry, key } => self.call(entry, key),
            Op::Deliver(at) => self.deliver(at),
            Op::Start(at) => return self.start(at),
            Op::Finish(at) => self.finish(at),
            Op::Withdraw(at) => self.withdraw(at),
            Op::Crash(at) => self.crash(at),
            Op::Restart(at) => self.restart(at),
            Op::Shutdown(at) => self.shut_down(at),
            Op::Pause(at) => self.servers[at].paused = true,
            Op::Resume(at) => {
                self.servers[at].paused = false;
                self.refresh();
            }
            Op::Unlist(at) => self.unlist(at),
            Op::Advance(seconds) => self.advance(time::Duration::from_secs(seconds)),
        }
        Ok(())
    }
}

fn remove_at(messages: &mut Vec<Message>, at: usize) -> Option<Message> {
    let count = messages.len();
    (count > 0).then(|| messages.remove(at % count))
}

proptest! {
    #![proptest_config(random::config(1500))]

    #[test]
    fn random_faults(ops in prop::collection::vec(op(), 50..250)) {
        let mut simulation = Simulation::new();
        for op in &ops {
            if let Err(what) = simulation.apply(op) {
                prop_assert!(false, "{}", what);
            }
        }
    }
}

#[test]
fn no_faults() {
    let mut simulation = Simulation::new();
    for key in 0..KEYS {
        simulation.call(0, key);
        simulation.deliver(0);
        simulation.start(0).unwrap();
    }
    assert_eq!(simulation.ran.len(), KEYS as usize, "without faults every key runs");
}

#[test]
fn lost_records() {
    let mut simulation = Simulation::new();
    let crashed = 1;
    simulation.crash(crashed);
    simulation.restart(crashed);
    let members = simulation.entries[0].clone();
    let owned_by_crashed = |key: &u128| members.owner(*key).unwrap() == NAMES[crashed];
    for key in 0..KEYS {
        simulation.call(0, key);
        simulation.deliver(0);
        simulation.start(0).unwrap();
    }
    let expected: Vec<_> = (0..KEYS).filter(|key| !owned_by_crashed(key)).collect();
    let ran: Vec<_> = simulation.ran.keys().copied().collect();
    assert_eq!(ran, expected, "only keys of the server that lost its records are held back");
    simulation.advance(WINDOW + REFRESH);
    let fresh = (100..).find(|key| owned_by_crashed(key)).unwrap();
    simulation.call(0, fresh);
    simulation.deliver(0);
    simulation.start(0).unwrap();
    assert!(simulation.ran.contains_key(&fresh), "new keys run again after the window");
}
