//! Limits of which the part of one entry is less than a request hold for all entries together, and are
//! usable, without any tolerance.

use rhubarb_core::{allowance, customers};

mod limited;

use limited::SECOND;

fn fleet(size: usize, rate: f64, seed: u64) -> limited::Fleet {
    let mut fleet = limited::Fleet::new(size, rate, 0.0, seed);
    fleet.limit = customers::Limit { rate, burst: rate, unit: customers::Unit::Requests };
    fleet.tolerance = allowance::Tolerance { over: 0.0, ..fleet.tolerance };
    fleet.restart_all();
    fleet
}

/// Entries and requests a second, and least shares that are served of what is asked for: of 0.2 and of
/// 0.55 of the limit, and of 0.55 after the demand moved to a third of the entries.
const LOADS: [(usize, f64, [f64; 3]); 8] = [
    (3, 1.0, [0.8, 0.7, 0.8]),
    (24, 4.0, [0.6, 0.35, 0.2]),
    (24, 10.0, [0.85, 0.6, 0.7]),
    (24, 40.0, [0.99, 0.98, 0.92]),
    (103, 4.0, [0.03, 0.03, 0.0]),
    (103, 40.0, [0.95, 0.65, 0.75]),
    (950, 40.0, [0.06, 0.04, 0.03]),
    (950, 400.0, [0.95, 0.7, 0.8]),
];

// Any load, moves of the demand, losses, cuts, freezes, and a restart of all entries.
#[test]
fn small_limits_hold() {
    for (size, rate, _) in LOADS {
        for loss in [0.0, 0.3] {
            let mut fleet = fleet(size, rate, 11);
            fleet.loss = loss;
            fleet.run(0.5 * rate, 1.0, 10 * SECOND);
            fleet.run(6.0 * rate, 1.0, 12 * SECOND);
            fleet.move_demand(|number| number < 3);
            fleet.run(6.0 * rate, 1.0, 12 * SECOND);
            fleet.move_demand(|_| true);
            for (number, entry) in fleet.entries.iter_mut().enumerate() {
                entry.is_cut = number % 5 == 0;
                entry.is_frozen = number % 5 == 1;
            }
            fleet.run(6.0 * rate, 1.0, 12 * SECOND);
            let entries = fleet.entries.iter_mut();
            entries.for_each(|entry| (entry.is_cut, entry.is_frozen) = (false, false));
            fleet.run(6.0 * rate, 1.0, 5 * SECOND);
            fleet.restart_all();
            fleet.run(6.0 * rate, 1.0, 12 * SECOND);
            let most = fleet.most(fleet.now - 120 * SECOND);
            assert!(most <= 1.0, "{size} entries, rate {rate}, loss {loss}: {most:.2}");
        }
    }
}

// Guards against entries whose part of a limit is less than a request and which serve none. Where one
// request for each entry is more than the limit allows at once, only some entries lend at a time.
#[test]
fn small_limits_used() {
    for (size, rate, least) in LOADS {
        let mut served = Vec::new();
        for asked in [0.2 * rate, 0.55 * rate] {
            let mut fleet = fleet(size, rate, 12);
            fleet.run(asked, 1.0, 30 * SECOND);
            fleet.take_served();
            fleet.run(asked, 1.0, 40 * SECOND);
            served.push(fleet.take_served());
            if served.len() == 2 {
                fleet.move_demand(|number| number % 3 == 0);
                fleet.run(asked, 1.0, 20 * SECOND);
                served.push(fleet.take_served());
            }
        }
        let is_enough = served.iter().zip(least).all(|(served, least)| *served >= least);
        assert!(is_enough, "{size} entries, rate {rate}: {served:.3?}");
    }
}

proptest::proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig::with_cases(48))]

    // Any order of loads, losses, cuts, freezes, moves of the demand and restarts of single entries.
    #[test]
    fn any_order(
        size in 1_usize..30,
        rate in 1.0..30.0_f64,
        seed in 0_u64..1_000,
        steps in proptest::collection::vec((0_usize..6, 0.0..1.0_f64), 1..8),
    ) {
        let mut fleet = fleet(size, rate, seed);
        for (step, value) in steps {
            let number = (value * size as f64) as usize;
            match step {
                0 => fleet.loss = value * 0.4,
                1 => fleet.entries[number].is_cut ^= true,
                2 => fleet.entries[number].is_frozen ^= true,
                3 => fleet.move_demand(|other| other % 4 == number % 4),
                4 => fleet.restart(number),
                _ => fleet.run(8.0 * value * rate, 1.0, 3 * SECOND),
            }
            fleet.run(6.0 * value * rate, 1.0, 2 * SECOND);
        }
        let most = fleet.most(fleet.now - 120 * SECOND);
        proptest::prop_assert!(most <= 1.0, "{:.2}", most);
    }
}
