//! Callers that come back after a refusal.

use std::time;

use rhubarb_core::returns;

fn millis(count: u64) -> time::Duration {
    time::Duration::from_millis(count)
}

#[test]
fn known_by_time() {
    // Callers wait for 12 to 14 s; one that was sent away for 2 s has less left.
    let mut returns = returns::Returns::default();
    assert!(!returns.note(millis(14_000)));
    let cases = [(13_200, false), (12_050, false), (11_400, true), (6_300, true), (14_000, false)];
    for (left, expected) in cases {
        assert_eq!(returns.note(millis(left)), expected, "{left} ms");
    }
}

#[test]
fn other_habits() {
    // Callers that all give less than they used to are not taken for returning ones for ever.
    let mut returns = returns::Returns::default();
    returns.note(millis(14_000));
    assert!(returns.note(millis(5_000)));
    let still = (0..5_000).find(|_| !returns.note(millis(5_000)));
    assert!(still.is_some_and(|count| count < 1_000), "{still:?}");
    assert!(!returns.note(millis(5_000)));
}
