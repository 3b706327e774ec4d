//! Plain requests on the platform: routes, limits and the response to each server fault.

use std::time;

use hyper::Method;

use rhubarb_e2e::site;
use rhubarb_fakes::backend;

use backend::Fault;

#[tokio::test]
async fn forwarded_unchanged() -> anyhow::Result<()> {
    let site = site::Site::start(site::Sizes::default()).await?;
    let forged = [("x-stage", "prefill"), ("x-kv-source", "10.0.0.1:1/h"), ("x-other", "kept")];
    let path = "/unsafe/a%20b?c=%2F&d";
    let reply = site.edges[0].call_with(Method::POST, path, "a1", "body", &forged).await?;
    assert_eq!((reply.status, reply.body.as_deref()), (200, Some("body")));
    let ran = site.plain.iter().find(|plain| plain.runs().contains_key("a1"));
    let seal = ran.map(|plain| plain.seal("a1")).unwrap_or_default();
    assert_eq!(reply.headers["x-response-seal"], seal.as_str());
    let seen: Vec<_> = site.plain.iter().flat_map(|plain| plain.requests()).collect();
    assert_eq!(seen.len(), 1);
    assert_eq!(seen[0].target, path);
    assert_eq!(seen[0].headers["x-other"], "kept");
    assert!(!seen[0].headers.contains_key("x-stage"));
    assert!(!seen[0].headers.contains_key("x-kv-source"));
    Ok(())
}

#[tokio::test]
async fn local_rejections() -> anyhow::Result<()> {
    let site = site::Site::start(site::Sizes::default()).await?;
    let edge = &site.edges[0];
    let no_route = edge.call(Method::GET, "/none/x", "a1", "").await?;
    assert_eq!(no_route.status, 404);
    let too_large = edge.call(Method::POST, site::UNSAFE, "a2", &"x".repeat(70_000)).await?;
    assert_eq!(too_large.status, 413);
    assert_eq!(site.runs("a1") + site.runs("a2"), 0);
    Ok(())
}

// Status that the caller receives while every server has the fault, and number of runs.
#[tokio::test]
async fn fault_table() -> anyhow::Result<()> {
    let site = site::Site::start(site::Sizes::default()).await?;
    let cases = [
        (Fault::None, site::SAFE, 200, 1),
        (Fault::None, site::UNSAFE, 200, 1),
        (Fault::Sheds, site::SAFE, 503, 0),
        (Fault::Sheds, site::UNSAFE, 503, 0),
        (Fault::Moved, site::UNSAFE, 503, 0),
        (Fault::Fails, site::SAFE, 500, 2),
        (Fault::Fails, site::UNSAFE, 500, 1),
        (Fault::Resets, site::SAFE, 502, 2),
        (Fault::Resets, site::UNSAFE, 502, 1),
        (Fault::OtherId, site::SAFE, 502, 2),
        (Fault::OtherId, site::UNSAFE, 502, 1),
        (Fault::Hangs, site::SAFE, 504, 2),
        (Fault::Hangs, site::UNSAFE, 504, 1),
    ];
    for (number, (fault, path, status, runs)) in cases.into_iter().enumerate() {
        for plain in &site.plain {
            plain.set_fault(fault);
        }
        let attempt = format!("a{number}");
        let reply = site.edges[0].call(Method::POST, path, &attempt, "body").await?;
        assert_eq!(reply.status, status, "{fault:?} {path}");
        assert_eq!(site.runs(&attempt), runs, "{fault:?} {path}: {}", site.edges[0].log());
        let has_retry_after = reply.headers.contains_key("retry-after");
        assert_eq!(has_retry_after, status == 503, "{fault:?} {path}");
        assert!(
            reply.elapsed < time::Duration::from_millis(2_000),
            "{fault:?}: {:?}",
            reply.elapsed
        );
        if fault == Fault::Moved {
            wait_back(&site).await?;
        }
    }
    Ok(())
}

/// Time within which a server that answers at its address again is asked and used again.
const BACK_TIME: time::Duration = time::Duration::from_secs(2);

// Ends the faults of all servers and waits until requests are served again. Servers that have all answered
// as others are used again once they have been asked.
async fn wait_back(site: &site::Site) -> anyhow::Result<()> {
    site.plain.iter().for_each(|plain| plain.set_fault(Fault::None));
    let since = time::Instant::now();
    let runs = || site.plain.iter().all(|plain| plain.runs().contains_key("back"));
    while !runs() {
        anyhow::ensure!(since.elapsed() < BACK_TIME, "{}", site.edges[0].log());
        site.edges[0].call(Method::POST, site::SAFE, "back", "b").await?;
    }
    Ok(())
}

#[tokio::test]
async fn retried_elsewhere() -> anyhow::Result<()> {
    let site = site::Site::start(site::Sizes::default()).await?;
    for (number, fault) in [Fault::Sheds, Fault::Moved].into_iter().enumerate() {
        site.plain[0].set_fault(fault);
        for attempt in 0..10 {
            let attempt = format!("a{number}-{attempt}");
            let reply = site.edges[0].call(Method::POST, site::UNSAFE, &attempt, "b").await?;
            assert_eq!(reply.status, 200, "{fault:?}");
            assert_eq!(site.runs(&attempt), 1);
        }
    }
    Ok(())
}

// Guards against bytes of an abandoned request that arrive once a network partition heals: unsent
// bytes are still delivered after an orderly close, but dropped by a reset.
#[tokio::test]
async fn abandoned_connection_reset() -> anyhow::Result<()> {
    let site = site::Site::start(site::Sizes::default()).await?;
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
    let text = site.store.get("servers", "i-plain-0").unwrap();
    let mut row: serde_json::Value = serde_json::from_slice(&text)?;
    row["address"] = serde_json::json!(listener.local_addr()?);
    site.store.remove("servers", "i-plain-1");
    site.store.remove("servers", "i-plain-0");
    site.store.put("servers", "i-mute", row.to_string());
    tokio::time::sleep(time::Duration::from_millis(300)).await;
    let call = site.edges[0].call(Method::POST, site::UNSAFE, "a1", "body");
    let server = async {
        let (mut stream, _) = listener.accept().await?;
        let mut bytes = Vec::new();
        tokio::io::AsyncReadExt::read_to_end(&mut stream, &mut bytes).await?;
        // A reset follows the end of the stream; after an orderly close the first write succeeds.
        tokio::time::sleep(time::Duration::from_millis(100)).await;
        tokio::io::AsyncWriteExt::write_all(&mut stream, b"late").await
    };
    let (reply, written) = tokio::join!(call, server);
    assert_eq!(reply?.status, 504);
    assert!(written.is_err(), "the connection was not reset");
    Ok(())
}
