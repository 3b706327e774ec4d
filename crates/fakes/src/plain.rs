//! Plain servers, which count the runs of each idempotency key.

use std::{collections, sync, time};

use bytes::Bytes;
use hyper::{HeaderMap, Method, Response, StatusCode, header};
use serde_json::json;
use tokio::sync::mpsc;

use rhubarb_node::{locks, response};

/// Run counts by idempotency key, and the newest fencing number by server.
///
/// All servers of a deployment share them.
#[derive(Debug, Default)]
pub struct Runs {
    counts: sync::Mutex<collections::BTreeMap<String, u64>>,
    fences: sync::Mutex<collections::BTreeMap<String, u64>>,
}

/// Header that carries the fencing number of an agent.
pub const FENCE_HEADER: &str = "rhubarb-fence";
/// Size of a response of `/endless`, in bytes: more than the buffers on the way to a caller hold.
pub const ENDLESS_BYTES: usize = 14 * 1024 * 1024;
/// Size of its chunks, in bytes.
const ENDLESS_CHUNK: usize = 16 * 1024;
/// Maximum size of a response of `/bytes`, in bytes.
const MAX_BYTES: usize = 16 * 1024 * 1024;

impl Runs {
    /// Counts one run of `key`, if there is one.
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

    /// Records `fence` for `server` and returns whether it is at least the newest one received.
    pub fn accept_fence(&self, server: &str, fence: u64) -> bool {
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

/// Answers a call.
///
/// `/fail?N` answers with status N, and as if it had not run the call. `/bytes?N` returns N bytes of [`pattern`]. `/endless` sends [`ENDLESS_BYTES`] and
/// never ends. `/wait?MS` and `/confirm?MS` wait MS milliseconds.
/// All paths but `/bytes` echo the request as JSON.
pub async fn call(runs: &Runs, call: Call<'_>) -> Response<response::Body> {
    let text = |name: &str| call.headers.get(name).and_then(|value| value.to_str().ok());
    let fence = text(FENCE_HEADER).and_then(|fence| fence.parse().ok());
    if fence.is_some_and(|fence| !runs.accept_fence(call.server, fence)) {
        return response::text(StatusCode::CONFLICT, "old fencing number");
    }
    runs.count(text("idempotency-key"));
    // Calls are also counted by server and path, under the key `SERVER-PATH`.
    runs.count(Some(&format!("{}{}", call.server, call.path.replace('/', "-"))));
    let argument = call.query.parse().unwrap_or(0);
    if call.path == "/wait" || call.path == "/confirm" {
        tokio::time::sleep(time::Duration::from_millis(argument)).await;
    }
    if call.path == "/bytes" {
        let size = (argument as usize).min(MAX_BYTES);
        return response::text(StatusCode::OK, pattern(size));
    }
    if call.path == "/fail" {
        let status = StatusCode::from_u16(argument as u16).unwrap_or(StatusCode::BAD_REQUEST);
        let mut reply = response::text(status, "status\n");
        // As behind another entry, which has not run what this one has passed on.
        reply.headers_mut().insert("rhubarb-outcome", header::HeaderValue::from_static("not-run"));
        return reply;
    }
    if call.path == "/endless" {
        return endless();
    }
    let echo = json!({
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
    let mut reply = response::json(StatusCode::OK, &echo);
    let keep_alive = header::HeaderValue::from_static("timeout=5");
    reply.headers_mut().insert("keep-alive", keep_alive);
    reply.headers_mut().insert("x-served", header::HeaderValue::from_static("yes"));
    reply
}

fn endless() -> Response<response::Body> {
    let (sender, receiver) = mpsc::channel(1);
    tokio::spawn(async move {
        for _ in 0..ENDLESS_BYTES / ENDLESS_CHUNK {
            if sender.send(Ok(pattern(ENDLESS_CHUNK).into())).await.is_err() {
                return;
            }
        }
        sender.closed().await;
    });
    Response::new(response::stream(receiver))
}

/// Returns `size` bytes that repeat the letters `a` to `w`.
pub fn pattern(size: usize) -> Vec<u8> {
    (0..size).map(|at| b'a' + (at % 23) as u8).collect()
}
