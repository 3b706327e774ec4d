//! Rate and concurrency limits of callers, fair shares and retry budgets.

use std::time;

use rhubarb_core::{budget, fair_share, limit, outcome};

use fair_share::Share;
use outcome::Reason;

const SECOND: time::Duration = time::Duration::from_secs(1);

#[test]
fn rate_limit() {
    let now = time::Instant::now();
    let mut limiter = limit::CallerLimiter::new(40, 4, now);
    let admitted = (0..100).filter(|_| limiter.admit(40, 1000, 4, now).is_ok()).count();
    assert_eq!(admitted, 10, "a quarter of the rate at one of four entries");
    let refusal = limiter.admit(40, 1000, 4, now).unwrap_err();
    assert_eq!(refusal.reason, Reason::OverRate);
    let retry_at = now + refusal.retry.unwrap();
    assert!(limiter.admit(40, 1000, 4, retry_at).is_ok(), "admitted after the retry delay");
}

#[test]
fn concurrency_limit() {
    let now = time::Instant::now();
    let mut limiter = limit::CallerLimiter::new(100, 1, now);
    assert!(limiter.admit(100, 2, 1, now).is_ok());
    assert!(limiter.admit(100, 2, 1, now).is_ok());
    assert_eq!(limiter.admit(100, 2, 1, now).unwrap_err().reason, Reason::OverConcurrent);
    limiter.release();
    assert!(limiter.admit(100, 2, 1, now).is_ok());
}

#[test]
fn minimum_rate() {
    let now = time::Instant::now();
    let mut limiter = limit::CallerLimiter::new(1, 900, now);
    assert!(limiter.admit(1, 1, 900, now).is_ok(), "each entry admits one request");
}

/// Counts the excess requests of callers that send at the given rates, in requests per second,
/// for ten seconds.
fn excess(rates: &[u32]) -> Vec<u32> {
    let start = time::Instant::now();
    let mut shares = fair_share::FairShare::default();
    let mut excess = vec![0; rates.len()];
    for tick in 0..1000u32 {
        let now = start + SECOND / 100 * tick;
        for (caller, rate) in rates.iter().enumerate() {
            let is_due = tick * rate / 100 != (tick + 1) * rate / 100;
            if is_due && shares.admit(&format!("caller-{caller}"), now) == Share::Excess {
                excess[caller] += 1;
            }
        }
    }
    excess
}

#[test]
fn equal_callers() {
    assert_eq!(excess(&[10, 10, 10, 10]), [0, 0, 0, 0]);
    assert_eq!(excess(&[50]), [0], "a single caller is not limited");
}

#[test]
fn greedy_caller() {
    let excess = excess(&[50, 5, 5, 5, 5, 5, 5, 5, 5, 5]);
    assert!(excess[0] > 250, "most of its 500: {excess:?}");
    assert_eq!(excess[1..].iter().sum::<u32>(), 0, "{excess:?}");
}

#[test]
fn share_recovers() {
    let start = time::Instant::now();
    let mut shares = fair_share::FairShare::default();
    for caller in 0..10 {
        shares.admit(&format!("caller-{caller}"), start);
    }
    while shares.admit("caller-0", start) == Share::Within {}
    assert_eq!(shares.admit("caller-0", start + 60 * SECOND), Share::Within);
}

#[test]
fn retry_budget() {
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
