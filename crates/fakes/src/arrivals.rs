//! What arrived at a fake backend server, and when.

use std::time;

use bytes::Bytes;
use hyper::{HeaderMap, Method, Request};

use rhubarb_node::clock;

use crate::replies;

/// Header that names the customer of a request.
const CUSTOMER: &str = "x-tenant";

/// A request of any kind that reached a server.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When it arrived.
    pub at: time::Instant,
    /// Start of the server that it reached, counted as in `Backend::born`.
    pub born: u64,
    /// Attempt id; empty if the request carries none, like those for holds and orders.
    pub attempt: String,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Name of the caller's customer; `None` if it names none.
    pub customer: Option<String>,
    /// Whether it carries the key of a customer.
    pub has_key: bool,
    /// Whether it was rejected with status 421.
    pub misdirected: bool,
    /// Time until which the answer asked for a pause, if it was a rejection with `Retry-After`.
    pub paused_until: Option<time::Instant>,
}

impl Arrival {
    /// Whether it asks for work: all but reports, health checks and what frees memory.
    pub fn is_work(&self) -> bool {
        self.method != Method::DELETE && !["/v1/report", "/health"].contains(&&*self.target)
    }

    /// Arrival of `request` now, at a server in its start `born`.
    pub(crate) fn new<B>(request: &Request<B>, born: u64) -> Arrival {
        let names_customer = request.headers().contains_key(CUSTOMER);
        Arrival {
            at: clock::now(),
            born,
            attempt: replies::header_text(request.headers(), replies::ATTEMPT_ID),
            method: request.method().clone(),
            target: request.uri().to_string(),
            customer: names_customer.then(|| replies::header_text(request.headers(), CUSTOMER)),
            has_key: request.headers().contains_key("x-key"),
            misdirected: false,
            paused_until: None,
        }
    }
}

/// An executed request, as the server received it.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// Path and query.
    pub target: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}
