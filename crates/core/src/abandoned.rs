//! Requests that were given up before their servers answered.
//!
//! A server may crash by such a request just after its connection was closed, so that nothing is
//! lost with the crash itself.

use std::{collections, time};

use crate::{cause, ids};

/// Requests that were given up lately, by the process of their server.
#[derive(Clone, Debug, Default)]
pub struct Abandoned {
    requests: collections::VecDeque<Request>,
}

#[derive(Clone, Debug)]
struct Request {
    server: ids::ProcessTag,
    causes: Vec<cause::Cause>,
    sent_at: time::Instant,
    at: time::Instant,
}

/// Time after which a server no longer works on a request whose connection was closed.
pub const TTL: time::Duration = time::Duration::from_secs(1);
/// Maximum number of requests; the oldest are forgotten first.
pub const MAX_REQUESTS: usize = 1_024;

impl Abandoned {
    /// Records that a request with these causes, sent at `sent_at`, was given up at a server.
    pub fn record(
        &mut self,
        server: ids::ProcessTag,
        causes: Vec<cause::Cause>,
        sent_at: time::Instant,
        now: time::Instant,
    ) {
        self.expire(now);
        if self.requests.len() >= MAX_REQUESTS {
            self.requests.pop_front();
        }
        self.requests.push_back(Request { server, causes, sent_at, at: now });
    }

    /// Whether a request was given up lately at a server.
    pub fn contains(&self, server: ids::ProcessTag, now: time::Instant) -> bool {
        self.requests.iter().any(|request| request.server == server && now < request.at + TTL)
    }

    /// Removes the requests given up lately at a server, which has crashed. Returns their causes and
    /// when they were sent.
    pub fn take(
        &mut self,
        server: ids::ProcessTag,
        now: time::Instant,
    ) -> Vec<(Vec<cause::Cause>, time::Instant)> {
        self.expire(now);
        let (taken, left) =
            self.requests.drain(..).partition(|request: &Request| request.server == server);
        self.requests = left;
        let taken: collections::VecDeque<Request> = taken;
        taken.into_iter().map(|request| (request.causes, request.sent_at)).collect()
    }

    fn expire(&mut self, now: time::Instant) {
        while self.requests.front().is_some_and(|request| now >= request.at + TTL) {
            self.requests.pop_front();
        }
    }
}
