//! Requests to entries on the platform, and their answers.

use std::{net, time};

use bytes::Bytes;
use hyper::{HeaderMap, Method, header};

use rhubarb_fakes::caller;
use rhubarb_node::{client, response};

/// Host of the routes of a stand-in's config.
pub(crate) const HOST: &str = "x.example";
/// Longest time for a request, above all limits of the routes.
pub(crate) const CALL_LIMIT: time::Duration = time::Duration::from_secs(20);

/// A request to an entry.
#[derive(Clone, Copy, Debug)]
pub struct Call<'a> {
    /// Path and query.
    pub path: &'a str,
    /// Id of the request.
    pub attempt: &'a str,
    /// Body.
    pub body: &'a str,
    /// Headers beside the usual ones, or in their place.
    pub headers: &'a [(&'a str, &'a str)],
}

impl Call<'_> {
    /// Sends the request to `address` and reads its answer.
    ///
    /// # Errors
    /// Returns an error if there is no answer.
    pub async fn send(
        &self,
        client: &client::Client,
        method: Method,
        address: net::SocketAddr,
    ) -> Result<Reply, client::CallError> {
        let start = time::Instant::now();
        let url = format!("http://{address}{}", self.path);
        let mut request = client::request(method, &url, Bytes::from(self.body.to_string()))?;
        let [id, usage] = caller::headers(self.attempt);
        for (name, value) in [("host", HOST), id, usage].iter().chain(self.headers) {
            let name: header::HeaderName = name.parse().expect("tests name headers well");
            let value = value.parse().expect("tests write headers well");
            request.headers_mut().insert(name, value);
        }
        let (head, body) = client.send(request, CALL_LIMIT).await?.into_parts();
        let reading = response::read_body(body, 1 << 20);
        let body = tokio::time::timeout(CALL_LIMIT, reading).await.unwrap_or(None);
        Ok(Reply {
            status: head.status.as_u16(),
            headers: head.headers,
            body: body.map(|body| String::from_utf8_lossy(&body).into_owned()),
            taken: start.elapsed(),
        })
    }
}

/// A whole answer, or how much of it came.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Body; `None` where it broke off.
    pub body: Option<String>,
    /// Time from the call to its end.
    pub taken: time::Duration,
}

impl Reply {
    /// Whether the entry itself gave the answer, and no server.
    pub fn is_own(&self) -> bool {
        !caller::is_from_server(&self.headers)
    }
}
