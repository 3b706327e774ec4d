//! Handle of the connection to the agent of one server, and of the runs on it.

use std::{net, sync, time};

use tokio::sync::{mpsc, watch};

use rhubarb_core::{ids, outcome};
use rhubarb_node::clock;
use rhubarb_wire::message;

use crate::{channel, connection_manager, connector, directory};

use outcome::{RETRY_SOON, Reason, Refusal};

/// Handle of the connection to an agent, shared by all requests of the entry.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub(crate) address: net::SocketAddr,
    commands: mpsc::UnboundedSender<channel::Command>,
    reachability: watch::Receiver<channel::Reachability>,
}

/// An open run; dropping it before its last event cancels the run at the agent.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) id: ids::RunId,
    commands: mpsc::UnboundedSender<channel::Command>,
    events: mpsc::Receiver<channel::Event>,
    has_ended: bool,
}

/// A connection is used without a probe if the agent reported its state within this time.
const PROBE_AFTER: time::Duration = time::Duration::from_secs(2);
/// Maximum number of events that wait for a request. The agent limits the bytes of a response,
/// which bounds the memory of a full buffer.
const EVENT_BUFFER: usize = 8192;

impl Peer {
    /// Starts the task that maintains the connection.
    pub(crate) fn open(
        identity: sync::Arc<connector::Identity>,
        directory: sync::Arc<directory::Directory>,
        server: &str,
        address: net::SocketAddr,
    ) -> Peer {
        let (commands, receiver) = mpsc::unbounded_channel();
        let (sender, reachability) = watch::channel(channel::Reachability::default());
        let manager = connection_manager::ConnectionManager::new(
            identity, directory, server, address, receiver, sender,
        );
        tokio::spawn(manager.run());
        Peer { address, commands, reachability }
    }

    /// Returns the state of the agent once it is recent; `None` if an attempt to connect fails or
    /// the timeout expires.
    ///
    /// An idle connection is probed before use, because the agent may no longer respond on it.
    pub(crate) async fn connect(&self) -> Option<channel::AgentState> {
        let mut reachability = self.reachability.clone();
        let oldest = clock::now().checked_sub(PROBE_AFTER);
        let before = *reachability.borrow();
        if let Some(agent) = before.reported_after(oldest) {
            return Some(agent);
        }
        self.commands.send(channel::Command::Connect).ok()?;
        let wait = reachability.wait_for(|reachability| {
            reachability.reported_after(oldest).is_some() || reachability.failures > before.failures
        });
        let current = tokio::time::timeout(connector::CONNECT_TIMEOUT, wait).await.ok()?.ok()?;
        current.reported_after(oldest)
    }

    /// Opens a run by sending its first message, whose times are on the clock of `agent`.
    pub(crate) fn start(
        &self,
        run: ids::RunId,
        agent: channel::AgentState,
        message: message::ToAgent,
    ) -> Run {
        let (sink, events) = mpsc::channel(EVENT_BUFFER);
        let incarnation = agent.incarnation;
        let _ = self.commands.send(channel::Command::Open { run, incarnation, message, sink });
        Run { id: run, commands: self.commands.clone(), events, has_ended: false }
    }

    /// Sends a message that opens no run.
    pub(crate) fn send(&self, message: message::ToAgent) {
        let _ = self.commands.send(channel::Command::Send(message));
    }
}

impl Run {
    /// Sends a further message for the run.
    pub(crate) fn send(&self, message: message::ToAgent) {
        let _ = self.commands.send(channel::Command::Send(message));
    }

    /// Waits for the next event; a lost connection is a failure with unknown outcome.
    pub(crate) async fn next(&mut self) -> channel::Event {
        let lost = channel::Event::Refused(Refusal::unknown(Reason::LostContact, RETRY_SOON));
        let event = self.events.recv().await.unwrap_or(lost);
        self.has_ended = matches!(
            event,
            channel::Event::Refused(_) | channel::Event::End | channel::Event::Prefilled(_)
        );
        event
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        if !self.has_ended {
            let _ = self.commands.send(channel::Command::Cancel(self.id));
        }
    }
}
