//! At most one run of an idempotency key, whatever fails, against the real gate and members.

mod random;

use std::{collections, time};

use proptest::prelude::*;

use rhubarb_core::{gate, handover, ids, outcome, owner};

const WINDOW: time::Duration = time::Duration::from_secs(100);
const DEADLINE: time::Duration = time::Duration::from_secs(20);
/// Every process that is not paused reads the instance list at least this often.
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
    StopInOrder(usize),
    Pause(usize),
    Resume(usize),
    DropFromList(usize),
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
        2 => server().prop_map(Op::StopInOrder),
        2 => server().prop_map(Op::Pause),
        3 => server().prop_map(Op::Resume),
        2 => server().prop_map(Op::DropFromList),
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
struct Mail {
    server: usize,
    incarnation: u64,
    offer: gate::Offer,
}

struct World {
    now: time::Instant,
    servers: Vec<Server>,
    listed: [bool; 3],
    entries: Vec<owner::Members>,
    mail: Vec<Mail>,
    accepted: Vec<Mail>,
    started: Vec<Mail>,
    next_run: u64,
    first: collections::BTreeMap<u128, time::Instant>,
    ran: collections::BTreeMap<u128, time::Instant>,
    not_run: collections::BTreeSet<ids::RunId>,
}

fn limits() -> gate::Limits {
    gate::Limits { window: WINDOW, max_keys: 100, orphan_grace: time::Duration::from_secs(2) }
}

fn names() -> Vec<ids::ServerName> {
    NAMES.iter().map(|name| name.to_string()).collect()
}

impl World {
    fn new() -> World {
        let now = time::Instant::now() + WINDOW * 10;
        let servers = NAMES.iter().map(|name| {
            let mut gate = gate::Gate::new(name.to_string(), limits(), now);
            gate.mark_history_complete();
            Server { gate: Some(gate), incarnation: 0, paused: false, handed_over: None }
        });
        let mut world = World {
            now,
            servers: servers.collect(),
            listed: [true; 3],
            entries: vec![owner::Members::default(); 2],
            mail: Vec::new(),
            accepted: Vec::new(),
            started: Vec::new(),
            next_run: 0,
            first: collections::BTreeMap::new(),
            ran: collections::BTreeMap::new(),
            not_run: collections::BTreeSet::new(),
        };
        world.refresh();
        world
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
        let first = *self.first.entry(key).or_insert(self.now);
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
        self.mail.push(Mail { server, incarnation, offer });
    }

    // The gate that a message reaches, if its connection and process still live.
    fn gate(&mut self, mail: &Mail) -> Option<&mut gate::Gate> {
        let server = &mut self.servers[mail.server];
        let is_there = server.incarnation == mail.incarnation && !server.paused;
        server.gate.as_mut().filter(|_| is_there)
    }

    fn deliver(&mut self, at: usize) {
        let Some(mail) = take(&mut self.mail, at) else { return };
        let now = self.now;
        let Some(gate) = self.gate(&mail) else {
            // It waits in the socket of a paused process, and is lost with a dead one.
            if self.servers[mail.server].incarnation == mail.incarnation {
                self.mail.push(mail);
            }
            return;
        };
        match gate.offer(mail.offer, now) {
            gate::Decision::Accept => self.accepted.push(mail),
            gate::Decision::Refuse(refusal) if refusal.outcome == outcome::Outcome::NotRun => {
                self.not_run.insert(mail.offer.run);
            }
            gate::Decision::Refuse(_) | gate::Decision::Answered(_) | gate::Decision::Duplicate => {
            }
        }
    }

    fn start(&mut self, at: usize) -> Result<(), String> {
        let Some(mail) = take(&mut self.accepted, at) else { return Ok(()) };
        let now = self.now;
        let Some(gate) = self.gate(&mail) else {
            if self.servers[mail.server].incarnation == mail.incarnation {
                self.accepted.push(mail);
            }
            return Ok(());
        };
        if let Err(refusal) = gate.start(mail.offer.run, now) {
            if refusal.outcome == outcome::Outcome::NotRun {
                self.not_run.insert(mail.offer.run);
            }
            return Ok(());
        }
        if self.not_run.contains(&mail.offer.run) {
            return Err(format!("run {:x} started after «not run»", mail.offer.run));
        }
        let key = mail.offer.key.unwrap();
        if let Some(before) = self.ran.insert(key, now) {
            return Err(format!("key {key} ran twice, {:?} apart", now - before));
        }
        self.started.push(mail);
        Ok(())
    }

    fn finish(&mut self, at: usize) {
        let Some(mail) = take(&mut self.started, at) else { return };
        let now = self.now;
        if let Some(gate) = self.gate(&mail) {
            gate.finish(mail.offer.run, true, now);
        }
    }

    // An entry gave up on a run and settles it, before or after the agent got it.
    fn withdraw(&mut self, at: usize) {
        let all: Vec<_> = self.mail.iter().chain(&self.accepted).copied().collect();
        let Some(mail) = all.get(at % all.len().max(1)).copied() else { return };
        let now = self.now;
        if let Some(gate) = self.gate(&mail)
            && gate.withdraw(mail.offer.run, now) == gate::Withdrawal::NotRun
        {
            self.not_run.insert(mail.offer.run);
        }
    }

    fn crash(&mut self, at: usize) {
        let server = &mut self.servers[at];
        if !server.paused {
            server.gate = None;
            server.incarnation += 1;
        }
    }

    // A stop in order waits until nothing runs, and leaves the key records.
    fn stop_in_order(&mut self, at: usize) {
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

    // The platform drops only instances that have died or do not move.
    fn drop_from_list(&mut self, at: usize) {
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
            Op::StopInOrder(at) => self.stop_in_order(at),
            Op::Pause(at) => self.servers[at].paused = true,
            Op::Resume(at) => {
                self.servers[at].paused = false;
                self.refresh();
            }
            Op::DropFromList(at) => self.drop_from_list(at),
            Op::Advance(seconds) => self.advance(time::Duration::from_secs(seconds)),
        }
        Ok(())
    }
}

fn take(mails: &mut Vec<Mail>, at: usize) -> Option<Mail> {
    let count = mails.len();
    (count > 0).then(|| mails.remove(at % count))
}

proptest! {
    #![proptest_config(random::config(1500))]

    #[test]
    fn random_faults(ops in prop::collection::vec(op(), 50..250)) {
        let mut world = World::new();
        for op in &ops {
            if let Err(what) = world.apply(op) {
                prop_assert!(false, "{}", what);
            }
        }
    }
}

#[test]
fn runs_happen() {
    let mut world = World::new();
    for key in 0..KEYS {
        world.call(0, key);
        world.deliver(0);
        world.start(0).unwrap();
    }
    assert_eq!(world.ran.len(), KEYS as usize, "without faults every key runs");
}

#[test]
fn others_go_on() {
    let mut world = World::new();
    let dead = 1;
    world.crash(dead);
    world.restart(dead);
    let members = world.entries[0].clone();
    let is_dead = |key: &u128| members.owner(*key).unwrap() == NAMES[dead];
    for key in 0..KEYS {
        world.call(0, key);
        world.deliver(0);
        world.start(0).unwrap();
    }
    let expected: Vec<_> = (0..KEYS).filter(|key| !is_dead(key)).collect();
    let ran: Vec<_> = world.ran.keys().copied().collect();
    assert_eq!(ran, expected, "only keys of the server that lost its memory wait");
    world.advance(WINDOW + REFRESH);
    let fresh = (100..).find(|key| is_dead(key)).unwrap();
    world.call(0, fresh);
    world.deliver(0);
    world.start(0).unwrap();
    assert!(world.ran.contains_key(&fresh), "new keys run again after the window");
}
