//! Connections to backend servers.

use std::{collections, fmt, io, net, sync, time};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, body, client::conn::http1, header};
use hyper_util::rt;
use tokio::net as tcp;

use rhubarb_node::{clock, locks};
use rhubarb_platform::response;

/// Connections that are open and idle, by server address.
#[derive(Debug, Default)]
pub(crate) struct Links {
    idle: sync::Mutex<collections::BTreeMap<net::SocketAddr, Vec<Link>>>,
}

/// One connection; dropping it closes it.
#[derive(Debug)]
pub(crate) struct Link {
    sender: http1::SendRequest<Full<Bytes>>,
    address: net::SocketAddr,
    idle_until: time::Instant,
}

/// An answer's head and body, and the connection that it came on.
#[derive(Debug)]
pub(crate) struct Answered {
    pub(crate) response: Response<body::Incoming>,
    pub(crate) link: Link,
}

/// Why a request has no answer.
#[derive(Debug)]
pub(crate) enum SendError {
    /// No byte of the request was written.
    Unsent(String),
    /// The request may have reached the server.
    Broken(String),
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SendError::Unsent(err) => write!(f, "not sent: {err}"),
            SendError::Broken(err) => write!(f, "broke off: {err}"),
        }
    }
}

/// A server in reach accepts in milliseconds; one retransmission of the first packet is allowed.
const CONNECT_LIMIT: time::Duration = time::Duration::from_millis(1_300);
/// Bytes that are not acknowledged for this long break the connection.
const UNACKED_LIMIT: time::Duration = time::Duration::from_millis(2_500);
/// Pause before and between probes of a connection that carries nothing.
const PROBE_PERIOD: time::Duration = time::Duration::from_secs(1);
/// Probes without an answer that break the connection.
const PROBE_COUNT: u32 = 2;
/// Idle time after which a connection is not used again, unless the server allows more.
const IDLE_LIMIT: time::Duration = time::Duration::from_secs(3);
/// A server closes an idle connection up to this much before the time that it tells.
const IDLE_MARGIN: time::Duration = time::Duration::from_millis(900);
/// Idle connections kept to one server.
const MAX_IDLE: usize = 16;

impl Links {
    /// Sends `request` on an idle connection or a new one and waits for the answer's head.
    pub(crate) async fn send(
        &self,
        address: net::SocketAddr,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Answered, SendError> {
        if !request.headers().contains_key(header::HOST)
            && let Ok(host) = header::HeaderValue::from_str(&address.to_string())
        {
            request.headers_mut().insert(header::HOST, host);
        }
        while let Some(mut link) = self.take(address) {
            match link.send(request).await {
                Ok(response) => return Ok(Answered { response, link }),
                Err((Some(unsent), _)) => request = unsent,
                Err((None, err)) => return Err(SendError::Broken(err)),
            }
        }
        let mut link = dial(address).await.map_err(|err| SendError::Unsent(err.to_string()))?;
        match link.send(request).await {
            Ok(response) => Ok(Answered { response, link }),
            Err((Some(_), err)) => Err(SendError::Unsent(err)),
            Err((None, err)) => Err(SendError::Broken(err)),
        }
    }

    fn take(&self, address: net::SocketAddr) -> Option<Link> {
        let mut idle = locks::lock(&self.idle);
        let links = idle.get_mut(&address)?;
        let now = clock::now();
        // The newest first, so that surplus ones grow old.
        while let Some(link) = links.pop() {
            if link.idle_until > now && link.sender.is_ready() {
                return Some(link);
            }
        }
        None
    }

    /// Keeps a connection whose answer has been read whole.
    pub(crate) fn keep(&self, mut link: Link, told: Option<time::Duration>) {
        let limit = told.map_or(IDLE_LIMIT, |told| told.saturating_sub(IDLE_MARGIN));
        if link.sender.is_closed() || limit.is_zero() {
            return;
        }
        link.idle_until = clock::now() + limit;
        let mut idle = locks::lock(&self.idle);
        let links = idle.entry(link.address).or_default();
        links.push(link);
        if links.len() > MAX_IDLE {
            links.remove(0);
        }
    }

    /// Closes all idle connections: after a suspension nothing is known of them.
    pub(crate) fn drop_idle(&self) {
        locks::lock(&self.idle).clear();
    }

    /// Closes connections that have been idle for too long.
    pub(crate) fn sweep(&self) {
        let now = clock::now();
        let mut idle = locks::lock(&self.idle);
        for links in idle.values_mut() {
            links.retain(|link| link.idle_until > now && !link.sender.is_closed());
        }
        idle.retain(|_, links| !links.is_empty());
    }
}

impl Link {
    async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<body::Incoming>, (Option<Request<Full<Bytes>>>, String)> {
        if let Err(err) = self.sender.ready().await {
            return Err((Some(request), err.to_string()));
        }
        self.sender.try_send_request(request).await.map_err(|mut err| {
            let unsent = err.take_message();
            (unsent, err.into_error().to_string())
        })
    }
}

async fn dial(address: net::SocketAddr) -> io::Result<Link> {
    let connecting = tokio::time::timeout(CONNECT_LIMIT, tcp::TcpStream::connect(address));
    let stream = connecting.await.map_err(|_| io::Error::other("connecting took too long"))??;
    set_options(&stream)?;
    // A request that is given up must not arrive once a cut has healed: closing discards it.
    socket2::SockRef::from(&stream).set_linger(Some(time::Duration::ZERO))?;
    let (sender, connection) =
        http1::handshake(rt::TokioIo::new(stream)).await.map_err(io::Error::other)?;
    tokio::spawn(async move {
        if let Err(err) = connection.await {
            tracing::debug!("edge: connection to {address} ended: {err}");
        }
    });
    Ok(Link { sender, address, idle_until: clock::now() })
}

/// Makes a connection that has gone silent fail instead of hang.
pub(crate) fn set_options(stream: &tcp::TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKED_LIMIT))?;
    let probes = socket2::TcpKeepalive::new()
        .with_time(PROBE_PERIOD)
        .with_interval(PROBE_PERIOD)
        .with_retries(PROBE_COUNT);
    socket.set_tcp_keepalive(&probes)
}

/// How long the server keeps the connection of this answer.
pub(crate) fn told_limit(response: &Response<body::Incoming>) -> Option<time::Duration> {
    response::idle_limit(response.headers())
}
