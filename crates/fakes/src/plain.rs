//! Plain servers, which count runs by idempotency key.

use std::{collections, sync, time};

use bytes::Bytes;
use hyper::{HeaderMap, Method, Response, StatusCode, header};
use serde_json::json;

use rhubarb_node::{locks, response};

/// Runs by idempotency key, over all servers.
#[derive(Debug, Default)]
pub struct Runs {
    counts: sync::Mutex<collections::BTreeMap<String, u64>>,
    fences: sync::Mutex<collections::BTreeMap<String, u64>>,
}

/// Header with the fencing number of an agent.
pub const FENCE: &str = "rhubarb-fence";
const MAX_BYTES: usize = 16 * 1024 * 1024;

impl Runs {
    /// Counts one run of the key in `headers`, if there is one.
    pub fn count(&self, key: Option<&str>) {
        if let Some(key) = key {
            let mut counts = locks::lock(&self.counts);
            *counts.entry(key.to_string()).or_default() += 1;
        }
    }

    /// Number of runs of `key`.
    pub fn get(&self, key: &str) -> u64 {
        let counts = locks::lock(&self.counts);
        counts.get(key).copied().unwrap_or(0)
    }

    /// Whether `fence` is not older than the newest that `server` has seen.
    pub fn pass_fence(&self, server: &str, fence: u64) -> bool {
        let mut fences = locks::lock(&self.fences);
        let newest = fences.entry(server.to_string()).or_default();
        *newest = fence.max(*newest);
        fence >= *newest
    }
}

/// One call to a plain server.
#[derive(Debug)]
pub struct Call<'a> {
    /// Name of the server.
    pub server: &'a str,
    /// Method.
    pub method: &'a Method,
    /// Path within the server.
    pub path: &'a str,
    /// Query, without `?`.
    pub query: &'a str,
    /// Headers.
    pub headers: &'a HeaderMap,
    /// Body.
    pub body: &'a Bytes,
}

/// Answers a call: `/bytes?N` with N bytes, `/wait?MS` late, and all else with what it got.
pub async fn call(runs: &Runs, call: Call<'_>) -> Response<response::Body> {
    let text = |name: &str| call.headers.get(name).and_then(|value| value.to_str().ok());
    let fence = text(FENCE).and_then(|fence| fence.parse().ok());
    if fence.is_some_and(|fence| !runs.pass_fence(call.server, fence)) {
        return response::text(StatusCode::CONFLICT, "old fencing number");
    }
    runs.count(text("idempotency-key"));
    // Calls are counted by server and path too, as `SERVER-PATH`.
    runs.count(Some(&format!("{}{}", call.server, call.path.replace('/', "-"))));
    let number = call.query.parse().unwrap_or(0);
    if call.path == "/wait" || call.path == "/confirm" {
        tokio::time::sleep(time::Duration::from_millis(number)).await;
    }
    if call.path == "/bytes" {
        let size = (number as usize).min(MAX_BYTES);
        return response::text(StatusCode::OK, pattern(size));
    }
    let got = json!({
        "server": call.server,
        "method": call.method.as_str(),
        "path": call.path,
        "query": call.query,
        "body": String::from_utf8_lossy(call.body),
        "key": text("idempotency-key"),
        "custom": text("x-custom"),
        "connection": text("connection"),
        "authorization": text("authorization"),
    });
    let mut reply = response::json(StatusCode::OK, &got);
    let close = header::HeaderValue::from_static("timeout=5");
    reply.headers_mut().insert("keep-alive", close);
    reply.headers_mut().insert("x-served", header::HeaderValue::from_static("yes"));
    reply
}

/// `size` bytes that differ by position.
pub fn pattern(size: usize) -> Vec<u8> {
    (0..size).map(|at| b'a' + (at % 23) as u8).collect()
}
