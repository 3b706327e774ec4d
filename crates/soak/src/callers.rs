//! Callers of a soak, which send requests one after another and abandon some of them.

use std::{net, sync, sync::atomic, time};

use hyper::Method;
use rand::RngExt;

use rhubarb_e2e::{call, site};
use rhubarb_fakes::{backend, caller};
use rhubarb_node::{client, locks};

use crate::record;

/// State shared by the callers, the probes and the fault injector.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) history: sync::Mutex<record::History>,
    /// Addresses of the entries.
    pub(crate) edges: Vec<net::SocketAddr>,
    /// Addresses of their readiness checks.
    pub(crate) ready: Vec<net::SocketAddr>,
    /// Latest version of the config in the store.
    pub(crate) version: atomic::AtomicU64,
    /// Whether callers and probes have to end.
    pub(crate) stopped: atomic::AtomicBool,
    /// Whether the faults are over and the recovery of entries is checked.
    pub(crate) recovering: atomic::AtomicBool,
    /// Number of the next attempt id.
    pub(crate) next_attempt: atomic::AtomicU64,
    /// Whether some requests have a part in their prompts that crashes engines.
    pub(crate) deadly: atomic::AtomicBool,
    /// Whether requests that crash servers are sent again and again.
    pub(crate) repeated: atomic::AtomicBool,
}

/// How a request differs from sound ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Flavor {
    Sound,
    /// It has a part in its prompt that crashes engines.
    Deadly,
    /// It is one of those that are sent again and again and crash servers.
    Repeated,
}

/// Share of the callers that send all requests to one entry.
const STAY_RATIO: f64 = 0.5;
/// Share of the requests that their caller abandons.
const ABANDON_RATIO: f64 = 0.1;
/// Share of the model requests with a part that crashes engines, while there is one.
const DEADLY_RATIO: f64 = 0.1;
/// Share of the requests that are sent again and again and crash servers, while there are such.
const REPEATED_RATIO: f64 = 0.08;
/// Share of the callers that stay with one entry whose requests follow one another without a pause
/// while there are faults. Later they would occupy all slots of a single engine.
const EAGER_RATIO: f64 = 0.4;
/// Share of the complete streams that their callers take up, as after a cut. Those that were cut off
/// are all taken up.
const RESUME_RATIO: f64 = 0.3;
/// Last event from which complete streams are taken up.
const LAST_EVENT: u64 = 1;
/// Maximum number of times that a caller takes a stream up, and pause before each time.
const MAX_TAKE_UPS: usize = 8;
const TAKE_UP_PAUSE_MS: std::ops::Range<u64> = 20..600;
/// Number of other parts that prompts have in common.
const SOUND_PARTS: u64 = 50;
/// Time after which a caller abandons a request.
const ABANDON_AFTER_MS: std::ops::Range<u64> = 10..400;
/// Pause between two requests of a caller.
const PAUSE_MS: std::ops::Range<u64> = 1..40;
/// Interval between two probes of the config of an entry.
const PROBE_INTERVAL: time::Duration = time::Duration::from_millis(150);
/// Number of entries up to which that interval holds; with more, all together are probed as often as
/// these.
const PROBED_OFTEN: usize = 8;
/// Idle time after which a connection is not reused: how long users' callers reuse one.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(12);

impl Shared {
    pub(crate) fn history(&self) -> sync::MutexGuard<'_, record::History> {
        locks::lock(&self.history)
    }

    fn note_sent(&self, attempt: &str, edge: usize) {
        let sent = record::Sent { edge, at: time::Instant::now() };
        self.history().sent.insert(attempt.to_string(), sent);
    }

    fn is_stopped(&self) -> bool {
        self.stopped.load(atomic::Ordering::Relaxed)
    }
}

/// Sends requests until `shared.stopped` is set. Uses open connections as long as the entry has them
/// open, whatever happens to it; some callers stay with one entry.
pub(crate) async fn run(shared: sync::Arc<Shared>) {
    let client = client::Client::with_idle_timeout(IDLE_TIMEOUT);
    let home = rand::random_range(0..shared.edges.len());
    let stays = rand::random_bool(STAY_RATIO);
    let is_eager = stays && rand::random_bool(EAGER_RATIO);
    while !shared.is_stopped() {
        let edge = if stays { home } else { rand::random_range(0..shared.edges.len()) };
        let kind = record::KINDS[rand::random_range(0..record::KINDS.len())];
        let is_deadly = shared.deadly.load(atomic::Ordering::Relaxed)
            && kind.is_model()
            && rand::random_bool(DEADLY_RATIO);
        let is_repeated = shared.repeated.load(atomic::Ordering::Relaxed)
            && matches!(kind, record::Kind::Safe | record::Kind::Resumable)
            && rand::random_bool(REPEATED_RATIO);
        let flavor = match (is_repeated, is_deadly) {
            (true, _) => Flavor::Repeated,
            (false, true) => Flavor::Deadly,
            (false, false) => Flavor::Sound,
        };
        let record = call(&shared, &client, edge, kind, flavor).await;
        let can_resume = flavor == Flavor::Sound && kind == record::Kind::Resumable;
        let cut = can_resume.then(|| cut_stream(&record)).flatten();
        let is_served = matches!(&record.end, record::End::Answer(reply) if reply.status == 200);
        shared.history().records.push(record);
        if let Some(stream) = cut {
            take_up(&shared, &client, stream).await;
        }
        let is_recovering = shared.recovering.load(atomic::Ordering::Relaxed);
        if !(is_eager && is_served) || is_recovering {
            let pause = rand::rng().random_range(PAUSE_MS);
            tokio::time::sleep(time::Duration::from_millis(pause)).await;
        }
    }
}

// Stream that the caller of `record` takes up: one that was cut off, or some of the complete ones.
fn cut_stream(record: &record::Record) -> Option<record::TakeUp> {
    let record::End::Answer(reply) = &record.end else { return None };
    if reply.status != 200 {
        return None;
    }
    let last = match &reply.body {
        None => record::last_event(&reply.received)?,
        Some(_) => rand::random_bool(RESUME_RATIO).then_some(LAST_EVENT)?,
    };
    let first = record.attempt.clone();
    (last + 1 < backend::EVENTS).then_some(record::TakeUp { first, last })
}

// Takes a stream up until it is complete or refused for good, at any entry.
async fn take_up(shared: &Shared, client: &client::Client, mut stream: record::TakeUp) {
    for _ in 0..MAX_TAKE_UPS {
        let pause = rand::rng().random_range(TAKE_UP_PAUSE_MS);
        tokio::time::sleep(time::Duration::from_millis(pause)).await;
        if shared.is_stopped() {
            return;
        }
        let edge = rand::random_range(0..shared.edges.len());
        let record = resume(shared, client, edge, stream.clone()).await;
        let is_over = match &record.end {
            record::End::Answer(reply) if reply.status == 200 => {
                stream.last = record::last_event(&reply.received).unwrap_or(stream.last);
                reply.body.is_some() || stream.last + 1 >= backend::EVENTS
            }
            record::End::Answer(reply) => reply.status != 503,
            record::End::Unreachable | record::End::ConnectionLost(_) => false,
            record::End::Abandoned => true,
        };
        shared.history().records.push(record);
        if is_over {
            return;
        }
    }
}

// Takes a stream up once.
async fn resume(
    shared: &Shared,
    client: &client::Client,
    edge: usize,
    stream: record::TakeUp,
) -> record::Record {
    let number = shared.next_attempt.fetch_add(1, atomic::Ordering::Relaxed);
    let (attempt, last) = (format!("s{number}"), stream.last.to_string());
    let (body, prompt) = (record::body(&attempt), format!("f1:200,{number:x}:50"));
    let headers = [
        (caller::PROMPT, prompt.as_str()),
        ("last-event-id", last.as_str()),
        ("resumes", stream.first.as_str()),
        (caller::KEY, record::customer(&attempt).keys[0]),
    ];
    let kind = record::Kind::Resumable;
    let call = call::Call { path: kind.path(), attempt: &attempt, body: &body, headers: &headers };
    let began = time::Instant::now();
    shared.note_sent(&attempt, edge);
    let end = ended(call.send(client, Method::POST, shared.edges[edge]).await);
    let (ended, resumes) = (time::Instant::now(), Some(stream));
    record::Record { attempt, kind, edge, began, ended, end, resumes }
}

fn ended(result: Result<call::Reply, client::CallError>) -> record::End {
    match result {
        Ok(reply) => record::End::Answer(reply),
        Err(client::CallError::Unreachable(_)) => record::End::Unreachable,
        Err(err) => record::End::ConnectionLost(err.to_string()),
    }
}

/// Sends one request and waits until it ends.
pub(crate) async fn call(
    shared: &Shared,
    client: &client::Client,
    edge: usize,
    kind: record::Kind,
    flavor: Flavor,
) -> record::Record {
    let number = shared.next_attempt.fetch_add(1, atomic::Ordering::Relaxed);
    let prefix = match flavor {
        Flavor::Sound => "s",
        Flavor::Deadly => record::DEADLY_PREFIX,
        Flavor::Repeated => record::REPEATED_PREFIXES[usize::from(kind.is_model())],
    };
    let attempt = format!("{prefix}{number}");
    let body = record::body(&attempt);
    // Sound requests share their first parts with those that crash engines.
    let second = match flavor {
        Flavor::Sound => format!("{:x}", number % SOUND_PARTS),
        Flavor::Deadly => record::DEADLY_PART.to_string(),
        Flavor::Repeated => "1".to_string(),
    };
    let last = if flavor == Flavor::Repeated { 1 } else { number };
    let prompt = format!("f1:200,{second}:100,{last:x}:50");
    let key = (caller::KEY, record::customer(&attempt).keys[0]);
    let headers = [key, (caller::PROMPT, prompt.as_str())];
    let headers = if kind.is_model() { &headers[..] } else { &headers[..1] };
    let call = call::Call { path: kind.path(), attempt: &attempt, body: &body, headers };
    let began = time::Instant::now();
    shared.note_sent(&attempt, edge);
    let abandons = rand::random_bool(ABANDON_RATIO);
    let abandon_after = time::Duration::from_millis(rand::rng().random_range(ABANDON_AFTER_MS));
    let sending = call.send(client, Method::POST, shared.edges[edge]);
    let end = tokio::select! {
        reply = sending => ended(reply),
        () = tokio::time::sleep(abandon_after), if abandons => record::End::Abandoned,
    };
    let ended = time::Instant::now();
    record::Record { attempt, kind, edge, began, ended, end, resumes: None }
}

/// Probes whether an entry has applied the latest config, until `shared.stopped` is set.
pub(crate) async fn probe_loop(shared: sync::Arc<Shared>, edge: usize) {
    let client = client::Client::with_idle_timeout(IDLE_TIMEOUT);
    let others = shared.edges.len().div_ceil(PROBED_OFTEN) as u32;
    while !shared.is_stopped() {
        let version = shared.version.load(atomic::Ordering::Relaxed);
        if let Some(probe) = probe_config(&shared, &client, edge, version).await {
            shared.history().probes.push(probe);
        }
        tokio::time::sleep(PROBE_INTERVAL * others).await;
    }
}

/// Requests the route that `version` added; `None` if the response is inconclusive.
pub(crate) async fn probe_config(
    shared: &Shared,
    client: &client::Client,
    edge: usize,
    version: u64,
) -> Option<record::ConfigProbe> {
    let host = site::version_host(version);
    let attempt = format!("look{}", shared.next_attempt.fetch_add(1, atomic::Ordering::Relaxed));
    let headers = [("host", host.as_str()), (caller::KEY, record::customer(&attempt).keys[0])];
    let call = call::Call { path: "/", attempt: &attempt, body: "", headers: &headers };
    shared.note_sent(&attempt, edge);
    let began = time::Instant::now();
    let reply = call.send(client, Method::GET, shared.edges[edge]).await.ok()?;
    let applied = match reply.status {
        200 => true,
        404 => false,
        _ => return None,
    };
    Some(record::ConfigProbe { edge, began, at: time::Instant::now(), version, applied })
}
