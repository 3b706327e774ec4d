//! Requests to servers. Every request and response passes here, so that a server that leaves gets
//! no more work at any step.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{HeaderMap, Request, Response, StatusCode};

use rhubarb_node::{clock, response as node_response};
use rhubarb_platform::response;

use crate::{connections, directory, edge};

/// Maximum size of a buffered response body, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Buffered response; without a body if that was interrupted or too large.
#[derive(Debug)]
pub(crate) struct BufferedResponse {
    pub(crate) head: Response<()>,
    pub(crate) body: Option<Bytes>,
}

impl BufferedResponse {
    /// Whether the status is 200.
    pub(crate) fn is_success(&self) -> bool {
        self.head.status() == StatusCode::OK
    }
}

/// Sends a request unless the server is leaving, and waits for the head of the response.
pub(crate) async fn send(
    edge: &edge::Edge,
    target: &directory::Target,
    request: Request<Full<Bytes>>,
) -> Result<connections::PendingResponse, connections::SendError> {
    let may_send = || !edge.directory().is_leaving(&target.id);
    let pending = edge.connections.send(target.address, request, may_send).await?;
    observe(edge, &target.id, pending.response.headers());
    Ok(pending)
}

/// Sends a request unless the server is leaving, and reads the whole response.
pub(crate) async fn fetch(
    edge: &edge::Edge,
    target: &directory::Target,
    request: Request<Full<Bytes>>,
) -> Result<BufferedResponse, connections::SendError> {
    let pending = send(edge, target, request).await?;
    Ok(read_all(&edge.connections, pending).await)
}

/// Sends a request that frees a resource, also to a server that is leaving, and reads the whole
/// response.
pub(crate) async fn release(
    edge: &edge::Edge,
    target: &directory::Target,
    request: Request<Full<Bytes>>,
) -> Result<BufferedResponse, connections::SendError> {
    let pending = edge.connections.send(target.address, request, || true).await?;
    observe(edge, &target.id, pending.response.headers());
    Ok(read_all(&edge.connections, pending).await)
}

// Records what a response of any kind says about its server.
fn observe(edge: &edge::Edge, server: &str, headers: &HeaderMap) {
    let notice = response::leaving_notice(headers);
    if let Some(value) = notice.unexpected
        && edge.log_limit().allows(&format!("leaving {server}"), clock::now())
    {
        tracing::warn!(server, value, "edge: invalid announcement of a server");
    }
    if notice.is_leaving {
        edge.directory().record_leaving(server, directory::Source::Answer);
    }
}

/// Reads a response to the end and returns its connection to the pool.
pub(crate) async fn read_all(
    pool: &connections::ConnectionPool,
    pending: connections::PendingResponse,
) -> BufferedResponse {
    let idle_timeout = connections::idle_timeout(&pending.response);
    let (parts, body) = pending.response.into_parts();
    let body = node_response::read_body(body, MAX_BODY_BYTES).await;
    match &body {
        Ok(_) => pool.put_back(pending.connection, idle_timeout),
        Err(err) => tracing::info!(%err, "edge: response of a server not read"),
    }
    BufferedResponse { head: Response::from_parts(parts, ()), body: body.ok() }
}
