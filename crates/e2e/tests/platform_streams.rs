//! Streams on the platform: whole, resumed only where that is allowed, and nothing kept after.

use std::time;

use hyper::Method;

use rhubarb_e2e::standin;
use rhubarb_fakes::backend;

use backend::Fault;

async fn settled(site: &standin::Site) -> bool {
    for _ in 0..60 {
        if site.kept() == 0 {
            return true;
        }
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
    false
}

#[tokio::test]
async fn whole_streams() -> anyhow::Result<()> {
    let site = standin::Site::start(standin::Sizes::default()).await?;
    for (attempt, path) in [("a1", standin::RESUMABLE), ("a2", standin::STREAM)] {
        let reply = site.edges[0].call(Method::POST, path, attempt, "body").await?;
        assert_eq!((reply.status, reply.body), (200, Some(standin::whole_stream())), "{path}");
        assert_eq!(site.runs(attempt), 1);
    }
    let seen: Vec<_> = site.decode.iter().flat_map(|decode| decode.seen()).collect();
    assert!(seen.iter().all(|seen| seen.headers.contains_key("x-kv-source")));
    assert!(seen.iter().all(|seen| seen.headers.contains_key("x-kv-hold")));
    assert!(settled(&site).await, "an engine keeps something");
    Ok(())
}

// One decode engine has the fault; what the caller gets must be whole or visibly broken off.
#[tokio::test]
async fn fault_table() -> anyhow::Result<()> {
    let site = standin::Site::start(standin::Sizes::default()).await?;
    let resumed = [Fault::CutsStream, Fault::Stalls, Fault::SkipsEvent, Fault::Resets];
    let refused = [Fault::Sheds, Fault::Full, Fault::Moved];
    let cases = resumed.into_iter().chain(refused);
    for (number, fault) in cases.enumerate() {
        for decode in &site.decode {
            decode.set_fault(Fault::None);
        }
        site.decode[0].set_fault(fault);
        for attempt in 0..4 {
            let attempt = format!("r{number}-{attempt}");
            let reply = site.edges[0].call(Method::POST, standin::RESUMABLE, &attempt, "b").await?;
            assert_eq!(
                (reply.status, reply.body),
                (200, Some(standin::whole_stream())),
                "{fault:?}"
            );
            let attempt = format!("o{attempt}");
            let reply = site.edges[0].call(Method::POST, standin::STREAM, &attempt, "b").await?;
            assert!(site.runs(&attempt) <= 1, "{fault:?}: a request ran twice");
            let is_whole = reply.body.as_deref() == Some(standin::whole_stream().as_str());
            let is_broken = reply.body.is_none();
            let is_own = !reply.headers.contains_key("x-response-seal") && reply.status >= 500;
            assert!(is_whole || is_broken || is_own, "{fault:?}: {reply:?}");
            let is_served = refused.contains(&fault);
            assert!(!is_served || is_whole, "{fault:?}: nothing had run");
        }
    }
    assert!(settled(&site).await, "an engine keeps something");
    Ok(())
}

#[tokio::test]
async fn no_memory_anywhere() -> anyhow::Result<()> {
    let site = standin::Site::start(standin::Sizes::default()).await?;
    for decode in &site.decode {
        decode.set_fault(Fault::Full);
    }
    let reply = site.edges[0].call(Method::POST, standin::STREAM, "a1", "body").await?;
    assert_eq!(reply.status, 503);
    assert!(reply.headers.contains_key("retry-after"), "{reply:?}");
    assert!(reply.taken < time::Duration::from_millis(600), "{:?}", reply.taken);
    assert_eq!(site.runs("a1"), 0);
    assert_eq!(site.kept(), 0, "no prompt is read for a request without room");
    Ok(())
}

#[tokio::test]
async fn prefill_fails() -> anyhow::Result<()> {
    let sizes = standin::Sizes { prefill: 2, ..standin::Sizes::default() };
    let site = standin::Site::start(sizes).await?;
    for fault in [Fault::Sheds, Fault::Mute, Fault::Moved, Fault::Forgets] {
        site.prefill[0].set_fault(fault);
        let attempt = format!("a-{fault:?}");
        let reply = site.edges[0].call(Method::POST, standin::STREAM, &attempt, "body").await?;
        assert_eq!((reply.status, reply.body), (200, Some(standin::whole_stream())), "{fault:?}");
    }
    Ok(())
}

#[tokio::test]
async fn caller_gone() -> anyhow::Result<()> {
    let site = standin::Site::start(standin::Sizes::default()).await?;
    for decode in &site.decode {
        decode.set_fault(Fault::Stalls);
    }
    let call = site.edges[0].call(Method::POST, standin::STREAM, "a1", "body");
    assert!(tokio::time::timeout(time::Duration::from_millis(400), call).await.is_err());
    let start = time::Instant::now();
    assert!(settled(&site).await, "the engine still works for a caller that is gone");
    assert!(start.elapsed() < time::Duration::from_millis(500));
    Ok(())
}

// Found by a hunt: a stream that stood still was ended although no other server could go on.
#[tokio::test]
async fn pause_without_room() -> anyhow::Result<()> {
    let sizes = standin::Sizes { decode: 1, ..standin::Sizes::default() };
    let site = standin::Site::start(sizes).await?;
    site.decode[0].set_fault(Fault::Pauses);
    let reply = site.edges[0].call(Method::POST, standin::RESUMABLE, "a1", "body").await?;
    assert_eq!((reply.status, reply.body), (200, Some(standin::whole_stream())));
    assert_eq!(site.runs("a1"), 1);
    Ok(())
}
