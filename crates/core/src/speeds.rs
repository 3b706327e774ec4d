//! Time per token at each engine of a service, for prompts and for answers, beside the others.

use std::{collections, time};

use crate::ids;

/// Work of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Work {
    /// Reads a prompt.
    Prompt,
    /// Generates an answer.
    Answer,
}

/// Time that an engine took for one piece of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sample {
    /// Server that runs the engine.
    pub server: ids::ServerTag,
    /// What it did.
    pub work: Work,
    /// Time per token, in nanoseconds.
    pub nanos: u32,
}

/// Estimates of the engines of one service, from the work of all entries of the cell.
#[derive(Clone, Debug, Default)]
pub struct Speeds {
    engines: collections::BTreeMap<(ids::ServerTag, Work), Estimate>,
    // Estimates of the service, which lie where most of its engines do.
    usual: collections::BTreeMap<Work, Estimate>,
    // Samples of this entry that the others do not know yet.
    untold: collections::VecDeque<Sample>,
}

// Estimate that follows the median of the samples: a sample far off, from a queue or a pause, moves
// it no more than any other one on that side.
#[derive(Clone, Copy, Debug, Default)]
struct Estimate {
    // Logarithm of the time per token.
    log: f64,
    samples: u32,
}

/// Samples that wait to be told; later ones replace the first.
const MAX_UNTOLD: usize = 16;
/// Fewest tokens of a sample: the fixed part of shorter work hides the time per token.
const MIN_TOKENS: u32 = 64;
/// Largest step of an estimate with many samples, in logarithms: an engine whose speed doubles is
/// known after some fifteen samples, and one stray sample moves no estimate out of the dead band.
const MIN_STEP: f64 = 0.05;
/// Sum of the largest steps of the first samples.
const FIRST_STEP: f64 = 0.5;
/// Number of samples that count as much as the assumption that an engine is like the others.
const PRIOR_SAMPLES: f64 = 4.0;
/// Difference from the usual below which engines are alike, in logarithms: about a quarter, which
/// batches of different sizes make among engines that are the same.
const DEAD_BAND: f64 = 0.25;
/// Largest difference from the usual, in logarithms: about four times.
const MAX_DIFFERENCE: f64 = 1.4;

impl Estimate {
    fn record(&mut self, log: f64) {
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.log = log;
        }
        let step = MIN_STEP.max(FIRST_STEP / f64::from(self.samples));
        self.log += (log - self.log).clamp(-step, step);
    }
}

impl Sample {
    /// Sample of work on `tokens` that took `time`; `None` if it has too few tokens.
    pub fn new(
        server: ids::ServerTag,
        work: Work,
        tokens: u32,
        time: time::Duration,
    ) -> Option<Sample> {
        let nanos = u32::try_from(time.as_nanos() / u128::from(tokens.max(1))).ok()?;
        (tokens >= MIN_TOKENS && nanos > 0).then_some(Sample { server, work, nanos })
    }
}

impl Speeds {
    /// Records what this entry measured, to be told to its peers.
    pub fn record(&mut self, sample: Sample) {
        self.merge(sample);
        if self.untold.len() == MAX_UNTOLD {
            self.untold.pop_front();
        }
        self.untold.push_back(sample);
    }

    /// Records what a peer measured.
    pub fn merge(&mut self, sample: Sample) {
        let log = f64::from(sample.nanos.max(1)).ln();
        self.engines.entry((sample.server, sample.work)).or_default().record(log);
        self.usual.entry(sample.work).or_default().record(log);
    }

    /// Removes and returns what the peers are told: at most `max` of the samples since the last call,
    /// the newest first.
    pub fn take(&mut self, max: usize) -> Vec<Sample> {
        std::mem::take(&mut self.untold).into_iter().rev().take(max).collect()
    }

    /// Forgets an engine: a new process starts from what is usual.
    pub fn forget(&mut self, server: ids::ServerTag) {
        for work in [Work::Prompt, Work::Answer] {
            self.engines.remove(&(server, work));
        }
    }

    /// Time per token at an engine as a multiple of what is usual; 1 for one that is like the others or
    /// not known well enough.
    pub fn factor(&self, server: ids::ServerTag, work: Work) -> f64 {
        let known = self.engines.get(&(server, work)).zip(self.usual.get(&work));
        let Some((own, usual)) = known else { return 1.0 };
        let samples = f64::from(own.samples);
        let difference = (own.log - usual.log) * samples / (samples + PRIOR_SAMPLES);
        if difference.abs() < DEAD_BAND {
            return 1.0;
        }
        difference.clamp(-MAX_DIFFERENCE, MAX_DIFFERENCE).exp()
    }
}
