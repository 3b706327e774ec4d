//! Decode memory of one engine: timed reservations and the queue for them.

use std::{collections, time};

use crate::{ids, load, outcome};

use outcome::{Reason, Refusal};

/// Answer to a request for room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The room is reserved.
    Granted,
    /// The request waits; [`Slots::next_grant`] will name it.
    Queued,
    /// No room can be had in time.
    Refused(Refusal),
}

#[derive(Clone, Copy, Debug)]
struct Holding {
    since: time::Instant,
    work: time::Duration,
    // A reservation that is not taken up by then is dropped.
    until: Option<time::Instant>,
}

/// Slots of one engine.
#[derive(Clone, Debug)]
pub struct Slots {
    capacity: u32,
    max_waiting: usize,
    hold: time::Duration,
    held: collections::BTreeMap<ids::RunId, Holding>,
    // Ordered by the last moment at which a grant is of use.
    waiting: collections::BTreeMap<(time::Instant, ids::RunId), time::Duration>,
    mean_stay: time::Duration,
}

const FIRST_STAY: time::Duration = time::Duration::from_millis(500);
const MIN_RETRY: time::Duration = time::Duration::from_millis(100);
const STAY_WEIGHT: u32 = 8;
/// Part of the rooms that is kept for callers within their share, as a divisor.
const SPARE_DIVISOR: u32 = 10;

impl Slots {
    /// Makes `capacity` free rooms; a reservation lasts for `hold` unless it is taken up.
    pub fn new(capacity: u32, max_waiting: usize, hold: time::Duration) -> Slots {
        Slots {
            capacity,
            max_waiting,
            hold,
            held: collections::BTreeMap::new(),
            waiting: collections::BTreeMap::new(),
            mean_stay: FIRST_STAY,
        }
    }

    /// Asks for a room that is of use until `wait_by`.
    pub fn request(
        &mut self,
        run: ids::RunId,
        wait_by: time::Instant,
        now: time::Instant,
    ) -> Answer {
        self.request_work(run, time::Duration::ZERO, wait_by, now)
    }

    /// Asks for a room for a known amount of work; the work of all who hold rooms is done in turn.
    pub fn request_work(
        &mut self,
        run: ids::RunId,
        work: time::Duration,
        wait_by: time::Instant,
        now: time::Instant,
    ) -> Answer {
        if self.waiting.is_empty() && (self.held.len() as u32) < self.capacity {
            self.grant(run, work, now);
            return Answer::Granted;
        }
        let wait = self.wait_before((wait_by, run), !work.is_zero(), now);
        if self.waiting.len() >= self.max_waiting || now + wait > wait_by {
            let retry = wait.max(MIN_RETRY);
            return Answer::Refused(Refusal::not_run(Reason::NoRoom, retry));
        }
        self.waiting.insert((wait_by, run), work);
        Answer::Queued
    }

    // Expected wait of a newcomer at the given place of the queue.
    fn wait_before(
        &self,
        place: (time::Instant, ids::RunId),
        has_work: bool,
        now: time::Instant,
    ) -> time::Duration {
        let ahead = self.waiting.range(..place);
        if has_work {
            return self.work_held(now) + ahead.map(|(_, work)| *work).sum::<time::Duration>();
        }
        self.wait_behind(ahead.count())
    }

    fn work_held(&self, now: time::Instant) -> time::Duration {
        let total: time::Duration = self.held.values().map(|holding| holding.work).sum();
        let oldest = self.held.values().map(|holding| holding.since).min().unwrap_or(now);
        total.saturating_sub(now.saturating_duration_since(oldest))
    }

    fn wait_behind(&self, ahead: usize) -> time::Duration {
        self.mean_stay * (ahead as u32 + 1) / self.capacity.max(1)
    }

    fn grant(&mut self, run: ids::RunId, work: time::Duration, now: time::Instant) {
        let until = Some(now + self.hold);
        self.held.insert(run, Holding { since: now, work, until });
    }

    /// Takes up the reservation of `run`; false if it was dropped meanwhile.
    pub fn claim(&mut self, run: ids::RunId) -> bool {
        let holding = self.held.get_mut(&run);
        holding.map(|holding| holding.until = None).is_some()
    }

    /// Asks for a room that nobody else will need soon; never waits.
    pub fn request_spare(
        &mut self,
        run: ids::RunId,
        work: time::Duration,
        now: time::Instant,
    ) -> Answer {
        let spare = (self.capacity / SPARE_DIVISOR).max(1);
        if self.waiting.is_empty() && self.held.len() as u32 + spare < self.capacity {
            self.grant(run, work, now);
            return Answer::Granted;
        }
        let retry = self.wait_behind(self.waiting.len()).max(MIN_RETRY);
        Answer::Refused(Refusal::not_run(Reason::OverShare, retry))
    }

    /// Frees the room of `run`, or takes it out of the queue.
    pub fn release(&mut self, run: ids::RunId, now: time::Instant) {
        self.waiting.retain(|(_, other), _| *other != run);
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
        let ((_, run), work) = self.waiting.pop_first()?;
        self.grant(run, work, now);
        Some(run)
    }

    /// Drops the next waiting run or reservation whose time has passed.
    pub fn next_expired(&mut self, now: time::Instant) -> Option<(ids::RunId, Refusal)> {
        if let Some((wait_by, run)) = self.waiting.keys().next().copied()
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
    pub fn load(&self, now: time::Instant) -> load::Load {
        load::Load {
            slots: self.capacity,
            held: self.held.len() as u32,
            waiting: self.waiting.len() as u32,
            queue_ms: self.queue_ms(now),
            leaving: false,
        }
    }

    fn queue_ms(&self, now: time::Instant) -> u32 {
        let work = self.work_held(now) + self.waiting.values().sum::<time::Duration>();
        if !work.is_zero() {
            return work.as_millis() as u32;
        }
        let is_free = self.waiting.is_empty() && (self.held.len() as u32) < self.capacity;
        if is_free { 0 } else { self.wait_behind(self.waiting.len()).as_millis() as u32 }
    }
}
