//! Follows the operator's config and the servers' entries in the platform's store.

use std::{collections, sync, time};

use rhubarb_core::fleet;
use rhubarb_node::clock;
use rhubarb_platform::{config, entries, store};

use crate::edge;

/// A feed waits this long in the store; connections that have gone silent are found by probes.
const FEED_WAIT: time::Duration = time::Duration::from_secs(20);
/// Answers of the store are due within this time.
const READ_LIMIT: time::Duration = time::Duration::from_millis(1_500);
/// Pause after a call that failed, before jitter.
const PAUSE: time::Duration = time::Duration::from_millis(250);
/// Longest pause after calls that failed in a row.
const MAX_PAUSE: time::Duration = time::Duration::from_millis(1_000);
/// Entries that vanished around an outage are looked at this often.
const SWEEP_PERIOD: time::Duration = time::Duration::from_millis(200);

/// Follows `table` for as long as the process runs.
pub(crate) async fn follow(edge: sync::Arc<edge::Edge>, table: store::Table) {
    let mut pause = PAUSE;
    let mut is_away = false;
    loop {
        let Err(err) = follow_once(&edge, table, &mut is_away, &mut pause).await;
        if !is_away && !matches!(err, store::StoreError::HistoryGone) {
            is_away = true;
            tracing::warn!(?table, %err, "edge: store lost");
        }
        if !matches!(err, store::StoreError::HistoryGone) {
            tokio::time::sleep(clock::jitter(pause)).await;
            pause = (pause * 2).min(MAX_PAUSE);
        }
    }
}

async fn follow_once(
    edge: &sync::Arc<edge::Edge>,
    table: store::Table,
    is_away: &mut bool,
    pause: &mut time::Duration,
) -> Result<std::convert::Infallible, store::StoreError> {
    let all = read_all(edge, table).await?;
    if *is_away {
        *is_away = false;
        tracing::info!(?table, version = all.version, "edge: store regained");
        if table == store::Table::Servers {
            edge.directory().fleet.registry_returned(clock::now());
        }
    }
    *pause = PAUSE;
    let mut version = all.version;
    apply(edge, table, &all.rows);
    if table == store::Table::Servers {
        keep_only(edge, &all.rows);
    }
    loop {
        let news = edge.store.feed(table, version, FEED_WAIT).await?;
        version = version.max(news.version);
        apply(edge, table, &news.rows);
    }
}

async fn read_all(
    edge: &edge::Edge,
    table: store::Table,
) -> Result<store::Rows, store::StoreError> {
    let mut all = edge.store.read(table, None, READ_LIMIT).await?;
    while all.is_partial {
        let after = all.rows.last().map(|row| row.key.clone());
        let more = edge.store.read(table, after.as_deref(), READ_LIMIT).await?;
        all.is_partial = more.is_partial && !more.rows.is_empty();
        all.rows.extend(more.rows);
    }
    Ok(all)
}

fn apply(edge: &edge::Edge, table: store::Table, rows: &[store::Row]) {
    for row in rows {
        match table {
            store::Table::Operator if row.key == store::CONFIG => {
                if let Some(value) = &row.value {
                    set_config(edge, value);
                }
            }
            store::Table::Servers => set_server(edge, row),
            _ => {}
        }
    }
    edge.room_freed.notify_waiters();
}

fn set_config(edge: &edge::Edge, value: &[u8]) {
    match config::read(value) {
        Ok(config) => {
            let (version, routes) = (config.version, config.routes.len());
            if edge.directory().set_config(config) {
                edge.counters.version.set(version as i64);
                tracing::info!(version, routes, "edge: config in force");
            }
        }
        Err(err) => tracing::error!(%err, "edge: config not used"),
    }
}

fn set_server(edge: &edge::Edge, row: &store::Row) {
    let parsed = row.value.as_ref().map(|value| entries::read(value));
    let mut directory = edge.directory();
    let change = match parsed {
        Some(Ok(instance)) => directory.fleet.set(&row.key, instance),
        Some(Err(err)) => {
            tracing::warn!(server = row.key, %err, "edge: entry not used");
            directory.fleet.unset(&row.key, clock::now())
        }
        None => directory.fleet.unset(&row.key, clock::now()),
    };
    note_change(&mut directory, change, row.version);
}

fn note_change(
    directory: &mut crate::directory::Directory,
    change: Option<fleet::Change>,
    version: store::Version,
) {
    if let Some(change) = change {
        tracing::info!(?change, version, "edge: servers changed");
        directory.apply(&change);
    }
}

fn keep_only(edge: &edge::Edge, rows: &[store::Row]) {
    let ids: collections::BTreeSet<_> = rows.iter().map(|row| row.key.clone()).collect();
    let mut directory = edge.directory();
    for change in directory.fleet.keep_only(&ids, clock::now()) {
        note_change(&mut directory, Some(change), 0);
    }
    directory.set_has_fleet();
}

/// Drops servers whose entries did not come back, and connections that are no longer used.
pub(crate) async fn sweep(edge: sync::Arc<edge::Edge>) {
    loop {
        tokio::time::sleep(SWEEP_PERIOD).await;
        edge.links.sweep();
        let mut directory = edge.directory();
        while let Some(change) = directory.fleet.next_gone(clock::now()) {
            note_change(&mut directory, Some(change), 0);
        }
    }
}
