//! Decode memory of one engine: timed reservations and the queue for them.

use std::{collections, time};

use crate::{ids, load, outcome};

use outcome::{Reason, Refusal};

/// Answer to a request for room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The room is reserved.
    Granted,
    /// The request waits; [`Rooms::next_grant`] will name it.
    Queued,
    /// No room can be had in time.
    Refused(Refusal),
}

#[derive(Clone, Copy, Debug)]
struct Holding {
    since: time::Instant,
    // A reservation that is not taken up by then is dropped.
    until: Option<time::Instant>,
}

/// Rooms of one engine.
#[derive(Clone, Debug)]
pub struct Rooms {
    capacity: u32,
    max_waiting: usize,
    hold: time::Duration,
    held: collections::BTreeMap<ids::RunId, Holding>,
    // Ordered by the last moment at which a grant is of use.
    waiting: collections::BTreeSet<(time::Instant, ids::RunId)>,
    mean_stay: time::Duration,
}

const FIRST_STAY: time::Duration = time::Duration::from_millis(500);
const MIN_RETRY: time::Duration = time::Duration::from_millis(100);
const STAY_WEIGHT: u32 = 8;

impl Rooms {
    /// Makes `capacity` free rooms; a reservation lasts for `hold` unless it is taken up.
    pub fn new(capacity: u32, max_waiting: usize, hold: time::Duration) -> Rooms {
        Rooms {
            capacity,
            max_waiting,
            hold,
            held: collections::BTreeMap::new(),
            waiting: collections::BTreeSet::new(),
            mean_stay: FIRST_STAY,
        }
    }

    /// Asks for a room that is of use until `wait_by`.
    pub fn ask(&mut self, run: ids::RunId, wait_by: time::Instant, now: time::Instant) -> Answer {
        if self.waiting.is_empty() && (self.held.len() as u32) < self.capacity {
            self.grant(run, now);
            return Answer::Granted;
        }
        let ahead = self.waiting.range(..(wait_by, run)).count();
        let wait = self.wait_behind(ahead);
        if self.waiting.len() >= self.max_waiting || now + wait > wait_by {
            let retry = wait.max(MIN_RETRY);
            return Answer::Refused(Refusal::not_run(Reason::NoRoom, retry));
        }
        self.waiting.insert((wait_by, run));
        Answer::Queued
    }

    fn wait_behind(&self, ahead: usize) -> time::Duration {
        self.mean_stay * (ahead as u32 + 1) / self.capacity.max(1)
    }

    fn grant(&mut self, run: ids::RunId, now: time::Instant) {
        let until = Some(now + self.hold);
        self.held.insert(run, Holding { since: now, until });
    }

    /// Takes up the reservation of `run`; false if it was dropped meanwhile.
    pub fn take_up(&mut self, run: ids::RunId) -> bool {
        let holding = self.held.get_mut(&run);
        holding.map(|holding| holding.until = None).is_some()
    }

    /// Frees the room of `run`, or takes it out of the queue.
    pub fn release(&mut self, run: ids::RunId, now: time::Instant) {
        self.waiting.retain(|(_, other)| *other != run);
        if let Some(holding) = self.held.remove(&run)
            && holding.until.is_none()
        {
            let stay = now.saturating_duration_since(holding.since);
            self.mean_stay = (self.mean_stay * (STAY_WEIGHT - 1) + stay) / STAY_WEIGHT;
        }
    }

    /// Grants a free room to the next waiting run.
    pub fn next_grant(&mut self, now: time::Instant) -> Option<ids::RunId> {
        if self.held.len() as u32 >= self.capacity {
            return None;
        }
        let (_, run) = self.waiting.pop_first()?;
        self.grant(run, now);
        Some(run)
    }

    /// Drops the next waiting run or reservation whose time has passed.
    pub fn next_expired(&mut self, now: time::Instant) -> Option<(ids::RunId, Refusal)> {
        if let Some((wait_by, run)) = self.waiting.first().copied()
            && wait_by < now
        {
            self.waiting.pop_first();
            let retry = self.wait_behind(self.waiting.len()).max(MIN_RETRY);
            return Some((run, Refusal::not_run(Reason::NoRoom, retry)));
        }
        let is_late = |holding: &Holding| holding.until.is_some_and(|until| until < now);
        let run = self.held.iter().find(|(_, holding)| is_late(holding)).map(|(run, _)| *run)?;
        self.held.remove(&run);
        Some((run, Refusal::not_run(Reason::TooLate, MIN_RETRY)))
    }

    /// Changes the number of rooms; holders above it keep theirs.
    pub fn set_capacity(&mut self, capacity: u32) {
        self.capacity = capacity;
    }

    /// Writes the rooms' part of a load report.
    pub fn load(&self) -> load::Load {
        load::Load {
            rooms: self.capacity,
            held: self.held.len() as u32,
            waiting: self.waiting.len() as u32,
            queue_ms: self.queue_ms(),
            leaving: false,
        }
    }

    fn queue_ms(&self) -> u32 {
        let is_free = self.waiting.is_empty() && (self.held.len() as u32) < self.capacity;
        if is_free { 0 } else { self.wait_behind(self.waiting.len()).as_millis() as u32 }
    }
}
