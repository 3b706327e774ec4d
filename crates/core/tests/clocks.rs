//! Clocks that are set, and machines that are suspended.

use std::{fs, path, time};

use rhubarb_core::suspension;

const MILLI: time::Duration = time::Duration::from_millis(1);

#[test]
fn suspended_noticed() {
    let (start, boot) = (time::Instant::now(), 5_000 * MILLI);
    let mut clocks = suspension::Suspension::new(start, boot);
    // Time in both clocks, and the suspension that shows.
    let cases = [
        (200, 200, None),
        (5_000, 5_000, None),
        (200, 450, None),
        (200, 600, Some(400)),
        (0, 90_000, Some(90_000)),
        (200, 200, None),
    ];
    let (mut ran, mut passed) = (time::Duration::ZERO, boot);
    for (steady, suspended, expected) in cases {
        ran += steady * MILLI;
        passed += suspended * MILLI;
        let found = clocks.check(start + ran, passed);
        assert_eq!(found, expected.map(|millis: u32| millis * MILLI), "{steady} {suspended}");
    }
}

// A clock that is set forwards or back changes no decision, since none reads it.
#[test]
fn no_wall_clock() {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut read = 0;
    for dir in ["crates/core/src", "crates/edge/src", "crates/wire/src", "platform/src"] {
        for entry in fs::read_dir(root.join(dir)).unwrap() {
            let path = entry.unwrap().path();
            // Records that people read carry dates; nothing is decided by them.
            if path.ends_with("edge/src/dates.rs") {
                continue;
            }
            let text = fs::read_to_string(&path).unwrap();
            for name in ["SystemTime", "unix_ms", "UNIX_EPOCH", "ClockId::Realtime"] {
                assert!(!text.contains(name), "{name} in {}", path.display());
            }
            read += 1;
        }
    }
    assert!(read > 60, "{read} files");
}
