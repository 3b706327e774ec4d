//! A lease in the platform's store, as one candidate sees it.
//!
//! Times are read from a clock that goes on during a suspension (`CLOCK_BOOTTIME`), so that a
//! holder that was suspended does not act on an expired lease.

use std::time;

/// Version of the lease's row; the version of the newest write is the holder's fencing number.
pub type Fence = u64;
/// Time since the instance booted, suspensions included.
pub type BootTime = time::Duration;

/// One candidate's view of a lease.
#[derive(Clone, Debug)]
pub struct Lease {
    holder: String,
    length: time::Duration,
    seen: Option<Seen>,
    held: Option<Held>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Seen {
    version: Fence,
    since: BootTime,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    fence: Fence,
    // When the newest successful write was sent.
    renewed_at: BootTime,
}

/// The lease's row as it was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Row<'a> {
    /// Version; 0 if there is no row.
    pub version: Fence,
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
        Lease { holder, length, seen: None, held: None }
    }

    /// Fencing number, while the lease is certainly held.
    pub fn fence(&self, now: BootTime) -> Option<Fence> {
        let valid = self.length.mul_f64(VALID_SHARE);
        let held = self.held.filter(|held| now < held.renewed_at + valid)?;
        Some(held.fence)
    }

    /// Observes the row as read now; true if the candidate may write it, on the condition that its
    /// version is still the same.
    pub fn observe(&mut self, row: Row<'_>, now: BootTime) -> bool {
        if self.seen.as_ref().is_none_or(|seen| seen.version != row.version) {
            self.seen = Some(Seen { version: row.version, since: now });
        }
        if row.version == 0 || row.holder == self.holder {
            return true;
        }
        self.held = None;
        let since = self.seen.as_ref().map_or(now, |seen| seen.since);
        now >= since + self.length + TAKEOVER_MARGIN
    }

    /// Records that a write sent at `sent_at` succeeded and made `fence` the row's version.
    pub fn acquired(&mut self, fence: Fence, sent_at: BootTime) {
        self.held = Some(Held { fence, renewed_at: sent_at });
        self.seen = Some(Seen { version: fence, since: sent_at });
    }

    /// Records that another candidate wrote first, or that the fencing number was refused.
    pub fn lost(&mut self) {
        self.held = None;
    }
}
