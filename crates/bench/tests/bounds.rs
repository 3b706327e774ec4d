//! Bounds of the policy in force, from its stated targets, on a short form of the bench.

use rhubarb_bench::{policy, results, scenario, simulation};

/// Goodput above capacity, as a part of that at capacity.
const NO_COLLAPSE: f64 = 0.95;
const WASTE: f64 = 0.01;
const WASTE_IN_FAULTS: f64 = 0.05;
/// Part of their goodput that others keep beside a greedy caller.
const OTHERS_KEEP: f64 = 0.95;
const SECONDS: u64 = 30;

fn scenario(fleet: &scenario::Fleet, load: f64) -> scenario::Scenario {
    scenario::Scenario { seconds: SECONDS, ..scenario::Scenario::new(fleet.clone(), load) }
}

fn latest(scenario: &scenario::Scenario) -> results::Results {
    let results = simulation::simulate(scenario, &policy::LATEST);
    assert_eq!(results.held, 0, "rooms still held: {scenario:?}");
    results
}

fn fleets() -> [scenario::Fleet; 2] {
    [scenario::laine_sahel(), scenario::compas_nautico()]
}

#[test]
fn no_collapse() {
    for fleet in fleets() {
        let capacity = latest(&scenario(&fleet, 1.0)).goodput;
        for load in [1.2, 2.0] {
            let results = latest(&scenario(&fleet, load));
            let goodput = results.goodput;
            assert!(goodput >= NO_COLLAPSE * capacity, "{} {load}: {goodput}", fleet.name);
            assert!(results.wasted < WASTE, "{} {load}: wasted {}", fleet.name, results.wasted);
        }
    }
}

#[test]
fn waste_in_faults() {
    for fleet in fleets() {
        for fault in scenario::FAULTS {
            let wasted = latest(&scenario::Scenario { fault, ..scenario(&fleet, 0.9) }).wasted;
            assert!(wasted < WASTE_IN_FAULTS, "{} {fault:?}: {wasted}", fleet.name);
        }
    }
}

#[test]
fn greedy_caller() {
    for fleet in fleets() {
        let alone = latest(&scenario(&fleet, 0.9)).others_share;
        let greedy = scenario::Scenario { shape: scenario::Shape::Greedy, ..scenario(&fleet, 0.9) };
        let beside = latest(&greedy).others_share;
        assert!(beside >= OTHERS_KEEP * alone, "{}: {alone} {beside}", fleet.name);
    }
}

#[test]
fn beats_baselines() {
    for fleet in fleets() {
        for load in [0.9, 1.2, 2.0] {
            let scenario = scenario(&fleet, load);
            let ours = latest(&scenario);
            for baseline in [policy::ROUND_ROBIN, policy::LEAST_REPORTED] {
                let other = simulation::simulate(&scenario, &baseline);
                assert!(ours.goodput >= other.goodput * 0.99, "{} {load}", fleet.name);
                assert!(ours.wasted <= other.wasted, "{} {load}", fleet.name);
            }
        }
    }
}

#[test]
fn same_again() {
    let scenario = scenario(&scenario::compas_nautico(), 1.2);
    assert_eq!(latest(&scenario), latest(&scenario));
}
