//! What an entry reckons for the limits of customers agrees with a plain account of all that was said,
//! and costs what the datagrams say, not what there is to know.

use std::{collections, time};

use proptest::prelude;

use rhubarb_core::{allowance, customers, ids};

const SECOND: time::Duration = time::Duration::from_secs(1);
const TTL: time::Duration = time::Duration::from_secs(3);
const FRESH_TIME: time::Duration = time::Duration::from_secs(1);
const RATE: f64 = 10_000.0;
const SLACK: f64 = 1e6;
const WINDOW: time::Duration = time::Duration::from_secs(8);
const PEERS: u32 = 6;
const CUSTOMERS: u32 = 4;

fn name(number: u32) -> String {
    format!("firm-{number}")
}

fn known(customers: u32, now: time::Instant) -> allowance::Allowances {
    let (mut all, mut taken) = (customers::Customers::default(), customers::Taken::default());
    let unit = customers::Unit::Tokens { plain: 200 };
    let limit = customers::Limit { rate: RATE, burst: RATE, unit };
    for number in 0..customers {
        let customer = customers::Customer { name: name(number), rank: None, limit: Some(limit) };
        all.add(customer, &[], &mut taken);
    }
    let tolerance = allowance::Tolerance { window: WINDOW, over: 0.1, slack: SLACK };
    let mut known = allowance::Allowances::new(tolerance);
    known.set_limits(&all, now);
    known
}

#[derive(Clone, Debug)]
enum Step {
    Hear { peer: u32, said: Vec<(u32, u32, u32)>, is_complete: bool },
    Ask { customer: u32, cost: u32 },
    Tell,
    Size { peers: u32, others: u32 },
    Wait { millis: u64 },
}

fn steps() -> impl prelude::Strategy<Value = Vec<Step>> {
    use prelude::Strategy;
    let said = proptest::collection::vec((0..CUSTOMERS, 0..9_000_u32, 0..5_000_u32), 0..4);
    let hear = (0..PEERS, said, proptest::bool::ANY)
        .prop_map(|(peer, said, is_complete)| Step::Hear { peer, said, is_complete });
    let ask =
        (0..CUSTOMERS, 0..9_000_u32).prop_map(|(customer, cost)| Step::Ask { customer, cost });
    let size = (PEERS..9, 0..30_u32).prop_map(|(peers, others)| Step::Size { peers, others });
    let wait = (1..900_u64).prop_map(|millis| Step::Wait { millis });
    let long = (900..4_000_u64).prop_map(|millis| Step::Wait { millis });
    let step = proptest::prop_oneof![
        6 => hear, 4 => ask, 3 => prelude::Just(Step::Tell), 1 => size, 4 => wait, 1 => long
    ];
    proptest::collection::vec(step, 1..80)
}

// All that is known, by customer and peer, and nothing kept beside it.
struct Plain {
    // Weight and debt.
    told: collections::BTreeMap<(u32, u32), (u32, u32, time::Instant)>,
    heard: collections::BTreeMap<u32, time::Instant>,
    own: Vec<u32>,
    level: Vec<f64>,
    updated_at: Vec<time::Instant>,
    peers: u32,
    fleet: u32,
}

impl Plain {
    fn fraction(&self, customer: u32, now: time::Instant) -> f64 {
        let told =
            self.told.iter().filter(|((of, _), (.., at))| *of == customer && now < *at + TTL);
        let own = f64::from(self.own[customer as usize]) + 1.0;
        let weights = told.map(|((_, peer), (weight, ..))| {
            let weight = f64::from(*weight) + 1.0;
            let is_silent = self.heard[peer] + FRESH_TIME <= now;
            if is_silent { weight.max(own) } else { weight }
        });
        let weights: Vec<_> = weights.collect();
        let silent = f64::from(self.peers) - weights.len() as f64;
        let sum = own * (1.0 + silent) + weights.iter().sum::<f64>();
        own / sum * f64::from(self.peers + 1) / f64::from(self.fleet)
    }

    fn debts(&self, customer: u32, now: time::Instant) -> f64 {
        let told =
            self.told.iter().filter(|((of, _), (.., at))| *of == customer && now < *at + TTL);
        let debts: f64 = told.map(|(_, (_, debt, _))| f64::from(*debt)).sum();
        let fresh = self.heard.values().filter(|at| now < **at + FRESH_TIME).count() as u32;
        let reserve = 0.45 * (0.1 * (RATE * WINDOW.as_secs_f64() + RATE) + SLACK);
        let cell = f64::from(self.peers + 1) / f64::from(self.fleet);
        debts + reserve * cell * f64::from(self.peers - fresh) / f64::from(self.peers + 1)
    }

    fn refill(&mut self, customer: u32, now: time::Instant) {
        let fraction = self.fraction(customer, now);
        let own = customer as usize;
        let elapsed = (now - self.updated_at[own]).as_secs_f64();
        let level = self.level[own] + RATE * fraction * elapsed;
        (self.level[own], self.updated_at[own]) = (level.min(RATE * fraction), now);
    }

    fn refill_all(&mut self, now: time::Instant) {
        (0..CUSTOMERS).for_each(|customer| self.refill(customer, now));
    }
}

fn is_close(one: f64, other: f64) -> bool {
    (one - other).abs() <= 1e-6 * (1.0 + one.abs().max(other.abs()))
}

proptest::proptest! {
    // Guards against sums that drift from what was said, or that keep what is too old.
    #[test]
    fn plain_sums_agree(steps in steps()) {
        let mut now = time::Instant::now() + 60 * SECOND;
        let mut known = known(CUSTOMERS, now);
        let mut plain = Plain {
            told: Default::default(),
            heard: Default::default(),
            own: vec![0; CUSTOMERS as usize],
            level: vec![0.0; CUSTOMERS as usize],
            updated_at: vec![now; CUSTOMERS as usize],
            peers: PEERS,
            fleet: PEERS + 1,
        };
        known.set_sizes(PEERS, Some(PEERS + 1), now);
        for step in steps {
            match step {
                Step::Wait { millis } => {
                    now += time::Duration::from_millis(millis);
                    // As an entry does with each heartbeat: what flows between is divided by what
                    // is known at its end.
                    plain.refill_all(now);
                    plain.own = own(&mut known, now);
                }
                Step::Size { peers, others } => {
                    let fleet = peers + 1 + others;
                    if (plain.peers, plain.fleet) != (peers, fleet) {
                        plain.refill_all(now);
                    }
                    (plain.peers, plain.fleet) = (peers, fleet);
                    known.set_sizes(peers, Some(plain.fleet), now);
                }
                Step::Tell => {
                    plain.refill_all(now);
                    plain.own = own(&mut known, now);
                }
                Step::Hear { peer, said, is_complete } => {
                    let mut latest = collections::BTreeMap::new();
                    latest.extend(said.iter().map(|(of, asked, debt)| (*of, (*asked, *debt))));
                    let convert = |(of, (asked, debt)): (&u32, &(u32, u32))| allowance::Statement {
                        customer: ids::customer_tag(&name(*of)),
                        asked: *asked,
                        debt: *debt,
                    };
                    let said: Vec<_> = latest.iter().map(convert).collect();
                    known.record(&format!("edge-{peer}"), &said, is_complete, now);
                    plain.heard.insert(peer, now);
                    for of in 0..CUSTOMERS {
                        let (asked, debt) = latest.get(&of).copied().unwrap_or_default();
                        if is_complete || latest.contains_key(&of) {
                            plain.told.insert((of, peer), (asked + debt, debt, now));
                        }
                    }
                }
                Step::Ask { customer, cost } => {
                    let tag = ids::customer_tag(&name(customer));
                    let verdict = known.request(tag, Some(cost), now).unwrap();
                    plain.refill(customer, now);
                    let own = customer as usize;
                    let case = format!("{verdict:?}, level {}", plain.level[own]);
                    let fraction = plain.fraction(customer, now);
                    proptest::prop_assert!(is_close(verdict.fraction, fraction), "{case}");
                    let debts = plain.debts(customer, now);
                    proptest::prop_assert!(is_close(verdict.told, debts), "{case}, {debts}");
                    proptest::prop_assert!(is_close(verdict.level, plain.level[own]), "{case}");
                    if verdict.wait.is_none() {
                        plain.level[own] -= verdict.cost;
                    }
                }
            }
        }
    }
}

// What the entry tells of each customer, as one number.
fn own(known: &mut allowance::Allowances, now: time::Instant) -> Vec<u32> {
    let (said, _) = known.statements(16, now);
    let told = |number| {
        let tag = ids::customer_tag(&name(number));
        said.iter().find(|statement| statement.customer == tag)
    };
    (0..CUSTOMERS).map(|number| told(number).map_or(0, |one| one.asked + one.debt)).collect()
}

// Guards against work for all customers and peers with each datagram (issue 35: the processor time of a
// day rose from 29 to 41 s). Control may take 1.1 % of a core; a cell has 40 entries, and a datagram
// names 16 customers.
#[test]
fn datagrams_cost_little() {
    let mut now = time::Instant::now() + 60 * SECOND;
    let mut known = known(1_000, now);
    known.set_sizes(949, Some(950), now);
    let tags: Vec<_> = (0..1_000).map(|number| ids::customer_tag(&name(number))).collect();
    let peers: Vec<_> = (0..949).map(|number| format!("edge-{number}")).collect();
    let hear = |known: &mut allowance::Allowances, number: usize, now| {
        let said = (0..16).map(|offset| allowance::Statement {
            customer: tags[(number * 7 + offset * 61) % tags.len()],
            asked: 3_000,
            debt: 100,
        });
        known.record(
            &peers[number % peers.len()],
            &said.collect::<Vec<_>>(),
            number.is_multiple_of(2),
            now,
        );
    };
    (0..949).for_each(|number| hear(&mut known, number, now));
    let begun = time::Instant::now();
    let seconds = 10;
    for heartbeat in 0..seconds * 10 / 3 {
        now += time::Duration::from_millis(300);
        (0..40).for_each(|number| hear(&mut known, heartbeat * 40 + number, now));
        known.statements(16, now);
        known.set_sizes(949, Some(950), now);
        for number in 0..30 {
            known.request(tags[(heartbeat * 30 + number) % tags.len()], Some(3_000), now);
        }
    }
    let used = begun.elapsed().as_secs_f64() / seconds as f64;
    // Code that is not optimized takes some ten times as long.
    let most = if cfg!(debug_assertions) { 0.11 } else { 0.011 };
    assert!(used <= most, "{:.2} % of a core", used * 100.0);
}
