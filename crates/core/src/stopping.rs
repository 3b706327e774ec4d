//! The planned stop of an entry: which requests it still serves before the platform ends it.

use std::time;

use crate::routing;

/// Time after which the balancer has stopped sending: it needs two of its checks, which come once a
/// second.
pub const BALANCER_DELAY: time::Duration = time::Duration::from_millis(2_500);
/// Time reserved for the last usage record before the platform ends the process.
const KILL_MARGIN: time::Duration = time::Duration::from_millis(300);
/// Time in which the answers of the last requests reach their callers.
const ANSWER_MARGIN: time::Duration = time::Duration::from_millis(100);

/// Time that must be left for a plain request whose deadline is later, as a multiple of its latency
/// target: an answer that takes longer is not expected.
const TARGETS_LEFT: u32 = 3;

/// Delay after which a refused request is sent to another entry that is ready.
const REROUTE_DELAY: time::Duration = time::Duration::from_millis(50);
/// Time from the end of an entry to the readiness of the process in its place.
const RESTART_TIME: time::Duration = time::Duration::from_secs(1);

/// A stop that the platform asked for.
#[derive(Clone, Copy, Debug)]
pub struct Stop {
    started_at: time::Instant,
    // Earliest time at which the platform may have asked, if the signal was handled late.
    asked_at: time::Instant,
    grace: time::Duration,
}

impl Stop {
    /// A stop asked for at `started_at`, after which the platform waits for `grace`.
    pub fn new(started_at: time::Instant, grace: time::Duration) -> Stop {
        Stop { started_at, asked_at: started_at, grace }
    }

    /// The same stop if the platform may have asked as early as `asked_at`.
    pub fn asked_since(self, asked_at: time::Instant) -> Stop {
        Stop { asked_at: asked_at.min(self.started_at), ..self }
    }

    /// Time at which the drain ends. Streams go on until then, also where the platform may end the
    /// process sooner.
    pub fn drained_by(&self) -> time::Instant {
        self.started_at + self.grace.saturating_sub(KILL_MARGIN)
    }

    /// Time by which requests need their answers.
    pub fn answered_by(&self) -> time::Instant {
        self.asked_at + self.grace.saturating_sub(KILL_MARGIN + ANSWER_MARGIN)
    }

    /// Whether the balancer no longer sends to this entry.
    pub fn is_out_of_rotation(&self, now: time::Instant) -> bool {
        now >= self.started_at + BALANCER_DELAY
    }

    /// Whether a request that has been read at `now`, has this latency target, and may be answered as
    /// late as `deadline`, is served.
    ///
    /// While the balancer sends requests here, a retry may come here too, so all are served. Later ones
    /// come only if too few other entries are ready, so that a retry would reach one that is
    /// stopping as well. Streams, which may last longer than the entry, are not served then.
    pub fn admits(
        &self,
        kind: routing::Kind,
        target: time::Duration,
        deadline: time::Instant,
        now: time::Instant,
    ) -> bool {
        match kind {
            _ if !self.is_out_of_rotation(now) => true,
            routing::Kind::Stream { .. } => false,
            routing::Kind::Safe | routing::Kind::Unsafe => {
                deadline <= self.answered_by() || now + target * TARGETS_LEFT <= self.answered_by()
            }
        }
    }

    /// Delay after which the caller of a request that is refused at `now` sends it again: it reaches a
    /// peer if one is ready, and else an entry that has started again.
    pub fn retry_delay(&self, has_ready_peer: bool, now: time::Instant) -> time::Duration {
        match has_ready_peer {
            true => REROUTE_DELAY,
            false => self.drained_by().saturating_duration_since(now) + RESTART_TIME,
        }
    }
}
