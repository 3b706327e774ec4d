//! The platform store: outages, compacted history, invalid rows, and peers as a fallback.

use std::time;

use hyper::Method;
use serde_json::json;

use rhubarb_e2e::{relay, site};
use rhubarb_fakes::{backend, store};
use rhubarb_node::client;
use rhubarb_platform::store as platform_store;

async fn is_served(site: &site::Site, edge: usize, path: &str) -> bool {
    let attempt = format!("probe-{:?}", time::Instant::now());
    let reply = site.edges[edge].call(Method::POST, path, &attempt, "b").await;
    reply.is_ok_and(|reply| reply.status == 200)
}

async fn served_within(site: &site::Site, edge: usize, path: &str, timeout_ms: u64) -> bool {
    let deadline = time::Instant::now() + time::Duration::from_millis(timeout_ms);
    while time::Instant::now() < deadline {
        if is_served(site, edge, path).await {
            return true;
        }
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
    false
}

// Config of `version` with an extra route, `/added/`.
fn config_with_route(site: &site::Site, version: u64) -> String {
    let mut config = site.config(version);
    let mut route = config["routes"][0].clone();
    route["name"] = json!("added");
    route["prefix"] = json!("/added/");
    config["routes"].as_array_mut().unwrap().push(route);
    config.to_string()
}

#[tokio::test]
async fn config_applied() -> anyhow::Result<()> {
    let site = site::Site::start(site::Sizes::default()).await?;
    assert!(!is_served(&site, 0, "/added/x").await);
    site.store.put("op", "config", config_with_route(&site, 5));
    assert!(served_within(&site, 0, "/added/x", 2_000).await);
    site.store.put("op", "config", site.config(3).to_string());
    tokio::time::sleep(time::Duration::from_millis(300)).await;
    assert!(is_served(&site, 0, "/added/x").await, "an older version came into force");
    Ok(())
}

#[tokio::test]
async fn history_compacted() -> anyhow::Result<()> {
    let site = site::Site::start(site::Sizes::default()).await?;
    site.store.compact();
    site.store.put("op", "config", config_with_route(&site, 5));
    assert!(served_within(&site, 0, "/added/x", 2_000).await);
    Ok(())
}

#[tokio::test]
async fn history_lost_repeatedly() -> anyhow::Result<()> {
    let site = site::Site::start(site::Sizes::default()).await?;
    site.store.set_mode(store::Mode::NoHistory);
    let before = site.store.calls();
    // Ends the open feeds.
    site.store.put("op", "config", config_with_route(&site, 5));
    assert!(served_within(&site, 0, "/added/x", 2_000).await);
    tokio::time::sleep(time::Duration::from_secs(3)).await;
    let calls = site.store.calls() - before;
    // Two tables are read and followed again after a delay of a quarter of a second to one second.
    assert!(calls <= 40, "{calls} calls");
    Ok(())
}

// The kernel probes idle connections to the store, so that one that went silent fails.
#[tokio::test]
async fn feed_probed() -> anyhow::Result<()> {
    let site = site::Site::start(site::Sizes::default()).await?;
    let address = site.store_address()?;
    let port = format!(":{:04X}", address.port());
    // Fields of proc(5): local address, remote address, state and timer. State 01 is an established
    // connection, timer 02 a keepalive timer; timer 01 runs while sent data is unacknowledged.
    let are_probed = || {
        let tcp = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
        let fields = tcp.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
        let feeds: Vec<_> = fields
            .filter(|fields| fields.len() > 5 && fields[2].ends_with(&port) && fields[3] == "01")
            .map(|fields| fields[5].starts_with("02:"))
            .collect();
        feeds.len() >= 2 && feeds.iter().all(|is_probed| *is_probed)
    };
    let deadline = time::Instant::now() + time::Duration::from_secs(3);
    while !are_probed() {
        assert!(time::Instant::now() < deadline, "connections to the store are not probed");
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
    Ok(())
}

// Names with characters that are reserved in URLs.
#[tokio::test]
async fn reserved_characters() -> anyhow::Result<()> {
    let site = site::Site::start(site::Sizes::default()).await?;
    let client = platform_store::Store::new(client::Client::new(), site.store_address()?);
    let timeout = time::Duration::from_secs(2);
    let names = ["a b", "a&b=c", "a%20b", "a/b?c#d", "\u{fc}"];
    for name in names {
        client.put_object(name, name.to_string().into(), timeout).await?;
    }
    for name in names {
        let content = client.get_object(name, timeout).await?;
        assert_eq!(content.as_deref(), Some(name.as_bytes()), "{name}");
    }
    let mut expected = names;
    expected.sort_unstable();
    assert_eq!(client.list_objects("", timeout).await?, expected);
    assert_eq!(client.list_objects("a&", timeout).await?, ["a&b=c"]);
    Ok(())
}

// A row is removed only in the version that was read.
#[tokio::test]
async fn row_removed() -> anyhow::Result<()> {
    let site = site::Site::start(site::Sizes::default()).await?;
    let client = platform_store::Store::new(client::Client::new(), site.store_address()?);
    let (table, timeout) = (platform_store::Table::Members, time::Duration::from_secs(2));
    let version = platform_store::Version::new(0, site.store.put("members", "gone", "10.0.0.9"));
    let older = platform_store::Version { version: version.version - 1, ..version };
    let outcome = client.remove(table, "gone", older, timeout).await?;
    assert_eq!(outcome, platform_store::WriteOutcome::Conflict);
    assert!(site.store.get("members", "gone").is_some());
    client.remove(table, "gone", version, timeout).await?;
    assert_eq!(site.store.get("members", "gone"), None);
    Ok(())
}

// Of concurrent writes with the same condition one is committed.
#[tokio::test(flavor = "multi_thread")]
async fn one_write_commits() -> anyhow::Result<()> {
    let site = site::Site::start(site::Sizes::default()).await?;
    let (address, timeout) = (site.store_address()?, time::Duration::from_secs(2));
    for round in 0..20 {
        let key = format!("row-{round}");
        let write = async || {
            let client = platform_store::Store::new(client::Client::new(), address);
            let table = platform_store::Table::Leases;
            let expected = Some(platform_store::Version::default());
            let write = platform_store::Write { table, key: &key, expected, value: b"value" };
            client.write(write, timeout).await
        };
        let outcomes = tokio::join!(write(), write(), write(), write());
        let outcomes = [outcomes.0?, outcomes.1?, outcomes.2?, outcomes.3?];
        let is_conflict = |outcome: &&platform_store::WriteOutcome| {
            **outcome == platform_store::WriteOutcome::Conflict
        };
        assert_eq!(outcomes.iter().filter(is_conflict).count(), 3, "{outcomes:?}");
    }
    Ok(())
}

#[tokio::test]
async fn serves_during_outage() -> anyhow::Result<()> {
    let site = site::Site::start(site::Sizes::default()).await?;
    for mode in [store::Mode::Busy, store::Mode::Unresponsive, store::Mode::LostReplies] {
        site.store.set_mode(mode);
        tokio::time::sleep(time::Duration::from_millis(300)).await;
        assert!(is_served(&site, 0, site::UNSAFE).await, "{mode:?}");
        assert!(site.edges[0].is_ready().await, "{mode:?}");
        site.store.set_mode(store::Mode::Up);
    }
    site.store.put("op", "config", config_with_route(&site, 5));
    assert!(served_within(&site, 0, "/added/x", 4_000).await, "no update after the outage");
    Ok(())
}

#[tokio::test]
async fn start_during_outage() -> anyhow::Result<()> {
    let mut site = site::Site::prepare(site::Sizes::default()).await?;
    site.store.set_mode(store::Mode::Busy);
    site.add_edge().await?;
    tokio::time::sleep(time::Duration::from_millis(500)).await;
    assert!(!site.edges[0].is_ready().await);
    let reply = site.edges[0].call(Method::GET, site::SAFE, "a1", "").await?;
    assert_eq!(reply.status, 503, "an entry without a config reports that nothing ran");
    site.store.set_mode(store::Mode::Up);
    site.wait_ready().await?;
    assert!(is_served(&site, 0, site::SAFE).await);
    Ok(())
}

#[tokio::test]
async fn state_from_peer() -> anyhow::Result<()> {
    // The second entry starts while the store is down, and copies the state of the first.
    let mut site = site::Site::start(site::Sizes::default()).await?;
    site.store.set_mode(store::Mode::Busy);
    tokio::time::sleep(time::Duration::from_millis(300)).await;
    site.add_edge().await?;
    site.wait_ready().await?;
    assert!(is_served(&site, 1, site::UNSAFE).await);
    assert!(site.edges[1].log().contains("snapshot received from peer"));
    Ok(())
}

#[tokio::test]
async fn leaving_server() -> anyhow::Result<()> {
    let site = site::Site::start(site::Sizes::default()).await?;
    let text = site.store.get("servers", "i-plain-0").unwrap();
    let mut row: serde_json::Value = serde_json::from_slice(&text)?;
    row["state"] = json!("draining");
    site.store.put("servers", "i-plain-0", row.to_string());
    tokio::time::sleep(time::Duration::from_millis(500)).await;
    let before = site.plain[0].requests().len();
    for _ in 0..20 {
        assert!(is_served(&site, 0, site::SAFE).await);
    }
    // Responses report the load of a server, but do not make a leaving server usable again.
    assert_eq!(site.plain[0].requests().len(), before);
    Ok(())
}

#[tokio::test]
async fn invalid_rows() -> anyhow::Result<()> {
    let site = site::Site::start(site::Sizes::default()).await?;
    site.store.put("servers", "i-ghost", "not an entry");
    site.store.put("servers", "i-plain-1", json!({"service": "plain"}).to_string());
    tokio::time::sleep(time::Duration::from_millis(500)).await;
    let before = site.plain[1].requests().len();
    for _ in 0..10 {
        assert!(is_served(&site, 0, site::SAFE).await, "the valid rows stay in use");
    }
    assert_eq!(site.plain[1].requests().len(), before);
    assert!(site.edges[0].log().contains("invalid row of server not used"));
    Ok(())
}

#[tokio::test]
async fn stage_lease_held() -> anyhow::Result<()> {
    // Responses are short and a single engine prefills all prompts, so other engines are switched
    // to prefill.
    let sizes = site::Sizes {
        edges: 2,
        plain: 1,
        prefill: 1,
        decode: 9,
        relays: false,
        direct: false,
        plain_direct: false,
    };
    let site = site::Site::start(sizes).await?;
    for round in 0..100 {
        let ids: Vec<_> = (0..4).map(|call| format!("a{round}-{call}")).collect();
        let call = |number: usize| {
            let edge = &site.edges[number % 2];
            edge.call(Method::POST, site::RESUMABLE, &ids[number], "b")
        };
        let _ = tokio::join!(call(0), call(1), call(2), call(3));
        if site.decode.iter().any(|engine| engine.stage().0 == "prefill") {
            let lease = site.store.get("leases", "stages").expect("orders need the lease");
            assert!(String::from_utf8(lease)?.starts_with("edge-0/"));
            return Ok(());
        }
    }
    anyhow::bail!("no engine changed its stage")
}

#[tokio::test]
async fn restarted_server() -> anyhow::Result<()> {
    let site = site::Site::start(site::Sizes::default()).await?;
    site.plain[0].set_fault(backend::Fault::Moved);
    for _ in 0..4 {
        is_served(&site, 0, site::SAFE).await;
    }
    let text = site.store.get("servers", "i-plain-0").unwrap();
    let mut row: serde_json::Value = serde_json::from_slice(&text)?;
    row["born"] = json!(2);
    site.plain[0].set_fault(backend::Fault::None);
    site.store.put("servers", "i-plain-0", row.to_string());
    tokio::time::sleep(time::Duration::from_millis(300)).await;
    let before = site.plain[0].requests().len();
    for _ in 0..20 {
        assert!(is_served(&site, 0, site::SAFE).await);
    }
    assert!(site.plain[0].requests().len() > before, "a restarted server gets no requests");
    Ok(())
}

// Guards against a store that stops responding to one entry only: the entry waited on its feed for
// 7 s while its peers had newer state.
#[tokio::test]
async fn store_unresponsive() -> anyhow::Result<()> {
    let mut site = site::Site::start(site::Sizes::default()).await?;
    let relay = site.relay_store().await?;
    site.add_edge().await?;
    site.wait_ready().await?;
    assert!(is_served(&site, 1, site::UNSAFE).await);
    relay.set_modes(relay::Mode::Buffer, relay::Mode::Buffer);
    site.store.remove("servers", "i-plain-1");
    site.store.put("op", "config", config_with_route(&site, 5));
    assert!(served_within(&site, 1, "/added/x", 3_000).await, "{}", site.edges[1].log());
    tokio::time::sleep(time::Duration::from_millis(2_000)).await;
    assert!(site.edges[1].log().contains("store unavailable"), "{}", site.edges[1].log());
    let before = site.plain[1].requests().len();
    for _ in 0..10 {
        assert!(is_served(&site, 1, site::SAFE).await);
    }
    assert_eq!(site.plain[1].requests().len(), before, "a removed server is used");
    relay.set_modes(relay::Mode::Forward, relay::Mode::Forward);
    site.store.put("op", "config", site.config(9).to_string());
    tokio::time::sleep(time::Duration::from_millis(3_000)).await;
    assert!(!is_served(&site, 1, "/added/x").await, "the entry does not follow the store again");
    Ok(())
}

/// Time from the begin of a server's grace period at an entry until its row is written again: a part of
/// what is left of the period, as the row takes 0.3 s to arrive there.
const RETURN_TIME: time::Duration = time::Duration::from_millis(500);

// Guards against an entry that copies its state from a peer after an outage of the store and then
// removes servers that the peer still keeps although their rows have expired. Seen in an incident.
#[tokio::test]
async fn expired_at_peer() -> anyhow::Result<()> {
    let mut site = site::Site::start(site::Sizes::default()).await?;
    let relay = site.relay_store().await?;
    site.add_edge().await?;
    site.wait_ready().await?;
    relay.set_modes(relay::Mode::Buffer, relay::Mode::Buffer);
    site.store.put("op", "config", config_with_route(&site, 5));
    assert!(served_within(&site, 1, "/added/x", 3_000).await, "{}", site.edges[1].log());

    site.store.set_mode(store::Mode::Busy);
    let row = site.store.get("servers", "i-plain-1").unwrap();
    site.store.remove("servers", "i-plain-1");
    tokio::time::sleep(time::Duration::from_millis(2_000)).await;
    assert!(site.edges[1].log().contains("store unavailable"), "{}", site.edges[1].log());
    site.store.set_mode(store::Mode::Up);
    wait_log(&site, 0, r#"store available","table":"Servers""#, 2).await?;
    site.store.put("op", "config", site.config(9).to_string());
    wait_log(&site, 1, "missing server kept", 1).await?;
    // A second snapshot comes while the server is missing, or nearly so: its row is back in time for the grace
    // period, which the passing of a config may take up.
    let passed = wait_log(&site, 1, r#""version":9"#, 1);
    let _ = tokio::time::timeout(RETURN_TIME, passed).await;

    let row = String::from_utf8(row)?;
    site.store.put("servers", "i-plain-1", row);
    wait_log(&site, 1, r#""version":9"#, 1).await?;
    tokio::time::sleep(time::Duration::from_millis(2_500)).await;
    let log = site.edges[1].log();
    assert!(log.contains("missing server kept"), "{log}");
    assert!(!log.contains(r#"Gone(\"i-plain-1\")"#), "{log}");
    Ok(())
}

// Guards against servers that one entry drops, as their rows expired while the store did not answer and
// the entry's feed, which waits for long, was still open when it did again.
#[tokio::test]
async fn expired_unnoticed() -> anyhow::Result<()> {
    let site = site::Site::start(site::Sizes { edges: 3, ..site::Sizes::default() }).await?;
    tokio::time::sleep(time::Duration::from_millis(1_500)).await;
    site.store.set_mode(store::Mode::Unresponsive);
    tokio::time::sleep(time::Duration::from_millis(4_000)).await;
    let row = site.store.get("servers", "i-plain-1").unwrap();
    site.store.remove("servers", "i-plain-1");
    site.store.set_mode(store::Mode::Up);
    tokio::time::sleep(time::Duration::from_millis(1_000)).await;
    site.store.put("servers", "i-plain-1", String::from_utf8(row)?);
    tokio::time::sleep(time::Duration::from_millis(2_500)).await;
    for edge in &site.edges {
        let log = edge.log();
        assert!(!log.contains(r#"Gone(\"i-plain-1\")"#), "{log}");
    }
    Ok(())
}

// Waits until the log of an entry contains `text` at least `count` times.
async fn wait_log(site: &site::Site, edge: usize, text: &str, count: usize) -> anyhow::Result<()> {
    for _ in 0..100 {
        if site.edges[edge].log().matches(text).count() >= count {
            return Ok(());
        }
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
    anyhow::bail!("no {text} in {}", site.edges[edge].log())
}
