//! Rows of the store that another writer has left, beside those of the servers.

use std::time;

use hyper::Method;
use serde_json::json;

use rhubarb_e2e::site;

/// Time within which a change of the servers is in force.
const IN_FORCE: time::Duration = time::Duration::from_millis(2_500);
/// Levels of a value that fills a row.
const LEVELS: usize = 30_000;

// Values of rows that name no server to use.
fn odd_values() -> Vec<String> {
    let nested = format!("{}{}", "[".repeat(LEVELS), "]".repeat(LEVELS));
    let objects = format!("{}1{}", "{\"a\":".repeat(LEVELS / 3), "}".repeat(LEVELS / 3));
    let row = |field: &str, value: &str| {
        let mut row = json!({
            "service": "plain", "address": "127.0.0.1:9", "zone": "hall-a", "version": "v1",
            "batch_slots": 6, "state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": 1,
        });
        row[field] = json!("ODD");
        row.to_string().replace("\"ODD\"", value)
    };
    vec![
        nested.clone(),
        objects.clone(),
        "[".repeat(LEVELS),
        String::new(),
        "null".to_string(),
        "17".to_string(),
        row("service", &nested),
        row("address", &objects),
        row("address", "\"127.0.0.1:0\""),
        row("address", "\"127.0.0.1:70000\""),
        row("address", "\"0.0.0.0:80\""),
        row("address", "\"127.0.0.1:-1\""),
        row("batch_slots", "1e400"),
        row("batch_slots", "4294967295"),
        row("batch_slots", "99999999999999999999999999"),
        row("cold_remaining_ms", "1e400"),
        row("sequence", "18446744073709551616"),
        row("born", "18446744073709551616"),
        row("born", "-1"),
        row("state", &nested),
    ]
}

// Texts in place of rows in a response, which cannot be decoded.
fn odd_texts(server: &str) -> Vec<String> {
    let nested = format!("{}{}", "[".repeat(LEVELS), "]".repeat(LEVELS));
    // `{}` in base64.
    let value = "e30=";
    vec![
        "17".to_string(),
        "null".to_string(),
        nested.clone(),
        format!("{{\"key\":\"i-odd\",\"ver\":1,\"value\":\"{value}\",\"x\":{nested}}}"),
        format!("{{\"key\":\"\\ud800\",\"ver\":1,\"value\":\"{value}\"}}"),
        format!("{{\"key\":\"i-odd\",\"ver\":1e400,\"value\":\"{value}\"}}"),
        format!("{{\"key\":\"i-odd\",\"ver\":18446744073709551616,\"value\":\"{value}\"}}"),
        format!("{{\"key\":\"i-odd\",\"ver\":-1,\"value\":\"{value}\"}}"),
        "{\"key\":\"i-odd\",\"ver\":1,\"value\":17}".to_string(),
        "{\"key\":{},\"ver\":1}".to_string(),
        "{\"ver\":1}".to_string(),
        // A row of another part of the table.
        format!(
            "{{\"part\":\"p\",\"key\":\"{server}\",\"ver\":999999,\"value\":null,\"deleted\":true}}"
        ),
    ]
}

async fn serves(site: &site::Site, edge: usize, path: &str) -> bool {
    let reply = site.edges[edge].call(Method::POST, path, "a", "b").await;
    reply.is_ok_and(|reply| reply.status == 200)
}

// A server that joins and one that leaves are in force at all entries, and a route that was added.
async fn check_following(site: &mut site::Site, version: u64) -> anyhow::Result<()> {
    let old = site.plain[0].clone();
    site.replace_server(&old).await?;
    site.store.put("op", "config", site.config(version).to_string());
    tokio::time::sleep(IN_FORCE).await;
    let before = (old.arrivals().len(), site.plain[0].arrivals().len());
    for edge in 0..site.edges.len() {
        for _ in 0..10 {
            anyhow::ensure!(serves(site, edge, site::SAFE).await, "{}", site.edges[edge].log());
        }
        anyhow::ensure!(serves(site, edge, site::RESUMABLE).await);
    }
    anyhow::ensure!(old.arrivals().len() == before.0, "a removed server is used");
    anyhow::ensure!(site.plain[0].arrivals().len() > before.1, "a new server is not used");
    for edge in &mut site.edges {
        anyhow::ensure!(edge.exit_code().is_none(), "an entry has ended");
        anyhow::ensure!(!edge.log().contains("panicked"), "{}", edge.log());
    }
    Ok(())
}

fn put_odd_values(site: &site::Site) {
    for (number, value) in odd_values().into_iter().enumerate() {
        site.store.put("servers", &format!("i-odd-{number}"), value);
    }
    site.store.put("servers", "i-odd-bytes", vec![0xff, 0xfe, 0x00, 0x80]);
    site.store.put("servers", "", "{}");
}

// Guards against one odd entry among those of the servers that ends entries, or their following of the
// list (issue 47).
#[tokio::test]
async fn odd_values_ignored() -> anyhow::Result<()> {
    let mut site = site::Site::prepare(site::Sizes::default()).await?;
    put_odd_values(&site);
    for _ in 0..2 {
        site.add_edge().await?;
    }
    site.wait_ready().await?;
    check_following(&mut site, 2).await?;
    put_odd_values(&site);
    check_following(&mut site, 3).await?;
    site.restart_edge(1)?;
    site.wait_ready().await?;
    check_following(&mut site, 4).await
}

// The same for a row that cannot be decoded, which must not cost the others of its response.
#[tokio::test]
async fn odd_texts_ignored() -> anyhow::Result<()> {
    let mut site = site::Site::prepare(site::Sizes::default()).await?;
    for _ in 0..2 {
        site.add_edge().await?;
    }
    site.wait_ready().await?;
    let texts = odd_texts(&site.plain[1].id);
    let texts: Vec<_> = texts.iter().map(String::as_str).collect();
    site.store.set_odd_rows("servers", &texts);
    check_following(&mut site, 2).await?;
    site.restart_edge(1)?;
    site.wait_ready().await?;
    check_following(&mut site, 3).await
}

// The same in the tables that entries write themselves.
#[tokio::test]
async fn odd_own_rows() -> anyhow::Result<()> {
    let mut site = site::Site::prepare(site::Sizes::default()).await?;
    let tables = ["members", "leases", "suspects", "trials", "releases", "streams"];
    for table in tables {
        for (number, value) in odd_values().into_iter().enumerate() {
            site.store.put(table, &format!("odd-{number}"), value);
        }
        site.store.put(table, "models", vec![0xff; 64]);
        site.store.put(table, "stages", vec![0xff; 64]);
    }
    for _ in 0..2 {
        site.add_edge().await?;
    }
    site.wait_ready().await?;
    check_following(&mut site, 2).await?;
    for table in tables {
        site.store.set_odd_rows(table, &["17", "{\"key\":\"\\ud800\",\"ver\":1}"]);
        site.restart_edge(1)?;
        site.wait_ready().await?;
    }
    check_following(&mut site, 3).await
}
