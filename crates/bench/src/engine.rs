//! Simulated engines on the virtual clock.

use std::{collections, time};

use crate::{request, scenario};

/// Requests that fit into the decode memory of an engine.
pub(crate) const DECODE_SLOTS: u32 = 20;
/// Prompts that a prefill engine accepts at once; two run at half speed each.
pub(crate) const MAX_PREFILLS: u32 = 2;
/// Time of a decode step without streams.
const STEP_BASE: time::Duration = time::Duration::from_millis(20);
/// Additional time of a decode step for each stream.
const STEP_PER_STREAM: time::Duration = time::Duration::from_micros(500);
/// Time of a prefill without tokens.
const PREFILL_BASE: time::Duration = time::Duration::from_millis(10);
/// Additional time of a prefill for each token that is not cached.
const PREFILL_PER_TOKEN: time::Duration = time::Duration::from_nanos(20_000);
/// Time to transfer the prefill result of one token.
const TRANSFER_PER_TOKEN: time::Duration = time::Duration::from_nanos(2_000);
/// Age at which a prefill result is evicted.
pub(crate) const RESULT_LIFETIME: time::Duration = time::Duration::from_millis(800);
/// Number of prefixes that a prefill engine caches.
const CACHED_PREFIXES: usize = 8;
/// Share of a prompt that its cached prefix covers, as a divisor.
const PREFIX_DIVISOR: u32 = 2;

/// Answer that a decode engine is generating.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Stream {
    pub(crate) request: usize,
    pub(crate) attempt: u64,
    /// Tokens not generated yet.
    pub(crate) remaining: u32,
}

/// Engine of a server, which either prefills or decodes.
#[derive(Debug, Default)]
pub(crate) struct Engine {
    pub(crate) streams: Vec<Stream>,
    /// Whether the next decode step is scheduled.
    pub(crate) stepping: bool,
    /// Factor on the time of prefills and decode steps; 0 counts as 1.
    pub(crate) slowdown: u32,
    // Cached prefixes, least recently used first.
    prefixes: collections::VecDeque<u64>,
    // When the work accepted so far ends.
    compute_free: Option<time::Instant>,
    // When the transfers accepted so far end.
    link_free: Option<time::Instant>,
}

impl Engine {
    /// Time of one decode step, which generates a token of each stream.
    pub(crate) fn step_time(&self) -> time::Duration {
        (STEP_BASE + STEP_PER_STREAM * self.streams.len() as u32) * self.slowdown.max(1)
    }

    /// Queues the prefill of a prompt; returns its work and when it ends.
    pub(crate) fn prefill(
        &mut self,
        request: &request::Request,
        now: time::Instant,
    ) -> (time::Duration, time::Instant) {
        let covered = if self.touch_prefix(request.prefix) {
            request.prompt_tokens / PREFIX_DIVISOR
        } else {
            0
        };
        let work = PREFILL_BASE + PREFILL_PER_TOKEN * (request.prompt_tokens - covered);
        let start = self.compute_free.map_or(now, |free| free.max(now));
        let work = work * self.slowdown.max(1);
        self.compute_free = Some(start + work);
        (work, start + work)
    }

    // Marks the prefix as most recently used; returns whether it was cached.
    fn touch_prefix(&mut self, prefix: u64) -> bool {
        let position = self.prefixes.iter().position(|other| *other == prefix);
        if let Some(position) = position {
            self.prefixes.remove(position);
        }
        self.prefixes.push_back(prefix);
        if self.prefixes.len() > CACHED_PREFIXES {
            self.prefixes.pop_front();
        }
        position.is_some()
    }

    /// Queues the transfer of a prefill result over the link of this engine; returns when it ends.
    pub(crate) fn transfer(&mut self, prompt_tokens: u32, now: time::Instant) -> time::Instant {
        let start = self.link_free.map_or(now, |free| free.max(now));
        let done = start + TRANSFER_PER_TOKEN * prompt_tokens;
        self.link_free = Some(done);
        done
    }

    /// Makes the link unavailable until `until`.
    pub(crate) fn stall_link(&mut self, until: time::Instant) {
        self.link_free = Some(until);
    }
}

/// Requests per second that the engines of a fleet can complete.
pub(crate) fn capacity(fleet: &scenario::Fleet) -> f64 {
    let prefill = PREFILL_BASE + PREFILL_PER_TOKEN.mul_f64(request::MEAN_PROMPT_TOKENS);
    let step = STEP_BASE + STEP_PER_STREAM * DECODE_SLOTS;
    let decode = step.mul_f64(request::MEAN_OUTPUT_TOKENS);
    let prefill_rate = fleet.prefill_servers as f64 / prefill.as_secs_f64();
    let decode_rate = (fleet.decode_servers as u32 * DECODE_SLOTS) as f64 / decode.as_secs_f64();
    prefill_rate.min(decode_rate)
}
