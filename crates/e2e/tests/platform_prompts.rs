//! Prompts with a part that crashes the engines that answer them.

use std::{net, time};

use hyper::Method;
use rustix::process as signals;
use tokio::task;

use rhubarb_e2e::{call, site};
use rhubarb_fakes::{backend, caller, crash, store};
use rhubarb_node::client;

/// Part that all requests of a test share.
const FIRST: &str = "f1";
/// Part that crashes engines.
const DEADLY: &str = "dead";
/// Time within which an entry uses what other entries have learned (`contact_ms` of the platform).
const CONTACT: time::Duration = time::Duration::from_millis(3_000);
/// Number of crashes after which the entries must know the part.
const KNOWN_AFTER: u64 = 5;
/// Number of requests with the part that may still reach servers.
const MAX_LATE: usize = 3;

async fn start(edges: usize) -> anyhow::Result<site::Site> {
    let sizes = site::Sizes {
        edges,
        plain: 0,
        prefill: 2,
        decode: 6,
        relays: false,
        direct: false,
        plain_direct: false,
    };
    let site = site::Site::start(sizes).await?;
    site.decode.iter().for_each(|engine| engine.set_deadly_part(DEADLY));
    tokio::spawn(site::register_again(site.store.clone(), site.decode.clone()));
    Ok(site)
}

fn crashes(site: &site::Site) -> u64 {
    site.decode.iter().map(backend::Backend::restarts).sum()
}

// Number of requests whose attempt ids start with `prefix` that reached servers.
fn arrivals(site: &site::Site, prefix: &str) -> usize {
    let arrivals = site.servers().into_iter().flat_map(|server| server.arrivals());
    arrivals.filter(|arrival| arrival.attempt.starts_with(prefix)).count()
}

async fn send(
    site: &site::Site,
    edge: usize,
    attempt: &str,
    parts: &[&str],
) -> anyhow::Result<call::Reply> {
    post(site.edges[edge % site.edges.len()].frontend, attempt, parts).await
}

// Sends a request whose prompt has `parts` and a last part of its own. No two requests are alike.
async fn post(
    address: net::SocketAddr,
    attempt: &str,
    parts: &[&str],
) -> anyhow::Result<call::Reply> {
    let parts: Vec<_> = parts.iter().map(|part| format!("{part}:100")).collect();
    let prompt = format!("{},{}:50", parts.join(","), attempt.len());
    let headers = [(caller::PROMPT, prompt.as_str())];
    let call = call::Call { path: site::RESUMABLE, attempt, body: attempt, headers: &headers };
    Ok(call.send(&client::Client::new(), Method::POST, address).await?)
}

// Sends requests with the deadly part to all entries in turn until engines have fallen often enough,
// at most `most` requests.
async fn spread_crashes(site: &site::Site, most: usize) -> anyhow::Result<()> {
    for number in 0..most {
        if crashes(site) >= KNOWN_AFTER {
            break;
        }
        send(site, number, &format!("early-{number}"), &[FIRST, DEADLY]).await?;
    }
    // The last engine that fell is up again.
    tokio::time::sleep(crash::DOWN_TIME.max(CONTACT)).await;
    Ok(())
}

// Guards against requests with a part that crashes engines being sent on to one engine after the
// other, by all entries (issue 29, BUDGET), and against the rejection of sound requests beside them
// (LOST).
#[tokio::test]
async fn crashes_end() -> anyhow::Result<()> {
    let site = start(3).await?;
    spread_crashes(&site, 12).await?;
    check_late(&site).await
}

// Requests with the deadly part are rejected by all entries, and others are served.
async fn check_late(site: &site::Site) -> anyhow::Result<()> {
    let before = crashes(site);
    for number in 0..9 {
        let reply = send(site, number, &format!("late-{number}"), &[FIRST, DEADLY]).await?;
        assert!(reply.is_local() && reply.status >= 400, "{reply:?}");
        let reply = send(site, number, &format!("sound-{number}"), &[FIRST]).await?;
        assert_eq!((reply.status, reply.body), (200, Some(site::full_stream())));
    }
    let late = arrivals(site, "late-");
    assert!(late <= MAX_LATE, "{late} late requests, {before} and {} crashes", crashes(site));
    Ok(())
}

// Guards against engines that fall anew whenever all entries have been restarted.
#[tokio::test]
async fn all_restarted() -> anyhow::Result<()> {
    let mut site = start(3).await?;
    spread_crashes(&site, 12).await?;
    for number in 0..site.edges.len() {
        site.restart_edge(number)?;
    }
    site.wait_ready().await?;
    tokio::time::sleep(CONTACT).await;
    check_late(&site).await
}

// Entries need no store to learn of crashes.
#[tokio::test]
async fn store_away() -> anyhow::Result<()> {
    let mut site = start(3).await?;
    site.store.set_mode(store::Mode::Unresponsive);
    spread_crashes(&site, 12).await?;
    site.restart_edge(1)?;
    tokio::time::sleep(CONTACT).await;
    check_late(&site).await
}

// An entry that slept through the crashes learns of them from the others.
#[tokio::test]
async fn entry_woken() -> anyhow::Result<()> {
    let site = start(3).await?;
    site.edges[2].signal(signals::Signal::STOP);
    for number in 0..12 {
        if crashes(&site) >= 3 {
            break;
        }
        send(&site, number % 2, &format!("early-{number}"), &[FIRST, DEADLY]).await?;
    }
    site.edges[2].signal(signals::Signal::CONT);
    tokio::time::sleep(CONTACT).await;
    check_late(&site).await
}

// The final answer stops repeats, and does not promise that a request that ran has not run.
#[tokio::test]
async fn final_answers() -> anyhow::Result<()> {
    let site = start(1).await?;
    spread_crashes(&site, 4).await?;
    let reply = send(&site, 0, "late-0", &[FIRST, DEADLY]).await?;
    assert_eq!(reply.status, 400, "{reply:?}");
    assert!(reply.body.unwrap_or_default().contains("crashing-prompt (not-run)"));
    assert!(!reply.headers.contains_key("retry-after"));
    // Not the last part, which belongs to the request.
    let reply = send(&site, 0, "own", &[FIRST]).await?;
    assert_eq!(reply.status, 200, "{reply:?}");
    // Requests that ran at a server that crashed and are not repeated.
    for number in 0..4 {
        let attempt = format!("early-{number}");
        let answers = site.decode.iter().map(|engine| engine.runs());
        let runs: u32 = answers.filter_map(|runs| runs.get(&attempt).copied()).sum();
        assert!(runs <= site::MAX_ATTEMPTS, "{attempt} ran {runs} times");
    }
    Ok(())
}

// A crash of another cause ends no answer that can go on elsewhere, and rejects nothing.
#[tokio::test]
async fn other_crashes() -> anyhow::Result<()> {
    let site = start(2).await?;
    for round in 0..4 {
        let mut calls = task::JoinSet::new();
        for number in 0..12 {
            let address = site.edges[number % 2].frontend;
            let attempt = format!("sound-{round}-{number}");
            calls.spawn(async move { post(address, &attempt, &[FIRST, "f2"]).await });
        }
        tokio::time::sleep(time::Duration::from_millis(60)).await;
        site.decode[round].crash();
        for reply in calls.join_all().await {
            let reply = reply?;
            assert_eq!((reply.status, reply.body), (200, Some(site::full_stream())));
        }
    }
    for edge in &site.edges {
        assert!(!edge.log().contains("cause of crashes rejected"));
    }
    Ok(())
}

// Guards against requests that ask engines for memory without a pause while all of them are down.
#[tokio::test]
async fn engines_down() -> anyhow::Result<()> {
    let site = start(1).await?;
    send(&site, 0, "first", &[FIRST]).await?;
    site.decode.iter().for_each(backend::Backend::crash);
    let mut calls = task::JoinSet::new();
    for number in 0..5 {
        let address = site.edges[0].frontend;
        let attempt = format!("sound-{number}");
        calls.spawn(async move { post(address, &attempt, &[FIRST]).await });
    }
    calls.join_all().await;
    let log = site.edges[0].log();
    let asked = log.lines().filter(|line| line.contains("hold request failed")).count();
    assert!(asked < 300, "{asked} requests for memory within a second");
    Ok(())
}

// A rejected part that is sound, or no longer crashes servers, is found out by a trial.
#[tokio::test]
async fn wrong_verdict_ends() -> anyhow::Result<()> {
    let site = start(2).await?;
    spread_crashes(&site, 12).await?;
    site.decode.iter().for_each(|engine| engine.set_deadly_part(""));
    let start = time::Instant::now();
    let mut number = 0;
    while send(&site, number, &format!("late-{number}"), &[FIRST, DEADLY]).await?.status != 200 {
        assert!(start.elapsed() < time::Duration::from_secs(80), "the part is still rejected");
        tokio::time::sleep(time::Duration::from_millis(100)).await;
        number += 1;
    }
    let reply = send(&site, number + 1, "last", &[FIRST, DEADLY]).await?;
    assert_eq!(reply.status, 200, "the other entry knows it, too");
    Ok(())
}
