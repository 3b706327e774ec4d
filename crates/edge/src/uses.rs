//! Keeps in the platform's store at which versions the processes of this instance begin streams, and
//! reads what ended processes have used.

use std::{collections, sync, time};

use rhubarb_core::{backoff, history, ids, stale_rows, uses};
use rhubarb_node::clock;
use rhubarb_platform::store;

use crate::{edge, histories, stream_records, uses_table};

/// Interval between checks whether the record is to be written again. They make no calls.
const PERIOD: time::Duration = time::Duration::from_secs(1);
/// Interval between writes without a change, since the row may have been removed by mistake.
const REFRESH_PERIOD: time::Duration = time::Duration::from_secs(300);
/// Timeout of a call to the store that engines wait for.
const STORE_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// Base of the delay after a failed call, which doubles with each of them, before jitter.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(250);
/// Longest delay after consecutive failed calls, before jitter.
const MAX_RETRY_DELAY: time::Duration = time::Duration::from_secs(5);
/// Writes that are tried one after the other.
const MAX_WRITES: u32 = 3;
/// Writes per second of a fleet whose entries learn of a version at once.
const WRITES: f64 = 1_000.0;
/// Longest time for which a further version waits until the streams that have begun are kept elsewhere.
const MAX_KEEP_TIME: time::Duration = time::Duration::from_secs(1);
/// Timeout of a read that a request waits for, and the longest time of the wait.
const READ_TIMEOUT: time::Duration = time::Duration::from_millis(300);
const MAX_WAIT: time::Duration = time::Duration::from_secs(1);

/// The row of this instance.
#[derive(Debug, Default)]
struct Known {
    // The row as it was read or written last.
    row: Option<Own>,
    written_at: Option<time::Instant>,
}

#[derive(Clone, Debug)]
struct Own {
    version: store::Version,
    content: uses::Row,
    reading: history::Reading,
}

/// Records the versions at which streams are to begin, before they do; does not return.
pub(crate) async fn run(edge: sync::Arc<edge::Edge>) {
    let mut known = Known::default();
    let mut backoff = backoff::Backoff::new(RETRY_DELAY, MAX_RETRY_DELAY);
    let held = edge.directory().engine_held.clone();
    loop {
        let _ = tokio::time::timeout(PERIOD, held.notified()).await;
        edge.directory().forget_uses();
        let pending = edge.directory().uses.pending();
        let Some(versions) = pending.or_else(|| known.outdated(&edge)) else { continue };
        keep_streams(&edge).await;
        wait_for_turn(&edge).await;
        match write(&edge, &mut known, &versions).await {
            Ok(()) => {
                backoff.reset();
                edge.directory().uses.set_recorded(versions);
                histories::release_held(&edge);
            }
            Err(err) => {
                tracing::info!(?versions, %err, "edge: versions in use not recorded");
                known.row = None;
                edge.directory().uses.set_failed(clock::now());
                histories::release_held(&edge);
                tokio::time::sleep(clock::jitter(backoff.next_delay())).await;
            }
        }
    }
}

impl Known {
    // What is to be written again though nothing has been added: the store may have lost the row.
    fn outdated(&self, edge: &edge::Edge) -> Option<uses::Versions> {
        let written_at = self.written_at?;
        let era = self.row.as_ref().map(|row| row.reading.era);
        let is_old = clock::now() > written_at + REFRESH_PERIOD || era != Some(edge.store.era());
        is_old.then(|| edge.directory().uses.recorded().clone())
    }
}

// Waits until streams that have begun are known elsewhere, where their service is to get a further version:
// what was used before no longer tells their versions then.
async fn keep_streams(edge: &edge::Edge) {
    let (services, now) = (edge.directory().uses.mixing(), clock::now());
    if services.is_empty() {
        return;
    }
    stream_records::until_kept(edge, &services, now, MAX_KEEP_TIME).await;
}

// Waits so that the entries of a large fleet do not write at once.
async fn wait_for_turn(edge: &edge::Edge) {
    let entries = f64::from(edge.directory().entry_count.unwrap_or_default());
    tokio::time::sleep(time::Duration::from_secs_f64(entries / WRITES * rand::random::<f64>()))
        .await;
}

// Writes the row of this instance; reads it before, unless it is known.
async fn write(
    edge: &edge::Edge,
    known: &mut Known,
    versions: &uses::Versions,
) -> anyhow::Result<()> {
    for _ in 0..MAX_WRITES {
        if write_once(edge, known, versions).await? {
            return Ok(());
        }
    }
    anyhow::bail!(
        "the row was changed meanwhile, {MAX_WRITES} times; check which process writes it"
    )
}

// Returns false if the row was changed since it was read, as by a late write of an earlier process.
async fn write_once(
    edge: &edge::Edge,
    known: &mut Known,
    versions: &uses::Versions,
) -> anyhow::Result<bool> {
    let key = edge.settings().name.clone();
    let current = known.row.take().filter(|row| row.reading.era == edge.store.era());
    let Own { version, mut content, reading } = match current {
        Some(row) => row,
        None => read_own(edge, &key).await?,
    };
    let window = edge.directory().stream_window(clock::now());
    let has_failed = edge.directory().uses.has_failed();
    content.record(edge.incarnation, versions, has_failed, window, &reading);
    let value = postcard::to_allocvec(&content)?;
    let (table, expected) = (store::Table::Uses, Some(version));
    let write = store::Write { table, key: &key, expected, value: &value };
    match edge.store.write(write, STORE_TIMEOUT).await? {
        store::WriteOutcome::Committed(version) => {
            tracing::info!(?versions, %version, "edge: versions in use recorded");
            edge.counters.uses_written.inc();
            known.row = Some(Own { version, content, reading });
            known.written_at = Some(clock::now());
            Ok(true)
        }
        store::WriteOutcome::Conflict => Ok(false),
    }
}

async fn read_own(edge: &edge::Edge, key: &str) -> Result<Own, store::StoreError> {
    let asked = clock::now();
    let rows = edge.store.read_row(store::Table::Uses, key, STORE_TIMEOUT).await?;
    let reading = reading(&rows, asked);
    let row = rows.rows.into_iter().find(|row| row.key == key);
    let version = row.as_ref().map_or(store::Version::new(reading.era, 0), |row| row.version);
    let content = match &row {
        Some(row) => parse(row).unwrap_or_else(uses::Row::unknown),
        None => uses::Row::default(),
    };
    Ok(Own { version, content, reading })
}

fn reading(rows: &store::Rows, asked: time::Instant) -> history::Reading {
    let (era, now_ms) = (rows.version.era, rows.now_ms);
    history::Reading { era, now_ms, asked, answered: clock::now() }
}

fn parse(row: &store::Row) -> Option<uses::Row> {
    match postcard::from_bytes(row.value.as_deref()?) {
        Ok(row) => Some(row),
        Err(err) => {
            tracing::warn!(key = row.key, %err, "edge: row of versions in use is invalid");
            None
        }
    }
}

/// Takes this process off the record as it ends, if it has used several versions of a service and all its
/// streams are on record themselves.
pub(crate) async fn finish(edge: &edge::Edge) {
    let recorded = edge.directory().uses.recorded().clone();
    if recorded.values().all(|versions| versions.len() < 2) || !stream_records::finish(edge).await {
        return;
    }
    if let Err(err) = remove_own(edge).await {
        tracing::info!(%err, "edge: versions in use stay on record");
    }
}

async fn remove_own(edge: &edge::Edge) -> anyhow::Result<()> {
    let key = edge.settings().name.clone();
    let Own { version, mut content, .. } = read_own(edge, &key).await?;
    content.processes.retain(|process| process.incarnation != edge.incarnation);
    let value = postcard::to_allocvec(&content)?;
    let (table, expected) = (store::Table::Uses, Some(version));
    let write = store::Write { table, key: &key, expected, value: &value };
    let outcome = edge.store.write(write, STORE_TIMEOUT).await?;
    tracing::info!(?outcome, "edge: versions in use off the record, as the process ends");
    Ok(())
}

/// Version of a stream that no entry knows, if all processes that may have begun it have used only one;
/// the others have said at `asked` or later that they don't know it.
pub(crate) async fn find(
    edge: &edge::Edge,
    attempt: ids::AttemptTag,
    service: &str,
    asked: time::Instant,
    is_split: bool,
) -> Option<ids::SoftwareTag> {
    let table = match tokio::time::timeout(MAX_WAIT, read_after(edge, asked)).await {
        Ok(table) => table?,
        Err(_) => {
            tracing::info!(attempt, "edge: versions in use not read in time");
            return None;
        }
    };
    let said = edge.answers().said.get(&attempt).cloned().unwrap_or_default();
    let mut others = said.processes().clone();
    others.insert(edge.incarnation);
    let now = clock::now();
    let (gone, window, is_replaced) = {
        let mut directory = edge.directory();
        let is_replaced = said.is_replaced() || directory.has_replaced(service, now);
        let window = directory.stream_window(now);
        let has_failed = directory.uses.failed_within(window, now);
        let is_unclear =
            is_replaced || has_failed || is_split || directory.is_mingled(service, now);
        (directory.releases().gone(service, now), window, is_unclear)
    };
    let question = uses::Question { service, others: &others, gone: &gone, window };
    let verdict = uses::judge(table.rows.iter(), question, &table.reading);
    let (processes, rows) = (others.len(), table.rows.len());
    tracing::info!(
        attempt,
        ?verdict,
        is_replaced,
        processes,
        rows,
        "edge: versions in use looked up"
    );
    match verdict {
        uses::Verdict::Only(software) if !is_replaced => Some(software),
        _ => None,
    }
}

// The rows as of a read that has started at `asked` or later; requests share it.
async fn read_after(
    edge: &edge::Edge,
    asked: time::Instant,
) -> Option<sync::Arc<uses_table::Table>> {
    let mut last = edge.uses_read.lock().await;
    if let Some((_, table)) = last.as_ref().filter(|(at, _)| *at >= asked) {
        return table.clone();
    }
    if let Some((at, _)) = *last {
        let interval = uses::read_interval(edge.directory().entry_count);
        tokio::time::sleep_until((at + interval).into()).await;
    }
    let at = clock::now();
    let table = match edge.store.read_all(store::Table::Uses, READ_TIMEOUT).await {
        Ok(rows) => {
            let reading = reading(&rows, at);
            let rows = rows.rows.iter().map(parse).collect::<Option<Vec<_>>>();
            // A row that cannot be read may name any version.
            rows.map(|rows| sync::Arc::new(uses_table::Table { rows, reading }))
        }
        Err(err) => {
            tracing::info!(%err, "edge: versions in use not read");
            None
        }
    };
    *last = Some((at, table.clone()));
    table
}

/// Removes the rows of instances that are not among `members` for the second time in a row.
pub(crate) async fn remove_gone(
    edge: &edge::Edge,
    members: &collections::BTreeSet<String>,
    stale: &mut stale_rows::StaleRows,
) -> Result<(), store::StoreError> {
    let rows = edge.store.read_all(store::Table::Uses, STORE_TIMEOUT).await?;
    let known = rows.rows.into_iter().map(|row| {
        let is_live = members.contains(&row.key);
        stale_rows::Row { key: row.key, version: row.version, is_live }
    });
    let known: Vec<_> = known.collect();
    for row in stale.update(&known) {
        let table = store::Table::Uses;
        let outcome = edge.store.remove(table, &row.key, row.version, STORE_TIMEOUT).await?;
        tracing::info!(key = row.key, ?outcome, "edge: versions in use of a gone instance removed");
    }
    Ok(())
}
