//! Runs a prefill at the engine.

use std::time;

use hyper::StatusCode;
use serde::Deserialize;
use serde_json::json;

use rhubarb_core::outcome;
use rhubarb_node::clock;
use rhubarb_wire::message;

use crate::{agent, engine};

use outcome::{RETRY_SOON, Reason, Refusal};

/// Response of the engine to a prefill.
#[derive(Deserialize)]
struct Reply {
    source: String,
    handle: String,
    tokens: u32,
}

/// Prefills a prompt at the engine.
pub(crate) async fn call(
    agent: &agent::Agent,
    request: message::Prefill,
) -> Result<message::Prefilled, Refusal> {
    {
        let mut state = agent.lock();
        state.slots.claim(request.run);
        state.gate.start(request.run, clock::now())?;
    }
    agent.metrics.runs.inc();
    let url = format!("{}/prefill", agent.settings.engine);
    let content = json!({ "id": engine::run_id(request.run), "prompt": request.prompt });
    let limit = time::Duration::from_millis(request.limit_ms);
    let start = clock::now();
    let reply = agent.client.post_json(&url, &content, limit).await;
    let elapsed = clock::now() - start;
    let reply = reply.map_err(|err| engine::to_refusal(&err))?;
    // A prefill has no effect visible to the caller, so a failed one counts as not run.
    let failed = Refusal::not_run(Reason::EngineFailed, RETRY_SOON);
    if reply.status != StatusCode::OK {
        return Err(failed);
    }
    let reply: Reply = serde_json::from_slice(&reply.body).map_err(|_| failed)?;
    let Reply { source, handle, tokens } = reply;
    let work = record_work(agent, request.prompt.len() as u32, elapsed);
    let work_us = work.as_micros() as u64;
    Ok(message::Prefilled { run: request.run, source, handle, tokens, work_us })
}

// Updates the estimate of the engine's prefill time and returns the work of this prompt. Concurrent
// prompts share the engine's speed, so the elapsed time is divided by their number.
fn record_work(agent: &agent::Agent, size: u32, elapsed: time::Duration) -> time::Duration {
    let mut state = agent.lock();
    let concurrent = state.slots.load(clock::now()).held.max(1);
    let work = elapsed / concurrent;
    state.prefill_time.record(size, work);
    work
}
