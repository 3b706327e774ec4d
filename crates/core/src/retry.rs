//! Retry rule, and the retry budget of a service that all entries share.

use std::{collections, time};

use crate::{outcome, routing};

use outcome::Outcome;

/// Whether a request of `kind` may be retried after an attempt that ended with `outcome`.
pub fn is_allowed(kind: routing::Kind, outcome: Outcome) -> bool {
    outcome == Outcome::NotRun || (outcome == Outcome::Unknown && kind.is_repeatable())
}

/// Limits on the retries at one service, by all entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetLimits {
    /// Retries allowed per request in a window.
    pub ratio: f64,
    /// Retries allowed in a window regardless of the number of requests.
    pub slack: u32,
    /// Length of the sliding window.
    pub window: time::Duration,
}

/// One entry's share of the retry budget of one service, over a sliding window.
#[derive(Clone, Debug)]
pub struct SharedBudget {
    limits: BudgetLimits,
    // Start of the process, if it may have followed another one.
    started_at: Option<time::Instant>,
    requests: collections::VecDeque<time::Instant>,
    retries: collections::VecDeque<time::Instant>,
}

/// What an entry has withdrawn from its share of a budget, and what it may withdraw.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Balance {
    /// Retries withdrawn in the window.
    pub spent: u32,
    /// Retries that may be withdrawn in the window.
    pub limit: f64,
}

/// Usable part of the budget; the rest covers entries that are not known yet.
const USABLE_SHARE: f64 = 0.7;

impl SharedBudget {
    /// Creates an unused budget.
    ///
    /// `started_at` is the start of an entry that may have run before. Nobody knows what it had spent of
    /// the slack by then, so its share is empty for one window. What its requests earn is not:
    /// earlier requests have earned what was spent before.
    pub fn new(limits: BudgetLimits, started_at: Option<time::Instant>) -> SharedBudget {
        let (requests, retries) = Default::default();
        SharedBudget { limits, started_at, requests, retries }
    }

    /// Changes the limits.
    pub fn set_limits(&mut self, limits: BudgetLimits) {
        self.limits = limits;
    }

    /// Records a request for the service, which adds to the budget.
    pub fn record_request(&mut self, now: time::Instant) {
        self.prune(now);
        self.requests.push_back(now);
    }

    /// Number of requests for the service that this entry got in the window.
    pub fn requests(&mut self, now: time::Instant) -> u32 {
        self.prune(now);
        self.requests.len() as u32
    }

    /// Withdraws `count` retries from the share of one of `entries` entries; returns false if
    /// too few are left.
    ///
    /// While the number of entries is unknown, only what this entry's requests have earned is left.
    pub fn try_withdraw(&mut self, count: u32, entries: Option<u32>, now: time::Instant) -> bool {
        let Balance { spent, limit } = self.balance(entries, now);
        let is_allowed = f64::from(spent + count) <= limit;
        if is_allowed {
            self.retries.extend((0..count).map(|_| now));
        }
        is_allowed
    }

    /// Balance of the share of one of `entries` entries.
    pub fn balance(&mut self, entries: Option<u32>, now: time::Instant) -> Balance {
        self.prune(now);
        let share = |entries: u32| f64::from(self.limits.slack) / f64::from(entries.max(1));
        let window = self.limits.window;
        let is_new = self.started_at.is_some_and(|at| now < at + window);
        let slack = entries.filter(|_| !is_new).map_or(0.0, share);
        let earned = self.limits.ratio * self.requests.len() as f64;
        Balance { spent: self.retries.len() as u32, limit: (slack + earned) * USABLE_SHARE }
    }

    fn prune(&mut self, now: time::Instant) {
        let window = self.limits.window;
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|at| *at + window < now) {
                times.pop_front();
            }
        }
    }
}
