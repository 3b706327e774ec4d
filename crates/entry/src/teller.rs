//! Tells the caller of a model request its answer, streamed or whole.

use std::time;

use bytes::Bytes;
use hyper::{Response, StatusCode, header};

use rhubarb_core::outcome;
use rhubarb_node::{clock, responder, response};

use crate::{openai, refuse, request_id};

/// Longest time to tell a caller that its stream broke.
const LAST_WORD: time::Duration = time::Duration::from_secs(1);

/// The caller's side of a model request.
#[derive(Debug)]
pub(crate) struct Teller {
    pub(crate) reply: responder::Responder,
    style: openai::Style,
    stream: bool,
    text: String,
}

impl Teller {
    pub(crate) fn new(reply: responder::Responder, style: openai::Style, stream: bool) -> Teller {
        Teller { reply, style, stream, text: String::new() }
    }

    /// Tells one token; false if the caller is gone.
    pub(crate) async fn token(&mut self, token: &str, deadline: time::Instant) -> bool {
        if !self.stream {
            self.text.push_str(token);
            return true;
        }
        self.begin();
        let event = Bytes::from(self.style.event(token));
        self.reply.send(event, deadline).await
    }

    fn begin(&mut self) {
        if self.reply.has_started() {
            return;
        }
        let mut head = Response::new(());
        let headers = head.headers_mut();
        let kind = header::HeaderValue::from_static("text/event-stream");
        headers.insert(header::CONTENT_TYPE, kind);
        let no_cache = header::HeaderValue::from_static("no-cache");
        headers.insert(header::CACHE_CONTROL, no_cache);
        request_id::insert(headers, &self.style.id);
        self.reply.start_stream(head);
    }

    /// Ends a whole answer; false if the caller is gone.
    pub(crate) async fn finish(
        &mut self,
        reason: &str,
        usage: openai::Usage,
        deadline: time::Instant,
    ) -> bool {
        if self.stream {
            self.begin();
            let event = Bytes::from(self.style.last_event(reason));
            return self.reply.send(event, deadline).await;
        }
        let body = self.style.whole(&self.text, reason, usage);
        self.answer(response::json(StatusCode::OK, &body));
        true
    }

    /// Tells that the request was refused or failed; a stream that has begun is broken off.
    pub(crate) async fn refuse(&mut self, refusal: outcome::Refusal) {
        if !self.reply.has_started() {
            return self.answer(refuse::answer(refusal, None));
        }
        let event = format!("data: {}\n\n", refuse::body(refusal, None));
        self.reply.send(event.into(), clock::now() + LAST_WORD).await;
        self.reply.abort(refusal.reason.name()).await;
    }

    fn answer(&mut self, mut response: Response<response::Body>) {
        request_id::insert(response.headers_mut(), &self.style.id);
        self.reply.respond(response);
    }
}
