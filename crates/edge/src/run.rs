//! Starts, serves and drains an entry.

use std::{sync, sync::atomic, time};

use hyper::{Request, Response, StatusCode, body};

use rhubarb_core::stopping;
use rhubarb_node::{clock, logs, metrics, response, server, signals};
use rhubarb_platform::{paths, settings, store};

use tokio::{sync as tokio_sync, task};

use crate::{
    discovery, edge, eras, histories, ingress, leader, ledger, origins, pauses, peers, places,
    processes, reload, snapshots, stream_records, uses, verdicts, watch,
};

/// Timeout of idle connections; callers reuse connections that were idle for up to 12 s.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(20);
/// Maximum size of the headers of a request in bytes; the limit in the config is lower.
const MAX_HEADER_BYTES: usize = 64 * 1024;
/// Interval between checks of a drain.
const DRAIN_POLL: time::Duration = time::Duration::from_millis(20);

/// Runs an entry until a stop signal, then drains it.
///
/// # Errors
/// Returns an error if an address cannot be bound or signals cannot be caught.
pub async fn run(settings: settings::Settings, dropped: logs::DroppedLines) -> anyhow::Result<()> {
    let (mut stopped, hangups) = (signals::Stop::catch()?, signals::hangups()?);
    let callers = server::bind(settings.frontend_addr).await?;
    let ready = server::bind(settings.ready_addr).await?;
    let scrapes = server::bind((settings.ip, metrics::PLATFORM_PORT).into()).await?;
    let edge = sync::Arc::new(edge::Edge::new(settings));
    tracing::info!(
        name = edge.settings().name,
        zone = edge.settings().zone,
        incarnation = edge.incarnation,
        "edge: started"
    );
    for table in [store::Table::Operator, store::Table::Servers] {
        tokio::spawn(watch::follow(edge.clone(), table));
    }
    tokio::spawn(watch::choose_source(edge.clone()));
    tokio::spawn(watch::sweep(edge.clone()));
    tokio::spawn(eras::run(edge.clone()));
    tokio::spawn(pauses::report(edge.clone()));
    tokio::spawn(places::run(edge.clone()));
    tokio::spawn(processes::run(edge.clone()));
    tokio::spawn(verdicts::run(edge.clone()));
    tokio::spawn(histories::run(edge.clone()));
    let uses = tokio::spawn(uses::run(edge.clone()));
    tokio::spawn(stream_records::write(edge.clone()));
    tokio::spawn(stream_records::clean(edge.clone()));
    tokio::spawn(leader::run(edge.clone()));
    tokio::spawn(reload::run(edge.clone(), hangups));
    let (snapshots, shares) =
        server::bind_tcp_and_udp(edge.peer_address(edge.settings().ip)).await?;
    let shares = sync::Arc::new(shares);
    edge.set_socket(shares.clone());
    tokio::spawn(origins::tell(edge.clone()));
    let records = tokio::spawn(ledger::run(edge.clone()));
    tokio::spawn(peers::send_shares(edge.clone(), shares.clone()));
    tokio::spawn(peers::receive_shares(edge.clone(), shares));
    tokio::spawn(snapshots::serve_snapshots(edge.clone(), snapshots));
    tokio::spawn(snapshots::fetch_snapshots(edge.clone()));
    tokio::spawn(discovery::discover(edge.clone()));
    let limits = server::Limits {
        connections: edge.capacity().connections,
        header_timeout: IDLE_TIMEOUT,
        header_bytes: MAX_HEADER_BYTES,
    };
    let shared = edge.clone();
    let (close, closing) = tokio_sync::watch::channel(false);
    let serving = tokio::spawn(server::serve_with_shutdown(
        callers,
        limits,
        edge.callers.clone(),
        closing,
        move |request| ingress::handle(shared.clone(), request),
    ));
    for listener in [ready, scrapes] {
        let (shared, dropped) = (edge.clone(), dropped.clone());
        tokio::spawn(server::serve(listener, server::Limits::default(), move |request| {
            shared.counters.dropped_lines.set(dropped.count() as i64);
            shared.counters.callers.set(shared.callers.count() as i64);
            shared.counters.callers_closed.set(shared.callers.closed() as i64);
            respond(shared.clone(), request)
        }));
    }
    stopped.received().await;
    let stop = edge.stop();
    drain(&edge, stop, &close, serving).await;
    // A write in progress must not replace the last record.
    records.abort();
    uses.abort();
    uses::finish(&edge).await;
    ledger::finish(&edge).await;
    Ok(())
}

async fn respond(
    edge: sync::Arc<edge::Edge>,
    request: Request<body::Incoming>,
) -> Response<response::Body> {
    match request.uri().path() {
        paths::READY if edge.is_ready() => response::text(StatusCode::OK, "ready\n"),
        paths::READY => response::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        "/metrics" => edge.counters.registry.response(),
        _ => response::text(StatusCode::NOT_FOUND, "no such page\n"),
    }
}

// New requests are served until the balancer has stopped sending them. Then busy connections close
// after the request in flight, and idle ones at once. Finally no connection is accepted, so that
// none is cut off while the last record is written.
async fn drain(
    edge: &edge::Edge,
    stop: stopping::Stop,
    close: &tokio_sync::watch::Sender<bool>,
    serving: task::JoinHandle<()>,
) {
    let open = || edge.open_requests.load(atomic::Ordering::Relaxed);
    let started_at = clock::now();
    tracing::info!(open = open(), "edge: stopping");
    tokio::time::sleep(stopping::BALANCER_DELAY).await;
    close.send_replace(true);
    let wait = async |receivers: usize| {
        while clock::now() < stop.drained_by() && (open() > 0 || close.receiver_count() > receivers)
        {
            tokio::time::sleep(DRAIN_POLL).await;
        }
    };
    // The accept loop keeps one receiver.
    wait(1).await;
    serving.abort();
    wait(0).await;
    let waited_ms = (clock::now() - started_at).as_millis() as u64;
    tracing::info!(open = open(), waited_ms, "edge: stopped");
}
