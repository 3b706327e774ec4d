//! HTTP client for the platform and for backend servers.

use std::{fmt, pin, time};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, Response, StatusCode, body, header};
use hyper_util::{client::legacy, rt};

use crate::response;

/// Why a request has no complete response.
#[derive(Debug)]
pub enum CallError {
    /// The connection failed, so the request did not reach the server.
    Unreachable(String),
    /// The request was sent, and the response is missing or incomplete.
    Interrupted(String),
    /// The request was sent, and the response did not complete within the timeout.
    TimedOut(time::Duration),
    /// The response began, and no more of it arrived for a while.
    Stalled {
        /// Time without any bytes.
        pause: time::Duration,
        /// Bytes of the body that had arrived.
        received: usize,
    },
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallError::Unreachable(err) => {
                write!(f, "cannot connect: {err}; check that the server is running at this address")
            }
            CallError::Interrupted(err) => {
                write!(f, "connection lost before the response was complete: {err}; try again")
            }
            CallError::TimedOut(timeout) => {
                write!(f, "no response within {timeout:?}; check whether the server is overloaded")
            }
            CallError::Stalled { pause, received } => {
                write!(f, "nothing within {pause:?} after {received} bytes; check the link")
            }
        }
    }
}

impl std::error::Error for CallError {}

/// HTTP client, with or without a connection pool.
///
/// HTTP/1.1 has no request ids: an answer on a kept connection belongs to a request only if the
/// server answers each request once. A server that answers one twice, the second time late, gives
/// that answer to the next request on the connection. Where answers carry nothing that shows whose
/// they are, use a client that sends one request on each connection.
#[derive(Clone, Debug)]
pub struct Client {
    inner: legacy::Client<legacy::connect::HttpConnector, Full<Bytes>>,
    // Whether servers are asked to close the connection after their answer, so that its port is
    // kept by the server for a while, not here.
    server_closes: bool,
}

/// Response with its whole body.
#[derive(Clone, Debug)]
pub struct FullResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: hyper::HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Idle time after which a connection is not reused, the default of the client library.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(90);
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Idle time before the first keepalive probe, and interval between probes.
const PROBE_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Consecutive unanswered probes after which a connection fails.
const MAX_PROBES: u32 = 2;
/// A connection fails when sent data stays unacknowledged, or the peer takes no data, for this long:
/// shortly before the last unanswered probe of an idle connection would fail it.
const UNACKED_TIMEOUT: time::Duration = time::Duration::from_millis(2_500);
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;
/// Time after which a response is given up although more of it arrives.
const TRANSFER_TIMEOUT: time::Duration = time::Duration::from_secs(20);

impl Default for Client {
    fn default() -> Client {
        Client::new()
    }
}

impl Client {
    /// Creates a client that keeps connections open for further requests.
    pub fn new() -> Client {
        Client::with_idle_timeout(IDLE_TIMEOUT)
    }

    /// Creates a client that reuses connections that have been idle for at most `timeout`.
    pub fn with_idle_timeout(timeout: time::Duration) -> Client {
        // By default the client resends a request only if its pooled connection closed before any
        // byte was written, so a request runs at most once.
        let mut builder = legacy::Client::builder(rt::TokioExecutor::new());
        builder.pool_idle_timeout(timeout);
        Client { inner: builder.build(probed_connector()), server_closes: false }
    }

    /// Creates a client that opens a connection for each request, so that no answer to one request
    /// is taken for that to another.
    pub fn single_use() -> Client {
        Client { inner: single_use_builder().build(probed_connector()), server_closes: true }
    }

    /// Creates a client for a server on the same machine, which opens a connection for each request.
    ///
    /// Such a connection does not go silent unless the server pauses, and a server may leave a
    /// request unread for a while, so only the timeout of a request ends it.
    pub fn for_local() -> Client {
        Client { inner: single_use_builder().build(connector()), server_closes: false }
    }

    /// Sends `request` and returns the response once its head has arrived, within `timeout`.
    ///
    /// # Errors
    /// Returns an error that says whether the request can have reached the server.
    pub async fn send(
        &self,
        mut request: Request<Full<Bytes>>,
        timeout: time::Duration,
    ) -> Result<Response<body::Incoming>, CallError> {
        if self.server_closes {
            let close = header::HeaderValue::from_static("close");
            request.headers_mut().insert(header::CONNECTION, close);
        }
        match within(timeout, self.inner.request(request)).await {
            None => Err(CallError::TimedOut(timeout)),
            Some(Err(err)) if err.is_connect() => Err(CallError::Unreachable(describe(&err))),
            Some(Err(err)) => Err(CallError::Interrupted(describe(&err))),
            Some(Ok(response)) => Ok(response),
        }
    }

    /// Sends `request` and reads the whole response, within `timeout`.
    ///
    /// # Errors
    /// Returns an error that says whether the request can have reached the server.
    pub async fn fetch(
        &self,
        request: Request<Full<Bytes>>,
        timeout: time::Duration,
    ) -> Result<FullResponse, CallError> {
        let whole = async {
            let response = self.send(request, timeout).await?;
            let (head, body) = response.into_parts();
            let body = response::read_body(body, MAX_RESPONSE_BYTES).await;
            let body = body.map_err(|err| CallError::Interrupted(err.to_string()))?;
            Ok(FullResponse { status: head.status, headers: head.headers, body })
        };
        tokio::time::timeout(timeout, whole).await.unwrap_or(Err(CallError::TimedOut(timeout)))
    }

    /// Sends a `GET` request to `url`.
    ///
    /// # Errors
    /// Returns an error as [`Client::fetch`] does.
    pub async fn get(&self, url: &str, timeout: time::Duration) -> Result<FullResponse, CallError> {
        self.fetch(request(Method::GET, url, Bytes::new())?, timeout).await
    }

    /// Sends a `POST` request with a JSON body to `url`.
    ///
    /// # Errors
    /// Returns an error as [`Client::fetch`] does.
    pub async fn post_json(
        &self,
        url: &str,
        content: &serde_json::Value,
        timeout: time::Duration,
    ) -> Result<FullResponse, CallError> {
        self.fetch(json_request(url, content)?, timeout).await
    }
}

/// Reads the body of a response that has begun. Any number of bytes may take their time on a slow link:
/// the response is given up when none have arrived for `pause`.
///
/// # Errors
/// Returns an error if the body ends early, stalls or is too long.
pub async fn receive(
    response: Response<body::Incoming>,
    pause: time::Duration,
) -> Result<FullResponse, CallError> {
    let (head, mut body) = response.into_parts();
    let mut received = BytesMut::new();
    let whole = async {
        loop {
            let frame = within(pause, body.frame()).await;
            let stalled = CallError::Stalled { pause, received: received.len() };
            let Some(frame) = frame.ok_or(stalled)? else { return Ok(()) };
            let frame = frame.map_err(|err| CallError::Interrupted(describe(&err)))?;
            received.extend_from_slice(frame.data_ref().unwrap_or(&Bytes::new()));
            if received.len() > MAX_RESPONSE_BYTES {
                let err = response::BodyError::TooLarge(MAX_RESPONSE_BYTES);
                return Err(CallError::Interrupted(err.to_string()));
            }
        }
    };
    let whole = tokio::time::timeout(TRANSFER_TIMEOUT, whole).await;
    whole.unwrap_or(Err(CallError::TimedOut(TRANSFER_TIMEOUT)))?;
    Ok(FullResponse { status: head.status, headers: head.headers, body: received.freeze() })
}

// Waits for a result for `limit` at most. After a time in which this process did not run, the result may be
// there and not read yet, so that the second half begins only when the first one is over.
async fn within<F: Future>(limit: time::Duration, result: F) -> Option<F::Output> {
    let mut result = pin::pin!(result);
    for _ in 0..2 {
        if let Ok(result) = tokio::time::timeout(limit / 2, result.as_mut()).await {
            return Some(result);
        }
    }
    None
}

fn connector() -> legacy::connect::HttpConnector {
    let mut connector = legacy::connect::HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    // Detects connections that went silent without a reset, also while a response is awaited.
    connector.set_keepalive(Some(PROBE_INTERVAL));
    connector.set_keepalive_interval(Some(PROBE_INTERVAL));
    connector.set_keepalive_retries(Some(MAX_PROBES));
    connector
}

// No probes are sent while data is unacknowledged, so that time is limited too.
fn probed_connector() -> legacy::connect::HttpConnector {
    let mut connector = connector();
    connector.set_tcp_user_timeout(Some(UNACKED_TIMEOUT));
    connector
}

fn single_use_builder() -> legacy::Builder {
    let mut builder = legacy::Client::builder(rt::TokioExecutor::new());
    builder.pool_max_idle_per_host(0);
    builder
}

/// Builds a request.
///
/// # Errors
/// Returns an error for a malformed URL.
pub fn request(
    method: Method,
    url: &str,
    content: Bytes,
) -> Result<Request<Full<Bytes>>, CallError> {
    let built = Request::builder().method(method).uri(url).body(Full::new(content));
    built.map_err(|err| CallError::Unreachable(err.to_string()))
}

/// Builds a `POST` request with a JSON body.
///
/// # Errors
/// Returns an error for a malformed URL.
pub fn json_request(
    url: &str,
    content: &serde_json::Value,
) -> Result<Request<Full<Bytes>>, CallError> {
    let mut request = request(Method::POST, url, content.to_string().into())?;
    let content_type = header::HeaderValue::from_static("application/json");
    request.headers_mut().insert(header::CONTENT_TYPE, content_type);
    Ok(request)
}

fn describe(err: &dyn std::error::Error) -> String {
    let mut text = err.to_string();
    let mut source = err.source();
    while let Some(err) = source {
        text = format!("{text}: {err}");
        source = err.source();
    }
    text
}
