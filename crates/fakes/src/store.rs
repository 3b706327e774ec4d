//! Fake of the store of the users' platform, with its published API for rows and objects.

use std::{collections, net, sync, time};

use bytes::Bytes;
use hyper::{Method, Request, Response, StatusCode, body, header};
use serde_json::json;
use tokio::sync as lock;

use rhubarb_node::{clock, locks, response, server};

use crate::{copy, transaction};

/// The store; clones share their state.
#[derive(Clone, Debug, Default)]
pub struct Store {
    inner: sync::Arc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    state: sync::Mutex<State>,
    changed: lock::Notify,
}

#[derive(Debug, Default)]
struct State {
    content: copy::Content,
    // Era that each response tells, as text; `None` for a store without eras.
    era: Option<String>,
    mode: Mode,
    calls: u64,
    // Table to whose rows texts are added, and these texts.
    odd_rows: (String, Vec<String>),
    // Number of calls of `Store::silence_feeds` by table; a feed compares it with the number at its
    // start.
    silences: collections::BTreeMap<String, u64>,
    // Whether reads return all rows of a part, also those outside of the range that is asked for.
    ignores_ranges: bool,
}

impl State {
    fn odd_texts(&self, table: &str) -> &[String] {
        if self.odd_rows.0 == table { &self.odd_rows.1 } else { &[] }
    }

    // Adds the era in which a response was computed.
    fn mark(&self, mut response: Response<response::Body>) -> Response<response::Body> {
        if let Some(era) = &self.era {
            let era = header::HeaderValue::from_bytes(era.as_bytes());
            response.headers_mut().insert(ERA, era.expect("the era is a valid header value"));
        }
        response
    }
}

/// How the store behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Works normally.
    #[default]
    Up,
    /// Rejects each call with status 503.
    Busy,
    /// Neither executes nor answers calls, and sends no rows to open feeds.
    Unresponsive,
    /// Executes row transactions and sends no response to them.
    LostReplies,
    /// Handles each call after `SLOW_DELAY`.
    Slow,
    /// Has lost its history: answers each feed with status 410.
    NoHistory,
    /// Handles each call at once and answers after `SLOW_DELAY`.
    LateReplies,
}

/// Header of the era.
const ERA: &str = "store-era";
/// Delay of each call in slow mode.
const SLOW_DELAY: time::Duration = time::Duration::from_millis(900);
/// Maximum size of a row transaction in bytes.
const MAX_TRANSACTION_BYTES: usize = 1 << 20;
/// Maximum size of one object in bytes.
const MAX_OBJECT_BYTES: usize = 8 << 20;
/// Object names on one page; fewer than on the platform, so that few objects fill several pages.
const PAGE_SIZE: usize = 2;
/// Exceeds every timeout of an entry.
const HANG_TIME: time::Duration = time::Duration::from_secs(600);

impl Store {
    /// Serves on `ip`.
    ///
    /// # Errors
    /// Returns an error if no port is free.
    pub async fn serve(&self, ip: net::IpAddr) -> anyhow::Result<net::SocketAddr> {
        let listener = server::bind((ip, 0).into()).await?;
        let address = listener.local_addr()?;
        let shared = self.clone();
        tokio::spawn(server::serve(listener, server::Limits::default(), move |request| {
            let store = shared.clone();
            async move { store.handle(request).await }
        }));
        Ok(address)
    }

    /// Writes a row as the operator or a server does, in any mode, and returns its version.
    pub fn put(&self, table: &str, key: &str, value: impl Into<Vec<u8>>) -> u64 {
        self.set(table, key, Some(value.into()))
    }

    /// Deletes a row in any mode and returns the version of the deletion.
    pub fn remove(&self, table: &str, key: &str) -> u64 {
        self.set(table, key, None)
    }

    fn set(&self, table: &str, key: &str, value: Option<Vec<u8>>) -> u64 {
        let writes = vec![((table.to_string(), key.to_string()), value)];
        let version = self.state().content.write(writes);
        self.inner.changed.notify_waiters();
        version
    }

    /// Value of a row; `None` if it is missing or deleted.
    pub fn get(&self, table: &str, key: &str) -> Option<Vec<u8>> {
        let state = self.state();
        state.content.rows.get(&(table.to_string(), key.to_string()))?.value.clone()
    }

    /// Keys of the rows of a table, with those of its parts.
    pub fn keys(&self, table: &str) -> collections::BTreeSet<String> {
        let state = self.state();
        let rows = state.content.rows.iter().filter(|(_, row)| row.value.is_some());
        let name = |key: &copy::Key| key.0.split('/').next() == Some(table);
        rows.filter(|(key, _)| name(key)).map(|(key, _)| key.1.clone()).collect()
    }

    /// Sets the era that each response tells from now on; any other text than a number is invalid.
    pub fn set_era(&self, era: &str) {
        self.state().era = Some(era.to_string());
    }

    /// Copy of all rows and objects.
    pub fn copy(&self) -> copy::Content {
        self.state().content.clone()
    }

    /// Restores the store from a copy and begins the next era. Returns what the operator and the
    /// servers have written since the copy.
    pub fn restore(&self, content: copy::Content) -> copy::Lost {
        let mut state = self.state();
        let era = state.era.as_deref().and_then(|era| era.parse().ok()).unwrap_or(0_u64);
        state.era = Some((era + 1).to_string());
        let lost = std::mem::replace(&mut state.content, content).since(&state.content);
        drop(state);
        self.inner.changed.notify_waiters();
        lost
    }

    /// Writes again what was lost, as the operator and the servers do, except rows that were
    /// written since the restore.
    pub fn rewrite(&self, lost: copy::Lost) {
        self.state().content.rewrite(lost);
        self.inner.changed.notify_waiters();
    }

    /// Plays a restore from `content`: the store is busy for `outage`, then restored, and
    /// `rewrite_delay` later the operator and the servers write again.
    pub async fn drill(
        &self,
        content: copy::Content,
        outage: time::Duration,
        rewrite_delay: time::Duration,
    ) {
        self.set_mode(Mode::Busy);
        tokio::time::sleep(outage).await;
        let lost = self.restore(content);
        self.set_mode(Mode::Up);
        tokio::time::sleep(rewrite_delay).await;
        self.rewrite(lost);
    }

    /// Sets how the store behaves from now on.
    pub fn set_mode(&self, mode: Mode) {
        self.state().mode = mode;
        self.inner.changed.notify_waiters();
    }

    /// Discards the change history, so that a feed from an older version gets status 410.
    pub fn compact(&self) {
        self.state().content.compact();
        self.inner.changed.notify_waiters();
    }

    /// Never answers the open feeds of `table`, whose connections stay open; later feeds work.
    pub fn silence_feeds(&self, table: &str) {
        *self.state().silences.entry(table.to_string()).or_default() += 1;
        self.inner.changed.notify_waiters();
    }

    /// Adds `texts` as rows to all responses with rows of `table` from now on, as they are.
    pub fn set_odd_rows(&self, table: &str, texts: &[&str]) {
        let texts = texts.iter().map(|text| text.to_string());
        self.state().odd_rows = (table.to_string(), texts.collect());
        self.inner.changed.notify_waiters();
    }

    /// Answers reads with all rows of a part from now on, whatever range they ask for.
    pub fn ignore_ranges(&self) {
        self.state().ignores_ranges = true;
    }

    /// Number of calls received.
    pub fn calls(&self) -> u64 {
        self.state().calls
    }

    fn state(&self) -> sync::MutexGuard<'_, State> {
        locks::lock(&self.inner.state)
    }

    async fn handle(&self, request: Request<body::Incoming>) -> Response<response::Body> {
        let has_eras = self.state().era.is_some();
        let response = self.answer(request).await;
        // Responses with rows or objects were marked when they were computed.
        if !has_eras || response.headers().contains_key(ERA) {
            return response;
        }
        self.state().mark(response)
    }

    async fn answer(&self, request: Request<body::Incoming>) -> Response<response::Body> {
        let (parts, body) = request.into_parts();
        let mode = {
            let mut state = self.state();
            state.calls += 1;
            state.mode
        };
        match mode {
            Mode::Busy => return response::text(StatusCode::SERVICE_UNAVAILABLE, "busy"),
            Mode::Unresponsive => tokio::time::sleep(HANG_TIME).await,
            Mode::Slow => tokio::time::sleep(SLOW_DELAY).await,
            Mode::Up | Mode::LostReplies | Mode::NoHistory | Mode::LateReplies => {}
        }
        let query = parts.uri.query().unwrap_or_default().to_string();
        let response = match (&parts.method, parts.uri.path()) {
            (&Method::GET, "/v1/rows-get") => self.read_rows(&query),
            (&Method::GET, "/v1/rows-feed") => self.feed(&query).await,
            (&Method::POST, "/v1/rows-tx") => {
                let content =
                    response::read_body(body, MAX_TRANSACTION_BYTES).await.unwrap_or_default();
                let reply = self.write_rows(&content);
                if mode == Mode::LostReplies {
                    tokio::time::sleep(HANG_TIME).await;
                }
                reply
            }
            (&Method::GET, "/v1/blob-list") => self.list_objects(&query),
            (method, path) => match path.split_once("/v1/blob-") {
                Some(("", call)) => {
                    let content =
                        response::read_body(body, MAX_OBJECT_BYTES).await.unwrap_or_default();
                    self.call_object(method, &decode(call), content)
                }
                _ => response::text(StatusCode::NOT_FOUND, "no such call"),
            },
        };
        if mode == Mode::LateReplies {
            tokio::time::sleep(SLOW_DELAY).await;
        }
        response
    }

    fn list_objects(&self, query: &str) -> Response<response::Body> {
        let (prefix, after) = (parameter(query, "prefix"), parameter(query, "after"));
        let state = self.state();
        let matching: Vec<_> = state
            .content
            .objects
            .keys()
            .filter(|name| name.starts_with(&prefix) && **name > after)
            .take(PAGE_SIZE + 1)
            .collect();
        let has_more = matching.len() > PAGE_SIZE;
        let names = &matching[..matching.len().min(PAGE_SIZE)];
        state.mark(response::json(StatusCode::OK, &json!({"names": names, "has_more": has_more})))
    }

    fn call_object(&self, method: &Method, call: &str, content: Bytes) -> Response<response::Body> {
        let mut state = self.state();
        let objects = &mut state.content.objects;
        let response = match (method, call.split_once('/')) {
            (&Method::PUT, Some(("put", name))) => {
                objects.insert(name.to_string(), content);
                response::text(StatusCode::OK, "")
            }
            (&Method::GET, Some(("get", name))) => match objects.get(name) {
                Some(content) => Response::new(response::full(content.clone())),
                None => response::text(StatusCode::NOT_FOUND, "no such object"),
            },
            (&Method::DELETE, Some(("drop", name))) => {
                objects.remove(name);
                response::text(StatusCode::OK, "")
            }
            _ => response::text(StatusCode::NOT_FOUND, "no such call"),
        };
        state.mark(response)
    }

    fn read_rows(&self, query: &str) -> Response<response::Body> {
        let state = self.state();
        let table = parameter(query, "table");
        let (from, to) = (parameter(query, "from"), parameter(query, "to"));
        let name = part_name(&table, &parameter(query, "part"));
        let is_asked = |key: &copy::Key| {
            let in_range = key.1 >= from && (to.is_empty() || key.1 < to);
            key.0 == name && (in_range || state.ignores_ranges)
        };
        let content = &state.content;
        let rows = content.rows.iter().filter(|(key, row)| is_asked(key) && row.value.is_some());
        let rows: Vec<_> = rows.map(|(key, row)| row_json(key, row)).collect();
        let reply = json!({"rows": rows, "has_more": false, "ver": content.version, "now_ms": clock::unix_ms()});
        state.mark(rows_response(&reply, state.odd_texts(&table)))
    }

    async fn feed(&self, query: &str) -> Response<response::Body> {
        let table = parameter(query, "table");
        let after = parameter(query, "after").parse().unwrap_or(0);
        let wait = parameter(query, "wait_ms").parse().unwrap_or(0);
        let deadline = tokio::time::Instant::now() + time::Duration::from_millis(wait);
        let silences = |store: &Store| store.state().silences.get(&table).copied();
        let at_start = silences(self);
        loop {
            let changed = self.inner.changed.notified();
            if silences(self) != at_start {
                tokio::time::sleep(HANG_TIME).await;
            }
            if let Some(reply) = self.rows_since(&table, after) {
                return reply;
            }
            if tokio::time::timeout_at(deadline, changed).await.is_err() {
                let state = self.state();
                let reply = json!({"rows": [], "ver": state.content.version});
                return state.mark(response::json(StatusCode::OK, &reply));
            }
        }
    }

    // Rows changed after version `after`, or an error; `None` while the feed has to wait.
    fn rows_since(&self, table: &str, after: u64) -> Option<Response<response::Body>> {
        let state = self.state();
        let content = &state.content;
        if state.mode == Mode::Busy {
            return Some(response::text(StatusCode::SERVICE_UNAVAILABLE, "busy"));
        }
        if state.mode == Mode::Unresponsive {
            return None;
        }
        let is_gone = after < content.oldest || after > content.version;
        if is_gone || state.mode == Mode::NoHistory {
            return Some(state.mark(response::text(StatusCode::GONE, "the history is gone")));
        }
        let is_newer = |key: &copy::Key, row: &copy::Row| key.0 == table && row.version > after;
        let mut rows: Vec<_> =
            content.rows.iter().filter(|(key, row)| is_newer(key, row)).collect();
        rows.sort_by_key(|(_, row)| row.version);
        let rows: Vec<_> = rows.into_iter().map(|(key, row)| row_json(key, row)).collect();
        let reply = json!({"rows": rows, "ver": content.version, "now_ms": clock::unix_ms()});
        let odd = state.odd_texts(table);
        (!rows.is_empty()).then(|| state.mark(rows_response(&reply, odd)))
    }

    fn write_rows(&self, content: &Bytes) -> Response<response::Body> {
        let transaction: transaction::Transaction = match serde_json::from_slice(content) {
            Ok(transaction) => transaction,
            Err(err) => return response::text(StatusCode::BAD_REQUEST, err.to_string()),
        };
        let mut writes = Vec::new();
        for write in transaction.writes {
            if copy::is_platform_table(&write.table) {
                return response::text(StatusCode::FORBIDDEN, "not the system's table");
            }
            let Some(value) = decode_value(&write.value) else {
                return response::text(StatusCode::BAD_REQUEST, "the value is not base64");
            };
            writes.push(((part_name(&write.table, &write.part), write.key), Some(value)));
        }
        let name = |row: &transaction::Removal| part_name(&row.table, &row.part);
        let removed = transaction.remove.into_iter().map(|row| ((name(&row), row.key), None));
        writes.extend(removed);
        // The conditions are checked and the writes applied under one lock.
        let mut state = self.state();
        let content = &mut state.content;
        let is_met = |expected: &transaction::Expected| {
            let table = part_name(&expected.table, &expected.part);
            content.version_of(&(table, expected.key.clone())) == expected.ver
        };
        if !transaction.expected.iter().all(is_met) {
            let reply = json!({"rows": [], "ver": content.version});
            return state.mark(response::json(StatusCode::PRECONDITION_FAILED, &reply));
        }
        let reply = json!({"ver": content.write(writes), "now_ms": clock::unix_ms()});
        let response = state.mark(response::json(StatusCode::OK, &reply));
        drop(state);
        self.inner.changed.notify_waiters();
        response
    }
}

// Name under which the rows of a part of a table are kept: the table's own for those without a part.
fn part_name(table: &str, part: &str) -> String {
    if part.is_empty() { table.to_string() } else { format!("{table}/{part}") }
}

// Response with rows, to which texts are added as they are.
fn rows_response(reply: &serde_json::Value, odd: &[String]) -> Response<response::Body> {
    let mut text = reply.to_string();
    if !odd.is_empty() {
        let end = if reply["rows"].as_array().is_some_and(Vec::is_empty) { "" } else { "," };
        text = text.replacen("\"rows\":[", &format!("\"rows\":[{}{end}", odd.join(",")), 1);
    }
    let mut reply = Response::new(response::full(text));
    let json = header::HeaderValue::from_static("application/json");
    reply.headers_mut().insert(header::CONTENT_TYPE, json);
    reply
}

fn row_json(key: &copy::Key, row: &copy::Row) -> serde_json::Value {
    use base64::Engine;
    let value =
        row.value.as_ref().map(|value| base64::engine::general_purpose::STANDARD.encode(value));
    let (table, part) = key.0.split_once('/').unwrap_or((&key.0, ""));
    json!({
        "table": table, "part": part, "key": key.1, "ver": row.version,
        "value": value, "deleted": row.value.is_none(),
    })
}

fn decode_value(value: &str) -> Option<Vec<u8>> {
    use base64::Engine;
    base64::engine::general_purpose::STANDARD.decode(value).ok()
}

fn parameter(query: &str, name: &str) -> String {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| decode(value)).unwrap_or_default()
}

fn decode(text: &str) -> String {
    percent_encoding::percent_decode_str(text).decode_utf8_lossy().into_owned()
}
