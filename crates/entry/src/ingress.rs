//! HTTP endpoints of the entry.

use std::sync;

use hyper::{Method, Request, Response, StatusCode, body, http};

use rhubarb_core::{list, outcome};
use rhubarb_node::{clock, responder, response, shared_settings};

use crate::{admit, completion, entry, openai, plain, refuse, request_id, response_writer};

use outcome::{Reason, Refusal};

type SharedEntry = sync::Arc<entry::Entry>;
type HttpResponse = Response<response::Body>;

/// Time limit for reading the body of a request.
const BODY_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(30);

/// Handles one HTTP request.
pub(crate) async fn handle(entry: SharedEntry, request: Request<body::Incoming>) -> HttpResponse {
    let (head, content) = request.into_parts();
    match (&head.method, head.uri.path()) {
        (&Method::GET, "/healthz") => return response::text(StatusCode::OK, "ok\n"),
        (&Method::GET, "/readyz") => return ready(&entry),
        (&Method::GET, "/metrics") => return entry.metrics.registry.response(),
        (&Method::GET, "/status") => return status(&entry),
        (&Method::POST, "/drain") => return drain(&entry, &head),
        _ => {}
    }
    entry.metrics.requests.received.inc();
    let id = read_request_id(&head);
    let mut response = match serve(&entry, &head, content, &id).await {
        Ok(response) => response,
        Err((refusal, detail)) => {
            entry.count_refusal(refusal.reason);
            refuse::error_response(refusal, detail.as_deref())
        }
    };
    request_id::insert(response.headers_mut(), &id);
    response
}

/// Refusal of a request, and a detail for the caller that precedes the advice.
type Rejection = (Refusal, Option<String>);

async fn serve(
    entry: &SharedEntry,
    head: &http::request::Parts,
    content: body::Incoming,
    id: &str,
) -> Result<HttpResponse, Rejection> {
    let caller = admit::authenticate(entry, &head.headers).map_err(without_detail)?;
    let content = read_body(entry, content).await?;
    let endpoint = match head.uri.path() {
        "/v1/completions" => Some(openai::Endpoint::Text),
        "/v1/chat/completions" => Some(openai::Endpoint::Chat),
        _ => None,
    };
    match endpoint {
        Some(endpoint) => serve_model(entry, &caller, endpoint, head, &content, id).await,
        None => serve_plain(entry, &caller, head, content, id).await,
    }
}

async fn read_body(
    entry: &SharedEntry,
    content: body::Incoming,
) -> Result<bytes::Bytes, Rejection> {
    let limit = entry.settings.max_body;
    let reading = response::read_body(content, limit);
    let Ok(content) = tokio::time::timeout(BODY_TIMEOUT, reading).await else {
        let detail = format!("the body did not come within {BODY_TIMEOUT:?}");
        return Err((Refusal::permanent(Reason::BadRequest), Some(detail)));
    };
    content.map_err(|err| {
        let reason = match err {
            response::BodyError::TooLarge(_) => Reason::TooLarge,
            response::BodyError::Interrupted(_) => Reason::BadRequest,
        };
        (Refusal::permanent(reason), Some(err.to_string()))
    })
}

fn without_detail(refusal: Refusal) -> Rejection {
    (refusal, None)
}

async fn serve_model(
    entry: &SharedEntry,
    caller: &list::Caller,
    endpoint: openai::Endpoint,
    head: &http::request::Parts,
    content: &[u8],
    id: &str,
) -> Result<HttpResponse, Rejection> {
    if head.method != Method::POST {
        return Err((Refusal::permanent(Reason::BadMethod), Some("use POST".to_string())));
    }
    let invalid = |detail| (Refusal::permanent(Reason::BadRequest), Some(detail));
    let request = openai::parse_request(endpoint, content).map_err(invalid)?;
    if request.stream && head.version < http::Version::HTTP_11 {
        return Err(without_detail(Refusal::permanent(Reason::OldProtocol)));
    }
    let ticket = admit::admit(entry, caller, &request.model, &head.headers);
    let mut ticket = ticket.map_err(without_detail)?;
    let Some(targets) = completion::LatencyTargets::for_service(&ticket.service) else {
        let refusal = Refusal::permanent(Reason::BadRequest);
        ticket.set_outcome(refusal.outcome, Some(refusal.reason));
        let detail = format!("`{}` is a plain service", request.model);
        return Ok(refuse::error_response(refusal, Some(&detail)));
    };
    let encoder = openai::Encoder { endpoint, id: id.to_string(), model: request.model.clone() };
    let (responder, response) = responder::Responder::new();
    let writer = response_writer::ResponseWriter::new(responder, encoder, request.stream);
    let completion = completion::Completion::new(ticket, targets, request, writer);
    tokio::spawn(completion.drive());
    Ok(response.await.unwrap_or_else(|_| task_failed()))
}

async fn serve_plain(
    entry: &SharedEntry,
    caller: &list::Caller,
    head: &http::request::Parts,
    content: bytes::Bytes,
    id: &str,
) -> Result<HttpResponse, Rejection> {
    let path = head.uri.path().trim_start_matches('/');
    let (service, rest) = path.split_once('/').unwrap_or((path, ""));
    let rest = format!("/{rest}");
    let mut ticket = admit::admit(entry, caller, service, &head.headers).map_err(without_detail)?;
    let list::Kind::Plain(kind) = &ticket.service.kind else {
        let refusal = Refusal::permanent(Reason::BadRequest);
        ticket.set_outcome(refusal.outcome, Some(refusal.reason));
        let detail = format!("`{service}` is a model; use /v1/completions");
        return Ok(refuse::error_response(refusal, Some(&detail)));
    };
    let latency_target = kind.target;
    if ticket.key.is_none() && ticket.service.needs_key(head.method.as_str(), &rest) {
        let refusal = Refusal::permanent(Reason::KeyMissing);
        ticket.set_outcome(refusal.outcome, Some(refusal.reason));
        return Ok(refuse::error_response(refusal, None));
    }
    let query = head.uri.query().map(|query| format!("?{query}")).unwrap_or_default();
    let call = plain::Call {
        method: head.method.clone(),
        target: format!("{rest}{query}"),
        headers: head.headers.clone(),
        body: content,
        id: id.to_string(),
    };
    let (responder, response) = responder::Responder::new();
    tokio::spawn(plain::PlainRequest::new(ticket, latency_target, call, responder).drive());
    Ok(response.await.unwrap_or_else(|_| task_failed()))
}

// The task of the request ended without a response, which only happens if it panicked.
fn task_failed() -> HttpResponse {
    refuse::error_response(
        Refusal::unknown(Reason::EngineFailed, std::time::Duration::from_secs(1)),
        Some("the request's task ended early"),
    )
}

fn read_request_id(head: &http::request::Parts) -> String {
    let given = head.headers.get(request_id::HEADER).and_then(|id| id.to_str().ok());
    let is_valid = |id: &&str| !id.is_empty() && id.len() <= 128;
    given
        .filter(is_valid)
        .map_or_else(|| format!("{:032x}", rand::random::<u128>()), str::to_string)
}

fn ready(entry: &SharedEntry) -> HttpResponse {
    let view = entry.directory.view();
    if entry.is_stopping() {
        response::text(StatusCode::SERVICE_UNAVAILABLE, "leaving\n")
    } else if view.version() == 0 || !view.has_instances {
        response::text(StatusCode::SERVICE_UNAVAILABLE, "no service list or instances yet\n")
    } else {
        response::text(StatusCode::OK, "ready\n")
    }
}

fn status(entry: &SharedEntry) -> HttpResponse {
    let view = entry.directory.view();
    let status = serde_json::json!({
        "entry": entry.settings.name,
        "version": view.version(),
        "leaving": entry.is_stopping(),
        "open": entry.open.load(sync::atomic::Ordering::Relaxed),
        "instances": view.instances.len(),
        "followed": view.followed().len(),
        "usable": view.usable_count(clock::now()),
    });
    response::json(StatusCode::OK, &status)
}

fn drain(entry: &SharedEntry, head: &http::request::Parts) -> HttpResponse {
    if !shared_settings::is_operator(&entry.settings.keys, &head.headers) {
        return response::text(StatusCode::UNAUTHORIZED, "send the deployment's shared key\n");
    }
    entry.begin_shutdown();
    response::text(StatusCode::OK, "draining\n")
}
