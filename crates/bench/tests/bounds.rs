//! The policy in force meets its stated targets in the scenarios of the bench.

use rhubarb_bench::{policy, results, scenario, simulation};

/// Least goodput above capacity, as a share of that at capacity.
const MIN_OVERLOAD_SHARE: f64 = 0.95;
/// Most wasted prefill tokens, as a share of all.
const MAX_WASTE: f64 = 0.01;
/// Most wasted prefill tokens under a fault, as a share of all.
const MAX_FAULT_WASTE: f64 = 0.05;
/// Least goodput of the other callers beside a greedy one, as a share of that without it.
const MIN_OTHERS_SHARE: f64 = 0.95;
/// Time in which requests arrive, in seconds.
const SECONDS: u64 = 30;

fn scenario(fleet: &scenario::Fleet, load: f64) -> scenario::Scenario {
    scenario::Scenario { seconds: SECONDS, ..scenario::Scenario::new(fleet.clone(), load) }
}

fn latest(scenario: &scenario::Scenario) -> results::Results {
    let results = simulation::simulate(scenario, &policy::LATEST);
    assert_eq!(results.held, 0, "slots still held: {scenario:?}");
    results
}

fn fleets() -> [scenario::Fleet; 2] {
    [scenario::laine_sahel(), scenario::compas_nautico()]
}

#[test]
fn overload_goodput() {
    for fleet in fleets() {
        let capacity = latest(&scenario(&fleet, 1.0)).goodput;
        for load in [1.2, 2.0] {
            let results = latest(&scenario(&fleet, load));
            let goodput = results.goodput;
            assert!(goodput >= MIN_OVERLOAD_SHARE * capacity, "{} {load}: {goodput}", fleet.name);
            assert!(results.wasted < MAX_WASTE, "{} {load}: wasted {}", fleet.name, results.wasted);
        }
    }
}

#[test]
fn waste_in_faults() {
    for fleet in fleets() {
        for fault in scenario::FAULTS {
            let wasted = latest(&scenario::Scenario { fault, ..scenario(&fleet, 0.9) }).wasted;
            assert!(wasted < MAX_FAULT_WASTE, "{} {fault:?}: {wasted}", fleet.name);
        }
    }
}

#[test]
fn greedy_caller() {
    for fleet in fleets() {
        let without_greedy = latest(&scenario(&fleet, 0.9)).others_share;
        let greedy = scenario::Scenario { shape: scenario::Shape::Greedy, ..scenario(&fleet, 0.9) };
        let with_greedy = latest(&greedy).others_share;
        assert!(
            with_greedy >= MIN_OTHERS_SHARE * without_greedy,
            "{}: {without_greedy} {with_greedy}",
            fleet.name
        );
    }
}

#[test]
fn beats_baselines() {
    for fleet in fleets() {
        for load in [0.9, 1.2, 2.0] {
            let scenario = scenario(&fleet, load);
            let latest_results = latest(&scenario);
            for baseline in [policy::ROUND_ROBIN, policy::LEAST_REPORTED] {
                let baseline_results = simulation::simulate(&scenario, &baseline);
                assert!(
                    latest_results.goodput >= baseline_results.goodput * 0.99,
                    "{} {load}",
                    fleet.name
                );
                assert!(latest_results.wasted <= baseline_results.wasted, "{} {load}", fleet.name);
            }
        }
    }
}

#[test]
fn same_results() {
    let scenario = scenario(&scenario::compas_nautico(), 1.2);
    assert_eq!(latest(&scenario), latest(&scenario));
}
