//! One route: which requests it takes, and which services get them.

use std::time;

use crate::{ids, urgency};

/// Name of a route.
pub type RouteName = String;
/// Host of a request, without a port.
pub type Host = String;

/// Which of a route's requests may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Idempotent: may run more than once.
    Safe,
    /// Runs at most once.
    Unsafe,
    /// A stream of events; may run more than once only if it is `resumable`.
    Stream {
        /// Whether another server can continue after the last event that was delivered.
        resumable: bool,
    },
}

impl Kind {
    /// Whether a request that may have run can be sent again.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Kind::Safe | Kind::Stream { resumable: true })
    }
}

/// Share of a route's requests that goes to one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Split {
    /// Service that gets the requests.
    pub service: ids::ServiceName,
    /// Weight, relative to the sum of the route's weights.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name.
    pub name: RouteName,
    /// Host of its requests.
    pub host: Host,
    /// Prefix of the path; begins and ends with a slash.
    pub prefix: String,
    /// Which requests may be repeated.
    pub kind: Kind,
    /// Longest time until the final answer.
    pub timeout: time::Duration,
    /// Latency target of an answer, or of a stream's first event.
    pub target: time::Duration,
    /// Longest gap between the events of a stream that meets its target, where the route sets one.
    pub max_gap: Option<time::Duration>,
    /// Rank of its requests, unless their customer has one.
    pub rank: urgency::Rank,
    /// Whether its requests need no key of a customer.
    pub is_public: bool,
    /// Services of the route, with their weights.
    pub splits: Vec<Split>,
    /// Maximum number of servers at which one request may run.
    pub attempts: u32,
}

impl Route {
    /// Services to which requests of the route may go.
    pub fn services(&self) -> impl Iterator<Item = &ids::ServiceName> {
        self.splits.iter().filter(|split| split.weight > 0).map(|split| &split.service)
    }

    /// Chooses the service for a request; `draw` is random, uniform over `u64`.
    pub fn service(&self, draw: u64) -> Option<&ids::ServiceName> {
        let total: u64 = self.splits.iter().map(|split| u64::from(split.weight)).sum();
        let mut rest = draw % total.max(1);
        for split in &self.splits {
            let weight = u64::from(split.weight);
            if rest < weight {
                return Some(&split.service);
            }
            rest -= weight;
        }
        None
    }
}
