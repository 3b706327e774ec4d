//! Streams that begin beside several software versions are on record before their callers can take them up.

use std::{collections, time};

use hyper::Method;
use tokio::task;

use rhubarb_e2e::{call, site, takeups};
use rhubarb_fakes::store;
use rhubarb_node::client;

/// The second version; the first is that of all servers unless they are given another.
const SECOND: &str = "v2";
/// Time in which entries learn of changed rows of servers.
const LEARN_TIME: time::Duration = time::Duration::from_millis(1_500);
/// Time between two streams, a third of that between two events.
const BEGIN_INTERVAL: time::Duration = time::Duration::from_millis(8);
/// Streams that begin until all entries are killed.
const STREAMS: usize = 24;
/// Rounds in which they are.
const ROUNDS: usize = 3;
/// Time in which streams can be taken up, with that for clocks: nine seconds by the longest timeout, and ten.
const ROW_LIFETIME: time::Duration = time::Duration::from_secs(19);
/// Streams that must have begun for a round to tell something.
const MIN_BEGUN: usize = 4;
/// Longest time to a first event while the store takes no records, for streams after the first ones.
const MAX_FIRST: time::Duration = time::Duration::from_millis(250);

// Starts a deployment whose engines with odd numbers have the second version.
async fn start(edges: usize) -> anyhow::Result<site::Site> {
    let sizes = site::Sizes { edges, plain: 0, prefill: 2, decode: 4, ..site::Sizes::default() };
    let site = site::Site::start(sizes).await?;
    for engine in [&site.prefill[1], &site.decode[1], &site.decode[3]] {
        engine.set_software(SECOND);
        site.announce(engine, "ready");
    }
    tokio::time::sleep(LEARN_TIME).await;
    Ok(site)
}

// Begins streams at all entries one shortly after the other, and kills the entries meanwhile. Returns the
// version of each stream whose caller has got an event.
async fn begin_and_kill(
    site: &mut site::Site,
    name: &str,
) -> anyhow::Result<collections::BTreeMap<String, String>> {
    let mut calls = task::JoinSet::new();
    for number in 0..STREAMS {
        let address = site.edges[number % site.edges.len()].frontend;
        let attempt = format!("{name}-{number}");
        calls.spawn(async move {
            let call =
                call::Call { path: site::RESUMABLE, attempt: &attempt, body: "b", headers: &[] };
            (attempt.clone(), call.send(&client::Client::new(), Method::POST, address).await)
        });
        tokio::time::sleep(BEGIN_INTERVAL).await;
    }
    site.edges.iter_mut().for_each(|edge| edge.kill());
    let mut begun = collections::BTreeMap::new();
    for (attempt, reply) in calls.join_all().await {
        // One whose answer had not begun is no stream yet.
        let Ok(reply) = reply else { continue };
        if let Some(version) = takeups::versions(&reply.received).into_iter().next() {
            begun.insert(attempt, version.to_string());
        }
    }
    Ok(begun)
}

async fn restart_all(site: &mut site::Site) -> anyhow::Result<()> {
    for number in 0..site.edges.len() {
        site.restart_edge(number)?;
    }
    site.wait_ready().await
}

// Guards against a stream that nobody can take up, since all entries were killed between its first event and
// its record (review case 15, LOST).
#[tokio::test(flavor = "multi_thread")]
async fn killed_after_event() -> anyhow::Result<()> {
    let mut site = start(3).await?;
    for round in 0..ROUNDS {
        let begun = begin_and_kill(&mut site, &format!("first-{round}")).await?;
        anyhow::ensure!(begun.len() >= MIN_BEGUN, "round {round}: {begun:?}");
        restart_all(&mut site).await?;
        let edge = round % site.edges.len();
        let resumed = takeups::resume_all(&site, edge, &begun).await?;
        assert_eq!(resumed, begun.len(), "round {round}: {}", site.edges[edge].log());
    }
    Ok(())
}

// The same where one entry is killed and those that knew of its streams are as well, a moment later.
#[tokio::test(flavor = "multi_thread")]
async fn killed_in_series() -> anyhow::Result<()> {
    let mut site = start(3).await?;
    let begun = begin_and_kill(&mut site, "first").await?;
    restart_all(&mut site).await?;
    let second = begin_and_kill(&mut site, "second").await?;
    restart_all(&mut site).await?;
    for begun in [begun, second] {
        let resumed = takeups::resume_all(&site, 0, &begun).await?;
        assert_eq!(resumed, begun.len(), "{}", site.edges[0].log());
    }
    Ok(())
}

// Guards against streams that wait for a store which takes no records: the first ones wait a little, later
// ones do not; they are served, and those that begin after the outage are on record again.
#[tokio::test(flavor = "multi_thread")]
async fn store_away() -> anyhow::Result<()> {
    let mut site = start(2).await?;
    for mode in [store::Mode::Busy, store::Mode::Unresponsive] {
        site.store.set_mode(mode);
        takeups::begin_as(&site, 0, &format!("{mode:?}-first"), 2).await?;
        for number in 0..4 {
            let attempt = format!("{mode:?}-{number}");
            let reply = site.edges[0].call(Method::POST, site::RESUMABLE, &attempt, "body").await?;
            assert_eq!(reply.status, 200, "{reply:?}");
            assert!(reply.head_after < MAX_FIRST, "{mode:?}: {reply:?}\n{}", site.edges[0].log());
        }
        site.store.set_mode(store::Mode::Up);
        tokio::time::sleep(LEARN_TIME * 2).await;
    }
    let log = site.edges[0].log();
    assert!(log.contains("stream begins without a record"), "{log}");
    let begun = begin_and_kill(&mut site, "later").await?;
    anyhow::ensure!(begun.len() >= MIN_BEGUN, "{begun:?}");
    restart_all(&mut site).await?;
    let resumed = takeups::resume_all(&site, 1, &begun).await?;
    assert_eq!(resumed, begun.len(), "{}", site.edges[1].log());
    Ok(())
}

// Guards against a row that is removed while its stream can still be taken up, and against rows without end: their
// process removes them with later ones, the leader those of others.
#[tokio::test(flavor = "multi_thread")]
async fn rows_removed() -> anyhow::Result<()> {
    let mut site = start(2).await?;
    let begun = takeups::begin_as(&site, 0, "early", 8).await?;
    let early = site.store.keys("streams");
    assert_eq!(early.len(), begun.len(), "{early:?}");
    tokio::time::sleep(ROW_LIFETIME / 2).await;
    takeups::begin_as(&site, 0, "middle", 4).await?;
    assert!(site.store.keys("streams").is_superset(&early), "removed too soon");
    tokio::time::sleep(ROW_LIFETIME).await;
    let late = takeups::begin_as(&site, 0, "late", 4).await?;
    let after = site.store.keys("streams");
    assert!(after.is_disjoint(&early), "{after:?}\n{}", site.edges[0].log());
    assert!(after.len() >= late.len(), "{after:?}");
    site.edges[0].kill();
    assert_eq!(takeups::resume_all(&site, 1, &late).await?, late.len());
    Ok(())
}
