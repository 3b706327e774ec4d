//! Fleets, loads and faults that are measured.

use std::time;

/// A fleet and what its users want.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// Name in the table.
    pub name: &'static str,
    /// Prefill servers.
    pub prefills: usize,
    /// Decode servers.
    pub decodes: usize,
    /// Target for the time to the first token.
    pub first_token: time::Duration,
    /// Target for the mean time between tokens.
    pub between_tokens: time::Duration,
    /// Longest wait for decode room.
    pub max_wait: time::Duration,
    /// Longest time of a request.
    pub deadline: time::Duration,
    /// One-way delay between a caller and an entry.
    pub caller_delay: time::Duration,
}

/// Zones of a fleet; each has an entry.
pub const ZONES: usize = 3;
/// One-way delay between two processes.
pub const HOP: time::Duration = time::Duration::from_micros(500);
/// Callers of a fleet.
pub const CALLERS: usize = 20;

/// Laine Sahel's clip-models: patient and costly.
pub fn laine_sahel() -> Fleet {
    Fleet {
        name: "laine-sahel",
        prefills: 6,
        decodes: 12,
        first_token: time::Duration::from_millis(2500),
        between_tokens: time::Duration::from_millis(100),
        max_wait: time::Duration::from_millis(2000),
        deadline: time::Duration::from_secs(30),
        caller_delay: time::Duration::from_millis(1),
    }
}

/// Compás Náutico's rating-llm: impatient.
pub fn compas_nautico() -> Fleet {
    Fleet {
        name: "compas-nautico",
        prefills: 4,
        decodes: 8,
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
    /// The same rate all the time.
    Steady,
    /// Twice the rate in one second of four, and less in the others.
    Burst,
    /// One caller sends ten times its share, in addition.
    Greedy,
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    None,
    /// A decode server dies for good.
    DecodeDies,
    /// A decode server does not move for 10 s.
    Freeze,
    /// All servers of a zone are silent for 10 s.
    ZoneSilent,
    /// The link of a prefill server stalls for 10 s.
    LinkStalls,
    /// A decode server runs at a third of its speed.
    SlowEngine,
    /// Load reports come 3 s late.
    LateReports,
    /// 30 % of the callers leave within 3 s.
    Cancels,
}

/// All that goes wrong.
pub const FAULTS: [Fault; 7] = [
    Fault::DecodeDies,
    Fault::Freeze,
    Fault::ZoneSilent,
    Fault::LinkStalls,
    Fault::SlowEngine,
    Fault::LateReports,
    Fault::Cancels,
];

/// One cell of the table.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Fleet.
    pub fleet: Fleet,
    /// Load as a multiple of what the engines can carry.
    pub load: f64,
    /// Shape of the load.
    pub shape: Shape,
    /// Fault, from a third of the time on.
    pub fault: Fault,
    /// Length in seconds.
    pub seconds: u64,
    /// Seed of all random choices.
    pub seed: u64,
}

impl Scenario {
    /// Makes a steady run without faults.
    pub fn new(fleet: Fleet, load: f64) -> Scenario {
        Scenario { fleet, load, shape: Shape::Steady, fault: Fault::None, seconds: 30, seed: 7 }
    }
}
