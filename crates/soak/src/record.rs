//! History of a soak: the requests of callers, config probes, faults, and what servers saw.

use std::{collections, time};

use rhubarb_e2e::{call, site};
use rhubarb_fakes::{arrivals, backend, handles};

/// Kind of a request, which decides its route and how often it may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// Plain request that may be retried.
    Safe,
    /// Plain request that runs at most once.
    Unsafe,
    /// Stream that may resume on another server.
    Resumable,
    /// Stream that runs at most once.
    Stream,
}

/// All kinds.
pub const KINDS: [Kind; 4] = [Kind::Safe, Kind::Unsafe, Kind::Resumable, Kind::Stream];

/// Id of the part of prompts that crashes engines.
pub const DEADLY_PART: &str = "dead";
/// Prefix of the attempt ids of requests with that part.
pub const DEADLY_PREFIX: &str = "d";

/// Customers of the callers, from the first change of the config on.
pub const CUSTOMERS: [site::Customer<'_>; 2] = [
    site::Customer { name: "first", keys: &["key of the first"], rate: None },
    site::Customer { name: "second", keys: &["key of the second"], rate: None },
];

/// Customer that sends the request with the attempt id `attempt`, by the last digit of its number.
pub fn customer(attempt: &str) -> site::Customer<'static> {
    let digit = attempt.bytes().last().unwrap_or_default();
    CUSTOMERS[usize::from(digit) % CUSTOMERS.len()]
}

/// Body of the requests that are sent again and again and crash each server that runs them, and the
/// prefixes of their attempt ids at plain servers and at engines.
pub const REPEATED_BODY: &str = "sent again";
/// See [`REPEATED_BODY`].
pub const REPEATED_PREFIXES: [&str; 2] = ["x", "y"];

/// Body of the request with the attempt id `attempt`.
pub fn body(attempt: &str) -> String {
    match REPEATED_PREFIXES.iter().any(|prefix| attempt.starts_with(prefix)) {
        true => REPEATED_BODY.to_string(),
        false => format!("body of {attempt}"),
    }
}

impl Kind {
    /// Whether the requests are for model engines.
    pub fn is_model(self) -> bool {
        matches!(self, Kind::Resumable | Kind::Stream)
    }

    /// Path of the requests of this kind.
    pub fn path(self) -> &'static str {
        match self {
            Kind::Safe => site::SAFE,
            Kind::Unsafe => site::UNSAFE,
            Kind::Resumable => site::RESUMABLE,
            Kind::Stream => site::STREAM,
        }
    }

    /// Maximum number of servers on which one request may run.
    pub fn max_runs(self) -> u32 {
        match self {
            Kind::Safe | Kind::Resumable => site::MAX_ATTEMPTS,
            Kind::Unsafe | Kind::Stream => 1,
        }
    }

    /// Timeout of the route.
    pub fn timeout(self) -> time::Duration {
        match self {
            Kind::Safe | Kind::Unsafe => site::PLAIN_TIMEOUT,
            Kind::Resumable | Kind::Stream => site::STREAM_TIMEOUT,
        }
    }

    /// Complete response body to a request with `body`; a stream that is taken up has the events after
    /// the last one that the caller has.
    pub fn expected_body(self, body: &str, resumes: Option<&TakeUp>) -> String {
        match (self, resumes) {
            (Kind::Safe | Kind::Unsafe, _) => body.to_string(),
            (Kind::Resumable | Kind::Stream, Some(stream)) => {
                let events = site::full_stream();
                let next = format!("id: {}\n", stream.last + 1);
                events.find(&next).map_or(String::new(), |at| events[at..].to_string())
            }
            (Kind::Resumable | Kind::Stream, None) => site::full_stream(),
        }
    }
}

/// How a request ended for its caller.
#[derive(Clone, Debug)]
pub enum End {
    /// A response arrived, complete or truncated.
    Answer(call::Reply),
    /// No connection could be established.
    Unreachable,
    /// The connection failed without a response.
    ConnectionLost(String),
    /// The caller closed the connection before the response was complete.
    Abandoned,
}

/// One request.
#[derive(Clone, Debug)]
pub struct Record {
    /// Attempt id of the request.
    pub attempt: String,
    /// Kind of the request.
    pub kind: Kind,
    /// Index of the entry that received it.
    pub edge: usize,
    /// When it was sent.
    pub began: time::Instant,
    /// When it ended.
    pub ended: time::Instant,
    /// How it ended.
    pub end: End,
    /// Stream that it takes up.
    pub resumes: Option<TakeUp>,
}

/// A stream that a caller takes up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TakeUp {
    /// Attempt id of the request that began it.
    pub first: String,
    /// Last event that the caller has.
    pub last: u64,
}

/// The whole events in what arrived of a stream.
pub fn whole_events(received: &str) -> &str {
    received.rfind("\n\n").map_or("", |end| &received[..end + 2])
}

/// Id of the last whole event in what arrived of a stream.
pub fn last_event(received: &str) -> Option<u64> {
    let mut lines = whole_events(received).lines().rev();
    lines.find_map(|line| line.strip_prefix("id: "))?.parse().ok()
}

/// Versions that the events in `body` name, and the body without them.
pub fn split_versions(body: &str) -> (collections::BTreeSet<String>, String) {
    let mut versions = collections::BTreeSet::new();
    let mut lines = Vec::new();
    for line in body.split('\n') {
        let Some((text, version)) =
            line.strip_prefix("data: ").and_then(|text| text.split_once('@'))
        else {
            if line.starts_with("data: ") {
                versions.insert(backend::FIRST_SOFTWARE.to_string());
            }
            lines.push(line.to_string());
            continue;
        };
        versions.insert(version.to_string());
        lines.push(format!("data: {text}"));
    }
    (versions, lines.join("\n"))
}

/// Result of a probe whether an entry had applied a version of the config.
#[derive(Clone, Copy, Debug)]
pub struct ConfigProbe {
    /// Index of the entry.
    pub edge: usize,
    /// When the request was sent.
    pub began: time::Instant,
    /// When the response arrived.
    pub at: time::Instant,
    /// Version that was probed.
    pub version: u64,
    /// Whether the entry had applied it.
    pub applied: bool,
}

/// Fault of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryFault {
    /// Killed with SIGKILL.
    Killed,
    /// Frozen with SIGSTOP.
    Frozen,
    /// Stopped gracefully with SIGTERM.
    Stopped,
}

/// Time from the start of a process until it listens.
pub const START_DURATION: time::Duration = time::Duration::from_secs(1);

/// Period in which an entry had a fault.
#[derive(Clone, Copy, Debug)]
pub struct FaultWindow {
    /// Index of the entry.
    pub edge: usize,
    /// The fault.
    pub fault: EntryFault,
    /// When the fault started.
    pub from: time::Instant,
    /// When the entry had recovered; `None` until then.
    pub until: Option<time::Instant>,
}

impl FaultWindow {
    /// Whether the window is of the same entry as `record` and overlaps it in time.
    pub fn overlaps(&self, record: &Record) -> bool {
        self.edge == record.edge && self.covers(record.began, record.ended)
    }

    /// Whether the window overlaps the time between `from` and `until`.
    pub fn covers(&self, from: time::Instant, until: time::Instant) -> bool {
        self.from <= until && self.until.is_none_or(|end| end >= from)
    }
}

/// When and through which entry a request with an attempt id was sent.
#[derive(Clone, Copy, Debug)]
pub struct Sent {
    /// Index of the entry.
    pub edge: usize,
    /// When the caller sent it.
    pub at: time::Instant,
}

/// What a disturbance affected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Place {
    /// The store, or the connections of all entries to it.
    Store,
    /// The connections of the entry with this index to the store.
    Edge(usize),
    /// The connections of all entries to the server with this id.
    Server(String),
}

/// Period in which connections or the store were disturbed.
#[derive(Clone, Debug)]
pub struct Disturbance {
    /// What was disturbed.
    pub place: Place,
    /// When it started.
    pub from: time::Instant,
    /// When it ended; `None` until then.
    pub until: Option<time::Instant>,
}

/// Period in which the store said that a server leaves or is gone.
#[derive(Clone, Debug)]
pub struct Departure {
    /// Id of the server.
    pub server: String,
    /// When the store took the row or its removal.
    pub at: time::Instant,
    /// When the server was announced as ready again; `None` until then.
    pub until: Option<time::Instant>,
}

/// Period in which a server named a limit.
#[derive(Clone, Debug)]
pub struct Limit {
    /// Id of the server.
    pub server: String,
    /// Requests a second.
    pub rate: u32,
    /// When it first named it.
    pub from: time::Instant,
    /// When it no longer did; `None` until then.
    pub until: Option<time::Instant>,
}

/// Everything that was observed in a soak.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Number of entries.
    pub edges: usize,
    /// Requests.
    pub records: Vec<Record>,
    /// All requests sent, also those of probes, by attempt id.
    pub sent: collections::BTreeMap<String, Sent>,
    /// Probes of the applied config.
    pub probes: Vec<ConfigProbe>,
    /// When the store took each version of the config.
    pub configs: collections::BTreeMap<u64, time::Instant>,
    /// Faults of entries.
    pub windows: Vec<FaultWindow>,
    /// Disturbances of the store and of connections.
    pub disturbances: Vec<Disturbance>,
    /// Servers that left.
    pub departures: Vec<Departure>,
    /// What arrived at each server, by its id.
    pub arrivals: collections::BTreeMap<String, Vec<arrivals::Arrival>>,
    /// Limits that servers named.
    pub limits: Vec<Limit>,
    /// When engines crashed by a request with the part that crashes them.
    pub crashes: Vec<time::Instant>,
    /// When plain servers and engines crashed by the request that is sent again and again.
    pub repeated: [Vec<time::Instant>; 2],
    /// Requests that named the handle of another attempt.
    pub foreign: Vec<handles::Foreign>,
}

impl History {
    /// Times from which all entries had one of the faults `faults` at once.
    pub fn outages(&self, faults: &[EntryFault]) -> Vec<time::Instant> {
        let is_down = |edge: usize, at: time::Instant| {
            self.windows.iter().any(|window| {
                window.edge == edge
                    && faults.contains(&window.fault)
                    && window.from <= at
                    && window.until.is_none_or(|until| until >= at)
            })
        };
        let starts = self.windows.iter().map(|window| window.from);
        starts.filter(|at| (0..self.edges).all(|edge| is_down(edge, *at))).collect()
    }

    /// Whether `place` was disturbed at some time between `from` and `until`.
    pub fn is_disturbed(&self, place: &Place, from: time::Instant, until: time::Instant) -> bool {
        self.disturbances.iter().any(|disturbance| {
            disturbance.place == *place
                && disturbance.from <= until
                && disturbance.until.is_none_or(|end| end >= from)
        })
    }
}
