//! Prints the table of policies under load and faults.

use bpaf::Parser;

use rhubarb_bench::{frame, policy, score, world};

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

const LOADS: [f64; 5] = [0.5, 0.9, 1.0, 1.2, 2.0];
fn runs(options: &Options) -> Vec<frame::Run> {
    let mut runs = Vec::new();
    for fleet in [frame::laine_sahel(), frame::compas_nautico()] {
        for load in LOADS {
            runs.push(frame::Run::new(fleet.clone(), load));
        }
        for shape in [frame::Shape::Burst, frame::Shape::Greedy] {
            runs.push(frame::Run { shape, ..frame::Run::new(fleet.clone(), 0.9) });
        }
        let faults = if options.faults { &frame::FAULTS[..] } else { &[] };
        for fault in faults {
            runs.push(frame::Run { fault: *fault, ..frame::Run::new(fleet.clone(), 0.9) });
        }
    }
    for run in &mut runs {
        run.seed = options.seed;
    }
    runs
}

fn main() {
    let options = options().run();
    print!("{}", score::head());
    for run in runs(&options) {
        for policy in &policy::ALL {
            let score = world::simulate(&run, policy);
            print!("{}", score::line(&run, policy.name, &score));
        }
    }
}
