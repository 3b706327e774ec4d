//! Requests, and parts of their prompts, that crash the servers that run them.
//!
//! A server that crashes ends all requests at it. Those whose answers had begun did not cause the
//! crash; the others are suspected, each with the parts of its prompt. A cause is rejected once
//! requests with it were at several servers that crashed, and none with it was answered since. An
//! answer that begins clears all causes of its request, at once and at all entries.
//!
//! A cause that was at the same crashes as another one, or at some of them, does not count if the
//! other one is known to explain them. So a request is not rejected for a part of its prompt whose
//! crashes a part of other requests explains as well.
//!
//! Entries exchange what they know as [`Evidence`], which can be merged in any order and repeatedly.

use std::{collections, time};

use crate::{answered, cause, ids};

/// Identifies a crash: the tag of the server's process, plus the number of its crashes before, if its
/// new start was not registered. Ages alone do not tell crashes apart: an entry that was frozen reads
/// them late.
pub type CrashTag = u32;

/// What one entry knows of crashes and their causes.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    suspects: collections::BTreeMap<cause::Cause, Suspect>,
    // Answers by parts of prompts, and by requests and their contents, most of which never come again.
    parts: answered::Answered,
    requests: answered::Answered,
}

#[derive(Clone, Debug)]
struct Suspect {
    // Servers that crashed with such a request since one was last answered.
    crashes: collections::BTreeMap<CrashTag, Crash>,
    // When what is known last changed.
    changed_at: time::Instant,
    // When the cause was first rejected.
    rejected_at: Option<time::Instant>,
    // When the last trial request was admitted, and how many were.
    tried_at: Option<time::Instant>,
    trials: u32,
}

// Crash of a server with requests of one cause.
#[derive(Clone, Copy, Debug)]
struct Crash {
    // When it was noticed.
    at: time::Instant,
    // When the first of the requests was sent there.
    sent_at: time::Instant,
}

/// A crash that other entries are told of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ToldCrash {
    /// The crash.
    pub tag: CrashTag,
    /// Time since it was noticed.
    pub ago: time::Duration,
    /// Time for which the first of its requests had been at the server.
    pub held: time::Duration,
}

/// Result of a check of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request may be sent.
    Allowed,
    /// The request crashes servers, or has a part that does.
    Rejected {
        /// The cause.
        cause: cause::Cause,
        /// Time until which entries may learn that the cause is sound after all; zero once all had
        /// the time to say so and crashes one after the other have shown it.
        unsettled: time::Duration,
    },
}

/// A request that may be sent to find out whether a rejected cause still crashes servers, if no other
/// entry sends one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Trial {
    /// The cause.
    pub cause: cause::Cause,
    /// Number of the trial of this cause, from 1 on.
    pub number: u32,
}

/// What an entry knows of one cause, for other entries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Evidence {
    /// The cause.
    pub cause: cause::Cause,
    /// Number of answers to requests with it.
    pub answers: u32,
    /// Time since the last of them began, if it is known.
    pub answered_ago: Option<time::Duration>,
    /// Servers that crashed with such a request since then.
    pub crashes: Vec<ToldCrash>,
    /// Time since a request with the cause was last admitted as a trial.
    pub tried_ago: Option<time::Duration>,
    /// Number of trials.
    pub trials: u32,
}

/// Crashes after which a cause is rejected. One may come from any cause, and a request that was at one
/// server that crashed may by chance be at a second.
pub const MIN_CRASHES: usize = 3;
/// The same for causes with at least [`TRUSTED_ANSWERS`] answers, which may be in many of the requests
/// that a crash ends without being its cause. Crashes of several servers at once count as one: they may
/// have a common cause, and such a part or content is at many servers at any time.
pub const TRUSTED_CRASHES: usize = 5;
/// Answers that make a cause trusted.
pub const TRUSTED_ANSWERS: u32 = 4;
/// Most crashes kept for a cause.
const MAX_CRASHES: usize = 16;
/// Most crashes of a cause that others are told, the last ones.
const MAX_TOLD: usize = 8;
/// Time from the last crash after which a rejected cause may be tried for the first time; it doubles
/// with each trial. A cause that is rejected wrongly is rejected for about as long.
pub const TERM: time::Duration = time::Duration::from_secs(15);
/// The same for a cause that is not proven: servers that crash together are mostly back within seconds.
pub const UNPROVEN_TERM: time::Duration = time::Duration::from_secs(5);
/// Time for which a crash counts: the platform counts what reaches servers over the whole day.
const CRASH_TTL: time::Duration = time::Duration::from_secs(24 * 3_600);
/// Losses at one process that this entry notices further apart are of different crashes. All its
/// connections break within this time, and a start takes longer.
const SAME_CRASH: time::Duration = time::Duration::from_millis(800);
/// Time within which an entry hears of answers that others have begun: some heartbeats.
pub const SETTLE_TIME: time::Duration = time::Duration::from_secs(2);
/// Trials of a request while its crashes count. The platform takes three retries of one that has
/// crashed three servers; one is left for those that are on their way.
pub const MAX_TRIALS: u32 = 2;
/// Trials of a part of prompts. The platform takes three requests with one after the fifth crash, and
/// the first two trials are the fourth and the fifth. A sound part that all prompts share must not be
/// rejected for good.
pub const MAX_PART_TRIALS: u32 = 5;
/// Time after which a trial without a result may be followed by another.
const TRIAL_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// The same for one that was not sent, since no server was up.
const POSTPONED: time::Duration = time::Duration::from_secs(1);
/// Maximum number of suspected causes.
pub const MAX_SUSPECTS: usize = 4_096;
/// Prompts with more parts than this add no new suspects if one of their parts is suspected already.
const MAX_NEW_PARTS: usize = 8;
/// Time for which what has changed is sent to others, and for which a cause that was cleared is kept
/// for them.
const FRESH_TIME: time::Duration = time::Duration::from_secs(10);

impl Suspects {
    /// Records that a server crashed with a request with these causes that had just been sent there.
    pub fn record_crash(
        &mut self,
        causes: &[cause::Cause],
        server: ids::ProcessTag,
        now: time::Instant,
    ) {
        self.record_crash_since(causes, server, now, now);
    }

    /// Records that a server crashed while a request with these causes was at it, sent at `sent_at`,
    /// whose answer had not begun.
    pub fn record_crash_since(
        &mut self,
        causes: &[cause::Cause],
        server: ids::ProcessTag,
        sent_at: time::Instant,
        now: time::Instant,
    ) {
        let parts = || causes.iter().filter(|cause| cause.is_part());
        let adds_parts =
            parts().count() <= MAX_NEW_PARTS || !parts().any(|part| self.has_crash(*part));
        for cause in causes {
            if adds_parts || !cause.is_part() || self.has_crash(*cause) {
                let tag = self.crash_tag(*cause, server, now);
                self.add_crash(*cause, tag, Crash { at: now, sent_at }, now);
            }
        }
    }

    // Tag of the crash of a server in which a request with `cause` was lost now.
    fn crash_tag(
        &self,
        cause: cause::Cause,
        server: ids::ProcessTag,
        now: time::Instant,
    ) -> CrashTag {
        let Some(suspect) = self.suspects.get(&cause) else { return server };
        let is_over = |tag: &CrashTag| {
            suspect.crashes.get(tag).is_some_and(|known| known.at + SAME_CRASH < now)
        };
        let mut tag = server;
        while is_over(&tag) {
            tag = tag.wrapping_add(1);
        }
        tag
    }

    fn has_crash(&self, cause: cause::Cause) -> bool {
        self.suspects.get(&cause).is_some_and(|suspect| !suspect.crashes.is_empty())
    }

    // Adds a crash, or an earlier request of a known one; returns whether the crash was not known.
    fn add_crash(
        &mut self,
        cause: cause::Cause,
        tag: CrashTag,
        crash: Crash,
        now: time::Instant,
    ) -> bool {
        let answers = self.answered(cause).get(cause, now);
        if answers.is_some_and(|last| last.last_at >= crash.at) || now >= crash.at + CRASH_TTL {
            return false;
        }
        let is_trusted = self.is_trusted(cause, now);
        let suspect = self.suspect(cause, tag, now);
        if let Some(known) = suspect.crashes.get_mut(&tag) {
            known.sent_at = known.sent_at.min(crash.sent_at);
            return false;
        }
        suspect.crashes.insert(tag, crash);
        suspect.changed_at = now;
        suspect.drop_oldest();
        if suspect.is_enough(0, is_trusted) {
            suspect.rejected_at.get_or_insert(now);
        }
        true
    }

    // The suspect `cause`, which is added if it is none yet.
    fn suspect(
        &mut self,
        cause: cause::Cause,
        crash: CrashTag,
        now: time::Instant,
    ) -> &mut Suspect {
        if !self.suspects.contains_key(&cause) {
            self.make_room(crash);
        }
        self.suspects.entry(cause).or_insert_with(|| Suspect::new(now))
    }

    // Removes half of the suspects with the least evidence if there are too many. Each crash leaves
    // other ones, so that a cause that is at many crashes is found sooner or later.
    fn make_room(&mut self, crash: CrashTag) {
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        let least = self.suspects.values().map(|suspect| suspect.crashes.len()).min();
        let is_left = |cause: cause::Cause| {
            let (kind, tag) = cause.number();
            let hash = ids::digest(&[&[kind], &tag.to_be_bytes(), &crash.to_be_bytes()]);
            hash.is_multiple_of(2)
        };
        self.suspects
            .retain(|cause, suspect| Some(suspect.crashes.len()) != least || is_left(*cause));
    }

    /// Records that a server has begun to answer a request with these causes, which clears them.
    /// Returns those that were suspected.
    pub fn record_answer(
        &mut self,
        causes: &[cause::Cause],
        now: time::Instant,
    ) -> Vec<cause::Cause> {
        let mut cleared = Vec::new();
        for cause in causes {
            self.answered_mut(*cause).record(*cause, now);
            if self.clear(*cause, now, now) {
                cleared.push(*cause);
            }
        }
        cleared
    }

    // Removes the crashes before an answer that began at `at`; returns whether there were any.
    fn clear(&mut self, cause: cause::Cause, at: time::Instant, now: time::Instant) -> bool {
        let Some(suspect) = self.suspects.get_mut(&cause) else { return false };
        let before = suspect.crashes.len();
        suspect.crashes.retain(|_, crash| crash.at > at);
        if suspect.crashes.len() == before {
            return false;
        }
        (suspect.changed_at, suspect.rejected_at, suspect.trials) = (now, None, 0);
        true
    }

    fn answered(&self, cause: cause::Cause) -> &answered::Answered {
        if cause.is_part() { &self.parts } else { &self.requests }
    }

    fn answered_mut(&mut self, cause: cause::Cause) -> &mut answered::Answered {
        if cause.is_part() { &mut self.parts } else { &mut self.requests }
    }

    fn is_trusted(&self, cause: cause::Cause, now: time::Instant) -> bool {
        let answers = self.answered(cause).get(cause, now);
        answers.is_some_and(|answers| answers.count >= TRUSTED_ANSWERS)
    }

    fn is_rejected(&self, cause: cause::Cause, now: time::Instant) -> bool {
        self.suspects.get(&cause).is_some_and(|suspect| self.exceeds(cause, suspect, now))
    }

    // Whether a cause has as many crashes as reject it. Most have too few for any answers to matter.
    fn exceeds(&self, cause: cause::Cause, suspect: &Suspect, now: time::Instant) -> bool {
        suspect.is_enough(0, false) && suspect.is_enough(0, self.is_trusted(cause, now))
    }

    // Suspects that are not in `own` and were at all crashes of `cause`, with the numbers of their
    // crashes.
    fn companions(
        &self,
        cause: cause::Cause,
        own: &[cause::Cause],
    ) -> impl Iterator<Item = (cause::Cause, usize)> {
        let crashes = self.suspects.get(&cause).map(|suspect| &suspect.crashes);
        let others = self.suspects.iter().filter(|(other, _)| !own.contains(other));
        let is_at_all = move |other: &Suspect| {
            crashes.is_some_and(|all| all.keys().all(|crash| other.crashes.contains_key(crash)))
        };
        others
            .filter(move |(_, other)| is_at_all(other))
            .map(|(other, suspect)| (*other, suspect.crashes.len()))
    }

    // Whether a cause that is not in `own` explains all crashes of `cause`.
    fn is_explained(&self, cause: cause::Cause, own: &[cause::Cause]) -> bool {
        let count = self.suspects.get(&cause).map_or(0, |suspect| suspect.crashes.len());
        self.companions(cause, own)
            .any(|(other, crashes)| crashes > count || cause.yields_to(other))
    }

    /// Whether a request with these causes may be sent.
    pub fn check(&self, causes: &[cause::Cause], now: time::Instant) -> Verdict {
        match self.rejected_cause(causes, now) {
            Some(cause) => {
                Verdict::Rejected { cause, unsettled: self.unsettled(cause, causes, now) }
            }
            None => Verdict::Allowed,
        }
    }

    // The cause for which a request is rejected, a proven one if there is any.
    fn rejected_cause(&self, causes: &[cause::Cause], now: time::Instant) -> Option<cause::Cause> {
        let is_rejected = |cause: &cause::Cause| {
            self.is_rejected(*cause, now) && !self.is_explained(*cause, causes)
        };
        let is_proven =
            |cause: &cause::Cause| self.suspects.get(cause).is_some_and(Suspect::is_proven);
        let rejected: Vec<_> = causes.iter().copied().filter(is_rejected).collect();
        rejected.iter().find(|cause| is_proven(cause)).or(rejected.first()).copied()
    }

    // Time until which the verdict on a rejected cause may change: other entries may know of an
    // answer, and one that always fell together with others, or whose servers may have crashed together
    // for another reason, waits for the trial that tells.
    fn unsettled(
        &self,
        cause: cause::Cause,
        own: &[cause::Cause],
        now: time::Instant,
    ) -> time::Duration {
        let Some(suspect) = self.suspects.get(&cause) else { return time::Duration::ZERO };
        let settled_at = suspect.rejected_at.map(|at| at + SETTLE_TIME);
        let has_companions = !cause.is_part() && self.companions(cause, own).next().is_some();
        let (is_proven, may_try) = (suspect.is_proven(), suspect.trials < max_trials(cause));
        let trial_at = suspect.trial_at().filter(|_| may_try && (has_companions || !is_proven));
        let until = settled_at.max(trial_at);
        let left = until.map_or(time::Duration::ZERO, |until| until.saturating_duration_since(now));
        match (is_proven, may_try) {
            (true, _) => left,
            // The trial is late, or has no result yet.
            (false, true) => left.max(SETTLE_TIME),
            (false, false) => left.max(TERM),
        }
    }

    /// Trial that is due of the cause for which a request with these causes is rejected. Until it has
    /// had the time to end, no other is due here.
    pub fn take_trial(&mut self, causes: &[cause::Cause], now: time::Instant) -> Option<Trial> {
        let cause = self.rejected_cause(causes, now)?;
        let suspect = self.suspects.get_mut(&cause)?;
        let is_running = suspect.tried_at.is_some_and(|at| now < at + TRIAL_TIMEOUT);
        let is_due = suspect.trial_at().is_some_and(|at| now >= at);
        if is_running || !is_due || suspect.trials >= max_trials(cause) {
            return None;
        }
        suspect.tried_at = Some(now);
        Some(Trial { cause, number: suspect.trials + 1 })
    }

    /// Postpones a trial that is due, since no server is up.
    pub fn postpone_trial(&mut self, trial: Trial, now: time::Instant) {
        if let Some(suspect) = self.suspects.get_mut(&trial.cause) {
            suspect.tried_at = now.checked_sub(TRIAL_TIMEOUT - POSTPONED);
        }
    }

    /// Records that this entry, or another one, sends the request of a trial.
    pub fn record_trial(&mut self, trial: Trial, now: time::Instant) {
        if let Some(suspect) = self.suspects.get_mut(&trial.cause) {
            suspect.trials = suspect.trials.max(trial.number);
            (suspect.tried_at, suspect.changed_at) = (Some(now), now);
        }
    }

    /// Whether a request with these causes may be sent again after a server crashed with it. Not if
    /// another crash would show that one of them is the cause.
    pub fn may_repeat(&self, causes: &[cause::Cause], now: time::Instant) -> bool {
        !causes.iter().any(|cause| {
            let is_one_short = |suspect: &Suspect| {
                !suspect.crashes.is_empty() && suspect.is_enough(1, self.is_trusted(*cause, now))
            };
            self.suspects.get(cause).is_some_and(is_one_short) && !self.is_explained(*cause, causes)
        })
    }

    /// Whether a server has crashed with a request of this content since it was last answered.
    pub fn is_suspected(&self, causes: &[cause::Cause]) -> bool {
        causes.iter().any(|cause| !cause.is_part() && self.has_crash(*cause))
    }

    /// Causes that are rejected.
    pub fn rejected(&self, now: time::Instant) -> Vec<cause::Cause> {
        let causes = self.suspects.iter();
        let rejected = causes.filter(|(cause, suspect)| self.exceeds(**cause, suspect, now));
        rejected.map(|(cause, _)| *cause).collect()
    }

    /// Number of causes that are suspected or were cleared lately.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether no cause is suspected or was cleared lately.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Forgets old crashes; to be called regularly.
    pub fn expire(&mut self, now: time::Instant) {
        self.suspects.retain(|_, suspect| {
            suspect.crashes.retain(|_, crash| now < crash.at + CRASH_TTL);
            !suspect.crashes.is_empty() || now < suspect.changed_at + FRESH_TIME
        });
    }

    /// Up to `count` pieces of evidence for another entry: rejected causes, then those that have
    /// changed lately, first the ones that were at several crashes. Consecutive numbers `round` begin
    /// with different ones of each.
    ///
    /// Older suspects are not sent: all entries have heard of them, and one that has started since
    /// learns of them with their next crash.
    pub fn evidence(&self, count: usize, round: u64, now: time::Instant) -> Vec<Evidence> {
        let mut groups = [Vec::new(), Vec::new(), Vec::new()];
        for (cause, suspect) in &self.suspects {
            let rank = match self.exceeds(*cause, suspect, now) {
                true => 0,
                false if now >= suspect.changed_at + FRESH_TIME => continue,
                false if suspect.crashes.len() > 1 => 1,
                false => 2,
            };
            groups[rank].push((*cause, suspect));
        }
        let rotated = groups.iter().flat_map(|group| {
            let start = (round as usize).wrapping_mul(count) % group.len().max(1);
            group[start..].iter().chain(&group[..start])
        });
        rotated.take(count).map(|(cause, suspect)| self.describe(*cause, suspect, now)).collect()
    }

    /// Evidence of all rejected causes.
    pub fn rejected_evidence(&self, now: time::Instant) -> Vec<Evidence> {
        let rejected =
            self.suspects.iter().filter(|(cause, known)| self.exceeds(**cause, known, now));
        rejected.map(|(cause, suspect)| self.describe(*cause, suspect, now)).collect()
    }

    fn describe(&self, cause: cause::Cause, suspect: &Suspect, now: time::Instant) -> Evidence {
        let answers = self.answered(cause).get(cause, now);
        let ago = |at: time::Instant| now.saturating_duration_since(at);
        let crashes = suspect.crashes.iter().map(|(tag, crash)| ToldCrash {
            tag: *tag,
            ago: ago(crash.at),
            held: crash.at.saturating_duration_since(crash.sent_at),
        });
        let mut crashes: Vec<_> = crashes.collect();
        crashes.sort_by_key(|crash| crash.ago);
        crashes.truncate(MAX_TOLD);
        Evidence {
            cause,
            answers: answers.map_or(0, |answers| answers.count),
            answered_ago: answers.map(|answers| ago(answers.last_at)),
            crashes,
            tried_ago: suspect.tried_at.map(ago),
            trials: suspect.trials,
        }
    }

    /// Adds what another entry knows; returns whether anything was new, or is to be corrected by an
    /// answer that this entry knows of.
    pub fn merge(&mut self, evidence: &Evidence, now: time::Instant) -> bool {
        let cause = evidence.cause;
        let last_at = evidence.answered_ago.and_then(|ago| now.checked_sub(ago));
        let mut has_changed = false;
        if let Some(last_at) = last_at {
            let answers = answered::Answers { count: evidence.answers, last_at };
            self.answered_mut(cause).merge(cause, answers, now);
            has_changed = self.clear(cause, last_at, now);
        }
        let own = self.answered(cause).get(cause, now);
        let mut is_outdated = false;
        for told in &evidence.crashes {
            let Some(at) = now.checked_sub(told.ago) else { continue };
            is_outdated |= Some(at) > last_at && own.is_some_and(|own| own.last_at >= at);
            let sent_at = at.checked_sub(told.held).unwrap_or(at);
            has_changed |= self.add_crash(cause, told.tag, Crash { at, sent_at }, now);
        }
        let tried_at = evidence.tried_ago.and_then(|ago| now.checked_sub(ago));
        if let Some(suspect) = self.suspects.get_mut(&cause).filter(|_| !is_outdated) {
            has_changed |= suspect.trials < evidence.trials;
            suspect.tried_at = suspect.tried_at.max(tried_at);
            suspect.trials = suspect.trials.max(evidence.trials);
        }
        if is_outdated && !self.suspects.contains_key(&cause) {
            self.suspect(cause, 0, now);
            has_changed = true;
        }
        has_changed
    }
}

impl Suspect {
    fn new(now: time::Instant) -> Suspect {
        Suspect {
            crashes: collections::BTreeMap::new(),
            changed_at: now,
            rejected_at: None,
            tried_at: None,
            trials: 0,
        }
    }

    // Whether its crashes and `more` reject the cause.
    fn is_enough(&self, more: usize, is_trusted: bool) -> bool {
        match is_trusted {
            true => self.events() + more >= TRUSTED_CRASHES,
            false => self.crashes.len() + more >= MIN_CRASHES,
        }
    }

    // Crashes in order of time.
    fn sorted(&self) -> Vec<(CrashTag, Crash)> {
        let mut crashes: Vec<_> = self.crashes.iter().map(|(tag, crash)| (*tag, *crash)).collect();
        crashes.sort_by_key(|(tag, crash)| (crash.at, *tag));
        crashes
    }

    // Crashes, of which those at the same time count as one.
    fn events(&self) -> usize {
        self.count_events(|first, crash| crash.at > first + SAME_CRASH)
    }

    // Whether crashes one after the other show the cause: a request was sent to each server after the one
    // before had crashed. Servers that end together may have another reason.
    fn is_proven(&self) -> bool {
        self.count_events(|first, crash| crash.sent_at > first) >= MIN_CRASHES
    }

    // Number of crashes that are apart from the first one of those before, as `is_apart` tells.
    fn count_events(&self, is_apart: impl Fn(time::Instant, &Crash) -> bool) -> usize {
        let (mut events, mut first) = (0, None);
        for (_, crash) in self.sorted() {
            if first.is_none_or(|first| is_apart(first, &crash)) {
                (events, first) = (events + 1, Some(crash.at));
            }
        }
        events
    }

    // Drops crashes beyond those that are kept: first those at the same time as an earlier one, which
    // show least, then the oldest.
    fn drop_oldest(&mut self) {
        while self.crashes.len() > MAX_CRASHES {
            let crashes = self.sorted();
            let mut pairs = crashes.windows(2);
            let same = pairs.find(|pair| pair[1].1.at <= pair[0].1.at + SAME_CRASH);
            let dropped = same.map(|pair| pair[1]).or(crashes.first().copied());
            dropped.and_then(|(tag, _)| self.crashes.remove(&tag));
        }
    }

    // Time from which the cause may be tried again.
    fn trial_at(&self) -> Option<time::Instant> {
        let base = if self.is_proven() { TERM } else { UNPROVEN_TERM };
        let term = base * 2_u32.pow(self.trials.min(MAX_PART_TRIALS));
        Some(self.crashes.values().map(|crash| crash.at).max()? + term)
    }
}

/// Maximum number of trials of a cause.
pub fn max_trials(cause: cause::Cause) -> u32 {
    if cause.is_part() { MAX_PART_TRIALS } else { MAX_TRIALS }
}
