//! Fake of the table service: versioned rows, conditional writes and transactions.

use std::{collections, sync, time};

use bytes::Bytes;
use hyper::{Method, Response, StatusCode};
use serde::Deserialize;
use serde_json::json;

use rhubarb_node::{clock, locks, response, table};

/// The table service.
#[derive(Debug, Default)]
pub struct Table {
    state: sync::Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    rows: collections::BTreeMap<String, table::Row>,
    // Start of the second in which calls are counted.
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

const READS_PER_SECOND: u32 = 2000;
const WRITES_PER_SECOND: u32 = 400;

impl Table {
    /// Answers a read of the row `key`, or a transaction over any rows.
    pub fn call(&self, method: &Method, key: &str, body: &Bytes) -> Response<response::Body> {
        let mut state = locks::lock(&self.state);
        if !state.admit(method) {
            return response::text(StatusCode::TOO_MANY_REQUESTS, "over the table's rate");
        }
        match *method {
            Method::GET => state.read(key),
            Method::POST => match serde_json::from_slice(body) {
                Ok(writes) => state.write_all(writes),
                Err(err) => response::text(StatusCode::BAD_REQUEST, err.to_string()),
            },
            _ => response::text(StatusCode::METHOD_NOT_ALLOWED, "use GET or POST"),
        }
    }
}

impl State {
    // Counts a call and returns whether it is within the rate limit.
    fn admit(&mut self, method: &Method) -> bool {
        let now = clock::now();
        if self.window.is_none_or(|start| now >= start + time::Duration::from_secs(1)) {
            self.window = Some(now);
            self.reads = 0;
            self.writes = 0;
        }
        if method == Method::GET {
            self.reads += 1;
            self.reads <= READS_PER_SECOND
        } else {
            self.writes += 1;
            self.writes <= WRITES_PER_SECOND
        }
    }

    fn read(&self, key: &str) -> Response<response::Body> {
        match self.rows.get(key) {
            Some(row) => response::json(StatusCode::OK, &json!(row)),
            None => response::text(StatusCode::NOT_FOUND, "no such row"),
        }
    }

    // Applies all writes, or none if an expected version does not match.
    fn write_all(&mut self, writes: Vec<Write>) -> Response<response::Body> {
        for write in &writes {
            let version = self.rows.get(&write.key).map_or(0, |row| row.version);
            if version != write.expected {
                let found = json!({ "key": write.key, "version": version });
                return response::json(StatusCode::PRECONDITION_FAILED, &found);
            }
        }
        for write in writes {
            let Write { key, expected, write_id, value } = write;
            self.rows.insert(key, table::Row { version: expected + 1, write_id, value });
        }
        response::text(StatusCode::OK, "written")
    }
}
