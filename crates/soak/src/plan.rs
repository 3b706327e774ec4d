//! Schedule of the faults in a soak; the same seed always draws the same plan.

use std::time;

use rand::{RngExt, SeedableRng, rngs};

use rhubarb_e2e::site;
use rhubarb_fakes::{backend, pace, store};

/// One change to the deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Kills an entry with SIGKILL.
    Kill(usize),
    /// Starts an entry that was killed or stopped, as soon as its process has ended.
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
    /// Makes the open connections of all entries to the store forward nothing more; new ones work.
    SilenceStore,
    /// Makes the open feeds of a table of the store deliver nothing more; new ones work.
    SilenceFeeds(&'static str),
    /// Cuts an entry off from the store, or connects it again.
    CutStore(usize, bool),
    /// Discards the change history of the store.
    Compact,
    /// Copies the content of the store.
    CopyStore,
    /// Makes the store busy for the first time, restores it from the last copy, and lets the operator
    /// and the servers write again after the second time.
    RestoreStore(time::Duration, time::Duration),
    /// Sets the speed of a server, its noise, and how long it is cold after a start.
    Pace(usize, pace::Pace),
    /// Sets the fault of a server.
    ServerFault(usize, backend::Fault),
    /// Makes a server reject requests for a time, with `Retry-After`.
    Pause(usize, time::Duration),
    /// Makes a server send its last answer on a connection again, late; or ends that.
    Double(usize, bool),
    /// Makes a part of prompts, which some callers send, crash the engines that answer it.
    Deadly(bool),
    /// Makes requests that callers send again and again crash the servers that run them.
    Repeated(bool),
    /// Ends a server and starts one with another id and another version of its software in its place, the
    /// one with this number.
    Software(usize, u32),
    /// Crashes an engine.
    Crash(usize),
    /// Makes a server name a limit in requests a second in all its answers; none if it is 0.
    Limit(usize, u32),
    /// Makes a server say in its answers that it leaves.
    Leave(usize),
    /// Buffers the traffic of a server in both directions, or forwards it again.
    HoldTraffic(usize, bool),
    /// Closes all connections to a server.
    CloseConnections(usize),
    /// Makes open connections to a server forward nothing more; new connections work.
    Blackhole(usize),
    /// Writes the next version of the config to the store.
    Config,
    /// Sets the state of a server in the store to draining.
    Drain(usize),
    /// Writes the row of a server to the store again, as ready.
    Announce(usize),
    /// Deletes the row of a server, as if its registration had expired.
    Expire(usize),
    /// Overwrites the row of a server with malformed JSON.
    Corrupt(usize),
    /// Restarts a server under the same id.
    RestartServer(usize),
    /// Moves a server to a new address; the old one accepts connections and forwards nothing.
    MoveServer(usize),
    /// Ends a server and starts one with another id in its place.
    ReplaceServer(usize),
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
    /// Routes that each version of the config has besides those that are called.
    pub routes: usize,
    /// Changes in order of time.
    pub steps: Vec<Step>,
}

/// Time from the start of one fault to the next.
const FAULT_INTERVAL_MS: std::ops::Range<u64> = 50..500;
/// Duration of a fault.
const FAULT_DURATION_MS: std::ops::Range<u64> = 100..2_500;
/// Duration of a departure, beyond the time in which requests may still reach a server (2 s).
const DEPARTURE_MS: std::ops::Range<u64> = 1_500..6_500;
/// Duration of a pause, beyond the time in which requests may still be on their way (0.5 s).
const PAUSE_MS: std::ops::Range<u64> = 500..4_000;
/// Interval between the faults that are drawn apart.
const LATER_INTERVAL_MS: std::ops::Range<u64> = 300..3_000;
/// Duration of a limit, beyond the time in which more may still arrive (3 s), and its rate.
const LIMIT_MS: std::ops::Range<u64> = 2_000..12_000;
const LIMIT_RATE: std::ops::Range<u32> = 1..15;
/// Added to the seed for the faults that are drawn apart.
const LATER_FAULTS: u64 = 0x9e37_79b9_7f4a_7c15;
/// Added to the seed for the requests that are sent again and again, drawn apart likewise.
const REPEATED_FAULTS: u64 = 0xd1b5_4a32_d192_ed03;
/// The same for versions of the software of engines: the number of versions, and the interval between
/// their changes.
const VERSION_FAULTS: u64 = 0x2545_f491_4f6c_dd1d;
const VERSIONS: std::ops::Range<u32> = 1..4;
const VERSION_INTERVAL_MS: std::ops::Range<u64> = 500..3_000;
/// The same for the speeds of servers, of which some turn slow for a while without an error.
const PACE_FAULTS: u64 = 0xa076_1d64_78bd_642f;
const NATURES: [u32; 6] = [55, 80, 100, 120, 180, 220];
const SLOW_NATURE: u32 = 350;
const SLOW_MS: std::ops::Range<u64> = 500..4_000;
const COLD: time::Duration = time::Duration::from_secs(2);
/// The same for planned stops of all entries in short succession, beside other changes, and the time
/// in which these begin.
const STOP_FAULTS: u64 = 0x8cb9_2ba7_2f3d_8dd7;
const STOP_INTERVAL_MS: std::ops::Range<u64> = 100..300;
const DURING_STOPS: std::ops::Range<u64> = 1..6;
const STOP_SPAN_MS: std::ops::Range<u64> = 0..7_000;
/// The same for kills of all entries while streams run, and changes of versions around them.
const OUTAGE_FAULTS: u64 = 0x9fb2_1c65_1e98_df25;
const OUTAGE_MS: std::ops::Range<u64> = 50..1_500;
const AROUND_OUTAGE_MS: u64 = 1_500;
const OUTAGE_VERSIONS: std::ops::Range<u64> = 1..5;
/// The same for faults of engines in the middle of streams, and of what servers answer.
const ANSWER_FAULTS: u64 = 0x27d4_eb2f_1656_67c5;
const LATER_SERVER_FAULTS: [backend::Fault; 4] = [
    backend::Fault::AbortsStream,
    backend::Fault::TruncatesStream,
    backend::Fault::Resets,
    backend::Fault::Fails,
];
/// The same for feeds of one table that fall silent, with entries killed or frozen around it and a change
/// of the config or a departure soon after.
const FEED_FAULTS: u64 = 0x94d0_49bb_1331_11eb;
const FEED_TABLES: [&str; 2] = ["op", "servers"];
const FEED_INTERVAL_MS: std::ops::Range<u64> = 1_000..6_000;
/// Time from a copy of the store to the restore from it.
const COPY_AGE_MS: std::ops::Range<u64> = 500..5_000;
/// Time after a restore of the store within which the operator and the servers write again.
const REWRITE_MS: std::ops::Range<u64> = 50..2_000;
/// Number of signals to one entry, or of versions of the config, in a series.
const SERIES_LENGTH: std::ops::Range<u64> = 2..7;
/// Time between two changes of a series.
const SERIES_INTERVAL_MS: std::ops::Range<u64> = 1..500;
const STORE_MODES: [store::Mode; 5] = [
    store::Mode::Busy,
    store::Mode::Unresponsive,
    store::Mode::LostReplies,
    store::Mode::Slow,
    store::Mode::NoHistory,
];
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
    steps: Vec<Step>,
}

impl Plan {
    /// Draws the plan of `seed`, whose faults start within `length`.
    pub fn draw(seed: u64, length: time::Duration) -> Plan {
        let mut random = rngs::StdRng::seed_from_u64(seed);
        let sizes = site::Sizes {
            edges: random.random_range(1..5),
            plain: random.random_range(2..5),
            prefill: random.random_range(1..4),
            decode: random.random_range(1..5),
            relays: true,
            direct: false,
            plain_direct: false,
        };
        let callers = random.random_range(6..40);
        Plan::draw_steps(seed, length, sizes, callers, random)
    }

    /// Like [`Plan::draw`], with many entries.
    pub fn draw_large(seed: u64, length: time::Duration) -> Plan {
        let mut random = rngs::StdRng::seed_from_u64(seed);
        let sizes = site::Sizes {
            edges: random.random_range(100..151),
            plain: 5,
            prefill: random.random_range(3..6),
            decode: random.random_range(8..13),
            relays: true,
            direct: false,
            plain_direct: false,
        };
        let callers = random.random_range(30..50);
        Plan::draw_steps(seed, length, sizes, callers, random)
    }

    fn draw_steps(
        seed: u64,
        length: time::Duration,
        sizes: site::Sizes,
        callers: usize,
        random: rngs::StdRng,
    ) -> Plan {
        let servers = sizes.plain + sizes.prefill + sizes.decode;
        let (edges, steps) = (sizes.edges, Vec::new());
        let mut generator = Generator { random, edges, servers, steps };
        let mut at = time::Duration::ZERO;
        loop {
            at += generator.millis(FAULT_INTERVAL_MS);
            if at >= length {
                break;
            }
            generator.draw_fault(at);
        }
        // Drawn apart from the others, so that the plans of seeds that have failed stay the same.
        generator.random = rngs::StdRng::seed_from_u64(seed ^ LATER_FAULTS);
        let is_deadly = generator.random.random_bool(0.5);
        let sizes = site::Sizes { direct: is_deadly, ..sizes };
        generator.draw_later(length, sizes, is_deadly);
        generator.random = rngs::StdRng::seed_from_u64(seed ^ REPEATED_FAULTS);
        let is_repeated = generator.random.random_bool(0.5);
        let sizes = site::Sizes { plain_direct: is_repeated, ..sizes };
        if is_repeated {
            let at = generator.millis(LATER_INTERVAL_MS);
            generator.push(at, Change::Repeated(true));
        }
        generator.random = rngs::StdRng::seed_from_u64(seed ^ VERSION_FAULTS);
        generator.draw_versions(length, sizes);
        generator.random = rngs::StdRng::seed_from_u64(seed ^ PACE_FAULTS);
        generator.draw_paces(length);
        generator.random = rngs::StdRng::seed_from_u64(seed ^ STOP_FAULTS);
        generator.draw_stops(length);
        generator.random = rngs::StdRng::seed_from_u64(seed ^ OUTAGE_FAULTS);
        generator.draw_outage(length, sizes);
        generator.random = rngs::StdRng::seed_from_u64(seed ^ ANSWER_FAULTS);
        generator.draw_answers(length);
        generator.random = rngs::StdRng::seed_from_u64(seed ^ FEED_FAULTS);
        generator.draw_feeds(length);
        generator.steps.sort_by_key(|step| step.at);
        Plan { seed, length, sizes, callers, routes: 0, steps: generator.steps }
    }
}

impl Generator {
    fn millis(&mut self, range: std::ops::Range<u64>) -> time::Duration {
        time::Duration::from_millis(self.random.random_range(range))
    }

    fn within(&mut self, length: time::Duration) -> time::Duration {
        self.millis(0..length.as_millis() as u64)
    }

    fn pick<T: Copy>(&mut self, choices: &[T]) -> T {
        choices[self.random.random_range(0..choices.len())]
    }

    fn push(&mut self, at: time::Duration, change: Change) {
        self.steps.push(Step { at, change });
    }

    fn push_pair(&mut self, [from, until]: [time::Duration; 2], start: Change, end: Change) {
        self.push(from, start);
        self.push(until, end);
    }

    fn draw_fault(&mut self, at: time::Duration) {
        let span = [at, at + self.millis(FAULT_DURATION_MS)];
        let server = self.random.random_range(0..self.servers);
        let edge = self.random.random_range(0..self.edges);
        match self.random.random_range(0..26) {
            0 => self.push_pair(span, Change::Kill(edge), Change::Start(edge)),
            1 => self.push_pair(span, Change::Freeze(edge), Change::Resume(edge)),
            2 => self.push_pair(span, Change::Stop(edge), Change::Start(edge)),
            3..=5 => self.draw_signals(edge, at),
            6 => self.draw_store_fault(span),
            7 => self.push(at, Change::SilenceStore),
            8 => self.push_pair(span, Change::CutStore(edge, true), Change::CutStore(edge, false)),
            9 | 10 => {
                let fault = self.pick(&SERVER_FAULTS);
                let healthy = Change::ServerFault(server, backend::Fault::None);
                self.push_pair(span, Change::ServerFault(server, fault), healthy);
            }
            11 => {
                let forwarded = Change::HoldTraffic(server, false);
                self.push_pair(span, Change::HoldTraffic(server, true), forwarded);
            }
            12 => {
                let change =
                    self.pick(&[Change::CloseConnections(server), Change::Blackhole(server)]);
                self.push(at, change);
            }
            13 => self.draw_configs(at),
            14 => self.push(at, Change::RestartServer(server)),
            15 => self.push(at, Change::MoveServer(server)),
            16 => self.push(at, Change::ReplaceServer(server)),
            17 => self.kill_all(span),
            18 => {
                let change = self.pick(&[Change::Expire(server), Change::Corrupt(server)]);
                let until = at + self.millis(DEPARTURE_MS);
                self.push_pair([at, until], change, Change::Announce(server));
            }
            19 => {
                let until = at + self.millis(DEPARTURE_MS);
                let end =
                    self.pick(&[Change::ReplaceServer(server), Change::RestartServer(server)]);
                self.push_pair([at, until], Change::Drain(server), end);
            }
            20 | 21 => self.draw_departure(server, at),
            22 => self.draw_restore(at),
            23 | 24 => self.draw_pause(server, at),
            _ => {
                let until = at + self.millis(DEPARTURE_MS);
                let single = Change::Double(server, false);
                self.push_pair([at, until], Change::Double(server, true), single);
            }
        }
    }

    // Prompts that crash engines, crashes of other causes, and limits of servers.
    fn draw_later(&mut self, length: time::Duration, sizes: site::Sizes, is_deadly: bool) {
        let mut at = self.millis(LATER_INTERVAL_MS);
        if is_deadly {
            self.push(at, Change::Deadly(true));
        }
        while at < length {
            let server = self.random.random_range(0..self.servers);
            let engine = sizes.plain + sizes.prefill + self.random.random_range(0..sizes.decode);
            match self.random.random_range(0..2) {
                0 if is_deadly => self.push(at, Change::Crash(engine)),
                _ => {
                    let until = at + self.millis(LIMIT_MS);
                    let rate = self.random.random_range(LIMIT_RATE);
                    self.push_pair(
                        [at, until],
                        Change::Limit(server, rate),
                        Change::Limit(server, 0),
                    );
                }
            }
            at += self.millis(LATER_INTERVAL_MS);
        }
    }

    // Engines of several versions side by side, in half of the plans.
    fn draw_versions(&mut self, length: time::Duration, sizes: site::Sizes) {
        if self.random.random_bool(0.5) {
            return;
        }
        let engines = sizes.plain..sizes.plain + sizes.prefill + sizes.decode;
        let mut at = self.millis(LATER_INTERVAL_MS);
        for engine in engines.clone().step_by(2) {
            self.push(at, Change::Software(engine, 2));
        }
        while at < length {
            at += self.millis(VERSION_INTERVAL_MS);
            let engine = self.random.random_range(engines.clone());
            let number = self.random.random_range(VERSIONS);
            self.push(at, Change::Software(engine, number));
        }
    }

    // Servers of different speeds, in half of the plans.
    fn draw_paces(&mut self, length: time::Duration) {
        if self.random.random_bool(0.5) {
            return;
        }
        let mut paces = Vec::new();
        for server in 0..self.servers {
            let nature = self.pick(&NATURES);
            let is_noisy = self.random.random_bool(0.3);
            let cold = if self.random.random_bool(0.5) { COLD } else { time::Duration::ZERO };
            let pace = pace::Pace { nature, is_noisy, cold };
            self.push(time::Duration::ZERO, Change::Pace(server, pace));
            paces.push(pace);
        }
        let mut at = self.millis(LATER_INTERVAL_MS);
        while at < length {
            let server = self.random.random_range(0..self.servers);
            let until = at + self.millis(SLOW_MS);
            let slow = pace::Pace { nature: SLOW_NATURE, ..paces[server] };
            let span = [at, until];
            self.push_pair(span, Change::Pace(server, slow), Change::Pace(server, paces[server]));
            at = until + self.millis(LATER_INTERVAL_MS);
        }
    }

    // Planned stops of all entries, one soon after the other, in half of the plans. Meanwhile some
    // get other signals, and the config changes.
    fn draw_stops(&mut self, length: time::Duration) {
        if self.random.random_bool(0.5) {
            return;
        }
        let from = self.within(length);
        let mut at = from;
        for edge in 0..self.edges {
            self.push(at, Change::Stop(edge));
            self.push(at, Change::Start(edge));
            at += self.millis(STOP_INTERVAL_MS);
        }
        for _ in 0..self.random.random_range(DURING_STOPS) {
            let at = from + self.millis(STOP_SPAN_MS);
            let edge = self.random.random_range(0..self.edges);
            match self.random.random_range(0..5) {
                0 => self.push_pair([at, at], Change::Kill(edge), Change::Start(edge)),
                1 | 2 => self.push(at, Change::Reload(edge)),
                3 => self.draw_configs(at),
                _ => self.push_pair([at, at], Change::Stop(edge), Change::Start(edge)),
            }
        }
    }

    // A kill of all entries at once, and changes of the versions of engines before and after it, in
    // half of the plans.
    fn draw_outage(&mut self, length: time::Duration, sizes: site::Sizes) {
        if self.random.random_bool(0.5) {
            return;
        }
        let at = self.within(length);
        let until = at + self.millis(OUTAGE_MS);
        self.kill_all([at, until]);
        let engines = sizes.plain..sizes.plain + sizes.prefill + sizes.decode;
        for _ in 0..self.random.random_range(OUTAGE_VERSIONS) {
            let around = time::Duration::from_millis(AROUND_OUTAGE_MS);
            let changed_at = (at + self.millis(0..2 * AROUND_OUTAGE_MS)).saturating_sub(around);
            let engine = self.random.random_range(engines.clone());
            let number = self.random.random_range(VERSIONS);
            self.push(changed_at, Change::Software(engine, number));
        }
    }

    // Faults of servers, one after another, in half of the plans.
    fn draw_feeds(&mut self, length: time::Duration) {
        if self.random.random_bool(0.5) {
            return;
        }
        let mut at = self.millis(FEED_INTERVAL_MS);
        while at < length {
            for table in FEED_TABLES {
                if self.random.random_bool(0.7) {
                    self.push(at, Change::SilenceFeeds(table));
                }
            }
            // The entries with the lowest addresses check the feeds.
            let checker = self.random.random_range(0..self.edges.min(2));
            let span = [at, at + self.millis(FAULT_DURATION_MS)];
            match self.random.random_range(0..3) {
                0 => self.push_pair(span, Change::Kill(checker), Change::Start(checker)),
                1 => self.push_pair(span, Change::Freeze(checker), Change::Resume(checker)),
                _ => {}
            }
            let changed_at = at + self.millis(SERIES_INTERVAL_MS);
            let server = self.random.random_range(0..self.servers);
            self.push(changed_at, Change::Config);
            let until = changed_at + self.millis(DEPARTURE_MS);
            let departure = self.pick(&[Change::Drain(server), Change::Expire(server)]);
            self.push_pair([changed_at, until], departure, Change::Announce(server));
            at += self.millis(FEED_INTERVAL_MS);
        }
    }

    fn draw_answers(&mut self, length: time::Duration) {
        if self.random.random_bool(0.5) {
            return;
        }
        let mut at = self.millis(LATER_INTERVAL_MS);
        while at < length {
            let server = self.random.random_range(0..self.servers);
            let until = at + self.millis(FAULT_DURATION_MS);
            let fault = self.pick(&LATER_SERVER_FAULTS);
            let healthy = Change::ServerFault(server, backend::Fault::None);
            self.push_pair([at, until], Change::ServerFault(server, fault), healthy);
            at += self.millis(LATER_INTERVAL_MS);
        }
    }

    fn draw_store_fault(&mut self, span: [time::Duration; 2]) {
        let mode = self.pick(&STORE_MODES);
        self.push_pair(span, Change::Store(mode), Change::Store(store::Mode::Up));
        if self.random.random_bool(0.3) {
            self.push(span[1], Change::Compact);
        }
    }

    // A series of signals to one entry, after which it runs again.
    fn draw_signals(&mut self, edge: usize, at: time::Duration) {
        let mut at = at;
        for _ in 0..self.random.random_range(SERIES_LENGTH) {
            let change = self.pick(&[
                Change::Kill(edge),
                Change::Freeze(edge),
                Change::Resume(edge),
                Change::Stop(edge),
                Change::Reload(edge),
                Change::Start(edge),
            ]);
            self.push(at, change);
            at += self.millis(SERIES_INTERVAL_MS);
        }
        self.push(at, Change::Resume(edge));
        self.push(at, Change::Start(edge));
    }

    // A pause of one server, or of all.
    fn draw_pause(&mut self, server: usize, at: time::Duration) {
        let length = self.millis(PAUSE_MS);
        let paused =
            if self.random.random_bool(0.2) { 0..self.servers } else { server..server + 1 };
        for server in paused {
            self.push(at, Change::Pause(server, length));
        }
    }

    fn draw_restore(&mut self, at: time::Duration) {
        let restored_at = at + self.millis(COPY_AGE_MS);
        let (outage, rewrite) = (self.millis(FAULT_DURATION_MS), self.millis(REWRITE_MS));
        self.push(at, Change::CopyStore);
        self.push(restored_at, Change::RestoreStore(outage, rewrite));
    }

    fn draw_configs(&mut self, at: time::Duration) {
        let mut at = at;
        for _ in 0..self.random.random_range(SERIES_LENGTH) {
            self.push(at, Change::Config);
            at += self.millis(SERIES_INTERVAL_MS);
        }
    }

    // A server that says in its answers that it leaves, and is replaced. The store may learn it
    // before, at once or never, and be away at that time.
    fn draw_departure(&mut self, server: usize, at: time::Duration) {
        let until = at + self.millis(DEPARTURE_MS);
        self.push_pair([at, until], Change::Leave(server), Change::ReplaceServer(server));
        match self.random.random_range(0..4) {
            0 => self.push(at, Change::Drain(server)),
            1 => {
                let told_at = at + self.millis(FAULT_DURATION_MS);
                self.push(told_at.min(until), Change::Drain(server));
            }
            2 => {
                let mode = self.pick(&STORE_MODES);
                self.push_pair([at, until], Change::Store(mode), Change::Store(store::Mode::Up));
            }
            _ => {}
        }
    }

    fn kill_all(&mut self, span: [time::Duration; 2]) {
        for edge in 0..self.edges {
            self.push_pair(span, Change::Kill(edge), Change::Start(edge));
        }
    }
}
