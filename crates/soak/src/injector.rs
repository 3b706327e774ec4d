//! Fault injector: applies the changes of a plan and records the faults of entries.

use std::{sync, sync::atomic, time};

use rustix::process::Signal;

use rhubarb_e2e::{relay, site};
use rhubarb_fakes::{backend, store};

use crate::{callers, check, plan, record};

/// Applies changes to a deployment.
#[derive(Debug)]
pub(crate) struct Injector {
    pub(crate) site: site::Site,
    pub(crate) shared: sync::Arc<callers::Shared>,
    pub(crate) violations: Vec<check::Violation>,
}

/// Time limit of a graceful stop: the grace period of 8 s and a margin.
const STOP_LIMIT: time::Duration = time::Duration::from_secs(10);
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// Time from the start of a process until it listens.
const START_DURATION: time::Duration = time::Duration::from_secs(1);
/// Time in which a resumed entry handles the requests that arrived while it was frozen.
const RESUME_DURATION: time::Duration = time::Duration::from_millis(500);

impl Injector {
    /// Applies one change.
    pub(crate) async fn apply(&mut self, change: plan::Change) -> anyhow::Result<()> {
        match change {
            plan::Change::Kill(edge) => {
                self.open_window(edge, record::EntryFault::Killed);
                self.site.edges[edge].kill();
            }
            plan::Change::Start(edge) => self.start(edge).await?,
            plan::Change::Freeze(edge) => {
                self.open_window(edge, record::EntryFault::Frozen);
                self.site.edges[edge].signal(Signal::STOP);
            }
            plan::Change::Resume(edge) => {
                self.site.edges[edge].signal(Signal::CONT);
                self.close_windows(edge, RESUME_DURATION);
            }
            plan::Change::Stop(edge) => {
                self.open_window(edge, record::EntryFault::Stopped);
                self.site.edges[edge].signal(Signal::TERM);
            }
            plan::Change::Reload(edge) => self.site.edges[edge].signal(Signal::HUP),
            plan::Change::Store(mode) => self.site.store.set_mode(mode),
            plan::Change::Compact => self.site.store.compact(),
            plan::Change::Config => self.update_config(),
            plan::Change::RestartServer(number) => {
                let server = self.site.servers()[number].clone();
                server.restart();
                self.site.relays[&server.id].disconnect();
                self.site.announce(&server, "ready");
            }
            plan::Change::MoveServer(number) => {
                let server = self.site.servers()[number].clone();
                self.site.move_server(&server).await?;
                self.site.announce(&server, "ready");
            }
            change => self.apply_to_server(change),
        }
        Ok(())
    }

    fn apply_to_server(&self, change: plan::Change) {
        let servers = self.site.servers();
        let server = |number: usize| &servers[number];
        let relay = |number: usize| &self.site.relays[&servers[number].id];
        match change {
            plan::Change::ServerFault(number, fault) => server(number).set_fault(fault),
            plan::Change::HoldTraffic(number, is_buffered) => {
                let mode = if is_buffered { relay::Mode::Buffer } else { relay::Mode::Forward };
                relay(number).set_modes(mode, mode);
            }
            plan::Change::CloseConnections(number) => relay(number).disconnect(),
            plan::Change::Blackhole(number) => relay(number).blackhole(),
            plan::Change::Drain(number, is_draining) => {
                let state = if is_draining { "draining" } else { "ready" };
                self.site.announce(server(number), state);
            }
            plan::Change::Expire(number) => {
                self.site.store.remove("servers", &server(number).id);
            }
            plan::Change::Corrupt(number) => {
                self.site.store.put("servers", &server(number).id, "{\"service\":");
            }
            _ => {}
        }
    }

    fn update_config(&self) {
        let version = self.shared.version.fetch_add(1, atomic::Ordering::Relaxed) + 1;
        self.site.store.put("op", "config", self.site.config(version).to_string());
    }

    async fn start(&mut self, edge: usize) -> anyhow::Result<()> {
        if self.is_stopping(edge) {
            self.wait_stopped(edge).await;
        }
        self.site.restart_edge(edge)?;
        self.close_windows(edge, START_DURATION);
        Ok(())
    }

    fn is_stopping(&self, edge: usize) -> bool {
        let history = self.shared.history();
        let mut open = history.windows.iter().filter(|window| window.until.is_none());
        open.any(|window| window.edge == edge && window.fault == record::EntryFault::Stopped)
    }

    // Waits until the entry exits. Records a violation if that takes longer than `STOP_LIMIT` or
    // the exit code is not 0.
    async fn wait_stopped(&mut self, edge: usize) {
        let deadline = time::Instant::now() + STOP_LIMIT;
        loop {
            let detail = match self.site.edges[edge].exit_code() {
                Some(0) => return,
                Some(code) => format!("entry {edge} exited with code {code} after a graceful stop"),
                None if time::Instant::now() < deadline => {
                    tokio::time::sleep(POLL_INTERVAL).await;
                    continue;
                }
                None => format!("entry {edge} did not stop within {STOP_LIMIT:?}"),
            };
            self.violations
                .push(check::Violation { invariant: check::Invariant::GracefulStop, detail });
            return;
        }
    }

    // Opens a fault window of the entry.
    fn open_window(&self, edge: usize, fault: record::EntryFault) {
        let window = record::FaultWindow { edge, fault, from: time::Instant::now(), until: None };
        self.shared.history().windows.push(window);
    }

    // Closes the open fault windows of the entry after `delay`.
    fn close_windows(&self, edge: usize, delay: time::Duration) {
        let until = Some(time::Instant::now() + delay);
        let mut history = self.shared.history();
        for window in history.windows.iter_mut().filter(|window| window.edge == edge) {
            window.until = window.until.or(until);
        }
    }

    /// Clears the faults of the store and of all servers, and writes the next config.
    pub(crate) async fn clear_faults(&mut self) -> anyhow::Result<()> {
        self.apply(plan::Change::Store(store::Mode::Up)).await?;
        for number in 0..self.site.servers().len() {
            self.apply(plan::Change::ServerFault(number, backend::Fault::None)).await?;
            self.apply(plan::Change::HoldTraffic(number, false)).await?;
            self.apply(plan::Change::Drain(number, false)).await?;
        }
        self.update_config();
        Ok(())
    }
}
