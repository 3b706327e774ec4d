//! Keeps the versions that began streams in the platform's store while a service has several, for a
//! fleet whose entries all start anew.
//!
//! A stream is on record before its first event is sent to its caller. Streams that begin while a
//! write is due are written together.

use std::{collections, sync, time};

use serde::{Deserialize, Serialize};
use tokio::task;

use rhubarb_core::{ids, origins as core_origins, stamp, stream_records};
use rhubarb_node::clock;
use rhubarb_platform::store;

use crate::{call, edge, records};

/// A row of the store.
#[derive(Debug, Serialize, Deserialize)]
struct Record {
    /// Era of the store for which it was written. A copy may lack what made a stream uncertain later.
    era: stamp::Era,
    /// Unix milliseconds of the write.
    at_ms: u64,
    origin: core_origins::Origin,
}

type Services = collections::BTreeSet<ids::ServiceName>;

/// Longest time between checks whether streams are to be written. They make no calls.
const PERIOD: time::Duration = time::Duration::from_millis(250);
/// Longest time that a first event waits for its record.
const MAX_WAIT: time::Duration = time::Duration::from_millis(300);
/// Time for which streams wait for the write before theirs, and the number of writes on their way from which
/// on they wait longer.
const GROUP_TIME: time::Duration = time::Duration::from_millis(20);
const MAX_WRITES: usize = 16;
/// Timeout of a write, which is then repeated: its response may be lost.
const WRITE_TIMEOUT: time::Duration = time::Duration::from_millis(120);
/// Timeout of a repeated write, and of calls for rows to remove.
const STORE_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);
/// Delay before a stream is written again after a failed write, and the same while writes keep failing.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(30);
const FAILING_DELAY: time::Duration = time::Duration::from_millis(500);
/// Timeout of a read that a request waits for, and the delay before another one.
const READ_TIMEOUT: time::Duration = time::Duration::from_millis(300);
const READ_DELAY: time::Duration = time::Duration::from_millis(50);
/// Longest time that a request waits for reads.
const MAX_READ_WAIT: time::Duration = time::Duration::from_secs(1);
/// Longest time that a process that ends waits for its records.
const MAX_LAST_WAIT: time::Duration = time::Duration::from_millis(1_500);
/// Interval between checks whether streams are kept.
const KEEP_POLL: time::Duration = time::Duration::from_millis(20);
/// Interval between searches for rows whose streams can no longer be taken up.
const CLEAN_PERIOD: time::Duration = time::Duration::from_secs(30);
/// Pause between the pages of a search.
const PAGE_PAUSE: time::Duration = time::Duration::from_secs(1);

/// Waits until the store has the version that began the stream of a call, or does not take it in time; no
/// time if its service has one version. The first event of the stream is sent afterwards.
pub(crate) async fn keep(call: &call::Call) {
    let (edge, started) = (&call.edge, clock::now());
    if !edge.directory().needs_origins(&call.service, started) {
        return;
    }
    let is_failing = edge.records().is_failing();
    let is_kept = !is_failing && wait_stored(call).await;
    let waited = clock::now() - started;
    edge.counters.record_waits.observe(waited.as_secs_f64());
    if is_kept {
        return;
    }
    edge.records().set_failing();
    edge.counters.unrecorded_streams.inc();
    let waited_ms = waited.as_millis() as u64;
    tracing::info!(id = call.id(), waited_ms, "edge: stream begins without a record in the store");
}

// Returns false if the store did not have the stream in time.
async fn wait_stored(call: &call::Call) -> bool {
    let edge = &call.edge;
    let attempts: Vec<_> = call.stream_tags().collect();
    let waiting: Vec<_> =
        attempts.iter().map(|attempt| (*attempt, edge.records().wait(*attempt))).collect();
    edge.origin_unstored.notify_one();
    let stored = async {
        for (attempt, written) in waiting {
            // It may have been written before it was waited for.
            if !edge.origins().is_stored(attempt) {
                let _ = written.await;
            }
        }
    };
    tokio::time::timeout(MAX_WAIT, stored).await.is_ok()
}

/// Waits up to `limit` until all streams of `services` that began before `at` are known elsewhere and on
/// record; returns whether they are.
pub(crate) async fn until_kept(
    edge: &edge::Edge,
    services: &Services,
    at: time::Instant,
    limit: time::Duration,
) -> bool {
    let until = clock::now() + limit;
    let are_kept = || services.iter().all(|service| edge.origins().are_kept(service, at));
    edge.note_origins();
    while !are_kept() {
        if clock::now() >= until {
            return false;
        }
        tokio::time::sleep(KEEP_POLL).await;
    }
    true
}

/// Waits as this process ends until its streams are on record; returns whether all are.
pub(crate) async fn finish(edge: &edge::Edge) -> bool {
    let (now, services) = (clock::now(), edge.directory().mixed_services(clock::now()));
    until_kept(edge, &services, now, MAX_LAST_WAIT).await
}

/// Writes which versions have begun streams of this entry; does not return.
pub(crate) async fn write(edge: sync::Arc<edge::Edge>) {
    let (mut calls, mut era) = (stream_records::Calls::new(clock::now()), edge.store.era());
    let mut writes = task::JoinSet::new();
    loop {
        let _ = tokio::time::timeout(PERIOD, edge.origin_unstored.notified()).await;
        let newest = edge.store.era();
        if std::mem::replace(&mut era, newest) != newest {
            edge.origins().set_unstored(|_| true);
        }
        while has_unstored(&edge) {
            // What begins until the last write is answered is written together.
            while writes.try_join_next().is_some() {}
            let limit = if writes.len() < MAX_WRITES { GROUP_TIME } else { STORE_TIMEOUT };
            let _ = tokio::time::timeout(limit, writes.join_next()).await;
            let entries = edge.directory().entry_count;
            let rate = stream_records::call_rate(edge.settings().store_writes, entries);
            tokio::time::sleep(calls.take(rate, clock::now())).await;
            let services = edge.directory().mixed_services(clock::now());
            let streams = edge.origins().take_unstored(stream_records::MAX_STREAMS, |stream| {
                services.contains(&stream.service)
            });
            if !streams.is_empty() {
                writes.spawn(write_batch(edge.clone(), era, streams));
            }
        }
    }
}

fn has_unstored(edge: &edge::Edge) -> bool {
    let services = edge.directory().mixed_services(clock::now());
    edge.origins().has_unstored(|stream| services.contains(&stream.service))
}

async fn write_batch(edge: sync::Arc<edge::Edge>, era: stamp::Era, streams: records::Streams) {
    let now = clock::now();
    let (at_ms, count) = (edge.dates.now_ms(), streams.len());
    let row = |(attempt, origin): &(ids::AttemptTag, core_origins::Origin)| {
        let key = stream_records::key(*attempt, edge.incarnation, origin.is_some());
        let key = (stream_records::part(*attempt), key);
        Ok((key, postcard::to_allocvec(&Record { era, at_ms, origin: *origin })?))
    };
    let writes = match streams.iter().map(row).collect::<Result<Vec<_>, postcard::Error>>() {
        Ok(writes) => writes,
        Err(err) => return tracing::error!(%err, "edge: versions of streams not encoded"),
    };
    let removed = edge.records().take_expired(now);
    let batch = store::Batch { table: store::Table::Streams, writes: &writes, removed: &removed };
    let mut outcome = edge.store.write_batch(batch, WRITE_TIMEOUT).await;
    if outcome.is_err() {
        tokio::time::sleep(clock::jitter(RETRY_DELAY)).await;
        outcome = edge.store.write_batch(batch, STORE_TIMEOUT).await;
    }
    let waited_ms = (clock::now() - now).as_millis() as u64;
    match outcome {
        Ok(outcome) => {
            edge.origins().set_stored(&streams);
            let window = edge.directory().stream_window(now);
            let until = now + stream_records::lifetime(window);
            let keys = writes.into_iter().map(|(key, _)| key);
            edge.records().set_written(&streams, keys, until);
            edge.counters.stream_records.inc();
            let removed = removed.len();
            tracing::debug!(
                count,
                removed,
                ?outcome,
                era,
                waited_ms,
                "edge: versions of streams written"
            );
        }
        Err(err) => {
            tracing::info!(count, %err, waited_ms, "edge: versions of streams not written");
            let is_failing = edge.records().is_failing();
            let delay = if is_failing { FAILING_DELAY } else { RETRY_DELAY };
            tokio::time::sleep(clock::jitter(delay)).await;
            let lost: collections::BTreeSet<_> =
                streams.iter().map(|(attempt, _)| *attempt).collect();
            edge.origins().set_unstored(|attempt| lost.contains(&attempt));
            edge.origin_unstored.notify_one();
        }
    }
}

/// Version that began a stream according to the store, as it is read after this call.
pub(crate) async fn find(edge: &edge::Edge, attempt: ids::AttemptTag) -> Option<ids::SoftwareTag> {
    if edge.origins().is_uncertain(attempt) {
        return None;
    }
    if tokio::time::timeout(MAX_READ_WAIT, read(edge, attempt)).await.is_err() {
        tracing::info!(attempt, "edge: version of a stream not read in time");
    }
    edge.origins().get(attempt)
}

// Reads what the store has of a stream, again after a failure.
async fn read(edge: &edge::Edge, attempt: ids::AttemptTag) {
    let (from, to) = stream_records::key_range(attempt);
    let part = stream_records::part(attempt);
    let (table, range) = (store::Table::Streams, from.as_str()..to.as_str());
    loop {
        tokio::time::sleep(read_delay(edge)).await;
        match edge.store.read_range(table, part, range.clone(), READ_TIMEOUT).await {
            Ok(rows) => return learn(edge, attempt, &rows),
            Err(err) => tracing::info!(attempt, %err, "edge: version of a stream not read"),
        }
        tokio::time::sleep(clock::jitter(READ_DELAY)).await;
    }
}

// Time until this entry may read.
fn read_delay(edge: &edge::Edge) -> time::Duration {
    let (now, entries) = (clock::now(), edge.directory().entry_count);
    let rate = stream_records::call_rate(edge.settings().store_reads, entries);
    edge.records().reads.get_or_insert_with(|| stream_records::Calls::new(now)).take(rate, now)
}

// Records what rows say of a stream.
fn learn(edge: &edge::Edge, attempt: ids::AttemptTag, rows: &store::Rows) {
    let era = rows.version.era;
    let records = rows.rows.iter().filter_map(parse).filter(|record| record.era == era);
    let mut known = edge.origins();
    let mut count = 0;
    for record in records {
        count += 1;
        known.record_told(attempt, record.origin);
    }
    let origin = known.get(attempt);
    drop(known);
    let rows = rows.rows.len();
    tracing::info!(attempt, rows, count, era, origin, "edge: version of a stream read");
}

fn parse(row: &store::Row) -> Option<Record> {
    match postcard::from_bytes(row.value.as_deref()?) {
        Ok(record) => Some(record),
        Err(err) => {
            tracing::warn!(key = row.key, %err, "edge: row of a stream's version is invalid");
            None
        }
    }
}

/// Removes rows whose streams can no longer be taken up while this entry leads; does not return. Each
/// process removes its own as it writes, so that those of ended processes are left.
pub(crate) async fn clean(edge: sync::Arc<edge::Edge>) {
    // Rows that are left, once they have been counted.
    let mut left: Option<usize> = None;
    loop {
        tokio::time::sleep(CLEAN_PERIOD).await;
        if edge.members().leader(clock::now()).is_some() {
            left = None;
            continue;
        }
        let is_mixed = !edge.directory().mixed_services(clock::now()).is_empty();
        if left == Some(0) && !is_mixed {
            continue;
        }
        left = match remove_over(&edge).await {
            Ok(left) => Some(left),
            Err(err) => {
                tracing::info!(%err, "edge: old versions of streams not removed");
                None
            }
        };
    }
}

// Removes these rows page by page and returns how many are left.
async fn remove_over(edge: &edge::Edge) -> Result<usize, store::StoreError> {
    let mut left = 0;
    for part in stream_records::PARTS {
        left += remove_part(edge, part).await?;
    }
    Ok(left)
}

async fn remove_part(edge: &edge::Edge, part: &str) -> Result<usize, store::StoreError> {
    let table = store::Table::Streams;
    let window = edge.directory().stream_window(clock::now());
    let (mut after, mut left) = (None, 0);
    loop {
        let page = edge.store.read_part(table, part, after.as_deref(), STORE_TIMEOUT).await?;
        // A row that cannot be read is of no use either.
        let is_over = |row: &&store::Row| {
            parse(row).is_none_or(|record| {
                stream_records::is_over(record.at_ms, edge.dates.now_ms(), window)
            })
        };
        let over: Vec<_> =
            page.rows.iter().filter(is_over).map(|row| (row.key.as_str(), row.version)).collect();
        left += page.rows.len() - over.len();
        for rows in over.chunks(store::MAX_REMOVED) {
            let outcome = edge.store.remove_rows(table, part, rows, STORE_TIMEOUT).await?;
            tracing::info!(rows = rows.len(), ?outcome, "edge: old versions of streams removed");
        }
        after = page.rows.last().map(|row| row.key.clone());
        if !page.is_partial || after.is_none() {
            return Ok(left);
        }
        tokio::time::sleep(PAGE_PAUSE).await;
    }
}
