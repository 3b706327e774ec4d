//! Runs a decode at the engine and reads its token stream.

use std::time;

use http_body_util::BodyExt;
use hyper::{StatusCode, body};
use serde_json::json;

use rhubarb_core::{event_order, outcome, sse};
use rhubarb_node::{client, clock};
use rhubarb_wire::message;

use crate::{agent, engine, output};

use outcome::{RETRY_SOON, Reason, Refusal};

/// Longest time between two parts of the token stream.
const STALL_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Longest time until the head of the response.
const HEAD_TIMEOUT: time::Duration = time::Duration::from_secs(5);
const STATUS_OK: u16 = 200;
const MAX_EVENT_BYTES: usize = 64 * 1024;

/// Runs a decode and writes its events to `output`.
pub(crate) async fn call(
    agent: &agent::Agent,
    request: message::Decode,
    output: &output::Output,
) -> Result<(), Refusal> {
    let limit = time::Duration::from_millis(request.limit_ms);
    let timed_out = Refusal::unknown(Reason::TooLate, RETRY_SOON);
    tokio::time::timeout(limit, run(agent, request, output)).await.unwrap_or(Err(timed_out))
}

async fn run(
    agent: &agent::Agent,
    request: message::Decode,
    output: &output::Output,
) -> Result<(), Refusal> {
    agent.lock().gate.start(request.run, clock::now())?;
    agent.metrics.runs.inc();
    let url = format!("{}/decode", agent.settings.engine);
    let content = json!({
        "id": engine::run_id(request.run),
        "prompt": request.prompt,
        "max_tokens": request.max_tokens,
        "skip": request.skip,
        "source": request.source,
        "handle": request.handle,
        "key": request.key,
    });
    let http_request =
        client::json_request(&url, &content).map_err(|err| engine::to_refusal(&err))?;
    let reply = agent.client.send(http_request, HEAD_TIMEOUT).await;
    let (head, body) = reply.map_err(|err| engine::to_refusal(&err))?.into_parts();
    match head.status {
        StatusCode::OK => {}
        StatusCode::GONE => return Err(Refusal::not_run(Reason::Evicted, RETRY_SOON)),
        StatusCode::TOO_MANY_REQUESTS => return Err(Refusal::not_run(Reason::NoRoom, RETRY_SOON)),
        _ => return Err(Refusal::unknown(Reason::EngineFailed, RETRY_SOON)),
    }
    output.set_head(STATUS_OK, vec![message::prompt_tokens_header(request.prompt_tokens)]);
    let last = u64::from(request.skip).checked_sub(1);
    copy_events(body, event_order::EventOrder::new(last, &[]), output).await
}

// Copies the token of each event that is next in `order` to a line of `output`, up to the final event.
async fn copy_events(
    mut body: body::Incoming,
    mut order: event_order::EventOrder,
    output: &output::Output,
) -> Result<(), Refusal> {
    let mut decoder = sse::Decoder::default();
    // Bytes of events since the last one with data.
    let mut empty_bytes = 0;
    loop {
        let failed = Refusal::unknown(Reason::EngineFailed, RETRY_SOON);
        let stalled = Refusal::unknown(Reason::EngineSilent, RETRY_SOON);
        let frame = tokio::time::timeout(STALL_TIMEOUT, body.frame()).await.map_err(|_| stalled)?;
        let Some(Ok(frame)) = frame else { return Err(failed) };
        let Ok(bytes) = frame.into_data() else { continue };
        decoder.push(&bytes);
        while let Some(event) = decoder.next_event() {
            if event.is_well_formed(&[]) && !event.has_data() {
                empty_bytes += event.bytes.len();
                continue;
            }
            empty_bytes = 0;
            let data = event.data();
            if data == b"[DONE]" {
                return Ok(());
            }
            let Ok(token) = serde_json::from_slice::<message::Token>(&data) else {
                tracing::warn!(
                    bytes = event.bytes.len(),
                    "agent: event of the engine has no token"
                );
                return Err(failed);
            };
            match token.index.map(|index| order.place_id(index)) {
                None | Some(event_order::Placement::Next) => {}
                Some(event_order::Placement::Repeated) => continue,
                Some(event_order::Placement::Unfit(misfit)) => {
                    let (last, next) = (order.last(), token.index);
                    tracing::warn!(?misfit, last, next, "agent: token is not the next one");
                    return Err(failed);
                }
            }
            if !output.push(format!("{}\n", json!(token)).as_bytes()) {
                return Err(Refusal::unknown(Reason::TooLarge, RETRY_SOON));
            }
        }
        if decoder.buffered() + empty_bytes > MAX_EVENT_BYTES {
            tracing::warn!("agent: no token in {MAX_EVENT_BYTES} bytes of the engine's stream");
            return Err(failed);
        }
    }
}
