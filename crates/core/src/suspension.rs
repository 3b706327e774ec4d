//! Tells when a process was suspended, by two clocks that run apart.

use std::time;

use crate::lease;

/// Readings of both clocks at the last look.
#[derive(Clone, Copy, Debug)]
pub struct Suspension {
    steady: time::Instant,
    boot: lease::BootTime,
}

/// Clocks that are read one after the other differ by less.
const LEAST: time::Duration = time::Duration::from_millis(300);

impl Suspension {
    /// Starts with the readings of the clock that stands still during a suspension and of the one
    /// that does not.
    pub fn new(steady: time::Instant, boot: lease::BootTime) -> Suspension {
        Suspension { steady, boot }
    }

    /// Length of a suspension since the last look.
    pub fn check(
        &mut self,
        steady: time::Instant,
        boot: lease::BootTime,
    ) -> Option<time::Duration> {
        let ran = steady.saturating_duration_since(self.steady);
        let passed = boot.saturating_sub(self.boot);
        (self.steady, self.boot) = (steady, boot);
        Some(passed.saturating_sub(ran)).filter(|suspended| *suspended >= LEAST)
    }
}
