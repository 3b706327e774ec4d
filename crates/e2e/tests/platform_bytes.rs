//! Servers whose answers have no length, are cut off, or do not end: bounded in time and memory.

use std::{net, time};

use hyper::Method;
use serde_json::json;
use tokio::task;

use rhubarb_e2e::{call, site};
use rhubarb_fakes::raw;
use rhubarb_node::client;

/// Peak memory of an entry in bytes: the smallest instance has 88 MB.
const MAX_MEMORY: u64 = 80 << 20;
const CALLS: usize = 24;
const MARGIN: time::Duration = time::Duration::from_millis(700);

// A deployment with one entry, whose only plain server, or only decode engine, is a raw one.
async fn start(is_engine: bool) -> anyhow::Result<(site::Site, raw::Raw)> {
    let sizes = site::Sizes {
        edges: 0,
        plain: 0,
        prefill: 1,
        decode: 0,
        relays: false,
        direct: false,
        plain_direct: false,
    };
    let mut site = site::Site::prepare(sizes).await?;
    let address = site.prefill[0].address().map(|address| address.ip());
    let ip = address.unwrap_or(net::Ipv4Addr::LOCALHOST.into());
    let raw = raw::Raw::start(ip, raw::Answer::EndlessHead).await?;
    let mut row = json!({
        "service": "plain", "address": raw.address, "zone": "hall-a", "version": "v1",
        "batch_slots": 64, "state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": 1,
    });
    if is_engine {
        (row["service"], row["stage"]) = (json!("models"), json!("decode"));
    }
    site.store.put("servers", "i-raw", row.to_string());
    site.add_edge().await?;
    site.wait_ready().await?;
    Ok((site, raw))
}

// Sends many requests at once.
async fn send(site: &site::Site, path: &'static str, name: &str) -> Vec<call::Reply> {
    let address = site.edges[0].frontend;
    let mut calls = task::JoinSet::new();
    for number in 0..CALLS {
        let attempt = format!("{name}-{number}");
        calls.spawn(async move {
            let call = call::Call { path, attempt: &attempt, body: "b", headers: &[] };
            call.send(&client::Client::new(), Method::POST, address).await
        });
    }
    calls.join_all().await.into_iter().filter_map(Result::ok).collect()
}

fn endless() -> Vec<raw::Answer> {
    vec![
        raw::Answer::EndlessHead,
        raw::Answer::EndlessInterim,
        raw::Answer::EndlessBody { chunked: true },
        raw::Answer::EndlessBody { chunked: false },
        raw::Answer::EndlessRejection,
        raw::Answer::EndlessEvent,
    ]
}

// Guards against answers without end that keep requests beyond their time or use up the memory of
// the entry (issue 29).
#[tokio::test]
async fn plain_endless() -> anyhow::Result<()> {
    let (site, raw) = start(false).await?;
    for answer in endless() {
        raw.set_answer(answer.clone());
        for path in [site::SAFE, site::UNSAFE] {
            let replies = send(&site, path, &format!("{answer:?}").replace(' ', "")).await;
            assert_eq!(replies.len(), CALLS, "{answer:?}: every request is answered");
            for reply in replies {
                assert!(reply.is_local() && reply.status >= 500, "{answer:?}: {reply:?}");
                let limit = site::PLAIN_TIMEOUT + MARGIN;
                assert!(reply.elapsed < limit, "{answer:?}: {:?}", reply.elapsed);
            }
            let peak = site.edges[0].peak_memory()?;
            assert!(peak < MAX_MEMORY, "{answer:?}: {} MB", peak >> 20);
        }
    }
    Ok(())
}

#[tokio::test]
async fn stream_endless() -> anyhow::Result<()> {
    let (site, raw) = start(true).await?;
    for answer in endless() {
        raw.set_answer(answer.clone());
        let replies = send(&site, site::STREAM, &format!("{answer:?}").replace(' ', "")).await;
        assert_eq!(replies.len(), CALLS, "{answer:?}: every request is answered");
        for reply in replies {
            let is_whole = reply.status == 200 && reply.body.is_some();
            assert!(!is_whole, "{answer:?}: {reply:?}");
            let limit = site::STREAM_TIMEOUT + MARGIN;
            assert!(reply.elapsed < limit, "{answer:?}: {:?}", reply.elapsed);
        }
        let peak = site.edges[0].peak_memory()?;
        assert!(peak < MAX_MEMORY, "{answer:?}: {} MB", peak >> 20);
    }
    Ok(())
}

// An answer without a length ends with its connection; one that is reset, or ends inside an event, is
// not complete.
#[tokio::test]
async fn unframed_answers() -> anyhow::Result<()> {
    let (site, raw) = start(false).await?;
    let text = "an answer".to_string();
    raw.set_answer(raw::Answer::Unframed(text.clone()));
    for number in 0..3 {
        let attempt = format!("whole-{number}");
        let reply = site.edges[0].call(Method::POST, site::UNSAFE, &attempt, "b").await?;
        assert_eq!((reply.status, reply.body.as_deref()), (200, Some(text.as_str())));
    }
    raw.set_answer(raw::Answer::Reset(text));
    let reply = site.edges[0].call(Method::POST, site::UNSAFE, "cut", "b").await?;
    assert!(reply.is_local() && reply.status == 502, "{reply:?}");
    Ok(())
}

#[tokio::test]
async fn unframed_streams() -> anyhow::Result<()> {
    let (site, raw) = start(true).await?;
    let whole = site::full_stream();
    raw.set_answer(raw::Answer::Unframed(whole.clone()));
    let reply = site.edges[0].call(Method::POST, site::STREAM, "whole", "b").await?;
    assert_eq!((reply.status, reply.body.as_deref()), (200, Some(whole.as_str())));
    // Events need no ids.
    let unnumbered = "data: a\n\ndata: b\n\n".to_string();
    raw.set_answer(raw::Answer::Unframed(unnumbered.clone()));
    let reply = site.edges[0].call(Method::POST, site::STREAM, "unnumbered", "b").await?;
    assert_eq!((reply.status, reply.body.as_deref()), (200, Some(unnumbered.as_str())));
    let partial = whole[..whole.len() - 5].to_string();
    for answer in [
        raw::Answer::Unframed(partial.clone()),
        raw::Answer::Reset(partial),
        raw::Answer::Reset(whole.clone()),
        raw::Answer::Unframed(String::new()),
    ] {
        raw.set_answer(answer.clone());
        let attempt = format!("cut-{}", rand::random::<u32>());
        let reply = site.edges[0].call(Method::POST, site::STREAM, &attempt, "b").await?;
        let is_whole = reply.status == 200 && reply.body.is_some();
        assert!(!is_whole, "{answer:?}: {reply:?}");
    }
    Ok(())
}

// Guards against an error's text in a stream without a length, whose body may hold a second answer
// (issue 41).
#[tokio::test]
async fn unframed_second_answer() -> anyhow::Result<()> {
    let (site, raw) = start(true).await?;
    let whole = site::full_stream();
    let failure = "HTTP/1.1 500 Internal Server Error\r\ncontent-type: text/plain\r\n\r\nfull\n\n";
    for (number, body) in [failure.to_string(), format!("{whole}{failure}")].iter().enumerate() {
        raw.set_answer(raw::Answer::Unframed(body.clone()));
        let attempt = format!("a{number}");
        let receiving = site.edges[0].receive(Method::POST, site::STREAM, &attempt, &[]).await;
        // A stream that is cut off at once may end before its head was written.
        let Ok(received) = receiving else { continue };
        let is_whole = received.status == 200 && received.is_whole;
        assert!(!is_whole, "{body:?}: {received:?}");
        let is_part = received.status == 502 || whole.starts_with(&received.text);
        assert!(is_part, "{body:?}: {received:?}");
    }
    Ok(())
}

// Guards against a stream that its caller takes up and that looks complete though its server only closed
// the connection (issue 41).
#[tokio::test]
async fn unframed_take_up() -> anyhow::Result<()> {
    let (site, raw) = start(true).await?;
    raw.set_answer(raw::Answer::Unframed(String::new()));
    let headers = [("last-event-id", "2")];
    let received = site.edges[0].receive(Method::POST, site::RESUMABLE, "a1", &headers).await?;
    assert!(received.status >= 500 || !received.is_whole, "{received:?}");
    Ok(())
}
