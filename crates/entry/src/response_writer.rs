//! Writes the response of a model request, streamed or as one body.

use std::time;

use bytes::Bytes;
use hyper::{Response, StatusCode, header};

use rhubarb_core::outcome;
use rhubarb_node::{clock, responder, response};

use crate::{openai, refuse, request_id};

/// Time limit for sending the error event of an aborted stream.
const ERROR_EVENT_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Writes the response of one model request.
#[derive(Debug)]
pub(crate) struct ResponseWriter {
    pub(crate) responder: responder::Responder,
    encoder: openai::Encoder,
    stream: bool,
    text: String,
}

impl ResponseWriter {
    pub(crate) fn new(
        responder: responder::Responder,
        encoder: openai::Encoder,
        stream: bool,
    ) -> ResponseWriter {
        ResponseWriter { responder, encoder, stream, text: String::new() }
    }

    /// Writes one token; a stream waits until `deadline` for a slow caller.
    pub(crate) async fn write_token(
        &mut self,
        token: &str,
        deadline: time::Instant,
    ) -> responder::SendOutcome {
        if !self.stream {
            self.text.push_str(token);
            return responder::SendOutcome::Sent;
        }
        self.start_stream();
        let event = Bytes::from(self.encoder.token_event(token));
        self.responder.send(event, deadline).await
    }

    fn start_stream(&mut self) {
        if self.responder.has_started() {
            return;
        }
        let mut head = Response::new(());
        let headers = head.headers_mut();
        let content_type = header::HeaderValue::from_static("text/event-stream");
        headers.insert(header::CONTENT_TYPE, content_type);
        let no_cache = header::HeaderValue::from_static("no-cache");
        headers.insert(header::CACHE_CONTROL, no_cache);
        request_id::insert(headers, &self.encoder.id);
        self.responder.start_stream(head);
    }

    /// Completes the response; a stream waits until `deadline` for a slow caller.
    pub(crate) async fn finish(
        &mut self,
        reason: &str,
        usage: openai::Usage,
        deadline: time::Instant,
    ) -> responder::SendOutcome {
        if self.stream {
            self.start_stream();
            let event = Bytes::from(self.encoder.last_event(reason));
            let sent = self.responder.send(event, deadline).await;
            if sent == responder::SendOutcome::Sent {
                self.responder.finish();
            }
            return sent;
        }
        let body = self.encoder.json_body(&self.text, reason, usage);
        self.respond(response::json(StatusCode::OK, &body));
        responder::SendOutcome::Sent
    }

    /// Reports that the request was refused or failed.
    ///
    /// A stream that has started gets an error event and is aborted.
    pub(crate) async fn refuse(&mut self, refusal: outcome::Refusal) {
        if !self.responder.has_started() {
            return self.respond(refuse::error_response(refusal, None));
        }
        let event = format!("data: {}\n\n", refuse::error_body(refusal, None));
        self.responder.send(event.into(), clock::now() + ERROR_EVENT_TIMEOUT).await;
        self.responder.abort(refusal.reason.name()).await;
    }

    fn respond(&mut self, mut response: Response<response::Body>) {
        request_id::insert(response.headers_mut(), &self.encoder.id);
        self.responder.respond(response);
    }
}
