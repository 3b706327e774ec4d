//! Decode rooms: reservations, their queue, and that every room comes back.

mod random;

use std::{collections, time};

use proptest::prelude::*;

use rhubarb_core::slots;

const HOLD: time::Duration = time::Duration::from_secs(5);
const SECOND: time::Duration = time::Duration::from_secs(1);

#[test]
fn earliest_first() {
    let now = time::Instant::now();
    let mut rooms = slots::Slots::new(1, 8, HOLD);
    assert_eq!(rooms.request(1, now + SECOND, now), slots::Answer::Granted);
    assert_eq!(rooms.request(2, now + 9 * SECOND, now), slots::Answer::Queued);
    assert_eq!(rooms.request(3, now + 4 * SECOND, now), slots::Answer::Queued);
    assert_eq!(rooms.next_grant(now), None);
    rooms.release(1, now);
    assert_eq!(rooms.next_grant(now), Some(3));
    assert_eq!(rooms.next_grant(now), None);
}

#[test]
fn refuses_early() {
    let now = time::Instant::now();
    let mut rooms = slots::Slots::new(1, 8, HOLD);
    rooms.request(1, now + SECOND, now);
    let answer = rooms.request(2, now + SECOND / 10, now);
    let slots::Answer::Refused(refusal) = answer else { panic!("{answer:?}") };
    assert!(refusal.retry.is_some_and(|retry| !retry.is_zero()), "told when to come back");
}

#[test]
fn refuses_overflow() {
    let now = time::Instant::now();
    let mut rooms = slots::Slots::new(1, 2, HOLD);
    for run in 1..=3 {
        let answer = rooms.request(run, now + 60 * SECOND, now);
        assert!(!matches!(answer, slots::Answer::Refused(_)));
    }
    assert!(matches!(rooms.request(4, now + 60 * SECOND, now), slots::Answer::Refused(_)));
}

#[test]
fn drops_unused() {
    let now = time::Instant::now();
    let mut rooms = slots::Slots::new(1, 8, HOLD);
    rooms.request(1, now + SECOND, now);
    rooms.request(2, now + 2 * SECOND, now);
    assert_eq!(rooms.next_expired(now + HOLD / 2).map(|(run, _)| run), Some(2));
    assert_eq!(rooms.next_expired(now + 2 * HOLD).map(|(run, _)| run), Some(1));
    assert!(!rooms.claim(1), "too late to take it up");
}

#[test]
fn keeps_taken() {
    let now = time::Instant::now();
    let mut rooms = slots::Slots::new(1, 8, HOLD);
    rooms.request(1, now + SECOND, now);
    assert!(rooms.claim(1));
    assert_eq!(rooms.next_expired(now + 100 * HOLD), None);
}

#[derive(Clone, Debug)]
enum Op {
    Ask { run: u128, wait: u64 },
    TakeUp(u128),
    Release(u128),
    Grant,
    Expire,
    Advance(u64),
}

fn op() -> impl Strategy<Value = Op> {
    let run = || 0..40u128;
    prop_oneof![
        (run(), 0..4000u64).prop_map(|(run, wait)| Op::Ask { run, wait }),
        run().prop_map(Op::TakeUp),
        run().prop_map(Op::Release),
        Just(Op::Grant),
        Just(Op::Expire),
        (0..3000u64).prop_map(Op::Advance),
    ]
}

proptest! {
    #![proptest_config(random::config(2000))]

    #[test]
    fn all_come_back(ops in prop::collection::vec(op(), 1..200)) {
        let mut rooms = slots::Slots::new(3, 5, HOLD);
        let mut now = time::Instant::now();
        let mut asked = collections::BTreeSet::new();
        for op in ops {
            match op {
                Op::Ask { run, wait } if asked.insert(run) => {
                    rooms.request(run, now + time::Duration::from_millis(wait), now);
                }
                Op::Ask { .. } => {}
                Op::TakeUp(run) => {
                    rooms.claim(run);
                }
                Op::Release(run) => rooms.release(run, now),
                Op::Grant => {
                    rooms.next_grant(now);
                }
                Op::Expire => {
                    rooms.next_expired(now);
                }
                Op::Advance(millis) => now += time::Duration::from_millis(millis),
            }
            let load = rooms.load(now);
            prop_assert!(load.held <= 3, "over capacity: {}", load.held);
            prop_assert!(load.waiting <= 5, "over the queue's limit: {}", load.waiting);
        }
        for run in asked {
            rooms.release(run, now);
        }
        prop_assert_eq!((rooms.load(now).held, rooms.load(now).waiting), (0, 0));
    }
}
