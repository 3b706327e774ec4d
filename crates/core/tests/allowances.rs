//! Limits of customers hold for all entries together, from 3 to 950 of them, and nearly all of a limit
//! can be used: with even and moving demand, losses, cuts, freezes, restarts and new limits.

use std::{collections, time};

use rhubarb_core::{allowance, customers, ids};

mod limited;

use limited::{Fleet, SECOND, customers, limit, tag, tolerance};

// Rates in tokens a second, and slacks, of small and large fleets.
const LOADS: [(usize, f64, f64); 6] = [
    (3, 5_000.0, 190_000.0),
    (24, 90_000.0, 190_000.0),
    (24, 5_000.0, 190_000.0),
    (103, 400_000.0, 800_000.0),
    (103, 20_000.0, 800_000.0),
    (950, 3_000_000.0, 8_000_000.0),
];
/// Tokens of a request, in the mean.
const SIZE: f64 = 3_200.0;

// Guards against entries that each use the whole limit (issue 35: three of seven days broke QUOTA).
#[test]
fn limits_hold() {
    for (size, rate, slack) in LOADS {
        for loss in [0.0, 0.3] {
            let mut fleet = Fleet::new(size, rate, slack, 3);
            fleet.loss = loss;
            fleet.run(0.5 * rate, SIZE, 10 * SECOND);
            fleet.run(6.0 * rate, SIZE, 12 * SECOND);
            fleet.move_demand(|number| number < 3);
            fleet.run(6.0 * rate, SIZE, 12 * SECOND);
            let most = fleet.most(fleet.now - 60 * SECOND);
            assert!(most <= 0.9, "{size} entries, rate {rate}, loss {loss}: {most:.2}");
        }
    }
}

// Guards against refusals of requests within the limit: a customer that asks for 0.55 of its rate.
#[test]
fn limits_used() {
    for (size, rate, slack) in LOADS {
        let mut fleet = Fleet::new(size, rate, slack, 4);
        fleet.run(0.55 * rate, SIZE, 10 * SECOND);
        fleet.take_served();
        fleet.run(0.55 * rate, SIZE, 20 * SECOND);
        let calm = fleet.take_served();
        fleet.move_demand(|number| number % 3 == 0);
        fleet.run(0.55 * rate, SIZE, 10 * SECOND);
        let moving = fleet.take_served();
        let case = format!("{size} entries, rate {rate}: {calm:.3} calm, {moving:.3} moving");
        assert!(calm >= 0.999 && moving >= 0.99, "{case}");
    }
}

// Of three times the rate, at least nine tenths of the rate are allowed.
#[test]
fn whole_rate_used() {
    for (size, rate, slack) in LOADS {
        let mut fleet = Fleet::new(size, rate, slack, 5);
        fleet.run(3.0 * rate, SIZE, 20 * SECOND);
        fleet.used.clear();
        fleet.run(3.0 * rate, SIZE, 20 * SECOND);
        let used: f64 = fleet.used.iter().map(|(_, cost)| cost).sum();
        let share = used / (rate * 20.0);
        assert!((0.9..1.25).contains(&share), "{size} entries, rate {rate}: {share:.3}");
    }
}

// Entries of which some are cut off and some freeze, then all start again at the same time.
#[test]
fn faults_keep_limit() {
    for (size, rate, slack) in LOADS {
        let mut fleet = Fleet::new(size, rate, slack, 6);
        fleet.run(6.0 * rate, SIZE, 10 * SECOND);
        for (number, entry) in fleet.entries.iter_mut().enumerate() {
            entry.is_cut = number % 5 == 0;
            entry.is_frozen = number % 5 == 1;
        }
        fleet.run(6.0 * rate, SIZE, 12 * SECOND);
        fleet.entries.iter_mut().for_each(|entry| (entry.is_cut, entry.is_frozen) = (false, false));
        fleet.run(6.0 * rate, SIZE, 5 * SECOND);
        fleet.restart_all();
        fleet.run(6.0 * rate, SIZE, 12 * SECOND);
        let most = fleet.most(fleet.now - 60 * SECOND);
        assert!(most <= 1.0, "{size} entries, rate {rate}: {most:.2}");
    }
}

// Guards against entries that are cut off as the demand rises, and that go on with what the others told
// when they had none: each uses the whole limit then.
#[test]
fn cut_as_demand_rises() {
    let rate = 90_000.0;
    for size in [3, 5, 24] {
        for seed in 0..20 {
            let mut fleet = Fleet::new(size, rate, 190_000.0, seed);
            fleet.run(0.0, SIZE, 5 * SECOND);
            fleet.entries[0].is_cut = true;
            fleet.run(5.0 * rate, SIZE, 2 * SECOND);
            fleet.entries[1].is_cut = true;
            fleet.run(5.0 * rate, SIZE, 2 * SECOND);
            fleet.loss = 0.3;
            fleet.run(4.0 * rate, SIZE, 4 * SECOND);
            let most = fleet.most(fleet.now - 120 * SECOND);
            assert!(most <= 1.0, "{size} entries, seed {seed}: {most:.3}");
        }
    }
}

// A lowered limit holds in each window that begins after it is known.
#[test]
fn limit_lowered() {
    for (size, rate, slack) in LOADS {
        let mut fleet = Fleet::new(size, rate, slack, 7);
        fleet.run(2.0 * rate, SIZE, 12 * SECOND);
        fleet.set_limit(rate / 10.0);
        let from = fleet.now;
        fleet.run(2.0 * rate, SIZE, 20 * SECOND);
        let most = fleet.most(from);
        assert!(most <= 1.0, "{size} entries, rate {rate}: {most:.2}");
    }
}

// The platform names no tolerance: most of the limit is used, and no more than all of it.
#[test]
fn no_tolerance() {
    let mut fleet = Fleet::new(24, 900_000.0, 0.0, 8);
    fleet.tolerance = allowance::Tolerance { over: 0.0, ..fleet.tolerance };
    fleet.restart_all();
    fleet.run(3.0 * 900_000.0, SIZE, 30 * SECOND);
    let most = fleet.most(fleet.now - 60 * SECOND);
    assert!((0.7..=1.0).contains(&most), "{most:.2}");
}

proptest::proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig::with_cases(24))]

    // Any order of loads, losses, cuts, freezes, moves of the demand and restarts of single entries.
    #[test]
    fn any_order(
        size in 2_usize..30,
        seed in 0_u64..1_000,
        steps in proptest::collection::vec((0_usize..6, 0.0..1.0_f64), 1..8),
    ) {
        let rate = 90_000.0;
        let mut fleet = Fleet::new(size, rate, 190_000.0, seed);
        for (step, value) in steps {
            let number = (value * size as f64) as usize;
            match step {
                0 => fleet.loss = value * 0.4,
                1 => fleet.entries[number].is_cut ^= true,
                2 => fleet.entries[number].is_frozen ^= true,
                3 => fleet.move_demand(|other| other % 4 == number % 4),
                4 => fleet.restart(number),
                _ => fleet.run(8.0 * value * rate, SIZE, 3 * SECOND),
            }
            fleet.run(6.0 * value * rate, SIZE, 2 * SECOND);
        }
        let most = fleet.most(fleet.now - 120 * SECOND);
        proptest::prop_assert!(most <= 1.0, "{:.2}", most);
    }
}

fn one_entry() -> (allowance::Allowances, time::Instant) {
    let now = time::Instant::now() + 60 * SECOND;
    let mut known = allowance::Allowances::new(tolerance(100_000.0));
    known.set_limits(&customers(limit(10_000.0)), now);
    known.set_sizes(0, Some(1), now);
    (known, now)
}

// The caller is told when there is room, and there is then.
#[test]
fn wait_is_honest() {
    let (mut known, mut now) = one_entry();
    let mut request = |now| known.request(tag(), Some(5_000), now).unwrap();
    while request(now).wait.is_none() {}
    let wait = request(now).wait.unwrap();
    assert!(wait > time::Duration::ZERO && wait <= 10 * SECOND, "{wait:?}");
    now += wait;
    assert_eq!(request(now).wait, None);
}

#[test]
fn refund_restores() {
    let (mut known, now) = one_entry();
    let allowed = |known: &mut allowance::Allowances| {
        let requests = (0..100).map(|_| known.request(tag(), Some(5_000), now).unwrap());
        requests.filter(|verdict| verdict.wait.is_none()).count()
    };
    let first = allowed(&mut known);
    assert!(first > 0 && allowed(&mut known) == 0);
    (0..first).for_each(|_| known.refund(tag(), 5_000.0, now));
    assert_eq!(known.request(tag(), None, now).unwrap().cost, 200.0, "a request without a count");
}

#[test]
fn unknown_customer() {
    let (mut known, now) = one_entry();
    assert_eq!(known.request(tag() + 1, Some(5), now), None);
    known.set_limits(&customers::Customers::default(), now);
    assert!(known.is_empty() && known.request(tag(), Some(5), now).is_none());
}

// More customers than a datagram has room for are told in turn, those with most demand each time.
#[test]
fn told_in_turn() {
    let (mut known, now) = one_entry();
    let (mut all, mut taken) = (customers::Customers::default(), customers::Taken::default());
    for number in 0..100 {
        let name = format!("firm-{number}");
        let customer = customers::Customer { name, rank: None, limit: Some(limit(1e6)) };
        all.add(customer, &[], &mut taken);
    }
    known.set_limits(&all, now);
    for number in 0..100 {
        let tag = ids::customer_tag(&format!("firm-{number}"));
        known.request(tag, Some(100 + number), now);
    }
    let mut seen = collections::BTreeSet::new();
    for _ in 0..14 {
        let (said, is_complete) = known.statements(16, now);
        assert!(said.len() == 16 && !is_complete);
        assert_eq!(said[0].customer, ids::customer_tag("firm-99"));
        seen.extend(said.iter().map(|statement| statement.customer));
    }
    assert_eq!(seen.len(), 100);
}

// A limit of which the part of one entry is less than a request: some of it has to be usable.
#[test]
fn small_limit_served() {
    let start = time::Instant::now() + 60 * SECOND;
    let mut known = allowance::Allowances::new(allowance::Tolerance::default());
    let limit = customers::Limit { rate: 4.0, burst: 4.0, unit: customers::Unit::Requests };
    known.set_limits(&customers(limit), start);
    known.set_sizes(0, None, start);
    let at = |number| start + number * SECOND;
    let served =
        (0..30).filter(|number| known.request(tag(), None, at(*number)).unwrap().wait.is_none());
    assert!(served.count() >= 10, "of 30 requests in 30 s");
}
