//! What the exchange between entries costs each of them, idle and under streams.
//!
//! `cargo build --release --bins && cargo bench -p rhubarb-e2e --bench exchange` prints the table.

use std::time;

use hyper::Method;

use rhubarb_e2e::{call, site};

/// Entries of a deployment.
const COUNTS: [usize; 3] = [5, 24, 200];
const SETTLE: time::Duration = time::Duration::from_secs(8);
const SPAN: time::Duration = time::Duration::from_secs(10);
/// Streams that are open at the same time, over all entries.
const STREAMS: usize = 24;

#[derive(Clone, Copy, Default)]
struct Sample {
    datagrams: u64,
    bytes: u64,
    processor: time::Duration,
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    println!("| entries | load | streams/s | datagrams/s | bytes/s | processor |");
    println!("|---:|---|---:|---:|---:|---:|");
    for count in COUNTS {
        let sizes = site::Sizes { edges: count, prefill: 2, decode: 6, ..Default::default() };
        let site = site::Site::start(sizes).await?;
        tokio::time::sleep(SETTLE).await;
        let before = sample(&site).await?;
        tokio::time::sleep(SPAN).await;
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
        sum.processor += edge.cpu_time()?;
    }
    Ok(sum)
}

// Calls one stream after another on each of some tasks; returns how many were whole.
async fn load(site: &site::Site) -> usize {
    let until = time::Instant::now() + SPAN;
    let callers = (0..STREAMS).map(|caller| {
        let edges: Vec<_> = site.edges.iter().map(|edge| edge.frontend).collect();
        tokio::spawn(async move {
            let client = rhubarb_node::client::Client::new();
            let mut whole = 0;
            let mut number = caller;
            while time::Instant::now() < until {
                let attempt = format!("a{number}");
                let path = site::RESUMABLE;
                let call = call::Call { path, attempt: &attempt, body: "body", headers: &[] };
                let sent = call.send(&client, Method::POST, edges[number % edges.len()]).await;
                whole += usize::from(sent.is_ok_and(|reply| reply.status == 200));
                number += STREAMS;
            }
            whole
        })
    });
    let mut whole = 0;
    for caller in callers.collect::<Vec<_>>() {
        whole += caller.await.unwrap_or(0);
    }
    whole
}

fn print(load: &str, count: usize, streams: usize, from: Sample, to: Sample) {
    let each = |total: f64| total / count as f64 / SPAN.as_secs_f64();
    let datagrams = each((to.datagrams - from.datagrams) as f64);
    let bytes = each((to.bytes - from.bytes) as f64);
    let processor = each((to.processor - from.processor).as_secs_f64()) * 100.0;
    let rate = streams as f64 / SPAN.as_secs_f64();
    println!("| {count} | {load} | {rate:.0} | {datagrams:.1} | {bytes:.0} | {processor:.2} % |");
}
