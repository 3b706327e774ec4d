//! Changes engines' stages, as one entry at a time under a lease in the platform's store.

use std::{collections, sync, sync::atomic, time};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};

use rhubarb_core::{ids, lease, stages};
use rhubarb_node::clock;
use rhubarb_platform::{engine, store};

use crate::{boot, directory, edge, exchange};

/// The plan is looked at this often.
const PERIOD: time::Duration = time::Duration::from_millis(500);
/// Time for one call to the store or an engine.
const CALL_LIMIT: time::Duration = time::Duration::from_millis(1_000);
/// Time beyond the change itself for running work to end and the engine's entry to arrive.
const CHANGE_SLACK: time::Duration = time::Duration::from_secs(5);
/// Pause after a refused or lost lease.
const BACK_OFF: time::Duration = time::Duration::from_secs(4);

/// Runs the duty for as long as the process runs.
pub(crate) async fn run(edge: sync::Arc<edge::Edge>) {
    let settings = edge.settings();
    let holder = format!("{}/{}", settings.name, edge.incarnation);
    let mut lease = lease::Lease::new(holder.clone(), settings.lease);
    let mut planners: collections::BTreeMap<ids::ServiceName, stages::Planner> =
        collections::BTreeMap::new();
    loop {
        tokio::time::sleep(PERIOD).await;
        if !is_first(&edge) {
            planners.clear();
            continue;
        }
        for (service, change) in plan(&edge, &mut planners) {
            let Some(fence) = hold(&edge, &mut lease, &holder).await else {
                tokio::time::sleep(clock::jitter(BACK_OFF)).await;
                break;
            };
            if !order(&edge, &service, &change, fence).await {
                lease.lost();
                break;
            }
        }
    }
}

// The entry with the lowest address among those that hear one another takes the duty. The lease
// decides where they do not agree.
fn is_first(edge: &edge::Edge) -> bool {
    let is_away = edge.away.load(atomic::Ordering::Relaxed) > 0;
    let ip = edge.settings().ip;
    let lowest = edge.members().live(clock::now()).min();
    edge.is_ready() && !is_away && lowest.is_none_or(|lowest| ip < lowest)
}

fn plan(
    edge: &edge::Edge,
    planners: &mut collections::BTreeMap<ids::ServiceName, stages::Planner>,
) -> Vec<(ids::ServiceName, stages::Change)> {
    let now = clock::now();
    let mut directory = edge.directory();
    let mut changes = Vec::new();
    for (name, service) in directory.named_services() {
        let planner = planners.entry(name.clone()).or_default();
        let usage = service.engines.total_usage(now);
        let Some(costs) = planner.costs(usage, now) else { continue };
        let candidates = service.engines.candidates(now);
        let planned = planner.plan(costs, &candidates, now);
        if !planned.is_empty() {
            let engines = candidates.len();
            tracing::info!(service = name, ?costs, engines, ?planned, "edge: stages planned");
        }
        changes.extend(planned.into_iter().map(|change| (name.clone(), change)));
    }
    changes
}

// Fencing number of the lease, taken or renewed where it is needed.
async fn hold(edge: &edge::Edge, lease: &mut lease::Lease, holder: &str) -> Option<lease::Fence> {
    if let Some(fence) = lease.fence(boot::time()) {
        return Some(fence);
    }
    match renew(edge, lease, holder).await {
        Ok(()) => lease.fence(boot::time()),
        Err(err) => {
            tracing::warn!(%err, "edge: no lease to change stages");
            lease.lost();
            None
        }
    }
}

async fn renew(
    edge: &edge::Edge,
    lease: &mut lease::Lease,
    holder: &str,
) -> Result<(), store::StoreError> {
    let table = store::Table::Leases;
    let rows = edge.store.read(table, None, CALL_LIMIT).await?;
    let row = rows.rows.iter().find(|row| row.key == store::STAGES_LEASE);
    let version = row.map_or(0, |row| row.version);
    let value = row.and_then(|row| row.value.as_deref()).unwrap_or_default();
    let other = String::from_utf8_lossy(value);
    let seen = lease::Row { version, holder: &other };
    if !lease.observe(seen, boot::time()) {
        tracing::info!(holder = %other, version, "edge: another instance holds the lease");
        return Ok(());
    }
    let sent_at = boot::time();
    let write = store::Write {
        table,
        key: store::STAGES_LEASE,
        expected: Some(version),
        value: holder.as_bytes(),
    };
    match edge.store.write(write, CALL_LIMIT).await? {
        store::WriteOutcome::Committed(fence) => {
            tracing::info!(fence, "edge: lease to change stages held");
            lease.acquired(fence, sent_at);
        }
        store::WriteOutcome::Conflict => lease.lost(),
    }
    Ok(())
}

// Gives one order; false if the fencing number was refused.
async fn order(
    edge: &edge::Edge,
    service: &str,
    change: &stages::Change,
    fence: lease::Fence,
) -> bool {
    let Some(target) = edge.directory().target(&change.id) else { return true };
    let (id, stage) = (target.id.as_str(), change.to);
    let state = call(edge, &target, engine::report_request(id)).await;
    let Some(state) = state.and_then(|read| read_state(id, &read)) else { return true };
    if state.is_busy || state.stage == Some(stage) {
        tracing::info!(server = id, to = ?stage, busy = state.is_busy, "edge: no order needed");
        return true;
    }
    let (holder, orders) = (edge.settings().name.clone(), state.accepted_orders);
    let order =
        engine::StageOrder { engine: id, stage, holder: &holder, fence, expected_orders: orders };
    note_changing(edge, service, id);
    let status =
        call(edge, &target, engine::stage_request(&order)).await.map(|read| read.head.status());
    let code = status.map(|status| status.as_u16());
    tracing::info!(server = id, to = ?stage, fence, orders, status = code, "edge: order given");
    if status.is_some_and(|status| !status.is_success()) {
        forget_changing(edge, service, id);
    }
    status != Some(StatusCode::PRECONDITION_FAILED)
}

fn read_state(id: &str, read: &exchange::BufferedResponse) -> Option<engine::EngineState> {
    let body = read.body.as_ref().filter(|_| read.is_success())?;
    match engine::read_report(body) {
        Ok(state) => Some(state),
        Err(err) => {
            tracing::warn!(server = id, %err, "edge: engine's state unreadable");
            None
        }
    }
}

async fn call(
    edge: &edge::Edge,
    target: &directory::Target,
    request: Request<Full<Bytes>>,
) -> Option<exchange::BufferedResponse> {
    let path = request.uri().path().to_string();
    let calling = exchange::fetch(&edge.links, target.address, request);
    match tokio::time::timeout(CALL_LIMIT, calling).await {
        Ok(Ok(read)) => Some(read),
        Ok(Err(err)) => {
            tracing::warn!(server = target.id, path, %err, "edge: engine not reached");
            None
        }
        Err(_) => {
            tracing::warn!(server = target.id, path, "edge: engine did not answer in time");
            None
        }
    }
}

fn note_changing(edge: &edge::Edge, service: &str, id: &str) {
    let now = clock::now();
    let mut directory = edge.directory();
    let switch = directory.switch_time(service);
    let until = now + switch + CHANGE_SLACK;
    directory.service(service).engines.set_changing(id, until);
    drop(directory);
    let mut orders = edge.orders();
    orders.open.retain(|_, until| now < *until);
    orders.open.insert(id.to_string(), until);
    edge.given.notify_one();
}

fn forget_changing(edge: &edge::Edge, service: &str, id: &str) {
    edge.orders().open.remove(id);
    edge.directory().service(service).engines.set_changing(id, clock::now() + CALL_LIMIT);
}
