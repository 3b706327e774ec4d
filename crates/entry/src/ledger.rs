//! Writes usage records to the object store.

use std::{sync, time};

use rhubarb_core::usage;
use rhubarb_node::clock;

use crate::entry;

const STORE_RETRY_DELAY: time::Duration = time::Duration::from_secs(1);

/// Closes and stores a usage record in each interval, until the task is aborted.
pub(crate) async fn flush_periodically(entry: sync::Arc<entry::Entry>) {
    let period = entry.settings.flush;
    let mut due = clock::now() + period;
    loop {
        if clock::now() >= due {
            entry.ledger().close(clock::unix_ms(), false);
            due += period;
        }
        let is_stored = store_all(&entry).await;
        let until_due = due.saturating_duration_since(clock::now());
        let pause =
            if is_stored { until_due } else { until_due.min(clock::jitter(STORE_RETRY_DELAY)) };
        tokio::time::sleep(pause.max(time::Duration::from_millis(10))).await;
    }
}

/// Stores all pending records in order; false as soon as one cannot be stored.
pub(crate) async fn store_all(entry: &entry::Entry) -> bool {
    loop {
        let next = entry.ledger().next_record().cloned();
        let Some(record) = next else { return true };
        let content = serde_json::json!(record).to_string();
        let stored = entry.objects.put(&object_name(&record), content).await;
        if stored.is_ok() {
            entry.ledger().remove_stored(record.seq);
        }
        entry.metrics.pending.set(entry.ledger().pending_count() as i64);
        if let Err(err) = stored {
            tracing::warn!("entry: usage record {} not stored: {err}", record.seq);
            return false;
        }
    }
}

// The name identifies the record, so a write repeated after a lost response stores it only once.
fn object_name(record: &usage::Record) -> String {
    format!("usage/{}/{:016x}/{:08}", record.entry, record.incarnation, record.seq)
}
