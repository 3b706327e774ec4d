//! Streams of callers that take them up again at other entries.

use std::collections;

use hyper::Method;
use tokio::task;

use rhubarb_fakes::backend;
use rhubarb_node::client;

use crate::{call, site};

/// Versions that the events in `body` were made by.
pub fn versions(body: &str) -> collections::BTreeSet<&str> {
    let data = body.lines().filter_map(|line| line.strip_prefix("data: token-"));
    data.map(|text| text.split_once('@').map_or(backend::FIRST_SOFTWARE, |(_, name)| name))
        .collect()
}

/// Takes up the stream that `first` began after event `last`, at an entry.
///
/// # Errors
/// Returns an error if no response head arrives.
pub async fn resume(
    site: &site::Site,
    edge: usize,
    first: &str,
    last: u64,
) -> anyhow::Result<call::Reply> {
    let last = last.to_string();
    let headers = [("last-event-id", last.as_str()), ("resumes", first)];
    let attempt = format!("{first}-again");
    site.edges[edge].call_with(Method::POST, site::RESUMABLE, &attempt, "b", &headers).await
}

/// Streams requests at an entry; returns the version that began each.
///
/// # Errors
/// Returns an error if no response head arrives.
///
/// # Panics
/// Panics if a stream does not have exactly one version.
pub async fn begin(
    site: &site::Site,
    edge: usize,
    count: usize,
) -> anyhow::Result<collections::BTreeMap<String, String>> {
    begin_as(site, edge, "first", count).await
}

/// Like [`begin`]; the attempts of the streams begin with `name`.
///
/// # Errors
/// Returns an error if no response head arrives.
///
/// # Panics
/// Panics if a stream does not have exactly one version.
pub async fn begin_as(
    site: &site::Site,
    edge: usize,
    name: &str,
    count: usize,
) -> anyhow::Result<collections::BTreeMap<String, String>> {
    let mut calls = task::JoinSet::new();
    for number in 0..count {
        let address = site.edges[edge].frontend;
        let attempt = format!("{name}-{edge}-{number}");
        calls.spawn(async move {
            let call =
                call::Call { path: site::RESUMABLE, attempt: &attempt, body: "b", headers: &[] };
            let client = client::Client::new();
            let reply = call.send(&client, Method::POST, address).await?;
            anyhow::Ok((attempt, reply))
        });
    }
    let mut begun = collections::BTreeMap::new();
    for result in calls.join_all().await {
        let (attempt, reply) = result?;
        let body = reply.body.unwrap_or_default();
        let versions = versions(&body);
        assert_eq!(versions.len(), 1, "{attempt}: {body}");
        begun.insert(attempt, versions.into_iter().next().unwrap_or_default().to_string());
    }
    Ok(begun)
}

/// Takes all streams up at an entry; returns how many went on, all at their own version.
///
/// # Errors
/// Returns an error if no response head arrives.
///
/// # Panics
/// Panics if one goes on at another version, or is refused otherwise than with 503.
pub async fn resume_all(
    site: &site::Site,
    edge: usize,
    begun: &collections::BTreeMap<String, String>,
) -> anyhow::Result<usize> {
    let mut resumed = 0;
    for (attempt, version) in begun {
        let reply = resume(site, edge, attempt, 1).await?;
        let body = reply.body.clone().unwrap_or_default();
        if reply.status == 200 {
            resumed += 1;
            let expected = [version.as_str()].into();
            assert_eq!(versions(&body), expected, "{attempt} goes on as {body}");
        } else {
            assert_eq!(reply.status, 503, "{reply:?}");
        }
    }
    Ok(resumed)
}
