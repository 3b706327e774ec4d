//! How many engines read prompts, and which one changes its stage.
//!
//! A request takes engine time at a prefill engine and, as a share of its memory, at a decode
//! engine. A service carries most where both stages are as busy as each other.

use std::{collections, time};

use serde::{Deserialize, Serialize};

use crate::{fleet, ids};

/// Engine time that requests have taken so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Prompts read.
    pub prompts: u64,
    /// Time of prefill engines.
    pub prefill: time::Duration,
    /// Runs that have ended.
    pub runs: u64,
    /// Time of decode engines, each run counted by its share of the memory.
    pub decode: time::Duration,
}

impl Usage {
    /// Sum of both.
    pub fn plus(&self, other: &Usage) -> Usage {
        Usage {
            prompts: self.prompts + other.prompts,
            prefill: self.prefill + other.prefill,
            runs: self.runs + other.runs,
            decode: self.decode + other.decode,
        }
    }

    // Costs since `earlier`, where enough has ended since; an entry may have started anew.
    fn costs_since(&self, earlier: &Usage) -> Option<Costs> {
        let prompts = self.prompts.checked_sub(earlier.prompts)?;
        let runs = self.runs.checked_sub(earlier.runs)?;
        if prompts < MIN_SAMPLE || runs < MIN_SAMPLE {
            return None;
        }
        let prefill = self.prefill.checked_sub(earlier.prefill)?;
        let decode = self.decode.checked_sub(earlier.decode)?;
        Some(Costs {
            prefill: prefill.as_secs_f64() / prompts as f64,
            decode: decode.as_secs_f64() / runs as f64,
        })
    }
}

/// Mean engine time that one request takes at each stage.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Costs {
    /// Time of a prefill engine, in seconds.
    pub prefill: f64,
    /// Time of a decode engine, in seconds of the whole engine.
    pub decode: f64,
}

/// One engine that may change its stage.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Engine.
    pub id: ids::ServerName,
    /// Availability zone.
    pub zone: ids::ZoneName,
    /// Stage, or the one that it changes to.
    pub stage: fleet::Stage,
    /// Whether it is changing its stage.
    pub is_changing: bool,
}

/// A change of stage to be ordered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Engine.
    pub id: ids::ServerName,
    /// New stage.
    pub to: fleet::Stage,
}

/// Plans changes of stage, slowly.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    history: collections::VecDeque<(time::Instant, Usage)>,
    // Which stage is too large, and since when.
    surplus: Option<(fleet::Stage, time::Instant)>,
}

/// Requests that have ended before their means are relied on.
const MIN_SAMPLE: u64 = 60;
/// Costs are means over this time: longer than one answer, shorter than a change of traffic.
const SAMPLE_TIME: time::Duration = time::Duration::from_secs(12);
/// Prefill engines beyond the balanced number: bursts bring up to twice the mean, and prompts
/// that wait hold decode memory meanwhile. Of 1.3, 1.7 and 2.0 the one that served most on the
/// users' larger sites (docs/POLICY.md).
const PREFILL_MARGIN: f64 = 1.7;
/// A surplus is acted on when it has lasted this long: longer than a clump, shorter than a burst.
const PATIENCE: time::Duration = time::Duration::from_millis(1_500);
/// The same where decode engines are too many.
const RETURN_PATIENCE: time::Duration = time::Duration::from_secs(4);
/// Decode engines become prefill engines only at a lack of this many: the way back costs twice
/// the time of a change.
const RETURN_LACK: usize = 2;

/// Prefill engines that balance the stages of `count` engines.
pub fn balanced(costs: Costs, count: usize) -> usize {
    let share = costs.prefill / (costs.prefill + costs.decode).max(f64::MIN_POSITIVE);
    let wanted = (share * count as f64 * PREFILL_MARGIN).ceil() as usize;
    wanted.clamp(1, count.saturating_sub(1).max(1))
}

impl Planner {
    /// Mean costs of the last requests, once enough have ended.
    pub fn costs(&mut self, usage: Usage, now: time::Instant) -> Option<Costs> {
        while self.history.get(1).is_some_and(|(at, _)| *at + SAMPLE_TIME <= now) {
            self.history.pop_front();
        }
        // At first only short runs have ended, beside long ones that are open.
        if self.history.is_empty() && usage.runs < MIN_SAMPLE {
            return None;
        }
        self.history.push_back((now, usage));
        let costs = self.history.front().and_then(|(_, earlier)| usage.costs_since(earlier));
        if costs.is_none() && self.history.front().is_some_and(|(_, old)| old.runs > usage.runs) {
            self.history.clear();
        }
        costs
    }

    /// Changes to order now; `candidates` are the engines that do not leave.
    pub fn plan(
        &mut self,
        costs: Costs,
        candidates: &[Candidate],
        now: time::Instant,
    ) -> Vec<Change> {
        let prefill = candidates.iter().filter(|one| one.stage == fleet::Stage::Prefill).count();
        let wanted = balanced(costs, candidates.len());
        let (surplus, count) = if prefill > wanted {
            (fleet::Stage::Prefill, prefill - wanted)
        } else if prefill + RETURN_LACK <= wanted {
            (fleet::Stage::Decode, wanted - prefill)
        } else {
            self.surplus = None;
            return Vec::new();
        };
        let since = match self.surplus {
            Some((stage, since)) if stage == surplus => since,
            _ => now,
        };
        self.surplus = Some((surplus, since));
        let patience = match surplus {
            fleet::Stage::Prefill => PATIENCE,
            fleet::Stage::Decode => RETURN_PATIENCE,
        };
        if now < since + patience {
            return Vec::new();
        }
        self.surplus = None;
        choose(surplus, count, candidates)
    }
}

// Takes engines from the zones that have most of the stage.
fn choose(from: fleet::Stage, count: usize, candidates: &[Candidate]) -> Vec<Change> {
    let mut zones: collections::BTreeMap<&ids::ZoneName, Vec<&ids::ServerName>> =
        collections::BTreeMap::new();
    let is_free = |one: &&Candidate| one.stage == from && !one.is_changing;
    for candidate in candidates.iter().filter(is_free) {
        zones.entry(&candidate.zone).or_default().push(&candidate.id);
    }
    let to = from.other();
    let mut changes = Vec::new();
    while changes.len() < count {
        let Some(ids) = zones.values_mut().max_by_key(|ids| ids.len()) else { break };
        let Some(id) = ids.pop() else { break };
        changes.push(Change { id: id.clone(), to });
    }
    changes
}
