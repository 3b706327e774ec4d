//! A plain service under more load than it can serve in time.

use std::time;

use rhubarb_core::{load, queueing};

const MILLI: time::Duration = time::Duration::from_millis(1);

fn load(waiting: u32) -> load::Load {
    load::Load { slots: 6, held: 6, waiting, ..load::Load::default() }
}

#[test]
fn nothing_known() {
    assert_eq!(queueing::Queueing::default().limit(6, 300 * MILLI), None);
}

#[test]
fn limit_by_target() {
    let mut queueing = queueing::Queueing::default();
    for _ in 0..100 {
        queueing.learn(60 * MILLI, load(0));
    }
    assert_eq!(queueing.limit(6, 300 * MILLI), Some(24));
    assert_eq!(queueing.limit(6, 1_500 * MILLI), Some(120));
    assert_eq!(queueing.limit(6, 10 * MILLI), Some(6), "a free server takes it");
}

#[test]
fn queues_teach_nothing() {
    // In a burst the answers are slow since many wait, not since the work grew.
    let mut queueing = queueing::Queueing::default();
    queueing.learn(60 * MILLI, load(0));
    for _ in 0..100 {
        queueing.learn(900 * MILLI, load(20));
    }
    assert_eq!(queueing.limit(6, 300 * MILLI), Some(24));
}

#[test]
fn burst_in_time() {
    // Twice the load that six slots of 60 ms can carry, for five seconds: those who are let in
    // are served in time, and no slot is idle.
    let mut queueing = queueing::Queueing::default();
    queueing.learn(60 * MILLI, load(0));
    let limit = queueing.limit(6, 300 * MILLI).unwrap() as usize;
    let mut ends: Vec<u64> = Vec::new();
    let (mut served, mut late) = (0, 0);
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
        late += usize::from(start + 60 - at > 300);
    }
    assert_eq!(late, 0);
    assert!(served >= 500, "six slots finish one request every 10 ms: {served}");
}
