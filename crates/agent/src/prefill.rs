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

#[derive(Deserialize)]
struct Reply {
    source: String,
    handle: String,
    tokens: u32,
}

/// Has the engine read a prompt.
pub(crate) async fn call(
    agent: &agent::Agent,
    order: message::Prefill,
) -> Result<message::Prefilled, Refusal> {
    {
        let mut state = agent.lock();
        state.slots.claim(order.run);
        state.gate.start(order.run, clock::now())?;
    }
    agent.metrics.runs.inc();
    let url = format!("{}/prefill", agent.settings.engine);
    let content = json!({ "id": engine::run_id(order.run), "prompt": order.prompt });
    let limit = time::Duration::from_millis(order.limit_ms);
    let begun = clock::now();
    let reply = agent.client.post_json(&url, &content, limit).await;
    let took = clock::now() - begun;
    let reply = reply.map_err(|err| engine::to_refusal(&err))?;
    // A prefill has no effect that a caller sees, so a failed one counts as not run.
    let failed = Refusal::not_run(Reason::EngineFailed, RETRY_SOON);
    if reply.status != StatusCode::OK {
        return Err(failed);
    }
    let reply: Reply = serde_json::from_slice(&reply.body).map_err(|_| failed)?;
    let Reply { source, handle, tokens } = reply;
    let work = learn(agent, order.prompt.len() as u32, took);
    let work_us = work.as_micros() as u64;
    Ok(message::Prefilled { run: order.run, source, handle, tokens, work_us })
}

// Prompts that an engine works on at the same time share its speed.
fn learn(agent: &agent::Agent, size: u32, took: time::Duration) -> time::Duration {
    let mut state = agent.lock();
    let sharing = state.slots.load(clock::now()).held.max(1);
    let work = took / sharing;
    state.pace.learn(size, work);
    work
}
