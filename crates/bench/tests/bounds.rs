//! Bounds of the policy in force, from its stated targets, on a short form of the bench.

use rhubarb_bench::{frame, policy, score, world};

/// Goodput above capacity, as a part of that at capacity.
const NO_COLLAPSE: f64 = 0.95;
const WASTE: f64 = 0.01;
const WASTE_IN_FAULTS: f64 = 0.05;
/// Part of their goodput that others keep beside a greedy caller.
const OTHERS_KEEP: f64 = 0.95;
const SECONDS: u64 = 30;

fn run(fleet: &frame::Fleet, load: f64) -> frame::Run {
    frame::Run { seconds: SECONDS, ..frame::Run::new(fleet.clone(), load) }
}

fn latest(run: &frame::Run) -> score::Score {
    let score = world::simulate(run, &policy::LATEST);
    assert_eq!(score.held, 0, "rooms still held: {run:?}");
    score
}

fn fleets() -> [frame::Fleet; 2] {
    [frame::laine_sahel(), frame::compas_nautico()]
}

#[test]
fn no_collapse() {
    for fleet in fleets() {
        let capacity = latest(&run(&fleet, 1.0)).goodput;
        for load in [1.2, 2.0] {
            let score = latest(&run(&fleet, load));
            let goodput = score.goodput;
            assert!(goodput >= NO_COLLAPSE * capacity, "{} {load}: {goodput}", fleet.name);
            assert!(score.wasted < WASTE, "{} {load}: wasted {}", fleet.name, score.wasted);
        }
    }
}

#[test]
fn waste_in_faults() {
    for fleet in fleets() {
        for fault in frame::FAULTS {
            let wasted = latest(&frame::Run { fault, ..run(&fleet, 0.9) }).wasted;
            assert!(wasted < WASTE_IN_FAULTS, "{} {fault:?}: {wasted}", fleet.name);
        }
    }
}

#[test]
fn greedy_caller() {
    for fleet in fleets() {
        let alone = latest(&run(&fleet, 0.9)).others_part;
        let greedy = frame::Run { shape: frame::Shape::Greedy, ..run(&fleet, 0.9) };
        let beside = latest(&greedy).others_part;
        assert!(beside >= OTHERS_KEEP * alone, "{}: {alone} {beside}", fleet.name);
    }
}

#[test]
fn beats_baselines() {
    for fleet in fleets() {
        for load in [0.9, 1.2, 2.0] {
            let run = run(&fleet, load);
            let ours = latest(&run);
            for baseline in [policy::ROUND_ROBIN, policy::LEAST_REPORTED] {
                let other = world::simulate(&run, &baseline);
                assert!(ours.goodput >= other.goodput * 0.99, "{} {load}", fleet.name);
                assert!(ours.wasted <= other.wasted, "{} {load}", fleet.name);
            }
        }
    }
}

#[test]
fn same_again() {
    let run = run(&frame::compas_nautico(), 1.2);
    assert_eq!(latest(&run), latest(&run));
}
