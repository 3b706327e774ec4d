//! Connections to backend servers.

use std::{collections, fmt, io, net, sync, time};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{HeaderMap, Request, Response, body, header};
use prometheus_client::metrics::{counter, histogram};

use rhubarb_core::{exchanges, identity};
use rhubarb_node::{clock, locks};
use rhubarb_platform::{engine, request, response};

use crate::{buffer, connection, directory};

/// Idle connections by server address.
#[derive(Debug)]
pub(crate) struct ConnectionPool {
    /// Memory for the bodies of responses.
    pub(crate) buffers: buffer::Buffers,
    // Counts responses that belong to another request than the one they were received for.
    strays: counter::Counter,
    // Times of the questions which process answers.
    questions: histogram::Histogram,
    idle: sync::Mutex<collections::BTreeMap<net::SocketAddr, Vec<connection::Connection>>>,
    // Servers that answered twice, and until when no connection to them is used again.
    stuttering: sync::Mutex<collections::BTreeMap<net::SocketAddr, time::Instant>>,
}

/// What is about to be sent to a process that has to be the registered one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Sending {
    /// The request, on a connection whose process is known.
    Known,
    /// The question which process it is, before the request.
    Question,
    /// The request, after that question.
    Asked,
}

/// Response whose body has not been read yet, and its connection.
#[derive(Debug)]
pub(crate) struct PendingResponse {
    pub(crate) response: Response<body::Incoming>,
    pub(crate) connection: connection::Connection,
}

// Result of sending a request on idle connections.
enum Idle {
    Done(Result<PendingResponse, SendError>),
    // None is fit.
    None(Request<Full<Bytes>>),
}

/// Reason why a request got no response.
#[derive(Debug)]
pub(crate) enum SendError {
    /// No byte of the request was written.
    Unsent(String),
    /// No byte was written, since the server is leaving.
    Leaving,
    /// No byte was written, since another process of the server answers than the registered one.
    Replaced,
    /// No byte was written, since the server has asked for a pause.
    Paused,
    /// No byte was written, since this entry's part of the server's limit is used up.
    Limited,
    /// No byte was written, since the request crashes servers.
    Rejected,
    /// No byte was written, since the lease that the request needs has expired, or its answer could not
    /// return in time.
    Expired,
    /// The connection was lost, or carried the response to another request, after the request may
    /// have reached the server.
    ConnectionLost(String),
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SendError::Unsent(err) => write!(f, "not sent: {err}"),
            SendError::Leaving => f.write_str("not sent: the server is leaving"),
            SendError::Replaced => f.write_str("not sent: the server has started again"),
            SendError::Paused => f.write_str("not sent: the server has asked for a pause"),
            SendError::Limited => f.write_str("not sent: the server limits its requests"),
            SendError::Rejected => f.write_str("not sent: the request crashes servers"),
            SendError::Expired => f.write_str("not sent: its time has passed"),
            SendError::ConnectionLost(err) => write!(f, "connection lost: {err}"),
        }
    }
}

/// Maximum size of the response to a probe, in bytes.
const MAX_PROBE_BYTES: usize = 1 << 20;
/// Timeout of a probe. A server answers within milliseconds, or later if its machine is slow: then the
/// request behind the probe would take longer as well.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);
/// Timeout of the check whether a server's port is closed; a server that is up accepts and one that
/// has crashed refuses within milliseconds.
const REFUSAL_TIMEOUT: time::Duration = time::Duration::from_millis(300);
/// Time from the end of the connections of a process that was killed to that of its port.
const EXIT_TIME: time::Duration = time::Duration::from_millis(20);
/// Longest time for which an idle connection is kept. Shorter than the time to the first probe: where
/// probes stay unanswered, the system may give a connection up just after a request was written to it,
/// without a reset, and the request may arrive once the network works again.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_millis(900);
/// Subtracted from an advertised idle timeout, since a server may close a connection this much
/// earlier.
const IDLE_MARGIN: time::Duration = time::Duration::from_millis(900);
/// Time for which no connection is used twice to a server that answered twice: the request that
/// meets a late answer is lost, though no other request gets that answer.
const STUTTER_TTL: time::Duration = time::Duration::from_secs(30);
/// Maximum number of idle connections per server.
const MAX_IDLE: usize = 16;

impl ConnectionPool {
    /// Creates an empty pool, which counts responses to other requests with `strays`, and measures the time
    /// of `questions` which process answers.
    pub(crate) fn new(strays: counter::Counter, questions: histogram::Histogram) -> ConnectionPool {
        let (idle, stuttering) = (sync::Mutex::default(), sync::Mutex::default());
        ConnectionPool {
            buffers: buffer::Buffers::new(buffer::LARGE_BYTES),
            strays,
            questions,
            idle,
            stuttering,
        }
    }

    /// Sends `request` on an idle or a new connection and waits for the head of the response.
    ///
    /// `permit` is asked when a connection is open, just before the request is written; its error is
    /// the result.
    pub(crate) async fn send(
        &self,
        address: net::SocketAddr,
        mut request: Request<Full<Bytes>>,
        permit: impl Fn() -> Result<(), SendError>,
    ) -> Result<PendingResponse, SendError> {
        set_host(&mut request, address);
        let proof = request::response_proof(&request);
        let is_fit = |_: &connection::Connection| true;
        match self.send_idle(address, request, is_fit, &permit).await {
            Idle::Done(result) => return result,
            Idle::None(unsent) => request = unsent,
        }
        let mut connection = connection::connect(address, &self.buffers)
            .await
            .map_err(|err| SendError::Unsent(err.to_string()))?;
        permit()?;
        match connection.send(request, proof).await {
            Ok(response) => Ok(PendingResponse { response, connection }),
            Err(failure) => Err(self.lost(address, failure)),
        }
    }

    /// Sends `request` to the registered process of an engine, or to nobody: on a connection that is known
    /// to lead to it, or on one whose process has been asked.
    ///
    /// `permit` is asked before the question and before the request, with what it is for; its error is the
    /// result. `observe` is given the answers to questions.
    pub(crate) async fn send_to(
        &self,
        target: &directory::Target,
        mut request: Request<Full<Bytes>>,
        permit: impl Fn(Sending) -> Result<(), SendError>,
        observe: impl Fn(&Response<body::Incoming>),
    ) -> Result<PendingResponse, SendError> {
        let (address, registered) = (target.address, target.process.1);
        set_host(&mut request, address);
        let proof = request::response_proof(&request);
        let passes = |connection: &connection::Connection| {
            connection.peer.check(registered) == identity::Check::Pass
        };
        match self.send_idle(address, request, passes, || permit(Sending::Known)).await {
            Idle::Done(result) => return result,
            Idle::None(unsent) => request = unsent,
        }
        permit(Sending::Question)?;
        let mut connection = self.identify(target, proof, observe).await?;
        if connection.peer.check(registered) == identity::Check::Replaced {
            self.put_back(connection, None);
            return Err(SendError::Replaced);
        }
        permit(Sending::Asked)?;
        match connection.send(request, proof).await {
            Ok(response) => Ok(PendingResponse { response, connection }),
            Err(failure) => Err(self.lost(address, failure)),
        }
    }

    // Sends a request on an idle connection that is fit, if there is one.
    async fn send_idle(
        &self,
        address: net::SocketAddr,
        mut request: Request<Full<Bytes>>,
        is_fit: impl Fn(&connection::Connection) -> bool,
        permit: impl Fn() -> Result<(), SendError>,
    ) -> Idle {
        let proof = request::response_proof(&request);
        while let Some(mut connection) = self.checkout(address, proof, &is_fit) {
            if let Err(err) = permit() {
                self.keep_idle(connection);
                return Idle::Done(Err(err));
            }
            match connection.send(request, proof).await {
                Ok(response) => return Idle::Done(Ok(PendingResponse { response, connection })),
                Err(connection::SendFailure::Unsent(unsent, _)) => request = *unsent,
                Err(failure) => return Idle::Done(Err(self.lost(address, failure))),
            }
        }
        Idle::None(request)
    }

    // A connection for a request with `proof`, whose process has been asked.
    async fn identify(
        &self,
        target: &directory::Target,
        proof: exchanges::Proof,
        observe: impl Fn(&Response<body::Incoming>),
    ) -> Result<connection::Connection, SendError> {
        let is_unknown =
            |connection: &connection::Connection| connection.peer == identity::Peer::Unknown;
        // One that has gone silent is replaced by a new one, as the others may have.
        if let Some(mut connection) = self.checkout(target.address, proof, is_unknown)
            && let Some(peer) = self.ask(&mut connection, target, &observe).await
        {
            connection.peer = peer;
            return Ok(connection);
        }
        let connecting = async || {
            let connecting = connection::connect(target.address, &self.buffers).await;
            connecting.map_err(|err| SendError::Unsent(err.to_string()))
        };
        let mut connection = connecting().await?;
        // Where answers may come twice, another connection shows that the process has run since this one
        // was opened.
        let peer = match self.is_stuttering(target.address) {
            true => self.ask(&mut connecting().await?, target, &observe).await,
            false => self.ask(&mut connection, target, &observe).await,
        };
        let unread = || SendError::Unsent("the state of the server was not read".to_string());
        connection.peer = peer.ok_or_else(unread)?;
        Ok(connection)
    }

    // Asks an engine on a connection which process it is.
    async fn ask(
        &self,
        connection: &mut connection::Connection,
        target: &directory::Target,
        observe: impl Fn(&Response<body::Incoming>),
    ) -> Option<identity::Peer> {
        let mut probe = engine::identity_request(&target.id);
        set_host(&mut probe, target.address);
        let asked_at = clock::now();
        let asking = async {
            let proof = request::response_proof(&probe);
            let response =
                connection.send(probe, proof).await.map_err(connection::SendFailure::into_text)?;
            observe(&response);
            let status = response.status();
            let body = self.buffers.read(&mut response.into_body(), MAX_PROBE_BYTES).await;
            let body = body.map_err(|err| err.to_string())?;
            match status.is_success() {
                true => engine::read_report(&body).map_err(|err| err.to_string()),
                false => Err(status.to_string()),
            }
        };
        let answer = tokio::time::timeout(PROBE_TIMEOUT, asking).await;
        self.questions.observe((clock::now() - asked_at).as_secs_f64());
        match answer.unwrap_or_else(|_| Err("no answer in time".to_string())) {
            Ok(state) => Some(identity::Peer::Said(state.started_ms)),
            Err(err) => {
                let requests = connection.requests;
                tracing::info!(
                    server = target.id,
                    err,
                    requests,
                    "edge: engine has not said which process it is"
                );
                None
            }
        }
    }

    fn lost(&self, address: net::SocketAddr, failure: connection::SendFailure) -> SendError {
        match failure {
            connection::SendFailure::Unsent(_, err) => SendError::Unsent(err),
            connection::SendFailure::Sent(err) => SendError::ConnectionLost(err),
            connection::SendFailure::Stray => {
                self.strays.inc();
                locks::lock(&self.stuttering).insert(address, clock::now() + STUTTER_TTL);
                SendError::ConnectionLost("the response belongs to another request".to_string())
            }
        }
    }

    // Takes the most recently used connection that is fit, so that surplus connections expire. A response
    // with this proof would be told from all earlier ones on it.
    fn checkout(
        &self,
        address: net::SocketAddr,
        proof: exchanges::Proof,
        is_fit: impl Fn(&connection::Connection) -> bool,
    ) -> Option<connection::Connection> {
        if self.is_stuttering(address) {
            return None;
        }
        let mut idle = locks::lock(&self.idle);
        let connections = idle.get_mut(&address)?;
        let now = clock::now();
        connections
            .retain(|connection| connection.idle_until > now && connection.sender.is_ready());
        let admits = |connection: &connection::Connection| connection.exchanges.admits(proof);
        let fit = connections.iter().rposition(|known| admits(known) && is_fit(known))?;
        Some(connections.remove(fit))
    }

    // Whether a server answered twice a short time ago.
    fn is_stuttering(&self, address: net::SocketAddr) -> bool {
        locks::lock(&self.stuttering).contains_key(&address)
    }

    /// Whether a server refuses connections, as it does after a crash.
    pub(crate) async fn is_refused(&self, address: net::SocketAddr) -> bool {
        let refused = |err: io::Error| err.kind() == io::ErrorKind::ConnectionRefused;
        self.try_connect(address).await.err().is_some_and(refused)
    }

    /// Whether a response with these headers, which has been read to its end, was cut off there. The
    /// system closes the connections of a process that was killed like those of an answer that has
    /// ended, and its port just before or after them.
    pub(crate) async fn is_cut_off(&self, address: net::SocketAddr, headers: &HeaderMap) -> bool {
        !response::has_marked_end(headers) && self.is_closed(address).await
    }

    /// Whether the port of a server is closed whose connections have just ended.
    pub(crate) async fn is_closed(&self, address: net::SocketAddr) -> bool {
        if self.is_refused(address).await {
            return true;
        }
        tokio::time::sleep(EXIT_TIME).await;
        self.is_refused(address).await
    }

    /// Whether a server accepts connections.
    pub(crate) async fn is_accepted(&self, address: net::SocketAddr) -> bool {
        self.try_connect(address).await.is_ok()
    }

    // Connects to a server; the connection goes to the pool.
    async fn try_connect(&self, address: net::SocketAddr) -> io::Result<()> {
        let connection =
            tokio::time::timeout(REFUSAL_TIMEOUT, connection::connect(address, &self.buffers))
                .await??;
        self.put_back(connection, None);
        Ok(())
    }

    /// Returns a connection to the pool after its response was read to the end.
    pub(crate) fn put_back(
        &self,
        mut connection: connection::Connection,
        idle_timeout: Option<time::Duration>,
    ) {
        let advertised = idle_timeout.map(|timeout| timeout.saturating_sub(IDLE_MARGIN));
        let timeout = advertised.unwrap_or(IDLE_TIMEOUT).min(IDLE_TIMEOUT);
        let is_full = connection.exchanges.is_full();
        if connection.sender.is_closed() || timeout.is_zero() || is_full {
            return;
        }
        connection.idle_until = clock::now() + timeout;
        if self.is_stuttering(connection.address) {
            return;
        }
        self.keep_idle(connection);
    }

    fn keep_idle(&self, connection: connection::Connection) {
        let mut idle = locks::lock(&self.idle);
        let connections = idle.entry(connection.address).or_default();
        connections.push(connection);
        if connections.len() > MAX_IDLE {
            connections.remove(0);
        }
    }

    /// Closes all idle connections, whose state is unknown after a suspension of the process.
    pub(crate) fn drop_idle(&self) {
        locks::lock(&self.idle).clear();
    }

    /// Closes connections whose idle time has expired.
    pub(crate) fn sweep(&self) {
        let now = clock::now();
        locks::lock(&self.stuttering).retain(|_, until| now < *until);
        let mut idle = locks::lock(&self.idle);
        for connections in idle.values_mut() {
            connections
                .retain(|connection| connection.idle_until > now && !connection.sender.is_closed());
        }
        idle.retain(|_, connections| !connections.is_empty());
    }
}

// Names the server as the host, unless the request names another.
fn set_host(request: &mut Request<Full<Bytes>>, address: net::SocketAddr) {
    if !request.headers().contains_key(header::HOST)
        && let Ok(host) = header::HeaderValue::from_str(&address.to_string())
    {
        request.headers_mut().insert(header::HOST, host);
    }
}

/// Idle timeout that the server advertises for the connection of this response.
pub(crate) fn idle_timeout(response: &Response<body::Incoming>) -> Option<time::Duration> {
    response::idle_timeout(response.headers())
}
