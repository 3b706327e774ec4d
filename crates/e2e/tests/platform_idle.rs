//! Connections to servers that were idle.

use std::time;

use hyper::Method;

use rhubarb_e2e::site;

/// Idle time after which a connection is probed.
const PROBED_AFTER: time::Duration = time::Duration::from_millis(1_000);

// Guards against a request that reaches a server seconds late, after it has said that it leaves: it was
// written to a connection whose probes stayed unanswered.
#[tokio::test]
async fn probed_unused() -> anyhow::Result<()> {
    let sizes = site::Sizes { relays: true, ..site::Sizes::default() };
    let site = site::Site::start(sizes).await?;
    let call = async |attempt: &str| {
        let reply = site.edges[0].call(Method::POST, site::UNSAFE, attempt, "b").await;
        reply.map(|reply| reply.status)
    };
    for number in 0..10 {
        assert_eq!(call(&format!("first-{number}")).await?, 200);
    }
    tokio::time::sleep(PROBED_AFTER).await;
    for relay in site.relays.values() {
        relay.blackhole();
    }
    for number in 0..10 {
        let status = call(&format!("later-{number}")).await?;
        assert_eq!(status, 200, "{}", site.edges[0].log());
    }
    Ok(())
}
