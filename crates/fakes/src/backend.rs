//! Backend servers on the users' platform, by their published calls: plain ones and engines.

use std::{collections, io, net, sync, sync::atomic, time};

use bytes::Bytes;
use hyper::{HeaderMap, Method, Request, Response, StatusCode, body, header};
use serde_json::json;
use tokio::sync::mpsc;

use rhubarb_node::{locks, response, server};

/// One backend server; clones share their state.
#[derive(Clone, Debug)]
pub struct Backend {
    /// Id of its entry.
    pub id: String,
    inner: sync::Arc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    state: sync::Mutex<State>,
    // Requests that run now.
    running: atomic::AtomicU64,
    handles: Handles,
}

#[derive(Debug, Default)]
struct State {
    stage: String,
    address: Option<net::SocketAddr>,
    fault: Fault,
    // Sends of each attempt that ran here.
    runs: collections::BTreeMap<String, u32>,
    requests: Vec<ReceivedRequest>,
    holds: CreationTimes,
    orders: u64,
    fence: u64,
    // Starts so far.
    born: u64,
    // Requests that met the fault.
    faulted: u64,
}

/// What engines keep for a request, by name, and since when.
pub type CreationTimes = collections::BTreeMap<String, time::Instant>;
/// Results of prefills that all engines of a deployment keep, by handle.
pub type Handles = sync::Arc<sync::Mutex<CreationTimes>>;

/// What a request brought.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// Path and query.
    pub target: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// What goes wrong at a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// Says that it did not run the request.
    Sheds,
    /// Runs the request and fails.
    Fails,
    /// Runs the request and never answers.
    Hangs,
    /// Runs the request and closes the connection without an answer.
    Resets,
    /// Answers with another attempt's id.
    OtherId,
    /// Answers as another server does that has its address now.
    Moved,
    /// Breaks its stream off within the third event.
    AbortsStream,
    /// Ends its stream in order, within the third event.
    TruncatesStream,
    /// Goes silent after the second event.
    Stalls,
    /// Stands still for a while after the second event, like a run that was preempted.
    Pauses,
    /// Leaves an event out.
    SkipsEvent,
    /// Begins a stream that is resumed from its start.
    StartsOver,
    /// Has no memory to set aside.
    Full,
    /// Loses the results of prefills at once.
    EvictsResults,
}

/// Events of each stream.
pub const EVENTS: u64 = 6;
/// Time between two events.
const EVENT_PAUSE: time::Duration = time::Duration::from_millis(20);
/// Pause of a preempted run.
const LONG_PAUSE: time::Duration = time::Duration::from_millis(2_500);
/// Longer than any time limit of a caller.
const FOREVER: time::Duration = time::Duration::from_secs(600);

impl Backend {
    /// Makes a server; `stage` is empty for a plain one.
    pub fn new(id: &str, stage: &str, handles: &Handles) -> Backend {
        let inner = Inner { handles: handles.clone(), ..Inner::default() };
        let backend = Backend { id: id.to_string(), inner: sync::Arc::new(inner) };
        backend.state().stage = stage.to_string();
        backend
    }

    /// Serves on `ip`.
    ///
    /// # Errors
    /// Returns an error if no port is free.
    pub async fn serve(&self, ip: net::IpAddr) -> anyhow::Result<net::SocketAddr> {
        let listener = server::bind((ip, 0).into()).await?;
        let address = listener.local_addr()?;
        self.state().address = Some(address);
        let shared = self.clone();
        tokio::spawn(server::serve(listener, server::Limits::default(), move |request| {
            let backend = shared.clone();
            async move { backend.handle(request).await }
        }));
        Ok(address)
    }

    /// Where it serves, once it does.
    pub fn address(&self) -> Option<net::SocketAddr> {
        self.state().address
    }

    /// Starts again under its id: it holds nothing of before, and counts anew.
    ///
    /// Its open connections are not its to close; see [`Backend::address`].
    pub fn restart(&self) {
        let mut state = self.state();
        state.holds.clear();
        state.orders = 0;
        state.fence = 0;
        state.born += 1;
    }

    /// Moment of its last start, as its entry tells it.
    pub fn born(&self) -> u64 {
        self.state().born + 1
    }

    /// Sets what goes wrong from now on.
    pub fn set_fault(&self, fault: Fault) {
        self.state().fault = fault;
    }

    /// Requests that came while something was wrong.
    pub fn faulted(&self) -> u64 {
        self.state().faulted
    }

    /// How often each attempt ran here.
    pub fn runs(&self) -> collections::BTreeMap<String, u32> {
        self.state().runs.clone()
    }

    /// Requests that ran here.
    pub fn requests(&self) -> Vec<ReceivedRequest> {
        self.state().requests.clone()
    }

    /// Requests that run now.
    pub fn running(&self) -> u64 {
        self.inner.running.load(atomic::Ordering::Relaxed)
    }

    /// Holds that were taken since `oldest` and not given back.
    pub fn hold_count(&self, oldest: Option<time::Instant>) -> usize {
        count_since(&self.state().holds, oldest)
    }

    /// Stage, and orders accepted.
    pub fn stage(&self) -> (String, u64) {
        let state = self.state();
        (state.stage.clone(), state.orders)
    }

    fn state(&self) -> sync::MutexGuard<'_, State> {
        locks::lock(&self.inner.state)
    }

    async fn handle(&self, request: Request<body::Incoming>) -> Response<response::Body> {
        let (parts, body) = request.into_parts();
        let content = response::read_body(body, 1 << 23).await.unwrap_or_default();
        let fault = {
            let mut state = self.state();
            state.faulted += u64::from(state.fault != Fault::None);
            state.fault
        };
        let expected = text(&parts.headers, "x-expect-instance");
        if fault == Fault::Moved || (!expected.is_empty() && expected != self.id) {
            let mut moved = response::text(StatusCode::MISDIRECTED_REQUEST, "");
            moved.headers_mut().insert("x-instance-id", value("i-other"));
            return moved;
        }
        let path = parts.uri.path().to_string();
        match (&parts.method, path.as_str()) {
            (&Method::POST, "/v1/hold-take") => self.take_hold(fault),
            (&Method::GET, "/v1/report") => self.report(),
            (&Method::POST, "/v1/order") => self.order(&content),
            (&Method::DELETE, _) if path.starts_with("/v1/") => self.free(&path),
            _ => {
                let target = parts.uri.path_and_query().map_or("/", |target| target.as_str());
                self.run(target, &parts.headers, content, fault).await
            }
        }
    }

    fn take_hold(&self, fault: Fault) -> Response<response::Body> {
        if fault == Fault::Full {
            return shed();
        }
        let mut state = self.state();
        let hold = format!("hold-{}-{}", self.id, state.holds.len() + state.requests.len());
        state.holds.insert(hold.clone(), time::Instant::now());
        response::json(StatusCode::OK, &json!({"hold": hold}))
    }

    fn free(&self, path: &str) -> Response<response::Body> {
        let name = path.rsplit('/').next().unwrap_or_default();
        let is_known = self.state().holds.remove(name).is_some() || self.take_handle(name);
        response::text(if is_known { StatusCode::OK } else { StatusCode::NOT_FOUND }, "")
    }

    fn take_handle(&self, handle: &str) -> bool {
        locks::lock(&self.inner.handles).remove(handle).is_some()
    }

    fn report(&self) -> Response<response::Body> {
        let state = self.state();
        response::json(
            StatusCode::OK,
            &json!({
                "stage": state.stage, "models": [], "busy": false, "sequence": state.orders,
                "waiting": 0, "running": self.running(), "kv_used": 0, "kv_total": 0, "handles": 0,
            }),
        )
    }

    fn order(&self, content: &Bytes) -> Response<response::Body> {
        let order: serde_json::Value = serde_json::from_slice(content).unwrap_or_default();
        let mut state = self.state();
        let fence = order["fence"].as_u64().unwrap_or(0);
        if fence < state.fence {
            return response::text(StatusCode::PRECONDITION_FAILED, "");
        }
        if order["expected"].as_u64().is_some_and(|expected| expected != state.orders) {
            return response::text(StatusCode::CONFLICT, "");
        }
        state.fence = fence;
        state.orders += 1;
        state.stage = order["stage"].as_str().unwrap_or_default().to_string();
        response::text(StatusCode::ACCEPTED, "")
    }

    async fn run(
        &self,
        target: &str,
        headers: &HeaderMap,
        content: Bytes,
        fault: Fault,
    ) -> Response<response::Body> {
        if fault == Fault::Sheds {
            return shed();
        }
        if text(headers, "x-stage") == "prefill" {
            return self.prefill(headers, fault).await;
        }
        self.state().holds.remove(&text(headers, "x-kv-hold"));
        let source = text(headers, "x-kv-source");
        let handle = source.split_once('/').map(|(_, handle)| handle);
        if handle.is_some_and(|handle| !self.take_handle(handle)) {
            return shed();
        }
        let attempt = text(headers, "x-attempt-id");
        {
            let mut state = self.state();
            *state.runs.entry(attempt.clone()).or_default() += 1;
            let (target, headers, body) = (target.to_string(), headers.clone(), content.clone());
            state.requests.push(ReceivedRequest { target, headers, body });
        }
        let echoed = if fault == Fault::OtherId { "other" } else { &attempt };
        if self.state().stage.is_empty() {
            return self.answer_plain(echoed, content, fault).await;
        }
        self.stream(echoed, headers, fault)
    }

    async fn prefill(&self, headers: &HeaderMap, fault: Fault) -> Response<response::Body> {
        if fault == Fault::Hangs {
            tokio::time::sleep(FOREVER).await;
        }
        let handle = format!("kv-{}-{}", self.id, text(headers, "x-attempt-id"));
        if fault != Fault::EvictsResults {
            locks::lock(&self.inner.handles).insert(handle.clone(), time::Instant::now());
        }
        let reply = json!({"handle": handle, "tokens": 100, "version": 1});
        let mut reply = response::json(StatusCode::OK, &reply);
        reply.headers_mut().insert("x-attempt-id", value(&text(headers, "x-attempt-id")));
        reply
    }

    async fn answer_plain(
        &self,
        attempt: &str,
        content: Bytes,
        fault: Fault,
    ) -> Response<response::Body> {
        let _running = Running::new(&self.inner);
        let status = match fault {
            Fault::Hangs => {
                tokio::time::sleep(FOREVER).await;
                StatusCode::OK
            }
            Fault::Resets => return broken(),
            Fault::Fails => StatusCode::INTERNAL_SERVER_ERROR,
            _ => StatusCode::OK,
        };
        let mut reply = response::text(status, content);
        seal(reply.headers_mut(), attempt);
        reply
    }

    fn stream(&self, attempt: &str, headers: &HeaderMap, fault: Fault) -> Response<response::Body> {
        let last = text(headers, "last-event-id").parse().ok();
        let last: Option<u64> = last.filter(|_| fault != Fault::StartsOver);
        let first = last.map_or(0, |last| last + 1);
        let (sender, receiver) = mpsc::channel(1);
        let inner = self.inner.clone();
        tokio::spawn(async move {
            let _running = Running::new(&inner);
            tokio::select! {
                () = send_events(&sender, first, fault) => {}
                () = sender.closed() => {}
            }
        });
        let mut reply = Response::new(response::stream(receiver));
        seal(reply.headers_mut(), attempt);
        reply.headers_mut().insert(header::CONTENT_TYPE, value("text/event-stream"));
        reply
    }
}

/// Number of things that are kept since `oldest`, or at all.
pub fn count_since(kept: &CreationTimes, oldest: Option<time::Instant>) -> usize {
    kept.values().filter(|since| oldest.is_none_or(|oldest| **since >= oldest)).count()
}

async fn send_events(sender: &mpsc::Sender<io::Result<Bytes>>, first: u64, fault: Fault) {
    for number in first..EVENTS {
        tokio::time::sleep(EVENT_PAUSE).await;
        let event = format!("id: {number}\ndata: token-{number}\n\n");
        let piece = match fault {
            Fault::Hangs => return tokio::time::sleep(FOREVER).await,
            Fault::Resets => return drop(sender.send(Err(io::Error::other("reset"))).await),
            Fault::AbortsStream | Fault::TruncatesStream if number == 2 => event[..9].to_string(),
            Fault::Stalls if number == 2 => return tokio::time::sleep(FOREVER).await,
            Fault::Pauses if number == 2 => {
                tokio::time::sleep(LONG_PAUSE).await;
                event
            }
            Fault::SkipsEvent if number == 2 => continue,
            _ => event,
        };
        if sender.send(Ok(piece.into())).await.is_err() {
            return;
        }
        match fault {
            Fault::AbortsStream if number == 2 => {
                return drop(sender.send(Err(io::Error::other("crashed"))).await);
            }
            Fault::TruncatesStream if number == 2 => return,
            _ => {}
        }
    }
}

// Counts a request while it runs.
struct Running(sync::Arc<Inner>);

impl Running {
    fn new(inner: &sync::Arc<Inner>) -> Running {
        inner.running.fetch_add(1, atomic::Ordering::Relaxed);
        Running(inner.clone())
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

fn shed() -> Response<response::Body> {
    let mut shed = response::text(StatusCode::SERVICE_UNAVAILABLE, "");
    shed.headers_mut().insert("x-not-executed", value("1"));
    shed
}

fn broken() -> Response<response::Body> {
    let (sender, receiver) = mpsc::channel(1);
    let _ = sender.try_send(Err(io::Error::other("reset")));
    Response::new(response::stream(receiver))
}

fn seal(headers: &mut HeaderMap, attempt: &str) {
    headers.insert("x-response-seal", value("seal"));
    headers.insert("x-attempt-id", value(attempt));
    headers.insert("x-server-load", value("1,0,6"));
}

fn text(headers: &HeaderMap, name: &str) -> String {
    let found = headers.get(name).and_then(|value| value.to_str().ok());
    found.unwrap_or_default().to_string()
}

fn value(text: &str) -> header::HeaderValue {
    header::HeaderValue::from_str(text).unwrap_or(header::HeaderValue::from_static(""))
}
