//! Choice among plain servers that differ in speed, by nature or for a moment.

use std::{collections, time};

use rhubarb_core::{load, outcome, pool};

const MILLI: time::Duration = time::Duration::from_millis(1);
const SLOTS: u32 = 6;
/// Usual time of an answer.
const USUAL: time::Duration = time::Duration::from_millis(40);

fn report(held: u32, waiting: u32, pace: f64) -> load::Report {
    load::Report::new(load::Load { slots: SLOTS, held, waiting, ..load::Load::default() }, pace)
}

/// Three servers that answer in these times, all idle `now`.
fn pool(times: [time::Duration; 3], now: time::Instant) -> pool::Pool {
    let mut pool = pool::Pool::new("zone-1".into());
    pool.set_tuning(pool::Tuning { suspect_after: None, backoff: true, by_time: true });
    for number in 0..times.len() {
        pool.add(&format!("s-{number}"), "zone-1");
    }
    for _ in 0..100 {
        for (number, time) in times.iter().enumerate() {
            pool.record_report(&format!("s-{number}"), report(0, 0, 1.0), Some(*time), now);
        }
    }
    pool
}

/// Share of 2,000 choices that each server gets, by name.
fn shares(pool: &pool::Pool, now: time::Instant) -> [f64; 3] {
    let mut counts = collections::BTreeMap::new();
    for number in 0..2_000u64 {
        let random = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let criteria = pool::Criteria { tried: &[], affinity: None, random, by_work: false };
        *counts.entry(pool.pick(criteria, now).unwrap()).or_insert(0) += 1;
    }
    ["s-0", "s-1", "s-2"].map(|name| f64::from(*counts.get(name).unwrap_or(&0)) / 2_000.0)
}

/// Servers whose answers differ by less than requests do are alike.
#[test]
fn alike_servers() {
    let now = time::Instant::now();
    let pool = pool([USUAL, USUAL.mul_f64(1.2), USUAL.mul_f64(0.85)], now);
    for share in shares(&pool, now) {
        assert!((0.25..0.42).contains(&share), "{share}");
    }
}

#[test]
fn slow_by_nature() {
    let now = time::Instant::now();
    let mut pool = pool([2 * USUAL, USUAL, USUAL], now);
    assert!(pool.pace("s-0", now) > 1.3, "{}", pool.pace("s-0", now));
    assert_eq!(shares(&pool, now)[0], 0.0, "idle fast servers answer sooner");
    // At the fast ones there is a queue by now.
    pool.record_report("s-1", report(6, 6, 1.0), None, now);
    pool.record_report("s-2", report(6, 6, 1.0), None, now);
    assert!(shares(&pool, now)[0] > 0.5, "the slow server is not left idle");
}

/// A server that its neighbours slow down gets less until its report is old.
#[test]
fn noisy_neighbour() {
    let now = time::Instant::now();
    let mut pool = pool([USUAL; 3], now);
    pool.record_report("s-0", report(0, 0, 2.5), None, now);
    for name in ["s-1", "s-2"] {
        pool.record_report(name, report(3, 0, 1.0), None, now);
    }
    assert_eq!(shares(&pool, now)[0], 0.0);
    assert!(pool.pace("s-0", now + 600 * MILLI) < 1.1);
}

/// A slow moment is no slow server.
#[test]
fn slow_moments() {
    let now = time::Instant::now();
    let mut pool = pool([USUAL; 3], now);
    for _ in 0..50 {
        pool.record_report("s-0", report(0, 0, 2.5), Some(USUAL.mul_f64(2.5)), now);
    }
    assert!((pool.pace("s-0", now + 5_000 * MILLI) - 1.0).abs() < 1e-6);
}

/// Time in a queue does not make a server slow.
#[test]
fn queues_are_no_speed() {
    let now = time::Instant::now();
    let mut pool = pool([USUAL; 3], now);
    for _ in 0..50 {
        pool.record_report("s-0", report(6, 12, 1.0), Some(10 * USUAL), now);
    }
    assert_eq!(pool.pace("s-0", now), 1.0);
}

/// Few answers say little about a server.
#[test]
fn new_server() {
    let now = time::Instant::now();
    let mut pool = pool([USUAL; 3], now);
    pool.add("s-3", "zone-1");
    assert_eq!(pool.pace("s-3", now), 1.0);
    pool.record_report("s-3", report(0, 0, 1.0), Some(3 * USUAL), now);
    assert_eq!(pool.pace("s-3", now), 1.0);
}

/// An entry that has heard nothing since a burst does not go on to believe in its queues.
#[test]
fn old_queue() {
    let now = time::Instant::now();
    let mut pool = pool([USUAL; 3], now);
    pool.record_report("s-0", report(6, 20, 1.0), None, now);
    assert_eq!(pool.busy("s-0", now), 26);
    assert!(pool.busy("s-0", now + 800 * MILLI) < 12);
    assert_eq!(pool.busy("s-0", now + 4_000 * MILLI), 0);
    // Its own requests are known.
    for _ in 0..7 {
        pool.record_sent("s-0", time::Duration::ZERO);
    }
    assert_eq!(pool.busy("s-0", now + 4_000 * MILLI), 7);
}

/// Servers of the own path tell their load each second; it counts in full until the next report.
#[test]
fn counted_servers() {
    let now = time::Instant::now();
    let mut pool = pool([USUAL; 3], now);
    pool.set_tuning(pool::Tuning { suspect_after: None, backoff: true, by_time: false });
    pool.record_report("s-0", report(6, 20, 2.5), None, now);
    assert_eq!(pool.busy("s-0", now + 2_000 * MILLI), 26);
}

/// Guards against a server that is avoided because its first answers were late by milliseconds.
#[test]
fn late_milliseconds() {
    let now = time::Instant::now();
    let mut pool = pool([MILLI, MILLI, MILLI], now);
    pool.add("s-3", "zone-1");
    for late in [3, 5] {
        pool.record_report("s-3", report(0, 0, 1.0), Some(late * MILLI), now);
    }
    assert_eq!(pool.pace("s-3", now), 1.0);
}

/// Guards against a server that is avoided for good because one of its first answers was late.
#[test]
fn one_late() {
    let now = time::Instant::now();
    let mut pool = pool([MILLI, MILLI, MILLI], now);
    pool.add("s-3", "zone-1");
    pool.record_report("s-3", report(0, 0, 1.0), Some(16 * MILLI), now);
    assert_eq!(pool.pace("s-3", now), 1.0);
}

// Guards against servers that count as full for good after they were silent: requests that ended without an
// answer were kept as sent, and nothing was sent any more that could bring a report (review case 3).
#[test]
fn silence_ends() {
    let start = time::Instant::now();
    let mut pool = pool::Pool::new("hall-a".to_string());
    pool.set_tuning(pool::Tuning { suspect_after: None, backoff: true, by_time: true });
    pool.add("s-0", "hall-a");
    let load = load::Load { slots: 6, held: 1, ..load::Load::default() };
    let usual = time::Duration::from_millis(30);
    pool.record_report("s-0", load::Report::new(load, 1.0), Some(usual), start);
    for _ in 0..40 {
        pool.record_sent("s-0", time::Duration::ZERO);
    }
    assert_eq!(pool.busy("s-0", start), 41);
    let silent = pool::ServerOutcome::Failure(outcome::Reason::EngineSilent);
    let later = start + time::Duration::from_secs(3);
    for left in (0..40).rev() {
        pool.record_end("s-0", silent, later);
        assert_eq!(pool.busy("s-0", later), left, "those in flight count");
    }
}
