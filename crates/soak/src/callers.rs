//! Callers of a soak: each sends one request after another, and some leave early.

use std::{net, sync, sync::atomic, time};

use hyper::Method;
use rand::RngExt;

use rhubarb_e2e::{call, standin};
use rhubarb_node::{client, locks};

use crate::record;

/// What callers and their observer share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) history: sync::Mutex<record::History>,
    pub(crate) edges: Vec<net::SocketAddr>,
    /// Newest version of the config in the store.
    pub(crate) version: atomic::AtomicU64,
    pub(crate) stopped: atomic::AtomicBool,
    pub(crate) seq: atomic::AtomicU64,
}

/// Part of the requests whose caller leaves early.
const LEAVE_SHARE: f64 = 0.1;
/// Time after which such a caller leaves, in milliseconds.
const LEAVE_AFTER: std::ops::Range<u64> = 10..400;
/// Pause between two requests of a caller, in milliseconds.
const PAUSE: std::ops::Range<u64> = 1..40;
/// Time between two looks at the config of an entry.
const LOOK_EVERY: time::Duration = time::Duration::from_millis(150);

impl Shared {
    pub(crate) fn history(&self) -> sync::MutexGuard<'_, record::History> {
        locks::lock(&self.history)
    }

    fn is_stopped(&self) -> bool {
        self.stopped.load(atomic::Ordering::Relaxed)
    }
}

/// Sends requests until told to stop.
pub(crate) async fn run(shared: sync::Arc<Shared>) {
    let client = client::Client::new();
    while !shared.is_stopped() {
        let edge = rand::random_range(0..shared.edges.len());
        let kind = record::KINDS[rand::random_range(0..record::KINDS.len())];
        let record = call(&shared, &client, edge, kind).await;
        shared.history().records.push(record);
        let pause = rand::rng().random_range(PAUSE);
        tokio::time::sleep(time::Duration::from_millis(pause)).await;
    }
}

/// Sends one request and waits for its end.
pub(crate) async fn call(
    shared: &Shared,
    client: &client::Client,
    edge: usize,
    kind: record::Kind,
) -> record::Record {
    let attempt = format!("s{}", shared.seq.fetch_add(1, atomic::Ordering::Relaxed));
    let body = format!("body of {attempt}");
    let call = call::Call { path: kind.path(), attempt: &attempt, body: &body, headers: &[] };
    let began = time::Instant::now();
    let leaves = rand::random_bool(LEAVE_SHARE);
    let after = time::Duration::from_millis(rand::rng().random_range(LEAVE_AFTER));
    let sending = call.send(client, Method::POST, shared.edges[edge]);
    let end = tokio::select! {
        reply = sending => match reply {
            Ok(reply) => record::End::Answer(reply),
            Err(client::CallError::Unreachable(_)) => record::End::Unreachable,
            Err(err) => record::End::ConnectionLost(err.to_string()),
        },
        () = tokio::time::sleep(after), if leaves => record::End::Abandoned,
    };
    record::Record { attempt, kind, edge, began, ended: time::Instant::now(), end }
}

/// Looks again and again whether an entry has the newest config, until told to stop.
pub(crate) async fn observe(shared: sync::Arc<Shared>, edge: usize) {
    let client = client::Client::new();
    while !shared.is_stopped() {
        let version = shared.version.load(atomic::Ordering::Relaxed);
        if let Some(probe) = look(&shared, &client, edge, version).await {
            shared.history().probes.push(probe);
        }
        tokio::time::sleep(LOOK_EVERY).await;
    }
}

/// Asks for the route that came with `version`; `None` if the answer does not tell.
pub(crate) async fn look(
    shared: &Shared,
    client: &client::Client,
    edge: usize,
    version: u64,
) -> Option<record::ConfigProbe> {
    let host = standin::version_host(version);
    let attempt = format!("look{}", shared.seq.fetch_add(1, atomic::Ordering::Relaxed));
    let headers = [("host", host.as_str())];
    let call = call::Call { path: "/", attempt: &attempt, body: "", headers: &headers };
    let reply = call.send(client, Method::GET, shared.edges[edge]).await.ok()?;
    let applied = match reply.status {
        200 => true,
        404 => false,
        _ => return None,
    };
    Some(record::ConfigProbe { edge, at: time::Instant::now(), version, applied })
}
