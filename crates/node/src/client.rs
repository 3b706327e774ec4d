//! HTTP client for the platform and for backend servers.

use std::{fmt, time};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, Response, StatusCode, body, header};
use hyper_util::{client::legacy, rt};

use crate::response;

/// Why a call has no answer.
#[derive(Debug)]
pub enum CallError {
    /// No connection could be made, so the call did not reach the server.
    Unreachable(String),
    /// The call was sent and its answer is missing or broken off.
    Interrupted(String),
    /// The call was sent and no answer came in time.
    TimedOut(time::Duration),
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallError::Unreachable(err) => {
                write!(f, "cannot connect: {err}; check that the server runs at this address")
            }
            CallError::Interrupted(err) => write!(f, "the answer broke off: {err}; try again"),
            CallError::TimedOut(timeout) => {
                write!(f, "no answer within {timeout:?}; check whether the server is overloaded")
            }
        }
    }
}

impl std::error::Error for CallError {}

/// HTTP client that keeps connections open.
#[derive(Clone, Debug)]
pub struct Client {
    inner: legacy::Client<legacy::connect::HttpConnector, Full<Bytes>>,
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct FullResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: hyper::HeaderMap,
    /// Body.
    pub body: Bytes,
}

const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(2);
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

impl Default for Client {
    fn default() -> Client {
        Client::new()
    }
}

impl Client {
    /// Makes a client.
    pub fn new() -> Client {
        let mut connector = legacy::connect::HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        // By default a call goes out again only if its pooled connection closed before any of it
        // was written, so it still runs at most once.
        let builder = legacy::Client::builder(rt::TokioExecutor::new());
        Client { inner: builder.build(connector) }
    }

    /// Sends `request` and returns the answer's head, within `limit`.
    ///
    /// # Errors
    /// Returns whether the call can have reached the server.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
        timeout: time::Duration,
    ) -> Result<Response<body::Incoming>, CallError> {
        match tokio::time::timeout(timeout, self.inner.request(request)).await {
            Err(_) => Err(CallError::TimedOut(timeout)),
            Ok(Err(err)) if err.is_connect() => Err(CallError::Unreachable(describe(&err))),
            Ok(Err(err)) => Err(CallError::Interrupted(describe(&err))),
            Ok(Ok(answer)) => Ok(answer),
        }
    }

    /// Sends `request` and reads the whole answer, within `limit`.
    ///
    /// # Errors
    /// Returns whether the call can have reached the server.
    pub async fn fetch(
        &self,
        request: Request<Full<Bytes>>,
        timeout: time::Duration,
    ) -> Result<FullResponse, CallError> {
        let whole = async {
            let answer = self.send(request, timeout).await?;
            let (head, body) = answer.into_parts();
            let body = response::read_body(body, MAX_RESPONSE_BYTES).await;
            let body =
                body.ok_or_else(|| CallError::Interrupted("body ended early".to_string()))?;
            Ok(FullResponse { status: head.status, headers: head.headers, body })
        };
        tokio::time::timeout(timeout, whole).await.unwrap_or(Err(CallError::TimedOut(timeout)))
    }

    /// Gets `url`.
    ///
    /// # Errors
    /// Returns an error as [`Client::fetch`] does.
    pub async fn get(&self, url: &str, timeout: time::Duration) -> Result<FullResponse, CallError> {
        self.fetch(request(Method::GET, url, Bytes::new())?, timeout).await
    }

    /// Posts JSON to `url`.
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

/// Makes a request.
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

/// Makes a `POST` of JSON.
///
/// # Errors
/// Returns an error for a malformed URL.
pub fn json_request(
    url: &str,
    content: &serde_json::Value,
) -> Result<Request<Full<Bytes>>, CallError> {
    let mut request = request(Method::POST, url, content.to_string().into())?;
    let kind = header::HeaderValue::from_static("application/json");
    request.headers_mut().insert(header::CONTENT_TYPE, kind);
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
