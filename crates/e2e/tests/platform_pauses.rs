//! Servers that reject a request and ask for a pause get no requests of any kind until its end.

use std::time;

use hyper::Method;

use rhubarb_core::pauses;
use rhubarb_e2e::{call, relay, site};
use rhubarb_fakes::{backend, pause};
use rhubarb_node::client;

/// Length of most pauses.
const PAUSE: time::Duration = time::Duration::from_millis(1_800);
/// Time after a pause within which an entry sends to the server again, and the time that a test
/// allows for it.
const RETURN: time::Duration = time::Duration::from_millis(1_000);
/// Interval between the requests of a test.
const INTERVAL: time::Duration = time::Duration::from_millis(20);
/// Longest time in which a request is rejected at once.
const AT_ONCE: time::Duration = time::Duration::from_millis(300);
/// Longest time for which a rejection tells callers to stay away after the first server is back.
const MAX_SPREAD_S: f64 = 4.5;

// Requests of any kind that arrived in a time in which the server wanted none.
fn unwanted(backend: &backend::Backend) -> Vec<String> {
    let arrivals = backend.arrivals();
    let is_unwanted = |index: usize| {
        let arrival = &arrivals[index];
        arrivals[..index].iter().any(|earlier| {
            earlier.born == arrival.born
                && earlier.paused_until.is_some_and(|until| arrival.at < until)
                && arrival.at >= earlier.at + pause::PAUSE_GRACE
        })
    };
    let indices = (0..arrivals.len()).filter(|index| is_unwanted(*index));
    indices.map(|index| format!("{} {}", arrivals[index].method, arrivals[index].target)).collect()
}

// Sends a request every [`INTERVAL`] for `length`, without waiting for answers, and returns the
// replies.
async fn send_for(
    site: &site::Site,
    path: &'static str,
    name: &str,
    length: time::Duration,
) -> Vec<call::Reply> {
    let (start, address) = (time::Instant::now(), site.edges[0].frontend);
    let count = (length.as_millis() / INTERVAL.as_millis()) as u32;
    let calls: Vec<_> = (0..count)
        .map(|number| {
            let attempt = format!("{name}-{number}");
            tokio::spawn(async move {
                tokio::time::sleep_until((start + INTERVAL * number).into()).await;
                let call = call::Call { path, attempt: &attempt, body: "b", headers: &[] };
                call.send(&client::Client::new(), Method::POST, address).await
            })
        })
        .collect();
    let mut replies = Vec::new();
    for call in calls {
        replies.push(call.await.expect("the task ends").expect("the request is answered"));
    }
    replies
}

// Replies other than a success.
fn failures(replies: &[call::Reply]) -> Vec<&call::Reply> {
    replies.iter().filter(|reply| reply.status != 200).collect()
}

// Waits until the log contains `text`, which is written with a delay; returns the log.
async fn wait_log(site: &site::Site, text: &str) -> String {
    for _ in 0..100 {
        if site.edges[0].log().contains(text) {
            break;
        }
        tokio::time::sleep(INTERVAL).await;
    }
    site.edges[0].log()
}

// Number of prefills of an attempt at the first prefill engine.
fn prefills(site: &site::Site, attempt: &str) -> usize {
    let arrivals = site.prefill[0].arrivals();
    let own = arrivals.iter().filter(|one| one.attempt == attempt && one.method == Method::POST);
    own.count()
}

fn retry_after(reply: &call::Reply) -> f64 {
    let value = reply.headers.get("retry-after").and_then(|value| value.to_str().ok());
    value.and_then(|value| value.parse().ok()).unwrap_or(-1.0)
}

// Guards against requests to a plain server that has asked for a pause, and against one that gets
// none afterwards.
#[tokio::test]
async fn plain_server() -> anyhow::Result<()> {
    let site = site::Site::start(site::Sizes::default()).await?;
    let server = &site.plain[0];
    server.set_pause(PAUSE, None);
    let replies = send_for(&site, site::SAFE, "a", PAUSE).await;
    assert!(failures(&replies).is_empty(), "{:?}", failures(&replies));
    assert_eq!(unwanted(server), Vec::<String>::new());
    assert_eq!(server.requests().len(), 0);
    tokio::time::sleep(RETURN).await;
    send_for(&site, site::SAFE, "b", RETURN).await;
    assert!(server.requests().len() > 5, "{} of 50", server.requests().len());
    let log = wait_log(&site, "edge: pause of server ended").await;
    assert_eq!(log.matches("edge: server paused").count(), 1, "{log}");
    assert_eq!(log.matches("edge: pause of server ended").count(), 1, "{log}");
    assert!(site.edges[0].counter("rhubarb_edge_server_pauses_total").await? >= 1);
    Ok(())
}

// Guards against requests that wait for a deadline, or go to a paused server, when all are paused.
#[tokio::test]
async fn all_plain() -> anyhow::Result<()> {
    let site = site::Site::start(site::Sizes::default()).await?;
    for server in &site.plain {
        server.set_pause(PAUSE, None);
    }
    let until = time::Instant::now() + PAUSE;
    send_for(&site, site::UNSAFE, "first", time::Duration::from_millis(100)).await;
    let mut spread = std::collections::BTreeSet::new();
    for number in 0..30 {
        let left = until.saturating_duration_since(time::Instant::now()).as_secs_f64();
        let attempt = format!("a{number}");
        let reply = site.edges[0].call(Method::POST, site::UNSAFE, &attempt, "b").await?;
        assert_eq!((reply.status, site.runs(&attempt)), (503, 0));
        assert!(reply.elapsed < AT_ONCE, "{:?}", reply.elapsed);
        let retry = retry_after(&reply);
        // The header has two decimals.
        assert!(retry >= left - 0.1 && retry <= left + MAX_SPREAD_S, "{retry} with {left} left");
        spread.insert(((retry - left) * 10.0) as i64);
        tokio::time::sleep(INTERVAL).await;
    }
    assert!(spread.len() > 4, "callers return at the same time: {spread:?}");
    for server in &site.plain {
        assert_eq!(unwanted(server), Vec::<String>::new());
    }
    tokio::time::sleep_until((until + RETURN).into()).await;
    let reply = site.edges[0].call(Method::POST, site::UNSAFE, "after", "b").await?;
    assert_eq!(reply.status, 200);
    Ok(())
}

// Guards against prefills, and releases of their results, at a prefill engine that has asked for a
// pause.
#[tokio::test]
async fn prefill_engine() -> anyhow::Result<()> {
    let sizes = site::Sizes { prefill: 2, ..site::Sizes::default() };
    let site = site::Site::start(sizes).await?;
    site.prefill[0].set_pause(PAUSE, None);
    let replies = send_for(&site, site::RESUMABLE, "a", PAUSE).await;
    assert!(failures(&replies).is_empty(), "{:?}", failures(&replies));
    assert_eq!(unwanted(&site.prefill[0]), Vec::<String>::new());
    // The other one is paused as well; decode engines read the prompts themselves.
    for server in &site.prefill {
        server.set_pause(PAUSE, None);
    }
    let replies = send_for(&site, site::RESUMABLE, "b", PAUSE).await;
    assert!(failures(&replies).is_empty(), "{:?}", failures(&replies));
    for server in &site.prefill {
        assert_eq!(unwanted(server), Vec::<String>::new());
    }
    Ok(())
}

// Guards against holds, runs and releases of holds at a decode engine that has asked for a pause.
#[tokio::test]
async fn decode_engine() -> anyhow::Result<()> {
    // The four that do not pause have slots for the requests of 480 ms, which may come at once when
    // an entry on a busy machine has not run for a while.
    let sizes = site::Sizes { decode: 5, ..site::Sizes::default() };
    let site = site::Site::start(sizes).await?;
    site.decode[0].set_pause(PAUSE, None);
    let replies = send_for(&site, site::RESUMABLE, "a", PAUSE).await;
    assert!(failures(&replies).is_empty(), "{:?}", failures(&replies));
    assert_eq!(unwanted(&site.decode[0]), Vec::<String>::new());
    let unused = site.decode[1..].iter().filter(|engine| engine.requests().is_empty());
    assert_eq!(unused.count(), 0, "an engine that does not pause got no request");
    tokio::time::sleep(RETURN).await;
    send_for(&site, site::RESUMABLE, "b", RETURN).await;
    assert!(!site.decode[0].requests().is_empty(), "the engine gets no work after its pause");
    Ok(())
}

// Guards against streams that wait for a slot while all decode engines are paused.
#[tokio::test]
async fn all_decode() -> anyhow::Result<()> {
    let site = site::Site::start(site::Sizes::default()).await?;
    for server in &site.decode {
        server.set_pause(PAUSE, None);
    }
    let until = time::Instant::now() + PAUSE;
    send_for(&site, site::STREAM, "first", time::Duration::from_millis(100)).await;
    for number in 0..20 {
        let left = until.saturating_duration_since(time::Instant::now()).as_secs_f64();
        let attempt = format!("a{number}");
        let reply = site.edges[0].call(Method::POST, site::STREAM, &attempt, "b").await?;
        assert_eq!((reply.status, site.runs(&attempt)), (503, 0));
        assert!(reply.elapsed < AT_ONCE, "{:?}", reply.elapsed);
        let retry = retry_after(&reply);
        assert!(retry >= left - 0.1 && retry <= left + MAX_SPREAD_S, "{retry} with {left} left");
        tokio::time::sleep(INTERVAL).await;
    }
    for server in &site.decode {
        assert_eq!(unwanted(server), Vec::<String>::new());
    }
    Ok(())
}

/// More requests than one decode engine has slots.
const MAX_OTHERS: usize = 10;

// Guards against a second leg to a decode engine that asked for a pause after its slot was
// reserved.
#[tokio::test]
async fn second_leg() -> anyhow::Result<()> {
    let site = site::Site::start(site::Sizes { relays: true, ..site::Sizes::default() }).await?;
    let prefill = &site.relays[&site.prefill[0].id];
    prefill.set_modes(relay::Mode::Buffer, relay::Mode::Forward);
    let first = site.edges[0].call(Method::POST, site::STREAM, "first", "b");
    let others = async {
        let reserved = loop {
            let held = site.decode.iter().find(|engine| engine.hold_count(None) > 0);
            match held {
                Some(engine) => break engine,
                None => tokio::time::sleep(time::Duration::from_millis(2)).await,
            }
        };
        reserved.set_pause(PAUSE, None);
        // A hold of one of these requests tells the entry of the pause; they are sent until one has
        // asked the engine, which the other one has not enough slots to prevent.
        let mut calls = Vec::new();
        for number in 0..MAX_OTHERS {
            let (attempt, address) = (format!("other-{number}"), site.edges[0].frontend);
            calls.push(tokio::spawn(async move {
                let path = site::STREAM;
                let call = call::Call { path, attempt: &attempt, body: "b", headers: &[] };
                call.send(&client::Client::new(), Method::POST, address).await
            }));
            tokio::time::sleep(INTERVAL).await;
            if reserved.arrivals().iter().any(|arrival| arrival.paused_until.is_some()) {
                break;
            }
        }
        let log = wait_log(&site, "edge: server paused").await;
        prefill.set_modes(relay::Mode::Forward, relay::Mode::Forward);
        let mut replies = Vec::new();
        for call in calls {
            replies.push(call.await.expect("the task ends").expect("the request is answered"));
        }
        (reserved, replies, log)
    };
    let (reply, (reserved, replies, log)) = tokio::join!(first, others);
    let reply = reply?;
    let paused = reserved.arrivals();
    assert!(paused.iter().any(|arrival| arrival.paused_until.is_some()), "no hold was rejected");
    assert!(log.contains("edge: server paused"), "the entry does not know of the pause: {log}");
    assert!(
        paused.iter().all(|arrival| arrival.attempt.is_empty()),
        "the second leg was sent: {paused:?}"
    );
    assert_eq!((reply.status, reply.body), (200, Some(site::full_stream())));
    assert!(failures(&replies).is_empty(), "{:?}", failures(&replies));
    assert_eq!(prefills(&site, "first"), 1);
    Ok(())
}

// Guards against the ejection of a decode engine that turns a second leg away and asks for a pause,
// and against a second prefill.
#[tokio::test]
async fn not_ejected() -> anyhow::Result<()> {
    let site = site::Site::start(site::Sizes { relays: true, ..site::Sizes::default() }).await?;
    let prefill = &site.relays[&site.prefill[0].id];
    prefill.set_modes(relay::Mode::Buffer, relay::Mode::Forward);
    let first = site.edges[0].call(Method::POST, site::STREAM, "first", "b");
    let pausing = async {
        loop {
            if let Some(engine) = site.decode.iter().find(|engine| engine.hold_count(None) > 0) {
                engine.set_pause(PAUSE, None);
                prefill.set_modes(relay::Mode::Forward, relay::Mode::Forward);
                break engine;
            }
            tokio::time::sleep(time::Duration::from_millis(2)).await;
        }
    };
    let (reply, engine) = tokio::join!(first, pausing);
    let reply = reply?;
    assert_eq!((reply.status, reply.body), (200, Some(site::full_stream())));
    let turned_away = engine.arrivals();
    assert!(turned_away.iter().any(|one| one.attempt == "first" && one.paused_until.is_some()));
    // The other engine took the prefill result.
    let ran: Vec<_> = site.decode.iter().flat_map(|decode| decode.requests()).collect();
    assert!(ran.iter().all(|one| one.headers.contains_key("x-kv-source")), "{ran:?}");
    assert_eq!(prefills(&site, "first"), 1);
    tokio::time::sleep(PAUSE + RETURN).await;
    assert!(engine.requests().is_empty());
    // Less than the ejection of an engine that fails.
    let replies = send_for(&site, site::STREAM, "after", RETURN).await;
    assert!(failures(&replies).is_empty(), "{:?}", failures(&replies));
    assert!(!engine.requests().is_empty(), "the engine gets no work after its pause");
    Ok(())
}

/// Streams after which the planner of stages knows the costs of requests, in a time long enough for
/// its orders.
const PLANNED: time::Duration = time::Duration::from_secs(7);

// Guards against orders, and the reports that precede them, to an engine that has asked for a pause.
#[tokio::test]
async fn stage_order() -> anyhow::Result<()> {
    let site = site::Site::start(site::Sizes { decode: 5, ..site::Sizes::default() }).await?;
    let paused = &site.decode[4];
    paused.set_pause(PLANNED + PLANNED, None);
    let replies = send_for(&site, site::RESUMABLE, "a", PLANNED).await;
    assert!(paused.arrivals().iter().any(|arrival| arrival.paused_until.is_some()));
    assert_eq!(unwanted(paused), Vec::<String>::new());
    assert_eq!(paused.stage(), ("decode".to_string(), 0));
    let ordered = site.decode.iter().filter(|engine| engine.stage().1 > 0).count();
    assert!(ordered > 0, "no engine was ordered to change its stage: {}", site.edges[0].log());
    let served = replies.iter().filter(|reply| reply.status == 200).count();
    assert!(served * 10 >= replies.len() * 9, "{served} of {} served", replies.len());
    Ok(())
}

// Guards against a server that gets no requests because of a value that is no time.
#[tokio::test]
async fn bad_values() -> anyhow::Result<()> {
    let site = site::Site::start(site::Sizes { plain: 1, ..site::Sizes::default() }).await?;
    let server = &site.plain[0];
    let values = ["", "soon", "-3", "inf", "NaN", "1;2", "Fri, 04 Dec 2026 08:00:00 GMT"];
    for (number, value) in values.into_iter().enumerate() {
        server.set_pause(time::Duration::from_millis(100), Some(value));
        let attempt = format!("turned-{number}");
        let reply = site.edges[0].call(Method::POST, site::SAFE, &attempt, "b").await?;
        assert_eq!((reply.status, site.runs(&attempt)), (503, 0), "{value:?}");
        tokio::time::sleep(time::Duration::from_millis(120)).await;
        let attempt = format!("after-{number}");
        let reply = site.edges[0].call(Method::POST, site::SAFE, &attempt, "b").await?;
        assert_eq!(reply.status, 200, "{value:?}");
    }
    let log = wait_log(&site, "edge: invalid pause of a server").await;
    let lines = log.lines().filter(|line| line.contains("edge: invalid pause of a server"));
    assert_eq!(lines.count(), 1, "{log}");
    assert!(!log.contains("edge: server paused"), "{log}");
    // An absurd one is bounded.
    server.set_pause(time::Duration::from_millis(100), Some("1e12"));
    let reply = site.edges[0].call(Method::POST, site::SAFE, "absurd", "b").await?;
    let bound = (pauses::MAX_PAUSE + pauses::MAX_RETURN).as_secs_f64() + MAX_SPREAD_S;
    assert!(retry_after(&reply) <= bound, "{reply:?}");
    let log = wait_log(&site, "edge: server paused").await;
    assert!(log.contains("\"used_s\":60.0"), "{log}");
    Ok(())
}

// Guards against a pause that outlives the process of the server that asked for it.
#[tokio::test]
async fn restarted_server() -> anyhow::Result<()> {
    let site = site::Site::start(site::Sizes::default()).await?;
    let server = &site.plain[0];
    server.set_pause(time::Duration::from_secs(30), None);
    send_for(&site, site::SAFE, "a", time::Duration::from_millis(200)).await;
    assert!(server.arrivals().iter().any(|arrival| arrival.paused_until.is_some()));
    server.restart();
    site.announce(server, "ready");
    tokio::time::sleep(time::Duration::from_millis(300)).await;
    send_for(&site, site::SAFE, "b", time::Duration::from_millis(500)).await;
    assert!(!server.requests().is_empty(), "{}", site.edges[0].log());
    Ok(())
}
