//! Sends the response to a caller, and waits for events while the caller stays connected.

use std::{io, sync, sync::atomic, time};

use bytes::Bytes;
use hyper::Response;
use tokio::sync::{mpsc, oneshot};

use crate::response;

/// Chunks buffered for a caller that reads slowly.
const MAX_CHUNKS: usize = 16;

/// Sends the response to one request.
#[derive(Debug)]
pub struct Responder {
    head: Option<oneshot::Sender<Response<response::Body>>>,
    body: Option<mpsc::Sender<io::Result<Bytes>>>,
    is_complete: sync::Arc<atomic::AtomicBool>,
}

/// Result of sending a chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// The chunk is buffered for the caller.
    Sent,
    /// The caller closed its connection, or no stream is open.
    Disconnected,
    /// The buffer stayed full until the deadline.
    Expired,
}

/// Result of waiting for an event.
#[derive(Debug)]
pub enum WaitOutcome<T> {
    /// The event occurred.
    Event(T),
    /// The caller closed its connection.
    Disconnected,
    /// The deadline passed.
    Expired,
}

impl Responder {
    /// Creates a responder and the receiver of its response.
    pub fn new() -> (Responder, oneshot::Receiver<Response<response::Body>>) {
        let (head, receiver) = oneshot::channel();
        let is_complete = sync::Arc::new(atomic::AtomicBool::new(false));
        (Responder { head: Some(head), body: None, is_complete }, receiver)
    }

    /// Whether the response has started.
    pub fn has_started(&self) -> bool {
        self.head.is_none()
    }

    /// Whether the caller has closed its connection, as far as that was read.
    pub fn is_disconnected(&self) -> bool {
        let is_head_unread = self.head.as_ref().is_some_and(oneshot::Sender::is_closed);
        is_head_unread || self.body.as_ref().is_some_and(mpsc::Sender::is_closed)
    }

    /// Sends a complete response; no effect once a response has started.
    pub fn respond(&mut self, response: Response<response::Body>) {
        if let Some(head) = self.head.take() {
            let _ = head.send(response);
        }
    }

    /// Starts a response whose body follows in chunks. It looks complete only after
    /// [`Responder::finish`], also if the responder is dropped.
    pub fn start_stream(&mut self, response: Response<()>) {
        let (sender, receiver) = mpsc::channel(MAX_CHUNKS);
        self.body = Some(sender);
        let is_complete = self.is_complete.clone();
        self.respond(response.map(|()| response::stream_until(receiver, is_complete)));
    }

    /// Sends a chunk, and waits until `deadline` while the buffer is full.
    pub async fn send(&self, bytes: Bytes, deadline: time::Instant) -> SendOutcome {
        let Some(body) = &self.body else { return SendOutcome::Disconnected };
        let sending = body.send(Ok(bytes));
        match tokio::time::timeout_at(deadline.into(), sending).await {
            Ok(Ok(())) => SendOutcome::Sent,
            Ok(Err(_)) => SendOutcome::Disconnected,
            Err(_) => SendOutcome::Expired,
        }
    }

    /// Ends a streamed response as complete.
    pub fn finish(&mut self) {
        self.is_complete.store(true, atomic::Ordering::Release);
        self.body = None;
    }

    /// Aborts a streamed response, so that the caller cannot mistake it for a complete one.
    pub async fn abort(&mut self, reason: &str) {
        if let Some(body) = self.body.take() {
            let _ = body.try_send(Err(io::Error::other(reason.to_string())));
        }
    }

    /// Waits until the caller disconnects.
    pub async fn closed(&mut self) {
        if let Some(head) = &mut self.head {
            head.closed().await;
        } else if let Some(body) = &self.body {
            body.closed().await;
        }
    }

    /// Waits for `event` until the caller disconnects or the deadline passes.
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
