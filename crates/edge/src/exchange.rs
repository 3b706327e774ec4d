//! Requests to servers. Every request and response passes here, so that a server that leaves gets
//! no more work at any step, one that has asked for a pause gets no request of any kind, and one with
//! a limit no more than that.

use std::time;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, StatusCode, body};

use rhubarb_node::clock;
use rhubarb_platform::{engine, response};

use crate::{call, connections, directory, doubts, edge, misdirected, pauses, quotas, suspects};

/// Maximum size of a buffered response body, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Timeout for the body of a rejection, which has few bytes. A longer one costs its connection.
const REJECTION_TIMEOUT: time::Duration = time::Duration::from_millis(100);

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

    /// Whether the server turned the request away and asked for a pause.
    pub(crate) fn asks_pause(&self) -> bool {
        response::asks_pause(&self.head)
    }
}

/// Sends a request of `call`, unless the server is leaving, paused or at its limit, the call crashes
/// servers or its deadline has passed, and waits for the head of the response.
pub(crate) async fn send_call(
    call: &call::Call,
    target: &directory::Target,
    request: Request<Full<Bytes>>,
    cost: quotas::Cost,
) -> Result<connections::PendingResponse, connections::SendError> {
    let sending = send_if(&call.edge, target, request, cost, || permit_call(call)).await;
    record_sending(call, target, &sending);
    sending
}

/// Sends a request like [`send_call`] to an engine, if it is still the process that is registered: another
/// one may have other software, whose streams and caches do not fit.
pub(crate) async fn send_to_process(
    call: &call::Call,
    target: &directory::Target,
    request: Request<Full<Bytes>>,
    cost: quotas::Cost,
) -> Result<connections::PendingResponse, connections::SendError> {
    let edge = &call.edge;
    if target.process.1.is_none() {
        return send_call(call, target, request, cost).await;
    }
    let permit = |sending| {
        permit_call(call)?;
        if (sending, cost) == (connections::Sending::Known, quotas::Cost::Paid) {
            // The hold has counted for the question as well.
            quotas::refund(edge, target, 1);
        }
        permit_send(edge, target, cost.part(sending))
    };
    edge.until_current().await;
    let observe = |response: &Response<body::Incoming>| self::observe(edge, target, response);
    let sending = edge.connections.send_to(target, request, permit, observe).await;
    match &sending {
        Ok(pending) => self::observe(edge, target, &pending.response),
        Err(connections::SendError::Unsent(_)) => suspects::check_abandoned(edge, target).await,
        Err(_) => {}
    }
    record_sending(call, target, &sending);
    sending
}

/// Whether a report of an engine is of the registered process. One that does not tell its start, or whose
/// row does not, is taken for it.
pub(crate) fn is_registered(target: &directory::Target, report: &Bytes) -> bool {
    match engine::read_report(report) {
        Ok(state) => {
            let starts = state.started_ms.zip(target.process.1);
            starts.is_none_or(|(said, registered)| said == registered)
        }
        Err(err) => {
            tracing::warn!(server = target.id, %err, "edge: state of engine cannot be parsed");
            false
        }
    }
}

// Whether a request of `call` may still be sent.
fn permit_call(call: &call::Call) -> Result<(), connections::SendError> {
    if clock::now() >= call.deadline() {
        return Err(connections::SendError::Expired);
    }
    suspects::permit(call)
}

// Whether a request may be sent to a server.
fn permit_send(
    edge: &edge::Edge,
    target: &directory::Target,
    cost: quotas::Cost,
) -> Result<(), connections::SendError> {
    if edge.directory().is_leaving(&target.id) {
        return Err(connections::SendError::Leaving);
    }
    pauses::permit(edge, target)?;
    quotas::permit(edge, target, cost)
}

// Records what sending a request of `call` has shown.
fn record_sending(
    call: &call::Call,
    target: &directory::Target,
    sending: &Result<connections::PendingResponse, connections::SendError>,
) {
    let may_have_reached =
        matches!(sending, Ok(_) | Err(connections::SendError::ConnectionLost(_)));
    if let Some(charge) = call.charge.as_ref().filter(|_| may_have_reached) {
        charge.keep();
    }
    if let Err(
        connections::SendError::Unsent(_)
        | connections::SendError::ConnectionLost(_)
        | connections::SendError::Replaced,
    ) = sending
    {
        doubts::record(&call.edge, target);
    }
    if let Err(connections::SendError::Replaced) = sending {
        doubts::record_unregistered(&call.edge, target);
    }
}

async fn send_if(
    edge: &edge::Edge,
    target: &directory::Target,
    request: Request<Full<Bytes>>,
    cost: quotas::Cost,
    is_permitted: impl Fn() -> Result<(), connections::SendError>,
) -> Result<connections::PendingResponse, connections::SendError> {
    let permit = || {
        is_permitted()?;
        permit_send(edge, target, cost)
    };
    edge.until_current().await;
    let sending = edge.connections.send(target.address, request, permit).await;
    if let Err(connections::SendError::Unsent(_)) = sending {
        suspects::check_abandoned(edge, target).await;
    }
    let pending = sending?;
    observe(edge, target, &pending.response);
    Ok(pending)
}

/// Sends a request that counts as `cost` and carries no caller's request, unless the server is leaving,
/// paused or at its limit, and reads the whole response.
pub(crate) async fn fetch_at(
    edge: &edge::Edge,
    target: &directory::Target,
    request: Request<Full<Bytes>>,
    cost: quotas::Cost,
) -> Result<BufferedResponse, connections::SendError> {
    fetch_if(edge, target, request, cost, || Ok(())).await
}

/// Sends a request like [`fetch_at`] if `is_permitted` allows it just before it is written.
pub(crate) async fn fetch_if(
    edge: &edge::Edge,
    target: &directory::Target,
    request: Request<Full<Bytes>>,
    cost: quotas::Cost,
    is_permitted: impl Fn() -> Result<(), connections::SendError>,
) -> Result<BufferedResponse, connections::SendError> {
    let pending = send_if(edge, target, request, cost, is_permitted).await?;
    Ok(read_all(&edge.connections, pending).await)
}

/// Sends a request of `call` like [`send_call`], and reads the whole response.
pub(crate) async fn fetch_call(
    call: &call::Call,
    target: &directory::Target,
    request: Request<Full<Bytes>>,
) -> Result<BufferedResponse, connections::SendError> {
    let pending = send_call(call, target, request, quotas::Cost::One).await?;
    Ok(read_all(&call.edge.connections, pending).await)
}

/// Sends a request of `call` like [`send_to_process`], and reads the whole response.
pub(crate) async fn fetch_from_process(
    call: &call::Call,
    target: &directory::Target,
    request: Request<Full<Bytes>>,
) -> Result<BufferedResponse, connections::SendError> {
    let pending = send_to_process(call, target, request, quotas::Cost::One).await?;
    Ok(read_all(&call.edge.connections, pending).await)
}

/// Sends a request that frees a resource, also to a server that is leaving but not to one that is
/// paused or at its limit, and reads the whole response.
pub(crate) async fn release(
    edge: &edge::Edge,
    target: &directory::Target,
    request: Request<Full<Bytes>>,
    cost: quotas::Cost,
) -> Result<BufferedResponse, connections::SendError> {
    let permit = || {
        pauses::permit(edge, target)?;
        quotas::permit(edge, target, cost)
    };
    let pending = edge.connections.send(target.address, request, permit).await?;
    observe(edge, target, &pending.response);
    Ok(read_all(&edge.connections, pending).await)
}

// Records what a response of any kind says about its server.
fn observe<B>(edge: &edge::Edge, target: &directory::Target, response: &Response<B>) {
    let server = target.id.as_str();
    misdirected::observe(edge, target, response);
    pauses::observe(edge, target, response);
    quotas::observe(edge, target, response);
    let notice = response::leaving_notice(response.headers());
    if let Some(value) = notice.unexpected
        && edge.log_limit().allows(&format!("leaving {server}"), clock::now())
    {
        tracing::warn!(server, value, "edge: invalid announcement of a server");
    }
    if notice.is_leaving {
        let now_ms = edge.dates.now_ms();
        edge.directory().record_leaving(&target.process, now_ms);
    }
}

/// Reads the rest of a rejection, whose body is not used.
pub(crate) async fn read_rejection(
    pool: &connections::ConnectionPool,
    pending: connections::PendingResponse,
) {
    if tokio::time::timeout(REJECTION_TIMEOUT, read_all(pool, pending)).await.is_err() {
        tracing::info!("edge: rejection of a server not read in time, connection closed");
    }
}

/// Reads a response to the end and returns its connection to the pool. One that its server did not finish
/// has no body.
pub(crate) async fn read_all(
    pool: &connections::ConnectionPool,
    pending: connections::PendingResponse,
) -> BufferedResponse {
    let idle_timeout = connections::idle_timeout(&pending.response);
    let (parts, mut body) = pending.response.into_parts();
    let head = Response::from_parts(parts, ());
    let address = pending.connection.address;
    let body = match pool.buffers.read(&mut body, MAX_BODY_BYTES).await {
        Ok(_) if pool.is_cut_off(address, head.headers()).await => {
            tracing::info!(%address, "edge: response of a server ended with its process");
            None
        }
        Ok(body) => {
            pool.put_back(pending.connection, idle_timeout);
            Some(body)
        }
        Err(err) => {
            tracing::info!(%address, %err, "edge: response of a server not read");
            None
        }
    };
    BufferedResponse { head, body }
}
