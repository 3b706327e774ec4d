//! Memory and prefill time that all entries have committed to the engines of a service.
//!
//! Engines report their load with a delay. An entry therefore counts the work that it has sent
//! itself and adds the commitments that its peers report.

use std::{cmp, collections, time};

use crate::{cells, engine, fleet, ids, parts, pauses, reports, speeds, stages, urgency};

/// Engines of one service.
#[derive(Clone, Debug, Default)]
pub struct Engines {
    engines: collections::BTreeMap<ids::ServerName, engine::Engine>,
    // Requests that wait for decode memory.
    queue: collections::BTreeSet<Position>,
    turns: urgency::Turns,
    parts: parts::Parts,
    // When this entry's last requests were granted memory.
    grants: collections::VecDeque<time::Instant>,
    // Mean charge of the last requests, in tokens.
    mean_charge: Option<f64>,
    // Mean time for which a run holds memory, in seconds.
    run_time: Option<f64>,
    // Mean time to generate one token, in seconds, and when the last answer ended.
    token_time: Option<(f64, time::Instant)>,
    speeds: speeds::Speeds,
    usage: stages::Usage,
    peer_usage: collections::BTreeMap<String, stages::Usage>,
    // Usage of other cells, as their speakers report it.
    cell_usage: collections::BTreeMap<cells::CellId, stages::Usage>,
    // Names by tag.
    names: collections::BTreeMap<ids::ServerTag, ids::ServerName>,
    peers: reports::Reports,
    partition: cells::Partition,
    own_cell: cells::CellId,
}

/// Position of a request in the queue for decode memory: the most urgent first; among these, those
/// that can meet their latency targets; among these, in order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// Urgency.
    pub urgency: urgency::Urgency,
    /// Whether it can no longer meet its latency target; it is served after those that can.
    pub overdue: bool,
    /// When the request arrived.
    pub arrived: time::Instant,
    /// Run of the request.
    pub run: ids::RunId,
}

/// Time before a full engine is asked again: about the interval between the ends of its runs.
const FULL_RETRY: time::Duration = time::Duration::from_millis(150);
/// The same for an engine of another cell, whose commitments are known less well.
const FOREIGN_RETRY: time::Duration = time::Duration::from_millis(1_000);
/// Prompt tokens that an engine reads in a millisecond.
const TOKENS_PER_MS: u64 = 33;
/// Factor on the prefill time at a decode engine, which reads prompts at half the speed and runs
/// its decode steps in between.
const DECODE_PREFILL_FACTOR: u64 = 3;
/// Fixed cost of a prefill: the call and the first step.
const PREFILL_BASE: time::Duration = time::Duration::from_millis(10);
/// Steps into which the fill of an engine is divided; engines in the same step rank as equal.
const MEMORY_STEPS: u32 = 16;
/// Prefill engines whose waits fall into the same step of this length rank as equal.
const PREFILL_STEP: time::Duration = time::Duration::from_millis(30);
/// Time added to the expected wait at a prefill engine in another availability zone.
const REMOTE_PENALTY: time::Duration = time::Duration::from_millis(60);
/// Steps of fill that an engine of another cell ranks behind one of the own cell, since its
/// commitments are known less well and its transfers may cross availability zones.
const FOREIGN_STEPS: u32 = 6;
/// Requests of mean size that must fit into an engine of another cell beside the one that is placed
/// there: its own cell fills it in the meantime.
const FOREIGN_SPARE: u32 = 2;
/// Window over which the rate of grants is counted: about half the duration of an answer.
const GRANT_WINDOW: time::Duration = time::Duration::from_secs(2);
/// Weight of one request in the moving average of the charge: about twenty requests count.
const CHARGE_WEIGHT: f64 = 0.05;
/// Weight of one run in the moving average of their time.
const RUN_TIME_WEIGHT: f64 = 0.05;
/// Share of the mean time of a run for which an engine that refused a peer is not asked, at most
/// [`FULL_RETRY`]: a full engine frees memory several times in the time of a run.
const PEER_RETRY_SHARE: f64 = 0.04;
/// Mean time of a run, in seconds, below which memory changes hands so often that it is reported at
/// once.
const SHORT_RUN_TIME: f64 = 1.5;
/// Weight of one answer in the moving average of the time per token.
const TOKEN_TIME_WEIGHT: f64 = 0.05;
/// Time without an answer after which the time per token is no longer known: requests are refused for
/// it, and only answers correct it.
const TOKEN_TIME_TTL: time::Duration = time::Duration::from_secs(10);

// Orders engines that rank as equal: FNV-1a of the id, seeded with `draw` and mixed by the
// finalizer of MurmurHash3.
fn tie_break(id: &str, draw: u64) -> u64 {
    let fold = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    let mut hash = id.bytes().fold(draw, fold);
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}

/// Time that an idle prefill engine needs to read a prompt.
pub fn prefill_time(tokens: u32) -> time::Duration {
    PREFILL_BASE + time::Duration::from_millis(u64::from(tokens) / TOKENS_PER_MS)
}

impl Engines {
    /// Adds or updates an engine.
    pub fn set(&mut self, id: &str, instance: &fleet::Instance, slots: u32, memory: u32) {
        let Some(stage) = instance.stage else { return };
        let software = ids::software_tag(&instance.service, &instance.software);
        let new = || engine::Engine {
            zone: instance.zone.clone(),
            stage,
            software,
            usable: true,
            misdirected: false,
            slots,
            memory,
            runs: collections::BTreeMap::new(),
            changing_until: None,
            paused: None,
            limited: None,
            prefill_until: None,
            full_until: None,
            refused_at: None,
            peers: engine::Commitment::default(),
            digest: None,
            cell: self.partition.engine(id, ids::zone_tag(&instance.zone)),
            is_home: true,
        };
        if !self.engines.contains_key(id) {
            let tag = ids::server_tag(id);
            self.names.insert(tag, id.to_string());
            let mut engine = new();
            engine.peers = self.peers.sum(tag);
            engine.is_home = engine.cell == self.own_cell;
            self.engines.insert(id.to_string(), engine);
        }
        let Some(engine) = self.engines.get_mut(id) else { return };
        if engine.stage != stage {
            engine.changing_until = None;
        }
        engine.stage = stage;
        engine.software = software;
        engine.usable = !instance.leaving;
        engine.slots = slots;
        engine.memory = memory;
    }

    /// Removes an engine and the commitments to it.
    pub fn remove(&mut self, id: &str) {
        self.engines.remove(id);
        self.names.remove(&ids::server_tag(id));
        self.speeds.forget(ids::server_tag(id));
    }

    /// Sets the partition of the fleet, and the cell of this entry in it.
    pub fn set_cells(&mut self, partition: &cells::Partition, own: cells::CellId) {
        if self.partition == *partition && self.own_cell == own {
            return;
        }
        (self.partition, self.own_cell) = (partition.clone(), own);
        self.peer_usage.clear();
        self.cell_usage.clear();
        for (id, engine) in &mut self.engines {
            engine.cell = partition.engine(id, ids::zone_tag(&engine.zone));
            engine.is_home = engine.cell == own;
        }
    }

    /// Stops sending new work to an engine.
    pub fn set_unusable(&mut self, id: &str) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.usable = false;
        }
    }

    /// Sets whether another server answers at the address of an engine, which then gets no requests.
    pub fn set_misdirected(&mut self, id: &str, misdirected: bool) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.misdirected = misdirected;
        }
    }

    /// Stage of an engine.
    pub fn stage(&self, id: &str) -> Option<fleet::Stage> {
        self.engines.get(id).map(|engine| engine.stage)
    }

    /// Sends no requests to an engine that has asked for that.
    pub fn set_paused(&mut self, id: &str, paused: Option<pauses::Closed>) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.paused = paused;
        }
    }

    /// Sends no requests to an engine at which this entry's part of the limit is used up.
    pub fn set_limited(&mut self, id: &str, limited: Option<pauses::Closed>) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.limited = limited;
        }
    }

    /// When the first engine of `stage` may be sent to again, if all that could serve are paused or at
    /// their limits.
    pub fn paused(&self, stage: fleet::Stage, now: time::Instant) -> Option<pauses::Closed> {
        let serves = |engine: &engine::Engine| {
            engine.is_staying() && engine.stage == stage && !engine.is_changing(now)
        };
        let serving = self.engines.values().filter(|engine| serves(engine));
        // One that is open sorts first.
        serving.map(|engine| engine.closed(now)).min().flatten()
    }

    // Engines of `stage` that accept new work.
    fn available(
        &self,
        stage: fleet::Stage,
        now: time::Instant,
    ) -> impl Iterator<Item = (&ids::ServerName, &engine::Engine)> + Clone {
        let accepts = move |engine: &engine::Engine| {
            engine.is_staying() && !engine.is_changing(now) && engine.closed(now).is_none()
        };
        self.engines.iter().filter(move |(_, engine)| engine.stage == stage && accepts(engine))
    }

    /// Whether a decode engine of the version `software` stays, also one that gets no requests now.
    pub fn has_decode(&self, software: ids::SoftwareTag) -> bool {
        let is_decode = |engine: &engine::Engine| {
            engine.is_staying()
                && engine.stage == fleet::Stage::Decode
                && engine.software == software
        };
        self.engines.values().any(is_decode)
    }

    /// Version of the software of an engine.
    pub fn software(&self, id: &str) -> Option<ids::SoftwareTag> {
        self.engines.get(id).map(|engine| engine.software)
    }

    /// Adds a request to the queue for decode memory, unless it is queued already.
    pub fn enqueue(&mut self, position: Position) {
        self.queue.insert(position);
    }

    /// Removes a request from the queue.
    pub fn dequeue(&mut self, position: Position) {
        self.queue.remove(&position);
    }

    /// Expected time until a new request at `position` gets memory, from the number of requests
    /// before it and the recent rate of grants.
    ///
    /// Zero if none is before it.
    pub fn expected_wait(&self, position: Position, now: time::Instant) -> time::Duration {
        let grants = self.grants.iter().filter(|at| now <= **at + GRANT_WINDOW);
        GRANT_WINDOW * self.before(position) as u32 / grants.count().max(1) as u32
    }

    /// Number of requests in the queue before the one at `position`.
    pub fn before(&self, position: Position) -> usize {
        self.queue.range(..position).count()
    }

    /// Whether it is the turn of the request at `position`: none in the queue comes before it, or
    /// enough more urgent ones have been served while it was the first of its urgency.
    pub fn is_next(&self, position: Position) -> bool {
        let due = self.turns.due();
        match self.queue.iter().find(|waiting| Some(waiting.urgency) == due) {
            Some(first) => first.urgency == position.urgency && *first >= position,
            None => self.queue.first().is_none_or(|first| *first >= position),
        }
    }

    /// Urgency of the most urgent request that waits for decode memory.
    pub fn most_urgent(&self) -> Option<urgency::Urgency> {
        self.queue.first().map(|first| first.urgency)
    }

    // Whether the places that are free are left to peers at which more urgent requests wait.
    fn yields(
        &self,
        urgency: urgency::Urgency,
        charge: u32,
        allowed: impl Fn(&str) -> bool,
        now: time::Instant,
    ) -> bool {
        let waiting = self.peers.more_urgent(urgency);
        if waiting == 0 || self.turns.due() == Some(urgency) {
            return false;
        }
        let decode = self.available(fleet::Stage::Decode, now);
        let known = decode.filter(|(id, engine)| engine.is_reported(now) && allowed(id));
        let places = known.map(|(_, engine)| engine.places(charge, now) as usize);
        // No more than one for each peer.
        places.sum::<usize>() <= waiting
    }

    /// Whether freed memory is to be reported at once: a peer's requests wait for it, or runs are
    /// short.
    pub fn reports_at_once(&self) -> bool {
        let are_short = self.run_time.is_none_or(|time| time < SHORT_RUN_TIME);
        are_short || self.peers.most_urgent().is_some()
    }

    /// Records the urgency of the most urgent request that waits for decode memory at a peer.
    pub fn set_peer_waiting(&mut self, peer: &str, waiting: Option<urgency::Urgency>) {
        self.peers.set_waiting(peer, waiting);
    }

    /// Whether requests wait for decode memory here or at a peer.
    pub fn has_waiting(&self) -> bool {
        self.has_queue() || self.peers.most_urgent().is_some()
    }

    /// Whether requests wait for decode memory.
    pub fn has_queue(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Commits memory at one of the least filled decode engines that can hold the request.
    ///
    /// `allowed` limits the choice; `draw` is random, so that entries that see the same state
    /// choose different engines among equal ones. Requests are granted memory in the order of the
    /// queue. A request that is overdue is granted memory only where another request still fits
    /// beside it. An entry that has more than its part leaves a place to peers at which requests
    /// wait that are as urgent, and one that is less urgent leaves a place to each peer at which a
    /// more urgent one waits.
    pub fn reserve(
        &mut self,
        position: Position,
        need: engine::Need,
        allowed: impl Fn(&str) -> bool,
        draw: u64,
        now: time::Instant,
    ) -> Option<ids::ServerName> {
        if !self.is_next(position) {
            return None;
        }
        self.expire_peers(now);
        let mean = self.mean_charge.map_or(need.charge(), |tokens| tokens as u32);
        if self.yields(position.urgency, mean, &allowed, now) {
            return None;
        }
        if self.leaves_place(position.urgency, need.charge(), &allowed, now) {
            return None;
        }
        self.reserve_beside(position, need, allowed, draw, now)
    }

    /// Whether a place was left to a peer since the last call.
    pub fn take_left(&mut self) -> bool {
        self.parts.take_news()
    }

    // Whether a request leaves the only place that is free to a peer.
    fn leaves_place(
        &mut self,
        urgency: urgency::Urgency,
        charge: u32,
        allowed: impl Fn(&str) -> bool,
        now: time::Instant,
    ) -> bool {
        if !self.is_beyond_part(urgency, now) || !self.has_one_place(charge, allowed, now) {
            self.parts.clear();
            return false;
        }
        self.parts.leaves(now)
    }

    // Whether this entry has more than its part among those at which requests of this urgency wait.
    fn is_beyond_part(&self, urgency: urgency::Urgency, now: time::Instant) -> bool {
        if self.turns.due() == Some(urgency) {
            return false;
        }
        let own = self.engines.values().map(|engine| engine.runs.len() as u32).sum();
        let waiters = self.peers.waiters(urgency, |tag| self.names.contains_key(&tag));
        self.parts.is_beyond(own, &waiters, now)
    }

    // Whether a request that needs `charge` fits, and no other beside it.
    fn has_one_place(
        &self,
        charge: u32,
        allowed: impl Fn(&str) -> bool,
        now: time::Instant,
    ) -> bool {
        let mean = self.mean_charge.map_or(charge, |tokens| tokens as u32);
        let decode = self.available(fleet::Stage::Decode, now);
        let known = decode.filter(|(id, engine)| engine.is_reported(now) && allowed(id));
        let mut free = known.filter(|(_, engine)| engine.fits(charge, now));
        let first = free.next();
        first.is_some_and(|(_, engine)| !engine.fits_beside(charge, mean, now))
            && free.next().is_none()
    }

    /// Like [`Engines::reserve`], for a request that few engines can serve: it does not wait in the
    /// queue, and so does not keep those behind it from other engines.
    pub fn reserve_beside(
        &mut self,
        position: Position,
        need: engine::Need,
        allowed: impl Fn(&str) -> bool,
        draw: u64,
        now: time::Instant,
    ) -> Option<ids::ServerName> {
        self.expire_peers(now);
        let charge = need.charge();
        let decode = self.available(fleet::Stage::Decode, now);
        // Left for a request that can meet its target.
        let spare = self.mean_charge.filter(|_| position.overdue).map_or(0, |tokens| tokens as u32);
        let mean = self.mean_charge.map_or(charge, |tokens| tokens as u32);
        let needed = |engine: &engine::Engine| {
            charge + if engine.is_home { spare } else { spare.max(FOREIGN_SPARE * mean) }
        };
        let known = decode.filter(|(_, engine)| engine.is_reported(now));
        let fitting = known.filter(|(id, engine)| engine.fits(needed(engine), now) && allowed(id));
        let step = |engine: &engine::Engine| {
            let filled = engine.committed(now) / (engine.memory / MEMORY_STEPS).max(1);
            if engine.is_home { filled } else { filled + FOREIGN_STEPS }
        };
        // At a fast engine the memory is free again sooner.
        let rank = |id: &str, engine: &engine::Engine| {
            let factor = self.speeds.factor(ids::server_tag(id), speeds::Work::Answer);
            (f64::from(step(engine) + 1) * factor) as u32
        };
        let (id, _) = fitting.min_by_key(|(id, engine)| (rank(id, engine), tie_break(id, draw)))?;
        let id = id.clone();
        self.queue.remove(&position);
        while self.grants.front().is_some_and(|at| *at + GRANT_WINDOW < now) {
            self.grants.pop_front();
        }
        self.grants.push_back(now);
        let waiting = self.queue.iter().map(|waiting| waiting.urgency).collect();
        self.turns.record(position.urgency, &waiting);
        let mean = self.mean_charge.unwrap_or(f64::from(charge));
        self.mean_charge = Some(mean + CHARGE_WEIGHT * (f64::from(charge) - mean));
        if let Some(engine) = self.engines.get_mut(&id) {
            engine.runs.insert(position.run, engine::Run { need, generated: 0, started_at: now });
        }
        Some(id)
    }

    /// Records how many tokens a run has generated.
    pub fn record_progress(&mut self, id: &str, run: ids::RunId, generated: u32) {
        let engine = self.engines.get_mut(id);
        if let Some(run) = engine.and_then(|engine| engine.runs.get_mut(&run)) {
            run.generated = generated;
        }
    }

    /// Records that an engine refused a hold for lack of memory.
    pub fn set_full(&mut self, id: &str, now: time::Instant) {
        if let Some(engine) = self.engines.get_mut(id) {
            let retry = if engine.is_home { FULL_RETRY } else { FOREIGN_RETRY };
            engine.full_until = Some(now + retry);
            engine.refused_at = Some(now);
        }
    }

    /// Engines of the own cell that have just refused a hold to this entry, to be sent to its peers.
    pub fn full(&self, now: time::Instant) -> Vec<ids::ServerTag> {
        let is_full = |engine: &engine::Engine| {
            engine.is_home && engine.refused_at.is_some_and(|at| now < at + FULL_RETRY)
        };
        let full = self.engines.iter().filter(|(_, engine)| is_full(engine));
        full.map(|(id, _)| ids::server_tag(id)).collect()
    }

    /// Records that an engine has refused a hold to a peer for lack of memory.
    pub fn set_full_for_peer(&mut self, tag: ids::ServerTag, now: time::Instant) {
        let engine = self.names.get(&tag).and_then(|id| self.engines.get_mut(id));
        if let Some(engine) = engine.filter(|engine| engine.is_home) {
            let retry = self.run_time.map_or(0.0, |time| PEER_RETRY_SHARE * time);
            let retry = time::Duration::from_secs_f64(retry).min(FULL_RETRY);
            engine.full_until = engine.full_until.max(Some(now + retry));
        }
    }

    /// Ends a run's commitment.
    pub fn release(&mut self, id: &str, run: ids::RunId, now: time::Instant) {
        let Some(engine) = self.engines.get_mut(id) else { return };
        let Some(run) = engine.runs.remove(&run) else { return };
        // A run that generated no token, because it was refused or cancelled, does not count.
        if run.generated > 0 {
            self.usage.runs += 1;
            self.parts.record_end(now);
            let time = now.saturating_duration_since(run.started_at).as_secs_f64();
            let mean = self.run_time.unwrap_or(time);
            self.run_time = Some(mean + RUN_TIME_WEIGHT * (time - mean));
        }
        self.usage.decode += run.engine_time(engine.capacity(), now);
    }

    /// Sends no new work to an engine until `until`, while it changes its stage.
    pub fn set_changing(&mut self, id: &str, until: time::Instant) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.changing_until = Some(until);
        }
    }

    /// Engine time that this entry's requests have used since its start, open ones included.
    pub fn usage(&self, now: time::Instant) -> stages::Usage {
        let open = |engine: &engine::Engine| {
            let runs = engine.runs.values();
            runs.map(|run| run.engine_time(engine.capacity(), now)).sum::<time::Duration>()
        };
        let open: time::Duration = self.engines.values().map(open).sum();
        stages::Usage { decode: self.usage.decode + open, ..self.usage }
    }

    /// Replaces a peer's report of the engine time that its requests have used since its start.
    pub fn update_peer_usage(&mut self, peer: &str, usage: stages::Usage) {
        self.peer_usage.insert(peer.to_string(), usage);
    }

    /// Engine time that the requests of all entries of the own cell have used.
    pub fn cell_usage(&self, now: time::Instant) -> stages::Usage {
        let all = self.peer_usage.values();
        all.fold(self.usage(now), |sum, usage| sum.plus(usage))
    }

    /// Replaces the report of the engine time that the requests of another cell have used.
    pub fn update_cell_usage(&mut self, cell: cells::CellId, usage: stages::Usage) {
        self.cell_usage.insert(cell, usage);
    }

    /// Engine time that the requests of all entries have used.
    pub fn total_usage(&self, now: time::Instant) -> stages::Usage {
        let others = self.cell_usage.iter().filter(|(cell, _)| **cell != self.own_cell);
        others.fold(self.cell_usage(now), |sum, (_, usage)| sum.plus(usage))
    }

    /// Engines that are not leaving, with their stage, or the one that they change to.
    pub fn candidates(&self, now: time::Instant) -> Vec<stages::Candidate> {
        let all = self.engines.iter().filter(|(_, engine)| engine.is_staying());
        let candidates = all.map(|(id, engine)| {
            let is_changing = engine.is_changing(now);
            let stage = if is_changing { engine.stage.other() } else { engine.stage };
            let is_fixed = is_changing || engine.closed(now).is_some();
            stages::Candidate {
                id: id.clone(),
                zone: engine.zone.clone(),
                stage,
                software: engine.software,
                is_fixed,
            }
        });
        candidates.collect()
    }

    /// Chooses the prefill engine with the shortest backlog; one outside `zone` gets a penalty.
    ///
    /// `allowed` limits the choice, `kept` tells the tokens of the prompt that an engine need not read,
    /// and `draw` breaks ties. Of engines with like waits one that keeps more is preferred; what it
    /// saves weighs against a longer wait. Returns the engine and the expected time until it has read
    /// the prompt.
    pub fn pick_prefill(
        &self,
        tokens: u32,
        zone: &str,
        allowed: impl Fn(&str) -> bool,
        kept: impl Fn(&str) -> u32,
        draw: u64,
        now: time::Instant,
    ) -> Option<(ids::ServerName, time::Duration)> {
        let wait = |engine: &engine::Engine| {
            let penalty = if engine.zone == zone { time::Duration::ZERO } else { REMOTE_PENALTY };
            engine.prefill_backlog(now) + penalty
        };
        let sources = self.available(fleet::Stage::Prefill, now);
        let sources = sources.filter(|(id, engine)| engine.is_reported(now) && allowed(id));
        // Engines of the usual speed rank by their waits and by what they keep alone.
        let usual = prefill_time(tokens).as_millis() as i64;
        let rank = |id: &str, engine: &engine::Engine| {
            let kept = kept(id).min(tokens);
            let own = self.prefill_time_at(id, tokens);
            let saved = own - self.prefill_time_at(id, tokens - kept);
            let steps = |millis: i64| millis.div_euclid(PREFILL_STEP.as_millis() as i64);
            let end = wait(engine).as_millis() as i64 + own.as_millis() as i64 - usual;
            let step = steps(end) - steps(saved.as_millis() as i64);
            (step, cmp::Reverse(kept), tie_break(id, draw))
        };
        let (id, engine) = sources.min_by_key(|(id, engine)| rank(id, engine))?;
        let read = tokens - kept(id).min(tokens);
        let expected = engine.prefill_backlog(now) + self.prefill_time_at(id, read);
        Some((id.clone(), expected))
    }

    /// Records a prompt sent to a prefill engine.
    pub fn record_prefill(&mut self, id: &str, tokens: u32, now: time::Instant) {
        self.usage.prompts += 1;
        self.usage.prefill += prefill_time(tokens);
        let own = self.prefill_time_at(id, tokens);
        if let Some(engine) = self.engines.get_mut(id) {
            let from = engine.prefill_until.map_or(now, |until| until.max(now));
            engine.prefill_until = Some(from + own);
        }
    }

    // Time that one engine needs to read a prompt when it is idle.
    fn prefill_time_at(&self, id: &str, tokens: u32) -> time::Duration {
        let factor = self.speeds.factor(ids::server_tag(id), speeds::Work::Prompt);
        prefill_time(tokens).mul_f64(factor)
    }

    /// Records that an engine took `took` to read a prompt when `expected` was expected. If others were
    /// to be read before it, that tells nothing of the engine's speed.
    pub fn record_prompt_time(
        &mut self,
        id: &str,
        tokens: u32,
        took: time::Duration,
        expected: time::Duration,
    ) {
        if expected > self.prefill_time_at(id, tokens) + PREFILL_BASE {
            return;
        }
        let reading = took.saturating_sub(PREFILL_BASE);
        let server = ids::server_tag(id);
        let sample = speeds::Sample::new(server, speeds::Work::Prompt, tokens, reading);
        self.record_speed(sample);
    }

    /// Records that an engine took `took` to generate an answer of `tokens`.
    pub fn record_answer_time(&mut self, id: &str, tokens: u32, took: time::Duration) {
        let server = ids::server_tag(id);
        let sample = speeds::Sample::new(server, speeds::Work::Answer, tokens, took);
        self.record_speed(sample);
    }

    fn record_speed(&mut self, sample: Option<speeds::Sample>) {
        if let Some(sample) = sample.filter(|sample| self.names.contains_key(&sample.server)) {
            self.speeds.record(sample);
        }
    }

    /// Records the time that a peer measured at an engine.
    pub fn merge_speed(&mut self, sample: speeds::Sample) {
        if self.names.contains_key(&sample.server) {
            self.speeds.merge(sample);
        }
    }

    /// Removes and returns at most `max` of the times that this entry has measured, for its peers.
    pub fn take_speeds(&mut self, max: usize) -> Vec<speeds::Sample> {
        self.speeds.take(max)
    }

    /// Time that a decode engine needs to read a prompt itself, between its decode steps.
    pub fn decode_prefill_time(tokens: u32) -> time::Duration {
        PREFILL_BASE
            + time::Duration::from_millis(u64::from(tokens) * DECODE_PREFILL_FACTOR / TOKENS_PER_MS)
    }

    /// Shortest expected time until a prefill engine, of the version `software` if one is given, has
    /// read a prompt of `tokens`, without those that it has `kept`.
    pub fn shortest_prefill(
        &self,
        tokens: u32,
        software: Option<ids::SoftwareTag>,
        kept: impl Fn(&str) -> u32,
        now: time::Instant,
    ) -> Option<time::Duration> {
        let sources = self.available(fleet::Stage::Prefill, now);
        let is_alike =
            |engine: &engine::Engine| software.is_none_or(|wanted| engine.software == wanted);
        let known = sources.filter(|(_, engine)| engine.is_reported(now) && is_alike(engine));
        let time = |id: &str, engine: &engine::Engine| {
            engine.prefill_backlog(now) + self.prefill_time_at(id, tokens.saturating_sub(kept(id)))
        };
        known.map(|(id, engine)| time(id, engine)).min()
    }

    /// Updates the mean time per token with an answer of `tokens` that has ended; `duration` is the
    /// time from its first token to its last, without its longest gap.
    pub fn record_answer(&mut self, tokens: u64, duration: time::Duration, now: time::Instant) {
        if tokens == 0 {
            return;
        }
        let time = duration.as_secs_f64() / tokens as f64;
        let mean = self.token_time(now).unwrap_or(time);
        self.token_time = Some((mean + TOKEN_TIME_WEIGHT * (time - mean), now));
    }

    /// Expected time to generate an answer of `tokens`; zero if no answer was recorded lately.
    pub fn answer_time(&self, tokens: u32, now: time::Instant) -> time::Duration {
        let seconds = self.token_time(now).unwrap_or(0.0) * f64::from(tokens);
        time::Duration::from_secs_f64(seconds)
    }

    fn token_time(&self, now: time::Instant) -> Option<f64> {
        let (time, ended_at) = self.token_time?;
        (now <= ended_at + TOKEN_TIME_TTL).then_some(time)
    }

    /// Availability zone of an engine.
    pub fn zone(&self, id: &str) -> Option<&ids::ZoneName> {
        self.engines.get(id).map(|engine| &engine.zone)
    }

    /// This entry's commitments, to be sent to its peers.
    pub fn commitments(&self, now: time::Instant) -> reports::Commitments {
        let all = self.engines.iter().map(|(id, engine)| (id, engine.own(now, None)));
        let committed = all.filter(|(_, commitment)| *commitment != engine::Commitment::default());
        committed.map(|(id, commitment)| (ids::server_tag(id), commitment)).collect()
    }

    /// Commitments of all entries to the engines of the own cell, to be sent to other cells.
    pub fn digest(&mut self, now: time::Instant) -> reports::Commitments {
        self.expire_peers(now);
        let home = self.engines.iter().filter(|(_, engine)| engine.is_home);
        home.map(|(id, engine)| (ids::server_tag(id), engine.total(now))).collect()
    }

    /// Cells other than the own one at whose engines this entry has commitments.
    pub fn foreign_cells(&self, now: time::Instant) -> collections::BTreeSet<cells::CellId> {
        let is_used = |engine: &engine::Engine| {
            !engine.is_home && (!engine.runs.is_empty() || !engine.own_backlog(now).is_zero())
        };
        self.engines.values().filter(|engine| is_used(engine)).map(|engine| engine.cell).collect()
    }

    /// Replaces the commitments of a peer with those of its newest report; returns whether memory
    /// became free.
    pub fn update_peer(
        &mut self,
        peer: &str,
        report: &reports::Report,
        now: time::Instant,
    ) -> bool {
        self.expire_peers(now);
        let changes = self.peers.update(peer, report, now);
        self.apply_changes(&changes);
        let is_known = |change: &reports::Change| self.names.contains_key(&change.tag);
        if changes.iter().any(|change| is_known(change) && change.new.runs > 0) {
            self.peers.set_served(peer, now);
        }
        let has_freed = |change: &reports::Change| {
            change.new.tokens < change.old.tokens || change.new.runs < change.old.runs
        };
        changes.iter().any(|change| is_known(change) && has_freed(change))
    }

    fn apply_changes(&mut self, changes: &[reports::Change]) {
        for change in changes {
            let engine = self.names.get(&change.tag).and_then(|id| self.engines.get_mut(id));
            if let Some(engine) = engine {
                engine.peers.subtract(&change.old);
                engine.peers.add(&change.new);
            }
        }
    }

    /// Replaces the commitments to the engines of another cell with those of its newest report.
    pub fn update_digest(
        &mut self,
        cell: cells::CellId,
        report: &reports::Report,
        now: time::Instant,
    ) {
        if cell == self.own_cell {
            return;
        }
        let (first, last) = report.range;
        for (tag, id) in self.names.range(first..=last) {
            let Some(engine) = self.engines.get_mut(id) else { continue };
            if engine.cell == cell {
                let commitment = report.commitments.get(tag).copied().unwrap_or_default();
                engine.digest = Some(engine::Digest { commitment, received_at: now });
            }
        }
    }

    // Removes the commitments of peers whose reports have expired.
    fn expire_peers(&mut self, now: time::Instant) {
        let changes = self.peers.expire(now);
        self.apply_changes(&changes);
    }

    /// Name of the engine with this tag.
    pub fn name(&self, tag: ids::ServerTag) -> Option<&ids::ServerName> {
        self.names.get(&tag)
    }

    /// Estimated use of an engine's memory.
    pub fn estimate(&mut self, id: &str, now: time::Instant) -> Option<engine::Estimate> {
        self.expire_peers(now);
        let engine = self.engines.get(id)?;
        let digest = engine.digest.filter(|_| !engine.is_home);
        let age = match digest {
            Some(digest) => now.saturating_duration_since(digest.received_at),
            None => self.peers.age(ids::server_tag(id), now),
        };
        Some(engine::Estimate { fill: engine.fill(now), age })
    }

    /// Committed share of the memory of the decode engines of the own cell, in thousandths.
    pub fn fill(&mut self, now: time::Instant) -> u32 {
        self.expire_peers(now);
        let decode = self.available(fleet::Stage::Decode, now).filter(|(_, engine)| engine.is_home);
        let capacity: u64 = decode.clone().map(|(_, engine)| u64::from(engine.capacity())).sum();
        let committed: u64 = decode.map(|(_, engine)| u64::from(engine.committed(now))).sum();
        (committed * 1000 / capacity.max(1)) as u32
    }
}
