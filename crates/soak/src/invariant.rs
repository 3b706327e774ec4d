//! Invariants of a soak, and their violations.

use std::fmt;

/// An invariant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// A request runs at most as often as its kind allows: once, unless it may be retried.
    RunCount,
    /// A request that was rejected as not run did not run.
    NotRun,
    /// Such a rejection has a `Retry-After` header.
    RetryAfter,
    /// A response belongs to its request, and is complete or visibly truncated.
    Intact,
    /// A healthy entry answers each request.
    Answered,
    /// A healthy entry answers within the timeout of the route.
    Deadline,
    /// A stopping entry finishes the requests it has accepted and exits with code 0.
    GracefulStop,
    /// An entry does not end by itself.
    Running,
    /// The events of a stream are of one software version.
    OneVersion,
    /// A run goes on only from a handle of its own attempt, and a response is for its request.
    Mixed,
    /// A server that leaves, as its answers or the store say, gets no more requests.
    Leaving,
    /// A server gets at most two requests from an entry in the pause that it asked for.
    Paused,
    /// After five crashes by requests with one part, no more of these reach servers.
    Isolated,
    /// After three crashes by one request that is sent again and again, it no longer reaches servers.
    Repeated,
    /// A server that names a limit gets no more requests than that, and half as many.
    Limited,
    /// No server gets the key of a customer, or the name of another than the caller's.
    Customer,
    /// A version of the config is in force within its deadline.
    InForce,
    /// An entry never goes back to an older config.
    NoRollback,
    /// Each entry serves all kinds of requests again soon after the last fault.
    Recovered,
    /// Engines hold no memory for requests that have ended.
    NoLeak,
}

/// A violated invariant.
#[derive(Clone, Debug)]
pub struct Violation {
    /// Violated invariant.
    pub invariant: Invariant,
    /// What was observed.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.invariant, self.detail)
    }
}
