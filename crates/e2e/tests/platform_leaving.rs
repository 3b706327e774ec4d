//! Servers that leave get no new requests, also when the store's feeds tell nothing.

use std::time;

use hyper::Method;

use rhubarb_e2e::{relay, site};
use rhubarb_fakes::{backend, store};

/// Time after a fault of its connections within which an entry may act on old information
/// (`contact_ms`).
const CONTACT: time::Duration = time::Duration::from_millis(3_000);
/// Time after which a server that leaves gets no more requests (`drain_ms`).
const DRAIN: time::Duration = time::Duration::from_millis(2_000);
/// Requests sent through each entry once no more may reach the server.
const CALLS: usize = 40;
/// Requests of each kind where several kinds are sent.
const MIXED_CALLS: usize = 8;
/// Time from the last answer of a process to the start of the next: starts are told in milliseconds.
const START_TIME: time::Duration = time::Duration::from_millis(3);

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

// Guards against requests to a server that leaves while the entry whose feed is checked often is cut
// off from the store: the silent feeds of the others were given up after 21 s only.
#[tokio::test]
async fn silent_without_leader() -> anyhow::Result<()> {
    let sizes = site::Sizes { edges: 3, relays: true, ..site::Sizes::default() };
    let site = site::Site::start(sizes).await?;
    // Until the entries know each other and their feeds are open.
    tokio::time::sleep(time::Duration::from_secs(2)).await;
    site.store_relays[0].set_modes(relay::Mode::Buffer, relay::Mode::Buffer);
    for relay in &site.store_relays[1..] {
        relay.blackhole();
    }
    let silent_at = time::Instant::now();
    tokio::time::sleep(time::Duration::from_millis(500)).await;
    site.announce(&site.plain[0], "draining");
    let bound = (silent_at + CONTACT).max(time::Instant::now() + DRAIN);
    tokio::time::sleep_until(bound.into()).await;
    let before = site.plain[0].requests().len();
    for number in 0..CALLS {
        for edge in &site.edges[1..] {
            let attempt = format!("late-{number}-{}", edge.frontend);
            let reply = edge.call(Method::POST, site::SAFE, &attempt, "b").await?;
            assert_eq!(reply.status, 200, "{reply:?}");
        }
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
    let late = site.plain[0].requests().len() - before;
    assert_eq!(late, 0, "of {} requests", CALLS * (sizes.edges - 1));
    Ok(())
}

// A deployment with enough servers that each kind of work can go elsewhere.
async fn start() -> anyhow::Result<site::Site> {
    site::Site::start(site::Sizes { plain: 2, prefill: 2, decode: 2, ..site::Sizes::default() })
        .await
}

// Sends requests of all kinds until `server` has answered one, so that the entry has heard what it
// announces.
async fn hear_from(site: &site::Site, server: &backend::Backend) -> anyhow::Result<()> {
    let before = server.arrivals().len();
    for number in 0..CALLS {
        if server.arrivals().len() > before {
            return Ok(());
        }
        for path in [site::RESUMABLE, site::SAFE] {
            let attempt = format!("hear-{}-{number}-{}", server.id, path.replace('/', "-"));
            site.edges[0].call(Method::POST, path, &attempt, "b").await?;
        }
    }
    anyhow::bail!("{} gets no requests: {}", server.id, site.edges[0].log())
}

// Work that arrives at a server: all but what frees memory.
fn work(server: &backend::Backend) -> usize {
    let arrivals = server.arrivals();
    arrivals.iter().filter(|arrival| arrival.method != Method::DELETE).count()
}

// Guards against requests to a server that has said in an answer that it leaves, whatever its row in
// the store says and while the store is away: only the row counted.
#[tokio::test]
async fn said_in_answers() -> anyhow::Result<()> {
    for mode in [store::Mode::Up, store::Mode::Busy, store::Mode::Unresponsive] {
        let site = start().await?;
        site.store.set_mode(mode);
        let leaving = [&site.plain[0], &site.prefill[0], &site.decode[0]];
        for server in leaving {
            server.set_leaving(true);
            hear_from(&site, server).await?;
        }
        // The rows still say that the servers are ready, also when they are written again.
        for server in leaving {
            site.announce(server, "ready");
        }
        tokio::time::sleep(DRAIN).await;
        let before = leaving.map(work);
        for number in 0..MIXED_CALLS {
            for path in [site::RESUMABLE, site::STREAM, site::SAFE, site::UNSAFE] {
                let attempt = format!("late-{number}-{}", path.replace('/', "-"));
                let reply = site.edges[0].call(Method::POST, path, &attempt, "b").await?;
                assert_eq!(reply.status, 200, "{mode:?}: {reply:?}");
            }
        }
        assert_eq!(leaving.map(work), before, "{mode:?}");
        let log = site.edges[0].log();
        assert!(log.contains(r#""source":"answer""#), "{mode:?}: {log}");
    }
    Ok(())
}

// Guards against callers that wait for a service whose servers all leave.
#[tokio::test]
async fn all_leaving() -> anyhow::Result<()> {
    let site = start().await?;
    for server in site.servers() {
        server.set_leaving(true);
        // Engines that get no requests once the others leave say it in the store only.
        if !site.plain.iter().any(|plain| plain.id == server.id) {
            site.announce(&server, "draining");
        }
    }
    // Until the entry has heard it from all.
    for number in 0..CALLS {
        for path in [site::RESUMABLE, site::SAFE] {
            let attempt = format!("hear-{number}-{}", path.replace('/', "-"));
            site.edges[0].call(Method::POST, path, &attempt, "b").await?;
        }
    }
    for (number, path) in
        [site::RESUMABLE, site::STREAM, site::SAFE, site::UNSAFE].iter().enumerate()
    {
        let reply = site.edges[0].call(Method::POST, path, &format!("late-{number}"), "b").await?;
        assert_eq!(reply.status, 503, "{path}: {reply:?}");
        assert!(reply.elapsed < time::Duration::from_millis(200), "{path}: {reply:?}");
        let retry = reply.headers.get("retry-after").and_then(|value| value.to_str().ok());
        let seconds: f64 = retry.unwrap_or_default().parse()?;
        assert!((1.0..=2.5).contains(&seconds), "{path}: {seconds} s");
    }
    Ok(())
}

// Guards against the second leg of a request at an engine that says that it leaves in its answer to
// the hold: the stream goes on at the other engine with its prefill, and runs once.
#[tokio::test]
async fn leaving_with_hold() -> anyhow::Result<()> {
    let site = start().await?;
    let (leaving, other) = (&site.decode[0], &site.decode[1]);
    leaving.set_leaving(true);
    for number in 0..MIXED_CALLS {
        let attempt = format!("held-{number}");
        let reply = site.edges[0].call(Method::POST, site::STREAM, &attempt, "b").await?;
        assert_eq!((reply.status, site.runs(&attempt)), (200, 1), "{reply:?}");
    }
    assert!(work(leaving) > 0, "no hold was requested");
    assert_eq!(leaving.requests().len(), 0, "a run reached the engine");
    assert!(other.requests().iter().all(|seen| seen.headers.contains_key("x-kv-source")));
    Ok(())
}

// A server that starts again under its id is used, whatever the process before it said.
#[tokio::test]
async fn restarted_after_leaving() -> anyhow::Result<()> {
    let site = start().await?;
    let server = &site.plain[0];
    server.set_leaving(true);
    hear_from(&site, server).await?;
    server.set_leaving(false);
    // One that starts in the millisecond of the answer may have given it, and waits for a row's lifetime.
    tokio::time::sleep(START_TIME).await;
    server.restart();
    site.announce(server, "ready");
    tokio::time::sleep(time::Duration::from_millis(500)).await;
    hear_from(&site, server).await
}
