//! Speeds, noise and cold starts of the fake backend servers, and what their load reports say.

use std::{net, time};

use bytes::Bytes;
use hyper::Method;

use rhubarb_fakes::{backend, handles, pace};
use rhubarb_node::client;

const TIMEOUT: time::Duration = time::Duration::from_secs(5);
const COLD: time::Duration = time::Duration::from_millis(300);

/// A plain server, and the load and the time of one answer after the other.
struct Caller {
    server: backend::Backend,
    address: net::SocketAddr,
    client: client::Client,
}

impl Caller {
    async fn start(stage: &str) -> anyhow::Result<Caller> {
        let server = backend::Backend::new("i-1", stage, &handles::Handles::default());
        let address = server.serve(net::Ipv4Addr::LOCALHOST.into()).await?;
        Ok(Caller { server, address, client: client::Client::new() })
    }

    async fn call(&self) -> anyhow::Result<(String, time::Duration)> {
        let url = format!("http://{}/x", self.address);
        let started = time::Instant::now();
        let request = client::request(Method::POST, &url, Bytes::from("{}"))?;
        let reply = self.client.fetch(request, TIMEOUT).await?;
        let load = reply.headers.get("x-server-load").and_then(|value| value.to_str().ok());
        Ok((load.unwrap_or_default().to_string(), started.elapsed()))
    }
}

/// Without a pace nothing takes time, and the load has three figures.
#[tokio::test]
async fn usual_pace() -> anyhow::Result<()> {
    let caller = Caller::start("").await?;
    assert_eq!(caller.call().await?.0, "1,0,6");
    Ok(())
}

/// A slow server takes its time, and does not say so: that is its nature.
#[tokio::test]
async fn slow_by_nature() -> anyhow::Result<()> {
    let caller = Caller::start("").await?;
    caller.server.set_pace(pace::Pace { nature: 500, ..pace::Pace::default() });
    let (load, took) = caller.call().await?;
    assert_eq!(load, "1,0,6,100");
    assert!(took >= time::Duration::from_millis(50), "{took:?}");
    let engine = Caller::start("decode").await?;
    engine.server.set_pace(pace::Pace { nature: 500, ..pace::Pace::default() });
    let (_, took) = engine.call().await?;
    assert!(took >= time::Duration::from_millis(600), "six events: {took:?}");
    Ok(())
}

/// Neighbours come every 600 ms, for a part of it, and the load says so.
#[tokio::test]
async fn noise_told() -> anyhow::Result<()> {
    let caller = Caller::start("").await?;
    caller.server.set_pace(pace::Pace { is_noisy: true, ..pace::Pace::default() });
    let started = time::Instant::now();
    let mut loads = Vec::new();
    while started.elapsed() < 2 * pace::NOISE_PERIOD {
        loads.push(caller.call().await?.0);
        tokio::time::sleep(time::Duration::from_millis(5)).await;
    }
    loads.dedup();
    assert!(loads.contains(&"1,0,6,250".to_string()) && loads.contains(&"1,0,6,100".to_string()));
    assert!(loads.len() <= 5, "it does not change at each answer: {loads:?}");
    Ok(())
}

/// Each start begins cold.
#[tokio::test]
async fn cold_starts() -> anyhow::Result<()> {
    let caller = Caller::start("").await?;
    caller.server.set_pace(pace::Pace { cold: COLD, ..pace::Pace::default() });
    for start in 0..2 {
        assert_eq!(caller.call().await?.0, "1,0,6,160", "start {start}");
        tokio::time::sleep(COLD).await;
        assert_eq!(caller.call().await?.0, "1,0,6,100", "start {start}");
        caller.server.restart();
    }
    Ok(())
}
