//! Retries within the budget of the service that they reach.

use std::{net, time};

use hyper::Method;
use tokio::task;

use rhubarb_e2e::{call, site};
use rhubarb_fakes::backend;
use rhubarb_node::client;

/// Interval between the requests of a test.
const INTERVAL: time::Duration = time::Duration::from_millis(40);
/// Retries allowed for each request, as in the settings of [`site::Site`].
const RATIO: f64 = 0.2;
/// Retries allowed regardless of the number of requests in [`slack_restarts`].
const SLACK: u32 = 60;

async fn post(address: net::SocketAddr, path: &str, attempt: &str) -> u16 {
    let call = call::Call { path, attempt, body: "b", headers: &[] };
    let reply = call.send(&client::Client::new(), Method::POST, address).await;
    reply.map_or(0, |reply| reply.status)
}

// Sends requests to `path` of all entries in turn for `length`; returns the statuses.
async fn send(
    site: &site::Site,
    name: &str,
    path: &'static str,
    length: time::Duration,
) -> Vec<u16> {
    let addresses: Vec<_> = site.edges.iter().map(|edge| edge.frontend).collect();
    let mut calls = task::JoinSet::new();
    for number in 0..(length.as_millis() / INTERVAL.as_millis()) as usize {
        let address = addresses[number % addresses.len()];
        let attempt = format!("{name}-{number}");
        calls.spawn(async move { post(address, path, &attempt).await });
        tokio::time::sleep(INTERVAL).await;
    }
    calls.join_all().await
}

// Requests with work that a server got in place of another one.
fn misdirected(server: &backend::Backend) -> usize {
    let arrivals = server.arrivals();
    arrivals.iter().filter(|arrival| arrival.misdirected && arrival.is_work()).count()
}

fn sizes() -> site::Sizes {
    site::Sizes { edges: 3, plain: 2, prefill: 2, decode: 2, ..site::Sizes::default() }
}

// Guards against retries that go to the server of another service at an address that has moved for
// as long as the store does not tell (issue 47, BUDGET): a 421 changed only its own request.
#[tokio::test]
async fn moved_plain() -> anyhow::Result<()> {
    let site = site::Site::start(sizes()).await?;
    site.plain[0].set_fault(backend::Fault::Moved);
    site.plain[1].set_fault(backend::Fault::Sheds);
    for path in [site::SAFE, site::UNSAFE] {
        send(&site, path, path, time::Duration::from_secs(4)).await;
    }
    let wrong = misdirected(&site.plain[0]);
    assert!(wrong <= site.edges.len(), "{wrong} requests reached another server");
    Ok(())
}

// The same at a decode engine: neither holds nor streams go to the address any more.
#[tokio::test]
async fn moved_decode() -> anyhow::Result<()> {
    let site = site::Site::start(sizes()).await?;
    site.decode[0].set_fault(backend::Fault::Moved);
    site.decode[1].set_fault(backend::Fault::Full);
    send(&site, "a", site::RESUMABLE, time::Duration::from_secs(4)).await;
    let wrong = misdirected(&site.decode[0]);
    assert!(wrong <= site.edges.len(), "{wrong} requests reached another server");
    Ok(())
}

// The same at a prefill engine.
#[tokio::test]
async fn moved_prefill() -> anyhow::Result<()> {
    let site = site::Site::start(sizes()).await?;
    site.prefill[0].set_fault(backend::Fault::Moved);
    site.prefill[1].set_fault(backend::Fault::Sheds);
    send(&site, "a", site::STREAM, time::Duration::from_secs(4)).await;
    let wrong = misdirected(&site.prefill[0]);
    assert!(wrong <= site.edges.len(), "{wrong} requests reached another server");
    Ok(())
}

// Guards against a sound server that is lost for the length of an outage by a 421 that it or another
// one sent once: it is asked who it is, and used again without a new row.
#[tokio::test]
async fn stray_rejection() -> anyhow::Result<()> {
    let site = site::Site::start(sizes()).await?;
    let before = site.plain[0].arrivals().len();
    site.plain[0].set_fault(backend::Fault::Moved);
    while !site.plain[0].arrivals()[before..].iter().any(|arrival| arrival.misdirected) {
        post(site.edges[0].frontend, site::SAFE, "a").await;
    }
    site.plain[0].set_fault(backend::Fault::None);
    tokio::time::sleep(time::Duration::from_millis(2_500)).await;
    let runs = site.plain[0].requests().len();
    send(&site, "b", site::SAFE, time::Duration::from_secs(1)).await;
    let log = site.edges[0].log();
    assert!(site.plain[0].requests().len() > runs, "the server gets no requests any more: {log}");
    Ok(())
}

// Guards against entries that are killed and spend their part of the slack anew in the same window
// (issue 47, BUDGET).
#[tokio::test]
async fn slack_restarts() -> anyhow::Result<()> {
    let mut site = site::Site::prepare(site::Sizes::default()).await?;
    for number in 0..4 {
        site.add_edge().await?;
        site.edges[number].edit_settings("budget_slack=560", &format!("budget_slack={SLACK}"))?;
    }
    for number in 0..4 {
        site.restart_edge(number)?;
    }
    site.wait_ready().await?;
    for server in &site.plain {
        server.set_fault(backend::Fault::Sheds);
    }
    let start = time::Instant::now();
    let mut requests = 0;
    for round in 0..5 {
        let name = format!("r{round}");
        let statuses = send(&site, &name, site::SAFE, time::Duration::from_millis(1_200)).await;
        requests += statuses.len();
        for number in 0..4 {
            site.restart_edge(number)?;
        }
        site.wait_ready().await?;
    }
    let spent = start.elapsed();
    assert!(spent < time::Duration::from_secs(10), "the rounds took {spent:?}");
    let arrivals = site.plain.iter().map(|server| server.arrivals().len()).sum::<usize>();
    let again = arrivals.saturating_sub(requests);
    let allowed = RATIO * requests as f64 + f64::from(SLACK);
    assert!(again as f64 <= allowed, "{again} retries for {requests} requests, {allowed} allowed");
    Ok(())
}
