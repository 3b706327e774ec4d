//! Policies that are compared: baselines, and the versions of our own.

/// How servers are chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// In turn.
    RoundRobin,
    /// The one that reported the least load.
    LeastReported,
    /// By [`rhubarb_core::pool::Pool`].
    Pool,
}

/// A policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Name in the table.
    pub name: &'static str,
    /// How servers are chosen.
    pub choice: Choice,
    /// Whether decode room is reserved before the prefill.
    pub reserve: bool,
    /// Whether prompts prefer the server that has their prefix.
    pub affinity: bool,
    /// Whether prompts wait in the order in which they have to start, and are refused after it.
    pub due: bool,
    /// Whether prefill servers are compared by the work before them.
    pub work: bool,
    /// Whether evicted results count against their source, silent servers are suspect, and
    /// repeated ejections grow.
    pub judge: bool,
    /// Whether callers above their fair share get only what others leave free.
    pub fair: bool,
}

/// Round robin without reservation.
pub const ROUND_ROBIN: Policy = Policy {
    name: "round-robin",
    choice: Choice::RoundRobin,
    reserve: false,
    affinity: false,
    due: false,
    work: false,
    judge: false,
    fair: false,
};

/// Least reported load without reservation.
pub const LEAST_REPORTED: Policy =
    Policy { name: "least-reported", choice: Choice::LeastReported, ..ROUND_ROBIN };

/// Reservation of decode room, choice of two by corrected load, prefix affinity.
pub const V1: Policy =
    Policy { name: "v1", choice: Choice::Pool, reserve: true, affinity: true, ..ROUND_ROBIN };

/// Prompts start in the order of their targets, or are refused.
pub const V2: Policy = Policy { name: "v2", due: true, ..V1 };

/// Prefill servers are compared by the work before them.
pub const V3: Policy = Policy { name: "v3", work: true, ..V2 };

/// Servers are judged by what came of their work, and by their silence.
pub const V4: Policy = Policy { name: "v4", judge: true, ..V3 };

/// Callers above their fair share get only what others leave free.
pub const V5: Policy = Policy { name: "v5", fair: true, ..V4 };

/// The policy in force.
pub const LATEST: Policy = V5;

/// All policies in the order of the table.
pub const ALL: [Policy; 7] = [ROUND_ROBIN, LEAST_REPORTED, V1, V2, V3, V4, V5];
