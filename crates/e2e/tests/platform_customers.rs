//! Customers that are recognized by their keys, and their limits.

use std::time;

use bytes::Bytes;
use hyper::{Method, header};

use rhubarb_e2e::{call, site};
use rhubarb_fakes::{arrivals, caller};
use rhubarb_node::client;

/// Header with the name of a customer, which servers get.
const NAME: &str = "x-tenant";
/// Time within which entries use a changed config, as in the tests of the store.
const CONFIG_TIME: time::Duration = time::Duration::from_millis(2_000);
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Customer with two keys.
const ACME: site::Customer<'_> =
    site::Customer { name: "acme", keys: &["acme-first", "acme-second"], rate: None };

// Starts a deployment and waits until all entries know the customers.
async fn start(edges: usize, customers: &[site::Customer<'_>]) -> anyhow::Result<site::Site> {
    let site = site::Site::start(site::Sizes { edges, ..site::Sizes::default() }).await?;
    site.store.put("op", "config", site.config_with_customers(2, customers).to_string());
    for edge in 0..edges {
        wait_rejected(&site, edge, "no-such-key").await?;
    }
    Ok(site)
}

// Waits until an entry rejects the key.
async fn wait_rejected(site: &site::Site, edge: usize, key: &str) -> anyhow::Result<()> {
    let start = time::Instant::now();
    while send(site, edge, site::SAFE, "probe", &[(caller::KEY, key)]).await?.status != 401 {
        anyhow::ensure!(start.elapsed() < CONFIG_TIME, "{key} is still served at entry {edge}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

async fn send(
    site: &site::Site,
    edge: usize,
    path: &str,
    attempt: &str,
    headers: &[(&str, &str)],
) -> anyhow::Result<call::Reply> {
    site.edges[edge].call_with(Method::POST, path, attempt, "b", headers).await
}

// Status of a request that carries each of `keys`.
async fn send_keys(site: &site::Site, attempt: &str, keys: &[&str]) -> anyhow::Result<u16> {
    let url = format!("http://{}{}", site.edges[0].frontend, site::SAFE);
    let mut request = client::request(Method::POST, &url, Bytes::from("b"))?;
    let headers = request.headers_mut();
    headers.insert(header::HOST, call::HOST.parse()?);
    for (name, value) in caller::headers(attempt) {
        headers.insert(name.parse::<header::HeaderName>()?, value.parse()?);
    }
    for key in keys {
        headers.append(caller::KEY, key.parse()?);
    }
    let reply = client::Client::new().send(request, CONFIG_TIME).await?;
    Ok(reply.status().as_u16())
}

// What reached servers for an attempt. What entries themselves ask of servers carries no attempt id.
fn arrivals(site: &site::Site, attempt: &str) -> Vec<arrivals::Arrival> {
    let arrivals = site.servers().into_iter().flat_map(|server| server.arrivals());
    arrivals.filter(|arrival| arrival.attempt == attempt).collect()
}

// Checks that everything that reached servers for an attempt names the customer and has no key.
fn check_named(site: &site::Site, attempt: &str, count: usize, name: Option<&str>) {
    let arrivals = arrivals(site, attempt);
    assert_eq!(arrivals.len(), count, "{arrivals:?}");
    for arrival in arrivals {
        assert_eq!(arrival.customer.as_deref(), name, "{arrival:?}");
        assert!(!arrival.has_key, "{arrival:?}");
    }
}

#[tokio::test]
async fn keys_checked() -> anyhow::Result<()> {
    let site = start(1, &[ACME]).await?;
    let key = [(caller::KEY, "acme-first")];
    let reply = send(&site, 0, site::UNSAFE, "plain", &key).await?;
    assert_eq!(reply.status, 200, "{reply:?}");
    check_named(&site, "plain", 1, Some("acme"));
    // Prefill and second leg.
    let reply = send(&site, 0, site::STREAM, "stream", &key).await?;
    assert_eq!((reply.status, reply.body), (200, Some(site::full_stream())));
    check_named(&site, "stream", 2, Some("acme"));
    for (number, path) in [site::SAFE, site::UNSAFE, site::STREAM].into_iter().enumerate() {
        for (kind, headers) in [("unknown", vec![(caller::KEY, "other")]), ("missing", vec![])] {
            let attempt = format!("{kind}-{number}");
            let reply = send(&site, 0, path, &attempt, &headers).await?;
            assert!(reply.status == 401 && reply.is_local(), "{attempt}: {reply:?}");
            assert!(arrivals(&site, &attempt).is_empty(), "{attempt}");
        }
    }
    assert_eq!(send_keys(&site, "single", &["acme-first"]).await?, 200);
    assert_eq!(send_keys(&site, "doubled", &["acme-first", "acme-first"]).await?, 401);
    assert!(arrivals(&site, "doubled").is_empty());
    for (attempt, headers) in [("public", &[][..]), ("public-key", &key[..])] {
        let reply = send(&site, 0, site::PUBLIC, attempt, headers).await?;
        assert_eq!(reply.status, 200, "{reply:?}");
        check_named(&site, attempt, 1, None);
    }
    assert!(!site.edges[0].log().contains("acme-first"), "a key is in the log");
    Ok(())
}

#[tokio::test]
async fn key_taken_away() -> anyhow::Result<()> {
    let site = start(2, &[ACME]).await?;
    for edge in 0..2 {
        let attempt = format!("before-{edge}");
        let reply = send(&site, edge, site::SAFE, &attempt, &[(caller::KEY, "acme-first")]).await?;
        assert_eq!(reply.status, 200, "{reply:?}");
    }
    let left = site::Customer { keys: &["acme-second"], ..ACME };
    site.store.put("op", "config", site.config_with_customers(3, &[left]).to_string());
    for edge in 0..2 {
        wait_rejected(&site, edge, "acme-first").await?;
        let attempt = format!("taken-{edge}");
        let reply = send(&site, edge, site::SAFE, &attempt, &[(caller::KEY, "acme-first")]).await?;
        assert_eq!(reply.status, 401, "{reply:?}");
        assert!(arrivals(&site, &attempt).is_empty());
        let attempt = format!("left-{edge}");
        let reply =
            send(&site, edge, site::SAFE, &attempt, &[(caller::KEY, "acme-second")]).await?;
        assert_eq!(reply.status, 200, "{reply:?}");
        check_named(&site, &attempt, 1, Some("acme"));
    }
    Ok(())
}

#[tokio::test]
async fn over_limit() -> anyhow::Result<()> {
    let limited = site::Customer { name: "small", keys: &["small-key"], rate: Some(40) };
    let site = start(1, &[ACME, limited]).await?;
    // The allowance begins empty. An entry that does not know their number counts eight entries.
    tokio::time::sleep(time::Duration::from_secs(2)).await;
    let (mut served, mut rejected) = (0, 0);
    for number in 0..30 {
        let attempt = format!("small-{number}");
        let reply = send(&site, 0, site::SAFE, &attempt, &[(caller::KEY, "small-key")]).await?;
        if reply.status == 200 {
            served += 1;
            check_named(&site, &attempt, 1, Some("small"));
            continue;
        }
        assert!(reply.status == 429 && reply.is_local(), "{reply:?}");
        let retry: f64 = reply.headers["retry-after"].to_str()?.parse()?;
        assert!(retry > 0.0, "{reply:?}");
        assert!(arrivals(&site, &attempt).is_empty(), "{attempt} arrived");
        rejected += 1;
        // The other customer is served meanwhile.
        let attempt = format!("other-{number}");
        let reply = send(&site, 0, site::SAFE, &attempt, &[(caller::KEY, "acme-first")]).await?;
        assert_eq!(reply.status, 200, "{reply:?}");
    }
    assert!(served >= 1 && rejected >= 1, "{served} served, {rejected} rejected");
    Ok(())
}

// A caller can't pass for another customer, nor for one on a route that needs no key.
#[tokio::test]
async fn name_overwritten() -> anyhow::Result<()> {
    let site = start(1, &[ACME]).await?;
    let headers = [(caller::KEY, "acme-first"), (NAME, "forged")];
    let cases = [
        ("plain", site::SAFE, 1, Some("acme")),
        ("stream", site::RESUMABLE, 2, Some("acme")),
        ("public", site::PUBLIC, 1, None),
    ];
    for (attempt, path, count, name) in cases {
        let reply = send(&site, 0, path, attempt, &headers).await?;
        assert_eq!(reply.status, 200, "{reply:?}");
        check_named(&site, attempt, count, name);
    }
    Ok(())
}
