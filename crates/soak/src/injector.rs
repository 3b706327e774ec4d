//! Carries out the changes of a plan, and notes what they do to entries.

use std::{sync, sync::atomic, time};

use rustix::process::Signal;

use rhubarb_e2e::{relay, standin};
use rhubarb_fakes::{backend, store};

use crate::{callers, check, plan, record};

/// A deployment and what has been done to it.
#[derive(Debug)]
pub(crate) struct Injector {
    pub(crate) site: standin::Site,
    pub(crate) shared: sync::Arc<callers::Shared>,
    pub(crate) violations: Vec<check::Violation>,
}

/// The longest that an entry may take to stop: its grace of 8 s.
const STOP_LIMIT: time::Duration = time::Duration::from_secs(10);
const STEP: time::Duration = time::Duration::from_millis(50);
/// Time in which a process that was started listens.
const START: time::Duration = time::Duration::from_secs(1);
/// Time in which an entry that goes on again settles what came meanwhile.
const SETTLE: time::Duration = time::Duration::from_millis(500);

impl Injector {
    /// Carries out one change.
    pub(crate) async fn apply(&mut self, change: plan::Change) -> anyhow::Result<()> {
        match change {
            plan::Change::Kill(edge) => {
                self.open(edge, record::EntryFault::Killed);
                self.site.edges[edge].kill();
            }
            plan::Change::Start(edge) => self.start(edge).await?,
            plan::Change::Freeze(edge) => {
                self.open(edge, record::EntryFault::Frozen);
                self.site.edges[edge].signal(Signal::STOP);
            }
            plan::Change::Resume(edge) => {
                self.site.edges[edge].signal(Signal::CONT);
                self.close(edge, SETTLE);
            }
            plan::Change::Stop(edge) => {
                self.open(edge, record::EntryFault::Stopped);
                self.site.edges[edge].signal(Signal::TERM);
            }
            plan::Change::Reload(edge) => self.site.edges[edge].signal(Signal::HUP),
            plan::Change::Store(mode) => self.site.store.set_mode(mode),
            plan::Change::Compact => self.site.store.compact(),
            plan::Change::Config => self.next_config(),
            plan::Change::RestartServer(number) => {
                let server = self.site.servers()[number].clone();
                server.restart();
                self.site.relays[&server.id].cut();
                self.site.announce(&server, "ready");
            }
            plan::Change::MoveServer(number) => {
                let server = self.site.servers()[number].clone();
                self.site.move_server(&server).await?;
                self.site.announce(&server, "ready");
            }
            server => self.change_server(server),
        }
        Ok(())
    }

    fn change_server(&self, change: plan::Change) {
        let servers = self.site.servers();
        let server = |number: usize| &servers[number];
        let relay = |number: usize| &self.site.relays[&servers[number].id];
        match change {
            plan::Change::ServerFault(number, fault) => server(number).set_fault(fault),
            plan::Change::HoldTraffic(number, is_held) => {
                let mode = if is_held { relay::Mode::Hold } else { relay::Mode::Pass };
                relay(number).set(mode, mode);
            }
            plan::Change::CloseConnections(number) => relay(number).cut(),
            plan::Change::Blackhole(number) => relay(number).silence(),
            plan::Change::Drain(number, is_leaving) => {
                let state = if is_leaving { "draining" } else { "ready" };
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

    fn next_config(&self) {
        let version = self.shared.version.fetch_add(1, atomic::Ordering::Relaxed) + 1;
        self.site.store.put("op", "config", self.site.config(version).to_string());
    }

    async fn start(&mut self, edge: usize) -> anyhow::Result<()> {
        if self.is_stopping(edge) {
            self.wait_stop(edge).await;
        }
        self.site.restart_edge(edge)?;
        self.close(edge, START);
        Ok(())
    }

    fn is_stopping(&self, edge: usize) -> bool {
        let history = self.shared.history();
        let mut open = history.windows.iter().filter(|window| window.until.is_none());
        open.any(|window| window.edge == edge && window.fault == record::EntryFault::Stopped)
    }

    async fn wait_stop(&mut self, edge: usize) {
        let until = time::Instant::now() + STOP_LIMIT;
        loop {
            let detail = match self.site.edges[edge].exit_code() {
                Some(0) => return,
                Some(code) => format!("entry {edge} ended with {code} when told to stop"),
                None if time::Instant::now() < until => {
                    tokio::time::sleep(STEP).await;
                    continue;
                }
                None => format!("entry {edge} did not stop"),
            };
            self.violations
                .push(check::Violation { invariant: check::Invariant::GracefulStop, detail });
            return;
        }
    }

    fn open(&self, edge: usize, fault: record::EntryFault) {
        let window = record::FaultWindow { edge, fault, from: time::Instant::now(), until: None };
        self.shared.history().windows.push(window);
    }

    fn close(&self, edge: usize, settle: time::Duration) {
        let until = Some(time::Instant::now() + settle);
        let mut history = self.shared.history();
        for window in history.windows.iter_mut().filter(|window| window.edge == edge) {
            window.until = window.until.or(until);
        }
    }

    /// Ends all faults that are still open.
    pub(crate) async fn heal(&mut self) -> anyhow::Result<()> {
        self.apply(plan::Change::Store(store::Mode::Up)).await?;
        for number in 0..self.site.servers().len() {
            self.apply(plan::Change::ServerFault(number, backend::Fault::None)).await?;
            self.apply(plan::Change::HoldTraffic(number, false)).await?;
            self.apply(plan::Change::Drain(number, false)).await?;
        }
        self.next_config();
        Ok(())
    }
}
