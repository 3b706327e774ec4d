//! What goes wrong in a soak, and when; a seed always draws the same plan.

use std::time;

use rand::{RngExt, SeedableRng, rngs};

use rhubarb_e2e::standin;
use rhubarb_fakes::{backend, store};

/// One change from outside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Kills an entry.
    Kill(usize),
    /// Starts an entry again that was killed or told to stop.
    Start(usize),
    /// Freezes an entry.
    Freeze(usize),
    /// Lets a frozen entry go on.
    Resume(usize),
    /// Tells an entry to stop.
    Stop(usize),
    /// Tells an entry to read its settings again.
    Reload(usize),
    /// Changes how the store behaves.
    Store(store::Mode),
    /// Drops the store's history.
    Compact,
    /// Changes what goes wrong at a server.
    ServerFault(usize, backend::Fault),
    /// Holds back what passes to and from a server, or lets it pass again.
    HoldTraffic(usize, bool),
    /// Closes all connections to a server.
    CloseConnections(usize),
    /// Makes open connections to a server silent for good.
    Blackhole(usize),
    /// Puts the next version of the config in the store.
    Config,
    /// Says in the store that a server is leaving, or is ready again.
    Drain(usize, bool),
    /// Drops a server's entry in the store.
    Expire(usize),
    /// Writes bytes in a server's place that are no entry.
    Corrupt(usize),
    /// Starts a server again under its id.
    RestartServer(usize),
    /// Moves a server to a new address; its old one is silent.
    MoveServer(usize),
}

/// A change and its moment after the start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// Time since the start.
    pub at: time::Duration,
    /// What is changed.
    pub change: Change,
}

/// Everything that is done in one soak.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed of the plan.
    pub seed: u64,
    /// Time in which faults begin.
    pub length: time::Duration,
    /// Sizes of the deployment.
    pub sizes: standin::Sizes,
    /// Callers that send requests one after another.
    pub callers: usize,
    /// Changes in their order.
    pub steps: Vec<Step>,
}

/// Time between the beginnings of two faults, in milliseconds.
const GAP: std::ops::Range<u64> = 100..900;
/// Time for which a fault lasts, in milliseconds.
const SPAN: std::ops::Range<u64> = 100..2_500;
/// An entry that is told to stop may take its grace of 8 s.
const STOP_SPAN: time::Duration = time::Duration::from_secs(9);
const STORE_MODES: [store::Mode; 4] =
    [store::Mode::Busy, store::Mode::Unresponsive, store::Mode::LostReplies, store::Mode::Slow];
const SERVER_FAULTS: [backend::Fault; 14] = [
    backend::Fault::Sheds,
    backend::Fault::Fails,
    backend::Fault::Hangs,
    backend::Fault::Resets,
    backend::Fault::OtherId,
    backend::Fault::Moved,
    backend::Fault::AbortsStream,
    backend::Fault::TruncatesStream,
    backend::Fault::Stalls,
    backend::Fault::Pauses,
    backend::Fault::SkipsEvent,
    backend::Fault::StartsOver,
    backend::Fault::Full,
    backend::Fault::EvictsResults,
];

struct Draw {
    random: rngs::StdRng,
    edges: usize,
    servers: usize,
    // Since an entry has one fault at a time.
    edge_free: Vec<time::Duration>,
    steps: Vec<Step>,
}

impl Plan {
    /// Draws the plan of `seed`, whose faults begin within `length`.
    pub fn draw(seed: u64, length: time::Duration) -> Plan {
        let mut random = rngs::StdRng::seed_from_u64(seed);
        let sizes = standin::Sizes {
            edges: random.random_range(2..5),
            plain: random.random_range(2..5),
            prefill: random.random_range(1..4),
            decode: random.random_range(2..5),
            relays: true,
        };
        let callers = random.random_range(6..25);
        let servers = sizes.plain + sizes.prefill + sizes.decode;
        let edge_free = vec![time::Duration::ZERO; sizes.edges];
        let mut draw = Draw { random, edges: sizes.edges, servers, edge_free, steps: Vec::new() };
        let mut at = time::Duration::ZERO;
        loop {
            at += draw.millis(GAP);
            if at >= length {
                break;
            }
            draw.fault(at);
        }
        draw.steps.sort_by_key(|step| step.at);
        Plan { seed, length, sizes, callers, steps: draw.steps }
    }
}

impl Draw {
    fn millis(&mut self, range: std::ops::Range<u64>) -> time::Duration {
        time::Duration::from_millis(self.random.random_range(range))
    }

    fn pick<T: Copy>(&mut self, all: &[T]) -> T {
        all[self.random.random_range(0..all.len())]
    }

    fn push(&mut self, at: time::Duration, change: Change) {
        self.steps.push(Step { at, change });
    }

    fn fault(&mut self, at: time::Duration) {
        let until = at + self.millis(SPAN);
        let server = self.random.random_range(0..self.servers);
        match self.random.random_range(0..15) {
            0..=2 => self.edge_fault(at, until),
            3 => {
                let mode = self.pick(&STORE_MODES);
                self.push(at, Change::Store(mode));
                self.push(until, Change::Store(store::Mode::Up));
            }
            4 => self.push(at, Change::Compact),
            5 | 6 => {
                let fault = self.pick(&SERVER_FAULTS);
                self.push(at, Change::ServerFault(server, fault));
                self.push(until, Change::ServerFault(server, backend::Fault::None));
            }
            7 => {
                self.push(at, Change::HoldTraffic(server, true));
                self.push(until, Change::HoldTraffic(server, false));
            }
            8 => self.push(at, Change::CloseConnections(server)),
            9 => self.push(at, Change::Blackhole(server)),
            10 => self.push(at, Change::Config),
            11 => self.push(at, Change::RestartServer(server)),
            12 => self.push(at, Change::MoveServer(server)),
            13 => self.all_killed(at, until),
            _ => {
                let change = self.pick(&[
                    Change::Drain(server, true),
                    Change::Expire(server),
                    Change::Corrupt(server),
                ]);
                self.push(at, change);
                self.push(until, Change::Drain(server, false));
            }
        }
    }

    fn all_killed(&mut self, at: time::Duration, until: time::Duration) {
        if self.edge_free.iter().any(|free| *free > at) {
            return;
        }
        for edge in 0..self.edges {
            self.push(at, Change::Kill(edge));
            self.push(until, Change::Start(edge));
            self.edge_free[edge] = until;
        }
    }

    fn edge_fault(&mut self, at: time::Duration, until: time::Duration) {
        let edge = self.random.random_range(0..self.edges);
        if self.edge_free[edge] > at {
            return;
        }
        let (begin, end, until) = match self.random.random_range(0..4) {
            0 => (Change::Kill(edge), Change::Start(edge), until),
            1 => (Change::Freeze(edge), Change::Resume(edge), until),
            2 => (Change::Stop(edge), Change::Start(edge), at + STOP_SPAN),
            _ => (Change::Reload(edge), Change::Reload(edge), until),
        };
        self.push(at, begin);
        self.push(until, end);
        self.edge_free[edge] = until;
    }
}
