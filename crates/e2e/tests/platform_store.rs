//! The platform's store: outages, history, entries that cannot be read, and peers instead of it.

use std::time;

use hyper::Method;
use serde_json::json;

use rhubarb_e2e::{relay, standin};
use rhubarb_fakes::{backend, store};

async fn is_served(site: &standin::Site, edge: usize, path: &str) -> bool {
    let attempt = format!("probe-{:?}", time::Instant::now());
    let reply = site.edges[edge].call(Method::POST, path, &attempt, "b").await;
    reply.is_ok_and(|reply| reply.status == 200)
}

async fn served_within(site: &standin::Site, edge: usize, path: &str, limit: u64) -> bool {
    let until = time::Instant::now() + time::Duration::from_millis(limit);
    while time::Instant::now() < until {
        if is_served(site, edge, path).await {
            return true;
        }
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
    false
}

// A config with one more route.
fn longer_config(site: &standin::Site, version: u64) -> String {
    let mut config = site.config(version);
    let mut route = config["routes"][0].clone();
    route["name"] = json!("added");
    route["prefix"] = json!("/added/");
    config["routes"].as_array_mut().unwrap().push(route);
    config.to_string()
}

#[tokio::test]
async fn change_in_force() -> anyhow::Result<()> {
    let site = standin::Site::start(standin::Sizes::default()).await?;
    assert!(!is_served(&site, 0, "/added/x").await);
    site.store.put("op", "config", longer_config(&site, 5));
    assert!(served_within(&site, 0, "/added/x", 2_000).await);
    site.store.put("op", "config", site.config(3).to_string());
    tokio::time::sleep(time::Duration::from_millis(300)).await;
    assert!(is_served(&site, 0, "/added/x").await, "an older version came into force");
    Ok(())
}

#[tokio::test]
async fn history_gone() -> anyhow::Result<()> {
    let site = standin::Site::start(standin::Sizes::default()).await?;
    site.store.compact();
    site.store.put("op", "config", longer_config(&site, 5));
    assert!(served_within(&site, 0, "/added/x", 2_000).await);
    Ok(())
}

#[tokio::test]
async fn outages_served() -> anyhow::Result<()> {
    let site = standin::Site::start(standin::Sizes::default()).await?;
    for mode in [store::Mode::Busy, store::Mode::Unresponsive, store::Mode::LostReplies] {
        site.store.set_mode(mode);
        tokio::time::sleep(time::Duration::from_millis(300)).await;
        assert!(is_served(&site, 0, standin::UNSAFE).await, "{mode:?}");
        assert!(site.edges[0].is_ready().await, "{mode:?}");
        site.store.set_mode(store::Mode::Up);
    }
    site.store.put("op", "config", longer_config(&site, 5));
    assert!(served_within(&site, 0, "/added/x", 4_000).await, "the store is back");
    Ok(())
}

#[tokio::test]
async fn away_at_start() -> anyhow::Result<()> {
    let mut site = standin::Site::prepare(standin::Sizes::default()).await?;
    site.store.set_mode(store::Mode::Busy);
    site.add_edge().await?;
    tokio::time::sleep(time::Duration::from_millis(500)).await;
    assert!(!site.edges[0].is_ready().await);
    let reply = site.edges[0].call(Method::GET, standin::SAFE, "a1", "").await?;
    assert_eq!(reply.status, 503, "an entry without a config promises that nothing ran");
    site.store.set_mode(store::Mode::Up);
    site.wait_ready().await?;
    assert!(is_served(&site, 0, standin::SAFE).await);
    Ok(())
}

#[tokio::test]
async fn learned_from_peer() -> anyhow::Result<()> {
    // The second entry starts while the store answers nobody; the first one knows enough.
    let mut site = standin::Site::start(standin::Sizes::default()).await?;
    site.store.set_mode(store::Mode::Busy);
    tokio::time::sleep(time::Duration::from_millis(300)).await;
    site.add_edge().await?;
    site.wait_ready().await?;
    assert!(is_served(&site, 1, standin::UNSAFE).await);
    assert!(site.edges[1].log().contains("learned from peer"));
    Ok(())
}

#[tokio::test]
async fn leaving_server() -> anyhow::Result<()> {
    let site = standin::Site::start(standin::Sizes::default()).await?;
    let text = site.store.get("servers", "i-plain-0").unwrap();
    let mut entry: serde_json::Value = serde_json::from_slice(&text)?;
    entry["state"] = json!("draining");
    site.store.put("servers", "i-plain-0", entry.to_string());
    tokio::time::sleep(time::Duration::from_millis(500)).await;
    let before = site.plain[0].requests().len();
    for _ in 0..20 {
        assert!(is_served(&site, 0, standin::SAFE).await);
    }
    // Answers tell a load; they do not make a leaving server usable again.
    assert_eq!(site.plain[0].requests().len(), before);
    Ok(())
}

#[tokio::test]
async fn unreadable_entries() -> anyhow::Result<()> {
    let site = standin::Site::start(standin::Sizes::default()).await?;
    site.store.put("servers", "i-ghost", "not an entry");
    site.store.put("servers", "i-plain-1", json!({"service": "plain"}).to_string());
    tokio::time::sleep(time::Duration::from_millis(500)).await;
    let before = site.plain[1].requests().len();
    for _ in 0..10 {
        assert!(is_served(&site, 0, standin::SAFE).await, "the other entries hold");
    }
    assert_eq!(site.plain[1].requests().len(), before);
    assert!(site.edges[0].log().contains("entry not used"));
    Ok(())
}

#[tokio::test]
async fn orders_fenced() -> anyhow::Result<()> {
    // Answers are short, and one engine reads all prompts: others change their stage.
    let sizes = standin::Sizes { edges: 2, plain: 1, prefill: 1, decode: 9, relays: false };
    let site = standin::Site::start(sizes).await?;
    for round in 0..100 {
        let ids: Vec<_> = (0..4).map(|call| format!("a{round}-{call}")).collect();
        let call = |number: usize| {
            let edge = &site.edges[number % 2];
            edge.call(Method::POST, standin::RESUMABLE, &ids[number], "b")
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
async fn reborn_server() -> anyhow::Result<()> {
    let site = standin::Site::start(standin::Sizes::default()).await?;
    site.plain[0].set_fault(backend::Fault::Moved);
    for _ in 0..4 {
        is_served(&site, 0, standin::SAFE).await;
    }
    let text = site.store.get("servers", "i-plain-0").unwrap();
    let mut entry: serde_json::Value = serde_json::from_slice(&text)?;
    entry["born"] = json!(2);
    site.plain[0].set_fault(backend::Fault::None);
    site.store.put("servers", "i-plain-0", entry.to_string());
    tokio::time::sleep(time::Duration::from_millis(300)).await;
    let before = site.plain[0].requests().len();
    for _ in 0..20 {
        assert!(is_served(&site, 0, standin::SAFE).await);
    }
    assert!(site.plain[0].requests().len() > before, "what was known of the old process is void");
    Ok(())
}

// Found in the logs of a run: the store fell silent to one entry, which waited on its feed for
// seven seconds while its peers knew better.
#[tokio::test]
async fn silent_to_one() -> anyhow::Result<()> {
    let mut site = standin::Site::start(standin::Sizes::default()).await?;
    let relay = site.relay_store().await?;
    site.add_edge().await?;
    site.wait_ready().await?;
    assert!(is_served(&site, 1, standin::UNSAFE).await);
    relay.set(relay::Mode::Hold, relay::Mode::Hold);
    site.store.remove("servers", "i-plain-1");
    site.store.put("op", "config", longer_config(&site, 5));
    assert!(served_within(&site, 1, "/added/x", 3_000).await, "{}", site.edges[1].log());
    tokio::time::sleep(time::Duration::from_millis(2_000)).await;
    assert!(site.edges[1].log().contains("store lost"), "{}", site.edges[1].log());
    let before = site.plain[1].requests().len();
    for _ in 0..10 {
        assert!(is_served(&site, 1, standin::SAFE).await);
    }
    assert_eq!(site.plain[1].requests().len(), before, "a server that is gone is used");
    relay.set(relay::Mode::Pass, relay::Mode::Pass);
    site.store.put("op", "config", site.config(9).to_string());
    tokio::time::sleep(time::Duration::from_millis(3_000)).await;
    assert!(!is_served(&site, 1, "/added/x").await, "the store is followed again");
    Ok(())
}

// Found in an incident: after an outage of the store an entry that learned from a peer dropped
// servers whose lapsed entries the peer still waited for.
#[tokio::test]
async fn lapsed_at_peer() -> anyhow::Result<()> {
    let mut site = standin::Site::start(standin::Sizes::default()).await?;
    let relay = site.relay_store().await?;
    site.add_edge().await?;
    site.wait_ready().await?;
    relay.set(relay::Mode::Hold, relay::Mode::Hold);
    site.store.put("op", "config", longer_config(&site, 5));
    assert!(served_within(&site, 1, "/added/x", 3_000).await, "{}", site.edges[1].log());

    site.store.set_mode(store::Mode::Busy);
    let entry = site.store.get("servers", "i-plain-1").unwrap();
    site.store.remove("servers", "i-plain-1");
    tokio::time::sleep(time::Duration::from_millis(2_000)).await;
    assert!(site.edges[1].log().contains("store lost"), "{}", site.edges[1].log());
    site.store.set_mode(store::Mode::Up);
    wait_log(&site, 0, r#"store regained","table":"Servers""#, 2).await?;
    site.store.put("op", "config", site.config(9).to_string());
    wait_log(&site, 1, r#""version":9"#, 1).await?;

    let entry = String::from_utf8(entry)?;
    site.store.put("servers", "i-plain-1", entry);
    tokio::time::sleep(time::Duration::from_millis(2_500)).await;
    let log = site.edges[1].log();
    assert!(log.contains("server waited for"), "{log}");
    assert!(!log.contains(r#"Gone(\"i-plain-1\")"#), "{log}");
    Ok(())
}

// Waits until the log of an entry has `text` on `count` lines.
async fn wait_log(
    site: &standin::Site,
    edge: usize,
    text: &str,
    count: usize,
) -> anyhow::Result<()> {
    for _ in 0..100 {
        if site.edges[edge].log().matches(text).count() >= count {
            return Ok(());
        }
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
    anyhow::bail!("no {text} in {}", site.edges[edge].log())
}
