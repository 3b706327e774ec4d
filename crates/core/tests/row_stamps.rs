//! Rows of a table over changes of the store's era: what is newer, what a restored store lacks, and
//! rows that were removed and are in the copy again.

mod random;

use std::collections;

use proptest::prelude::*;
use rhubarb_core::{row_stamps, stamp};

fn at(era: u64, version: u64) -> stamp::Stamp {
    stamp::Stamp::new(era, version)
}

// Reads the whole table, with `rows` as of `stamp`; returns the removed keys.
fn read(
    stamps: &mut row_stamps::RowStamps,
    rows: &[(&str, u64)],
    stamp: stamp::Stamp,
) -> Vec<String> {
    for (key, version) in rows {
        stamps.update(key, at(stamp.era, *version), true);
    }
    let keys = rows.iter().map(|(key, _)| *key).collect();
    let missing = stamps.missing_from(&keys, stamp);
    let removed = missing.into_iter().filter(|key| stamps.remove(key, stamp)).collect();
    stamps.set_copied(stamp);
    removed
}

#[test]
fn stamps_ordered() {
    assert!(at(2, 1) > at(1, 100));
    assert!(at(1, 2) > at(1, 1));
    assert_eq!((at(0, 7).to_string(), at(2, 7).to_string()), ("7".into(), "2/7".into()));
}

// Fencing numbers are JSON numbers, which are exact below 2^53.
#[test]
fn numbers_grow() {
    assert_eq!(at(0, 7).number(), 7);
    assert!(at(1, 0).number() > at(0, (1 << 40) - 1).number());
    assert!(at(stamp::MAX_ERA, (1 << 40) - 1).number() < 1 << 53);
}

// Guards against a follower that ignores what is written after a restore, as its version is lower
// than one that was lost.
#[test]
fn lower_version_applied() {
    let mut stamps = row_stamps::RowStamps::default();
    read(&mut stamps, &[("a", 90), ("b", 95)], at(1, 100));
    read(&mut stamps, &[("a", 40), ("b", 50)], at(2, 60));
    assert!(stamps.update("a", at(2, 61), true));
    stamps.set_complete(at(2, 61));
    assert_eq!((stamps.complete(), stamps.newest_change()), (at(2, 61), at(2, 61)));
}

#[test]
fn late_answers_ignored() {
    let mut stamps = row_stamps::RowStamps::default();
    read(&mut stamps, &[("a", 40)], at(2, 60));
    assert!(!stamps.update("a", at(1, 99), true));
    assert!(!stamps.update("lost", at(1, 99), true), "a row that the new era does not have");
    assert!(!stamps.remove("a", at(1, 99)));
    assert!(read(&mut stamps, &[("lost", 99)], at(1, 100)).is_empty());
    assert_eq!(stamps.complete(), at(2, 60));
}

#[test]
fn lost_row_missing() {
    let mut stamps = row_stamps::RowStamps::default();
    read(&mut stamps, &[("a", 40), ("new", 90)], at(1, 100));
    assert_eq!(read(&mut stamps, &[("a", 40)], at(2, 60)), ["new"]);
    assert!(stamps.update("new", at(2, 61), true), "it was written again");
}

// Guards against a server that left and is used again because the store was restored from a copy
// that still has its row.
#[test]
fn removed_row_unproven() {
    let mut stamps = row_stamps::RowStamps::default();
    read(&mut stamps, &[("a", 40), ("gone", 50)], at(1, 60));
    assert!(stamps.update("gone", at(1, 90), false));
    assert!(!stamps.update("gone", at(2, 50), true), "as it is in the copy");
    assert!(!stamps.update("gone", at(2, 50), true), "read again");
    assert!(!stamps.update("gone", at(3, 50), true), "restored once more");
    assert!(stamps.update("gone", at(3, 61), true), "written again");
    assert!(stamps.update("gone", at(3, 62), false));
    assert!(stamps.update("gone", at(3, 63), true), "within one era a later write is enough");
}

#[test]
fn written_after_removal() {
    let mut stamps = row_stamps::RowStamps::default();
    read(&mut stamps, &[("gone", 50)], at(1, 60));
    stamps.update("gone", at(1, 90), false);
    assert!(stamps.update("gone", at(2, 91), true), "no row of the copy is newer than its removal");
}

// Copies what `from` has over `to`, which knows all rows as of `after`, as a peer does.
fn copy(
    from: &row_stamps::RowStamps,
    to: &mut row_stamps::RowStamps,
    rows: &[(&str, u64)],
    after: stamp::Stamp,
) {
    for (key, version) in rows.iter().filter(|(_, version)| at(0, *version) > after) {
        to.update(key, at(0, *version), true);
    }
    for (key, removed) in from.removed_since(after) {
        to.remove(key, *removed);
    }
    to.set_complete(from.complete());
}

// Guards against a removal that a peer never learns: it copied the rows of a batch between a newer
// row and the removal, and took itself to know all that is older than the row.
#[test]
fn copied_between_rows() {
    let mut first = row_stamps::RowStamps::default();
    read(&mut first, &[("a", 40), ("gone", 50)], at(0, 60));
    let mut peer = first.clone();
    assert!(first.update("a", at(0, 70), true));
    let known = peer.complete();
    copy(&first, &mut peer, &[("a", 70), ("gone", 50)], known);
    assert!(peer.complete() < at(0, 65), "it does not know all as of 65");
    assert!(first.update("gone", at(0, 65), false));
    first.set_complete(at(0, 70));
    assert!(peer.complete() < first.newest_change(), "it copies again");
    let known = peer.complete();
    copy(&first, &mut peer, &[("a", 70)], known);
    assert!(!peer.missing_from(&["a"].into(), at(0, 70)).contains(&"gone".to_string()));
    assert_eq!(peer.complete(), at(0, 70));
}

// An era is over as soon as one row of the next is known, though not all are.
#[test]
fn era_begun_by_row() {
    let mut stamps = row_stamps::RowStamps::default();
    read(&mut stamps, &[("a", 40), ("b", 50)], at(1, 60));
    assert!(stamps.update("a", at(2, 30), true));
    assert!(!stamps.update("b", at(1, 90), true));
    assert!(!stamps.remove("b", at(1, 90)));
    assert_eq!(stamps.complete(), at(1, 60));
}

proptest! {
    #![proptest_config(random::config(256))]

    // A table is written, restored from copies and read, with late answers. After a read of the
    // newest state only rows of the store are known, and the newest write is.
    #[test]
    fn newest_state_known(steps in proptest::collection::vec((0u8..6, 0usize..4), 1..200)) {
        let keys = ["a", "b", "c", "d"];
        let mut rows: collections::BTreeMap<&str, u64> = collections::BTreeMap::new();
        let (mut era, mut version) = (1, 0);
        let mut copy = (rows.clone(), version);
        let mut late = (rows.clone(), at(1, 0));
        let mut stamps = row_stamps::RowStamps::default();
        for (kind, index) in steps {
            let key = keys[index];
            match kind {
                0 | 1 => {
                    version += 1;
                    rows.insert(key, version);
                }
                2 => {
                    version += 1;
                    rows.remove(key);
                }
                3 => copy = (rows.clone(), version),
                4 => {
                    era += 1;
                    (rows, version) = copy.clone();
                }
                _ => {
                    let list: Vec<_> = late.0.iter().map(|(key, at)| (*key, *at)).collect();
                    read(&mut stamps, &list, late.1);
                    late = (rows.clone(), at(era, version));
                }
            }
        }
        // A write in the newest era with a version above all earlier ones.
        version += 1_000;
        let key = keys[0];
        rows.insert(key, version);
        let list: Vec<_> = rows.iter().map(|(key, at)| (*key, *at)).collect();
        read(&mut stamps, &list, at(era, version));
        let missing = stamps.missing_from(&collections::BTreeSet::new(), at(era, version));
        for known in &missing {
            prop_assert!(rows.contains_key(known.as_str()), "{known} is gone");
        }
        prop_assert!(missing.iter().any(|known| known == key), "the newest write is known");
        prop_assert_eq!(stamps.complete(), at(era, version));
    }
}

// Guards against a removal that a copy leaves out: an entry that reads all rows after it never knew the
// row, nor does one that reads them again know what came and went in between.
#[test]
fn removals_unknown() {
    let mut stamps = row_stamps::RowStamps::default();
    read(&mut stamps, &[("a", 10)], at(0, 143));
    assert!(!stamps.knows_removals(at(0, 130)));
    assert!(stamps.knows_removals(at(0, 143)));
    stamps.update("a", at(0, 150), false);
    stamps.set_complete(at(0, 150));
    assert!(stamps.knows_removals(at(0, 145)), "followed since the copy");
    stamps.set_copied(at(0, 170));
    assert!(!stamps.knows_removals(at(0, 160)));
    assert!(stamps.knows_removals(at(1, 5)));
}
