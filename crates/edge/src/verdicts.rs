//! Keeps rejected causes of crashes in the platform's store, for a fleet whose entries all start
//! anew.
//!
//! The leader writes the causes; each entry reads them once, at its start. Otherwise entries learn from
//! each other.

use std::{collections, sync, time};

use serde::{Deserialize, Serialize};

use rhubarb_core::{backoff, cause, stamp, suspects};
use rhubarb_node::clock;
use rhubarb_platform::store;
use rhubarb_wire::share;

use crate::{edge, suspects as watch, trials};

/// A row of the store.
#[derive(Debug, Serialize, Deserialize)]
struct Verdict {
    /// Unix milliseconds of the write; the ages in the evidence are as of then.
    at_ms: u64,
    evidence: share::Evidence,
}

/// Interval at which the leader compares what is rejected with what is stored. It makes no call
/// while both are the same.
const PERIOD: time::Duration = time::Duration::from_millis(500);
/// Timeout of a call to the store.
const STORE_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);
/// Base of the delay after a failed call, which doubles with each of them, before jitter.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(500);
/// Longest delay after consecutive failed calls, before jitter.
const MAX_RETRY_DELAY: time::Duration = time::Duration::from_secs(5);

/// Versions and numbers of crashes of the rows in the store.
type Stored = collections::BTreeMap<cause::Cause, (store::Version, usize)>;

/// Reads the rejected causes, then writes changes while this entry leads; does not return.
pub(crate) async fn run(edge: sync::Arc<edge::Edge>) {
    let mut backoff = backoff::Backoff::new(RETRY_DELAY, MAX_RETRY_DELAY);
    while let Err(err) = read(&edge).await {
        tracing::info!(%err, "edge: rejected causes of crashes not read");
        tokio::time::sleep(clock::jitter(backoff.next_delay())).await;
    }
    // Known while this entry leads, since it last had something to write.
    let mut stored: Option<(stamp::Era, Stored)> = None;
    loop {
        tokio::time::sleep(PERIOD).await;
        let is_leader = edge.members().leader(clock::now()).is_none();
        let era = edge.store.era();
        stored = stored.filter(|(known, _)| is_leader && *known == era);
        let rejected = edge.rejected().suspects.rejected_evidence(clock::now());
        if !is_leader || rejected.is_empty() && stored.is_none() {
            continue;
        }
        match update(&edge, stored.take(), &rejected).await {
            Ok(rows) => stored = Some((era, rows)),
            Err(err) => {
                tracing::info!(%err, "edge: rejected causes of crashes not stored");
                tokio::time::sleep(clock::jitter(backoff.next_delay())).await;
            }
        }
    }
}

// Reads the rows and adds what they say.
async fn read(edge: &edge::Edge) -> Result<Stored, store::StoreError> {
    let rows = edge.store.read_all(store::Table::Suspects, STORE_TIMEOUT).await?;
    let now_ms = edge.dates.now_ms();
    let (mut stored, mut evidence) = (Stored::new(), Vec::new());
    for row in rows.rows {
        let verdict = row.value.as_deref().map(postcard::from_bytes::<Verdict>);
        let Some(Ok(verdict)) = verdict else {
            tracing::warn!(key = row.key, "edge: row of a rejected cause of crashes is invalid");
            continue;
        };
        let known = aged(&verdict, now_ms);
        stored.insert(known.cause, (row.version, known.crashes.len()));
        evidence.push(known);
    }
    if watch::merge(edge, &evidence) {
        tracing::info!(
            causes = evidence.len(),
            "edge: rejected causes of crashes read from the store"
        );
        edge.evidence_changed.notify_one();
    }
    Ok(stored)
}

// Evidence of a row as of now.
fn aged(verdict: &Verdict, now_ms: u64) -> suspects::Evidence {
    let age = time::Duration::from_millis(now_ms.saturating_sub(verdict.at_ms));
    let mut evidence = suspects::Evidence::from(&verdict.evidence);
    evidence.answered_ago = evidence.answered_ago.map(|ago| ago.saturating_add(age));
    evidence.tried_ago = evidence.tried_ago.map(|ago| ago.saturating_add(age));
    evidence.crashes.iter_mut().for_each(|crash| crash.ago = crash.ago.saturating_add(age));
    evidence
}

// Writes what differs from the rows of the store, and returns the rows.
async fn update(
    edge: &edge::Edge,
    stored: Option<(stamp::Era, Stored)>,
    rejected: &[suspects::Evidence],
) -> Result<Stored, store::StoreError> {
    let mut stored = match stored {
        Some((_, stored)) => stored,
        None => read(edge).await?,
    };
    let table = store::Table::Suspects;
    for evidence in rejected {
        let crashes = evidence.crashes.len();
        if stored.get(&evidence.cause).is_some_and(|(_, known)| *known == crashes) {
            continue;
        }
        let verdict = Verdict { at_ms: edge.dates.now_ms(), evidence: evidence.clone().into() };
        let value = match postcard::to_allocvec(&verdict) {
            Ok(value) => value,
            Err(err) => {
                tracing::error!(%err, "edge: rejected cause of crashes not encoded");
                continue;
            }
        };
        let key = evidence.cause.key();
        let write = store::Write { table, key: &key, expected: None, value: &value };
        if let store::WriteOutcome::Committed(version) =
            edge.store.write(write, STORE_TIMEOUT).await?
        {
            stored.insert(evidence.cause, (version, crashes));
        }
        tracing::info!(cause = ?evidence.cause, crashes, "edge: rejected cause of crashes stored");
    }
    let is_over = |cause: &cause::Cause| !rejected.iter().any(|known| known.cause == *cause);
    let over: Vec<_> = stored.keys().copied().filter(is_over).collect();
    for cause in &over {
        if let Some((version, _)) = stored.remove(cause) {
            let outcome = edge.store.remove(table, &cause.key(), version, STORE_TIMEOUT).await?;
            tracing::info!(?cause, ?outcome, "edge: cause of crashes no longer stored as rejected");
        }
    }
    if !over.is_empty() {
        trials::remove(edge, &over).await?;
    }
    Ok(stored)
}
