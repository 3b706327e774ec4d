//! Connection to the agent of one server, shared by all requests of the entry.

use std::{net, sync, time};

use tokio::sync::{mpsc, watch};

use rhubarb_core::{ids, outcome};
use rhubarb_node::clock;
use rhubarb_wire::message;

use crate::{dial, entry, keeper};

use outcome::{RETRY_SOON, Reason, Refusal};

/// What a run gets from its agent.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    /// The room is reserved.
    Reserved,
    /// The prefill ended.
    Prefilled(message::Prefilled),
    /// Start of the answer.
    Head(message::Head),
    /// Next bytes of the answer, in order and each once.
    Bytes(Vec<u8>),
    /// All bytes have come.
    End,
    /// The run was refused or failed; nothing follows.
    Refused(Refusal),
}

/// State of the agent's clock and process while connected.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Contact {
    pub(crate) incarnation: ids::Incarnation,
    pub(crate) clock_ms: u64,
    pub(crate) heard_at: time::Instant,
}

impl Contact {
    /// What the agent's clock shows at `at`, or less.
    pub(crate) fn clock_at(&self, at: time::Instant) -> u64 {
        self.clock_ms + at.saturating_duration_since(self.heard_at).as_millis() as u64
    }
}

/// Whether the agent can be reached.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Reach {
    /// Set while the connection is open.
    pub(crate) contact: Option<Contact>,
    /// Attempts to connect that have failed so far.
    pub(crate) failures: u64,
}

impl Reach {
    fn heard_after(&self, oldest: Option<time::Instant>) -> Option<Contact> {
        self.contact.filter(|contact| oldest.is_none_or(|oldest| contact.heard_at > oldest))
    }
}

/// Handle of a connection.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub(crate) address: net::SocketAddr,
    commands: mpsc::UnboundedSender<Command>,
    reach: watch::Receiver<Reach>,
}

/// What requests ask of the connection.
#[derive(Debug)]
pub(crate) enum Command {
    /// Connect, or probe the connection.
    Connect,
    /// Send the first order of a run.
    Open { run: ids::RunId, incarnation: ids::Incarnation, order: message::Order, sink: Sink },
    /// Send a further order.
    Send(message::Order),
    /// Cancel a run.
    Close(ids::RunId),
}

/// Where the events of a run go.
pub(crate) type Sink = mpsc::Sender<Event>;

/// An open run; dropping it cancels the run at the agent.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) id: ids::RunId,
    commands: mpsc::UnboundedSender<Command>,
    events: mpsc::Receiver<Event>,
    ended: bool,
}

/// A link on which the agent was heard in this time is used without a probe.
const FRESH: time::Duration = time::Duration::from_secs(2);
// An answer is limited in bytes at the agent, so this many pieces are bounded too.
const EVENTS: usize = 8192;

impl Peer {
    /// Starts the task that keeps the connection.
    pub(crate) fn open(
        entry: sync::Arc<entry::Entry>,
        server: &str,
        address: net::SocketAddr,
    ) -> Peer {
        let (commands, receiver) = mpsc::unbounded_channel();
        let (sender, reach) = watch::channel(Reach::default());
        let keeper = keeper::Keeper::new(entry, server, address, receiver, sender);
        tokio::spawn(keeper.run());
        Peer { address, commands, reach }
    }

    /// Waits for a connection on which the agent was heard lately, until an attempt to connect has
    /// failed.
    ///
    /// A connection that was idle may have gone silent for good, so it is probed before use.
    pub(crate) async fn contact(&self) -> Option<Contact> {
        let mut reach = self.reach.clone();
        let oldest = clock::now().checked_sub(FRESH);
        let before = *reach.borrow();
        if let Some(contact) = before.heard_after(oldest) {
            return Some(contact);
        }
        self.commands.send(Command::Connect).ok()?;
        let wait = reach.wait_for(|reach| {
            reach.heard_after(oldest).is_some() || reach.failures > before.failures
        });
        let found = tokio::time::timeout(dial::CONNECT_LIMIT, wait).await.ok()?.ok()?;
        found.heard_after(oldest)
    }

    /// Opens a run with its first order, made for `contact`.
    pub(crate) fn start(&self, run: ids::RunId, contact: Contact, order: message::Order) -> Run {
        let (sink, events) = mpsc::channel(EVENTS);
        let incarnation = contact.incarnation;
        let _ = self.commands.send(Command::Open { run, incarnation, order, sink });
        Run { id: run, commands: self.commands.clone(), events, ended: false }
    }

    /// Sends an order that opens no run.
    pub(crate) fn send(&self, order: message::Order) {
        let _ = self.commands.send(Command::Send(order));
    }
}

impl Run {
    /// Sends a further order for the run.
    pub(crate) fn send(&self, order: message::Order) {
        let _ = self.commands.send(Command::Send(order));
    }

    /// Next event; a lost connection counts as a failure with unknown outcome.
    pub(crate) async fn next(&mut self) -> Event {
        let lost = Event::Refused(Refusal::unknown(Reason::LostContact, RETRY_SOON));
        let event = self.events.recv().await.unwrap_or(lost);
        self.ended = matches!(event, Event::Refused(_) | Event::End | Event::Prefilled(_));
        event
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        if !self.ended {
            let _ = self.commands.send(Command::Close(self.id));
        }
    }
}
