//! Slots of one engine: timed reservations and the queue for them.

use std::{collections, time};

use crate::{ids, load, outcome};

use outcome::{Reason, Refusal};

/// Answer to a request for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A slot is reserved.
    Granted,
    /// The request is queued; [`Slots::next_grant`] returns its run when a slot is free.
    Queued,
    /// The queue is full, no slot is expected to be free by the time given, or none is spare.
    Refused(Refusal),
}

#[derive(Clone, Copy, Debug)]
struct Reservation {
    granted_at: time::Instant,
    work: time::Duration,
    // When the reservation is dropped; `None` once it is claimed.
    expires_at: Option<time::Instant>,
}

/// Slots of one engine and the queue for them.
#[derive(Clone, Debug)]
pub struct Slots {
    capacity: u32,
    max_waiting: usize,
    // Time after which a reservation that is not claimed expires.
    reservation_timeout: time::Duration,
    held: collections::BTreeMap<ids::RunId, Reservation>,
    // Work by run, ordered by the time until which a grant is useful.
    waiting: collections::BTreeMap<(time::Instant, ids::RunId), time::Duration>,
    // Mean time for which a claimed slot is held.
    mean_hold: time::Duration,
}

/// Assumed mean time for which a slot is held, until the first is freed.
const INITIAL_HOLD: time::Duration = time::Duration::from_millis(500);
/// Shortest retry time of a refusal.
const MIN_RETRY: time::Duration = time::Duration::from_millis(100);
/// Weight of the latest hold in the moving average, as a divisor.
const HOLD_DIVISOR: u32 = 8;
/// Share of the slots that is kept for callers within their fair share, as a divisor.
const SPARE_DIVISOR: u32 = 10;

impl Slots {
    /// Creates `capacity` free slots; a reservation that is not claimed expires after
    /// `reservation_timeout`.
    pub fn new(capacity: u32, max_waiting: usize, reservation_timeout: time::Duration) -> Slots {
        Slots {
            capacity,
            max_waiting,
            reservation_timeout,
            held: collections::BTreeMap::new(),
            waiting: collections::BTreeMap::new(),
            mean_hold: INITIAL_HOLD,
        }
    }

    /// Requests a slot; a grant is useful until `wait_by`.
    pub fn request(
        &mut self,
        run: ids::RunId,
        wait_by: time::Instant,
        now: time::Instant,
    ) -> Answer {
        self.request_work(run, time::Duration::ZERO, wait_by, now)
    }

    /// Requests a slot for a known amount of work; the engine does the work of all held slots one
    /// after the other.
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

    // Expected wait of a new request at `position` in the queue.
    fn wait_before(
        &self,
        position: (time::Instant, ids::RunId),
        has_work: bool,
        now: time::Instant,
    ) -> time::Duration {
        let ahead = self.waiting.range(..position);
        if has_work {
            return self.remaining_work(now) + ahead.map(|(_, work)| *work).sum::<time::Duration>();
        }
        self.wait_behind(ahead.count())
    }

    // Work of the held slots that is not done yet, assuming that it began with the oldest slot.
    fn remaining_work(&self, now: time::Instant) -> time::Duration {
        let total: time::Duration = self.held.values().map(|reservation| reservation.work).sum();
        let oldest =
            self.held.values().map(|reservation| reservation.granted_at).min().unwrap_or(now);
        total.saturating_sub(now.saturating_duration_since(oldest))
    }

    // Expected wait behind `ahead` queued requests, from the mean time for which slots are held.
    fn wait_behind(&self, ahead: usize) -> time::Duration {
        self.mean_hold * (ahead as u32 + 1) / self.capacity.max(1)
    }

    fn grant(&mut self, run: ids::RunId, work: time::Duration, now: time::Instant) {
        let expires_at = Some(now + self.reservation_timeout);
        self.held.insert(run, Reservation { granted_at: now, work, expires_at });
    }

    /// Claims the reservation of `run`, which then does not expire; false if it was dropped before.
    pub fn claim(&mut self, run: ids::RunId) -> bool {
        let reservation = self.held.get_mut(&run);
        reservation.map(|reservation| reservation.expires_at = None).is_some()
    }

    /// Requests a slot for a caller above its fair share: granted only if more slots are free than
    /// are kept for callers within theirs, never queued.
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

    /// Frees the slot of `run`, or removes it from the queue.
    pub fn release(&mut self, run: ids::RunId, now: time::Instant) {
        self.waiting.retain(|(_, other), _| *other != run);
        if let Some(reservation) = self.held.remove(&run)
            && reservation.expires_at.is_none()
        {
            let held = now.saturating_duration_since(reservation.granted_at);
            self.mean_hold = (self.mean_hold * (HOLD_DIVISOR - 1) + held) / HOLD_DIVISOR;
        }
    }

    /// Grants a free slot to the next queued run.
    pub fn next_grant(&mut self, now: time::Instant) -> Option<ids::RunId> {
        if self.held.len() as u32 >= self.capacity {
            return None;
        }
        let ((_, run), work) = self.waiting.pop_first()?;
        self.grant(run, work, now);
        Some(run)
    }

    /// Drops the next queued run or unclaimed reservation that has expired.
    pub fn next_expired(&mut self, now: time::Instant) -> Option<(ids::RunId, Refusal)> {
        if let Some((wait_by, run)) = self.waiting.keys().next().copied()
            && wait_by < now
        {
            self.waiting.pop_first();
            let retry = self.wait_behind(self.waiting.len()).max(MIN_RETRY);
            return Some((run, Refusal::not_run(Reason::NoRoom, retry)));
        }
        let is_expired =
            |reservation: &Reservation| reservation.expires_at.is_some_and(|at| at < now);
        let mut held = self.held.iter();
        let run = held.find(|(_, reservation)| is_expired(reservation)).map(|(run, _)| *run)?;
        self.held.remove(&run);
        Some((run, Refusal::not_run(Reason::TooLate, MIN_RETRY)))
    }

    /// Changes the number of slots; runs that hold a slot above it keep it.
    pub fn set_capacity(&mut self, capacity: u32) {
        self.capacity = capacity;
    }

    /// Load of the slots, for a load report.
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
        let work = self.remaining_work(now) + self.waiting.values().sum::<time::Duration>();
        if !work.is_zero() {
            return work.as_millis() as u32;
        }
        let is_free = self.waiting.is_empty() && (self.held.len() as u32) < self.capacity;
        if is_free { 0 } else { self.wait_behind(self.waiting.len()).as_millis() as u32 }
    }
}
