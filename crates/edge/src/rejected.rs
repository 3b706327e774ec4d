//! Suspected parts of prompts, and those that are rejected.

use std::collections;

use rhubarb_core::{ids, suspects};
use rhubarb_node::clock;

use crate::metrics;

/// Suspected parts of prompts, and those whose rejection was logged.
#[derive(Debug, Default)]
pub(crate) struct Rejected {
    pub(crate) suspects: suspects::Suspects,
    parts: collections::BTreeSet<ids::PartTag>,
}

impl Rejected {
    /// Forgets old crashes.
    pub(crate) fn expire(&mut self, counters: &metrics::Counters) {
        if !self.suspects.is_empty() {
            self.suspects.expire(clock::now());
            self.log_changes("age", counters);
        }
    }

    /// Logs which parts are rejected from now on, or no longer, because of `source`.
    pub(crate) fn log_changes(&mut self, source: &str, counters: &metrics::Counters) {
        let parts: collections::BTreeSet<_> =
            self.suspects.rejected(clock::now()).into_iter().collect();
        for part in parts.difference(&self.parts) {
            tracing::warn!(part, source, "edge: part of prompts crashes servers, rejected");
        }
        for part in self.parts.difference(&parts) {
            tracing::info!(part, source, "edge: part of prompts no longer rejected");
        }
        counters.rejected_parts.set(parts.len() as i64);
        self.parts = parts;
    }
}
