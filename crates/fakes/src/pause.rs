//! Pauses of a fake backend server, which rejects requests for a while and says for how long.

use std::time;

use hyper::{Response, header};

use rhubarb_node::{clock, response};

use crate::replies;

/// Pause of one server, and what arrives although the server asked for a pause.
#[derive(Debug, Default)]
pub(crate) struct Pause {
    until: Option<time::Instant>,
    // Value of `Retry-After`; the time left, unless given.
    retry: Option<String>,
    // Times in which no request is wanted, from the answers that asked for that.
    unwanted: Vec<Span>,
    /// Number of arrivals in these times.
    pub(crate) late: u64,
}

#[derive(Clone, Copy, Debug)]
struct Span {
    from: time::Instant,
    until: time::Instant,
}

/// Time after an answer with `Retry-After` in which requests may still be on their way.
pub const PAUSE_GRACE: time::Duration = time::Duration::from_millis(500);
/// Longest `Retry-After` that counts as a time, in seconds.
const MAX_RETRY_S: f64 = 3_600.0;

impl Pause {
    /// Rejects requests for `length` from now on.
    pub(crate) fn start(&mut self, length: time::Duration, retry: Option<&str>) {
        self.until = Some(clock::now() + length);
        self.retry = retry.map(str::to_string);
    }

    /// Counts an arrival.
    pub(crate) fn count(&mut self) {
        let now = clock::now();
        self.unwanted.retain(|span| span.until > now);
        self.late += u64::from(self.unwanted.iter().any(|span| span.from <= now));
    }

    /// Rejection to send now, and the time until which it asks for a pause; `None` when not paused.
    pub(crate) fn reject(&mut self) -> Option<(Response<response::Body>, time::Instant)> {
        let now = clock::now();
        let left = self.until.filter(|until| *until > now)? - now;
        let text = self.retry.clone().unwrap_or_else(|| format!("{:.3}", left.as_secs_f64()));
        let mut reply = replies::shed();
        reply.headers_mut().insert(header::RETRY_AFTER, replies::header_value(&text));
        let seconds = text.parse::<f64>().unwrap_or(0.0);
        // Not a number is no time either.
        let seconds = if seconds <= MAX_RETRY_S { seconds.max(0.0) } else { 0.0 };
        let until = now + time::Duration::from_secs_f64(seconds);
        self.unwanted.push(Span { from: now + PAUSE_GRACE, until });
        Some((reply, until))
    }
}
