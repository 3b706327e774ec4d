//! One connection to a backend server.

use std::{io, net, time};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, body, client::conn::http1, header};
use hyper_util::rt;
use tokio::net as tokio_net;

use rhubarb_core::{exchanges, identity};
use rhubarb_node::clock;
use rhubarb_platform::request;

use crate::{buffer, socket};

/// Connection to a server, closed when dropped.
#[derive(Debug)]
pub(crate) struct Connection {
    /// Requests are sent with it.
    pub(crate) sender: http1::SendRequest<Full<Bytes>>,
    bound: socket::ReadBound,
    /// The server's address.
    pub(crate) address: net::SocketAddr,
    /// When it is closed unless it is used.
    pub(crate) idle_until: time::Instant,
    /// Number of requests sent on it.
    pub(crate) requests: u64,
    /// What was sent on it.
    pub(crate) exchanges: exchanges::Exchanges,
    /// Process at its other end.
    pub(crate) peer: identity::Peer,
}

/// Why a request got no response on a connection.
pub(crate) enum SendFailure {
    /// No byte was written; the request can be sent on another connection.
    Unsent(Box<Request<Full<Bytes>>>, String),
    /// The request may have reached the server.
    Sent(String),
    /// Likewise, and the response to another request was received in its place.
    Stray,
}

/// Maximum size of the buffer for what is received, in bytes; a longer head is invalid.
const MAX_BUFFER_BYTES: usize = 64 * 1024;
/// Number of bytes after which no more is read until the head of a response is complete: informational
/// responses and the head. The last read may go beyond, into the body.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Timeout for opening a connection. A reachable server accepts within milliseconds; the rest is
/// for one retransmission of the first packet.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(1_300);
/// A connection fails when sent data stays unacknowledged for this long.
const UNACKED_TIMEOUT: time::Duration = time::Duration::from_millis(2_500);
/// Idle time before the first keepalive probe, and interval between probes.
const PROBE_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Consecutive unanswered probes after which a connection fails.
const MAX_PROBES: u32 = 2;

impl SendFailure {
    /// What went wrong.
    pub(crate) fn into_text(self) -> String {
        match self {
            SendFailure::Unsent(_, err) | SendFailure::Sent(err) => err,
            SendFailure::Stray => "the response belongs to another request".to_string(),
        }
    }
}

impl Connection {
    /// Sends a request and returns its response, which is shown to belong to it: it echoes the
    /// request's id, or both have none.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        proof: exchanges::Proof,
    ) -> Result<Response<body::Incoming>, SendFailure> {
        if let Err(err) = self.sender.ready().await {
            return Err(SendFailure::Unsent(Box::new(request), err.to_string()));
        }
        self.requests += 1;
        self.exchanges.record(proof);
        let attempt_id = request::attempt_id(request.headers()).cloned();
        self.bound.begin_head(MAX_HEAD_BYTES);
        let sending = self.sender.try_send_request(request);
        let response = sending.await.map_err(|mut err| {
            let unsent = err.take_message();
            let text = err.into_error().to_string();
            match unsent {
                Some(request) => SendFailure::Unsent(Box::new(request), text),
                None => SendFailure::Sent(text),
            }
        })?;
        self.bound.end_head();
        self.check(&response, attempt_id)?;
        Ok(response)
    }

    fn check(
        &mut self,
        response: &Response<body::Incoming>,
        attempt_id: Option<header::HeaderValue>,
    ) -> Result<(), SendFailure> {
        let echoed = request::attempt_id(response.headers());
        if echoed != attempt_id.as_ref() {
            tracing::warn!(
                id = ?attempt_id,
                echoed = ?echoed,
                status = response.status().as_u16(),
                address = %self.address,
                requests = self.requests,
                "edge: response does not belong to the request, connection closed"
            );
            return Err(SendFailure::Stray);
        }
        Ok(())
    }
}

/// Connects to a server; the memory for what it sends counts among `buffers`.
pub(crate) async fn connect(
    address: net::SocketAddr,
    buffers: &buffer::Buffers,
) -> io::Result<Connection> {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, tokio_net::TcpStream::connect(address));
    let stream =
        connecting.await.map_err(|_| io::Error::other("connection attempt timed out"))??;
    set_options(&stream)?;
    // Closing discards unsent data, so that an abandoned request does not arrive after a network
    // partition has healed.
    socket2::SockRef::from(&stream).set_linger(Some(time::Duration::ZERO))?;
    let bound = socket::ReadBound::unlimited(buffers.head_account());
    let socket = rt::TokioIo::new(socket::Socket::new(stream, bound.clone()));
    let mut builder = http1::Builder::new();
    builder.max_buf_size(MAX_BUFFER_BYTES);
    let (sender, connection) = builder.handshake(socket).await.map_err(io::Error::other)?;
    tokio::spawn(async move {
        if let Err(err) = connection.await {
            tracing::debug!("edge: connection to {address} ended: {err}");
        }
    });
    Ok(Connection {
        sender,
        bound,
        address,
        idle_until: clock::now(),
        requests: 0,
        exchanges: exchanges::Exchanges::default(),
        peer: identity::Peer::default(),
    })
}

/// Sets options that make a connection to an unresponsive peer fail instead of hang.
pub(crate) fn set_options(stream: &tokio_net::TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT))?;
    let probes = socket2::TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(MAX_PROBES);
    socket.set_tcp_keepalive(&probes)
}
