//! Follows the service list and the instance list.

use std::{collections, sync, time};

use rhubarb_core::{edition, ids, list};
use rhubarb_node::{clock, instances};
use rhubarb_wire::message;

use crate::agent;

/// Key of the list's row in the table.
const LIST_KEY: &str = "list";
const POLL: time::Duration = time::Duration::from_secs(10);
const FIRST_POLL: time::Duration = time::Duration::from_secs(1);
const HURRY: time::Duration = time::Duration::from_millis(300);

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
    enforce(agent, &mut state);
    drop(state);
    tracing::info!("agent: list {version} is in force");
    agent.list_taken.notify_one();
}

// Brings gate and rooms to what the list says.
fn enforce(agent: &agent::Agent, state: &mut agent::State) {
    let now = clock::now();
    let unix = clock::unix_ms();
    let server = &agent.settings.server;
    let edition = state.edition.clone();
    let Some((service, _)) = edition.list.find_server(server) else {
        return;
    };
    state.gate.set_window(service.window);
    if let Some(ago) = edition.joined_ago(&service.name, server, unix) {
        state.gate.join(ago, now);
    }
    for removal in edition.content.removed.iter().filter(|gone| gone.service == service.name) {
        let ago = time::Duration::from_millis(unix.saturating_sub(removal.at_ms));
        state.gate.note_removed(&removal.server, ago, now);
    }
    let gone = state.gone.clone();
    state.gate.observe(service.servers(), |name| gone.contains(name), now);
    if let list::Kind::Plain(plain) = &service.kind {
        state.rooms.set_capacity(plain.rooms);
        state.loaded = true;
    }
}

/// Polls the table and the instance list, until the task is dropped.
pub(crate) async fn follow(agent: Shared) {
    let instances =
        instances::Instances::new(agent.client.clone(), &agent.settings.platform.instances);
    loop {
        poll(&agent).await;
        if let Ok(seen) = instances.read().await {
            note_instances(&agent, &seen);
        }
        let period = if agent.lock().known { POLL } else { FIRST_POLL };
        tokio::select! {
            () = tokio::time::sleep(clock::jitter(period)) => {}
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
