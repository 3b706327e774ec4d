//! State and metrics of the agent.

use std::{collections, sync, time};

use prometheus_client::metrics::{counter, gauge};
use tokio::{sync as lock, task};

use rhubarb_core::{gate, ids, list, load, outcome, prefill_time, revisions, slots};
use rhubarb_node::{client, clock, instances, locks, metrics, objects, table};
use rhubarb_wire::message;

use crate::{job, model, output, settings};

/// Agent of one backend server.
#[derive(Debug)]
pub(crate) struct Agent {
    pub(crate) settings: settings::Settings,
    /// Random id of this process.
    pub(crate) incarnation: ids::Incarnation,
    /// Start of this process, the zero of the agent's clock.
    pub(crate) started: time::Instant,
    /// Client of the backend server.
    pub(crate) client: client::Client,
    pub(crate) table: table::Table,
    pub(crate) objects: objects::Objects,
    pub(crate) metrics: AgentMetrics,
    /// Notified to poll the table for a new list.
    pub(crate) poll_requested: lock::Notify,
    /// Notified after a new list was applied.
    pub(crate) list_applied: lock::Notify,
    state: sync::Mutex<State>,
}

/// Mutable state of the agent.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) gate: gate::Gate,
    pub(crate) slots: slots::Slots,
    pub(crate) prefill_time: prefill_time::PrefillTime,
    pub(crate) revisions: revisions::Revisions,
    /// Listed servers that are missing from the instance list.
    pub(crate) gone_servers: collections::BTreeSet<ids::ServerName>,
    /// Last instance list.
    pub(crate) instances: Vec<instances::Instance>,
    /// Whether a service list has been applied.
    pub(crate) has_list: bool,
    /// Whether the backend server is ready; while a new model loads, it still serves the old one.
    pub(crate) loaded: bool,
    /// Model that the engine runs; `None` until this process has loaded one.
    pub(crate) model: Option<model::Model>,
    /// Whether an entry has reported that the services this one depends on are ready.
    pub(crate) depends_ready: bool,
    /// Whether the runs that an earlier agent left at the engine were cancelled; also true after
    /// the last failed attempt.
    pub(crate) engine_cleared: bool,
    /// Fencing number; zero until this process is registered.
    pub(crate) fence: u64,
    /// Whether this process is registered in the table.
    pub(crate) registered: bool,
    /// Whether the table had no row for this server before: no earlier process registered.
    pub(crate) first_process: bool,
    /// Responses of runs with a record, for resumption and for repeated keys.
    pub(crate) outputs: collections::BTreeMap<ids::RunId, sync::Arc<output::Output>>,
    /// Bytes in `outputs` that are kept for idempotency keys.
    pub(crate) kept_bytes: usize,
    /// Jobs that wait for a slot.
    pub(crate) queued: collections::BTreeMap<ids::RunId, job::QueuedJob>,
    /// Queues to the connected entries, by link.
    pub(crate) links: collections::BTreeMap<u64, job::Sender>,
    /// Tasks of the started runs.
    pub(crate) tasks: collections::BTreeMap<ids::RunId, task::AbortHandle>,
}

/// Metrics of the agent.
#[derive(Debug)]
pub(crate) struct AgentMetrics {
    pub(crate) registry: metrics::Metrics,
    pub(crate) refused: metrics::ReasonFamily,
    pub(crate) runs: counter::Counter,
    pub(crate) cancelled: counter::Counter,
    pub(crate) orphans: counter::Counter,
    pub(crate) bad_peers: counter::Counter,
    pub(crate) held: gauge::Gauge,
    pub(crate) keys: gauge::Gauge,
}

/// Time after the loss of contact until a run is cancelled as an orphan.
const ORPHAN_GRACE: time::Duration = time::Duration::from_secs(2);
/// Time after which an unclaimed reservation of a slot expires.
const RESERVATION_TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// Retention window of key records until the service list sets that of the service.
const INITIAL_WINDOW: time::Duration = time::Duration::from_secs(600);

impl AgentMetrics {
    fn new() -> AgentMetrics {
        let registry = metrics::Metrics::new("rhubarb_agent");
        AgentMetrics {
            refused: registry.reason_counter("refused", "Runs refused or failed, by reason"),
            runs: registry.counter("runs", "Runs handed to the backend server"),
            cancelled: registry.counter("cancelled", "Runs cancelled by their entry"),
            orphans: registry.counter("orphans", "Runs cancelled because their entry was lost"),
            bad_peers: registry.counter("bad_peers", "Connections and datagrams not let in"),
            held: registry.gauge("held", "Requests that hold a room"),
            keys: registry.gauge("keys", "Idempotency keys remembered"),
            registry,
        }
    }
}

impl Agent {
    pub(crate) fn new(settings: settings::Settings) -> Agent {
        let now = clock::now();
        let limits = gate::Limits {
            window: INITIAL_WINDOW,
            max_keys: settings.max_keys,
            orphan_grace: ORPHAN_GRACE,
        };
        let state = State {
            gate: gate::Gate::new(settings.server.clone(), limits, now),
            slots: slots::Slots::new(0, settings.queue, RESERVATION_TIMEOUT),
            prefill_time: prefill_time::PrefillTime::default(),
            revisions: revisions::Revisions::default(),
            gone_servers: collections::BTreeSet::new(),
            instances: Vec::new(),
            has_list: false,
            loaded: false,
            model: None,
            depends_ready: false,
            engine_cleared: false,
            fence: 0,
            registered: false,
            first_process: false,
            outputs: collections::BTreeMap::new(),
            kept_bytes: 0,
            queued: collections::BTreeMap::new(),
            links: collections::BTreeMap::new(),
            tasks: collections::BTreeMap::new(),
        };
        Agent {
            incarnation: rand::random(),
            started: now,
            table: table::Table::new(&settings.platform.table),
            objects: objects::Objects::new(&settings.platform.objects),
            client: client::Client::for_local(),
            metrics: AgentMetrics::new(),
            poll_requested: lock::Notify::new(),
            list_applied: lock::Notify::new(),
            state: sync::Mutex::new(state),
            settings,
        }
    }

    pub(crate) fn lock(&self) -> sync::MutexGuard<'_, State> {
        locks::lock(&self.state)
    }

    /// Instant of `clock_ms` milliseconds on this agent's clock.
    pub(crate) fn instant_at(&self, clock_ms: u64) -> time::Instant {
        self.started + time::Duration::from_millis(clock_ms)
    }

    /// Response to a ping, with the current list version and load.
    pub(crate) fn pong(&self, seq: u64) -> message::Pong {
        let state = self.lock();
        message::Pong {
            seq,
            clock_ms: clock::now().saturating_duration_since(self.started).as_millis() as u64,
            version: state.revisions.version(),
            load: state.load(),
        }
    }

    /// Counts a refusal in the metrics, by reason.
    pub(crate) fn count_refusal(&self, refusal: outcome::Refusal) {
        self.metrics.refused.get_or_create(&metrics::reason_labels(refusal.reason)).inc();
    }
}

impl State {
    /// Current load, for the reports to entries.
    pub(crate) fn load(&self) -> load::Load {
        load::Load { leaving: self.gate.is_leaving(), ..self.slots.load(clock::now()) }
    }

    /// Service and role of `server` in the current list.
    pub(crate) fn assignment(&self, server: &str) -> Option<(&list::Service, list::Role)> {
        self.revisions.current().list.find_server(server)
    }

    /// Marks the key history as complete in the first process of a recently listed server.
    ///
    /// A process that starts while the table is unavailable is not registered, but may run keys
    /// once it has waited for the window after the listing of its server. A missing row therefore
    /// proves a complete history only for half the window after the listing.
    pub(crate) fn mark_first_complete(&mut self, server: &str) {
        let Some(service) = self.service(server).filter(|_| self.first_process) else { return };
        let listed = self.revisions.current().listed_ago(server, clock::unix_ms());
        if listed.is_some_and(|ago| ago < service.window / 2) {
            self.gate.mark_history_complete();
            self.first_process = false;
            tracing::info!(
                "agent: this server has no earlier process; its key history is complete"
            );
        }
    }

    /// Service of `server` in the current list.
    pub(crate) fn service(&self, server: &str) -> Option<sync::Arc<list::Service>> {
        let list = &self.revisions.current().list;
        list.services.values().find(|service| service.role(server).is_some()).cloned()
    }

    /// Drops the response of a run whose record was dropped.
    pub(crate) fn drop_output(&mut self, run: ids::RunId) {
        if let Some(output) = self.outputs.remove(&run) {
            self.kept_bytes -= output.kept_bytes();
        }
    }

    /// Counts the response of a run as kept for its key.
    pub(crate) fn keep_output(&mut self, run: ids::RunId) {
        if let Some(output) = self.outputs.get(&run) {
            self.kept_bytes += output.mark_kept();
        }
    }

    /// Whether there is no open run, queued or started.
    pub(crate) fn is_idle(&self) -> bool {
        self.gate.open_runs() == 0
    }
}
