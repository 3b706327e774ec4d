//! State that the tasks of an entry share.

use std::{net, sync, sync::atomic, time};

use tokio::{net as tokio_net, sync as tokio_sync};

use rhubarb_core::{
    allowance, freshness, ids, log_limit, members, misdirected, origins, pauses, recent, releases,
    stalls, stopping, usage,
};
use rhubarb_node::{client, clock, connections as caller_connections, locks};
use rhubarb_platform::{settings, store};

use crate::{
    answers, buffer, capacity, connections, dates, directory, lag, limits, metrics, orders,
    records, rejected, tables, uses_table,
};

/// State of one entry.
#[derive(Debug)]
pub(crate) struct Edge {
    settings: sync::Mutex<sync::Arc<settings::Settings>>,
    pub(crate) incarnation: ids::Incarnation,
    pub(crate) store: store::Store,
    pub(crate) connections: connections::ConnectionPool,
    /// Memory for long bodies of requests.
    pub(crate) bodies: buffer::Buffers,
    /// Connections of callers.
    pub(crate) callers: caller_connections::Connections,
    pub(crate) counters: metrics::Counters,
    /// Notifies requests that wait for a decode slot that one may be free.
    pub(crate) slot_freed: tokio_sync::Notify,
    /// Notifies the sender of commitments that this entry's commitments have changed.
    pub(crate) commitments_changed: tokio_sync::Notify,
    /// Notifies the sender of commitments that this entry has released memory of an engine.
    pub(crate) memory_freed: tokio_sync::Notify,
    /// Notifies the sender of commitments that this entry knows more of prompts that crash servers, or
    /// of limits of servers, which all entries need.
    pub(crate) evidence_changed: tokio_sync::Notify,
    /// Notifies the checker of addresses that a place is to be checked.
    pub(crate) misdirected_changed: tokio_sync::Notify,
    /// Notifies the asker that the process of an engine is in doubt.
    pub(crate) process_doubted: tokio_sync::Notify,
    /// Notifies the teller that a stream has begun whose software version others need to know.
    pub(crate) origin_begun: tokio_sync::Notify,
    /// Notifies requests that look the version of a stream up that another entry has told something.
    pub(crate) origin_learned: tokio_sync::Notify,
    /// Notifies the writer of records that there may be streams to be written to the store.
    pub(crate) origin_unstored: tokio_sync::Notify,
    /// The last read of what entry processes have used; locked during a read.
    pub(crate) uses_read: tokio_sync::Mutex<uses_table::LastRead>,
    /// When the last read of the histories of versions for a stream began; locked during a read.
    pub(crate) history_read: tokio_sync::Mutex<Option<time::Instant>>,
    /// Notifies decisions that the store or a peer has told how current a table is.
    pub(crate) table_learned: tokio_sync::Notify,
    /// Notifies the fetcher of snapshots that a peer has newer rows of the store.
    pub(crate) lag_detected: tokio_sync::Notify,
    /// Notifies the followers of the store that its feed does not deliver changes.
    pub(crate) feed_stalled: tokio_sync::Notify,
    /// Number of responses of the store's feeds that had changes.
    pub(crate) feed_changes: atomic::AtomicU64,
    // Number of responses of the store with rows that are being read and applied.
    receiving: atomic::AtomicU64,
    /// Number of tables that cannot be read from the store.
    pub(crate) unavailable_tables: atomic::AtomicU64,
    /// Whether this entry follows the store itself; otherwise a peer passes the changes on.
    following: atomic::AtomicBool,
    /// Number of requests in progress.
    pub(crate) open_requests: atomic::AtomicU64,
    pub(crate) dates: dates::Dates,
    ledger: sync::Mutex<usage::Ledger>,
    directory: sync::Mutex<directory::Directory>,
    members: sync::Mutex<members::Members>,
    orders: sync::Mutex<orders::Orders>,
    lag: sync::Mutex<lag::Lag>,
    tables: sync::Mutex<tables::Tables>,
    pauses: sync::Mutex<pauses::Pauses>,
    limits: sync::Mutex<limits::Limits>,
    misdirected: sync::Mutex<misdirected::Misdirected>,
    // Engines whose processes are in doubt and have not been asked.
    doubts: sync::Mutex<Vec<directory::Target>>,
    allowances: sync::Mutex<allowance::Allowances>,
    // When this entry last had news of the store, or a peer that has them.
    in_touch_at: sync::Mutex<time::Instant>,
    rejected: sync::Mutex<rejected::Rejected>,
    origins: sync::Mutex<origins::Origins>,
    answers: sync::Mutex<answers::Answers>,
    records: sync::Mutex<records::Records>,
    socket: sync::OnceLock<sync::Arc<tokio_net::UdpSocket>>,
    log_limit: sync::Mutex<log_limit::LogLimit>,
    holds: sync::Mutex<recent::RecentNames>,
    run_seq: atomic::AtomicU64,
    stalls: sync::Mutex<stalls::Stalls>,
    stopping: tokio_sync::watch::Sender<Option<stopping::Stop>>,
}

impl Edge {
    pub(crate) fn new(settings: settings::Settings) -> Edge {
        let counters = metrics::Counters::new();
        let leaving = counters.leaving.clone();
        let releases = releases::Releases::new(settings.is_first, clock::now());
        let (zone, retry_limits) = (&settings.zone, settings.retry_limits);
        let started_at = (!settings.is_first).then(clock::now);
        let mut directory =
            directory::Directory::new(zone, retry_limits, started_at, leaving, releases);
        directory.fleet.set_row_lifetime(settings.row_lifetime);
        let store = store::Store::new(client::Client::new(), settings.store_addr);
        let (incarnation, dates) = (rand::random(), dates::Dates::new());
        let members =
            members::Members::new(settings.ip, ids::zone_tag(&settings.zone), clock::now());
        let ledger = usage::Ledger::new(settings.name.clone(), incarnation, dates.now_ms());
        let mut allowances = allowance::Allowances::new(settings.tolerance);
        allowances.set_salt(rand::random());
        let capacity = capacity::Capacity::new(settings.memory);
        Edge {
            incarnation,
            dates,
            ledger: sync::Mutex::new(ledger),
            store,
            connections: connections::ConnectionPool::new(
                counters.stray_responses.clone(),
                counters.process_questions.clone(),
            ),
            bodies: buffer::Buffers::new(capacity.call_bytes()),
            callers: caller_connections::Connections::new(capacity.connections),
            counters,
            slot_freed: tokio_sync::Notify::new(),
            commitments_changed: tokio_sync::Notify::new(),
            memory_freed: tokio_sync::Notify::new(),
            evidence_changed: tokio_sync::Notify::new(),
            misdirected_changed: tokio_sync::Notify::new(),
            process_doubted: tokio_sync::Notify::new(),
            origin_begun: tokio_sync::Notify::new(),
            origin_learned: tokio_sync::Notify::new(),
            origin_unstored: tokio_sync::Notify::new(),
            uses_read: tokio_sync::Mutex::default(),
            history_read: tokio_sync::Mutex::default(),
            table_learned: tokio_sync::Notify::new(),
            lag_detected: tokio_sync::Notify::new(),
            feed_stalled: tokio_sync::Notify::new(),
            feed_changes: atomic::AtomicU64::new(0),
            receiving: atomic::AtomicU64::new(0),
            unavailable_tables: atomic::AtomicU64::new(0),
            following: atomic::AtomicBool::new(true),
            open_requests: atomic::AtomicU64::new(0),
            directory: sync::Mutex::new(directory),
            members: sync::Mutex::new(members),
            orders: sync::Mutex::default(),
            lag: sync::Mutex::default(),
            tables: sync::Mutex::default(),
            pauses: sync::Mutex::default(),
            limits: sync::Mutex::default(),
            misdirected: sync::Mutex::default(),
            doubts: sync::Mutex::default(),
            allowances: sync::Mutex::new(allowances),
            in_touch_at: sync::Mutex::new(clock::now()),
            rejected: sync::Mutex::default(),
            origins: sync::Mutex::default(),
            answers: sync::Mutex::default(),
            records: sync::Mutex::default(),
            socket: sync::OnceLock::new(),
            log_limit: sync::Mutex::default(),
            holds: sync::Mutex::default(),
            run_seq: atomic::AtomicU64::new(1),
            stalls: sync::Mutex::new(stalls::Stalls::new(clock::now())),
            stopping: tokio_sync::watch::Sender::new(None),
            settings: sync::Mutex::new(sync::Arc::new(settings)),
        }
    }

    /// Settings in use.
    pub(crate) fn settings(&self) -> sync::Arc<settings::Settings> {
        locks::lock(&self.settings).clone()
    }

    /// When the store is asked for changes of the config and of the servers.
    pub(crate) fn terms(&self) -> freshness::Terms {
        freshness::Terms::new(self.settings().max_age)
    }

    /// What the memory of the instance admits.
    pub(crate) fn capacity(&self) -> capacity::Capacity {
        capacity::Capacity::new(self.settings().memory)
    }

    /// Applies reloaded settings.
    pub(crate) fn set_settings(&self, settings: settings::Settings) {
        self.directory().set_retry_limits(settings.retry_limits);
        self.directory().fleet.set_row_lifetime(settings.row_lifetime);
        self.allowances().set_tolerance(settings.tolerance);
        *locks::lock(&self.settings) = sync::Arc::new(settings);
    }

    pub(crate) fn directory(&self) -> sync::MutexGuard<'_, directory::Directory> {
        locks::lock(&self.directory)
    }

    /// Totals for the usage records.
    pub(crate) fn ledger(&self) -> sync::MutexGuard<'_, usage::Ledger> {
        locks::lock(&self.ledger)
    }

    /// Limits log lines that servers can cause with every answer.
    pub(crate) fn log_limit(&self) -> sync::MutexGuard<'_, log_limit::LogLimit> {
        locks::lock(&self.log_limit)
    }

    /// Records a hold that `server` has granted; false if it was granted to another request before,
    /// so that its response is a late second one.
    pub(crate) fn record_hold(&self, server: &str, hold: &str) -> bool {
        locks::lock(&self.holds).insert(&format!("{server}/{hold}"), clock::now())
    }

    pub(crate) fn members(&self) -> sync::MutexGuard<'_, members::Members> {
        locks::lock(&self.members)
    }

    /// Open orders to engines.
    pub(crate) fn orders(&self) -> sync::MutexGuard<'_, orders::Orders> {
        locks::lock(&self.orders)
    }

    /// Pauses that servers have asked for; locked before the directory.
    pub(crate) fn pauses(&self) -> sync::MutexGuard<'_, pauses::Pauses> {
        locks::lock(&self.pauses)
    }

    /// Limits that servers have named; locked before the directory.
    pub(crate) fn limits(&self) -> sync::MutexGuard<'_, limits::Limits> {
        locks::lock(&self.limits)
    }

    /// Servers at whose addresses others answer; locked before the directory.
    pub(crate) fn misdirected(&self) -> sync::MutexGuard<'_, misdirected::Misdirected> {
        locks::lock(&self.misdirected)
    }

    /// Adds an engine whose process is in doubt.
    pub(crate) fn add_doubt(&self, target: directory::Target) {
        locks::lock(&self.doubts).push(target);
        self.process_doubted.notify_one();
    }

    /// Removes and returns the engines whose processes are in doubt.
    pub(crate) fn take_doubts(&self) -> Vec<directory::Target> {
        std::mem::take(&mut *locks::lock(&self.doubts))
    }

    /// This entry's parts of the limits of customers.
    pub(crate) fn allowances(&self) -> sync::MutexGuard<'_, allowance::Allowances> {
        locks::lock(&self.allowances)
    }

    /// Records that this entry has news of the store, or a peer that has them.
    pub(crate) fn record_touch(&self, now: time::Instant) {
        *locks::lock(&self.in_touch_at) = now;
    }

    /// Time since this entry last had news of the store, or a peer that has them.
    pub(crate) fn touch_age(&self, now: time::Instant) -> time::Duration {
        now.saturating_duration_since(*locks::lock(&self.in_touch_at))
    }

    /// Prompts that crash servers.
    pub(crate) fn rejected(&self) -> sync::MutexGuard<'_, rejected::Rejected> {
        locks::lock(&self.rejected)
    }

    /// Software versions that began streams.
    pub(crate) fn origins(&self) -> sync::MutexGuard<'_, origins::Origins> {
        locks::lock(&self.origins)
    }

    /// What other entries have answered about streams.
    pub(crate) fn answers(&self) -> sync::MutexGuard<'_, answers::Answers> {
        locks::lock(&self.answers)
    }

    /// State of the records of streams in the store; locked without another lock.
    pub(crate) fn records(&self) -> sync::MutexGuard<'_, records::Records> {
        locks::lock(&self.records)
    }

    /// Notifies those who pass on which versions have begun streams.
    pub(crate) fn note_origins(&self) {
        self.origin_begun.notify_one();
        self.origin_unstored.notify_one();
    }

    /// Sets the socket for datagrams to other entries.
    pub(crate) fn set_socket(&self, socket: sync::Arc<tokio_net::UdpSocket>) {
        self.socket.get_or_init(|| socket);
    }

    /// Socket for datagrams to other entries, once it is bound.
    pub(crate) fn socket(&self) -> Option<&tokio_net::UdpSocket> {
        self.socket.get().map(|socket| &**socket)
    }

    /// How far this entry lags behind its peers.
    pub(crate) fn lag(&self) -> sync::MutexGuard<'_, lag::Lag> {
        locks::lock(&self.lag)
    }

    /// Freshness of the config and of the servers' rows; locked without another lock.
    pub(crate) fn tables(&self) -> sync::MutexGuard<'_, tables::Tables> {
        locks::lock(&self.tables)
    }

    /// Address at which the entry at `ip` listens for its peers.
    pub(crate) fn peer_address(&self, ip: net::IpAddr) -> net::SocketAddr {
        let (first, _) = self.settings().port_range;
        net::SocketAddr::new(ip, first)
    }

    /// Whether a table of the store cannot be read.
    pub(crate) fn is_disconnected(&self) -> bool {
        self.unavailable_tables.load(atomic::Ordering::Relaxed) > 0
    }

    /// Waits for the answer of the store if this entry's knowledge may be outdated, as after a time in
    /// which the process did not run; not if the store is known to be away, and not for long.
    pub(crate) async fn until_current(&self) {
        let (terms, mut started_at) = (self.terms(), None);
        while !self.is_disconnected() {
            let (learned, now) = (self.table_learned.notified(), clock::now());
            let Some(until) = self.tables().awaited_until(&terms, now) else { break };
            started_at.get_or_insert(now);
            // The next round looks at what was learned.
            let _ = tokio::time::timeout_at(until.into(), learned).await;
        }
        if let Some(at) = started_at {
            let waited = clock::now() - at;
            self.counters.knowledge_waits.observe(waited.as_secs_f64());
        }
    }

    /// Whether the config may have changed without this entry knowing, though the store is not known to be
    /// away.
    pub(crate) fn may_lack_config(&self) -> bool {
        !self.is_disconnected() && self.tables().config.is_old(&self.terms(), clock::now())
    }

    /// Counts rows of the store as being received and applied, as long as the result lives.
    pub(crate) fn receive(&self) -> Receiving<'_> {
        self.receiving.fetch_add(1, atomic::Ordering::Relaxed);
        Receiving(self)
    }

    /// Whether rows of the store are being received or applied.
    pub(crate) fn is_receiving(&self) -> bool {
        self.receiving.load(atomic::Ordering::Relaxed) > 0
    }

    /// Whether this entry follows the store itself; otherwise a peer passes the changes on.
    pub(crate) fn follows_store(&self) -> bool {
        self.following.load(atomic::Ordering::Relaxed)
    }

    /// Sets whether this entry follows the store itself.
    pub(crate) fn set_following(&self, following: bool) {
        if self.following.swap(following, atomic::Ordering::Relaxed) != following {
            tracing::info!(following, "edge: following the store changed");
        }
    }

    /// Returns the id of a new run.
    pub(crate) fn next_run(&self) -> ids::RunId {
        ids::run_id(self.incarnation, self.run_seq.fetch_add(1, atomic::Ordering::Relaxed))
    }

    /// Whether the balancer may send new connections; the readiness check reports it.
    pub(crate) fn is_ready(&self) -> bool {
        let is_complete = self.directory().is_complete();
        !self.is_stopping() && is_complete && !self.callers.is_full(clock::now())
    }

    /// Starts the planned stop.
    pub(crate) fn stop(&self) -> stopping::Stop {
        // The settings may have changed since they were read last.
        let loaded = settings::load().inspect_err(|err| {
            tracing::error!(%err, "edge: settings not used, the earlier ones stay");
        });
        let grace = loaded.map_or(self.settings().grace, |settings| settings.grace);
        let now = clock::now();
        let asked_at = locks::lock(&self.stalls).signalled_since(now);
        let stop = stopping::Stop::new(now, grace).asked_since(asked_at);
        self.stopping.send_replace(Some(stop));
        stop
    }

    /// The planned stop, once it has started.
    pub(crate) fn stopping(&self) -> Option<stopping::Stop> {
        *self.stopping.borrow()
    }

    /// Waits for the planned stop.
    pub(crate) async fn stopped(&self) -> stopping::Stop {
        let mut stopping = self.stopping.subscribe();
        loop {
            if let Some(stop) = *stopping.borrow_and_update() {
                return stop;
            }
            // The sender is part of `self`.
            let _ = stopping.changed().await;
        }
    }

    /// Whether the entry is stopping.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping().is_some()
    }

    /// Records that the process runs; returns the length of a time without that has just ended.
    pub(crate) fn record_running(&self) -> Option<time::Duration> {
        locks::lock(&self.stalls).record(clock::now())
    }
}

/// Rows of the store that are being received and applied.
#[derive(Debug)]
pub(crate) struct Receiving<'a>(&'a Edge);

impl Drop for Receiving<'_> {
    fn drop(&mut self) {
        self.0.receiving.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}
