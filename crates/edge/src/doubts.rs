//! Engines whose processes may no longer be those that their rows name.
//!
//! An engine may start again under its id with another version of its software, some time before its
//! row says so. Where that may have happened no begun stream goes on, until the engine itself or a
//! newer row says which process it is.

use crate::{directory, edge};

/// Records that an engine runs another process than the registered one. It is not used until its row names
/// that process.
pub(crate) fn record_unregistered(edge: &edge::Edge, target: &directory::Target) {
    if edge.directory().record_unregistered(target) {
        tracing::info!(
            server = target.id,
            born = target.process.1,
            "edge: engine not used until it is registered"
        );
    }
}

/// Records that the process of an engine may have ended since its row was written; it will be asked.
pub(crate) fn record(edge: &edge::Edge, target: &directory::Target) {
    if target.process.1.is_none() {
        return;
    }
    let mut directory = edge.directory();
    let is_engine = directory.service_of(&target.id).is_some_and(|known| known.engine.is_some());
    if is_engine && directory.record_down(&target.id) {
        drop(directory);
        edge.add_doubt(target.clone());
    }
}
