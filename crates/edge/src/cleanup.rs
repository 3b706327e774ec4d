//! Releases resources at engines that a request no longer needs.

use std::time;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;

use crate::{directory, edge, exchange, quotas};

/// Timeout of a release; a resource that is not released expires soon after.
const TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Sends a request that releases a resource; a failure is only logged.
pub(crate) async fn send(
    edge: &edge::Edge,
    target: &directory::Target,
    request: Request<Full<Bytes>>,
    cost: quotas::Cost,
) {
    let (server, path) = (&target.id, request.uri().path().to_string());
    let sending = exchange::release(edge, target, request, cost);
    match tokio::time::timeout(TIMEOUT, sending).await {
        Ok(Ok(_)) => {}
        Ok(Err(err)) => {
            tracing::info!(server, path, %err, "edge: release failed, resource will expire")
        }
        Err(_) => tracing::info!(server, path, "edge: release timed out, resource will expire"),
    }
}
