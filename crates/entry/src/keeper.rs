//! Keeps the connection to the agent of one server.

use std::{collections, io, net, sync, time};

use tokio::sync::{mpsc, watch};

use rhubarb_core::{assembly, ids, outcome};
use rhubarb_node::clock;
use rhubarb_wire::{chunk, message};

use crate::{channel, connector, directory, lifecycle};

use outcome::{RETRY_SOON, Reason, Refusal};

const TICK: time::Duration = time::Duration::from_millis(100);
/// A probe that is not answered in this time breaks the link.
const PROBE: time::Duration = time::Duration::from_millis(300);
const BACKOFF: time::Duration = time::Duration::from_millis(100);

#[derive(Debug)]
struct Open {
    sink: channel::Sink,
    assembly: assembly::Assembly,
    has_head: bool,
}

/// Keeps the connection to one agent, and hands on what comes over it.
#[derive(Debug)]
pub(crate) struct Keeper {
    identity: sync::Arc<connector::Identity>,
    directory: sync::Arc<directory::Directory>,
    server: ids::ServerName,
    address: net::SocketAddr,
    lifecycle: lifecycle::Lifecycle,
    commands: mpsc::UnboundedReceiver<channel::Command>,
    reach: watch::Sender<channel::Reach>,
    runs: collections::BTreeMap<ids::RunId, Open>,
    // A request waits for the connection.
    wanted: bool,
}

impl Keeper {
    /// Makes the keeper of the connection to the agent of `server`.
    pub(crate) fn new(
        identity: sync::Arc<connector::Identity>,
        directory: sync::Arc<directory::Directory>,
        server: &str,
        address: net::SocketAddr,
        commands: mpsc::UnboundedReceiver<channel::Command>,
        reach: watch::Sender<channel::Reach>,
    ) -> Keeper {
        Keeper {
            identity,
            directory,
            server: server.to_string(),
            address,
            lifecycle: lifecycle::Lifecycle::new(),
            commands,
            reach,
            runs: collections::BTreeMap::new(),
            wanted: false,
        }
    }

    /// Keeps the connection until the entry drops the peer.
    pub(crate) async fn run(mut self) {
        loop {
            if self.runs.is_empty() && !self.wanted && !self.wait_wanted().await {
                return;
            }
            match tokio::time::timeout(connector::CONNECT_TIMEOUT, self.connect()).await {
                Ok(Ok(connection)) => self.serve(connection).await,
                Ok(Err(err)) => {
                    tracing::info!("entry: no link to {}: {err}", self.server);
                    self.note_failure();
                    if is_refused(&err) {
                        self.note_refused();
                    }
                }
                Err(_) => {
                    tracing::info!("entry: {} does not answer; check its agent", self.server);
                    self.note_failure();
                }
            }
            tokio::time::sleep(BACKOFF).await;
            self.step(lifecycle::Event::Tick(clock::now())).await;
        }
    }

    fn note_failure(&mut self) {
        self.wanted = false;
        self.reach.send_modify(|reach| reach.failures += 1);
    }

    fn note_refused(&mut self) {
        if let Some(lifecycle::Action::FailRuns) = self.lifecycle.handle(lifecycle::Event::Refused)
        {
            self.fail_all(Refusal::unknown(Reason::LostContact, RETRY_SOON));
        }
    }

    // Waits for the first command that needs a connection; false when the entry dropped the peer.
    async fn wait_wanted(&mut self) -> bool {
        loop {
            match self.commands.recv().await {
                Some(channel::Command::Connect) => return true,
                Some(channel::Command::Open { sink, .. }) => {
                    let refusal = Refusal::not_run(Reason::NoServer, RETRY_SOON);
                    let _ = sink.try_send(channel::Event::Refused(refusal));
                }
                Some(channel::Command::Send(_) | channel::Command::Close(_)) => {}
                None => return false,
            }
        }
    }

    async fn connect(&mut self) -> anyhow::Result<connector::Connection> {
        let (mut connection, incarnation, pong) =
            connector::connect(&self.identity, &self.server, self.address).await?;
        self.note_pong(incarnation, &pong);
        match self.lifecycle.handle(lifecycle::Event::Accepted(incarnation)) {
            Some(lifecycle::Action::ResumeRuns) => self.resume_all(&mut connection).await,
            Some(lifecycle::Action::FailRuns) => {
                self.fail_all(Refusal::unknown(Reason::LostContact, RETRY_SOON));
            }
            None => {}
        }
        Ok(connection)
    }

    fn note_pong(&mut self, incarnation: ids::Incarnation, pong: &message::Pong) {
        let heard_at = clock::now();
        let contact = channel::Contact { incarnation, clock_ms: pong.clock_ms, heard_at };
        self.wanted = false;
        self.reach.send_modify(|reach| reach.contact = Some(contact));
        self.directory.view().hear(&self.server, pong.load, heard_at);
        self.directory.note_version(pong.version);
    }

    async fn resume_all(&mut self, connection: &mut connector::Connection) {
        for (run, open) in &self.runs {
            let resume = message::Resume { run: *run, offset: open.assembly.offset() };
            connection.send(&message::ToAgent::Resume(resume)).await;
        }
    }

    async fn serve(&mut self, mut connection: connector::Connection) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            let worked = tokio::select! {
                command = self.commands.recv() => match command {
                    Some(command) => self.obey(command, &mut connection).await,
                    None => break,
                },
                notice = connection.messages.recv() => match notice {
                    Some(notice) => {
                        connection.record_received();
                        self.take(notice, &mut connection).await
                    }
                    None => break,
                },
                _ = ticks.tick() => self.keep_alive(&mut connection).await,
            };
            if !worked {
                break;
            }
        }
        self.reach.send_modify(|reach| reach.contact = None);
        self.lifecycle.handle(lifecycle::Event::Disconnected(clock::now()));
    }

    async fn keep_alive(&mut self, connection: &mut connector::Connection) -> bool {
        let now = clock::now();
        if connection.is_timed_out(now) {
            tracing::info!("entry: link to {} is silent", self.server);
            return false;
        }
        if !connection.is_ping_due(!self.runs.is_empty(), now) {
            return true;
        }
        let version = self.directory.view().version();
        connection.ping(version, connector::PING_TIMEOUT).await
    }

    async fn step(&mut self, event: lifecycle::Event) {
        if let Some(lifecycle::Action::FailRuns) = self.lifecycle.handle(event) {
            self.fail_all(Refusal::unknown(Reason::LostContact, RETRY_SOON));
        }
        // Runs that their requests dropped meanwhile need no connection.
        while let Ok(command) = self.commands.try_recv() {
            match command {
                channel::Command::Open { sink, .. } => {
                    let refusal = Refusal::not_run(Reason::NoServer, RETRY_SOON);
                    let _ = sink.try_send(channel::Event::Refused(refusal));
                }
                channel::Command::Close(run) => {
                    self.runs.remove(&run);
                }
                channel::Command::Connect => self.wanted = true,
                channel::Command::Send(_) => {}
            }
        }
    }

    fn fail_all(&mut self, refusal: Refusal) {
        for (_, open) in std::mem::take(&mut self.runs) {
            let _ = open.sink.try_send(channel::Event::Refused(refusal));
        }
    }

    async fn obey(
        &mut self,
        command: channel::Command,
        connection: &mut connector::Connection,
    ) -> bool {
        match command {
            channel::Command::Connect => {
                self.wanted = true;
                let version = self.directory.view().version();
                connection.ping(version, PROBE).await
            }
            channel::Command::Open { run, incarnation, order, sink } => {
                // The order's times are on the clock of one incarnation of the agent.
                if self.lifecycle.incarnation() != Some(incarnation) {
                    let refusal = Refusal::not_run(Reason::NoServer, RETRY_SOON);
                    let _ = sink.try_send(channel::Event::Refused(refusal));
                    return true;
                }
                let assembly = assembly::Assembly::default();
                self.runs.insert(run, Open { sink, assembly, has_head: false });
                connection.send(&order).await && self.keep_alive(connection).await
            }
            channel::Command::Send(order) => connection.send(&order).await,
            channel::Command::Close(run) => {
                self.runs.remove(&run);
                connection.send(&message::ToAgent::Cancel(run)).await
            }
        }
    }

    async fn take(
        &mut self,
        notice: message::ToEntry,
        connection: &mut connector::Connection,
    ) -> bool {
        match notice {
            message::ToEntry::Challenge(_) | message::ToEntry::Welcome(_) => false,
            message::ToEntry::Reserved(run) => self.pass(run, channel::Event::Reserved, false),
            message::ToEntry::Prefilled(prefilled) => {
                self.pass(prefilled.run, channel::Event::Prefilled(prefilled), true)
            }
            message::ToEntry::Refused(refused) => {
                self.pass(refused.run, channel::Event::Refused(refused.refusal), true)
            }
            message::ToEntry::Head(head) => self.take_head(head),
            message::ToEntry::Chunk(chunk) => self.take_chunk(chunk),
            message::ToEntry::End(end) => self.take_end(end),
            message::ToEntry::Pong(pong) => {
                if let Some(incarnation) = self.lifecycle.incarnation() {
                    self.note_pong(incarnation, &pong);
                }
                true
            }
            message::ToEntry::WantList(version) => match self.directory.copy(version) {
                Some(copy) => connection.send(&message::ToAgent::List(copy)).await,
                None => true,
            },
            message::ToEntry::List(copy) => {
                self.directory.take_copy(&copy);
                true
            }
        }
    }

    // A run that cannot take an event any more is dropped, which cancels it at the agent.
    fn pass(&mut self, run: ids::RunId, event: channel::Event, is_last: bool) -> bool {
        if let Some(open) = self.runs.get(&run) {
            let is_full = open.sink.try_send(event).is_err();
            if is_last || is_full {
                self.runs.remove(&run);
            }
        }
        true
    }

    fn take_head(&mut self, head: message::Head) -> bool {
        let Some(open) = self.runs.get_mut(&head.run) else { return true };
        if open.has_head {
            return true;
        }
        open.has_head = true;
        self.pass(head.run, channel::Event::Head(head), false)
    }

    // After a gap the connection is opened again, and every run resumed at its offset.
    fn take_chunk(&mut self, chunk: chunk::Chunk) -> bool {
        let Some(open) = self.runs.get_mut(&chunk.run) else { return true };
        match open.assembly.take(chunk.offset, &chunk.bytes) {
            Ok([]) => true,
            Ok(fresh) => {
                let bytes = fresh.to_vec();
                self.pass(chunk.run, channel::Event::Bytes(bytes), false)
            }
            Err(gap) => {
                tracing::warn!("entry: {gap}");
                false
            }
        }
    }

    fn take_end(&mut self, end: message::End) -> bool {
        let Some(open) = self.runs.get(&end.run) else { return true };
        if open.assembly.finish(end.length).is_err() {
            return false;
        }
        self.pass(end.run, channel::Event::End, true)
    }
}

fn is_refused(err: &anyhow::Error) -> bool {
    let err = err.downcast_ref::<io::Error>();
    err.is_some_and(|err| err.kind() == io::ErrorKind::ConnectionRefused)
}
