//! Answers without a length, whose servers are killed in their middle: each server is a process of its own,
//! and the system closes the connections of a killed one like those of an answer that has ended.

use std::{env, net, path, time};

use hyper::Method;
use serde_json::json;
use tokio::task;

use rhubarb_e2e::{call, process, site};
use rhubarb_fakes::raw;
use rhubarb_node::client;

/// Events of one answer; each takes 20 ms.
const EVENTS: u64 = 20;
/// Time from the first request to the end of a server, within which answers have begun.
const BEGIN_TIME: time::Duration = time::Duration::from_millis(150);
/// Requests at once, and rounds of them.
const CALLS: usize = 12;
const ROUNDS: usize = 5;

// A deployment with one entry before servers of one service.
struct Deployment {
    site: site::Site,
    servers: Vec<process::Process>,
    is_engine: bool,
    log: path::PathBuf,
}

impl Deployment {
    async fn start(is_engine: bool) -> anyhow::Result<Deployment> {
        let sizes = site::Sizes { edges: 0, plain: 0, decode: 0, ..site::Sizes::default() };
        let site = site::Site::prepare(sizes).await?;
        let log = env::temp_dir().join(format!("rhubarb-ends-{}.log", rand::random::<u64>()));
        let mut deployment = Deployment { site, servers: Vec::new(), is_engine, log };
        for _ in 0..3 {
            deployment.add_server()?;
        }
        deployment.site.add_edge().await?;
        deployment.site.wait_ready().await?;
        Ok(deployment)
    }

    fn add_server(&mut self) -> anyhow::Result<()> {
        let known = self.site.prefill[0].address();
        let ip = known.map_or(net::Ipv4Addr::LOCALHOST.into(), |address| address.ip());
        let (listen, events) = (format!("{ip}:0"), EVENTS.to_string());
        let args = ["--listen", &listen, "--events", &events];
        let server = process::Process::start("rhubarb-fakes", &args, &self.log)?;
        let mut row = json!({
            "service": "plain", "address": server.http, "zone": "hall-a", "version": "v1",
            "batch_slots": 64, "state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": 1,
        });
        if self.is_engine {
            (row["service"], row["stage"]) = (json!("models"), json!("decode"));
        }
        let id = format!("i-raw-{}", server.id());
        self.site.store.put("servers", &id, row.to_string());
        self.servers.push(server);
        Ok(())
    }

    // Kills a server in the middle of requests for `path`; returns their answers.
    async fn kill_during(&mut self, path: &'static str) -> anyhow::Result<Vec<call::Received>> {
        let address = self.site.edges[0].frontend;
        let mut calls = task::JoinSet::new();
        for _ in 0..CALLS {
            let attempt = format!("a-{}", rand::random::<u64>());
            calls.spawn(async move {
                let call = call::Call { path, attempt: &attempt, body: "b", headers: &[] };
                call.receive(&client::Client::new(), Method::POST, address).await
            });
        }
        tokio::time::sleep(BEGIN_TIME).await;
        let mut killed = self.servers.remove(0);
        killed.kill();
        let received = calls.join_all().await.into_iter().filter_map(Result::ok).collect();
        self.site.store.remove("servers", &format!("i-raw-{}", killed.id()));
        self.add_server()?;
        tokio::time::sleep(time::Duration::from_millis(300)).await;
        Ok(received)
    }
}

// Answers that look whole are, and others are parts of them.
async fn check(is_engine: bool, path: &'static str, goes_on: bool) -> anyhow::Result<()> {
    let mut deployment = Deployment::start(is_engine).await?;
    let whole = raw::events(0..EVENTS);
    let mut cut = Vec::new();
    for round in 0..ROUNDS {
        for received in deployment.kill_during(path).await? {
            let is_success = received.status == 200;
            let log = || deployment.site.edges[0].log();
            assert!(!is_success || whole.starts_with(&received.text), "{received:?}\n{}", log());
            let looks_whole = is_success && received.is_whole;
            assert!(
                !looks_whole || received.text == whole,
                "round {round}: {received:?}\n{}",
                log()
            );
            if !looks_whole {
                cut.push(format!("round {round}: {received:?}"));
            }
        }
    }
    let log = || deployment.site.edges[0].log();
    assert_eq!(cut.is_empty(), goes_on, "answers were cut off: {cut:#?}\n{}", log());
    Ok(())
}

// Guards against a stream that looks complete though its server was killed between two events (issue 50,
// ORDER).
#[tokio::test]
async fn killed_stream() -> anyhow::Result<()> {
    check(true, site::STREAM, false).await
}

// The same for a stream that goes on at another server.
#[tokio::test]
async fn killed_resumable() -> anyhow::Result<()> {
    check(true, site::RESUMABLE, true).await
}

// The same for a plain answer that cannot be asked for again.
#[tokio::test]
async fn killed_unsafe() -> anyhow::Result<()> {
    check(false, site::UNSAFE, false).await
}

// The same for one that can.
#[tokio::test]
async fn killed_safe() -> anyhow::Result<()> {
    check(false, site::SAFE, true).await
}
