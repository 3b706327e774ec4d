//! Releases resources at engines that a request no longer needs.

use std::{net, time};

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;

use crate::{edge, exchange};

/// Timeout of a release; a resource that is not released expires soon after.
const TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Sends a request that releases a resource; a failure is only logged.
pub(crate) async fn send(
    edge: &edge::Edge,
    address: net::SocketAddr,
    request: Request<Full<Bytes>>,
) {
    let path = request.uri().path().to_string();
    let sending = exchange::fetch(&edge.connections, address, request);
    match tokio::time::timeout(TIMEOUT, sending).await {
        Ok(Ok(_)) => {}
        Ok(Err(err)) => {
            tracing::info!(%address, path, %err, "edge: release failed, resource will expire")
        }
        Err(_) => tracing::info!(%address, path, "edge: release timed out, resource will expire"),
    }
}
