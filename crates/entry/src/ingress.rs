//! HTTP endpoints of the entry.

use std::sync;

use hyper::{Method, Request, Response, StatusCode, body, http};

use rhubarb_core::{list, outcome};
use rhubarb_node::{clock, responder, response, shared_settings};

use crate::{admit, completion, entry, openai, plain, refuse, request_id, response_writer};

use outcome::{Reason, Refusal};

type Shared = sync::Arc<entry::Entry>;
type Reply = Response<response::Body>;

/// Longest time to read the body of a request.
const BODY_TIME: std::time::Duration = std::time::Duration::from_secs(30);

/// Answers one request.
pub(crate) async fn handle(entry: Shared, request: Request<body::Incoming>) -> Reply {
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

type Failure = (Refusal, Option<String>);

async fn serve(
    entry: &Shared,
    head: &http::request::Parts,
    content: body::Incoming,
    id: &str,
) -> Result<Reply, Failure> {
    let caller = admit::authenticate(entry, &head.headers).map_err(plain_failure)?;
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

async fn read_body(entry: &Shared, content: body::Incoming) -> Result<bytes::Bytes, Failure> {
    let limit = entry.settings.max_body;
    let reading = response::read_body(content, limit);
    let Ok(content) = tokio::time::timeout(BODY_TIME, reading).await else {
        let detail = format!("the body did not come within {BODY_TIME:?}");
        return Err((Refusal::permanent(Reason::BadRequest), Some(detail)));
    };
    content.ok_or_else(|| {
        let detail = format!("the body exceeds {limit} bytes or broke off");
        (Refusal::permanent(Reason::TooLarge), Some(detail))
    })
}

fn plain_failure(refusal: Refusal) -> Failure {
    (refusal, None)
}

async fn serve_model(
    entry: &Shared,
    caller: &list::Caller,
    endpoint: openai::Endpoint,
    head: &http::request::Parts,
    content: &[u8],
    id: &str,
) -> Result<Reply, Failure> {
    if head.method != Method::POST {
        return Err((Refusal::permanent(Reason::BadMethod), Some("use POST".to_string())));
    }
    let bad = |detail| (Refusal::permanent(Reason::BadRequest), Some(detail));
    let request = openai::parse_request(endpoint, content).map_err(bad)?;
    let ticket = admit::admit(entry, caller, &request.model, &head.headers);
    let mut ticket = ticket.map_err(plain_failure)?;
    let Some(targets) = completion::LatencyTargets::for_service(&ticket.service) else {
        let refusal = Refusal::permanent(Reason::BadRequest);
        ticket.set_outcome(refusal.outcome, Some(refusal.reason));
        let detail = format!("`{}` is a plain service", request.model);
        return Ok(refuse::error_response(refusal, Some(&detail)));
    };
    let encoder = openai::Encoder { endpoint, id: id.to_string(), model: request.model.clone() };
    let (reply, answer) = responder::Responder::new();
    let writer = response_writer::ResponseWriter::new(reply, encoder, request.stream);
    let completion = completion::Completion::new(ticket, targets, request, writer);
    tokio::spawn(completion.drive());
    Ok(answer.await.unwrap_or_else(|_| broken()))
}

async fn serve_plain(
    entry: &Shared,
    caller: &list::Caller,
    head: &http::request::Parts,
    content: bytes::Bytes,
    id: &str,
) -> Result<Reply, Failure> {
    let path = head.uri.path().trim_start_matches('/');
    let (service, rest) = path.split_once('/').unwrap_or((path, ""));
    let rest = format!("/{rest}");
    let mut ticket = admit::admit(entry, caller, service, &head.headers).map_err(plain_failure)?;
    let list::Kind::Plain(kind) = &ticket.service.kind else {
        let refusal = Refusal::permanent(Reason::BadRequest);
        ticket.set_outcome(refusal.outcome, Some(refusal.reason));
        let detail = format!("`{service}` is a model; use /v1/completions");
        return Ok(refuse::error_response(refusal, Some(&detail)));
    };
    let target = kind.target;
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
    let (reply, answer) = responder::Responder::new();
    tokio::spawn(plain::PlainRequest::new(ticket, target, call, reply).drive());
    Ok(answer.await.unwrap_or_else(|_| broken()))
}

// The driver ended without an answer, which only happens when it failed itself.
fn broken() -> Reply {
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

fn ready(entry: &Shared) -> Reply {
    let view = entry.directory.view();
    if entry.is_stopping() {
        response::text(StatusCode::SERVICE_UNAVAILABLE, "leaving\n")
    } else if view.version() == 0 || !view.read_instances {
        response::text(StatusCode::SERVICE_UNAVAILABLE, "no service list or instances yet\n")
    } else {
        response::text(StatusCode::OK, "ready\n")
    }
}

fn status(entry: &Shared) -> Reply {
    let view = entry.directory.view();
    let status = serde_json::json!({
        "entry": entry.settings.name,
        "version": view.version(),
        "leaving": entry.is_stopping(),
        "open": entry.open.load(sync::atomic::Ordering::Relaxed),
        "instances": view.instances.len(),
        "followed": view.followed().len(),
        "usable": view.usable(clock::now()),
    });
    response::json(StatusCode::OK, &status)
}

fn drain(entry: &Shared, head: &http::request::Parts) -> Reply {
    if !shared_settings::is_operator(&entry.settings.keys, &head.headers) {
        return response::text(StatusCode::UNAUTHORIZED, "send the deployment's shared key\n");
    }
    entry.begin_shutdown();
    response::text(StatusCode::OK, "draining\n")
}
