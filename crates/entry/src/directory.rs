//! The entry's view, shared by its tasks, and the exchange of service lists with agents.

use std::sync;

use prometheus_client::metrics::gauge;
use tokio::sync as lock;

use rhubarb_core::ids;
use rhubarb_node::{clock, instances, locks, service_list};
use rhubarb_wire::message;

use crate::view;

/// Probability with which an entry sends the list to an agent with an older version. Several
/// entries follow the agent, and a few copies are enough.
const PUSH_PROBABILITY: f64 = 0.3;

/// View of the entry, shared by its requests and its connections.
#[derive(Debug)]
pub(crate) struct Directory {
    view: sync::Mutex<view::View>,
    version: gauge::Gauge,
    refresh: lock::Notify,
}

impl Directory {
    /// Creates a directory that sets `version` to the version of its list.
    pub(crate) fn new(view: view::View, version: gauge::Gauge) -> Directory {
        Directory { view: sync::Mutex::new(view), version, refresh: lock::Notify::new() }
    }

    pub(crate) fn view(&self) -> sync::MutexGuard<'_, view::View> {
        locks::lock(&self.view)
    }

    /// Requests that the lists are read soon.
    pub(crate) fn request_refresh(&self) {
        self.refresh.notify_one();
    }

    /// Waits for a call of [`Directory::request_refresh`].
    pub(crate) async fn refresh_requested(&self) {
        self.refresh.notified().await;
    }

    /// Applies an update of the service list; returns whether a newer list is in force.
    pub(crate) fn apply_update(&self, update: &service_list::ListUpdate) -> bool {
        let is_new = self.view().apply_update(update, clock::now());
        if is_new {
            let version = self.view().version();
            self.version.set(version as i64);
            tracing::info!("entry: list {version} is in force");
        }
        is_new
    }

    /// Applies the service list from an agent, and its instance list if the entry has none.
    pub(crate) fn apply_copy(&self, copy: &message::ListCopy) {
        for update in service_list::from_list_copy(copy) {
            self.apply_update(&update);
        }
        let mut view = self.view();
        if view.has_instances {
            return;
        }
        match serde_json::from_str::<Vec<instances::Instance>>(&copy.instances) {
            Ok(listed) if !listed.is_empty() => view.update_instances(listed, clock::now()),
            Ok(_) => {}
            Err(err) => tracing::warn!("entry: cannot parse the instance list of an agent: {err}"),
        }
    }

    /// Update for an agent that has `version`; `None` if it is up to date.
    pub(crate) fn copy_since(&self, version: ids::ListVersion) -> Option<message::ListCopy> {
        let view = self.view();
        let update = view.update_from(version)?;
        let listed: Vec<_> = view.instances.values().collect();
        Some(service_list::to_list_copy(update, serde_json::json!(listed).to_string()))
    }

    /// Copy without a list that tells the agent of `server` that its instance is leaving; `None` if
    /// the instance list does not say so.
    pub(crate) fn leaving_copy(&self, server: &str) -> Option<message::ListCopy> {
        let view = self.view();
        let instance = view.leaving_instance(server)?;
        Some(message::ListCopy {
            version: view.version(),
            body: message::ListBody::Changes(Vec::new()),
            instances: serde_json::json!([instance]).to_string(),
        })
    }

    /// Whether this entry sends the list to an agent that has `version`.
    pub(crate) fn should_push(&self, version: ids::ListVersion) -> bool {
        version < self.view().version() && rand::random::<f64>() < PUSH_PROBABILITY
    }

    /// Requests a refresh if an agent has a newer version.
    pub(crate) fn check_version(&self, version: ids::ListVersion) {
        if version > self.view().version() {
            self.request_refresh();
        }
    }
}
