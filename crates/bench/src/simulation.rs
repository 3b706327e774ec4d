//! Event loop that simulates entries, agents and engines on a virtual clock.

use std::{cmp, collections, time};

use rhubarb_core::{
    budget, fair_share, flow, ids, load, outcome, pool, prefill_time, slots, usage,
};

use crate::{engine, event, policy, random, request, results, scenario, server};

use event::{AttemptId, Event, LoadTuple};
use server::{Entry, Server, least_reported, make_pool};

use outcome::{RETRY_SOON, Reason, Refusal};

/// Time between the load reports of a server.
const REPORT_PERIOD: time::Duration = time::Duration::from_secs(1);
/// Additional delay of load reports under [`scenario::Fault::LateReports`].
const REPORT_DELAY: time::Duration = time::Duration::from_secs(3);
/// Time between checks for expired waits, and before an unresponsive server retries an event.
const SWEEP_PERIOD: time::Duration = time::Duration::from_millis(20);
/// Time after which an unused reservation expires.
const RESERVATION_TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// Most attempts that wait for a slot of one server.
const MAX_WAITING: usize = 64;
/// Time until an entry closes the connection of a server that stops answering: the timeout of a
/// ping, then the grace period.
const LOST_AFTER: time::Duration = time::Duration::from_millis(3300);
/// Time until connecting to an unresponsive server fails.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Duration of the faults that end.
const FAULT_DURATION: time::Duration = time::Duration::from_secs(10);
/// Time after the last arrival in which open requests can complete.
const COOLDOWN: time::Duration = time::Duration::from_secs(40);

struct Simulation<'a> {
    scenario: &'a scenario::Scenario,
    policy: &'a policy::Policy,
    start: time::Instant,
    now: time::Instant,
    // Events by time; the sequence number keeps simultaneous ones in the order of their scheduling.
    queue: collections::BinaryHeap<cmp::Reverse<(time::Instant, u64, Event)>>,
    seq: u64,
    random: random::Random,
    servers: Vec<Server>,
    entries: Vec<Entry>,
    requests: Vec<request::Request>,
    counters: results::Counters,
}

/// Simulates a scenario with a policy.
pub fn simulate(scenario: &scenario::Scenario, policy: &policy::Policy) -> results::Results {
    simulate_with_usage(scenario, policy).0
}

/// Simulates a scenario with a policy; also returns the usage that an entry would have recorded.
pub fn simulate_with_usage(
    scenario: &scenario::Scenario,
    policy: &policy::Policy,
) -> (results::Results, usage::Ledger) {
    let mut simulation = Simulation::new(scenario, policy);
    simulation.prepare();
    let end = simulation.start + time::Duration::from_secs(scenario.seconds) + COOLDOWN;
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
    simulation.counters.finish(time::Duration::from_secs(scenario.seconds), held)
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
                slots: slots::Slots::new(slots, MAX_WAITING, RESERVATION_TIMEOUT),
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
            counters: results::Counters::new(),
        }
    }

    // Schedules all requests, the first periodic events, and the fault.
    fn prepare(&mut self) {
        let rate = engine::capacity(&self.scenario.fleet) * self.scenario.load;
        for (at, caller) in request::arrivals(&mut self.random, self.scenario, rate) {
            let arrived_at = self.start + at;
            let request = request::draw(&mut self.random, caller, arrived_at, self.scenario.fault);
            let number = self.requests.len();
            if let Some(cancelled_at) = request.cancelled_at {
                self.schedule_at(cancelled_at, Event::CallerGone(number));
            }
            self.requests.push(request);
            self.schedule_at(arrived_at + self.scenario.fleet.caller_delay, Event::Arrive(number));
        }
        for server in 0..self.servers.len() {
            for entry in 0..scenario::ZONES {
                let offset = REPORT_PERIOD.mul_f64(self.random.unit());
                self.schedule_at(self.start + offset, Event::SendReport { entry, server });
            }
            self.schedule_at(self.start, Event::ExpireWaits { server });
        }
        let third = time::Duration::from_secs(self.scenario.seconds) / 3;
        self.schedule_at(self.start + third, Event::FaultStarts);
        self.schedule_at(self.start + third + FAULT_DURATION, Event::FaultEnds);
    }

    fn schedule_at(&mut self, at: time::Instant, event: Event) {
        self.seq += 1;
        self.queue.push(cmp::Reverse((at, self.seq, event)));
    }

    fn schedule(&mut self, after: time::Duration, event: Event) {
        self.schedule_at(self.now + after, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => self.arrive(request),
            Event::CallerGone(request) => self.update_request(request, &flow::Event::CallerGone),
            Event::RequestSlot { id, server } => self.request_slot(id, server),
            Event::Granted { id } => self.update_attempt(id, &flow::Event::Reserved),
            Event::RequestPrefill { id, server } => self.request_prefill(id, server),
            Event::PrefillEnds { id, server } => self.prefill_ends(id, server),
            Event::Prefilled { id } => self.handle_prefilled(id),
            Event::RequestDecode { id, server, prefilled_ms } => {
                self.request_decode(id, server, prefilled_ms)
            }
            Event::TransferEnds { id, server } => self.transfer_ends(id, server),
            Event::EngineStep { server } => self.engine_step(server),
            Event::Ended { id } => self.update_attempt(id, &flow::Event::Ended),
            Event::Refused { id, is_prefill, reason, ran } => {
                self.handle_refusal(id, is_prefill, reason, ran);
            }
            Event::Cancel { id, server } => self.cancel(id, server),
            Event::SendReport { entry, server } => self.send_report(entry, server),
            Event::ReportReceived { entry, server, load } => {
                self.receive_report(entry, server, load)
            }
            Event::ExpireWaits { server } => self.expire_waits(server),
            Event::FaultStarts => self.switch_fault(true),
            Event::FaultEnds => self.switch_fault(false),
        }
    }

    // --- entries ---

    fn arrive(&mut self, number: usize) {
        let request = &mut self.requests[number];
        self.counters.record_arrival(request.caller);
        if self.policy.fair_share {
            let caller = format!("caller-{}", request.caller);
            request.share = self.entries[request.entry].fair_share.admit(&caller, self.now);
        }
        self.update_request(number, &flow::Event::Begin);
    }

    // Updates the request of an attempt, unless a later attempt has begun.
    fn update_attempt(&mut self, id: AttemptId, event: &flow::Event) {
        if self.requests[id.request].attempt == id.attempt {
            self.update_request(id.request, event);
        }
    }

    fn update_request(&mut self, number: usize, event: &flow::Event) {
        if self.requests[number].closed {
            return;
        }
        self.requests[number].flow.handle(event);
        while let Some(step) = self.requests[number].flow.next_step() {
            self.execute_step(number, step);
        }
    }

    fn execute_step(&mut self, number: usize, step: flow::Step) {
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

    fn attempt_id(&self, number: usize) -> AttemptId {
        AttemptId { request: number, attempt: self.requests[number].attempt }
    }

    fn reserve(&mut self, number: usize) {
        self.requests[number].attempt += 1;
        let id = self.attempt_id(number);
        if !self.policy.reserve {
            return self.schedule(time::Duration::ZERO, Event::Granted { id });
        }
        match self.choose(number, false) {
            Some(server) => {
                self.requests[number].decode_server = Some(server);
                self.schedule(scenario::HOP_DELAY, Event::RequestSlot { id, server });
            }
            None => self.schedule_refusal(id, false, Reason::NoServer, false, time::Duration::ZERO),
        }
    }

    fn start_prefill(&mut self, number: usize) {
        let id = self.attempt_id(number);
        match self.choose(number, true) {
            Some(server) => {
                self.requests[number].prefill_server = Some(server);
                self.schedule(scenario::HOP_DELAY, Event::RequestPrefill { id, server });
            }
            None => self.schedule_refusal(id, true, Reason::NoServer, false, time::Duration::ZERO),
        }
    }

    fn start_decode(&mut self, number: usize) {
        let id = self.attempt_id(number);
        if self.requests[number].decode_server.is_none() {
            self.requests[number].decode_server = self.choose(number, false);
        }
        let Some(server) = self.requests[number].decode_server else {
            return self.schedule_refusal(id, false, Reason::NoServer, false, time::Duration::ZERO);
        };
        let prefilled_ms = (self.now - self.start).as_millis() as u64;
        self.schedule(scenario::HOP_DELAY, Event::RequestDecode { id, server, prefilled_ms });
    }

    // Chooses a server, and records in its pool that the request is sent to it; round robin uses no
    // pool.
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
                let criteria = pool::Criteria { tried, affinity, random, by_work };
                pool.pick(criteria, self.now)?
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

    fn handle_prefilled(&mut self, id: AttemptId) {
        if self.requests[id.request].attempt != id.attempt || self.requests[id.request].closed {
            return;
        }
        let outcome = if self.policy.health_checks {
            pool::ServerOutcome::Unknown
        } else {
            pool::ServerOutcome::Success
        };
        self.record_end(id.request, true, outcome);
        self.update_request(id.request, &flow::Event::Prefilled);
    }

    fn record_end(&mut self, number: usize, is_prefill: bool, outcome: pool::ServerOutcome) {
        let request = &mut self.requests[number];
        let server =
            if is_prefill { request.prefill_server.take() } else { request.decode_server.take() };
        let Some(server) = server else { return };
        let entry = &mut self.entries[request.entry];
        let pool = if is_prefill { &mut entry.prefill_pool } else { &mut entry.decode_pool };
        pool.record_end(&self.servers[server].name, outcome, self.now);
    }

    // Records whether the result of a prefill server was used.
    fn record_source_outcome(&mut self, number: usize, outcome: pool::ServerOutcome) {
        if !self.policy.health_checks {
            return;
        }
        let request = &self.requests[number];
        let entry = &mut self.entries[request.entry];
        entry.prefill_pool.record_outcome(
            &self.servers[request.source_server].name,
            outcome,
            self.now,
        );
    }

    fn handle_refusal(&mut self, id: AttemptId, is_prefill: bool, reason: Reason, ran: bool) {
        let request = &self.requests[id.request];
        if request.attempt != id.attempt || request.closed {
            return;
        }
        let server = if is_prefill { request.prefill_server } else { request.decode_server };
        let server = server.map(|server| self.servers[server].name.clone());
        let refusal = if ran {
            Refusal::unknown(reason, RETRY_SOON)
        } else {
            Refusal::not_run(reason, RETRY_SOON)
        };
        let may_retry = request.flow.may_retry(server.as_ref(), &refusal, self.now);
        let entry = request.entry;
        let retry = may_retry && self.entries[entry].retry_budget.try_withdraw(reason);
        self.requests[id.request].refusal = Some(refusal);
        self.record_end(id.request, is_prefill, pool::ServerOutcome::Failure(reason));
        if reason == Reason::Evicted {
            self.record_source_outcome(id.request, pool::ServerOutcome::Failure(reason));
        }
        self.update_request(id.request, &flow::Event::Failed { server, refusal, retry });
    }

    fn release(&mut self, number: usize) {
        let id = self.attempt_id(number);
        let request = &self.requests[number];
        for server in [request.decode_server, request.prefill_server].into_iter().flatten() {
            self.schedule(scenario::HOP_DELAY, Event::Cancel { id, server });
        }
        self.record_end(number, false, pool::ServerOutcome::Unknown);
        self.record_end(number, true, pool::ServerOutcome::Unknown);
        let request = &mut self.requests[number];
        let unused = std::mem::take(&mut request.unused_tokens);
        let reason = request.refusal.map_or(Reason::CallerGone, |refusal| refusal.reason);
        request.attempt += 1;
        if unused > 0 {
            let caller = request.caller;
            self.counters.record_waste(caller, reason, unused);
        }
    }

    fn finish(&mut self, number: usize) {
        self.record_end(number, false, pool::ServerOutcome::Success);
        let request = &mut self.requests[number];
        request.closed = true;
        self.entries[request.entry].retry_budget.deposit();
        self.counters.record_answer(request, &self.scenario.fleet);
    }

    fn close_refused(&mut self, number: usize, refusal: Refusal) {
        self.requests[number].closed = true;
        let caller = self.requests[number].caller;
        self.counters.record_refusal(caller, refusal);
    }

    fn send_report(&mut self, entry: usize, server: usize) {
        let is_late = self.scenario.fault == scenario::Fault::LateReports;
        let delay = if is_late { scenario::HOP_DELAY + REPORT_DELAY } else { scenario::HOP_DELAY };
        if self.servers[server].is_responsive() {
            let load = self.servers[server].slots.load(self.now);
            let load = (load.slots, load.held, load.waiting, load.queue_ms);
            self.schedule(delay, Event::ReportReceived { entry, server, load });
        }
        self.schedule(REPORT_PERIOD, Event::SendReport { entry, server });
    }

    fn receive_report(&mut self, entry: usize, server: usize, load: LoadTuple) {
        let (slots, held, waiting, queue_ms) = load;
        let load = load::Load { slots, held, waiting, queue_ms, leaving: false };
        let is_prefill = server < self.scenario.fleet.prefill_servers;
        let entry = &mut self.entries[entry];
        let pool = if is_prefill { &mut entry.prefill_pool } else { &mut entry.decode_pool };
        pool.update_load(&self.servers[server].name, load, self.now);
    }

    // --- agents ---

    fn schedule_refusal(
        &mut self,
        id: AttemptId,
        is_prefill: bool,
        reason: Reason,
        ran: bool,
        after: time::Duration,
    ) {
        self.schedule(after, Event::Refused { id, is_prefill, reason, ran });
    }

    // Returns whether a message reaches the server; otherwise schedules the failure at its entry.
    fn check_reachable(&mut self, id: AttemptId, server: usize, is_prefill: bool) -> bool {
        let (crashed, unresponsive) =
            (self.servers[server].crashed, self.servers[server].unresponsive);
        if crashed {
            self.schedule_refusal(id, is_prefill, Reason::NoServer, false, scenario::HOP_DELAY);
        } else if unresponsive {
            self.schedule_refusal(id, is_prefill, Reason::NoServer, false, CONNECT_TIMEOUT);
        }
        !crashed && !unresponsive
    }

    fn request_slot(&mut self, id: AttemptId, server: usize) {
        if !self.check_reachable(id, server, false) {
            return;
        }
        let request = &self.requests[id.request];
        let wait_by = (request.arrived_at + self.scenario.fleet.deadline)
            .min(self.now + self.scenario.fleet.max_wait);
        let is_excess = request.share == fair_share::Share::Excess;
        let slots = &mut self.servers[server].slots;
        let answer = if is_excess {
            slots.request_spare(id.run_id(), time::Duration::ZERO, self.now)
        } else {
            slots.request(id.run_id(), wait_by, self.now)
        };
        match answer {
            slots::Answer::Granted => self.schedule(scenario::HOP_DELAY, Event::Granted { id }),
            slots::Answer::Queued => {
                self.servers[server].waiting.insert(id.run_id(), id);
            }
            slots::Answer::Refused(refusal) => {
                self.schedule_refusal(id, false, refusal.reason, false, scenario::HOP_DELAY);
            }
        }
    }

    fn request_prefill(&mut self, id: AttemptId, server: usize) {
        if !self.check_reachable(id, server, true) {
            return;
        }
        let request = &self.requests[id.request];
        let state = &mut self.servers[server];
        let work = state.prefill_time.estimate(request.prompt_tokens);
        let start_by = if self.policy.deadline_order {
            let fleet = &self.scenario.fleet;
            let first_token = request.arrived_at + fleet.first_token;
            let deadline = prefill_time::PromptDeadline { first_token, max_wait: fleet.max_wait };
            deadline.latest_start(work, self.now)
        } else {
            request.arrived_at + self.scenario.fleet.deadline
        };
        let work = if self.policy.by_work { work } else { time::Duration::ZERO };
        let answer = if request.share == fair_share::Share::Excess {
            state.slots.request_spare(id.run_id(), work, self.now)
        } else {
            state.slots.request_work(id.run_id(), work, start_by, self.now)
        };
        match answer {
            slots::Answer::Granted => self.run_prefill(id, server),
            slots::Answer::Queued => {
                self.servers[server].waiting.insert(id.run_id(), id);
            }
            slots::Answer::Refused(refusal) => {
                self.schedule_refusal(id, true, refusal.reason, false, scenario::HOP_DELAY);
            }
        }
    }

    fn run_prefill(&mut self, id: AttemptId, server: usize) {
        let request = &mut self.requests[id.request];
        let state = &mut self.servers[server];
        state.slots.claim(id.run_id());
        self.counters.record_prefill(request.caller, request.prompt_tokens);
        request.unused_tokens = request.prompt_tokens;
        request.source_server = server;
        let (work, ends_at) = state.engine.prefill(request, self.now);
        state.prefill_time.record(request.prompt_tokens, work);
        self.schedule_at(ends_at, Event::PrefillEnds { id, server });
    }

    fn prefill_ends(&mut self, id: AttemptId, server: usize) {
        if self.servers[server].unresponsive {
            return self.schedule(SWEEP_PERIOD, Event::PrefillEnds { id, server });
        }
        let now = self.now;
        self.servers[server].slots.release(id.run_id(), now);
        self.grant(server);
        self.schedule(scenario::HOP_DELAY, Event::Prefilled { id });
    }

    fn request_decode(&mut self, id: AttemptId, server: usize, prefilled_ms: u64) {
        if !self.check_reachable(id, server, false) {
            return;
        }
        let prefilled_at = self.start + time::Duration::from_millis(prefilled_ms);
        let now = self.now;
        if self.policy.reserve {
            if !self.servers[server].slots.claim(id.run_id()) {
                return self.schedule_refusal(
                    id,
                    false,
                    Reason::TooLate,
                    false,
                    scenario::HOP_DELAY,
                );
            }
            return self.transfer(id, server, prefilled_at);
        }
        self.servers[server].prefilled_at.insert(id.run_id(), prefilled_at);
        match self.servers[server].slots.request(
            id.run_id(),
            prefilled_at + engine::RESULT_LIFETIME,
            now,
        ) {
            slots::Answer::Granted => {
                self.servers[server].slots.claim(id.run_id());
                self.transfer(id, server, prefilled_at);
            }
            slots::Answer::Queued => {
                self.servers[server].waiting.insert(id.run_id(), id);
            }
            slots::Answer::Refused(refusal) => {
                self.schedule_refusal(id, false, refusal.reason, false, scenario::HOP_DELAY);
            }
        }
    }

    fn transfer(&mut self, id: AttemptId, server: usize, prefilled_at: time::Instant) {
        let source = self.requests[id.request].source_server;
        let prompt_tokens = self.requests[id.request].prompt_tokens;
        let ends_at = self.servers[source].engine.transfer(prompt_tokens, self.now);
        let evicted_at = prefilled_at + engine::RESULT_LIFETIME;
        if ends_at > evicted_at {
            let wait = evicted_at.saturating_duration_since(self.now) + scenario::HOP_DELAY;
            self.servers[server].slots.release(id.run_id(), self.now);
            self.grant(server);
            return self.schedule_refusal(id, false, Reason::Evicted, false, wait);
        }
        self.schedule_at(ends_at, Event::TransferEnds { id, server });
    }

    fn transfer_ends(&mut self, id: AttemptId, server: usize) {
        let request = &self.requests[id.request];
        if request.attempt != id.attempt || request.closed || self.servers[server].crashed {
            return;
        }
        let remaining = request.output_tokens - request.sent_tokens;
        let stream = engine::Stream { request: id.request, attempt: id.attempt, remaining };
        let engine = &mut self.servers[server].engine;
        engine.streams.push(stream);
        if !engine.stepping {
            engine.stepping = true;
            let step = engine.step_time();
            self.schedule(step, Event::EngineStep { server });
        }
    }

    fn engine_step(&mut self, server: usize) {
        let state = &mut self.servers[server];
        if state.crashed || state.engine.streams.is_empty() {
            state.engine.stepping = false;
            return;
        }
        if state.unresponsive {
            return self.schedule(SWEEP_PERIOD, Event::EngineStep { server });
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
            let id = AttemptId { request: stream.request, attempt: stream.attempt };
            self.servers[server].slots.release(id.run_id(), self.now);
            self.schedule(scenario::HOP_DELAY, Event::Ended { id });
        }
        self.grant(server);
        let step = self.servers[server].engine.step_time();
        self.schedule(step, Event::EngineStep { server });
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
            self.record_source_outcome(stream.request, pool::ServerOutcome::Success);
        }
    }

    fn cancel(&mut self, id: AttemptId, server: usize) {
        let now = self.now;
        let state = &mut self.servers[server];
        if state.crashed {
            return;
        }
        if state.unresponsive {
            return self.schedule(SWEEP_PERIOD, Event::Cancel { id, server });
        }
        let is_cancelled =
            |stream: &engine::Stream| stream.request == id.request && stream.attempt == id.attempt;
        state.engine.streams.retain(|stream| !is_cancelled(stream));
        state.waiting.remove(&id.run_id());
        state.prefilled_at.remove(&id.run_id());
        // A prefill that has started runs to its end.
        if server >= self.scenario.fleet.prefill_servers {
            state.slots.release(id.run_id(), now);
        }
        self.grant(server);
    }

    // Starts or informs the attempts that were granted a slot.
    fn grant(&mut self, server: usize) {
        while let Some(run) = self.servers[server].slots.next_grant(self.now) {
            let Some(id) = self.servers[server].waiting.remove(&run) else {
                self.servers[server].slots.release(run, self.now);
                continue;
            };
            if server < self.scenario.fleet.prefill_servers {
                self.run_prefill(id, server);
            } else if self.policy.reserve {
                self.schedule(scenario::HOP_DELAY, Event::Granted { id });
            } else {
                let prefilled_at = self.servers[server].prefilled_at[&run];
                self.servers[server].slots.claim(run);
                self.transfer(id, server, prefilled_at);
            }
        }
    }

    fn expire_waits(&mut self, server: usize) {
        if self.servers[server].is_responsive() {
            while let Some((run, refusal)) = self.servers[server].slots.next_expired(self.now) {
                if let Some(id) = self.servers[server].waiting.remove(&run) {
                    let is_prefill = server < self.scenario.fleet.prefill_servers;
                    self.schedule_refusal(
                        id,
                        is_prefill,
                        refusal.reason,
                        false,
                        scenario::HOP_DELAY,
                    );
                }
            }
            self.grant(server);
        }
        self.schedule(SWEEP_PERIOD, Event::ExpireWaits { server });
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
                let until = self.now + FAULT_DURATION;
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

    // Schedules the failure of all attempts at a server whose connections are lost.
    fn lose_contact(&mut self, server: usize) {
        for number in 0..self.requests.len() {
            let request = &self.requests[number];
            let is_prefill = request.prefill_server == Some(server);
            if !request.closed && (is_prefill || request.decode_server == Some(server)) {
                let id = self.attempt_id(number);
                let ran = !is_prefill;
                self.schedule_refusal(id, is_prefill, Reason::LostContact, ran, LOST_AFTER);
            }
        }
    }
}
