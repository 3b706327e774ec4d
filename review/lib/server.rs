//! Stand-in for a backend server: a model engine with prefill and decode, or a plain server.
//!
//! It registers itself in the store. It can crash (its connections close and its port refuses) and
//! start again at the same address under the same id, as a process does that is started again.

use std::{
    collections::BTreeSet,
    io::{BufReader, ErrorKind, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use super::{http, random, record, sleep_ms, store, unix_ms};

/// What stays the same over all starts of a server.
#[derive(Clone, Debug)]
pub struct Spec {
    pub id: String,
    pub service: String,
    pub zone: String,
    /// `prefill` or `decode`; none for a plain server.
    pub stage: Option<&'static str>,
    pub slots: u32,
    /// Time between the events of a stream, and number of events of a whole one.
    pub event_ms: u64,
    pub events: u64,
    /// Time that a plain request takes.
    pub work_ms: u64,
}

#[derive(Default)]
struct State {
    /// Number of the present process; 0 while none runs.
    process: u64,
    version: String,
    born: u64,
    is_draining: bool,
    is_registered: bool,
    connections: Vec<TcpStream>,
    handles: BTreeSet<String>,
    holds: BTreeSet<String>,
    running: u32,
    /// Whether it is dark: it neither accepts connections nor reads.
    is_dark: bool,
}

#[derive(Clone)]
pub struct Server {
    pub spec: Spec,
    pub address: SocketAddr,
    store: store::Store,
    state: Arc<Mutex<State>>,
    /// All engines, for the transfer of KV caches.
    engines: Engines,
}

/// All engines of a case.
pub type Engines = Arc<Mutex<Vec<Server>>>;

pub const HEARTBEAT_MS: u64 = 1_200;
static PROCESSES: AtomicU64 = AtomicU64::new(1);

impl Server {
    pub fn start(store: &store::Store, engines: &Engines, spec: Spec, version: &str) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().unwrap();
        let (store, state) = (store.clone(), Arc::default());
        let server = Server { spec, address, store, state, engines: engines.clone() };
        engines.lock().unwrap().push(server.clone());
        server.run(listener, version);
        let beating = server.clone();
        thread::spawn(move || {
            loop {
                sleep_ms(HEARTBEAT_MS);
                beating.register();
            }
        });
        server
    }

    /// Ends the process: its port refuses, and its connections are closed.
    pub fn crash(&self) {
        let mut state = self.state.lock().unwrap();
        (state.process, state.is_registered) = (0, false);
        state.handles.clear();
        state.holds.clear();
        let connections = std::mem::take(&mut state.connections);
        drop(state);
        // The listener closes within a millisecond.
        sleep_ms(2);
        for stream in connections {
            let _ = stream.shutdown(Shutdown::Both);
        }
        record::line(&format!("server {} ended", self.spec.id));
    }

    /// Starts the server again under its id and at its address.
    pub fn restart(&self, version: &str) {
        let listener = loop {
            match TcpListener::bind(self.address) {
                Ok(listener) => break listener,
                Err(_) => sleep_ms(5),
            }
        };
        self.run(listener, version);
    }

    pub fn drain(&self) {
        let mut state = self.state.lock().unwrap();
        (state.is_draining, state.is_registered) = (true, false);
        drop(state);
        record::line(&format!("server {} reports that it is draining", self.spec.id));
        self.register();
    }

    /// Makes the server dark, or ends that; the process stays, as one behind a partition does.
    pub fn set_dark(&self, is_dark: bool) {
        self.state.lock().unwrap().is_dark = is_dark;
        record::line(&format!("server {} dark: {is_dark}", self.spec.id));
    }

    fn wait_for_light(&self) {
        while self.state.lock().unwrap().is_dark {
            sleep_ms(1);
        }
    }

    pub fn running(&self) -> u32 {
        self.state.lock().unwrap().running
    }

    fn run(&self, listener: TcpListener, version: &str) {
        let process = PROCESSES.fetch_add(1, Ordering::Relaxed);
        let mut state = self.state.lock().unwrap();
        state.process = process;
        state.version = version.to_string();
        (state.born, state.is_draining, state.running) = (unix_ms(), false, 0);
        drop(state);
        record::line(&format!("server {} started with software {version}", self.spec.id));
        listener.set_nonblocking(true).unwrap();
        let server = self.clone();
        thread::spawn(move || {
            while server.is_alive(process) {
                server.wait_for_light();
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let mut state = server.state.lock().unwrap();
                        if state.process != process {
                            return;
                        }
                        state.connections.extend(stream.try_clone());
                        drop(state);
                        let server = server.clone();
                        thread::spawn(move || {
                            let _ = server.serve(stream, process);
                        });
                    }
                    Err(err) if err.kind() == ErrorKind::WouldBlock => {
                        thread::sleep(Duration::from_micros(500));
                    }
                    Err(_) => return,
                }
            }
        });
        self.register();
    }

    /// Writes the registration, unless it stands in the store already.
    fn register(&self) {
        let state = self.state.lock().unwrap();
        if state.process == 0 || state.is_registered {
            return;
        }
        let Spec { service, zone, slots, stage, .. } = &self.spec;
        let (address, version, born) = (self.address, &state.version, state.born);
        let word = if state.is_draining { "draining" } else { "ready" };
        let stage = stage.map_or(String::new(), |stage| {
            format!(r#","stage":"{stage}","models":[{{"name":"m","version":1,"adapters":[]}}]"#)
        });
        let row = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"{version}","batch_slots":{slots},"state":"{word}","cold_remaining_ms":0,"sequence":1,"born":{born}{stage}}}"#
        );
        drop(state);
        if self.store.put("servers", &self.spec.id, &row) {
            self.state.lock().unwrap().is_registered = true;
            record::line(&format!("server {} registered: {word}", self.spec.id));
        }
    }

    fn is_alive(&self, process: u64) -> bool {
        self.state.lock().unwrap().process == process
    }

    fn serve(&self, mut stream: TcpStream, process: u64) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(head) = http::read_head(&mut reader)? {
            let body = http::read_body(&mut reader, &head)?;
            if !self.is_alive(process) {
                return Ok(());
            }
            if self.state.lock().unwrap().is_dark {
                self.wait_for_light();
                if has_ended(&stream) {
                    return Ok(());
                }
            }
            self.answer(&mut stream, &head, &body, process)?;
        }
        Ok(())
    }

    fn answer(
        &self,
        stream: &mut TcpStream,
        head: &http::Head,
        body: &[u8],
        process: u64,
    ) -> std::io::Result<()> {
        let attempt = head.get("x-attempt-id").unwrap_or_default().to_string();
        let draining = self.state.lock().unwrap().is_draining;
        let mut headers = vec![("X-Instance-Id", self.spec.id.as_str())];
        if !attempt.is_empty() {
            headers.push(("X-Attempt-Id", attempt.as_str()));
        }
        if draining {
            headers.push(("Server-Leaving", "1"));
        }
        let mut reply = |status: &str, more: &[(&str, &str)], body: &[u8]| {
            let all: Vec<_> = headers.iter().chain(more).copied().collect();
            http::write_message(stream, &format!("HTTP/1.1 {status}"), &all, body)
        };
        let expected = head.get("x-expect-instance");
        if expected.is_some_and(|expected| expected != self.spec.id) {
            return reply("421 Misdirected Request", &[], b"");
        }
        let path = head.target().split('?').next().unwrap_or_default();
        let json = [("Content-Type", "application/json")];
        let not_run = [("X-Not-Executed", "1")];
        match (head.method(), path) {
            ("GET", "/health") => return reply("200 OK", &[], b""),
            ("GET", "/v1/report") => {
                let state = self.state.lock().unwrap();
                let (running, born) = (state.running, state.born);
                drop(state);
                let stage = self.spec.stage.unwrap_or_default();
                let report = format!(
                    r#"{{"stage":"{stage}","models":[{{"name":"m","version":1,"adapters":[]}}],"busy":false,"sequence":0,"waiting":0,"running":{running},"kv_used":0,"kv_total":36778,"handles":0,"born":{born}}}"#
                );
                return reply("200 OK", &json, report.as_bytes());
            }
            ("POST", "/v1/order") => return reply("409 Conflict", &json, b"{}"),
            ("POST", "/v1/hold-take") => {
                let hold = format!("{:016x}", random());
                self.state.lock().unwrap().holds.insert(hold.clone());
                let answer = format!(r#"{{"hold":"{hold}"}}"#);
                return reply("200 OK", &json, answer.as_bytes());
            }
            ("DELETE", path) => {
                let name = path.rsplit('/').next().unwrap_or_default();
                let mut state = self.state.lock().unwrap();
                state.holds.remove(name);
                state.handles.remove(name);
                drop(state);
                return reply("200 OK", &[], b"");
            }
            _ => {}
        }
        if attempt.is_empty() {
            return reply("400 Bad Request", &not_run, b"");
        }
        if let Some(stage) = self.spec.stage {
            if head.get("x-stage") == Some("prefill") {
                if stage != "prefill" {
                    return reply("421 Misdirected Request", &[], b"");
                }
                let usage = head.get("x-token-usage").unwrap_or_default();
                let tokens: u64 =
                    usage.split(',').next().and_then(|text| text.parse().ok()).unwrap_or(0);
                sleep_ms(5 + tokens / 33);
                let handle = format!("{:012x}", random() >> 16);
                self.state.lock().unwrap().handles.insert(handle.clone());
                let answer = format!(r#"{{"handle":"{handle}","tokens":{tokens},"version":1}}"#);
                return reply("200 OK", &json, answer.as_bytes());
            }
            if stage != "decode" {
                return reply("421 Misdirected Request", &[], b"");
            }
            if let Some(source) = head.get("x-kv-source") {
                if !self.take_handle(source) {
                    return reply("503 Service Unavailable", &not_run, b"");
                }
            }
            if let Some(hold) = head.get("x-kv-hold") {
                if !self.state.lock().unwrap().holds.remove(hold) {
                    return reply("503 Service Unavailable", &not_run, b"");
                }
            }
            return self.stream_events(stream, head, process);
        }
        // A plain server.
        let mut state = self.state.lock().unwrap();
        if state.running >= self.spec.slots * 5 {
            drop(state);
            return reply("503 Service Unavailable", &not_run, b"");
        }
        state.running += 1;
        let (running, version) = (state.running, state.version.clone());
        drop(state);
        let rounds = u64::from(running.div_ceil(self.spec.slots));
        record::line(&format!(
            "run {attempt} {} {path} at {}, {} bytes",
            head.method(),
            self.spec.id,
            body.len()
        ));
        sleep_ms(self.spec.work_ms * rounds);
        let mut state = self.state.lock().unwrap();
        state.running = state.running.saturating_sub(1);
        let load = format!("{},0,{}", state.running.min(self.spec.slots), self.spec.slots);
        let is_alive = state.process == process;
        drop(state);
        self.wait_for_light();
        if !is_alive {
            return Ok(());
        }
        let seal = format!("{}.{version}.{attempt}", self.spec.id);
        let text = format!("{} answers {attempt}", self.spec.id);
        let more = [("X-Response-Seal", seal.as_str()), ("X-Server-Load", load.as_str())];
        reply("200 OK", &more, text.as_bytes())
    }

    fn take_handle(&self, source: &str) -> bool {
        let Some((address, handle)) = source.split_once('/') else { return false };
        let engines = self.engines.lock().unwrap().clone();
        let engine = engines.iter().find(|engine| engine.address.to_string() == address);
        engine.is_some_and(|engine| engine.state.lock().unwrap().handles.remove(handle))
    }

    fn stream_events(
        &self,
        stream: &mut TcpStream,
        head: &http::Head,
        process: u64,
    ) -> std::io::Result<()> {
        let attempt = head.get("x-attempt-id").unwrap_or_default();
        let after: u64 = head.get("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut state = self.state.lock().unwrap();
        state.running += 1;
        let version = state.version.clone();
        drop(state);
        let id = &self.spec.id;
        record::line(&format!("run {attempt} at {id} with {version} after event {after}"));
        let first = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Response-Seal: {id}.{version}\r\n\
             Content-Type: text/event-stream\r\nX-Weight-Versions: 1\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        let result = (|| {
            let start = Instant::now();
            for event in after + 1..=self.spec.events {
                let due = start + Duration::from_millis(self.spec.event_ms * (event - after));
                thread::sleep(due.saturating_duration_since(Instant::now()));
                if !self.is_alive(process) {
                    return Err(std::io::Error::from(ErrorKind::ConnectionAborted));
                }
                if event == after + 1 {
                    stream.write_all(first.as_bytes())?;
                }
                let text = format!("id: {event}\ndata: {id} {version} {event}\n\n");
                stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
            }
            stream.write_all(b"0\r\n\r\n")
        })();
        let mut state = self.state.lock().unwrap();
        if state.process == process {
            state.running = state.running.saturating_sub(1);
        }
        result
    }
}

// Whether the caller has closed the connection, so that its request is dropped.
fn has_ended(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let ended = match stream.peek(&mut [0; 1]) {
        Ok(read) => read == 0,
        Err(err) => err.kind() != ErrorKind::WouldBlock,
    };
    let _ = stream.set_nonblocking(false);
    ended
}
