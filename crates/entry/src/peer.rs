//! Connection to the agent of one server, shared by all requests of the entry.

use std::{net, sync, time};

use tokio::sync::{mpsc, watch};

use rhubarb_core::{ids, outcome};
use rhubarb_node::clock;
use rhubarb_wire::message;

use crate::{channel, connection_manager, connector, directory};

use outcome::{RETRY_SOON, Reason, Refusal};

/// Handle of a connection.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub(crate) address: net::SocketAddr,
    commands: mpsc::UnboundedSender<channel::Command>,
    reachability: watch::Receiver<channel::Reachability>,
}

/// An open run; dropping it cancels the run at the agent.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) id: ids::RunId,
    commands: mpsc::UnboundedSender<channel::Command>,
    events: mpsc::Receiver<channel::Event>,
    ended: bool,
}

/// A link on which the agent was heard in this time is used without a probe.
const FRESH: time::Duration = time::Duration::from_secs(2);
// An answer is limited in bytes at the agent, so this many pieces are bounded too.
const EVENTS: usize = 8192;

impl Peer {
    /// Starts the task that keeps the connection.
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

    /// Waits for a connection on which the agent was heard lately, until an attempt to connect has
    /// failed.
    ///
    /// A connection that was idle may have gone silent for good, so it is probed before use.
    pub(crate) async fn contact(&self) -> Option<channel::AgentState> {
        let mut reachability = self.reachability.clone();
        let oldest = clock::now().checked_sub(FRESH);
        let before = *reachability.borrow();
        if let Some(contact) = before.reported_after(oldest) {
            return Some(contact);
        }
        self.commands.send(channel::Command::Connect).ok()?;
        let wait = reachability.wait_for(|reachability| {
            reachability.reported_after(oldest).is_some() || reachability.failures > before.failures
        });
        let found = tokio::time::timeout(connector::CONNECT_TIMEOUT, wait).await.ok()?.ok()?;
        found.reported_after(oldest)
    }

    /// Opens a run with its first order, made for `contact`.
    pub(crate) fn start(
        &self,
        run: ids::RunId,
        contact: channel::AgentState,
        message: message::ToAgent,
    ) -> Run {
        let (sink, events) = mpsc::channel(EVENTS);
        let incarnation = contact.incarnation;
        let _ = self.commands.send(channel::Command::Open { run, incarnation, message, sink });
        Run { id: run, commands: self.commands.clone(), events, ended: false }
    }

    /// Sends an order that opens no run.
    pub(crate) fn send(&self, message: message::ToAgent) {
        let _ = self.commands.send(channel::Command::Send(message));
    }
}

impl Run {
    /// Sends a further order for the run.
    pub(crate) fn send(&self, message: message::ToAgent) {
        let _ = self.commands.send(channel::Command::Send(message));
    }

    /// Next event; a lost connection counts as a failure with unknown outcome.
    pub(crate) async fn next(&mut self) -> channel::Event {
        let lost = channel::Event::Refused(Refusal::unknown(Reason::LostContact, RETRY_SOON));
        let event = self.events.recv().await.unwrap_or(lost);
        self.ended = matches!(
            event,
            channel::Event::Refused(_) | channel::Event::End | channel::Event::Prefilled(_)
        );
        event
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        if !self.ended {
            let _ = self.commands.send(channel::Command::Cancel(self.id));
        }
    }
}
