//! Routes and services in force, and the choice of a route.

use std::{collections, time};

use crate::{customers, ids, urgency};

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

/// Engines of a model service.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Requests that run at once.
    pub slots: u32,
    /// Memory of the KV cache, in tokens.
    pub memory: u32,
    /// Time for which an engine keeps the result of a prefill.
    pub handle_ttl: time::Duration,
    /// Time that a change of stage takes once the running work has ended.
    pub switch_time: time::Duration,
    /// Tokens in one event of a stream.
    pub event_tokens: u32,
    /// Longest time for which an engine holds memory for a request, if it supports holds.
    pub hold_ttl: Option<time::Duration>,
}

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Connections that one server accepts from all callers together.
    pub connections: u32,
    /// Path of the health check, if it is known.
    pub health_path: Option<String>,
    /// Engines, if the service runs a model.
    pub engine: Option<Engine>,
}

/// Limits on what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of the headers, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a body, in bytes.
    pub body_bytes: usize,
}

/// Highest number of a priority, which engines serve last.
const MAX_PRIORITY: usize = 9;

/// One version of the configuration of routes and services.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Version; a higher one replaces a lower one.
    pub version: ids::ListVersion,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: collections::BTreeMap<ids::ServiceName, Service>,
    /// Customers; without any, all requests are served.
    pub customers: customers::Customers,
    /// Limits on what callers send.
    pub limits: Limits,
}

impl Config {
    /// Services of which streams may be taken up that another service has begun, since the services of
    /// their route are others than in the config `before`.
    pub fn mingled(&self, before: &Config) -> collections::BTreeSet<ids::ServiceName> {
        let services = |route: &Route| -> collections::BTreeSet<ids::ServiceName> {
            route.services().cloned().collect()
        };
        let is_stream = |route: &Route| matches!(route.kind, Kind::Stream { .. });
        // A route that was added or removed takes requests from another one, or leaves them to it.
        let added = self
            .routes
            .iter()
            .filter_map(|route| Some((before.route(&route.host, &route.prefix)?, route)));
        let removed = before
            .routes
            .iter()
            .filter_map(|route| Some((route, self.route(&route.host, &route.prefix)?)));
        let pairs = added.chain(removed).filter(|(old, new)| is_stream(old) && is_stream(new));
        let changed = pairs.map(|(old, new)| (services(old), services(new)));
        changed.filter(|(old, new)| old != new).flat_map(|(_, new)| new).collect()
    }

    /// Route of a request: the longest prefix among those of `host`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let matches = |route: &&Route| {
            route.host.eq_ignore_ascii_case(host) && path.starts_with(&route.prefix)
        };
        self.routes.iter().filter(matches).max_by_key(|route| route.prefix.len())
    }

    /// Whether requests to a service differ in urgency.
    pub fn is_ranked(&self, service: &str) -> bool {
        self.priority(service, urgency::Urgency::default()).is_some()
    }

    /// Place of `urgency` among those of the requests to `service`, 0 for the most urgent ones; none
    /// if all are equally urgent.
    pub fn priority(&self, service: &str, urgency: urgency::Urgency) -> Option<u8> {
        let serves = |route: &&Route| route.splits.iter().any(|split| split.service == service);
        let mut all = collections::BTreeSet::new();
        for route in self.routes.iter().filter(serves) {
            let of_rank = |rank| urgency::Urgency { rank, route: route.rank };
            if route.is_public || self.customers.is_empty() {
                all.insert(of_rank(route.rank));
            } else {
                let ranks = self.customers.iter().map(|one| one.rank.unwrap_or(route.rank));
                all.extend(ranks.map(of_rank));
            }
        }
        (all.len() > 1).then(|| all.range(..urgency).count().min(MAX_PRIORITY) as u8)
    }
}
