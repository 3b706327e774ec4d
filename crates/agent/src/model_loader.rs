//! Loads the model that the service list specifies into the engine.

use std::{sync, time};

use hyper::StatusCode;
use serde_json::json;

use rhubarb_core::list;
use rhubarb_node::clock;

use crate::{agent, engine, model};

const LOAD_TIMEOUT: time::Duration = time::Duration::from_secs(300);
const QUERY_TIMEOUT: time::Duration = time::Duration::from_secs(2);
const RETRY_DELAY: time::Duration = time::Duration::from_millis(200);
/// Longest wait for the services that this one depends on; after it, the model is loaded anyway.
const DEPENDS_TIMEOUT: time::Duration = time::Duration::from_secs(10);

#[derive(Debug)]
struct LoadTask {
    wanted: model::Model,
    role: list::Role,
    fence: Option<u64>,
    has_depends: bool,
}

/// Loads the listed model whenever the engine runs another one, until the task is dropped.
pub(crate) async fn run(agent: sync::Arc<agent::Agent>) {
    loop {
        let Some(task) = next_task(&agent) else {
            agent.list_applied.notified().await;
            continue;
        };
        if task.has_depends {
            wait_for_depends(&agent).await;
        }
        if !load(&agent, &task).await {
            tokio::time::sleep(clock::jitter(RETRY_DELAY)).await;
        }
    }
}

fn next_task(agent: &agent::Agent) -> Option<LoadTask> {
    let state = agent.lock();
    let (service, role) = state.assignment(&agent.settings.server)?;
    let list::Kind::Model(listed) = &service.kind else { return None };
    let wanted = model::Model {
        weights: listed.weights.clone(),
        version: listed.version,
        adapters: listed.adapters.clone(),
    };
    if state.model.as_ref() == Some(&wanted) {
        return None;
    }
    let fence = (service.fenced && state.registered).then_some(state.fence);
    Some(LoadTask { wanted, role, fence, has_depends: !service.depends.is_empty() })
}

// Entries report whether the services that this one depends on are ready.
async fn wait_for_depends(agent: &agent::Agent) {
    let deadline = clock::now() + DEPENDS_TIMEOUT;
    while !agent.lock().depends_ready && clock::now() < deadline {
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

// Loads the model into the engine; false if it has to be retried.
async fn load(agent: &agent::Agent, task: &LoadTask) -> bool {
    if !agent.lock().engine_cleared {
        if !engine::cancel_all(agent).await {
            return false;
        }
        agent.lock().engine_cleared = true;
    }
    let wanted = &task.wanted;
    let url = format!("{}/model", agent.settings.engine);
    let content = json!({
        "weights": wanted.weights,
        "version": wanted.version,
        "adapters": wanted.adapters,
        "fence": task.fence,
    });
    match agent.client.post_json(&url, &content, LOAD_TIMEOUT).await {
        Ok(reply) if reply.status == StatusCode::OK => {}
        Ok(reply) => {
            tracing::warn!(
                "agent: engine rejected model {}: status {}",
                wanted.weights,
                reply.status
            );
            return false;
        }
        Err(err) => {
            tracing::warn!("agent: cannot load model {}: {err}", wanted.weights);
            return false;
        }
    }
    let slots = match task.role {
        list::Role::Decode => read_slots(agent).await,
        _ => Some(agent.settings.prefills),
    };
    let Some(slots) = slots else { return false };
    let mut state = agent.lock();
    state.slots.set_capacity(slots);
    state.model = Some(wanted.clone());
    state.loaded = true;
    tracing::info!("agent: engine runs {} version {}", wanted.weights, wanted.version);
    true
}

async fn read_slots(agent: &agent::Agent) -> Option<u32> {
    let url = format!("{}/load", agent.settings.engine);
    let reply = agent.client.get(&url, QUERY_TIMEOUT).await.ok()?;
    let load: serde_json::Value = serde_json::from_slice(&reply.body).ok()?;
    Some(load.get("rooms")?.as_u64()? as u32)
}
