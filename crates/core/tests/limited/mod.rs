//! Fleets whose entries divide the limit of one customer, without a network.

#![allow(dead_code, reason = "each test uses a part of it")]

use std::{collections, time};

use rand::rngs;

use rhubarb_core::{allowance, cells, customers, ids};

pub const SECOND: time::Duration = time::Duration::from_secs(1);
pub const STEP: time::Duration = time::Duration::from_millis(20);
pub const HEARTBEAT: time::Duration = time::Duration::from_millis(300);
pub const WINDOW: time::Duration = time::Duration::from_secs(8);
/// Entries of a cell.
pub const CELL: usize = 40;
/// Random entries of other cells that an entry tells its cell's demand with each heartbeat.
pub const FANOUT: usize = 3;
/// Time after which a silent entry is no longer live.
pub const TIMEOUT: time::Duration = time::Duration::from_secs(3);

pub struct Entry {
    pub allowances: allowance::Allowances,
    // Part of all requests that come to it.
    pub part: f64,
    // Neither sends nor receives.
    pub is_cut: bool,
    // Does not run.
    pub is_frozen: bool,
    pub heard: collections::BTreeMap<usize, time::Instant>,
}

// Entries at which one customer sends requests.
pub struct Fleet {
    pub entries: Vec<Entry>,
    pub now: time::Instant,
    pub limit: customers::Limit,
    pub tolerance: allowance::Tolerance,
    // Datagrams lost, as a fraction.
    pub loss: f64,
    pub random: rngs::SmallRng,
    // For what is told between cells.
    pub gossip: rngs::SmallRng,
    // Units allowed, and refused.
    pub used: Vec<(time::Instant, f64)>,
    pub refused: f64,
    // Entries started so far.
    pub started: u64,
}

pub fn tag() -> ids::CustomerTag {
    ids::customer_tag("firm")
}

pub fn customers(limit: customers::Limit) -> customers::Customers {
    let mut all = customers::Customers::default();
    let customer = customers::Customer { name: "firm".to_string(), rank: None, limit: Some(limit) };
    all.add(customer, &[], &mut customers::Taken::default());
    all
}

pub fn limit(rate: f64) -> customers::Limit {
    customers::Limit { rate, burst: rate, unit: customers::Unit::Tokens { plain: 200 } }
}

pub fn tolerance(slack: f64) -> allowance::Tolerance {
    allowance::Tolerance { window: WINDOW, over: 0.1, slack }
}

impl Fleet {
    pub fn new(size: usize, rate: f64, slack: f64, seed: u64) -> Fleet {
        let now = time::Instant::now() + 60 * SECOND;
        let mut fleet = Fleet {
            entries: Vec::new(),
            now,
            limit: limit(rate),
            tolerance: tolerance(slack),
            loss: 0.0,
            random: rand::SeedableRng::seed_from_u64(seed),
            gossip: rand::SeedableRng::seed_from_u64(seed + 1),
            used: Vec::new(),
            refused: 0.0,
            started: 0,
        };
        for _ in 0..size {
            let entry = fleet.new_entry(1.0 / size as f64);
            fleet.entries.push(entry);
        }
        fleet
    }

    pub fn new_entry(&mut self, part: f64) -> Entry {
        let mut allowances = allowance::Allowances::new(self.tolerance);
        self.started += 1;
        allowances.set_salt(self.started);
        allowances.set_limits(&customers(self.limit), self.now);
        Entry { allowances, part, is_cut: false, is_frozen: false, heard: Default::default() }
    }

    pub fn set_limit(&mut self, rate: f64) {
        self.limit = limit(rate);
        for entry in &mut self.entries {
            entry.allowances.set_limits(&customers(self.limit), self.now);
        }
    }

    pub fn restart_all(&mut self) {
        for number in 0..self.entries.len() {
            self.restart(number);
        }
    }

    pub fn restart(&mut self, number: usize) {
        let part = self.entries[number].part;
        self.entries[number] = self.new_entry(part);
    }

    // Nearly all requests come to the entries that `is_busy` selects.
    pub fn move_demand(&mut self, is_busy: impl Fn(usize) -> bool) {
        for (number, entry) in self.entries.iter_mut().enumerate() {
            entry.part = if is_busy(number) { 1.0 } else { 0.001 };
        }
    }

    pub fn random(&mut self) -> f64 {
        rand::RngExt::random(&mut self.random)
    }

    // Requests of `size` tokens in the mean, `asked` tokens a second, for `length`.
    pub fn run(&mut self, asked: f64, size: f64, length: time::Duration) {
        let end = self.now + length;
        let mut heartbeat_at = self.now;
        while self.now < end {
            self.now += STEP;
            if self.now >= heartbeat_at {
                heartbeat_at += HEARTBEAT;
                self.exchange();
            }
            let expected = asked * STEP.as_secs_f64() / size;
            let mut count = expected.floor();
            count += f64::from(u8::from(self.random() < expected - count));
            for _ in 0..count as u32 {
                let cost = (size * (0.2 + 1.6 * self.random())) as u32;
                let mut at =
                    self.random() * self.entries.iter().map(|entry| entry.part).sum::<f64>();
                let number = self.entries.iter().position(|entry| {
                    at -= entry.part;
                    at < 0.0
                });
                self.request(number.unwrap_or(0), cost);
            }
        }
    }

    pub fn request(&mut self, number: usize, cost: u32) {
        let entry = &mut self.entries[number];
        if entry.is_frozen {
            return;
        }
        let verdict = entry.allowances.request(tag(), Some(cost), self.now).unwrap();
        match verdict.wait {
            None => self.used.push((self.now, verdict.cost)),
            Some(_) => self.refused += verdict.cost,
        }
    }

    pub fn exchange(&mut self) {
        for number in 0..self.entries.len() {
            if self.entries[number].is_frozen {
                continue;
            }
            let (said, is_complete) = self.entries[number].allowances.statements(16, self.now);
            if self.entries[number].is_cut {
                continue;
            }
            let cell = number / CELL * CELL;
            for other in cell..(cell + CELL).min(self.entries.len()) {
                let is_lost = self.random() < self.loss;
                let (now, entry) = (self.now, &mut self.entries[other]);
                if other != number && !entry.is_cut && !entry.is_frozen && !is_lost {
                    entry.allowances.record(&format!("edge-{number}"), &said, is_complete, now);
                    entry.heard.insert(number, now);
                }
            }
        }
        self.exchange_cells();
        let (now, size) = (self.now, self.entries.len() as u32);
        for entry in self.entries.iter_mut().filter(|entry| !entry.is_frozen) {
            entry.heard.retain(|_, at| now < *at + TIMEOUT);
            entry.allowances.set_sizes(entry.heard.len() as u32, Some(size), now);
        }
    }

    // Each entry tells its cell's demand to a few others at random.
    fn exchange_cells(&mut self) {
        let size = self.entries.len();
        let now = self.now;
        for number in 0..size {
            let entry = &mut self.entries[number];
            entry.allowances.set_cells(size > CELL);
            let entries = entry.heard.len() as u32 + 1;
            let told = entry.allowances.cell_statements(8, now);
            let (false, false, Some((said, is_complete))) = (entry.is_cut, entry.is_frozen, told)
            else {
                continue;
            };
            let cell = cells::CellId { zone: 1, index: (number / CELL) as u32 };
            for _ in 0..FANOUT {
                let mut random = || -> f64 { rand::RngExt::random(&mut self.gossip) };
                let other = (random() * size as f64) as usize;
                let is_lost = random() < self.loss;
                let entry = &mut self.entries[other];
                let is_reached = !entry.is_cut && !entry.is_frozen && !is_lost;
                if other / CELL != number / CELL && is_reached {
                    entry.allowances.record_cell(cell, entries, &said, is_complete, now);
                }
            }
        }
    }

    // Most units in one window that begins at `from` or later, as a fraction of what is allowed.
    pub fn most(&self, from: time::Instant) -> f64 {
        let used: Vec<_> = self.used.iter().filter(|(at, _)| *at >= from).collect();
        let (mut first, mut sum, mut most) = (0, 0.0, 0.0_f64);
        for (at, cost) in &used {
            sum += cost;
            while used[first].0 + WINDOW <= *at {
                sum -= used[first].1;
                first += 1;
            }
            most = most.max(sum);
        }
        let whole = self.limit.rate * WINDOW.as_secs_f64() + self.limit.burst;
        most / (whole * (1.0 + self.tolerance.over) + self.tolerance.slack)
    }

    // Uses and refusals so far are forgotten; returns the fraction of them that was allowed.
    pub fn take_served(&mut self) -> f64 {
        let used: f64 = self.used.drain(..).map(|(_, cost)| cost).sum();
        used / (used + std::mem::take(&mut self.refused)).max(1.0)
    }
}
