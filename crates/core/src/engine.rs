//! State of one engine: the memory and prefill time that all entries have committed to it.

use std::{collections, time};

use crate::{fleet, ids};

/// A peer's report expires this long after it was received.
pub const PEER_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);
/// Share of the expected output that is charged: the runs of one engine do not all reach their full
/// length at the same time.
const OUTPUT_SHARE: f64 = 0.6;
/// Charge per generated token of a run that exceeds its estimate; it is expected to generate some
/// more.
const OVERRUN_FACTOR: f64 = 1.1;
/// Share of the memory that may be committed; the rest absorbs answers longer than expected.
const MEMORY_SHARE: f64 = 0.95;

/// Memory that a request needs at a decode engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Need {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Tokens expected to be generated.
    pub output: u32,
}

/// Work that one entry has committed to one engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Commitment {
    /// Memory charged for its requests, in tokens.
    pub tokens: u32,
    /// Requests that hold a commitment.
    pub runs: u32,
    /// Prefill work that is not done yet.
    pub prefill: time::Duration,
}

#[derive(Clone, Debug)]
pub(crate) struct Engine {
    pub(crate) zone: ids::ZoneName,
    pub(crate) stage: fleet::Stage,
    pub(crate) usable: bool,
    pub(crate) slots: u32,
    pub(crate) memory: u32,
    pub(crate) runs: collections::BTreeMap<ids::RunId, Run>,
    // End of a change of stage; the engine gets no work until then.
    pub(crate) changing_until: Option<time::Instant>,
    // When the engine is expected to have read the prompts that this entry has sent.
    pub(crate) prefill_until: Option<time::Instant>,
    // After a refused hold, the engine is not asked again until then.
    pub(crate) full_until: Option<time::Instant>,
    pub(crate) peers: collections::BTreeMap<String, PeerReport>,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Run {
    pub(crate) need: Need,
    // Tokens generated so far.
    pub(crate) generated: u32,
    pub(crate) started_at: time::Instant,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerReport {
    pub(crate) commitment: Commitment,
    pub(crate) received_at: time::Instant,
}

/// Estimated use of an engine's memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Estimate {
    /// Committed share of the engine's capacity, in thousandths.
    pub fill: u32,
    /// Age of the oldest peer report that the estimate includes.
    pub age: time::Duration,
}

impl Need {
    /// Memory that the request uses when its answer is complete, in tokens.
    pub fn total(&self) -> u32 {
        self.prompt + self.output
    }

    /// Memory charged for the request, in tokens.
    pub fn charge(&self) -> u32 {
        self.prompt + (f64::from(self.output) * OUTPUT_SHARE) as u32
    }
}

impl Run {
    // A run that exceeds its estimate is charged for its tokens so far and for some more.
    pub(crate) fn charge(&self) -> u32 {
        let output = (f64::from(self.generated) * OVERRUN_FACTOR) as u32;
        self.need.charge().max(self.need.prompt + output)
    }

    // Engine time: the run's share of the memory times its duration.
    pub(crate) fn engine_time(&self, capacity: u32, now: time::Instant) -> time::Duration {
        let share = f64::from(self.charge()) / f64::from(capacity.max(1));
        now.saturating_duration_since(self.started_at).mul_f64(share)
    }
}

impl Engine {
    // Commitments of peers whose reports have not expired.
    pub(crate) fn peers(&self, now: time::Instant) -> impl Iterator<Item = &Commitment> {
        let is_fresh = move |report: &&PeerReport| now <= report.received_at + PEER_TIMEOUT;
        self.peers.values().filter(is_fresh).map(|report| &report.commitment)
    }

    // Memory charged to all entries, in tokens.
    pub(crate) fn committed(&self, now: time::Instant) -> u32 {
        let own: u32 = self.runs.values().map(Run::charge).sum();
        own + self.peers(now).map(|peer| peer.tokens).sum::<u32>()
    }

    pub(crate) fn running(&self, now: time::Instant) -> u32 {
        self.runs.len() as u32 + self.peers(now).map(|peer| peer.runs).sum::<u32>()
    }

    pub(crate) fn estimate(&self, now: time::Instant) -> Estimate {
        let fill = u64::from(self.committed(now)) * 1000 / u64::from(self.capacity().max(1));
        let ages =
            self.peers.values().map(|report| now.saturating_duration_since(report.received_at));
        let age = ages.filter(|age| *age <= PEER_TIMEOUT).max().unwrap_or_default();
        Estimate { fill: fill as u32, age }
    }

    pub(crate) fn is_changing(&self, now: time::Instant) -> bool {
        self.changing_until.is_some_and(|until| now < until)
    }

    // Memory that may be committed, in tokens.
    pub(crate) fn capacity(&self) -> u32 {
        (f64::from(self.memory) * MEMORY_SHARE) as u32
    }

    // Time until the prompts that this entry has sent are read.
    pub(crate) fn own_backlog(&self, now: time::Instant) -> time::Duration {
        self.prefill_until
            .map_or(time::Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    // Time until the prompts that all entries have sent are read.
    pub(crate) fn prefill_backlog(&self, now: time::Instant) -> time::Duration {
        self.own_backlog(now) + self.peers(now).map(|peer| peer.prefill).sum::<time::Duration>()
    }

    pub(crate) fn fits(&self, charge: u32, now: time::Instant) -> bool {
        let is_full = self.full_until.is_some_and(|until| now < until);
        let has_slot = self.running(now) < self.slots;
        !is_full && has_slot && self.committed(now) + charge <= self.capacity()
    }
}
