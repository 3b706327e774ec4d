//! Suspended instances, and wall clocks that are set.

use std::{fs, path, time};

use rhubarb_core::suspension;

const MILLI: time::Duration = time::Duration::from_millis(1);

#[test]
fn suspension_detected() {
    let (start, boot) = (time::Instant::now(), 5_000 * MILLI);
    let mut detector = suspension::Suspension::new(start, boot);
    // Milliseconds that pass on the monotonic and the boot clock, and the suspension reported.
    let cases = [
        (200, 200, None),
        (5_000, 5_000, None),
        (200, 450, None),
        (200, 600, Some(400)),
        (0, 90_000, Some(90_000)),
        (200, 200, None),
    ];
    let (mut running, mut boot) = (time::Duration::ZERO, boot);
    for (monotonic, elapsed, expected) in cases {
        running += monotonic * MILLI;
        boot += elapsed * MILLI;
        let found = detector.check(start + running, boot);
        assert_eq!(found, expected.map(|millis: u32| millis * MILLI), "{monotonic} {elapsed}");
    }
}

// A wall clock that is set forwards or back changes no decision, since none of them reads it.
#[test]
fn no_wall_clock() {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut files = 0;
    for dir in ["crates/core/src", "crates/edge/src", "crates/wire/src", "platform/src"] {
        for entry in fs::read_dir(root.join(dir)).unwrap() {
            let path = entry.unwrap().path();
            // Dates go into records for people to read; no decision depends on them.
            if path.ends_with("edge/src/dates.rs") {
                continue;
            }
            let text = fs::read_to_string(&path).unwrap();
            for name in ["SystemTime", "unix_ms", "UNIX_EPOCH", "ClockId::Realtime"] {
                assert!(!text.contains(name), "{name} in {}", path.display());
            }
            files += 1;
        }
    }
    assert!(files > 60, "{files} files");
}
