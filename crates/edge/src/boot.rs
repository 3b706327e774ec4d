//! Clock that keeps running while the instance is suspended.

use rhubarb_core::lease;

/// Time since the instance started, suspensions included.
pub(crate) fn time() -> lease::BootTime {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    lease::BootTime::new(now.tv_sec.unsigned_abs(), now.tv_nsec.unsigned_abs() as u32)
}
