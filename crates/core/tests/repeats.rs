//! Which requests are sent again, and the budget that all entries share.

mod random;

use std::time;

use rhubarb_core::{outcome, repeat, routing};

use outcome::Outcome;
use proptest::prelude::*;

const SECOND: time::Duration = time::Duration::from_secs(1);
const ALLOWANCE: repeat::Allowance =
    repeat::Allowance { ratio: 0.2, slack: 56, window: time::Duration::from_secs(10) };

#[test]
fn rule_table() {
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
        assert_eq!(repeat::is_allowed(kind, outcome), expected, "{kind:?} {outcome:?}");
    }
}

#[test]
fn window_passes() {
    let now = time::Instant::now();
    let mut repeats = repeat::Repeats::new(ALLOWANCE);
    while repeats.take(1, 1, now) {}
    assert!(!repeats.take(1, 1, now + 9 * SECOND));
    assert!(repeats.take(1, 1, now + 11 * SECOND));
}

proptest! {
    #![proptest_config(random::config(256))]

    // Whatever the entries do, their repeats in any window stay within the shared bound.
    #[test]
    fn shared_bound(
        steps in proptest::collection::vec((0usize..5, 0u64..400, 0u32..4), 1..600),
    ) {
        let start = time::Instant::now();
        let mut entries: Vec<_> = (0..5).map(|_| repeat::Repeats::new(ALLOWANCE)).collect();
        let (mut requests, mut repeats) = (Vec::new(), Vec::new());
        let mut now = start;
        for (entry, pause, sends) in steps {
            now += time::Duration::from_millis(pause);
            entries[entry].note_request(now);
            requests.push(now);
            if sends > 0 && entries[entry].take(sends, 5, now) {
                repeats.extend((0..sends).map(|_| now));
            }
        }
        for from in &repeats {
            let is_within = |at: &&time::Instant| **at >= *from && **at < *from + ALLOWANCE.window;
            let spent = repeats.iter().filter(is_within).count() as f64;
            // Requests of this window or the one before it.
            let earned = requests.iter().filter(|at| {
                **at + ALLOWANCE.window >= *from && **at < *from + ALLOWANCE.window
            });
            let bound = ALLOWANCE.ratio * earned.count() as f64 + f64::from(ALLOWANCE.slack);
            prop_assert!(spent <= bound, "{spent} of {bound}");
        }
    }
}
