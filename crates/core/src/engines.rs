//! Memory and prefill time that all entries have committed to the engines of a service.
//!
//! Engines report their load with a delay. An entry therefore counts the work that it has sent
//! itself and adds the commitments that its peers report.

use std::{collections, time};

use crate::{engine, fleet, ids, stages};

/// Engines of one service.
#[derive(Clone, Debug, Default)]
pub struct Engines {
    engines: collections::BTreeMap<ids::ServerName, engine::Engine>,
    // Requests that wait for decode memory: overdue ones last, the others in order of arrival.
    queue: collections::BTreeSet<Position>,
    // When this entry's last requests were granted memory.
    grants: collections::VecDeque<time::Instant>,
    // Mean charge of the last requests, in tokens.
    mean_charge: Option<f64>,
    // Mean time to generate one token, in seconds.
    token_time: Option<f64>,
    usage: stages::Usage,
    peer_usage: collections::BTreeMap<String, stages::Usage>,
}

/// Position of a request in the queue for decode memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// Whether it can no longer meet its latency target; it is served after all that can.
    pub overdue: bool,
    /// When the request arrived.
    pub arrived: time::Instant,
    /// Run of the request.
    pub run: ids::RunId,
}

/// Time before a full engine is asked again: about the interval between the ends of its runs.
const FULL_RETRY: time::Duration = time::Duration::from_millis(150);
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
/// Window over which the rate of grants is counted: about half the duration of an answer.
const GRANT_WINDOW: time::Duration = time::Duration::from_secs(2);
/// Weight of one request in the moving average of the charge: about twenty requests count.
const CHARGE_WEIGHT: f64 = 0.05;
/// Weight of one answer in the moving average of the time per token.
const TOKEN_TIME_WEIGHT: f64 = 0.05;

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
        let new = || engine::Engine {
            zone: instance.zone.clone(),
            stage,
            usable: true,
            slots,
            memory,
            runs: collections::BTreeMap::new(),
            changing_until: None,
            prefill_until: None,
            full_until: None,
            peers: collections::BTreeMap::new(),
        };
        let engine = self.engines.entry(id.to_string()).or_insert_with(new);
        if engine.stage != stage {
            engine.changing_until = None;
        }
        engine.stage = stage;
        engine.usable = !instance.leaving;
        engine.slots = slots;
        engine.memory = memory;
    }

    /// Removes an engine and the commitments to it.
    pub fn remove(&mut self, id: &str) {
        self.engines.remove(id);
    }

    /// Stops sending new work to an engine.
    pub fn set_unusable(&mut self, id: &str) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.usable = false;
        }
    }

    /// Stage of an engine.
    pub fn stage(&self, id: &str) -> Option<fleet::Stage> {
        self.engines.get(id).map(|engine| engine.stage)
    }

    // Engines of `stage` that accept new work.
    fn available(
        &self,
        stage: fleet::Stage,
        now: time::Instant,
    ) -> impl Iterator<Item = (&ids::ServerName, &engine::Engine)> + Clone {
        let accepts = move |engine: &engine::Engine| engine.usable && !engine.is_changing(now);
        self.engines.iter().filter(move |(_, engine)| engine.stage == stage && accepts(engine))
    }

    /// Adds a request to the queue for decode memory, unless it is queued already.
    pub fn enqueue(&mut self, position: Position) {
        self.queue.insert(position);
    }

    /// Removes a request from the queue.
    pub fn dequeue(&mut self, position: Position) {
        self.queue.remove(&position);
    }

    /// Expected time until a new request gets memory, from the recent rate of grants and the
    /// length of the queue.
    ///
    /// Zero if the queue is empty.
    pub fn expected_wait(&self, now: time::Instant) -> time::Duration {
        let recent = self.grants.iter().filter(|at| now <= **at + GRANT_WINDOW).count();
        GRANT_WINDOW * self.queue.len() as u32 / recent.max(1) as u32
    }

    /// Commits memory at one of the least filled decode engines that can hold the request.
    ///
    /// `allowed` limits the choice; `draw` is random, so that entries that see the same state
    /// choose different engines among equal ones. Requests are granted memory in the order of the
    /// queue. An overdue request is granted memory only where another request still fits beside
    /// it, since entries do not see each other's queues.
    pub fn reserve(
        &mut self,
        position: Position,
        need: engine::Need,
        allowed: impl Fn(&str) -> bool,
        draw: u64,
        now: time::Instant,
    ) -> Option<ids::ServerName> {
        if self.queue.first().is_some_and(|first| *first < position) {
            return None;
        }
        let charge = need.charge();
        let decode = self.available(fleet::Stage::Decode, now);
        // An overdue request leaves memory for one that can meet its target.
        let spare = self.mean_charge.filter(|_| position.overdue).map_or(0, |tokens| tokens as u32);
        let fitting = decode.filter(|(id, engine)| allowed(id) && engine.fits(charge + spare, now));
        let step =
            |engine: &engine::Engine| engine.committed(now) / (engine.memory / MEMORY_STEPS).max(1);
        let (id, _) = fitting.min_by_key(|(id, engine)| (step(engine), tie_break(id, draw)))?;
        let id = id.clone();
        self.queue.remove(&position);
        while self.grants.front().is_some_and(|at| *at + GRANT_WINDOW < now) {
            self.grants.pop_front();
        }
        self.grants.push_back(now);
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
            engine.full_until = Some(now + FULL_RETRY);
        }
    }

    /// Ends a run's commitment.
    pub fn release(&mut self, id: &str, run: ids::RunId, now: time::Instant) {
        let Some(engine) = self.engines.get_mut(id) else { return };
        let Some(run) = engine.runs.remove(&run) else { return };
        // A run that generated no token, because it was refused or cancelled, does not count.
        if run.generated > 0 {
            self.usage.runs += 1;
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

    /// Engine time that the requests of all entries have used.
    pub fn total_usage(&self, now: time::Instant) -> stages::Usage {
        let all = self.peer_usage.values();
        all.fold(self.usage(now), |sum, usage| sum.plus(usage))
    }

    /// Engines that are not leaving, with their stage, or the one that they change to.
    pub fn candidates(&self, now: time::Instant) -> Vec<stages::Candidate> {
        let all = self.engines.iter().filter(|(_, engine)| engine.usable);
        let candidates = all.map(|(id, engine)| {
            let is_changing = engine.is_changing(now);
            let stage = if is_changing { engine.stage.other() } else { engine.stage };
            stages::Candidate { id: id.clone(), zone: engine.zone.clone(), stage, is_changing }
        });
        candidates.collect()
    }

    /// Chooses the prefill engine with the shortest backlog; one outside `zone` gets a penalty.
    ///
    /// `allowed` limits the choice, and `draw` breaks ties. Returns the engine and the expected
    /// time until it has read the prompt.
    pub fn pick_prefill(
        &self,
        tokens: u32,
        zone: &str,
        allowed: impl Fn(&str) -> bool,
        draw: u64,
        now: time::Instant,
    ) -> Option<(ids::ServerName, time::Duration)> {
        let wait = |engine: &engine::Engine| {
            let penalty = if engine.zone == zone { time::Duration::ZERO } else { REMOTE_PENALTY };
            engine.prefill_backlog(now) + penalty
        };
        let sources = self.available(fleet::Stage::Prefill, now).filter(|(id, _)| allowed(id));
        let step = |engine: &engine::Engine| wait(engine).as_millis() / PREFILL_STEP.as_millis();
        let (id, engine) =
            sources.min_by_key(|(id, engine)| (step(engine), tie_break(id, draw)))?;
        Some((id.clone(), engine.prefill_backlog(now) + prefill_time(tokens)))
    }

    /// Records a prompt sent to a prefill engine.
    pub fn record_prefill(&mut self, id: &str, tokens: u32, now: time::Instant) {
        self.usage.prompts += 1;
        self.usage.prefill += prefill_time(tokens);
        if let Some(engine) = self.engines.get_mut(id) {
            let from = engine.prefill_until.map_or(now, |until| until.max(now));
            engine.prefill_until = Some(from + prefill_time(tokens));
        }
    }

    /// Time that a decode engine needs to read a prompt itself, between its decode steps.
    pub fn decode_prefill_time(tokens: u32) -> time::Duration {
        PREFILL_BASE
            + time::Duration::from_millis(u64::from(tokens) * DECODE_PREFILL_FACTOR / TOKENS_PER_MS)
    }

    /// Shortest expected time until a prefill engine has read a prompt of `tokens`.
    pub fn shortest_prefill(&self, tokens: u32, now: time::Instant) -> Option<time::Duration> {
        let sources = self.available(fleet::Stage::Prefill, now);
        let wait = sources.map(|(_, engine)| engine.prefill_backlog(now)).min();
        wait.map(|wait| wait + prefill_time(tokens))
    }

    /// Updates the mean time per token with an answer of `tokens`; `duration` is the time from
    /// its first token to its last, without its longest gap.
    pub fn record_answer(&mut self, tokens: u64, duration: time::Duration) {
        if tokens == 0 {
            return;
        }
        let time = duration.as_secs_f64() / tokens as f64;
        let mean = self.token_time.unwrap_or(time);
        self.token_time = Some(mean + TOKEN_TIME_WEIGHT * (time - mean));
    }

    /// Expected time to generate an answer of `tokens`; zero until an answer was recorded.
    pub fn answer_time(&self, tokens: u32) -> time::Duration {
        let seconds = self.token_time.unwrap_or(0.0) * f64::from(tokens);
        time::Duration::from_secs_f64(seconds)
    }

    /// Availability zone of an engine.
    pub fn zone(&self, id: &str) -> Option<&ids::ZoneName> {
        self.engines.get(id).map(|engine| &engine.zone)
    }

    /// This entry's commitments by engine, to be sent to its peers.
    pub fn commitments(
        &self,
        now: time::Instant,
    ) -> collections::BTreeMap<ids::ServerName, engine::Commitment> {
        let all = self.engines.iter().map(|(id, engine)| {
            let commitment = engine::Commitment {
                tokens: engine.runs.values().map(engine::Run::charge).sum(),
                runs: engine.runs.len() as u32,
                prefill: engine.own_backlog(now),
            };
            (id.clone(), commitment)
        });
        all.filter(|(_, commitment)| *commitment != engine::Commitment::default()).collect()
    }

    /// Replaces the commitments of a peer with those of its newest report.
    pub fn update_peer(
        &mut self,
        peer: &str,
        commitments: &collections::BTreeMap<ids::ServerName, engine::Commitment>,
        now: time::Instant,
    ) {
        for (id, engine) in &mut self.engines {
            match commitments.get(id) {
                Some(commitment) => {
                    let report = engine::PeerReport { commitment: *commitment, received_at: now };
                    engine.peers.insert(peer.to_string(), report);
                }
                None => {
                    engine.peers.remove(peer);
                }
            }
        }
    }

    /// Estimated use of an engine's memory.
    pub fn estimate(&self, id: &str, now: time::Instant) -> Option<engine::Estimate> {
        self.engines.get(id).map(|engine| engine.estimate(now))
    }

    /// Committed share of the decode engines' memory, in thousandths.
    pub fn fill(&self, now: time::Instant) -> u32 {
        let decode = self.available(fleet::Stage::Decode, now);
        let capacity: u64 = decode.clone().map(|(_, engine)| u64::from(engine.capacity())).sum();
        let committed: u64 = decode.map(|(_, engine)| u64::from(engine.committed(now))).sum();
        (committed * 1000 / capacity.max(1)) as u32
    }
}
