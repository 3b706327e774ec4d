//! Requests to the entries of a platform deployment, and their responses.

use std::{net, time};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{HeaderMap, Method, Response, body, header};

use rhubarb_fakes::caller;
use rhubarb_node::client;

/// Host that the default routes of a site match.
pub const HOST: &str = "x.example";
/// Timeout of a request; longer than the timeout of any route.
pub(crate) const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(20);
/// Maximum size of a response body in bytes; a longer one counts as cut off.
const MAX_BODY_BYTES: usize = 1 << 20;

/// A request to an entry.
#[derive(Clone, Copy, Debug)]
pub struct Call<'a> {
    /// Path and query.
    pub path: &'a str,
    /// Attempt id that the request carries.
    pub attempt: &'a str,
    /// Request body.
    pub body: &'a str,
    /// Extra headers; they replace default headers of the same name.
    pub headers: &'a [(&'a str, &'a str)],
}

impl Call<'_> {
    /// Sends the request to `address` and reads the response.
    ///
    /// # Errors
    /// Returns an error if no response head arrives.
    pub async fn send(
        &self,
        client: &client::Client,
        method: Method,
        address: net::SocketAddr,
    ) -> Result<Reply, client::CallError> {
        let start = time::Instant::now();
        let (head, body) = self.open(client, method, address).await?.into_parts();
        let head_after = start.elapsed();
        let mut received = Vec::new();
        let reading = read(body, &mut received);
        let is_whole = tokio::time::timeout(CALL_TIMEOUT, reading).await.unwrap_or(false);
        let received = String::from_utf8_lossy(&received).into_owned();
        Ok(Reply {
            status: head.status.as_u16(),
            headers: head.headers,
            head_after,
            body: is_whole.then(|| received.clone()),
            received,
            elapsed: start.elapsed(),
        })
    }

    /// Sends the request to `address` and reads the response, also one that is cut off.
    ///
    /// # Errors
    /// Returns an error if no response head arrives.
    pub async fn receive(
        &self,
        client: &client::Client,
        method: Method,
        address: net::SocketAddr,
    ) -> Result<Received, client::CallError> {
        let (head, body) = self.open(client, method, address).await?.into_parts();
        let mut text = Vec::new();
        let reading = read(body, &mut text);
        let is_whole = tokio::time::timeout(CALL_TIMEOUT, reading).await.unwrap_or(false);
        let text = String::from_utf8_lossy(&text).into_owned();
        Ok(Received { status: head.status.as_u16(), headers: head.headers, text, is_whole })
    }

    async fn open(
        &self,
        client: &client::Client,
        method: Method,
        address: net::SocketAddr,
    ) -> Result<Response<body::Incoming>, client::CallError> {
        let url = format!("http://{address}{}", self.path);
        let mut request = client::request(method, &url, Bytes::from(self.body.to_string()))?;
        let [id, usage] = caller::headers(self.attempt);
        for (name, value) in [("host", HOST), id, usage].iter().chain(self.headers) {
            let name: header::HeaderName = name.parse().expect("header name is valid");
            let value = value.parse().expect("header value is valid");
            request.headers_mut().insert(name, value);
        }
        client.send(request, CALL_TIMEOUT).await
    }
}

/// A response with all of its body that arrived.
#[derive(Clone, Debug)]
pub struct Received {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Body as far as it arrived.
    pub text: String,
    /// Whether the body looks complete.
    pub is_whole: bool,
}

// Appends a body to `received` as it arrives; whether it was complete.
async fn read(mut body: body::Incoming, received: &mut Vec<u8>) -> bool {
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return false };
        received.extend(frame.into_data().unwrap_or_default());
        if received.len() > MAX_BODY_BYTES {
            return false;
        }
    }
    true
}

/// A response whose body is complete or was cut off.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Time from sending the request to the head of the response.
    pub head_after: time::Duration,
    /// Response body; `None` if it was cut off.
    pub body: Option<String>,
    /// What arrived of the body.
    pub received: String,
    /// Time from sending the request to the end of the response.
    pub elapsed: time::Duration,
}

impl Reply {
    /// Whether the entry itself generated the response, rather than a backend server.
    pub fn is_local(&self) -> bool {
        !caller::is_from_server(&self.headers)
    }
}
