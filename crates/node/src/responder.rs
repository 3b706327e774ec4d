//! The caller's side of a request, and waiting while the caller is there.

use std::{io, time};

use bytes::Bytes;
use hyper::Response;
use tokio::sync::{mpsc, oneshot};

use crate::response;

/// Pieces that may wait for a caller that reads slowly.
const MAX_CHUNKS: usize = 16;

/// The caller's side of a request.
#[derive(Debug)]
pub struct Responder {
    head: Option<oneshot::Sender<Response<response::Body>>>,
    body: Option<mpsc::Sender<io::Result<Bytes>>>,
}

/// Result of waiting for an event.
#[derive(Debug)]
pub enum WaitOutcome<T> {
    /// The event.
    Event(T),
    /// The caller closed its connection.
    Disconnected,
    /// The deadline passed.
    Expired,
}

impl Responder {
    /// Makes the two sides of a reply.
    pub fn new() -> (Responder, oneshot::Receiver<Response<response::Body>>) {
        let (head, receiver) = oneshot::channel();
        (Responder { head: Some(head), body: None }, receiver)
    }

    /// Whether the answer has begun.
    pub fn has_started(&self) -> bool {
        self.head.is_none()
    }

    /// Gives the whole answer.
    pub fn respond(&mut self, response: Response<response::Body>) {
        if let Some(head) = self.head.take() {
            let _ = head.send(response);
        }
    }

    /// Begins an answer whose body follows in pieces.
    pub fn start_stream(&mut self, response: Response<()>) {
        let (sender, receiver) = mpsc::channel(MAX_CHUNKS);
        self.body = Some(sender);
        self.respond(response.map(|()| response::stream(receiver)));
    }

    /// Sends a piece; false if the caller is gone or does not read until `deadline`.
    pub async fn send(&self, bytes: Bytes, deadline: time::Instant) -> bool {
        let Some(body) = &self.body else { return false };
        let sending = body.send(Ok(bytes));
        let sent = tokio::time::timeout_at(deadline.into(), sending).await;
        matches!(sent, Ok(Ok(())))
    }

    /// Breaks the answer off, so that the caller cannot take it for whole.
    pub async fn abort(&mut self, why: &str) {
        if let Some(body) = self.body.take() {
            let _ = body.try_send(Err(io::Error::other(why.to_string())));
        }
    }

    /// Waits until the caller is gone.
    pub async fn closed(&mut self) {
        if let Some(head) = &mut self.head {
            head.closed().await;
        } else if let Some(body) = &self.body {
            body.closed().await;
        }
    }

    /// Waits for `event`, while the caller is there and the deadline ahead.
    pub async fn wait<T>(
        &mut self,
        event: impl Future<Output = T>,
        deadline: time::Instant,
    ) -> WaitOutcome<T> {
        tokio::select! {
            biased;
            event = event => WaitOutcome::Event(event),
            () = self.closed() => WaitOutcome::Disconnected,
            () = tokio::time::sleep_until(deadline.into()) => WaitOutcome::Expired,
        }
    }
}
