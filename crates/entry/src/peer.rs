//! Connection to the agent of one server, shared by all requests of the entry.

use std::{collections, net, sync, time};

use tokio::{
    net as tcp,
    sync::{mpsc, watch},
};

use rhubarb_core::{assembly, ids, outcome};
use rhubarb_node::clock;
use rhubarb_wire::{chunk, frame, message};

use crate::{entry, link, lists};

use outcome::{Reason, Refusal};

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
    incarnation: ids::Incarnation,
    clock_ms: u64,
    heard_at: time::Instant,
}

impl Contact {
    /// What the agent's clock shows at `at`, or less.
    pub(crate) fn clock_at(&self, at: time::Instant) -> u64 {
        self.clock_ms + at.saturating_duration_since(self.heard_at).as_millis() as u64
    }
}

/// Handle of a connection.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub(crate) address: net::SocketAddr,
    commands: mpsc::UnboundedSender<Command>,
    contact: watch::Receiver<Option<Contact>>,
}

#[derive(Debug)]
enum Command {
    Connect,
    Open { run: ids::RunId, incarnation: ids::Incarnation, order: message::Order, sink: Sink },
    Send(message::Order),
    Close(ids::RunId),
}

type Sink = mpsc::Sender<Event>;

/// An open run; dropping it cancels the run at the agent.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) id: ids::RunId,
    commands: mpsc::UnboundedSender<Command>,
    events: mpsc::Receiver<Event>,
    ended: bool,
}

const CONNECT_LIMIT: time::Duration = time::Duration::from_secs(1);
const TICK: time::Duration = time::Duration::from_millis(100);
/// A link with open runs is pinged when the agent was not heard for this long.
const PING_UNHEARD: time::Duration = time::Duration::from_millis(500);
/// And when nothing was sent for this long, since the agent gives up after 2 s of silence.
const PING_UNSENT: time::Duration = time::Duration::from_millis(1200);
/// A link without open runs is pinged this often.
const PING_IDLE: time::Duration = time::Duration::from_secs(20);
/// A link on which the agent was heard in this time is used without a probe.
const FRESH: time::Duration = time::Duration::from_secs(2);
/// A probe that is not answered in this time breaks the link.
const PROBE: time::Duration = time::Duration::from_millis(300);
/// A link whose ping is not answered in this time is broken.
const SILENCE: time::Duration = time::Duration::from_millis(1500);
const BACKOFF: time::Duration = time::Duration::from_millis(100);
const RETRY_SOON: time::Duration = time::Duration::from_secs(1);
const FRAMES: usize = 1024;
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
        let (sender, contact) = watch::channel(None);
        let task = Task {
            entry,
            server: server.to_string(),
            address,
            link: link::Link::new(),
            commands: receiver,
            contact: sender,
            runs: collections::BTreeMap::new(),
            wanted: false,
        };
        tokio::spawn(task.run());
        Peer { address, commands, contact }
    }

    /// Waits for a connection on which the agent was heard lately, at most the time of one connect.
    ///
    /// A connection that was idle may have gone silent for good, so it is probed before use.
    pub(crate) async fn contact(&self) -> Option<Contact> {
        let mut contact = self.contact.clone();
        let oldest = clock::now().checked_sub(FRESH);
        let is_fresh = |contact: &Option<Contact>| {
            contact.is_some_and(|contact| oldest.is_none_or(|oldest| contact.heard_at > oldest))
        };
        if let Some(contact) = contact.borrow().filter(|contact| is_fresh(&Some(*contact))) {
            return Some(contact);
        }
        self.commands.send(Command::Connect).ok()?;
        let wait = contact.wait_for(is_fresh);
        let found = tokio::time::timeout(CONNECT_LIMIT, wait).await.ok()?.ok()?;
        *found
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

#[derive(Debug)]
struct Open {
    sink: Sink,
    assembly: assembly::Assembly,
    has_head: bool,
}

struct Task {
    entry: sync::Arc<entry::Entry>,
    server: ids::ServerName,
    address: net::SocketAddr,
    link: link::Link,
    commands: mpsc::UnboundedReceiver<Command>,
    contact: watch::Sender<Option<Contact>>,
    runs: collections::BTreeMap<ids::RunId, Open>,
    // A request waits for the connection.
    wanted: bool,
}

/// A live connection.
struct Wire {
    writer: tcp::tcp::OwnedWriteHalf,
    notices: mpsc::Receiver<message::Notice>,
    heard_at: time::Instant,
    sent_at: time::Instant,
    // When an answer to a ping is overdue, if nothing has been heard since.
    due_at: Option<time::Instant>,
    seq: u64,
}

impl Wire {
    async fn send(&mut self, order: &message::Order) -> bool {
        self.sent_at = clock::now();
        // A frozen agent reads nothing, so a full connection must not block the task.
        let writing = frame::write(&mut self.writer, order);
        matches!(tokio::time::timeout(SILENCE, writing).await, Ok(Ok(())))
    }

    fn is_ping_due(&self, has_runs: bool, now: time::Instant) -> bool {
        let (unheard, unsent) =
            if has_runs { (PING_UNHEARD, PING_UNSENT) } else { (PING_IDLE, PING_IDLE) };
        let is_quiet = now >= self.heard_at + unheard || now >= self.sent_at + unsent;
        self.due_at.is_none() && is_quiet
    }

    fn is_silent(&self, now: time::Instant) -> bool {
        self.due_at.is_some_and(|due_at| now >= due_at)
    }
}

impl Task {
    async fn run(mut self) {
        loop {
            if self.runs.is_empty() && !self.wanted && !self.wait_wanted().await {
                return;
            }
            match tokio::time::timeout(CONNECT_LIMIT, self.connect()).await {
                Ok(Ok(wire)) => self.serve(wire).await,
                Ok(Err(err)) => {
                    tracing::info!("entry: no link to {}: {err}", self.server);
                    self.note_refused();
                }
                Err(_) => {
                    tracing::info!("entry: {} does not answer; check its agent", self.server);
                    self.note_refused();
                }
            }
            tokio::time::sleep(BACKOFF).await;
            self.step(link::Event::Tick(clock::now())).await;
        }
    }

    fn note_refused(&mut self) {
        self.wanted = false;
        if let Some(link::Step::GiveUp) = self.link.handle(link::Event::Refused) {
            self.fail_all(Refusal::unknown(Reason::LostContact, RETRY_SOON));
        }
    }

    // Waits for the first command that needs a connection; false when the entry dropped the peer.
    async fn wait_wanted(&mut self) -> bool {
        loop {
            match self.commands.recv().await {
                Some(Command::Connect) => return true,
                Some(Command::Open { sink, .. }) => {
                    let refusal = Refusal::not_run(Reason::NoServer, RETRY_SOON);
                    let _ = sink.try_send(Event::Refused(refusal));
                }
                Some(Command::Send(_) | Command::Close(_)) => {}
                None => return false,
            }
        }
    }

    async fn connect(&mut self) -> anyhow::Result<Wire> {
        let stream = tcp::TcpStream::connect(self.address).await?;
        stream.set_nodelay(true)?;
        let (mut reader, mut writer) = stream.into_split();
        let (incarnation, pong) =
            greet(&self.entry, Some(&self.server), &mut reader, &mut writer).await?;
        let (sender, notices) = mpsc::channel(FRAMES);
        tokio::spawn(read_loop(reader, sender));
        self.note_pong(incarnation, &pong);
        let now = clock::now();
        let mut wire = Wire { writer, notices, heard_at: now, sent_at: now, due_at: None, seq: 0 };
        match self.link.handle(link::Event::Welcomed(incarnation)) {
            Some(link::Step::Resume) => self.resume_all(&mut wire).await,
            Some(link::Step::GiveUp) => {
                self.fail_all(Refusal::unknown(Reason::LostContact, RETRY_SOON));
            }
            None => {}
        }
        Ok(wire)
    }

    fn note_pong(&mut self, incarnation: ids::Incarnation, pong: &message::Pong) {
        let heard_at = clock::now();
        let contact = Contact { incarnation, clock_ms: pong.clock_ms, heard_at };
        self.wanted = false;
        self.contact.send_replace(Some(contact));
        self.entry.view().hear(&self.server, pong.load, heard_at);
        lists::note_version(&self.entry, pong.version);
    }

    async fn resume_all(&mut self, wire: &mut Wire) {
        for (run, open) in &self.runs {
            let resume = message::Resume { run: *run, offset: open.assembly.offset() };
            wire.send(&message::Order::Resume(resume)).await;
        }
    }

    async fn serve(&mut self, mut wire: Wire) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            let worked = tokio::select! {
                command = self.commands.recv() => match command {
                    Some(command) => self.obey(command, &mut wire).await,
                    None => break,
                },
                notice = wire.notices.recv() => match notice {
                    Some(notice) => {
                        wire.heard_at = clock::now();
                        wire.due_at = None;
                        self.take(notice, &mut wire).await
                    }
                    None => break,
                },
                _ = ticks.tick() => self.keep_alive(&mut wire).await,
            };
            if !worked {
                break;
            }
        }
        self.contact.send_replace(None);
        self.link.handle(link::Event::Broken(clock::now()));
    }

    async fn keep_alive(&mut self, wire: &mut Wire) -> bool {
        let now = clock::now();
        if wire.is_silent(now) {
            tracing::info!("entry: link to {} is silent", self.server);
            return false;
        }
        if !wire.is_ping_due(!self.runs.is_empty(), now) {
            return true;
        }
        self.ping(wire, SILENCE).await
    }

    async fn ping(&mut self, wire: &mut Wire, limit: time::Duration) -> bool {
        wire.seq += 1;
        let due_at = clock::now() + limit;
        wire.due_at = Some(wire.due_at.map_or(due_at, |earlier| earlier.min(due_at)));
        let version = self.entry.view().version();
        wire.send(&message::Order::Ping(message::Ping { seq: wire.seq, version })).await
    }

    async fn step(&mut self, event: link::Event) {
        if let Some(link::Step::GiveUp) = self.link.handle(event) {
            self.fail_all(Refusal::unknown(Reason::LostContact, RETRY_SOON));
        }
        // Runs that their requests dropped meanwhile need no connection.
        while let Ok(command) = self.commands.try_recv() {
            match command {
                Command::Open { sink, .. } => {
                    let refusal = Refusal::not_run(Reason::NoServer, RETRY_SOON);
                    let _ = sink.try_send(Event::Refused(refusal));
                }
                Command::Close(run) => {
                    self.runs.remove(&run);
                }
                Command::Connect => self.wanted = true,
                Command::Send(_) => {}
            }
        }
    }

    fn fail_all(&mut self, refusal: Refusal) {
        for (_, open) in std::mem::take(&mut self.runs) {
            let _ = open.sink.try_send(Event::Refused(refusal));
        }
    }

    async fn obey(&mut self, command: Command, wire: &mut Wire) -> bool {
        match command {
            Command::Connect => {
                self.wanted = true;
                self.ping(wire, PROBE).await
            }
            Command::Open { run, incarnation, order, sink } => {
                // The order's times are on the clock of one incarnation of the agent.
                if self.link.incarnation() != Some(incarnation) {
                    let refusal = Refusal::not_run(Reason::NoServer, RETRY_SOON);
                    let _ = sink.try_send(Event::Refused(refusal));
                    return true;
                }
                let assembly = assembly::Assembly::default();
                self.runs.insert(run, Open { sink, assembly, has_head: false });
                wire.send(&order).await && self.keep_alive(wire).await
            }
            Command::Send(order) => wire.send(&order).await,
            Command::Close(run) => {
                self.runs.remove(&run);
                wire.send(&message::Order::Cancel(run)).await
            }
        }
    }

    async fn take(&mut self, notice: message::Notice, wire: &mut Wire) -> bool {
        match notice {
            message::Notice::Challenge(_) | message::Notice::Welcome(_) => false,
            message::Notice::Reserved(run) => self.pass(run, Event::Reserved, false),
            message::Notice::Prefilled(prefilled) => {
                self.pass(prefilled.run, Event::Prefilled(prefilled), true)
            }
            message::Notice::Refused(refused) => {
                self.pass(refused.run, Event::Refused(refused.refusal), true)
            }
            message::Notice::Head(head) => self.take_head(head),
            message::Notice::Chunk(chunk) => self.take_chunk(chunk),
            message::Notice::End(end) => self.take_end(end),
            message::Notice::Pong(pong) => {
                if let Some(incarnation) = self.link.incarnation() {
                    self.note_pong(incarnation, &pong);
                }
                true
            }
            message::Notice::WantList(version) => match lists::copy(&self.entry, version) {
                Some(copy) => wire.send(&message::Order::List(copy)).await,
                None => true,
            },
            message::Notice::List(copy) => {
                lists::take_copy(&self.entry, &copy);
                true
            }
        }
    }

    // A run that cannot take an event any more is dropped, which cancels it at the agent.
    fn pass(&mut self, run: ids::RunId, event: Event, is_last: bool) -> bool {
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
        self.pass(head.run, Event::Head(head), false)
    }

    // After a gap the connection is opened again, and every run resumed at its offset.
    fn take_chunk(&mut self, chunk: chunk::Chunk) -> bool {
        let Some(open) = self.runs.get_mut(&chunk.run) else { return true };
        match open.assembly.take(chunk.offset, &chunk.bytes) {
            Ok([]) => true,
            Ok(fresh) => {
                let bytes = fresh.to_vec();
                self.pass(chunk.run, Event::Bytes(bytes), false)
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
        self.pass(end.run, Event::End, true)
    }
}

async fn read_loop(mut reader: tcp::tcp::OwnedReadHalf, sender: mpsc::Sender<message::Notice>) {
    while let Ok(notice) = frame::read(&mut reader, frame::MAX_FRAME_BYTES).await {
        if sender.send(notice).await.is_err() {
            return;
        }
    }
}

/// Asks the agent at `address` for its service list, on a connection of its own.
pub(crate) async fn fetch_list(
    entry: &sync::Arc<entry::Entry>,
    address: net::SocketAddr,
) -> Option<message::ListCopy> {
    let asking = async {
        let stream = tcp::TcpStream::connect(address).await.ok()?;
        let (mut reader, mut writer) = stream.into_split();
        greet(entry, None, &mut reader, &mut writer).await.ok()?;
        frame::write(&mut writer, &message::Order::WantList(0)).await.ok()?;
        loop {
            match frame::read(&mut reader, frame::MAX_FRAME_BYTES).await.ok()? {
                message::Notice::List(copy) => return Some(copy),
                message::Notice::WantList(_) | message::Notice::Pong(_) => {}
                _ => return None,
            }
        }
    };
    tokio::time::timeout(CONNECT_LIMIT, asking).await.ok()?
}

// Each side proves to the other that it holds a shared key.
async fn greet(
    entry: &entry::Entry,
    server: Option<&str>,
    reader: &mut tcp::tcp::OwnedReadHalf,
    writer: &mut tcp::tcp::OwnedWriteHalf,
) -> anyhow::Result<(ids::Incarnation, message::Pong)> {
    let settings = &entry.settings;
    let notice = frame::read(reader, frame::MAX_HELLO_BYTES).await?;
    let message::Notice::Challenge(challenge) = notice else {
        anyhow::bail!("the first message is no challenge; check the instance list");
    };
    if server.is_some_and(|server| server != challenge.server) {
        anyhow::bail!("{} is at this address; check the instance list", challenge.server);
    }
    let nonce = rand::random();
    let hello =
        message::Hello::sign(&settings.keys, &challenge, &settings.name, entry.incarnation, nonce);
    frame::write(writer, &message::Order::Hello(hello.clone())).await?;
    let notice = frame::read(reader, frame::MAX_HELLO_BYTES).await?;
    let message::Notice::Welcome(welcome) = notice else {
        anyhow::bail!("no welcome; check the shared keys");
    };
    if !welcome.is_signed(&settings.keys, &hello) {
        anyhow::bail!("the welcome is not signed; give all processes the same shared keys");
    }
    Ok((challenge.incarnation, welcome.pong))
}
