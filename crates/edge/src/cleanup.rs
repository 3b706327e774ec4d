//! Frees what engines keep for a request that does not need it any more.

use std::{net, time};

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;

use crate::{edge, exchange};

/// What is not freed in time lapses by itself soon after.
const LIMIT: time::Duration = time::Duration::from_secs(1);

/// Sends a call that frees something; a failure is only logged.
pub(crate) async fn send(
    edge: &edge::Edge,
    address: net::SocketAddr,
    request: Request<Full<Bytes>>,
) {
    let call = request.uri().path().to_string();
    let sending = exchange::fetch(&edge.links, address, request);
    match tokio::time::timeout(LIMIT, sending).await {
        Ok(Ok(_)) => {}
        Ok(Err(err)) => tracing::info!(%address, call, %err, "edge: not freed, it will lapse"),
        Err(_) => tracing::info!(%address, call, "edge: not freed in time, it will lapse"),
    }
}
