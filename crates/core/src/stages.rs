//! Balance between prefill and decode engines, and the choice of engines that change their stage.
//!
//! A request uses time of a prefill engine, and time of a decode engine in proportion to its share
//! of the memory. The throughput of a service is highest when both stages are equally busy.

use std::{collections, time};

use serde::{Deserialize, Serialize};

use crate::{fleet, ids};

/// Engine time that requests have used so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Prompts read.
    pub prompts: u64,
    /// Time used at prefill engines.
    pub prefill: time::Duration,
    /// Runs that have ended.
    pub runs: u64,
    /// Time used at decode engines, weighted by each run's share of the memory.
    pub decode: time::Duration,
}

impl Usage {
    /// Returns the sum of both usages.
    pub fn plus(&self, other: &Usage) -> Usage {
        Usage {
            prompts: self.prompts + other.prompts,
            prefill: self.prefill + other.prefill,
            runs: self.runs + other.runs,
            decode: self.decode + other.decode,
        }
    }

    // Costs since `earlier`; `None` with too few requests since then, or if an entry has restarted
    // and its counts begin at zero again.
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

/// Mean engine time of one request at each stage.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Costs {
    /// Time at a prefill engine, in seconds.
    pub prefill: f64,
    /// Time at a decode engine, in seconds of the whole engine.
    pub decode: f64,
}

/// One engine that may change its stage.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Name of the engine.
    pub id: ids::ServerName,
    /// Availability zone.
    pub zone: ids::ZoneName,
    /// Its stage, or the one that it is changing to.
    pub stage: fleet::Stage,
    /// Version of its software.
    pub software: ids::SoftwareTag,
    /// Whether it gets no order now: it is changing its stage, or wants no requests.
    pub is_fixed: bool,
}

/// A change of an engine's stage.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Name of the engine.
    pub id: ids::ServerName,
    /// New stage.
    pub to: fleet::Stage,
}

/// Plans changes of stage; acts only on an imbalance that lasts.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    history: collections::VecDeque<(time::Instant, Usage)>,
    // When requests waited for decode memory.
    waits: collections::BTreeSet<time::Instant>,
    // Stage that has too many engines, and since when.
    surplus: Option<(fleet::Stage, time::Instant)>,
}

/// Number of requests that a sample needs before its means are used.
const MIN_SAMPLE: u64 = 60;
/// Window of the mean costs: longer than one answer, shorter than a change of traffic.
const SAMPLE_WINDOW: time::Duration = time::Duration::from_secs(12);
/// Largest factor on the balanced number of prefill engines: bursts reach twice the mean rate, and
/// prompts that wait hold decode memory meanwhile. 1.7 served more requests than 1.3 or 2.0 on
/// the users' larger sites (docs/POLICY.md).
const PREFILL_MARGIN: f64 = 1.7;
/// Spare prefill engines per square root of the balanced number (square-root staffing): in a larger
/// pool less of the capacity has to be spare for the same wait. It gives the factor above at 45
/// engines.
const SPARE_PER_ROOT: f64 = 1.94;
/// Time that a surplus of prefill engines must last before engines change: longer than a cluster
/// of requests, shorter than a burst.
const PREFILL_SURPLUS_TIME: time::Duration = time::Duration::from_millis(1_500);
/// Time that a surplus of decode engines must last before engines change.
const DECODE_SURPLUS_TIME: time::Duration = time::Duration::from_secs(4);
/// Shortage of prefill engines from which decode engines change to prefill: a change that has to
/// be reversed costs twice the time.
const MIN_PREFILL_SHORTAGE: usize = 2;

/// The same while decode memory is short: about a fifth of the prompts find all engines busy then,
/// and wait for less than the time of one prompt.
const SPARE_WHEN_SHORT: f64 = 1.0;
/// Part of the sample window in which requests must have waited for decode memory for it to count
/// as short.
const SHORTAGE_SHARE: f64 = 0.25;
/// Least time over which the load of prefill engines is measured: longer than a cluster of requests.
const LOAD_WINDOW: time::Duration = time::Duration::from_secs(4);

// Prefill engines that are busy when all of `count` engines are.
fn full_load(costs: Costs, count: usize) -> f64 {
    costs.prefill / (costs.prefill + costs.decode).max(f64::MIN_POSITIVE) * count as f64
}

/// Number of prefill engines that balances the stages of `count` engines.
pub fn balanced(costs: Costs, count: usize) -> usize {
    let load = full_load(costs, count);
    let wanted = (load * PREFILL_MARGIN).min(load + SPARE_PER_ROOT * load.sqrt()).ceil() as usize;
    wanted.clamp(1, count.saturating_sub(1).max(1))
}

impl Planner {
    /// Mean costs of the requests in the sample window; `None` until enough have ended.
    pub fn costs(&mut self, usage: Usage, now: time::Instant) -> Option<Costs> {
        while self.history.get(1).is_some_and(|(at, _)| *at + SAMPLE_WINDOW <= now) {
            self.history.pop_front();
        }
        // At first only short runs have ended, while long ones are still open.
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

    /// Records whether requests wait for decode memory at any entry.
    pub fn record_wait(&mut self, is_waiting: bool, now: time::Instant) {
        self.waits.retain(|at| now < *at + SAMPLE_WINDOW);
        if is_waiting {
            self.waits.insert(now);
        }
    }

    /// Whether requests have waited for decode memory for a good part of the sample window.
    pub fn is_decode_short(&self) -> bool {
        let (Some((first, _)), Some((last, _))) = (self.history.front(), self.history.back())
        else {
            return false;
        };
        let waits = self.waits.len() as f64;
        *first + LOAD_WINDOW <= *last && waits >= SHORTAGE_SHARE * self.history.len() as f64
    }

    /// Highest number of prefill engines that were busy in the sample window.
    pub fn prefill_load(&self) -> Option<f64> {
        let spans = self.history.iter().enumerate().filter_map(|(index, (from, earlier))| {
            let later = self.history.range(index..).find(|(at, _)| *from + LOAD_WINDOW <= *at);
            let (to, usage) = later?;
            let used = usage.prefill.checked_sub(earlier.prefill)?;
            Some(used.as_secs_f64() / (*to - *from).as_secs_f64())
        });
        spans.max_by(f64::total_cmp)
    }

    // Least and greatest number of prefill engines for the load. While decode memory is short no more
    // prompts come than find memory, so that spare prefill engines are only needed for what is
    // measured, and no engine leaves decode before the prefill engines are all busy.
    fn wanted(&self, costs: Costs, count: usize) -> (usize, usize) {
        let balanced = balanced(costs, count);
        let Some(load) = self.prefill_load().filter(|_| self.is_decode_short()) else {
            return (balanced, balanced);
        };
        let staffed = (load + SPARE_WHEN_SHORT * load.sqrt()).max(full_load(costs, count));
        let most = (staffed.ceil() as usize).min(balanced);
        (most.min(load.ceil() as usize), most)
    }

    /// Returns the changes to order now; `candidates` are the engines that are not leaving.
    pub fn plan(
        &mut self,
        costs: Costs,
        candidates: &[Candidate],
        now: time::Instant,
    ) -> Vec<Change> {
        let missing = missing_decode(candidates);
        if !missing.is_empty() {
            return missing;
        }
        let is_prefill = |candidate: &&Candidate| candidate.stage == fleet::Stage::Prefill;
        let prefill = candidates.iter().filter(is_prefill).count();
        let (least, most) = self.wanted(costs, candidates.len());
        let (surplus, count) = if prefill > most {
            (fleet::Stage::Prefill, prefill - most)
        } else if prefill + MIN_PREFILL_SHORTAGE <= least {
            (fleet::Stage::Decode, least - prefill)
        } else {
            self.surplus = None;
            return Vec::new();
        };
        let since = match self.surplus {
            Some((stage, since)) if stage == surplus => since,
            _ => now,
        };
        self.surplus = Some((surplus, since));
        let delay = match surplus {
            fleet::Stage::Prefill => PREFILL_SURPLUS_TIME,
            fleet::Stage::Decode => DECODE_SURPLUS_TIME,
        };
        if now < since + delay {
            return Vec::new();
        }
        self.surplus = None;
        choose(surplus, count, candidates)
    }
}

// Changes that give each version of the software with several engines one that generates tokens:
// streams go on only at the version that began them.
fn missing_decode(candidates: &[Candidate]) -> Vec<Change> {
    let mut versions: collections::BTreeMap<ids::SoftwareTag, Vec<&Candidate>> =
        collections::BTreeMap::new();
    for candidate in candidates {
        versions.entry(candidate.software).or_default().push(candidate);
    }
    let lacks = |engines: &&Vec<&Candidate>| {
        engines.len() > 1 && engines.iter().all(|engine| engine.stage == fleet::Stage::Prefill)
    };
    let chosen = versions.values().filter(lacks);
    let chosen = chosen.filter_map(|engines| engines.iter().find(|engine| !engine.is_fixed));
    chosen.map(|engine| Change { id: engine.id.clone(), to: fleet::Stage::Decode }).collect()
}

// Engines that may leave `from`: of each version of the software one stays that generates tokens.
fn spare_engines(from: fleet::Stage, candidates: &[Candidate]) -> Vec<&Candidate> {
    let mut kept = collections::BTreeSet::new();
    let mut spare = Vec::new();
    let engines = || candidates.iter().filter(|candidate| candidate.stage == from);
    // One that is fixed stays anyway.
    for engine in engines().filter(|engine| engine.is_fixed) {
        kept.insert(engine.software);
    }
    for engine in engines().filter(|engine| !engine.is_fixed) {
        if from == fleet::Stage::Prefill || !kept.insert(engine.software) {
            spare.push(engine);
        }
    }
    spare
}

// Chooses `count` engines of stage `from`, each in the zone with the most of them left.
fn choose(from: fleet::Stage, count: usize, candidates: &[Candidate]) -> Vec<Change> {
    let mut zones: collections::BTreeMap<&ids::ZoneName, Vec<&ids::ServerName>> =
        collections::BTreeMap::new();
    for candidate in spare_engines(from, candidates) {
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
