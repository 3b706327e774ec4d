//! Servers that name a limit on their requests, which holds for all entries together.

use std::{net, time};

use hyper::Method;
use tokio::task;

use rhubarb_e2e::{call, site};
use rhubarb_fakes::backend;
use rhubarb_node::client;

/// Time after the first answer with a limit in which more may arrive (`contact_ms`).
const CONTACT: time::Duration = time::Duration::from_millis(3_000);
/// Span in which arrivals are counted.
const SPAN: time::Duration = time::Duration::from_secs(4);
/// Interval between the requests of a test.
const INTERVAL: time::Duration = time::Duration::from_millis(50);

fn sizes() -> site::Sizes {
    site::Sizes { edges: 3, plain: 2, prefill: 1, decode: 2, relays: false }
}

// Most arrivals in a span that begins after `from`, and how many are allowed.
fn most(server: &backend::Backend, from: time::Instant, limit: f64) -> (usize, usize) {
    let arrivals: Vec<_> =
        server.arrivals().iter().map(|arrival| arrival.at).filter(|at| *at >= from).collect();
    let within = |at: time::Instant| {
        arrivals.iter().filter(move |other| **other >= at && **other < at + SPAN).count()
    };
    let most = arrivals.iter().map(|at| within(*at)).max().unwrap_or(0);
    (most, (1.5 * limit * SPAN.as_secs_f64()) as usize + 5)
}

// Sends requests to `path` of all entries in turn for `length`; returns the statuses.
async fn send(site: &site::Site, path: &'static str, length: time::Duration) -> Vec<u16> {
    let addresses: Vec<_> = site.edges.iter().map(|edge| edge.frontend).collect();
    let mut calls = task::JoinSet::new();
    let count = length.as_millis() / INTERVAL.as_millis();
    for number in 0..count as usize {
        let address = addresses[number % addresses.len()];
        let attempt = format!("{}-{number}", length.as_millis());
        calls.spawn(async move { post(address, path, &attempt).await });
        tokio::time::sleep(INTERVAL).await;
    }
    calls.join_all().await
}

async fn post(address: net::SocketAddr, path: &str, attempt: &str) -> u16 {
    let call = call::Call { path, attempt, body: "b", headers: &[] };
    let reply = call.send(&client::Client::new(), Method::POST, address).await;
    reply.map_or(0, |reply| reply.status)
}

// Guards against entries that each take a server's limit for themselves, or none (issue 29, LIMIT).
#[tokio::test]
async fn limit_shared() -> anyhow::Result<()> {
    let site = site::Site::start(sizes()).await?;
    site.plain[0].set_limit(Some(3.0));
    let named_at = time::Instant::now();
    let statuses = send(&site, site::SAFE, CONTACT + SPAN * 2).await;
    let (most, allowed) = most(&site.plain[0], named_at + CONTACT, 3.0);
    assert!(most <= allowed, "{most} requests in 4 s, {allowed} are allowed");
    assert!(most >= 6, "{most} requests in 4 s: the server wants twelve");
    // The other server has no limit and serves the rest.
    let served = statuses.iter().filter(|status| **status == 200).count();
    assert!(served * 100 >= statuses.len() * 98, "{served} of {} served", statuses.len());
    Ok(())
}
