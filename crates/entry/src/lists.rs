//! Follows the service list and the instance list.

use std::{sync, time};

use rhubarb_core::ids;
use rhubarb_node::{clock, instances};
use rhubarb_wire::message;

use crate::{entry, peer};

/// Key of the list's row in the table.
const LIST_KEY: &str = "list";
const POLL: time::Duration = time::Duration::from_secs(2);
const HURRY: time::Duration = time::Duration::from_millis(200);
const PUSH_CHANCE: f64 = 0.3;

type Shared = sync::Arc<entry::Entry>;

/// Polls until the task is dropped.
pub(crate) async fn follow(entry: Shared) {
    let instances =
        instances::Instances::new(entry.client.clone(), &entry.settings.platform.instances);
    loop {
        let (list_read, instances_read) = tokio::join!(poll(&entry), instances.read());
        match instances_read {
            Ok(seen) => {
                entry.view().take_instances(seen, clock::now());
                entry.drop_old_peers();
            }
            Err(err) => tracing::debug!("entry: instance list not read: {err}"),
        }
        if !list_read {
            ask_peers(&entry).await;
        }
        let is_complete = {
            let view = entry.view();
            view.edition.version > 0 && view.read_instances
        };
        let period = if is_complete { clock::jitter(POLL) } else { HURRY };
        tokio::select! {
            () = tokio::time::sleep(period) => {}
            () = entry.list_wanted.notified() => tokio::time::sleep(clock::jitter(HURRY)).await,
        }
    }
}

async fn poll(entry: &Shared) -> bool {
    match entry.table.read(LIST_KEY).await {
        Ok(Some(row)) => {
            take(entry, row.version, &row.value);
            true
        }
        Ok(None) => true,
        Err(err) => {
            tracing::debug!("entry: list not read: {err}");
            false
        }
    }
}

// While the platform is away, agents pass the list on.
async fn ask_peers(entry: &Shared) {
    let followed = entry.view().followed();
    for (server, _) in followed.iter().take(1) {
        if let Some(peer) = entry.peer(server)
            && peer.contact().await.is_some()
        {
            peer.send(message::Order::WantList);
        }
    }
    if followed.is_empty() {
        for seed in &entry.settings.seeds {
            if let Some(copy) = peer::fetch_list(entry, *seed).await {
                take_copy(entry, &copy);
                return;
            }
        }
    }
}

/// Takes a list from the table.
fn take(entry: &Shared, version: ids::ListVersion, row: &str) {
    let is_new = entry.view().take_list(version, row, clock::now());
    if is_new {
        entry.metrics.version.set(version as i64);
        tracing::info!("entry: list {version} is in force");
    }
}

/// Takes a list from an agent.
pub(crate) fn take_copy(entry: &Shared, copy: &message::ListCopy) {
    take(entry, copy.version, &copy.content);
    let mut view = entry.view();
    if !view.read_instances
        && let Ok(seen) = serde_json::from_str::<Vec<instances::Instance>>(&copy.instances)
        && !seen.is_empty()
    {
        view.take_instances(seen, clock::now());
    }
}

/// The list in force, for an agent.
pub(crate) fn copy(entry: &Shared) -> Option<message::ListCopy> {
    let view = entry.view();
    let seen: Vec<_> = view.instances.values().collect();
    let instances = serde_json::json!(seen).to_string();
    let edition = &view.edition;
    (edition.version > 0).then(|| message::ListCopy {
        version: edition.version,
        content: edition.row.clone(),
        instances,
    })
}

/// Whether an agent that is behind is to be sent the list by this entry; of all that follow it
/// a few are enough.
pub(crate) fn is_to_push(entry: &entry::Entry, version: ids::ListVersion) -> bool {
    version < entry.view().edition.version && rand::random::<f64>() < PUSH_CHANCE
}

/// Sends the list to the agent of `server`, which cannot read the table itself.
pub(crate) async fn push(entry: Shared, server: ids::ServerName) {
    let Some(peer) = entry.peer(&server) else { return };
    if peer.contact().await.is_some()
        && let Some(copy) = copy(&entry)
    {
        peer.send(message::Order::List(copy));
    }
}

/// Notes the version that an agent has; a newer one is fetched at once.
pub(crate) fn note_version(entry: &entry::Entry, version: ids::ListVersion) {
    if version > entry.view().edition.version {
        entry.list_wanted.notify_one();
    }
}
