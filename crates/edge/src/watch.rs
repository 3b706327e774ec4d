//! Follows the operator's config and the servers' entries in the platform's store.

use std::{net, sync, sync::atomic, time};

use rhubarb_core::{fleet, suspension};
use rhubarb_node::clock;
use rhubarb_platform::{config, entries, store};
use rhubarb_wire::share;

use crate::{boot, directory, edge};

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
    // Until the first answer the store counts as away, so that peers are asked.
    let mut contact = Contact { is_away: true, pause: PAUSE };
    edge.unavailable_tables.fetch_add(1, atomic::Ordering::Relaxed);
    loop {
        let err = match follow_once(&edge, table, &mut contact).await {
            Ok(()) => continue,
            Err(err) => err,
        };
        if matches!(err, store::StoreError::HistoryGone) {
            tracing::info!(?table, "edge: history of the store is gone, reading all");
            continue;
        }
        contact.lose(&edge, table, &err);
        tokio::time::sleep(clock::jitter(contact.pause)).await;
    }
}

struct Contact {
    is_away: bool,
    pause: time::Duration,
}

impl Contact {
    fn lose(&mut self, edge: &edge::Edge, table: store::Table, err: &store::StoreError) {
        self.pause = (self.pause * 2).min(MAX_PAUSE);
        if !self.is_away {
            self.is_away = true;
            edge.unavailable_tables.fetch_add(1, atomic::Ordering::Relaxed);
            tracing::warn!(?table, %err, "edge: store lost");
        }
    }

    fn regain(&mut self, edge: &edge::Edge, table: store::Table, version: store::Version) {
        self.pause = PAUSE;
        if self.is_away {
            self.is_away = false;
            edge.unavailable_tables.fetch_sub(1, atomic::Ordering::Relaxed);
            tracing::info!(?table, version, "edge: store regained");
            let mut directory = edge.directory();
            if table == store::Table::Servers && directory.is_complete() {
                directory.fleet.registry_recovered(clock::now());
            }
        }
    }
}

// Reads the table and follows its changes until it is to be read again.
async fn follow_once(
    edge: &edge::Edge,
    table: store::Table,
    contact: &mut Contact,
) -> Result<(), store::StoreError> {
    let all = edge.store.read_all(table, READ_LIMIT).await?;
    contact.regain(edge, table, all.version);
    let mut version = all.version;
    apply(edge, table, &all.rows);
    if table == store::Table::Servers {
        keep_only(edge, &all.rows, all.version, &[]);
    }
    loop {
        let news = tokio::select! {
            news = edge.store.feed(table, version, FEED_WAIT) => news?,
            () = edge.feed_stalled.notified() => {
                tracing::info!(?table, version, "edge: peers know more, the store is asked again");
                return Ok(());
            }
        };
        version = version.max(news.version);
        apply(edge, table, &news.rows);
        if table == store::Table::Servers {
            let mut directory = edge.directory();
            directory.rows.version = directory.rows.version.max(version);
        }
    }
}

/// Takes what a peer knows from the store.
pub(crate) fn learn_from_peer(edge: &edge::Edge, from: net::IpAddr, snapshot: share::Snapshot) {
    let version = snapshot.version;
    tracing::info!(%from, version, servers = snapshot.servers.len(), "edge: learned from peer");
    let to_row =
        |row: share::Row| store::Row { key: row.key, version: row.version, value: Some(row.value) };
    let config: Vec<_> = snapshot.config.into_iter().map(to_row).collect();
    apply(edge, store::Table::Operator, &config);
    let servers: Vec<_> = snapshot.servers.into_iter().map(to_row).collect();
    apply(edge, store::Table::Servers, &servers);
    if !servers.is_empty() {
        keep_only(edge, &servers, version, &snapshot.awaited);
    }
}

fn apply(edge: &edge::Edge, table: store::Table, rows: &[store::Row]) {
    for row in rows {
        if !edge.directory().rows.update(table, row) {
            continue;
        }
        match (table, &row.value) {
            (store::Table::Operator, Some(value)) => set_config(edge, value),
            (store::Table::Servers, _) => set_server(edge, row),
            _ => {}
        }
    }
    edge.slot_freed.notify_waiters();
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
            directory.fleet.set_invalid(&row.key)
        }
        None => directory.fleet.remove(&row.key, clock::now()),
    };
    note_change(&mut directory, change, row.version);
}

fn note_change(
    directory: &mut directory::Directory,
    change: Option<fleet::Change>,
    version: store::Version,
) {
    if let Some(change) = change {
        tracing::info!(?change, version, "edge: servers changed");
        directory.apply(&change);
    }
}

// Servers without an entry as of `version` are gone, unless a peer waits for their return.
fn keep_only(
    edge: &edge::Edge,
    rows: &[store::Row],
    version: store::Version,
    awaited: &[share::AwaitedServer],
) {
    let now = clock::now();
    let mut directory = edge.directory();
    for key in directory.rows.missing_from(rows, version) {
        directory.rows.remove_server(&key, version);
        if let Some(server) = awaited.iter().find(|server| server.key == key) {
            directory.fleet.keep_until(&key, now + server.remaining);
            tracing::info!(server = key, left = ?server.remaining, version, "edge: server waited for");
            continue;
        }
        let change = directory.fleet.remove(&key, now);
        note_change(&mut directory, change, version);
    }
    directory.rows.version = directory.rows.version.max(version);
    directory.set_fleet_known();
}

/// Drops servers whose entries did not come back, and connections that are no longer used.
pub(crate) async fn sweep(edge: sync::Arc<edge::Edge>) {
    let mut suspended = suspension::Suspension::new(clock::now(), boot::time());
    loop {
        tokio::time::sleep(SWEEP_PERIOD).await;
        if let Some(time) = suspended.check(clock::now(), boot::time()) {
            let millis = time.as_millis() as u64;
            tracing::warn!(millis, "edge: was suspended, idle connections dropped");
            edge.links.drop_idle();
        }
        edge.links.sweep();
        let mut directory = edge.directory();
        while let Some(change) = directory.fleet.next_expired(clock::now()) {
            note_change(&mut directory, Some(change), 0);
        }
    }
}
