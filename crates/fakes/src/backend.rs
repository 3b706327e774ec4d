//! Backend servers on the users' platform, plain servers and engines, with their published API.

use std::{collections, io, net, sync, sync::atomic, time};

use bytes::Bytes;
use hyper::{HeaderMap, Method, Request, Response, StatusCode, body, header};
use serde_json::json;
use tokio::sync::mpsc;

use rhubarb_node::{locks, response, server};

/// One backend server; clones share their state.
#[derive(Clone, Debug)]
pub struct Backend {
    /// Id of its row in the store.
    pub id: String,
    inner: sync::Arc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    state: sync::Mutex<State>,
    // Number of requests being executed.
    running: atomic::AtomicU64,
    handles: Handles,
}

#[derive(Debug, Default)]
struct State {
    stage: String,
    address: Option<net::SocketAddr>,
    fault: Fault,
    // Number of runs by attempt id.
    runs: collections::BTreeMap<String, u32>,
    requests: Vec<ReceivedRequest>,
    holds: CreationTimes,
    // Number of holds created.
    hold_seq: u64,
    // Number of accepted orders.
    orders: u64,
    // Highest fencing number of an accepted order.
    fence: u64,
    // Number of restarts.
    restarts: u64,
    // Number of requests received while a fault was set.
    fault_hits: u64,
}

/// Creation times of holds or prefill results, by name.
pub type CreationTimes = collections::BTreeMap<String, time::Instant>;
/// Prefill results of all engines of a deployment, by handle.
pub type Handles = sync::Arc<sync::Mutex<CreationTimes>>;

/// An executed request, as the server received it.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// Path and query.
    pub target: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Fault of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Rejects the request and reports that it was not executed.
    Sheds,
    /// Executes the request and replies with status 500. Engines are not affected.
    Fails,
    /// Executes the request and sends no response or event.
    Hangs,
    /// Executes the request and aborts the connection before the response is complete.
    Resets,
    /// Returns the id of another attempt.
    OtherId,
    /// Replies as another server that now has this address.
    Moved,
    /// Aborts the stream in the middle of the third event.
    AbortsStream,
    /// Ends the stream normally in the middle of the third event.
    TruncatesStream,
    /// Sends nothing after the second event and keeps the connection open.
    Stalls,
    /// Pauses after the second event, like a preempted run.
    Pauses,
    /// Omits the third event.
    SkipsEvent,
    /// Restarts a resumed stream from its first event.
    StartsOver,
    /// Rejects new holds because its memory is full.
    Full,
    /// Evicts each prefill result at once.
    EvictsResults,
}

/// Number of events in each stream.
pub const EVENTS: u64 = 6;
/// Interval between two events.
const EVENT_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// Duration of [`Fault::Pauses`].
const PREEMPTION_PAUSE: time::Duration = time::Duration::from_millis(2_500);
/// Maximum size of a request body in bytes; a longer body is read as empty.
const MAX_BODY_BYTES: usize = 8 << 20;
/// Exceeds every timeout of an entry.
const HANG_TIME: time::Duration = time::Duration::from_secs(600);

impl Backend {
    /// Creates a server; `stage` is empty for a plain server.
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

    /// Address on which it serves; `None` until [`Backend::serve`] has bound it.
    pub fn address(&self) -> Option<net::SocketAddr> {
        self.state().address
    }

    /// Simulates a restart under the same id: drops all holds and resets the order counter.
    ///
    /// Open connections stay open, and [`Backend::address`] does not change.
    pub fn restart(&self) {
        let mut state = self.state();
        state.holds.clear();
        state.orders = 0;
        state.fence = 0;
        state.restarts += 1;
    }

    /// Number of starts including the current one, published in the server's row as `born`.
    pub fn born(&self) -> u64 {
        self.state().restarts + 1
    }

    /// Sets the fault from now on.
    pub fn set_fault(&self, fault: Fault) {
        self.state().fault = fault;
    }

    /// Number of requests received while a fault was set.
    pub fn fault_hits(&self) -> u64 {
        self.state().fault_hits
    }

    /// Number of runs by attempt id.
    pub fn runs(&self) -> collections::BTreeMap<String, u32> {
        self.state().runs.clone()
    }

    /// Requests executed here, without prefills.
    pub fn requests(&self) -> Vec<ReceivedRequest> {
        self.state().requests.clone()
    }

    /// Number of requests being executed.
    pub fn running(&self) -> u64 {
        self.inner.running.load(atomic::Ordering::Relaxed)
    }

    /// Number of open holds created at or after `oldest`, or of all open holds.
    pub fn hold_count(&self, oldest: Option<time::Instant>) -> usize {
        count_since(&self.state().holds, oldest)
    }

    /// Current stage and the number of accepted orders.
    pub fn stage(&self) -> (String, u64) {
        let state = self.state();
        (state.stage.clone(), state.orders)
    }

    fn state(&self) -> sync::MutexGuard<'_, State> {
        locks::lock(&self.inner.state)
    }

    async fn handle(&self, request: Request<body::Incoming>) -> Response<response::Body> {
        let (parts, body) = request.into_parts();
        let content = response::read_body(body, MAX_BODY_BYTES).await.unwrap_or_default();
        let fault = {
            let mut state = self.state();
            state.fault_hits += u64::from(state.fault != Fault::None);
            state.fault
        };
        let expected = header_text(&parts.headers, "x-expect-instance");
        if fault == Fault::Moved || (!expected.is_empty() && expected != self.id) {
            let mut reply = response::text(StatusCode::MISDIRECTED_REQUEST, "");
            reply.headers_mut().insert("x-not-executed", header_value("1"));
            reply.headers_mut().insert("x-instance-id", header_value("i-other"));
            echo_attempt(reply.headers_mut(), &parts.headers);
            return reply;
        }
        let path = parts.uri.path().to_string();
        match (&parts.method, path.as_str()) {
            (&Method::POST, "/v1/hold-take") => self.create_hold(fault),
            (&Method::GET, "/v1/report") => self.report(),
            (&Method::POST, "/v1/order") => self.order(&content),
            (&Method::DELETE, _) if path.starts_with("/v1/") => self.release(&path),
            _ => {
                let target = parts.uri.path_and_query().map_or("/", |target| target.as_str());
                self.run(target, &parts.headers, content, fault).await
            }
        }
    }

    fn create_hold(&self, fault: Fault) -> Response<response::Body> {
        if fault == Fault::Full {
            return shed_response(&HeaderMap::new());
        }
        let mut state = self.state();
        state.hold_seq += 1;
        let hold = format!("hold-{}-{}", self.id, state.hold_seq);
        state.holds.insert(hold.clone(), time::Instant::now());
        response::json(StatusCode::OK, &json!({"hold": hold}))
    }

    fn release(&self, path: &str) -> Response<response::Body> {
        let name = path.rsplit('/').next().unwrap_or_default();
        let is_known = self.state().holds.remove(name).is_some() || self.remove_handle(name);
        response::text(if is_known { StatusCode::OK } else { StatusCode::NOT_FOUND }, "")
    }

    fn remove_handle(&self, handle: &str) -> bool {
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
            return shed_response(headers);
        }
        if header_text(headers, "x-stage") == "prefill" {
            return self.prefill(headers, fault).await;
        }
        self.state().holds.remove(&header_text(headers, "x-kv-hold"));
        let source = header_text(headers, "x-kv-source");
        let handle = source.split_once('/').map(|(_, handle)| handle);
        if handle.is_some_and(|handle| !self.remove_handle(handle)) {
            return shed_response(headers);
        }
        let attempt = header_text(headers, "x-attempt-id");
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
            tokio::time::sleep(HANG_TIME).await;
        }
        let handle = format!("kv-{}-{}", self.id, header_text(headers, "x-attempt-id"));
        if fault != Fault::EvictsResults {
            locks::lock(&self.inner.handles).insert(handle.clone(), time::Instant::now());
        }
        let reply = json!({"handle": handle, "tokens": 100, "version": 1});
        let mut reply = response::json(StatusCode::OK, &reply);
        reply
            .headers_mut()
            .insert("x-attempt-id", header_value(&header_text(headers, "x-attempt-id")));
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
                tokio::time::sleep(HANG_TIME).await;
                StatusCode::OK
            }
            Fault::Resets => return reset_response(),
            Fault::Fails => StatusCode::INTERNAL_SERVER_ERROR,
            _ => StatusCode::OK,
        };
        let mut reply = response::text(status, content);
        seal(reply.headers_mut(), attempt);
        reply
    }

    fn stream(&self, attempt: &str, headers: &HeaderMap, fault: Fault) -> Response<response::Body> {
        let last = header_text(headers, "last-event-id").parse().ok();
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
        reply.headers_mut().insert(header::CONTENT_TYPE, header_value("text/event-stream"));
        reply
    }
}

/// Number of items created at or after `oldest`, or of all items.
pub fn count_since(created: &CreationTimes, oldest: Option<time::Instant>) -> usize {
    created.values().filter(|at| oldest.is_none_or(|oldest| **at >= oldest)).count()
}

async fn send_events(sender: &mpsc::Sender<io::Result<Bytes>>, first: u64, fault: Fault) {
    for number in first..EVENTS {
        tokio::time::sleep(EVENT_INTERVAL).await;
        let event = format!("id: {number}\ndata: token-{number}\n\n");
        let chunk = match fault {
            Fault::Hangs => return tokio::time::sleep(HANG_TIME).await,
            Fault::Resets => return drop(sender.send(Err(io::Error::other("reset"))).await),
            Fault::AbortsStream | Fault::TruncatesStream if number == 2 => event[..9].to_string(),
            Fault::Stalls if number == 2 => return tokio::time::sleep(HANG_TIME).await,
            Fault::Pauses if number == 2 => {
                tokio::time::sleep(PREEMPTION_PAUSE).await;
                event
            }
            Fault::SkipsEvent if number == 2 => continue,
            _ => event,
        };
        if sender.send(Ok(chunk.into())).await.is_err() {
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

// Counts a request as running until dropped.
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

// Rejects the request with these headers.
fn shed_response(headers: &HeaderMap) -> Response<response::Body> {
    let mut reply = response::text(StatusCode::SERVICE_UNAVAILABLE, "");
    reply.headers_mut().insert("x-not-executed", header_value("1"));
    echo_attempt(reply.headers_mut(), headers);
    reply
}

// Responses echo the id of the attempt, if the request has one.
fn echo_attempt(reply: &mut HeaderMap, headers: &HeaderMap) {
    if let Some(attempt) = headers.get("x-attempt-id") {
        reply.insert("x-attempt-id", attempt.clone());
    }
}

fn reset_response() -> Response<response::Body> {
    let (sender, receiver) = mpsc::channel(1);
    let _ = sender.try_send(Err(io::Error::other("reset")));
    Response::new(response::stream(receiver))
}

fn seal(headers: &mut HeaderMap, attempt: &str) {
    headers.insert("x-response-seal", header_value("seal"));
    headers.insert("x-attempt-id", header_value(attempt));
    headers.insert("x-server-load", header_value("1,0,6"));
}

fn header_text(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_string()
}

fn header_value(text: &str) -> header::HeaderValue {
    header::HeaderValue::from_str(text).unwrap_or(header::HeaderValue::from_static(""))
}
