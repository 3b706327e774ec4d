//! Engines that start again under their ids with another version of their software, before their rows say
//! so, and entries that are killed soon after.

use std::{collections, sync, sync::atomic, time};

use hyper::Method;
use tokio::task;

use rhubarb_e2e::{call, site, takeups};
use rhubarb_fakes::{backend, pace};
use rhubarb_node::client;

const SECOND: &str = "v2";
/// Time in which entries learn of changed rows of servers and record what they use.
const LEARN_TIME: time::Duration = time::Duration::from_millis(2_000);
/// Time for which a replaced engine is down: less than passes between two requests to it.
const DOWN_TIME: time::Duration = time::Duration::from_millis(50);
const COUNT: usize = 8;

async fn start(edges: usize, decode: usize) -> anyhow::Result<site::Site> {
    let sizes = site::Sizes { edges, plain: 0, prefill: 0, decode, ..site::Sizes::default() };
    let site = site::Site::start(sizes).await?;
    tokio::time::sleep(LEARN_TIME).await;
    Ok(site)
}

// Starts an engine again in place with the second version; its row still names the process before.
async fn replace(engine: &backend::Backend) {
    engine.crash_for(DOWN_TIME);
    engine.set_software(SECOND);
    tokio::time::sleep(DOWN_TIME * 4).await;
    assert_eq!(engine.restarts(), 1);
}

fn kill_all(site: &mut site::Site) {
    site.edges.iter_mut().for_each(|edge| edge.kill());
}

async fn restart_all(site: &mut site::Site) -> anyhow::Result<()> {
    for edge in 0..site.edges.len() {
        site.restart_edge(edge)?;
    }
    site.wait_ready().await?;
    tokio::time::sleep(LEARN_TIME).await;
    Ok(())
}

// Streams begin after an engine was replaced, then all entries are killed before or after its row names
// the new process. Those that are taken up go on at the version that began them, and none is refused.
async fn killed_in_doubt(is_registered: bool) -> anyhow::Result<()> {
    let mut site = start(3, 3).await?;
    replace(&site.decode[2]).await;
    let mut begun = collections::BTreeMap::new();
    for edge in 0..3 {
        begun.extend(takeups::begin(&site, edge, COUNT).await?);
    }
    let begun_at: collections::BTreeSet<_> = begun.values().map(String::as_str).collect();
    let logs: Vec<_> = site.edges.iter().map(rhubarb_e2e::edge::Edge::log).collect();
    if is_registered {
        site.announce(&site.decode[2], "ready");
        tokio::time::sleep(time::Duration::from_millis(100)).await;
    }
    kill_all(&mut site);
    if !is_registered {
        site.announce(&site.decode[2], "ready");
    }
    restart_all(&mut site).await?;
    for edge in 0..3 {
        let resumed = takeups::resume_all(&site, edge, &begun).await?;
        assert_eq!(resumed, begun.len(), "at entry {edge}\n{}", site.edges[edge].log());
    }
    assert_eq!(begun_at, [backend::FIRST_SOFTWARE].into(), "{}", logs.join("\n\n"));
    Ok(())
}

// Guards against streams that begin at a process which no row names yet: once all entries have ended they are
// put down to the version of the process before (review case 6, ORDER). No entry has noticed that the
// engine was down.
#[tokio::test]
async fn killed_before_row() -> anyhow::Result<()> {
    killed_in_doubt(false).await
}

// The same where the row came, but the entries were killed before the streams were on record.
#[tokio::test]
async fn killed_after_row() -> anyhow::Result<()> {
    killed_in_doubt(true).await
}

// Guards against streams that nobody can take up, since the engine that began them has started again in place
// with another version: the process that began them was known (review case 14, LOST).
#[tokio::test]
async fn begun_before() -> anyhow::Result<()> {
    let site = start(3, 3).await?;
    let mut begun = collections::BTreeMap::new();
    for edge in 0..3 {
        begun.extend(takeups::begin(&site, edge, COUNT).await?);
    }
    let engine = &site.decode[2];
    assert!(!engine.requests().is_empty(), "no stream began at the engine that is replaced");
    replace(engine).await;
    site.announce(engine, "ready");
    tokio::time::sleep(LEARN_TIME).await;
    for edge in 0..3 {
        let resumed = takeups::resume_all(&site, edge, &begun).await?;
        assert_eq!(resumed, begun.len(), "at entry {edge}\n{}", site.edges[edge].log());
    }
    Ok(())
}

// The same for two replacements before one row: the second process has the version of the first again.
#[tokio::test]
async fn replaced_twice() -> anyhow::Result<()> {
    let mut site = start(2, 2).await?;
    let engine = site.decode[1].clone();
    replace(&engine).await;
    let second = site::server_row(&engine).to_string();
    engine.crash_for(DOWN_TIME);
    engine.set_software(backend::FIRST_SOFTWARE);
    tokio::time::sleep(DOWN_TIME * 4).await;
    // The row of the process between is older than the one that runs.
    site.store.put("servers", &engine.id, second);
    tokio::time::sleep(LEARN_TIME).await;
    let begun = takeups::begin(&site, 0, COUNT).await?;
    assert!(engine.requests().is_empty(), "{}", site.edges[0].log());
    kill_all(&mut site);
    restart_all(&mut site).await?;
    takeups::resume_all(&site, 1, &begun).await?;
    Ok(())
}

// An engine that is alone serves nothing until its row names the process that runs; then it does.
#[tokio::test]
async fn alone_until_registered() -> anyhow::Result<()> {
    let site = start(1, 1).await?;
    let engine = &site.decode[0];
    replace(engine).await;
    for number in 0..3 {
        let attempt = format!("early-{number}");
        let reply = site.edges[0].call(Method::POST, site::RESUMABLE, &attempt, "b").await?;
        assert_eq!(reply.status, 503, "{reply:?}");
        assert!(reply.elapsed < site::STREAM_TIMEOUT / 2, "{reply:?}");
    }
    assert!(engine.requests().is_empty());
    site.announce(engine, "ready");
    tokio::time::sleep(LEARN_TIME).await;
    let begun = takeups::begin(&site, 0, COUNT).await?;
    assert!(begun.values().all(|version| version == SECOND), "{begun:?}");
    Ok(())
}

// A prompt is not read by an engine of another version than the one that goes on with it.
#[tokio::test]
async fn prefill_replaced() -> anyhow::Result<()> {
    let sizes = site::Sizes { edges: 1, plain: 0, prefill: 2, decode: 3, ..site::Sizes::default() };
    let site = site::Site::start(sizes).await?;
    tokio::time::sleep(LEARN_TIME).await;
    let engine = &site.prefill[1];
    replace(engine).await;
    let begun = takeups::begin(&site, 0, COUNT * 2).await?;
    assert_eq!(begun.len(), COUNT * 2);
    let is_prompt = |method: &Method| *method == Method::POST;
    let at = |engine: &backend::Backend| {
        engine.arrivals().iter().filter(|arrival| is_prompt(&arrival.method)).count()
    };
    assert_eq!(at(engine), 0, "{}", site.edges[0].log());
    assert!(at(&site.prefill[0]) > 0);
    Ok(())
}

/// Shape of review case 6 with all entries: engines of a quarter of the service are replaced while streams
/// begin, and all entries are killed shortly after their rows.
mod herd {
    use super::*;

    pub const ENGINES: usize = 12;
    pub const REPLACED: usize = 3;
    pub const DOWN: time::Duration = time::Duration::from_millis(800);
    pub const REGISTER: time::Duration = time::Duration::from_millis(600);
    pub const BEFORE_KILL: time::Duration = time::Duration::from_millis(150);
    /// Interval between streams: 48 a second.
    pub const INTERVAL: time::Duration = time::Duration::from_millis(21);
    /// Events come at 400 ms instead of 20.
    pub const SLOW: u32 = 2_000;
}

// Guards against streams that are put down to the version before, since their entries and all that knew of a
// doubt have ended (review case 6 with all entries killed, ORDER).
#[tokio::test]
async fn herd_killed() -> anyhow::Result<()> {
    let mut site = start(4, herd::ENGINES).await?;
    for engine in &site.decode {
        engine.set_pace(pace::Pace { nature: herd::SLOW, ..pace::Pace::default() });
    }
    let frontends: Vec<_> = site.edges.iter().map(|edge| edge.frontend).collect();
    let is_over = sync::Arc::new(atomic::AtomicBool::new(false));
    let over = is_over.clone();
    let streams = tokio::spawn(async move {
        let mut calls = task::JoinSet::new();
        let mut number = 0;
        while !over.load(atomic::Ordering::Relaxed) {
            let (address, attempt) = (frontends[number % 4], format!("s{number}"));
            calls.spawn(async move {
                let call = call::Call {
                    path: site::RESUMABLE,
                    attempt: &attempt,
                    body: "b",
                    headers: &[],
                };
                let received =
                    call.receive(&client::Client::new(), Method::POST, address).await.ok()?;
                Some((attempt, received.text))
            });
            number += 1;
            tokio::time::sleep(herd::INTERVAL).await;
        }
        calls.join_all().await
    });
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    let replaced: Vec<_> = site.decode[..herd::REPLACED].to_vec();
    for engine in &replaced {
        engine.crash_for(herd::DOWN);
    }
    tokio::time::sleep(herd::DOWN / 2).await;
    replaced.iter().for_each(|engine| engine.set_software(SECOND));
    tokio::time::sleep(herd::DOWN / 2 + herd::REGISTER).await;
    replaced.iter().for_each(|engine| site.announce(engine, "ready"));
    tokio::time::sleep(herd::BEFORE_KILL).await;
    kill_all(&mut site);
    is_over.store(true, atomic::Ordering::Relaxed);
    let received = streams.await?;
    for engine in &site.decode {
        engine.set_pace(pace::Pace::default());
    }
    for edge in 0..site.edges.len() {
        site.restart_edge(edge)?;
    }
    site.wait_ready().await?;
    let mut broken = collections::BTreeMap::new();
    for (attempt, text) in received.iter().flatten() {
        let events = text.matches("id: ").count() as u64;
        let versions = takeups::versions(text);
        assert!(versions.len() <= 1, "{attempt}: {text}");
        if let Some(version) = versions.first().filter(|_| events < backend::EVENTS) {
            broken.insert(attempt.clone(), version.to_string());
        }
    }
    assert!(broken.len() > herd::ENGINES, "{}", broken.len());
    // Callers come back at once, each at one of the entries.
    let mut parts = vec![collections::BTreeMap::new(); site.edges.len()];
    for (number, (attempt, version)) in broken.into_iter().enumerate() {
        parts[number % site.edges.len()].insert(attempt, version);
    }
    let resume = |edge: usize| takeups::resume_all(&site, edge, &parts[edge]);
    tokio::try_join!(resume(0), resume(1), resume(2), resume(3))?;
    Ok(())
}
