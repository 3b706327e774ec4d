//! Opens connections to agents, and writes to them.

use std::{net, time};

use tokio::{net as tcp, sync::mpsc};

use rhubarb_core::ids;
use rhubarb_node::clock;
use rhubarb_wire::{auth, frame, message};

/// Longest time to open a connection and greet the agent.
pub(crate) const CONNECT_LIMIT: time::Duration = time::Duration::from_secs(1);
/// A link whose ping is not answered in this time is broken.
pub(crate) const SILENCE: time::Duration = time::Duration::from_millis(1500);
/// A link with open runs is pinged when the agent was not heard for this long.
const PING_UNHEARD: time::Duration = time::Duration::from_millis(500);
/// And when nothing was sent for this long, since the agent gives up after 2 s of silence.
const PING_UNSENT: time::Duration = time::Duration::from_millis(1200);
/// A link without open runs is pinged this often.
const PING_IDLE: time::Duration = time::Duration::from_secs(20);
const FRAMES: usize = 1024;

/// By what agents know the entry.
#[derive(Debug)]
pub(crate) struct Identity {
    pub(crate) name: String,
    pub(crate) incarnation: ids::Incarnation,
    pub(crate) keys: auth::Keys,
}

/// A live connection.
#[derive(Debug)]
pub(crate) struct Wire {
    writer: tcp::tcp::OwnedWriteHalf,
    pub(crate) notices: mpsc::Receiver<message::ToEntry>,
    heard_at: time::Instant,
    sent_at: time::Instant,
    // When an answer to a ping is overdue, if nothing has been heard since.
    due_at: Option<time::Instant>,
    seq: u64,
}

impl Wire {
    pub(crate) async fn send(&mut self, order: &message::ToAgent) -> bool {
        self.sent_at = clock::now();
        // A frozen agent reads nothing, so a full connection must not block the task.
        let writing = frame::write(&mut self.writer, order);
        matches!(tokio::time::timeout(SILENCE, writing).await, Ok(Ok(())))
    }

    pub(crate) fn is_ping_due(&self, has_runs: bool, now: time::Instant) -> bool {
        let (unheard, unsent) =
            if has_runs { (PING_UNHEARD, PING_UNSENT) } else { (PING_IDLE, PING_IDLE) };
        let is_quiet = now >= self.heard_at + unheard || now >= self.sent_at + unsent;
        self.due_at.is_none() && is_quiet
    }

    pub(crate) fn is_silent(&self, now: time::Instant) -> bool {
        self.due_at.is_some_and(|due_at| now >= due_at)
    }

    /// Sends a ping that has to be answered within `limit`.
    pub(crate) async fn ping(&mut self, version: ids::ListVersion, limit: time::Duration) -> bool {
        self.seq += 1;
        let due_at = clock::now() + limit;
        self.due_at = Some(self.due_at.map_or(due_at, |earlier| earlier.min(due_at)));
        self.send(&message::ToAgent::Ping(message::Ping { seq: self.seq, version })).await
    }

    /// Notes that the agent was heard.
    pub(crate) fn hear(&mut self) {
        self.heard_at = clock::now();
        self.due_at = None;
    }
}

/// Opens a connection to the agent of `server` and greets it.
pub(crate) async fn connect(
    identity: &Identity,
    server: &str,
    address: net::SocketAddr,
) -> anyhow::Result<(Wire, ids::Incarnation, message::Pong)> {
    let stream = tcp::TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (mut reader, mut writer) = stream.into_split();
    let (incarnation, pong) = greet(identity, Some(server), &mut reader, &mut writer).await?;
    let (sender, notices) = mpsc::channel(FRAMES);
    tokio::spawn(read_loop(reader, sender));
    let now = clock::now();
    let wire = Wire { writer, notices, heard_at: now, sent_at: now, due_at: None, seq: 0 };
    Ok((wire, incarnation, pong))
}

async fn read_loop(mut reader: tcp::tcp::OwnedReadHalf, sender: mpsc::Sender<message::ToEntry>) {
    while let Ok(notice) = frame::read(&mut reader, frame::MAX_FRAME_BYTES).await {
        if sender.send(notice).await.is_err() {
            return;
        }
    }
}

/// Asks the agent at `address` for its service list, on a connection of its own.
pub(crate) async fn fetch_list(
    identity: &Identity,
    address: net::SocketAddr,
) -> Option<message::ListCopy> {
    let asking = async {
        let stream = tcp::TcpStream::connect(address).await.ok()?;
        let (mut reader, mut writer) = stream.into_split();
        greet(identity, None, &mut reader, &mut writer).await.ok()?;
        frame::write(&mut writer, &message::ToAgent::WantList(0)).await.ok()?;
        loop {
            match frame::read(&mut reader, frame::MAX_FRAME_BYTES).await.ok()? {
                message::ToEntry::List(copy) => return Some(copy),
                message::ToEntry::WantList(_) | message::ToEntry::Pong(_) => {}
                _ => return None,
            }
        }
    };
    tokio::time::timeout(CONNECT_LIMIT, asking).await.ok()?
}

// Each side proves to the other that it holds a shared key.
async fn greet(
    identity: &Identity,
    server: Option<&str>,
    reader: &mut tcp::tcp::OwnedReadHalf,
    writer: &mut tcp::tcp::OwnedWriteHalf,
) -> anyhow::Result<(ids::Incarnation, message::Pong)> {
    let Identity { name, incarnation, keys } = identity;
    let notice = frame::read(reader, frame::MAX_HELLO_BYTES).await?;
    let message::ToEntry::Challenge(challenge) = notice else {
        anyhow::bail!("the first message is no challenge; check the instance list");
    };
    if server.is_some_and(|server| server != challenge.server) {
        anyhow::bail!("{} is at this address; check the instance list", challenge.server);
    }
    let nonce = rand::random();
    let hello = message::Hello::sign(keys, &challenge, name, *incarnation, nonce);
    frame::write(writer, &message::ToAgent::Hello(hello.clone())).await?;
    let notice = frame::read(reader, frame::MAX_HELLO_BYTES).await?;
    let message::ToEntry::Welcome(welcome) = notice else {
        anyhow::bail!("no welcome; check the shared keys");
    };
    if !welcome.is_signed(keys, &hello) {
        anyhow::bail!("the welcome is not signed; give all processes the same shared keys");
    }
    Ok((challenge.incarnation, welcome.pong))
}
