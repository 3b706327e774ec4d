//! What an entry knows about servers that leave, and what may undo it.

use std::time;

use rhubarb_core::{load, pool};

const SECOND: time::Duration = time::Duration::from_secs(1);
const OLD: u64 = 7;
const NEW: u64 = 8;

fn pool() -> pool::Pool {
    let mut pool = pool::Pool::new("zone-1".into());
    pool.add("s-1", "zone-1");
    pool
}

fn load(leaving: bool) -> load::Load {
    load::Load { slots: 20, leaving, ..load::Load::default() }
}

fn is_chosen(pool: &pool::Pool, now: time::Instant) -> bool {
    let criteria = pool::Criteria { tried: &[], affinity: None, random: 0, by_work: false };
    pool.pick(criteria, now).is_some()
}

// Guards against a load report that undoes what the platform's list says.
#[test]
fn listed_leaving() {
    let now = time::Instant::now();
    let mut pool = pool();
    pool.set_listed_leaving("s-1", true);
    pool.update_report("s-1", OLD, load(false), now);
    assert!(pool.is_leaving("s-1") && !is_chosen(&pool, now));
    assert_eq!(pool.usable_count(now), 0);
    pool.set_listed_leaving("s-1", false);
    assert!(!pool.is_leaving("s-1") && is_chosen(&pool, now));
}

// Guards against a report that was written before the agent left and comes after it said so.
#[test]
fn late_report() {
    let now = time::Instant::now();
    for is_refusal in [false, true] {
        let mut pool = pool();
        pool.update_report("s-1", OLD, load(false), now);
        if is_refusal {
            pool.record_leaving("s-1", OLD);
        } else {
            pool.update_report("s-1", OLD, load(true), now);
        }
        assert!(!is_chosen(&pool, now));
        pool.update_report("s-1", OLD, load(false), now + SECOND);
        assert!(!is_chosen(&pool, now + SECOND));
        assert_eq!(pool.usable_count(now + SECOND), 0);
    }
}

// A list that says that the server stays does not undo what its agent said.
#[test]
fn agent_kept() {
    let now = time::Instant::now();
    let mut pool = pool();
    pool.update_report("s-1", OLD, load(true), now);
    pool.set_listed_leaving("s-1", false);
    assert!(!is_chosen(&pool, now));
}

#[test]
fn agent_restarted() {
    let now = time::Instant::now();
    let mut pool = pool();
    pool.update_report("s-1", OLD, load(true), now);
    pool.update_report("s-1", NEW, load(false), now + SECOND);
    assert!(is_chosen(&pool, now + SECOND));
}
