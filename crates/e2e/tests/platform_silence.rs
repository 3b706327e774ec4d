//! Feeds of the store that stay open and deliver nothing, while new calls work: changes reach all
//! entries within the time after which nothing excuses an old state.

use std::time;

use hyper::Method;
use serde_json::json;

use rhubarb_e2e::site;

/// Time after the feeds fell silent within which all entries have noticed it, the platform's
/// `contact_ms`.
const CONTACT: time::Duration = time::Duration::from_millis(3_000);
/// Time after which the entries know each other and wait for changes.
const SETTLE_TIME: time::Duration = time::Duration::from_millis(1_500);
/// Path on the route that [`change`] adds.
const ADDED: &str = "/added/x";

async fn start(edges: usize) -> anyhow::Result<site::Site> {
    let site = site::Site::start(site::Sizes { edges, ..site::Sizes::default() }).await?;
    tokio::time::sleep(SETTLE_TIME).await;
    Ok(site)
}

async fn call(site: &site::Site, edge: usize, path: &str) -> anyhow::Result<u16> {
    let attempt = format!("probe-{:?}", time::Instant::now());
    Ok(site.edges[edge].call(Method::POST, path, &attempt, "b").await?.status)
}

// Adds a route, and lets the first plain server leave.
fn change(site: &site::Site) {
    let mut config = site.config(5);
    let mut route = config["routes"][0].clone();
    route["name"] = json!("added");
    route["prefix"] = json!("/added/");
    config["routes"].as_array_mut().unwrap().push(route);
    site.store.put("op", "config", config.to_string());
    site.announce(&site.plain[0], "draining");
}

// Checks that the entries `numbers` have the config of `change`.
async fn check_config(site: &site::Site, numbers: std::ops::Range<usize>) -> anyhow::Result<()> {
    for number in numbers {
        let status = call(site, number, ADDED).await?;
        assert_eq!(status, 200, "entry {number}: {}", site.edges[number].log());
    }
    Ok(())
}

// Checks that the entries `numbers` send nothing to the server that `change` lets leave.
async fn check_leaving(site: &site::Site, numbers: std::ops::Range<usize>) -> anyhow::Result<()> {
    for number in numbers {
        let before = site.plain[0].requests().len();
        for _ in 0..10 {
            assert_eq!(call(site, number, site::SAFE).await?, 200);
        }
        let late = site.plain[0].requests().len() - before;
        assert_eq!(late, 0, "entry {number}: {}", site.edges[number].log());
    }
    Ok(())
}

// Guards against a config that is in force 21 s late: only the feed of the servers was checked.
#[tokio::test]
async fn config_silent() -> anyhow::Result<()> {
    let site = start(3).await?;
    site.store.silence_feeds("op");
    change(&site);
    tokio::time::sleep(CONTACT).await;
    check_config(&site, 0..3).await
}

// Lets all open feeds fall silent and the two entries that check them end, and then makes the change.
async fn kill_checkers() -> anyhow::Result<site::Site> {
    let mut site = start(5).await?;
    for table in ["op", "servers"] {
        site.store.silence_feeds(table);
    }
    site.edges[0].kill();
    site.edges[1].kill();
    change(&site);
    tokio::time::sleep(CONTACT).await;
    Ok(site)
}

// Guards against entries that keep an old config for 6 s: the two that check the feeds had ended, and
// the others waited until these counted as gone.
#[tokio::test]
async fn config_unchecked() -> anyhow::Result<()> {
    check_config(&kill_checkers().await?, 2..5).await
}

// Guards against entries that send requests to a leaving server for 6 s, likewise.
#[tokio::test]
async fn leaving_unchecked() -> anyhow::Result<()> {
    check_leaving(&kill_checkers().await?, 2..5).await
}

// The same for an entry without peers.
#[tokio::test]
async fn single_entry() -> anyhow::Result<()> {
    let site = start(1).await?;
    for table in ["op", "servers"] {
        site.store.silence_feeds(table);
    }
    change(&site);
    tokio::time::sleep(CONTACT).await;
    check_config(&site, 0..1).await?;
    check_leaving(&site, 0..1).await
}
