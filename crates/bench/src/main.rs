//! Prints a table that compares routing policies under load and faults.

use bpaf::Parser;

use rhubarb_bench::{policy, results, scenario, simulation};

struct Options {
    faults: bool,
    seed: u64,
}

fn options() -> bpaf::OptionParser<Options> {
    let faults = bpaf::long("faults").help("Measure the faults too").switch();
    let seed = bpaf::long("seed").help("Seed").argument::<u64>("NUMBER").fallback(7);
    bpaf::construct!(Options { faults, seed })
        .to_options()
        .descr("Measures routing policies under load and faults")
}

/// Measured loads, as multiples of the capacity of the engines.
const LOADS: [f64; 5] = [0.5, 0.9, 1.0, 1.2, 2.0];

fn scenarios(options: &Options) -> Vec<scenario::Scenario> {
    let mut scenarios = Vec::new();
    for fleet in [scenario::laine_sahel(), scenario::compas_nautico()] {
        for load in LOADS {
            scenarios.push(scenario::Scenario::new(fleet.clone(), load));
        }
        for shape in [scenario::Shape::Burst, scenario::Shape::Greedy] {
            scenarios
                .push(scenario::Scenario { shape, ..scenario::Scenario::new(fleet.clone(), 0.9) });
        }
        let faults = if options.faults { &scenario::FAULTS[..] } else { &[] };
        for fault in faults {
            scenarios.push(scenario::Scenario {
                fault: *fault,
                ..scenario::Scenario::new(fleet.clone(), 0.9)
            });
        }
    }
    for scenario in &mut scenarios {
        scenario.seed = options.seed;
    }
    scenarios
}

fn main() {
    let options = options().run();
    print!("{}", results::table_head());
    for scenario in scenarios(&options) {
        for policy in &policy::ALL {
            let results = simulation::simulate(&scenario, policy);
            print!("{}", results::table_row(&scenario, policy.name, &results));
        }
    }
}
