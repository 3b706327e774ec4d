//! Runs a prefill at the engine.

use std::{sync, time};

use hyper::StatusCode;
use serde::Deserialize;
use serde_json::json;

use rhubarb_core::outcome;
use rhubarb_node::clock;
use rhubarb_wire::message;

use crate::{agent, engine, jobs};

use outcome::{Reason, Refusal};

const RETRY_SOON: time::Duration = time::Duration::from_secs(1);

#[derive(Deserialize)]
struct Reply {
    source: String,
    handle: String,
    tokens: u32,
}

pub(crate) async fn run(
    agent: sync::Arc<agent::Agent>,
    order: message::Prefill,
    sender: jobs::Sender,
) {
    let run = order.run;
    let result = call(&agent, order).await;
    let notice = match &result {
        Ok(prefilled) => message::Notice::Prefilled(prefilled.clone()),
        Err(refusal) => message::Notice::Refused(message::Refused { run, refusal: *refusal }),
    };
    jobs::finish(&agent, run, result.map(|_| ()));
    let _ = sender.send(notice).await;
}

async fn call(
    agent: &agent::Agent,
    order: message::Prefill,
) -> Result<message::Prefilled, Refusal> {
    {
        let mut state = agent.lock();
        state.rooms.take_up(order.run);
        state.gate.start(order.run, clock::now())?;
    }
    agent.metrics.runs.inc();
    let url = format!("{}/prefill", agent.settings.engine);
    let content = json!({ "id": engine::run_name(order.run), "prompt": order.prompt });
    let limit = time::Duration::from_millis(order.limit_ms);
    let reply = agent.client.post_json(&url, &content, limit).await;
    let reply = reply.map_err(|err| engine::describe(&err))?;
    // A prefill has no effect that a caller sees, so a failed one counts as not run.
    let failed = Refusal::not_run(Reason::EngineFailed, RETRY_SOON);
    if reply.status != StatusCode::OK {
        return Err(failed);
    }
    let reply: Reply = serde_json::from_slice(&reply.body).map_err(|_| failed)?;
    let Reply { source, handle, tokens } = reply;
    Ok(message::Prefilled { run: order.run, source, handle, tokens })
}
