//! Runs the entry's process.

use std::{sync, sync::atomic, time};

use hyper::{Request, Response, StatusCode, body};

use rhubarb_node::{answer, clock, server, stop};
use rhubarb_platform::{settings, store};

use crate::{edge, ingress, peers, watch};

/// Connections from callers at once; descriptors are left for servers and the store.
const CONNECTIONS: usize = 2_000;
/// Callers reuse connections that have been idle for up to 12 s.
const IDLE_TIME: time::Duration = time::Duration::from_secs(20);
/// Most bytes of headers that are read; the config's limit lies below it.
const HEADER_BYTES: usize = 64 * 1024;
/// The balancer stops sending within two of its checks, which come once a second.
const NOTICE: time::Duration = time::Duration::from_millis(3_000);
/// Time before the platform's kill that is left to end.
const LAST: time::Duration = time::Duration::from_millis(300);
const DRAIN_STEP: time::Duration = time::Duration::from_millis(20);
/// Port of the metrics, named in the deploy file.
const METRICS_PORT: u16 = 9464;

/// Runs an entry until a stop signal, then drains it.
///
/// # Errors
/// Returns an error if an address cannot be bound or signals cannot be caught.
pub async fn run(settings: settings::Settings) -> anyhow::Result<()> {
    let callers = server::bind(settings.callers).await?;
    let ready = server::bind(settings.ready).await?;
    let metrics = server::bind((settings.ip, METRICS_PORT).into()).await?;
    let edge = sync::Arc::new(edge::Edge::new(settings));
    tracing::info!(
        name = edge.settings.name,
        zone = edge.settings.zone,
        incarnation = edge.incarnation,
        "edge: started"
    );
    for table in [store::Table::Operator, store::Table::Servers] {
        tokio::spawn(watch::follow(edge.clone(), table));
    }
    tokio::spawn(watch::sweep(edge.clone()));
    let (snapshots, shares) = server::bind_both(peers::address(&edge, edge.settings.ip)).await?;
    let shares = sync::Arc::new(shares);
    tokio::spawn(peers::tell(edge.clone(), shares.clone()));
    tokio::spawn(peers::hear(edge.clone(), shares));
    tokio::spawn(peers::serve_snapshots(edge.clone(), snapshots));
    tokio::spawn(peers::fetch_snapshots(edge.clone()));
    tokio::spawn(peers::discover(edge.clone()));
    let limits = server::Limits {
        connections: CONNECTIONS,
        header_time: IDLE_TIME,
        header_bytes: HEADER_BYTES,
    };
    let shared = edge.clone();
    tokio::spawn(server::serve(callers, limits, move |request| {
        ingress::handle(shared.clone(), request)
    }));
    for listener in [ready, metrics] {
        let shared = edge.clone();
        tokio::spawn(server::serve(listener, server::Limits::default(), move |request| {
            tell(shared.clone(), request)
        }));
    }
    stop::wait().await?;
    edge.stop();
    drain(&edge).await;
    Ok(())
}

async fn tell(
    edge: sync::Arc<edge::Edge>,
    request: Request<body::Incoming>,
) -> Response<answer::Body> {
    match request.uri().path() {
        "/v1/ready" if edge.is_ready() => answer::text(StatusCode::OK, "ready\n"),
        "/v1/ready" => answer::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        "/metrics" => edge.counters.registry.answer(),
        _ => answer::text(StatusCode::NOT_FOUND, "no such page\n"),
    }
}

// New requests are served until the balancer has noticed; those in flight end.
async fn drain(edge: &edge::Edge) {
    let start = clock::now();
    let most = edge.settings.grace.saturating_sub(LAST);
    tracing::info!(open = edge.open.load(atomic::Ordering::Relaxed), "edge: stopping");
    loop {
        let waited = clock::now() - start;
        let open = edge.open.load(atomic::Ordering::Relaxed);
        if waited >= most || (waited >= NOTICE && open == 0) {
            tracing::info!(open, waited_ms = waited.as_millis() as u64, "edge: stopped");
            return;
        }
        tokio::time::sleep(DRAIN_STEP).await;
    }
}
