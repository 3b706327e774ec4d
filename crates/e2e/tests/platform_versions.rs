//! Streams while engines of several software versions serve side by side.

use std::{collections, time};

use hyper::Method;
use rustix::process as signals;
use serde_json::json;
use tokio::task;

use rhubarb_e2e::{call, relay, site, takeups};
use rhubarb_fakes::{backend, pace, raw};
use rhubarb_node::clock;

/// The second version; the first is that of all servers unless they are given another.
const SECOND: &str = "v2";
/// Time in which entries learn of changed rows of servers.
const LEARN_TIME: time::Duration = time::Duration::from_millis(1_500);

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

/// Time after which an entry has told others of the streams that it has begun.
const TELL_TIME: time::Duration = time::Duration::from_millis(500);
/// Time after which it has written them to the store.
const STORE_TIME: time::Duration = time::Duration::from_secs(1);

fn engines(site: &site::Site, software: &str) -> Vec<backend::Backend> {
    site.decode.iter().filter(|engine| engine.software() == software).cloned().collect()
}

// Guards against a stream whose caller takes it up at another entry and gets events of another version
// (issue 32, ORDER), and against one that cannot be taken up (LOST).
#[tokio::test]
async fn taken_up() -> anyhow::Result<()> {
    let site = start(3).await?;
    let begun = takeups::begin(&site, 0, 10).await?;
    let names: collections::BTreeSet<_> = begun.values().collect();
    assert_eq!(names.len(), 2, "{begun:?}");
    for edge in [0, 1, 2] {
        assert_eq!(takeups::resume_all(&site, edge, &begun).await?, begun.len(), "at entry {edge}");
    }
    Ok(())
}

// Guards against a stream that cannot be taken up a second time, since its caller names the attempt that
// took it up before (issue 41, LOST).
#[tokio::test]
async fn taken_twice() -> anyhow::Result<()> {
    let site = start(3).await?;
    let begun = takeups::begin(&site, 0, 10).await?;
    assert_eq!(takeups::resume_all(&site, 1, &begun).await?, begun.len());
    let again = begun.iter().map(|(attempt, name)| (format!("{attempt}-again"), name.clone()));
    let again: collections::BTreeMap<_, _> = again.collect();
    for edge in [2, 1] {
        assert_eq!(takeups::resume_all(&site, edge, &again).await?, begun.len(), "at entry {edge}");
    }
    Ok(())
}

// Guards against an entry that goes on with an interrupted stream at another version (issue 32, ORDER).
#[tokio::test]
async fn retried_alike() -> anyhow::Result<()> {
    let site = start(1).await?;
    for fault in [backend::Fault::AbortsStream, backend::Fault::Stalls] {
        for name in [backend::FIRST_SOFTWARE, SECOND] {
            // One engine of the version breaks streams off; the others of all versions are sound.
            let broken = engines(&site, name).remove(0);
            broken.set_fault(fault);
            let begun = takeups::begin(&site, 0, 8).await?;
            assert_eq!(begun.len(), 8);
            broken.set_fault(backend::Fault::None);
        }
    }
    Ok(())
}

// The entry that had the streams is dead: others know them.
#[tokio::test]
async fn entry_dead() -> anyhow::Result<()> {
    let mut site = start(4).await?;
    let begun = takeups::begin(&site, 0, 10).await?;
    tokio::time::sleep(TELL_TIME).await;
    site.edges[0].kill();
    for edge in [1, 2, 3] {
        assert_eq!(takeups::resume_all(&site, edge, &begun).await?, begun.len(), "at entry {edge}");
    }
    Ok(())
}

// The same for one that is frozen, also where a caller comes to an entry that has just started.
#[tokio::test]
async fn entry_frozen() -> anyhow::Result<()> {
    let mut site = start(4).await?;
    let begun = takeups::begin(&site, 0, 10).await?;
    tokio::time::sleep(TELL_TIME).await;
    site.edges[0].signal(signals::Signal::STOP);
    site.restart_edge(1)?;
    tokio::time::sleep(LEARN_TIME).await;
    for edge in [1, 2] {
        assert_eq!(takeups::resume_all(&site, edge, &begun).await?, begun.len(), "at entry {edge}");
    }
    site.edges[0].signal(signals::Signal::CONT);
    Ok(())
}

// A second version that comes after the streams have begun: what was not told before is told then.
#[tokio::test]
async fn version_added() -> anyhow::Result<()> {
    let sizes = site::Sizes { edges: 3, plain: 0, prefill: 1, decode: 4, ..site::Sizes::default() };
    let mut site = site::Site::start(sizes).await?;
    let begun = takeups::begin(&site, 0, 6).await?;
    for number in 0..2 {
        let old = site.decode[number].clone();
        site.upgrade_server(&old, SECOND).await?;
    }
    tokio::time::sleep(LEARN_TIME).await;
    site.edges[0].kill();
    for edge in [1, 2] {
        assert_eq!(takeups::resume_all(&site, edge, &begun).await?, begun.len(), "at entry {edge}");
    }
    Ok(())
}

// With one version streams go on wherever they are taken up, also at an entry that has just started and
// while the one that had them is dead; a header `Resumes` is not needed.
#[tokio::test]
async fn single_version() -> anyhow::Result<()> {
    let sizes = site::Sizes { edges: 3, plain: 0, prefill: 1, decode: 2, ..site::Sizes::default() };
    let mut site = site::Site::start(sizes).await?;
    let begun = takeups::begin(&site, 0, 6).await?;
    site.edges[0].kill();
    site.restart_edge(1)?;
    tokio::time::sleep(LEARN_TIME).await;
    for edge in [1, 2] {
        assert_eq!(takeups::resume_all(&site, edge, &begun).await?, begun.len(), "at entry {edge}");
    }
    let headers = [("last-event-id", "1")];
    let edge = &site.edges[2];
    let reply = edge.call_with(Method::POST, site::RESUMABLE, "a1", "b", &headers).await?;
    assert_eq!(reply.status, 200, "{reply:?}");
    Ok(())
}

// Nobody knows the streams, since all entries have been restarted and the store has been restored from
// a copy without them: they do not go on at a version that may be another, and callers are told when to
// come back. New streams are served.
#[tokio::test]
async fn nobody_knows() -> anyhow::Result<()> {
    let mut site = start(2).await?;
    let copy = site.store.copy();
    let begun = takeups::begin(&site, 0, 6).await?;
    restart_all(&mut site, async |site| {
        let lost = site.store.restore(copy);
        site.store.rewrite(lost);
        Ok(())
    })
    .await?;
    for attempt in begun.keys() {
        let reply = takeups::resume(&site, 1, attempt, 1).await?;
        assert_eq!(reply.status, 503, "{reply:?}");
        assert!(reply.headers.contains_key("retry-after"));
        assert!(reply.body.unwrap_or_default().starts_with("unknown-version (not-run)"));
    }
    assert_eq!(takeups::begin(&site, 1, 4).await?.len(), 4);
    Ok(())
}

// The version that began streams is gone: theirs are rejected at once, the others go on.
#[tokio::test]
async fn version_gone() -> anyhow::Result<()> {
    let site = start(2).await?;
    let begun = takeups::begin(&site, 0, 10).await?;
    for engine in engines(&site, SECOND) {
        site.announce(&engine, "draining");
    }
    tokio::time::sleep(LEARN_TIME).await;
    for (attempt, version) in &begun {
        let reply = takeups::resume(&site, 1, attempt, 1).await?;
        if version == backend::FIRST_SOFTWARE {
            assert_eq!(reply.status, 200, "{reply:?}");
            continue;
        }
        assert_eq!(reply.status, 503, "{reply:?}");
        assert!(reply.elapsed < time::Duration::from_millis(500), "{:?}", reply.elapsed);
        assert!(reply.body.unwrap_or_default().starts_with("version-gone (not-run)"));
    }
    Ok(())
}

// A version that changes under one id while a stream runs: it is not certain which one began it, so that
// it goes on nowhere else.
#[tokio::test]
async fn version_changed() -> anyhow::Result<()> {
    let sizes = site::Sizes { edges: 1, plain: 0, prefill: 1, decode: 2, ..site::Sizes::default() };
    let site = site::Site::start(sizes).await?;
    site.decode.iter().for_each(|engine| engine.set_fault(backend::Fault::Stalls));
    let address = site.edges[0].frontend;
    let stalled = tokio::spawn(async move {
        let call = call::Call { path: site::RESUMABLE, attempt: "a1", body: "b", headers: &[] };
        call.send(&rhubarb_node::client::Client::new(), Method::POST, address).await
    });
    tokio::time::sleep(time::Duration::from_millis(300)).await;
    let runs = |engine: &&backend::Backend| engine.runs().contains_key("a1");
    let began = site.decode.iter().find(runs).expect("the stream has begun");
    for engine in site.decode.iter().filter(|engine| engine.id != began.id) {
        engine.set_fault(backend::Fault::None);
    }
    began.set_software(SECOND);
    site.announce(began, "ready");
    let reply = stalled.await??;
    assert_eq!((reply.status, reply.body), (200, None), "cut off");
    assert_eq!(site.runs("a1"), 1);
    Ok(())
}

// Restarts all entries, which were killed at once; `meanwhile` happens before they start again.
async fn restart_all(
    site: &mut site::Site,
    meanwhile: impl AsyncFnOnce(&mut site::Site) -> anyhow::Result<()>,
) -> anyhow::Result<()> {
    site.edges.iter_mut().for_each(|edge| edge.kill());
    meanwhile(site).await?;
    for number in 0..site.edges.len() {
        site.restart_edge(number)?;
    }
    site.wait_ready().await
}

// Gives the engines that generate tokens another version, under new ids.
async fn upgrade(site: &mut site::Site, software: &str) -> anyhow::Result<()> {
    for number in 0..site.decode.len() {
        let old = site.decode[number].clone();
        site.upgrade_server(&old, software).await?;
    }
    Ok(())
}

async fn start_single() -> anyhow::Result<site::Site> {
    let sizes = site::Sizes { edges: 2, plain: 0, prefill: 0, decode: 2, ..site::Sizes::default() };
    let mut site = site::Site::prepare(sizes).await?;
    site.store.set_era("1");
    for _ in 0..sizes.edges {
        site.add_edge().await?;
    }
    site.wait_ready().await?;
    tokio::time::sleep(LEARN_TIME).await;
    Ok(site)
}

// Guards against streams that nobody can take up after all entries were killed, though there has been
// one version all the time (issue 41, LOST).
#[tokio::test]
async fn all_killed() -> anyhow::Result<()> {
    let mut site = start_single().await?;
    let begun = takeups::begin(&site, 0, 6).await?;
    for _ in 0..2 {
        restart_all(&mut site, async |_| Ok(())).await?;
        for edge in [0, 1] {
            assert_eq!(
                takeups::resume_all(&site, edge, &begun).await?,
                begun.len(),
                "at entry {edge}"
            );
        }
    }
    Ok(())
}

// The same for entries that start anew after a restore of the store, which one of them has survived.
#[tokio::test]
async fn killed_after_restore() -> anyhow::Result<()> {
    let mut site = start_single().await?;
    let copy = site.store.copy();
    let begun = takeups::begin(&site, 0, 6).await?;
    let lost = site.store.restore(copy);
    site.store.rewrite(lost);
    tokio::time::sleep(time::Duration::from_secs(8)).await;
    restart_all(&mut site, async |_| Ok(())).await?;
    assert_eq!(takeups::resume_all(&site, 0, &begun).await?, begun.len());
    Ok(())
}

// The version of the streams leaves while no entry runs: they do not go on at the next one.
#[tokio::test]
async fn left_meanwhile() -> anyhow::Result<()> {
    let mut site = start_single().await?;
    let begun = takeups::begin(&site, 0, 6).await?;
    restart_all(&mut site, async |site| upgrade(site, SECOND).await).await?;
    assert_eq!(takeups::resume_all(&site, 0, &begun).await?, 0);
    assert_eq!(takeups::begin(&site, 1, 4).await?.len(), 4);
    assert_eq!(takeups::resume_all(&site, 1, &begun).await?, 0);
    Ok(())
}

// The store is restored, while no entry runs, from a copy that lacks the version of the streams.
#[tokio::test]
async fn copy_older() -> anyhow::Result<()> {
    let mut site = start_single().await?;
    let copy = site.store.copy();
    upgrade(&mut site, SECOND).await?;
    tokio::time::sleep(LEARN_TIME).await;
    let begun = takeups::begin(&site, 0, 6).await?;
    assert!(begun.values().all(|version| version == SECOND), "{begun:?}");
    upgrade(&mut site, backend::FIRST_SOFTWARE).await?;
    tokio::time::sleep(LEARN_TIME).await;
    restart_all(&mut site, async |site| {
        let lost = site.store.restore(copy);
        site.store.rewrite(lost);
        Ok(())
    })
    .await?;
    assert_eq!(takeups::resume_all(&site, 0, &begun).await?, 0);
    assert_eq!(takeups::begin(&site, 1, 4).await?.len(), 4);
    Ok(())
}

// Guards against streams that nobody can take up after all entries were killed while the service had
// several versions (issue 41, LOST), also those that began just before (review case 15).
#[tokio::test]
async fn all_killed_mixed() -> anyhow::Result<()> {
    let mut site = start(3).await?;
    let mut begun = takeups::begin(&site, 0, 8).await?;
    begun.extend(takeups::begin(&site, 1, 8).await?);
    let names: collections::BTreeSet<_> = begun.values().collect();
    assert_eq!(names.len(), 2, "{begun:?}");
    tokio::time::sleep(STORE_TIME).await;
    begun.extend(takeups::begin(&site, 2, 4).await?);
    for _ in 0..2 {
        restart_all(&mut site, async |_| Ok(())).await?;
        for edge in [0, 1, 2] {
            assert_eq!(
                takeups::resume_all(&site, edge, &begun).await?,
                begun.len(),
                "at entry {edge}"
            );
        }
    }
    Ok(())
}

// A copy of the store may lack what has made streams uncertain: its rows are not believed, unless an
// entry that lived through the restore has written them again.
#[tokio::test]
async fn copied_streams() -> anyhow::Result<()> {
    let mut site = start(2).await?;
    let begun = takeups::begin(&site, 0, 8).await?;
    tokio::time::sleep(STORE_TIME).await;
    let copy = site.store.copy();
    let lost = site.store.restore(copy);
    site.store.rewrite(lost);
    tokio::time::sleep(STORE_TIME * 3).await;
    restart_all(&mut site, async |_| Ok(())).await?;
    assert_eq!(takeups::resume_all(&site, 0, &begun).await?, begun.len());
    restart_all(&mut site, async |site| {
        let copy = site.store.copy();
        let lost = site.store.restore(copy);
        site.store.rewrite(lost);
        Ok(())
    })
    .await?;
    assert_eq!(takeups::resume_all(&site, 1, &begun).await?, 0);
    Ok(())
}

// Starts three entries before engines of one version that have run for long, and streams at the first
// entry. Then all entries are killed, and start again beside an engine of the second version.
async fn killed_before_release()
-> anyhow::Result<(site::Site, collections::BTreeMap<String, String>)> {
    let sizes = site::Sizes { edges: 3, plain: 0, prefill: 0, decode: 3, ..site::Sizes::default() };
    let mut site = site::Site::prepare(sizes).await?;
    for engine in &site.decode {
        engine.set_born(clock::unix_ms() - 60_000);
        site.announce(engine, "ready");
    }
    for _ in 0..sizes.edges {
        site.add_edge().await?;
    }
    site.wait_ready().await?;
    tokio::time::sleep(LEARN_TIME).await;
    let begun = takeups::begin(&site, 0, 6).await?;
    restart_all(&mut site, async |site| {
        let old = site.decode[2].clone();
        site.upgrade_server(&old, SECOND).await?;
        site.decode[2].set_born(clock::unix_ms());
        site.announce(&site.decode[2], "ready");
        Ok(())
    })
    .await?;
    tokio::time::sleep(LEARN_TIME).await;
    Ok((site, begun))
}

// Guards against streams that nobody can take up since all entries were killed and another version came
// before they had started again: no entry knows the streams, and the service has two versions (issue 50,
// LOST).
#[tokio::test]
async fn release_while_dead() -> anyhow::Result<()> {
    let (site, begun) = killed_before_release().await?;
    for edge in [0, 1, 2] {
        let resumed = takeups::resume_all(&site, edge, &begun).await?;
        assert_eq!(resumed, begun.len(), "at entry {edge}\n{}", site.edges[edge].log());
    }
    Ok(())
}

// Guards against a stream of the second version that is taken for one of before, since the process that
// began it has ended before it told anybody (ORDER).
#[tokio::test]
async fn begun_after_restart() -> anyhow::Result<()> {
    let (mut site, _) = killed_before_release().await?;
    let second = site.decode[2].clone();
    let mut at_second = 0;
    for number in 0..8 {
        let attempt = format!("late-{number}");
        begin_and_die(&mut site, 1, &attempt).await?;
        let refused = takeups::resume(&site, 0, &attempt, 0).await?;
        site.restart_edge(1)?;
        site.wait_ready().await?;
        tokio::time::sleep(LEARN_TIME).await;
        let is_second = second.runs().contains_key(&attempt);
        at_second += usize::from(is_second);
        for reply in [refused, takeups::resume(&site, 0, &attempt, 0).await?] {
            let body = reply.body.unwrap_or_default();
            let expected = if is_second { SECOND } else { backend::FIRST_SOFTWARE };
            let is_own = takeups::versions(&body).iter().all(|name| *name == expected);
            assert!(reply.status == 503 || is_own, "{attempt}: {body}\n{}", site.edges[0].log());
        }
    }
    assert!(at_second > 0, "no stream began at the second version");
    Ok(())
}

// Sends a stream to an entry and ends the entry as soon as the stream has begun, before it has told
// anybody of it.
async fn begin_and_die(site: &mut site::Site, edge: usize, attempt: &str) -> anyhow::Result<()> {
    let (address, name) = (site.edges[edge].frontend, attempt.to_string());
    tokio::spawn(async move {
        let call = call::Call { path: site::RESUMABLE, attempt: &name, body: "b", headers: &[] };
        _ = call.send(&rhubarb_node::client::Client::new(), Method::POST, address).await;
    });
    let deadline = time::Instant::now() + LEARN_TIME;
    while site.runs(attempt) == 0 {
        anyhow::ensure!(time::Instant::now() < deadline, "{}", site.edges[edge].log());
        tokio::time::sleep(time::Duration::from_millis(1)).await;
    }
    tokio::time::sleep(time::Duration::from_millis(40)).await;
    site.edges[edge].kill();
    Ok(())
}

// A fleet of two entries of which the second one stands still during a release, and a stream that the
// first one has begun at the new version before it ended. `is_cut` keeps the store from the second entry.
async fn release_unseen(is_cut: bool) -> anyhow::Result<()> {
    let sizes = site::Sizes {
        edges: 2,
        plain: 0,
        prefill: 1,
        decode: 2,
        relays: true,
        direct: true,
        plain_direct: false,
    };
    let mut site = site::Site::start(sizes).await?;
    tokio::time::sleep(LEARN_TIME).await;
    let old = site.decode.clone();
    site.edges[1].signal(signals::Signal::STOP);
    if is_cut {
        site.store_relays[1].set_modes(relay::Mode::Buffer, relay::Mode::Buffer);
    }
    upgrade(&mut site, SECOND).await?;
    tokio::time::sleep(LEARN_TIME).await;
    begin_and_die(&mut site, 0, "first").await?;
    site.edges[1].signal(signals::Signal::CONT);
    let reply = takeups::resume(&site, 1, "first", 1).await?;
    let body = reply.body.unwrap_or_default();
    let is_joined = old.iter().any(|engine| engine.runs().contains_key("first-again"));
    anyhow::ensure!(!is_joined, "goes on at the first version: {body}\n{}", site.edges[1].log());
    anyhow::ensure!(!takeups::versions(&body).contains(backend::FIRST_SOFTWARE), "{body}");
    Ok(())
}

// Guards against an entry that stood still during a release and goes on with a stream of the new version
// at an old server (issue 47, ORDER).
#[tokio::test]
async fn release_while_frozen() -> anyhow::Result<()> {
    release_unseen(false).await
}

// The same for one that is also cut off from the store and from all others.
#[tokio::test]
async fn release_while_cut() -> anyhow::Result<()> {
    release_unseen(true).await
}

// Guards against a stream that goes on at an engine which has started again in place with another version,
// before its row says so (issue 47 and review case 1, ORDER).
#[tokio::test]
async fn restarted_in_place() -> anyhow::Result<()> {
    let sizes = site::Sizes { edges: 1, plain: 0, prefill: 0, decode: 3, ..site::Sizes::default() };
    let site = site::Site::start(sizes).await?;
    for engine in &site.decode {
        engine.set_fault(backend::Fault::Stalls);
    }
    let address = site.edges[0].frontend;
    let mut calls = task::JoinSet::new();
    for number in 0..8 {
        calls.spawn(async move {
            let attempt = format!("a{number}");
            let call =
                call::Call { path: site::RESUMABLE, attempt: &attempt, body: "b", headers: &[] };
            call.receive(&rhubarb_node::client::Client::new(), Method::POST, address).await
        });
    }
    tokio::time::sleep(time::Duration::from_millis(400)).await;
    for engine in &site.decode {
        engine.crash();
        engine.set_software(SECOND);
        engine.set_fault(backend::Fault::None);
    }
    for received in calls.join_all().await {
        let text = received?.text;
        assert!(takeups::versions(&text).len() <= 1, "{text}");
    }
    Ok(())
}

// Guards against a stream that is put down to the version which its server had when it was chosen: by its
// first event the row names the process of another version that had taken its place (review case 6, ORDER).
// Reports do not tell which process runs, so that it cannot be found out before.
#[tokio::test]
async fn replaced_before_event() -> anyhow::Result<()> {
    let sizes = site::Sizes { edges: 0, plain: 0, prefill: 0, decode: 1, ..site::Sizes::default() };
    let mut site = site::Site::prepare(sizes).await?;
    let address = site.decode[0].address().expect("it serves");
    let interval = time::Duration::from_millis(600);
    let raw = raw::Raw::start(address.ip(), raw::Answer::Events { count: 2, interval }).await?;
    raw.hide_start();
    let row = |version: &str, born: u64| {
        json!({
            "service": "models", "stage": "decode", "address": raw.address, "zone": "hall-a",
            "version": version, "batch_slots": 64, "state": "ready", "cold_remaining_ms": 0,
            "sequence": 1, "born": born,
        })
    };
    site.store.put("servers", "i-raw", row(backend::FIRST_SOFTWARE, 1).to_string());
    for _ in 0..2 {
        site.add_edge().await?;
    }
    site.wait_ready().await?;
    tokio::time::sleep(LEARN_TIME).await;
    let address = site.edges[0].frontend;
    let mut calls = task::JoinSet::new();
    for number in 0..6 {
        calls.spawn(async move {
            let attempt = format!("a{number}");
            let call =
                call::Call { path: site::RESUMABLE, attempt: &attempt, body: "b", headers: &[] };
            let client = rhubarb_node::client::Client::new();
            anyhow::Ok((call.receive(&client, Method::POST, address).await?, attempt))
        });
    }
    tokio::time::sleep(interval / 3).await;
    site.store.put("servers", "i-raw", row(SECOND, 2).to_string());
    let mut at_raw = 0;
    for result in calls.join_all().await {
        let (received, attempt) = result?;
        if received.headers.get("x-response-seal").is_none_or(|seal| seal != "raw") {
            continue;
        }
        at_raw += 1;
        for edge in [0, 1] {
            let reply = takeups::resume(&site, edge, &attempt, 0).await?;
            let log = site.edges[edge].log();
            assert_eq!(reply.status, 503, "{attempt} at entry {edge}: {reply:?}\n{log}");
        }
    }
    assert!(at_raw > 0, "no stream ran at the server that was replaced");
    Ok(())
}

// Guards against a stream that is refused as too late by the time of a whole answer, though little of it is
// missing (review case 2, LOST).
#[tokio::test]
async fn late_take_up() -> anyhow::Result<()> {
    let site = start_single().await?;
    for engine in &site.decode {
        engine.set_pace(pace::Pace { nature: 1_500, ..pace::Pace::default() });
    }
    let size = [("x-token-usage", "10,6"), ("x-length-hint", "6")];
    for number in 0..2 {
        let attempt = format!("usual-{number}");
        let edge = &site.edges[number];
        let reply = edge.call_with(Method::POST, site::RESUMABLE, &attempt, "b", &size).await?;
        assert_eq!((reply.status, reply.body), (200, Some(site::full_stream())));
    }
    let rest = [
        size[0],
        size[1],
        ("last-event-id", "4"),
        ("resumes", "usual-0"),
        ("x-deadline-ms", "900"),
    ];
    let reply = site.edges[1].call_with(Method::POST, site::RESUMABLE, "again", "b", &rest).await?;
    assert_eq!((reply.status, reply.body.as_deref()), (200, Some("id: 5\ndata: token-5\n\n")));
    // A whole answer takes longer.
    let short = [size[0], size[1], ("x-deadline-ms", "700")];
    let reply =
        site.edges[1].call_with(Method::POST, site::RESUMABLE, "short", "b", &short).await?;
    assert_eq!(reply.status, 503);
    Ok(())
}

// Config whose resumable route is split between two services of one version each, by weights.
fn split_config(site: &site::Site, version: u64, weights: [u32; 2]) -> String {
    let mut config = site.config(version);
    let mut other = config["services"][1].clone();
    other["name"] = json!("others");
    config["services"].as_array_mut().expect("services are a list").push(other);
    let routes = config["routes"].as_array_mut().expect("routes are a list");
    let route = routes.iter_mut().find(|route| route["name"] == "resumable");
    let route = route.expect("there is a resumable route");
    route["service"] = serde_json::Value::Null;
    route["traffic_split"] = json!([
        {"service": "models", "weight": weights[0]}, {"service": "others", "weight": weights[1]},
    ]);
    config.to_string()
}

// Guards against streams of a split route that are given another service when they are taken up: they are
// refused, or go on at a server of the other service (review case 5, LOST).
#[tokio::test]
async fn split_route() -> anyhow::Result<()> {
    let sizes = site::Sizes { edges: 3, plain: 0, prefill: 0, decode: 2, ..site::Sizes::default() };
    let mut site = site::Site::prepare(sizes).await?;
    let mut row = site::server_row(&site.decode[1]);
    row["service"] = json!("others");
    site.store.put("servers", &site.decode[1].id, row.to_string());
    site.store.put("op", "config", split_config(&site, 2, [95, 5]));
    for _ in 0..sizes.edges {
        site.add_edge().await?;
    }
    site.wait_ready().await?;
    tokio::time::sleep(LEARN_TIME).await;
    let begun = takeups::begin(&site, 0, 5).await?;
    tokio::time::sleep(STORE_TIME).await;
    site.store.put("op", "config", split_config(&site, 3, [5, 95]));
    tokio::time::sleep(LEARN_TIME).await;
    let check = async |site: &site::Site, last: u64| -> anyhow::Result<()> {
        for attempt in begun.keys() {
            let reply = takeups::resume(site, 1, attempt, last).await?;
            assert_eq!(reply.status, 200, "{attempt}: {reply:?}\n{}", site.edges[1].log());
            let again = format!("{attempt}-again");
            for engine in &site.decode {
                let (first, second) = (engine.runs().contains_key(attempt), engine.runs());
                assert_eq!(first, second.contains_key(&again), "{attempt} changed its service");
            }
        }
        Ok(())
    };
    check(&site, 1).await?;
    // A second change during the same streams.
    site.store.put("op", "config", split_config(&site, 4, [50, 50]));
    tokio::time::sleep(LEARN_TIME).await;
    // Others know them when their entry is dead.
    site.edges[0].kill();
    check(&site, 2).await
}

// Starts streams of a route that goes to one service, moves it to another one, and takes the streams up. The
// config no longer allows the first service, and the second one has not begun them, so that they are
// refused.
async fn check_moved(weights: [u32; 2], kills: bool) -> anyhow::Result<()> {
    let sizes = site::Sizes { edges: 3, plain: 0, prefill: 0, decode: 2, ..site::Sizes::default() };
    let mut site = site::Site::prepare(sizes).await?;
    let mut row = site::server_row(&site.decode[1]);
    row["service"] = json!("others");
    site.store.put("servers", &site.decode[1].id, row.to_string());
    site.store.put("op", "config", split_config(&site, 2, weights));
    for _ in 0..sizes.edges {
        site.add_edge().await?;
    }
    site.wait_ready().await?;
    tokio::time::sleep(LEARN_TIME).await;
    let begun = takeups::begin(&site, 0, 5).await?;
    tokio::time::sleep(STORE_TIME).await;
    site.store.put("op", "config", split_config(&site, 3, [weights[1], weights[0]]));
    tokio::time::sleep(LEARN_TIME).await;
    if kills {
        site.edges[0].kill();
    }
    for attempt in begun.keys() {
        let reply = takeups::resume(&site, 1, attempt, 1).await?;
        let ran = site.runs(&format!("{attempt}-again"));
        let log = site.edges[1].log();
        assert_eq!((reply.status, ran), (503, 0), "{attempt}: {reply:?}\n{log}");
    }
    // New streams of the route are taken up at its new service, also if their entry is dead.
    let begun = takeups::begin(&site, 2, 5).await?;
    tokio::time::sleep(STORE_TIME).await;
    site.edges[2].kill();
    assert_eq!(
        takeups::resume_all(&site, 1, &begun).await?,
        begun.len(),
        "{}",
        site.edges[1].log()
    );
    Ok(())
}

// Guards against a stream that goes on at a server of another service after its route was moved there
// (related to review case 5).
#[tokio::test]
async fn route_moved() -> anyhow::Result<()> {
    check_moved([1, 0], false).await
}

// The same if the entry that began the stream is dead, so that nobody knows its version.
#[tokio::test]
async fn route_moved_entry_dead() -> anyhow::Result<()> {
    check_moved([1, 0], true).await
}
