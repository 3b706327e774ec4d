//! Prompts with a part that crashes the engines that answer them.

use std::time;

use hyper::Method;

use rhubarb_e2e::{call, site};
use rhubarb_fakes::{backend, crash};

/// Part that all requests of a test share.
const FIRST: &str = "f1";
/// Part that crashes engines.
const DEADLY: &str = "dead";
/// Time within which an entry uses what other entries have learned (`contact_ms` of the platform).
const CONTACT: time::Duration = time::Duration::from_millis(3_000);
/// Number of crashes after which the entries must know the part.
const KNOWN_AFTER: u64 = 5;
/// Number of requests with the part that may still reach servers.
const MAX_LATE: usize = 3;

async fn start(edges: usize) -> anyhow::Result<site::Site> {
    let sizes = site::Sizes { edges, plain: 0, prefill: 2, decode: 6, relays: false };
    let site = site::Site::start(sizes).await?;
    site.decode.iter().for_each(|engine| engine.set_deadly_part(DEADLY));
    tokio::spawn(register_again(site.store.clone(), site.decode.clone()));
    Ok(site)
}

// Writes the row of each engine again once it has started again.
async fn register_again(store: rhubarb_fakes::store::Store, engines: Vec<backend::Backend>) {
    let mut starts: Vec<_> = engines.iter().map(backend::Backend::born).collect();
    loop {
        tokio::time::sleep(time::Duration::from_millis(50)).await;
        for (engine, born) in engines.iter().zip(&mut starts) {
            if engine.born() != *born {
                *born = engine.born();
                store.put("servers", &engine.id, site::server_row(engine).to_string());
            }
        }
    }
}

fn crashes(site: &site::Site) -> u64 {
    site.decode.iter().map(|engine| engine.born() - 1).sum()
}

// Number of requests whose attempt ids start with `prefix` that reached servers.
fn arrivals(site: &site::Site, prefix: &str) -> usize {
    let arrivals = site.servers().into_iter().flat_map(|server| server.arrivals());
    arrivals.filter(|arrival| arrival.attempt.starts_with(prefix)).count()
}

async fn send(
    site: &site::Site,
    edge: usize,
    attempt: &str,
    parts: &[&str],
) -> anyhow::Result<call::Reply> {
    let parts: Vec<_> = parts.iter().map(|part| format!("{part}:100")).collect();
    let prompt = format!("{},{}:50", parts.join(","), attempt.len());
    let headers = [("x-prompt-prefix", prompt.as_str())];
    let edge = &site.edges[edge % site.edges.len()];
    edge.call_with(Method::POST, site::RESUMABLE, attempt, "b", &headers).await
}

// Sends requests with the deadly part to all entries in turn until engines have fallen often enough,
// at most `most` requests.
async fn spread_crashes(site: &site::Site, most: usize) -> anyhow::Result<()> {
    for number in 0..most {
        if crashes(site) >= KNOWN_AFTER {
            break;
        }
        send(site, number, &format!("early-{number}"), &[FIRST, DEADLY]).await?;
    }
    // The last engine that fell is up again.
    tokio::time::sleep(crash::DOWN_TIME.max(CONTACT)).await;
    Ok(())
}

// Guards against requests with a part that crashes engines being sent on to one engine after the
// other, by all entries (issue 29, BUDGET), and against the rejection of sound requests beside them
// (LOST).
#[tokio::test]
async fn crashes_end() -> anyhow::Result<()> {
    let site = start(3).await?;
    spread_crashes(&site, 12).await?;
    let before = crashes(&site);
    for number in 0..9 {
        let reply = send(&site, number, &format!("late-{number}"), &[FIRST, DEADLY]).await?;
        assert!(reply.is_local() && reply.status >= 400, "{reply:?}");
        let reply = send(&site, number, &format!("sound-{number}"), &[FIRST]).await?;
        assert_eq!((reply.status, reply.body), (200, Some(site::full_stream())));
    }
    let late = arrivals(&site, "late-");
    assert!(late <= MAX_LATE, "{late} late requests, {before} and {} crashes", crashes(&site));
    Ok(())
}
