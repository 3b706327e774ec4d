//! Servers that answer twice, the second time when the next request is on its way.

use std::collections;

use hyper::Method;

use rhubarb_e2e::{call, site};
use rhubarb_fakes::backend;

/// Requests of each kind, enough for each connection to be used several times.
const CALLS: usize = 12;

// A deployment in which the given servers answer twice.
async fn start(
    doubled: impl Fn(&site::Site) -> Vec<backend::Backend>,
) -> anyhow::Result<site::Site> {
    let sizes = site::Sizes { relays: true, ..site::Sizes::default() };
    let site = site::Site::start(sizes).await?;
    for server in doubled(&site) {
        site.relays[&server.id].set_doubles(true);
    }
    Ok(site)
}

// Sends a request and checks that its response is its own, that it ran as often as its kind allows,
// and that it did not run if the response says so.
async fn check_call(site: &site::Site, path: &str, number: usize) -> anyhow::Result<call::Reply> {
    let attempt = format!("a{number}{}", path.replace('/', "-"));
    let reply = site.edges[0].call(Method::POST, path, &attempt, &attempt).await?;
    let echoed = reply.headers.get("x-attempt-id").and_then(|id| id.to_str().ok());
    assert_eq!(echoed, Some(attempt.as_str()), "{reply:?}");
    let is_plain = path == site::SAFE || path == site::UNSAFE;
    if is_plain && reply.status == 200 {
        assert!(reply.body.as_ref().is_some_and(|body| body.contains(&attempt)), "{reply:?}");
    }
    let runs = site.runs(&attempt);
    assert!(runs <= 1 || path == site::SAFE || path == site::RESUMABLE, "{attempt}: {runs} runs");
    assert!(reply.status != 503 || runs == 0, "{attempt} ran and counts as not run");
    Ok(reply)
}

// Prefills that ended with the result of another attempt: id and handle, from the entry's log. The
// fake's handles end with the id of the attempt that they were made for.
fn foreign_results(site: &site::Site) -> Vec<String> {
    let log = site.edges[0].log();
    let lines = log.lines().filter(|line| line.contains("edge: prefill completed"));
    let parsed = lines.filter_map(|line| serde_json::from_str::<serde_json::Value>(line).ok());
    let pairs = parsed.map(|line| {
        let text = |key: &str| line["fields"][key].as_str().unwrap_or_default().to_string();
        (text("id"), text("handle"))
    });
    let foreign = pairs.filter(|(id, handle)| !handle.ends_with(&format!("-{id}")));
    foreign.map(|(id, handle)| format!("{id} has {handle}")).collect()
}

// Guards against a run that goes on from the prefill of another request: the late second answer to
// one prefill counted as the answer to the next one on the connection.
#[tokio::test]
async fn second_prefills() -> anyhow::Result<()> {
    let site = start(|site| site.prefill.clone()).await?;
    for number in 0..CALLS {
        for path in [site::RESUMABLE, site::STREAM] {
            let reply = check_call(&site, path, number).await?;
            let is_whole = reply.body.as_deref() == Some(site::full_stream().as_str());
            assert!(reply.status == 200 && is_whole, "{reply:?}");
        }
    }
    assert_eq!(foreign_results(&site), Vec::<String>::new());
    assert_eq!(shared_holds(&site), Vec::<String>::new());
    Ok(())
}

// Holds that requests of several attempts used.
fn shared_holds(site: &site::Site) -> Vec<String> {
    let mut users: collections::BTreeMap<String, collections::BTreeSet<String>> =
        collections::BTreeMap::new();
    for request in site.decode.iter().flat_map(|decode| decode.requests()) {
        let text = |name: &str| request.headers.get(name).map(|value| format!("{value:?}"));
        if let (Some(hold), Some(attempt)) = (text("x-kv-hold"), text("x-attempt-id")) {
            users.entry(hold).or_default().insert(attempt);
        }
    }
    let shared = users.into_iter().filter(|(_, attempts)| attempts.len() > 1);
    shared.map(|(hold, attempts)| format!("{hold}: {attempts:?}")).collect()
}

// Guards against answers that belong to another request on the same connection, whatever the kinds
// of the two requests.
#[tokio::test]
async fn second_answers() -> anyhow::Result<()> {
    let site = start(site::Site::servers).await?;
    for number in 0..CALLS {
        for path in [site::RESUMABLE, site::SAFE, site::STREAM, site::UNSAFE] {
            check_call(&site, path, number).await?;
        }
    }
    assert_eq!(foreign_results(&site), Vec::<String>::new());
    assert_eq!(shared_holds(&site), Vec::<String>::new());
    Ok(())
}

// Guards against two requests with one hold: the second answer to a hold, which carries no id, comes
// after the run between the two holds on its connection, and counts as the answer to the second.
#[tokio::test]
async fn later_holds() -> anyhow::Result<()> {
    let site = start(|_| Vec::new()).await?;
    for server in &site.decode {
        site.relays[&server.id].double_after(2);
    }
    for number in 0..CALLS {
        for path in [site::RESUMABLE, site::STREAM] {
            check_call(&site, path, number).await?;
        }
    }
    assert_eq!(shared_holds(&site), Vec::<String>::new());
    Ok(())
}
