//! Stand-in for a plain server of the platform.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http;

#[derive(Clone)]
pub struct Server {
    inner: Arc<Inner>,
}

struct Inner {
    id: String,
    slots: u32,
    work: Duration,
    // Microseconds before each 16 KiB of a body.
    read_pause: AtomicU64,
    running: AtomicU32,
    // Number of runs by attempt; 0 if only the head has arrived.
    runs: Mutex<BTreeMap<String, u32>>,
}

impl Server {
    pub fn start(
        id: &str,
        address: SocketAddr,
        slots: u32,
        work: Duration,
    ) -> (Server, SocketAddr) {
        let inner = Inner {
            id: id.to_string(),
            slots,
            work,
            read_pause: AtomicU64::new(0),
            running: AtomicU32::new(0),
            runs: Mutex::default(),
        };
        let server = Server { inner: Arc::new(inner) };
        let listener = TcpListener::bind(address).expect("the server's address is free");
        let address = listener.local_addr().expect("a bound address");
        let shared = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = shared.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        (server, address)
    }

    /// Reads bodies at about this rate from now on; `None` at full speed.
    pub fn set_read_rate(&self, bytes_per_s: Option<u64>) {
        let pause = bytes_per_s.map_or(0, |rate| 16 * 1024 * 1_000_000 / rate);
        self.inner.read_pause.store(pause, Ordering::Relaxed);
    }

    fn count(&self, attempt: &str, added: u32) {
        let mut runs = self.inner.runs.lock().unwrap_or_else(|err| err.into_inner());
        *runs.entry(attempt.to_string()).or_default() += added;
    }

    /// Attempts whose heads have arrived, and how often each has run.
    pub fn runs(&self) -> BTreeMap<String, u32> {
        self.inner.runs.lock().unwrap_or_else(|err| err.into_inner()).clone()
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let _ = writer.set_nodelay(true);
        let mut reader = BufReader::with_capacity(16 * 1024, stream);
        while let Ok(Some(request)) = http::read_head(&mut reader) {
            if self.answer(&mut reader, &mut writer, request).is_err() {
                return;
            }
        }
    }

    fn answer(
        &self,
        reader: &mut BufReader<TcpStream>,
        writer: &mut TcpStream,
        mut request: http::Message,
    ) -> std::io::Result<()> {
        let inner = &self.inner;
        let pause = || {
            let pause = inner.read_pause.load(Ordering::Relaxed);
            if pause > 0 {
                thread::sleep(Duration::from_micros(pause));
            }
        };
        self.count(request.attempt(), 0);
        http::read_body(reader, &mut request, pause)?;
        let attempt = request.attempt().to_string();
        let busy = inner.running.load(Ordering::Relaxed);
        let load = format!("{},0,{}", busy.min(inner.slots), inner.slots);
        let mut headers = vec![("X-Instance-Id", inner.id.as_str()), ("X-Server-Load", &load)];
        if !attempt.is_empty() {
            headers.push(("X-Attempt-Id", &attempt));
        }
        if request.header("x-expect-instance").is_some_and(|id| id != inner.id) {
            return http::write(writer, "HTTP/1.1 421 Misdirected Request", &headers, b"");
        }
        if request.target() == "/health" {
            return http::write(writer, "HTTP/1.1 200 OK", &headers, b"");
        }
        headers.push(("X-Not-Executed", "1"));
        if attempt.is_empty() {
            return http::write(writer, "HTTP/1.1 400 Bad Request", &headers, b"");
        }
        if inner.running.fetch_add(1, Ordering::Relaxed) >= 2 * inner.slots {
            inner.running.fetch_sub(1, Ordering::Relaxed);
            return http::write(writer, "HTTP/1.1 503 Service Unavailable", &headers, b"");
        }
        headers.pop();
        self.count(&attempt, 1);
        thread::sleep(inner.work);
        inner.running.fetch_sub(1, Ordering::Relaxed);
        headers.push(("X-Response-Seal", "5ea1"));
        http::write(writer, "HTTP/1.1 200 OK", &headers, &[b'r'; 800])
    }
}
