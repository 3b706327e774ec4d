//! Pauses that servers have asked for, during which one entry sends them nothing.
//!
//! After a pause a server is not met by all requests at once: each entry returns after a random
//! delay, and sends no more than its share of the server's slots until the server has answered.

use std::{collections, time};

use crate::ids;

/// Pauses by server and start of its process.
#[derive(Clone, Debug, Default)]
pub struct Pauses {
    pauses: collections::BTreeMap<Process, Pause>,
}

/// One process of a server: its name, and the start in Unix milliseconds, if registered.
pub type Process = (ids::ServerName, Option<u64>);

/// A pause of one server.
#[derive(Clone, Copy, Debug)]
struct Pause {
    // When the server first asked for it.
    since: time::Instant,
    // End of the time that the server asked for.
    until: time::Instant,
    // When this entry sends to it again.
    resume_at: time::Instant,
    // Requests that may be sent from then on before the server has answered.
    share: u32,
    // Requests sent since then.
    trials: u32,
    // When the last of them was sent.
    tried_at: time::Instant,
    // Requests not sent.
    withheld: u64,
    // Whether the server has answered since then without asking for another pause.
    is_answered: bool,
    // Whether the end was reported.
    has_ended: bool,
}

/// Time in which a server is not chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Closed {
    /// End of the time.
    pub until: time::Instant,
    /// Start of the time.
    pub since: time::Instant,
}

/// Longest pause. A server that needs a longer one leaves; the bound limits the effect of a value
/// that is not meant, at the price of one request a minute.
pub const MAX_PAUSE: time::Duration = time::Duration::from_secs(60);
/// Time per entry over which the entries return to a server after its pause. A plain server with six
/// slots answers a request in eight milliseconds; twice as long leaves room for those that return
/// together by chance.
pub const RETURN_STEP: time::Duration = time::Duration::from_millis(16);
/// Longest time over which the entries return, since they do not use the server meanwhile.
pub const MAX_RETURN: time::Duration = time::Duration::from_millis(1_600);
/// Rounds of a server's slots that all entries together send before it has answered: one runs while
/// the next is queued.
pub const TRIAL_ROUNDS: u32 = 2;
/// Ends of pauses of one process that are closer than this are of one pause; the time left that a
/// server tells is rounded, and its answers overtake each other.
pub const SAME_END: time::Duration = time::Duration::from_millis(100);
/// Time after which requests that are not answered are no longer waited for.
pub const TRIAL_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);
/// Time after a pause for which a server without requests is met with care.
const TRIAL_TTL: time::Duration = time::Duration::from_secs(10);

/// Time over which the retries of callers are spread that found all servers paused, as a multiple of
/// the time in which they are rejected: together they are half as frequent as new requests.
const SPREAD_FACTOR: u32 = 2;
/// Longest time over which they are spread: the longest delay before the retries of callers that
/// find all slots taken, which give up after some seconds.
const MAX_SPREAD: time::Duration = time::Duration::from_millis(4_500);

/// Delay before a caller retries that found all servers paused, of which the first is sent to again
/// after `closed`. `draw` is a random number from 0 to 1.
pub fn retry_delay(closed: Closed, draw: f64, now: time::Instant) -> time::Duration {
    let length = closed.until.saturating_duration_since(closed.since);
    let spread = (length * SPREAD_FACTOR).min(MAX_SPREAD);
    closed.until.saturating_duration_since(now) + spread.mul_f64(draw.clamp(0.0, 1.0))
}

/// The one of two closed times that ends later, unless both are over.
pub fn later(a: Option<Closed>, b: Option<Closed>, now: time::Instant) -> Option<Closed> {
    a.max(b).filter(|closed| now < closed.until)
}

/// How the entries return to a server after its pause.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Return {
    /// Slots of the server.
    pub slots: u32,
    /// Number of entries, this one included.
    pub entries: u32,
    /// Random number from 0 to 1.
    pub draw: f64,
}

impl Return {
    /// Delay of this entry after the end of the pause.
    pub fn delay(&self) -> time::Duration {
        (RETURN_STEP * self.entries).min(MAX_RETURN).mul_f64(self.draw.clamp(0.0, 1.0))
    }

    /// Requests that this entry sends before the server has answered.
    pub fn share(&self) -> u32 {
        (self.slots.saturating_mul(TRIAL_ROUNDS) / self.entries.max(1)).max(1)
    }
}

/// End of a pause.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ended {
    /// The server.
    pub server: ids::ServerName,
    /// Requests not sent to it.
    pub withheld: u64,
}

impl Pauses {
    /// Records that a process asked for a pause of `length`, which is bounded by [`MAX_PAUSE`].
    ///
    /// Returns the time used if it is a new pause, or makes the end notably later: rejections that were
    /// on their way together tell of one pause. An earlier end does not replace a later one.
    pub fn record(
        &mut self,
        process: &Process,
        length: time::Duration,
        returning: Return,
        now: time::Instant,
    ) -> Option<time::Duration> {
        let used = length.min(MAX_PAUSE);
        let until = now + used;
        let old = self.pauses.get(process);
        if used.is_zero() || old.is_some_and(|old| until <= old.until) {
            return None;
        }
        let is_known = old.is_some_and(|old| until < old.until + SAME_END);
        let open = old.filter(|old| now < old.resume_at);
        let pause = Pause {
            since: open.map_or(now, |old| old.since),
            until,
            resume_at: until + returning.delay(),
            share: returning.share(),
            trials: 0,
            tried_at: now,
            withheld: old.filter(|old| !old.has_ended).map_or(0, |old| old.withheld),
            is_answered: false,
            has_ended: false,
        };
        self.pauses.insert(process.clone(), pause);
        (!is_known).then_some(used)
    }

    /// Whether no process has a pause, not even one that has ended lately.
    pub fn is_empty(&self) -> bool {
        self.pauses.is_empty()
    }

    /// Time in which a process is not chosen; `None` if it may be.
    pub fn closed(&self, process: &Process, now: time::Instant) -> Option<Closed> {
        self.pauses.get(process)?.closed().filter(|closed| now < closed.until)
    }

    /// Whether a request may be sent to a process now; it then counts as sent, otherwise as
    /// withheld.
    pub fn try_send(&mut self, process: &Process, now: time::Instant) -> bool {
        let Some(pause) = self.pauses.get_mut(process) else { return true };
        if pause.closed().is_some_and(|closed| now < closed.until) {
            pause.withheld += 1;
            return false;
        }
        if pause.trials >= pause.share {
            pause.trials = 0;
        }
        pause.trials += 1;
        pause.tried_at = now;
        true
    }

    /// Records an answer of a process that turned nothing away; returns whether it ends the care after
    /// a pause.
    pub fn answered(&mut self, process: &Process, now: time::Instant) -> bool {
        let pause = self.pauses.get_mut(process);
        // Others are answers to requests from before the pause.
        let Some(pause) = pause.filter(|pause| now >= pause.resume_at && pause.trials > 0) else {
            return false;
        };
        !std::mem::replace(&mut pause.is_answered, true)
    }

    /// Removes pauses that are over, and returns those that have ended since the last call.
    pub fn expire(&mut self, now: time::Instant) -> Vec<Ended> {
        let mut ended = Vec::new();
        for ((server, _), pause) in &mut self.pauses {
            if now >= pause.resume_at && !pause.has_ended {
                pause.has_ended = true;
                ended.push(Ended { server: server.clone(), withheld: pause.withheld });
            }
        }
        self.pauses.retain(|_, pause| {
            !pause.has_ended || (!pause.is_answered && now < pause.resume_at + TRIAL_TTL)
        });
        ended
    }
}

impl Pause {
    fn closed(&self) -> Option<Closed> {
        if self.is_answered {
            return None;
        }
        if self.trials >= self.share {
            return Some(Closed { since: self.tried_at, until: self.tried_at + TRIAL_TIMEOUT });
        }
        (self.trials == 0).then_some(Closed { since: self.since, until: self.resume_at })
    }
}
