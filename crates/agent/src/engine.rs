//! Cancellation at the engine, and refusals for failed calls to it.

use std::{sync, time};

use serde_json::json;

use rhubarb_core::{ids, list};
use rhubarb_node::client;

use crate::agent;

const CANCEL_TIMEOUT: time::Duration = time::Duration::from_secs(1);
const CANCEL_RETRY_DELAY: time::Duration = time::Duration::from_millis(200);
const MAX_CANCEL_ATTEMPTS: u32 = 50;

/// Id of a run at the engine: 32 hexadecimal digits.
pub(crate) fn run_id(run: ids::RunId) -> String {
    format!("{run:032x}")
}

/// Cancels a run at the engine in the background, with a limited number of attempts until it is
/// confirmed.
///
/// Plain servers have no such call; for them, closing the connection is the only signal.
pub(crate) fn cancel(agent: &sync::Arc<agent::Agent>, run: ids::RunId) {
    let role = agent.lock().assignment(&agent.settings.server).map(|(_, role)| role);
    if role == Some(list::Role::Plain) {
        return;
    }
    let agent = agent.clone();
    tokio::spawn(async move { cancel_id(&agent, Some(run_id(run))).await });
}

/// Cancels all runs that an earlier agent left at the engine; false if the engine did not confirm
/// it.
pub(crate) async fn cancel_all(agent: &agent::Agent) -> bool {
    cancel_id(agent, None).await
}

// Cancels the run with this id, or all runs if there is none; false without a confirmation.
async fn cancel_id(agent: &agent::Agent, id: Option<String>) -> bool {
    let url = format!("{}/cancel", agent.settings.engine);
    for _ in 0..MAX_CANCEL_ATTEMPTS {
        let reply = agent.client.post_json(&url, &json!({ "id": id }), CANCEL_TIMEOUT).await;
        if reply.is_ok_and(|reply| reply.status.is_success()) {
            return true;
        }
        tokio::time::sleep(CANCEL_RETRY_DELAY).await;
    }
    tracing::warn!("agent: engine did not confirm a cancellation; check that it responds");
    false
}

/// Refusal for a failed call; the outcome is unknown if the engine may have received it.
pub(crate) fn to_refusal(err: &client::CallError) -> rhubarb_core::outcome::Refusal {
    use rhubarb_core::outcome::{Reason, Refusal};
    let retry = time::Duration::from_secs(1);
    match err {
        client::CallError::Unreachable(_) => Refusal::not_run(Reason::EngineFailed, retry),
        client::CallError::Interrupted(_) => Refusal::unknown(Reason::EngineFailed, retry),
        client::CallError::TimedOut(_) | client::CallError::Stalled { .. } => {
            Refusal::unknown(Reason::EngineSilent, retry)
        }
    }
}
