//! Who serves what: the service list in force and the servers that are known.

use std::sync;

use prometheus_client::metrics::gauge;
use tokio::sync as lock;

use rhubarb_core::ids;
use rhubarb_node::{clock, instances, locks, service_list};
use rhubarb_wire::message;

use crate::view;

/// Chance with which an entry sends the list to an agent that is behind: of all that follow it a
/// few are enough.
const PUSH_CHANCE: f64 = 0.3;

/// What an entry knows, shared by its requests and its connections.
#[derive(Debug)]
pub(crate) struct Directory {
    view: sync::Mutex<view::View>,
    version: gauge::Gauge,
    wanted: lock::Notify,
}

impl Directory {
    /// Makes a directory that shows its list's version in `version`.
    pub(crate) fn new(view: view::View, version: gauge::Gauge) -> Directory {
        Directory { view: sync::Mutex::new(view), version, wanted: lock::Notify::new() }
    }

    pub(crate) fn view(&self) -> sync::MutexGuard<'_, view::View> {
        locks::lock(&self.view)
    }

    /// Asks for the lists to be read soon.
    pub(crate) fn want(&self) {
        self.wanted.notify_one();
    }

    /// Waits until [`Directory::want`] is called.
    pub(crate) async fn wanted(&self) {
        self.wanted.notified().await;
    }

    /// Takes news; tells whether a newer list is in force now.
    pub(crate) fn take(&self, news: &service_list::ListUpdate) -> bool {
        let is_new = self.view().apply_update(news, clock::now());
        if is_new {
            let version = self.view().version();
            self.version.set(version as i64);
            tracing::info!("entry: list {version} is in force");
        }
        is_new
    }

    /// Takes a list from an agent.
    pub(crate) fn take_copy(&self, copy: &message::ListCopy) {
        for news in service_list::from_list_copy(copy) {
            self.take(&news);
        }
        let mut view = self.view();
        if view.has_instances {
            return;
        }
        match serde_json::from_str::<Vec<instances::Instance>>(&copy.instances) {
            Ok(seen) if !seen.is_empty() => view.update_instances(seen, clock::now()),
            Ok(_) => {}
            Err(err) => tracing::warn!("entry: an agent's instance list is not readable: {err}"),
        }
    }

    /// What an agent with `version` lacks of the list in force.
    pub(crate) fn copy(&self, version: ids::ListVersion) -> Option<message::ListCopy> {
        let view = self.view();
        let update = view.update_from(version)?;
        let seen: Vec<_> = view.instances.values().collect();
        Some(service_list::to_list_copy(update, serde_json::json!(seen).to_string()))
    }

    /// Whether an agent that is behind is to be sent the list by this entry.
    pub(crate) fn is_to_push(&self, version: ids::ListVersion) -> bool {
        version < self.view().version() && rand::random::<f64>() < PUSH_CHANCE
    }

    /// Notes the version that an agent has; a newer one is fetched at once.
    pub(crate) fn note_version(&self, version: ids::ListVersion) {
        if version > self.view().version() {
            self.want();
        }
    }
}
