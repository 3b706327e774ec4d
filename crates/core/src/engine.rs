//! State of one engine: the memory and prefill time that all entries have committed to it.

use std::{collections, time};

use crate::{cells, fleet, ids, pauses};

/// A peer's report expires this long after it was received.
pub const PEER_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);
/// The report of another cell expires this long after it was received: one arrives about as often as
/// a heartbeat, and some are lost.
pub const DIGEST_TIMEOUT: time::Duration = time::Duration::from_millis(2_000);
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
    pub(crate) software: ids::SoftwareTag,
    pub(crate) usable: bool,
    // Whether another server answers at its address.
    pub(crate) misdirected: bool,
    pub(crate) slots: u32,
    pub(crate) memory: u32,
    pub(crate) runs: collections::BTreeMap<ids::RunId, Run>,
    // End of a change of stage; the engine gets no work until then.
    pub(crate) changing_until: Option<time::Instant>,
    // Time in which the engine gets no requests, because it has asked for that.
    pub(crate) paused: Option<pauses::Closed>,
    // Time in which it gets no requests, because this entry's part of its limit is used up.
    pub(crate) limited: Option<pauses::Closed>,
    // When the engine is expected to have read the prompts that this entry has sent.
    pub(crate) prefill_until: Option<time::Instant>,
    // After a hold that was refused to this entry or to a peer, the engine is not asked again until
    // then.
    pub(crate) full_until: Option<time::Instant>,
    // When a hold was last refused to this entry.
    pub(crate) refused_at: Option<time::Instant>,
    // Sum of the commitments of all peers whose reports have not expired.
    pub(crate) peers: Commitment,
    // Commitments of all entries, as the engine's cell last reported them; only for an engine of
    // another cell.
    pub(crate) digest: Option<Digest>,
    pub(crate) cell: cells::CellId,
    // Whether this entry belongs to the same cell.
    pub(crate) is_home: bool,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Run {
    pub(crate) need: Need,
    // Tokens generated so far.
    pub(crate) generated: u32,
    pub(crate) started_at: time::Instant,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Digest {
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

impl Commitment {
    /// Adds the commitment of another entry.
    pub fn add(&mut self, other: &Commitment) {
        self.tokens += other.tokens;
        self.runs += other.runs;
        self.prefill += other.prefill;
    }

    /// Removes a commitment that was added before.
    pub fn subtract(&mut self, other: &Commitment) {
        self.tokens = self.tokens.saturating_sub(other.tokens);
        self.runs = self.runs.saturating_sub(other.runs);
        self.prefill = self.prefill.saturating_sub(other.prefill);
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
    // Commitments of all entries. Those to an engine of another cell are the cell's last report and
    // what this entry has committed since.
    pub(crate) fn total(&self, now: time::Instant) -> Commitment {
        let digest = self.digest.filter(|_| !self.is_home);
        let fresh = digest.filter(|digest| now <= digest.received_at + DIGEST_TIMEOUT);
        let Some(digest) = fresh else {
            let mut total = self.own(now, None);
            total.add(&self.peers);
            return total;
        };
        let mut total = digest.commitment;
        let age = now.saturating_duration_since(digest.received_at);
        total.prefill = total.prefill.saturating_sub(age);
        total.add(&self.own(now, Some(digest.received_at)));
        total
    }

    // Commitments of this entry, of runs that have started since `since`.
    pub(crate) fn own(&self, now: time::Instant, since: Option<time::Instant>) -> Commitment {
        let runs =
            self.runs.values().filter(|run| since.is_none_or(|since| run.started_at >= since));
        let mut own = Commitment { prefill: self.own_backlog(now), ..Commitment::default() };
        for run in runs {
            own.tokens += run.charge();
            own.runs += 1;
        }
        own
    }

    // Whether the commitments of the other entries are known.
    pub(crate) fn is_reported(&self, now: time::Instant) -> bool {
        self.is_home || self.digest.is_some_and(|digest| now <= digest.received_at + DIGEST_TIMEOUT)
    }

    // Memory charged to all entries, in tokens.
    pub(crate) fn committed(&self, now: time::Instant) -> u32 {
        self.total(now).tokens
    }

    // Committed share of the capacity, in thousandths.
    pub(crate) fn fill(&self, now: time::Instant) -> u32 {
        (u64::from(self.committed(now)) * 1000 / u64::from(self.capacity().max(1))) as u32
    }

    // Whether it goes on serving at its address.
    pub(crate) fn is_staying(&self) -> bool {
        self.usable && !self.misdirected
    }

    pub(crate) fn is_changing(&self, now: time::Instant) -> bool {
        self.changing_until.is_some_and(|until| now < until)
    }

    // Time in which it gets no requests because of a pause or a limit.
    pub(crate) fn closed(&self, now: time::Instant) -> Option<pauses::Closed> {
        pauses::later(self.paused, self.limited, now)
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
        self.total(now).prefill
    }

    pub(crate) fn fits(&self, charge: u32, now: time::Instant) -> bool {
        if self.full_until.is_some_and(|until| now < until) {
            return false;
        }
        let total = self.total(now);
        total.runs < self.slots && total.tokens + charge <= self.capacity()
    }

    // Requests that need `charge` each and fit.
    pub(crate) fn places(&self, charge: u32, now: time::Instant) -> u32 {
        if !self.fits(charge, now) {
            return 0;
        }
        let total = self.total(now);
        let free = self.capacity().saturating_sub(total.tokens);
        (free / charge.max(1)).min(self.slots.saturating_sub(total.runs))
    }

    // Whether a request that needs `spare` fits beside one that needs `charge`.
    pub(crate) fn fits_beside(&self, charge: u32, spare: u32, now: time::Instant) -> bool {
        self.fits(charge + spare, now) && self.total(now).runs + 1 < self.slots
    }
}
