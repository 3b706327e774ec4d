//! Leases: a single holder, increasing fencing numbers, and holders that were suspended.

mod random;

use std::time;

use proptest::prelude::*;
use rhubarb_core::{lease, stamp};

const LENGTH: time::Duration = time::Duration::from_secs(3);

fn at(millis: u64) -> lease::BootTime {
    lease::BootTime::from_millis(millis)
}

fn version(number: u64) -> stamp::Stamp {
    stamp::Stamp::new(0, number)
}

fn candidate(name: &str) -> lease::Lease {
    lease::Lease::new(name.into(), LENGTH)
}

#[test]
fn absent_row() {
    let mut lease = candidate("a");
    assert!(lease.observe(lease::Row { version: version(0), holder: "" }, at(0)));
    lease.acquired(version(7), at(1));
    assert_eq!(lease.fence(at(100)), Some(7));
    assert_eq!(lease.fence(at(3_000)), None, "long before another candidate can take it over");
}

#[test]
fn takeover_delayed() {
    let mut lease = candidate("b");
    let row = lease::Row { version: version(7), holder: "a" };
    assert!(!lease.observe(row, at(0)));
    assert!(!lease.observe(row, at(3_000)));
    assert!(lease.observe(row, at(3_600)));
    let renewed = lease::Row { version: version(9), holder: "a" };
    assert!(!lease.observe(renewed, at(3_700)), "the holder renewed it");
    assert!(!lease.observe(renewed, at(7_000)));
}

#[test]
fn suspended_holder() {
    // The clock goes on during a suspension, so a holder does not act on an old lease after one.
    let mut lease = candidate("a");
    lease.acquired(version(7), at(0));
    assert_eq!(lease.fence(at(4_000)), None);
    assert!(!lease.observe(lease::Row { version: version(9), holder: "b" }, at(4_000)));
    assert_eq!(lease.fence(at(4_001)), None);
}

#[test]
fn refused_fence() {
    let mut lease = candidate("a");
    lease.acquired(version(7), at(0));
    lease.lost();
    assert_eq!(lease.fence(at(1)), None);
}

proptest! {
    #![proptest_config(random::config(256))]

    // Candidates act at random, are suspended, and lose the answers to their writes. A holder may
    // act for 1.2 s after a renewal, so actions of different candidates must be at least the
    // lease's length less 1.2 s apart. Fencing numbers never decrease.
    #[test]
    fn one_holder(steps in proptest::collection::vec((0usize..3, 0u64..1500, 0u8..4), 1..300)) {
        let names = ["a", "b", "c"];
        let mut leases: Vec<_> = names.iter().map(|name| candidate(name)).collect();
        let (mut number, mut holder) = (0, String::new());
        let mut acted: Option<(usize, u64, u64)> = None;
        let mut now = 0;
        for (candidate, pause, kind) in steps {
            now += pause;
            let lease = &mut leases[candidate];
            // Of the four kinds of step, 0 does not acquire the lease, and 1 loses the answer.
            if lease.fence(at(now)).is_none() && kind != 0 {
                let row = lease::Row { version: version(number), holder: &holder };
                if lease.observe(row, at(now)) {
                    number += 1;
                    holder = names[candidate].to_string();
                    if kind != 1 {
                        lease.acquired(version(number), at(now));
                    }
                }
            }
            let Some(fence) = lease.fence(at(now)) else { continue };
            if let Some((other, then, old)) = acted {
                prop_assert!(fence >= old, "{fence} after {old}");
                let is_takeover = other != candidate;
                prop_assert!(!is_takeover || now >= then + LENGTH.as_millis() as u64 - 1_200,
                    "{other} at {then}, {candidate} at {now}");
            }
            acted = Some((candidate, now, fence));
        }
    }
}
