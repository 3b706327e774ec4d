//! Choice of servers: load, zones, health, and the bounded subset that an entry follows.

use std::{collections, time};

use rhubarb_core::{ids, load, outcome, pool, subset};

use outcome::Reason;

const SECOND: time::Duration = time::Duration::from_secs(1);

fn pool(count: usize, now: time::Instant) -> pool::Pool {
    let mut pool = pool::Pool::new("zone-1".into());
    pool.set_tuning(pool::Tuning {
        suspect_after: Some(3 * SECOND),
        backoff: true,
        by_time: false,
    });
    for number in 0..count {
        let name = format!("s-{number}");
        pool.add(&name, "zone-1");
        pool.update_load(&name, load(0), now);
    }
    pool
}

fn load(held: u32) -> load::Load {
    load::Load { slots: 20, held, ..load::Load::default() }
}

/// Number of times that each server is chosen in 2,000 choices, by name.
fn counts(pool: &pool::Pool, tried: &[ids::ServerName], now: time::Instant) -> Vec<usize> {
    let mut counts = collections::BTreeMap::new();
    for number in 0..2000u64 {
        let random = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let criteria = pool::Criteria { tried, affinity: None, random, by_work: false };
        if let Some(name) = pool.pick(criteria, now) {
            *counts.entry(name).or_insert(0) += 1;
        }
    }
    let names = pool.names();
    names.map(|name| counts.get(name).copied().unwrap_or(0)).collect()
}

#[test]
fn least_loaded() {
    let now = time::Instant::now();
    let mut pool = pool(3, now);
    pool.update_load("s-0", load(20), now);
    let counts = counts(&pool, &[], now);
    assert_eq!(counts[0], 0, "compared with a different server each time: {counts:?}");
}

#[test]
fn own_requests_count() {
    let now = time::Instant::now();
    let mut pool = pool(2, now);
    for _ in 0..10 {
        pool.record_sent("s-0", time::Duration::ZERO);
    }
    let counts = counts(&pool, &[], now);
    assert!(counts[0] < counts[1], "ten requests sent since the report: {counts:?}");
}

#[test]
fn local_zone_preferred() {
    let now = time::Instant::now();
    let mut pool = pool(2, now);
    pool.add("s-1", "zone-2");
    let counts = counts(&pool, &[], now);
    assert!(counts[1] * 2 < counts[0], "{counts:?}");
}

#[test]
fn leaving_excluded() {
    let now = time::Instant::now();
    let mut pool = pool(2, now);
    pool.record_outcome("s-0", pool::ServerOutcome::Failure(Reason::Leaving), now);
    assert_eq!(counts(&pool, &[], now)[0], 0);
    pool.set_leaving("s-1", true);
    assert_eq!(counts(&pool, &[], now), [0, 0]);
}

#[test]
fn ejected_as_fallback() {
    let now = time::Instant::now();
    let mut pool = pool(2, now);
    for name in ["s-0", "s-1"] {
        pool.record_outcome(name, pool::ServerOutcome::Failure(Reason::NoServer), now);
    }
    assert!(counts(&pool, &[], now).iter().all(|count| *count > 0), "all are ejected");
    let tried = ["s-0".to_string(), "s-1".to_string()];
    assert!(counts(&pool, &tried, now).iter().sum::<usize>() > 0, "all were tried");
}

#[test]
fn ejection_doubles() {
    let now = time::Instant::now();
    let mut pool = pool(2, now);
    pool.record_outcome("s-0", pool::ServerOutcome::Failure(Reason::Evicted), now);
    pool.update_load("s-1", load(0), now + 4 * SECOND);
    assert_eq!(counts(&pool, &[], now + 4 * SECOND)[0], 0);
    let later = now + 6 * SECOND;
    for name in ["s-0", "s-1"] {
        pool.update_load(name, load(0), later);
    }
    assert!(counts(&pool, &[], later)[0] > 0);
    pool.record_outcome("s-0", pool::ServerOutcome::Failure(Reason::Evicted), later);
    for name in ["s-0", "s-1"] {
        pool.update_load(name, load(0), later + 8 * SECOND);
    }
    assert_eq!(
        counts(&pool, &[], later + 8 * SECOND)[0],
        0,
        "the second ejection lasts twice as long"
    );
}

#[test]
fn unresponsive_suspected() {
    let now = time::Instant::now();
    let mut pool = pool(2, now);
    let later = now + 4 * SECOND;
    pool.update_load("s-1", load(19), later);
    assert_eq!(counts(&pool, &[], later)[0], 0, "the server stopped reporting");
}

#[test]
fn followers_spread() {
    let candidates: Vec<_> = (0..300)
        .map(|number| subset::Candidate {
            name: format!("s-{number}"),
            zone: format!("zone-{}", number % 3),
        })
        .collect();
    let mut followers: collections::BTreeMap<ids::ServerName, usize> =
        candidates.iter().map(|candidate| (candidate.name.clone(), 0)).collect();
    for entry in 0..300 {
        let zone = format!("zone-{}", entry % 3);
        let chosen = subset::choose(&format!("entry-{entry}"), &zone, &candidates, 12);
        assert_eq!(chosen.len(), 12);
        for name in chosen {
            *followers.get_mut(&name).unwrap() += 1;
        }
    }
    let (least, most) = (followers.values().min().unwrap(), followers.values().max().unwrap());
    assert!(*least >= 1 && *most <= 30, "12 on average, {least} to {most}");
    let small = subset::choose("entry-1", "zone-9", &candidates[..3], 12);
    assert_eq!(small.len(), 3, "all servers of a small pool are followed");
}

#[test]
fn subset_stable() {
    let candidate =
        |number: usize| subset::Candidate { name: format!("s-{number}"), zone: "zone-1".into() };
    let all: Vec<_> = (0..100).map(candidate).collect();
    let before = subset::choose("entry-1", "zone-1", &all, 12);
    let after = subset::choose("entry-1", "zone-1", &all[..99], 12);
    let kept = after.iter().filter(|name| before.contains(name)).count();
    assert!(kept >= 11, "one server was removed, {kept} of 12 remain");
}

#[test]
fn traffic_bounded() {
    for followed in [1, 10, 216, 5000] {
        let bytes = followed as f64 * 150.0 / subset::period(followed).as_secs_f64();
        assert!(bytes <= 4_001.0, "{followed} servers: {bytes} bytes a second");
    }
}

#[test]
fn load_estimated() {
    let now = time::Instant::now();
    let mut pool = pool(1, now);
    pool.update_load("s-0", load(3), now);
    pool.record_sent("s-0", time::Duration::ZERO);
    let estimate = pool.estimate("s-0", now + SECOND).unwrap();
    assert_eq!(
        (estimate.busy, estimate.age),
        (4, SECOND),
        "the reported requests and those sent since"
    );
    assert_eq!(pool.estimate("s-9", now), None);
}
