//! Fault injector: applies the changes of a plan and records the faults of entries.

use std::{collections, sync, sync::atomic, time};

use rustix::process::Signal;
use tokio::task;

use rhubarb_e2e::{relay, site};
use rhubarb_fakes::{backend, copy, store};

use crate::{callers, check, plan, record};

use record::{EntryFault, Place};

/// Applies changes to a deployment.
#[derive(Debug)]
pub(crate) struct Injector {
    pub(crate) site: site::Site,
    pub(crate) shared: sync::Arc<callers::Shared>,
    // Routes of each config besides those that are called.
    routes: usize,
    pub(crate) violations: Vec<check::Violation>,
    // Entries to start as soon as their process has ended.
    starting: collections::BTreeSet<usize>,
    // Entries whose process has ended.
    ended: collections::BTreeSet<usize>,
    // Last copy of the store, and the restore that is under way.
    copy: copy::Content,
    restore: Option<task::JoinHandle<()>>,
    // Servers that leave, as their answers or rows say.
    leaving: collections::BTreeSet<usize>,
    // Starts of the servers, by id.
    starts: collections::BTreeMap<String, u64>,
}

/// Time limit of a graceful stop: the grace period of 8 s and a margin.
const STOP_LIMIT: time::Duration = time::Duration::from_secs(10);
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// Time within which a process that was just started catches signals, and interval between checks.
const CATCH_LIMIT: time::Duration = time::Duration::from_millis(200);
const CATCH_POLL: time::Duration = time::Duration::from_millis(1);
/// Time in which a resumed entry handles the requests that arrived while it was frozen.
const RESUME_DURATION: time::Duration = time::Duration::from_millis(500);

impl Injector {
    pub(crate) fn new(
        site: site::Site,
        shared: sync::Arc<callers::Shared>,
        routes: usize,
    ) -> Injector {
        let copy = site.store.copy();
        Injector {
            site,
            shared,
            routes,
            violations: Vec::new(),
            starting: collections::BTreeSet::new(),
            ended: collections::BTreeSet::new(),
            copy,
            restore: None,
            leaving: collections::BTreeSet::new(),
            starts: collections::BTreeMap::new(),
        }
    }

    /// Waits until `at`, and meanwhile starts entries that have stopped.
    pub(crate) async fn wait_until(&mut self, at: tokio::time::Instant) -> anyhow::Result<()> {
        loop {
            self.follow_processes()?;
            self.follow_servers();
            let now = tokio::time::Instant::now();
            if now >= at {
                return Ok(());
            }
            tokio::time::sleep_until(at.min(now + POLL_INTERVAL)).await;
        }
    }

    /// Applies one change.
    pub(crate) async fn apply(&mut self, change: plan::Change) -> anyhow::Result<()> {
        self.follow_processes()?;
        match change {
            plan::Change::Kill(edge) => self.kill(edge),
            plan::Change::Start(edge) => drop(self.starting.insert(edge)),
            plan::Change::Freeze(edge) => self.signal(edge, EntryFault::Frozen, Signal::STOP),
            plan::Change::Resume(edge) if !self.ended.contains(&edge) => {
                self.site.edges[edge].signal(Signal::CONT);
                self.close_windows(edge, Some(EntryFault::Frozen), RESUME_DURATION);
            }
            plan::Change::Stop(edge) => {
                self.wait_catching(edge, Signal::TERM).await;
                self.signal(edge, EntryFault::Stopped, Signal::TERM);
            }
            plan::Change::Reload(edge) if !self.ended.contains(&edge) => {
                self.wait_catching(edge, Signal::HUP).await;
                self.site.edges[edge].signal(Signal::HUP);
            }
            plan::Change::Resume(_) | plan::Change::Reload(_) => {}
            plan::Change::Store(mode) => {
                self.site.store.set_mode(mode);
                self.set_disturbed(Place::Store, mode != store::Mode::Up);
            }
            plan::Change::SilenceStore => {
                self.site.store_relays.iter().for_each(relay::Relay::blackhole);
                self.disturb(Place::Store);
            }
            plan::Change::SilenceFeeds(table) => {
                self.site.store.silence_feeds(table);
                self.disturb(Place::Store);
            }
            plan::Change::CutStore(edge, is_cut) => {
                let mode = if is_cut { relay::Mode::Buffer } else { relay::Mode::Forward };
                self.site.store_relays[edge].set_modes(mode, mode);
                self.set_disturbed(Place::Edge(edge), is_cut);
            }
            plan::Change::Compact => self.site.store.compact(),
            plan::Change::CopyStore => self.copy = self.site.store.copy(),
            plan::Change::RestoreStore(outage, rewrite) => self.restore_store(outage, rewrite),
            plan::Change::Config => self.update_config(),
            plan::Change::RestartServer(number) => {
                let server = self.server(number);
                server.restart();
                self.leaving.remove(&number);
                self.end_limit(&server.id);
                self.on_relay(number, relay::Relay::disconnect);
                self.disturb(Place::Server(server.id.clone()));
                self.announce(number, true);
            }
            plan::Change::Software(number, version) => {
                let server = self.server(number);
                self.depart(&server.id);
                self.end_limit(&server.id);
                self.site.upgrade_server(&server, &format!("v{version}")).await?;
                self.set_deadly();
                self.leaving.remove(&number);
            }
            plan::Change::MoveServer(number) => {
                let server = self.server(number);
                if !self.has_relay(&server) {
                    // A relay in front of it would accept connections while it is down.
                    return Ok(());
                }
                self.site.move_server(&server).await?;
                self.disturb(Place::Server(server.id));
                self.announce(number, true);
            }
            plan::Change::ReplaceServer(number) => {
                let server = self.server(number);
                self.depart(&server.id);
                self.end_limit(&server.id);
                self.site.replace_server(&server).await?;
                self.set_deadly();
                self.leaving.remove(&number);
            }
            change => self.apply_to_server(change),
        }
        Ok(())
    }

    // Starts a restore from the last copy, unless one is under way.
    fn restore_store(&mut self, outage: time::Duration, rewrite: time::Duration) {
        if self.restore.as_ref().is_some_and(|restore| !restore.is_finished()) {
            return;
        }
        let from = time::Instant::now();
        let until = Some(from + outage + rewrite + POLL_INTERVAL);
        let disturbance = record::Disturbance { place: Place::Store, from, until };
        self.shared.history().disturbances.push(disturbance);
        let (store, content) = (self.site.store.clone(), self.copy.clone());
        let drill = async move { store.drill(content, outage, rewrite).await };
        self.restore = Some(tokio::spawn(drill));
    }

    fn apply_to_server(&mut self, change: plan::Change) {
        match change {
            plan::Change::ServerFault(number, fault) => self.server(number).set_fault(fault),
            plan::Change::Pause(number, length) => self.server(number).set_pause(length, None),
            plan::Change::HoldTraffic(number, is_held) => {
                let mode = if is_held { relay::Mode::Buffer } else { relay::Mode::Forward };
                self.on_relay(number, |relay| relay.set_modes(mode, mode));
                self.set_disturbed(Place::Server(self.server(number).id), is_held);
            }
            plan::Change::CloseConnections(number) => {
                self.on_relay(number, relay::Relay::disconnect);
                self.disturb(Place::Server(self.server(number).id));
            }
            plan::Change::Blackhole(number) => {
                self.on_relay(number, relay::Relay::blackhole);
                self.disturb(Place::Server(self.server(number).id));
            }
            plan::Change::Double(number, doubles) => {
                self.on_relay(number, |relay| relay.set_doubles(doubles));
            }
            plan::Change::Deadly(is_deadly) => {
                self.shared.deadly.store(is_deadly, atomic::Ordering::Relaxed);
                self.set_deadly();
            }
            plan::Change::Repeated(is_repeated) => {
                self.shared.repeated.store(is_repeated, atomic::Ordering::Relaxed);
                self.set_deadly();
            }
            plan::Change::Pace(number, pace) => self.server(number).set_pace(pace),
            plan::Change::Crash(number) => self.server(number).crash(),
            plan::Change::Limit(number, 0) => {
                let server = self.server(number);
                server.set_limit(None);
                self.end_limit(&server.id);
            }
            plan::Change::Limit(number, rate) => self.limit(&self.server(number), rate),
            plan::Change::Leave(number) => {
                self.server(number).set_leaving(true);
                self.leaving.insert(number);
            }
            plan::Change::Drain(number) => {
                self.leaving.insert(number);
                self.announce(number, false);
            }
            // A server that leaves does not take that back.
            plan::Change::Announce(number) => {
                self.announce(number, !self.leaving.contains(&number));
            }
            plan::Change::Expire(number) => {
                let id = self.server(number).id;
                self.depart(&id);
                self.site.store.remove("servers", &id);
            }
            plan::Change::Corrupt(number) => {
                self.site.store.put("servers", &self.server(number).id, "{\"service\":");
            }
            _ => {}
        }
    }

    fn server(&self, number: usize) -> backend::Backend {
        self.site.servers()[number].clone()
    }

    // Applies a change to the relay of a server, if it has one.
    fn on_relay(&self, number: usize, change: impl Fn(&relay::Relay)) {
        if let Some(relay) = self.site.relays.get(&self.server(number).id) {
            change(relay);
        }
    }

    fn limit(&self, server: &backend::Backend, rate: u32) {
        self.end_limit(&server.id);
        server.set_limit(Some(f64::from(rate)));
        let (id, from) = (server.id.clone(), time::Instant::now());
        let limit = record::Limit { server: id, rate, from, until: None };
        self.shared.history().limits.push(limit);
    }

    fn end_limit(&self, server: &str) {
        let now = Some(time::Instant::now());
        let mut history = self.shared.history();
        let limits = history.limits.iter_mut().filter(|limit| limit.server == server);
        limits.for_each(|limit| limit.until = limit.until.or(now));
    }

    fn has_relay(&self, server: &backend::Backend) -> bool {
        self.site.relays.contains_key(&server.id)
    }

    // Makes the servers, also new ones, crash as the plan says.
    fn set_deadly(&self) {
        let is_deadly = self.shared.deadly.load(atomic::Ordering::Relaxed);
        let part = if is_deadly { record::DEADLY_PART } else { "" };
        self.site.decode.iter().for_each(|engine| engine.set_deadly_part(part));
        let is_repeated = self.shared.repeated.load(atomic::Ordering::Relaxed);
        let deadly = |path| is_repeated.then_some((path, record::REPEATED_BODY));
        self.site
            .plain
            .iter()
            .for_each(|server| server.set_deadly_request(deadly(record::Kind::Safe.path())));
        let engines = self.site.decode.iter().filter(|engine| !self.has_relay(engine));
        engines.for_each(|engine| {
            engine.set_deadly_request(deadly(record::Kind::Resumable.path()));
        });
    }

    /// Writes the rows of servers that have crashed and started again.
    pub(crate) fn follow_servers(&mut self) {
        for number in 0..self.site.servers().len() {
            let server = self.server(number);
            let known = self.starts.insert(server.id.clone(), server.born());
            if known.is_some_and(|born| born != server.born()) {
                self.end_limit(&server.id);
                self.leaving.remove(&number);
                self.announce(number, true);
            }
        }
    }

    // Writes the row of a server to the store, as ready or draining.
    fn announce(&self, number: usize, is_ready: bool) {
        let server = self.server(number);
        if is_ready {
            let now = Some(time::Instant::now());
            let mut history = self.shared.history();
            let departures = history.departures.iter_mut();
            for departure in departures.filter(|departure| departure.server == server.id) {
                departure.until = departure.until.or(now);
            }
        }
        self.site.announce(&server, if is_ready { "ready" } else { "draining" });
        if !is_ready {
            self.depart(&server.id);
        }
    }

    // Records that the store knows that a server leaves or is gone.
    fn depart(&self, server: &str) {
        let mut history = self.shared.history();
        let mut open = history.departures.iter().filter(|departure| departure.until.is_none());
        if !open.any(|departure| departure.server == server) {
            let (server, at) = (server.to_string(), time::Instant::now());
            history.departures.push(record::Departure { server, at, until: None });
        }
    }

    // Records a disturbance that ends at once.
    fn disturb(&self, place: Place) {
        let now = time::Instant::now();
        let disturbance = record::Disturbance { place, from: now, until: Some(now) };
        self.shared.history().disturbances.push(disturbance);
    }

    // Records the start or the end of a disturbance.
    fn set_disturbed(&self, place: Place, is_disturbed: bool) {
        let now = time::Instant::now();
        let mut history = self.shared.history();
        if is_disturbed {
            history.disturbances.push(record::Disturbance { place, from: now, until: None });
            return;
        }
        let ended = history.disturbances.iter_mut().filter(|other| other.place == place);
        ended.for_each(|disturbance| disturbance.until = disturbance.until.or(Some(now)));
    }

    fn update_config(&self) {
        let version = self.shared.version.fetch_add(1, atomic::Ordering::Relaxed) + 1;
        let mut config = self.site.config_with_customers(version, &record::CUSTOMERS);
        site::Site::add_routes(&mut config, self.routes);
        self.site.store.put("op", "config", config.to_string());
        self.shared.history().configs.insert(version, time::Instant::now());
    }

    // Sends a signal to an entry that runs, and records the fault unless it has it already.
    fn signal(&self, edge: usize, fault: EntryFault, signal: Signal) {
        if self.ended.contains(&edge) {
            return;
        }
        if self.open_since(edge, fault).is_none() {
            self.open_window(edge, fault);
        }
        self.site.edges[edge].signal(signal);
    }

    // Waits until a process that was just started catches a signal that ends it by default.
    async fn wait_catching(&self, edge: usize, signal: Signal) {
        let deadline = time::Instant::now() + CATCH_LIMIT;
        let is_waiting = || !self.ended.contains(&edge) && time::Instant::now() < deadline;
        while is_waiting() && !self.site.edges[edge].catches(signal) {
            tokio::time::sleep(CATCH_POLL).await;
        }
    }

    fn kill(&mut self, edge: usize) {
        if self.ended.insert(edge) {
            self.open_window(edge, EntryFault::Killed);
            self.site.edges[edge].kill();
        }
    }

    // Notices processes that have ended, and starts those that a change asked for.
    fn follow_processes(&mut self) -> anyhow::Result<()> {
        for edge in 0..self.site.edges.len() {
            if !self.ended.contains(&edge)
                && let Some(code) = self.site.edges[edge].exit_code()
            {
                self.ended.insert(edge);
                self.check_exit(edge, code);
            }
        }
        for edge in self.starting.clone() {
            if self.open_since(edge, EntryFault::Stopped).is_some() && self.is_overdue(edge) {
                let detail = format!("entry {edge} did not stop within {STOP_LIMIT:?}");
                self.report(check::Invariant::GracefulStop, detail);
                self.kill(edge);
            }
            if self.ended.remove(&edge) {
                self.site.restart_edge(edge)?;
                self.close_windows(edge, None, record::START_DURATION);
                self.starting.remove(&edge);
            } else if self.open_since(edge, EntryFault::Stopped).is_none() {
                self.starting.remove(&edge);
            }
        }
        Ok(())
    }

    // Checks the exit code of a process that was not killed.
    fn check_exit(&mut self, edge: usize, code: i32) {
        if self.open_since(edge, EntryFault::Stopped).is_none() {
            let detail = format!("entry {edge} exited with code {code} without a signal");
            self.report(check::Invariant::Running, detail);
            self.open_window(edge, EntryFault::Killed);
            self.starting.insert(edge);
        } else if code != 0 {
            let detail = format!("entry {edge} exited with code {code} after a graceful stop");
            self.report(check::Invariant::GracefulStop, detail);
        }
    }

    // Whether a stopping entry runs on beyond the limit; time for which it was frozen does not
    // count.
    fn is_overdue(&self, edge: usize) -> bool {
        let Some(since) = self.open_since(edge, EntryFault::Stopped) else { return false };
        let now = time::Instant::now();
        let history = self.shared.history();
        let frozen = history
            .windows
            .iter()
            .filter(|window| window.edge == edge && window.fault == EntryFault::Frozen);
        let frozen = frozen.map(|window| {
            let until = window.until.unwrap_or(now);
            until.saturating_duration_since(window.from.max(since))
        });
        now > since + STOP_LIMIT + frozen.sum::<time::Duration>()
    }

    fn report(&mut self, invariant: check::Invariant, detail: String) {
        self.violations.push(check::Violation { invariant, detail });
    }

    // Start of the open window of this fault.
    fn open_since(&self, edge: usize, fault: EntryFault) -> Option<time::Instant> {
        let history = self.shared.history();
        let mut windows = history.windows.iter().filter(|window| window.until.is_none());
        windows.find(|window| window.edge == edge && window.fault == fault).map(|open| open.from)
    }

    // Opens a fault window of the entry.
    fn open_window(&self, edge: usize, fault: EntryFault) {
        let window = record::FaultWindow { edge, fault, from: time::Instant::now(), until: None };
        self.shared.history().windows.push(window);
    }

    // Closes the open windows of the entry after `delay`: those of `fault`, or all.
    fn close_windows(&self, edge: usize, fault: Option<EntryFault>, delay: time::Duration) {
        let until = Some(time::Instant::now() + delay);
        let mut history = self.shared.history();
        let windows = history.windows.iter_mut().filter(|window| window.edge == edge);
        for window in windows.filter(|window| fault.is_none_or(|fault| fault == window.fault)) {
            window.until = window.until.or(until);
        }
    }

    /// Clears all faults, waits until all entries run, and writes the next config.
    pub(crate) async fn clear_faults(&mut self) -> anyhow::Result<()> {
        for edge in 0..self.site.edges.len() {
            self.apply(plan::Change::Resume(edge)).await?;
            self.apply(plan::Change::CutStore(edge, false)).await?;
            self.apply(plan::Change::Start(edge)).await?;
        }
        if let Some(restore) = self.restore.take() {
            restore.await?;
        }
        self.apply(plan::Change::Store(store::Mode::Up)).await?;
        self.apply(plan::Change::Deadly(false)).await?;
        self.apply(plan::Change::Repeated(false)).await?;
        for number in 0..self.site.servers().len() {
            self.apply(plan::Change::Limit(number, 0)).await?;
            self.apply(plan::Change::ServerFault(number, backend::Fault::None)).await?;
            self.apply(plan::Change::HoldTraffic(number, false)).await?;
            self.apply(plan::Change::Double(number, false)).await?;
            let is_leaving = self.leaving.contains(&number);
            let replaced = plan::Change::ReplaceServer(number);
            self.apply(if is_leaving { replaced } else { plan::Change::Announce(number) }).await?;
        }
        while !self.starting.is_empty() {
            self.wait_until(tokio::time::Instant::now() + POLL_INTERVAL).await?;
        }
        self.update_config();
        Ok(())
    }
}
