//! Versions that the servers of a service have had, as kept in the platform's store.

use std::{collections, time};

use serde::{Deserialize, Serialize};

use crate::{ids, stamp};

/// Content of the row of one service. Times are those of the store's clock in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    /// Era of the store in which it was written. After a restore it may lack what was written later.
    pub era: stamp::Era,
    /// Since when all versions are named; none if since the first start.
    pub since_ms: Option<u64>,
    /// Time after its begin within which a stream may be taken up, in milliseconds.
    pub window_ms: u64,
    /// Versions, and when the last server of each was gone; none while there are servers.
    pub versions: collections::BTreeMap<ids::SoftwareTag, Option<u64>>,
}

impl History {
    /// The version by which all streams had begun when it was read that can still be taken up; none if
    /// several are on record, or if that is not known. Streams begin at versions on record.
    pub fn only(&self, reading: &Reading) -> Option<ids::SoftwareTag> {
        let window = time::Duration::from_millis(self.window_ms).min(MAX_WINDOW);
        let is_over = |ms: u64, spread| reading.instant(ms) + window + spread < reading.asked;
        let is_complete = self.since_ms.is_none_or(|ms| is_over(ms, time::Duration::ZERO));
        let is_recent = |gone_ms: &Option<u64>| gone_ms.is_none_or(|ms| !is_over(ms, SPREAD));
        let mut recent = self.versions.iter().filter(|(_, gone_ms)| is_recent(gone_ms));
        let (software, _) = recent.next()?;
        let is_alone = is_complete && self.era == reading.era && recent.next().is_none();
        is_alone.then_some(*software)
    }
}

/// When and in which era a history was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reading {
    /// Era of the store.
    pub era: stamp::Era,
    /// The store's clock in milliseconds.
    pub now_ms: u64,
    /// When the store was asked, before that.
    pub asked: time::Instant,
    /// When it had answered, after that.
    pub answered: time::Instant,
}

impl Reading {
    /// Moment here at which the store's clock was at `ms`, or a later one.
    pub fn instant(&self, ms: u64) -> time::Instant {
        let age = time::Duration::from_millis(self.now_ms.saturating_sub(ms));
        self.answered.checked_sub(age).unwrap_or(self.answered)
    }

    /// The store's clock at a moment, or later.
    pub fn millis(&self, at: time::Instant) -> u64 {
        let age = self.asked.saturating_duration_since(at).as_millis() as u64;
        let later = at.saturating_duration_since(self.asked).as_millis() as u64;
        self.now_ms.saturating_add(later).saturating_sub(age)
    }
}

/// Whether the row of a service is to be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Need {
    /// It says what it has to.
    None,
    /// One entry writes it.
    Tidy,
    /// A version has no record, so that no streams begin at it.
    Version,
}

/// Time by which entries may learn one after the other that a version has left.
pub(crate) const SPREAD: time::Duration = time::Duration::from_secs(5);
/// Longest window that a row may name.
pub(crate) const MAX_WINDOW: time::Duration = time::Duration::from_secs(86_400);
/// Reads per second of a fleet that looks after a new version.
const READS: f64 = 300.0;
/// The same of a fleet at whose entries streams are taken up.
const LOOKUPS: f64 = 1_000.0;
/// Number of entries to count in a fleet of unknown size.
const UNKNOWN_ENTRIES: u32 = 300;
/// Shortest interval between such reads.
const MIN_READ_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// Time for which the others leave a new version to the leader.
const LEAD_TIME: time::Duration = time::Duration::from_millis(100);

/// Number of entries to count.
pub(crate) fn fleet_size(entries: Option<u32>) -> u32 {
    entries.unwrap_or(UNKNOWN_ENTRIES)
}

/// Interval between reads of an entry among `entries` at which streams are taken up.
pub fn read_interval(entries: Option<u32>) -> time::Duration {
    let interval = f64::from(fleet_size(entries)) / LOOKUPS;
    MIN_READ_INTERVAL.max(time::Duration::from_secs_f64(interval))
}

/// Delay before an entry among `entries`, if that is known, looks whether a version still has no record;
/// `random` is from 0 to 1. Only one that knows others leads.
pub fn delay(is_leader: bool, entries: Option<u32>, random: f64) -> time::Duration {
    if is_leader {
        return time::Duration::ZERO;
    }
    let entries = f64::from(fleet_size(entries));
    LEAD_TIME + time::Duration::from_secs_f64(entries / READS * random)
}
