//! Streams on the platform are complete, resumed only where allowed, and leave no engine memory
//! behind.

use std::time;

use hyper::Method;

use rhubarb_e2e::site;
use rhubarb_fakes::{backend, pace, store};

use backend::Fault;

// Waits until no engine holds memory; returns false if one still does after 3 s.
async fn wait_released(site: &site::Site) -> bool {
    for _ in 0..60 {
        if site.outstanding() == 0 {
            return true;
        }
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
    false
}

/// Time without an answer after which earlier ones tell nothing of the speed of engines.
const LAPSE_TIME: time::Duration = time::Duration::from_millis(10_500);

#[tokio::test]
async fn complete_streams() -> anyhow::Result<()> {
    let site = site::Site::start(site::Sizes::default()).await?;
    for (attempt, path) in [("a1", site::RESUMABLE), ("a2", site::STREAM)] {
        let reply = site.edges[0].call(Method::POST, path, attempt, "body").await?;
        assert_eq!((reply.status, reply.body), (200, Some(site::full_stream())), "{path}");
        assert_eq!(site.runs(attempt), 1);
    }
    let seen: Vec<_> = site.decode.iter().flat_map(|decode| decode.requests()).collect();
    assert!(seen.iter().all(|seen| seen.headers.contains_key("x-kv-source")));
    assert!(seen.iter().all(|seen| seen.headers.contains_key("x-kv-hold")));
    assert!(wait_released(&site).await, "an engine still holds memory");
    Ok(())
}

/// Maximum number of calls to hit a fault often enough; each call uses one of two engines.
const MAX_CALLS: usize = 24;
/// Requests that must hit a fault: a hold, a stream, and one more of each.
const MIN_HITS: u64 = 4;

// Sets the fault of one decode engine. The caller must receive a complete response, an error or a
// response that is visibly cut off; with `must_serve`, a complete one.
async fn check_fault(fault: Fault, must_serve: bool) -> anyhow::Result<()> {
    let site = site::Site::start(site::Sizes::default()).await?;
    site.decode[0].set_fault(fault);
    for number in 0..MAX_CALLS {
        if site.decode[0].fault_hits() >= MIN_HITS {
            break;
        }
        let attempt = format!("r{number}");
        let reply = site.edges[0].call(Method::POST, site::RESUMABLE, &attempt, "b").await?;
        let complete = (200, Some(site::full_stream()));
        assert_eq!((reply.status, reply.body), complete, "{fault:?}");
        let attempt = format!("o{number}");
        let reply = site.edges[0].call(Method::POST, site::STREAM, &attempt, "b").await?;
        assert!(site.runs(&attempt) <= 1, "{fault:?}: a request ran twice");
        let is_complete = reply.body.as_deref() == Some(site::full_stream().as_str());
        let is_cut_off = reply.body.is_none();
        let is_local_error = reply.is_local() && reply.status >= 500;
        assert!(is_complete || is_cut_off || is_local_error, "{fault:?}: {reply:?}");
        assert!(!must_serve || is_complete, "{fault:?}: the request must be served elsewhere");
    }
    let hits = site.decode[0].fault_hits();
    assert!(hits >= MIN_HITS, "{fault:?} was hit only {hits} times");
    assert!(wait_released(&site).await, "{fault:?}: an engine still holds memory");
    Ok(())
}

#[tokio::test]
async fn fault_table() -> anyhow::Result<()> {
    let interrupting = [
        Fault::AbortsStream,
        Fault::TruncatesStream,
        Fault::Stalls,
        Fault::SkipsEvent,
        Fault::Resets,
    ];
    for fault in interrupting {
        check_fault(fault, false).await?;
    }
    for fault in [Fault::Sheds, Fault::Full, Fault::Moved] {
        check_fault(fault, true).await?;
    }
    Ok(())
}

#[tokio::test]
async fn engines_full() -> anyhow::Result<()> {
    let site = site::Site::start(site::Sizes::default()).await?;
    for decode in &site.decode {
        decode.set_fault(Fault::Full);
    }
    let reply = site.edges[0].call(Method::POST, site::STREAM, "a1", "body").await?;
    assert_eq!(reply.status, 503);
    assert!(reply.headers.contains_key("retry-after"), "{reply:?}");
    assert!(reply.elapsed < time::Duration::from_millis(600), "{:?}", reply.elapsed);
    assert_eq!(site.runs("a1"), 0);
    assert_eq!(site.outstanding(), 0, "no prompt is prefilled without a decode slot");
    Ok(())
}

#[tokio::test]
async fn prefill_faults() -> anyhow::Result<()> {
    let sizes = site::Sizes { prefill: 2, ..site::Sizes::default() };
    let site = site::Site::start(sizes).await?;
    for fault in [Fault::Sheds, Fault::Hangs, Fault::Moved, Fault::EvictsResults] {
        site.prefill[0].set_fault(fault);
        let attempt = format!("a-{fault:?}");
        let reply = site.edges[0].call(Method::POST, site::STREAM, &attempt, "body").await?;
        assert_eq!((reply.status, reply.body), (200, Some(site::full_stream())), "{fault:?}");
    }
    Ok(())
}

#[tokio::test]
async fn caller_disconnects() -> anyhow::Result<()> {
    let site = site::Site::start(site::Sizes::default()).await?;
    for decode in &site.decode {
        decode.set_fault(Fault::Stalls);
    }
    let call = site.edges[0].call(Method::POST, site::STREAM, "a1", "body");
    assert!(tokio::time::timeout(time::Duration::from_millis(400), call).await.is_err());
    let start = time::Instant::now();
    assert!(wait_released(&site).await, "the engine still runs a request of a disconnected caller");
    assert!(start.elapsed() < time::Duration::from_millis(500));
    Ok(())
}

// Guards against ending a stalled stream although no other server can resume it.
#[tokio::test]
async fn pause_without_alternative() -> anyhow::Result<()> {
    let sizes = site::Sizes { decode: 1, ..site::Sizes::default() };
    let site = site::Site::start(sizes).await?;
    site.decode[0].set_fault(Fault::Pauses);
    let reply = site.edges[0].call(Method::POST, site::RESUMABLE, "a1", "body").await?;
    assert_eq!((reply.status, reply.body), (200, Some(site::full_stream())));
    assert_eq!(site.runs("a1"), 1);
    Ok(())
}

// Both the `last-event-id` header and the filter of repeated events prevent duplicates, so each is
// checked separately.
#[tokio::test]
async fn resume_without_duplicates() -> anyhow::Result<()> {
    let site = site::Site::start(site::Sizes::default()).await?;
    site.decode[0].set_fault(Fault::AbortsStream);
    site.decode[1].set_fault(Fault::StartsOver);
    for number in 0..MAX_CALLS {
        let attempt = format!("a{number}");
        let reply = site.edges[0].call(Method::POST, site::RESUMABLE, &attempt, "b").await?;
        assert_eq!((reply.status, reply.body), (200, Some(site::full_stream())));
        if site.runs(&attempt) == 2 {
            let seen = site.decode[1].requests();
            assert_eq!(seen.last().unwrap().headers["last-event-id"], "1");
            return Ok(());
        }
    }
    anyhow::bail!("no stream was resumed in {MAX_CALLS} calls")
}

// A request whose deadline is too short for the complete response is rejected and does not run.
#[tokio::test]
async fn deadline_too_short() -> anyhow::Result<()> {
    let site = site::Site::start(site::Sizes::default()).await?;
    let edge = &site.edges[0];
    let usage = ("x-token-usage", "100,6");
    for number in 0..3 {
        let id = format!("a{number}");
        let reply = edge.call_with(Method::POST, site::STREAM, &id, "b", &[usage]).await?;
        assert_eq!(reply.body, Some(site::full_stream()));
    }
    // The entry measures the decode time without the longest gap: 4 gaps of 20 ms, thus 80 ms.
    let headers = [usage, ("x-length-hint", "6"), ("x-deadline-ms", "45")];
    let reply = edge.call_with(Method::POST, site::STREAM, "late", "b", &headers).await?;
    assert_eq!(reply.status, 503);
    assert!(reply.headers.contains_key("retry-after"));
    assert_eq!(site.runs("late"), 0);
    Ok(())
}

// Guards against an entry that refuses the streams of a service for good after some slow answers: it sent
// none any more that could show that the engines are fast again (related to review case 3).
#[tokio::test]
async fn slow_answers_lapse() -> anyhow::Result<()> {
    let site = site::Site::start(site::Sizes::default()).await?;
    let set_nature = |nature| {
        let pace = pace::Pace { nature, ..pace::Pace::default() };
        site.decode.iter().for_each(|engine| engine.set_pace(pace));
    };
    let usage = [("x-token-usage", "100,600")];
    let send = async |attempt: &str| {
        let edge = &site.edges[0];
        edge.call_with(Method::POST, site::STREAM, attempt, "b", &usage).await
    };
    set_nature(1_000);
    assert_eq!(send("slow").await?.body, Some(site::full_stream()));
    // 600 tokens at this speed take longer than the timeout of the route.
    assert_eq!(send("refused").await?.status, 503);
    set_nature(100);
    tokio::time::sleep(LAPSE_TIME).await;
    assert_eq!(send("served").await?.body, Some(site::full_stream()));
    Ok(())
}

// Guards against a resumed stream that is cut off though its caller has all events already.
#[tokio::test]
async fn nothing_left() -> anyhow::Result<()> {
    let site = site::Site::start(site::Sizes::default()).await?;
    let last = (backend::EVENTS - 1).to_string();
    let headers = [("last-event-id", last.as_str())];
    let edge = &site.edges[0];
    let reply = edge.call_with(Method::POST, site::RESUMABLE, "a1", "b", &headers).await?;
    assert_eq!((reply.status, reply.body.as_deref()), (200, Some("")));
    assert_eq!(site.runs("a1"), 1);
    Ok(())
}

// Sends streams until one began at the first decode engine and ran at the second one too, which has
// another fault. All must be parts of `whole`, and complete if they look so.
async fn check_resumed(first: Fault, second: Fault, whole: &str) -> anyhow::Result<()> {
    let site = site::Site::start(site::Sizes::default()).await?;
    site.decode[0].set_fault(first);
    site.decode[1].set_fault(second);
    for number in 0..MAX_CALLS {
        let attempt = format!("a{number}");
        let edge = &site.edges[0];
        let received = edge.receive(Method::POST, site::RESUMABLE, &attempt, &[]).await?;
        let is_first = |text: &str| text.starts_with("id: 0") || text.starts_with("data: token-0");
        let began = is_first(&received.text) || received.text.is_empty();
        let is_part = whole.starts_with(&received.text) && began;
        let is_whole = received.status == 200 && received.is_whole;
        let is_failure = received.status >= 500;
        assert!(is_failure || is_part, "{first:?}, {second:?}: {received:?}");
        assert!(!is_whole || received.text == whole, "{first:?}, {second:?}: {received:?}");
        let runs = |server: usize| site.decode[server].runs().contains_key(&attempt);
        if runs(0) && (runs(1) || second == Fault::OmitsIds) {
            return Ok(());
        }
    }
    anyhow::bail!("{first:?}, {second:?}: no stream was resumed in {MAX_CALLS} calls")
}

// Guards against a broken stream that ends as if it were whole, or goes on with an error's text, when
// the next engine's answer is none to the rest of the stream (issue 41).
#[tokio::test]
async fn unfit_resumption() -> anyhow::Result<()> {
    let whole = site::full_stream();
    for fault in [Fault::SendsPage, Fault::SendsNothing, Fault::StartsOverShort] {
        check_resumed(Fault::AbortsStream, fault, &whole).await?;
    }
    Ok(())
}

#[tokio::test]
async fn failed_resumption() -> anyhow::Result<()> {
    let whole = site::full_stream();
    for fault in [Fault::FailsStream, Fault::Unsealed, Fault::OtherId] {
        check_resumed(Fault::AbortsStream, fault, &whole).await?;
    }
    Ok(())
}

// Guards against a stream that is refused as version-gone, since the engines of its version are not used before
// that is on record: the entry has just started, and the store is late (seen in CI, LOST).
#[tokio::test]
async fn taken_up_at_start() -> anyhow::Result<()> {
    let mut site = site::Site::prepare(site::Sizes::default()).await?;
    site.store.set_mode(store::Mode::LostReplies);
    site.add_edge().await?;
    site.wait_ready().await?;
    let (edge, headers) = (&site.edges[0], [("last-event-id", "2")]);
    let received = edge.receive(Method::POST, site::RESUMABLE, "a1", &headers).await?;
    assert!(received.status == 200 && received.is_whole, "{received:?}\n{}", edge.log());
    assert_eq!(site.runs("a1"), 1);
    Ok(())
}

// Guards against a stream that its caller takes up and that looks complete though no engine said that
// nothing is left of it (issue 41).
#[tokio::test]
async fn unfit_take_up() -> anyhow::Result<()> {
    for fault in [Fault::SendsPage, Fault::SendsNothing, Fault::StartsOverShort] {
        let site = site::Site::start(site::Sizes::default()).await?;
        site.decode.iter().for_each(|decode| decode.set_fault(fault));
        let headers = [("last-event-id", "2")];
        let edge = &site.edges[0];
        let received = edge.receive(Method::POST, site::RESUMABLE, "a1", &headers).await?;
        let is_whole = received.status == 200 && received.is_whole;
        assert!(!is_whole, "{fault:?}: {received:?}");
        assert!(received.status >= 500 || received.text.is_empty(), "{fault:?}: {received:?}");
        assert!(site.runs("a1") > 0, "{fault:?}: {received:?}\n{}", edge.log());
    }
    Ok(())
}

// Guards against an error's text in a stream, after which the body of the server's answer ends
// (issue 41).
#[tokio::test]
async fn error_within_stream() -> anyhow::Result<()> {
    let whole = site::full_stream();
    for fault in
        [Fault::AppendsResponse, Fault::CutsIntoResponse, Fault::AppendsText, Fault::AppendsError]
    {
        check_resumed(fault, Fault::None, &whole).await?;
        let site = site::Site::start(site::Sizes::default()).await?;
        site.decode.iter().for_each(|decode| decode.set_fault(fault));
        let received = site.edges[0].receive(Method::POST, site::STREAM, "a1", &[]).await?;
        assert!(!received.is_whole && whole.starts_with(&received.text), "{fault:?}: {received:?}");
    }
    Ok(())
}

// Guards against a second run, from the beginning, joined to the events of a first one that had no ids
// and was cut off (issue 41).
#[tokio::test]
async fn no_event_ids() -> anyhow::Result<()> {
    let whole: String =
        (0..backend::EVENTS).map(|number| format!("data: token-{number}\n\n")).collect();
    for fault in [Fault::StallsWithoutIds, Fault::AbortsWithoutIds] {
        check_resumed(fault, Fault::OmitsIds, &whole).await?;
    }
    Ok(())
}
