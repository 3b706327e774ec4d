//! Reservations of a slot and memory at a decode engine.

use std::{future, sync, time};

use hyper::StatusCode;

use rhubarb_core::{engine, engines, fleet, ids, outcome, pool};
use rhubarb_node::{clock, responder};
use rhubarb_platform::engine as platform_engine;

use outcome::{Outcome, Reason, Refusal};

use crate::{
    call, cleanup, connections, directory, doubts, edge, exchange, quotas, refuse, suspects,
};

/// Slot and memory of one request at a decode engine, released when dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    edge: sync::Arc<edge::Edge>,
    service: ids::ServiceName,
    pub(crate) target: directory::Target,
    run: ids::RunId,
    hold: Option<String>,
}

impl Reservation {
    /// Records the number of events that the run has generated.
    pub(crate) fn record_progress(&self, events: u64) {
        let mut directory = self.edge.directory();
        let tokens = directory.event_tokens(&self.service);
        let generated = u32::try_from(events).unwrap_or(u32::MAX).saturating_mul(tokens);
        let engines = &mut directory.service(&self.service).engines;
        engines.record_progress(&self.target.id, self.run, generated);
    }

    /// Name of the engine's hold, which the request uses when it is sent.
    pub(crate) fn hold(&self) -> Option<&str> {
        self.hold.as_deref()
    }

    /// Records that a request used the hold, so that dropping the reservation does not release it.
    pub(crate) fn set_hold_used(&mut self) {
        self.hold = None;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if let Some(hold) = self.hold.take() {
            let (edge, target) = (self.edge.clone(), self.target.clone());
            let request = platform_engine::release_hold(&hold);
            tokio::spawn(async move {
                cleanup::send(&edge, &target, request, quotas::Cost::Paid).await
            });
        }
        let mut directory = self.edge.directory();
        let engines = &mut directory.service(&self.service).engines;
        engines.release(&self.target.id, self.run, clock::now());
        let is_urgent = engines.reports_at_once();
        drop(directory);
        self.edge.slot_freed.notify_waiters();
        let changed =
            if is_urgent { &self.edge.commitments_changed } else { &self.edge.memory_freed };
        changed.notify_one();
    }
}

/// How long and with which precedence a request waits for a slot.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WaitLimit {
    /// Whether the request can no longer meet its latency target; it is served after all that can.
    pub(crate) overdue: bool,
    /// Time after which a slot is of no use.
    pub(crate) until: time::Instant,
    /// Whether a part of the answer was sent, so that the request cannot be rejected any more and
    /// waits for the end of pauses.
    pub(crate) is_started: bool,
}

impl WaitLimit {
    /// Limit of a request that can still meet its latency target.
    pub(crate) fn until(until: time::Instant) -> WaitLimit {
        WaitLimit { overdue: false, until, is_started: false }
    }
}

/// Result of a request for a slot.
#[derive(Debug)]
pub(crate) enum ReserveResult {
    /// A slot is reserved.
    Granted(Reservation),
    /// No slot became free within the limit.
    Refused(Refusal),
    /// The caller closed its connection.
    Disconnected,
}

/// Timeout of a request for a hold; an engine responds within milliseconds.
const HOLD_TIMEOUT: time::Duration = time::Duration::from_millis(250);
/// Typical error of the expected wait, in either direction.
const WAIT_MARGIN: time::Duration = time::Duration::from_millis(1_000);
/// Interval at which a waiting request checks for slots released by other entries.
const RECHECK_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// Shortest and longest delay before a refused caller retries, in seconds. Bursts last seconds, so
/// the retries of callers that are refused together are spread over as long.
const RETRY_RANGE_S: (f64, f64) = (2.0, 4.5);

/// Shortest and longest delay before a caller retries that found no server, in seconds. A server
/// that starts is registered within a heartbeat, about a second.
const NO_SERVER_RETRY_S: (f64, f64) = (1.0, 2.5);

/// Refusal of a request that gets no slot.
pub(crate) fn no_slot() -> Refusal {
    let (min, max) = RETRY_RANGE_S;
    let seconds = min + (max - min) * rand::random::<f64>();
    Refusal::not_run(Reason::NoRoom, time::Duration::from_secs_f64(seconds))
}

/// Reserves a slot within `limit`, preferably at an engine that was not `tried`; makes at least one
/// attempt. With a version `software` only its engines are chosen.
pub(crate) async fn reserve(
    call: &call::Call,
    responder: &mut responder::Responder,
    need: engine::Need,
    tried: &[ids::ServerName],
    software: Option<ids::SoftwareTag>,
    limit: WaitLimit,
) -> ReserveResult {
    let WaitLimit { overdue, until, is_started } = limit;
    let no_server = || {
        let reason = if software.is_some() { Reason::VersionGone } else { Reason::NoServer };
        ReserveResult::Refused(Refusal::not_run(reason, no_server_retry()))
    };
    let position = engines::Position {
        urgency: call.urgency,
        overdue,
        arrived: call.arrived,
        run: call.edge.next_run(),
    };
    let _ticket = QueueTicket { call, position };
    if !has_server(call, software) {
        return no_server();
    }
    if !is_started && let Some(refusal) = paused_refusal(call, until) {
        return ReserveResult::Refused(refusal);
    }
    if software.is_none() && is_queue_too_long(call, position, until) {
        return ReserveResult::Refused(no_slot());
    }
    let mut tried = tried.to_vec();
    loop {
        if let Some(refusal) = suspects::rejection(call, Outcome::NotRun) {
            return ReserveResult::Refused(refusal);
        }
        let slot_freed = call.edge.slot_freed.notified();
        let mut unavailable = Vec::new();
        while let Some(mut reservation) =
            try_reserve(call, position, need, software, &tried, &unavailable)
        {
            match call
                .wait(responder, request_hold(call, &mut reservation, need), call.deadline())
                .await
            {
                responder::WaitOutcome::Event(HoldResult::Held) => {
                    log_estimate(call, &reservation.target.id, need, "edge: slot reserved");
                    return ReserveResult::Granted(reservation);
                }
                responder::WaitOutcome::Event(HoldResult::Full) => {}
                responder::WaitOutcome::Event(HoldResult::Unavailable) => {
                    tried.push(reservation.target.id.clone());
                    unavailable.push(reservation.target.id.clone());
                }
                responder::WaitOutcome::Disconnected => return ReserveResult::Disconnected,
                responder::WaitOutcome::Expired => break,
            }
        }
        if !is_started && let Some(refusal) = paused_refusal(call, until) {
            return ReserveResult::Refused(refusal);
        }
        if clock::now() >= until.min(call.deadline()) {
            return ReserveResult::Refused(no_slot());
        }
        if !has_server(call, software) {
            return no_server();
        }
        let wake_at = until.min(clock::now() + RECHECK_INTERVAL);
        let waiting = async {
            // Giving up the slots of unavailable servers has notified this request as well.
            match unavailable.is_empty() {
                true => slot_freed.await,
                false => future::pending().await,
            }
        };
        if let responder::WaitOutcome::Disconnected = call.wait(responder, waiting, wake_at).await {
            return ReserveResult::Disconnected;
        }
    }
}

// Whether any server of the service, or of one version of it, stays, so that waiting makes sense.
fn has_server(call: &call::Call, software: Option<ids::SoftwareTag>) -> bool {
    let mut directory = call.edge.directory();
    let Some(software) = software else {
        let (pool, now) = (&directory.service(&call.service).pool, clock::now());
        return !pool.candidates(&[], |_| true, now).is_empty() || pool.paused(now).is_some();
    };
    directory.has_decode(&call.service, software)
}

// Refusal of a request whose decode engines are all paused, or at their limits, beyond `until`.
fn paused_refusal(call: &call::Call, until: time::Instant) -> Option<Refusal> {
    let mut directory = call.edge.directory();
    let engines = &directory.service(&call.service).engines;
    let closed = engines.paused(fleet::Stage::Decode, clock::now())?;
    (closed.until > until).then(|| Refusal::not_run(Reason::NoRoom, refuse::pause_retry(closed)))
}

/// Delay before the callers of a service without a server retry. Its servers are replaced within
/// seconds; the retries are spread, so that the first new server is not met by all of them at once.
pub(crate) fn no_server_retry() -> time::Duration {
    let (min, max) = NO_SERVER_RETRY_S;
    time::Duration::from_secs_f64(min + (max - min) * rand::random::<f64>())
}

enum HoldResult {
    Held,
    Full,
    Unavailable,
}

// Requests a hold on the engine's memory, if the service has holds.
async fn request_hold(
    call: &call::Call,
    reservation: &mut Reservation,
    need: engine::Need,
) -> HoldResult {
    let Some(ttl) = hold_ttl(call) else { return HoldResult::Held };
    let id = reservation.target.id.clone();
    let request = platform_engine::create_hold(&id, need.charge(), ttl);
    let cost = quotas::hold_cost(&reservation.target);
    let sending = exchange::fetch_at(&call.edge, &reservation.target, request, cost);
    let response = match tokio::time::timeout(HOLD_TIMEOUT, sending).await {
        Ok(Ok(response)) => response,
        Ok(Err(connections::SendError::Paused | connections::SendError::Limited)) => {
            tracing::info!(
                id = call.id(),
                server = id,
                "edge: hold not requested at a paused or limited server"
            );
            return HoldResult::Unavailable;
        }
        Ok(Err(err)) => {
            tracing::info!(id = call.id(), server = id, %err, "edge: hold request failed");
            call.record_outcome(&id, pool::ServerOutcome::Failure(Reason::NoServer));
            doubts::record(&call.edge, &reservation.target);
            return HoldResult::Unavailable;
        }
        Err(_) => {
            tracing::info!(id = call.id(), server = id, "edge: hold request timed out");
            call.record_outcome(&id, pool::ServerOutcome::Failure(Reason::NoServer));
            return HoldResult::Unavailable;
        }
    };
    if !response.is_success() {
        quotas::refund(&call.edge, &reservation.target, cost.requests() - 1);
    }
    let body = response.body.as_ref().filter(|_| response.is_success());
    match body.map(|body| platform_engine::read_hold(body)) {
        Some(Ok(hold)) if !call.edge.record_hold(&id, &hold) => {
            tracing::warn!(id = call.id(), server = id, hold, "edge: hold of another request");
            call.edge.counters.stray_responses.inc();
            HoldResult::Unavailable
        }
        Some(Ok(hold)) => {
            reservation.hold = Some(hold);
            HoldResult::Held
        }
        Some(Err(err)) => {
            tracing::warn!(id = call.id(), server = id, %err, "edge: invalid hold response");
            HoldResult::Unavailable
        }
        None if response.asks_pause() => {
            tracing::info!(id = call.id(), server = id, "edge: hold refused by a paused server");
            HoldResult::Unavailable
        }
        None if response.head.status() == StatusCode::SERVICE_UNAVAILABLE => {
            log_estimate(call, &id, need, "edge: engine is full");
            call.edge.counters.engine_full.inc();
            let mut directory = call.edge.directory();
            directory.service(&call.service).engines.set_full(&id, clock::now());
            HoldResult::Full
        }
        None => {
            let status = response.head.status().as_u16();
            tracing::info!(id = call.id(), server = id, status, "edge: hold refused");
            HoldResult::Unavailable
        }
    }
}

// Logs the estimated memory use of the engine that was chosen for a request.
fn log_estimate(call: &call::Call, server: &str, need: engine::Need, message: &str) {
    let mut directory = call.edge.directory();
    let estimate = directory.service(&call.service).engines.estimate(server, clock::now());
    drop(directory);
    tracing::info!(
        id = call.id(),
        server,
        need = need.charge(),
        rank = call.urgency.rank,
        route_rank = call.urgency.route,
        fill = estimate.map(|estimate| estimate.fill),
        report_age_ms = estimate.map(|estimate| estimate.age.as_millis() as u64),
        is_retry = call.is_retry,
        age_ms = call.age_ms(),
        "{message}"
    );
}

fn hold_ttl(call: &call::Call) -> Option<time::Duration> {
    let config = call.edge.directory().config()?;
    config.services.get(&call.service)?.engine.as_ref()?.hold_ttl
}

// Whether the expected wait exceeds the time that the request can wait.
fn is_queue_too_long(call: &call::Call, position: engines::Position, until: time::Instant) -> bool {
    let now = clock::now();
    let mut directory = call.edge.directory();
    let engines = &directory.service(&call.service).engines;
    let (before, wait) = (engines.before(position), engines.expected_wait(position, now));
    drop(directory);
    let is_too_long = now + wait > until + WAIT_MARGIN;
    if is_too_long {
        tracing::info!(
            id = call.id(),
            rank = position.urgency.rank,
            route_rank = position.urgency.route,
            before,
            wait_ms = wait.as_millis() as u64,
            is_retry = call.is_retry,
            "edge: slot queue too long"
        );
    }
    is_too_long
}

// Position of a request in the queue for slots, which it leaves when the ticket is dropped.
struct QueueTicket<'a> {
    call: &'a call::Call,
    position: engines::Position,
}

impl Drop for QueueTicket<'_> {
    fn drop(&mut self) {
        let mut directory = self.call.edge.directory();
        directory.service(&self.call.service).engines.dequeue(self.position);
    }
}

// Reserves a slot, or queues the request if it is not its turn or no engine has a free slot.
fn try_reserve(
    call: &call::Call,
    position: engines::Position,
    need: engine::Need,
    software: Option<ids::SoftwareTag>,
    tried: &[ids::ServerName],
    unavailable: &[ids::ServerName],
) -> Option<Reservation> {
    let now = clock::now();
    quotas::refresh(&call.edge);
    let mut directory = call.edge.directory();
    // A begun stream does not go on where the version may have changed.
    let unverified = software.map(|_| directory.unverified().clone()).unwrap_or_default();
    // Nothing is sent to a process that no row names.
    let unregistered = directory.unregistered().clone();
    let service = directory.service(&call.service);
    let engines = &mut service.engines;
    if software.is_none() && !engines.is_next(position) {
        engines.enqueue(position);
        return None;
    }
    let most_urgent = engines.most_urgent();
    let is_decode = |id: &str| {
        engines.stage(id) == Some(fleet::Stage::Decode)
            && software.is_none_or(|software| engines.software(id) == Some(software))
            && !unverified.contains(id)
            && !unregistered.contains(id)
    };
    // In order of their names.
    let candidates: Vec<_> = service.pool.candidates(tried, is_decode, now);
    let is_available = |id: &ids::ServerName| !unavailable.contains(id);
    let candidates: Vec<_> = candidates.into_iter().filter(|id| is_available(id)).collect();
    let allowed = |id: &str| candidates.binary_search_by(|other| other.as_str().cmp(id)).is_ok();
    let draw = rand::random();
    let chosen = match software {
        Some(_) => engines.reserve_beside(position, need, allowed, draw, now),
        None => engines.reserve(position, need, allowed, draw, now),
    };
    let Some(id) = chosen else {
        if software.is_some() {
            return None;
        }
        engines.enqueue(position);
        if engines.take_left() {
            tracing::info!(id = call.id(), age_ms = call.age_ms(), "edge: slot left to a peer");
        }
        if engines.most_urgent() != most_urgent {
            call.edge.commitments_changed.notify_one();
        }
        return None;
    };
    let target = directory.target(&id)?;
    call.edge.commitments_changed.notify_one();
    let (edge, service) = (call.edge.clone(), call.service.clone());
    Some(Reservation { edge, service, target, run: position.run, hold: None })
}
