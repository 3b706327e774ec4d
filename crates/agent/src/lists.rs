//! Follows the service list and the instance list.

use std::{collections, sync, time};

use rhubarb_core::{ids, list};
use rhubarb_node::{clock, instances, service_list};
use rhubarb_wire::message;

use crate::agent;

const MAX_POLL_PERIOD: time::Duration = time::Duration::from_secs(30);
/// Polls per window; an agent whose server was removed from the list must notice within the window.
const POLLS_PER_WINDOW: u32 = 8;
/// Poll period while the list assigns this server to no service.
const INITIAL_POLL_PERIOD: time::Duration = time::Duration::from_secs(1);
/// Mean delay before a requested poll.
const REQUEST_DELAY: time::Duration = time::Duration::from_millis(300);

type Shared = sync::Arc<agent::Agent>;

/// Whether a peer that has `version` has a newer list.
pub(crate) fn is_behind(agent: &agent::Agent, version: ids::ListVersion) -> bool {
    agent.lock().revisions.version() < version
}

/// Requests the list from a random connected entry; polls the table if there is none or its queue
/// is full.
pub(crate) fn request_list(agent: &agent::Agent) {
    let state = agent.lock();
    let version = state.revisions.version();
    let count = state.links.len().max(1);
    let link = state.links.values().nth(rand::random::<u64>() as usize % count);
    let requested =
        link.is_some_and(|link| link.try_send(message::ToEntry::WantList(version)).is_ok());
    if !requested {
        agent.poll_requested.notify_one();
    }
}

/// Refuses new work because the platform reports that this instance is leaving.
pub(crate) fn record_leaving(agent: &agent::Agent) {
    let mut state = agent.lock();
    if !state.gate.is_leaving() {
        state.gate.leave();
        tracing::info!("agent: the platform reports that this instance is leaving");
    }
}

/// Update for a peer that has `version`; `None` if it is up to date.
pub(crate) fn copy_since(
    agent: &agent::Agent,
    version: ids::ListVersion,
) -> Option<message::ListCopy> {
    let state = agent.lock();
    let update = state.revisions.update_from(version)?;
    Some(service_list::to_list_copy(update, serde_json::json!(state.instances).to_string()))
}

/// Applies a list from a peer, and what its instance list says about this server; if its changes do
/// not apply, the table is polled.
pub(crate) fn apply_copy(agent: &agent::Agent, copy: &message::ListCopy) {
    match serde_json::from_str::<Vec<instances::Instance>>(&copy.instances) {
        Ok(listed) if is_leaving(agent, &listed) => record_leaving(agent),
        Ok(_) => {}
        Err(err) => tracing::warn!("agent: cannot parse the instance list of an entry: {err}"),
    }
    for update in service_list::from_list_copy(copy) {
        if !apply(agent, &update) && is_behind(agent, copy.version) {
            agent.poll_requested.notify_one();
        }
    }
}

/// Applies an update; returns whether the current list changed.
fn apply(agent: &agent::Agent, update: &service_list::ListUpdate) -> bool {
    let mut state = agent.lock();
    if service_list::apply_update(&mut state.revisions, update).is_none() {
        return false;
    }
    let version = state.revisions.version();
    state.has_list = true;
    apply_service(agent, &mut state);
    drop(state);
    tracing::info!("agent: list {version} is in force");
    agent.list_applied.notify_one();
    true
}

// Updates the gate and the slots from the service of this server in the current list.
fn apply_service(agent: &agent::Agent, state: &mut agent::State) {
    let now = clock::now();
    let unix = clock::unix_ms();
    let server = &agent.settings.server;
    let Some(service) = state.service(server) else { return };
    let revision = state.revisions.current();
    let joined = revision.joined_ago(&service.name, server, unix);
    let removed: Vec<_> = revision
        .removed
        .iter()
        .filter(|removal| removal.service == service.name)
        .cloned()
        .collect();
    state.gate.set_window(service.window);
    state.mark_first_complete(server);
    if let Some(ago) = joined {
        state.gate.record_join(ago, now);
    }
    for removal in removed {
        let ago = time::Duration::from_millis(unix.saturating_sub(removal.at_ms));
        state.gate.record_removal(&removal.server, ago, now);
    }
    let gone_servers = state.gone_servers.clone();
    state.gate.observe(service.servers(), |name| gone_servers.contains(name), now);
    if let list::Kind::Plain(plain) = &service.kind {
        state.slots.set_capacity(plain.slots);
        state.loaded = true;
    }
}

/// Polls the table and the instance list, until the task is dropped.
pub(crate) async fn follow(agent: Shared) {
    let instances = instances::Instances::new(&agent.settings.platform.instances);
    loop {
        poll(&agent).await;
        if let Ok(found) = instances.read().await {
            record_instances(&agent, &found);
        }
        let period = poll_period(&agent);
        tokio::select! {
            () = tokio::time::sleep(clock::jitter(period)) => {}
            () = agent.poll_requested.notified() => {
                tokio::time::sleep(clock::jitter(REQUEST_DELAY)).await;
            }
        }
    }
}

// Entries report new lists. Polling covers the case that no entry reaches this agent, and lets it
// notice that its server was removed from the list.
fn poll_period(agent: &agent::Agent) -> time::Duration {
    let state = agent.lock();
    match state.service(&agent.settings.server) {
        Some(service) => MAX_POLL_PERIOD.min(service.window / POLLS_PER_WINDOW),
        None => INITIAL_POLL_PERIOD,
    }
}

async fn poll(agent: &agent::Agent) {
    loop {
        let version = agent.lock().revisions.version();
        let update = match service_list::read_update(&agent.table, version).await {
            Ok(update) => update,
            Err(err) => return tracing::debug!("agent: cannot read the service list: {err}"),
        };
        if apply(agent, &update) {
            continue;
        }
        // The change does not apply to the current revision, so the whole list is read.
        if matches!(update, service_list::ListUpdate::Change(_, _))
            && let Ok(whole) = service_list::read_update(&agent.table, 0).await
        {
            apply(agent, &whole);
        }
        return;
    }
}

fn is_leaving(agent: &agent::Agent, listed: &[instances::Instance]) -> bool {
    let own = listed.iter().find(|instance| instance.name == agent.settings.server);
    own.is_some_and(|own| own.state == instances::State::Leaving)
}

fn record_instances(agent: &agent::Agent, found: &[instances::Instance]) {
    if is_leaving(agent, found) {
        record_leaving(agent);
    }
    let live: collections::BTreeSet<_> = found.iter().map(|instance| &instance.name).collect();
    let mut state = agent.lock();
    state.instances = found.to_vec();
    let listed: Vec<_> = match state.assignment(&agent.settings.server) {
        Some((service, _)) => service.servers().to_vec(),
        None => return,
    };
    state.gone_servers = listed.iter().filter(|name| !live.contains(name)).cloned().collect();
    let gone_servers = state.gone_servers.clone();
    state.gate.observe(&listed, |name| gone_servers.contains(name), clock::now());
}
