//! Servers that fail part of their requests while all else looks well.

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

// Every `every`th answer of a server is a failure.
fn answer(pool: &mut pool::Pool, name: &str, count: u32, every: u32, now: time::Instant) {
    for number in 0..count {
        pool.record_answer(name, number % every == every - 1, now);
    }
}

fn sound(pool: &pool::Pool, now: time::Instant) -> Vec<String> {
    pool.candidates(&[], |_| true, now).into_iter().cloned().collect()
}

#[test]
fn grey_left_out() {
    let now = time::Instant::now();
    let mut pool = pool(3, now);
    for name in ["s-0", "s-1"] {
        answer(&mut pool, name, 30, 7, now);
    }
    answer(&mut pool, "s-2", 30, 2, now);
    assert_eq!(sound(&pool, now), ["s-0", "s-1"]);
    assert_eq!(sound(&pool, now + 6 * SECOND).len(), 3, "it is tried again");
}

#[test]
fn usual_failures() {
    // Some requests fail wherever they run; that says nothing of a server.
    let now = time::Instant::now();
    let mut pool = pool(3, now);
    for _ in 0..20 {
        for name in ["s-0", "s-1", "s-2"] {
            answer(&mut pool, name, 7, 7, now);
        }
    }
    assert_eq!(sound(&pool, now).len(), 3);
}

#[test]
fn all_fail_alike() {
    let now = time::Instant::now();
    let mut pool = pool(3, now);
    for _ in 0..30 {
        for name in ["s-0", "s-1", "s-2"] {
            answer(&mut pool, name, 2, 2, now);
        }
    }
    assert_eq!(sound(&pool, now).len(), 3);
}

#[test]
fn most_stay() {
    let now = time::Instant::now();
    let mut pool = pool(6, now);
    for name in ["s-0", "s-1", "s-2", "s-3"] {
        answer(&mut pool, name, 30, 20, now);
    }
    for name in ["s-4", "s-5", "s-3"] {
        answer(&mut pool, name, 60, 1, now);
    }
    assert!(sound(&pool, now).len() >= 4, "no more than a third is left out");
}

#[test]
fn few_answers() {
    let now = time::Instant::now();
    let mut pool = pool(3, now);
    for name in ["s-0", "s-1"] {
        answer(&mut pool, name, 30, 20, now);
    }
    answer(&mut pool, "s-2", 5, 1, now);
    assert_eq!(sound(&pool, now).len(), 3);
}
