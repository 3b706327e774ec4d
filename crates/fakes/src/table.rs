//! Table service: rows with versions, conditional writes and transactions.

use std::{collections, sync, time};

use bytes::Bytes;
use hyper::{HeaderMap, Method, Response, StatusCode, header};
use serde::Deserialize;
use serde_json::json;

use rhubarb_node::{answer, clock, locks, table};

/// Table service.
#[derive(Debug, Default)]
pub struct Table {
    state: sync::Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    rows: collections::BTreeMap<String, table::Row>,
    window: Option<time::Instant>,
    reads: u32,
    writes: u32,
}

#[derive(Deserialize)]
struct Write {
    key: String,
    expected: u64,
    write_id: String,
    value: String,
}

const READS_A_SECOND: u32 = 2000;
const WRITES_A_SECOND: u32 = 400;

impl Table {
    /// Answers a call for the row `key`; an empty key names a transaction.
    pub fn call(
        &self,
        method: &Method,
        key: &str,
        headers: &HeaderMap,
        body: &Bytes,
    ) -> Response<answer::Body> {
        let mut state = locks::lock(&self.state);
        if !state.admit(method) {
            return answer::text(StatusCode::TOO_MANY_REQUESTS, "over the table's rate");
        }
        match (method, key) {
            (&Method::GET, _) => state.read(key),
            (&Method::PUT, _) => {
                let number = |name| headers.get(name)?.to_str().ok()?.parse().ok();
                let write_id = headers.get("write-id").and_then(|id| id.to_str().ok());
                let write = Write {
                    key: key.to_string(),
                    expected: number(header::IF_MATCH).unwrap_or(0),
                    write_id: write_id.unwrap_or_default().to_string(),
                    value: String::from_utf8_lossy(body).into_owned(),
                };
                state.write_all(vec![write])
            }
            (&Method::POST, "") => match serde_json::from_slice(body) {
                Ok(writes) => state.write_all(writes),
                Err(err) => answer::text(StatusCode::BAD_REQUEST, err.to_string()),
            },
            _ => answer::text(StatusCode::METHOD_NOT_ALLOWED, "use GET, PUT or POST"),
        }
    }
}

impl State {
    fn admit(&mut self, method: &Method) -> bool {
        let now = clock::now();
        if self.window.is_none_or(|start| now >= start + time::Duration::from_secs(1)) {
            self.window = Some(now);
            self.reads = 0;
            self.writes = 0;
        }
        if method == Method::GET {
            self.reads += 1;
            self.reads <= READS_A_SECOND
        } else {
            self.writes += 1;
            self.writes <= WRITES_A_SECOND
        }
    }

    fn read(&self, key: &str) -> Response<answer::Body> {
        match self.rows.get(key) {
            Some(row) => answer::json(StatusCode::OK, &json!(row)),
            None => answer::text(StatusCode::NOT_FOUND, "no such row"),
        }
    }

    // All writes take effect, or none.
    fn write_all(&mut self, writes: Vec<Write>) -> Response<answer::Body> {
        for write in &writes {
            let version = self.rows.get(&write.key).map_or(0, |row| row.version);
            if version != write.expected {
                let found = json!({ "key": write.key, "version": version });
                return answer::json(StatusCode::PRECONDITION_FAILED, &found);
            }
        }
        let mut last = None;
        for write in writes {
            let row = table::Row {
                version: write.expected + 1,
                write_id: write.write_id,
                value: write.value,
            };
            self.rows.insert(write.key, row.clone());
            last = Some(row);
        }
        answer::json(StatusCode::OK, &json!(last))
    }
}
