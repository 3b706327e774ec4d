//! Follows the service list and brings the engine to what it says.

use std::{collections, sync, time};

use hyper::StatusCode;
use serde_json::json;

use rhubarb_core::{edition, ids, list};
use rhubarb_node::{clock, instances};
use rhubarb_wire::message;

use crate::{agent, engine};

/// Key of the list's row in the table.
const LIST_KEY: &str = "list";
const POLL: time::Duration = time::Duration::from_secs(10);
const FIRST_POLL: time::Duration = time::Duration::from_secs(1);
const HURRY: time::Duration = time::Duration::from_millis(300);
const LOAD_LIMIT: time::Duration = time::Duration::from_secs(300);
const ENGINE_LIMIT: time::Duration = time::Duration::from_secs(2);
const RETRY: time::Duration = time::Duration::from_millis(200);

type Shared = sync::Arc<agent::Agent>;

/// Whether a peer has a newer list.
pub(crate) fn is_behind(agent: &agent::Agent, version: ids::ListVersion) -> bool {
    agent.lock().edition.version < version
}

/// Asks one entry for its list, or the table if no entry is linked.
pub(crate) fn want(agent: &agent::Agent) {
    let state = agent.lock();
    let count = state.links.len().max(1);
    let link = state.links.values().nth(rand::random::<u64>() as usize % count);
    let asked = link.is_some_and(|link| link.try_send(message::Notice::WantList).is_ok());
    if !asked {
        agent.list_wanted.notify_one();
    }
}

/// Notes that the platform says that this instance is leaving.
pub(crate) fn note_leaving(agent: &agent::Agent) {
    let mut state = agent.lock();
    if !state.gate.is_leaving() {
        state.gate.leave();
        tracing::info!("agent: the platform says that this instance leaves");
    }
}

/// The list in force, for a peer.
pub(crate) fn copy(agent: &agent::Agent) -> Option<message::ListCopy> {
    let state = agent.lock();
    let (version, content) = (state.edition.version, state.edition.row.clone());
    let instances = serde_json::json!(state.instances).to_string();
    (version > 0).then_some(message::ListCopy { version, content, instances })
}

/// Takes a list if it is newer than the one in force.
pub(crate) fn take(agent: &agent::Agent, version: ids::ListVersion, row: &str) {
    if !is_behind(agent, version) {
        return;
    }
    let Some(edition) = edition::read_row(version, row) else {
        return tracing::error!("agent: list {version} cannot be read; apply it by rhubarb-ctl");
    };
    let mut state = agent.lock();
    if state.edition.version >= version {
        return;
    }
    state.edition = edition;
    state.known = true;
    state.loaded = false;
    enforce(agent, &mut state);
    drop(state);
    tracing::info!("agent: list {version} is in force");
    agent.list_wanted.notify_one();
}

// Brings gate and rooms to what the list says.
fn enforce(agent: &agent::Agent, state: &mut agent::State) {
    let now = clock::now();
    let unix = clock::unix_ms();
    let server = &agent.settings.server;
    let edition = state.edition.clone();
    let Some((service, role)) = edition.list.find_server(server) else {
        return;
    };
    state.gate.set_window(service.window, now);
    if let Some(ago) = edition.joined_ago(&service.name, server, unix) {
        state.gate.join(ago, now);
    }
    for removal in edition.content.removed.iter().filter(|gone| gone.service == service.name) {
        let ago = time::Duration::from_millis(unix.saturating_sub(removal.at_ms));
        state.gate.note_removed(&removal.server, ago, now);
    }
    let gone = state.gone.clone();
    state.gate.observe(service.servers(), |name| gone.contains(name), now);
    match (&service.kind, role) {
        (list::Kind::Plain(plain), _) => {
            state.rooms.set_capacity(plain.rooms);
            state.loaded = true;
        }
        (list::Kind::Model(_), list::Role::Prefill) => {
            state.rooms.set_capacity(agent.settings.prefills);
        }
        // The engine tells its rooms once it is loaded.
        (list::Kind::Model(_), _) => {}
    }
}

/// Polls the table and the instance list, and the engine after a change.
pub(crate) async fn follow(agent: Shared) {
    let instances =
        instances::Instances::new(agent.client.clone(), &agent.settings.platform.instances);
    loop {
        poll(&agent).await;
        if let Ok(seen) = instances.read().await {
            note_instances(&agent, &seen);
        }
        let period = match (load_engine(&agent).await, agent.lock().known) {
            (false, _) => RETRY,
            (true, false) => clock::jitter(FIRST_POLL),
            (true, true) => clock::jitter(POLL),
        };
        tokio::select! {
            () = tokio::time::sleep(period) => {}
            () = agent.list_wanted.notified() => tokio::time::sleep(clock::jitter(HURRY)).await,
        }
    }
}

async fn poll(agent: &agent::Agent) {
    match agent.table.read(LIST_KEY).await {
        Ok(Some(row)) => take(agent, row.version, &row.value),
        Ok(None) => {}
        Err(err) => tracing::debug!("agent: list not read: {err}"),
    }
}

fn note_instances(agent: &agent::Agent, seen: &[instances::Instance]) {
    let live: collections::BTreeSet<_> = seen.iter().map(|instance| &instance.name).collect();
    let mut state = agent.lock();
    state.instances = seen.to_vec();
    let listed: Vec<_> = match state.duty(&agent.settings.server) {
        Some((service, _)) => service.servers().to_vec(),
        None => return,
    };
    state.gone = listed.iter().filter(|name| !live.contains(name)).cloned().collect();
    let gone = state.gone.clone();
    state.gate.observe(&listed, |name| gone.contains(name), clock::now());
    let own = seen.iter().find(|instance| instance.name == agent.settings.server);
    let is_leaving = own.is_some_and(|own| own.state == instances::State::Leaving);
    drop(state);
    if is_leaving {
        note_leaving(agent);
    }
}

// Brings the engine to the list's model; false if that has to be tried again.
async fn load_engine(agent: &agent::Agent) -> bool {
    let order = {
        let state = agent.lock();
        if state.loaded {
            return true;
        }
        let Some((service, role)) = state.duty(&agent.settings.server) else { return true };
        let list::Kind::Model(model) = &service.kind else { return true };
        let fence = service.fenced.then_some(state.fence);
        (role, model.clone(), fence, state.edition.version)
    };
    let (role, model, fence, version) = order;
    if !agent.lock().swept {
        engine::cancel_all(agent).await;
        agent.lock().swept = true;
    }
    let url = format!("{}/model", agent.settings.engine);
    let content = json!({
        "weights": model.weights,
        "version": model.version,
        "adapters": model.adapters,
        "fence": fence,
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
    let rooms = match role {
        list::Role::Decode => read_rooms(agent).await,
        _ => Some(agent.settings.prefills),
    };
    let Some(rooms) = rooms else { return false };
    let mut state = agent.lock();
    if state.edition.version == version {
        state.rooms.set_capacity(rooms);
        state.loaded = true;
        tracing::info!("agent: engine runs {} version {}", model.weights, model.version);
    }
    state.loaded
}

async fn read_rooms(agent: &agent::Agent) -> Option<u32> {
    let url = format!("{}/load", agent.settings.engine);
    let reply = agent.client.get(&url, ENGINE_LIMIT).await.ok()?;
    let load: serde_json::Value = serde_json::from_slice(&reply.body).ok()?;
    Some(load.get("rooms")?.as_u64()? as u32)
}
