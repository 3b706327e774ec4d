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
    let seen: Vec<_> = site.decode.iter().flat_map(|decode| decode.requests()).collect();
    assert!(seen.iter().all(|seen| seen.headers.contains_key("x-kv-source")));
    assert!(seen.iter().all(|seen| seen.headers.contains_key("x-kv-hold")));
    assert!(settled(&site).await, "an engine keeps something");
    Ok(())
}

/// Calls after which a fault must have been met; each takes one of two engines.
const MOST_CALLS: usize = 24;
/// Requests that have to meet a fault: a hold, a stream, and one of both again.
const MEETINGS: u64 = 4;

// One decode engine has the fault; what the caller gets must be whole or visibly broken off.
async fn meet(fault: Fault, is_served: bool) -> anyhow::Result<()> {
    let site = standin::Site::start(standin::Sizes::default()).await?;
    site.decode[0].set_fault(fault);
    for number in 0..MOST_CALLS {
        if site.decode[0].faulted() >= MEETINGS {
            break;
        }
        let attempt = format!("r{number}");
        let reply = site.edges[0].call(Method::POST, standin::RESUMABLE, &attempt, "b").await?;
        let whole = (200, Some(standin::whole_stream()));
        assert_eq!((reply.status, reply.body), whole, "{fault:?}");
        let attempt = format!("o{number}");
        let reply = site.edges[0].call(Method::POST, standin::STREAM, &attempt, "b").await?;
        assert!(site.runs(&attempt) <= 1, "{fault:?}: a request ran twice");
        let is_whole = reply.body.as_deref() == Some(standin::whole_stream().as_str());
        let is_broken = reply.body.is_none();
        let is_own = reply.is_own() && reply.status >= 500;
        assert!(is_whole || is_broken || is_own, "{fault:?}: {reply:?}");
        assert!(!is_served || is_whole, "{fault:?}: nothing had run");
    }
    let met = site.decode[0].faulted();
    assert!(met >= MEETINGS, "{fault:?} was met {met} times only");
    assert!(settled(&site).await, "{fault:?}: an engine keeps something");
    Ok(())
}

#[tokio::test]
async fn fault_table() -> anyhow::Result<()> {
    let broken = [
        Fault::AbortsStream,
        Fault::TruncatesStream,
        Fault::Stalls,
        Fault::SkipsEvent,
        Fault::Resets,
    ];
    for fault in broken {
        meet(fault, false).await?;
    }
    for fault in [Fault::Sheds, Fault::Full, Fault::Moved] {
        meet(fault, true).await?;
    }
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
    for fault in [Fault::Sheds, Fault::Hangs, Fault::Moved, Fault::EvictsResults] {
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

// Either half keeps events from coming twice, so each is looked at by itself.
#[tokio::test]
async fn resumed_once() -> anyhow::Result<()> {
    let site = standin::Site::start(standin::Sizes::default()).await?;
    site.decode[0].set_fault(Fault::AbortsStream);
    site.decode[1].set_fault(Fault::StartsOver);
    for number in 0..MOST_CALLS {
        let attempt = format!("a{number}");
        let reply = site.edges[0].call(Method::POST, standin::RESUMABLE, &attempt, "b").await?;
        assert_eq!((reply.status, reply.body), (200, Some(standin::whole_stream())));
        if site.runs(&attempt) == 2 {
            let seen = site.decode[1].requests();
            assert_eq!(seen.last().unwrap().headers["last-event-id"], "1");
            return Ok(());
        }
    }
    anyhow::bail!("no stream was resumed in {MOST_CALLS} calls")
}

// A caller that leaves before its answer can be whole is told so at once, and nothing runs.
#[tokio::test]
async fn no_time_left() -> anyhow::Result<()> {
    let site = standin::Site::start(standin::Sizes::default()).await?;
    let edge = &site.edges[0];
    let size = ("x-token-usage", "100,6");
    for number in 0..3 {
        let id = format!("a{number}");
        let reply = edge.call_with(Method::POST, standin::STREAM, &id, "b", &[size]).await?;
        assert_eq!(reply.body, Some(standin::whole_stream()));
    }
    // Six events take 80 ms from the first to the last, without one pause.
    let headers = [size, ("x-length-hint", "6"), ("x-deadline-ms", "45")];
    let reply = edge.call_with(Method::POST, standin::STREAM, "late", "b", &headers).await?;
    assert_eq!(reply.status, 503);
    assert!(reply.headers.contains_key("retry-after"));
    assert_eq!(site.runs("late"), 0);
    Ok(())
}
