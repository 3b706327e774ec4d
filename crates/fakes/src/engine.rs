//! Model engines: continuous batching, limited memory, prefix cache, KV transfer.

use std::{collections, sync, time};

use bytes::Bytes;
use hyper::{Response, StatusCode};
use serde::Deserialize;
use serde_json::json;
use tokio::sync as lock;

use rhubarb_node::{client, clock, locks, response};

use crate::{plain, switch, tokens};

/// One engine; it can prefill and decode.
#[derive(Debug)]
pub struct Engine {
    name: String,
    url: String,
    state: sync::Mutex<State>,
    prefill_turn: lock::Mutex<()>,
    link: lock::Mutex<()>,
}

#[derive(Debug, Default)]
struct State {
    streams: collections::BTreeMap<String, sync::Arc<lock::Notify>>,
    results: collections::BTreeMap<String, Cached>,
    prefixes: collections::VecDeque<String>,
    prefilling: u32,
    prefilled: u64,
    model: String,
    loads: collections::VecDeque<(time::Instant, u32)>,
}

#[derive(Debug)]
struct Cached {
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

/// Requests that decode memory holds.
pub const ROOMS: u32 = 20;
const STEP: time::Duration = time::Duration::from_millis(4);
const STEP_EACH: time::Duration = time::Duration::from_micros(200);
const PREFILL_BASE: time::Duration = time::Duration::from_millis(10);
const PREFILL_TOKEN: time::Duration = time::Duration::from_micros(60);
const TRANSFER_TOKEN: time::Duration = time::Duration::from_micros(4);
const KEEP_RESULT: time::Duration = time::Duration::from_millis(800);
const LOAD_LAG: time::Duration = time::Duration::from_millis(300);
const PREFIX_CHARS: usize = 256;
const MAX_PREFIXES: usize = 32;
const CHANNEL: usize = 8;
const CALL_LIMIT: time::Duration = time::Duration::from_secs(10);

type Reply = Response<response::Body>;

/// Frees the room of a stream when the stream ends or its connection is closed.
struct Room {
    engine: sync::Arc<Engine>,
    id: String,
}

impl Drop for Room {
    fn drop(&mut self) {
        self.engine.lock().streams.remove(&self.id);
        self.engine.note_load();
    }
}

impl Engine {
    /// Makes the engine `name`, which others reach at `url`.
    pub fn new(name: &str, url: String) -> Engine {
        Engine {
            name: name.to_string(),
            url,
            state: sync::Mutex::default(),
            prefill_turn: lock::Mutex::new(()),
            link: lock::Mutex::new(()),
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        locks::lock(&self.state)
    }

    /// Requests that the engine's memory holds.
    pub fn held(&self) -> u64 {
        let mut state = self.lock();
        let now = clock::now();
        state.results.retain(|_, cached| cached.evicted_at > now);
        state.streams.len() as u64 + state.results.len() as u64 + u64::from(state.prefilling)
    }

    /// Answers a call.
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

    fn note_load(&self) {
        let mut state = self.lock();
        let held = state.streams.len() as u32;
        state.loads.push_back((clock::now(), held));
    }

    // The load of a while ago: engines report late.
    fn load(&self) -> serde_json::Value {
        let mut state = self.lock();
        let old = clock::now() - LOAD_LAG;
        while state.loads.get(1).is_some_and(|(at, _)| *at <= old) {
            state.loads.pop_front();
        }
        let held = state.loads.front().filter(|(at, _)| *at <= old).map_or(0, |(_, held)| *held);
        json!({ "rooms": ROOMS, "held": held, "model": state.model, "prefilled": state.prefilled })
    }

    async fn prefill(&self, deps: &Deps, content: &Bytes) -> Reply {
        let Ok(order) = serde_json::from_slice::<PrefillOrder>(content) else { return bad() };
        let _held = Prefilling::start(self);
        let count = tokens::prompt_tokens(&order.prompt);
        {
            let _turn = self.prefill_turn.lock().await;
            let fresh = if self.touch_prefix(&order.prompt) { count / 4 } else { count };
            tokio::time::sleep(PREFILL_BASE + PREFILL_TOKEN * fresh).await;
        }
        deps.switches.wait_out(&self.name, &[switch::Mode::Frozen]).await;
        let evicted_at = clock::now() + KEEP_RESULT;
        let mut state = self.lock();
        state.prefilled += u64::from(count);
        state.results.insert(order.id.clone(), Cached { tokens: count, evicted_at });
        drop(state);
        let reply = json!({ "source": self.url, "handle": order.id, "tokens": count });
        response::json(StatusCode::OK, &reply)
    }

    // Whether the prompt's prefix is cached; it is from now on.
    fn touch_prefix(&self, prompt: &str) -> bool {
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

    // Transfers leave over one link, one at a time, and free the result.
    async fn export(&self, handle: &str) -> Reply {
        let _turn = self.link.lock().await;
        let now = clock::now();
        let cached = self.lock().results.remove(handle).filter(|cached| cached.evicted_at > now);
        let Some(cached) = cached else {
            return response::text(StatusCode::GONE, "evicted");
        };
        tokio::time::sleep(TRANSFER_TOKEN * cached.tokens).await;
        response::text(StatusCode::OK, "kv")
    }

    async fn decode(self: &sync::Arc<Self>, deps: &Deps, content: &Bytes) -> Reply {
        let Ok(order) = serde_json::from_slice::<DecodeOrder>(content) else { return bad() };
        let cancelled = sync::Arc::new(lock::Notify::new());
        {
            let mut state = self.lock();
            if state.streams.len() as u32 >= ROOMS {
                return response::text(StatusCode::TOO_MANY_REQUESTS, "memory is full");
            }
            state.streams.insert(order.id.clone(), cancelled.clone());
        }
        self.note_load();
        let room = Room { engine: self.clone(), id: order.id.clone() };
        let url = format!("{}/kv/{}", order.source, order.handle);
        match deps.client.get(&url, CALL_LIMIT).await {
            Ok(reply) if reply.status == StatusCode::OK => {}
            Ok(_) => return response::text(StatusCode::GONE, "prefill result evicted"),
            Err(err) => return response::text(StatusCode::BAD_GATEWAY, err.to_string()),
        }
        deps.runs.count(order.key.as_deref());
        let (sender, receiver) = lock::mpsc::channel(CHANNEL);
        let switches = deps.switches.clone();
        tokio::spawn(async move { generate(room, order, switches, sender, cancelled).await });
        Response::new(response::stream(receiver))
    }

    fn cancel(&self, content: &Bytes) -> Reply {
        let Ok(order) = serde_json::from_slice::<CancelOrder>(content) else { return bad() };
        let mut state = self.lock();
        let is_meant = |id: &String| order.id.as_ref().is_none_or(|wanted| wanted == id);
        state.results.retain(|id, _| !is_meant(id));
        for (_, cancelled) in state.streams.iter().filter(|(id, _)| is_meant(id)) {
            cancelled.notify_one();
        }
        response::text(StatusCode::OK, "cancelled")
    }

    async fn load_model(&self, deps: &Deps, content: &Bytes) -> Reply {
        let Ok(order) = serde_json::from_slice::<ModelOrder>(content) else { return bad() };
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

/// What engines share.
#[derive(Clone, Debug)]
pub struct Deps {
    /// Switches.
    pub switches: sync::Arc<switch::Switches>,
    /// Run counts.
    pub runs: sync::Arc<plain::Runs>,
    /// Time of one fetch from the weight store, which serves one at a time.
    pub weights: sync::Arc<lock::Mutex<time::Duration>>,
    /// Client for transfers between engines.
    pub client: client::Client,
}

impl Deps {
    /// Fetches one set of weights.
    pub async fn fetch_weights(&self) {
        let fetch_time = self.weights.lock().await;
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

fn bad() -> Reply {
    response::text(StatusCode::BAD_REQUEST, "not such an order")
}

async fn generate(
    room: Room,
    order: DecodeOrder,
    switches: sync::Arc<switch::Switches>,
    sender: lock::mpsc::Sender<std::io::Result<Bytes>>,
    cancelled: sync::Arc<lock::Notify>,
) {
    let count = tokens::length(&order.prompt, order.max_tokens);
    // A deaf engine does not notice that a connection is closed.
    let is_deaf = switches.mode(&format!("{}-closes", room.engine.name)) != switch::Mode::Up;
    for index in order.skip..count {
        let active = room.engine.lock().streams.len() as u32;
        switches.wait_out(&room.engine.name, &[switch::Mode::Frozen, switch::Mode::Silent]).await;
        let step = STEP + STEP_EACH * active;
        let step =
            if switches.mode(&room.engine.name) == switch::Mode::Slow { step * 10 } else { step };
        tokio::select! {
            () = tokio::time::sleep(step) => {}
            () = cancelled.notified() => return,
            () = sender.closed(), if !is_deaf => return,
        }
        let line = json!({ "index": index, "token": tokens::token(&order.prompt, index) });
        let is_sent = sender.send(Ok(format!("data: {line}\n\n").into())).await.is_ok();
        if !is_sent && !is_deaf {
            return;
        }
    }
    let _ = sender.send(Ok("data: [DONE]\n\n".into())).await;
}
