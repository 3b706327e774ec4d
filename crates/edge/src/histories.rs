//! Keeps the versions of the servers of each service in the platform's store, for a fleet whose entries
//! all start anew.

use std::{collections, sync, sync::atomic, time};

use rhubarb_core::{backoff, history, ids, stamp};
use rhubarb_node::clock;
use rhubarb_platform::store;

use crate::edge;

/// Interval between checks whether there is something to read or to write. They make no calls.
const PERIOD: time::Duration = time::Duration::from_millis(100);
/// Timeout of the first read, which new engines wait for.
const FIRST_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// Timeout of a read that a stream which is taken up waits for, and the longest time of the wait.
const LOOKUP_TIMEOUT: time::Duration = time::Duration::from_millis(300);
const MAX_WAIT: time::Duration = time::Duration::from_secs(1);
/// Timeout of other calls to the store.
const STORE_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);
/// Base of the delay after a failed call, which doubles with each of them, before jitter.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(250);
/// Longest delay after consecutive failed calls, before jitter.
const MAX_RETRY_DELAY: time::Duration = time::Duration::from_secs(5);
/// Time without news of the store after which versions may have come and left unseen.
const MAX_GAP: time::Duration = time::Duration::from_secs(3);
/// Time in a new era of the store after which servers have written what it had lost.
const SETTLE_TIME: time::Duration = time::Duration::from_secs(5);

/// What is known of the store.
#[derive(Debug, Default)]
struct Known {
    // Era of the last read.
    era: Option<stamp::Era>,
    is_read: bool,
    // When a later era than the first began.
    era_at: Option<time::Instant>,
    // Gaps in the news of the store that are over.
    gaps: u64,
}

/// The row of a service.
#[derive(Debug)]
struct Row {
    version: store::Version,
    history: history::History,
}

/// Reads the histories, then writes what is missing in them; does not return.
pub(crate) async fn run(edge: sync::Arc<edge::Edge>) {
    let gaps = sync::Arc::new(atomic::AtomicU64::new(0));
    tokio::spawn(count_gaps(edge.clone(), gaps.clone()));
    let mut known = Known::default();
    let mut backoff = backoff::Backoff::new(RETRY_DELAY, MAX_RETRY_DELAY);
    let mut timeout = FIRST_TIMEOUT;
    loop {
        let seen = gaps.load(atomic::Ordering::Relaxed);
        if known.has_changed(&edge, seen) {
            wait_for_turn(&edge).await;
        }
        match step(&edge, &mut known, timeout).await {
            Ok(()) => backoff.reset(),
            Err(err) => {
                tracing::info!(%err, "edge: histories of versions not read or written");
                known.is_read = false;
                edge.directory().releases().set_read();
                release_held(&edge);
                tokio::time::sleep(clock::jitter(backoff.next_delay())).await;
            }
        }
        timeout = STORE_TIMEOUT;
        release_held(&edge);
        tokio::time::sleep(PERIOD).await;
    }
}

// Notices when changes of the servers may have been missed; does not return.
async fn count_gaps(edge: sync::Arc<edge::Edge>, gaps: sync::Arc<atomic::AtomicU64>) {
    let (mut is_apart, mut checked_at) = (false, clock::now());
    loop {
        tokio::time::sleep(PERIOD).await;
        let now = clock::now();
        let is_frozen = now > checked_at + MAX_GAP;
        checked_at = now;
        let was_apart = std::mem::replace(&mut is_apart, edge.touch_age(now) > MAX_GAP);
        if is_frozen || was_apart && !is_apart {
            tracing::info!(is_frozen, "edge: versions may have come and left unseen");
            edge.directory().releases().set_gap(now);
            gaps.fetch_add(1, atomic::Ordering::Relaxed);
        }
    }
}

impl Known {
    // Whether the table is to be read again: in a new era, and after a gap.
    fn has_changed(&mut self, edge: &edge::Edge, gaps: u64) -> bool {
        let era = edge.store.era();
        let is_new = self.era.is_some_and(|known| known != era);
        if is_new {
            (self.era, self.era_at) = (Some(era), Some(clock::now()));
        }
        let is_over = std::mem::replace(&mut self.gaps, gaps) != gaps;
        self.is_read &= !is_new && !is_over;
        is_new || is_over
    }

    fn is_settled(&self) -> bool {
        self.era_at.is_none_or(|at| clock::now() > at + SETTLE_TIME)
    }
}

// Waits so that the entries of a large fleet do not read or write at once.
async fn wait_for_turn(edge: &edge::Edge) {
    let leads = edge.members().leader(clock::now()).is_none();
    let (entries, live) = {
        let directory = edge.directory();
        (directory.entry_count, directory.place.entries)
    };
    tokio::time::sleep(history::delay(leads && live > 1, entries, rand::random())).await;
}

/// Uses engines that were held back, as far as that is possible by now.
pub(crate) fn release_held(edge: &edge::Edge) {
    if edge.directory().release_held() {
        edge.slot_freed.notify_waiters();
    }
}

// Reads the table, if it is not known, and writes what is needed.
async fn step(
    edge: &edge::Edge,
    known: &mut Known,
    timeout: time::Duration,
) -> Result<(), store::StoreError> {
    if !known.is_read {
        let (reading, _) = read(edge, timeout).await?;
        known.era.get_or_insert(reading.era);
        known.is_read = true;
    }
    let need = needs(edge, known).into_values().max().unwrap_or(history::Need::None);
    let is_leader = edge.members().leader(clock::now()).is_none();
    if need == history::Need::None || need == history::Need::Tidy && !is_leader {
        return Ok(());
    }
    wait_for_turn(edge).await;
    write(edge, known).await
}

fn needs(
    edge: &edge::Edge,
    known: &Known,
) -> collections::BTreeMap<ids::ServiceName, history::Need> {
    let mut needs = edge.directory().history_needs(edge.store.era(), clock::now());
    needs.retain(|_, need| *need == history::Need::Version || known.is_settled());
    needs
}

// Reads the rows and adds what they say.
async fn read(
    edge: &edge::Edge,
    timeout: time::Duration,
) -> Result<(history::Reading, collections::BTreeMap<String, Row>), store::StoreError> {
    let asked = clock::now();
    let rows = edge.store.read_all(store::Table::Releases, timeout).await?;
    let (era, now_ms) = (rows.version.era, rows.now_ms);
    let reading = history::Reading { era, now_ms, asked, answered: clock::now() };
    let mut known = collections::BTreeMap::new();
    let mut directory = edge.directory();
    for row in rows.rows {
        let history = row.value.as_deref().map(postcard::from_bytes::<history::History>);
        let Some(Ok(history)) = history else {
            tracing::warn!(service = row.key, "edge: history of versions is invalid");
            continue;
        };
        tracing::debug!(service = row.key, ?history, era, now_ms, "edge: history of versions read");
        directory.releases().load(&row.key, &history, &reading);
        known.insert(row.key, Row { version: row.version, history });
    }
    directory.releases().set_read();
    let histories = known.iter().map(|(service, row)| (service, &row.history));
    directory.note_initial(histories, &reading, edge.dates.now_ms());
    Ok((reading, known))
}

/// Reads the table, unless a read has begun at `asked` or later; returns whether it was read. A version
/// is on record before streams begin at it, so nothing older than the read is missed.
pub(crate) async fn refresh(edge: &edge::Edge, asked: time::Instant) -> bool {
    let refreshing = async {
        let mut started_at = edge.history_read.lock().await;
        if started_at.is_some_and(|at| at >= asked) {
            return true;
        }
        if let Some(last) = *started_at {
            let entries = edge.directory().entry_count;
            tokio::time::sleep_until((last + history::read_interval(entries)).into()).await;
        }
        let at = clock::now();
        match read(edge, LOOKUP_TIMEOUT).await {
            Ok(_) => {
                *started_at = Some(at);
                true
            }
            Err(err) => {
                tracing::info!(%err, "edge: histories of versions not read for a stream");
                false
            }
        }
    };
    tokio::time::timeout(MAX_WAIT, refreshing).await.unwrap_or(false)
}

// Reads the rows again and writes those that are still to be written.
async fn write(edge: &edge::Edge, known: &Known) -> Result<(), store::StoreError> {
    let (reading, rows) = read(edge, STORE_TIMEOUT).await?;
    for (service, need) in needs(edge, known) {
        let row = rows.get(&service);
        let history = edge.directory().releases().record(
            &service,
            row.map(|row| &row.history),
            known.is_settled(),
            &reading,
        );
        let value = match postcard::to_allocvec(&history) {
            Ok(value) => value,
            Err(err) => {
                tracing::error!(%err, "edge: history of versions not encoded");
                continue;
            }
        };
        let absent = store::Version::new(reading.era, 0);
        let expected = Some(row.map_or(absent, |row| row.version));
        let write =
            store::Write { table: store::Table::Releases, key: &service, expected, value: &value };
        let outcome = edge.store.write(write, STORE_TIMEOUT).await?;
        if let store::WriteOutcome::Committed(_) = outcome {
            edge.directory().releases().load(&service, &history, &reading);
        }
        edge.counters.histories_written.inc();
        tracing::info!(service, ?need, ?outcome, ?history, "edge: history of versions written");
    }
    Ok(())
}
