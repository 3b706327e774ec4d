//! The service list, which operators apply and every process enforces.

use std::{collections, sync, time};

use crate::ids;

/// A service list that has passed all checks.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceList {
    /// Services by name.
    pub services: collections::BTreeMap<ids::ServiceName, sync::Arc<Service>>,
    /// Callers by name.
    pub callers: collections::BTreeMap<ids::CallerName, Caller>,
}

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name, which callers use as `model` or as the first path segment.
    pub name: ids::ServiceName,
    /// Services that must be ready before this one.
    pub depends: Vec<ids::ServiceName>,
    /// Longest time a request may take.
    pub deadline: time::Duration,
    /// Time for which a record of each idempotency key is kept, so that a repeated key is
    /// recognized.
    pub window: time::Duration,
    /// Whether the backend servers reject outdated fencing numbers.
    pub fenced: bool,
    /// Kind of the service, with the settings specific to it.
    pub kind: Kind,
}

/// Kind of a service.
#[derive(Clone, Debug, PartialEq)]
pub enum Kind {
    /// A language model behind prefill and decode engines.
    Model(Model),
    /// Any other HTTP service.
    Plain(Plain),
}

/// A language model behind prefill and decode engines.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Weights to load, by name in the weight store.
    pub weights: String,
    /// Version of the weights.
    pub version: u64,
    /// Adapters to load after the weights.
    pub adapters: Vec<String>,
    /// Servers that run the prefill stage.
    pub prefill: Vec<ids::ServerName>,
    /// Servers that run the decode stage.
    pub decode: Vec<ids::ServerName>,
    /// Target for the time to the first token.
    pub first_token: time::Duration,
    /// Target for the mean time between tokens.
    pub between_tokens: time::Duration,
    /// Longest time a request may wait for a decode slot.
    pub max_wait: time::Duration,
}

/// A plain HTTP service.
#[derive(Clone, Debug, PartialEq)]
pub struct Plain {
    /// Servers of the service.
    pub servers: Vec<ids::ServerName>,
    /// Target for the time to the complete response.
    pub target: time::Duration,
    /// Calls that must carry an idempotency key.
    pub once: Vec<Route>,
    /// Number of calls that one server runs concurrently.
    pub slots: u32,
}

/// Method and path of a call, relative to the service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// HTTP method in upper case.
    pub method: String,
    /// Path that starts with `/`.
    pub path: String,
}

/// One caller.
#[derive(Clone, Debug, PartialEq)]
pub struct Caller {
    /// Name, used in reports.
    pub name: ids::CallerName,
    /// SHA-256 digests of the caller's keys, in lower-case hexadecimal.
    pub keys: Vec<String>,
    /// Requests per second over all entries.
    pub rate: u32,
    /// Requests in flight over all entries.
    pub concurrent: u32,
    /// Services that the caller may use; empty for all.
    pub services: Vec<ids::ServiceName>,
}

/// Role of a server in its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// Computes the KV cache of a prompt.
    Prefill,
    /// Generates tokens.
    Decode,
    /// Serves plain calls.
    Plain,
}

impl Service {
    /// Servers that keep the run records of this service: its decode or plain servers.
    pub fn servers(&self) -> &[ids::ServerName] {
        match &self.kind {
            Kind::Model(model) => &model.decode,
            Kind::Plain(plain) => &plain.servers,
        }
    }

    /// Role of `server` in this service.
    pub fn role(&self, server: &str) -> Option<Role> {
        let has = |names: &[ids::ServerName]| names.iter().any(|name| name == server);
        match &self.kind {
            Kind::Model(model) if has(&model.decode) => Some(Role::Decode),
            Kind::Model(model) if has(&model.prefill) => Some(Role::Prefill),
            Kind::Plain(plain) if has(&plain.servers) => Some(Role::Plain),
            _ => None,
        }
    }

    /// All servers of the service, prefill servers first.
    pub fn all_servers(&self) -> impl Iterator<Item = &ids::ServerName> {
        let prefill = match &self.kind {
            Kind::Model(model) => model.prefill.as_slice(),
            Kind::Plain(_) => &[],
        };
        prefill.iter().chain(self.servers())
    }

    /// Whether a call must carry an idempotency key.
    pub fn needs_key(&self, method: &str, path: &str) -> bool {
        match &self.kind {
            Kind::Model(_) => false,
            Kind::Plain(plain) => {
                plain.once.iter().any(|route| route.method == method && route.path == path)
            }
        }
    }
}

impl Caller {
    /// Whether the caller may use `service`.
    pub fn may_use(&self, service: &str) -> bool {
        self.services.is_empty() || self.services.iter().any(|name| name == service)
    }
}

impl ServiceList {
    /// Service and role of `server`, if the list names it.
    pub fn find_server(&self, server: &str) -> Option<(&Service, Role)> {
        self.services.values().find_map(|service| Some((&**service, service.role(server)?)))
    }

    /// Services in topological order: each one follows the services it depends on.
    pub fn dependency_order(&self) -> Vec<&Service> {
        let mut done = Vec::new();
        for service in self.services.values() {
            self.visit(service, &mut done);
        }
        done
    }

    fn visit<'a>(&'a self, service: &'a Service, done: &mut Vec<&'a Service>) {
        if done.iter().any(|other| other.name == service.name) {
            return;
        }
        for name in &service.depends {
            self.visit(&self.services[name], done);
        }
        done.push(service);
    }
}
