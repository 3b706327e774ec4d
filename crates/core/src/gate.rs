//! Admission gate of one agent: which runs its backend server may start, and the records that
//! keep an idempotency key from running twice.

use std::{collections, time};

use crate::{handover, ids, key_history, outcome};

use outcome::{RETRY_SOON, Reason, Refusal};

/// Limits of a gate.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Retention time of key records, and of tombstones.
    pub window: time::Duration,
    /// Maximum number of key records; none is evicted before its window ends.
    pub max_keys: usize,
    /// Time after which a run whose entry has lost contact is cancelled; also the retention time
    /// of ended runs without a key.
    pub orphan_grace: time::Duration,
}

/// Progress of one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Accepted, but not yet sent to the backend server.
    Accepted,
    /// Sent to the backend server.
    Started,
    /// Ended with a complete response.
    Completed,
    /// Ended without a complete response; the backend server may have executed it.
    Interrupted,
}

/// Decision on an offered run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The run is accepted and may continue with [`Gate::start`].
    Accept,
    /// The same run was offered before and needs no action.
    Duplicate,
    /// The given run has already completed this idempotency key.
    Answered(ids::RunId),
    /// The run is refused.
    Refuse(Refusal),
}

/// Result of withdrawing a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Withdrawal {
    /// The run did not start and never will.
    NotRun,
    /// The run has started and not ended.
    Running,
    /// The run has ended.
    Ended,
}

/// A run that an entry offers to the agent.
#[derive(Clone, Copy, Debug)]
pub struct Offer {
    /// Id of the attempt.
    pub run: ids::RunId,
    /// Idempotency key, if any.
    pub key: Option<ids::KeyHash>,
    /// Latest time at which the run may start.
    pub start_by: time::Instant,
    /// Whether a started run may be cancelled when its caller has disconnected.
    pub cancellable: bool,
}

#[derive(Clone, Debug)]
struct Run {
    key: Option<ids::KeyHash>,
    cancellable: bool,
    progress: Progress,
    start_by: time::Instant,
    lost_at: Option<time::Instant>,
    ended_at: Option<time::Instant>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Tombstone {
    NotRun,
    Ran,
}

// A run and the time from which its retention or grace period counts.
type TimedRun = (time::Instant, ids::RunId);

/// Admission gate of one agent, with its run records, key records and tombstones.
///
/// A key runs here at most once while its record is kept. A key without a record is accepted
/// only if no earlier process of this server, and no other server, can have run it.
#[derive(Clone, Debug)]
pub struct Gate {
    limits: Limits,
    runs: collections::BTreeMap<ids::RunId, Run>,
    keys: collections::BTreeMap<ids::KeyHash, ids::RunId>,
    // Runs without a record that are refused if offered again, and whether they ran.
    tombstones: collections::BTreeMap<ids::RunId, Tombstone>,
    // Runs ordered by time, so that a sweep reads only those that are due: tombstones, open runs
    // whose entry has lost contact, and ended runs without and with a key.
    tombstone_times: collections::BTreeSet<TimedRun>,
    lost: collections::BTreeSet<TimedRun>,
    ended: collections::BTreeSet<TimedRun>,
    ended_keys: collections::BTreeSet<TimedRun>,
    key_history: key_history::KeyHistory,
    leaving: bool,
}

impl Gate {
    /// Creates a gate without records; unknown keys are held back for one window from `now`.
    pub fn new(server: ids::ServerName, limits: Limits, now: time::Instant) -> Gate {
        Gate {
            limits,
            runs: collections::BTreeMap::new(),
            keys: collections::BTreeMap::new(),
            tombstones: collections::BTreeMap::new(),
            tombstone_times: collections::BTreeSet::new(),
            lost: collections::BTreeSet::new(),
            ended: collections::BTreeSet::new(),
            ended_keys: collections::BTreeSet::new(),
            key_history: key_history::KeyHistory::new(server, now),
            leaving: false,
        }
    }

    /// Declares that no earlier process of this server can have run a key without a record here.
    pub fn mark_history_complete(&mut self) {
        self.key_history.mark_complete();
    }

    /// Records that this server joined its service `ago`; until then, other servers may have run
    /// any key.
    pub fn record_join(&mut self, ago: time::Duration, now: time::Instant) {
        self.key_history.record_join(ago, now);
    }

    /// Sets the time for which records are kept and unknown keys are held back.
    pub fn set_window(&mut self, window: time::Duration) {
        self.limits.window = window;
    }

    /// Time until unknown keys are accepted; zero if they are accepted now.
    pub fn held_back(&self, now: time::Instant) -> time::Duration {
        self.key_history.held_back(self.limits.window, now)
    }

    /// Exports the key records for the next process of this server; `None` while unknown keys
    /// are held back, because the records are incomplete.
    ///
    /// A run that has not ended is exported as interrupted now, since it may still execute at the
    /// backend server.
    pub fn export(&self, now: time::Instant) -> Option<handover::Handover> {
        let records = self.keys.iter().map(|(key, run)| {
            let record = &self.runs[run];
            let age = now.saturating_duration_since(record.ended_at.unwrap_or(now));
            let whole = record.progress == Progress::Completed;
            handover::KeyRecord { key: *key, run: *run, whole, age_ms: age.as_millis() as u64 }
        });
        let window_ms = self.limits.window.as_millis() as u64;
        let is_complete = self.held_back(now).is_zero();
        is_complete.then(|| handover::Handover { records: records.collect(), window_ms })
    }

    /// Imports the records of the previous process, which shut down cleanly `downtime` ago.
    ///
    /// After half the window or more the records count as incomplete: the platform may have
    /// reported this server as gone, and other servers may have run its keys.
    pub fn import(
        &mut self,
        handover: &handover::Handover,
        downtime: time::Duration,
        now: time::Instant,
    ) {
        let window = self.limits.window.min(time::Duration::from_millis(handover.window_ms));
        if downtime < window / 2 {
            self.mark_history_complete();
        }
        for record in &handover.records {
            let age = time::Duration::from_millis(record.age_ms) + downtime;
            let progress = if record.whole { Progress::Completed } else { Progress::Interrupted };
            let run = Run {
                key: Some(record.key),
                cancellable: false,
                progress,
                start_by: now,
                lost_at: None,
                ended_at: Some(now.checked_sub(age).unwrap_or(now)),
            };
            self.ended_keys.extend(run.ended_at.map(|ended_at| (ended_at, record.run)));
            self.runs.insert(record.run, run);
            self.keys.insert(record.key, record.run);
        }
    }

    /// Updates the view of the servers of the service.
    pub fn observe(
        &mut self,
        listed: &[ids::ServerName],
        is_gone: impl Fn(&str) -> bool,
        now: time::Instant,
    ) {
        self.key_history.observe(listed, is_gone, self.limits.window, now);
    }

    /// Records a server that left the service `ago`, before this process could observe it.
    pub fn record_removal(&mut self, server: &str, ago: time::Duration, now: time::Instant) {
        self.key_history.record_removal(server, ago, self.limits.window, now);
    }

    /// Refuses new work from now on.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Whether the gate refuses new work.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Accepts or refuses an offered run.
    pub fn offer(&mut self, offer: Offer, now: time::Instant) -> Decision {
        match self.tombstones.get(&offer.run) {
            Some(Tombstone::NotRun) => {
                return Decision::Refuse(Refusal::not_run(Reason::Withdrawn, RETRY_SOON));
            }
            Some(Tombstone::Ran) => {
                return Decision::Refuse(Refusal::unknown(Reason::LostContact, RETRY_SOON));
            }
            None => {}
        }
        if self.runs.contains_key(&offer.run) {
            return Decision::Duplicate;
        }
        if let Some(key) = offer.key
            && let Some(decision) = self.check_recorded_key(key, now)
        {
            return decision;
        }
        if let Some(refusal) = self.check_new_run(&offer, now) {
            return Decision::Refuse(refusal);
        }
        self.insert_run(offer);
        Decision::Accept
    }

    fn check_recorded_key(&self, key: ids::KeyHash, now: time::Instant) -> Option<Decision> {
        let run = *self.keys.get(&key)?;
        let record = &self.runs[&run];
        Some(match record.progress {
            Progress::Completed => Decision::Answered(run),
            Progress::Accepted | Progress::Started => {
                Decision::Refuse(Refusal::unknown(Reason::KeyRunning, RETRY_SOON))
            }
            Progress::Interrupted => {
                let expires_at = record.ended_at.unwrap_or(now) + self.limits.window;
                let retry = expires_at.saturating_duration_since(now);
                Decision::Refuse(Refusal::unknown(Reason::KeyUncertain, retry))
            }
        })
    }

    fn check_new_run(&self, offer: &Offer, now: time::Instant) -> Option<Refusal> {
        if let Some(key) = offer.key
            && let Some(refusal) = self.check_new_key(key, now)
        {
            return Some(refusal);
        }
        if self.leaving {
            return Some(Refusal::not_run(Reason::Leaving, RETRY_SOON));
        }
        if now > offer.start_by {
            return Some(Refusal::not_run(Reason::TooLate, RETRY_SOON));
        }
        None
    }

    fn check_new_key(&self, key: ids::KeyHash, now: time::Instant) -> Option<Refusal> {
        let refusal = self.key_history.check(key, self.limits.window, now);
        let is_full = self.keys.len() >= self.limits.max_keys;
        refusal.or(is_full.then(|| Refusal::not_run(Reason::RecordsFull, RETRY_SOON)))
    }

    fn insert_run(&mut self, offer: Offer) {
        let run = Run {
            key: offer.key,
            cancellable: offer.cancellable,
            progress: Progress::Accepted,
            start_by: offer.start_by,
            lost_at: None,
            ended_at: None,
        };
        self.runs.insert(offer.run, run);
        if let Some(key) = offer.key {
            self.keys.insert(key, offer.run);
        }
    }

    /// Makes the last check, immediately before the run is sent to the backend server.
    ///
    /// # Errors
    /// Returns why the run must not start. A run that is too late loses its record and is refused
    /// if offered again.
    pub fn start(&mut self, run: ids::RunId, now: time::Instant) -> Result<(), Refusal> {
        let Some(record) = self.runs.get_mut(&run) else {
            return Err(Refusal::not_run(Reason::Withdrawn, RETRY_SOON));
        };
        if record.progress != Progress::Accepted {
            return Err(Refusal::unknown(Reason::KeyRunning, RETRY_SOON));
        }
        if now > record.start_by {
            self.withdraw(run, now);
            return Err(Refusal::not_run(Reason::TooLate, RETRY_SOON));
        }
        record.progress = Progress::Started;
        Ok(())
    }

    /// Records the end of a run; `complete` says whether its complete response is stored.
    pub fn finish(&mut self, run: ids::RunId, complete: bool, now: time::Instant) {
        if let Some(record) = self.runs.get_mut(&run)
            && record.ended_at.is_none()
        {
            record.progress = if complete { Progress::Completed } else { Progress::Interrupted };
            record.ended_at = Some(now);
            if let Some(lost_at) = record.lost_at {
                self.lost.remove(&(lost_at, run));
            }
            let ended = if record.key.is_some() { &mut self.ended_keys } else { &mut self.ended };
            ended.insert((now, run));
        }
    }

    /// Records that the backend server provably refused the run before executing it.
    pub fn mark_not_executed(&mut self, run: ids::RunId, now: time::Instant) {
        if let Some(record) = self.runs.get_mut(&run) {
            record.progress = Progress::Accepted;
        }
        self.withdraw(run, now);
    }

    /// Withdraws a run: one that has not started never will.
    pub fn withdraw(&mut self, run: ids::RunId, now: time::Instant) -> Withdrawal {
        match self.runs.get(&run).map(|record| record.progress) {
            Some(Progress::Started) => return Withdrawal::Running,
            Some(Progress::Completed | Progress::Interrupted) => return Withdrawal::Ended,
            Some(Progress::Accepted) => self.remove_run(run),
            None if self.tombstones.get(&run) == Some(&Tombstone::Ran) => return Withdrawal::Ended,
            None => {}
        }
        self.insert_tombstone(run, Tombstone::NotRun, now);
        Withdrawal::NotRun
    }

    // Refuses `run` from now on, until the tombstone expires.
    fn insert_tombstone(&mut self, run: ids::RunId, tombstone: Tombstone, now: time::Instant) {
        if self.tombstones.insert(run, tombstone).is_none() {
            self.tombstone_times.insert((now, run));
        }
    }

    fn remove_run(&mut self, run: ids::RunId) {
        let Some(record) = self.runs.remove(&run) else { return };
        if let Some(key) = record.key {
            self.keys.remove(&key);
        }
        if let Some(lost_at) = record.lost_at {
            self.lost.remove(&(lost_at, run));
        }
        if let Some(ended_at) = record.ended_at {
            self.ended.remove(&(ended_at, run));
            self.ended_keys.remove(&(ended_at, run));
        }
    }

    /// Progress of `run`, if a record is kept.
    pub fn progress(&self, run: ids::RunId) -> Option<Progress> {
        self.runs.get(&run).map(|record| record.progress)
    }

    /// Whether `run` has an idempotency key.
    pub fn has_key(&self, run: ids::RunId) -> bool {
        self.runs.get(&run).is_some_and(|record| record.key.is_some())
    }

    /// Whether `run` may be cancelled when its caller has disconnected.
    pub fn is_cancellable(&self, run: ids::RunId) -> bool {
        self.runs.get(&run).is_some_and(|record| record.cancellable)
    }

    /// Records that the entry of `run` has lost contact.
    pub fn lose_contact(&mut self, run: ids::RunId, now: time::Instant) {
        if let Some(record) = self.runs.get_mut(&run)
            && record.ended_at.is_none()
            && record.lost_at.is_none()
        {
            record.lost_at = Some(now);
            self.lost.insert((now, run));
        }
    }

    /// Records that an entry has resumed `run`; false if no record is kept.
    pub fn resume(&mut self, run: ids::RunId) -> bool {
        let Some(record) = self.runs.get_mut(&run) else { return false };
        if let Some(lost_at) = record.lost_at.take() {
            self.lost.remove(&(lost_at, run));
        }
        true
    }

    /// Next unfinished run whose entry lost contact at least the grace period ago.
    ///
    /// Runs that may not be cancelled are skipped and run to their end.
    pub fn next_orphan(&mut self, now: time::Instant) -> Option<ids::RunId> {
        while let Some((lost_at, run)) = self.lost.first().copied()
            && now >= lost_at + self.limits.orphan_grace
        {
            self.lost.pop_first();
            if self.is_cancellable(run) {
                return Some(run);
            }
        }
        None
    }

    /// Removes and returns the next ended run whose record has expired; the caller of this
    /// function must drop the stored response too.
    pub fn next_expired(&mut self, now: time::Instant) -> Option<ids::RunId> {
        let keyed = first_due(&self.ended_keys, self.limits.window, now);
        let run = keyed.or_else(|| first_due(&self.ended, self.limits.orphan_grace, now))?;
        self.remove_run(run);
        self.insert_tombstone(run, Tombstone::Ran, now);
        Some(run)
    }

    /// Drops expired tombstones and detects pauses of this process; to be called regularly.
    pub fn tick(&mut self, now: time::Instant) {
        let window = self.limits.window;
        self.key_history.tick(window, now);
        while let Some(run) = first_due(&self.tombstone_times, window, now) {
            self.tombstone_times.pop_first();
            self.tombstones.remove(&run);
        }
    }

    /// Whether `run` has a record and has not ended.
    pub fn is_open(&self, run: ids::RunId) -> bool {
        self.runs.get(&run).is_some_and(|record| record.ended_at.is_none())
    }

    /// Number of runs that have not ended.
    pub fn open_runs(&self) -> usize {
        self.runs.len() - self.ended.len() - self.ended_keys.len()
    }

    /// Number of key records.
    pub fn key_count(&self) -> usize {
        self.keys.len()
    }
}

// First run whose time is at least `wait` ago.
fn first_due(
    times: &collections::BTreeSet<TimedRun>,
    wait: time::Duration,
    now: time::Instant,
) -> Option<ids::RunId> {
    let (since, run) = times.first()?;
    (now >= *since + wait).then_some(*run)
}
