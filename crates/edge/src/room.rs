//! Decode memory for one request, freed when dropped.

use std::{sync, time};

use rhubarb_core::{engines, fleet, ids, outcome};
use rhubarb_node::{clock, reply};

use outcome::{Reason, Refusal};

use crate::{call, directory, edge};

/// Memory at a decode engine.
#[derive(Debug)]
pub(crate) struct Room {
    edge: sync::Arc<edge::Edge>,
    service: ids::ServiceName,
    pub(crate) target: directory::Target,
    run: ids::RunId,
}

impl Drop for Room {
    fn drop(&mut self) {
        self.edge.directory().service(&self.service).engines.release(&self.target.id, self.run);
        self.edge.room_freed.notify_waiters();
        self.edge.given.notify_one();
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
    reply: &mut reply::Reply,
    need: engines::Need,
    tried: &[ids::ServerName],
    wait_by: time::Instant,
) -> Asked {
    let place = engines::Place { arrived: call.arrived, run: call.edge.next_run() };
    let _seat = Seat { call, place };
    loop {
        let freed = call.edge.room_freed.notified();
        if let Some(room) = take(call, place, need, tried) {
            return Asked::Granted(room);
        }
        if clock::now() >= wait_by {
            return Asked::Refused(no_room());
        }
        let wake_at = wait_by.min(clock::now() + RECHECK);
        if let reply::Waited::Gone = reply.wait(freed, wake_at).await {
            return Asked::Gone;
        }
    }
}

struct Seat<'a> {
    call: &'a call::Call,
    place: engines::Place,
}

impl Drop for Seat<'_> {
    fn drop(&mut self) {
        let mut directory = self.call.edge.directory();
        directory.service(&self.call.service).engines.leave(self.place);
    }
}

fn take(
    call: &call::Call,
    place: engines::Place,
    need: engines::Need,
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
        engines.join(place);
        return None;
    };
    let target = directory.target(&id)?;
    call.edge.given.notify_one();
    let (edge, service) = (call.edge.clone(), call.service.clone());
    Some(Room { edge, service, target, run: place.run })
}
