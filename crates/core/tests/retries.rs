//! Retry rule, and the retry budget that all entries share.

mod random;

use std::time;

use rhubarb_core::{outcome, retry, routing};

use outcome::Outcome;
use proptest::prelude::*;

const SECOND: time::Duration = time::Duration::from_secs(1);
const LIMITS: retry::BudgetLimits =
    retry::BudgetLimits { ratio: 0.2, slack: 56, window: time::Duration::from_secs(10) };

#[test]
fn retry_rule() {
    let safe = routing::Kind::Safe;
    let once = routing::Kind::Unsafe;
    let stream = routing::Kind::Stream { resumable: false };
    let resumable = routing::Kind::Stream { resumable: true };
    let cases = [
        (safe, Outcome::NotRun, true),
        (safe, Outcome::Unknown, true),
        (once, Outcome::NotRun, true),
        (once, Outcome::Unknown, false),
        (stream, Outcome::NotRun, true),
        (stream, Outcome::Unknown, false),
        (resumable, Outcome::Unknown, true),
        (safe, Outcome::Answered, false),
        (safe, Outcome::Cancelled, false),
    ];
    for (kind, outcome, expected) in cases {
        assert_eq!(retry::is_allowed(kind, outcome), expected, "{kind:?} {outcome:?}");
    }
}

#[test]
fn window_slides() {
    let now = time::Instant::now();
    let mut budget = retry::SharedBudget::new(LIMITS, None);
    while budget.try_withdraw(1, Some(1), now) {}
    assert!(!budget.try_withdraw(1, Some(1), now + 9 * SECOND));
    assert!(budget.try_withdraw(1, Some(1), now + 11 * SECOND));
}

proptest! {
    #![proptest_config(random::config(256))]

    // The retries of all entries in any window stay within the shared limit.
    #[test]
    fn shared_limit(
        steps in proptest::collection::vec((0usize..5, 0u64..400, 0u32..4), 1..600),
    ) {
        let start = time::Instant::now();
        let mut entries: Vec<_> = (0..5).map(|_| retry::SharedBudget::new(LIMITS, None)).collect();
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        let mut now = start;
        for (entry, pause, count) in steps {
            now += time::Duration::from_millis(pause);
            entries[entry].record_request(now);
            requests.push(now);
            if count > 0 && entries[entry].try_withdraw(count, Some(5), now) {
                retries.extend((0..count).map(|_| now));
            }
        }
        for from in &retries {
            let is_within = |at: &&time::Instant| **at >= *from && **at < *from + LIMITS.window;
            let spent = retries.iter().filter(is_within).count() as f64;
            // Requests of this window or the one before it.
            let earned = requests.iter().filter(|at| {
                **at + LIMITS.window >= *from && **at < *from + LIMITS.window
            });
            let bound = LIMITS.ratio * earned.count() as f64 + f64::from(LIMITS.slack);
            prop_assert!(spent <= bound, "{spent} of {bound}");
        }
    }
}

// While the number of entries is unknown, the slack is not used.
#[test]
fn unknown_entries() {
    let now = time::Instant::now();
    let mut budget = retry::SharedBudget::new(LIMITS, None);
    assert!(!budget.try_withdraw(1, None, now));
    for _ in 0..100 {
        budget.record_request(now);
    }
    assert!(budget.try_withdraw(1, None, now), "earned by requests");
}

// Guards against entries that restart and spend their shares of the slack again (issue 47, BUDGET):
// whenever they restart, the retries of all in any window stay within the shared limit.
#[test]
fn restarted_entries() {
    let start = time::Instant::now();
    let mut retries = Vec::new();
    let mut entries: Vec<_> = (0..5).map(|_| retry::SharedBudget::new(LIMITS, None)).collect();
    for tick in 0..250 {
        let now = start + tick * SECOND / 10;
        if tick % 22 == 21 {
            let restarted = |_| retry::SharedBudget::new(LIMITS, Some(now));
            entries = (0..5).map(restarted).collect();
        }
        for entry in &mut entries {
            while entry.try_withdraw(1, Some(5), now) {
                retries.push(now);
            }
        }
    }
    for from in &retries {
        let within = retries.iter().filter(|at| **at >= *from && **at < *from + LIMITS.window);
        let spent = within.count();
        assert!(spent <= LIMITS.slack as usize, "{spent} retries in a window");
    }
    // An entry that stays has its share again after one window.
    let mut stays = retry::SharedBudget::new(LIMITS, Some(start));
    assert!(!stays.try_withdraw(1, Some(5), start + 9 * SECOND));
    assert!(stays.try_withdraw(1, Some(5), start + LIMITS.window));
}
