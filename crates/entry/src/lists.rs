//! Follows the service list and the instance list.

use std::{sync, time};

use rhubarb_core::ids;
use rhubarb_node::{clock, instances, service_list};
use rhubarb_wire::message;

use crate::entry;

const POLL: time::Duration = time::Duration::from_secs(2);
const HURRY: time::Duration = time::Duration::from_millis(200);

type Shared = sync::Arc<entry::Entry>;

/// Polls until the task is dropped.
pub(crate) async fn follow(entry: Shared) {
    let instances =
        instances::Instances::new(entry.client.clone(), &entry.settings.platform.instances);
    loop {
        let (list_read, instances_read) = tokio::join!(poll(&entry), instances.read());
        match instances_read {
            Ok(seen) => {
                entry.directory.view().update_instances(seen, clock::now());
                entry.peers.drop_unlisted();
            }
            Err(err) => tracing::debug!("entry: instance list not read: {err}"),
        }
        if !list_read {
            ask_peers(&entry).await;
        }
        let is_complete = {
            let view = entry.directory.view();
            view.version() > 0 && view.has_instances
        };
        let period = if is_complete { clock::jitter(POLL) } else { HURRY };
        tokio::select! {
            () = tokio::time::sleep(period) => {}
            () = entry.directory.refresh_requested() => tokio::time::sleep(clock::jitter(HURRY)).await,
        }
    }
}

// Reads changes one by one until nothing is newer; false while the table is away.
async fn poll(entry: &Shared) -> bool {
    loop {
        let version = entry.directory.view().version();
        match service_list::read_update(&entry.table, version).await {
            Ok(news) if entry.directory.apply_update(&news) => {}
            Ok(service_list::ListUpdate::Change(_, _)) => return take_whole(entry).await,
            Ok(_) => return true,
            Err(err) => {
                tracing::debug!("entry: list not read: {err}");
                return false;
            }
        }
    }
}

// For a change that does not fit the edition in force.
async fn take_whole(entry: &Shared) -> bool {
    match service_list::read_update(&entry.table, 0).await {
        Ok(news) => {
            entry.directory.apply_update(&news);
            true
        }
        Err(_) => false,
    }
}

// While the platform is away, agents pass the list on.
async fn ask_peers(entry: &Shared) {
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

/// Sends the list to the agent of `server`, which cannot read the table itself.
pub(crate) async fn push(entry: Shared, server: ids::ServerName, version: ids::ListVersion) {
    let Some(peer) = entry.peers.get(&server) else { return };
    if peer.connect().await.is_some()
        && let Some(copy) = entry.directory.copy_since(version)
    {
        peer.send(message::ToAgent::List(copy));
    }
}
