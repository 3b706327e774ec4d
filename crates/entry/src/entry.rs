//! State shared by the tasks of an entry.

use std::{collections, sync, sync::atomic, time};

use prometheus_client::metrics::gauge;
use tokio::sync as tokio_sync;

use rhubarb_core::{ids, limit, outcome, usage};
use rhubarb_node::{clock, locks, metrics, objects, table};

use crate::{connector, directory, peers, settings, view};

/// Shared state of one entry.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) settings: settings::Settings,
    pub(crate) table: table::Table,
    pub(crate) objects: objects::Objects,
    pub(crate) metrics: EntryMetrics,
    pub(crate) directory: sync::Arc<directory::Directory>,
    pub(crate) peers: peers::Peers,
    stopping_since: sync::OnceLock<time::Instant>,
    stop_begun: tokio_sync::Notify,
    /// Requests in flight.
    pub(crate) open: atomic::AtomicU64,
    limits: sync::Mutex<collections::BTreeMap<ids::CallerName, limit::CallerLimiter>>,
    ledger: sync::Mutex<usage::Ledger>,
}

/// Time in which the answers of the last requests reach their callers.
const ANSWER_MARGIN: time::Duration = time::Duration::from_millis(100);

/// Metrics of the entry.
#[derive(Debug)]
pub(crate) struct EntryMetrics {
    pub(crate) registry: metrics::Metrics,
    pub(crate) requests: metrics::RequestMetrics,
    pub(crate) open: gauge::Gauge,
    pub(crate) version: gauge::Gauge,
    pub(crate) pending: gauge::Gauge,
}

impl EntryMetrics {
    fn new() -> EntryMetrics {
        let registry = metrics::Metrics::new("rhubarb_entry");
        EntryMetrics {
            requests: registry.requests(),
            open: registry.gauge("open", "Requests in flight"),
            version: registry.gauge("list_version", "Version of the service list in force"),
            pending: registry.gauge("usage_pending", "Usage records not yet stored"),
            registry,
        }
    }
}

impl Entry {
    pub(crate) fn new(settings: settings::Settings) -> Entry {
        let incarnation = rand::random();
        let ledger = usage::Ledger::new(settings.name.clone(), incarnation, clock::unix_ms());
        let metrics = EntryMetrics::new();
        let view = view::View::new(&settings.name, &settings.zone, settings.subset);
        let directory = directory::Directory::new(view, metrics.version.clone());
        let directory = sync::Arc::new(directory);
        let (name, keys) = (settings.name.clone(), settings.keys.clone());
        let identity = connector::Identity { name, incarnation, keys };
        Entry {
            peers: peers::Peers::new(identity, directory.clone()),
            directory,
            table: table::Table::new(&settings.platform.table),
            objects: objects::Objects::new(&settings.platform.objects),
            metrics,
            stopping_since: sync::OnceLock::new(),
            stop_begun: tokio_sync::Notify::new(),
            open: atomic::AtomicU64::new(0),
            limits: sync::Mutex::default(),
            ledger: sync::Mutex::new(ledger),
            settings,
        }
    }

    pub(crate) fn limits(
        &self,
    ) -> sync::MutexGuard<'_, collections::BTreeMap<ids::CallerName, limit::CallerLimiter>> {
        locks::lock(&self.limits)
    }

    pub(crate) fn ledger(&self) -> sync::MutexGuard<'_, usage::Ledger> {
        locks::lock(&self.ledger)
    }

    /// Counts a refusal in the metrics.
    pub(crate) fn count_refusal(&self, reason: outcome::Reason) {
        self.metrics.requests.refused.get_or_create(&metrics::reason_labels(reason)).inc();
    }

    /// Withdraws a retry from the budget of a service and counts it; false if the budget is
    /// exhausted.
    pub(crate) fn try_retry(&self, service: &str, caller: &str, reason: outcome::Reason) -> bool {
        let allowed = self.directory.view().budget(service).try_withdraw(reason);
        if allowed {
            self.metrics.requests.retried.get_or_create(&metrics::reason_labels(reason)).inc();
            self.ledger().totals(service, caller).count_retry(reason);
        }
        allowed
    }

    /// Counts prompt tokens whose prefill was wasted.
    pub(crate) fn count_waste(
        &self,
        service: &str,
        caller: &str,
        reason: outcome::Reason,
        tokens: u64,
    ) {
        self.metrics.requests.wasted.get_or_create(&metrics::reason_labels(reason)).inc_by(tokens);
        self.ledger().totals(service, caller).count_waste(reason, tokens);
    }

    /// Begins the shutdown.
    ///
    /// The readiness check fails at once; new requests are rejected after the notice period,
    /// which gives the balancer time to detect it.
    pub(crate) fn begin_shutdown(&self) {
        self.stopping_since.get_or_init(clock::now);
        self.stop_begun.notify_waiters();
    }

    /// Time by which requests in flight need their answers, once the shutdown has begun.
    pub(crate) fn answered_by(&self) -> Option<time::Instant> {
        let drain = self.settings.drain.saturating_sub(ANSWER_MARGIN);
        self.stopping_since.get().map(|at| *at + drain)
    }

    /// Waits for that time of a shutdown that may begin meanwhile.
    pub(crate) async fn drained(&self) {
        loop {
            let begun = self.stop_begun.notified();
            if let Some(until) = self.answered_by() {
                return tokio::time::sleep_until(until.into()).await;
            }
            begun.await;
        }
    }

    /// Whether the shutdown has begun, so that the balancer should send no more requests.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping_since.get().is_some()
    }

    /// Whether new requests are rejected because the notice period is over.
    pub(crate) fn rejects_requests(&self) -> bool {
        self.stopping_since.get().is_some_and(|at| clock::now() >= *at + self.settings.notice)
    }
}
