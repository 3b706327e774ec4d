//! Routes and services in force, and the choice of a route.

use std::{collections, time};

use crate::ids;

/// Name of a route.
pub type RouteName = String;
/// Host that callers name, without a port.
pub type Host = String;

/// What may be repeated of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Idempotent: may run more than once.
    Safe,
    /// Runs at most once.
    Unsafe,
    /// A series of events; it may run again only where it is `resumable`.
    Stream {
        /// Whether another server may go on after the last event that was delivered.
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
    /// Service.
    pub service: ids::ServiceName,
    /// Share, relative to the sum of the route's weights.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name.
    pub name: RouteName,
    /// Host of its requests.
    pub host: Host,
    /// Start of the path; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// Longest time until the final answer.
    pub timeout: time::Duration,
    /// Time within which an answer, or a stream's first event, is of full use.
    pub target: time::Duration,
    /// Longest pause between the events of a stream that is in time, where the route tells one.
    pub max_gap: Option<time::Duration>,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Services behind the route.
    pub splits: Vec<Split>,
    /// Most servers at which one request may run.
    pub attempts: u32,
}

impl Route {
    /// Service for a request; `draw` is uniform over `u64`.
    pub fn service(&self, draw: u64) -> Option<&ids::ServiceName> {
        let total: u64 = self.splits.iter().map(|split| u64::from(split.weight)).sum();
        let mut at = draw % total.max(1);
        for split in &self.splits {
            let weight = u64::from(split.weight);
            if at < weight {
                return Some(&split.service);
            }
            at -= weight;
        }
        None
    }
}

/// Engines of a model service.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Requests that run at once.
    pub slots: u32,
    /// Memory for KV cache, in tokens.
    pub memory: u32,
    /// Time for which the result of a prefill is kept.
    pub handle_ttl: time::Duration,
    /// Time that a change of stage takes after running work has ended.
    pub switch_time: time::Duration,
    /// Tokens of one event of a stream.
    pub event_tokens: u32,
    /// Longest time for which memory can be set aside, where engines do that.
    pub hold_ttl: Option<time::Duration>,
}

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Connections that one server accepts from all callers together.
    pub connections: u32,
    /// Set for a service of model engines.
    pub engine: Option<Engine>,
}

/// Limits on what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Most bytes of headers.
    pub header_bytes: usize,
    /// Most bytes of a body.
    pub body_bytes: usize,
}

/// One version of the routes and services.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Version; a higher one replaces a lower one.
    pub version: ids::ListVersion,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: collections::BTreeMap<ids::ServiceName, Service>,
    /// Limits.
    pub limits: Limits,
}

impl Config {
    /// Route of a request: the longest prefix among those of `host`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let fits = |route: &&Route| {
            route.host.eq_ignore_ascii_case(host) && path.starts_with(&route.prefix)
        };
        self.routes.iter().filter(fits).max_by_key(|route| route.prefix.len())
    }
}
