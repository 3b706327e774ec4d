//! What the drivers of model and plain requests share: the caller's side and the waiting.

use std::{io, time};

use bytes::Bytes;
use hyper::Response;
use tokio::sync::{mpsc, oneshot};

use rhubarb_node::answer;

use crate::peer;

const PIECES: usize = 16;

/// The caller's side of a request.
#[derive(Debug)]
pub(crate) struct Reply {
    head: Option<oneshot::Sender<Response<answer::Body>>>,
    body: Option<mpsc::Sender<io::Result<Bytes>>>,
}

/// Result of waiting for a run.
#[derive(Debug)]
pub(crate) enum Waited {
    /// The run has an event.
    Event(peer::Event),
    /// The caller closed its connection.
    Gone,
    /// The deadline passed.
    Expired,
}

impl Reply {
    /// Makes the two sides of a reply.
    pub(crate) fn new() -> (Reply, oneshot::Receiver<Response<answer::Body>>) {
        let (head, receiver) = oneshot::channel();
        (Reply { head: Some(head), body: None }, receiver)
    }

    /// Whether the answer has begun.
    pub(crate) fn has_begun(&self) -> bool {
        self.head.is_none()
    }

    /// Gives the whole answer.
    pub(crate) fn answer(&mut self, response: Response<answer::Body>) {
        if let Some(head) = self.head.take() {
            let _ = head.send(response);
        }
    }

    /// Begins an answer whose body follows in pieces.
    pub(crate) fn begin(&mut self, mut response: Response<()>) {
        let (sender, receiver) = mpsc::channel(PIECES);
        let headers = std::mem::take(response.headers_mut());
        let mut answer = Response::new(answer::stream(receiver));
        *answer.status_mut() = response.status();
        *answer.headers_mut() = headers;
        self.body = Some(sender);
        self.answer(answer);
    }

    /// Sends a piece; false if the caller is gone or does not read until `deadline`.
    pub(crate) async fn send(&self, bytes: Bytes, deadline: time::Instant) -> bool {
        let Some(body) = &self.body else { return false };
        let sending = body.send(Ok(bytes));
        let sent = tokio::time::timeout_at(deadline.into(), sending).await;
        matches!(sent, Ok(Ok(())))
    }

    /// Breaks the answer off, so that the caller cannot take it for whole.
    pub(crate) async fn break_off(&mut self, why: &str) {
        if let Some(body) = self.body.take() {
            let _ = body.try_send(Err(io::Error::other(why.to_string())));
        }
    }

    /// Waits until the caller is gone.
    pub(crate) async fn gone(&mut self) {
        if let Some(head) = &mut self.head {
            head.closed().await;
        } else if let Some(body) = &self.body {
            body.closed().await;
        }
    }

    /// Waits for the next event of `run`, while the caller is there and the deadline ahead.
    pub(crate) async fn wait(&mut self, run: &mut peer::Run, deadline: time::Instant) -> Waited {
        tokio::select! {
            biased;
            event = run.next() => Waited::Event(event),
            () = self.gone() => Waited::Gone,
            () = tokio::time::sleep_until(deadline.into()) => Waited::Expired,
        }
    }
}
