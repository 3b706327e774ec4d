//! Limits of customers that hold for all entries together, and this entry's part of them.
//!
//! Each entry has a token bucket for each customer, with a part of the rate and the burst by its part
//! of the demand. It may overdraw the bucket while the debts of all entries, as they told them, stay
//! under a reserve that the platform tolerates beyond the limit. In any window the entries use at most
//! what flows into the buckets, the burst and the reserve. No request waits for another entry.

use std::{collections, time};

use crate::{customers, demand, ids};

/// What the platform tolerates beyond a limit, in any window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// Length of the sliding window.
    pub window: time::Duration,
    /// Fraction of the limit.
    pub over: f64,
    /// Units.
    pub slack: f64,
}

impl Default for Tolerance {
    fn default() -> Tolerance {
        Tolerance { window: DEFAULT_WINDOW, over: 0.0, slack: 0.0 }
    }
}

/// What an entry tells the others of one customer, in units.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Statement {
    /// The customer.
    pub customer: ids::CustomerTag,
    /// Units asked for in the last window, also those that were refused.
    pub asked: u32,
    /// Units used beyond the bucket and not yet made up for.
    pub debt: u32,
}

/// What a request is decided by, in units, and the decision.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Verdict {
    /// Units that the request counts for.
    pub cost: f64,
    /// Units in this entry's bucket before the request.
    pub level: f64,
    /// Fraction of the limit that this entry has.
    pub fraction: f64,
    /// Debts of the other entries as told, with a part for each that told nothing lately.
    pub told: f64,
    /// Age of the oldest report that counts; `None` without any.
    pub age: Option<time::Duration>,
    /// Time until the request is expected to be within the limit; `None` if it is now, and counts.
    pub wait: Option<time::Duration>,
}

/// This entry's parts of the limits of all customers.
#[derive(Clone, Debug)]
pub struct Allowances {
    tolerance: Tolerance,
    sizes: demand::Sizes,
    accounts: collections::BTreeMap<ids::CustomerTag, Account>,
    // When each entry of the cell last told what it has used.
    heard: collections::BTreeMap<String, time::Instant>,
    // Customers told so far, which are told in turn.
    told: usize,
}

#[derive(Clone, Debug)]
struct Account {
    limit: customers::Limit,
    demand: demand::Demand,
    // Requests of the window: when they came, and their units.
    asked: collections::VecDeque<(time::Instant, f64)>,
    // Sum of their units.
    asked_sum: f64,
    // Units that may be used; below 0 in debt.
    level: f64,
    updated_at: time::Instant,
    // Growth of the debt that other entries may not know: when it grew, and by how much.
    untold: collections::VecDeque<(time::Instant, f64)>,
    // Debts of other entries.
    debts: collections::BTreeMap<String, (f64, time::Instant)>,
}

/// Window without one in the settings: a few times as long as what an entry told counts.
const DEFAULT_WINDOW: time::Duration = time::Duration::from_secs(10);
/// Time for which what an entry told counts, as for its demand.
const TTL: time::Duration = time::Duration::from_secs(3);
/// Age from which an entry counts as silent: more than three heartbeats, of which two may be lost.
const FRESH_TIME: time::Duration = time::Duration::from_secs(1);
/// Time in which a debt reaches the other entries, with one datagram lost.
const TELL_TIME: time::Duration = time::Duration::from_millis(600);
/// Part of what is tolerated that is lent out. An entry that starts again has lost its debt, so that
/// all may borrow twice in one window.
const LENT_SHARE: f64 = 0.45;
/// Least tolerance as a fraction of a limit; the limit is used only in part if the platform tolerates
/// less.
const LEAST_TOLERANCE: f64 = 0.15;
/// Part of what is left to lend that one request may take at once, while little is lent.
const REQUEST_SHARE: f64 = 0.25;
/// Part of what can be lent that is not lent while little is lent.
const CALM_SHARE: f64 = 0.5;
/// Longest time told to a caller until there is room.
const MAX_WAIT: time::Duration = time::Duration::from_secs(10);
/// Requests of one customer and window that are counted one by one.
const MAX_ASKED: usize = 4_096;
/// Maximum number of customers with a limit, over all versions of the config.
const MAX_CUSTOMERS: usize = 4_096;

impl Allowances {
    /// Creates an entry's parts of no limits.
    pub fn new(tolerance: Tolerance) -> Allowances {
        Allowances {
            tolerance,
            sizes: demand::Sizes { peers: 0, fleet: UNKNOWN_ENTRIES },
            accounts: collections::BTreeMap::new(),
            heard: collections::BTreeMap::new(),
            told: 0,
        }
    }

    /// Changes what is tolerated.
    pub fn set_tolerance(&mut self, tolerance: Tolerance) {
        self.tolerance = tolerance;
    }

    /// Sets the number of entries; `fleet` is `None` while it is unknown.
    pub fn set_sizes(&mut self, peers: u32, fleet: Option<u32>, now: time::Instant) {
        self.refill(now);
        self.sizes = demand::Sizes { peers, fleet: fleet.unwrap_or(UNKNOWN_ENTRIES) };
    }

    /// Applies the limits of a version of the config. A bucket begins empty, as another entry may have
    /// used the burst just before.
    pub fn set_limits(&mut self, customers: &customers::Customers, now: time::Instant) {
        self.refill(now);
        let limits = customers
            .iter()
            .filter_map(|customer| Some((ids::customer_tag(&customer.name), customer.limit?)));
        let limits: collections::BTreeMap<_, _> = limits.take(MAX_CUSTOMERS).collect();
        self.accounts.retain(|tag, _| limits.contains_key(tag));
        for (tag, limit) in limits {
            let account = self.accounts.entry(tag).or_insert_with(|| Account::new(limit, now));
            account.limit = limit;
        }
        self.refill(now);
    }

    /// Whether no customer has a limit.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Decides whether a request of a customer with `tokens` is within the limit; it then counts.
    /// `None` if the customer has no limit.
    pub fn request(
        &mut self,
        customer: ids::CustomerTag,
        tokens: Option<u32>,
        now: time::Instant,
    ) -> Option<Verdict> {
        let (tolerance, sizes) = (self.tolerance, self.sizes);
        let silent = self.silent(now);
        let account = self.accounts.get_mut(&customer)?;
        let terms = account.terms(tolerance);
        let cost = account.limit.unit.cost(tokens);
        account.record_asked(cost, tolerance.window, now);
        let fraction = account.refill(terms, sizes, now);
        let cell = f64::from(sizes.peers + 1) / f64::from(sizes.fleet.max(sizes.peers + 1));
        let reserve = terms.reserve * cell;
        let entries = f64::from(sizes.peers + 1);
        let told = account.told(now) + reserve * f64::from(silent) / entries;
        let left = reserve - told - account.debt();
        let growth = cost - account.level.clamp(0.0, cost);
        let borrowed = account.borrowed(now);
        let part = left / entries;
        // While little is lent, an entry may take more than its part: few do so at the same time.
        let is_calm = borrowed == 0.0 || left >= reserve * CALM_SHARE;
        let most = if is_calm { part.max(left * REQUEST_SHARE) } else { part };
        let is_allowed = growth <= 0.0 || borrowed + growth <= most;
        let wait = (!is_allowed).then(|| account.wait(terms, fraction, growth));
        if is_allowed {
            account.level -= cost;
            if growth > 0.0 {
                account.untold.push_back((now, growth));
            }
        }
        let level = if is_allowed { account.level + cost } else { account.level };
        let age = account.debts.values().map(|(_, at)| now.saturating_duration_since(*at)).max();
        Some(Verdict { cost, level, fraction, told, age, wait })
    }

    /// Takes back a request that was allowed and has not reached a server.
    pub fn refund(&mut self, customer: ids::CustomerTag, cost: f64, now: time::Instant) {
        let (tolerance, sizes) = (self.tolerance, self.sizes);
        let Some(account) = self.accounts.get_mut(&customer) else { return };
        account.level += cost;
        account.refill(account.terms(tolerance), sizes, now);
    }

    /// Records what another entry of the cell tells. If it `is_complete`, the entry has nothing to tell
    /// of other customers.
    pub fn record(
        &mut self,
        peer: &str,
        said: &[Statement],
        is_complete: bool,
        now: time::Instant,
    ) {
        self.heard.retain(|_, at| now < *at + TTL);
        self.heard.insert(peer.to_string(), now);
        for (tag, account) in &mut self.accounts {
            let statement = said.iter().find(|statement| statement.customer == *tag);
            let statement = match statement {
                Some(statement) => *statement,
                None if is_complete => Statement::default(),
                None => continue,
            };
            let weight = statement.asked.saturating_add(statement.debt);
            account.demand.record(peer, weight, now);
            account.debts.retain(|_, (_, at)| now < *at + TTL);
            account.debts.insert(peer.to_string(), (f64::from(statement.debt), now));
        }
    }

    /// Up to `count` statements for the other entries, of the customers with most demand or, if there
    /// are more, in turn; and whether these are all that there is to tell.
    pub fn statements(&mut self, count: usize, now: time::Instant) -> (Vec<Statement>, bool) {
        self.refill(now);
        let window = self.tolerance.window;
        let mut said = Vec::new();
        for (customer, account) in &mut self.accounts {
            let statement = account.statement(*customer, window, now);
            account.demand.record_own(statement.asked.saturating_add(statement.debt));
            if statement.asked > 0 || statement.debt > 0 {
                said.push(statement);
            }
        }
        let is_complete = said.len() <= count;
        said.sort_by_key(|statement| u32::MAX - statement.asked.max(statement.debt));
        if !is_complete {
            // Half are those with most demand, the others come in turn.
            let fixed = count / 2;
            let others = said.len() - fixed;
            said[fixed..].rotate_left(self.told % others);
            self.told = (self.told + count - fixed) % others;
            said.truncate(count);
        }
        (said, is_complete)
    }

    // Live entries of the cell that told nothing lately.
    fn silent(&self, now: time::Instant) -> u32 {
        let fresh = self.heard.values().filter(|at| now < **at + FRESH_TIME).count();
        self.sizes.peers.saturating_sub(fresh as u32)
    }

    fn refill(&mut self, now: time::Instant) {
        for account in self.accounts.values_mut() {
            account.refill(account.terms(self.tolerance), self.sizes, now);
        }
    }
}

/// Number of entries to count in a fleet of unknown size.
const UNKNOWN_ENTRIES: u32 = 8;

// What all entries may use of a limit, in units.
#[derive(Clone, Copy)]
struct Terms {
    rate: f64,
    burst: f64,
    // Sum of the debts of all entries.
    reserve: f64,
}

impl Account {
    fn new(limit: customers::Limit, now: time::Instant) -> Account {
        let (asked, untold) = Default::default();
        Account {
            limit,
            demand: demand::Demand::default(),
            asked,
            asked_sum: 0.0,
            level: 0.0,
            updated_at: now,
            untold,
            debts: collections::BTreeMap::new(),
        }
    }

    fn terms(&self, tolerance: Tolerance) -> Terms {
        let customers::Limit { rate, burst, .. } = self.limit;
        let whole = rate * tolerance.window.as_secs_f64() + burst;
        let tolerated = whole * tolerance.over + tolerance.slack;
        let missing = (whole * LEAST_TOLERANCE - tolerated).max(0.0);
        let used = 1.0 - missing / whole.max(f64::MIN_POSITIVE);
        let reserve = LENT_SHARE * (tolerated + missing);
        Terms { rate: rate * used, burst: burst * used, reserve }
    }

    fn record_asked(&mut self, cost: f64, window: time::Duration, now: time::Instant) {
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
        }
    }

    // Adds what has flowed into the bucket, and returns this entry's fraction of the limit.
    fn refill(&mut self, terms: Terms, sizes: demand::Sizes, now: time::Instant) -> f64 {
        let fraction = self.demand.fraction(sizes, now);
        let elapsed = now.saturating_duration_since(self.updated_at);
        self.updated_at = self.updated_at.max(now);
        self.level += terms.rate * fraction * elapsed.as_secs_f64();
        self.level = self.level.min(terms.burst * fraction);
        fraction
    }

    fn debt(&self) -> f64 {
        (-self.level).max(0.0)
    }

    // Debts of other entries.
    fn told(&self, now: time::Instant) -> f64 {
        let fresh = self.debts.values().filter(|(_, at)| now < *at + TTL);
        fresh.map(|(debt, _)| debt).sum()
    }

    // Growth of the debt of which the others may not know.
    fn borrowed(&mut self, now: time::Instant) -> f64 {
        while self.untold.front().is_some_and(|(at, _)| *at + TELL_TIME <= now) {
            self.untold.pop_front();
        }
        self.untold.iter().map(|(_, growth)| growth).sum()
    }

    // Time until this entry's bucket, or what the entries make up of their debts, has room.
    fn wait(&self, terms: Terms, fraction: f64, growth: f64) -> time::Duration {
        let own = (growth + self.debt()) / (terms.rate * fraction).max(f64::MIN_POSITIVE);
        let shared = growth / REQUEST_SHARE / terms.rate.max(f64::MIN_POSITIVE);
        let wait = own.min(shared).min(MAX_WAIT.as_secs_f64());
        time::Duration::from_secs_f64(wait)
    }

    fn statement(
        &mut self,
        customer: ids::CustomerTag,
        window: time::Duration,
        now: time::Instant,
    ) -> Statement {
        self.record_asked(0.0, window, now);
        Statement { customer, asked: self.asked_sum.ceil() as u32, debt: self.debt().ceil() as u32 }
    }
}
