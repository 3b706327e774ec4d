//! Servers at whose registered addresses other servers answer.
//!
//! A server that crashes leaves its row behind, and its address may go to a server of another service.
//! Who sends to the old one is told that it has reached another. A check asks who answers there; while
//! that is another server, nothing is sent to the place until its server is registered anew or answers
//! again. What one entry has found out, it tells the others.

use std::{collections, net, time};

use crate::ids;

/// A process of a server at the address that its row names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// The process.
    pub process: ids::ProcessTag,
    /// Its registered address.
    pub address: net::SocketAddr,
}

/// What an entry tells others about a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Statement {
    /// The place.
    pub place: Place,
    /// Whether another server answers there.
    pub is_other: bool,
    /// Time since that was found.
    pub ago: time::Duration,
}

/// Places that are not sent to, and those of which that was said lately.
#[derive(Clone, Debug, Default)]
pub struct Misdirected {
    places: collections::BTreeMap<Place, State>,
}

#[derive(Clone, Copy, Debug)]
struct State {
    verdict: Verdict,
    found_at: time::Instant,
    // When the verdict last changed.
    changed_at: time::Instant,
    // Time of the next check; none for a place that is sent to.
    check_at: Option<time::Instant>,
    // Checks since the verdict last changed.
    checks: u32,
    // Times that the place was suspected since it was last registered or found in order.
    suspicions: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    // A response said so, and no check has confirmed it yet.
    Suspected { until: time::Instant },
    Confirmed,
    // The registered server answers there, as a check has shown.
    Cleared,
    // The suspicion was not confirmed, or the row was written since; others are not told.
    Withdrawn,
}

/// Interval before the second check of a place, which doubles with each one.
const FIRST_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Longest interval between checks.
const MAX_INTERVAL: time::Duration = time::Duration::from_secs(30);
/// Time for which a place is not sent to that is only suspected, as checks tell nothing; it doubles with
/// each suspicion.
const FIRST_SUSPICION: time::Duration = time::Duration::from_secs(1);
/// Longest time of a suspicion.
const MAX_SUSPICION: time::Duration = MAX_INTERVAL;
/// Time for which the end of a verdict is kept, so that older statements of others do not revive it.
const ENDED_TTL: time::Duration = time::Duration::from_secs(60);
/// Time for which what has changed comes first in what is sent to others.
const FRESH_TIME: time::Duration = time::Duration::from_secs(5);
/// Findings that are closer than this may be one that others have passed on: the time that they name
/// does not include that of the datagrams.
const SAME_FINDING: time::Duration = time::Duration::from_millis(500);
/// Maximum number of places.
const MAX_PLACES: usize = 4_096;

impl Misdirected {
    /// Records a response that says that another server answered; returns whether that is new.
    pub fn suspect(&mut self, place: Place, now: time::Instant) -> bool {
        let known = self.places.get(&place);
        if known.is_some_and(|state| state.is_other()) || !self.has_room(place) {
            return false;
        }
        let suspicions = known.map_or(0, |state| state.suspicions);
        let until = now + doubled(FIRST_SUSPICION, suspicions, MAX_SUSPICION);
        let state = State::new(Verdict::Suspected { until }, now, now);
        self.places.insert(place, State { suspicions: suspicions + 1, ..state });
        true
    }

    /// Records that a check has shown whether another server answers at a place; returns whether that
    /// is new.
    pub fn record(&mut self, place: Place, is_other: bool, now: time::Instant) -> bool {
        let Some(state) = self.places.get_mut(&place).filter(|state| state.is_other()) else {
            return false;
        };
        let verdict = if is_other { Verdict::Confirmed } else { Verdict::Cleared };
        state.found_at = now;
        if state.verdict == verdict {
            return false;
        }
        let check_at = state.check_at.filter(|_| is_other);
        let checks = state.checks;
        *state = State { check_at, checks, ..State::new(verdict, now, now) };
        true
    }

    /// Adds what another entry has found; returns whether a place is sent to or not in consequence.
    /// `draw`, from 0 to 1, delays the next check, so that one entry of many makes it.
    pub fn merge(&mut self, said: Statement, draw: f64, now: time::Instant) -> bool {
        let Some(found_at) = now.checked_sub(said.ago) else { return false };
        let known = self.places.get(&said.place);
        let is_known = known.is_some_and(|state| found_at <= state.found_at + SAME_FINDING);
        if is_known || known.is_none() && !said.is_other || !self.has_room(said.place) {
            return false;
        }
        let was_other = known.is_some_and(|state| state.is_other());
        let verdict = if said.is_other { Verdict::Confirmed } else { Verdict::Cleared };
        let old = known.filter(|state| state.verdict == verdict);
        let changed_at = old.map_or(now, |state| state.changed_at);
        let checks = old.map_or(1, |state| state.checks.saturating_add(1));
        let mut state = State { changed_at, checks, ..State::new(verdict, found_at, now) };
        state.check_at = said.is_other.then(|| now + state.interval().mul_f64(1.0 + draw));
        self.places.insert(said.place, state);
        was_other != said.is_other
    }

    /// Records that a row was written that names this place.
    pub fn register(&mut self, place: Place, now: time::Instant) {
        if let Some(state) = self.places.get_mut(&place) {
            *state = State::new(Verdict::Withdrawn, now, now);
        }
    }

    /// Whether another server answers at a place, as far as is known.
    pub fn is_other(&self, place: Place) -> bool {
        self.places.get(&place).is_some_and(State::is_other)
    }

    /// When the next place is to be checked, or the next suspicion ends.
    pub fn next_due(&self) -> Option<time::Instant> {
        let ends = self.places.values().filter_map(State::suspected_until);
        self.places.values().filter_map(|state| state.check_at).chain(ends).min()
    }

    /// Up to `count` places that are to be checked now; each is due again after its interval, drawn
    /// out by `draw`, from 0 to 1.
    pub fn take_due(&mut self, count: usize, draw: f64, now: time::Instant) -> Vec<Place> {
        let is_due = |state: &State| state.check_at.is_some_and(|at| at <= now);
        let due = self.places.iter_mut().filter(|(_, state)| is_due(state)).take(count);
        let take = |(place, state): (&Place, &mut State)| {
            state.checks = state.checks.saturating_add(1);
            state.check_at = Some(now + state.interval().mul_f64(1.0 + draw));
            *place
        };
        due.map(take).collect()
    }

    /// Ends suspicions that no check has confirmed in time, and returns their places.
    pub fn take_unconfirmed(&mut self, now: time::Instant) -> Vec<Place> {
        let ended = |state: &State| state.suspected_until().is_some_and(|until| until <= now);
        let ended = self.places.iter_mut().filter(|(_, state)| ended(state));
        let withdraw = |(place, state): (&Place, &mut State)| {
            let suspicions = state.suspicions;
            *state = State { suspicions, ..State::new(Verdict::Withdrawn, now, now) };
            *place
        };
        ended.map(withdraw).collect()
    }

    /// Forgets places that are not registered any more, and verdicts that have ended long ago.
    pub fn expire(&mut self, is_registered: impl Fn(Place) -> bool, now: time::Instant) {
        self.places.retain(|place, state| match state.is_other() {
            true => is_registered(*place),
            false => now < state.changed_at + ENDED_TTL,
        });
    }

    /// Up to `count` statements for other entries: what has changed lately, then the others.
    /// Consecutive numbers `round` begin with different ones.
    pub fn statements(&self, count: usize, round: u64, now: time::Instant) -> Vec<Statement> {
        let told = self.places.iter().filter_map(|(place, state)| {
            let is_other = match state.verdict {
                Verdict::Confirmed => true,
                Verdict::Cleared => false,
                Verdict::Suspected { .. } | Verdict::Withdrawn => return None,
            };
            let ago = now.saturating_duration_since(state.found_at);
            let is_fresh = now < state.changed_at + FRESH_TIME;
            Some((is_fresh, Statement { place: *place, is_other, ago }))
        });
        let (fresh, old): (Vec<_>, Vec<_>) = told.partition(|(is_fresh, _)| *is_fresh);
        let rotated = [&fresh, &old].into_iter().flat_map(|group| {
            let start = (round as usize).wrapping_mul(count) % group.len().max(1);
            group[start..].iter().chain(&group[..start])
        });
        rotated.take(count).map(|(_, said)| *said).collect()
    }

    fn has_room(&self, place: Place) -> bool {
        self.places.contains_key(&place) || self.places.len() < MAX_PLACES
    }
}

impl State {
    fn new(verdict: Verdict, found_at: time::Instant, now: time::Instant) -> State {
        let mut state =
            State { verdict, found_at, changed_at: now, check_at: None, checks: 0, suspicions: 0 };
        state.check_at = state.is_other().then_some(now);
        state
    }

    fn is_other(&self) -> bool {
        matches!(self.verdict, Verdict::Suspected { .. } | Verdict::Confirmed)
    }

    fn suspected_until(&self) -> Option<time::Instant> {
        match self.verdict {
            Verdict::Suspected { until } => Some(until),
            Verdict::Confirmed | Verdict::Cleared | Verdict::Withdrawn => None,
        }
    }

    // Interval until the next check.
    fn interval(&self) -> time::Duration {
        doubled(FIRST_INTERVAL, self.checks.saturating_sub(1), MAX_INTERVAL)
    }
}

fn doubled(first: time::Duration, times: u32, max: time::Duration) -> time::Duration {
    first.saturating_mul(1 << times.min(16)).min(max)
}
