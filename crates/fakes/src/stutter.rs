//! Proxy in front of an HTTP/1.1 server that answers twice.
//!
//! While it repeats, each answer is sent a second time when the next request arrives on the same
//! connection, before that request is answered.

use std::{io, net, sync, sync::atomic};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net as tcp,
};

/// A proxy on its own loopback port.
#[derive(Clone, Debug)]
pub struct Stutter {
    /// Address to use in place of the server's.
    pub address: net::SocketAddr,
    repeats: sync::Arc<atomic::AtomicBool>,
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
        let stutter = Stutter { address, repeats: sync::Arc::default() };
        let shared = stutter.clone();
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let stutter = shared.clone();
                // A connection that fails is closed, which its client sees.
                tokio::spawn(async move { stutter.serve(client, target).await });
            }
        });
        Ok(stutter)
    }

    /// Sets whether answers are sent twice; at first they are not.
    pub fn set_repeats(&self, repeats: bool) {
        self.repeats.store(repeats, atomic::Ordering::Relaxed);
    }

    async fn serve(&self, mut client: tcp::TcpStream, target: net::SocketAddr) -> io::Result<()> {
        let mut pending = Vec::new();
        let mut last = Vec::new();
        while let Some(request) = read_request(&mut client, &mut pending).await? {
            if self.repeats.load(atomic::Ordering::Relaxed) {
                client.write_all(&last).await?;
            }
            last = forward(target, &request).await?;
            client.write_all(&last).await?;
        }
        Ok(())
    }
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
    let head = bytes.windows(HEAD_END.len()).position(|part| part == HEAD_END)? + HEAD_END.len();
    let text = String::from_utf8_lossy(&bytes[..head]).to_ascii_lowercase();
    let length = text.lines().find_map(|line| line.strip_prefix("content-length:"));
    Some(head + length.and_then(|length| length.trim().parse().ok()).unwrap_or(0))
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
