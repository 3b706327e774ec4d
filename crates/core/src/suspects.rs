//! Parts of prompts that crash the servers that answer them.
//!
//! A server that crashes ends all requests at it. Those whose answers had begun did not cause the
//! crash; each part of the others is suspected. A part is rejected once requests with it were at
//! several servers that crashed, and none with it was answered since. An answer that begins clears
//! all parts of its prompt, at once and at all entries.
//!
//! A part that was at the same crashes as another one, or at some of them, is not the cause if the
//! other one is. So a request is not rejected for a part whose crashes a part of other requests
//! explains as well.
//!
//! Entries exchange what they know as [`Evidence`], which can be merged in any order and repeatedly.

use std::{collections, time};

use crate::{answered, ids};

/// Identifies a crash: the tag of the server's process, plus the number of its crashes before, if its
/// new start was not registered. Ages alone do not tell crashes apart: an entry that was frozen reads
/// them late.
pub type CrashTag = u32;

/// What one entry knows of crashes and the parts of prompts.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    suspects: collections::BTreeMap<ids::PartTag, Suspect>,
    answered: answered::Answered,
}

#[derive(Clone, Debug)]
struct Suspect {
    // Servers that crashed with such a request since one was last answered, and when.
    crashes: collections::BTreeMap<CrashTag, time::Instant>,
    // When what is known last changed.
    changed_at: time::Instant,
    // When the part was first rejected.
    rejected_at: Option<time::Instant>,
    // When the last trial request was admitted.
    tried_at: Option<time::Instant>,
}

/// Result of a check of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request may be sent.
    Allowed,
    /// The request may be sent, to find out whether its part still crashes servers.
    Trial,
    /// The request has a part that crashes servers.
    Rejected {
        /// The part.
        part: ids::PartTag,
        /// Time until which entries may learn that the part is sound after all; zero once all had
        /// the time to say so.
        unsettled: time::Duration,
    },
}

/// This entry's turn to try rejected parts again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Turn {
    /// Number of entries that come before this one.
    pub rank: u32,
    /// Number of entries, this one included.
    pub entries: u32,
}

/// What an entry knows of one part, for other entries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Evidence {
    /// The part.
    pub part: ids::PartTag,
    /// Number of answers to requests with it.
    pub answers: u32,
    /// Time since the last of them began, if it is known.
    pub answered_ago: Option<time::Duration>,
    /// Servers that crashed with such a request since then, and the time since.
    pub crashes: Vec<(CrashTag, time::Duration)>,
    /// Time since a request with the part was last admitted as a trial.
    pub tried_ago: Option<time::Duration>,
}

/// Crashes after which a part is rejected. One may come from any cause, and a request that was at one
/// server that crashed may by chance be at a second.
pub const MIN_CRASHES: usize = 3;
/// The same for parts with at least [`TRUSTED_ANSWERS`] answers: such a part may be in many of the
/// requests that a crash ends without being its cause.
pub const TRUSTED_CRASHES: usize = 5;
/// Answers that make a part trusted.
pub const TRUSTED_ANSWERS: u32 = 4;
/// Most crashes kept for a part; each one above the minimum doubles the term.
const MAX_CRASHES: usize = 16;
/// Most crashes of a part that others are told, the last ones.
const MAX_TOLD: usize = 8;
/// Time from the last crash after which a rejected part may be tried again, for the least number of
/// crashes. A part that is rejected wrongly is rejected for about as long.
pub const TERM: time::Duration = time::Duration::from_secs(15);
/// Maximum number of times that the term doubles.
const MAX_DOUBLINGS: u32 = 10;
/// Time for which a crash counts; longer than the longest term.
const CRASH_TTL: time::Duration = time::Duration::from_secs(6 * 3_600);
/// Losses at one process that this entry notices further apart are of different crashes. All its
/// connections break within this time, and a start takes longer.
const SAME_CRASH: time::Duration = time::Duration::from_millis(800);
/// Time within which an entry hears of answers that others have begun: some heartbeats.
pub const SETTLE_TIME: time::Duration = time::Duration::from_secs(2);
/// Length of each entry's turn, in which it may try a rejected part: a trial is answered, or crashes
/// its server, well within it.
pub const TURN_TIME: time::Duration = time::Duration::from_secs(2);
/// Time after which a trial without a result may be followed by another.
const TRIAL_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Maximum number of suspected parts.
pub const MAX_SUSPECTS: usize = 4_096;
/// Prompts with more parts than this add no new suspects if one of their parts is suspected already.
const MAX_NEW_PARTS: usize = 8;
/// Time for which what has changed comes first in what is sent to others, and for which a part that
/// was cleared is kept for them.
const FRESH_TIME: time::Duration = time::Duration::from_secs(10);

impl Suspects {
    /// Records that a server crashed while a request with these parts was at it, whose answer had not
    /// begun.
    pub fn record_crash(
        &mut self,
        parts: &[ids::PartTag],
        server: ids::ProcessTag,
        now: time::Instant,
    ) {
        let is_known = parts.iter().any(|part| self.has_crash(*part));
        let adds_new = parts.len() <= MAX_NEW_PARTS || !is_known;
        for part in parts {
            if adds_new || self.has_crash(*part) {
                let crash = self.crash_tag(*part, server, now);
                self.add_crash(*part, crash, now, now);
            }
        }
    }

    // Tag of the crash of a server in which a request with `part` was lost now.
    fn crash_tag(
        &self,
        part: ids::PartTag,
        server: ids::ProcessTag,
        now: time::Instant,
    ) -> CrashTag {
        let Some(suspect) = self.suspects.get(&part) else { return server };
        let is_over =
            |tag: &CrashTag| suspect.crashes.get(tag).is_some_and(|at| *at + SAME_CRASH < now);
        let mut tag = server;
        while is_over(&tag) {
            tag = tag.wrapping_add(1);
        }
        tag
    }

    fn has_crash(&self, part: ids::PartTag) -> bool {
        self.suspects.get(&part).is_some_and(|suspect| !suspect.crashes.is_empty())
    }

    // Adds a crash at `at`; returns whether it was not known.
    fn add_crash(
        &mut self,
        part: ids::PartTag,
        crash: CrashTag,
        at: time::Instant,
        now: time::Instant,
    ) -> bool {
        let is_answered = self.answered.get(part, now).is_some_and(|last| last.last_at >= at);
        if is_answered || now >= at + CRASH_TTL {
            return false;
        }
        let needed = self.needed(part, now);
        let suspect = self.suspect(part, crash, now);
        if suspect.crashes.contains_key(&crash) {
            return false;
        }
        suspect.crashes.insert(crash, at);
        suspect.changed_at = now;
        suspect.drop_oldest();
        if suspect.crashes.len() >= needed {
            suspect.rejected_at.get_or_insert(now);
        }
        true
    }

    // The suspect `part`, which is added if it is none yet.
    fn suspect(&mut self, part: ids::PartTag, crash: CrashTag, now: time::Instant) -> &mut Suspect {
        if !self.suspects.contains_key(&part) {
            self.make_room(crash);
        }
        self.suspects.entry(part).or_insert_with(|| Suspect::new(now))
    }

    // Removes half of the suspects with the least evidence if there are too many. Each crash leaves
    // other ones, so that a part that is at many crashes is found sooner or later.
    fn make_room(&mut self, crash: CrashTag) {
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        let least = self.suspects.values().map(|suspect| suspect.crashes.len()).min();
        let is_left = |part: ids::PartTag| {
            let hash = ids::digest(&[&part.to_be_bytes(), &crash.to_be_bytes()]);
            hash.is_multiple_of(2)
        };
        self.suspects
            .retain(|part, suspect| Some(suspect.crashes.len()) != least || is_left(*part));
    }

    /// Records that a server has begun to answer a request with these parts, which clears them.
    /// Returns the parts that were suspected.
    pub fn record_answer(
        &mut self,
        parts: &[ids::PartTag],
        now: time::Instant,
    ) -> Vec<ids::PartTag> {
        let mut cleared = Vec::new();
        for part in parts {
            self.answered.record(*part, now);
            if self.clear(*part, now, now) {
                cleared.push(*part);
            }
        }
        cleared
    }

    // Removes the crashes before an answer that began at `at`; returns whether there were any.
    fn clear(&mut self, part: ids::PartTag, at: time::Instant, now: time::Instant) -> bool {
        let Some(suspect) = self.suspects.get_mut(&part) else { return false };
        let before = suspect.crashes.len();
        suspect.crashes.retain(|_, crashed_at| *crashed_at > at);
        if suspect.crashes.len() == before {
            return false;
        }
        (suspect.changed_at, suspect.rejected_at) = (now, None);
        true
    }

    // Crashes after which a part is rejected.
    fn needed(&self, part: ids::PartTag, now: time::Instant) -> usize {
        let answers = self.answered.get(part, now).map_or(0, |answers| answers.count);
        if answers >= TRUSTED_ANSWERS { TRUSTED_CRASHES } else { MIN_CRASHES }
    }

    fn is_rejected(&self, part: ids::PartTag, now: time::Instant) -> bool {
        let crashes = self.suspects.get(&part).map_or(0, |suspect| suspect.crashes.len());
        crashes >= self.needed(part, now)
    }

    // Whether a part that is not in `parts` was at all crashes of `part`.
    fn is_explained(&self, part: ids::PartTag, parts: &[ids::PartTag]) -> bool {
        let Some(suspect) = self.suspects.get(&part) else { return false };
        let others = self.suspects.iter().filter(|(other, _)| !parts.contains(other));
        others
            .into_iter()
            .any(|(_, other)| suspect.crashes.keys().all(|crash| other.crashes.contains_key(crash)))
    }

    /// Whether a request with these parts may be sent.
    pub fn check(&self, parts: &[ids::PartTag], now: time::Instant) -> Verdict {
        let is_cause = |part: &&ids::PartTag| {
            self.is_rejected(**part, now) && !self.is_explained(**part, parts)
        };
        let Some(part) = parts.iter().find(is_cause).copied() else { return Verdict::Allowed };
        let rejected_at = self.suspects.get(&part).and_then(|suspect| suspect.rejected_at);
        let unsettled = rejected_at
            .map_or(time::Duration::ZERO, |at| (at + SETTLE_TIME).saturating_duration_since(now));
        Verdict::Rejected { part, unsettled }
    }

    /// Like [`Suspects::check`] for a new request; in its `turn` an entry admits one with a rejected
    /// part from time to time.
    pub fn admit(&mut self, parts: &[ids::PartTag], turn: Turn, now: time::Instant) -> Verdict {
        let verdict = self.check(parts, now);
        let Verdict::Rejected { part, .. } = verdict else { return verdict };
        let needed = self.needed(part, now);
        let Some(suspect) = self.suspects.get_mut(&part) else { return verdict };
        let is_running = suspect.tried_at.is_some_and(|at| now < at + TRIAL_TIMEOUT);
        let since = suspect.trial_at(needed).and_then(|at| now.checked_duration_since(at));
        match since.filter(|since| !is_running && turn.is_on(*since)) {
            Some(_) => {
                suspect.tried_at = Some(now);
                Verdict::Trial
            }
            None => verdict,
        }
    }

    /// Whether a request with these parts may be sent again after a server crashed with it. Not if
    /// another crash would show that one of its parts is the cause.
    pub fn may_repeat(&self, parts: &[ids::PartTag], now: time::Instant) -> bool {
        !parts.iter().any(|part| {
            let crashes = self.suspects.get(part).map_or(0, |suspect| suspect.crashes.len());
            crashes > 0
                && crashes + 1 >= self.needed(*part, now)
                && !self.is_explained(*part, parts)
        })
    }

    /// Parts that are rejected.
    pub fn rejected(&self, now: time::Instant) -> Vec<ids::PartTag> {
        let parts = self.suspects.keys().copied();
        parts.filter(|part| self.is_rejected(*part, now)).collect()
    }

    /// Number of parts that are suspected or were cleared lately.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether no part is suspected or was cleared lately.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Forgets old crashes; to be called regularly.
    pub fn expire(&mut self, now: time::Instant) {
        self.suspects.retain(|_, suspect| {
            suspect.crashes.retain(|_, at| now < *at + CRASH_TTL);
            !suspect.crashes.is_empty() || now < suspect.changed_at + FRESH_TIME
        });
    }

    /// Up to `count` pieces of evidence for another entry: rejected parts, then what has changed
    /// lately, then the others. Consecutive numbers `round` begin with different ones of each.
    pub fn evidence(&self, count: usize, round: u64, now: time::Instant) -> Vec<Evidence> {
        let parts = self.suspects.iter();
        let is_fresh = |suspect: &Suspect| now < suspect.changed_at + FRESH_TIME;
        let rank = |part: ids::PartTag, suspect: &Suspect| match self.is_rejected(part, now) {
            true => 0,
            false if is_fresh(suspect) => 1,
            false => 2,
        };
        let mut groups = [Vec::new(), Vec::new(), Vec::new()];
        parts.for_each(|(part, suspect)| groups[rank(*part, suspect)].push((*part, suspect)));
        let rotated = groups.iter().flat_map(|group| {
            let start = (round as usize).wrapping_mul(count) % group.len().max(1);
            group[start..].iter().chain(&group[..start])
        });
        rotated.take(count).map(|(part, suspect)| self.describe(*part, suspect, now)).collect()
    }

    /// Evidence of all rejected parts.
    pub fn rejected_evidence(&self, now: time::Instant) -> Vec<Evidence> {
        let rejected = self.suspects.iter().filter(|(part, _)| self.is_rejected(**part, now));
        rejected.map(|(part, suspect)| self.describe(*part, suspect, now)).collect()
    }

    fn describe(&self, part: ids::PartTag, suspect: &Suspect, now: time::Instant) -> Evidence {
        let answers = self.answered.get(part, now);
        let ago = |at: time::Instant| now.saturating_duration_since(at);
        let crashes = suspect.crashes.iter().map(|(crash, at)| (*crash, ago(*at)));
        let mut crashes: Vec<_> = crashes.collect();
        crashes.sort_by_key(|(_, ago)| *ago);
        crashes.truncate(MAX_TOLD);
        Evidence {
            part,
            answers: answers.map_or(0, |answers| answers.count),
            answered_ago: answers.map(|answers| ago(answers.last_at)),
            crashes,
            tried_ago: suspect.tried_at.map(ago),
        }
    }

    /// Adds what another entry knows; returns whether anything was new, or is to be corrected by an
    /// answer that this entry knows of.
    pub fn merge(&mut self, evidence: &Evidence, now: time::Instant) -> bool {
        let part = evidence.part;
        let last_at = evidence.answered_ago.and_then(|ago| now.checked_sub(ago));
        let mut has_changed = false;
        if let Some(last_at) = last_at {
            let answers = answered::Answers { count: evidence.answers, last_at };
            self.answered.merge(part, answers, now);
            has_changed = self.clear(part, last_at, now);
        }
        let own = self.answered.get(part, now);
        let mut is_outdated = false;
        for (crash, ago) in &evidence.crashes {
            let Some(at) = now.checked_sub(*ago) else { continue };
            is_outdated |= Some(at) > last_at && own.is_some_and(|own| own.last_at >= at);
            has_changed |= self.add_crash(part, *crash, at, now);
        }
        let tried_at = evidence.tried_ago.and_then(|ago| now.checked_sub(ago));
        if let (Some(suspect), Some(_)) = (self.suspects.get_mut(&part), tried_at) {
            suspect.tried_at = suspect.tried_at.max(tried_at);
        }
        if is_outdated && !self.suspects.contains_key(&part) {
            self.suspect(part, 0, now);
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
        }
    }

    fn drop_oldest(&mut self) {
        while self.crashes.len() > MAX_CRASHES {
            let oldest = self.crashes.iter().min_by_key(|(_, at)| **at).map(|(crash, _)| *crash);
            oldest.and_then(|crash| self.crashes.remove(&crash));
        }
    }

    // Time from which the part may be tried again.
    fn trial_at(&self, needed: usize) -> Option<time::Instant> {
        let doublings = self.crashes.len().saturating_sub(needed) as u32;
        Some(*self.crashes.values().max()? + TERM * 2_u32.pow(doublings.min(MAX_DOUBLINGS)))
    }
}

impl Turn {
    // Whether it is this entry's turn, `since` the time from which parts may be tried again.
    fn is_on(&self, since: time::Duration) -> bool {
        let number = since.as_millis() / TURN_TIME.as_millis();
        number % u128::from(self.entries.max(1)) == u128::from(self.rank)
    }
}
