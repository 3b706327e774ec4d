//! Follows the service list and the instance list.

use std::{collections, sync, time};

use rhubarb_core::{ids, list};
use rhubarb_node::{clock, instances, service_list};
use rhubarb_wire::message;

use crate::agent;

const POLL: time::Duration = time::Duration::from_secs(30);
/// Parts of the window in which an agent that was dropped has to see it.
const POLLS_A_WINDOW: u32 = 8;
const FIRST_POLL: time::Duration = time::Duration::from_secs(1);
const HURRY: time::Duration = time::Duration::from_millis(300);

type Shared = sync::Arc<agent::Agent>;

/// Whether a peer has a newer list.
pub(crate) fn is_behind(agent: &agent::Agent, version: ids::ListVersion) -> bool {
    agent.lock().revisions.version() < version
}

/// Asks one entry for its list, or the table if no entry is linked.
pub(crate) fn want(agent: &agent::Agent) {
    let state = agent.lock();
    let version = state.revisions.version();
    let count = state.links.len().max(1);
    let link = state.links.values().nth(rand::random::<u64>() as usize % count);
    let asked = link.is_some_and(|link| link.try_send(message::ToEntry::WantList(version)).is_ok());
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

/// What a peer with `version` lacks of the list in force.
pub(crate) fn copy(agent: &agent::Agent, version: ids::ListVersion) -> Option<message::ListCopy> {
    let state = agent.lock();
    let update = state.revisions.update_from(version)?;
    Some(service_list::to_list_copy(update, serde_json::json!(state.instances).to_string()))
}

/// Takes a list from a peer; where its changes do not fit, the table is asked.
pub(crate) fn take_copy(agent: &agent::Agent, copy: &message::ListCopy) {
    for news in service_list::from_list_copy(copy) {
        if !take(agent, &news) && is_behind(agent, copy.version) {
            agent.list_wanted.notify_one();
        }
    }
}

/// Takes news; tells whether a newer list is in force now.
fn take(agent: &agent::Agent, news: &service_list::ListUpdate) -> bool {
    let mut state = agent.lock();
    if service_list::apply_update(&mut state.revisions, news).is_none() {
        return false;
    }
    let version = state.revisions.version();
    state.known = true;
    enforce(agent, &mut state);
    drop(state);
    tracing::info!("agent: list {version} is in force");
    agent.list_taken.notify_one();
    true
}

// Brings gate and slots to what the list says.
fn enforce(agent: &agent::Agent, state: &mut agent::State) {
    let now = clock::now();
    let unix = clock::unix_ms();
    let server = &agent.settings.server;
    let Some(service) = state.service(server) else { return };
    let revision = state.revisions.current();
    let joined = revision.joined_ago(&service.name, server, unix);
    let removed: Vec<_> =
        revision.removed.iter().filter(|gone| gone.service == service.name).cloned().collect();
    state.gate.set_window(service.window);
    state.mark_first_complete(server);
    if let Some(ago) = joined {
        state.gate.record_join(ago, now);
    }
    for removal in removed {
        let ago = time::Duration::from_millis(unix.saturating_sub(removal.at_ms));
        state.gate.record_removal(&removal.server, ago, now);
    }
    let gone = state.gone.clone();
    state.gate.observe(service.servers(), |name| gone.contains(name), now);
    if let list::Kind::Plain(plain) = &service.kind {
        state.slots.set_capacity(plain.slots);
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
        let period = poll_period(&agent);
        tokio::select! {
            () = tokio::time::sleep(clock::jitter(period)) => {}
            () = agent.list_wanted.notified() => tokio::time::sleep(clock::jitter(HURRY)).await,
        }
    }
}

// Entries tell of new lists; polling is for when no entry is heard, and to see oneself dropped.
fn poll_period(agent: &agent::Agent) -> time::Duration {
    let state = agent.lock();
    match state.service(&agent.settings.server) {
        Some(service) => POLL.min(service.window / POLLS_A_WINDOW),
        None => FIRST_POLL,
    }
}

async fn poll(agent: &agent::Agent) {
    loop {
        let version = agent.lock().revisions.version();
        let news = match service_list::read_update(&agent.table, version).await {
            Ok(news) => news,
            Err(err) => return tracing::debug!("agent: list not read: {err}"),
        };
        if take(agent, &news) {
            continue;
        }
        // A change that does not fit the current revision: the whole list replaces it.
        if matches!(news, service_list::ListUpdate::Change(_, _))
            && let Ok(whole) = service_list::read_update(&agent.table, 0).await
        {
            take(agent, &whole);
        }
        return;
    }
}

fn note_instances(agent: &agent::Agent, seen: &[instances::Instance]) {
    let live: collections::BTreeSet<_> = seen.iter().map(|instance| &instance.name).collect();
    let mut state = agent.lock();
    state.instances = seen.to_vec();
    let listed: Vec<_> = match state.assignment(&agent.settings.server) {
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
