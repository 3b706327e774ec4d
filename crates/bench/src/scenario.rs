//! Fleets, loads and faults to simulate.

use std::time;

/// Servers of a service, and its latency targets.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// Name in the table.
    pub name: &'static str,
    /// Number of prefill servers.
    pub prefill_servers: usize,
    /// Number of decode servers.
    pub decode_servers: usize,
    /// Target for the time to the first token.
    pub first_token: time::Duration,
    /// Target for the mean time between tokens.
    pub between_tokens: time::Duration,
    /// Longest wait for a decode slot; a prompt that cannot meet the first-token target waits for at
    /// most this long after it.
    pub max_wait: time::Duration,
    /// Time after the arrival of a request until which it may wait for a slot, unless its prompt
    /// has a latest start.
    pub deadline: time::Duration,
    /// One-way delay between a caller and an entry.
    pub caller_delay: time::Duration,
}

/// Number of availability zones of a fleet; each has one entry.
pub const ZONES: usize = 3;
/// One-way delay between two processes.
pub const HOP_DELAY: time::Duration = time::Duration::from_micros(500);
/// Number of callers of a fleet.
pub const CALLERS: usize = 20;

/// Laine Sahel's clip-models: loose latency targets and costly requests.
pub fn laine_sahel() -> Fleet {
    Fleet {
        name: "laine-sahel",
        prefill_servers: 6,
        decode_servers: 12,
        first_token: time::Duration::from_millis(2500),
        between_tokens: time::Duration::from_millis(100),
        max_wait: time::Duration::from_millis(2000),
        deadline: time::Duration::from_secs(30),
        caller_delay: time::Duration::from_millis(1),
    }
}

/// Compás Náutico's rating-llm: tight latency targets.
pub fn compas_nautico() -> Fleet {
    Fleet {
        name: "compas-nautico",
        prefill_servers: 4,
        decode_servers: 8,
        first_token: time::Duration::from_millis(460),
        between_tokens: time::Duration::from_millis(74),
        max_wait: time::Duration::from_millis(300),
        deadline: time::Duration::from_secs(30),
        caller_delay: time::Duration::from_millis(3),
    }
}

/// Shape of the load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// Constant rate.
    Steady,
    /// Twice the rate in one second of four, and two thirds of it in the others.
    Burst,
    /// Constant rate; one caller sends ten times its share, and the others send theirs.
    Greedy,
}

/// Injected fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// A decode server crashes and does not restart.
    DecodeDies,
    /// A decode server is frozen for 10 s.
    Freeze,
    /// All servers of an availability zone are unresponsive for 10 s.
    ZoneSilent,
    /// The link of a prefill server stalls for 10 s.
    LinkStalls,
    /// A decode server runs at a third of its speed.
    SlowEngine,
    /// Load reports are delayed by 3 s.
    LateReports,
    /// 30 % of the requests are cancelled by their callers within 3 s.
    Cancels,
}

/// All faults.
pub const FAULTS: [Fault; 7] = [
    Fault::DecodeDies,
    Fault::Freeze,
    Fault::ZoneSilent,
    Fault::LinkStalls,
    Fault::SlowEngine,
    Fault::LateReports,
    Fault::Cancels,
];

/// Fleet, load and fault of one simulation.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Simulated fleet.
    pub fleet: Fleet,
    /// Request rate as a multiple of the capacity of the engines.
    pub load: f64,
    /// Shape of the load.
    pub shape: Shape,
    /// Injected fault; faults of servers and links start after a third of the time.
    pub fault: Fault,
    /// Time in which requests arrive, in seconds.
    pub seconds: u64,
    /// Seed of all random choices.
    pub seed: u64,
}

impl Scenario {
    /// Makes a scenario of 30 s with constant load and no fault.
    pub fn new(fleet: Fleet, load: f64) -> Scenario {
        Scenario { fleet, load, shape: Shape::Steady, fault: Fault::None, seconds: 30, seed: 7 }
    }
}
