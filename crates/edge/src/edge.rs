//! State shared by the parts of an entry.

use std::{sync, sync::atomic, time};

use tokio::sync as lock;

use rhubarb_core::{ids, members, usage};
use rhubarb_node::{client, clock, locks};
use rhubarb_platform::{settings, store};

use crate::{ahead, connections, dates, directory, metrics, orders};

/// One entry.
#[derive(Debug)]
pub(crate) struct Edge {
    settings: sync::Mutex<sync::Arc<settings::Settings>>,
    pub(crate) incarnation: ids::Incarnation,
    pub(crate) store: store::Store,
    pub(crate) links: connections::ConnectionPool,
    pub(crate) counters: metrics::Counters,
    /// Decode memory may have become free.
    pub(crate) room_freed: lock::Notify,
    /// What this entry has given to engines has changed.
    pub(crate) given: lock::Notify,
    /// A peer knows more than this entry.
    pub(crate) behind: lock::Notify,
    /// The store's feeds tell nothing, though something has changed.
    pub(crate) silent: lock::Notify,
    /// Tables of the store that do not answer now.
    pub(crate) away: atomic::AtomicU64,
    pub(crate) open: atomic::AtomicU64,
    pub(crate) dates: dates::Dates,
    ledger: sync::Mutex<usage::Ledger>,
    directory: sync::Mutex<directory::Directory>,
    members: sync::Mutex<members::Members>,
    orders: sync::Mutex<orders::Orders>,
    ahead: sync::Mutex<ahead::Ahead>,
    seq: atomic::AtomicU64,
    stopped_at: sync::OnceLock<time::Instant>,
}

/// The balancer stops sending within two of its checks, which come once a second.
pub(crate) const NOTICE: time::Duration = time::Duration::from_millis(2_500);

impl Edge {
    pub(crate) fn new(settings: settings::Settings) -> Edge {
        let directory = directory::Directory::new(&settings.zone, settings.allowance);
        let store = store::Store::new(client::Client::new(), settings.store_addr);
        let (incarnation, dates) = (rand::random(), dates::Dates::new());
        let ledger = usage::Ledger::new(settings.name.clone(), incarnation, dates.now_ms());
        Edge {
            incarnation,
            dates,
            ledger: sync::Mutex::new(ledger),
            store,
            links: connections::ConnectionPool::default(),
            counters: metrics::Counters::new(),
            room_freed: lock::Notify::new(),
            given: lock::Notify::new(),
            behind: lock::Notify::new(),
            silent: lock::Notify::new(),
            away: atomic::AtomicU64::new(0),
            open: atomic::AtomicU64::new(0),
            directory: sync::Mutex::new(directory),
            members: sync::Mutex::default(),
            orders: sync::Mutex::default(),
            ahead: sync::Mutex::default(),
            seq: atomic::AtomicU64::new(1),
            stopped_at: sync::OnceLock::new(),
            settings: sync::Mutex::new(sync::Arc::new(settings)),
        }
    }

    /// Settings in force.
    pub(crate) fn settings(&self) -> sync::Arc<settings::Settings> {
        locks::lock(&self.settings).clone()
    }

    /// Puts settings that were read again in force.
    pub(crate) fn set_settings(&self, settings: settings::Settings) {
        self.directory().set_allowance(settings.allowance);
        *locks::lock(&self.settings) = sync::Arc::new(settings);
    }

    pub(crate) fn directory(&self) -> sync::MutexGuard<'_, directory::Directory> {
        locks::lock(&self.directory)
    }

    /// What callers got.
    pub(crate) fn ledger(&self) -> sync::MutexGuard<'_, usage::Ledger> {
        locks::lock(&self.ledger)
    }

    pub(crate) fn members(&self) -> sync::MutexGuard<'_, members::Members> {
        locks::lock(&self.members)
    }

    /// Orders to engines that are being carried out.
    pub(crate) fn orders(&self) -> sync::MutexGuard<'_, orders::Orders> {
        locks::lock(&self.orders)
    }

    /// Peer that knows more than this entry.
    pub(crate) fn ahead(&self) -> sync::MutexGuard<'_, ahead::Ahead> {
        locks::lock(&self.ahead)
    }

    /// Id for a new run.
    pub(crate) fn next_run(&self) -> ids::RunId {
        ids::run_id(self.incarnation, self.seq.fetch_add(1, atomic::Ordering::Relaxed))
    }

    /// Whether the balancer may send new connections.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_stopping() && self.directory().is_complete()
    }

    /// Starts to leave.
    pub(crate) fn stop(&self) {
        self.stopped_at.get_or_init(clock::now);
    }

    /// Whether the time for long requests before the end has passed.
    pub(crate) fn is_ending(&self) -> bool {
        self.stopped_at.get().is_some_and(|at| clock::now() >= *at + NOTICE)
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopped_at.get().is_some()
    }
}
