//! Follows the service list and the instance list.

use std::{sync, time};

use rhubarb_core::ids;
use rhubarb_node::{clock, editions, instances};
use rhubarb_wire::message;

use crate::{dial, entry};

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
            view.version() > 0 && view.read_instances
        };
        let period = if is_complete { clock::jitter(POLL) } else { HURRY };
        tokio::select! {
            () = tokio::time::sleep(period) => {}
            () = entry.list_wanted.notified() => tokio::time::sleep(clock::jitter(HURRY)).await,
        }
    }
}

// Reads changes one by one until nothing is newer; false while the table is away.
async fn poll(entry: &Shared) -> bool {
    loop {
        let version = entry.view().version();
        match editions::read_news(&entry.table, version).await {
            Ok(news) if take(entry, &news) => {}
            Ok(editions::News::Change(_, _)) => return take_whole(entry).await,
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
    match editions::read_news(&entry.table, 0).await {
        Ok(news) => {
            take(entry, &news);
            true
        }
        Err(_) => false,
    }
}

// While the platform is away, agents pass the list on.
async fn ask_peers(entry: &Shared) {
    let followed = entry.view().followed();
    for (server, _) in followed.iter().take(1) {
        if let Some(peer) = entry.peer(server)
            && peer.contact().await.is_some()
        {
            peer.send(message::Order::WantList(entry.view().version()));
        }
    }
    if followed.is_empty() {
        for seed in &entry.settings.seeds {
            if let Some(copy) = dial::fetch_list(entry, *seed).await {
                take_copy(entry, &copy);
                return;
            }
        }
    }
}

/// Takes news; tells whether a newer list is in force now.
fn take(entry: &Shared, news: &editions::News) -> bool {
    let is_new = entry.view().take_news(news, clock::now());
    if is_new {
        let version = entry.view().version();
        entry.metrics.version.set(version as i64);
        tracing::info!("entry: list {version} is in force");
    }
    is_new
}

/// Takes a list from an agent.
pub(crate) fn take_copy(entry: &Shared, copy: &message::ListCopy) {
    for news in editions::read_copy(copy) {
        take(entry, &news);
    }
    let mut view = entry.view();
    if !view.read_instances
        && let Ok(seen) = serde_json::from_str::<Vec<instances::Instance>>(&copy.instances)
        && !seen.is_empty()
    {
        view.take_instances(seen, clock::now());
    }
}

/// What an agent with `version` lacks of the list in force.
pub(crate) fn copy(entry: &Shared, version: ids::ListVersion) -> Option<message::ListCopy> {
    let view = entry.view();
    let update = view.update_from(version)?;
    let seen: Vec<_> = view.instances.values().collect();
    Some(editions::write_copy(update, serde_json::json!(seen).to_string()))
}

/// Whether an agent that is behind is to be sent the list by this entry; of all that follow it
/// a few are enough.
pub(crate) fn is_to_push(entry: &entry::Entry, version: ids::ListVersion) -> bool {
    version < entry.view().version() && rand::random::<f64>() < PUSH_CHANCE
}

/// Sends the list to the agent of `server`, which cannot read the table itself.
pub(crate) async fn push(entry: Shared, server: ids::ServerName, version: ids::ListVersion) {
    let Some(peer) = entry.peer(&server) else { return };
    if peer.contact().await.is_some()
        && let Some(copy) = copy(&entry, version)
    {
        peer.send(message::Order::List(copy));
    }
}

/// Notes the version that an agent has; a newer one is fetched at once.
pub(crate) fn note_version(entry: &entry::Entry, version: ids::ListVersion) {
    if version > entry.view().version() {
        entry.list_wanted.notify_one();
    }
}
