//! Configuration of routes and services.

use std::{collections, time};

use crate::{customers, ids, routes, urgency};

pub use crate::route::{Host, Kind, Route, RouteName, Split};

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
    pub routes: routes::Routes,
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
        let pairs = self.routes.pairs(&before.routes).into_iter();
        let streams = pairs.filter(|(old, new)| is_stream(old) && is_stream(new));
        let moved = streams.filter(|(old, new)| old.splits != new.splits);
        let moved = moved.map(|(old, new)| (services(old), services(new)));
        moved.filter(|(old, new)| old != new).flat_map(|(_, new)| new).collect()
    }

    /// Route of a request: the longest prefix among those of `host`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes.find(host, path)
    }

    /// Whether requests to a service differ in urgency.
    pub fn is_ranked(&self, service: &str) -> bool {
        self.priority(service, urgency::Urgency::default()).is_some()
    }

    /// Place of `urgency` among those of the requests to `service`, 0 for the most urgent ones; none
    /// if all are equally urgent.
    pub fn priority(&self, service: &str, urgency: urgency::Urgency) -> Option<u8> {
        let of_rank = |rank, route| urgency::Urgency { rank, route };
        let mut all = collections::BTreeSet::new();
        all.extend(self.routes.public_ranks(service).map(|rank| of_rank(rank, rank)));
        for route in self.routes.ranks(service) {
            if self.customers.is_empty() {
                all.insert(of_rank(route, route));
            } else {
                let ranks = self.customers.ranks().map(|rank| rank.unwrap_or(route));
                all.extend(ranks.map(|rank| of_rank(rank, route)));
            }
        }
        (all.len() > 1).then(|| all.range(..urgency).count().min(MAX_PRIORITY) as u8)
    }
}
