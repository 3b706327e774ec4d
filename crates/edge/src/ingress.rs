//! Receives requests of callers: routes them, enforces limits and starts their processing.

use std::{sync, sync::atomic, time};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{Request, Response, StatusCode, body, header, http};
use tokio::task;

use rhubarb_core::{ids, outcome, routing, urgency};
use rhubarb_node::{clock, responder, response, server};
use rhubarb_platform::request;

use outcome::{Reason, Refusal};

use crate::{buffer, call, charge, edge, plain, refuse, stream};

/// Retry delay without a usable config; one arrives within this time after the store recovers.
const CONFIG_RETRY: time::Duration = time::Duration::from_secs(1);

/// Handles one request of a caller and returns the response.
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
    let mut head = request::Head::read(&parts);
    let caller = parts.extensions.get().map(|server::Peer(address)| address.ip());
    let attempt_id = head.attempt_id.clone();
    let refuse = |refusal| refuse::ingress_response(edge, attempt_id.as_ref(), refusal);
    edge.until_current().await;
    let mut decision = match Decision::make(edge, &mut head, arrived) {
        Ok(decision) => decision,
        Err(refusal) => return refuse(refusal),
    };
    let is_stream = matches!(decision.route.kind, routing::Kind::Stream { .. });
    if is_stream && parts.version < http::Version::HTTP_11 {
        return refuse(Refusal::permanent(Reason::OldProtocol));
    }
    let limit = decision.config.limits.body_bytes;
    if body::Body::size_hint(&body).lower() > limit as u64 {
        return refuse(Refusal::permanent(Reason::TooLarge));
    }
    let timeout = head.timeout.unwrap_or(decision.route.timeout).min(decision.route.timeout);
    let admitted = edge.capacity().calls_beside(edge.bodies.used());
    if edge.open_requests.load(atomic::Ordering::Relaxed) >= admitted {
        drop_body(body, arrived + timeout).await;
        return refuse(Refusal::not_run(Reason::NoRoom, outcome::RETRY_SOON));
    }
    let mut charge = match charge::Charge::take(edge, &head) {
        Ok(charge) => charge,
        Err(refusal) => {
            drop_body(body, arrived + timeout).await;
            return refuse(refusal);
        }
    };
    let refund = |charge: &Option<charge::Charge>| {
        charge.iter().for_each(|charge| charge.refund(edge));
    };
    let body = match read_body(edge, body, limit, arrived + timeout).await {
        Ok(body) => body,
        Err(refusal) => {
            refund(&charge);
            return refuse(refusal);
        }
    };
    // A body may take long, and its request goes by the config that is in force at its end.
    if !decision.is_current(edge) {
        let customer = head.customer.clone();
        decision = match Decision::make(edge, &mut head, arrived) {
            Ok(decision) => decision,
            Err(refusal) => {
                refund(&charge);
                return refuse(refusal);
            }
        };
        if head.customer != customer {
            refund(&charge);
            charge = match charge::Charge::take(edge, &head) {
                Ok(charge) => charge,
                Err(refusal) => return refuse(refusal),
            };
        }
    }
    let Decision { config, route, service, customer_rank } = decision;
    let timeout = head.timeout.unwrap_or(route.timeout).min(route.timeout);
    let deadline = arrived + timeout;
    let (stop, now) = (edge.stopping(), clock::now());
    let is_admitted = stop.is_none_or(|stop| {
        now < stop.answered_by() && stop.admits(route.kind, route.target, deadline, now)
    });
    if !is_admitted || now >= deadline {
        let retry = stop.map(|stop| stop.retry_delay(edge.members().has_ready_peer(now), now));
        refund(&charge);
        return refuse(match retry {
            Some(retry) => Refusal::not_run(Reason::Leaving, retry),
            None => Refusal::not_run(Reason::TooLate, outcome::RETRY_SOON),
        });
    }
    let urgency = urgency::Urgency { rank: customer_rank.unwrap_or(route.rank), route: route.rank };
    let is_retry = edge.directory().record_request(&service, &route.name, timeout);
    observe_ages(edge);
    start(call::Call {
        is_retry,
        is_trial: false,
        urgency,
        priority: config.priority(&service, urgency),
        causes: sync::OnceLock::new(),
        charge,
        edge: edge.clone(),
        deadline,
        head,
        body,
        route,
        service,
        version: config.version,
        arrived,
        caller,
    })
    .await
}

// Reads the body of a request that is refused, until `deadline`: otherwise its connection would be closed
// while the caller still writes, and the answer be lost.
async fn drop_body(mut body: body::Incoming, deadline: time::Instant) {
    let reading = async { while let Some(Ok(_)) = body.frame().await {} };
    if tokio::time::timeout_at(deadline.into(), reading).await.is_err() {
        tracing::debug!("edge: body of a refused request not read to its end");
    }
}

// Reads the body of a request until `deadline`.
async fn read_body(
    edge: &edge::Edge,
    mut body: body::Incoming,
    limit: usize,
    deadline: time::Instant,
) -> Result<Bytes, Refusal> {
    let reading = edge.bodies.read(&mut body, limit);
    let Ok(read) = tokio::time::timeout_at(deadline.into(), reading).await else {
        return Err(Refusal::not_run(Reason::TooLate, outcome::RETRY_SOON));
    };
    match read {
        Ok(bytes) => Ok(bytes),
        Err(buffer::ReadError::TooLarge(_)) => Err(Refusal::permanent(Reason::TooLarge)),
        Err(buffer::ReadError::Interrupted(err)) => {
            tracing::debug!(%err, "edge: body of a request not read");
            Err(Refusal::permanent(Reason::BadRequest))
        }
        Err(buffer::ReadError::NoMemory(err)) => {
            if edge.log_limit().allows("bodies of requests", clock::now()) {
                tracing::warn!(used = edge.bodies.used(), %err, "edge: body of a request not kept");
            }
            drop_body(body, deadline).await;
            Err(Refusal::not_run(Reason::NoRoom, outcome::RETRY_SOON))
        }
    }
}

// What a config says of a request.
struct Decision {
    config: sync::Arc<routing::Config>,
    route: routing::Route,
    service: ids::ServiceName,
    // Rank of the customer, if it has one.
    customer_rank: Option<u8>,
}

impl Decision {
    // Decides by the config in use, and names the customer in `head`.
    fn make(
        edge: &edge::Edge,
        head: &mut request::Head,
        arrived: time::Instant,
    ) -> Result<Decision, Refusal> {
        let Some(config) = edge.directory().config() else {
            return Err(Refusal::not_run(Reason::NoList, CONFIG_RETRY));
        };
        let outdated =
            || edge.may_lack_config().then_some(Refusal::not_run(Reason::NoList, CONFIG_RETRY));
        let Some(route) = config.route(&head.host, &head.path).cloned() else {
            return Err(outdated().unwrap_or(Refusal::permanent(Reason::NoService)));
        };
        let customer = if route.is_public || config.customers.is_empty() {
            None
        } else {
            let customer = config.customers.identify(head.key);
            Some(customer.map_err(|refusal| outdated().unwrap_or(refusal))?)
        };
        head.customer = customer.as_ref().map(|customer| customer.name.clone());
        let Some(service) = route.service(rand::random()).cloned() else {
            return Err(Refusal::not_run(Reason::NoServer, CONFIG_RETRY));
        };
        let ttl = edge.settings().keys_ttl.filter(|_| customer.is_some());
        if ttl.is_some_and(|ttl| edge.touch_age(arrived) > ttl) {
            return Err(Refusal::not_run(Reason::NoList, CONFIG_RETRY));
        }
        let customer_rank = customer.and_then(|customer| customer.rank);
        Ok(Decision { config, route, service, customer_rank })
    }

    // Whether its config is still the one in use.
    fn is_current(&self, edge: &edge::Edge) -> bool {
        let config = edge.directory().config();
        config.is_some_and(|config| sync::Arc::ptr_eq(&config, &self.config))
    }
}

fn observe_ages(edge: &edge::Edge) {
    let tables = *edge.tables();
    let now = clock::now();
    let counters = &edge.counters;
    for (table, histogram) in
        [(tables.config, &counters.config_age), (tables.servers, &counters.servers_age)]
    {
        if let Some(age) = table.age(now) {
            histogram.observe(age.as_secs_f64());
        }
    }
}

async fn start(call: call::Call) -> Response<response::Body> {
    let in_flight = call::InFlight::new(&call.edge);
    call.edge.directory().service(&call.service).retry_budget.record_request(clock::now());
    let (responder, receiver) = responder::Responder::new();
    let is_model = matches!(call.route.kind, routing::Kind::Stream { .. });
    tokio::spawn(async move {
        let _in_flight = in_flight;
        // A close right behind the request is read in the next turn of the runtime.
        task::yield_now().await;
        if responder.is_disconnected() {
            call.charge.iter().for_each(|charge| charge.refund(&call.edge));
            let (reason, outcome) = (Reason::CallerGone, outcome::Outcome::Cancelled);
            return refuse::record(&call, Refusal { reason, outcome, retry: None });
        }
        if is_model {
            stream::Streaming::new(call, responder).drive().await;
        } else {
            plain::Plain::new(call, responder).drive().await;
        }
    });
    let failure = || {
        let mut response = Response::new(response::full("the request failed inside the entry\n"));
        *response.status_mut() = StatusCode::BAD_GATEWAY;
        response
    };
    receiver.await.unwrap_or_else(|_| {
        tracing::error!("edge: a request ended without a response");
        failure()
    })
}
