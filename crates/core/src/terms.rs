//! What all entries together may use of a limit, by what the platform tolerates beyond it.

use std::time;

use crate::{cells, customers, demand};

/// What the platform tolerates beyond a limit, in any window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// Length of the sliding window.
    pub window: time::Duration,
    /// Fraction of the limit.
    pub over: f64,
    /// Units.
    pub slack: f64,
}

impl Default for Tolerance {
    fn default() -> Tolerance {
        Tolerance { window: DEFAULT_WINDOW, over: 0.0, slack: 0.0 }
    }
}

/// What all entries may use of a limit, in units.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// Units a second.
    pub rate: f64,
    /// Units that may be used at once.
    pub burst: f64,
    /// Sum of the debts of all entries.
    pub reserve: f64,
    /// How requests are lent of which one is more than a part of the reserve; `None` unless the limit
    /// is that small and the platform tolerates little beyond it.
    pub single: Option<Single>,
}

/// One request that each entry may borrow alone, however little the limit is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Single {
    /// Units that it may count for.
    pub most: f64,
    /// Probability that an entry may do so, in each of its turns.
    pub chance: f64,
}

/// Window without one in the settings: a few times as long as what an entry told counts.
const DEFAULT_WINDOW: time::Duration = time::Duration::from_secs(10);
/// Part of what is tolerated that is lent out. An entry that starts again has lost its debt, so that
/// all may borrow twice in one window.
const LENT_SHARE: f64 = 0.45;
/// Least tolerance as a fraction of a limit; the limit is used only in part if the platform tolerates
/// less.
const LEAST_TOLERANCE: f64 = 0.15;
/// Part of what is left to lend that one request may take at once, while little is lent.
pub const REQUEST_SHARE: f64 = 0.25;
/// Least part of a limit that flows into the buckets.
const LEAST_USED: f64 = 0.25;
/// Standard deviations by which the entries in turn may be more than expected.
const DEVIATIONS: f64 = 4.0;

impl Terms {
    /// What all entries may use of `limit`; a usual request counts for `usual` units.
    pub fn new(
        limit: customers::Limit,
        usual: f64,
        tolerance: Tolerance,
        sizes: demand::Sizes,
    ) -> Terms {
        let customers::Limit { rate, burst, .. } = limit;
        let whole = (rate * tolerance.window.as_secs_f64() + burst).max(f64::MIN_POSITIVE);
        let tolerated = whole * tolerance.over + tolerance.slack;
        let mut missing = (whole * LEAST_TOLERANCE - tolerated).max(0.0);
        let reserve = LENT_SHARE * (tolerated + missing);
        let entries = f64::from(sizes.fleet.max(sizes.peers + 1));
        let cell = (cells::MAX_CELL as f64 / entries).min(1.0);
        // Where the platform tolerates enough, borrowing takes less from the buckets.
        let is_small = missing > 0.0 && reserve * cell * REQUEST_SHARE < usual;
        let single = is_small.then(|| {
            // The entries may all borrow one at the same time, so that less flows into the buckets.
            let most = limit.unit.most(usual);
            let lacking = most * entries - (1.0 - LENT_SHARE) * (tolerated + missing);
            let available = whole * (1.0 - LEAST_USED) - missing;
            missing += lacking.min(available).max(0.0);
            if lacking <= available {
                return Single { most, chance: 1.0 };
            }
            let requests = (tolerated + missing - reserve) / most;
            Single { most, chance: chance(requests, entries) }
        });
        let used = 1.0 - missing / whole;
        Terms { rate: rate * used, burst: burst * used, reserve, single }
    }
}

// Probability that an entry is in turn, so that in a window, in which each has two turns at most, not
// more than `requests` of them are.
fn chance(requests: f64, entries: f64) -> f64 {
    let half = DEVIATIONS / 2.0;
    let expected = ((requests + half * half).sqrt() - half).powi(2);
    expected / 2.0 / entries
}
