//! What all entries together may use of a limit, by what the platform tolerates beyond it.

use std::time;

use crate::customers;

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
}

/// Window without one in the settings: a few times as long as what an entry told counts.
const DEFAULT_WINDOW: time::Duration = time::Duration::from_secs(10);
/// Part of what is tolerated that is lent out. An entry that starts again has lost its debt, so that
/// all may borrow twice in one window.
const LENT_SHARE: f64 = 0.45;
/// Least tolerance as a fraction of a limit; the limit is used only in part if the platform tolerates
/// less.
const LEAST_TOLERANCE: f64 = 0.15;

impl Terms {
    /// What all entries may use of `limit`.
    pub fn new(limit: customers::Limit, tolerance: Tolerance) -> Terms {
        let customers::Limit { rate, burst, .. } = limit;
        let whole = rate * tolerance.window.as_secs_f64() + burst;
        let tolerated = whole * tolerance.over + tolerance.slack;
        let missing = (whole * LEAST_TOLERANCE - tolerated).max(0.0);
        let used = 1.0 - missing / whole.max(f64::MIN_POSITIVE);
        let reserve = LENT_SHARE * (tolerated + missing);
        Terms { rate: rate * used, burst: burst * used, reserve }
    }
}
