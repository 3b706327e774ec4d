//! Queue limit of a plain service that is overloaded.

use std::time;

use rhubarb_core::{load, queue_limit};

const MILLI: time::Duration = time::Duration::from_millis(1);

fn load(waiting: u32) -> load::Load {
    load::Load { slots: 6, held: 6, waiting, ..load::Load::default() }
}

#[test]
fn no_samples() {
    assert_eq!(queue_limit::QueueLimit::default().limit(6, 300 * MILLI), None);
}

#[test]
fn limit_by_target() {
    let mut queue = queue_limit::QueueLimit::default();
    for _ in 0..100 {
        queue.record(60 * MILLI, load(0));
    }
    assert_eq!(queue.limit(6, 300 * MILLI), Some(24));
    assert_eq!(queue.limit(6, 1_500 * MILLI), Some(120));
    assert_eq!(queue.limit(6, 10 * MILLI), Some(6), "free slots are used");
}

#[test]
fn queueing_ignored() {
    // In a burst answers are slow because of queueing, not because the service time grew.
    let mut queue = queue_limit::QueueLimit::default();
    queue.record(60 * MILLI, load(0));
    for _ in 0..100 {
        queue.record(900 * MILLI, load(20));
    }
    assert_eq!(queue.limit(6, 300 * MILLI), Some(24));
}

#[test]
fn burst_within_target() {
    // For five seconds, twice the capacity of six slots of 60 ms: admitted requests are served
    // within the target, and no slot is idle.
    let mut queue = queue_limit::QueueLimit::default();
    queue.record(60 * MILLI, load(0));
    let limit = queue.limit(6, 300 * MILLI).unwrap() as usize;
    let mut ends: Vec<u64> = Vec::new();
    let (mut served, mut overdue) = (0, 0);
    for at in (0..5_000).step_by(5) {
        ends.retain(|end| *end > at);
        if ends.len() >= limit {
            continue;
        }
        let mut running = ends.clone();
        running.sort_unstable();
        let start = if running.len() < 6 { at } else { running[running.len() - 6] };
        ends.push(start + 60);
        served += 1;
        overdue += usize::from(start + 60 - at > 300);
    }
    assert_eq!(overdue, 0);
    assert!(served >= 500, "six slots finish one request every 10 ms: {served}");
}
