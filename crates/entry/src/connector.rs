//! Opens connections to agents, and writes to them.

use std::{net, time};

use tokio::{net as tcp, sync::mpsc};

use rhubarb_core::ids;
use rhubarb_node::clock;
use rhubarb_wire::{auth, frame, message};

/// Longest time to open a connection and complete the handshake.
pub(crate) const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// A connection on which a ping is not answered within this time is closed.
pub(crate) const PING_TIMEOUT: time::Duration = time::Duration::from_millis(1500);
/// A connection with open runs is pinged when nothing was received for this long.
const PING_RECEIVE_IDLE: time::Duration = time::Duration::from_millis(500);
/// A connection with open runs is also pinged when nothing was sent for this long, because the
/// agent closes it after 2 s without a message.
const PING_SEND_IDLE: time::Duration = time::Duration::from_millis(1200);
/// A connection without open runs is pinged when nothing was sent or received for this long.
const PING_IDLE: time::Duration = time::Duration::from_secs(20);
/// Maximum number of received messages that wait to be handled.
const RECEIVE_BUFFER: usize = 1024;

/// Identity of the entry towards agents.
#[derive(Debug)]
pub(crate) struct Identity {
    pub(crate) name: String,
    pub(crate) incarnation: ids::Incarnation,
    pub(crate) keys: auth::Keys,
}

/// An open connection to an agent.
#[derive(Debug)]
pub(crate) struct Connection {
    writer: tcp::tcp::OwnedWriteHalf,
    pub(crate) messages: mpsc::Receiver<message::ToEntry>,
    received_at: time::Instant,
    sent_at: time::Instant,
    // Deadline for a message from the agent after a ping.
    pong_due: Option<time::Instant>,
    seq: u64,
}

impl Connection {
    /// Sends a message; false if it cannot be written within the ping timeout.
    pub(crate) async fn send(&mut self, message: &message::ToAgent) -> bool {
        self.sent_at = clock::now();
        // A frozen agent reads nothing, so a full send buffer must not block the task.
        let writing = frame::write(&mut self.writer, message);
        matches!(tokio::time::timeout(PING_TIMEOUT, writing).await, Ok(Ok(())))
    }

    /// Whether the connection has been idle for too long and no ping awaits its answer.
    pub(crate) fn is_ping_due(&self, has_runs: bool, now: time::Instant) -> bool {
        let (receive_idle, send_idle) =
            if has_runs { (PING_RECEIVE_IDLE, PING_SEND_IDLE) } else { (PING_IDLE, PING_IDLE) };
        let is_idle = now >= self.received_at + receive_idle || now >= self.sent_at + send_idle;
        self.pong_due.is_none() && is_idle
    }

    /// Whether the deadline of a ping has passed without a message from the agent.
    pub(crate) fn is_timed_out(&self, now: time::Instant) -> bool {
        self.pong_due.is_some_and(|due| now >= due)
    }

    /// Sends a ping that has to be answered within `timeout`.
    pub(crate) async fn ping(
        &mut self,
        version: ids::ListVersion,
        timeout: time::Duration,
    ) -> bool {
        self.seq += 1;
        let due = clock::now() + timeout;
        self.pong_due = Some(self.pong_due.map_or(due, |earlier| earlier.min(due)));
        self.send(&message::ToAgent::Ping(message::Ping { seq: self.seq, version })).await
    }

    /// Records that a message was received.
    pub(crate) fn record_received(&mut self) {
        self.received_at = clock::now();
        self.pong_due = None;
    }
}

/// Opens a connection to the agent of `server` and performs the handshake.
pub(crate) async fn connect(
    identity: &Identity,
    server: &str,
    address: net::SocketAddr,
) -> anyhow::Result<(Connection, ids::Incarnation, message::Pong)> {
    let stream = tcp::TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (mut reader, mut writer) = stream.into_split();
    let (incarnation, pong) = handshake(identity, Some(server), &mut reader, &mut writer).await?;
    let (sender, messages) = mpsc::channel(RECEIVE_BUFFER);
    tokio::spawn(read_loop(reader, sender));
    let now = clock::now();
    let connection =
        Connection { writer, messages, received_at: now, sent_at: now, pong_due: None, seq: 0 };
    Ok((connection, incarnation, pong))
}

async fn read_loop(mut reader: tcp::tcp::OwnedReadHalf, sender: mpsc::Sender<message::ToEntry>) {
    while let Ok(message) = frame::read(&mut reader, frame::MAX_FRAME_BYTES).await {
        if sender.send(message).await.is_err() {
            return;
        }
    }
}

/// Requests the service list from the agent at `address`, on a separate connection.
pub(crate) async fn fetch_list(
    identity: &Identity,
    address: net::SocketAddr,
) -> Option<message::ListCopy> {
    let fetching = async {
        let stream = tcp::TcpStream::connect(address).await.ok()?;
        let (mut reader, mut writer) = stream.into_split();
        handshake(identity, None, &mut reader, &mut writer).await.ok()?;
        frame::write(&mut writer, &message::ToAgent::WantList(0)).await.ok()?;
        loop {
            match frame::read(&mut reader, frame::MAX_FRAME_BYTES).await.ok()? {
                message::ToEntry::List(copy) => return Some(copy),
                message::ToEntry::WantList(_) | message::ToEntry::Pong(_) => {}
                _ => return None,
            }
        }
    };
    tokio::time::timeout(CONNECT_TIMEOUT, fetching).await.ok()?
}

// Entry and agent prove to each other that they hold a shared key.
async fn handshake(
    identity: &Identity,
    server: Option<&str>,
    reader: &mut tcp::tcp::OwnedReadHalf,
    writer: &mut tcp::tcp::OwnedWriteHalf,
) -> anyhow::Result<(ids::Incarnation, message::Pong)> {
    let Identity { name, incarnation, keys } = identity;
    let first = frame::read(reader, frame::MAX_HELLO_BYTES).await?;
    let message::ToEntry::Challenge(challenge) = first else {
        anyhow::bail!("the agent's first message is not a challenge; check the instance list");
    };
    if server.is_some_and(|server| server != challenge.server) {
        anyhow::bail!(
            "the agent at this address is that of {}; check the instance list",
            challenge.server
        );
    }
    let nonce = rand::random();
    let hello = message::Hello::sign(keys, &challenge, name, *incarnation, nonce);
    frame::write(writer, &message::ToAgent::Hello(hello.clone())).await?;
    let second = frame::read(reader, frame::MAX_HELLO_BYTES).await?;
    let message::ToEntry::Welcome(welcome) = second else {
        anyhow::bail!("the agent did not accept the entry; check the shared keys");
    };
    if !welcome.is_signed(keys, &hello) {
        anyhow::bail!(
            "the agent's welcome is not signed; configure the same shared keys everywhere"
        );
    }
    Ok((challenge.incarnation, welcome.pong))
}
