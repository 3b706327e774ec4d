//! Deployments of several test processes on one machine.

use std::{net, process};

use hyper::Method;

use rhubarb_e2e::site;

// Guards against a test whose requests go to an entry of another process: both took the same
// addresses, its own entry could not start, and the other one said that it was ready.
#[tokio::test]
async fn taken_addresses() -> anyhow::Result<()> {
    // What this process would take first, as one whose id differs by a multiple of 120.
    let first = (process::id() % 120 + 2) as u8;
    let taken: Vec<net::IpAddr> = (1..5).map(|second| [127, first, second, 10].into()).collect();
    // One that cannot be bound is taken already.
    let _others: Vec<_> =
        taken.iter().filter_map(|ip| net::TcpListener::bind((*ip, 8144)).ok()).collect();
    let site = site::Site::start(site::Sizes::default()).await?;
    assert!(!taken.contains(&site.edges[0].frontend.ip()));
    let reply = site.edges[0].call(Method::POST, site::SAFE, "a", "b").await?;
    assert_eq!((reply.status, site.runs("a")), (200, 1));
    Ok(())
}
