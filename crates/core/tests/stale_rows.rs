//! Rows of instances that are gone.

use rhubarb_core::{stale_rows, stamp};

fn row(key: &str, version: u64, is_live: bool) -> stale_rows::Row {
    row_in(0, key, version, is_live)
}

fn row_in(era: u64, key: &str, version: u64, is_live: bool) -> stale_rows::Row {
    stale_rows::Row { key: key.to_string(), version: stamp::Stamp::new(era, version), is_live }
}

#[test]
fn gone_removed() {
    let mut rows = stale_rows::StaleRows::default();
    let first = [row("live", 1, true), row("gone", 2, false), row("silent", 3, false)];
    assert!(rows.update(&first).is_empty(), "not at the first read");
    let second = [row("live", 1, true), row("gone", 2, false), row("silent", 9, false)];
    assert_eq!(rows.update(&second), [row("gone", 2, false)], "the silent one wrote its row");
    assert!(rows.update(&[row("new", 2, false)]).is_empty(), "another row with that version");
}

// Guards against the removal of a row that only looks unchanged: a restored store gives versions
// out again.
#[test]
fn era_changed() {
    let mut rows = stale_rows::StaleRows::default();
    assert!(rows.update(&[row("silent", 3, false)]).is_empty());
    let again = [row_in(1, "silent", 3, false)];
    assert!(rows.update(&again).is_empty(), "the first read of the new era");
    assert_eq!(rows.update(&again), again);
}
