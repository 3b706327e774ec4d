//! Limits that servers name for all entries together, and this entry's part of them.
//!
//! Each entry sends at its part of the rate, spaced evenly and in turn with the others. What it does
//! not use lapses after [`VALID_TIME`], so that the entries together never send much more than the
//! limit in any few seconds, however many there are and however long they were idle.

use std::{collections, time};

use crate::{ids, pauses};

/// Limits by process of the server.
#[derive(Clone, Debug, Default)]
pub struct Quotas {
    quotas: collections::BTreeMap<ids::ProcessTag, Quota>,
}

/// What a server said last of its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Statement {
    /// Process of the server.
    pub process: ids::ProcessTag,
    /// Requests a second from all entries; `None` if there is no limit any more.
    pub rate: Option<f64>,
    /// Time since the server said so.
    pub ago: time::Duration,
}

/// This entry's part of a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Part {
    /// Fraction of the limit, above 0 and at most 1.
    pub fraction: f64,
    /// Position in the turns of the entries, above 0 and at most 1.
    pub phase: f64,
}

#[derive(Clone, Copy, Debug)]
struct Quota {
    // None if the limit has ended.
    rate: Option<f64>,
    said_at: time::Instant,
    // When what is known last changed.
    changed_at: time::Instant,
    // The next request may be sent the time for `debt` requests after `base`.
    base: time::Instant,
    debt: f64,
}

/// Time for which a request that could be sent, and was not, may be sent later. The longer, the more
/// of a small part is used; the less, the smaller are the bursts of a fleet.
pub const VALID_TIME: time::Duration = time::Duration::from_millis(1_500);
/// Lowest and highest rate in requests a second. A server that wants none is asked once in a while
/// whether that is still so; the highest is no limit for any fleet.
pub const RATE_RANGE: (f64, f64) = (0.02, 1e9);
/// Time for which a limit is kept without an answer of its server.
const TTL: time::Duration = time::Duration::from_secs(600);
/// Time for which what has changed comes first in what is sent to others, and for which the end of a
/// limit is kept for them.
const FRESH_TIME: time::Duration = time::Duration::from_secs(10);
/// Maximum number of limits.
const MAX_QUOTAS: usize = 4_096;
/// Shortest and longest interval between two requests, in seconds: more than any entry sends, and longer
/// than any limit is kept.
const INTERVAL_RANGE_S: (f64, f64) = (1e-6, 3_600.0);

impl Quotas {
    /// Records what a server says, or another entry knows. Returns whether that differs from what was
    /// known.
    pub fn record(&mut self, said: Statement, part: Part, now: time::Instant) -> bool {
        let Some(said_at) = now.checked_sub(said.ago) else { return false };
        let rate = said.rate.map(rounded);
        let known = self.quotas.get_mut(&said.process);
        let Some(quota) = known else {
            if rate.is_none() || self.quotas.len() >= MAX_QUOTAS || said.ago >= TTL {
                return false;
            }
            self.quotas.insert(said.process, Quota::new(rate, said_at, part, now));
            return true;
        };
        if said_at <= quota.said_at {
            return false;
        }
        quota.said_at = said_at;
        if quota.rate == rate {
            return false;
        }
        if quota.rate.is_none() {
            *quota = Quota::new(rate, said_at, part, now);
        }
        (quota.rate, quota.changed_at) = (rate, now);
        true
    }

    /// Whether no limit is known.
    pub fn is_empty(&self) -> bool {
        self.quotas.is_empty()
    }

    /// Limit of a process in requests a second.
    pub fn rate(&self, process: ids::ProcessTag) -> Option<f64> {
        self.quotas.get(&process)?.rate
    }

    /// Time in which nothing may be sent to a process; `None` if a request may be sent now.
    pub fn closed(
        &mut self,
        process: ids::ProcessTag,
        part: Part,
        now: time::Instant,
    ) -> Option<pauses::Closed> {
        let quota = self.quotas.get_mut(&process)?;
        let until = quota.open_at(quota.interval(part)?, now);
        (now < until).then_some(pauses::Closed { since: quota.base.min(now), until })
    }

    /// Whether a request that counts as `cost` may be sent to a process now; it then counts as sent.
    pub fn try_send(
        &mut self,
        process: ids::ProcessTag,
        cost: u32,
        part: Part,
        now: time::Instant,
    ) -> bool {
        if cost == 0 {
            return true;
        }
        let Some(quota) = self.quotas.get_mut(&process) else { return true };
        let Some(interval) = quota.interval(part) else { return true };
        let open_at = quota.open_at(interval, now);
        if now < open_at {
            return false;
        }
        (quota.base, quota.debt) = (open_at, f64::from(cost));
        true
    }

    /// Takes back that `cost` was sent, for a request that a server has turned away.
    pub fn refund(&mut self, process: ids::ProcessTag, cost: u32) {
        if let Some(quota) = self.quotas.get_mut(&process) {
            quota.debt = (quota.debt - f64::from(cost)).max(0.0);
        }
    }

    /// Forgets limits that have ended, or of which nothing was heard for long.
    pub fn expire(&mut self, now: time::Instant) {
        self.quotas.retain(|_, quota| match quota.rate {
            Some(_) => now < quota.said_at + TTL,
            None => now < quota.changed_at + FRESH_TIME,
        });
    }

    /// Up to `count` statements for other entries: what has changed lately, then the others.
    /// Consecutive numbers `round` begin with different ones.
    pub fn statements(&self, count: usize, round: u64, now: time::Instant) -> Vec<Statement> {
        let is_fresh = |quota: &Quota| now < quota.changed_at + FRESH_TIME;
        let (fresh, old): (Vec<_>, Vec<_>) =
            self.quotas.iter().partition(|(_, quota)| is_fresh(quota));
        let rotated = [&fresh, &old].into_iter().flat_map(|group| {
            let start = (round as usize).wrapping_mul(count) % group.len().max(1);
            group[start..].iter().chain(&group[..start])
        });
        let statements = rotated.take(count).map(|(process, quota)| Statement {
            process: **process,
            rate: quota.rate,
            ago: now.saturating_duration_since(quota.said_at),
        });
        statements.collect()
    }
}

// Rates are told to others in thousandths, so that all entries know the same.
fn rounded(rate: f64) -> f64 {
    let (lowest, highest) = RATE_RANGE;
    (rate.clamp(lowest, highest) * 1e3).round() / 1e3
}

impl Quota {
    fn new(rate: Option<f64>, said_at: time::Instant, part: Part, now: time::Instant) -> Quota {
        Quota { rate, said_at, changed_at: now, base: now, debt: part.phase }
    }

    // Time from one request of this entry to the next; `None` without a limit.
    fn interval(&self, part: Part) -> Option<time::Duration> {
        let rate = self.rate? * part.fraction;
        let (shortest, longest) = INTERVAL_RANGE_S;
        Some(time::Duration::from_secs_f64((1.0 / rate).clamp(shortest, longest)))
    }

    // When the next request may be sent. Turns that have lapsed are skipped.
    fn open_at(&mut self, interval: time::Duration, now: time::Instant) -> time::Instant {
        let open_at = self.base + interval.mul_f64(self.debt);
        let lapsed = now.saturating_duration_since(open_at).saturating_sub(VALID_TIME);
        if lapsed.is_zero() {
            return open_at;
        }
        // The last turn that has lapsed is the new base: the interval may change later.
        let turns = (lapsed.as_secs_f64() / interval.as_secs_f64()).ceil();
        self.base = open_at + interval.mul_f64(turns - 1.0);
        self.debt = 1.0;
        self.base + interval
    }
}
