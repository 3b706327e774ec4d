//! Memory and prefill time of a service's engines, as committed by all entries.
//!
//! Engines report their load late. An entry therefore counts what it has sent itself, and adds
//! what its peers say they have sent.

use std::{collections, time};

use crate::{engine, fleet, ids, stages};

/// Engines of one service.
#[derive(Clone, Debug, Default)]
pub struct Engines {
    engines: collections::BTreeMap<ids::ServerName, engine::Engine>,
    // Requests that wait for decode memory, in the order of their arrival.
    queue: collections::BTreeSet<Position>,
    // When memory was last given to requests of this entry.
    grants: collections::VecDeque<time::Instant>,
    // Mean charge of the last requests, in tokens.
    typical: Option<f64>,
    // Mean time for one token of an answer, in seconds.
    token_time: Option<f64>,
    usage: stages::Usage,
    peer_usage: collections::BTreeMap<String, stages::Usage>,
}

/// Position of a request in the queue for decode memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// Whether it can no longer be in time, and comes after all that can.
    pub overdue: bool,
    /// When the request arrived.
    pub arrived: time::Instant,
    /// Its run.
    pub run: ids::RunId,
}

/// An engine that was full is asked again after this; a run ends there about as often.
const FULL_TIME: time::Duration = time::Duration::from_millis(150);
/// Prompt tokens that an engine reads in a millisecond, until told otherwise.
const TOKENS_PER_MS: u64 = 33;
/// A decode engine reads at half the speed, and lets its runs go on in between.
const OWN_FACTOR: u64 = 3;
/// Fixed cost of a prefill: the call, and the first step.
const PREFILL_BASE: time::Duration = time::Duration::from_millis(10);
/// Engines whose fill differs by less than one of this many steps count as alike.
const MEMORY_STEPS: u32 = 16;
/// Prefill engines whose waits differ by less count as alike.
const PREFILL_STEP: time::Duration = time::Duration::from_millis(30);
/// A source in another availability zone costs as much as this much waiting.
const AWAY_PREFILL: time::Duration = time::Duration::from_millis(60);

/// The pace of grants is taken over this time: about half the length of an answer.
const PACE_TIME: time::Duration = time::Duration::from_secs(2);

/// Weight of one request in the mean charge: the last twenty or so count.
const TYPICAL_WEIGHT: f64 = 0.05;

/// Weight of one answer in the mean time for a token.
const ANSWER_WEIGHT: f64 = 0.05;

// Order of engines that are alike: a hash of both, by the finisher of MurmurHash3.
fn shuffle(id: &str, draw: u64) -> u64 {
    let mix = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    let mut hash = id.bytes().fold(draw, mix);
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}

/// Time that an idle engine needs to read a prompt.
pub fn prefill_time(tokens: u32) -> time::Duration {
    PREFILL_BASE + time::Duration::from_millis(u64::from(tokens) / TOKENS_PER_MS)
}

impl Engines {
    /// Adds an engine, or updates its stage.
    pub fn set(&mut self, id: &str, instance: &fleet::Instance, slots: u32, memory: u32) {
        let Some(stage) = instance.stage else { return };
        let fresh = || engine::Engine {
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
        let engine = self.engines.entry(id.to_string()).or_insert_with(fresh);
        if engine.stage != stage {
            engine.changing_until = None;
        }
        engine.stage = stage;
        engine.usable = !instance.leaving;
        engine.slots = slots;
        engine.memory = memory;
    }

    /// Forgets an engine, and what ran there.
    pub fn remove(&mut self, id: &str) {
        self.engines.remove(id);
    }

    /// Keeps the engine from new work.
    pub fn set_unusable(&mut self, id: &str) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.usable = false;
        }
    }

    /// Stage of an engine.
    pub fn stage(&self, id: &str) -> Option<fleet::Stage> {
        self.engines.get(id).map(|engine| engine.stage)
    }

    fn of_stage(
        &self,
        stage: fleet::Stage,
        now: time::Instant,
    ) -> impl Iterator<Item = (&ids::ServerName, &engine::Engine)> + Clone {
        let takes_work = move |engine: &engine::Engine| engine.usable && !engine.is_changing(now);
        self.engines.iter().filter(move |(_, engine)| engine.stage == stage && takes_work(engine))
    }

    /// Puts a request into the queue for decode memory; one that is there keeps its place.
    pub fn enqueue(&mut self, place: Position) {
        self.queue.insert(place);
    }

    /// Takes a request out of the queue.
    pub fn dequeue(&mut self, place: Position) {
        self.queue.remove(&place);
    }

    /// Time until a newcomer gets memory, by the pace of the last grants and the queue before it.
    ///
    /// Zero if nobody waits.
    pub fn expected_wait(&self, now: time::Instant) -> time::Duration {
        let recent = self.grants.iter().filter(|at| now <= **at + PACE_TIME).count();
        PACE_TIME * self.queue.len() as u32 / recent.max(1) as u32
    }

    /// Commits memory at one of the emptiest decode engines that have room; `allowed` limits the
    /// choice, and `draw` spreads entries that see the same state over engines that are alike.
    ///
    /// Requests get memory in the order of the queue; late ones only where another request would
    /// still fit, since entries do not see each other's queues.
    pub fn reserve(
        &mut self,
        place: Position,
        need: engine::Need,
        allowed: impl Fn(&str) -> bool,
        draw: u64,
        now: time::Instant,
    ) -> Option<ids::ServerName> {
        if self.queue.first().is_some_and(|first| *first < place) {
            return None;
        }
        let charge = need.charge();
        let decode = self.of_stage(fleet::Stage::Decode, now);
        // A late request leaves room for one that can be in time.
        let left = self.typical.filter(|_| place.overdue).map_or(0, |tokens| tokens as u32);
        let fitting = decode.filter(|(id, engine)| allowed(id) && engine.fits(charge + left, now));
        let step =
            |engine: &engine::Engine| engine.tokens(now) / (engine.memory / MEMORY_STEPS).max(1);
        let (id, _) = fitting.min_by_key(|(id, engine)| (step(engine), shuffle(id, draw)))?;
        let id = id.clone();
        self.queue.remove(&place);
        while self.grants.front().is_some_and(|at| *at + PACE_TIME < now) {
            self.grants.pop_front();
        }
        self.grants.push_back(now);
        let typical = self.typical.unwrap_or(f64::from(charge));
        self.typical = Some(typical + TYPICAL_WEIGHT * (f64::from(charge) - typical));
        if let Some(engine) = self.engines.get_mut(&id) {
            engine.runs.insert(place.run, engine::Run { need, generated: 0, since: now });
        }
        Some(id)
    }

    /// Notes how many tokens a run has generated.
    pub fn record_progress(&mut self, id: &str, run: ids::RunId, generated: u32) {
        let engine = self.engines.get_mut(id);
        if let Some(run) = engine.and_then(|engine| engine.runs.get_mut(&run)) {
            run.generated = generated;
        }
    }

    /// Notes that an engine has no room now, whatever was committed.
    pub fn set_full(&mut self, id: &str, now: time::Instant) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.full_until = Some(now + FULL_TIME);
        }
    }

    /// Ends a run's commitment.
    pub fn release(&mut self, id: &str, run: ids::RunId, now: time::Instant) {
        let Some(engine) = self.engines.get_mut(id) else { return };
        let Some(run) = engine.runs.remove(&run) else { return };
        // What was refused, or given up before its first token, was no run.
        if run.generated > 0 {
            self.usage.runs += 1;
        }
        self.usage.decode += run.exposure(engine.room(), now);
    }

    /// Keeps an engine that changes its stage from new work until `until`.
    pub fn set_changing(&mut self, id: &str, until: time::Instant) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.changing_until = Some(until);
        }
    }

    /// engine::Engine time that this entry's requests have taken since its start, open ones included.
    pub fn usage(&self, now: time::Instant) -> stages::Usage {
        let open = |engine: &engine::Engine| {
            let runs = engine.runs.values();
            runs.map(|run| run.exposure(engine.room(), now)).sum::<time::Duration>()
        };
        let open: time::Duration = self.engines.values().map(open).sum();
        stages::Usage { decode: self.usage.decode + open, ..self.usage }
    }

    /// Takes what a peer's requests have taken since its start.
    pub fn update_peer_usage(&mut self, peer: &str, usage: stages::Usage) {
        self.peer_usage.insert(peer.to_string(), usage);
    }

    /// engine::Engine time that the requests of all entries have taken.
    pub fn total_usage(&self, now: time::Instant) -> stages::Usage {
        let all = self.peer_usage.values();
        all.fold(self.usage(now), |sum, usage| sum.plus(usage))
    }

    /// Engines that are not leaving, with the stage that they have or will have.
    pub fn candidates(&self, now: time::Instant) -> Vec<stages::Candidate> {
        let all = self.engines.iter().filter(|(_, engine)| engine.usable);
        let candidates = all.map(|(id, engine)| {
            let is_changing = engine.is_changing(now);
            let stage = if is_changing { engine.stage.other() } else { engine.stage };
            stages::Candidate { id: id.clone(), zone: engine.zone.clone(), stage, is_changing }
        });
        candidates.collect()
    }

    /// Chooses the engine that would have read a prompt first, near `zone` where that is equal.
    ///
    /// Returns the engine and the time until the prompt will have been read.
    pub fn pick_prefill(
        &self,
        tokens: u32,
        zone: &str,
        allowed: impl Fn(&str) -> bool,
        draw: u64,
        now: time::Instant,
    ) -> Option<(ids::ServerName, time::Duration)> {
        let wait = |engine: &engine::Engine| {
            let away = if engine.zone == zone { time::Duration::ZERO } else { AWAY_PREFILL };
            engine.prefill(now) + away
        };
        let sources = self.of_stage(fleet::Stage::Prefill, now).filter(|(id, _)| allowed(id));
        let step = |engine: &engine::Engine| wait(engine).as_millis() / PREFILL_STEP.as_millis();
        let (id, engine) = sources.min_by_key(|(id, engine)| (step(engine), shuffle(id, draw)))?;
        Some((id.clone(), engine.prefill(now) + prefill_time(tokens)))
    }

    /// Notes a prompt sent to an engine.
    pub fn record_prefill(&mut self, id: &str, tokens: u32, now: time::Instant) {
        self.usage.prompts += 1;
        self.usage.prefill += prefill_time(tokens);
        if let Some(engine) = self.engines.get_mut(id) {
            let from = engine.prefill_until.map_or(now, |until| until.max(now));
            engine.prefill_until = Some(from + prefill_time(tokens));
        }
    }

    /// Time in which a decode engine reads a prompt itself, between the tokens of its runs.
    pub fn decode_prefill_time(tokens: u32) -> time::Duration {
        PREFILL_BASE + time::Duration::from_millis(u64::from(tokens) * OWN_FACTOR / TOKENS_PER_MS)
    }

    /// Shortest expected time until a prompt of `tokens` has been read.
    pub fn shortest_prefill(&self, tokens: u32, now: time::Instant) -> Option<time::Duration> {
        let sources = self.of_stage(fleet::Stage::Prefill, now);
        let wait = sources.map(|(_, engine)| engine.prefill(now)).min();
        wait.map(|wait| wait + prefill_time(tokens))
    }

    /// Learns that an answer of `tokens` took `took` from its first token to its last, its longest
    /// pause left out.
    pub fn record_answer(&mut self, tokens: u64, took: time::Duration) {
        if tokens == 0 {
            return;
        }
        let time = took.as_secs_f64() / tokens as f64;
        let mean = self.token_time.unwrap_or(time);
        self.token_time = Some(mean + ANSWER_WEIGHT * (time - mean));
    }

    /// Time that an answer of `tokens` is expected to take; zero until something is known.
    pub fn answer_time(&self, tokens: u32) -> time::Duration {
        let seconds = self.token_time.unwrap_or(0.0) * f64::from(tokens);
        time::Duration::from_secs_f64(seconds)
    }

    /// Availability zone of an engine.
    pub fn zone(&self, id: &str) -> Option<&ids::ZoneName> {
        self.engines.get(id).map(|engine| &engine.zone)
    }

    /// What this entry has given to each engine, for its peers.
    pub fn commitments(
        &self,
        now: time::Instant,
    ) -> collections::BTreeMap<ids::ServerName, engine::Commitment> {
        let told = self.engines.iter().map(|(id, engine)| {
            let commitment = engine::Commitment {
                tokens: engine.runs.values().map(engine::Run::charge).sum(),
                runs: engine.runs.len() as u32,
                prefill: engine.own_prefill(now),
            };
            (id.clone(), commitment)
        });
        told.filter(|(_, commitment)| *commitment != engine::Commitment::default()).collect()
    }

    /// Takes what a peer has given to each engine.
    pub fn update_peer(
        &mut self,
        peer: &str,
        told: &collections::BTreeMap<ids::ServerName, engine::Commitment>,
        now: time::Instant,
    ) {
        for (id, engine) in &mut self.engines {
            match told.get(id) {
                Some(commitment) => {
                    let told = engine::Told { commitment: *commitment, at: now };
                    engine.peers.insert(peer.to_string(), told);
                }
                None => {
                    engine.peers.remove(peer);
                }
            }
        }
    }

    /// What is believed of an engine's memory.
    pub fn estimate(&self, id: &str, now: time::Instant) -> Option<engine::Estimate> {
        self.engines.get(id).map(|engine| engine.estimate(now))
    }

    /// Share of the decode engines' memory that is committed, in thousandths.
    pub fn fill(&self, now: time::Instant) -> u32 {
        let decode = self.of_stage(fleet::Stage::Decode, now);
        let room: u64 = decode.clone().map(|(_, engine)| u64::from(engine.room())).sum();
        let taken: u64 = decode.map(|(_, engine)| u64::from(engine.tokens(now))).sum();
        (taken * 1000 / room.max(1)) as u32
    }
}
