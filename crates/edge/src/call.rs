//! One request on its way through the entry.

use std::{sync, sync::atomic, time};

use bytes::Bytes;
use hyper::header;

use rhubarb_core::{flow, ids, outcome, routing};
use rhubarb_node::{clock, metrics};
use rhubarb_platform::request;

use crate::{edge, ledger};

/// A request that has been read and has a route.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) edge: sync::Arc<edge::Edge>,
    pub(crate) head: request::Head,
    pub(crate) body: Bytes,
    pub(crate) route: routing::Route,
    pub(crate) service: ids::ServiceName,
    pub(crate) version: ids::ListVersion,
    pub(crate) arrived: time::Instant,
    /// Whether its caller was refused before, so that it can no longer be in time.
    pub(crate) returned: bool,
    /// When the final answer is due.
    pub(crate) deadline: time::Instant,
}

impl Call {
    /// Id for logs.
    pub(crate) fn id(&self) -> &str {
        let id = self.head.attempt.as_ref().map(header::HeaderValue::to_str);
        id.and_then(Result::ok).unwrap_or("-")
    }

    pub(crate) fn time_left(&self) -> time::Duration {
        self.deadline.saturating_duration_since(clock::now())
    }

    /// What the request may cost, with at most `retries` attempts after the first.
    pub(crate) fn rules(&self, retries: u32) -> flow::RetryPolicy {
        let routing::Route { kind, attempts, .. } = self.route;
        flow::RetryPolicy {
            kind,
            max_runs: attempts,
            max_retries: retries,
            deadline: self.deadline,
        }
    }

    /// Where the request is counted.
    pub(crate) fn account(&self) -> ledger::Account {
        ledger::Account::new(&self.edge, &self.service, &self.route.name)
    }

    /// Time since the request arrived, in milliseconds.
    pub(crate) fn age_ms(&self) -> u64 {
        (clock::now() - self.arrived).as_millis() as u64
    }

    /// Takes `sends` repeats from the shared budget after an attempt at `server`, and notes it.
    pub(crate) fn take_repeats(
        &self,
        server: Option<&ids::ServerName>,
        sends: u32,
        reason: outcome::Reason,
    ) -> bool {
        let taken = self.edge.directory().spend_repeats(&self.service, sends, clock::now());
        if taken {
            self.edge
                .counters
                .requests
                .retried
                .get_or_create(&metrics::reason_labels(reason))
                .inc();
            self.account().add(|totals| totals.count_retry(reason));
        }
        tracing::info!(
            id = self.id(),
            server,
            reason = reason.name(),
            sends,
            taken,
            "edge: repeat asked for"
        );
        taken
    }
}

/// Counts a request as open until it is dropped.
#[derive(Debug)]
pub(crate) struct Open(sync::Arc<edge::Edge>);

impl Open {
    pub(crate) fn new(edge: &sync::Arc<edge::Edge>) -> Open {
        edge.open_requests.fetch_add(1, atomic::Ordering::Relaxed);
        Open(edge.clone())
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.open_requests.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}
