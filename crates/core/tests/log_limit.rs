//! Limits of repeated log lines.

use std::time;

use rhubarb_core::log_limit;

#[test]
fn once_a_minute() {
    let mut limit = log_limit::LogLimit::default();
    let now = time::Instant::now();
    assert!(limit.allows("i-1", now));
    assert!(!limit.allows("i-1", now + time::Duration::from_secs(59)));
    assert!(limit.allows("i-2", now));
    assert!(limit.allows("i-1", now + time::Duration::from_secs(60)));
}

#[test]
fn bounded_subjects() {
    let mut limit = log_limit::LogLimit::default();
    let now = time::Instant::now();
    let logged = (0..5_000).filter(|number| limit.allows(&number.to_string(), now)).count();
    assert_eq!(logged, 1_000);
}
