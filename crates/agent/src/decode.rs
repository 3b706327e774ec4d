//! Runs a decode at the engine and reads its token stream.

use std::time;

use http_body_util::BodyExt;
use hyper::{StatusCode, body};
use serde_json::json;

use rhubarb_core::outcome;
use rhubarb_node::{client, clock};
use rhubarb_wire::message;

use crate::{agent, engine, output};

use outcome::{RETRY_SOON, Reason, Refusal};

const STALL: time::Duration = time::Duration::from_secs(2);
const START_LIMIT: time::Duration = time::Duration::from_secs(5);
const STATUS_OK: u16 = 200;
const MAX_EVENT_BYTES: usize = 64 * 1024;

/// Runs a decode and writes its events to `output`.
pub(crate) async fn call(
    agent: &agent::Agent,
    order: message::Decode,
    output: &output::Output,
) -> Result<(), Refusal> {
    let limit = time::Duration::from_millis(order.limit_ms);
    let late = Refusal::unknown(Reason::TooLate, RETRY_SOON);
    tokio::time::timeout(limit, decode(agent, order, output)).await.unwrap_or(Err(late))
}

async fn decode(
    agent: &agent::Agent,
    order: message::Decode,
    output: &output::Output,
) -> Result<(), Refusal> {
    agent.lock().gate.start(order.run, clock::now())?;
    agent.metrics.runs.inc();
    let url = format!("{}/decode", agent.settings.engine);
    let content = json!({
        "id": engine::run_id(order.run),
        "prompt": order.prompt,
        "max_tokens": order.max_tokens,
        "skip": order.skip,
        "source": order.source,
        "handle": order.handle,
        "key": order.key,
    });
    let request = client::json_request(&url, &content).map_err(|err| engine::to_refusal(&err))?;
    let reply = agent.client.send(request, START_LIMIT).await;
    let (head, body) = reply.map_err(|err| engine::to_refusal(&err))?.into_parts();
    match head.status {
        StatusCode::OK => {}
        StatusCode::GONE => return Err(Refusal::not_run(Reason::Evicted, RETRY_SOON)),
        StatusCode::TOO_MANY_REQUESTS => return Err(Refusal::not_run(Reason::NoRoom, RETRY_SOON)),
        _ => return Err(Refusal::unknown(Reason::EngineFailed, RETRY_SOON)),
    }
    output.set_head(STATUS_OK, vec![message::prompt_tokens_header(order.prompt_tokens)]);
    copy_events(body, output).await
}

async fn copy_events(mut body: body::Incoming, output: &output::Output) -> Result<(), Refusal> {
    let mut pending = Vec::new();
    loop {
        let failed = Refusal::unknown(Reason::EngineFailed, RETRY_SOON);
        let stalled = Refusal::unknown(Reason::EngineSilent, RETRY_SOON);
        let frame = tokio::time::timeout(STALL, body.frame()).await.map_err(|_| stalled)?;
        let Some(Ok(frame)) = frame else { return Err(failed) };
        let Ok(bytes) = frame.into_data() else { continue };
        pending.extend_from_slice(&bytes);
        while let Some(event) = scan_event(&mut pending) {
            if event == "[DONE]" {
                return Ok(());
            }
            if !output.push(format!("{event}\n").as_bytes()) {
                return Err(Refusal::unknown(Reason::TooLarge, RETRY_SOON));
            }
        }
        if pending.len() > MAX_EVENT_BYTES {
            return Err(failed);
        }
    }
}

// Takes the data of one whole server-sent event off the front of `pending`.
fn scan_event(pending: &mut Vec<u8>) -> Option<String> {
    let end = pending.windows(2).position(|pair| pair == b"\n\n")?;
    let event: Vec<u8> = pending.drain(..end + 2).collect();
    let event = String::from_utf8_lossy(&event[..end]).into_owned();
    Some(event.strip_prefix("data: ").unwrap_or(&event).to_string())
}
