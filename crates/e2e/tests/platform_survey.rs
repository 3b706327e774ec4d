//! Output of the operator commands for a deployment on the platform.

use std::process;

use serde_json::json;

use rhubarb_e2e::{process as programs, site};
use rhubarb_fakes::store;

async fn ctl(site: &site::Site, args: &[&str]) -> anyhow::Result<process::Output> {
    let mut command = process::Command::new(programs::program_path("rhubarb-ctl"));
    command.args(args).args(["--store", &site.store_address()?.to_string()]);
    // The command reads a store that this process serves, so it must not block the runtime.
    Ok(tokio::task::spawn_blocking(move || command.output()).await??)
}

fn stdout(output: &process::Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

#[tokio::test]
async fn status_and_config() -> anyhow::Result<()> {
    let sizes = site::Sizes { edges: 2, ..site::Sizes::default() };
    let mut site = site::Site::start(sizes).await?;
    site.announce(&site.plain[1].clone(), "draining");
    site.store.put("servers", "i-ghost", "not an entry");
    site.edges[1].kill();
    let status = stdout(&ctl(&site, &["status"]).await?);
    for line in [
        "config version 1, 5 routes",
        "plain plain in hall-a: 1 ready, 1 leaving",
        "models decode in hall-a: 2 ready, 0 leaving",
        "i-ghost: entry cannot be read",
        "edge-0 at 127.",
        ": version 1\n",
        "no answer",
    ] {
        assert!(status.contains(line), "{line:?} in {status}");
    }
    site.store.put("op", "config", site.config(4).to_string());
    site.store.set_mode(store::Mode::Up);
    let output = ctl(&site, &["status", "--format", "json"]).await?;
    let status: serde_json::Value = serde_json::from_slice(&output.stdout)?;
    assert_eq!(status["config"], 4, "{status}");
    assert_eq!(status["instances"][1]["config"], json!(null), "{status}");
    let shown = ctl(&site, &["show", "--format", "json"]).await?;
    assert_eq!(serde_json::from_slice::<serde_json::Value>(&shown.stdout)?, site.config(4));
    Ok(())
}

#[tokio::test]
async fn store_unavailable() -> anyhow::Result<()> {
    let site = site::Site::start(site::Sizes::default()).await?;
    site.store.set_mode(store::Mode::Busy);
    let output = ctl(&site, &["status"]).await?;
    assert_eq!(output.status.code(), Some(4));
    let err = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(err.contains("the store answered 503") && err.contains("try later"), "{err}");
    Ok(())
}
