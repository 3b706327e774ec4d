//! Routing policies to compare: two baselines, and the successive versions of our own.

/// How servers are chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Each server in turn.
    RoundRobin,
    /// The server with the least reported load.
    LeastReported,
    /// By [`rhubarb_core::pool::Pool`].
    Pool,
}

/// Routing policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Name in the table.
    pub name: &'static str,
    /// How servers are chosen.
    pub choice: Choice,
    /// Whether a decode slot is reserved before the prefill.
    pub reserve: bool,
    /// Whether prompts prefer the server that caches their prefix.
    pub affinity: bool,
    /// Whether queued prompts start in the order of their latest start, and are refused after it.
    pub deadline_order: bool,
    /// Whether prefill servers are compared by their pending work.
    pub by_work: bool,
    /// Whether evicted results count as failures of their source, servers without recent reports
    /// are suspect, and consecutive ejections double in length.
    pub health_checks: bool,
    /// Whether callers above their fair share only get spare slots.
    pub fair_share: bool,
}

/// Round robin without reservations.
pub const ROUND_ROBIN: Policy = Policy {
    name: "round-robin",
    choice: Choice::RoundRobin,
    reserve: false,
    affinity: false,
    deadline_order: false,
    by_work: false,
    health_checks: false,
    fair_share: false,
};

/// Least reported load without reservations.
pub const LEAST_REPORTED: Policy =
    Policy { name: "least-reported", choice: Choice::LeastReported, ..ROUND_ROBIN };

/// Reserves decode slots, chooses the better of two servers by estimated load, and prefers the
/// server that caches the prefix.
pub const V1: Policy =
    Policy { name: "v1", choice: Choice::Pool, reserve: true, affinity: true, ..ROUND_ROBIN };

/// Starts prompts in the order of their latest start, or refuses them.
pub const V2: Policy = Policy { name: "v2", deadline_order: true, ..V1 };

/// Compares prefill servers by their pending work.
pub const V3: Policy = Policy { name: "v3", by_work: true, ..V2 };

/// Counts evicted results as failures of their source, suspects servers without recent load
/// reports, and doubles the length of consecutive ejections.
pub const V4: Policy = Policy { name: "v4", health_checks: true, ..V3 };

/// Gives callers above their fair share only spare slots.
pub const V5: Policy = Policy { name: "v5", fair_share: true, ..V4 };

/// The policy in force.
pub const LATEST: Policy = V5;

/// All policies in the order of the table.
pub const ALL: [Policy; 7] = [ROUND_ROBIN, LEAST_REPORTED, V1, V2, V3, V4, V5];
