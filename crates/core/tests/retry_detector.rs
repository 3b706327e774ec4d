//! Detection of retries after a refusal.

use std::time;

use rhubarb_core::retry_detector;

fn millis(count: u64) -> time::Duration {
    time::Duration::from_millis(count)
}

#[test]
fn remaining_timeout() {
    // Callers wait for 12 to 14 s; a retry after a refusal for 2 s has less time left.
    let mut detector = retry_detector::RetryDetector::default();
    assert!(!detector.record(millis(14_000)));
    let cases = [(13_200, false), (12_050, false), (11_400, true), (6_300, true), (14_000, false)];
    for (remaining, expected) in cases {
        assert_eq!(detector.record(millis(remaining)), expected, "{remaining} ms");
    }
}

#[test]
fn shorter_timeouts() {
    // After all callers shorten their timeout, their first requests count as retries only until
    // the maximum has decayed.
    let mut detector = retry_detector::RetryDetector::default();
    detector.record(millis(14_000));
    assert!(detector.record(millis(5_000)));
    let requests = (0..5_000).find(|_| !detector.record(millis(5_000)));
    assert!(requests.is_some_and(|count| count < 1_000), "{requests:?}");
    assert!(!detector.record(millis(5_000)));
}
