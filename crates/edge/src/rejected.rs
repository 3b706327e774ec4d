//! Suspected causes of crashes, and those that are rejected.

use std::collections;

use rhubarb_core::{abandoned, cause, suspects};
use rhubarb_node::clock;

use crate::metrics;

/// Suspected causes of crashes, and those whose rejection was logged.
#[derive(Debug, Default)]
pub(crate) struct Rejected {
    pub(crate) suspects: suspects::Suspects,
    /// Requests that were given up lately.
    pub(crate) abandoned: abandoned::Abandoned,
    causes: collections::BTreeSet<cause::Cause>,
}

impl Rejected {
    /// Forgets old crashes.
    pub(crate) fn expire(&mut self, counters: &metrics::Counters) {
        if !self.suspects.is_empty() {
            self.suspects.expire(clock::now());
            self.log_changes("age", counters);
        }
    }

    /// Logs which causes are rejected from now on, or no longer, because of `source`.
    pub(crate) fn log_changes(&mut self, source: &str, counters: &metrics::Counters) {
        let causes: collections::BTreeSet<_> =
            self.suspects.rejected(clock::now()).into_iter().collect();
        for cause in causes.difference(&self.causes) {
            tracing::warn!(?cause, source, "edge: cause of crashes rejected");
        }
        for cause in self.causes.difference(&causes) {
            tracing::info!(?cause, source, "edge: cause of crashes no longer rejected");
        }
        counters.rejected_causes.set(causes.len() as i64);
        self.causes = causes;
    }
}
