//! A lease in the platform's store, as one candidate sees it.
//!
//! Times are read from a clock that goes on during a suspension (`CLOCK_BOOTTIME`), so that a
//! holder that was suspended does not act on an expired lease.

use std::time;

use crate::stamp;

/// Fencing number of a holder: the number of the stamp of its newest write, which increases with
/// the store's eras.
pub type Fence = u64;
/// Time since the instance booted, suspensions included.
pub type BootTime = time::Duration;

/// One candidate's view of a lease.
#[derive(Clone, Debug)]
pub struct Lease {
    holder: String,
    length: time::Duration,
    era: Option<SeenEra>,
    seen: Option<Seen>,
    held: Option<Held>,
    // Newest write of this candidate that was confirmed.
    written: Option<stamp::Stamp>,
}

#[derive(Clone, Copy, Debug)]
struct SeenEra {
    era: stamp::Era,
    since: BootTime,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Seen {
    version: stamp::Stamp,
    since: BootTime,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    version: stamp::Stamp,
    // When the newest successful write was sent.
    renewed_at: BootTime,
}

/// The lease's row as it was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Row<'a> {
    /// Version; 0 in the store's era if there is no row.
    pub version: stamp::Stamp,
    /// Candidate that wrote it.
    pub holder: &'a str,
}

/// Share of the length for which the holder may act after it has sent a renewal.
const VALID_SHARE: f64 = 0.4;
/// Time beyond the length before another candidate takes over a lease: clocks drift, and writes
/// arrive with a delay.
const TAKEOVER_MARGIN: time::Duration = time::Duration::from_millis(500);

impl Lease {
    /// Creates the view of a candidate that writes its rows as `holder`.
    pub fn new(holder: String, length: time::Duration) -> Lease {
        Lease { holder, length, era: None, seen: None, held: None, written: None }
    }

    /// Fencing number, while the lease is certainly held.
    pub fn fence(&self, now: BootTime) -> Option<Fence> {
        let valid = self.length.mul_f64(VALID_SHARE);
        let held = self.held.filter(|held| now < held.renewed_at + valid)?;
        Some(held.version.number())
    }

    /// Observes the store's newest known era. A lease that was acquired in an earlier one is no
    /// longer held.
    pub fn observe_era(&mut self, era: stamp::Era, now: BootTime) {
        if self.era.is_some_and(|seen| seen.era >= era) {
            return;
        }
        self.era = Some(SeenEra { era, since: now });
        self.held = None;
    }

    /// Whether the candidate may acquire the lease as far as the era tells. In a new era the row of
    /// another holder, which may still act, can be lost, so a candidate waits as for a takeover.
    pub fn is_era_settled(&self, now: BootTime) -> bool {
        self.era.is_some_and(|seen| seen.era == 0 || now >= self.takeover_at(seen.since))
    }

    /// Observes the row as read now; true if the candidate may write it, on the condition that its
    /// version is still the same.
    pub fn observe(&mut self, row: Row<'_>, now: BootTime) -> bool {
        self.observe_era(row.version.era, now);
        if self.era.is_some_and(|seen| seen.era > row.version.era) {
            return false;
        }
        if self.seen.as_ref().is_none_or(|seen| seen.version != row.version) {
            self.seen = Some(Seen { version: row.version, since: now });
        }
        if !self.is_era_settled(now) {
            return false;
        }
        if row.version.version == 0 || self.is_own(row) {
            return true;
        }
        self.held = None;
        let since = self.seen.as_ref().map_or(now, |seen| seen.since);
        now >= self.takeover_at(since)
    }

    // After a change of era a delayed write with an old condition may have replaced the row of
    // another holder, so that only confirmed writes count.
    fn is_own(&self, row: Row<'_>) -> bool {
        row.holder == self.holder && (row.version.era == 0 || self.written == Some(row.version))
    }

    fn takeover_at(&self, since: BootTime) -> BootTime {
        since + self.length + TAKEOVER_MARGIN
    }

    /// Records that a write sent at `sent_at` succeeded and gave the row `version`. The lease is
    /// not held if a later era has been seen.
    pub fn acquired(&mut self, version: stamp::Stamp, sent_at: BootTime) {
        self.written = Some(version);
        self.seen = Some(Seen { version, since: sent_at });
        let is_current = self.era.is_none_or(|seen| seen.era == version.era);
        self.held = is_current.then_some(Held { version, renewed_at: sent_at });
    }

    /// Records that another candidate wrote first, or that the fencing number was refused.
    pub fn lost(&mut self) {
        self.held = None;
    }
}
