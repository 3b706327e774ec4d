//! The usage report agrees with the counters of the bench.

use rhubarb_bench::{policy, results, scenario, simulation};
use rhubarb_report::merge;

fn simulate_and_report(scenario: &scenario::Scenario) -> (results::Results, merge::Report) {
    let (results, ledger) = simulation::simulate_with_usage(scenario, &policy::LATEST);
    let mut report = merge::Report::new(0, u64::MAX);
    let record = ledger.next_record().expect("the ledger was closed");
    assert!(report.add(record.clone()));
    assert!(!report.add(record.clone()), "a record counts once");
    (results, report)
}

#[test]
fn totals_agree() {
    let fleet = scenario::compas_nautico();
    for fault in [scenario::Fault::None, scenario::Fault::LinkStalls, scenario::Fault::Cancels] {
        let scenario = scenario::Scenario { fault, ..scenario::Scenario::new(fleet.clone(), 1.2) };
        let (results, report) = simulate_and_report(&scenario);
        let sum = |count: &dyn Fn(&rhubarb_core::usage::Totals) -> u64| -> u64 {
            report.rows().map(|(_, _, totals)| count(totals)).sum()
        };
        let seconds = scenario.seconds as f64;
        let answered = sum(&|totals| totals.outcomes.get("answered").copied().unwrap_or(0));
        assert_eq!(answered as f64 / seconds, results.answered, "{fault:?}");
        assert_eq!(sum(&|totals| totals.good) as f64 / seconds, results.goodput, "{fault:?}");
        for (reason, count) in &results.refused {
            let refused = sum(&|totals| totals.refusals.get(*reason).copied().unwrap_or(0));
            assert_eq!(refused, *count, "{fault:?} {reason}");
        }
        let wasted = sum(&|totals| totals.wasted_tokens.values().sum());
        let prefilled = sum(&|totals| totals.prefill_tokens);
        assert_eq!(wasted as f64 / prefilled as f64, results.wasted, "{fault:?}");
    }
}
