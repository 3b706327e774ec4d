//! Writes usage records, the totals of each route and service, to the platform's store.
//!
//! One object holds one day of one process and is overwritten during that day, which keeps the
//! number of objects small. A killed process loses at most the last minute and a half.

use std::{sync, time};

use rhubarb_core::{ids, routing, usage};
use rhubarb_node::clock;
use rhubarb_platform::store;

use crate::edge;

/// Delay of the first write, before jitter. A process that is killed early thus leaves a record,
/// after which a report shows a gap.
const FIRST_FLUSH: time::Duration = time::Duration::from_secs(3);
/// Interval between writes of the current record, before jitter; a thousand processes then make 17
/// calls per second.
const FLUSH_PERIOD: time::Duration = time::Duration::from_secs(60);
/// Maximum time between writes of a live process: jitter lengthens an interval by up to a half, and
/// one call may fail.
const MAX_FLUSH_GAP: time::Duration = time::Duration::from_secs(200);
/// Length of a day; a record ends at the end of the day in UTC.
const DAY_MS: u64 = 86_400_000;
/// Timeout of a call to the store.
const STORE_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);
/// Timeout of the last write of a stopping process, which the platform kills soon after.
const LAST_TIMEOUT: time::Duration = time::Duration::from_millis(250);

/// Access to the totals of one route at one service.
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

    /// Updates the totals with `update`.
    pub(crate) fn update(&self, update: impl FnOnce(&mut usage::Totals)) {
        update(self.edge.ledger().totals(&self.service, &self.route));
    }
}

/// Writes records periodically; does not return.
pub(crate) async fn run(edge: sync::Arc<edge::Edge>) {
    let mut pause = clock::jitter(FIRST_FLUSH);
    loop {
        let day_left = time::Duration::from_millis(DAY_MS - edge.dates.now_ms() % DAY_MS);
        tokio::time::sleep(pause.min(day_left)).await;
        if let Some(rest) = pause.checked_sub(day_left) {
            // The record ends at the last millisecond of its day, which assigns it to that day.
            let day_end = edge.dates.now_ms() / DAY_MS * DAY_MS;
            edge.ledger().close(day_end - 1, false);
            tokio::time::sleep(rest).await;
        }
        if store_closed_records(&edge).await {
            let record =
                edge.ledger().open_record(edge.dates.now_ms(), MAX_FLUSH_GAP.as_millis() as u64);
            store_record(&edge, &record).await;
        }
        pause = clock::jitter(FLUSH_PERIOD);
    }
}

/// Writes the last record of a stopping process.
pub(crate) async fn finish(edge: &edge::Edge) {
    let now_ms = edge.dates.now_ms();
    edge.ledger().close(now_ms, true);
    if tokio::time::timeout(LAST_TIMEOUT, store_closed_records(edge)).await.is_err() {
        tracing::warn!("edge: storing the last usage record timed out");
    }
}

// Writes the records of closed intervals; false if a write fails.
async fn store_closed_records(edge: &edge::Edge) -> bool {
    loop {
        let Some(record) = edge.ledger().next_record().cloned() else { return true };
        if !store_record(edge, &record).await {
            return false;
        }
        edge.ledger().remove_stored(record.seq);
    }
}

async fn store_record(edge: &edge::Edge, record: &usage::Record) -> bool {
    let content = serde_json::json!(record).to_string();
    let name = store::usage_object(&record.entry, record.incarnation, record.seq);
    let stored = edge.store.put_object(&name, content.into(), STORE_TIMEOUT).await;
    if let Err(err) = &stored {
        tracing::warn!(name, %err, "edge: usage not stored");
    }
    stored.is_ok()
}
