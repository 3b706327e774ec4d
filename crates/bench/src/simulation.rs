//! The event loop: entries, agents and engines on a virtual clock.

use std::{cmp, collections, time};

use rhubarb_core::{
    budget, fair_share, flow, ids, load, outcome, pool, prefill_time, slots, usage,
};

use crate::{engine, event, policy, random, request, results, scenario, server};

use event::{Event, LoadKey, Tag};
use server::{Entry, Server, least_reported, make_pool};

use outcome::{RETRY_SOON, Reason, Refusal};

const REPORT_PERIOD: time::Duration = time::Duration::from_secs(1);
const LATE_BY: time::Duration = time::Duration::from_secs(3);
const SWEEP: time::Duration = time::Duration::from_millis(20);
const RESERVATION: time::Duration = time::Duration::from_secs(5);
const QUEUE: usize = 64;
/// Time until an entry gives up on a connection: the unanswered ping, then the grace.
const LOST_AFTER: time::Duration = time::Duration::from_millis(3300);
/// Time until an attempt to reach a unresponsive server fails.
const CONNECT_LIMIT: time::Duration = time::Duration::from_secs(1);
const FAULT_TIME: time::Duration = time::Duration::from_secs(10);
/// Time after the last arrival in which requests may end.
const TAIL: time::Duration = time::Duration::from_secs(40);

struct Simulation<'a> {
    scenario: &'a scenario::Scenario,
    policy: &'a policy::Policy,
    start: time::Instant,
    now: time::Instant,
    queue: collections::BinaryHeap<cmp::Reverse<(time::Instant, u64, Event)>>,
    seq: u64,
    random: random::Random,
    servers: Vec<Server>,
    entries: Vec<Entry>,
    requests: Vec<request::Request>,
    tally: results::Tally,
}

/// Runs one cell of the table.
pub fn simulate(scenario: &scenario::Scenario, policy: &policy::Policy) -> results::Results {
    simulate_with_usage(scenario, policy).0
}

/// Runs one cell of the table, and returns the usage that an entry would have recorded too.
pub fn simulate_with_usage(
    scenario: &scenario::Scenario,
    policy: &policy::Policy,
) -> (results::Results, usage::Ledger) {
    let mut simulation = Simulation::new(scenario, policy);
    simulation.prepare();
    let end = simulation.start + time::Duration::from_secs(scenario.seconds) + TAIL;
    while let Some(cmp::Reverse((at, _, event))) = simulation.queue.pop() {
        if at > end {
            break;
        }
        simulation.now = at;
        simulation.handle(event);
    }
    let held: u32 = simulation
        .servers
        .iter()
        .filter(|server| !server.crashed)
        .map(|server| server.held_slots(end))
        .sum();
    simulation.tally.finish(time::Duration::from_secs(scenario.seconds), held)
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a scenario::Scenario, policy: &'a policy::Policy) -> Simulation<'a> {
        let start = time::Instant::now();
        let fleet = &scenario.fleet;
        let servers = (0..fleet.prefill_servers + fleet.decode_servers).map(|number| {
            let is_prefill = number < fleet.prefill_servers;
            let slots = if is_prefill { engine::MAX_PREFILLS } else { engine::DECODE_SLOTS };
            Server {
                name: format!("server-{number:02}"),
                zone: number % scenario::ZONES,
                slots: slots::Slots::new(slots, QUEUE, RESERVATION),
                engine: engine::Engine::default(),
                prefill_time: prefill_time::PrefillTime::default(),
                waiting: collections::BTreeMap::new(),
                prefilled_at: collections::BTreeMap::new(),
                crashed: false,
                unresponsive: false,
            }
        });
        let servers: Vec<_> = servers.collect();
        let entries = (0..scenario::ZONES).map(|zone| Entry {
            prefill_pool: make_pool(zone, &servers[..fleet.prefill_servers], policy),
            decode_pool: make_pool(zone, &servers[fleet.prefill_servers..], policy),
            retry_budget: budget::RetryBudget::default(),
            fair_share: fair_share::FairShare::default(),
            next_server: zone,
        });
        Simulation {
            scenario,
            policy,
            start,
            now: start,
            queue: collections::BinaryHeap::new(),
            seq: 0,
            random: random::Random::new(scenario.seed),
            entries: entries.collect(),
            servers,
            requests: Vec::new(),
            tally: results::Tally::new(),
        }
    }

    fn prepare(&mut self) {
        let rate = engine::capacity(&self.scenario.fleet) * self.scenario.load;
        for (at, caller) in request::arrivals(&mut self.random, self.scenario, rate) {
            let arrived = self.start + at;
            let request = request::draw(&mut self.random, caller, arrived, self.scenario.fault);
            let number = self.requests.len();
            if let Some(leaves) = request.cancelled_at {
                self.push_at(leaves, Event::Leave(number));
            }
            self.requests.push(request);
            self.push_at(arrived + self.scenario.fleet.caller_delay, Event::Arrive(number));
        }
        for server in 0..self.servers.len() {
            for entry in 0..scenario::ZONES {
                let offset = REPORT_PERIOD.mul_f64(self.random.unit());
                self.push_at(self.start + offset, Event::Report { entry, server });
            }
            self.push_at(self.start, Event::Sweep { server });
        }
        let third = time::Duration::from_secs(self.scenario.seconds) / 3;
        self.push_at(self.start + third, Event::FaultStarts);
        self.push_at(self.start + third + FAULT_TIME, Event::FaultEnds);
    }

    fn push_at(&mut self, at: time::Instant, event: Event) {
        self.seq += 1;
        self.queue.push(cmp::Reverse((at, self.seq, event)));
    }

    fn push(&mut self, after: time::Duration, event: Event) {
        self.push_at(self.now + after, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => self.arrive(request),
            Event::Leave(request) => self.tell(request, &flow::Event::CallerGone),
            Event::AskRoom { tag, server } => self.ask_room(tag, server),
            Event::Granted { tag } => self.tell_attempt(tag, &flow::Event::Reserved),
            Event::AskPrefill { tag, server } => self.ask_prefill(tag, server),
            Event::PrefillEnds { tag, server } => self.prefill_ends(tag, server),
            Event::Prefilled { tag } => self.prefilled(tag),
            Event::AskDecode { tag, server, done_ms } => self.ask_decode(tag, server, done_ms),
            Event::TransferEnds { tag, server } => self.transfer_ends(tag, server),
            Event::EngineStep { server } => self.engine_step(server),
            Event::Ended { tag } => self.tell_attempt(tag, &flow::Event::Ended),
            Event::Refused { tag, at_prefill, reason, ran } => {
                self.refused(tag, at_prefill, reason, ran);
            }
            Event::Cancel { tag, server } => self.cancel(tag, server),
            Event::Report { entry, server } => self.report(entry, server),
            Event::Heard { entry, server, load } => self.heard(entry, server, load),
            Event::Sweep { server } => self.sweep(server),
            Event::FaultStarts => self.switch_fault(true),
            Event::FaultEnds => self.switch_fault(false),
        }
    }

    // --- entries ---

    fn arrive(&mut self, number: usize) {
        let request = &mut self.requests[number];
        self.tally.arrive(request.caller);
        if self.policy.fair_share {
            let caller = format!("caller-{}", request.caller);
            request.share = self.entries[request.entry].fair_share.admit(&caller, self.now);
        }
        self.tell(number, &flow::Event::Begin);
    }

    fn tell_attempt(&mut self, tag: Tag, event: &flow::Event) {
        if self.requests[tag.request].attempt == tag.attempt {
            self.tell(tag.request, event);
        }
    }

    fn tell(&mut self, number: usize, event: &flow::Event) {
        if self.requests[number].closed {
            return;
        }
        self.requests[number].flow.handle(event);
        while let Some(step) = self.requests[number].flow.next_step() {
            self.take_step(number, step);
        }
    }

    fn take_step(&mut self, number: usize, step: flow::Step) {
        match step {
            flow::Step::Reserve => self.reserve(number),
            flow::Step::Prefill => self.start_prefill(number),
            flow::Step::Send => self.start_decode(number),
            flow::Step::Release(_) => self.release(number),
            flow::Step::Finish => self.finish(number),
            // No request here has an idempotency key.
            flow::Step::Replay => {}
            flow::Step::Refuse(refusal) => self.close_refused(number, refusal),
        }
    }

    fn tag(&self, request: usize) -> Tag {
        Tag { request, attempt: self.requests[request].attempt }
    }

    fn reserve(&mut self, number: usize) {
        self.requests[number].attempt += 1;
        let tag = self.tag(number);
        if !self.policy.reserve {
            return self.push(time::Duration::ZERO, Event::Granted { tag });
        }
        match self.choose(number, false) {
            Some(server) => {
                self.requests[number].decode_server = Some(server);
                self.push(scenario::HOP_DELAY, Event::AskRoom { tag, server });
            }
            None => self.refuse_later(tag, false, Reason::NoServer, false, time::Duration::ZERO),
        }
    }

    fn start_prefill(&mut self, number: usize) {
        let tag = self.tag(number);
        match self.choose(number, true) {
            Some(server) => {
                self.requests[number].prefill_server = Some(server);
                self.push(scenario::HOP_DELAY, Event::AskPrefill { tag, server });
            }
            None => self.refuse_later(tag, true, Reason::NoServer, false, time::Duration::ZERO),
        }
    }

    fn start_decode(&mut self, number: usize) {
        let tag = self.tag(number);
        if self.requests[number].decode_server.is_none() {
            self.requests[number].decode_server = self.choose(number, false);
        }
        let Some(server) = self.requests[number].decode_server else {
            return self.refuse_later(tag, false, Reason::NoServer, false, time::Duration::ZERO);
        };
        let done_ms = (self.now - self.start).as_millis() as u64;
        self.push(scenario::HOP_DELAY, Event::AskDecode { tag, server, done_ms });
    }

    fn choose(&mut self, number: usize, is_prefill: bool) -> Option<usize> {
        let random = self.random.next();
        let request = &self.requests[number];
        let fleet = &self.scenario.fleet;
        let (first, count) = if is_prefill {
            (0, fleet.prefill_servers)
        } else {
            (fleet.prefill_servers, fleet.decode_servers)
        };
        let entry = &mut self.entries[request.entry];
        let pool = if is_prefill { &mut entry.prefill_pool } else { &mut entry.decode_pool };
        let name = match self.policy.choice {
            policy::Choice::RoundRobin => {
                entry.next_server += 1;
                return Some(first + entry.next_server % count);
            }
            policy::Choice::LeastReported => least_reported(pool, random)?,
            policy::Choice::Pool => {
                let affinity = (is_prefill && self.policy.affinity)
                    .then(|| ids::digest(&[&request.prefix.to_be_bytes()]));
                let by_work = is_prefill && self.policy.by_work;
                let tried = request.flow.tried();
                let wish = pool::Criteria { tried, affinity, random, by_work };
                pool.pick(wish, self.now)?
            }
        };
        let work = if is_prefill {
            prefill_time::PrefillTime::default().estimate(request.prompt_tokens)
        } else {
            time::Duration::ZERO
        };
        pool.record_sent(&name, work);
        self.servers.iter().position(|server| server.name == name)
    }

    fn prefilled(&mut self, tag: Tag) {
        if self.requests[tag.request].attempt != tag.attempt || self.requests[tag.request].closed {
            return;
        }
        let end = if self.policy.health_checks {
            pool::ServerOutcome::Unknown
        } else {
            pool::ServerOutcome::Success
        };
        self.note_end(tag.request, true, end);
        self.tell(tag.request, &flow::Event::Prefilled);
    }

    fn note_end(&mut self, number: usize, is_prefill: bool, end: pool::ServerOutcome) {
        let request = &mut self.requests[number];
        let server =
            if is_prefill { request.prefill_server.take() } else { request.decode_server.take() };
        let Some(server) = server else { return };
        let entry = &mut self.entries[request.entry];
        let pool = if is_prefill { &mut entry.prefill_pool } else { &mut entry.decode_pool };
        pool.record_end(&self.servers[server].name, end, self.now);
    }

    fn judge_source(&mut self, number: usize, end: pool::ServerOutcome) {
        if !self.policy.health_checks {
            return;
        }
        let request = &self.requests[number];
        let entry = &mut self.entries[request.entry];
        entry.prefill_pool.record_outcome(&self.servers[request.source_server].name, end, self.now);
    }

    fn refused(&mut self, tag: Tag, at_prefill: bool, reason: Reason, ran: bool) {
        let request = &self.requests[tag.request];
        if request.attempt != tag.attempt || request.closed {
            return;
        }
        let server = if at_prefill { request.prefill_server } else { request.decode_server };
        let server = server.map(|server| self.servers[server].name.clone());
        let refusal = if ran {
            Refusal::unknown(reason, RETRY_SOON)
        } else {
            Refusal::not_run(reason, RETRY_SOON)
        };
        let is_left = request.flow.may_retry(server.as_ref(), &refusal, self.now);
        let entry = request.entry;
        let retry = is_left && self.entries[entry].retry_budget.try_withdraw(reason);
        self.requests[tag.request].refusal = Some(refusal);
        self.note_end(tag.request, at_prefill, pool::ServerOutcome::Failure(reason));
        if reason == Reason::Evicted {
            self.judge_source(tag.request, pool::ServerOutcome::Failure(reason));
        }
        self.tell(tag.request, &flow::Event::Failed { server, refusal, retry });
    }

    fn release(&mut self, number: usize) {
        let tag = self.tag(number);
        let request = &self.requests[number];
        for server in [request.decode_server, request.prefill_server].into_iter().flatten() {
            self.push(scenario::HOP_DELAY, Event::Cancel { tag, server });
        }
        self.note_end(number, false, pool::ServerOutcome::Unknown);
        self.note_end(number, true, pool::ServerOutcome::Unknown);
        let request = &mut self.requests[number];
        let unused = std::mem::take(&mut request.unused_tokens);
        let reason = request.refusal.map_or(Reason::CallerGone, |refusal| refusal.reason);
        request.attempt += 1;
        if unused > 0 {
            let caller = request.caller;
            self.tally.waste(caller, reason, unused);
        }
    }

    fn finish(&mut self, number: usize) {
        self.note_end(number, false, pool::ServerOutcome::Success);
        let request = &mut self.requests[number];
        request.closed = true;
        self.entries[request.entry].retry_budget.deposit();
        self.tally.answer(request, &self.scenario.fleet);
    }

    fn close_refused(&mut self, number: usize, refusal: Refusal) {
        self.requests[number].closed = true;
        let caller = self.requests[number].caller;
        self.tally.refuse(caller, refusal);
    }

    fn report(&mut self, entry: usize, server: usize) {
        let is_late = self.scenario.fault == scenario::Fault::LateReports;
        let delay = if is_late { scenario::HOP_DELAY + LATE_BY } else { scenario::HOP_DELAY };
        if self.servers[server].is_responsive() {
            let load = self.servers[server].slots.load(self.now);
            let load = (load.slots, load.held, load.waiting, load.queue_ms);
            self.push(delay, Event::Heard { entry, server, load });
        }
        self.push(REPORT_PERIOD, Event::Report { entry, server });
    }

    fn heard(&mut self, entry: usize, server: usize, load: LoadKey) {
        let (slots, held, waiting, queue_ms) = load;
        let load = load::Load { slots, held, waiting, queue_ms, leaving: false };
        let is_prefill = server < self.scenario.fleet.prefill_servers;
        let entry = &mut self.entries[entry];
        let pool = if is_prefill { &mut entry.prefill_pool } else { &mut entry.decode_pool };
        pool.update_load(&self.servers[server].name, load, self.now);
    }

    // --- agents ---

    fn refuse_later(
        &mut self,
        tag: Tag,
        at_prefill: bool,
        reason: Reason,
        ran: bool,
        after: time::Duration,
    ) {
        self.push(after, Event::Refused { tag, at_prefill, reason, ran });
    }

    // Whether an order reaches the server; else its entry finds out in time.
    fn reaches(&mut self, tag: Tag, server: usize, at_prefill: bool) -> bool {
        let (crashed, unresponsive) =
            (self.servers[server].crashed, self.servers[server].unresponsive);
        if crashed {
            self.refuse_later(tag, at_prefill, Reason::NoServer, false, scenario::HOP_DELAY);
        } else if unresponsive {
            self.refuse_later(tag, at_prefill, Reason::NoServer, false, CONNECT_LIMIT);
        }
        !crashed && !unresponsive
    }

    fn ask_room(&mut self, tag: Tag, server: usize) {
        if !self.reaches(tag, server, false) {
            return;
        }
        let request = &self.requests[tag.request];
        let wait_by = (request.arrived_at + self.scenario.fleet.deadline)
            .min(self.now + self.scenario.fleet.max_wait);
        let is_excess = request.share == fair_share::Share::Excess;
        let slots = &mut self.servers[server].slots;
        let answer = if is_excess {
            slots.request_spare(tag.run(), time::Duration::ZERO, self.now)
        } else {
            slots.request(tag.run(), wait_by, self.now)
        };
        match answer {
            slots::Answer::Granted => self.push(scenario::HOP_DELAY, Event::Granted { tag }),
            slots::Answer::Queued => {
                self.servers[server].waiting.insert(tag.run(), tag);
            }
            slots::Answer::Refused(refusal) => {
                self.refuse_later(tag, false, refusal.reason, false, scenario::HOP_DELAY);
            }
        }
    }

    fn ask_prefill(&mut self, tag: Tag, server: usize) {
        if !self.reaches(tag, server, true) {
            return;
        }
        let request = &self.requests[tag.request];
        let state = &mut self.servers[server];
        let work = state.prefill_time.estimate(request.prompt_tokens);
        let start_by = if self.policy.deadline_order {
            let fleet = &self.scenario.fleet;
            let first_token = request.arrived_at + fleet.first_token;
            let due = prefill_time::PromptDeadline { first_token, max_wait: fleet.max_wait };
            due.latest_start(work, self.now)
        } else {
            request.arrived_at + self.scenario.fleet.deadline
        };
        let work = if self.policy.by_work { work } else { time::Duration::ZERO };
        let answer = if request.share == fair_share::Share::Excess {
            state.slots.request_spare(tag.run(), work, self.now)
        } else {
            state.slots.request_work(tag.run(), work, start_by, self.now)
        };
        match answer {
            slots::Answer::Granted => self.run_prefill(tag, server),
            slots::Answer::Queued => {
                self.servers[server].waiting.insert(tag.run(), tag);
            }
            slots::Answer::Refused(refusal) => {
                self.refuse_later(tag, true, refusal.reason, false, scenario::HOP_DELAY);
            }
        }
    }

    fn run_prefill(&mut self, tag: Tag, server: usize) {
        let request = &mut self.requests[tag.request];
        let state = &mut self.servers[server];
        state.slots.claim(tag.run());
        self.tally.prefilled(request.caller, request.prompt_tokens);
        request.unused_tokens = request.prompt_tokens;
        request.source_server = server;
        let (work, done) = state.engine.prefill(request, self.now);
        state.prefill_time.record(request.prompt_tokens, work);
        self.push_at(done, Event::PrefillEnds { tag, server });
    }

    fn prefill_ends(&mut self, tag: Tag, server: usize) {
        if self.servers[server].unresponsive {
            return self.push(SWEEP, Event::PrefillEnds { tag, server });
        }
        let now = self.now;
        self.servers[server].slots.release(tag.run(), now);
        self.grant(server);
        self.push(scenario::HOP_DELAY, Event::Prefilled { tag });
    }

    fn ask_decode(&mut self, tag: Tag, server: usize, done_ms: u64) {
        if !self.reaches(tag, server, false) {
            return;
        }
        let done = self.start + time::Duration::from_millis(done_ms);
        let now = self.now;
        if self.policy.reserve {
            if !self.servers[server].slots.claim(tag.run()) {
                return self.refuse_later(tag, false, Reason::TooLate, false, scenario::HOP_DELAY);
            }
            return self.transfer(tag, server, done);
        }
        self.servers[server].prefilled_at.insert(tag.run(), done);
        match self.servers[server].slots.request(tag.run(), done + engine::RESULT_LIFETIME, now) {
            slots::Answer::Granted => {
                self.servers[server].slots.claim(tag.run());
                self.transfer(tag, server, done);
            }
            slots::Answer::Queued => {
                self.servers[server].waiting.insert(tag.run(), tag);
            }
            slots::Answer::Refused(refusal) => {
                self.refuse_later(tag, false, refusal.reason, false, scenario::HOP_DELAY);
            }
        }
    }

    fn transfer(&mut self, tag: Tag, server: usize, done: time::Instant) {
        let source = self.requests[tag.request].source_server;
        let prompt = self.requests[tag.request].prompt_tokens;
        let ends = self.servers[source].engine.transfer(prompt, self.now);
        let evicted = done + engine::RESULT_LIFETIME;
        if ends > evicted {
            let wait = evicted.saturating_duration_since(self.now) + scenario::HOP_DELAY;
            self.servers[server].slots.release(tag.run(), self.now);
            self.grant(server);
            return self.refuse_later(tag, false, Reason::Evicted, false, wait);
        }
        self.push_at(ends, Event::TransferEnds { tag, server });
    }

    fn transfer_ends(&mut self, tag: Tag, server: usize) {
        let request = &self.requests[tag.request];
        if request.attempt != tag.attempt || request.closed || self.servers[server].crashed {
            return;
        }
        let remaining = request.output_tokens - request.sent_tokens;
        let stream = engine::Stream { request: tag.request, attempt: tag.attempt, remaining };
        let engine = &mut self.servers[server].engine;
        engine.streams.push(stream);
        if !engine.stepping {
            engine.stepping = true;
            let step = engine.step_time();
            self.push(step, Event::EngineStep { server });
        }
    }

    fn engine_step(&mut self, server: usize) {
        let state = &mut self.servers[server];
        if state.crashed || state.engine.streams.is_empty() {
            state.engine.stepping = false;
            return;
        }
        if state.unresponsive {
            return self.push(SWEEP, Event::EngineStep { server });
        }
        let mut streams = std::mem::take(&mut state.engine.streams);
        for stream in &mut streams {
            stream.remaining -= 1;
            self.send_token(stream);
        }
        let ended: Vec<_> =
            streams.iter().filter(|stream| stream.remaining == 0).copied().collect();
        streams.retain(|stream| stream.remaining > 0);
        self.servers[server].engine.streams = streams;
        for stream in ended {
            let tag = Tag { request: stream.request, attempt: stream.attempt };
            self.servers[server].slots.release(tag.run(), self.now);
            self.push(scenario::HOP_DELAY, Event::Ended { tag });
        }
        self.grant(server);
        let step = self.servers[server].engine.step_time();
        self.push(step, Event::EngineStep { server });
    }

    fn send_token(&mut self, stream: &engine::Stream) {
        let at = self.now + scenario::HOP_DELAY + self.scenario.fleet.caller_delay;
        let request = &mut self.requests[stream.request];
        if request.attempt != stream.attempt || request.closed {
            return;
        }
        request.flow.handle(&flow::Event::Streamed);
        let is_first = std::mem::take(&mut request.unused_tokens) > 0;
        request.sent_tokens += 1;
        request.first_at.get_or_insert(at);
        request.last_at = Some(at);
        if is_first {
            self.judge_source(stream.request, pool::ServerOutcome::Success);
        }
    }

    fn cancel(&mut self, tag: Tag, server: usize) {
        let now = self.now;
        let state = &mut self.servers[server];
        if state.crashed {
            return;
        }
        if state.unresponsive {
            return self.push(SWEEP, Event::Cancel { tag, server });
        }
        let is_meant = |stream: &engine::Stream| {
            stream.request == tag.request && stream.attempt == tag.attempt
        };
        state.engine.streams.retain(|stream| !is_meant(stream));
        state.waiting.remove(&tag.run());
        state.prefilled_at.remove(&tag.run());
        // A prefill that has begun runs to its end.
        if server >= self.scenario.fleet.prefill_servers {
            state.slots.release(tag.run(), now);
        }
        self.grant(server);
    }

    fn grant(&mut self, server: usize) {
        while let Some(run) = self.servers[server].slots.next_grant(self.now) {
            let Some(tag) = self.servers[server].waiting.remove(&run) else {
                self.servers[server].slots.release(run, self.now);
                continue;
            };
            if server < self.scenario.fleet.prefill_servers {
                self.run_prefill(tag, server);
            } else if self.policy.reserve {
                self.push(scenario::HOP_DELAY, Event::Granted { tag });
            } else {
                let done = self.servers[server].prefilled_at[&run];
                self.servers[server].slots.claim(run);
                self.transfer(tag, server, done);
            }
        }
    }

    fn sweep(&mut self, server: usize) {
        if self.servers[server].is_responsive() {
            while let Some((run, refusal)) = self.servers[server].slots.next_expired(self.now) {
                if let Some(tag) = self.servers[server].waiting.remove(&run) {
                    let at_prefill = server < self.scenario.fleet.prefill_servers;
                    self.refuse_later(tag, at_prefill, refusal.reason, false, scenario::HOP_DELAY);
                }
            }
            self.grant(server);
        }
        self.push(SWEEP, Event::Sweep { server });
    }

    // --- faults ---

    fn switch_fault(&mut self, starts: bool) {
        let first_decode = self.scenario.fleet.prefill_servers;
        match (self.scenario.fault, starts) {
            (scenario::Fault::DecodeDies, true) => {
                self.servers[first_decode].crashed = true;
                self.lose_contact(first_decode);
            }
            (scenario::Fault::Freeze, _) => self.set_unresponsive(first_decode, starts),
            (scenario::Fault::ZoneSilent, _) => {
                for server in 0..self.servers.len() {
                    if self.servers[server].zone == 0 {
                        self.set_unresponsive(server, starts);
                    }
                }
            }
            (scenario::Fault::LinkStalls, true) => {
                let until = self.now + FAULT_TIME;
                self.servers[0].engine.stall_link(until);
            }
            (scenario::Fault::SlowEngine, true) => self.servers[first_decode].engine.slowdown = 3,
            _ => {}
        }
    }

    fn set_unresponsive(&mut self, server: usize, unresponsive: bool) {
        self.servers[server].unresponsive = unresponsive;
        if unresponsive {
            self.lose_contact(server);
        }
    }

    // Entries give up on what runs at a server that they do not hear any more.
    fn lose_contact(&mut self, server: usize) {
        for number in 0..self.requests.len() {
            let request = &self.requests[number];
            let at_prefill = request.prefill_server == Some(server);
            if !request.closed && (at_prefill || request.decode_server == Some(server)) {
                let tag = self.tag(number);
                let ran = !at_prefill;
                self.refuse_later(tag, at_prefill, Reason::LostContact, ran, LOST_AFTER);
            }
        }
    }
}
