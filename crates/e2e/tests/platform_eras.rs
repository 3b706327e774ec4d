//! Entries while the platform store comes back from a copy: config, servers, leases and what the
//! entries wrote themselves.

use std::time;

use hyper::Method;
use rustix::process::Signal;
use serde_json::json;

use rhubarb_e2e::site;
use rhubarb_fakes::{backend, copy};

/// Longest time in which a config is in force and a change of the servers is known.
const APPLY_TIME: time::Duration = time::Duration::from_millis(3_000);
/// Time within which the operator and live servers write again.
const REWRITE_DELAY: time::Duration = time::Duration::from_millis(1_000);
/// Length of the lease in the settings of a site, with the margin before another takes it over.
const LEASE_TAKEOVER: time::Duration = time::Duration::from_millis(1_500);
const OUTAGE: time::Duration = time::Duration::from_millis(300);
/// Transactions of other rows after a copy, so that what is written after a restore has lower
/// versions than what was lost.
const LOST_TRANSACTIONS: usize = 300;

fn millis(millis: u64) -> time::Duration {
    time::Duration::from_millis(millis)
}

async fn pause(duration: time::Duration) {
    tokio::time::sleep(duration).await;
}

async fn is_served(site: &site::Site, edge: usize, path: &str) -> bool {
    let attempt = format!("probe-{:?}", time::Instant::now());
    let reply = site.edges[edge].call(Method::POST, path, &attempt, "b").await;
    reply.is_ok_and(|reply| reply.status == 200)
}

async fn served_within(site: &site::Site, edge: usize, path: &str, limit: time::Duration) -> bool {
    let deadline = time::Instant::now() + limit;
    while time::Instant::now() < deadline {
        if is_served(site, edge, path).await {
            return true;
        }
        pause(millis(50)).await;
    }
    false
}

// Requests that reach a server while 20 are sent to an entry.
async fn requests_at(site: &site::Site, edge: usize, server: usize) -> usize {
    let before = site.plain[server].requests().len();
    for _ in 0..20 {
        assert!(is_served(site, edge, site::SAFE).await, "{}", site.edges[edge].log());
    }
    site.plain[server].requests().len() - before
}

// Config of `version` with an extra route, `/NAME/`.
fn config_with_route(site: &site::Site, version: u64, name: &str) -> String {
    let mut config = site.config(version);
    let mut route = config["routes"][0].clone();
    route["name"] = json!(name);
    route["prefix"] = json!(format!("/{name}/"));
    config["routes"].as_array_mut().unwrap().push(route);
    config.to_string()
}

// Copies the store, and writes rows that no entry reads.
fn copy_before_writes(site: &site::Site) -> copy::Content {
    let copy = site.store.copy();
    for _ in 0..LOST_TRANSACTIONS {
        site.store.put("status", "row", "value");
    }
    copy
}

async fn drill(site: &site::Site, copy: copy::Content) {
    site.store.drill(copy, OUTAGE, REWRITE_DELAY).await;
}

// Waits until the log of an entry contains `text`.
async fn wait_log(site: &site::Site, edge: usize, text: &str) -> anyhow::Result<()> {
    for _ in 0..1_500 {
        if site.edges[edge].log().contains(text) {
            return Ok(());
        }
        pause(millis(20)).await;
    }
    anyhow::bail!("no {text} in {}", site.edges[edge].log())
}

// Guards against an entry that ignores configs after a restore, as their rows have lower versions
// than a lost one, or that goes back to the config of the copy.
#[tokio::test]
async fn config_change() -> anyhow::Result<()> {
    let site = site::Site::start(site::Sizes { edges: 2, ..site::Sizes::default() }).await?;
    let copy = copy_before_writes(&site);
    site.store.put("op", "config", config_with_route(&site, 5, "added"));
    for edge in 0..2 {
        let is_applied = served_within(&site, edge, "/added/x", APPLY_TIME).await;
        assert!(is_applied, "{}", site.edges[edge].log());
    }
    let restored = async {
        // Before, during and after the time without the newest config.
        for _ in 0..20 {
            assert!(is_served(&site, 0, "/added/x").await, "{}", site.edges[0].log());
            assert!(is_served(&site, 1, "/added/x").await, "{}", site.edges[1].log());
            pause(millis(100)).await;
        }
    };
    tokio::join!(drill(&site, copy), restored);
    site.store.put("op", "config", config_with_route(&site, 7, "newer"));
    for edge in 0..2 {
        let is_applied = served_within(&site, edge, "/newer/x", APPLY_TIME).await;
        assert!(is_applied, "{}", site.edges[edge].log());
    }
    Ok(())
}

// An entry that starts while the store has an older config gets the one in force from a peer.
#[tokio::test]
async fn config_from_peer() -> anyhow::Result<()> {
    let mut site = site::Site::start(site::Sizes::default()).await?;
    let copy = copy_before_writes(&site);
    site.store.put("op", "config", config_with_route(&site, 5, "added"));
    assert!(served_within(&site, 0, "/added/x", APPLY_TIME).await);
    site.store.restore(copy);
    pause(millis(500)).await;
    pause(millis(500)).await;
    site.add_edge().await?;
    site.wait_ready().await?;
    assert!(served_within(&site, 1, "/added/x", APPLY_TIME).await, "{}", site.edges[1].log());
    Ok(())
}

// Guards against servers that are dropped because the copy lacks them, and against their removal
// being ignored afterwards.
#[tokio::test]
async fn server_lost() -> anyhow::Result<()> {
    check_server_lost(async |site, copy| {
        let lost = site.store.restore(copy);
        pause(REWRITE_DELAY).await;
        site.store.rewrite(lost);
    })
    .await
}

#[tokio::test]
async fn server_lost_in_outage() -> anyhow::Result<()> {
    check_server_lost(drill).await
}

async fn check_server_lost(
    restore: impl AsyncFnOnce(&site::Site, copy::Content),
) -> anyhow::Result<()> {
    let site = site::Site::prepare(site::Sizes::default()).await?;
    site.store.remove("servers", "i-plain-1");
    let site = start_edges(site, 2).await?;
    let copy = copy_before_writes(&site);
    site.announce(&site.plain[1], "ready");
    pause(millis(600)).await;
    assert!(requests_at(&site, 0, 1).await > 0);
    restore(&site, copy).await;
    for edge in 0..2 {
        assert!(requests_at(&site, edge, 1).await > 0, "{}", site.edges[edge].log());
    }
    pause(millis(2_000)).await;
    for edge in 0..2 {
        let log = site.edges[edge].log();
        assert!(!log.contains(r#"Gone(\"i-plain-1\")"#), "{log}");
    }
    site.store.remove("servers", "i-plain-1");
    pause(millis(1_000)).await;
    for edge in 0..2 {
        assert_eq!(requests_at(&site, edge, 1).await, 0, "{}", site.edges[edge].log());
    }
    Ok(())
}

async fn start_edges(mut site: site::Site, count: usize) -> anyhow::Result<site::Site> {
    for _ in 0..count {
        site.add_edge().await?;
    }
    site.wait_ready().await?;
    Ok(site)
}

// A server that the copy lacks and that does not write again is removed after the grace period.
#[tokio::test]
async fn server_gone() -> anyhow::Result<()> {
    let site = site::Site::prepare(site::Sizes::default()).await?;
    site.store.remove("servers", "i-plain-1");
    let site = start_edges(site, 1).await?;
    let copy = copy_before_writes(&site);
    site.announce(&site.plain[1], "ready");
    pause(millis(600)).await;
    assert!(requests_at(&site, 0, 1).await > 0);
    site.store.restore(copy);
    wait_log(&site, 0, r#"Gone(\"i-plain-1\")"#).await?;
    assert_eq!(requests_at(&site, 0, 1).await, 0);
    Ok(())
}

// Guards against a server that was removed and is used again since it is in the copy, before it has
// written again.
#[tokio::test]
async fn removed_server_back() -> anyhow::Result<()> {
    let site = site::Site::start(site::Sizes::default()).await?;
    let copy = copy_before_writes(&site);
    site.store.remove("servers", "i-plain-1");
    pause(millis(600)).await;
    assert_eq!(requests_at(&site, 0, 1).await, 0);
    site.store.restore(copy);
    pause(millis(500)).await;
    pause(millis(500)).await;
    assert_eq!(requests_at(&site, 0, 1).await, 0, "{}", site.edges[0].log());
    site.announce(&site.plain[1], "ready");
    pause(APPLY_TIME).await;
    assert!(requests_at(&site, 0, 1).await > 0, "{}", site.edges[0].log());
    Ok(())
}

// A server whose announcement that it leaves was lost gets no requests all the while.
#[tokio::test]
async fn server_leaving() -> anyhow::Result<()> {
    let site = site::Site::start(site::Sizes::default()).await?;
    let copy = copy_before_writes(&site);
    site.announce(&site.plain[0], "draining");
    pause(millis(600)).await;
    assert_eq!(requests_at(&site, 0, 0).await, 0);
    let probed = async {
        for _ in 0..10 {
            assert_eq!(requests_at(&site, 0, 0).await, 0, "{}", site.edges[0].log());
            pause(millis(150)).await;
        }
    };
    tokio::join!(drill(&site, copy), probed);
    pause(millis(1_000)).await;
    assert_eq!(requests_at(&site, 0, 0).await, 0, "{}", site.edges[0].log());
    Ok(())
}

#[tokio::test]
async fn twice_within_seconds() -> anyhow::Result<()> {
    let site = site::Site::start(site::Sizes { edges: 2, ..site::Sizes::default() }).await?;
    let copy = copy_before_writes(&site);
    site.store.put("op", "config", config_with_route(&site, 5, "added"));
    for edge in 0..2 {
        let is_applied = served_within(&site, edge, "/added/x", APPLY_TIME).await;
        assert!(is_applied, "{}", site.edges[edge].log());
    }
    let lost = site.store.restore(copy.clone());
    pause(millis(400)).await;
    site.store.rewrite(lost);
    pause(millis(100)).await;
    let lost = site.store.restore(copy);
    pause(millis(100)).await;
    site.store.rewrite(lost);
    site.store.put("op", "config", config_with_route(&site, 7, "newer"));
    site.store.remove("servers", "i-plain-1");
    for edge in 0..2 {
        let is_applied = served_within(&site, edge, "/newer/x", APPLY_TIME).await;
        assert!(is_applied, "{}", site.edges[edge].log());
    }
    pause(millis(2_500)).await;
    for edge in 0..2 {
        assert_eq!(requests_at(&site, edge, 1).await, 0, "{}", site.edges[edge].log());
    }
    Ok(())
}

// Guards against an entry that sleeps through a restore and goes on from what was lost.
#[tokio::test]
async fn entry_asleep() -> anyhow::Result<()> {
    let site = site::Site::start(site::Sizes { edges: 2, ..site::Sizes::default() }).await?;
    let copy = copy_before_writes(&site);
    site.store.put("op", "config", config_with_route(&site, 5, "added"));
    let is_applied = served_within(&site, 1, "/added/x", APPLY_TIME).await;
    assert!(is_applied, "{}", site.edges[1].log());
    site.edges[1].signal(Signal::STOP);
    drill(&site, copy).await;
    site.store.put("op", "config", config_with_route(&site, 7, "newer"));
    site.store.remove("servers", "i-plain-1");
    pause(millis(2_000)).await;
    site.edges[1].signal(Signal::CONT);
    for edge in 0..2 {
        let is_applied = served_within(&site, edge, "/newer/x", APPLY_TIME).await;
        assert!(is_applied, "{}", site.edges[edge].log());
    }
    pause(millis(2_500)).await;
    for edge in 0..2 {
        assert_eq!(requests_at(&site, edge, 1).await, 0, "{}", site.edges[edge].log());
    }
    Ok(())
}

// An era that is no number is ignored and logged once.
#[tokio::test]
async fn invalid_era() -> anyhow::Result<()> {
    let site = site::Site::start(site::Sizes::default()).await?;
    site.store.set_era("next");
    for version in [5, 7, 9] {
        site.store.put("op", "config", config_with_route(&site, version, "added"));
        assert!(served_within(&site, 0, "/added/x", APPLY_TIME).await);
        pause(millis(600)).await;
    }
    let log = site.edges[0].log();
    assert_eq!(log.matches("invalid era of the store ignored").count(), 1, "{log}");
    Ok(())
}

// The member rows of the entries are written again.
#[tokio::test]
async fn member_rows() -> anyhow::Result<()> {
    let site = site::Site::prepare(site::Sizes::default()).await?;
    let copy = site.store.copy();
    let site = start_edges(site, 2).await?;
    let is_written =
        || (0..2).all(|edge| site.store.get("members", &format!("edge-{edge}")).is_some());
    let deadline = time::Instant::now() + APPLY_TIME;
    while !is_written() {
        assert!(time::Instant::now() < deadline);
        pause(millis(20)).await;
    }
    site.store.restore(copy);
    assert!(!is_written());
    let deadline = time::Instant::now() + time::Duration::from_secs(12);
    while !is_written() {
        assert!(time::Instant::now() < deadline, "{}", site.edges[0].log());
        pause(millis(20)).await;
    }
    Ok(())
}

// Sends streams to an entry until `is_done`, for at most 40 s.
async fn send_streams(
    site: &site::Site,
    edge: usize,
    is_done: impl Fn() -> bool,
) -> anyhow::Result<()> {
    for round in 0..400 {
        if is_done() {
            return Ok(());
        }
        let ids: Vec<_> =
            (0..8).map(|call| format!("{:?}-{round}-{call}", time::Instant::now())).collect();
        let call =
            |number: usize| site.edges[edge].call(Method::POST, site::RESUMABLE, &ids[number], "b");
        let first = async { tokio::join!(call(0), call(1), call(2), call(3)) };
        let second = async { tokio::join!(call(4), call(5), call(6), call(7)) };
        let _ = tokio::join!(first, second);
    }
    anyhow::bail!("no order in {}", site.edges[edge].log())
}

// Like [`send_streams`] at the first entry, with more callers: a stream waits for a report of its engine
// where it needs a new connection, so that fewer follow one another while reports are slow.
async fn send_more(site: &site::Site, is_done: impl Fn() -> bool) -> anyhow::Result<()> {
    let send = || send_streams(site, 0, &is_done);
    tokio::try_join!(send(), send(), send(), send()).map(|_| ())
}

// Fencing numbers of the orders that engines received, oldest first.
fn orders(site: &site::Site) -> Vec<u64> {
    let mut orders: Vec<_> = site.decode.iter().flat_map(backend::Backend::orders).collect();
    orders.sort();
    orders.into_iter().map(|(_, fence)| fence).collect()
}

// Fencing numbers of the leases that an entry acquired.
fn lease_fences(log: &str) -> Vec<u64> {
    let lines = log.lines().filter(|line| line.contains("lease for changing stages acquired"));
    let values = lines.filter_map(|line| serde_json::from_str::<serde_json::Value>(line).ok());
    values.filter_map(|line| line["fields"]["fence"].as_u64()).collect()
}

fn order_fences(log: &str) -> Vec<u64> {
    let lines = log.lines().filter(|line| line.contains("edge: order sent"));
    let values = lines.filter_map(|line| serde_json::from_str::<serde_json::Value>(line).ok());
    values.filter_map(|line| line["fields"]["fence"].as_u64()).collect()
}

// Guards against fencing numbers that go back: the store loses the row of a leader that is frozen
// over the restore and goes on afterwards.
#[tokio::test]
async fn leader_frozen() -> anyhow::Result<()> {
    let site = start_unbalanced().await?;
    let copy = copy_before_writes(&site);
    send_streams(&site, 0, || !orders(&site).is_empty()).await?;
    site.edges[0].signal(Signal::STOP);
    site.store.restore(copy);
    undo_orders(&site);
    pause(millis(1_000)).await;
    // What was written before the freeze has arrived, also if the entry did not log it yet.
    let first = orders(&site);
    site.edges[0].signal(Signal::CONT);
    send_streams(&site, 0, || orders(&site).len() > first.len()).await?;
    let later = orders(&site).split_off(first.len());
    assert!(later.iter().min() > first.iter().max(), "{first:?}, then {later:?}");
    Ok(())
}

// Guards against an order whose lease has expired: the leader is frozen while it waits for the report
// that comes before the order.
#[tokio::test]
async fn frozen_before_order() -> anyhow::Result<()> {
    let site = start_unbalanced().await?;
    // Shorter than a lease is used without being renewed.
    site.decode.iter().for_each(|engine| engine.delay_reports(millis(300)));
    let thawed = async {
        wait_log(&site, 0, "lease for changing stages acquired").await?;
        site.edges[0].signal(Signal::STOP);
        // Longer than that, and shorter than the timeout of the report.
        pause(millis(700)).await;
        let first = lease_fences(&site.edges[0].log());
        let received = orders(&site).len();
        site.edges[0].signal(Signal::CONT);
        anyhow::Ok((first, received))
    };
    let (thawed, sent) = tokio::join!(thawed, send_more(&site, || !orders(&site).is_empty()));
    let (first, received) = thawed?;
    sent?;
    send_more(&site, || orders(&site).len() > received).await?;
    let later = orders(&site).split_off(received);
    assert!(later.iter().min() > first.iter().max(), "{first:?}, then {later:?}");
    Ok(())
}

// Guards against a second leader: the store loses the row of one that may still act.
#[tokio::test]
async fn lease_lost() -> anyhow::Result<()> {
    let site = start_unbalanced().await?;
    let copy = copy_before_writes(&site);
    // Begins with the streams, so that a change of stages is due when the store is restored. An order
    // shows that the lease is held; no later one of this lease is sent.
    let restored = async {
        wait_log(&site, 0, "edge: order sent").await?;
        let fence = site.store.put("leases", "stages", "another/1");
        let lost_at = time::Instant::now();
        site.store.restore(copy);
        undo_orders(&site);
        anyhow::Ok((fence, lost_at))
    };
    let last_order = || order_fences(&site.edges[0].log()).last().copied();
    let sent = async {
        send_streams(&site, 0, || last_order().is_some()).await?;
        let first = last_order();
        send_streams(&site, 0, || last_order() != first).await?;
        anyhow::Ok(time::Instant::now())
    };
    let (restored, sent) = tokio::join!(restored, sent);
    let ((fence, lost_at), ordered_at) = (restored?, sent?);
    assert!(ordered_at >= lost_at + LEASE_TAKEOVER, "after {:?}", ordered_at - lost_at);
    assert!(last_order() > Some(fence), "{:?} after {fence}", last_order());
    Ok(())
}

// Lets all decode engines be ordered again.
fn undo_orders(site: &site::Site) {
    for engine in &site.decode {
        engine.set_stage("decode");
    }
}

// One engine reads all prompts, so that others are ordered to change their stage.
async fn start_unbalanced() -> anyhow::Result<site::Site> {
    let sizes = site::Sizes {
        edges: 2,
        plain: 1,
        prefill: 1,
        decode: 9,
        relays: false,
        direct: false,
        plain_direct: false,
    };
    site::Site::start(sizes).await
}
