//! Servers that stop in the middle of an answer and close.

use std::{collections, net, time};

use hyper::Method;
use serde_json::json;

use rhubarb_e2e::{call, site};
use rhubarb_fakes::raw;
use rhubarb_node::client;

const TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// More bytes than the header with the id has beyond its placeholder.
const ID_BYTES: usize = 40;
const EVENTS: &str = "id: 0\ndata: a\n\nid: 1\ndata: b\n\n";

// A deployment with one entry in which a raw server takes the place of all plain servers, or of all
// engines of a stage.
async fn start(stage: &str) -> anyhow::Result<(site::Site, raw::Raw)> {
    let sizes = site::Sizes {
        edges: 0,
        plain: usize::from(!stage.is_empty()),
        prefill: usize::from(stage != "prefill"),
        decode: usize::from(stage != "decode"),
        ..site::Sizes::default()
    };
    let mut site = site::Site::prepare(sizes).await?;
    let ip = site.servers()[0].address().expect("it serves").ip();
    let raw = raw::Raw::start(ip, raw::Answer::EndlessHead).await?;
    let service = if stage.is_empty() { "plain" } else { "models" };
    let mut row = json!({
        "service": service, "address": raw.address, "zone": "hall-a", "version": "v1",
        "batch_slots": 64, "state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": 1,
    });
    if !stage.is_empty() {
        row["stage"] = json!(stage);
    }
    site.store.put("servers", "i-raw", row.to_string());
    site.add_edge().await?;
    site.wait_ready().await?;
    Ok((site, raw))
}

// Whole answers with this body: with a length, whose header comes last, in chunks, and without either.
fn answers(body: &str, content_type: &str) -> [(String, bool); 3] {
    let head = format!("HTTP/1.1 200 OK\r\n{{id}}\r\nX-Response-Seal: raw\r\n{content_type}\r\n");
    let (length, half) = (body.len(), body.len() / 2);
    let (first, second) = body.split_at(half);
    let chunk = |part: &str| format!("{:x}\r\n{part}\r\n", part.len());
    let chunks = format!("{}{}0\r\n\r\n", chunk(first), chunk(second));
    [
        (format!("{head}Content-Length: {length}\r\n\r\n{body}"), true),
        (format!("{head}Transfer-Encoding: chunked\r\n\r\n{chunks}"), true),
        (format!("{head}\r\n{body}"), false),
    ]
}

// Sends a request while the server cuts its answers after each number of bytes in turn. No cut answer
// looks whole to the caller, and none is said not to have run, as the server may have run it.
async fn check(stage: &str, path: &'static str, body: &str, kind: &str) -> anyhow::Result<()> {
    let (site, raw) = start(stage).await?;
    let mut statuses = collections::BTreeSet::new();
    for (number, (text, is_framed)) in answers(body, kind).into_iter().enumerate() {
        // An answer without a length may end with its connection after its head.
        let head = text.find("\r\n\r\n").expect("the head ends") + 4;
        let end = if is_framed { text.len() + ID_BYTES } else { head };
        for kept in [false, is_framed] {
            for at in 0..end {
                raw.set_answer(raw::Answer::Cut { text: text.clone(), at, kept });
                let attempt = format!("{number}-{kept}-{at}");
                if kept {
                    let first = format!("{attempt}-f");
                    site.edges[0].receive(Method::POST, path, &first, &[]).await?;
                }
                let received = site.edges[0].receive(Method::POST, path, &attempt, &[]).await?;
                let call::Received { status, text, is_whole, .. } = &received;
                statuses.insert(*status);
                let is_success = (200..300).contains(status) && *is_whole;
                let is_short = text.len() < body.len();
                anyhow::ensure!(!(is_success && is_short), "{attempt}: {received:?}");
                if path == site::UNSAFE {
                    anyhow::ensure!(![408, 421, 429, 503].contains(status), "{attempt}: {status}");
                }
            }
        }
        raw.set_answer(raw::Answer::Cut { text, at: usize::MAX, kept: false });
        let attempt = format!("{number}-whole");
        let received = site.edges[0].receive(Method::POST, path, &attempt, &[]).await?;
        anyhow::ensure!(received.status == 200 && received.is_whole, "{received:?}");
        anyhow::ensure!(received.text == body, "{received:?}");
    }
    anyhow::ensure!(!statuses.is_empty());
    Ok(())
}

// Guards against a cut answer that is framed as whole for the caller (issue 47): at every byte of a head
// and of a body with a length or chunks, on new and on kept connections.
#[tokio::test]
async fn plain_cut() -> anyhow::Result<()> {
    check("", site::UNSAFE, "an answer", "X-Kind: plain").await
}

// The same for a request that is tried again.
#[tokio::test]
async fn safe_cut() -> anyhow::Result<()> {
    check("", site::SAFE, "an answer", "X-Kind: plain").await
}

// The same for the stream of a decode engine.
#[tokio::test]
async fn stream_cut() -> anyhow::Result<()> {
    check("decode", site::STREAM, EVENTS, "Content-Type: text/event-stream").await
}

#[tokio::test]
async fn resumable_cut() -> anyhow::Result<()> {
    check("decode", site::RESUMABLE, EVENTS, "Content-Type: text/event-stream").await
}

// The client of the store, and of engines on the older interface.
#[tokio::test]
async fn client_cut() -> anyhow::Result<()> {
    let raw = raw::Raw::start(net::Ipv4Addr::LOCALHOST.into(), raw::Answer::EndlessHead).await?;
    let url = format!("http://{}/x", raw.address);
    for (text, is_framed) in answers("an answer", "X-Kind: plain") {
        let text = text.replace("{id}", "X-Id: 1");
        let head = text.find("\r\n\r\n").expect("the head ends") + 4;
        for at in 0..if is_framed { text.len() } else { head } {
            raw.set_answer(raw::Answer::Cut { text: text.clone(), at, kept: false });
            let reply = client::Client::new().get(&url, TIMEOUT).await;
            anyhow::ensure!(reply.is_err(), "{at} bytes of {text:?}");
        }
        raw.set_answer(raw::Answer::Cut { text, at: usize::MAX, kept: false });
        let reply = client::Client::new().get(&url, TIMEOUT).await?;
        anyhow::ensure!(reply.body == "an answer");
    }
    Ok(())
}
