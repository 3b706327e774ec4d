//! Plain requests on the platform: routes, limits, and what each fault of a server leads to.

use std::time;

use hyper::Method;

use rhubarb_e2e::standin;
use rhubarb_fakes::backend;

use backend::Fault;

#[tokio::test]
async fn passed_unchanged() -> anyhow::Result<()> {
    let site = standin::Site::start(standin::Sizes::default()).await?;
    let forged = [("x-stage", "prefill"), ("x-kv-source", "10.0.0.1:1/h"), ("x-other", "kept")];
    let path = "/unsafe/a%20b?c=%2F&d";
    let reply = site.edges[0].call_with(Method::POST, path, "a1", "body", &forged).await?;
    assert_eq!((reply.status, reply.body.as_deref()), (200, Some("body")));
    assert_eq!(reply.headers["x-response-seal"], "seal");
    let seen: Vec<_> = site.plain.iter().flat_map(|plain| plain.requests()).collect();
    assert_eq!(seen.len(), 1);
    assert_eq!(seen[0].target, path);
    assert_eq!(seen[0].headers["x-other"], "kept");
    assert!(!seen[0].headers.contains_key("x-stage"));
    assert!(!seen[0].headers.contains_key("x-kv-source"));
    Ok(())
}

#[tokio::test]
async fn own_refusals() -> anyhow::Result<()> {
    let site = standin::Site::start(standin::Sizes::default()).await?;
    let edge = &site.edges[0];
    let none = edge.call(Method::GET, "/none/x", "a1", "").await?;
    assert_eq!(none.status, 404);
    let large = edge.call(Method::POST, standin::UNSAFE, "a2", &"x".repeat(70_000)).await?;
    assert_eq!(large.status, 413);
    assert_eq!(site.runs("a1") + site.runs("a2"), 0);
    Ok(())
}

// What a caller gets while every server has the fault, and how often the request ran.
#[tokio::test]
async fn fault_table() -> anyhow::Result<()> {
    let site = standin::Site::start(standin::Sizes::default()).await?;
    let cases = [
        (Fault::None, standin::SAFE, 200, 1),
        (Fault::None, standin::UNSAFE, 200, 1),
        (Fault::Sheds, standin::SAFE, 503, 0),
        (Fault::Sheds, standin::UNSAFE, 503, 0),
        (Fault::Moved, standin::UNSAFE, 503, 0),
        (Fault::Fails, standin::SAFE, 500, 2),
        (Fault::Fails, standin::UNSAFE, 500, 1),
        (Fault::Resets, standin::SAFE, 502, 2),
        (Fault::Resets, standin::UNSAFE, 502, 1),
        (Fault::OtherId, standin::SAFE, 502, 2),
        (Fault::OtherId, standin::UNSAFE, 502, 1),
        (Fault::Hangs, standin::SAFE, 504, 2),
        (Fault::Hangs, standin::UNSAFE, 504, 1),
    ];
    for (number, (fault, path, status, runs)) in cases.into_iter().enumerate() {
        for plain in &site.plain {
            plain.set_fault(fault);
        }
        let attempt = format!("a{number}");
        let reply = site.edges[0].call(Method::POST, path, &attempt, "body").await?;
        assert_eq!(reply.status, status, "{fault:?} {path}");
        assert_eq!(site.runs(&attempt), runs, "{fault:?} {path}: {}", site.edges[0].log());
        let is_promise = reply.headers.contains_key("retry-after");
        assert_eq!(is_promise, status == 503, "{fault:?} {path}");
        assert!(reply.taken < time::Duration::from_millis(2_000), "{fault:?}: {:?}", reply.taken);
    }
    Ok(())
}

#[tokio::test]
async fn other_server_serves() -> anyhow::Result<()> {
    let site = standin::Site::start(standin::Sizes::default()).await?;
    for (number, fault) in [Fault::Sheds, Fault::Moved].into_iter().enumerate() {
        site.plain[0].set_fault(fault);
        for attempt in 0..10 {
            let attempt = format!("a{number}-{attempt}");
            let reply = site.edges[0].call(Method::POST, standin::UNSAFE, &attempt, "b").await?;
            assert_eq!(reply.status, 200, "{fault:?}");
            assert_eq!(site.runs(&attempt), 1);
        }
    }
    Ok(())
}

// Found by a hunt: bytes of a request that was given up behind a cut arrived after it had healed.
#[tokio::test]
async fn given_up_discarded() -> anyhow::Result<()> {
    let site = standin::Site::start(standin::Sizes::default()).await?;
    let mute = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
    let text = site.store.get("servers", "i-plain-0").unwrap();
    let mut entry: serde_json::Value = serde_json::from_slice(&text)?;
    entry["address"] = serde_json::json!(mute.local_addr()?);
    site.store.remove("servers", "i-plain-1");
    site.store.remove("servers", "i-plain-0");
    site.store.put("servers", "i-mute", entry.to_string());
    tokio::time::sleep(time::Duration::from_millis(300)).await;
    let call = site.edges[0].call(Method::POST, standin::UNSAFE, "a1", "body");
    let silent = async {
        let (mut stream, _) = mute.accept().await?;
        let mut bytes = Vec::new();
        tokio::io::AsyncReadExt::read_to_end(&mut stream, &mut bytes).await?;
        // The end is followed by a reset; after an orderly close the first write is accepted.
        tokio::time::sleep(time::Duration::from_millis(100)).await;
        tokio::io::AsyncWriteExt::write_all(&mut stream, b"late").await
    };
    let (reply, ended) = tokio::join!(call, silent);
    assert_eq!(reply?.status, 504);
    assert!(ended.is_err(), "the connection was not reset");
    Ok(())
}
