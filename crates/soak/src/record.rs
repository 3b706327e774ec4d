//! What callers saw, and what was done to entries meanwhile.

use std::time;

use rhubarb_e2e::{call, standin};

/// What a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// A plain call that may be repeated.
    Safe,
    /// A plain call that runs at most once.
    Unsafe,
    /// A stream that may go on at another server.
    Resumable,
    /// A stream that runs at most once.
    Stream,
}

/// All kinds.
pub const KINDS: [Kind; 4] = [Kind::Safe, Kind::Unsafe, Kind::Resumable, Kind::Stream];

impl Kind {
    /// Path of its requests.
    pub fn path(self) -> &'static str {
        match self {
            Kind::Safe => standin::SAFE,
            Kind::Unsafe => standin::UNSAFE,
            Kind::Resumable => standin::RESUMABLE,
            Kind::Stream => standin::STREAM,
        }
    }

    /// Most servers at which one request may run.
    pub fn max_runs(self) -> u32 {
        match self {
            Kind::Safe | Kind::Resumable => standin::MAX_ATTEMPTS,
            Kind::Unsafe | Kind::Stream => 1,
        }
    }

    /// Longest time to its answer.
    pub fn timeout(self) -> time::Duration {
        match self {
            Kind::Safe | Kind::Unsafe => standin::PLAIN_LIMIT,
            Kind::Resumable | Kind::Stream => standin::STREAM_LIMIT,
        }
    }

    /// Body of the whole answer to a request with `body`.
    pub fn expected_body(self, body: &str) -> String {
        match self {
            Kind::Safe | Kind::Unsafe => body.to_string(),
            Kind::Resumable | Kind::Stream => standin::whole_stream(),
        }
    }
}

/// How a request ended for its caller.
#[derive(Clone, Debug)]
pub enum End {
    /// An answer came, whole or broken off.
    Answer(call::Reply),
    /// No connection could be made.
    Unreachable,
    /// The connection ended without an answer.
    ConnectionLost(String),
    /// The caller left before the answer.
    Abandoned,
}

/// One request.
#[derive(Clone, Debug)]
pub struct Record {
    /// Id of the request.
    pub attempt: String,
    /// Kind.
    pub kind: Kind,
    /// Entry that got it.
    pub edge: usize,
    /// When it was sent.
    pub began: time::Instant,
    /// When it ended.
    pub ended: time::Instant,
    /// How it ended.
    pub end: End,
}

/// Whether a version of the config was in force at an entry.
#[derive(Clone, Copy, Debug)]
pub struct ConfigProbe {
    /// Entry.
    pub edge: usize,
    /// When the answer came.
    pub at: time::Instant,
    /// Version that was asked for.
    pub version: u64,
    /// Whether it was in force.
    pub in_force: bool,
}

/// What was done to an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryFault {
    /// It was killed.
    Killed,
    /// It was frozen.
    Frozen,
    /// It was told to stop.
    Stopped,
}

/// A time in which an entry was in fault.
#[derive(Clone, Copy, Debug)]
pub struct FaultWindow {
    /// Entry.
    pub edge: usize,
    /// What was done.
    pub fault: EntryFault,
    /// When it began.
    pub from: time::Instant,
    /// When the entry was as before; `None` while it is not.
    pub until: Option<time::Instant>,
}

impl FaultWindow {
    /// Whether the window overlaps the time of `record`.
    pub fn overlaps(&self, record: &Record) -> bool {
        self.edge == record.edge
            && self.from <= record.ended
            && self.until.is_none_or(|until| until >= record.began)
    }
}

/// Everything that was seen.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Requests.
    pub records: Vec<Record>,
    /// Looks at the config in force.
    pub probes: Vec<ConfigProbe>,
    /// Troubles of entries.
    pub windows: Vec<FaultWindow>,
}
