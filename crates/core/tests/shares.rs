//! Limits of callers, fair shares and retry budgets.

use std::time;

use rhubarb_core::{budget, fair, limit, outcome};

use fair::Share;
use outcome::Reason;

const SECOND: time::Duration = time::Duration::from_secs(1);

#[test]
fn rate_kept() {
    let now = time::Instant::now();
    let mut limit = limit::CallerLimiter::new(40, 4, now);
    let admitted = (0..100).filter(|_| limit.admit(40, 1000, 4, now).is_ok()).count();
    assert_eq!(admitted, 10, "a quarter of the rate at one of four entries");
    let refusal = limit.admit(40, 1000, 4, now).unwrap_err();
    assert_eq!(refusal.reason, Reason::OverRate);
    let again = now + refusal.retry.unwrap();
    assert!(limit.admit(40, 1000, 4, again).is_ok(), "told when to come back");
}

#[test]
fn concurrent_kept() {
    let now = time::Instant::now();
    let mut limit = limit::CallerLimiter::new(100, 1, now);
    assert!(limit.admit(100, 2, 1, now).is_ok());
    assert!(limit.admit(100, 2, 1, now).is_ok());
    assert_eq!(limit.admit(100, 2, 1, now).unwrap_err().reason, Reason::OverConcurrent);
    limit.release();
    assert!(limit.admit(100, 2, 1, now).is_ok());
}

#[test]
fn low_rates_pass() {
    let now = time::Instant::now();
    let mut limit = limit::CallerLimiter::new(1, 900, now);
    assert!(limit.admit(1, 1, 900, now).is_ok(), "every entry lets one through");
}

/// Excess requests of callers that send at the given rates for ten seconds.
fn excess(rates: &[u32]) -> Vec<u32> {
    let start = time::Instant::now();
    let mut fair = fair::Fair::default();
    let mut excess = vec![0; rates.len()];
    for tick in 0..1000u32 {
        let now = start + SECOND / 100 * tick;
        for (caller, rate) in rates.iter().enumerate() {
            let is_due = tick * rate / 100 != (tick + 1) * rate / 100;
            if is_due && fair.admit(&format!("caller-{caller}"), now) == Share::Excess {
                excess[caller] += 1;
            }
        }
    }
    excess
}

#[test]
fn equal_callers() {
    assert_eq!(excess(&[10, 10, 10, 10]), [0, 0, 0, 0]);
    assert_eq!(excess(&[50]), [0], "a caller alone is not limited");
}

#[test]
fn greedy_caller() {
    let excess = excess(&[50, 5, 5, 5, 5, 5, 5, 5, 5, 5]);
    assert!(excess[0] > 250, "most of its 500: {excess:?}");
    assert_eq!(excess[1..].iter().sum::<u32>(), 0, "{excess:?}");
}

#[test]
fn forgiven_later() {
    let start = time::Instant::now();
    let mut fair = fair::Fair::default();
    for caller in 0..10 {
        fair.admit(&format!("caller-{caller}"), start);
    }
    while fair.admit("caller-0", start) == Share::Within {}
    assert_eq!(fair.admit("caller-0", start + 60 * SECOND), Share::Within);
}

#[test]
fn budget_bounded() {
    let mut budget = budget::RetryBudget::default();
    let first = (0..100).filter(|_| budget.try_withdraw(Reason::EngineFailed)).count();
    assert_eq!(first, 5);
    for _ in 0..100 {
        budget.deposit();
    }
    let earned = (0..100).filter(|_| budget.try_withdraw(Reason::EngineFailed)).count();
    assert_eq!(earned, 10, "a tenth of the requests");
    assert!(budget.try_withdraw(Reason::Leaving), "free: no server did any work");
}
