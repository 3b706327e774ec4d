//! Decode memory for one request, freed when dropped.

use std::{sync, time};

use hyper::StatusCode;

use rhubarb_core::{engine, engines, fleet, ids, outcome, pool};
use rhubarb_node::{clock, responder};
use rhubarb_platform::engine as calls;

use outcome::{Reason, Refusal};

use crate::{call, cleanup, directory, edge, exchange, prefill};

/// Memory at a decode engine.
#[derive(Debug)]
pub(crate) struct Room {
    edge: sync::Arc<edge::Edge>,
    service: ids::ServiceName,
    pub(crate) target: directory::Target,
    run: ids::RunId,
    hold: Option<String>,
}

impl Room {
    /// Notes how much the run has generated.
    pub(crate) fn progress(&self, events: u64) {
        let mut directory = self.edge.directory();
        let tokens = directory.event_tokens(&self.service);
        let generated = u32::try_from(events).unwrap_or(u32::MAX).saturating_mul(tokens);
        let engines = &mut directory.service(&self.service).engines;
        engines.record_progress(&self.target.id, self.run, generated);
    }

    /// The memory that the engine set aside, to be used by one send.
    pub(crate) fn hold(&self) -> Option<&str> {
        self.hold.as_deref()
    }

    /// Notes that a request used the hold; one that was refused or lost gives it back.
    pub(crate) fn set_hold_used(&mut self) {
        self.hold = None;
    }
}

impl Drop for Room {
    fn drop(&mut self) {
        if let Some(hold) = self.hold.take() {
            let (edge, address) = (self.edge.clone(), self.target.address);
            let request = calls::release_hold(&hold);
            tokio::spawn(async move { cleanup::send(&edge, address, request).await });
        }
        let mut directory = self.edge.directory();
        let engines = &mut directory.service(&self.service).engines;
        engines.release(&self.target.id, self.run, clock::now());
        drop(directory);
        self.edge.slot_freed.notify_waiters();
        self.edge.commitments_changed.notify_one();
    }
}

/// How a request waits for room.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Wait {
    /// Whether it can no longer be in time, and lets those go first that can.
    pub(crate) late: bool,
    /// When room is of no more use.
    pub(crate) until: time::Instant,
}

impl Wait {
    /// The wait of a request that can be in time.
    pub(crate) fn until(until: time::Instant) -> Wait {
        Wait { late: false, until }
    }
}

/// What became of the wait for room.
#[derive(Debug)]
pub(crate) enum Asked {
    /// Memory is committed.
    Granted(Room),
    /// None was free in time.
    Refused(Refusal),
    /// The caller closed its connection.
    Gone,
}

/// A live engine answers in milliseconds.
const HOLD_LIMIT: time::Duration = time::Duration::from_millis(250);
/// The expected wait is off by about this much either way.
const HOPE: time::Duration = time::Duration::from_millis(1_000);
/// What peers have freed is looked at this often.
const RECHECK: time::Duration = time::Duration::from_millis(50);
/// Shortest and longest time after which a refused caller is asked to come back: bursts last
/// seconds, and those refused together return spread over as long.
const RETRY_AFTER: (f64, f64) = (2.0, 4.5);

/// A refusal for want of room.
pub(crate) fn no_room() -> Refusal {
    let (least, most) = RETRY_AFTER;
    let seconds = least + (most - least) * rand::random::<f64>();
    Refusal::not_run(Reason::NoRoom, time::Duration::from_secs_f64(seconds))
}

/// Waits for room until `wait_by`; asks at least once.
pub(crate) async fn ask(
    call: &call::Call,
    reply: &mut responder::Responder,
    need: engine::Need,
    tried: &[ids::ServerName],
    wait: Wait,
) -> Asked {
    let Wait { late, until: wait_by } = wait;
    let place =
        engines::Position { overdue: late, arrived: call.arrived, run: call.edge.next_run() };
    let _seat = Seat { call, place };
    if is_hopeless(call, wait_by) {
        return Asked::Refused(no_room());
    }
    let mut tried = tried.to_vec();
    loop {
        let freed = call.edge.slot_freed.notified();
        while let Some(mut room) = take(call, place, need, &tried) {
            match reply.wait(hold(call, &mut room, need), call.deadline).await {
                responder::WaitOutcome::Event(Held::Yes) => {
                    note_belief(call, &room.target.id, need, "edge: memory set aside");
                    return Asked::Granted(room);
                }
                responder::WaitOutcome::Event(Held::Full) => {}
                responder::WaitOutcome::Event(Held::Unreachable) => {
                    tried.push(room.target.id.clone())
                }
                responder::WaitOutcome::Disconnected => return Asked::Gone,
                responder::WaitOutcome::Expired => break,
            }
        }
        if clock::now() >= wait_by {
            return Asked::Refused(no_room());
        }
        let wake_at = wait_by.min(clock::now() + RECHECK);
        if let responder::WaitOutcome::Disconnected = reply.wait(freed, wake_at).await {
            return Asked::Gone;
        }
    }
}

enum Held {
    Yes,
    Full,
    Unreachable,
}

// Has the engine set the memory aside, where it can.
async fn hold(call: &call::Call, room: &mut Room, need: engine::Need) -> Held {
    let Some(life) = hold_life(call) else { return Held::Yes };
    let id = room.target.id.clone();
    let request = calls::create_hold(&id, need.charge(), life);
    let asking = exchange::fetch(&call.edge.links, room.target.address, request);
    let asked = tokio::time::timeout(HOLD_LIMIT, asking).await;
    let read = match asked {
        Ok(Ok(read)) => read,
        Ok(Err(err)) => {
            tracing::info!(id = call.id(), server = id, %err, "edge: no memory asked for");
            prefill::note_end(call, &id, pool::ServerOutcome::Failure(Reason::NoServer));
            return Held::Unreachable;
        }
        Err(_) => {
            tracing::info!(id = call.id(), server = id, "edge: memory asked for in vain");
            prefill::note_end(call, &id, pool::ServerOutcome::Failure(Reason::NoServer));
            return Held::Unreachable;
        }
    };
    let body = read.body.as_ref().filter(|_| read.is_success());
    match body.map(|body| calls::read_hold(body)) {
        Some(Ok(hold)) => {
            room.hold = Some(hold);
            Held::Yes
        }
        Some(Err(err)) => {
            tracing::warn!(id = call.id(), server = id, %err, "edge: hold unreadable");
            Held::Unreachable
        }
        None if read.head.status() == StatusCode::SERVICE_UNAVAILABLE => {
            note_belief(call, &id, need, "edge: engine is full");
            call.edge.counters.engine_full.inc();
            let mut directory = call.edge.directory();
            directory.service(&call.service).engines.set_full(&id, clock::now());
            Held::Full
        }
        None => {
            let status = read.head.status().as_u16();
            tracing::info!(id = call.id(), server = id, status, "edge: no memory set aside");
            Held::Unreachable
        }
    }
}

// Logs what was believed of an engine that was asked for memory.
fn note_belief(call: &call::Call, server: &str, need: engine::Need, message: &str) {
    let mut directory = call.edge.directory();
    let belief = directory.service(&call.service).engines.estimate(server, clock::now());
    drop(directory);
    tracing::info!(
        id = call.id(),
        server,
        need = need.charge(),
        fill = belief.map(|belief| belief.fill),
        news_ms = belief.map(|belief| belief.age.as_millis() as u64),
        returned = call.returned,
        age_ms = call.age_ms(),
        "{message}"
    );
}

fn hold_life(call: &call::Call) -> Option<time::Duration> {
    let config = call.edge.directory().config()?;
    config.services.get(&call.service)?.engine.as_ref()?.hold_ttl
}

// Whether the queue is longer than the request can wait.
fn is_hopeless(call: &call::Call, wait_by: time::Instant) -> bool {
    let now = clock::now();
    let mut directory = call.edge.directory();
    let wait = directory.service(&call.service).engines.expected_wait(now);
    let is_hopeless = now + wait > wait_by + HOPE;
    if is_hopeless {
        let wait_ms = wait.as_millis() as u64;
        let returned = call.returned;
        tracing::info!(id = call.id(), wait_ms, returned, "edge: the queue for memory is too long");
    }
    is_hopeless
}

struct Seat<'a> {
    call: &'a call::Call,
    place: engines::Position,
}

impl Drop for Seat<'_> {
    fn drop(&mut self) {
        let mut directory = self.call.edge.directory();
        directory.service(&self.call.service).engines.dequeue(self.place);
    }
}

fn take(
    call: &call::Call,
    place: engines::Position,
    need: engine::Need,
    tried: &[ids::ServerName],
) -> Option<Room> {
    let now = clock::now();
    let mut directory = call.edge.directory();
    let service = directory.service(&call.service);
    let engines = &mut service.engines;
    let is_decode = |id: &str| engines.stage(id) == Some(fleet::Stage::Decode);
    let sound: Vec<_> = service.pool.candidates(tried, is_decode, now);
    let allowed = |id: &str| sound.iter().any(|other| *other == id);
    let Some(id) = engines.reserve(place, need, allowed, rand::random(), now) else {
        engines.enqueue(place);
        return None;
    };
    let target = directory.target(&id)?;
    call.edge.commitments_changed.notify_one();
    let (edge, service) = (call.edge.clone(), call.service.clone());
    Some(Room { edge, service, target, run: place.run, hold: None })
}
