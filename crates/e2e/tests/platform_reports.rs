//! Usage reports on the platform agree with the responses of entries that were stopped, killed or
//! cut off from the store.

use std::{process, time};

use hyper::Method;
use rustix::process as signals;
use serde_json::Value;

use rhubarb_e2e::{process as programs, site};
use rhubarb_fakes as fakes;
use rhubarb_node::{client, clock};
use rhubarb_platform::store;
use rhubarb_report::merge;

// Reports from one hour ago to one hour ahead.
async fn report(site: &site::Site) -> anyhow::Result<Value> {
    report_with(site, &[]).await
}

async fn report_with(site: &site::Site, options: &[&str]) -> anyhow::Result<Value> {
    let now = clock::unix_ms();
    let mut command = process::Command::new(programs::program_path("rhubarb-report"));
    command
        .args(options)
        .args(["--store", &site.store_address()?.to_string(), "--format", "json"])
        .args(["--from", &(now - 3_600_000).to_string(), "--to", &(now + 3_600_000).to_string()]);
    // The command reads a store that this process serves, so it must not block the runtime.
    let output = tokio::task::spawn_blocking(move || command.output()).await??;
    anyhow::ensure!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    Ok(serde_json::from_slice(&output.stdout)?)
}

fn row<'a>(report: &'a Value, route: &str) -> &'a Value {
    let rows = report["rows"].as_array().expect("a report has rows");
    rows.iter().find(|row| row["caller"] == route).unwrap_or(&Value::Null)
}

async fn stop(site: &mut site::Site, edge: usize) {
    site.edges[edge].signal(signals::Signal::TERM);
    while site.edges[edge].exit_code().is_none() {
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
}

// Sends `count` requests; returns how many were answered with 200, and how many were not.
async fn send_calls(site: &site::Site, edge: usize, path: &str, count: usize) -> [u64; 2] {
    let mut counts = [0, 0];
    for number in 0..count {
        let id = format!("{edge}-{}-{number}", path.len());
        let reply = site.edges[edge].call(Method::POST, path, &id, "b").await;
        let is_answered = reply.is_ok_and(|reply| reply.status == 200);
        counts[usize::from(!is_answered)] += 1;
    }
    counts
}

#[tokio::test]
async fn totals_agree() -> anyhow::Result<()> {
    let sizes = site::Sizes { edges: 2, ..site::Sizes::default() };
    let mut site = site::Site::start(sizes).await?;
    let mut answered = 0;
    for edge in [0, 1] {
        answered += send_calls(&site, edge, site::UNSAFE, 7).await[0];
        send_calls(&site, edge, site::RESUMABLE, 3).await;
    }
    for server in &site.plain {
        site.store.remove("servers", &server.id);
    }
    tokio::time::sleep(time::Duration::from_millis(500)).await;
    let rejected = send_calls(&site, 0, site::UNSAFE, 4).await[1];
    for edge in [0, 1] {
        stop(&mut site, edge).await;
    }
    let report = report(&site).await?;
    let plain = row(&report, "unsafe");
    assert_eq!(plain["totals"]["outcomes"]["answered"], answered, "{report}");
    assert_eq!(plain["totals"]["outcomes"]["not-run"], rejected, "{report}");
    assert_eq!(plain["totals"]["refusals"]["no-server"], rejected, "{report}");
    let streams = row(&report, "resumable");
    assert_eq!(streams["totals"]["outcomes"]["answered"], 6, "{report}");
    assert_eq!(streams["totals"]["output_tokens"], 6 * fakes::backend::EVENTS, "{report}");
    assert!(streams["totals"]["prefill_tokens"].as_u64() > Some(0), "{report}");
    assert_eq!(report["gaps"].as_array().map(Vec::len), Some(0), "{report}");
    Ok(())
}

#[tokio::test]
async fn old_records_removed() -> anyhow::Result<()> {
    let mut site = site::Site::start(site::Sizes::default()).await?;
    send_calls(&site, 0, site::SAFE, 1).await;
    stop(&mut site, 0).await;
    let now = clock::unix_ms();
    let (past, future) = ((now - 60_000).to_string(), (now + 60_000).to_string());
    assert_eq!(report_with(&site, &["--remove-before", &past]).await?["records"], 1);
    assert_eq!(report_with(&site, &["--remove-before", &future]).await?["records"], 1);
    assert_eq!(report(&site).await?["records"], 0);
    Ok(())
}

#[tokio::test]
async fn killed_entry_gap() -> anyhow::Result<()> {
    let sizes = site::Sizes { edges: 2, ..site::Sizes::default() };
    let mut site = site::Site::start(sizes).await?;
    send_calls(&site, 0, site::SAFE, 5).await;
    // The first record is written within 4.5 s of the start; requests after it are lost.
    tokio::time::sleep(time::Duration::from_millis(5_000)).await;
    send_calls(&site, 0, site::SAFE, 2).await;
    site.edges[0].kill();
    stop(&mut site, 1).await;
    let report = report(&site).await?;
    assert_eq!(row(&report, "safe")["totals"]["outcomes"]["answered"], 5, "{report}");
    assert_eq!(
        report["gaps"].as_array().map(Vec::len),
        Some(0),
        "the entry may still write: {report}"
    );
    let later = later_gaps(&site).await?;
    assert_eq!(later.len(), 1, "{later:?}");
    assert_eq!((later[0].process.entry.as_str(), later[0].to_ms), ("edge-0", None));
    Ok(())
}

// Gaps in the report as it would be five minutes from now.
async fn later_gaps(site: &site::Site) -> anyhow::Result<Vec<merge::Gap>> {
    let records = store::Store::new(client::Client::new(), site.store_address()?);
    let limit = time::Duration::from_secs(1);
    let now = clock::unix_ms();
    let mut report = merge::Report::new(now - 3_600_000, now + 3_600_000);
    for name in records.list_objects(store::USAGE, limit).await? {
        let content = records.get_object(&name, limit).await?.unwrap_or_default();
        report.add(serde_json::from_slice(&content)?);
    }
    Ok(report.gaps(now + 300_000))
}

#[tokio::test]
async fn records_survive_outage() -> anyhow::Result<()> {
    let mut site = site::Site::start(site::Sizes::default()).await?;
    site.store.set_mode(fakes::store::Mode::Busy);
    send_calls(&site, 0, site::SAFE, 5).await;
    tokio::time::sleep(time::Duration::from_millis(5_000)).await;
    assert!(site.edges[0].log().contains("usage not stored"), "{}", site.edges[0].log());
    site.store.set_mode(fakes::store::Mode::Up);
    stop(&mut site, 0).await;
    let report = report(&site).await?;
    assert_eq!(row(&report, "safe")["totals"]["outcomes"]["answered"], 5, "{report}");
    assert_eq!(report["gaps"].as_array().map(Vec::len), Some(0), "{report}");
    Ok(())
}
