//! Fake of the object store.

use std::{collections, sync};

use bytes::Bytes;
use hyper::{Method, Response, StatusCode};
use serde_json::json;

use rhubarb_node::{locks, response};

/// The object store.
#[derive(Debug, Default)]
pub struct Objects {
    objects: sync::Mutex<collections::BTreeMap<String, Bytes>>,
}

impl Objects {
    /// Answers a call for the object `name`.
    ///
    /// An empty name lists all objects, or those with a prefix if `query` is `prefix=PREFIX`.
    pub fn call(
        &self,
        method: &Method,
        name: &str,
        query: &str,
        body: Bytes,
    ) -> Response<response::Body> {
        let mut objects = locks::lock(&self.objects);
        match (method, name) {
            (&Method::GET, "") => {
                let prefix = query.strip_prefix("prefix=").unwrap_or_default();
                let names: Vec<_> = objects.keys().filter(|key| key.starts_with(prefix)).collect();
                response::json(StatusCode::OK, &json!(names))
            }
            (&Method::GET, _) => match objects.get(name) {
                Some(content) => response::text(StatusCode::OK, content.clone()),
                None => response::text(StatusCode::NOT_FOUND, "no such object"),
            },
            (&Method::PUT, _) => {
                objects.insert(name.to_string(), body);
                response::text(StatusCode::OK, "stored")
            }
            (&Method::DELETE, _) => {
                objects.remove(name);
                response::text(StatusCode::OK, "removed")
            }
            _ => response::text(StatusCode::METHOD_NOT_ALLOWED, "use GET, PUT or DELETE"),
        }
    }
}
