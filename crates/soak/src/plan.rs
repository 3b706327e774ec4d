//! Schedule of the faults in a soak; the same seed always draws the same plan.

use std::time;

use rand::{RngExt, SeedableRng, rngs};

use rhubarb_e2e::site;
use rhubarb_fakes::{backend, store};

/// One change to the deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Kills an entry with SIGKILL.
    Kill(usize),
    /// Restarts an entry that was killed or stopped.
    Start(usize),
    /// Freezes an entry with SIGSTOP.
    Freeze(usize),
    /// Resumes a frozen entry with SIGCONT.
    Resume(usize),
    /// Stops an entry gracefully with SIGTERM.
    Stop(usize),
    /// Makes an entry reload its settings with SIGHUP.
    Reload(usize),
    /// Sets the mode of the store.
    Store(store::Mode),
    /// Discards the change history of the store.
    Compact,
    /// Sets the fault of a server.
    ServerFault(usize, backend::Fault),
    /// Buffers the traffic of a server in both directions, or forwards it again.
    HoldTraffic(usize, bool),
    /// Closes all connections to a server.
    CloseConnections(usize),
    /// Makes open connections to a server forward nothing more; new connections work.
    Blackhole(usize),
    /// Writes the next version of the config to the store.
    Config,
    /// Sets the state of a server in the store to draining, or back to ready.
    Drain(usize, bool),
    /// Deletes the row of a server, as if its registration had expired.
    Expire(usize),
    /// Overwrites the row of a server with malformed JSON.
    Corrupt(usize),
    /// Restarts a server under the same id.
    RestartServer(usize),
    /// Moves a server to a new address; the old one accepts connections and forwards nothing.
    MoveServer(usize),
}

/// A change and its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// Time since the start.
    pub at: time::Duration,
    /// The change.
    pub change: Change,
}

/// Complete plan of one soak.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed of the plan.
    pub seed: u64,
    /// Period in which faults start.
    pub length: time::Duration,
    /// Sizes of the deployment.
    pub sizes: site::Sizes,
    /// Number of concurrent callers.
    pub callers: usize,
    /// Changes in order of time.
    pub steps: Vec<Step>,
}

/// Time from the start of one fault to the next.
const FAULT_INTERVAL_MS: std::ops::Range<u64> = 100..900;
/// Duration of a fault.
const FAULT_DURATION_MS: std::ops::Range<u64> = 100..2_500;
/// Exceeds the grace period of 8 s that an entry has for a graceful stop.
const STOP_DURATION: time::Duration = time::Duration::from_secs(9);
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

struct Generator {
    random: rngs::StdRng,
    edges: usize,
    servers: usize,
    // Time at which the last fault of each entry ends. An entry has one fault at a time; one drawn
    // before that time is skipped.
    free_at: Vec<time::Duration>,
    steps: Vec<Step>,
}

impl Plan {
    /// Draws the plan of `seed`, whose faults start within `length`.
    pub fn draw(seed: u64, length: time::Duration) -> Plan {
        let mut random = rngs::StdRng::seed_from_u64(seed);
        let sizes = site::Sizes {
            edges: random.random_range(2..5),
            plain: random.random_range(2..5),
            prefill: random.random_range(1..4),
            decode: random.random_range(2..5),
            relays: true,
        };
        let callers = random.random_range(6..25);
        let servers = sizes.plain + sizes.prefill + sizes.decode;
        let free_at = vec![time::Duration::ZERO; sizes.edges];
        let mut generator =
            Generator { random, edges: sizes.edges, servers, free_at, steps: Vec::new() };
        let mut at = time::Duration::ZERO;
        loop {
            at += generator.millis(FAULT_INTERVAL_MS);
            if at >= length {
                break;
            }
            generator.draw_fault(at);
        }
        generator.steps.sort_by_key(|step| step.at);
        Plan { seed, length, sizes, callers, steps: generator.steps }
    }
}

impl Generator {
    fn millis(&mut self, range: std::ops::Range<u64>) -> time::Duration {
        time::Duration::from_millis(self.random.random_range(range))
    }

    fn pick<T: Copy>(&mut self, choices: &[T]) -> T {
        choices[self.random.random_range(0..choices.len())]
    }

    fn push(&mut self, at: time::Duration, change: Change) {
        self.steps.push(Step { at, change });
    }

    fn draw_fault(&mut self, at: time::Duration) {
        let until = at + self.millis(FAULT_DURATION_MS);
        let server = self.random.random_range(0..self.servers);
        match self.random.random_range(0..15) {
            0..=2 => self.draw_edge_fault(at, until),
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
            13 => self.kill_all(at, until),
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

    fn kill_all(&mut self, at: time::Duration, until: time::Duration) {
        if self.free_at.iter().any(|free_at| *free_at > at) {
            return;
        }
        for edge in 0..self.edges {
            self.push(at, Change::Kill(edge));
            self.push(until, Change::Start(edge));
            self.free_at[edge] = until;
        }
    }

    fn draw_edge_fault(&mut self, at: time::Duration, until: time::Duration) {
        let edge = self.random.random_range(0..self.edges);
        if self.free_at[edge] > at {
            return;
        }
        let (start, end, until) = match self.random.random_range(0..4) {
            0 => (Change::Kill(edge), Change::Start(edge), until),
            1 => (Change::Freeze(edge), Change::Resume(edge), until),
            2 => (Change::Stop(edge), Change::Start(edge), at + STOP_DURATION),
            _ => (Change::Reload(edge), Change::Reload(edge), until),
        };
        self.push(at, start);
        self.push(until, end);
        self.free_at[edge] = until;
    }
}
