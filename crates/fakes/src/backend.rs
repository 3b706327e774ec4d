//! Backend servers on the users' platform, plain servers and engines, with their published API.

use std::{collections, future, net, sync, time};

use bytes::Bytes;
use hyper::{HeaderMap, Method, Request, Response, StatusCode, body, header};
use serde_json::json;
use tokio::sync::mpsc;

use rhubarb_node::{clock, locks, response, server};

use crate::{
    arrivals, caller, crash, events, fault, handles, pace, pause, replies, running, stage,
};

pub use fault::{EVENTS, Fault};

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
    running: running::Count,
    handles: handles::Handles,
    crash: crash::Trigger,
}

#[derive(Debug, Default)]
struct State {
    stage: stage::Stage,
    address: Option<net::SocketAddr>,
    fault: Fault,
    // Number of runs by attempt id.
    runs: collections::BTreeMap<String, u32>,
    requests: Vec<arrivals::ReceivedRequest>,
    // Creation times of holds, by name.
    holds: collections::BTreeMap<String, time::Instant>,
    // Number of holds ever created.
    holds_taken: u64,
    // Number of restarts.
    restarts: u64,
    // Time of the last start, in Unix milliseconds; `None` before the first restart.
    born: Option<u64>,
    // Number of requests received while a fault was set.
    fault_hits: u64,
    arrivals: Vec<arrivals::Arrival>,
    // Whether all answers say that the server leaves.
    is_leaving: bool,
    pause: pause::Pause,
    clock: pace::Clock,
    // Version of the software; empty for the first one.
    software: String,
    // Requests a second that all answers name as the limit.
    limit: Option<f64>,
    // Id of the part of prompts that crashes the server; empty for none.
    deadly_part: String,
    // When it crashed by a request with that part.
    deadly_crashes: Vec<time::Instant>,
    // Path and query, and body, of the request that crashes the server.
    deadly_request: Option<(String, Bytes)>,
    // Path and query, and credentials, of the requests that crash the server.
    deadly_caller: Option<(String, String)>,
    // Time from the begin of such a run to the crash, if it is another one than usual.
    crash_delay: Option<time::Duration>,
    // When it crashed by that request.
    request_crashes: Vec<time::Instant>,
}

/// Version of the software of servers for which no other one is set.
pub const FIRST_SOFTWARE: &str = "v1";

/// Maximum size of a request body in bytes; a longer body is read as empty.
/// When a server started, in Unix milliseconds, unless it is set.
const FIRST_BORN: u64 = 1;
const MAX_BODY_BYTES: usize = 8 << 20;

impl Backend {
    /// Creates a server; `stage` is empty for a plain server.
    pub fn new(id: &str, stage: &str, handles: &handles::Handles) -> Backend {
        let inner = Inner { handles: handles.clone(), ..Inner::default() };
        let backend = Backend { id: id.to_string(), inner: sync::Arc::new(inner) };
        backend.state().stage.name = stage.to_string();
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
        let handle = move |request| {
            let backend = shared.clone();
            async move { backend.handle(request).await }
        };
        let restarted = self.clone();
        let trigger = self.inner.crash.clone();
        tokio::spawn(async move {
            crash::serve(listener, trigger, handle, || restarted.restart()).await
        });
        Ok(address)
    }

    /// Crashes the server: all connections break, and it is down for [`crash::DOWN_TIME`].
    pub fn crash(&self) {
        self.inner.crash.crash();
    }

    /// Crashes the server, which is down for `length`.
    pub fn crash_for(&self, length: time::Duration) {
        self.inner.crash.crash_for(length);
    }

    // Several requests that begin together cause one crash.
    fn crash_by_part(&self) {
        note_crash(&mut self.state().deadly_crashes);
        self.crash();
    }

    // The same for the request that crashes the server as a whole.
    fn crash_by_request(&self) {
        note_crash(&mut self.state().request_crashes);
        self.crash();
    }

    /// When it crashed by a request with a part that crashes it.
    pub fn deadly_crashes(&self) -> Vec<time::Instant> {
        self.state().deadly_crashes.clone()
    }

    /// Crashes the server from now on whenever it begins to run the request with this path and query
    /// and this body, or to read its prompt; never with `None`.
    pub fn set_deadly_request(&self, request: Option<(&str, &str)>) {
        self.state().deadly_request =
            request.map(|(target, body)| (target.to_string(), body.to_string().into()));
    }

    /// Crashes the server from now on whenever it begins to run a request with this path and query of
    /// the caller with these credentials; never with `None`.
    pub fn set_deadly_caller(&self, request: Option<(&str, &str)>) {
        self.state().deadly_caller =
            request.map(|(target, credentials)| (target.to_string(), credentials.to_string()));
    }

    /// Sets the time from the begin of a run to the crash that it causes. The crash comes also if the
    /// connection has been closed meanwhile.
    pub fn set_crash_delay(&self, delay: time::Duration) {
        self.state().crash_delay = Some(delay);
    }

    /// When it crashed by the request that crashes it.
    pub fn request_crashes(&self) -> Vec<time::Instant> {
        self.state().request_crashes.clone()
    }

    /// Crashes the server from now on whenever it begins to answer a request whose prompt holds
    /// `part` before its last part; never if `part` is empty.
    pub fn set_deadly_part(&self, part: &str) {
        self.state().deadly_part = part.to_string();
    }

    /// Sets the version of its software. Events of another version than [`FIRST_SOFTWARE`] name it, so
    /// that they do not fit those of others; nothing checks that a stream goes on at one version.
    pub fn set_software(&self, version: &str) {
        let name = if version == FIRST_SOFTWARE { "" } else { version };
        self.state().software = name.to_string();
    }

    /// Version of its software, which its row names.
    pub fn software(&self) -> String {
        let software = self.state().software.clone();
        if software.is_empty() { FIRST_SOFTWARE.to_string() } else { software }
    }

    /// Address on which it serves; `None` until [`Backend::serve`] has bound it.
    pub fn address(&self) -> Option<net::SocketAddr> {
        self.state().address
    }

    /// Simulates a restart under the same id: drops all holds, resets the order counter, and no
    /// longer leaves, pauses or has a limit. The part that crashes the server stays the same.
    ///
    /// Open connections stay open, and [`Backend::address`] does not change.
    pub fn restart(&self) {
        let mut state = self.state();
        state.holds.clear();
        state.stage.restart();
        state.restarts += 1;
        state.born = Some(clock::unix_ms().max(state.born.unwrap_or(FIRST_BORN) + 1));
        state.is_leaving = false;
        state.limit = None;
        state.pause = pause::Pause::default();
        state.clock.restart();
    }

    /// Time of its last start in Unix milliseconds, published in the server's row as `born`.
    pub fn born(&self) -> u64 {
        self.state().born.unwrap_or(FIRST_BORN)
    }

    /// Sets the time of its first start, in Unix milliseconds.
    pub fn set_born(&self, first: u64) {
        self.state().born = Some(first);
    }

    /// Number of times that it has started again.
    pub fn restarts(&self) -> u64 {
        self.state().restarts
    }

    /// Sets its speed; when it is set first, the process has just started. From now on its work takes
    /// time, and its load reports have a fourth figure, unless the pace is the usual one.
    pub fn set_pace(&self, pace: pace::Pace) {
        self.state().clock.set(pace);
    }

    /// Its speed.
    pub fn pace(&self) -> pace::Pace {
        self.state().clock.pace
    }

    /// Sets the fault from now on.
    pub fn set_fault(&self, fault: Fault) {
        self.state().fault = fault;
    }

    /// Sets whether all answers from now on say that the server leaves.
    pub fn set_leaving(&self, is_leaving: bool) {
        self.state().is_leaving = is_leaving;
    }

    /// Names `limit` requests a second in all answers from now on, or none. More than that are served
    /// all the same.
    pub fn set_limit(&self, limit: Option<f64>) {
        self.state().limit = limit;
    }

    /// Rejects runs, prefills, holds and orders with 503 and `Retry-After` for `length` from now on.
    /// The header has the value `retry`, or else the seconds left.
    pub fn set_pause(&self, length: time::Duration, retry: Option<&str>) {
        self.state().pause.start(length, retry);
    }

    /// Number of arrivals that come more than [`pause::PAUSE_GRACE`] after an answer with
    /// `Retry-After` and before the end of the time that it asks for. Freed handles and holds and
    /// reports do not count.
    pub fn late_arrivals(&self) -> u64 {
        self.state().pause.late
    }

    /// Everything that arrived, in order of time.
    pub fn arrivals(&self) -> Vec<arrivals::Arrival> {
        self.state().arrivals.clone()
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
    pub fn requests(&self) -> Vec<arrivals::ReceivedRequest> {
        self.state().requests.clone()
    }

    /// Requests to any engine of the deployment that named the handle of another attempt. Engines run
    /// them all the same.
    pub fn foreign_handles(&self) -> Vec<handles::Foreign> {
        self.inner.handles.foreign()
    }

    /// Number of requests being executed.
    pub fn running(&self) -> u64 {
        self.inner.running.get()
    }

    /// Number of open holds created at or after `oldest`, or of all open holds.
    pub fn hold_count(&self, oldest: Option<time::Instant>) -> usize {
        let state = self.state();
        state.holds.values().filter(|at| oldest.is_none_or(|oldest| **at >= oldest)).count()
    }

    /// Seal of the answer to the executed request `attempt`: the id of the server, its start as in
    /// [`Backend::born`], and the attempt, separated by slashes.
    pub fn seal(&self, attempt: &str) -> String {
        format!("{}/{}/{attempt}", self.id, self.born())
    }

    /// Changes the stage without an order.
    pub fn set_stage(&self, stage: &str) {
        self.state().stage.name = stage.to_string();
    }

    /// Current stage and the number of accepted orders.
    pub fn stage(&self) -> (String, u64) {
        let state = self.state();
        (state.stage.name.clone(), state.stage.orders)
    }

    /// When orders were received, and their fencing numbers.
    pub fn orders(&self) -> Vec<(time::Instant, u64)> {
        self.state().stage.received.clone()
    }

    /// Makes each report take `report_time`.
    pub fn delay_reports(&self, report_time: time::Duration) {
        self.state().stage.report_time = report_time;
    }

    fn state(&self) -> sync::MutexGuard<'_, State> {
        locks::lock(&self.inner.state)
    }

    // Adds to each answer what it has whatever the status: the attempt id, except to calls under
    // `/v1/`, and whether the server leaves.
    async fn handle(&self, request: Request<body::Incoming>) -> Response<response::Body> {
        let number = {
            let mut state = self.state();
            let arrival = arrivals::Arrival::new(&request, state.restarts + 1);
            state.arrivals.push(arrival);
            state.arrivals.len() - 1
        };
        let attempt = request.headers().get(replies::ATTEMPT_ID).cloned();
        let echoed = attempt.filter(|_| !request.uri().path().starts_with("/v1/"));
        let mut reply = self.answer(request, number).await;
        let headers = reply.headers_mut();
        if let Some(echoed) = echoed {
            headers.entry(replies::ATTEMPT_ID).or_insert(echoed);
        }
        let mut state = self.state();
        if state.is_leaving {
            headers.insert("server-leaving", replies::header_value("1"));
        }
        if let Some(limit) = state.limit {
            headers.insert("server-limit", replies::header_value(&limit.to_string()));
        }
        state.arrivals[number].misdirected = reply.status() == StatusCode::MISDIRECTED_REQUEST;
        drop(state);
        reply
    }

    // Answers the arrival with index `number`.
    async fn answer(
        &self,
        request: Request<body::Incoming>,
        number: usize,
    ) -> Response<response::Body> {
        let (parts, body) = request.into_parts();
        let content = response::read_body(body, MAX_BODY_BYTES).await.unwrap_or_default();
        let fault = {
            let mut state = self.state();
            state.fault_hits += u64::from(state.fault != Fault::None);
            state.fault
        };
        let expected = replies::header_text(&parts.headers, "x-expect-instance");
        if fault == Fault::Moved || (!expected.is_empty() && expected != self.id) {
            return replies::misdirected();
        }
        let path = parts.uri.path().to_string();
        let may_pause = parts.method != Method::DELETE && path != "/v1/report";
        if let Some(rejection) = may_pause.then(|| self.pause(number)).flatten() {
            return rejection;
        }
        match (&parts.method, path.as_str()) {
            (&Method::POST, "/v1/hold-take") => self.create_hold(fault),
            (&Method::GET, "/v1/report") => self.report().await,
            (&Method::GET, "/health") => replies::healthy(&self.id),
            (&Method::POST, "/v1/order") => self.order(&content),
            (&Method::DELETE, _) if path.starts_with("/v1/") => self.release(&path),
            _ => {
                let target = parts.uri.path_and_query().map_or("/", |target| target.as_str());
                self.run(target, &parts.headers, content, fault).await
            }
        }
    }

    // Rejection of an arrival during a pause.
    fn pause(&self, number: usize) -> Option<Response<response::Body>> {
        let mut state = self.state();
        state.pause.count();
        let (rejection, until) = state.pause.reject()?;
        state.arrivals[number].paused_until = Some(until);
        Some(rejection)
    }

    fn create_hold(&self, fault: Fault) -> Response<response::Body> {
        if fault == Fault::Full {
            return replies::shed();
        }
        let mut state = self.state();
        state.holds_taken += 1;
        let hold = format!("hold-{}-{}", self.id, state.holds_taken);
        state.holds.insert(hold.clone(), clock::now());
        response::json(StatusCode::OK, &json!({"hold": hold}))
    }

    fn release(&self, path: &str) -> Response<response::Body> {
        let name = path.rsplit('/').next().unwrap_or_default();
        let is_known = self.state().holds.remove(name).is_some() || self.inner.handles.free(name);
        response::text(if is_known { StatusCode::OK } else { StatusCode::NOT_FOUND }, "")
    }

    async fn report(&self) -> Response<response::Body> {
        let report_time = self.state().stage.report_time;
        tokio::time::sleep(report_time).await;
        let mut report = self.state().stage.report(self.running());
        report["born"] = json!(self.born());
        response::json(StatusCode::OK, &report)
    }

    fn order(&self, content: &Bytes) -> Response<response::Body> {
        response::text(self.state().stage.order(content), "")
    }

    async fn run(
        &self,
        target: &str,
        headers: &HeaderMap,
        content: Bytes,
        fault: Fault,
    ) -> Response<response::Body> {
        if fault == Fault::Sheds {
            return replies::shed();
        }
        let is_deadly = self.is_deadly_request(target, headers, &content);
        if replies::header_text(headers, "x-stage") == "prefill" {
            if is_deadly {
                return self.die().await;
            }
            return self.prefill(headers, fault).await;
        }
        self.state().holds.remove(&replies::header_text(headers, "x-kv-hold"));
        let source = replies::header_text(headers, "x-kv-source");
        let handle = source.split_once('/').map(|(_, handle)| handle);
        let attempt = replies::header_text(headers, replies::ATTEMPT_ID);
        if handle.is_some_and(|handle| !self.inner.handles.take(handle, &attempt)) {
            return replies::shed();
        }
        {
            let mut state = self.state();
            *state.runs.entry(attempt.clone()).or_default() += 1;
            let (target, headers, body) = (target.to_string(), headers.clone(), content.clone());
            state.requests.push(arrivals::ReceivedRequest { target, headers, body });
        }
        if is_deadly {
            return self.die().await;
        }
        let is_plain = self.state().stage.name.is_empty();
        let mut reply = match is_plain {
            true => self.answer_plain(&attempt, content, fault).await,
            false => self.answer_stream(&attempt, headers, fault),
        };
        if fault == Fault::OtherId {
            reply.headers_mut().insert(replies::ATTEMPT_ID, replies::header_value("other"));
        }
        reply
    }

    async fn prefill(&self, headers: &HeaderMap, fault: Fault) -> Response<response::Body> {
        if fault == Fault::Hangs {
            tokio::time::sleep(fault::HANG_TIME).await;
        }
        self.work().await;
        let attempt = replies::header_text(headers, replies::ATTEMPT_ID);
        let handle = format!("kv-{}-{attempt}", self.id);
        self.inner.handles.open(&handle, &attempt, fault == Fault::EvictsResults);
        response::json(StatusCode::OK, &json!({"handle": handle, "tokens": 100, "version": 1}))
    }

    async fn answer_plain(
        &self,
        attempt: &str,
        content: Bytes,
        fault: Fault,
    ) -> Response<response::Body> {
        let _running = self.inner.running.start();
        self.work().await;
        let status = match fault {
            Fault::Hangs => {
                tokio::time::sleep(fault::HANG_TIME).await;
                StatusCode::OK
            }
            Fault::Resets => return replies::reset(),
            Fault::Fails => StatusCode::INTERNAL_SERVER_ERROR,
            Fault::FailsWith(status) => replies::status(status),
            _ => StatusCode::OK,
        };
        let mut reply = response::text(status, content);
        self.mark(&mut reply, attempt);
        reply
    }

    fn is_deadly_request(&self, target: &str, headers: &HeaderMap, content: &Bytes) -> bool {
        let state = self.state();
        let credentials = replies::header_text(headers, header::AUTHORIZATION.as_str());
        let caller = state.deadly_caller.as_ref();
        let request = state.deadly_request.as_ref();
        caller.is_some_and(|(path, deadly)| path == target && *deadly == credentials)
            || request.is_some_and(|(path, body)| path == target && body == content)
    }

    // Waits for the time that work takes at its pace.
    async fn work(&self) {
        let time = self.state().clock.work();
        if !time.is_zero() {
            tokio::time::sleep(time).await;
        }
    }

    fn mark(&self, reply: &mut Response<response::Body>, attempt: &str) {
        let load = self.state().clock.report();
        replies::seal(reply.headers_mut(), &self.seal(attempt), &load);
    }

    // Crashes by the request that it has begun to run.
    async fn die(&self) -> Response<response::Body> {
        let delay = self.state().crash_delay.unwrap_or(events::EVENT_INTERVAL);
        let (backend, running) = (self.clone(), self.inner.running.start());
        tokio::spawn(async move {
            let _running = running;
            tokio::time::sleep(delay).await;
            backend.crash_by_request();
        });
        future::pending().await
    }

    // Whether the prompt of a request crashes the server.
    fn is_deadly(&self, headers: &HeaderMap) -> bool {
        let deadly = self.state().deadly_part.clone();
        let prompt = replies::header_text(headers, caller::PROMPT);
        let parts = prompt.rsplit_once(',').map_or("", |(parts, _)| parts);
        let mut ids = parts.split(',').filter_map(|part| part.split(':').next());
        !deadly.is_empty() && ids.any(|id| id == deadly)
    }

    fn answer_stream(
        &self,
        attempt: &str,
        headers: &HeaderMap,
        fault: Fault,
    ) -> Response<response::Body> {
        let mut reply = match fault {
            Fault::FailsStream => {
                response::text(StatusCode::INTERNAL_SERVER_ERROR, "out of memory\n\n")
            }
            Fault::FailsWith(status) => {
                response::text(replies::status(status), "out of memory\n\n")
            }
            Fault::SendsPage => response::text(StatusCode::OK, "out of memory\n\n"),
            Fault::SendsNothing => Response::new(response::full("")),
            _ => return self.stream(attempt, headers, fault),
        };
        self.mark(&mut reply, attempt);
        reply
    }

    fn stream(&self, attempt: &str, headers: &HeaderMap, fault: Fault) -> Response<response::Body> {
        let last = replies::header_text(headers, "last-event-id").parse().ok();
        let is_short = fault == Fault::StartsOverShort && last.is_some();
        let starts_over = matches!(fault, Fault::StartsOver | Fault::StartsOverShort);
        let last: Option<u64> = last.filter(|_| !starts_over);
        let first = last.map_or(0, |last| last + 1);
        let numbers = first..if is_short { first + 1 } else { fault::EVENTS };
        let is_deadly = self.is_deadly(headers);
        let backend = self.clone();
        let (sender, receiver) = mpsc::channel(1);
        let running = self.inner.running.clone();
        let software = self.state().software.clone();
        tokio::spawn(async move {
            let _running = running.start();
            if is_deadly {
                tokio::time::sleep(events::EVENT_INTERVAL).await;
                backend.crash_by_part();
                // Dropping the sender would complete the answer before the connection breaks.
                return sender.closed().await;
            }
            let pace = |usual| backend.state().clock.time(usual);
            tokio::select! {
                () = events::send(&sender, numbers, fault, &software, pace) => {}
                () = sender.closed() => {}
            }
        });
        let mut reply = Response::new(response::stream(receiver));
        if fault != Fault::Unsealed {
            self.mark(&mut reply, attempt);
        }
        reply
            .headers_mut()
            .insert(header::CONTENT_TYPE, replies::header_value("text/event-stream"));
        reply
    }
}

// Adds a crash now, unless one has just been added.
fn note_crash(crashes: &mut Vec<time::Instant>) {
    let now = clock::now();
    if crashes.last().is_none_or(|last| now >= *last + crash::DOWN_TIME) {
        crashes.push(now);
    }
}
