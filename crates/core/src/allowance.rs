//! Limits of customers that hold for all entries together, and this entry's part of them.
//!
//! Each entry has a token bucket for each customer, with a part of the rate and the burst by its part
//! of the demand. It may overdraw the bucket while the debts of all entries, as they told them, stay
//! under a reserve that the platform tolerates beyond the limit. In any window the entries use at most
//! what flows into the buckets, the burst and the reserve. No request waits for another entry.

use std::{collections, time};

use crate::{account, cell_voices, cells, customers, demand, ids, terms, voices};

pub use terms::Tolerance;

/// What an entry tells the others of one customer, in units or in thousandths of a request.
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
    accounts: collections::BTreeMap<ids::CustomerTag, account::Account>,
    // Customers with requests or a debt at some entry. The part of each other limit is constant, so
    // that its bucket is filled when it is asked for.
    active: collections::BTreeSet<ids::CustomerTag>,
    // The other entries of the cell.
    voices: voices::Voices,
    // When the number of entries was first told.
    started_at: Option<time::Instant>,
    // The other cells; `None` in a fleet that is one cell.
    cells: Option<cell_voices::CellVoices>,
    // Customers told so far, which are told in turn.
    told: usize,
    // Number by which the entries draw their turns.
    salt: u64,
}

/// Part of what can be lent that is not lent while little is lent.
const CALM_SHARE: f64 = 0.5;
/// Time after its start in which an entry may not have heard all others of its cell.
const SETTLE_TIME: time::Duration = time::Duration::from_secs(5);
/// Longest time told to a caller until there is room.
const MAX_WAIT: time::Duration = time::Duration::from_secs(10);
/// Maximum number of customers with a limit, over all versions of the config.
const MAX_CUSTOMERS: usize = 4_096;

impl Allowances {
    /// Creates an entry's parts of no limits.
    pub fn new(tolerance: Tolerance) -> Allowances {
        Allowances {
            tolerance,
            sizes: demand::Sizes { peers: 0, fleet: UNKNOWN_ENTRIES },
            accounts: collections::BTreeMap::new(),
            active: collections::BTreeSet::new(),
            voices: voices::Voices::default(),
            started_at: None,
            cells: None,
            told: 0,
            salt: 0,
        }
    }

    /// Sets a random number, by which this entry's turns differ from those of the others.
    pub fn set_salt(&mut self, salt: u64) {
        self.salt = salt;
    }

    /// Changes what is tolerated.
    pub fn set_tolerance(&mut self, tolerance: Tolerance) {
        self.tolerance = tolerance;
    }

    /// Sets the number of entries; `fleet` is `None` while it is unknown.
    pub fn set_sizes(&mut self, peers: u32, fleet: Option<u32>, now: time::Instant) {
        self.started_at.get_or_insert(now);
        let sizes = demand::Sizes { peers, fleet: fleet.unwrap_or(UNKNOWN_ENTRIES) };
        if sizes != self.sizes {
            self.refill(now);
            self.sizes = sizes;
        }
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
        self.active.retain(|tag| limits.contains_key(tag));
        for (tag, limit) in limits {
            let account =
                self.accounts.entry(tag).or_insert_with(|| account::Account::new(limit, now));
            account.set_limit(limit);
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
        let silent = sizes.peers.saturating_sub(self.voices.count(voices::FRESH_TIME, now));
        let age = self.voices.oldest().map(|at| now.saturating_duration_since(at));
        let account = self.accounts.get_mut(&customer)?;
        self.voices.tick(now);
        self.active.insert(customer);
        let cost = account.cost(tokens);
        account.record_asked(cost, tolerance.window, now);
        let terms = account.terms(tolerance, sizes);
        let fraction = account.refill(terms, &self.voices, sizes, now);
        account.count_lost(terms, fraction, now);
        let reserve = terms.reserve * account.lent_part(sizes);
        let entries = f64::from(sizes.peers + 1);
        let told = account.debts(now) + reserve * f64::from(silent) / entries;
        let left = reserve - told - account.debt();
        let growth = cost - account.level.clamp(0.0, cost);
        let borrowed = account.borrowed(now);
        let part = left / entries;
        // While little is lent, an entry may take more than its part: few do so at the same time.
        let is_calm = borrowed == 0.0 || left >= reserve * CALM_SHARE;
        let most = if is_calm { part.max(left * terms::REQUEST_SHARE) } else { part };
        // One request is more than may be lent of a small limit: each entry may owe one, and borrow
        // one more while the debts of all are under the reserve.
        let single = account.single(terms, tolerance.window, self.salt, now);
        let is_free = account.debt() + growth <= single;
        let is_single = is_free || borrowed == 0.0 && left > 0.0 && growth <= single;
        let is_allowed = growth <= 0.0 || borrowed + growth <= most || is_single;
        let wait = (!is_allowed).then(|| wait(account, terms, fraction, growth));
        if is_allowed {
            account.take(cost, growth, now);
        }
        let level = if is_allowed { account.level + cost } else { account.level };
        let parts = account.parts();
        let (cost, level, told) = (cost / parts, level / parts, told / parts);
        Some(Verdict { cost, level, fraction, told, age, wait })
    }

    /// Takes back a request that was allowed and has not reached a server.
    pub fn refund(&mut self, customer: ids::CustomerTag, cost: f64, now: time::Instant) {
        let (tolerance, sizes) = (self.tolerance, self.sizes);
        let Some(account) = self.accounts.get_mut(&customer) else { return };
        self.voices.tick(now);
        account.level += cost * account.parts();
        account.refill(account.terms(tolerance, sizes), &self.voices, sizes, now);
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
        self.voices.tick(now);
        let known = said.iter().filter(|statement| self.accounts.contains_key(&statement.customer));
        let known: Vec<_> = known.copied().collect();
        // Until now the limits that become active had their constant parts.
        for statement in &known {
            if !self.active.contains(&statement.customer) {
                self.refill_one(statement.customer, now);
            }
        }
        let entry = voices::entry_tag(peer);
        let named = known.iter().map(|statement| statement.customer);
        let ended = self.voices.record(entry, named, is_complete, now);
        for statement in &known {
            let Statement { customer, asked, debt } = *statement;
            let told = account::Told { asked, debt, at: now };
            if let Some(account) = self.accounts.get_mut(&customer) {
                account.told.insert(entry, told);
                self.active.insert(customer);
            }
        }
        for customer in &ended {
            if let Some(account) = self.accounts.get_mut(customer) {
                account.told.remove(&entry);
            }
        }
    }

    /// Up to `count` statements for the other entries, of the customers with most demand or, if there
    /// are more, in turn; and whether these are all that there is to tell.
    pub fn statements(&mut self, count: usize, now: time::Instant) -> (Vec<Statement>, bool) {
        self.voices.tick(now);
        let window = self.tolerance.window;
        let mut said = Vec::new();
        for customer in self.active.clone() {
            self.refill_one(customer, now);
            let Some(account) = self.accounts.get_mut(&customer) else { continue };
            let (asked, debt) = account.tell(window, now);
            let is_large = account.is_large(self.tolerance, self.sizes);
            let cells = self.cells.as_ref().filter(|_| is_large);
            let part = cells.map(|cells| {
                let own = account.cell_demand(&self.voices, now);
                cells.part(customer, own, account.usual(), self.sizes, now)
            });
            account.record_part(part, self.sizes, now);
            if asked > 0 || debt > 0 {
                said.push(Statement { customer, asked, debt });
            }
            let is_named = cells.is_some_and(|cells| cells.names(customer, now));
            if !account.is_active() && !is_named {
                account.record_part(None, self.sizes, now);
                self.active.remove(&customer);
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

    /// Sets whether the fleet has several cells, which divide the limits by demand.
    pub fn set_cells(&mut self, has_several: bool) {
        if has_several {
            self.cells.get_or_insert_default();
        } else {
            self.cells = None;
        }
    }

    /// Demand of the own cell for the other cells, of up to `count` customers with most, and whether
    /// there is no other; `None` while this entry may not know it.
    pub fn cell_statements(
        &self,
        count: usize,
        now: time::Instant,
    ) -> Option<(Vec<Statement>, bool)> {
        let is_settled = self.started_at.is_some_and(|at| at + SETTLE_TIME <= now);
        if !is_settled || self.cells.is_none() {
            return None;
        }
        let known = self.active.iter().filter_map(|customer| {
            let account = self.accounts.get(customer)?;
            let asked = account.cell_demand(&self.voices, now).min(u64::from(u32::MAX)) as u32;
            Some(Statement { customer: *customer, asked, debt: 0 })
        });
        let mut said: Vec<_> = known.filter(|statement| statement.asked > 0).collect();
        let is_complete = said.len() <= count && self.voices.are_complete();
        said.sort_by_key(|statement| u32::MAX - statement.asked);
        said.truncate(count);
        Some((said, is_complete))
    }

    /// Records what an entry of another cell, which has `entries`, tells of its cell.
    pub fn record_cell(
        &mut self,
        cell: cells::CellId,
        entries: u32,
        said: &[Statement],
        is_complete: bool,
        now: time::Instant,
    ) {
        for Statement { customer, .. } in said {
            // Until now the limits that become active had their constant parts.
            if self.accounts.contains_key(customer) && !self.active.contains(customer) {
                self.refill_one(*customer, now);
                self.active.insert(*customer);
            }
        }
        let known = said.iter().filter(|statement| self.accounts.contains_key(&statement.customer));
        let demands = known.map(|statement| (statement.customer, statement.asked));
        if let Some(cells) = &mut self.cells {
            cells.record(cell, entries, demands, is_complete, now);
        }
    }

    fn refill(&mut self, now: time::Instant) {
        self.voices.tick(now);
        for account in self.accounts.values_mut() {
            let terms = account.terms(self.tolerance, self.sizes);
            account.refill(terms, &self.voices, self.sizes, now);
        }
    }

    fn refill_one(&mut self, customer: ids::CustomerTag, now: time::Instant) {
        if let Some(account) = self.accounts.get_mut(&customer) {
            let terms = account.terms(self.tolerance, self.sizes);
            account.refill(terms, &self.voices, self.sizes, now);
        }
    }
}

/// Number of entries to count in a fleet of unknown size.
const UNKNOWN_ENTRIES: u32 = 8;

// Time until this entry's bucket, or what the entries make up of their debts, has room.
fn wait(
    account: &account::Account,
    terms: terms::Terms,
    fraction: f64,
    growth: f64,
) -> time::Duration {
    let own = (growth + account.debt()) / (terms.rate * fraction).max(f64::MIN_POSITIVE);
    let shared = growth / terms::REQUEST_SHARE / terms.rate.max(f64::MIN_POSITIVE);
    let wait = own.min(shared).min(MAX_WAIT.as_secs_f64());
    time::Duration::from_secs_f64(wait)
}
