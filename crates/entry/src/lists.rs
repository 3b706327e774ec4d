//! Polls the service list and the instance list.

use std::{sync, time};

use rhubarb_core::ids;
use rhubarb_node::{clock, instances, service_list};
use rhubarb_wire::message;

use crate::entry;

/// Poll interval once both lists are known.
const POLL_INTERVAL: time::Duration = time::Duration::from_secs(2);
/// Poll interval until both lists are known, and the delay of a requested refresh.
const FAST_INTERVAL: time::Duration = time::Duration::from_millis(200);

type Shared = sync::Arc<entry::Entry>;

/// Polls until the task is dropped.
pub(crate) async fn run(entry: Shared) {
    let instances = instances::Instances::new(&entry.settings.platform.instances);
    loop {
        let (list_read, instances_read) = tokio::join!(read_list(&entry), instances.read());
        match instances_read {
            Ok(listed) => {
                entry.directory.view().update_instances(listed, clock::now());
                entry.peers.drop_unlisted();
            }
            Err(err) => tracing::debug!("entry: cannot read the instance list: {err}"),
        }
        if !list_read {
            request_from_agents(&entry).await;
        }
        let is_complete = {
            let view = entry.directory.view();
            view.version() > 0 && view.has_instances
        };
        let interval = if is_complete { clock::jitter(POLL_INTERVAL) } else { FAST_INTERVAL };
        tokio::select! {
            () = tokio::time::sleep(interval) => {}
            () = entry.directory.refresh_requested() => {
                tokio::time::sleep(clock::jitter(FAST_INTERVAL)).await;
            }
        }
    }
}

// Reads changes one by one until none is newer; false if the table is unavailable.
async fn read_list(entry: &Shared) -> bool {
    loop {
        let version = entry.directory.view().version();
        match service_list::read_update(&entry.table, version).await {
            Ok(update) if entry.directory.apply_update(&update) => {}
            Ok(service_list::ListUpdate::Change(_, _)) => return read_whole_list(entry).await,
            Ok(_) => return true,
            Err(err) => {
                tracing::debug!("entry: cannot read the service list: {err}");
                return false;
            }
        }
    }
}

// Used when a change does not apply to the revision in force.
async fn read_whole_list(entry: &Shared) -> bool {
    match service_list::read_update(&entry.table, 0).await {
        Ok(update) => {
            entry.directory.apply_update(&update);
            true
        }
        Err(_) => false,
    }
}

// While the table is unavailable, requests the list from a followed agent, or from the seeds if no
// agent is followed.
async fn request_from_agents(entry: &Shared) {
    let followed = entry.directory.view().followed();
    for (server, _) in followed.iter().take(1) {
        if let Some(peer) = entry.peers.get(server)
            && peer.connect().await.is_some()
        {
            peer.send(message::ToAgent::WantList(entry.directory.view().version()));
        }
    }
    if followed.is_empty() {
        for seed in &entry.settings.seeds {
            if let Some(copy) = entry.peers.fetch_list(*seed).await {
                entry.directory.apply_copy(&copy);
                return;
            }
        }
    }
}

/// Sends the service list to the agent of `server`, which may be unable to read the table.
pub(crate) async fn push(entry: Shared, server: ids::ServerName, version: ids::ListVersion) {
    let Some(peer) = entry.peers.get(&server) else { return };
    if peer.connect().await.is_some()
        && let Some(copy) = entry.directory.copy_since(version)
    {
        peer.send(message::ToAgent::List(copy));
    }
}
