//! Runs soaks from the command line.

use std::{fs, path, process, time};

use bpaf::Parser;

use rhubarb_soak::{plan, soak};

struct Options {
    seed: Option<u64>,
    seeds: u64,
    seconds: u64,
    large: bool,
    routes: usize,
    keep: path::PathBuf,
}

fn options() -> bpaf::OptionParser<Options> {
    let seed = bpaf::long("seed")
        .help("First seed; drawn unless given")
        .argument::<u64>("SEED")
        .optional();
    let seeds = bpaf::long("seeds")
        .help("Number of seeds, counted up")
        .argument::<u64>("COUNT")
        .fallback(1);
    let seconds = bpaf::long("seconds")
        .help("Time in which faults begin")
        .argument::<u64>("SECONDS")
        .fallback(8);
    let large = bpaf::long("large").help("Start 100 to 150 entries").switch();
    let routes = bpaf::long("routes")
        .help("Routes of each config besides those that are called")
        .argument::<usize>("COUNT")
        .fallback(0);
    let keep = bpaf::long("keep")
        .help("Directory for the logs of seeds that fail")
        .argument::<path::PathBuf>("DIR")
        .fallback("soak-logs".into());
    bpaf::construct!(Options { seed, seeds, seconds, large, routes, keep })
        .to_options()
        .descr("Plays drawn faults against real entries and checks what they promise")
        .version(env!("CARGO_PKG_VERSION"))
}

#[tokio::main]
async fn main() -> anyhow::Result<process::ExitCode> {
    let options = options().run();
    let first = options.seed.unwrap_or_else(|| u64::from(rand::random::<u32>()));
    let mut failed = Vec::new();
    for seed in first..first + options.seeds {
        let length = time::Duration::from_secs(options.seconds);
        let plan = match options.large {
            true => plan::Plan::draw_large(seed, length),
            false => plan::Plan::draw(seed, length),
        };
        let plan = plan::Plan { routes: options.routes, ..plan };
        let report = soak::run(&plan).await?;
        println!("seed {seed}: {report}");
        if !report.violations.is_empty() {
            failed.push(seed);
            save_logs(&options.keep, &plan, &report)?;
        }
    }
    if failed.is_empty() {
        return Ok(process::ExitCode::SUCCESS);
    }
    let dir = options.keep.display();
    eprintln!(
        "invariants violated with seeds {failed:?}; logs are in {dir}; repeat one with --seed"
    );
    Ok(process::ExitCode::FAILURE)
}

fn save_logs(dir: &path::Path, plan: &plan::Plan, report: &soak::Report) -> anyhow::Result<()> {
    let dir = dir.join(plan.seed.to_string());
    fs::create_dir_all(&dir)?;
    let head = format!("{:?}, {} callers\n", plan.sizes, plan.callers);
    let steps: Vec<_> = plan.steps.iter().map(|step| format!("{step:?}\n")).collect();
    fs::write(dir.join("plan.txt"), head + &steps.concat())?;
    fs::write(dir.join("report.txt"), report.to_string())?;
    for (number, log) in report.logs.iter().enumerate() {
        fs::write(dir.join(format!("edge-{number}.log")), log)?;
    }
    Ok(())
}
