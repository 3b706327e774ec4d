//! Runs the entry's process.

use std::{sync, sync::atomic, time};

use tokio::net;

use rhubarb_node::{clock, server, signals};

use crate::{entry, follow, ingress, ledger, lists, settings};

const DRAIN_STEP: time::Duration = time::Duration::from_millis(20);
const LAST_STORE: time::Duration = time::Duration::from_secs(10);

/// Runs an entry until a stop signal, then drains it.
///
/// # Errors
/// Returns an error if an address cannot be bound or signals cannot be caught.
pub async fn run(settings: settings::Settings) -> anyhow::Result<()> {
    let listener = server::bind(settings.listen).await?;
    let udp = net::UdpSocket::bind((settings.listen.ip(), 0)).await?;
    println!("listening http={}", listener.local_addr()?);
    let limits = server::Limits { connections: settings.connections, ..server::Limits::default() };
    let entry = sync::Arc::new(entry::Entry::new(settings));
    tracing::info!("entry: started as {}", entry.settings.name);
    tokio::spawn(lists::follow(entry.clone()));
    tokio::spawn(follow::run(entry.clone(), udp));
    let flushing = tokio::spawn(ledger::flush_periodically(entry.clone()));
    let shared = entry.clone();
    tokio::spawn(server::serve(listener, limits, move |request| {
        ingress::handle(shared.clone(), request)
    }));
    signals::wait_for_stop().await?;
    entry.begin_shutdown();
    drain(&entry).await;
    flushing.abort();
    flush(&entry).await;
    Ok(())
}

// New requests are served until the balancer has noticed; those in flight end.
async fn drain(entry: &entry::Entry) {
    tracing::info!("entry: stopping; requests in flight end first");
    let start = clock::now();
    loop {
        let waited = clock::now() - start;
        let is_idle = entry.open.load(atomic::Ordering::Relaxed) == 0;
        if waited >= entry.settings.drain || (waited >= entry.settings.notice && is_idle) {
            return;
        }
        tokio::time::sleep(DRAIN_STEP).await;
    }
}

async fn flush(entry: &entry::Entry) {
    entry.ledger().close(clock::unix_ms(), true);
    let deadline = clock::now() + LAST_STORE;
    while !ledger::store_all(entry).await {
        if clock::now() >= deadline {
            return tracing::error!("entry: stopped with usage records that were not stored");
        }
        tokio::time::sleep(DRAIN_STEP).await;
    }
    tracing::info!("entry: stopped");
}
