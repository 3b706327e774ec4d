//! Short soaks with fixed seeds; longer ones are run by hand with `rhubarb-soak`.

use std::time;

use rhubarb_soak::{plan, soak};

const LENGTH: time::Duration = time::Duration::from_secs(5);

async fn run(seed: u64) -> anyhow::Result<()> {
    let plan = plan::Plan::draw(seed, LENGTH);
    let report = soak::run(&plan).await?;
    assert!(report.violations.is_empty(), "seed {seed}: {report}\n{}", report.logs.join("\n---\n"));
    assert!(report.answered > 0, "seed {seed}: {report}");
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn first_seed() -> anyhow::Result<()> {
    run(1).await
}

#[tokio::test(flavor = "multi_thread")]
async fn second_seed() -> anyhow::Result<()> {
    run(2).await
}

#[test]
fn same_plan() {
    let plan = plan::Plan::draw(7, LENGTH);
    assert_eq!(plan.steps, plan::Plan::draw(7, LENGTH).steps);
    assert_ne!(plan.steps, plan::Plan::draw(8, LENGTH).steps);
    assert!(plan.steps.is_sorted_by_key(|step| step.at));
}
