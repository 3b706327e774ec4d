//! Calls to the backend server that are not runs.

use std::{sync, time};

use serde_json::json;

use rhubarb_core::{ids, list};
use rhubarb_node::client;

use crate::agent;

const CANCEL_LIMIT: time::Duration = time::Duration::from_secs(1);
const CANCEL_PAUSE: time::Duration = time::Duration::from_millis(200);
const CANCEL_TRIES: u32 = 50;

/// Name of a run at the engine.
pub(crate) fn run_name(run: ids::RunId) -> String {
    format!("{run:032x}")
}

/// Cancels a run at the engine, repeatedly until the engine confirms it.
///
/// Plain servers take no such order; closing the connection is all that they are told.
pub(crate) fn cancel(agent: &sync::Arc<agent::Agent>, run: ids::RunId) {
    let role = agent.lock().assignment(&agent.settings.server).map(|(_, role)| role);
    if role == Some(list::Role::Plain) {
        return;
    }
    let agent = agent.clone();
    tokio::spawn(async move { cancel_id(&agent, Some(run_name(run))).await });
}

/// Cancels everything that an earlier agent left behind at the engine.
pub(crate) async fn cancel_all(agent: &agent::Agent) {
    cancel_id(agent, None).await;
}

async fn cancel_id(agent: &agent::Agent, id: Option<String>) {
    let url = format!("{}/cancel", agent.settings.engine);
    for _ in 0..CANCEL_TRIES {
        let reply = agent.client.post_json(&url, &json!({ "id": id }), CANCEL_LIMIT).await;
        if reply.is_ok_and(|reply| reply.status.is_success()) {
            return;
        }
        tokio::time::sleep(CANCEL_PAUSE).await;
    }
    tracing::warn!("agent: engine confirmed no cancel; check that it answers");
}

/// Refusal for a call that failed.
pub(crate) fn describe(err: &client::CallError) -> rhubarb_core::outcome::Refusal {
    use rhubarb_core::outcome::{Reason, Refusal};
    let retry = time::Duration::from_secs(1);
    match err {
        client::CallError::Unreachable(_) => Refusal::not_run(Reason::EngineFailed, retry),
        client::CallError::Interrupted(_) => Refusal::unknown(Reason::EngineFailed, retry),
        client::CallError::TimedOut(_) => Refusal::unknown(Reason::EngineSilent, retry),
    }
}
