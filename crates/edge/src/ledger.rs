//! Writes to the platform's store what the callers of each route got.
//!
//! One object holds one day of one process. It is written again while the day lasts, so that
//! objects stay few, and what a killed process had not written yet is a minute and a half at most.

use std::{sync, time};

use rhubarb_core::{ids, routing, usage};
use rhubarb_node::clock;
use rhubarb_platform::store;

use crate::edge;

/// The first record is written after this time, so that a process that is killed early has left
/// one: a report names the gap behind it.
const FIRST_FLUSH: time::Duration = time::Duration::from_secs(3);
/// The record of the current interval is written this often: a thousand processes then make 17
/// calls a second.
const FLUSH_PERIOD: time::Duration = time::Duration::from_secs(60);
/// A live process has written again after this time: pauses are drawn up to half again as long,
/// and one call may fail.
const DUE: time::Duration = time::Duration::from_secs(200);
/// A record ends with the day, in UTC.
const DAY_MS: u64 = 86_400_000;
/// Time for one call to the store.
const STORE_LIMIT: time::Duration = time::Duration::from_millis(1_500);

/// Time for the last record of a process that stops; the platform kills it soon after.
const LAST_LIMIT: time::Duration = time::Duration::from_millis(250);

/// Where the requests of one route at one service are counted.
#[derive(Clone, Debug)]
pub(crate) struct Account {
    edge: sync::Arc<edge::Edge>,
    service: ids::ServiceName,
    route: routing::RouteName,
}

impl Account {
    pub(crate) fn new(
        edge: &sync::Arc<edge::Edge>,
        service: &ids::ServiceName,
        route: &routing::RouteName,
    ) -> Account {
        Account { edge: edge.clone(), service: service.clone(), route: route.clone() }
    }

    /// Has `count` add to the totals.
    pub(crate) fn add(&self, count: impl FnOnce(&mut usage::Totals)) {
        count(self.edge.ledger().totals(&self.service, &self.route));
    }
}

/// Writes records for as long as the process runs.
pub(crate) async fn run(edge: sync::Arc<edge::Edge>) {
    let mut pause = clock::jitter(FIRST_FLUSH);
    loop {
        let day_left = time::Duration::from_millis(DAY_MS - edge.dates.now_ms() % DAY_MS);
        tokio::time::sleep(pause.min(day_left)).await;
        if let Some(rest) = pause.checked_sub(day_left) {
            // The day that has ended is told apart by its last millisecond.
            let day_end = edge.dates.now_ms() / DAY_MS * DAY_MS;
            edge.ledger().close(day_end - 1, false);
            tokio::time::sleep(rest).await;
        }
        if store_closed(&edge).await {
            let record = edge.ledger().open_record(edge.dates.now_ms(), DUE.as_millis() as u64);
            store(&edge, &record).await;
        }
        pause = clock::jitter(FLUSH_PERIOD);
    }
}

/// Writes the last record of a process that stops.
pub(crate) async fn finish(edge: &edge::Edge) {
    let now_ms = edge.dates.now_ms();
    edge.ledger().close(now_ms, true);
    if tokio::time::timeout(LAST_LIMIT, store_closed(edge)).await.is_err() {
        tracing::warn!("edge: last usage record not stored in time");
    }
}

// Writes the records of intervals that have ended; false if the store does not take them.
async fn store_closed(edge: &edge::Edge) -> bool {
    loop {
        let Some(record) = edge.ledger().next_record().cloned() else { return true };
        if !store(edge, &record).await {
            return false;
        }
        edge.ledger().remove_stored(record.seq);
    }
}

async fn store(edge: &edge::Edge, record: &usage::Record) -> bool {
    let content = serde_json::json!(record).to_string();
    let name = store::usage_object(&record.entry, record.incarnation, record.seq);
    let stored = edge.store.put_object(&name, content.into(), STORE_LIMIT).await;
    if let Err(err) = &stored {
        tracing::warn!(name, %err, "edge: usage not stored");
    }
    stored.is_ok()
}
