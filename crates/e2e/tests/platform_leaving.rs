//! Servers that leave get no new requests, also when the store's feeds tell nothing.

use std::time;

use hyper::Method;

use rhubarb_e2e::site;

/// Time after a fault of its connections within which an entry may act on old information
/// (`contact_ms`).
const CONTACT: time::Duration = time::Duration::from_millis(3_000);
/// Time after which a server that leaves gets no more requests (`drain_ms`).
const DRAIN: time::Duration = time::Duration::from_millis(2_000);
/// Requests sent through each entry once no more may reach the server.
const CALLS: usize = 40;

// Makes the feeds of all entries go silent without a reset, lets `leave` announce that a plain
// server leaves, and checks that requests sent after the bounds do not reach it.
async fn check_silent(leave: impl Fn(&site::Site)) -> anyhow::Result<()> {
    let sizes = site::Sizes { edges: 3, ..site::Sizes::default() };
    let mut site = site::Site::prepare(sizes).await?;
    let relay = site.relay_store().await?;
    for _ in 0..sizes.edges {
        site.add_edge().await?;
    }
    site.wait_ready().await?;
    // Until the entries know each other and their feeds are open.
    tokio::time::sleep(time::Duration::from_secs(2)).await;
    relay.blackhole();
    let silent_at = time::Instant::now();
    tokio::time::sleep(time::Duration::from_millis(500)).await;
    leave(&site);
    let bound = (silent_at + CONTACT).max(time::Instant::now() + DRAIN);
    tokio::time::sleep_until(bound.into()).await;
    let before = site.plain[0].requests().len();
    for number in 0..CALLS {
        for edge in &site.edges {
            let attempt = format!("late-{number}-{}", edge.frontend);
            let reply = edge.call(Method::POST, site::SAFE, &attempt, "b").await?;
            assert_eq!(reply.status, 200, "{reply:?}");
        }
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
    let late = site.plain[0].requests().len() - before;
    let logs: Vec<_> = site.edges.iter().map(rhubarb_e2e::edge::Edge::log).collect();
    assert_eq!(late, 0, "of {} requests: {}", CALLS * sizes.edges, logs.join("\n\n"));
    Ok(())
}

// Guards against requests to a server that leaves while the feeds of all entries are silent: a feed
// was given up after 21.5 s only.
#[tokio::test]
async fn silent_draining() -> anyhow::Result<()> {
    check_silent(|site| site.announce(&site.plain[0], "draining")).await
}

// Guards against requests to a server whose row is gone: it was kept for a grace period, though the
// store had not been away.
#[tokio::test]
async fn silent_removal() -> anyhow::Result<()> {
    check_silent(|site| {
        site.store.remove("servers", &site.plain[0].id);
    })
    .await
}
