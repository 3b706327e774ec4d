//! Requests that crash each server that begins to run them, and are sent again and again.

use std::{net, time};

use hyper::Method;
use rustix::process as signals;

use rhubarb_e2e::{call, site};
use rhubarb_fakes::{backend, caller, crash, pace, store};

/// Body of the request that crashes servers.
const DEADLY: &str = "deadly";
/// Time within which an entry uses what other entries have learned (`contact_ms` of the platform).
const CONTACT: time::Duration = time::Duration::from_millis(3_000);
/// Number of crashes after which the entries must know the request.
const KNOWN_AFTER: usize = 3;
/// Number of its retries that may still reach servers.
const MAX_LATE: usize = 3;

// Starts a deployment in which the request for `path` crashes the `victims`.
async fn start(
    path: &str,
    victims: fn(&site::Site) -> &[backend::Backend],
) -> anyhow::Result<site::Site> {
    let sizes = site::Sizes {
        edges: 3,
        plain: 5,
        prefill: 5,
        decode: 5,
        relays: false,
        direct: false,
        plain_direct: false,
    };
    let site = site::Site::start(sizes).await?;
    for server in victims(&site) {
        server.set_deadly_request(Some((path, DEADLY)));
    }
    tokio::spawn(site::register_again(site.store.clone(), site.servers()));
    Ok(site)
}

fn crashes(site: &site::Site) -> usize {
    site.servers().iter().map(|server| server.request_crashes().len()).sum()
}

// Number of requests whose attempt ids start with `prefix` that reached servers.
fn arrivals(site: &site::Site, prefix: &str) -> usize {
    let arrivals = site.servers().into_iter().flat_map(|server| server.arrivals());
    arrivals.filter(|arrival| arrival.attempt.starts_with(prefix)).count()
}

async fn send(
    site: &site::Site,
    number: usize,
    path: &str,
    attempt: &str,
    body: &str,
) -> anyhow::Result<call::Reply> {
    site.edges[number % site.edges.len()].call(Method::POST, path, attempt, body).await
}

// Sends the request to all entries in turn until servers have crashed often enough.
async fn spread_crashes(site: &site::Site, path: &str) -> anyhow::Result<()> {
    for number in 0..12 {
        if crashes(site) >= KNOWN_AFTER {
            break;
        }
        send(site, number, path, &format!("early-{number}"), DEADLY).await?;
    }
    assert!(crashes(site) >= KNOWN_AFTER, "{} crashes", crashes(site));
    // The last server that fell is up again.
    tokio::time::sleep(crash::DOWN_TIME.max(CONTACT)).await;
    Ok(())
}

// The request is rejected by all entries, and others are served.
async fn check_late(site: &site::Site, path: &str) -> anyhow::Result<()> {
    let before = crashes(site);
    for number in 0..12 {
        let reply = send(site, number, path, &format!("late-{number}"), DEADLY).await?;
        assert!(reply.is_local() && reply.status >= 400, "{reply:?}");
        let reply = send(site, number, path, &format!("sound-{number}"), "sound").await?;
        assert_eq!(reply.status, 200, "{reply:?}");
    }
    let late = arrivals(site, "late-");
    let count = crashes(site);
    let logs = evidence_logs(site);
    assert!(late <= MAX_LATE, "{late} arrivals too late, {before} and {count} crashes\n{logs}");
    Ok(())
}

// What the entries have logged of lost requests and rejected causes.
fn evidence_logs(site: &site::Site) -> String {
    let logs: Vec<_> = site.edges.iter().map(rhubarb_e2e::edge::Edge::log).collect();
    let lines = logs.iter().flat_map(|log| log.lines());
    let is_told = |line: &&str| {
        ["request lost", "causes of crashes", "cause of crashes", "started"]
            .iter()
            .any(|text| line.contains(text))
    };
    lines.filter(is_told).collect::<Vec<_>>().join("\n")
}

// Guards against a plain request that is sent on to one server after the other, which all fall
// (issue 32, BUDGET).
#[tokio::test]
async fn safe_isolated() -> anyhow::Result<()> {
    let site = start(site::SAFE, |site| &site.plain).await?;
    spread_crashes(&site, site::SAFE).await?;
    check_late(&site, site::SAFE).await
}

// The same for a request that entries do not repeat, so that callers do.
#[tokio::test]
async fn unsafe_isolated() -> anyhow::Result<()> {
    let site = start(site::UNSAFE, |site| &site.plain).await?;
    spread_crashes(&site, site::UNSAFE).await?;
    check_late(&site, site::UNSAFE).await
}

// The same for a model request that crashes the engines that read its prompt.
#[tokio::test]
async fn prefill_isolated() -> anyhow::Result<()> {
    let site = start(site::RESUMABLE, |site| &site.prefill).await?;
    spread_crashes(&site, site::RESUMABLE).await?;
    check_late(&site, site::RESUMABLE).await
}

// The same for one that crashes the engines that answer it, with a prompt that names no parts.
#[tokio::test]
async fn decode_isolated() -> anyhow::Result<()> {
    let site = start(site::RESUMABLE, |site| &site.decode).await?;
    spread_crashes(&site, site::RESUMABLE).await?;
    check_late(&site, site::RESUMABLE).await
}

// Guards against an answer to one caller that clears a request of another, and against the rejection of
// a request since another caller's crashes servers (issue 32, BUDGET and LOST). Only requests with these
// credentials crash servers.
#[tokio::test]
async fn lookalikes_served() -> anyhow::Result<()> {
    let site = start(site::SAFE, |_| &[]).await?;
    let credentials = [("authorization", "Bearer deadly")];
    let set = |path| site.plain.iter().for_each(|server| server.set_deadly_caller(path));
    set(Some((site::SAFE, credentials[0].1)));
    for number in 0..24 {
        let edge = &site.edges[number % site.edges.len()];
        let attempt = format!("early-{number}");
        edge.call_with(Method::POST, site::SAFE, &attempt, DEADLY, &credentials).await?;
        // The other caller's request is answered in between, where a server is up.
        let reply = edge.call(Method::POST, site::SAFE, &format!("same-{number}"), DEADLY).await?;
        assert_ne!(reply.status, 400, "{reply:?}");
        if crashes(&site) >= KNOWN_AFTER + 2 {
            break;
        }
    }
    assert!(crashes(&site) <= KNOWN_AFTER + MAX_LATE, "{} crashes", crashes(&site));
    tokio::time::sleep(CONTACT).await;
    for number in 0..9 {
        let edge = &site.edges[number % site.edges.len()];
        let attempt = format!("late-{number}");
        let reply =
            edge.call_with(Method::POST, site::SAFE, &attempt, DEADLY, &credentials).await?;
        assert_eq!(reply.status, 400, "{reply:?}");
        let reply = edge.call(Method::POST, site::SAFE, &format!("last-{number}"), DEADLY).await?;
        assert_eq!(reply.status, 200, "{reply:?}");
    }
    assert_eq!(arrivals(&site, "late-"), 0);
    Ok(())
}

// An entry that starts, and one that wakes, learns of the request from the others; no store is needed.
#[tokio::test]
async fn request_learned() -> anyhow::Result<()> {
    let mut site = start(site::SAFE, |site| &site.plain).await?;
    site.store.set_mode(store::Mode::Unresponsive);
    site.edges[2].signal(signals::Signal::STOP);
    for number in 0..12 {
        if crashes(&site) >= KNOWN_AFTER {
            break;
        }
        send(&site, number % 2, site::SAFE, &format!("early-{number}"), DEADLY).await?;
    }
    site.edges[2].signal(signals::Signal::CONT);
    site.restart_edge(1)?;
    tokio::time::sleep(CONTACT).await;
    // Crashed servers of the same ids are used again without a new row.
    check_late(&site, site::SAFE).await
}

// A restart of all entries forgets nothing, and a trial that the request fails is not repeated by them.
#[tokio::test]
async fn request_kept() -> anyhow::Result<()> {
    let mut site = start(site::UNSAFE, |site| &site.plain).await?;
    spread_crashes(&site, site::UNSAFE).await?;
    for number in 0..site.edges.len() {
        site.restart_edge(number)?;
    }
    site.wait_ready().await?;
    tokio::time::sleep(CONTACT).await;
    check_late(&site, site::UNSAFE).await
}

// A rejected request that no longer crashes servers is found out by one trial of the whole fleet.
#[tokio::test]
async fn request_tried() -> anyhow::Result<()> {
    let site = start(site::SAFE, |site| &site.plain).await?;
    spread_crashes(&site, site::SAFE).await?;
    let before = arrivals(&site, "");
    site.plain.iter().for_each(|server| server.set_deadly_request(None));
    let start = time::Instant::now();
    let mut number = 0;
    while send(&site, number, site::SAFE, &format!("late-{number}"), DEADLY).await?.status != 200 {
        assert!(start.elapsed() < time::Duration::from_secs(60), "the request is still rejected");
        tokio::time::sleep(time::Duration::from_millis(50)).await;
        number += 1;
    }
    assert_eq!(arrivals(&site, "late-"), 1, "{before} before");
    tokio::time::sleep(CONTACT).await;
    let reply = send(&site, number + 1, site::SAFE, "last", DEADLY).await?;
    assert_eq!(reply.status, 200, "the other entries know it, too: {reply:?}");
    Ok(())
}

// Guards against a server that crashes just after the entry has given the request up, and so leaves no
// lost connection: the request is sent to one server after the other.
#[tokio::test]
async fn slow_crashes() -> anyhow::Result<()> {
    let site = start(site::SAFE, |site| &site.plain).await?;
    let delay = site::LATENCY_TARGET * 2;
    site.plain.iter().for_each(|server| server.set_crash_delay(delay));
    for number in 0..12 {
        if crashes(&site) >= KNOWN_AFTER + 2 {
            break;
        }
        send(&site, number, site::SAFE, &format!("early-{number}"), DEADLY).await?;
    }
    tokio::time::sleep(crash::DOWN_TIME.max(CONTACT)).await;
    check_late(&site, site::SAFE).await
}

/// Time for which the servers of [`check_outage`] are down, longer than until the first trial of a request
/// that may have crashed them.
const OUTAGE: time::Duration = time::Duration::from_secs(8);
/// Time from its end until requests are served.
const OUTAGE_END: time::Duration = time::Duration::from_secs(3);
/// Prompt whose first part all its requests share.
const PROMPT: [(&str, &str); 1] = [(caller::PROMPT, "ab:100,cd:10")];

async fn ask(address: net::SocketAddr, path: &str, attempt: &str) -> anyhow::Result<call::Reply> {
    let call = call::Call { path, attempt, body: "page", headers: &PROMPT };
    Ok(call.send(&rhubarb_node::client::Client::new(), Method::POST, address).await?)
}

// All servers crash at once while each works on a request that no entry has seen answered, and are down
// for a while. Nobody is told that the request is at fault, and it is served when they are back.
async fn check_outage(path: &'static str) -> anyhow::Result<()> {
    let sizes = site::Sizes { edges: 3, plain: 3, prefill: 0, decode: 3, ..site::Sizes::default() };
    let site = site::Site::start(sizes).await?;
    tokio::spawn(site::register_again(site.store.clone(), site.servers()));
    let set_nature = |nature| {
        let pace = pace::Pace { nature, ..pace::Pace::default() };
        site.servers().iter().for_each(|server| server.set_pace(pace));
    };
    set_nature(2_000);
    let addresses: Vec<_> = site.edges.iter().map(|edge| edge.frontend).collect();
    for number in 0..18 {
        let address = addresses[number % addresses.len()];
        tokio::spawn(async move { ask(address, path, &format!("lost-{number}")).await });
    }
    let is_used = |server: &&backend::Backend| server.running() > 0;
    while site.servers().iter().filter(is_used).count() < 3 {
        tokio::time::sleep(time::Duration::from_millis(2)).await;
    }
    site.servers().iter().for_each(|server| server.crash_for(OUTAGE));
    set_nature(100);
    let start = time::Instant::now();
    let mut number = 0;
    while start.elapsed() < OUTAGE + OUTAGE_END {
        let edge = &site.edges[number % site.edges.len()];
        let reply = ask(edge.frontend, path, &format!("late-{number}")).await?;
        assert_ne!(reply.status, 400, "{:?}: {reply:?}", start.elapsed());
        tokio::time::sleep(time::Duration::from_millis(50)).await;
        number += 1;
    }
    let logs = evidence_logs(&site);
    assert!(logs.contains("causes of crashes"), "the request was not suspected\n{logs}");
    for edge in &site.edges {
        let reply = ask(edge.frontend, path, &format!("last-{number}")).await?;
        assert_eq!(reply.status, 200, "{reply:?}\n{logs}");
        number += 1;
    }
    Ok(())
}

// Guards against proper requests that are answered 400 after one outage of all servers, and against trials
// that are used up while no server is up (related to review case 4, DENIED).
#[tokio::test]
async fn outage_of_servers() -> anyhow::Result<()> {
    check_outage(site::SAFE).await
}

// The same for streams, whose prompts share a part.
#[tokio::test]
async fn outage_of_engines() -> anyhow::Result<()> {
    check_outage(site::RESUMABLE).await
}
