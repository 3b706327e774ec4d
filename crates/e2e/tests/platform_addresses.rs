//! Deployments of several test processes on one machine.

use std::{net, process};

use hyper::Method;

use rhubarb_e2e::{site, subnet};

/// Port of an entry for callers.
const FRONTEND: u16 = 8144;

// Guards against a test whose requests go to an entry of another process: both took the same
// addresses, its own entry could not start, and the other one said that it was ready.
#[tokio::test]
async fn taken_addresses() -> anyhow::Result<()> {
    // What this process would take first, as one whose id differs by a multiple of 120.
    let first = (process::id() % 120 + 2) as u8;
    let taken: Vec<net::IpAddr> = (1..5).map(|second| [127, first, second, 10].into()).collect();
    // Those that cannot be taken are in use already.
    let others: Vec<_> =
        (1..5).filter_map(|second| subnet::Subnet::take_range([first, second])).collect();
    let listen = |other: &subnet::Subnet| net::TcpListener::bind((other.ip(10), FRONTEND));
    let _entries: Vec<_> = others.iter().map(listen).collect::<Result<_, _>>()?;
    let site = site::Site::start(site::Sizes::default()).await?;
    assert!(!taken.contains(&site.edges[0].frontend.ip()));
    let reply = site.edges[0].call(Method::POST, site::SAFE, "a", "b").await?;
    assert_eq!((reply.status, site.runs("a")), (200, 1));
    Ok(())
}

// Guards against two deployments that start at the same time and find the same addresses free, and
// against one that meets an entry of a test that has ended.
#[test]
fn range_held() -> anyhow::Result<()> {
    // A range that no deployment begins with and no other process uses.
    let id = process::id();
    let bytes = [(id % 128) as u8 + 122, (id / 128) as u8];
    let held = subnet::Subnet::take_range(bytes).expect("the range is free");
    assert!(subnet::Subnet::take_range(bytes).is_none());
    let entry = net::TcpListener::bind((held.ip(10), FRONTEND))?;
    drop(held);
    assert!(subnet::Subnet::take_range(bytes).is_none());
    drop(entry);
    assert!(subnet::Subnet::take_range(bytes).is_some());
    Ok(())
}
