//! Detects that this process did not run for a while: it was paused, or got no processor time.

use std::time;

/// Times at which the process is known to have run.
#[derive(Clone, Copy, Debug)]
pub struct Stalls {
    ran_at: time::Instant,
    last: Option<Stall>,
}

#[derive(Clone, Copy, Debug)]
struct Stall {
    from: time::Instant,
    until: time::Instant,
}

/// Interval at which [`Stalls::record`] is called.
pub const PERIOD: time::Duration = time::Duration::from_millis(200);
/// Delay of a call beyond which the process counts as stalled. With [`PERIOD`] it is less than the margins
/// of a planned stop, which cover the signals of shorter stalls.
const MIN_STALL: time::Duration = time::Duration::from_millis(50);
/// Time after a stall in which a signal that came during it is handled.
const SIGNAL_DELAY: time::Duration = time::Duration::from_millis(100);

impl Stalls {
    /// Starts with a process that runs at `now`.
    pub fn new(now: time::Instant) -> Stalls {
        Stalls { ran_at: now, last: None }
    }

    /// Records that the process runs at `now`. Returns the length of a stall that has just ended.
    pub fn record(&mut self, now: time::Instant) -> Option<time::Duration> {
        let stall = self.current(now);
        self.last = stall.or(self.last);
        self.ran_at = now;
        stall.map(|stall| stall.until - stall.from)
    }

    /// Earliest time at which a signal that is handled at `now` may have been sent.
    pub fn signalled_since(&self, now: time::Instant) -> time::Instant {
        let recent = self.last.filter(|stall| now <= stall.until + SIGNAL_DELAY);
        self.current(now).or(recent).map_or(now, |stall| stall.from)
    }

    fn current(&self, now: time::Instant) -> Option<Stall> {
        (now > self.ran_at + PERIOD + MIN_STALL).then_some(Stall { from: self.ran_at, until: now })
    }
}
