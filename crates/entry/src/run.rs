//! Startup and graceful shutdown of the entry's process.

use std::{sync, sync::atomic, time};

use tokio::net;

use rhubarb_node::{clock, server, signals};

use crate::{entry, heartbeats, ingress, ledger, lists, settings};

const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// Time limit for storing the last usage records.
const FINAL_FLUSH_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Runs an entry until it receives a stop signal, then drains it.
///
/// # Errors
/// Returns an error if an address cannot be bound or signals cannot be caught.
pub async fn run(settings: settings::Settings) -> anyhow::Result<()> {
    let mut stopped = signals::Stop::catch()?;
    let listener = server::bind(settings.listen).await?;
    let udp = net::UdpSocket::bind((settings.listen.ip(), 0)).await?;
    println!("listening http={}", listener.local_addr()?);
    let limits = server::Limits { connections: settings.connections, ..server::Limits::default() };
    let entry = sync::Arc::new(entry::Entry::new(settings));
    tracing::info!("entry: started as {}", entry.settings.name);
    tokio::spawn(lists::run(entry.clone()));
    tokio::spawn(heartbeats::run(entry.clone(), udp));
    let flush_task = tokio::spawn(ledger::flush_periodically(entry.clone()));
    let shared = entry.clone();
    tokio::spawn(server::serve(listener, limits, move |request| {
        ingress::handle(shared.clone(), request)
    }));
    stopped.received().await;
    entry.begin_shutdown();
    drain(&entry).await;
    flush_task.abort();
    flush_usage(&entry).await;
    Ok(())
}

// Waits for the notice period and then for the requests in flight, up to the drain limit.
async fn drain(entry: &entry::Entry) {
    tracing::info!("entry: draining; waiting for requests in flight");
    let start = clock::now();
    loop {
        let elapsed = clock::now() - start;
        let is_idle = entry.open.load(atomic::Ordering::Relaxed) == 0;
        if elapsed >= entry.settings.drain || (elapsed >= entry.settings.notice && is_idle) {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn flush_usage(entry: &entry::Entry) {
    entry.ledger().close(clock::unix_ms(), true);
    let deadline = clock::now() + FINAL_FLUSH_TIMEOUT;
    while !ledger::store_all(entry).await {
        if clock::now() >= deadline {
            return tracing::error!("entry: stopped; some usage records were not stored");
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    tracing::info!("entry: stopped");
}
