//! A TCP and UDP relay that injects connection faults between an entry and an agent, server or
//! store.

use std::{
    collections::{self, btree_map},
    net, sync, time,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net as tcp,
    sync::{mpsc, watch},
};

use rhubarb_node::{locks, server};

/// What a relay does with the TCP bytes of one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Forwards them.
    #[default]
    Forward,
    /// Buffers them until the mode changes.
    Buffer,
}

/// Modes of both directions, and counts of the faults injected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Modes {
    /// Mode from the entry to the target.
    pub to_target: Mode,
    /// Mode from the target to the entry.
    pub to_entry: Mode,
    /// Whether datagrams from the entry are lost.
    pub datagrams_lost: bool,
    // Number of calls of `Relay::blackhole`; a connection compares it with the number at its start.
    blackholes: u64,
    // Likewise for `Relay::disconnect`.
    disconnects: u64,
    // Number of requests after which a response is sent a second time; 0 for never.
    double_after: usize,
    // Bytes a second that all connections together bring to the entry; 0 for any number.
    rate: u32,
}

// Bytes sent to the entry on one connection since its last request, which are its last response.
type Response = sync::Arc<sync::Mutex<Vec<u8>>>;
// Responses on one connection that have not been sent a second time, the oldest first.
type Responses = collections::VecDeque<Vec<u8>>;

/// A relay that listens on its own port.
#[derive(Clone, Debug)]
pub struct Relay {
    /// Address to publish in place of the target's.
    pub address: net::SocketAddr,
    modes: sync::Arc<watch::Sender<Modes>>,
}

// Locked while bytes are on their way to the entry, where they take time.
type Link = sync::Arc<tokio::sync::Mutex<()>>;

const BUFFER_BYTES: usize = 16 * 1024;

impl Relay {
    /// Starts a relay on a free loopback port that forwards to `target`.
    ///
    /// # Errors
    /// Returns an error if no port is free.
    pub async fn start(target: net::SocketAddr) -> anyhow::Result<Relay> {
        let (listener, udp) =
            server::bind_tcp_and_udp((net::Ipv4Addr::LOCALHOST, 0).into()).await?;
        let address = listener.local_addr()?;
        let (modes, _) = watch::channel(Modes::default());
        let modes = sync::Arc::new(modes);
        let shared = modes.clone();
        let link = Link::default();
        tokio::spawn(async move {
            while let Ok((entry, _)) = listener.accept().await {
                let Ok(upstream) = tcp::TcpStream::connect(target).await else { continue };
                relay_connection(entry, upstream, &shared, &link);
            }
        });
        tokio::spawn(forward_datagrams(udp, target, modes.subscribe()));
        Ok(Relay { address, modes })
    }

    /// Sets the modes of both directions.
    pub fn set_modes(&self, to_target: Mode, to_entry: Mode) {
        self.modes.send_modify(|modes| {
            modes.to_target = to_target;
            modes.to_entry = to_entry;
        });
    }

    /// Loses all datagrams from entries from now on.
    pub fn lose_datagrams(&self) {
        self.modes.send_modify(|modes| modes.datagrams_lost = true);
    }

    /// Stops forwarding on all open connections without closing them; new connections work.
    pub fn blackhole(&self) {
        self.modes.send_modify(|modes| modes.blackholes += 1);
    }

    /// Sets whether the last response of a connection is sent a second time when the next request is
    /// on its way, ahead of that request's own response.
    pub fn set_doubles(&self, doubles: bool) {
        self.double_after(usize::from(doubles));
    }

    /// Sends each response of a connection a second time when the `requests`th request after its
    /// own is on its way, ahead of that request's own response; never if it is 0.
    pub fn double_after(&self, requests: usize) {
        self.modes.send_modify(|modes| modes.double_after = requests);
    }

    /// Limits the bytes a second that all connections together bring to the entry; 0 for any number.
    pub fn set_rate(&self, rate: u32) {
        self.modes.send_modify(|modes| modes.rate = rate);
    }

    /// Closes all open connections.
    pub fn disconnect(&self) {
        self.modes.send_modify(|modes| modes.disconnects += 1);
    }
}

// Datagrams are forwarded regardless of the modes of TCP.
async fn forward_datagrams(
    socket: tcp::UdpSocket,
    target: net::SocketAddr,
    modes: watch::Receiver<Modes>,
) {
    let socket = sync::Arc::new(socket);
    let mut entries = collections::BTreeMap::new();
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok((length, entry)) = socket.recv_from(&mut buffer).await {
        if modes.borrow().datagrams_lost {
            continue;
        }
        let upstream = match entries.entry(entry) {
            btree_map::Entry::Occupied(known) => known.into_mut(),
            btree_map::Entry::Vacant(vacant) => {
                let local = (net::Ipv4Addr::LOCALHOST, 0);
                let Ok(upstream) = tcp::UdpSocket::bind(local).await else { return };
                let upstream = sync::Arc::new(upstream);
                tokio::spawn(forward_replies(socket.clone(), upstream.clone(), entry));
                vacant.insert(upstream)
            }
        };
        let _ = upstream.send_to(&buffer[..length], target).await;
    }
}

async fn forward_replies(
    socket: sync::Arc<tcp::UdpSocket>,
    upstream: sync::Arc<tcp::UdpSocket>,
    entry: net::SocketAddr,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok((length, _)) = upstream.recv_from(&mut buffer).await {
        let _ = socket.send_to(&buffer[..length], entry).await;
    }
}

fn relay_connection(
    entry: tcp::TcpStream,
    upstream: tcp::TcpStream,
    modes: &sync::Arc<watch::Sender<Modes>>,
    link: &Link,
) {
    let _ = entry.set_nodelay(true);
    let _ = upstream.set_nodelay(true);
    let (entry_in, entry_out) = entry.into_split();
    let (upstream_in, upstream_out) = upstream.into_split();
    let last = Response::default();
    let (doubles, doubled) = mpsc::unbounded_channel();
    // Never written to: the target gets nothing but the entry's bytes.
    let (_, nothing) = mpsc::unbounded_channel();
    let (last_response, shared) = (last.clone(), modes.clone());
    let mut responses = Responses::new();
    let at_request = move |_: &[u8]| {
        let response = std::mem::take(&mut *locks::lock(&last_response));
        if response.is_empty() {
            return;
        }
        responses.push_back(response);
        let double_after = shared.borrow().double_after;
        while responses.len() > double_after {
            responses.pop_front();
        }
        if responses.len() == double_after
            && let Some(response) = responses.pop_front()
        {
            let _ = doubles.send(response);
        }
    };
    let at_response = move |bytes: &[u8]| locks::lock(&last).extend_from_slice(bytes);
    let to_target = Direction { mode_of: |modes| modes.to_target, inserted: nothing, link: None };
    let link = Some(link.clone());
    let to_entry = Direction { mode_of: |modes| modes.to_entry, inserted: doubled, link };
    let (modes, other) = (modes.subscribe(), modes.subscribe());
    tokio::spawn(forward_stream(entry_in, upstream_out, modes, to_target, at_request));
    tokio::spawn(forward_stream(upstream_in, entry_out, other, to_entry, at_response));
}

// One direction of a connection.
struct Direction {
    mode_of: fn(&Modes) -> Mode,
    // Bytes to send besides those received.
    inserted: mpsc::UnboundedReceiver<Vec<u8>>,
    // Where the rate of the relay holds.
    link: Option<Link>,
}

impl Direction {
    // Waits for the time that `bytes` take at `rate` bytes a second.
    async fn pass(&self, bytes: usize, rate: u32) {
        if let Some(link) = self.link.as_ref().filter(|_| rate > 0) {
            let _held = link.lock().await;
            let seconds = bytes as f64 / f64::from(rate);
            tokio::time::sleep(time::Duration::from_secs_f64(seconds)).await;
        }
    }
}

async fn forward_stream(
    mut from: tcp::tcp::OwnedReadHalf,
    mut to: tcp::tcp::OwnedWriteHalf,
    mut modes: watch::Receiver<Modes>,
    mut direction: Direction,
    mut on_read: impl FnMut(&[u8]),
) {
    let start = *modes.borrow_and_update();
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut buffered = Vec::new();
    loop {
        let now = *modes.borrow_and_update();
        if now.disconnects > start.disconnects {
            return;
        }
        let is_blackholed = now.blackholes > start.blackholes;
        let may_forward = (direction.mode_of)(&now) == Mode::Forward && !is_blackholed;
        if may_forward && !buffered.is_empty() {
            direction.pass(buffered.len(), now.rate).await;
            if to.write_all(&std::mem::take(&mut buffered)).await.is_err() {
                return;
            }
        }
        tokio::select! {
            biased;
            changed = modes.changed() => {
                if changed.is_err() {
                    return;
                }
            }
            Some(bytes) = direction.inserted.recv() => buffered.extend_from_slice(&bytes),
            read = from.read(&mut buffer) => {
                let length = read.unwrap_or(0);
                if length == 0 {
                    return;
                }
                on_read(&buffer[..length]);
                buffered.extend_from_slice(&buffer[..length]);
            }
        }
    }
}
