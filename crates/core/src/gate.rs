//! The gate before one backend server: what an agent accepts, runs, remembers and refuses.

use std::{collections, time};

use crate::{handover, ids, key_history, outcome};

use outcome::{RETRY_SOON, Reason, Refusal};

/// Limits of a gate.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time for which run records, key records and tombstones are kept.
    pub window: time::Duration,
    /// Most key records kept at once; none is evicted before its window ends.
    pub max_keys: usize,
    /// Time after which a run whose entry is out of contact is cancelled.
    pub orphan_grace: time::Duration,
}

/// Progress of one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Accepted, and not yet handed to the backend server.
    Accepted,
    /// Handed to the backend server.
    Started,
    /// Ended with the whole answer.
    Completed,
    /// Ended without the whole answer; it may have run.
    Interrupted,
}

/// Answer of the gate to an offered run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The run may go on to [`Gate::start`].
    Accept,
    /// The same run was offered before; nothing is to be done.
    Duplicate,
    /// The idempotency key was run whole by the named run.
    Answered(ids::RunId),
    /// The run is refused.
    Refuse(Refusal),
}

/// What the gate knows of a run that an entry asks to settle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Withdrawal {
    /// The run did not start and never will.
    NotRun,
    /// The run has started and goes on.
    Running,
    /// The run has ended.
    Ended,
}

/// A request to run something.
#[derive(Clone, Copy, Debug)]
pub struct Offer {
    /// Id of the attempt.
    pub run: ids::RunId,
    /// Idempotency key, if any.
    pub key: Option<ids::KeyHash>,
    /// Last moment at which the run may start.
    pub start_by: time::Instant,
    /// Whether a started run may be cancelled when its caller is gone.
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
enum Tomb {
    NeverRan,
    Ran,
}

// A run and the moment from which its time counts.
type Due = (time::Instant, ids::RunId);

/// Records of one agent.
///
/// A key runs here at most once while its record is kept. A key without a record is accepted
/// only if no earlier process of this server, and no other server, can have run it.
#[derive(Clone, Debug)]
pub struct Gate {
    limits: Limits,
    runs: collections::BTreeMap<ids::RunId, Run>,
    keys: collections::BTreeMap<ids::KeyHash, ids::RunId>,
    // Ids that are refused for good, and whether they ran.
    tombs: collections::BTreeMap<ids::RunId, Tomb>,
    // The runs that time acts on, oldest first, so that a sweep reads only what is due.
    tomb_times: collections::BTreeSet<Due>,
    lost: collections::BTreeSet<Due>,
    ended: collections::BTreeSet<Due>,
    ended_keys: collections::BTreeSet<Due>,
    key_history: key_history::KeyHistory,
    leaving: bool,
}

impl Gate {
    /// Opens a gate whose memory starts at `now`: unknown keys are held back for the window.
    pub fn new(server: ids::ServerName, limits: Limits, now: time::Instant) -> Gate {
        Gate {
            limits,
            runs: collections::BTreeMap::new(),
            keys: collections::BTreeMap::new(),
            tombs: collections::BTreeMap::new(),
            tomb_times: collections::BTreeSet::new(),
            lost: collections::BTreeSet::new(),
            ended: collections::BTreeSet::new(),
            ended_keys: collections::BTreeSet::new(),
            key_history: key_history::KeyHistory::new(server, now),
            leaving: false,
        }
    }

    /// Declares that no earlier process of this server can have run a key.
    pub fn mark_history_complete(&mut self) {
        self.key_history.mark_complete();
    }

    /// Notes that the server joined its service `ago`, when others had run keys for it before.
    pub fn record_join(&mut self, ago: time::Duration, now: time::Instant) {
        self.key_history.record_join(ago, now);
    }

    /// Changes the time for which records are kept and unknown keys held back.
    pub fn set_window(&mut self, window: time::Duration) {
        self.limits.window = window;
    }

    /// Time until unknown keys are accepted; zero if they are now.
    pub fn held_back(&self, now: time::Instant) -> time::Duration {
        self.key_history.held_back(self.limits.window, now)
    }

    /// What the next process of this server needs; `None` while this gate is unsure itself.
    pub fn export(&self, now: time::Instant) -> Option<handover::Handover> {
        let ended = self.keys.iter().filter_map(|(key, run)| {
            let record = &self.runs[run];
            let age = now.saturating_duration_since(record.ended_at?);
            let whole = record.progress == Progress::Completed;
            Some(handover::KeyRecord {
                key: *key,
                run: *run,
                whole,
                age_ms: age.as_millis() as u64,
            })
        });
        let window_ms = self.limits.window.as_millis() as u64;
        let is_sure = self.held_back(now).is_zero();
        is_sure.then(|| handover::Handover { records: ended.collect(), window_ms })
    }

    /// Takes over from the process before, which stopped in order `away` ago.
    ///
    /// After half the window the memory is not trusted: other servers may have been told that
    /// this one is gone, and run its keys.
    pub fn import(
        &mut self,
        handover: &handover::Handover,
        away: time::Duration,
        now: time::Instant,
    ) {
        let window = self.limits.window.min(time::Duration::from_millis(handover.window_ms));
        if away < window / 2 {
            self.mark_history_complete();
        }
        for record in &handover.records {
            let age = time::Duration::from_millis(record.age_ms) + away;
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

    /// Takes a new view of the servers of the service.
    pub fn observe(
        &mut self,
        listed: &[ids::ServerName],
        is_gone: impl Fn(&str) -> bool,
        now: time::Instant,
    ) {
        self.key_history.observe(listed, is_gone, self.limits.window, now);
    }

    /// Notes a server that left the service `ago`, before this process could see it.
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

    /// Decides on an offered run.
    pub fn offer(&mut self, offer: Offer, now: time::Instant) -> Decision {
        match self.tombs.get(&offer.run) {
            Some(Tomb::NeverRan) => {
                return Decision::Refuse(Refusal::not_run(Reason::Withdrawn, RETRY_SOON));
            }
            Some(Tomb::Ran) => {
                return Decision::Refuse(Refusal::unknown(Reason::LostContact, RETRY_SOON));
            }
            None => {}
        }
        if self.runs.contains_key(&offer.run) {
            return Decision::Duplicate;
        }
        if let Some(key) = offer.key
            && let Some(decision) = self.recall(key, now)
        {
            return decision;
        }
        if let Some(refusal) = self.refuse_new(&offer, now) {
            return Decision::Refuse(refusal);
        }
        self.record(offer);
        Decision::Accept
    }

    fn recall(&self, key: ids::KeyHash, now: time::Instant) -> Option<Decision> {
        let run = *self.keys.get(&key)?;
        let record = &self.runs[&run];
        Some(match record.progress {
            Progress::Completed => Decision::Answered(run),
            Progress::Accepted | Progress::Started => {
                Decision::Refuse(Refusal::unknown(Reason::KeyRunning, RETRY_SOON))
            }
            Progress::Interrupted => {
                let forget = record.ended_at.unwrap_or(now) + self.limits.window;
                let retry = forget.saturating_duration_since(now);
                Decision::Refuse(Refusal::unknown(Reason::KeyUncertain, retry))
            }
        })
    }

    fn refuse_new(&self, offer: &Offer, now: time::Instant) -> Option<Refusal> {
        if let Some(key) = offer.key
            && let Some(refusal) = self.refuse_key(key, now)
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

    fn refuse_key(&self, key: ids::KeyHash, now: time::Instant) -> Option<Refusal> {
        let refusal = self.key_history.check(key, self.limits.window, now);
        let is_full = self.keys.len() >= self.limits.max_keys;
        refusal.or(is_full.then(|| Refusal::not_run(Reason::RecordsFull, RETRY_SOON)))
    }

    fn record(&mut self, offer: Offer) {
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

    /// Last check, made immediately before the run is handed to the backend server.
    ///
    /// # Errors
    /// Returns why the run must not start; it is then forgotten and its id refused for good.
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

    /// Notes the end of a run; `whole` tells whether its whole answer is stored.
    pub fn finish(&mut self, run: ids::RunId, whole: bool, now: time::Instant) {
        if let Some(record) = self.runs.get_mut(&run)
            && record.ended_at.is_none()
        {
            record.progress = if whole { Progress::Completed } else { Progress::Interrupted };
            record.ended_at = Some(now);
            if let Some(lost_at) = record.lost_at {
                self.lost.remove(&(lost_at, run));
            }
            let ended = if record.key.is_some() { &mut self.ended_keys } else { &mut self.ended };
            ended.insert((now, run));
        }
    }

    /// Notes that the backend server provably refused the run before running it.
    pub fn mark_not_executed(&mut self, run: ids::RunId, now: time::Instant) {
        if let Some(record) = self.runs.get_mut(&run) {
            record.progress = Progress::Accepted;
        }
        self.withdraw(run, now);
    }

    /// Settles a run: one that has not started is refused for good.
    pub fn withdraw(&mut self, run: ids::RunId, now: time::Instant) -> Withdrawal {
        match self.runs.get(&run).map(|record| record.progress) {
            Some(Progress::Started) => return Withdrawal::Running,
            Some(Progress::Completed | Progress::Interrupted) => return Withdrawal::Ended,
            Some(Progress::Accepted) => self.forget(run),
            None if self.tombs.get(&run) == Some(&Tomb::Ran) => return Withdrawal::Ended,
            None => {}
        }
        self.bury(run, Tomb::NeverRan, now);
        Withdrawal::NotRun
    }

    // Refuses the id of a run from now on.
    fn bury(&mut self, run: ids::RunId, tomb: Tomb, now: time::Instant) {
        if self.tombs.insert(run, tomb).is_none() {
            self.tomb_times.insert((now, run));
        }
    }

    fn forget(&mut self, run: ids::RunId) {
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

    /// Whether `run` runs an idempotency key.
    pub fn has_key(&self, run: ids::RunId) -> bool {
        self.runs.get(&run).is_some_and(|record| record.key.is_some())
    }

    /// Whether `run` may be cancelled when its caller is gone.
    pub fn is_cancellable(&self, run: ids::RunId) -> bool {
        self.runs.get(&run).is_some_and(|record| record.cancellable)
    }

    /// Notes that contact with the entry of `run` is lost.
    pub fn lose_contact(&mut self, run: ids::RunId, now: time::Instant) {
        if let Some(record) = self.runs.get_mut(&run)
            && record.ended_at.is_none()
            && record.lost_at.is_none()
        {
            record.lost_at = Some(now);
            self.lost.insert((now, run));
        }
    }

    /// Notes that an entry has taken up `run` again; false if no record is kept.
    pub fn resume(&mut self, run: ids::RunId) -> bool {
        let Some(record) = self.runs.get_mut(&run) else { return false };
        if let Some(lost_at) = record.lost_at.take() {
            self.lost.remove(&(lost_at, run));
        }
        true
    }

    /// Next unended run whose entry has been out of contact for longer than the grace.
    ///
    /// Runs that may not be cancelled are left to end.
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

    /// Next ended run whose record may be dropped; the caller drops the stored answer too.
    pub fn next_expired(&mut self, now: time::Instant) -> Option<ids::RunId> {
        let keyed = first_due(&self.ended_keys, self.limits.window, now);
        let run = keyed.or_else(|| first_due(&self.ended, self.limits.orphan_grace, now))?;
        self.forget(run);
        self.bury(run, Tomb::Ran, now);
        Some(run)
    }

    /// Drops old tombstones, and notes that this process moves.
    pub fn tick(&mut self, now: time::Instant) {
        let window = self.limits.window;
        self.key_history.tick(window, now);
        while let Some(run) = first_due(&self.tomb_times, window, now) {
            self.tomb_times.pop_first();
            self.tombs.remove(&run);
        }
    }

    /// Whether `run` has a record and has not ended.
    pub fn is_open(&self, run: ids::RunId) -> bool {
        self.runs.get(&run).is_some_and(|record| record.ended_at.is_none())
    }

    /// Runs that have not ended.
    pub fn open_runs(&self) -> usize {
        self.runs.len() - self.ended.len() - self.ended_keys.len()
    }

    /// Key records kept.
    pub fn key_count(&self) -> usize {
        self.keys.len()
    }
}

fn first_due(
    times: &collections::BTreeSet<Due>,
    wait: time::Duration,
    now: time::Instant,
) -> Option<ids::RunId> {
    let (since, run) = times.first()?;
    (now >= *since + wait).then_some(*run)
}
