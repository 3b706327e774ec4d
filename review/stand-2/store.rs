//! Stand-in for the platform's store: rows, feeds and transactions as the platform's page says.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::{http, json};

#[derive(Clone)]
pub struct Store {
    inner: Arc<Inner>,
}

struct Inner {
    state: Mutex<State>,
    changed: Condvar,
    begun: Instant,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<(String, String), Row>,
    version: u64,
}

struct Row {
    // In base64; `None` if it was removed.
    value: Option<String>,
    version: u64,
}

impl Store {
    pub fn start(address: SocketAddr) -> Store {
        let state = Mutex::new(State::default());
        let inner = Inner { state, changed: Condvar::new(), begun: Instant::now() };
        let store = Store { inner: Arc::new(inner) };
        let listener = TcpListener::bind(address).expect("the store's address is free");
        let shared = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = shared.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.inner.state.lock().unwrap_or_else(|err| err.into_inner())
    }

    /// Writes a row as the operator or a server does.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) {
        let mut state = self.state();
        state.version += 1;
        let version = state.version;
        let value = value.map(|value| encode(value.as_bytes()));
        state.rows.insert((table.to_string(), key.to_string()), Row { value, version });
        drop(state);
        self.inner.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(mut request)) = http::read_head(&mut reader) {
            if http::read_body(&mut reader, &mut request, || ()).is_err() {
                return;
            }
            let (status, body) = self.answer(&request);
            let headers = [("Content-Type", "application/json")];
            let first = format!("HTTP/1.1 {status} -");
            if http::write(&mut writer, &first, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &http::Message) -> (u16, String) {
        let target = request.target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        match (request.method(), path) {
            ("GET", "/v1/rows-get") => (200, self.get(query)),
            ("GET", "/v1/rows-feed") => self.feed(query),
            ("POST", "/v1/rows-tx") => self.transact(&request.body),
            ("GET", "/v1/blob-list") => (200, r#"{"names":[],"has_more":false}"#.to_string()),
            ("PUT" | "DELETE", _) => (200, String::new()),
            _ => (404, String::new()),
        }
    }

    fn body(&self, state: &State, rows: &[String]) -> String {
        let (ver, now) = (state.version, self.inner.begun.elapsed().as_millis());
        let rows = rows.join(",");
        format!(r#"{{"rows":[{rows}],"has_more":false,"ver":{ver},"now_ms":{now}}}"#)
    }

    fn get(&self, query: &str) -> String {
        let table = parameter(query, "table");
        let state = self.state();
        let rows =
            state.rows.iter().filter(|((name, _), row)| *name == table && row.value.is_some());
        let rows: Vec<_> = rows.map(|((_, key), row)| text(&table, key, row)).collect();
        self.body(&state, &rows)
    }

    fn feed(&self, query: &str) -> (u16, String) {
        let table = parameter(query, "table");
        let after: u64 = parameter(query, "after").parse().unwrap_or(0);
        let wait: u64 = parameter(query, "wait_ms").parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state();
        loop {
            let is_new = |((name, _), row): &(&(String, String), &Row)| {
                *name == table && row.version > after
            };
            let mut rows: Vec<_> = state.rows.iter().filter(is_new).collect();
            rows.sort_by_key(|(_, row)| row.version);
            let rows: Vec<_> = rows.iter().map(|((_, key), row)| text(&table, key, row)).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return (200, self.body(&state, &rows));
            }
            let waited = self.inner.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(|err| err.into_inner()).0;
        }
    }

    fn transact(&self, body: &[u8]) -> (u16, String) {
        let Some(body) = json::parse(&String::from_utf8_lossy(body)) else {
            return (400, String::new());
        };
        let key = |row: &json::Json| {
            (row.get("table").text().to_string(), row.get("key").text().to_string())
        };
        let mut state = self.state();
        for row in body.get("expected").list() {
            let known = state.rows.get(&key(row)).filter(|known| known.value.is_some());
            if known.map_or(0, |known| known.version) != row.get("ver").number() {
                return (412, self.body(&state, &[]));
            }
        }
        state.version += 1;
        let version = state.version;
        for row in body.get("writes").list() {
            let value = Some(row.get("value").text().to_string());
            state.rows.insert(key(row), Row { value, version });
        }
        for row in body.get("remove").list() {
            state.rows.insert(key(row), Row { value: None, version });
        }
        let body = self.body(&state, &[]);
        drop(state);
        self.inner.changed.notify_all();
        (200, body)
    }
}

fn text(table: &str, key: &str, row: &Row) -> String {
    let version = row.version;
    let key: String = key.chars().filter(|ch| *ch != '"' && *ch != '\\').collect();
    match &row.value {
        Some(value) => format!(
            r#"{{"table":"{table}","part":"","key":"{key}","value":"{value}","ver":{version}}}"#
        ),
        None => format!(
            r#"{{"table":"{table}","part":"","key":"{key}","ver":{version},"deleted":true}}"#
        ),
    }
}

fn parameter(query: &str, name: &str) -> String {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value.to_string()).unwrap_or_default()
}

/// Base64 with padding.
pub fn encode(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let mut whole = 0_u32;
        for place in 0..3 {
            whole = whole << 8 | u32::from(part.get(place).copied().unwrap_or(0));
        }
        for place in 0..4 {
            let digit = DIGITS[(whole >> (18 - 6 * place) & 63) as usize];
            out.push(if place <= part.len() { digit as char } else { '=' });
        }
    }
    out
}
