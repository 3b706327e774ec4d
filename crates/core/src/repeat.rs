//! Which requests may be sent again, and the budget for it that all entries share.

use std::{collections, time};

use crate::{outcome, routing};

use outcome::Outcome;

/// Whether a request of `kind` may be sent again after an attempt that ended with `outcome`.
pub fn is_allowed(kind: routing::Kind, outcome: Outcome) -> bool {
    outcome == Outcome::NotRun || (outcome == Outcome::Unknown && kind.is_repeatable())
}

/// Bounds on the repeated sends to one service, by all entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Repeats for each request in a window.
    pub ratio: f64,
    /// Repeats in a window that are allowed whatever the number of requests.
    pub slack: u32,
    /// Length of a window.
    pub window: time::Duration,
}

/// One entry's part of the shared budget of one service.
#[derive(Clone, Debug)]
pub struct Repeats {
    allowance: Allowance,
    requests: collections::VecDeque<time::Instant>,
    repeats: collections::VecDeque<time::Instant>,
}

/// Part of the budget that is used; the rest covers entries that are not known yet.
const SAFETY: f64 = 0.7;

impl Repeats {
    /// Makes an unused budget.
    pub fn new(allowance: Allowance) -> Repeats {
        let (requests, repeats) = Default::default();
        Repeats { allowance, requests, repeats }
    }

    /// Changes the bounds.
    pub fn set_allowance(&mut self, allowance: Allowance) {
        self.allowance = allowance;
    }

    /// Notes a request for the service.
    pub fn note_request(&mut self, now: time::Instant) {
        self.prune(now);
        self.requests.push_back(now);
    }

    /// Takes `sends` repeats for an entry that is one of `entries`; false if its part is used up.
    pub fn take(&mut self, sends: u32, entries: u32, now: time::Instant) -> bool {
        self.prune(now);
        let slack = f64::from(self.allowance.slack) / f64::from(entries.max(1));
        let earned = self.allowance.ratio * self.requests.len() as f64;
        let spent = self.repeats.len() as f64 + f64::from(sends);
        let is_left = spent <= (slack + earned) * SAFETY;
        if is_left {
            self.repeats.extend((0..sends).map(|_| now));
        }
        is_left
    }

    fn prune(&mut self, now: time::Instant) {
        let window = self.allowance.window;
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|at| *at + window < now) {
                times.pop_front();
            }
        }
    }
}
