//! Proxy in front of an HTTP/1.1 server that answers twice.

use std::{io, net, sync, sync::atomic, time};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net as tcp,
};

use rhubarb_node::locks;

/// When an earlier answer is sent once more on its connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Repeat {
    /// Never.
    #[default]
    Never,
    /// The last answer, when the next request has arrived, ahead of that request's own answer.
    Last,
    /// The refusal of an attempt, when the same attempt has arrived again, ahead of its own answer.
    Refusal,
    /// The same, and the refusal comes twice.
    RefusalTwice,
    /// The first refusal of the connection, between head and body of each later answer.
    Inside,
    /// The first refusal of the connection, together with each later answer, behind it.
    Behind,
    /// The same, this long after each later answer.
    Idle(time::Duration),
}

/// A proxy on its own loopback port; clones share their state.
#[derive(Clone, Debug)]
pub struct Stutter {
    /// Address to use in place of the server's.
    pub address: net::SocketAddr,
    repeat: sync::Arc<sync::Mutex<Repeat>>,
    // Number of attempts that are still to be refused, and that were.
    to_refuse: sync::Arc<atomic::AtomicUsize>,
    refused: sync::Arc<atomic::AtomicUsize>,
    // Number of refusals sent once more.
    repeated: sync::Arc<atomic::AtomicUsize>,
    // Number of connections accepted.
    connections: sync::Arc<atomic::AtomicUsize>,
    // Time from the arrival of a request to its refusal.
    delay: sync::Arc<sync::Mutex<time::Duration>>,
}

const BUFFER_BYTES: usize = 16 * 1024;
const HEAD_END: &[u8] = b"\r\n\r\n";

impl Stutter {
    /// Starts a proxy that forwards to `target`.
    ///
    /// # Errors
    /// Returns an error if no port is free.
    pub async fn start(target: net::SocketAddr) -> io::Result<Stutter> {
        let listener = tcp::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let (to_refuse, refused) = (sync::Arc::default(), sync::Arc::default());
        let (repeat, delay) = (sync::Arc::default(), sync::Arc::default());
        let (repeated, connections) = (sync::Arc::default(), sync::Arc::default());
        let stutter = Stutter { address, repeat, to_refuse, refused, repeated, connections, delay };
        let shared = stutter.clone();
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let stutter = shared.clone();
                stutter.connections.fetch_add(1, atomic::Ordering::Relaxed);
                // A connection that fails is closed, which its client sees.
                tokio::spawn(async move { stutter.serve(client, target).await });
            }
        });
        Ok(stutter)
    }

    /// Sets whether each answer is sent twice; at first none is.
    pub fn set_repeats(&self, repeats: bool) {
        self.set_repeat(if repeats { Repeat::Last } else { Repeat::Never });
    }

    /// Sets when earlier answers are sent once more.
    pub fn set_repeat(&self, repeat: Repeat) {
        *locks::lock(&self.repeat) = repeat;
    }

    /// Refuses the next `count` requests with an attempt id, each `delay` after its arrival; the
    /// server gets none of them.
    pub fn refuse(&self, count: usize, delay: time::Duration) {
        *locks::lock(&self.delay) = delay;
        self.to_refuse.store(count, atomic::Ordering::Relaxed);
    }

    /// Number of requests that have arrived and are refused.
    pub fn refused(&self) -> usize {
        self.refused.load(atomic::Ordering::Relaxed)
    }

    /// Number of refusals that it has sent once more.
    pub fn repeated(&self) -> usize {
        self.repeated.load(atomic::Ordering::Relaxed)
    }

    /// Number of connections that it has accepted.
    pub fn connections(&self) -> usize {
        self.connections.load(atomic::Ordering::Relaxed)
    }

    async fn serve(&self, mut client: tcp::TcpStream, target: net::SocketAddr) -> io::Result<()> {
        let mut pending = Vec::new();
        let mut last = Vec::new();
        // Refusals on this connection by attempt id, the oldest first.
        let mut refusals: Vec<(String, Vec<u8>)> = Vec::new();
        while let Some(request) = read_request(&mut client, &mut pending).await? {
            let repeat = *locks::lock(&self.repeat);
            let attempt = attempt_id(&request);
            let same = refusals.iter().find(|(id, _)| Some(id) == attempt.as_ref());
            let early = match (repeat, same) {
                (Repeat::Last, _) => last.clone(),
                (Repeat::Refusal, Some((_, refusal))) => refusal.clone(),
                (Repeat::RefusalTwice, Some((_, refusal))) => refusal.repeat(2),
                _ => Vec::new(),
            };
            let is_refusal = repeat != Repeat::Last && !early.is_empty();
            self.repeated.fetch_add(usize::from(is_refusal), atomic::Ordering::Relaxed);
            client.write_all(&early).await?;
            let refused = attempt.filter(|_| self.take_refusal());
            if let Some(id) = refused {
                let delay = *locks::lock(&self.delay);
                tokio::time::sleep(delay).await;
                last = refusal(&id);
                client.write_all(&last).await?;
                refusals.push((id, last.clone()));
                continue;
            }
            last = forward(target, &request).await?;
            let mut answer = last.clone();
            let first = refusals.first().map(|(_, first)| first.as_slice()).unwrap_or_default();
            match repeat {
                Repeat::Inside => {
                    let end = head_length(&answer).unwrap_or(0);
                    answer.splice(end..end, first.iter().copied());
                }
                Repeat::Behind => answer.extend_from_slice(first),
                _ => {}
            }
            client.write_all(&answer).await?;
            if let Repeat::Idle(delay) = repeat {
                tokio::time::sleep(delay).await;
                client.write_all(first).await?;
            }
            let is_late = matches!(repeat, Repeat::Inside | Repeat::Behind | Repeat::Idle(_));
            let is_repeated = is_late && !first.is_empty();
            self.repeated.fetch_add(usize::from(is_repeated), atomic::Ordering::Relaxed);
        }
        Ok(())
    }

    fn take_refusal(&self) -> bool {
        let order = atomic::Ordering::Relaxed;
        let taken = self.to_refuse.fetch_update(order, order, |left| left.checked_sub(1)).is_ok();
        self.refused.fetch_add(usize::from(taken), order);
        taken
    }
}

// Response that says that the attempt `id` did not run.
fn refusal(id: &str) -> Vec<u8> {
    let head = format!("HTTP/1.1 503 Service Unavailable\r\nx-attempt-id: {id}\r\n");
    format!("{head}x-not-executed: 1\r\ncontent-length: 0\r\n\r\n").into_bytes()
}

// Attempt id of a request.
fn attempt_id(request: &[u8]) -> Option<String> {
    let head = String::from_utf8_lossy(&request[..head_length(request)?]).into_owned();
    let fields = head.lines().filter_map(|line| line.split_once(':'));
    let mut ids = fields.filter(|(name, _)| name.eq_ignore_ascii_case("x-attempt-id"));
    ids.next().map(|(_, id)| id.trim().to_string())
}

// Reads one request, whose body has a length; `None` at the end of the connection.
async fn read_request(
    client: &mut tcp::TcpStream,
    pending: &mut Vec<u8>,
) -> io::Result<Option<Vec<u8>>> {
    let mut buffer = [0; BUFFER_BYTES];
    loop {
        if let Some(length) = request_length(pending)
            && pending.len() >= length
        {
            return Ok(Some(pending.drain(..length).collect()));
        }
        let read = client.read(&mut buffer).await?;
        if read == 0 {
            return Ok(None);
        }
        pending.extend_from_slice(&buffer[..read]);
    }
}

// Length of the head and body of the first request in `bytes`; `None` while the head is incomplete.
fn request_length(bytes: &[u8]) -> Option<usize> {
    let head = head_length(bytes)?;
    let text = String::from_utf8_lossy(&bytes[..head]).to_ascii_lowercase();
    let length = text.lines().find_map(|line| line.strip_prefix("content-length:"));
    Some(head + length.and_then(|length| length.trim().parse().ok()).unwrap_or(0))
}

// Length of the head at the begin of `bytes`; `None` while it is incomplete.
fn head_length(bytes: &[u8]) -> Option<usize> {
    let end = bytes.windows(HEAD_END.len()).position(|part| part == HEAD_END)?;
    Some(end + HEAD_END.len())
}

// Sends a request on a connection of its own and returns the whole answer, as one that keeps the
// connection open.
async fn forward(target: net::SocketAddr, request: &[u8]) -> io::Result<Vec<u8>> {
    let mut server = tcp::TcpStream::connect(target).await?;
    let line = request.windows(2).position(|part| part == b"\r\n").unwrap_or(0) + 2;
    server.write_all(&request[..line]).await?;
    server.write_all(b"connection: close\r\n").await?;
    server.write_all(&request[line..]).await?;
    let mut answer = Vec::new();
    server.read_to_end(&mut answer).await?;
    let close = b"connection: close\r\n";
    if let Some(at) = answer.windows(close.len()).position(|part| part == close) {
        answer.drain(at..at + close.len());
    }
    Ok(answer)
}
