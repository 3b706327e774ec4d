//! Short soaks with fixed seeds; longer ones are run by hand with `rhubarb-soak`.

use std::{collections, time};

use rhubarb_soak::{plan, soak};

const LENGTH: time::Duration = time::Duration::from_secs(5);
/// Seeds that are run.
const SEEDS: std::ops::Range<u64> = 1..5;

async fn run(seed: u64) -> anyhow::Result<()> {
    run_with(seed, 0).await
}

// Runs a seed with `routes` more routes in each config.
async fn run_with(seed: u64, routes: usize) -> anyhow::Result<()> {
    let plan = plan::Plan { routes, ..plan::Plan::draw(seed, LENGTH) };
    let report = soak::run(&plan).await?;
    assert!(report.violations.is_empty(), "seed {seed}: {report}\n{}", report.logs.join("\n---\n"));
    assert!(report.answered > 0, "seed {seed}: {report}");
    Ok(())
}

// Each version of the config has thousands of routes.
#[tokio::test(flavor = "multi_thread")]
async fn many_routes() -> anyhow::Result<()> {
    run_with(2, 3_000).await
}

#[tokio::test(flavor = "multi_thread")]
async fn first_seed() -> anyhow::Result<()> {
    run(1).await
}

#[tokio::test(flavor = "multi_thread")]
async fn second_seed() -> anyhow::Result<()> {
    run(2).await
}

#[tokio::test(flavor = "multi_thread")]
async fn third_seed() -> anyhow::Result<()> {
    run(3).await
}

#[tokio::test(flavor = "multi_thread")]
async fn fourth_seed() -> anyhow::Result<()> {
    run(4).await
}

// The seeds that are run draw the faults that second answers, departures, pauses and the store need,
// and signals to an entry that still has another fault.
#[test]
fn drawn_faults() {
    let plans: Vec<_> = SEEDS.map(|seed| plan::Plan::draw(seed, LENGTH)).collect();
    let steps = || plans.iter().flat_map(|plan| &plan.steps);
    let names = steps().map(|step| format!("{:?}", step.change));
    let drawn: collections::BTreeSet<_> =
        names.map(|name| name.split('(').next().unwrap_or_default().to_string()).collect();
    for name in [
        "Kill",
        "Freeze",
        "Stop",
        "Reload",
        "Store",
        "SilenceStore",
        "CutStore",
        "RestoreStore",
        "Config",
        "ServerFault",
        "Pause",
        "Double",
        "Leave",
        "Drain",
        "ReplaceServer",
        "Pace",
    ] {
        assert!(drawn.contains(name), "{name} is not drawn");
    }
    let overlap = plans.iter().any(|plan| {
        let mut frozen = collections::BTreeSet::new();
        plan.steps.iter().any(|step| match step.change {
            plan::Change::Freeze(edge) => !frozen.insert(edge),
            plan::Change::Resume(edge) => {
                frozen.remove(&edge);
                false
            }
            plan::Change::Kill(edge) | plan::Change::Stop(edge) => frozen.contains(&edge),
            _ => false,
        })
    });
    assert!(overlap, "no entry has two faults at a time");
}

// All entries are told to stop in short succession, and all are killed at once, in some of the seeds
// that are run.
#[test]
fn drawn_series() {
    let plans: Vec<_> = SEEDS.map(|seed| plan::Plan::draw(seed, LENGTH)).collect();
    let at_once = |plan: &plan::Plan, span: time::Duration, wanted: fn(usize) -> plan::Change| {
        plan.steps.iter().any(|start| {
            let within = |at: time::Duration| start.at <= at && at <= start.at + span;
            (0..plan.sizes.edges).all(|edge| {
                let change = wanted(edge);
                plan.steps.iter().any(|step| step.change == change && within(step.at))
            })
        })
    };
    let several = || plans.iter().filter(|plan| plan.sizes.edges > 1);
    let span = time::Duration::from_millis(1_200);
    assert!(several().any(|plan| at_once(plan, span, plan::Change::Stop)));
    assert!(several().any(|plan| at_once(plan, time::Duration::ZERO, plan::Change::Kill)));
}

#[test]
fn same_plan() {
    let plan = plan::Plan::draw(7, LENGTH);
    assert_eq!(plan.steps, plan::Plan::draw(7, LENGTH).steps);
    assert_ne!(plan.steps, plan::Plan::draw(8, LENGTH).steps);
    assert!(plan.steps.is_sorted_by_key(|step| step.at));
}
