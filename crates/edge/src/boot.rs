//! The clock that also counts suspension, and what it shows.

use std::time;

use rhubarb_core::lease;
use rhubarb_node::clock;

/// Time since the machine started, suspension included.
pub(crate) fn time() -> lease::BootTime {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    lease::BootTime::new(now.tv_sec.unsigned_abs(), now.tv_nsec.unsigned_abs() as u32)
}

/// Tells when the process was suspended, by two clocks that run apart.
#[derive(Debug)]
pub(crate) struct Suspension {
    steady: time::Instant,
    boot: lease::BootTime,
}

/// Clocks that are read one after the other differ by less.
const LEAST: time::Duration = time::Duration::from_millis(300);

impl Suspension {
    pub(crate) fn new() -> Suspension {
        Suspension { steady: clock::now(), boot: time() }
    }

    /// Length of a suspension since the last look.
    pub(crate) fn look(&mut self) -> Option<time::Duration> {
        let (steady, boot) = (clock::now(), time());
        let ran = steady.saturating_duration_since(self.steady);
        let passed = boot.saturating_sub(self.boot);
        (self.steady, self.boot) = (steady, boot);
        Some(passed.saturating_sub(ran)).filter(|suspended| *suspended >= LEAST)
    }
}
