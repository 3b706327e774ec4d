//! Detects that the instance was suspended, by comparing a clock that stops meanwhile with one that
//! goes on.

use std::time;

use crate::lease;

/// Readings of both clocks at the last check.
#[derive(Clone, Copy, Debug)]
pub struct Suspension {
    monotonic: time::Instant,
    boot: lease::BootTime,
}

/// Shortest suspension that is reported: the clocks are read one after the other, and without a
/// suspension their readings differ by less than this.
const MIN_SUSPENSION: time::Duration = time::Duration::from_millis(300);

impl Suspension {
    /// Starts with a reading of the clock that stops during a suspension (`monotonic`) and of the
    /// one that goes on (`boot`).
    pub fn new(monotonic: time::Instant, boot: lease::BootTime) -> Suspension {
        Suspension { monotonic, boot }
    }

    /// Returns the length of a suspension since the last check, if there was one.
    pub fn check(
        &mut self,
        monotonic: time::Instant,
        boot: lease::BootTime,
    ) -> Option<time::Duration> {
        let ran = monotonic.saturating_duration_since(self.monotonic);
        let passed = boot.saturating_sub(self.boot);
        (self.monotonic, self.boot) = (monotonic, boot);
        Some(passed.saturating_sub(ran)).filter(|suspended| *suspended >= MIN_SUSPENSION)
    }
}
