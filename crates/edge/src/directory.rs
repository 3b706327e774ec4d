//! Who serves what, as this entry knows it.

use std::{collections, net, sync, time};

use rhubarb_core::{engines, fleet, ids, load, outcome, pool, queueing, repeat, returns, routing};
use rhubarb_wire::share;

use crate::{lag, rows};

/// One service with its servers.
#[derive(Debug)]
pub(crate) struct Service {
    pub(crate) pool: pool::Pool,
    pub(crate) engines: engines::Engines,
    pub(crate) repeats: repeat::Repeats,
    queueing: queueing::Queueing,
    returns: collections::BTreeMap<routing::RouteName, returns::Returns>,
}

/// Server for a plain request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Choice {
    /// This one.
    Server(Target),
    /// At every server so many wait that the answer would be late.
    Saturated,
    /// There is none.
    NoServer,
}

/// A server that was chosen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Target {
    pub(crate) id: ids::ServerName,
    pub(crate) address: net::SocketAddr,
}

/// Routes, services and servers in force.
#[derive(Debug)]
pub(crate) struct Directory {
    zone: ids::ZoneName,
    allowance: repeat::Allowance,
    config: Option<sync::Arc<routing::Config>>,
    /// What the store said, as it said it.
    pub(crate) rows: rows::Rows,
    pub(crate) fleet: fleet::Fleet,
    fleet_known: bool,
    services: collections::BTreeMap<ids::ServiceName, Service>,
    /// Entries that share the retry budget, this one included.
    pub(crate) entry_count: u32,
}

/// Servers that cannot be reached, time after time, are asked less and less often.
fn new_pool(zone: &str) -> pool::Pool {
    let mut pool = pool::Pool::new(zone.to_string());
    pool.set_tuning(pool::Tuning { suspect_after: None, backoff: true });
    pool
}

/// What a refusal or failure tells of its server.
///
/// Whether a server leaves is the store's to say; one that another has the address of is only
/// left out for a while, until its entry changes.
pub(crate) fn failure_outcome(reason: outcome::Reason) -> pool::ServerOutcome {
    match reason {
        outcome::Reason::Leaving => pool::ServerOutcome::Failure(outcome::Reason::NoServer),
        reason => pool::ServerOutcome::Failure(reason),
    }
}

/// Entries that are assumed until the others are known.
const INITIAL_ENTRIES: u32 = 8;

impl Directory {
    pub(crate) fn new(zone: &str, allowance: repeat::Allowance) -> Directory {
        Directory {
            zone: zone.to_string(),
            allowance,
            config: None,
            rows: rows::Rows::default(),
            fleet: fleet::Fleet::default(),
            fleet_known: false,
            services: collections::BTreeMap::new(),
            entry_count: INITIAL_ENTRIES,
        }
    }

    /// Routes and services in force.
    pub(crate) fn config(&self) -> Option<sync::Arc<routing::Config>> {
        self.config.clone()
    }

    /// How much of the store is known.
    pub(crate) fn versions(&self) -> lag::Versions {
        let config = self.config.as_ref().map_or(0, |config| config.version);
        lag::Versions { config, servers: self.rows.version }
    }

    /// What the store said, for a peer.
    pub(crate) fn snapshot(&self, now: time::Instant) -> share::Snapshot {
        let awaited = self
            .fleet
            .missing(now)
            .map(|(key, left)| share::AwaitedServer { key: key.clone(), remaining: left });
        self.rows.snapshot(awaited.collect())
    }

    /// Whether both the config and the servers are known.
    pub(crate) fn is_complete(&self) -> bool {
        self.config.is_some() && self.fleet_known
    }

    /// Puts a config in force, unless one as new is already.
    pub(crate) fn set_config(&mut self, config: routing::Config) -> bool {
        if self.config.as_ref().is_some_and(|old| old.version >= config.version) {
            return false;
        }
        for service in self.services.values_mut() {
            service.returns.retain(|name, _| config.routes.iter().any(|route| route.name == *name));
        }
        self.config = Some(sync::Arc::new(config));
        let ids: Vec<_> = self.fleet.instances().keys().cloned().collect();
        for id in ids {
            self.place(&id);
        }
        true
    }

    /// Notes that the servers are known.
    pub(crate) fn set_fleet_known(&mut self) {
        self.fleet_known = true;
    }

    /// Makes a change of the registry known to the service.
    pub(crate) fn apply(&mut self, change: &fleet::Change) {
        match change {
            fleet::Change::Joined(id) => {
                self.forget(id);
                self.place(id);
            }
            fleet::Change::Updated(id) => self.place(id),
            fleet::Change::Leaving(id) => {
                for service in self.services.values_mut() {
                    service.pool.set_leaving(id, true);
                    service.engines.set_unusable(id);
                }
            }
            fleet::Change::Gone(id) => self.forget(id),
        }
    }

    fn forget(&mut self, id: &str) {
        for service in self.services.values_mut() {
            service.pool.remove(id);
            service.engines.remove(id);
        }
    }

    fn place(&mut self, id: &str) {
        let Some(instance) = self.fleet.get(id).cloned() else { return };
        let config = self.config.clone();
        let engine = config
            .as_ref()
            .and_then(|config| config.services.get(&instance.service))
            .and_then(|service| service.engine.clone());
        let service = self.service(&instance.service);
        let is_new = service.pool.get(id).is_none();
        service.pool.add(id, &instance.zone);
        if is_new {
            let rooms = instance.slots;
            let idle = load::Load { slots: rooms, ..load::Load::default() };
            service.pool.update_load(id, idle, rhubarb_node::clock::now());
        }
        service.pool.set_leaving(id, instance.leaving);
        if let Some(engine) = engine {
            service.engines.set(id, &instance, engine.slots, engine.memory);
        }
    }

    /// The service `name`, made on first use.
    pub(crate) fn service(&mut self, name: &str) -> &mut Service {
        let (zone, allowance) = (&self.zone, self.allowance);
        let fresh = || Service {
            pool: new_pool(zone),
            engines: engines::Engines::default(),
            repeats: repeat::Repeats::new(allowance),
            queueing: queueing::Queueing::default(),
            returns: collections::BTreeMap::new(),
        };
        self.services.entry(name.to_string()).or_insert_with(fresh)
    }

    /// All services.
    pub(crate) fn services(&mut self) -> impl Iterator<Item = &mut Service> {
        self.services.values_mut()
    }

    /// All services by name.
    pub(crate) fn named_services(
        &mut self,
    ) -> impl Iterator<Item = (&ids::ServiceName, &mut Service)> {
        self.services.iter_mut()
    }

    fn engine(&self, service: &str) -> Option<&routing::Engine> {
        self.config.as_ref()?.services.get(service)?.engine.as_ref()
    }

    /// Time that a change of stage takes at a service's engines.
    pub(crate) fn switch_time(&self, service: &str) -> time::Duration {
        self.engine(service).map_or(time::Duration::ZERO, |engine| engine.switch_time)
    }

    /// Tokens of one event of a service's streams.
    pub(crate) fn event_tokens(&self, service: &str) -> u32 {
        self.engine(service).map_or(1, |engine| engine.event_tokens)
    }

    /// Where a server is reached.
    pub(crate) fn target(&self, id: &str) -> Option<Target> {
        let instance = self.fleet.get(id)?;
        Some(Target { id: id.to_string(), address: instance.address })
    }

    /// Chooses a server of a plain service.
    pub(crate) fn pick(
        &mut self,
        service: &str,
        target: time::Duration,
        tried: &[ids::ServerName],
        now: time::Instant,
    ) -> Choice {
        let wish = pool::Criteria { tried, affinity: None, random: rand::random(), by_work: false };
        let Service { pool, queueing, .. } = self.service(service);
        let Some(mut id) = pool.pick(wish, now) else { return Choice::NoServer };
        let is_late = |id: &str| {
            let slots = pool.get(id).map_or(0, |server| server.load.slots);
            queueing.limit(slots, target).is_some_and(|limit| pool.busy(id) >= limit)
        };
        if is_late(&id) {
            let all = pool.candidates(tried, |_| true, now);
            let Some(least) = all.into_iter().min_by_key(|id| pool.busy(id)).cloned() else {
                return Choice::NoServer;
            };
            if is_late(&least) {
                return Choice::Saturated;
            }
            id = least;
        }
        pool.record_sent(&id, time::Duration::ZERO);
        self.target(&id).map_or(Choice::NoServer, Choice::Server)
    }

    /// Notes a request, and whether its caller, who waits for `left`, has asked before.
    pub(crate) fn record_request(
        &mut self,
        service: &str,
        route: &str,
        left: time::Duration,
    ) -> bool {
        let returns = &mut self.service(service).returns;
        returns.entry(route.to_string()).or_default().note(left)
    }

    /// Learns how long a plain service works on a request.
    pub(crate) fn record_service_time(
        &mut self,
        service: &str,
        took: time::Duration,
        load: load::Load,
    ) {
        self.service(service).queueing.learn(took, load);
    }

    /// Takes the load that a server told with an answer.
    pub(crate) fn update_load(
        &mut self,
        service: &str,
        id: &str,
        load: load::Load,
        now: time::Instant,
    ) {
        // Whether a server leaves is the store's to say.
        let leaving = self.fleet.get(id).is_none_or(|instance| instance.leaving);
        self.service(service).pool.update_load(id, load::Load { leaving, ..load }, now);
    }

    /// Changes the bounds on repeated sends.
    pub(crate) fn set_allowance(&mut self, allowance: repeat::Allowance) {
        self.allowance = allowance;
        for service in self.services.values_mut() {
            service.repeats.set_allowance(allowance);
        }
    }

    /// Whether a server has announced that it leaves, or is gone.
    pub(crate) fn is_leaving(&self, id: &str) -> bool {
        self.fleet.get(id).is_none_or(|instance| instance.leaving)
    }

    /// Takes `sends` repeats from the service's budget.
    pub(crate) fn spend_repeats(&mut self, service: &str, sends: u32, now: time::Instant) -> bool {
        let entries = self.entry_count;
        self.service(service).repeats.take(sends, entries, now)
    }
}
