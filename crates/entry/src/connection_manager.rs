//! Maintains the connection to the agent of one server.

use std::{collections, io, net, sync, time};

use tokio::sync::{mpsc, watch};

use rhubarb_core::{ids, outcome, reassembly};
use rhubarb_node::clock;
use rhubarb_wire::{chunk, message};

use crate::{channel, connector, directory, lifecycle};

use outcome::{RETRY_SOON, Reason, Refusal};

/// Time between two checks of an open connection.
const CHECK_PERIOD: time::Duration = time::Duration::from_millis(100);
/// A connection on which a probe, a ping before use, is not answered within this time is closed.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_millis(300);
/// Pause before the next attempt to connect.
const RECONNECT_DELAY: time::Duration = time::Duration::from_millis(100);

#[derive(Debug)]
struct OpenRun {
    sink: channel::Sink,
    reassembly: reassembly::Reassembly,
    has_head: bool,
}

/// Opens and reopens the connection to one agent, and forwards its messages to the runs.
#[derive(Debug)]
pub(crate) struct ConnectionManager {
    identity: sync::Arc<connector::Identity>,
    directory: sync::Arc<directory::Directory>,
    server: ids::ServerName,
    address: net::SocketAddr,
    lifecycle: lifecycle::Lifecycle,
    commands: mpsc::UnboundedReceiver<channel::Command>,
    reachability: watch::Sender<channel::Reachability>,
    runs: collections::BTreeMap<ids::RunId, OpenRun>,
    // Whether a request waits for the connection.
    is_awaited: bool,
}

impl ConnectionManager {
    /// Creates the manager of the connection to the agent of `server`.
    pub(crate) fn new(
        identity: sync::Arc<connector::Identity>,
        directory: sync::Arc<directory::Directory>,
        server: &str,
        address: net::SocketAddr,
        commands: mpsc::UnboundedReceiver<channel::Command>,
        reachability: watch::Sender<channel::Reachability>,
    ) -> ConnectionManager {
        ConnectionManager {
            identity,
            directory,
            server: server.to_string(),
            address,
            lifecycle: lifecycle::Lifecycle::new(),
            commands,
            reachability,
            runs: collections::BTreeMap::new(),
            is_awaited: false,
        }
    }

    /// Maintains the connection until the entry drops the peer.
    pub(crate) async fn run(mut self) {
        loop {
            if self.runs.is_empty() && !self.is_awaited && !self.wait_for_connect().await {
                return;
            }
            match tokio::time::timeout(connector::CONNECT_TIMEOUT, self.connect()).await {
                Ok(Ok(connection)) => self.serve(connection).await,
                Ok(Err(err)) => {
                    tracing::info!("entry: cannot connect to {}: {err}", self.server);
                    self.record_failure();
                    if is_refused(&err) {
                        self.handle_refused();
                    }
                }
                Err(_) => {
                    tracing::info!(
                        "entry: connecting to {} timed out; check its agent",
                        self.server
                    );
                    self.record_failure();
                }
            }
            tokio::time::sleep(RECONNECT_DELAY).await;
            self.handle_event(lifecycle::Event::Tick(clock::now())).await;
        }
    }

    fn record_failure(&mut self) {
        self.is_awaited = false;
        self.reachability.send_modify(|reachability| reachability.failures += 1);
    }

    fn handle_refused(&mut self) {
        if let Some(lifecycle::Action::FailRuns) = self.lifecycle.handle(lifecycle::Event::Refused)
        {
            self.fail_all(Refusal::unknown(Reason::LostContact, RETRY_SOON));
        }
    }

    // Waits for the first command that needs a connection; false when the entry dropped the peer.
    async fn wait_for_connect(&mut self) -> bool {
        loop {
            match self.commands.recv().await {
                Some(channel::Command::Connect) => return true,
                Some(channel::Command::Open { sink, .. }) => {
                    let refusal = Refusal::not_run(Reason::NoServer, RETRY_SOON);
                    let _ = sink.try_send(channel::Event::Refused(refusal));
                }
                Some(channel::Command::Send(_) | channel::Command::Cancel(_)) => {}
                None => return false,
            }
        }
    }

    async fn connect(&mut self) -> anyhow::Result<connector::Connection> {
        let (mut connection, incarnation, pong) =
            connector::connect(&self.identity, &self.server, self.address).await?;
        self.record_pong(incarnation, &pong);
        match self.lifecycle.handle(lifecycle::Event::Accepted(incarnation)) {
            Some(lifecycle::Action::ResumeRuns) => self.resume_all(&mut connection).await,
            Some(lifecycle::Action::FailRuns) => {
                self.fail_all(Refusal::unknown(Reason::LostContact, RETRY_SOON));
            }
            None => {}
        }
        Ok(connection)
    }

    fn record_pong(&mut self, incarnation: ids::Incarnation, pong: &message::Pong) {
        let reported_at = clock::now();
        let agent = channel::AgentState { incarnation, clock_ms: pong.clock_ms, reported_at };
        self.is_awaited = false;
        self.reachability.send_modify(|reachability| reachability.agent = Some(agent));
        self.directory.view().update_load(&self.server, incarnation, pong.load, reported_at);
        self.directory.check_version(pong.version);
    }

    async fn resume_all(&mut self, connection: &mut connector::Connection) {
        for (run, open) in &self.runs {
            let resume = message::Resume { run: *run, offset: open.reassembly.offset() };
            connection.send(&message::ToAgent::Resume(resume)).await;
        }
    }

    async fn serve(&mut self, mut connection: connector::Connection) {
        let mut ticks = tokio::time::interval(CHECK_PERIOD);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            let stays_open = tokio::select! {
                command = self.commands.recv() => match command {
                    Some(command) => self.handle_command(command, &mut connection).await,
                    None => break,
                },
                message = connection.messages.recv() => match message {
                    Some(message) => {
                        connection.record_received();
                        self.handle_message(message, &mut connection).await
                    }
                    None => break,
                },
                _ = ticks.tick() => self.keep_alive(&mut connection).await,
            };
            if !stays_open {
                break;
            }
        }
        self.reachability.send_modify(|reachability| reachability.agent = None);
        self.lifecycle.handle(lifecycle::Event::Disconnected(clock::now()));
    }

    // Pings if a ping is due; false if the connection is to be closed.
    async fn keep_alive(&mut self, connection: &mut connector::Connection) -> bool {
        let now = clock::now();
        if connection.is_timed_out(now) {
            tracing::info!("entry: connection to {} timed out", self.server);
            return false;
        }
        if !connection.is_ping_due(!self.runs.is_empty(), now) {
            return true;
        }
        let version = self.directory.view().version();
        connection.ping(version, connector::PING_TIMEOUT).await
    }

    async fn handle_event(&mut self, event: lifecycle::Event) {
        if let Some(lifecycle::Action::FailRuns) = self.lifecycle.handle(event) {
            self.fail_all(Refusal::unknown(Reason::LostContact, RETRY_SOON));
        }
        // Commands received while disconnected: new runs are refused, cancelled runs need no
        // connection.
        while let Ok(command) = self.commands.try_recv() {
            match command {
                channel::Command::Open { sink, .. } => {
                    let refusal = Refusal::not_run(Reason::NoServer, RETRY_SOON);
                    let _ = sink.try_send(channel::Event::Refused(refusal));
                }
                channel::Command::Cancel(run) => {
                    self.runs.remove(&run);
                }
                channel::Command::Connect => self.is_awaited = true,
                channel::Command::Send(_) => {}
            }
        }
    }

    fn fail_all(&mut self, refusal: Refusal) {
        for (_, open) in std::mem::take(&mut self.runs) {
            let _ = open.sink.try_send(channel::Event::Refused(refusal));
        }
    }

    // Returns false if the connection is to be closed.
    async fn handle_command(
        &mut self,
        command: channel::Command,
        connection: &mut connector::Connection,
    ) -> bool {
        match command {
            channel::Command::Connect => {
                self.is_awaited = true;
                let version = self.directory.view().version();
                connection.ping(version, PROBE_TIMEOUT).await
            }
            channel::Command::Open { run, incarnation, message, sink } => {
                // The message's times are on the clock of one incarnation of the agent.
                if self.lifecycle.incarnation() != Some(incarnation) {
                    let refusal = Refusal::not_run(Reason::NoServer, RETRY_SOON);
                    let _ = sink.try_send(channel::Event::Refused(refusal));
                    return true;
                }
                let reassembly = reassembly::Reassembly::default();
                self.runs.insert(run, OpenRun { sink, reassembly, has_head: false });
                // The owner of a key is used even if it is leaving, for the answers that it keeps.
                // Heartbeats may not have told its agent to refuse new runs.
                if let Some(copy) = self.directory.leaving_copy(&self.server)
                    && !connection.send(&message::ToAgent::List(copy)).await
                {
                    return false;
                }
                connection.send(&message).await && self.keep_alive(connection).await
            }
            channel::Command::Send(message) => connection.send(&message).await,
            channel::Command::Cancel(run) => {
                self.runs.remove(&run);
                connection.send(&message::ToAgent::Cancel(run)).await
            }
        }
    }

    // Returns false if the connection is to be closed.
    async fn handle_message(
        &mut self,
        message: message::ToEntry,
        connection: &mut connector::Connection,
    ) -> bool {
        match message {
            message::ToEntry::Challenge(_) | message::ToEntry::Welcome(_) => false,
            message::ToEntry::Reserved(run) => {
                self.forward(run, channel::Event::Reserved, false, connection).await
            }
            message::ToEntry::Prefilled(prefilled) => {
                let event = channel::Event::Prefilled(prefilled.clone());
                self.forward(prefilled.run, event, true, connection).await
            }
            message::ToEntry::Refused(refused) => {
                if refused.refusal.reason == Reason::Leaving
                    && let Some(incarnation) = self.lifecycle.incarnation()
                {
                    self.directory.view().record_leaving(&self.server, incarnation);
                }
                let event = channel::Event::Refused(refused.refusal);
                self.forward(refused.run, event, true, connection).await
            }
            message::ToEntry::Head(head) => self.handle_head(head, connection).await,
            message::ToEntry::Chunk(chunk) => self.handle_chunk(chunk, connection).await,
            message::ToEntry::End(end) => self.handle_end(end, connection).await,
            message::ToEntry::Pong(pong) => {
                if let Some(incarnation) = self.lifecycle.incarnation() {
                    self.record_pong(incarnation, &pong);
                }
                true
            }
            message::ToEntry::WantList(version) => match self.directory.copy_since(version) {
                Some(copy) => connection.send(&message::ToAgent::List(copy)).await,
                None => true,
            },
            message::ToEntry::List(copy) => {
                self.directory.apply_copy(&copy);
                true
            }
        }
    }

    // Forwards an event to the request of a run. If its event buffer is full, the run is cancelled
    // and the request sees a lost connection. The run is also dropped if the request has ended,
    // which has cancelled it at the agent. Returns false if the connection is to be closed.
    async fn forward(
        &mut self,
        run: ids::RunId,
        event: channel::Event,
        is_last: bool,
        connection: &mut connector::Connection,
    ) -> bool {
        let Some(open) = self.runs.get(&run) else { return true };
        let sent = open.sink.try_send(event);
        if is_last || sent.is_err() {
            self.runs.remove(&run);
        }
        if !matches!(sent, Err(mpsc::error::TrySendError::Full(_))) {
            return true;
        }
        tracing::warn!(
            run = format!("{run:032x}"),
            server = self.server,
            "entry: caller reads too slowly; run cancelled"
        );
        connection.send(&message::ToAgent::Cancel(run)).await
    }

    async fn handle_head(
        &mut self,
        head: message::Head,
        connection: &mut connector::Connection,
    ) -> bool {
        let Some(open) = self.runs.get_mut(&head.run) else { return true };
        if open.has_head {
            return true;
        }
        open.has_head = true;
        self.forward(head.run, channel::Event::Head(head), false, connection).await
    }

    // After a gap the connection is reopened, and every run is resumed at its offset.
    async fn handle_chunk(
        &mut self,
        chunk: chunk::Chunk,
        connection: &mut connector::Connection,
    ) -> bool {
        let Some(open) = self.runs.get_mut(&chunk.run) else { return true };
        match open.reassembly.accept(chunk.offset, &chunk.bytes) {
            Ok([]) => true,
            Ok(fresh) => {
                let event = channel::Event::Bytes(fresh.to_vec());
                self.forward(chunk.run, event, false, connection).await
            }
            Err(gap) => {
                tracing::warn!("entry: gap in a response from {}: {gap}", self.server);
                false
            }
        }
    }

    async fn handle_end(
        &mut self,
        end: message::End,
        connection: &mut connector::Connection,
    ) -> bool {
        let Some(open) = self.runs.get(&end.run) else { return true };
        if let Err(err) = open.reassembly.finish(end.length) {
            tracing::warn!(
                run = format!("{:032x}", end.run),
                server = self.server,
                %err,
                "entry: length of a response does not match; connection closed"
            );
            return false;
        }
        self.forward(end.run, channel::Event::End, true, connection).await
    }
}

fn is_refused(err: &anyhow::Error) -> bool {
    let err = err.downcast_ref::<io::Error>();
    err.is_some_and(|err| err.kind() == io::ErrorKind::ConnectionRefused)
}
