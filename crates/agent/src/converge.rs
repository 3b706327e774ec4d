//! Brings the engine to the model that the service list asks for.

use std::{sync, time};

use hyper::StatusCode;
use serde_json::json;

use rhubarb_core::list;
use rhubarb_node::clock;

use crate::{agent, engine, model};

const LOAD_LIMIT: time::Duration = time::Duration::from_secs(300);
const ENGINE_LIMIT: time::Duration = time::Duration::from_secs(2);
const RETRY: time::Duration = time::Duration::from_millis(200);
/// Time for which services that this one depends on may come first.
const DEPENDS_LIMIT: time::Duration = time::Duration::from_secs(10);

#[derive(Debug)]
struct Task {
    wanted: model::Model,
    role: list::Role,
    fence: Option<u64>,
    depends: bool,
}

/// Converges until the task is dropped.
pub(crate) async fn run(agent: sync::Arc<agent::Agent>) {
    loop {
        let Some(task) = next_task(&agent) else {
            agent.list_applied.notified().await;
            continue;
        };
        if task.depends {
            wait_depends(&agent).await;
        }
        if !load(&agent, &task).await {
            tokio::time::sleep(clock::jitter(RETRY)).await;
        }
    }
}

fn next_task(agent: &agent::Agent) -> Option<Task> {
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
    Some(Task { wanted, role, fence, depends: !service.depends.is_empty() })
}

// Entries tell whether the services that this one depends on serve.
async fn wait_depends(agent: &agent::Agent) {
    let deadline = clock::now() + DEPENDS_LIMIT;
    while !agent.lock().depends_ready && clock::now() < deadline {
        tokio::time::sleep(RETRY).await;
    }
}

// Orders the engine to load; false if that has to be tried again.
async fn load(agent: &agent::Agent, task: &Task) -> bool {
    if !agent.lock().engine_cleared {
        engine::cancel_all(agent).await;
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
    match agent.client.post_json(&url, &content, LOAD_LIMIT).await {
        Ok(reply) if reply.status == StatusCode::OK => {}
        Ok(reply) => {
            tracing::warn!("agent: engine refused its model: status {}", reply.status);
            return false;
        }
        Err(err) => {
            tracing::warn!("agent: engine has no model yet: {err}");
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
    let reply = agent.client.get(&url, ENGINE_LIMIT).await.ok()?;
    let load: serde_json::Value = serde_json::from_slice(&reply.body).ok()?;
    Some(load.get("rooms")?.as_u64()? as u32)
}
