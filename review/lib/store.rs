//! Stand-in for the platform's store: rows, transactions, feeds and objects.

use std::{
    collections::BTreeMap,
    io::BufReader,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use super::{http, json, record};

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    #[default]
    Up,
    /// Answers 503.
    Busy,
}

/// Key of a row: its table and its key; all parts are empty here.
type Key = (String, String);

#[derive(Default)]
struct State {
    version: u64,
    /// Value (`None` once removed, in base64) and version.
    rows: BTreeMap<Key, (Option<String>, u64)>,
    objects: BTreeMap<String, Vec<u8>>,
    mode: Mode,
}

#[derive(Clone)]
pub struct Store {
    inner: Arc<(Mutex<State>, Condvar, Instant)>,
    pub address: SocketAddr,
}

/// Time of a transaction.
const TX_TIME: Duration = Duration::from_millis(3);

impl Store {
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().unwrap();
        let inner = Arc::new((Mutex::default(), Condvar::new(), Instant::now()));
        let store = Store { inner, address };
        let shared = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = shared.clone();
                thread::spawn(move || {
                    let _ = store.serve(stream);
                });
            }
        });
        store
    }

    pub fn set_mode(&self, mode: Mode) {
        self.inner.0.lock().unwrap().mode = mode;
        self.inner.1.notify_all();
        record::line(&format!("store: {mode:?}"));
    }

    /// Writes a row as the operator or a server does; false if the store is not available.
    pub fn put(&self, table: &str, key: &str, value: &str) -> bool {
        let mut state = self.inner.0.lock().unwrap();
        if state.mode != Mode::Up {
            return false;
        }
        state.version += 1;
        let row = (Some(json::to_base64(value.as_bytes())), state.version);
        state.rows.insert((table.to_string(), key.to_string()), row);
        self.inner.1.notify_all();
        true
    }

    pub fn remove(&self, table: &str, key: &str) {
        let mut state = self.inner.0.lock().unwrap();
        state.version += 1;
        let version = state.version;
        state.rows.insert((table.to_string(), key.to_string()), (None, version));
        self.inner.1.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(head) = http::read_head(&mut reader)? {
            let body = http::read_body(&mut reader, &head)?;
            let (status, answer) = self.answer(&head, &body);
            let first = format!("HTTP/1.1 {status}");
            let headers = [("Content-Type", "application/json")];
            http::write_message(&mut stream, &first, &headers, &answer)?;
        }
        Ok(())
    }

    fn answer(&self, head: &http::Head, body: &[u8]) -> (&'static str, Vec<u8>) {
        const BUSY: (&str, Vec<u8>) = ("503 Service Unavailable", Vec::new());
        if self.inner.0.lock().unwrap().mode == Mode::Busy {
            return BUSY;
        }
        let target = head.target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let table = parameter(query, "table");
        match (head.method(), path) {
            ("GET", "/v1/rows-get") => {
                let state = self.inner.0.lock().unwrap();
                let (from, to) = (parameter(query, "from"), parameter(query, "to"));
                let rows = state.rows.iter().filter(|((of, key), (value, _))| {
                    *of == table && value.is_some() && *key >= from && (to.is_empty() || *key < to)
                });
                let rows: Vec<_> = rows.map(|(key, row)| row_json(key, row)).collect();
                ("200 OK", self.rows_json(&rows, state.version))
            }
            ("GET", "/v1/rows-feed") => {
                let after: u64 = parameter(query, "after").parse().unwrap_or(0);
                let wait: u64 = parameter(query, "wait_ms").parse().unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait);
                let mut state = self.inner.0.lock().unwrap();
                loop {
                    if state.mode != Mode::Up {
                        return BUSY;
                    }
                    let changed = state
                        .rows
                        .iter()
                        .filter(|((of, _), (_, ver))| *of == table && *ver > after);
                    let mut changed: Vec<_> = changed.collect();
                    changed.sort_by_key(|(_, (_, version))| *version);
                    let left = until.saturating_duration_since(Instant::now());
                    if !changed.is_empty() || left.is_zero() {
                        let rows: Vec<_> =
                            changed.iter().map(|(key, row)| row_json(key, row)).collect();
                        return ("200 OK", self.rows_json(&rows, state.version));
                    }
                    state = self.inner.1.wait_timeout(state, left).unwrap().0;
                }
            }
            ("POST", "/v1/rows-tx") => {
                thread::sleep(TX_TIME);
                let Some(body) = json::parse(body) else { return ("400 Bad Request", Vec::new()) };
                let mut state = self.inner.0.lock().unwrap();
                let key_of = |row: &json::Json| {
                    (row.get("table").text().to_string(), row.get("key").text().to_string())
                };
                let version_of = |state: &State, key: &Key| match state.rows.get(key) {
                    Some((Some(_), version)) => *version,
                    _ => 0,
                };
                for expected in body.get("expected").list() {
                    let key = key_of(expected);
                    if version_of(&state, &key) != expected.get("ver").number() {
                        let row = state.rows.get(&key).map(|row| row_json(&key, row));
                        let rows: Vec<_> = row.into_iter().collect();
                        let answer = self.rows_json(&rows, state.version);
                        return ("412 Precondition Failed", answer);
                    }
                }
                state.version += 1;
                let version = state.version;
                for write in body.get("writes").list() {
                    let value = write.get("value").text().to_string();
                    state.rows.insert(key_of(write), (Some(value), version));
                }
                for removed in body.get("remove").list() {
                    state.rows.insert(key_of(removed), (None, version));
                }
                self.inner.1.notify_all();
                ("200 OK", self.rows_json(&[], version))
            }
            ("GET", "/v1/blob-list") => ("200 OK", br#"{"names":[],"has_more":false}"#.to_vec()),
            ("PUT", _) => {
                let name = path.trim_start_matches("/v1/blob-put/").to_string();
                self.inner.0.lock().unwrap().objects.insert(name, body.to_vec());
                ("200 OK", Vec::new())
            }
            _ => ("404 Not Found", Vec::new()),
        }
    }

    fn rows_json(&self, rows: &[String], version: u64) -> Vec<u8> {
        let now_ms = self.inner.2.elapsed().as_millis();
        let rows = rows.join(",");
        format!(r#"{{"rows":[{rows}],"has_more":false,"ver":{version},"now_ms":{now_ms}}}"#)
            .into_bytes()
    }
}

fn row_json(key: &Key, (value, version): &(Option<String>, u64)) -> String {
    let (table, key) = key;
    match value {
        Some(value) => format!(
            r#"{{"table":"{table}","part":"","key":"{key}","value":"{value}","ver":{version}}}"#
        ),
        None => format!(
            r#"{{"table":"{table}","part":"","key":"{key}","deleted":true,"ver":{version}}}"#
        ),
    }
}

fn parameter(query: &str, name: &str) -> String {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let value = pairs.find(|(key, _)| *key == name).map_or("", |(_, value)| value);
    let mut bytes = Vec::new();
    let mut rest = value.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        rest = tail;
        match (first, tail) {
            (b'%', [high, low, tail @ ..]) => {
                let hex = [*high, *low];
                let hex = std::str::from_utf8(&hex).unwrap_or("3f");
                bytes.push(u8::from_str_radix(hex, 16).unwrap_or(b'?'));
                rest = tail;
            }
            _ => bytes.push(*first),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
