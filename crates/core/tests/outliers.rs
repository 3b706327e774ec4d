//! Ejection of servers that fail far more of their requests than the others.

use std::time;

use rhubarb_core::{load, pool};

const SECOND: time::Duration = time::Duration::from_secs(1);

fn pool(count: usize, now: time::Instant) -> pool::Pool {
    let mut pool = pool::Pool::new("hall-a".into());
    for number in 0..count {
        let name = format!("s-{number}");
        pool.add(&name, "hall-a");
        pool.update_load(&name, load::Load { slots: 6, ..load::Load::default() }, now);
    }
    pool
}

// Records `count` answers of a server, of which each `every`th is a failure.
fn record_answers(pool: &mut pool::Pool, name: &str, count: u32, every: u32, now: time::Instant) {
    for number in 0..count {
        pool.record_answer(name, number % every == every - 1, now);
    }
}

fn healthy(pool: &pool::Pool, now: time::Instant) -> Vec<String> {
    pool.candidates(&[], |_| true, now).into_iter().cloned().collect()
}

#[test]
fn outlier_ejected() {
    let now = time::Instant::now();
    let mut pool = pool(3, now);
    for name in ["s-0", "s-1"] {
        record_answers(&mut pool, name, 30, 7, now);
    }
    record_answers(&mut pool, "s-2", 30, 2, now);
    assert_eq!(healthy(&pool, now), ["s-0", "s-1"]);
    assert_eq!(healthy(&pool, now + 6 * SECOND).len(), 3, "the ejection has expired");
}

#[test]
fn equal_low_rates() {
    // Some requests fail at every server, which makes none of them an outlier.
    let now = time::Instant::now();
    let mut pool = pool(3, now);
    for _ in 0..20 {
        for name in ["s-0", "s-1", "s-2"] {
            record_answers(&mut pool, name, 7, 7, now);
        }
    }
    assert_eq!(healthy(&pool, now).len(), 3);
}

#[test]
fn equal_high_rates() {
    let now = time::Instant::now();
    let mut pool = pool(3, now);
    for _ in 0..30 {
        for name in ["s-0", "s-1", "s-2"] {
            record_answers(&mut pool, name, 2, 2, now);
        }
    }
    assert_eq!(healthy(&pool, now).len(), 3);
}

#[test]
fn ejections_limited() {
    let now = time::Instant::now();
    let mut pool = pool(6, now);
    for name in ["s-0", "s-1", "s-2", "s-3"] {
        record_answers(&mut pool, name, 30, 20, now);
    }
    for name in ["s-4", "s-5", "s-3"] {
        record_answers(&mut pool, name, 60, 1, now);
    }
    assert!(healthy(&pool, now).len() >= 4, "at most a third is ejected");
}

#[test]
fn few_answers() {
    let now = time::Instant::now();
    let mut pool = pool(3, now);
    for name in ["s-0", "s-1"] {
        record_answers(&mut pool, name, 30, 20, now);
    }
    record_answers(&mut pool, "s-2", 5, 1, now);
    assert_eq!(healthy(&pool, now).len(), 3);
}
