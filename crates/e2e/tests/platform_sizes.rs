//! Thousands of routes and servers: an entry goes on answering while it reads and applies them, and a change
//! is in force within its deadline.

use std::time;

use hyper::Method;
use serde_json::json;

use rhubarb_e2e::{edge, site};

/// Routes that a change adds.
const ROUTES: usize = 12_000;
/// Time within which a change is to be in force, the platform's `config_deadline_ms`.
const DEADLINE: time::Duration = time::Duration::from_millis(3_000);
/// Bytes a second of a slow link, 10 Mbit/s.
const SLOW_LINK: u32 = 1_250_000;
/// Longest time of a call to a server that answers at once: a third of the timeout of its route.
const LONGEST_CALL: time::Duration = time::Duration::from_millis(500);
/// Time after which the entries know each other and wait for changes.
const SETTLE_TIME: time::Duration = time::Duration::from_millis(1_500);
const PAUSE: time::Duration = time::Duration::from_millis(20);

// A config with `routes` routes of one host more than usual, and one for [`path`].
fn big_config(site: &site::Site, version: u64, routes: usize) -> String {
    let mut config = site.config(version);
    site::Site::add_routes(&mut config, routes);
    let mut own = config["routes"][0].clone();
    own["name"] = json!(format!("only-{version}"));
    own["prefix"] = json!(format!("/only-{version}/"));
    config["routes"].as_array_mut().expect("routes are a list").push(own);
    config.to_string()
}

// Path on a route that only `version` has.
fn path(version: u64) -> String {
    format!("/only-{version}/x")
}

async fn call(edge: &edge::Edge, path: &str) -> anyhow::Result<(u16, time::Duration)> {
    let attempt = format!("probe-{:?}", time::Instant::now());
    let reply = edge.call(Method::POST, path, &attempt, "b").await?;
    Ok((reply.status, reply.elapsed))
}

// Calls an entry until it has config `version`, for at most `limit`; returns the longest call.
async fn call_until(
    edge: &edge::Edge,
    version: u64,
    limit: time::Duration,
) -> anyhow::Result<time::Duration> {
    let (deadline, mut longest) = (time::Instant::now() + limit, time::Duration::ZERO);
    while call(edge, &path(version)).await?.0 != 200 {
        assert!(time::Instant::now() < deadline, "version {version} not in force: {}", edge.log());
        let (status, elapsed) = call(edge, site::SAFE).await?;
        assert_eq!(status, 200, "{}", edge.log());
        longest = longest.max(elapsed);
        tokio::time::sleep(PAUSE).await;
    }
    Ok(longest)
}

// Guards against entries that answer nothing for seconds after a change of one route among thousands.
#[tokio::test]
async fn answered_during_change() -> anyhow::Result<()> {
    let site = site::Site::start(site::Sizes::default()).await?;
    let edge = &site.edges[0];
    for (version, routes) in [(2, ROUTES), (3, ROUTES + 1)] {
        site.store.put("op", "config", big_config(&site, version, routes));
        let longest = call_until(edge, version, DEADLINE).await?;
        assert!(longest <= LONGEST_CALL, "version {version}: {longest:?}: {}", edge.log());
    }
    Ok(())
}

// Guards against a config that is never read, since it takes longer to arrive than a question to the
// store may: each one began again. The link needs 2.6 s for it.
#[tokio::test]
async fn slow_link() -> anyhow::Result<()> {
    let mut site = site::Site::prepare(site::Sizes::default()).await?;
    let relay = site.relay_store().await?;
    for _ in 0..3 {
        site.add_edge().await?;
    }
    site.wait_ready().await?;
    tokio::time::sleep(SETTLE_TIME).await;
    relay.set_rate(3 * SLOW_LINK);
    let config = big_config(&site, 2, ROUTES);
    let sending = time::Duration::from_secs_f64(config.len() as f64 / 0.75 / f64::from(SLOW_LINK));
    site.store.put("op", "config", config);
    for edge in &site.edges {
        call_until(edge, 2, DEADLINE + sending).await?;
    }
    Ok(())
}

// Guards against a time to read the servers that grows with the square of their number.
#[tokio::test]
async fn servers_grow_linearly() -> anyhow::Result<()> {
    let mut times = Vec::new();
    for servers in [2_000, 8_000] {
        let mut site = site::Site::prepare(site::Sizes::default()).await?;
        let row = site::server_row(&site.plain[0]);
        for number in 0..servers {
            let mut row = row.clone();
            row["address"] = json!(format!("127.0.{}.{}:9", number / 250, number % 250));
            site.store.put("servers", &format!("i-{number}"), row.to_string());
        }
        site.add_edge().await?;
        site.wait_ready().await?;
        times.push(site.edges[0].cpu_time()?);
    }
    let growth = times[1].as_secs_f64() / times[0].as_secs_f64();
    assert!(growth <= 8.0, "{times:?} for 2,000 and 8,000 servers");
    Ok(())
}
