//! Limits repeated log lines.

use std::{collections, time};

/// Log lines of the last minute, by what they are about.
#[derive(Debug, Default)]
pub struct LogLimit {
    lines: collections::BTreeMap<String, time::Instant>,
}

/// Interval in which a line is logged once.
const INTERVAL: time::Duration = time::Duration::from_secs(60);
/// Maximum number of different lines in one interval.
const MAX_LINES: usize = 1_000;

impl LogLimit {
    /// Whether a line about `subject` may be logged now; it then counts as logged.
    pub fn allows(&mut self, subject: &str, now: time::Instant) -> bool {
        self.lines.retain(|_, at| now < *at + INTERVAL);
        if self.lines.len() >= MAX_LINES || self.lines.contains_key(subject) {
            return false;
        }
        self.lines.insert(subject.to_string(), now);
        true
    }
}
