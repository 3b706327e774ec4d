//! A model server of the platform that can end and start again under its id.

#![allow(dead_code)]

use std::collections::BTreeSet;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use super::common::*;

/// Time from one event of a stream to the next.
pub const EVENT_INTERVAL: Duration = Duration::from_millis(100);
/// Events of a whole stream.
pub const EVENTS: u64 = 24;
const PREFILL_TIME: Duration = Duration::from_millis(50);
/// Interval between the rows that it writes.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Whether streams end with their connections, with neither a length nor chunks.
pub static UNFRAMED: AtomicBool = AtomicBool::new(false);

/// One server; clones share it.
#[derive(Clone)]
pub struct Engine(Arc<Inner>);

struct Inner {
    id: String,
    address: SocketAddr,
    stage: &'static str,
    store: Store,
    record: Record,
    process: Mutex<Arc<Process>>,
}

// One start of the server.
struct Process {
    version: String,
    born: u64,
    alive: AtomicBool,
    listener: Mutex<Option<TcpListener>>,
    connections: Connections,
    holds: Mutex<BTreeSet<String>>,
    handles: Mutex<BTreeSet<String>>,
    running: AtomicU64,
    rows: AtomicU64,
    names: AtomicU64,
}

impl Engine {
    pub fn start(
        subnet: Subnet,
        host: u8,
        id: &str,
        stage: &'static str,
        version: &str,
        store: &Store,
        record: &Record,
    ) -> Engine {
        let (listener, address) = subnet.listen(host);
        let process = Mutex::new(Arc::new(Process::new(version)));
        let (store, record) = (store.clone(), record.clone());
        let engine =
            Engine(Arc::new(Inner { id: id.to_string(), address, stage, store, record, process }));
        engine.run(listener);
        engine
    }

    pub fn version(&self) -> String {
        self.process().version.clone()
    }

    pub fn is_alive(&self) -> bool {
        self.process().alive.load(Ordering::Relaxed)
    }

    fn process(&self) -> Arc<Process> {
        self.0.process.lock().unwrap().clone()
    }

    /// Ends the process: its connections break and its port refuses. It starts again after `down`, under
    /// its id and at its address, with `version`.
    pub fn restart(&self, down: Duration, version: &str) {
        let process = self.process();
        let running = process.running.load(Ordering::Relaxed);
        self.0.record.add(format!("server {} ends with {running} streams", self.0.id));
        process.alive.store(false, Ordering::Relaxed);
        process.listener.lock().unwrap().take();
        process.connections.end();
        thread::sleep(down);
        self.start_again(version);
    }

    /// Ends the process: its connections end as those of any process that is killed. From then on its
    /// address does not answer, so that connections to it hang, until it starts again after `down`.
    /// Returns the number of streams that were cut.
    pub fn go_dark(&self, down: Duration) -> u64 {
        let process = self.process();
        let listener = process.listener.lock().unwrap().take();
        let running = process.running.load(Ordering::Relaxed);
        process.alive.store(false, Ordering::Relaxed);
        // Connections are no longer accepted.
        thread::sleep(Duration::from_millis(3));
        let queued = fill_queue(self.0.address);
        self.0
            .record
            .say(format!("server {} crashes with {running} streams, and is silent", self.0.id));
        process.connections.end();
        thread::sleep(down);
        drop((listener, queued));
        self.start_again(&process.version);
        running
    }

    fn start_again(&self, version: &str) {
        let listener = loop {
            match TcpListener::bind(self.0.address) {
                Ok(listener) => break listener,
                Err(_) => thread::sleep(Duration::from_millis(5)),
            }
        };
        *self.0.process.lock().unwrap() = Arc::new(Process::new(version));
        self.0.record.add(format!("server {} has started again with {version}", self.0.id));
        self.run(listener);
    }

    // Accepts connections and writes rows until the process ends.
    fn run(&self, listener: TcpListener) {
        let (engine, process) = (self.clone(), self.process());
        listener.set_nonblocking(true).expect("the listener is open");
        *process.listener.lock().unwrap() = listener.try_clone().ok();
        let (own, beating) = (process.clone(), self.clone());
        self.write_row(&process);
        thread::spawn(move || {
            while own.alive.load(Ordering::Relaxed) {
                thread::sleep(HEARTBEAT);
                if own.alive.load(Ordering::Relaxed) {
                    beating.write_row(&own);
                }
            }
        });
        thread::spawn(move || {
            while process.alive.load(Ordering::Relaxed) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                let (engine, process) = (engine.clone(), process.clone());
                thread::spawn(move || {
                    let number = process.connections.add(&stream);
                    engine.serve(stream, &process);
                    process.connections.remove(number);
                });
            }
        });
    }

    fn write_row(&self, process: &Process) {
        let Inner { id, address, stage, .. } = &*self.0;
        let sequence = process.rows.fetch_add(1, Ordering::Relaxed) + 1;
        let (version, born) = (&process.version, process.born);
        let row = format!(
            "{{\"service\":\"clip-models\",\"address\":\"{address}\",\"zone\":\"sfax-hall-a\",\
             \"version\":\"{version}\",\"batch_slots\":16,\"state\":\"ready\",\"cold_remaining_ms\":0,\
             \"stage\":\"{stage}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
             \"sequence\":{sequence},\"born\":{born}}}"
        );
        self.0.store.put("servers", id, Some(row));
    }

    fn serve(&self, stream: TcpStream, process: &Process) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            if !process.alive.load(Ordering::Relaxed)
                || !self.answer(&request, &mut writer, process)
            {
                break;
            }
        }
        let _ = writer.shutdown(Shutdown::Both);
    }

    fn answer(&self, request: &Request, stream: &mut TcpStream, process: &Process) -> bool {
        let Inner { id, stage, .. } = &*self.0;
        let attempt = request.header("x-attempt-id").unwrap_or_default();
        let echo = [("X-Attempt-Id", attempt)];
        let echo = if attempt.is_empty() { &[][..] } else { &echo[..] };
        let json = [("Content-Type", "application/json")];
        if request.header("x-expect-instance").is_some_and(|expected| expected != id) {
            return stream.write_all(&answer(421, echo, b"")).is_ok();
        }
        let name = |kind: &str| {
            let number = process.names.fetch_add(1, Ordering::Relaxed);
            format!("{kind}{:x}{number:04x}", process.born)
        };
        match (request.method.as_str(), request.path()) {
            ("GET", "/health") => {
                stream.write_all(&answer(200, &[("X-Instance-Id", id)], b"")).is_ok()
            }
            ("GET", "/v1/report") => {
                let (running, born) = (process.running.load(Ordering::Relaxed), process.born);
                let body = format!(
                    "{{\"stage\":\"{stage}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
                     \"busy\":false,\"sequence\":0,\"waiting\":0,\"running\":{running},\"kv_used\":0,\
                     \"kv_total\":90000,\"handles\":0,\"born\":{born}}}"
                );
                stream.write_all(&answer(200, &json, body.as_bytes())).is_ok()
            }
            ("POST", "/v1/hold-take") => {
                let hold = name("h");
                process.holds.lock().unwrap().insert(hold.clone());
                let body = format!("{{\"hold\":\"{hold}\"}}");
                stream.write_all(&answer(200, &json, body.as_bytes())).is_ok()
            }
            // Another order is in progress: these servers keep their stages.
            ("POST", "/v1/order") => stream.write_all(&answer(409, &json, b"{}")).is_ok(),
            ("DELETE", _) => stream.write_all(&answer(200, &[], b"")).is_ok(),
            _ if request.header("x-stage") == Some("prefill") => {
                thread::sleep(PREFILL_TIME);
                let handle = name("k");
                process.handles.lock().unwrap().insert(handle.clone());
                let body = format!("{{\"handle\":\"{handle}\",\"tokens\":1460,\"version\":1}}");
                let headers = [echo, &json[..]].concat();
                stream.write_all(&answer(200, &headers, body.as_bytes())).is_ok()
            }
            _ if *stage != "decode" => stream.write_all(&answer(421, echo, b"")).is_ok(),
            _ => self.stream(request, attempt, stream, process),
        }
    }

    // Makes the events of a run; each names the version that made it.
    fn stream(
        &self,
        request: &Request,
        attempt: &str,
        stream: &mut TcpStream,
        process: &Process,
    ) -> bool {
        let last = request.header("last-event-id").and_then(|text| text.parse::<u64>().ok());
        let first = last.map_or(0, |last| last + 1);
        let is_framed = !UNFRAMED.load(Ordering::Relaxed);
        self.0.record.add(format!("server {} runs {attempt} from event {first}", self.0.id));
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Response-Seal: {}.{}.{attempt}\r\n\
             X-Weight-Versions: 1\r\nX-Server-Load: 1,0,16\r\nContent-Type: text/event-stream\r\n\
             {}\r\n\r\n",
            self.0.id,
            process.born,
            if is_framed { "Transfer-Encoding: chunked" } else { "Connection: close" }
        );
        process.running.fetch_add(1, Ordering::Relaxed);
        let mut is_open = stream.write_all(head.as_bytes()).is_ok();
        for number in first..EVENTS {
            thread::sleep(EVENT_INTERVAL);
            let event = format!("id: {number}\ndata: {}\n\n", process.version);
            let framed = format!("{:x}\r\n{event}\r\n", event.len());
            let chunk = if is_framed { framed } else { event };
            is_open = is_open
                && process.alive.load(Ordering::Relaxed)
                && stream.write_all(chunk.as_bytes()).is_ok();
            if !is_open {
                break;
            }
        }
        process.running.fetch_sub(1, Ordering::Relaxed);
        is_open && is_framed && stream.write_all(b"0\r\n\r\n").is_ok()
    }
}

impl Process {
    fn new(version: &str) -> Process {
        Process {
            version: version.to_string(),
            born: unix_ms(),
            alive: AtomicBool::new(true),
            listener: Mutex::default(),
            connections: Connections::default(),
            holds: Mutex::default(),
            handles: Mutex::default(),
            running: AtomicU64::new(0),
            rows: AtomicU64::new(0),
            names: AtomicU64::new(0),
        }
    }
}
