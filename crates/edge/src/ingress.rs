//! Callers' requests: routes, limits, and the start of their drivers.

use std::{sync, time};

use hyper::{Request, Response, StatusCode, body, header};

use rhubarb_core::{outcome, routing};
use rhubarb_node::{clock, responder, response};
use rhubarb_platform::request;

use outcome::{Reason, Refusal};

use crate::{call, edge, plain, refuse, stream};

/// A config arrives within this time after the store is back.
const CONFIG_RETRY: time::Duration = time::Duration::from_secs(1);

/// A retry reaches another instance, so it need not wait.
const ELSEWHERE: time::Duration = time::Duration::from_millis(50);

/// Answers one request.
pub(crate) async fn handle(
    edge: sync::Arc<edge::Edge>,
    request: Request<body::Incoming>,
) -> Response<response::Body> {
    let mut response = route(&edge, request).await;
    if edge.is_stopping() {
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

async fn route(
    edge: &sync::Arc<edge::Edge>,
    request: Request<body::Incoming>,
) -> Response<response::Body> {
    let arrived = clock::now();
    edge.counters.requests.received.inc();
    let (parts, body) = request.into_parts();
    let head = request::Head::read(&parts);
    let attempt = head.attempt.clone();
    let early = |refusal| refuse::ingress_response(edge, attempt.as_ref(), refusal);
    let Some(config) = edge.directory().config() else {
        return early(Refusal::not_run(Reason::NoList, CONFIG_RETRY));
    };
    let Some(route) = config.route(&head.host, &head.path).cloned() else {
        return early(Refusal::permanent(Reason::NoService));
    };
    let Some(service) = route.service(rand::random()).cloned() else {
        return early(Refusal::not_run(Reason::NoServer, CONFIG_RETRY));
    };
    if edge.is_ending() && matches!(route.kind, routing::Kind::Stream { .. }) {
        return early(Refusal::not_run(Reason::Leaving, ELSEWHERE));
    }
    let limit = config.limits.body_bytes;
    if body::Body::size_hint(&body).lower() > limit as u64 {
        return early(Refusal::permanent(Reason::TooLarge));
    }
    let Some(body) = response::read_body(body, limit).await else {
        return early(Refusal::permanent(Reason::BadRequest));
    };
    let patience = head.timeout.unwrap_or(route.timeout).min(route.timeout);
    let is_retry = edge.directory().note_asked(&service, &route.name, patience);
    start(call::Call {
        is_retry,
        edge: edge.clone(),
        deadline: arrived + patience,
        head,
        body,
        route,
        service,
        version: config.version,
        arrived,
    })
    .await
}

async fn start(call: call::Call) -> Response<response::Body> {
    let open = call::InFlight::new(&call.edge);
    call.edge.directory().service(&call.service).repeats.record_request(clock::now());
    let (reply, receiver) = responder::Responder::new();
    let is_model = matches!(call.route.kind, routing::Kind::Stream { .. });
    tokio::spawn(async move {
        let _open = open;
        if is_model {
            stream::Streaming::new(call, reply).drive().await;
        } else {
            plain::Plain::new(call, reply).drive().await;
        }
    });
    let failed = || {
        let mut response = Response::new(response::full("the request failed inside the entry\n"));
        *response.status_mut() = StatusCode::BAD_GATEWAY;
        response
    };
    receiver.await.unwrap_or_else(|_| {
        tracing::error!("edge: a request ended without an answer");
        failed()
    })
}
