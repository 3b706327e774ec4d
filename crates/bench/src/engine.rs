//! Stand-ins for engines on the virtual clock.

use std::{collections, time};

use crate::{request, scenario};

/// Requests that decode memory holds.
pub(crate) const ROOMS: u32 = 20;
/// Prompts that a prefill engine works on at once, each at half speed if there are two.
pub(crate) const PREFILLS: u32 = 2;
const STEP: time::Duration = time::Duration::from_millis(20);
const STEP_EACH: time::Duration = time::Duration::from_micros(500);
const PREFILL_BASE: time::Duration = time::Duration::from_millis(10);
const PREFILL_TOKEN: time::Duration = time::Duration::from_nanos(20_000);
const TRANSFER_TOKEN: time::Duration = time::Duration::from_nanos(2_000);
/// A prefill result is evicted after this time.
pub(crate) const KEEP_RESULT: time::Duration = time::Duration::from_millis(800);
/// Prefixes that a prefill engine caches.
const PREFIX_SLOTS: usize = 8;
/// Share of a prompt that its prefix covers, as a divisor.
const PREFIX_DIVISOR: u32 = 2;

/// One stream of a decode engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Stream {
    pub(crate) request: usize,
    pub(crate) attempt: u64,
    pub(crate) left: u32,
}

/// An engine; a server prefills or decodes.
#[derive(Debug, Default)]
pub(crate) struct Engine {
    pub(crate) streams: Vec<Stream>,
    pub(crate) stepping: bool,
    pub(crate) slow: u32,
    prefixes: collections::VecDeque<u64>,
    compute_free: Option<time::Instant>,
    link_free: Option<time::Instant>,
}

impl Engine {
    /// Time of one step of all streams.
    pub(crate) fn step_time(&self) -> time::Duration {
        (STEP + STEP_EACH * self.streams.len() as u32) * self.slow.max(1)
    }

    /// Work on a prompt that is handed over now, and when it will be done.
    pub(crate) fn prefill(
        &mut self,
        request: &request::Request,
        now: time::Instant,
    ) -> (time::Duration, time::Instant) {
        let covered = if self.touch(request.prefix) { request.prompt / PREFIX_DIVISOR } else { 0 };
        let work = PREFILL_BASE + PREFILL_TOKEN * (request.prompt - covered);
        let start = self.compute_free.map_or(now, |free| free.max(now));
        let work = work * self.slow.max(1);
        self.compute_free = Some(start + work);
        (work, start + work)
    }

    // Whether the prefix is cached; it is from now on.
    fn touch(&mut self, prefix: u64) -> bool {
        let at = self.prefixes.iter().position(|other| *other == prefix);
        if let Some(at) = at {
            self.prefixes.remove(at);
        }
        self.prefixes.push_back(prefix);
        if self.prefixes.len() > PREFIX_SLOTS {
            self.prefixes.pop_front();
        }
        at.is_some()
    }

    /// When a transfer over this engine's link that is asked for now will end.
    pub(crate) fn transfer(&mut self, prompt: u32, now: time::Instant) -> time::Instant {
        let start = self.link_free.map_or(now, |free| free.max(now));
        let done = start + TRANSFER_TOKEN * prompt;
        self.link_free = Some(done);
        done
    }

    /// Stalls the link until `until`.
    pub(crate) fn stall_link(&mut self, until: time::Instant) {
        self.link_free = Some(until);
    }
}

/// Requests a second that the engines of a fleet can carry.
pub(crate) fn capacity(fleet: &scenario::Fleet) -> f64 {
    let prefill = PREFILL_BASE + PREFILL_TOKEN.mul_f64(request::MEAN_PROMPT);
    let step = STEP + STEP_EACH * ROOMS;
    let decode = step.mul_f64(request::MEAN_OUTPUT);
    let prefills = fleet.prefill_servers as f64 / prefill.as_secs_f64();
    let decodes = (fleet.decode_servers as u32 * ROOMS) as f64 / decode.as_secs_f64();
    prefills.min(decodes)
}
