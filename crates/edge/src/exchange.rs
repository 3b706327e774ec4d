//! A request to a server and its whole answer.

use std::net;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, StatusCode};

use rhubarb_node::response;

use crate::connections;

/// Most bytes of an answer that is held until it is whole.
const MAX_ANSWER: usize = 16 * 1024 * 1024;

/// An answer that has been read; no body where it broke off.
#[derive(Debug)]
pub(crate) struct Read {
    pub(crate) head: Response<()>,
    pub(crate) body: Option<Bytes>,
}

impl Read {
    /// Whether the server did its part.
    pub(crate) fn is_success(&self) -> bool {
        self.head.status() == StatusCode::OK
    }
}

/// Sends a request and reads the whole answer.
pub(crate) async fn fetch(
    links: &connections::ConnectionPool,
    address: net::SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<Read, connections::SendError> {
    let answered = links.send(address, request).await?;
    Ok(read_whole(links, answered).await)
}

/// Reads an answer to its end and keeps its connection.
pub(crate) async fn read_whole(
    links: &connections::ConnectionPool,
    answered: connections::PendingResponse,
) -> Read {
    let told = connections::idle_timeout(&answered.response);
    let (parts, body) = answered.response.into_parts();
    let body = response::read_body(body, MAX_ANSWER).await;
    if body.is_some() {
        links.put_back(answered.connection, told);
    }
    Read { head: Response::from_parts(parts, ()), body }
}
