//! Cost per entry of the state that entries exchange, both idle and under streaming load.
//!
//! `cargo build --release --bins && cargo bench -p rhubarb-e2e --bench exchange` prints the table.

use std::time;

use hyper::Method;

use rhubarb_e2e::{call, site};

/// Numbers of entries to measure.
const ENTRY_COUNTS: [usize; 3] = [5, 24, 200];
/// Time before the first sample.
const WARMUP: time::Duration = time::Duration::from_secs(8);
/// Time between two samples.
const DURATION: time::Duration = time::Duration::from_secs(10);
/// Concurrent streams, over all entries.
const STREAMS: usize = 24;

#[derive(Clone, Copy, Default)]
struct Sample {
    datagrams: u64,
    bytes: u64,
    cpu: time::Duration,
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    println!("| entries | load | streams/s | datagrams/s | bytes/s | processor |");
    println!("|---:|---|---:|---:|---:|---:|");
    for count in ENTRY_COUNTS {
        let sizes = site::Sizes { edges: count, prefill: 2, decode: 6, ..Default::default() };
        let site = site::Site::start(sizes).await?;
        tokio::time::sleep(WARMUP).await;
        let before = sample(&site).await?;
        tokio::time::sleep(DURATION).await;
        let idle = sample(&site).await?;
        let streams = load(&site).await;
        let loaded = sample(&site).await?;
        print("idle", count, 0, before, idle);
        print("streams", count, streams, idle, loaded);
    }
    Ok(())
}

async fn sample(site: &site::Site) -> anyhow::Result<Sample> {
    let mut sum = Sample::default();
    for edge in &site.edges {
        sum.datagrams += edge.counter("rhubarb_edge_shares_sent_total").await?;
        sum.bytes += edge.counter("rhubarb_edge_share_bytes_sent_total").await?;
        sum.cpu += edge.cpu_time()?;
    }
    Ok(sum)
}

// Runs `STREAMS` tasks that each call one stream after another; returns how many streams completed.
async fn load(site: &site::Site) -> usize {
    let deadline = time::Instant::now() + DURATION;
    let callers = (0..STREAMS).map(|caller| {
        let edges: Vec<_> = site.edges.iter().map(|edge| edge.frontend).collect();
        tokio::spawn(async move {
            let client = rhubarb_node::client::Client::new();
            let mut completed = 0;
            let mut number = caller;
            while time::Instant::now() < deadline {
                let attempt = format!("a{number}");
                let path = site::RESUMABLE;
                let call = call::Call { path, attempt: &attempt, body: "body", headers: &[] };
                let sent = call.send(&client, Method::POST, edges[number % edges.len()]).await;
                completed += usize::from(sent.is_ok_and(|reply| reply.status == 200));
                number += STREAMS;
            }
            completed
        })
    });
    let mut completed = 0;
    for caller in callers.collect::<Vec<_>>() {
        completed += caller.await.unwrap_or(0);
    }
    completed
}

fn print(load: &str, count: usize, streams: usize, from: Sample, to: Sample) {
    let per_entry_second = |total: f64| total / count as f64 / DURATION.as_secs_f64();
    let datagrams = per_entry_second((to.datagrams - from.datagrams) as f64);
    let bytes = per_entry_second((to.bytes - from.bytes) as f64);
    let cpu = per_entry_second((to.cpu - from.cpu).as_secs_f64()) * 100.0;
    let rate = streams as f64 / DURATION.as_secs_f64();
    println!("| {count} | {load} | {rate:.0} | {datagrams:.1} | {bytes:.0} | {cpu:.2} % |");
}
