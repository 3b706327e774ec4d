//! How long the engines of a service need to read prompts.

use std::time;

use crate::stages;

/// Rate at which the engines of one service read prompts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    // Time per token as a multiple of that at `TOKENS_PER_MS`.
    factor: f64,
}

/// Tokens that an engine reads in a millisecond as long as nothing else is measured.
const TOKENS_PER_MS: u64 = 33;
/// Factor on the time at a decode engine, which reads prompts at half the speed and runs its decode
/// steps in between.
const DECODE_FACTOR: u64 = 3;
/// Fixed cost of a prompt: the call and the first step.
const BASE: time::Duration = time::Duration::from_millis(10);
/// Samples before which nothing is taken from them.
const MIN_SAMPLES: u32 = 32;
/// Difference in logarithms up to which shorter times count as none, and from which as measured; in
/// between it is a part of them, so that an estimate near the limit moves no stages to and fro.
const FASTER: (f64, f64) = (0.2, 0.4);
/// The same for longer times, which prompts that peers have just sent to the engine make as well.
const SLOWER: (f64, f64) = (0.4, 0.8);
/// Largest difference, in logarithms: about four times.
const MAX_DIFFERENCE: f64 = 1.386;

impl Default for Rate {
    fn default() -> Rate {
        Rate { factor: 1.0 }
    }
}

impl Rate {
    /// Rate of a service whose time per token `samples` of its engines show, as the logarithm of
    /// nanoseconds.
    pub fn measured(log: f64, samples: u32) -> Rate {
        if samples < MIN_SAMPLES {
            return Rate::default();
        }
        let assumed = (1e6 / TOKENS_PER_MS as f64).ln();
        let difference = (log - assumed).clamp(-MAX_DIFFERENCE, MAX_DIFFERENCE);
        let (none, full) = if difference < 0.0 { FASTER } else { SLOWER };
        let part = ((difference.abs() - none) / (full - none)).clamp(0.0, 1.0);
        Rate { factor: (difference * part).exp() }
    }

    /// Fixed part of the time to read a prompt.
    pub fn base(&self) -> time::Duration {
        BASE
    }

    /// Time that an idle prefill engine needs to read a prompt.
    pub fn prefill_time(&self, tokens: u32) -> time::Duration {
        self.scale(assumed_time(tokens))
    }

    /// Time that a decode engine needs to read a prompt itself, between its decode steps.
    pub fn decode_prefill_time(&self, tokens: u32) -> time::Duration {
        let reading = u64::from(tokens) * DECODE_FACTOR / TOKENS_PER_MS;
        self.scale(BASE + time::Duration::from_millis(reading))
    }

    /// Costs of which the prefill was counted by [`assumed_time`], as they are at this rate.
    pub fn apply(&self, costs: stages::Costs) -> stages::Costs {
        let prefill = self.scale(time::Duration::from_secs_f64(costs.prefill)).as_secs_f64();
        stages::Costs { prefill, ..costs }
    }

    fn scale(&self, assumed: time::Duration) -> time::Duration {
        if self.factor == 1.0 {
            return assumed;
        }
        assumed.min(BASE) + assumed.saturating_sub(BASE).mul_f64(self.factor)
    }
}

/// Time to read a prompt as long as nothing is measured. Entries account the use of prefill engines
/// in it, whatever they know of the rate.
pub fn assumed_time(tokens: u32) -> time::Duration {
    BASE + time::Duration::from_millis(u64::from(tokens) / TOKENS_PER_MS)
}
