//! Latency of calls through an entry and an agent, compared with direct calls to the engines in the
//! same run, and the cost of a connection for each call.
//!
//! `cargo build --release --bins && cargo bench -p rhubarb-e2e` prints the table.

use std::{fs, time};

use serde_json::json;

use rhubarb_e2e::stack;
use rhubarb_node::client;

/// Number of calls of each kind.
const CALLS: usize = 200;
/// Number of tokens of each completion.
const TOKENS: u32 = 16;
/// Number of direct calls on kept connections, and on a connection each.
const DIRECT_CALLS: u32 = 5000;
/// Unit of processor time in proc(5), 1/100 s on Linux.
const TICK: time::Duration = time::Duration::from_millis(10);
const TIMEOUT: time::Duration = time::Duration::from_secs(10);

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let stack = stack::Stack::start(stack::Plan::default()).await?;
    stack.wait_usable().await;
    let direct = client::Client::new();
    let caller = stack.caller(0);
    let mut samples = [const { Vec::new() }; 4];
    for number in 0..CALLS {
        let prompt = format!("long lot {number}");
        samples[0].push(complete_direct(&stack, &direct, &prompt).await?);
        let reply = caller.complete(&prompt, TOKENS).await?;
        anyhow::ensure!(reply.status == 200, "the entry responded: {}", reply.body);
        samples[1].push(reply.elapsed);
        samples[2].push(call_direct(&stack, &direct).await?);
        samples[3].push(caller.call(hyper::Method::GET, "/yard-app/x", &[], "").await?.elapsed);
    }
    println!("| call | median | 95th percentile |\n|---|---:|---:|");
    let names = ["completion, direct", "completion, path", "plain, direct", "plain, path"];
    for (name, samples) in names.iter().zip(&mut samples) {
        samples.sort();
        let millis = |rank: usize| samples[rank].as_secs_f64() * 1000.0;
        println!("| {name} | {:.2} ms | {:.2} ms |", millis(CALLS / 2), millis(CALLS * 95 / 100));
    }
    println!(
        "\n| connection | median | processor, caller | processor, server |\n|---|---:|---:|---:|"
    );
    compare_connections(&stack, "kept", &client::Client::new()).await?;
    compare_connections(&stack, "for each call", &client::Client::for_local()).await
}

// Prints the time of a direct call and the processor time that it costs at both ends.
async fn compare_connections(
    stack: &stack::Stack,
    name: &str,
    client: &client::Client,
) -> anyhow::Result<()> {
    let times = || anyhow::Ok((processor_time("self")?, processor_time(&stack.fakes.id())?));
    let mut samples = Vec::new();
    let before = times()?;
    for _ in 0..DIRECT_CALLS {
        samples.push(call_direct(stack, client).await?);
    }
    let after = times()?;
    samples.sort();
    let micros = |time: time::Duration| time.as_secs_f64() * 1_000_000.0;
    let a_call = |time: time::Duration| micros(time) / f64::from(DIRECT_CALLS);
    let median = micros(samples[samples.len() / 2]);
    let (caller, server) = (a_call(after.0 - before.0), a_call(after.1 - before.1));
    println!("| {name} | {median:.0} µs | {caller:.0} µs | {server:.0} µs |");
    Ok(())
}

// User and system time of a process, fields 14 and 15 of its `stat`.
fn processor_time(process: &str) -> anyhow::Result<time::Duration> {
    let stat = fs::read_to_string(format!("/proc/{process}/stat"))?;
    let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace();
    let ticks = fields.skip(11).take(2).map(str::parse::<u32>);
    Ok(TICK * ticks.sum::<Result<u32, _>>()?)
}

async fn complete_direct(
    stack: &stack::Stack,
    direct: &client::Client,
    prompt: &str,
) -> anyhow::Result<time::Duration> {
    let base = format!("http://{}/engine", stack.fakes.http);
    let start = time::Instant::now();
    let id = prompt.replace(' ', "-");
    let body = json!({ "id": id, "prompt": prompt });
    let reply = direct.post_json(&format!("{base}/prefill-1/prefill"), &body, TIMEOUT).await?;
    let prefilled: serde_json::Value = serde_json::from_slice(&reply.body)?;
    let body = json!({
        "id": id,
        "prompt": prompt,
        "max_tokens": TOKENS,
        "skip": 0,
        "source": prefilled["source"],
        "handle": prefilled["handle"],
        "key": null,
    });
    let reply = direct.post_json(&format!("{base}/decode-1/decode"), &body, TIMEOUT).await?;
    anyhow::ensure!(reply.status == 200, "the engine responded with {}", reply.status);
    Ok(start.elapsed())
}

async fn call_direct(
    stack: &stack::Stack,
    direct: &client::Client,
) -> anyhow::Result<time::Duration> {
    let start = time::Instant::now();
    direct.get(&format!("http://{}/plain/yard-1/x", stack.fakes.http), TIMEOUT).await?;
    Ok(start.elapsed())
}
