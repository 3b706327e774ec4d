//! Model engines with continuous batching, limited memory, a prefix cache and KV transfer.

use std::{collections, sync, time};

use bytes::Bytes;
use hyper::{Response, StatusCode};
use serde::Deserialize;
use serde_json::json;
use tokio::sync as lock;

use rhubarb_node::{client, clock, locks, response};

use crate::{plain, switch, tokens};

/// One engine, which can prefill and decode.
#[derive(Debug)]
pub struct Engine {
    name: String,
    url: String,
    state: sync::Mutex<State>,
    prefill_lock: lock::Mutex<()>,
    transfer_lock: lock::Mutex<()>,
}

#[derive(Debug, Default)]
struct State {
    // Cancel signal of each stream, by id.
    streams: collections::BTreeMap<String, sync::Arc<lock::Notify>>,
    // Prefill results by handle.
    results: collections::BTreeMap<String, StoredResult>,
    // Cached prefixes of prompts, least recently used first.
    prefixes: collections::VecDeque<String>,
    // Number of running prefills.
    prefilling: u32,
    // Number of tokens prefilled so far.
    prefilled: u64,
    // Loaded weights, version and adapters.
    model: String,
    // Number of streams after each recent change, oldest first.
    loads: collections::VecDeque<(time::Instant, u32)>,
}

#[derive(Debug)]
struct StoredResult {
    tokens: u32,
    evicted_at: time::Instant,
}

#[derive(Debug, Deserialize)]
struct PrefillOrder {
    id: String,
    prompt: String,
}

#[derive(Debug, Deserialize)]
struct DecodeOrder {
    id: String,
    prompt: String,
    max_tokens: u32,
    skip: u32,
    source: String,
    handle: String,
    key: Option<String>,
}

#[derive(Debug, Deserialize)]
struct CancelOrder {
    id: Option<String>,
}

#[derive(Debug, Deserialize)]
struct ModelOrder {
    weights: String,
    version: u64,
    adapters: Vec<String>,
    fence: Option<u64>,
}

/// Slots for requests in the decode memory of an engine.
pub const SLOTS: u32 = 20;
/// Duration of one decode step, without the share of each running stream.
const STEP_BASE: time::Duration = time::Duration::from_millis(4);
const STEP_PER_STREAM: time::Duration = time::Duration::from_micros(200);
/// Duration of a prefill, without the share of each uncached token.
const PREFILL_BASE: time::Duration = time::Duration::from_millis(10);
const PREFILL_PER_TOKEN: time::Duration = time::Duration::from_micros(60);
const TRANSFER_PER_TOKEN: time::Duration = time::Duration::from_micros(4);
/// Time for which a prefill result is stored.
const RESULT_TTL: time::Duration = time::Duration::from_millis(800);
/// Age of the load that an engine reports.
const LOAD_LAG: time::Duration = time::Duration::from_millis(300);
/// Length of a cached prefix in characters.
const PREFIX_CHARS: usize = 256;
/// Number of prefixes that an engine caches.
const MAX_PREFIXES: usize = 32;
/// Number of chunks of a stream that are sent ahead of the receiver.
const CHANNEL_CAPACITY: usize = 8;
/// Timeout of a transfer from another engine.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(10);

type Reply = Response<response::Body>;

/// Slot of one stream, freed when the stream ends or its connection is closed.
struct Reservation {
    engine: sync::Arc<Engine>,
    id: String,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.engine.lock().streams.remove(&self.id);
        self.engine.record_load();
    }
}

impl Engine {
    /// Creates the engine `name`, which other engines reach at `url`.
    pub fn new(name: &str, url: String) -> Engine {
        Engine {
            name: name.to_string(),
            url,
            state: sync::Mutex::default(),
            prefill_lock: lock::Mutex::new(()),
            transfer_lock: lock::Mutex::new(()),
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        locks::lock(&self.state)
    }

    /// Number of streams, stored prefill results and running prefills.
    pub fn held(&self) -> u64 {
        let mut state = self.lock();
        let now = clock::now();
        state.results.retain(|_, result| result.evicted_at > now);
        state.streams.len() as u64 + state.results.len() as u64 + u64::from(state.prefilling)
    }

    /// Answers a call to the endpoint `path`.
    pub async fn call(self: &sync::Arc<Self>, deps: &Deps, path: &str, content: &Bytes) -> Reply {
        match path {
            "/prefill" => self.prefill(deps, content).await,
            "/decode" => self.decode(deps, content).await,
            "/cancel" => self.cancel(content),
            "/model" => self.load_model(deps, content).await,
            "/load" => response::json(StatusCode::OK, &self.load()),
            _ => match path.strip_prefix("/kv/") {
                Some(handle) => self.export(handle).await,
                None => response::text(StatusCode::NOT_FOUND, "no such endpoint"),
            },
        }
    }

    fn record_load(&self) {
        let mut state = self.lock();
        let held = state.streams.len() as u32;
        state.loads.push_back((clock::now(), held));
    }

    // Returns the load as of `LOAD_LAG` ago, because the reports of engines are delayed.
    fn load(&self) -> serde_json::Value {
        let mut state = self.lock();
        let cutoff = clock::now() - LOAD_LAG;
        while state.loads.get(1).is_some_and(|(at, _)| *at <= cutoff) {
            state.loads.pop_front();
        }
        let held = state.loads.front().filter(|(at, _)| *at <= cutoff).map_or(0, |(_, held)| *held);
        json!({ "rooms": SLOTS, "held": held, "model": state.model, "prefilled": state.prefilled })
    }

    async fn prefill(&self, deps: &Deps, content: &Bytes) -> Reply {
        let Ok(order) = serde_json::from_slice::<PrefillOrder>(content) else {
            return bad_request();
        };
        let _prefilling = Prefilling::start(self);
        let count = tokens::prompt_tokens(&order.prompt);
        {
            let _guard = self.prefill_lock.lock().await;
            let uncached = if self.cache_prefix(&order.prompt) { count / 4 } else { count };
            tokio::time::sleep(PREFILL_BASE + PREFILL_PER_TOKEN * uncached).await;
        }
        deps.switches.wait_while(&self.name, &[switch::Mode::Frozen]).await;
        let evicted_at = clock::now() + RESULT_TTL;
        let mut state = self.lock();
        state.prefilled += u64::from(count);
        state.results.insert(order.id.clone(), StoredResult { tokens: count, evicted_at });
        drop(state);
        let reply = json!({ "source": self.url, "handle": order.id, "tokens": count });
        response::json(StatusCode::OK, &reply)
    }

    // Caches the prefix of the prompt and returns whether it was cached before.
    fn cache_prefix(&self, prompt: &str) -> bool {
        let prefix: String = prompt.chars().take(PREFIX_CHARS).collect();
        let mut state = self.lock();
        let at = state.prefixes.iter().position(|other| *other == prefix);
        if let Some(at) = at {
            state.prefixes.remove(at);
        }
        state.prefixes.push_back(prefix);
        if state.prefixes.len() > MAX_PREFIXES {
            state.prefixes.pop_front();
        }
        at.is_some()
    }

    // Transfers share one link, so they run one at a time. A transfer frees the result.
    async fn export(&self, handle: &str) -> Reply {
        let _guard = self.transfer_lock.lock().await;
        let now = clock::now();
        let result = self.lock().results.remove(handle).filter(|result| result.evicted_at > now);
        let Some(result) = result else {
            return response::text(StatusCode::GONE, "evicted");
        };
        tokio::time::sleep(TRANSFER_PER_TOKEN * result.tokens).await;
        response::text(StatusCode::OK, "kv")
    }

    async fn decode(self: &sync::Arc<Self>, deps: &Deps, content: &Bytes) -> Reply {
        let Ok(order) = serde_json::from_slice::<DecodeOrder>(content) else {
            return bad_request();
        };
        let cancelled = sync::Arc::new(lock::Notify::new());
        {
            let mut state = self.lock();
            if state.streams.len() as u32 >= SLOTS {
                return response::text(StatusCode::TOO_MANY_REQUESTS, "memory is full");
            }
            state.streams.insert(order.id.clone(), cancelled.clone());
        }
        self.record_load();
        let reservation = Reservation { engine: self.clone(), id: order.id.clone() };
        let url = format!("{}/kv/{}", order.source, order.handle);
        match deps.client.get(&url, CALL_TIMEOUT).await {
            Ok(reply) if reply.status == StatusCode::OK => {}
            Ok(_) => return response::text(StatusCode::GONE, "prefill result evicted"),
            Err(err) => return response::text(StatusCode::BAD_GATEWAY, err.to_string()),
        }
        deps.runs.count(order.key.as_deref());
        let (sender, receiver) = lock::mpsc::channel(CHANNEL_CAPACITY);
        let switches = deps.switches.clone();
        tokio::spawn(
            async move { generate(reservation, order, switches, sender, cancelled).await },
        );
        Response::new(response::stream(receiver))
    }

    fn cancel(&self, content: &Bytes) -> Reply {
        let Ok(order) = serde_json::from_slice::<CancelOrder>(content) else {
            return bad_request();
        };
        let mut state = self.lock();
        let is_selected = |id: &String| order.id.as_ref().is_none_or(|wanted| wanted == id);
        state.results.retain(|id, _| !is_selected(id));
        for (_, cancelled) in state.streams.iter().filter(|(id, _)| is_selected(id)) {
            cancelled.notify_one();
        }
        response::text(StatusCode::OK, "cancelled")
    }

    async fn load_model(&self, deps: &Deps, content: &Bytes) -> Reply {
        let Ok(order) = serde_json::from_slice::<ModelOrder>(content) else { return bad_request() };
        if order.fence.is_some_and(|fence| !deps.runs.accept_fence(&self.name, fence)) {
            return response::text(StatusCode::CONFLICT, "old fencing number");
        }
        for _ in 0..=order.adapters.len() {
            deps.fetch_weights().await;
        }
        let model = format!("{}@{}+{}", order.weights, order.version, order.adapters.join("+"));
        self.lock().model = model.clone();
        response::json(StatusCode::OK, &json!({ "model": model }))
    }
}

/// State and resources that all engines share.
#[derive(Clone, Debug)]
pub struct Deps {
    /// Modes of the fakes.
    pub switches: sync::Arc<switch::Switches>,
    /// Run counts and fencing numbers.
    pub runs: sync::Arc<plain::Runs>,
    /// Duration of one fetch from the weight store; the lock makes fetches run one at a time.
    pub fetch_time: sync::Arc<lock::Mutex<time::Duration>>,
    /// Client for transfers between engines.
    pub client: client::Client,
}

impl Deps {
    /// Fetches one set of weights.
    pub async fn fetch_weights(&self) {
        let fetch_time = self.fetch_time.lock().await;
        tokio::time::sleep(*fetch_time).await;
    }
}

struct Prefilling<'a>(&'a Engine);

impl<'a> Prefilling<'a> {
    fn start(engine: &'a Engine) -> Prefilling<'a> {
        engine.lock().prefilling += 1;
        Prefilling(engine)
    }
}

impl Drop for Prefilling<'_> {
    fn drop(&mut self) {
        self.0.lock().prefilling -= 1;
    }
}

fn bad_request() -> Reply {
    response::text(StatusCode::BAD_REQUEST, "not such an order")
}

async fn generate(
    reservation: Reservation,
    order: DecodeOrder,
    switches: sync::Arc<switch::Switches>,
    sender: lock::mpsc::Sender<std::io::Result<Bytes>>,
    cancelled: sync::Arc<lock::Notify>,
) {
    let count = tokens::length(&order.prompt, order.max_tokens);
    // If the target `NAME-closes` is not up, the engine keeps generating after its connection is
    // closed.
    let ignores_close =
        switches.mode(&format!("{}-closes", reservation.engine.name)) != switch::Mode::Up;
    let name = &reservation.engine.name;
    let first = if switches.mode(name) == switch::Mode::StartsOver { 0 } else { order.skip };
    for index in first..count {
        let active = reservation.engine.lock().streams.len() as u32;
        switches.wait_while(name, &[switch::Mode::Frozen, switch::Mode::Silent]).await;
        let step = STEP_BASE + STEP_PER_STREAM * active;
        let step = if switches.mode(name) == switch::Mode::Slow { step * 10 } else { step };
        tokio::select! {
            () = tokio::time::sleep(step) => {}
            () = cancelled.notified() => return,
            () = sender.closed(), if !ignores_close => return,
        }
        if switches.mode(name) == switch::Mode::Erring {
            let line = json!({ "error": "out of memory" });
            let _ = sender.send(Ok(format!("data: {line}\n\n").into())).await;
            break;
        }
        let line = json!({ "index": index, "token": tokens::token(&order.prompt, index) });
        let is_sent = sender.send(Ok(format!("data: {line}\n\n").into())).await.is_ok();
        if !is_sent && !ignores_close {
            return;
        }
    }
    let _ = sender.send(Ok("data: [DONE]\n\n".into())).await;
}
