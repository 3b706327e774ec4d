//! Fake of the instance list, whose changes become visible after a delay.

use std::{collections, sync, time};

use bytes::Bytes;
use hyper::{Method, Response, StatusCode};
use serde_json::json;

use rhubarb_node::{clock, instances, locks, response};

/// The instance list.
#[derive(Debug)]
pub struct Instances {
    lag: time::Duration,
    changes: sync::Mutex<Vec<Change>>,
}

#[derive(Debug)]
struct Change {
    visible_at: time::Instant,
    name: String,
    // `None` removes the instance.
    instance: Option<instances::Instance>,
}

impl Instances {
    /// Creates an empty list whose changes become visible after `lag`.
    pub fn new(lag: time::Duration) -> Instances {
        Instances { lag, changes: sync::Mutex::new(Vec::new()) }
    }

    /// Answers a call; `name` is empty for the whole list.
    pub fn call(&self, method: &Method, name: &str, body: &Bytes) -> Response<response::Body> {
        match *method {
            Method::GET => response::json(StatusCode::OK, &json!(self.visible())),
            Method::PUT => match serde_json::from_slice(body) {
                Ok(instance) => self.change(name, Some(instance)),
                Err(err) => response::text(StatusCode::BAD_REQUEST, err.to_string()),
            },
            Method::DELETE => self.change(name, None),
            _ => response::text(StatusCode::METHOD_NOT_ALLOWED, "use GET, PUT or DELETE"),
        }
    }

    fn change(
        &self,
        name: &str,
        instance: Option<instances::Instance>,
    ) -> Response<response::Body> {
        let mut changes = locks::lock(&self.changes);
        let visible_at = clock::now() + self.lag;
        changes.push(Change { visible_at, name: name.to_string(), instance });
        response::text(StatusCode::OK, "noted")
    }

    fn visible(&self) -> Vec<instances::Instance> {
        let now = clock::now();
        let changes = locks::lock(&self.changes);
        let mut visible = collections::BTreeMap::new();
        for change in changes.iter().filter(|change| change.visible_at <= now) {
            match &change.instance {
                Some(instance) => visible.insert(&change.name, instance.clone()),
                None => visible.remove(&change.name),
            };
        }
        visible.into_values().collect()
    }
}
