//! Stand-in for a model server that generates tokens, with holds, reports and streams of events.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http;

/// How an engine streams.
#[derive(Clone, Copy)]
pub struct Pace {
    pub events: u64,
    /// Time before the first event, and before each other one.
    pub first: Duration,
    pub pause: Duration,
}

#[derive(Clone)]
pub struct Engine {
    inner: Arc<Inner>,
}

struct Inner {
    id: String,
    version: String,
    born: u64,
    address: SocketAddr,
    pace: Pace,
    has_ended: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    running: AtomicU32,
    holds: AtomicU64,
}

pub fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

impl Engine {
    /// Starts an engine, which may have run before under the same id at the same address.
    pub fn start(id: &str, version: &str, address: SocketAddr, pace: Pace) -> Engine {
        let inner = Inner {
            id: id.to_string(),
            version: version.to_string(),
            born: now_ms(),
            address,
            pace,
            has_ended: AtomicBool::new(false),
            connections: Mutex::default(),
            running: AtomicU32::new(0),
            holds: AtomicU64::new(0),
        };
        let engine = Engine { inner: Arc::new(inner) };
        let listener = TcpListener::bind(address).expect("the engine's address is free");
        let shared = engine.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if shared.has_ended() {
                    return;
                }
                shared.connections().extend(stream.try_clone());
                let engine = shared.clone();
                thread::spawn(move || engine.serve(stream));
            }
        });
        engine
    }

    /// Ends it as a crash does: nothing more is sent, and its port is closed.
    pub fn crash(&self) {
        self.inner.has_ended.store(true, Ordering::Relaxed);
        for connection in self.connections().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        // The thread that accepts looks at the flag.
        let _ = TcpStream::connect(self.inner.address);
    }

    fn has_ended(&self) -> bool {
        self.inner.has_ended.load(Ordering::Relaxed)
    }

    fn connections(&self) -> MutexGuard<'_, Vec<TcpStream>> {
        self.inner.connections.lock().unwrap_or_else(|err| err.into_inner())
    }

    /// Entry of the engine in the list of servers.
    pub fn row(&self, service: &str, zone: &str, address: SocketAddr, slots: u32) -> String {
        let Inner { version, born, .. } = &*self.inner;
        format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"{version}","batch_slots":{slots},"state":"ready","cold_remaining_ms":0,"stage":"decode","models":[{{"name":"m","version":1,"adapters":[]}}],"sequence":1,"born":{born}}}"#
        )
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let _ = writer.set_nodelay(true);
        let mut reader = BufReader::with_capacity(16 * 1024, stream);
        while let Ok(Some(mut request)) = http::read_head(&mut reader) {
            if http::read_body(&mut reader, &mut request, || ()).is_err()
                || self.answer(&mut writer, &request).is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, writer: &mut TcpStream, request: &http::Message) -> std::io::Result<()> {
        let inner = &self.inner;
        let attempt = request.attempt().to_string();
        let mut headers = vec![("X-Instance-Id", inner.id.as_str())];
        if !attempt.is_empty() {
            headers.push(("X-Attempt-Id", &attempt));
        }
        if request.header("x-expect-instance").is_some_and(|id| id != inner.id) {
            return http::write(writer, "HTTP/1.1 421 Misdirected Request", &headers, b"");
        }
        let json = ("Content-Type", "application/json");
        let path = request.target();
        match (request.method(), path) {
            ("GET", "/health") => return http::write(writer, "HTTP/1.1 200 OK", &headers, b""),
            ("GET", "/v1/report") => {
                let running = inner.running.load(Ordering::Relaxed);
                let body = format!(
                    r#"{{"stage":"decode","models":[{{"name":"m","version":1,"adapters":[]}}],"busy":false,"sequence":0,"waiting":0,"running":{running},"kv_used":0,"kv_total":34446,"handles":0,"born":{}}}"#,
                    inner.born
                );
                headers.push(json);
                return http::write(writer, "HTTP/1.1 200 OK", &headers, body.as_bytes());
            }
            ("POST", "/v1/hold-take") => {
                let number = inner.holds.fetch_add(1, Ordering::Relaxed);
                let body = format!(r#"{{"hold":"{}-{number}"}}"#, inner.born);
                headers.push(json);
                return http::write(writer, "HTTP/1.1 200 OK", &headers, body.as_bytes());
            }
            ("DELETE", _) => return http::write(writer, "HTTP/1.1 200 OK", &headers, b""),
            ("POST", "/v1/order") => {
                return http::write(writer, "HTTP/1.1 409 Conflict", &headers, b"");
            }
            _ => {}
        }
        if attempt.is_empty() || request.header("x-stage").is_some() {
            headers.push(("X-Not-Executed", "1"));
            let first = if attempt.is_empty() { "400 Bad Request" } else { "421 Wrong Stage" };
            return http::write(writer, &format!("HTTP/1.1 {first}"), &headers, b"");
        }
        inner.running.fetch_add(1, Ordering::Relaxed);
        let result = self.stream(writer, request, &attempt);
        inner.running.fetch_sub(1, Ordering::Relaxed);
        result
    }

    fn stream(
        &self,
        writer: &mut TcpStream,
        request: &http::Message,
        attempt: &str,
    ) -> std::io::Result<()> {
        let inner = &self.inner;
        let last = request.header("last-event-id").and_then(|text| text.parse::<u64>().ok());
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Response-Seal: 5ea1\r\nX-Instance-Id: {}\r\nX-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            inner.id
        );
        writer.write_all(head.as_bytes())?;
        let from = last.map_or(0, |last| last + 1);
        for id in from..inner.pace.events {
            thread::sleep(if id == from { inner.pace.first } else { inner.pace.pause });
            if self.has_ended() {
                return Err(std::io::Error::other("the engine has ended"));
            }
            let event = format!("id: {id}\ndata: {} {id}\n\n", inner.version);
            writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        writer.write_all(b"0\r\n\r\n")
    }
}
