//! An entry that has not run for longer than what it knows may be old: it decides nothing by that before it
//! has asked again, and waits for no answer if the store is away.

use std::time;

use hyper::Method;
use rustix::process as signals;
use serde_json::json;
use tokio::task;

use rhubarb_e2e::{call, site};
use rhubarb_fakes::store;
use rhubarb_node::client;

/// Length of a stall, longer than a change may take to be in force.
const STALL: time::Duration = time::Duration::from_millis(3_500);
/// Time after which an entry waits for changes.
const SETTLE_TIME: time::Duration = time::Duration::from_millis(1_500);
/// Calls that an entry finds when it runs again.
const CALLS: usize = 10;
/// Time in which calls reach an entry that does not run.
const ARRIVAL_TIME: time::Duration = time::Duration::from_millis(200);
/// Longest time for which calls wait for the store: what is left of the timeout of their route.
const LONGEST_WAIT: time::Duration = time::Duration::from_millis(1_200);
/// Path on the route that [`change`] adds.
const ADDED: &str = "/added/x";

async fn start() -> anyhow::Result<site::Site> {
    let site = site::Site::start(site::Sizes::default()).await?;
    tokio::time::sleep(SETTLE_TIME).await;
    Ok(site)
}

// Adds a route, and lets the first plain server leave. Feeds that are open do not tell it.
fn change(site: &site::Site) {
    for table in ["op", "servers"] {
        site.store.silence_feeds(table);
    }
    let mut config = site.config(5);
    let mut route = config["routes"][0].clone();
    route["name"] = json!("added");
    route["prefix"] = json!("/added/");
    config["routes"].as_array_mut().expect("routes are a list").push(route);
    site.store.put("op", "config", config.to_string());
    site.announce(&site.plain[0], "draining");
}

// Stops the entry, makes the change, and lets the entry run on with calls that it then finds; returns their
// statuses and the time since then to the last answer.
async fn call_stalled(
    site: &site::Site,
    path: &'static str,
    mode: store::Mode,
) -> anyhow::Result<(Vec<u16>, time::Duration)> {
    let edge = &site.edges[0];
    edge.signal(signals::Signal::STOP);
    change(site);
    tokio::time::sleep(STALL).await;
    site.store.set_mode(mode);
    let mut calls = task::JoinSet::new();
    for number in 0..CALLS {
        let (address, attempt) = (edge.frontend, format!("stalled-{number}"));
        calls.spawn(async move {
            let call = call::Call { path, attempt: &attempt, body: "b", headers: &[] };
            let reply = call.send(&client::Client::new(), Method::POST, address).await;
            reply.map_or(0, |reply| reply.status)
        });
    }
    tokio::time::sleep(ARRIVAL_TIME).await;
    let woken_at = time::Instant::now();
    edge.signal(signals::Signal::CONT);
    Ok((calls.join_all().await, woken_at.elapsed()))
}

// Guards against a 404 on a route that was added while the entry did not run.
#[tokio::test]
async fn stalled_config() -> anyhow::Result<()> {
    let site = start().await?;
    let (statuses, _) = call_stalled(&site, ADDED, store::Mode::Up).await?;
    assert_eq!(statuses, [200; CALLS], "{}", site.edges[0].log());
    Ok(())
}

// Guards against requests to a server that said that it leaves while the entry did not run.
#[tokio::test]
async fn stalled_leaving() -> anyhow::Result<()> {
    let site = start().await?;
    let before = site.plain[0].requests().len();
    let (statuses, _) = call_stalled(&site, site::SAFE, store::Mode::Up).await?;
    let late = site.plain[0].requests().len() - before;
    assert_eq!((statuses, late), (vec![200; CALLS], 0), "{}", site.edges[0].log());
    Ok(())
}

// An entry whose questions the store does not answer goes on by what it knows, soon.
#[tokio::test]
async fn stalled_outage() -> anyhow::Result<()> {
    for mode in [store::Mode::Busy, store::Mode::Unresponsive] {
        let site = start().await?;
        let (statuses, elapsed) = call_stalled(&site, site::SAFE, mode).await?;
        assert_eq!(statuses, [200; CALLS], "{mode:?}: {}", site.edges[0].log());
        assert!(elapsed < LONGEST_WAIT, "{mode:?}: {elapsed:?}: {}", site.edges[0].log());
    }
    Ok(())
}
