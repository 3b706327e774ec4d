//! HTTP server shared by all binaries.

use std::{convert, future, io, net, pin, sync, time};

use hyper::{Request, Response, body, header, server::conn::http1, service};
use hyper_util::rt;
use tokio::{net as tokio_net, sync as tokio_sync};

use crate::{activity, clock, connections, response};

/// Limits of an HTTP server.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Number of concurrent connections to keep, see [`connections::Connections`].
    pub connections: usize,
    /// Timeout for reading the headers of a request.
    pub header_timeout: time::Duration,
    /// Maximum size of the headers in bytes.
    pub header_bytes: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            connections: 4096,
            header_timeout: time::Duration::from_secs(10),
            header_bytes: 32 * 1024,
        }
    }
}

const BIND_ATTEMPTS: u32 = 20;
/// Timeout for the headers on a connection accepted during a shutdown or beyond the limit.
const LATE_TIMEOUT: time::Duration = time::Duration::from_millis(500);
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(50);

/// Binds a TCP listener to `address`.
///
/// # Errors
/// Returns an error that names the address.
pub async fn bind(address: net::SocketAddr) -> anyhow::Result<tokio_net::TcpListener> {
    tokio_net::TcpListener::bind(address).await.map_err(|err| {
        anyhow::anyhow!("cannot listen on {address}: {err}; choose a free address in the settings")
    })
}

/// Binds TCP and UDP to the same port, so that one address identifies a process.
///
/// With port 0 it tries another port if the one assigned to TCP is in use for UDP.
///
/// # Errors
/// Returns an error that names the address.
pub async fn bind_tcp_and_udp(
    address: net::SocketAddr,
) -> anyhow::Result<(tokio_net::TcpListener, tokio_net::UdpSocket)> {
    for _ in 0..BIND_ATTEMPTS {
        let listener = bind(address).await?;
        match tokio_net::UdpSocket::bind(listener.local_addr()?).await {
            Ok(udp) => return Ok((listener, udp)),
            Err(_) if address.port() == 0 => {}
            Err(err) => anyhow::bail!("cannot listen on UDP {address}: {err}; choose a free port"),
        }
    }
    anyhow::bail!("no port is free for both TCP and UDP; choose one in the settings")
}

/// Serves HTTP/1.1 on `listener` until the future is dropped.
pub async fn serve<H, F>(listener: tokio_net::TcpListener, limits: Limits, handler: H)
where
    H: Fn(Request<body::Incoming>) -> F + Clone + Send + Sync + 'static,
    F: future::Future<Output = Response<response::Body>> + Send + 'static,
{
    let (_sender, shutdown) = tokio_sync::watch::channel(false);
    let connections = connections::Connections::new(limits.connections);
    serve_with_shutdown(listener, limits, connections, shutdown, handler).await;
}

/// Serves like [`serve`] and takes connections as `connections` allows; once `shutdown` is true, busy
/// connections close after the request in flight, idle ones at once and new ones after one request.
pub async fn serve_with_shutdown<H, F>(
    listener: tokio_net::TcpListener,
    limits: Limits,
    connections: connections::Connections,
    shutdown: tokio_sync::watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(Request<body::Incoming>) -> F + Clone + Send + Sync + 'static,
    F: future::Future<Output = Response<response::Body>> + Send + 'static,
{
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(err) => {
                tracing::warn!("http: accept failed: {err}");
                // Descriptors may be short.
                connections.close_longest_idle(clock::now());
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let place = connections.take().await;
        let (handler, shutdown, connections) =
            (handler.clone(), shutdown.clone(), connections.clone());
        tokio::spawn(async move {
            let is_late = place.is_extra || *shutdown.borrow();
            let connection = Connection { activity: place.activity.clone(), is_late };
            let is_tight = move || connections.is_tight();
            let served = connection.serve(stream, limits, shutdown, handler, is_tight).await;
            if let Err(err) = served {
                tracing::debug!("http: connection ended: {err}");
            }
            drop(place);
        });
    }
}

/// Address of the peer that sent a request, in the request's extensions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Peer(pub net::SocketAddr);

/// Serves HTTP/1.1 on one connection until it ends, with `shutdown` as in [`serve_with_shutdown`].
///
/// # Errors
/// Returns an error if the connection breaks or the client violates the protocol.
pub async fn serve_connection<H, F>(
    stream: tokio_net::TcpStream,
    limits: Limits,
    shutdown: tokio_sync::watch::Receiver<bool>,
    handler: H,
) -> Result<(), hyper::Error>
where
    H: Fn(Request<body::Incoming>) -> F,
    F: future::Future<Output = Response<response::Body>>,
{
    let is_late = *shutdown.borrow();
    let activity = sync::Arc::new(activity::Activity::new(clock::now()));
    Connection { activity, is_late }.serve(stream, limits, shutdown, handler, || false).await
}

struct Connection {
    activity: sync::Arc<activity::Activity>,
    // Whether it is for one request only.
    is_late: bool,
}

impl Connection {
    // Serves requests until the connection ends. Answers close it while `is_tight`.
    async fn serve<H, F>(
        self,
        stream: tokio_net::TcpStream,
        limits: Limits,
        mut shutdown: tokio_sync::watch::Receiver<bool>,
        handler: H,
        is_tight: impl Fn() -> bool,
    ) -> Result<(), hyper::Error>
    where
        H: Fn(Request<body::Incoming>) -> F,
        F: future::Future<Output = Response<response::Body>>,
    {
        let _ = set_nodelay(&stream);
        let peer = stream.peer_addr().ok().map(Peer);
        let activity = &self.activity;
        let service = service::service_fn(|mut request| {
            let (answering, version) = (activity.begin(), request.version());
            if let Some(peer) = peer {
                request.extensions_mut().insert(peer);
            }
            let response = handler(request);
            let is_tight = &is_tight;
            async move {
                let mut response = response.await;
                if is_tight() || activity.is_closing() {
                    let close = header::HeaderValue::from_static("close");
                    response.headers_mut().insert(header::CONNECTION, close);
                }
                let body = |body| activity::Body::new(body, answering, version);
                Ok::<_, convert::Infallible>(response.map(body))
            }
        });
        let mut builder = http1::Builder::new();
        builder
            .timer(rt::TokioTimer::new())
            .header_read_timeout(limits.header_timeout)
            .max_buf_size(limits.header_bytes);
        if self.is_late {
            // Its first request may not have arrived yet, and gets an answer instead of a closed
            // connection.
            builder.keep_alive(false).header_read_timeout(limits.header_timeout.min(LATE_TIMEOUT));
        }
        let socket = activity::Socket { stream, activity: activity.clone() };
        let connection = builder.serve_connection(rt::TokioIo::new(socket), service);
        if self.is_late {
            return connection.await;
        }
        let mut connection = pin::pin!(connection);
        tokio::select! {
            biased;
            ended = &mut connection => return ended,
            // The socket is closed as the connection is dropped.
            () = activity.wait_closed() => return Ok(()),
            _ = shutdown.wait_for(|shutdown| *shutdown) => connection.as_mut().graceful_shutdown(),
        }
        connection.await
    }
}

fn set_nodelay(stream: &tokio_net::TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)
}
