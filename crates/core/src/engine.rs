//! One engine: the memory and prefill time that all entries have committed there.

use std::{collections, time};

use crate::{fleet, ids};

/// What a peer said is void after this time without news of it.
pub const PEER_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);
/// Part of an expected answer that is charged: runs are at different points of their growth.
const OUTPUT_SHARE: f64 = 0.6;
/// Charge for the tokens of a run that has outgrown its estimate: it goes on for a while.
const OVERRUN: f64 = 1.1;
/// Part of the memory that is given away; the rest takes answers longer than expected.
const MEMORY_SHARE: f64 = 0.95;

/// What a request needs of a decode engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Need {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Tokens expected to be generated.
    pub output: u32,
}

/// Work that one entry has given to one engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Commitment {
    /// Memory that is expected to be taken, in tokens.
    pub tokens: u32,
    /// Requests.
    pub runs: u32,
    /// Prefill work that is left.
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
    // Changing its stage; it takes no work until then.
    pub(crate) changing_until: Option<time::Instant>,
    pub(crate) prefill_until: Option<time::Instant>,
    // An engine that refused to set memory aside is not asked again until then.
    pub(crate) full_until: Option<time::Instant>,
    pub(crate) peers: collections::BTreeMap<String, Told>,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Run {
    pub(crate) need: Need,
    // Tokens generated so far.
    pub(crate) generated: u32,
    pub(crate) since: time::Instant,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Told {
    pub(crate) commitment: Commitment,
    pub(crate) at: time::Instant,
}

/// What an entry believes of an engine's memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Estimate {
    /// Committed share of the memory, in thousandths.
    pub fill: u32,
    /// Age of the oldest news from a peer that is in it.
    pub age: time::Duration,
}

impl Need {
    /// Memory that the request takes at its end, in tokens.
    pub fn total(&self) -> u32 {
        self.prompt + self.output
    }

    /// Memory charged for the request, in tokens.
    pub fn charge(&self) -> u32 {
        self.prompt + (f64::from(self.output) * OUTPUT_SHARE) as u32
    }
}

impl Run {
    // A run that outgrows its estimate is charged for what it has, and for going on.
    pub(crate) fn charge(&self) -> u32 {
        let outgrown = (f64::from(self.generated) * OVERRUN) as u32;
        self.need.charge().max(self.need.prompt + outgrown)
    }

    // Share of the engine's memory times the time for which it was held.
    pub(crate) fn exposure(&self, room: u32, now: time::Instant) -> time::Duration {
        let share = f64::from(self.charge()) / f64::from(room.max(1));
        now.saturating_duration_since(self.since).mul_f64(share)
    }
}

impl Engine {
    pub(crate) fn peers(&self, now: time::Instant) -> impl Iterator<Item = &Commitment> {
        let is_fresh = move |told: &&Told| now <= told.at + PEER_TIMEOUT;
        self.peers.values().filter(is_fresh).map(|told| &told.commitment)
    }

    pub(crate) fn tokens(&self, now: time::Instant) -> u32 {
        let own: u32 = self.runs.values().map(Run::charge).sum();
        own + self.peers(now).map(|peer| peer.tokens).sum::<u32>()
    }

    pub(crate) fn running(&self, now: time::Instant) -> u32 {
        self.runs.len() as u32 + self.peers(now).map(|peer| peer.runs).sum::<u32>()
    }

    pub(crate) fn estimate(&self, now: time::Instant) -> Estimate {
        let fill = u64::from(self.tokens(now)) * 1000 / u64::from(self.room().max(1));
        let ages = self.peers.values().map(|told| now.saturating_duration_since(told.at));
        let age = ages.filter(|age| *age <= PEER_TIMEOUT).max().unwrap_or_default();
        Estimate { fill: fill as u32, age }
    }

    pub(crate) fn is_changing(&self, now: time::Instant) -> bool {
        self.changing_until.is_some_and(|until| now < until)
    }

    pub(crate) fn room(&self) -> u32 {
        (f64::from(self.memory) * MEMORY_SHARE) as u32
    }

    pub(crate) fn own_prefill(&self, now: time::Instant) -> time::Duration {
        self.prefill_until
            .map_or(time::Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    pub(crate) fn prefill(&self, now: time::Instant) -> time::Duration {
        self.own_prefill(now) + self.peers(now).map(|peer| peer.prefill).sum::<time::Duration>()
    }

    pub(crate) fn fits(&self, charge: u32, now: time::Instant) -> bool {
        let is_full = self.full_until.is_some_and(|until| now < until);
        let is_free = self.running(now) < self.slots;
        !is_full && is_free && self.tokens(now) + charge <= self.room()
    }
}
