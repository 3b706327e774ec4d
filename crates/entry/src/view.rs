//! An entry's view of services, servers and instances.

use std::{collections, net, time};

use subtle::ConstantTimeEq;

use rhubarb_core::{
    budget, fair_share, ids, list, load, owner, pool, prefill_time, revisions, subset,
};
use rhubarb_node::{instances, service_list};

/// Key of a pool: its service and role.
pub(crate) type PoolKey = (ids::ServiceName, list::Role);

/// Consecutive load reports that may be missing before a server is suspect.
const MAX_MISSED_REPORTS: u32 = 3;
/// Additional time for a delayed load report.
const REPORT_SLACK: time::Duration = time::Duration::from_millis(300);

/// Service list, instances and pools, as one entry knows them.
#[derive(Debug)]
pub(crate) struct View {
    name: String,
    zone: ids::ZoneName,
    subset_size: usize,
    revisions: revisions::Revisions,
    pub(crate) instances: collections::BTreeMap<ids::ServerName, instances::Instance>,
    pub(crate) has_instances: bool,
    pools: collections::BTreeMap<PoolKey, pool::Pool>,
    candidates: collections::BTreeMap<PoolKey, Vec<subset::Candidate>>,
    members: collections::BTreeMap<ids::ServiceName, owner::Members>,
    budgets: collections::BTreeMap<ids::ServiceName, budget::RetryBudget>,
    fair_shares: collections::BTreeMap<ids::ServiceName, fair_share::FairShare>,
    prefill_times: collections::BTreeMap<ids::ServiceName, prefill_time::PrefillTime>,
    key_digests: collections::BTreeMap<String, ids::CallerName>,
}

impl View {
    pub(crate) fn new(name: &str, zone: &str, subset_size: usize) -> View {
        View {
            name: name.to_string(),
            zone: zone.to_string(),
            subset_size,
            revisions: revisions::Revisions::default(),
            instances: collections::BTreeMap::new(),
            has_instances: false,
            pools: collections::BTreeMap::new(),
            candidates: collections::BTreeMap::new(),
            members: collections::BTreeMap::new(),
            budgets: collections::BTreeMap::new(),
            fair_shares: collections::BTreeMap::new(),
            prefill_times: collections::BTreeMap::new(),
            key_digests: collections::BTreeMap::new(),
        }
    }

    /// Version of the list in force; 0 while there is none.
    pub(crate) fn version(&self) -> ids::ListVersion {
        self.revisions.version()
    }

    /// List in force.
    pub(crate) fn list(&self) -> &list::ServiceList {
        &self.revisions.current().list
    }

    /// Update for a peer that has `version`; `None` if it is up to date.
    pub(crate) fn update_from(&self, version: ids::ListVersion) -> Option<revisions::Update> {
        self.revisions.update_from(version)
    }

    /// Applies an update of the service list; returns whether a newer list is in force.
    pub(crate) fn apply_update(
        &mut self,
        update: &service_list::ListUpdate,
        now: time::Instant,
    ) -> bool {
        let Some(affected) = service_list::apply_update(&mut self.revisions, update) else {
            return false;
        };
        match affected {
            revisions::Affected::All => {
                self.key_digests.clear();
                let callers: Vec<_> = self.list().callers.keys().cloned().collect();
                self.index_callers(&callers);
                self.rebuild(now);
            }
            revisions::Affected::Part { callers, services } => {
                self.key_digests.retain(|_, name| !callers.contains(name));
                self.index_callers(&callers);
                if services {
                    self.rebuild(now);
                }
            }
        }
        true
    }

    fn index_callers(&mut self, names: &[ids::CallerName]) {
        for name in names {
            let Some(caller) = self.revisions.current().list.callers.get(name) else { continue };
            for key in &caller.keys {
                self.key_digests.insert(key.clone(), name.clone());
            }
        }
    }

    /// Replaces the instance list.
    pub(crate) fn update_instances(
        &mut self,
        listed: Vec<instances::Instance>,
        now: time::Instant,
    ) {
        let is_same = listed.len() == self.instances.len()
            && listed.iter().all(|instance| self.instances.get(&instance.name) == Some(instance));
        if is_same && self.has_instances {
            return;
        }
        for instance in &listed {
            let old = self.instances.get(&instance.name);
            if old.is_some_and(|old| old.address != instance.address) {
                self.forget_process(&instance.name);
            }
        }
        self.instances =
            listed.into_iter().map(|instance| (instance.name.clone(), instance)).collect();
        self.has_instances = true;
        self.rebuild(now);
    }

    // A new address means a new process, whose load and health are not known yet.
    fn forget_process(&mut self, server: &str) {
        for (key, pool) in &mut self.pools {
            if pool.get(server).is_some() {
                pool.remove(server);
                self.candidates.remove(key);
            }
        }
    }

    fn rebuild(&mut self, now: time::Instant) {
        let services: Vec<_> = self.list().services.values().cloned().collect();
        self.pools.retain(|(service, _), _| services.iter().any(|other| other.name == *service));
        for service in &services {
            for role in [list::Role::Prefill, list::Role::Decode, list::Role::Plain] {
                self.rebuild_pool(service, role);
            }
            let is_gone = |name: &str| !self.instances.contains_key(name);
            let members = self.members.entry(service.name.clone()).or_default();
            members.observe(service.servers(), is_gone, now);
            members.forget(service.servers(), service.window, now);
        }
        self.tune_pools();
    }

    // Load reports are requested less often if more servers are followed, so the age at which a
    // server is suspect grows with their number.
    fn tune_pools(&mut self) {
        let followed: usize = self.pools.values().map(|pool| pool.names().count()).sum();
        let suspect_after = subset::period(followed) * MAX_MISSED_REPORTS + REPORT_SLACK;
        for pool in self.pools.values_mut() {
            pool.set_tuning(pool::Tuning {
                suspect_after: Some(suspect_after),
                backoff: true,
                by_time: false,
            });
        }
    }

    fn rebuild_pool(&mut self, service: &list::Service, role: list::Role) {
        let candidates: Vec<_> = service
            .all_servers()
            .filter(|name| service.role(name) == Some(role))
            .filter_map(|name| self.instances.get(name))
            .map(|instance| subset::Candidate {
                name: instance.name.clone(),
                zone: instance.zone.clone(),
            })
            .collect();
        let key = (service.name.clone(), role);
        let new_pool = || pool::Pool::new(self.zone.clone());
        let pool = self.pools.entry(key.clone()).or_insert_with(new_pool);
        if self.candidates.get(&key) != Some(&candidates) {
            let chosen = subset::choose(&self.name, &self.zone, &candidates, self.subset_size);
            pool.retain(|name| chosen.iter().any(|other| other == name));
            let is_chosen = |candidate: &&subset::Candidate| chosen.contains(&candidate.name);
            for candidate in candidates.iter().filter(is_chosen) {
                pool.add(&candidate.name, &candidate.zone);
            }
            self.candidates.insert(key, candidates);
        }
        let names: Vec<_> = pool.names().cloned().collect();
        for name in names {
            let is_leaving = self.instances[&name].state == instances::State::Leaving;
            pool.set_listed_leaving(&name, is_leaving);
        }
    }

    /// Caller whose key has `digest`.
    ///
    /// The lookup compares digests, whose timing reveals nothing about the key, and the final
    /// comparison takes constant time.
    pub(crate) fn caller(&self, digest: &str) -> Option<&list::Caller> {
        let (known, name) = self.key_digests.range(digest.to_string()..).next()?;
        let is_same = bool::from(known.as_bytes().ct_eq(digest.as_bytes()));
        self.list().callers.get(name).filter(|_| is_same)
    }

    /// Pool of a service and role.
    pub(crate) fn pool(&mut self, service: &str, role: list::Role) -> Option<&mut pool::Pool> {
        self.pools.get_mut(&(service.to_string(), role))
    }

    /// Updates the load of a server, as reported by a process of its agent, in the pools that
    /// contain it.
    pub(crate) fn update_load(
        &mut self,
        server: &str,
        incarnation: ids::Incarnation,
        load: load::Load,
        now: time::Instant,
    ) {
        for pool in self.pools.values_mut() {
            pool.update_report(server, incarnation, load, now);
        }
    }

    /// Records that a process of a server's agent refused a run because it is leaving.
    pub(crate) fn record_leaving(&mut self, server: &str, incarnation: ids::Incarnation) {
        for pool in self.pools.values_mut() {
            pool.record_leaving(server, incarnation);
        }
    }

    /// Row of a server in the instance list if it says that the server is leaving.
    pub(crate) fn leaving_instance(&self, server: &str) -> Option<&instances::Instance> {
        let instance = self.instances.get(server)?;
        (instance.state == instances::State::Leaving).then_some(instance)
    }

    /// Owner of an idempotency key.
    pub(crate) fn owner(&self, service: &str, key: ids::KeyHash) -> Option<ids::ServerName> {
        self.members.get(service)?.owner(key).cloned()
    }

    /// Fair shares of the callers of a service.
    pub(crate) fn fair_share(&mut self, service: &str) -> &mut fair_share::FairShare {
        self.fair_shares.entry(service.to_string()).or_default()
    }

    /// Prefill time of the engines of a service, estimated from completed prompts.
    pub(crate) fn prefill_time(&mut self, service: &str) -> &mut prefill_time::PrefillTime {
        self.prefill_times.entry(service.to_string()).or_default()
    }

    /// Retry budget of a service.
    pub(crate) fn budget(&mut self, service: &str) -> &mut budget::RetryBudget {
        self.budgets.entry(service.to_string()).or_default()
    }

    /// Address of a server's agent.
    pub(crate) fn address(&self, server: &str) -> Option<net::SocketAddr> {
        self.instances.get(server).map(|instance| instance.address)
    }

    /// Number of followed servers that accept requests.
    pub(crate) fn usable_count(&self, now: time::Instant) -> usize {
        self.pools.values().map(|pool| pool.usable_count(now)).sum()
    }

    /// Followed servers and the addresses of their agents.
    pub(crate) fn followed(&self) -> Vec<(ids::ServerName, net::SocketAddr)> {
        let names = self.pools.values().flat_map(|pool| pool.names());
        names.filter_map(|name| Some((name.clone(), self.address(name)?))).collect()
    }

    /// Servers that the platform reports as leaving.
    pub(crate) fn leaving(&self) -> collections::BTreeSet<ids::ServerName> {
        let leaving = self.instances.values().filter(|instance| {
            instance.kind == instances::Kind::Server && instance.state == instances::State::Leaving
        });
        leaving.map(|instance| instance.name.clone()).collect()
    }

    /// Servers of the services whose dependencies are all ready.
    pub(crate) fn depends_ready(&self) -> collections::BTreeSet<ids::ServerName> {
        let services = self.list().services.values();
        let ready =
            services.filter(|service| service.depends.iter().all(|name| self.is_ready(name)));
        ready.flat_map(|service| service.all_servers()).cloned().collect()
    }

    // Whether in each non-empty pool of the service at least one followed server has slots.
    fn is_ready(&self, service: &str) -> bool {
        let pools = self.pools.iter().filter(|((name, _), _)| name == service);
        let mut pools = pools.filter(|(_, pool)| pool.names().next().is_some());
        pools.all(|(_, pool)| {
            pool.names().filter_map(|name| pool.get(name)).any(|server| server.load.slots > 0)
        })
    }

    /// Number of live entries, this one included.
    pub(crate) fn entry_count(&self) -> u32 {
        let is_entry = |instance: &&instances::Instance| {
            instance.kind == instances::Kind::Entry && instance.state == instances::State::Live
        };
        (self.instances.values().filter(is_entry).count() as u32).max(1)
    }
}
