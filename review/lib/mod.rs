//! Stand-ins and drivers for the cases of the review, with the standard library only: the platform's
//! store, backend servers, callers, and the start of the project's own entries.
#![allow(dead_code)]

#[path = "client.rs"]
pub mod client;
#[path = "deployment.rs"]
pub mod deployment;
#[path = "entry.rs"]
pub mod entry;
#[path = "http.rs"]
pub mod http;
#[path = "json.rs"]
pub mod json;
#[path = "proxy.rs"]
pub mod proxy;
#[path = "record.rs"]
pub mod record;
#[path = "server.rs"]
pub mod server;
#[path = "store.rs"]
pub mod store;

use std::{thread, time::Duration};

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Whether the disruption is to be played (`TROUBLE=0` switches it off).
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Small generator of random numbers (xorshift), seeded from the clock and the process id.
pub fn random() -> u64 {
    use std::sync::atomic::{AtomicU64, Ordering};
    static STATE: AtomicU64 = AtomicU64::new(0);
    let mut x = STATE.load(Ordering::Relaxed);
    if x == 0 {
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
        x = now.as_nanos() as u64 ^ (u64::from(std::process::id()) << 32) | 1;
    }
    x ^= x << 13;
    x ^= x >> 7;
    x ^= x << 17;
    STATE.store(x, Ordering::Relaxed);
    x.wrapping_mul(0x2545_f491_4f6c_dd1d)
}

pub fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
    now.as_millis() as u64
}

/// Result of a case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
    /// The case could not run.
    NotRun,
}

/// Runs a case, and exits as `run.sh` has to: its arguments are a folder for temporary files and the
/// path of the record.
pub fn main(case: impl FnOnce(&std::path::Path) -> Verdict) {
    let arguments: Vec<_> = std::env::args().collect();
    let [_, folder, path] = &arguments[..] else {
        eprintln!("usage: {} FOLDER RECORD", arguments[0]);
        std::process::exit(2);
    };
    record::open(path);
    record::line(&format!("disruption: {}", if has_trouble() { "on" } else { "off" }));
    let verdict = case(std::path::Path::new(folder));
    record::tell(&format!("verdict: {verdict:?}"));
    std::process::exit(match verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::NotRun => 2,
    });
}

/// Waits until all entries are ready and have heard of each other.
pub fn are_ready(entries: &[entry::Entry]) -> bool {
    let timeout = Duration::from_secs(10);
    let are_ready = entries.iter().all(|entry| entry.wait_ready(timeout));
    if !are_ready {
        record::tell("an entry is not ready");
    }
    sleep_ms(3_500);
    are_ready
}
