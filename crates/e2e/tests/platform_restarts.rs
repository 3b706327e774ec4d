//! Plain servers that start again under their ids, and whose writes the store carries out late.

use std::time;

use hyper::Method;

use rhubarb_e2e::site;

/// Time after which a server that leaves gets no more requests (`drain_ms`).
const DRAIN: time::Duration = time::Duration::from_millis(3_000);
/// Time within which a change of the servers is in force.
const IN_FORCE: time::Duration = time::Duration::from_millis(1_000);
const CALLS: usize = 40;

// Sends requests through the entry, and returns how many reached the first plain server.
async fn reached(site: &site::Site, name: &str) -> anyhow::Result<usize> {
    let before = site.plain[0].requests().len();
    for number in 0..CALLS {
        let attempt = format!("{name}-{number}");
        let reply = site.edges[0].call(Method::POST, site::SAFE, &attempt, "b").await?;
        anyhow::ensure!(reply.status == 200, "{reply:?}");
    }
    Ok(site.plain[0].requests().len() - before)
}

// Guards against requests to a server that leaves, after a late write of its process before.
#[tokio::test]
async fn late_row() -> anyhow::Result<()> {
    let site = site::Site::start(site::Sizes::default()).await?;
    let server = &site.plain[0];
    let earlier = site::server_row(server).to_string();
    server.restart();
    assert_ne!(site::server_row(server).to_string(), earlier, "it has started again");
    site.announce(server, "ready");
    tokio::time::sleep(IN_FORCE).await;
    assert!(reached(&site, "before").await? > 0);
    site.announce(server, "draining");
    let bound = tokio::time::Instant::now() + DRAIN;
    tokio::time::sleep(IN_FORCE).await;
    site.store.put("servers", &server.id, earlier);
    tokio::time::sleep_until(bound).await;
    assert_eq!(reached(&site, "late").await?, 0, "{}", site.edges[0].log());
    Ok(())
}
