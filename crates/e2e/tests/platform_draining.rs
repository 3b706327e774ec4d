//! Requests that meet a stopping entry: on kept connections, with slow bodies, with timeouts far under
//! and far over its drain, beside other signals, and across a pause of its process.

use std::{collections, net, time};

use hyper::Method;
use rustix::process::Signal;

use rhubarb_e2e::{call, site};
use rhubarb_fakes::{backend, pace};
use rhubarb_node::client;

use tokio::{io, io::AsyncReadExt, io::AsyncWriteExt, net as tokio_net, task};

/// Time after its SIGTERM at which the platform kills an entry.
const GRACE: time::Duration = time::Duration::from_secs(4);
/// Exceeds what an entry may still serve once the balancer has taken it out.
const LONG_TIMEOUT: time::Duration = time::Duration::from_secs(20);
/// Speed of a server whose answers take about 80 ms.
const SLOW: u32 = 800;

fn millis(millis: u64) -> time::Duration {
    time::Duration::from_millis(millis)
}

// Starts a deployment whose entries are killed `GRACE` after their SIGTERM, and whose plain requests
// time out after `timeout`.
async fn start(sizes: site::Sizes, timeout: time::Duration) -> anyhow::Result<site::Site> {
    let mut site = site::Site::prepare(sizes).await?;
    let mut config = site.config(1);
    for route in config["routes"].as_array_mut().expect("routes are a list") {
        if route["kind"] != "streaming" {
            route["timeout_ms"] = (timeout.as_millis() as u64).into();
        }
    }
    site.store.put("op", "config", config.to_string());
    for _ in 0..sizes.edges {
        site.add_edge().await?;
    }
    site.wait_ready().await?;
    let edge = &site.edges[0];
    edge.edit_settings(
        "contract_params.grace_s=8",
        &format!("contract_params.grace_s={}", GRACE.as_secs()),
    )?;
    edge.signal(Signal::HUP);
    while !edge.log().contains("settings read again and in force") {
        tokio::time::sleep(millis(20)).await;
    }
    Ok(site)
}

// Sends a stream that stalls and so keeps an entry that stops from ending early.
fn hold_open(site: &site::Site, entry: usize) -> task::JoinHandle<()> {
    for engine in &site.decode {
        engine.set_fault(backend::Fault::Stalls);
    }
    let frontend = site.edges[entry].frontend;
    tokio::spawn(async move {
        let call = call::Call { path: site::STREAM, attempt: "held-open", body: "b", headers: &[] };
        let _ = call.send(&client::Client::new(), Method::POST, frontend).await;
    })
}

// Sends requests one after the other on connections that are kept as long as the entry keeps them,
// until it accepts none. Returns those that got no complete answer, with their last bytes.
async fn use_kept(
    name: String,
    frontend: net::SocketAddr,
) -> collections::BTreeMap<String, String> {
    let mut unanswered = collections::BTreeMap::new();
    let mut number = 0;
    while let Ok(mut stream) = tokio_net::TcpStream::connect(frontend).await {
        loop {
            let id = format!("{name}-{number}");
            number += 1;
            match exchange(&mut stream, &id).await {
                Ok(head) if head.to_lowercase().contains("connection: close") => break,
                Ok(_) => {}
                Err(err) => {
                    unanswered.insert(id, err.to_string());
                    break;
                }
            }
        }
    }
    unanswered
}

// Sends one request and reads its answer; returns its head.
async fn exchange(stream: &mut tokio_net::TcpStream, id: &str) -> io::Result<String> {
    let request = format!(
        "POST {} HTTP/1.1\r\nhost: {}\r\nx-attempt-id: {id}\r\ncontent-length: 1\r\n\r\nb",
        site::UNSAFE,
        call::HOST
    );
    stream.write_all(request.as_bytes()).await?;
    read_answer(stream).await
}

// Reads an answer; returns its head.
async fn read_answer(stream: &mut tokio_net::TcpStream) -> io::Result<String> {
    let mut received = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&received).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let lower = head.to_lowercase();
            let length = lower.lines().find_map(|line| line.strip_prefix("content-length: "));
            if length.and_then(|length| length.parse().ok()) == Some(body.len()) {
                return Ok(head.to_string());
            }
        }
        let mut buffer = [0; 4096];
        match stream.read(&mut buffer).await? {
            0 => return Err(io::Error::other(format!("closed after {text:?}"))),
            count => received.extend_from_slice(&buffer[..count]),
        }
    }
}

// Kills the entry when the platform would, and returns the requests of `callers` that ran and got no
// complete answer.
async fn cut_off(
    site: &mut site::Site,
    killed_at: time::Instant,
    callers: task::JoinSet<collections::BTreeMap<String, String>>,
) -> Vec<(String, String)> {
    while site.edges[0].exit_code().is_none() && time::Instant::now() < killed_at {
        tokio::time::sleep(millis(10)).await;
    }
    site.edges[0].kill();
    let unanswered = callers.join_all().await.into_iter().flatten();
    unanswered.filter(|(id, _)| site.runs(id) > 0).collect()
}

// Guards against a request on a kept connection that reaches a server and is given up when the entry
// ends.
#[tokio::test]
async fn kept_connections() -> anyhow::Result<()> {
    let mut site = start(site::Sizes::default(), site::PLAIN_TIMEOUT).await?;
    let held = hold_open(&site, 0);
    site.plain[0].set_pace(pace::Pace { nature: SLOW, ..pace::Pace::default() });
    site.plain[1].set_fault(backend::Fault::Hangs);
    let mut callers = task::JoinSet::new();
    for caller in 0..8 {
        callers.spawn(use_kept(format!("kept-{caller}"), site.edges[0].frontend));
    }
    tokio::time::sleep(millis(300)).await;
    site.edges[0].signal(Signal::TERM);
    let killed_at = time::Instant::now() + GRACE;
    let lost = cut_off(&mut site, killed_at, callers).await;
    assert!(lost.is_empty(), "{lost:?}\n{}", site.edges[0].log());
    held.abort();
    Ok(())
}

// Guards against refusals of plain requests by all entries of an availability zone that stop one after the
// other: each was out of rotation, and the balancer sent to it for want of others.
#[tokio::test]
async fn rolling_stop() -> anyhow::Result<()> {
    let sizes = site::Sizes { edges: 3, ..site::Sizes::default() };
    let site = start(sizes, LONG_TIMEOUT).await?;
    let held = hold_open(&site, 1);
    for edge in &site.edges {
        edge.signal(Signal::TERM);
        tokio::time::sleep(millis(50)).await;
    }
    tokio::time::sleep(millis(2_550)).await;
    // This one has the grace period that sites have by default, longer than that of the first.
    let edge = &site.edges[1];
    for (path, id) in [(site::UNSAFE, "unsafe"), (site::SAFE, "safe")] {
        let reply = edge.call(Method::POST, path, id, "b").await?;
        assert_eq!((reply.status, site.runs(id)), (200, 1), "{reply:?}\n{}", edge.log());
        assert_eq!(reply.headers["connection"], "close");
    }
    // A stream may last longer than the entry.
    let reply = edge.call(Method::POST, site::RESUMABLE, "stream", "b").await?;
    assert_eq!((reply.status, site.runs("stream")), (503, 0));
    assert!(retry_after(&reply)? > 1.0, "no entry is ready before: {reply:?}");
    held.abort();
    Ok(())
}

// A stream that a stopping entry refuses is sent at once to one that is ready.
#[tokio::test]
async fn single_stop() -> anyhow::Result<()> {
    let sizes = site::Sizes { edges: 2, ..site::Sizes::default() };
    let site = start(sizes, LONG_TIMEOUT).await?;
    let held = hold_open(&site, 1);
    let edge = &site.edges[1];
    edge.signal(Signal::TERM);
    tokio::time::sleep(millis(2_600)).await;
    let reply = edge.call(Method::POST, site::RESUMABLE, "stream", "b").await?;
    assert_eq!((reply.status, site.runs("stream")), (503, 0));
    assert!(retry_after(&reply)? < 0.1, "{reply:?}");
    held.abort();
    Ok(())
}

fn retry_after(reply: &call::Reply) -> anyhow::Result<f64> {
    Ok(reply.headers["retry-after"].to_str()?.parse()?)
}

// Guards against a request whose body ends when no server can answer it in time any more: it was said
// to have timed out at a server, and could not be repeated.
#[tokio::test]
async fn slow_body() -> anyhow::Result<()> {
    let site = start(site::Sizes::default(), site::PLAIN_TIMEOUT).await?;
    let held = hold_open(&site, 0);
    let edge = &site.edges[0];
    edge.signal(Signal::TERM);
    tokio::time::sleep(millis(2_600)).await;
    let mut replies = task::JoinSet::new();
    for (id, timeout, rest_after) in [("passed", 300, 500), ("late", 1_500, 700)] {
        let frontend = edge.frontend;
        replies.spawn(async move {
            let mut stream = tokio_net::TcpStream::connect(frontend).await?;
            let head = format!(
                "POST {} HTTP/1.1\r\nhost: {}\r\nx-attempt-id: {id}\r\nx-deadline-ms: {timeout}\r\n\
                 content-length: 2\r\n\r\nb",
                site::UNSAFE,
                call::HOST
            );
            stream.write_all(head.as_bytes()).await?;
            tokio::time::sleep(millis(rest_after)).await;
            stream.write_all(b"b").await?;
            let mut answer = String::new();
            stream.read_to_string(&mut answer).await?;
            anyhow::Ok((id, answer))
        });
    }
    for reply in replies.join_all().await {
        let (id, answer) = reply?;
        assert!(answer.starts_with("HTTP/1.1 503 "), "{id}: {answer}");
        assert_eq!(site.runs(id), 0, "{id}");
    }
    held.abort();
    Ok(())
}

// Guards against a request that was in flight at the stop, with more time than the entry has: its
// connection was closed without an answer.
#[tokio::test]
async fn long_timeout() -> anyhow::Result<()> {
    let mut site = start(site::Sizes::default(), LONG_TIMEOUT).await?;
    for plain in &site.plain {
        plain.set_fault(backend::Fault::Hangs);
    }
    let frontend = site.edges[0].frontend;
    let mut calls = task::JoinSet::new();
    for (id, path) in [("safe", site::SAFE), ("unsafe", site::UNSAFE)] {
        calls.spawn(async move {
            let call = call::Call { path, attempt: id, body: "b", headers: &[] };
            (id, call.send(&client::Client::new(), Method::POST, frontend).await)
        });
    }
    while site.runs("unsafe") == 0 || site.runs("safe") == 0 {
        tokio::time::sleep(millis(10)).await;
    }
    site.edges[0].signal(Signal::TERM);
    let killed_at = time::Instant::now() + GRACE;
    cut_off(&mut site, killed_at, task::JoinSet::new()).await;
    for (id, reply) in calls.join_all().await {
        let reply = reply.map_err(|err| anyhow::anyhow!("{id}: {err}"))?;
        assert_eq!(reply.status, 504, "{id}: {reply:?}");
    }
    Ok(())
}

// Guards against a repeat of a stream that is sent although the entry ends before the answer can, and
// with more time than the entry has.
#[tokio::test]
async fn late_repeat() -> anyhow::Result<()> {
    let sizes = site::Sizes { relays: true, ..site::Sizes::default() };
    let site = start(sizes, site::PLAIN_TIMEOUT).await?;
    for engine in &site.decode {
        engine.set_fault(backend::Fault::Stalls);
    }
    let frontend = site.edges[0].frontend;
    let stream = tokio::spawn(async move {
        let call = call::Call { path: site::RESUMABLE, attempt: "late", body: "b", headers: &[] };
        call.send(&client::Client::new(), Method::POST, frontend).await
    });
    // Times that were left for the engines, by engine.
    let left = || -> Vec<u128> {
        let requests = site.decode.iter().flat_map(backend::Backend::requests);
        let texts = requests.map(|request| request.headers["x-deadline-ms"].clone());
        texts.filter_map(|text| text.to_str().ok()?.parse().ok()).collect()
    };
    while left().is_empty() {
        tokio::time::sleep(millis(10)).await;
    }
    let first = left();
    site.edges[0].signal(Signal::TERM);
    let stopped_at = time::Instant::now();
    let mut seen = 1;
    while stopped_at.elapsed() < GRACE {
        tokio::time::sleep(millis(5)).await;
        let all = left();
        if all.len() > seen {
            // One millisecond to the entry's clock, 10 to this loop.
            let rest = (GRACE - stopped_at.elapsed().saturating_sub(millis(11))).as_millis();
            let sent = all.iter().filter(|left| !first.contains(left)).max().copied();
            assert!(sent <= Some(rest), "{sent:?} ms, of {rest} ms\n{}", site.edges[0].log());
        }
        seen = all.len();
        if stopped_at.elapsed() > millis(2_800) {
            for engine in &site.decode {
                site.relays[&engine.id].disconnect();
            }
        }
    }
    stream.abort();
    assert!(seen > 1, "the stream was not repeated\n{}", site.edges[0].log());
    Ok(())
}

// Further signals change nothing: the stream in flight completes, and the entry ends well.
#[tokio::test]
async fn more_signals() -> anyhow::Result<()> {
    let mut site = start(site::Sizes::default(), site::PLAIN_TIMEOUT).await?;
    // The stream goes on at the other engine after a while.
    site.decode[0].set_fault(backend::Fault::Stalls);
    let edge = &site.edges[0];
    let signals = async {
        tokio::time::sleep(millis(60)).await;
        for _ in 0..5 {
            edge.signal(Signal::TERM);
            edge.signal(Signal::HUP);
            tokio::time::sleep(millis(70)).await;
        }
    };
    let (reply, ()) =
        tokio::join!(edge.call(Method::POST, site::RESUMABLE, "stream", "b"), signals);
    assert_eq!(reply?.body, Some(site::full_stream()));
    let killed_at = time::Instant::now() + GRACE;
    cut_off(&mut site, killed_at, task::JoinSet::new()).await;
    assert!(site.edges[0].log().contains("edge: stopped"), "{}", site.edges[0].log());
    Ok(())
}

// Guards against requests that an entry takes up to its end and gives up: the SIGTERM had come while its
// process was paused, so that less of the grace period was left than it counted.
#[tokio::test]
async fn stopped_while_paused() -> anyhow::Result<()> {
    let mut site = start(site::Sizes::default(), site::PLAIN_TIMEOUT).await?;
    let held = hold_open(&site, 0);
    for plain in &site.plain {
        plain.set_fault(backend::Fault::Hangs);
    }
    site.edges[0].signal(Signal::STOP);
    tokio::time::sleep(millis(200)).await;
    site.edges[0].signal(Signal::TERM);
    let killed_at = time::Instant::now() + GRACE;
    tokio::time::sleep(millis(3_200)).await;
    let mut callers = task::JoinSet::new();
    for caller in 0..8 {
        callers.spawn(use_kept(format!("paused-{caller}"), site.edges[0].frontend));
    }
    site.edges[0].signal(Signal::CONT);
    let lost = cut_off(&mut site, killed_at, callers).await;
    assert!(lost.is_empty(), "{lost:?}\n{}", site.edges[0].log());
    held.abort();
    Ok(())
}

// Guards against requests that wait at an entry whose process is paused to the end of its drain, and
// that reach a server afterwards.
#[tokio::test]
async fn paused_to_end() -> anyhow::Result<()> {
    let mut site = start(site::Sizes::default(), site::PLAIN_TIMEOUT).await?;
    let held = hold_open(&site, 0);
    site.edges[0].signal(Signal::TERM);
    let killed_at = time::Instant::now() + GRACE;
    tokio::time::sleep(millis(1_500)).await;
    site.edges[0].signal(Signal::STOP);
    let mut callers = task::JoinSet::new();
    for caller in 0..8 {
        callers.spawn(use_kept(format!("end-{caller}"), site.edges[0].frontend));
    }
    tokio::time::sleep(millis(2_150)).await;
    site.edges[0].signal(Signal::CONT);
    let lost = cut_off(&mut site, killed_at, callers).await;
    assert!(lost.is_empty(), "{lost:?}\n{}", site.edges[0].log());
    held.abort();
    Ok(())
}

/// Interval at which [`check_late`] sends requests, and the time that a slow caller takes.
const TENTH: time::Duration = time::Duration::from_millis(100);
const CALLER_DELAY: time::Duration = time::Duration::from_millis(700);

/// How a caller sends a request to a stopping entry.
#[derive(Clone, Copy, Debug)]
enum Caller {
    /// On a connection that it opens then.
    New,
    /// On one that has been idle since before the stop.
    Kept,
    /// With a body whose last byte comes later.
    SlowBody,
    /// And reads the answer later.
    SlowReader,
}

// Sends one request `delay` after the call; returns it if it got no complete answer.
async fn send_late(
    (id, path, caller): (String, &str, Caller),
    frontend: net::SocketAddr,
    delay: time::Duration,
) -> collections::BTreeMap<String, String> {
    let connect = || tokio_net::TcpStream::connect(frontend);
    let kept = match caller {
        Caller::Kept => connect().await.ok(),
        _ => None,
    };
    tokio::time::sleep(delay).await;
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: {}\r\nx-attempt-id: {id}\r\ncontent-length: 2\r\n\r\nb",
        call::HOST
    );
    let sending = async {
        let mut stream = match kept {
            Some(stream) => stream,
            None => connect().await?,
        };
        stream.write_all(head.as_bytes()).await?;
        if matches!(caller, Caller::SlowBody) {
            tokio::time::sleep(CALLER_DELAY).await;
        }
        stream.write_all(b"b").await?;
        if matches!(caller, Caller::SlowReader) {
            tokio::time::sleep(CALLER_DELAY).await;
        }
        read_answer(&mut stream).await
    };
    match sending.await {
        Ok(_) => collections::BTreeMap::new(),
        Err(err) => [(id, format!("{caller:?} after {delay:?}: {err}"))].into(),
    }
}

// Sends requests of all kinds at each tenth of a second of the grace period to an entry that stops, whose
// servers take `nature` percent of the usual time. Each that runs is answered.
async fn check_late(nature: u32, timeout: time::Duration) -> anyhow::Result<()> {
    let mut site = start(site::Sizes::default(), timeout).await?;
    let held = hold_open(&site, 0);
    let pace = pace::Pace { nature, ..pace::Pace::default() };
    site.plain.iter().for_each(|server| server.set_pace(pace));
    let frontend = site.edges[0].frontend;
    let mut callers = task::JoinSet::new();
    let mut delay = time::Duration::ZERO;
    while delay < GRACE {
        for path in [site::SAFE, site::UNSAFE] {
            for caller in [Caller::New, Caller::Kept, Caller::SlowBody, Caller::SlowReader] {
                let id = format!("{caller:?}-{}-{}", path.replace('/', "-"), delay.as_millis());
                callers.spawn(send_late((id, path, caller), frontend, delay));
            }
        }
        delay += TENTH;
    }
    let sent = callers.len();
    site.edges[0].signal(Signal::TERM);
    let killed_at = time::Instant::now() + GRACE;
    let lost = cut_off(&mut site, killed_at, callers).await;
    assert!(lost.is_empty(), "{} of {sent}: {lost:?}\n{}", lost.len(), site.edges[0].log());
    held.abort();
    Ok(())
}

// Guards against requests that come late in the grace period, are passed on, and are cut off without an answer
// at its end, among them such as may not be repeated (issue 50, LOST).
#[tokio::test]
async fn late_quick() -> anyhow::Result<()> {
    check_late(100, site::PLAIN_TIMEOUT).await
}

// The same before servers that take 0.8 s, longer than the latency target.
#[tokio::test]
async fn late_slow() -> anyhow::Result<()> {
    check_late(8_000, site::PLAIN_TIMEOUT).await
}

// The same with a timeout beyond the grace period, before servers that take longer than is left.
#[tokio::test]
async fn late_long() -> anyhow::Result<()> {
    check_late(20_000, LONG_TIMEOUT).await
}
