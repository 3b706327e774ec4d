//! One customer's limit at this entry: the bucket with this entry's part, and what the others told.

use std::{collections, time};

use crate::{customers, demand, ids, terms, voices};

/// What another entry told last of the customer.
#[derive(Clone, Copy, Debug)]
pub struct Told {
    /// Units asked for in the last window.
    pub asked: u32,
    /// Units used beyond the bucket and not yet made up for.
    pub debt: u32,
    /// When it told them.
    pub at: time::Instant,
}

/// This entry's part of one limit.
#[derive(Clone, Debug)]
pub struct Account {
    // The limit, in parts of a unit, as all that follows.
    limit: customers::Limit,
    /// What may be used; below 0 in debt.
    pub level: f64,
    /// Other entries that told of requests or of a debt; the others have neither, or told nothing.
    pub told: collections::BTreeMap<voices::EntryTag, Told>,
    // Requests of the window: when they came, and their units.
    asked: collections::VecDeque<(time::Instant, f64)>,
    // Sum of their units.
    asked_sum: f64,
    // Mean units of a request, of the last ones.
    usual: Option<f64>,
    // Whether a request that may have been borrowed before the start is not counted yet.
    is_new: bool,
    // Demand as this entry told it last.
    demand: u32,
    // Parts of the own cell in the last seconds, each less than those after it, beside its part by size.
    parts: collections::VecDeque<(time::Instant, f64)>,
    created_at: time::Instant,
    updated_at: time::Instant,
    // Growth of the debt that other entries may not know: when it grew, and by how much.
    untold: collections::VecDeque<(time::Instant, f64)>,
}

/// Time in which a debt reaches the other entries, with one datagram lost.
const TELL_TIME: time::Duration = time::Duration::from_millis(600);
/// Weight of a request in the mean of the last ones.
const USUAL_WEIGHT: f64 = 0.1;
/// Windows for which an entry is in turn or not.
const TURN_WINDOWS: u32 = 2;
/// Requests of a window for each entry from which a limit is large.
const LARGE_REQUESTS: f64 = 4.0;
/// Growth of a cell's part that is within the noise of its demand, as a factor.
const NOISE: f64 = 1.1;
/// Time in which what a cell asks for is known in the others.
const LEARN_TIME: time::Duration = time::Duration::from_secs(6);
/// Requests of one customer and window that are counted one by one.
const MAX_ASKED: usize = 4_096;

impl Account {
    /// Creates an account with an empty bucket.
    pub fn new(limit: customers::Limit, now: time::Instant) -> Account {
        Account {
            limit: in_parts(limit),
            level: 0.0,
            told: collections::BTreeMap::new(),
            asked: collections::VecDeque::new(),
            asked_sum: 0.0,
            usual: None,
            is_new: true,
            demand: 0,
            parts: collections::VecDeque::new(),
            created_at: now,
            updated_at: now,
            untold: collections::VecDeque::new(),
        }
    }

    /// Changes the limit.
    pub fn set_limit(&mut self, limit: customers::Limit) {
        self.limit = in_parts(limit);
    }

    /// Parts of a unit in which the account is kept.
    pub fn parts(&self) -> f64 {
        self.limit.unit.parts()
    }

    /// What a request counts for.
    pub fn cost(&self, tokens: Option<u32>) -> f64 {
        self.limit.unit.cost(tokens) * self.parts()
    }

    /// What a usual request counts for.
    pub fn usual(&self) -> f64 {
        self.usual.unwrap_or_else(|| self.cost(None))
    }

    /// What all entries may use of the limit.
    pub fn terms(&self, tolerance: terms::Tolerance, sizes: demand::Sizes) -> terms::Terms {
        let usual = self.usual();
        let slack = tolerance.slack * self.parts();
        let tolerance = terms::Tolerance { slack, ..tolerance };
        terms::Terms::new(self.limit, usual, tolerance, sizes)
    }

    /// Whether the requests of a window are enough for cells to divide the limit by them. Of fewer, the
    /// demand of a cell is noise.
    pub fn is_large(&self, tolerance: terms::Tolerance, sizes: demand::Sizes) -> bool {
        let whole = self.limit.rate * tolerance.window.as_secs_f64() + self.limit.burst;
        whole >= LARGE_REQUESTS * self.usual() * f64::from(sizes.fleet)
    }

    /// Counts a request that was asked for.
    pub fn record_asked(&mut self, cost: f64, window: time::Duration, now: time::Instant) {
        while let Some((at, oldest)) = self.asked.front()
            && (*at + window <= now || self.asked.len() >= MAX_ASKED)
        {
            self.asked_sum -= oldest;
            self.asked.pop_front();
        }
        if self.asked.is_empty() {
            self.asked_sum = 0.0;
        }
        if cost > 0.0 {
            self.asked.push_back((now, cost));
            self.asked_sum += cost;
            let usual = self.usual.get_or_insert(cost);
            *usual += USUAL_WEIGHT * (cost - *usual);
        }
    }

    /// Adds what has flowed into the bucket, and returns this entry's fraction of the limit.
    pub fn refill(
        &mut self,
        terms: terms::Terms,
        voices: &voices::Voices,
        sizes: demand::Sizes,
        now: time::Instant,
    ) -> f64 {
        let demands = self.demands(voices, now);
        let fraction = demand::fraction(self.demand, demands, sizes) * self.excess(sizes);
        let elapsed = now.saturating_duration_since(self.updated_at);
        self.updated_at = self.updated_at.max(now);
        self.level += terms.rate * fraction * elapsed.as_secs_f64();
        self.level = self.level.min(terms.burst * fraction);
        fraction
    }

    /// Part of the own cell of what all entries may lend.
    pub fn lent_part(&self, sizes: demand::Sizes) -> f64 {
        self.parts.front().map_or_else(|| size_part(sizes), |(_, least)| *least)
    }

    // Part of the own cell as a multiple of its part by size. It falls at once, and grows by more than
    // what is noise only when the other cells have learned of its demand.
    fn excess(&self, sizes: demand::Sizes) -> f64 {
        let Some(((_, least), (_, latest))) = self.parts.front().zip(self.parts.back()) else {
            return 1.0;
        };
        latest.min(least * NOISE) / size_part(sizes)
    }

    /// Records the own cell's part of the limit by the demand of all cells; `None` if there are no
    /// others.
    pub fn record_part(&mut self, part: Option<f64>, sizes: demand::Sizes, now: time::Instant) {
        let Some(part) = part else { return self.parts.clear() };
        if self.parts.is_empty() {
            // Until now it had its part by size.
            self.parts.push_back((now, size_part(sizes)));
        }
        while self.parts.back().is_some_and(|(_, later)| *later >= part) {
            self.parts.pop_back();
        }
        self.parts.push_back((now, part));
        while self.parts.len() > 1 && self.parts[0].0 + LEARN_TIME <= now {
            self.parts.pop_front();
        }
    }

    /// Demand of the entries of the own cell.
    pub fn cell_demand(&self, voices: &voices::Voices, now: time::Instant) -> u64 {
        u64::from(self.demand) + self.demands(voices, now).requests
    }

    // Demand of the other entries. One that is silent may have more by now, and counts for at least as much
    // as this entry.
    fn demands(&self, voices: &voices::Voices, now: time::Instant) -> demand::Demands {
        let entries = voices.idle_count(self.created_at, now);
        let mut demands = demand::Demands { entries, requests: 0 };
        for (entry, told) in self.told.iter().filter(|(_, told)| now < told.at + voices::TTL) {
            let requests = told.asked.saturating_add(told.debt);
            let least = if voices.is_silent(*entry) { self.demand } else { 0 };
            demands.entries += u32::from(!voices.is_idle(*entry, self.created_at, now));
            demands.requests += u64::from(requests.max(least));
        }
        demands
    }

    /// Counts the request that the process before this one may have borrowed, and that is made up for
    /// since the start.
    pub fn count_lost(&mut self, terms: terms::Terms, fraction: f64, now: time::Instant) {
        if let Some(single) = terms.single.filter(|_| std::mem::take(&mut self.is_new)) {
            let age = now.saturating_duration_since(self.created_at).as_secs_f64();
            self.level = self.level.min(terms.rate * fraction * age - single.most * single.chance);
        }
    }

    /// Units that one request may borrow alone in this turn; 0 if the entry is not in turn.
    pub fn single(
        &self,
        terms: terms::Terms,
        window: time::Duration,
        salt: u64,
        now: time::Instant,
    ) -> f64 {
        let Some(single) = terms.single else { return 0.0 };
        if single.chance >= 1.0 {
            return single.most;
        }
        let age = now.saturating_duration_since(self.created_at).as_millis() as u64;
        let turn = age / (u64::from(TURN_WINDOWS) * window.as_millis() as u64).max(1);
        let drawn = ids::digest(&[&salt.to_be_bytes(), &turn.to_be_bytes()]) as u64;
        if (drawn as f64) < single.chance * u64::MAX as f64 { single.most } else { 0.0 }
    }

    /// Units used beyond the bucket and not yet made up for.
    pub fn debt(&self) -> f64 {
        (-self.level).max(0.0)
    }

    /// Debts of other entries.
    pub fn debts(&self, now: time::Instant) -> f64 {
        let fresh = self.told.values().filter(|told| now < told.at + voices::TTL);
        fresh.map(|told| f64::from(told.debt)).sum()
    }

    /// Takes units for a request, of which `growth` are beyond the bucket.
    pub fn take(&mut self, cost: f64, growth: f64, now: time::Instant) {
        self.level -= cost;
        if growth > 0.0 {
            self.untold.push_back((now, growth));
        }
    }

    /// Growth of the debt of which the others may not know.
    pub fn borrowed(&mut self, now: time::Instant) -> f64 {
        while self.untold.front().is_some_and(|(at, _)| *at + TELL_TIME <= now) {
            self.untold.pop_front();
        }
        self.untold.iter().map(|(_, growth)| growth).sum()
    }

    /// Units asked for and the debt, which the other entries are told and which then count as this
    /// entry's demand.
    pub fn tell(&mut self, window: time::Duration, now: time::Instant) -> (u32, u32) {
        self.record_asked(0.0, window, now);
        let (asked, debt) = (self.asked_sum.ceil() as u32, self.debt().ceil() as u32);
        self.demand = asked.saturating_add(debt);
        self.told.retain(|_, told| now < told.at + voices::TTL);
        (asked, debt)
    }

    /// Whether this entry or another one has requests or a debt. Otherwise its part depends on the
    /// number of entries alone.
    pub fn is_active(&self) -> bool {
        self.demand > 0 || !self.told.is_empty()
    }
}

fn in_parts(limit: customers::Limit) -> customers::Limit {
    let parts = limit.unit.parts();
    customers::Limit { rate: limit.rate * parts, burst: limit.burst * parts, ..limit }
}

// Part of the own cell by its size.
fn size_part(sizes: demand::Sizes) -> f64 {
    f64::from(sizes.peers + 1) / f64::from(sizes.fleet.max(sizes.peers + 1))
}
