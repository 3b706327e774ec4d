//! The leader task: changes the stages of engines.
//!
//! One entry at a time does it, under a lease in the platform's store.

use std::{collections, sync, time};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};

use rhubarb_core::{ids, lease, stages};
use rhubarb_node::clock;
use rhubarb_platform::{engine, store};

use crate::{boot, connections, directory, edge, exchange, pauses, quotas};

/// Interval between plans.
const PLAN_PERIOD: time::Duration = time::Duration::from_millis(500);
/// Timeout of a call to the store or an engine.
const CALL_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);
/// Time added to the duration of a change, for running work to end and the engine's row to arrive.
const CHANGE_MARGIN: time::Duration = time::Duration::from_secs(5);
/// Pause after a lease was refused or lost, before jitter.
const LEASE_BACKOFF: time::Duration = time::Duration::from_secs(4);

/// Plans and orders changes of stages while this entry is the leader; does not return.
pub(crate) async fn run(edge: sync::Arc<edge::Edge>) {
    let settings = edge.settings();
    let holder = format!("{}/{}", settings.name, edge.incarnation);
    let mut lease = lease::Lease::new(holder.clone(), settings.lease);
    let mut planners: collections::BTreeMap<ids::ServiceName, stages::Planner> =
        collections::BTreeMap::new();
    loop {
        tokio::time::sleep(PLAN_PERIOD).await;
        lease.observe_era(edge.store.era(), boot::time());
        if !is_leader(&edge) {
            planners.clear();
            continue;
        }
        for (service, change) in plan(&edge, &mut planners) {
            let Some(fence) = acquire_fence(&edge, &mut lease, &holder).await else {
                tokio::time::sleep(clock::jitter(LEASE_BACKOFF)).await;
                break;
            };
            if !send_order(&edge, &lease, &service, &change, fence).await {
                lease.lost();
                break;
            }
        }
    }
}

// The live entry with the lowest address is the leader. Where entries know different members, the
// lease decides.
fn is_leader(edge: &edge::Edge) -> bool {
    edge.is_ready() && !edge.is_disconnected() && edge.members().leader(clock::now()).is_none()
}

fn plan(
    edge: &edge::Edge,
    planners: &mut collections::BTreeMap<ids::ServiceName, stages::Planner>,
) -> Vec<(ids::ServiceName, stages::Change)> {
    let now = clock::now();
    let mut directory = edge.directory();
    let config = directory.config();
    let mut changes = Vec::new();
    for (name, service) in directory.named_services() {
        let planner = planners.entry(name.clone()).or_default();
        let is_ranked = config.as_ref().is_some_and(|config| config.is_ranked(name));
        planner.record_wait(is_ranked && service.engines.has_waiting(), now);
        let usage = service.engines.total_usage(now);
        let Some(costs) = planner.costs(usage, now) else { continue };
        let candidates = service.engines.candidates(now);
        let planned = planner.plan(costs, &candidates, now);
        if !planned.is_empty() {
            let engines = candidates.len();
            let is_short = planner.is_decode_short();
            let load = planner.prefill_load();
            tracing::info!(
                service = name,
                ?costs,
                engines,
                is_short,
                load,
                ?planned,
                "edge: stages planned"
            );
        }
        changes.extend(planned.into_iter().map(|change| (name.clone(), change)));
    }
    changes
}

// Fencing number of the lease, which is acquired or renewed if necessary.
async fn acquire_fence(
    edge: &edge::Edge,
    lease: &mut lease::Lease,
    holder: &str,
) -> Option<lease::Fence> {
    lease.observe_era(edge.store.era(), boot::time());
    if let Some(fence) = lease.fence(boot::time()) {
        return Some(fence);
    }
    if !lease.is_era_settled(boot::time()) {
        tracing::info!(era = edge.store.era(), "edge: lease not acquired in a new era yet");
        return None;
    }
    match acquire_lease(edge, lease, holder).await {
        Ok(()) => lease.fence(boot::time()),
        Err(err) => {
            tracing::warn!(%err, "edge: lease for changing stages not acquired");
            lease.lost();
            None
        }
    }
}

async fn acquire_lease(
    edge: &edge::Edge,
    lease: &mut lease::Lease,
    holder: &str,
) -> Result<(), store::StoreError> {
    let table = store::Table::Leases;
    let rows = edge.store.read(table, None, CALL_TIMEOUT).await?;
    let row = rows.rows.iter().find(|row| row.key == store::STAGES_LEASE);
    let version = row.map_or(store::Version::new(rows.version.era, 0), |row| row.version);
    let value = row.and_then(|row| row.value.as_deref()).unwrap_or_default();
    let current = String::from_utf8_lossy(value);
    let seen = lease::Row { version, holder: &current };
    if !lease.observe(seen, boot::time()) {
        tracing::info!(holder = %current, %version, "edge: another instance holds the lease");
        return Ok(());
    }
    let sent_at = boot::time();
    let write = store::Write {
        table,
        key: store::STAGES_LEASE,
        expected: Some(version),
        value: holder.as_bytes(),
    };
    match edge.store.write(write, CALL_TIMEOUT).await? {
        store::WriteOutcome::Committed(version) => {
            let fence = version.number();
            tracing::info!(%version, fence, "edge: lease for changing stages acquired");
            lease.observe_era(edge.store.era(), boot::time());
            lease.acquired(version, sent_at);
        }
        store::WriteOutcome::Conflict => lease.lost(),
    }
    Ok(())
}

// Sends one order; false if the engine rejected the fencing number or the lease may be lost.
async fn send_order(
    edge: &edge::Edge,
    lease: &lease::Lease,
    service: &str,
    change: &stages::Change,
    fence: lease::Fence,
) -> bool {
    let era = edge.store.era();
    let Some(target) = edge.directory().target(&change.id) else { return true };
    let (id, stage) = (target.id.as_str(), change.to);
    // The order follows the report.
    let report = engine::report_request(id);
    let response = call(edge, &target, report, quotas::Cost::Two, || Ok(())).await;
    let state = response.ok().and_then(|response| read_state(id, &response));
    let Some(state) = state else { return true };
    if state.is_busy || state.stage == Some(stage) {
        tracing::info!(server = id, to = ?stage, busy = state.is_busy, "edge: order not needed");
        return true;
    }
    let (holder, orders) = (edge.settings().name.clone(), state.accepted_orders);
    let order =
        engine::StageOrder { engine: id, stage, holder: &holder, fence, expected_orders: orders };
    set_changing(edge, service, id);
    // Asked just before the order is written: this process may have been suspended since the lease
    // was acquired.
    let permit = || match lease.fence(boot::time()) == Some(fence) && edge.store.era() == era {
        true => Ok(()),
        false => Err(connections::SendError::Expired),
    };
    let request = engine::stage_request(&order);
    let response = call(edge, &target, request, quotas::Cost::Paid, permit).await;
    if let Err(connections::SendError::Expired) = response {
        let new_era = edge.store.era() != era;
        tracing::info!(server = id, to = ?stage, fence, new_era, "edge: order not sent");
        clear_changing(edge, service, id);
        return false;
    }
    let status = response.ok().map(|response| response.head.status());
    let code = status.map(|status| status.as_u16());
    tracing::info!(server = id, to = ?stage, fence, orders, status = code, "edge: order sent");
    let is_paused = pauses::is_paused(edge, &target);
    if is_paused || status.is_some_and(|status| !status.is_success()) {
        clear_changing(edge, service, id);
    }
    status != Some(StatusCode::PRECONDITION_FAILED)
}

fn read_state(id: &str, response: &exchange::BufferedResponse) -> Option<engine::EngineState> {
    let body = response.body.as_ref().filter(|_| response.is_success())?;
    match engine::read_report(body) {
        Ok(state) => Some(state),
        Err(err) => {
            tracing::warn!(server = id, %err, "edge: state of engine cannot be parsed");
            None
        }
    }
}

async fn call(
    edge: &edge::Edge,
    target: &directory::Target,
    request: Request<Full<Bytes>>,
    cost: quotas::Cost,
    is_permitted: impl Fn() -> Result<(), connections::SendError>,
) -> Result<exchange::BufferedResponse, connections::SendError> {
    let path = request.uri().path().to_string();
    let sending = exchange::fetch_if(edge, target, request, cost, is_permitted);
    let timeout = tokio::time::timeout(CALL_TIMEOUT, sending);
    let result = timeout.await.unwrap_or_else(|_| {
        Err(connections::SendError::ConnectionLost("no response in time".to_string()))
    });
    if let Err(err) = &result {
        tracing::warn!(server = target.id, path, %err, "edge: engine not reached");
    }
    result
}

fn set_changing(edge: &edge::Edge, service: &str, id: &str) {
    let now = clock::now();
    let mut directory = edge.directory();
    let switch = directory.switch_time(service);
    let until = now + switch + CHANGE_MARGIN;
    directory.service(service).engines.set_changing(id, until);
    drop(directory);
    let mut orders = edge.orders();
    orders.open.retain(|_, until| now < *until);
    orders.open.insert(id.to_string(), until);
    edge.commitments_changed.notify_one();
}

// After a rejected order the engine counts as changing only for the length of one more call.
fn clear_changing(edge: &edge::Edge, service: &str, id: &str) {
    edge.orders().open.remove(id);
    edge.directory().service(service).engines.set_changing(id, clock::now() + CALL_TIMEOUT);
}
