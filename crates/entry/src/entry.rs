//! State shared by the parts of an entry.

use std::{collections, sync, sync::atomic, time};

use prometheus_client::metrics::gauge;

use rhubarb_core::{ids, limit, outcome, usage};
use rhubarb_node::{client, clock, locks, metrics, objects, table};

use crate::{connector, directory, peers, settings, view};

/// One entry.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) settings: settings::Settings,
    pub(crate) client: client::Client,
    pub(crate) table: table::Table,
    pub(crate) objects: objects::Objects,
    pub(crate) metrics: Counters,
    pub(crate) directory: sync::Arc<directory::Directory>,
    pub(crate) peers: peers::Peers,
    stopped_at: sync::OnceLock<time::Instant>,
    pub(crate) open: atomic::AtomicU64,
    limits: sync::Mutex<collections::BTreeMap<ids::CallerName, limit::CallerLimiter>>,
    ledger: sync::Mutex<usage::Ledger>,
}

/// Metrics of the entry.
#[derive(Debug)]
pub(crate) struct Counters {
    pub(crate) registry: metrics::Metrics,
    pub(crate) requests: metrics::RequestMetrics,
    pub(crate) open: gauge::Gauge,
    pub(crate) version: gauge::Gauge,
    pub(crate) pending: gauge::Gauge,
}

impl Counters {
    fn new() -> Counters {
        let registry = metrics::Metrics::new("rhubarb_entry");
        Counters {
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
        let client = client::Client::new();
        let incarnation = rand::random();
        let ledger = usage::Ledger::new(settings.name.clone(), incarnation, clock::unix_ms());
        let metrics = Counters::new();
        let view = view::View::new(&settings.name, &settings.zone, settings.subset);
        let directory = directory::Directory::new(view, metrics.version.clone());
        let directory = sync::Arc::new(directory);
        let (name, keys) = (settings.name.clone(), settings.keys.clone());
        let identity = connector::Identity { name, incarnation, keys };
        Entry {
            peers: peers::Peers::new(identity, directory.clone()),
            directory,
            table: table::Table::new(client.clone(), &settings.platform.table),
            objects: objects::Objects::new(client.clone(), &settings.platform.objects),
            client,
            metrics,
            stopped_at: sync::OnceLock::new(),
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

    /// Counts a refusal.
    pub(crate) fn count_refusal(&self, reason: outcome::Reason) {
        self.metrics.requests.refused.get_or_create(&metrics::reason_labels(reason)).inc();
    }

    /// Takes a retry from the budget of a service, and counts it.
    pub(crate) fn take_retry(&self, service: &str, caller: &str, reason: outcome::Reason) -> bool {
        let taken = self.directory.view().budget(service).try_withdraw(reason);
        if taken {
            self.metrics.requests.retried.get_or_create(&metrics::reason_labels(reason)).inc();
            self.ledger().totals(service, caller).count_retry(reason);
        }
        taken
    }

    /// Counts prompt tokens that were prefilled in vain.
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

    /// Starts to leave: the balancer is told first, then new requests are refused.
    pub(crate) fn stop(&self) {
        self.stopped_at.get_or_init(clock::now);
    }

    /// Whether the balancer is to send no more requests.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopped_at.get().is_some()
    }

    /// Whether new requests are refused.
    pub(crate) fn is_leaving(&self) -> bool {
        self.stopped_at.get().is_some_and(|at| clock::now() >= *at + self.settings.notice)
    }
}
