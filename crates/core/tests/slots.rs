//! Slots: reservations and the queue for them; every slot is freed in the end.

mod random;

use std::{collections, time};

use proptest::prelude::*;

use rhubarb_core::slots;

const RESERVATION_TIMEOUT: time::Duration = time::Duration::from_secs(5);
const SECOND: time::Duration = time::Duration::from_secs(1);

#[test]
fn earliest_deadline_first() {
    let now = time::Instant::now();
    let mut slots = slots::Slots::new(1, 8, RESERVATION_TIMEOUT);
    assert_eq!(slots.request(1, now + SECOND, now), slots::Answer::Granted);
    assert_eq!(slots.request(2, now + 9 * SECOND, now), slots::Answer::Queued);
    assert_eq!(slots.request(3, now + 4 * SECOND, now), slots::Answer::Queued);
    assert_eq!(slots.next_grant(now), None);
    slots.release(1, now);
    assert_eq!(slots.next_grant(now), Some(3));
    assert_eq!(slots.next_grant(now), None);
}

#[test]
fn long_wait_refused() {
    let now = time::Instant::now();
    let mut slots = slots::Slots::new(1, 8, RESERVATION_TIMEOUT);
    slots.request(1, now + SECOND, now);
    let answer = slots.request(2, now + SECOND / 10, now);
    let slots::Answer::Refused(refusal) = answer else { panic!("{answer:?}") };
    assert!(
        refusal.retry.is_some_and(|retry| !retry.is_zero()),
        "the refusal carries a retry time"
    );
}

#[test]
fn full_queue_refused() {
    let now = time::Instant::now();
    let mut slots = slots::Slots::new(1, 2, RESERVATION_TIMEOUT);
    for run in 1..=3 {
        let answer = slots.request(run, now + 60 * SECOND, now);
        assert!(!matches!(answer, slots::Answer::Refused(_)));
    }
    assert!(matches!(slots.request(4, now + 60 * SECOND, now), slots::Answer::Refused(_)));
}

#[test]
fn unclaimed_dropped() {
    let now = time::Instant::now();
    let mut slots = slots::Slots::new(1, 8, RESERVATION_TIMEOUT);
    slots.request(1, now + SECOND, now);
    slots.request(2, now + 2 * SECOND, now);
    assert_eq!(slots.next_expired(now + RESERVATION_TIMEOUT / 2).map(|(run, _)| run), Some(2));
    assert_eq!(slots.next_expired(now + 2 * RESERVATION_TIMEOUT).map(|(run, _)| run), Some(1));
    assert!(!slots.claim(1), "the reservation was dropped");
}

#[test]
fn claimed_kept() {
    let now = time::Instant::now();
    let mut slots = slots::Slots::new(1, 8, RESERVATION_TIMEOUT);
    slots.request(1, now + SECOND, now);
    assert!(slots.claim(1));
    assert_eq!(slots.next_expired(now + 100 * RESERVATION_TIMEOUT), None);
}

#[derive(Clone, Debug)]
enum Op {
    Request { run: u128, wait: u64 },
    Claim(u128),
    Release(u128),
    Grant,
    Expire,
    Advance(u64),
}

fn op() -> impl Strategy<Value = Op> {
    let run = || 0..40u128;
    prop_oneof![
        (run(), 0..4000u64).prop_map(|(run, wait)| Op::Request { run, wait }),
        run().prop_map(Op::Claim),
        run().prop_map(Op::Release),
        Just(Op::Grant),
        Just(Op::Expire),
        (0..3000u64).prop_map(Op::Advance),
    ]
}

proptest! {
    #![proptest_config(random::config(2000))]

    #[test]
    fn all_slots_freed(ops in prop::collection::vec(op(), 1..200)) {
        let mut slots = slots::Slots::new(3, 5, RESERVATION_TIMEOUT);
        let mut now = time::Instant::now();
        let mut requested = collections::BTreeSet::new();
        for op in ops {
            match op {
                Op::Request { run, wait } if requested.insert(run) => {
                    slots.request(run, now + time::Duration::from_millis(wait), now);
                }
                Op::Request { .. } => {}
                Op::Claim(run) => {
                    slots.claim(run);
                }
                Op::Release(run) => slots.release(run, now),
                Op::Grant => {
                    slots.next_grant(now);
                }
                Op::Expire => {
                    slots.next_expired(now);
                }
                Op::Advance(millis) => now += time::Duration::from_millis(millis),
            }
            let load = slots.load(now);
            prop_assert!(load.held <= 3, "over capacity: {}", load.held);
            prop_assert!(load.waiting <= 5, "over the queue's limit: {}", load.waiting);
        }
        for run in requested {
            slots.release(run, now);
        }
        prop_assert_eq!((slots.load(now).held, slots.load(now).waiting), (0, 0));
    }
}
