//! Routes, services and servers as this entry knows them.

use std::{collections, net, sync, time};

use rhubarb_core::{
    agreement, beginnings, cells, demand, engines, fleet, history, ids, load, misdirected, pauses,
    pool, queue_limit, quotas, releases, retry, retry_detector, routing, stamp, uses,
};
use rhubarb_wire::share;

use tokio::sync as tokio_sync;

use crate::{lag, metrics, process_names, rows};

/// State of one service.
#[derive(Debug)]
pub(crate) struct Service {
    pub(crate) pool: pool::Pool,
    pub(crate) engines: engines::Engines,
    pub(crate) beginnings: beginnings::Beginnings,
    pub(crate) retry_budget: retry::SharedBudget,
    pub(crate) demand: demand::Demand,
    queue_limit: queue_limit::QueueLimit,
    retry_detectors: collections::BTreeMap<routing::RouteName, retry_detector::RetryDetector>,
}

/// Result of the choice of a server for a plain request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Choice {
    /// The server to send to.
    Server(Target),
    /// The queue of every server is too long for the latency target.
    Saturated,
    /// All servers have asked for a pause; the first is sent to again after this time.
    Paused(pauses::Closed),
    /// No server is available.
    NoServer,
}

/// A process of a server and its address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Target {
    pub(crate) id: ids::ServerName,
    pub(crate) address: net::SocketAddr,
    pub(crate) process: pauses::Process,
    /// Version of its software.
    pub(crate) software: ids::SoftwareTag,
}

impl Target {
    /// Tag of the process, for other entries.
    pub(crate) fn process_tag(&self) -> ids::ProcessTag {
        let (server, started_ms) = &self.process;
        ids::process_tag(server, *started_ms)
    }

    /// The process at its registered address.
    pub(crate) fn place(&self) -> misdirected::Place {
        misdirected::Place { process: self.process_tag(), address: self.address }
    }
}

/// The config and the servers in use, with the state of each service.
#[derive(Debug)]
pub(crate) struct Directory {
    zone: ids::ZoneName,
    retry_limits: retry::BudgetLimits,
    // Start of the process, if it may have followed another one.
    started_at: Option<time::Instant>,
    config: Option<sync::Arc<routing::Config>>,
    /// Rows as read from the store.
    pub(crate) rows: rows::Rows,
    pub(crate) fleet: fleet::Fleet,
    fleet_known: bool,
    processes: process_names::ProcessNames,
    services: collections::BTreeMap<ids::ServiceName, Service>,
    /// Number of entries that share the retry budget, this one included, if it is known.
    pub(crate) entry_count: Option<u32>,
    /// Place of this entry among the live ones.
    pub(crate) place: Place,
    partition: cells::Partition,
    own_cell: cells::CellId,
    // Counts the servers that were found to be leaving.
    leaving: metrics::SourceFamily,
    releases: releases::Releases,
    // When the streams of other services may last have come to a service, by a change of a route.
    mingled: collections::BTreeMap<ids::ServiceName, time::Instant>,
    // When this process first read the histories of versions, in Unix milliseconds, and the versions
    // that were the only ones on record then.
    initial: Option<(u64, collections::BTreeMap<ids::ServiceName, ids::SoftwareTag>)>,
    // Start of the first known server of each version that tells it, in Unix milliseconds.
    starts: collections::BTreeMap<ids::SoftwareTag, u64>,
    // Servers whose running processes have no row yet: it still names the one before.
    unregistered: collections::BTreeSet<ids::ServerName>,
    // Servers that were down since their rows were last written.
    unverified: collections::BTreeSet<ids::ServerName>,
    // Engines that are not used yet, since the store has no record of their versions or of their use here.
    held: collections::BTreeSet<ids::ServerName>,
    /// Versions at which streams may begin here.
    pub(crate) uses: uses::Own,
    /// Notifies the writer of their record that an engine is held back.
    pub(crate) engine_held: sync::Arc<tokio_sync::Notify>,
    // When a server of a service was last replaced under its id by one of another version.
    replaced: collections::BTreeMap<ids::ServiceName, time::Instant>,
}

/// Time after its begin within which a stream may be taken up, as a multiple of the longest timeout of
/// a stream: callers come back after up to a third of the time that they have left.
const STREAM_WINDOW: f64 = 1.5;
/// Time from the start of the first server of a version within which no stream begins at it without a
/// record, less the difference of clocks that is allowed for.
const UNUSED_TIME: time::Duration = time::Duration::from_secs(7);
/// Number of entries to count in a fleet of unknown size.
const UNKNOWN_ENTRIES: u32 = 8;

/// Place of an entry in its fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Place {
    /// Number of live entries with a lower address.
    pub(crate) rank: u32,
    /// Number of live entries, this one included.
    pub(crate) entries: u32,
    /// Number of live entries of its cell, this one not included.
    pub(crate) peers: u32,
}

/// Where an entry learned a change of the servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Source {
    /// Read from the store.
    Store,
    /// Received from a peer.
    Peer,
    /// The server's own answer.
    Answer,
    /// The grace period of a server without a row has expired.
    Grace,
}

impl Source {
    fn name(self) -> &'static str {
        match self {
            Source::Store => "store",
            Source::Peer => "peer",
            Source::Answer => "answer",
            Source::Grace => "grace",
        }
    }
}

/// Makes a pool in which consecutive ejections of a server get longer.
fn new_pool(zone: &str) -> pool::Pool {
    let mut pool = pool::Pool::new(zone.to_string());
    pool.set_tuning(pool::Tuning { suspect_after: None, backoff: true, by_time: true });
    pool
}

impl Directory {
    /// Creates a directory that knows nothing, for an entry in `zone` that has started at `started_at`
    /// if it may have run before. `leaving` counts the servers that are found to be leaving;
    /// `releases` has no server yet.
    pub(crate) fn new(
        zone: &str,
        retry_limits: retry::BudgetLimits,
        started_at: Option<time::Instant>,
        leaving: metrics::SourceFamily,
        releases: releases::Releases,
    ) -> Directory {
        Directory {
            zone: zone.to_string(),
            retry_limits,
            started_at,
            config: None,
            rows: rows::Rows::default(),
            fleet: fleet::Fleet::default(),
            fleet_known: false,
            processes: process_names::ProcessNames::default(),
            services: collections::BTreeMap::new(),
            entry_count: None,
            place: Place::default(),
            partition: cells::Partition::default(),
            own_cell: cells::CellId::default(),
            leaving,
            releases,
            mingled: collections::BTreeMap::new(),
            initial: None,
            starts: collections::BTreeMap::new(),
            unregistered: collections::BTreeSet::new(),
            unverified: collections::BTreeSet::new(),
            held: collections::BTreeSet::new(),
            uses: uses::Own::default(),
            engine_held: sync::Arc::default(),
            replaced: collections::BTreeMap::new(),
        }
    }

    /// The config in use.
    pub(crate) fn config(&self) -> Option<sync::Arc<routing::Config>> {
        self.config.clone()
    }

    /// Versions of the config and the servers in use.
    pub(crate) fn versions(&self) -> lag::Versions {
        let config = self.config.as_ref().map_or(0, |config| config.version);
        lag::Versions { config, servers: self.rows.version() }
    }

    /// Snapshot of the store's rows for a peer.
    pub(crate) fn snapshot(
        &self,
        known: share::SnapshotRequest,
        now: time::Instant,
    ) -> share::Snapshot {
        let awaited = self
            .fleet
            .missing(now)
            .map(|(key, remaining)| share::AwaitedServer { key: key.clone(), remaining });
        self.rows.snapshot(known, awaited.collect())
    }

    /// Whether both the config and the servers are known.
    pub(crate) fn is_complete(&self) -> bool {
        self.config.is_some() && self.fleet_known
    }

    /// Applies a config; false if the one in use is at least as new.
    pub(crate) fn set_config(&mut self, config: routing::Config) -> bool {
        if self.config.as_ref().is_some_and(|old| old.version >= config.version) {
            return false;
        }
        for service in self.services.values_mut() {
            service.retry_detectors.retain(|name, _| config.routes.has_name(name));
        }
        let streams =
            config.routes.iter().filter(|route| matches!(route.kind, routing::Kind::Stream { .. }));
        let longest = streams.map(|route| route.timeout).max().unwrap_or_default();
        let now = rhubarb_node::clock::now();
        self.releases.set_window(longest.mul_f64(STREAM_WINDOW), now);
        let mingled = self.config.as_ref().map(|old| config.mingled(old)).unwrap_or_default();
        if !mingled.is_empty() {
            tracing::info!(?mingled, "edge: streams of other services may be taken up");
        }
        self.mingled.extend(mingled.into_iter().map(|service| (service, now)));
        let changed = self.with_other_engines(&config);
        self.config = Some(sync::Arc::new(config));
        for id in changed {
            self.update_server(&id);
        }
        true
    }

    // Servers of the services whose engines a config has otherwise than the one in use.
    fn with_other_engines(&self, config: &routing::Config) -> Vec<ids::ServerName> {
        fn engine<'a>(config: &'a routing::Config, service: &str) -> Option<&'a routing::Engine> {
            config.services.get(service)?.engine.as_ref()
        }
        let in_use = |service: &str| self.config.as_ref().and_then(|old| engine(old, service));
        let is_other = |service: &str| engine(config, service) != in_use(service);
        let services: collections::BTreeSet<_> =
            self.services.keys().filter(|service| is_other(service)).collect();
        let servers = self.fleet.instances().iter();
        let servers = servers.filter(|(_, known)| services.contains(&known.service));
        servers.map(|(id, _)| id.clone()).collect()
    }

    /// Records that the servers are known.
    pub(crate) fn set_fleet_known(&mut self) {
        if !std::mem::replace(&mut self.fleet_known, true) {
            self.releases.set_known(rhubarb_node::clock::now());
        }
    }

    // Applies a change of the registered servers to the services.
    fn apply(&mut self, change: &fleet::Change) {
        match change {
            fleet::Change::Joined(id) => {
                self.remove_server(id);
                self.update_server(id);
            }
            fleet::Change::Updated(id) => self.update_server(id),
            fleet::Change::Leaving(id) => {
                for service in self.services.values_mut() {
                    service.pool.set_leaving(id, true);
                    service.engines.set_unusable(id);
                }
            }
            fleet::Change::Gone(id) => self.remove_server(id),
        }
    }

    /// Records that a server has announced that it is leaving, in an answer that was received at
    /// `now_ms`, in Unix milliseconds, to a request to `process`.
    pub(crate) fn record_leaving(&mut self, process: &pauses::Process, now_ms: u64) {
        let (id, started_ms) = process;
        if let Some(change) = self.fleet.set_leaving(id, *started_ms, now_ms) {
            self.record_change(&change, self.rows.version(), Source::Answer);
        }
    }

    /// Logs a change of the servers as of `version` of the store, and applies it to the services.
    pub(crate) fn record_change(
        &mut self,
        change: &fleet::Change,
        version: stamp::Stamp,
        source: Source,
    ) {
        if matches!(change, fleet::Change::Leaving(_)) {
            let labels = metrics::SourceLabels { source: source.name().to_string() };
            self.leaving.get_or_create(&labels).inc();
        }
        let open = self.open_requests(change);
        let known = self.changed_instance(change);
        tracing::info!(
            ?change,
            %version,
            source = source.name(),
            open,
            software = known.map(|known| known.software.as_str()),
            born = known.and_then(|known| known.started_ms),
            sequence = known.map(|known| known.sequence),
            "edge: servers changed"
        );
        self.apply(change);
    }

    // Registration of the server that a change is about.
    fn changed_instance(&self, change: &fleet::Change) -> Option<&fleet::Instance> {
        let (fleet::Change::Joined(id)
        | fleet::Change::Updated(id)
        | fleet::Change::Leaving(id)
        | fleet::Change::Gone(id)) = change;
        self.fleet.get(id)
    }

    // Requests of this entry in flight at the plain server that a change is about.
    fn open_requests(&self, change: &fleet::Change) -> u32 {
        let (fleet::Change::Joined(id)
        | fleet::Change::Updated(id)
        | fleet::Change::Leaving(id)
        | fleet::Change::Gone(id)) = change;
        let servers = self.services.values().filter_map(|service| service.pool.get(id));
        servers.map(|server| server.open).sum()
    }

    fn remove_server(&mut self, id: &str) {
        self.releases.remove(id, rhubarb_node::clock::now());
        self.record_row(id);
        self.held.remove(id);
        self.processes.remove(id);
        for service in self.services.values_mut() {
            service.pool.remove(id);
            service.engines.remove(id);
            service.beginnings.remove(id);
        }
    }

    fn update_server(&mut self, id: &str) {
        let Some(instance) = self.fleet.get(id).cloned() else { return };
        let process = ids::process_tag(id, instance.started_ms);
        self.processes.set(id, process);
        let software = ids::software_tag(&instance.service, &instance.software);
        if let Some(start) = instance.started_ms {
            let first = self.starts.entry(software).or_insert(start);
            *first = start.min(*first);
        }
        if self.releases.set(id, &instance.service, software, rhubarb_node::clock::now()) {
            let (service, version) = (&instance.service, &instance.software);
            tracing::info!(service, version, software, "edge: software version of servers added");
        }
        let config = self.config.clone();
        let engine = config
            .as_ref()
            .and_then(|config| config.services.get(&instance.service))
            .and_then(|service| service.engine.clone());
        let now = rhubarb_node::clock::now();
        let is_used = self.releases.is_used(&instance.service, software, now);
        let is_held =
            engine.is_some() && !(is_used && self.uses.admits(&instance.service, software, now));
        let service = self.service(&instance.service);
        let is_new = service.pool.get(id).is_none();
        service.pool.add(id, &instance.zone);
        if is_new {
            let slots = instance.slots;
            let idle = load::Load { slots, ..load::Load::default() };
            service.pool.update_load(id, idle, rhubarb_node::clock::now());
        }
        service.pool.set_leaving(id, instance.leaving);
        if is_held {
            service.engines.remove(id);
            if self.held.insert(id.to_string()) {
                self.engine_held.notify_one();
            }
        } else if let Some(engine) = engine {
            service.engines.set(id, &instance, engine.slots, engine.memory);
            if let Some(stage) = instance.stage {
                service.beginnings.set(id, (process, software), stage, engine.memory);
            }
        }
    }

    /// Uses the engines that were held back, as far as their versions may be used `now`; returns whether
    /// there were any.
    pub(crate) fn release_held(&mut self) -> bool {
        let held = std::mem::take(&mut self.held);
        for id in &held {
            self.update_server(id);
        }
        let used = held.difference(&self.held);
        let mut released = 0;
        for id in used {
            tracing::info!(server = id, "edge: engine of a recorded version used");
            released += 1;
        }
        released > 0
    }

    /// Services whose histories of versions are to be written, in the store's `era`.
    pub(crate) fn history_needs(
        &self,
        era: stamp::Era,
        now: time::Instant,
    ) -> collections::BTreeMap<ids::ServiceName, history::Need> {
        let services = self.config.iter().flat_map(|config| &config.services);
        let with_engines = services.filter(|(_, service)| service.engine.is_some());
        let needs =
            with_engines.map(|(name, _)| (name.clone(), self.releases.need(name, era, now)));
        needs.filter(|(_, need)| *need != history::Need::None).collect()
    }

    /// Forgets the use of versions whose streams can no longer be taken up.
    pub(crate) fn forget_uses(&mut self) {
        let releases = &self.releases;
        self.uses
            .retain(|service, software| releases.versions(service).any(|known| known == software));
    }

    /// Versions of the servers of each service.
    pub(crate) fn releases(&mut self) -> &mut releases::Releases {
        &mut self.releases
    }

    /// The service `name`, created on first use.
    pub(crate) fn service(&mut self, name: &str) -> &mut Service {
        let (zone, retry_limits, started_at) = (&self.zone, self.retry_limits, self.started_at);
        let (partition, own_cell) = (&self.partition, self.own_cell);
        let new_service = || {
            let mut engines = engines::Engines::default();
            engines.set_cells(partition, own_cell);
            Service {
                pool: new_pool(zone),
                engines,
                beginnings: beginnings::Beginnings::default(),
                retry_budget: retry::SharedBudget::new(retry_limits, started_at),
                demand: demand::Demand::default(),
                queue_limit: queue_limit::QueueLimit::default(),
                retry_detectors: collections::BTreeMap::new(),
            }
        };
        self.services.entry(name.to_string()).or_insert_with(new_service)
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

    /// Sets the partition of the fleet, and the cell of this entry in it.
    pub(crate) fn set_cells(&mut self, partition: &cells::Partition, own: cells::CellId) {
        if self.partition != *partition {
            let cells = partition.cells().len();
            tracing::info!(cells, zone_tag = own.zone, cell = own.index, "edge: fleet divided");
        }
        (self.partition, self.own_cell) = (partition.clone(), own);
        for service in self.services.values_mut() {
            service.engines.set_cells(partition, own);
        }
    }

    fn engine(&self, service: &str) -> Option<&routing::Engine> {
        self.config.as_ref()?.services.get(service)?.engine.as_ref()
    }

    /// Tokens of a prompt that engines of a service are expected to keep.
    pub(crate) fn kept(
        &mut self,
        service: &str,
        prompt: &[beginnings::Beginning],
        now: time::Instant,
    ) -> collections::BTreeMap<ids::ServerName, u32> {
        let entries = self.place.peers + 1;
        self.service(service).beginnings.kept(prompt, entries, now)
    }

    /// Time that an engine of a service takes to change its stage.
    pub(crate) fn switch_time(&self, service: &str) -> time::Duration {
        self.engine(service).map_or(time::Duration::ZERO, |engine| engine.switch_time)
    }

    /// Tokens per event in the streams of a service.
    pub(crate) fn event_tokens(&self, service: &str) -> u32 {
        self.engine(service).map_or(1, |engine| engine.event_tokens)
    }

    /// Records that a server was down; returns whether that is new.
    pub(crate) fn record_down(&mut self, id: &str) -> bool {
        self.fleet.get(id).is_some() && self.unverified.insert(id.to_string())
    }

    /// Records that a row of a server was read, or that its process is the registered one.
    pub(crate) fn record_row(&mut self, id: &str) {
        self.unverified.remove(id);
        self.unregistered.remove(id);
    }

    /// Records that a server runs another process than this one; returns whether that is new. False if this
    /// is not the registered one any more.
    pub(crate) fn record_unregistered(&mut self, target: &Target) -> bool {
        let is_registered =
            self.target(&target.id).is_some_and(|known| known.place() == target.place());
        is_registered && self.unregistered.insert(target.id.clone())
    }

    /// Servers that run other processes than the registered ones.
    pub(crate) fn unregistered(&self) -> &collections::BTreeSet<ids::ServerName> {
        &self.unregistered
    }

    /// Servers that were down since their rows were last written.
    pub(crate) fn unverified(&self) -> &collections::BTreeSet<ids::ServerName> {
        &self.unverified
    }

    /// Whether a server was down since its row was last written.
    pub(crate) fn is_unverified(&self, id: &str) -> bool {
        self.unverified.contains(id)
    }

    /// Time after its begin within which a stream may be taken up.
    pub(crate) fn stream_window(&self, now: time::Instant) -> time::Duration {
        self.releases.window(now)
    }

    /// The only software version by which streams of a service may have begun that can still be taken
    /// up, if there is only one and that is known.
    pub(crate) fn only_software(
        &self,
        service: &str,
        now: time::Instant,
    ) -> Option<ids::SoftwareTag> {
        self.releases.only(service, now).filter(|_| !self.is_mingled(service, now))
    }

    /// Whether another process than the one that a request was meant for may have answered it, with another
    /// version: the server was down since its row was written, or its row names another process by now.
    pub(crate) fn may_be_replaced(&self, target: &Target) -> bool {
        let registered = self.target(&target.id);
        let is_other = registered.is_some_and(|registered| registered.process != target.process);
        is_other || self.is_unverified(&target.id)
    }

    /// Notes that a server came back under its id with another version.
    pub(crate) fn record_replaced(&mut self, server: &str, now: time::Instant) {
        if let Some(known) = self.fleet.get(server) {
            self.replaced.insert(known.service.clone(), now);
        }
    }

    /// Whether streams that can still be taken up may have begun at a process that had replaced the
    /// registered one, or at one that could not record its use.
    pub(crate) fn has_replaced(&self, service: &str, now: time::Instant) -> bool {
        let window = self.releases.window(now);
        let is_replaced = self.replaced.get(service).is_some_and(|at| now < *at + window);
        is_replaced || self.uses.failed_within(window, now)
    }

    /// Whether streams that another service has begun may be taken up at a service.
    pub(crate) fn is_mingled(&self, service: &str, now: time::Instant) -> bool {
        let window = self.releases.window(now);
        self.mingled.get(service).is_some_and(|at| now < *at + window)
    }

    /// [`Directory::only_software`] with what other entries have `answered` to that question.
    pub(crate) fn agreed_software(
        &self,
        service: &str,
        answered: &collections::BTreeSet<ids::SoftwareTag>,
        now: time::Instant,
    ) -> Option<ids::SoftwareTag> {
        let agreed = self.releases.agreed(service, answered, now);
        agreed.filter(|_| !self.is_mingled(service, now))
    }

    /// Notes which versions were the only ones on record at the first read of the histories, at `now_ms`.
    pub(crate) fn note_initial<'a>(
        &mut self,
        histories: impl Iterator<Item = (&'a ids::ServiceName, &'a history::History)>,
        reading: &history::Reading,
        now_ms: u64,
    ) {
        if self.initial.is_some() {
            return;
        }
        let only = histories
            .filter_map(|(service, history)| Some((service.clone(), history.only(reading)?)));
        let only = only.collect();
        tracing::info!(?only, now_ms, "edge: versions that are alone on record at the start");
        self.initial = Some((now_ms, only));
    }

    /// What is known of the streams of a service that can still be taken up and began before this
    /// process was started.
    pub(crate) fn older_streams(&self, service: &str, now: time::Instant) -> agreement::Older {
        let window = self.releases.window(now);
        if self.is_mingled(service, now) {
            return agreement::Older::Unknown;
        }
        if self.started_at.is_none_or(|at| now >= at + window) {
            return agreement::Older::Nothing;
        }
        self.initial_software(service).map_or(agreement::Older::Unknown, agreement::Older::Only)
    }

    // The version by which all of them began: the only one on record. One without a record may be used
    // after some time, and at once where no server of another one is registered: where servers tell
    // their starts, any other must be newer than that, and younger than a server of the recorded one.
    fn initial_software(&self, service: &str) -> Option<ids::SoftwareTag> {
        let (read_ms, initial) = self.initial.as_ref()?;
        let only = initial.get(service).copied()?;
        let unused_from = read_ms.saturating_sub(UNUSED_TIME.as_millis() as u64);
        let oldest = self.oldest_start(service, only).unwrap_or_default();
        let is_later = |software: &ids::SoftwareTag| {
            let first = self.starts.get(software);
            first.is_none_or(|first| *first > unused_from && *first > oldest)
        };
        let mut others = self.releases.versions(service).filter(|software| *software != only);
        others.all(|software| is_later(&software)).then_some(only)
    }

    // Start of the oldest registered server of a version, in Unix milliseconds.
    fn oldest_start(&self, service: &str, software: ids::SoftwareTag) -> Option<u64> {
        let instances = self.fleet.instances().values();
        let own = instances.filter(|known| {
            known.service == service
                && ids::software_tag(&known.service, &known.software) == software
        });
        own.filter_map(|known| known.started_ms).min()
    }

    /// Whether streams that are taken up at a service may have begun by several versions, as far as is
    /// known.
    pub(crate) fn has_several(&self, service: &str, now: time::Instant) -> bool {
        self.releases.has_several(service, now) || self.is_mingled(service, now)
    }

    /// Whether others need to know which versions begin streams of a service: it has several, or its
    /// streams have another service beside it on a route, or had lately.
    pub(crate) fn needs_origins(&self, service: &str, now: time::Instant) -> bool {
        let config = self.config.as_ref();
        let is_split = config.is_some_and(|config| config.routes.is_split(service));
        let is_told = is_split || self.uses.is_unrecorded(service);
        is_told || self.only_software(service, now).is_none()
    }

    /// The service among `services` that has servers with a version.
    pub(crate) fn service_with<'a>(
        &self,
        software: ids::SoftwareTag,
        mut services: impl Iterator<Item = &'a ids::ServiceName>,
    ) -> Option<&'a ids::ServiceName> {
        services.find(|service| self.has_decode(service, software))
    }

    /// Whether a service has a decode engine of the version `software` that stays, also one that is held back
    /// until its version is on record.
    pub(crate) fn has_decode(&self, service: &str, software: ids::SoftwareTag) -> bool {
        let is_decode = |instance: &&fleet::Instance| {
            instance.service == service
                && !instance.leaving
                && instance.stage != Some(fleet::Stage::Prefill)
                && ids::software_tag(&instance.service, &instance.software) == software
        };
        let known = self.services.get(service);
        known.is_some_and(|known| known.engines.has_decode(software))
            || self.held.iter().filter_map(|id| self.fleet.get(id)).any(|held| is_decode(&held))
    }

    /// Services of which they do.
    pub(crate) fn mixed_services(
        &self,
        now: time::Instant,
    ) -> collections::BTreeSet<ids::ServiceName> {
        let mixed = self.services.keys().filter(|service| self.needs_origins(service, now));
        mixed.cloned().collect()
    }

    /// Address of a server; `None` if it is not registered.
    pub(crate) fn target(&self, id: &str) -> Option<Target> {
        let instance = self.fleet.get(id)?;
        let process = (id.to_string(), instance.started_ms);
        let software = ids::software_tag(&instance.service, &instance.software);
        Some(Target { id: id.to_string(), address: instance.address, process, software })
    }

    /// The registered server whose process has this tag.
    pub(crate) fn target_of(&self, process: ids::ProcessTag) -> Option<Target> {
        let target = self.target(self.processes.server(process)?);
        target.filter(|target| target.process_tag() == process)
    }

    /// The registered server with this process and address.
    pub(crate) fn target_at(&self, place: misdirected::Place) -> Option<Target> {
        self.target_of(place.process).filter(|target| target.place() == place)
    }

    /// Sets whether another server answers at a place, which then gets no requests.
    pub(crate) fn set_misdirected(&mut self, place: misdirected::Place, is_other: bool) {
        let Some(target) = self.target_at(place) else { return };
        for service in self.services.values_mut() {
            service.pool.set_misdirected(&target.id, is_other);
            service.engines.set_misdirected(&target.id, is_other);
        }
    }

    /// Service of a server, if the config has it.
    pub(crate) fn service_of(&self, id: &str) -> Option<&routing::Service> {
        self.config.as_ref()?.services.get(&self.fleet.get(id)?.service)
    }

    /// Uses an engine in the stage that it has reported, until its row is written again.
    pub(crate) fn correct_stage(&mut self, id: &str, stage: fleet::Stage) {
        let Some(instance) = self.fleet.get(id).filter(|known| known.stage != Some(stage)) else {
            return;
        };
        let instance = fleet::Instance { stage: Some(stage), ..instance.clone() };
        if let Some(change) = self.fleet.set(id, instance) {
            self.record_change(&change, self.rows.version(), Source::Answer);
        }
    }

    /// This entry's part of the limit of a server.
    pub(crate) fn quota_part(&self, server: &str, now: time::Instant) -> quotas::Part {
        let Place { rank, entries, peers } = self.place;
        let fleet = self.entry_count.unwrap_or(UNKNOWN_ENTRIES);
        let service = self.fleet.get(server).and_then(|known| self.services.get(&known.service));
        let sizes = demand::Sizes { peers, fleet };
        let fraction = service.map_or(0.0, |service| service.demand.fraction(sizes, now));
        quotas::Part { fraction, phase: f64::from(rank + 1) / f64::from(entries.max(rank + 1)) }
    }

    /// Chooses a server of a plain service and records that a request is sent to it.
    pub(crate) fn pick(
        &mut self,
        service: &str,
        target: time::Duration,
        tried: &[ids::ServerName],
        now: time::Instant,
    ) -> Choice {
        let criteria =
            pool::Criteria { tried, affinity: None, random: rand::random(), by_work: false };
        let Service { pool, queue_limit, .. } = self.service(service);
        let Some(mut id) = pool.pick(criteria, now) else {
            return pool.paused(now).map_or(Choice::NoServer, Choice::Paused);
        };
        let is_saturated = |id: &str| {
            let slots = pool.get(id).map_or(0, |server| server.load.slots);
            let target = target.div_f64(pool.pace(id, now));
            queue_limit.limit(slots, target).is_some_and(|limit| pool.busy(id, now) >= limit)
        };
        if is_saturated(&id) {
            let all = pool.candidates(tried, |_| true, now);
            let wait =
                |id: &ids::ServerName| pool.pace(id, now) * f64::from(1 + pool.busy(id, now));
            let least = all.into_iter().min_by(|a, b| wait(a).total_cmp(&wait(b)));
            let Some(least) = least.cloned() else { return Choice::NoServer };
            if is_saturated(&least) {
                return Choice::Saturated;
            }
            id = least;
        }
        pool.record_sent(&id, time::Duration::ZERO);
        self.target(&id).map_or(Choice::NoServer, Choice::Server)
    }

    /// Records a request whose caller waits for another `remaining`; returns whether it is a retry.
    pub(crate) fn record_request(
        &mut self,
        service: &str,
        route: &str,
        remaining: time::Duration,
    ) -> bool {
        let detectors = &mut self.service(service).retry_detectors;
        detectors.entry(route.to_string()).or_default().record(remaining)
    }

    /// Records the load that a server reported with an answer, which took `elapsed` if it succeeded.
    pub(crate) fn record_report(
        &mut self,
        service: &str,
        id: &str,
        report: load::Report,
        elapsed: Option<time::Duration>,
        now: time::Instant,
    ) {
        // The load does not tell whether the server is leaving.
        let leaving = self.fleet.get(id).is_none_or(|instance| instance.leaving);
        let report = load::Report { load: load::Load { leaving, ..report.load }, ..report };
        let Service { pool, queue_limit, .. } = self.service(service);
        pool.record_report(id, report, elapsed, now);
        if let Some(elapsed) = elapsed {
            queue_limit.record(elapsed.div_f64(report.pace), report.load);
        }
    }

    /// Expected time of an answer of a plain service without a queue; zero before the first answer.
    pub(crate) fn usual_time(&mut self, service: &str) -> time::Duration {
        self.service(service).pool.usual().unwrap_or_default()
    }

    /// Sets the limits of the retry budgets.
    pub(crate) fn set_retry_limits(&mut self, retry_limits: retry::BudgetLimits) {
        self.retry_limits = retry_limits;
        for service in self.services.values_mut() {
            service.retry_budget.set_limits(retry_limits);
        }
    }

    /// Whether a server is leaving or no longer registered.
    pub(crate) fn is_leaving(&self, id: &str) -> bool {
        self.fleet.get(id).is_none_or(|instance| instance.leaving)
    }

    /// What this entry has withdrawn from a service's retry budget, and what it may withdraw.
    pub(crate) fn retry_balance(&mut self, service: &str, now: time::Instant) -> retry::Balance {
        let entries = self.entry_count;
        self.service(service).retry_budget.balance(entries, now)
    }

    /// Withdraws the `sends` requests of a retry from a service's budget; false if it is too low.
    pub(crate) fn withdraw_retry(&mut self, service: &str, sends: u32, now: time::Instant) -> bool {
        let entries = self.entry_count;
        self.service(service).retry_budget.try_withdraw(sends, entries, now)
    }
}
