//! Leases in a store that is restored from a copy: lost rows, versions that are given out again,
//! late writes, and candidates that do not see the change.

mod random;

use std::time;

use proptest::prelude::*;
use rhubarb_core::{lease, stamp};

const LENGTH: time::Duration = time::Duration::from_secs(3);

fn at(millis: u64) -> lease::BootTime {
    lease::BootTime::from_millis(millis)
}

fn row(era: u64, version: u64, holder: &str) -> lease::Row<'_> {
    lease::Row { version: stamp::Stamp::new(era, version), holder }
}

fn candidate(name: &str) -> lease::Lease {
    lease::Lease::new(name.into(), LENGTH)
}

// Guards against a second leader: the store was restored without the row of the first one.
#[test]
fn row_lost() {
    let mut lease = candidate("b");
    assert!(lease.observe(row(0, 0, ""), at(0)));
    assert!(!lease.observe(row(1, 0, ""), at(1_000)));
    assert!(!lease.observe(row(1, 0, ""), at(4_400)));
    assert!(lease.observe(row(1, 0, ""), at(4_500)));
}

#[test]
fn holder_stops() {
    let mut lease = candidate("a");
    assert!(lease.observe(row(0, 0, ""), at(0)));
    lease.acquired(stamp::Stamp::new(0, 7), at(0));
    assert_eq!(lease.fence(at(100)), Some(7));
    lease.observe_era(1, at(200));
    assert_eq!(lease.fence(at(200)), None);
    assert!(!lease.observe(row(1, 5, "a"), at(300)), "another may have held it since");
    assert!(lease.observe(row(1, 5, "a"), at(3_800)));
}

#[test]
fn old_era_not_acquired() {
    let mut lease = candidate("a");
    assert!(lease.observe(row(0, 0, ""), at(0)));
    lease.observe_era(1, at(50));
    lease.acquired(stamp::Stamp::new(0, 7), at(0));
    assert_eq!(lease.fence(at(100)), None, "the store has lost the write, or may have");
    assert!(!lease.observe(row(0, 7, "a"), at(5_000)), "a late answer");
}

// Guards against fencing numbers that go back with the store's versions.
#[test]
fn fence_grows() {
    let mut lease = candidate("a");
    lease.observe_era(1, at(0));
    assert!(lease.observe(row(1, 0, ""), at(3_500)));
    lease.acquired(stamp::Stamp::new(1, 3), at(3_500));
    assert!(lease.fence(at(3_600)) > Some(7_000));
}

#[test]
fn unknown_era_waits() {
    let mut lease = candidate("new process");
    assert!(!lease.observe(row(4, 0, ""), at(0)), "the era may have begun just now");
    assert!(lease.observe(row(4, 0, ""), at(3_500)));
}

// Guards against a write of an earlier era whose condition holds by chance and replaces the row of
// another holder.
#[test]
fn late_write() {
    let mut lease = candidate("a");
    lease.observe_era(1, at(0));
    assert!(!lease.observe(row(1, 9, "a"), at(5_000)), "a write that was not confirmed");
    assert!(lease.observe(row(1, 9, "a"), at(8_500)));
}

// A store with the row of one lease.
#[derive(Clone, Default)]
struct Store {
    era: u64,
    version: u64,
    row: (u64, String),
    copy: (u64, (u64, String)),
}

impl Store {
    fn read(&self) -> lease::Row<'_> {
        row(self.era, self.row.0, &self.row.1)
    }

    // Like the platform's store, compares versions without their eras.
    fn write(&mut self, expected: u64, holder: &str) -> Option<stamp::Stamp> {
        if self.row.0 != expected {
            return None;
        }
        self.version += 1;
        self.row = (self.version, holder.to_string());
        Some(stamp::Stamp::new(self.era, self.version))
    }

    fn restore(&mut self) {
        self.era += 1;
        (self.version, self.row) = self.copy.clone();
    }
}

proptest! {
    #![proptest_config(random::config(2_000))]

    // Candidates act at random, are cut off, restarted and frozen between a read and the write,
    // lose answers, and have writes performed later, while the store is copied and restored. Actions
    // of different candidates are as far apart as without restores, and fencing numbers grow with
    // each takeover.
    #[test]
    fn one_leader(
        steps in proptest::collection::vec((0usize..3, 0u64..1500, 0u8..14), 1..300),
    ) {
        let mut names: Vec<_> = ["a", "b", "c"].map(str::to_string).into();
        let mut leases: Vec<_> = names.iter().map(|name| candidate(name)).collect();
        let mut store = Store::default();
        // Conditions and holders of writes that are performed later.
        let mut late: Vec<(u64, String)> = Vec::new();
        let mut acted: Option<(String, u64, u64)> = None;
        let mut now = 0;
        for (candidate, pause, kind) in steps {
            now += pause;
            match kind {
                0 => store.copy = (store.version, store.row.clone()),
                1 => store.restore(),
                2 => {
                    if let Some((expected, holder)) = late.pop() {
                        store.write(expected, &holder);
                    }
                }
                3 => {
                    names[candidate].push('+');
                    leases[candidate] = self::candidate(&names[candidate]);
                }
                // Cut off: sees neither the era nor the row.
                4 => {}
                _ => {
                    let (lease, name) = (&mut leases[candidate], &names[candidate]);
                    lease.observe_era(store.era, at(now));
                    let may_write =
                        lease.fence(at(now)).is_none() && lease.observe(store.read(), at(now));
                    if may_write {
                        let expected = store.read().version;
                        // The check of the era comes right before the write; a restore may follow.
                        let sent_at = now;
                        match kind {
                            5 => late.push((expected.version, name.clone())),
                            6 => store.restore(),
                            7 => {
                                now += 4 * pause;
                                store.restore();
                            }
                            _ => {}
                        }
                        let written = match kind {
                            5 => None,
                            _ => store.write(expected.version, name),
                        };
                        match written.filter(|written| written.era == expected.era) {
                            // The answer was lost.
                            _ if kind == 8 => {}
                            Some(written) => {
                                // The store may be restored before the answer arrives.
                                if kind == 9 {
                                    store.restore();
                                }
                                lease.acquired(written, at(sent_at));
                            }
                            None => lease.lost(),
                        }
                    }
                }
            }
            let Some(fence) = leases[candidate].fence(at(now)) else { continue };
            let name = names[candidate].clone();
            if let Some((other, then, old)) = acted {
                prop_assert!(fence >= old, "{fence} after {old}");
                let is_takeover = other != name;
                prop_assert!(!is_takeover || fence > old, "{fence} of another after {old}");
                prop_assert!(!is_takeover || now >= then + LENGTH.as_millis() as u64 - 1_200,
                    "{other} at {then}, {name} at {now}");
            }
            acted = Some((name, now, fence));
        }
    }
}
