//! What happens on one connection of a server.

use std::{io, pin, sync, task, time};

use hyper::{body, http};
use tokio::{io as tokio_io, net, sync as tokio_sync};

use crate::{clock, locks, response};

/// Whether a connection waits for a request, and since when.
#[derive(Debug)]
pub(crate) struct Activity {
    phase: sync::Mutex<Phase>,
    closed: tokio_sync::Notify,
}

#[derive(Debug)]
struct Phase {
    // When it was accepted, an answer was written or a head began to arrive.
    since: time::Instant,
    // Whether bytes of the next request have arrived.
    has_bytes: bool,
    // Whether a request is being answered.
    is_answering: bool,
    // Whether all bytes of the answers have been passed to the system.
    is_written: bool,
    is_closing: bool,
    // Whether an answer whose end only the end of the connection marks has been given up.
    is_broken: bool,
}

/// Time for which a connection without a request is kept, for a caller that has just opened it or has
/// just been answered.
const MIN_IDLE: time::Duration = time::Duration::from_secs(1);
/// Time within which the head of a request has to arrive where others need the connection.
const MAX_HEAD_TIME: time::Duration = time::Duration::from_secs(3);

impl Activity {
    pub(crate) fn new(now: time::Instant) -> Activity {
        let phase = Phase {
            since: now,
            has_bytes: false,
            is_answering: false,
            is_written: true,
            is_closing: false,
            is_broken: false,
        };
        Activity { phase: sync::Mutex::new(phase), closed: tokio_sync::Notify::new() }
    }

    /// Since when the connection waits for a request, if it may be closed.
    pub(crate) fn idle_since(&self, now: time::Instant) -> Option<time::Instant> {
        let phase = locks::lock(&self.phase);
        let least = if phase.has_bytes { MAX_HEAD_TIME } else { MIN_IDLE };
        let is_idle = !phase.is_answering && phase.is_written && !phase.is_closing;
        (is_idle && now >= phase.since + least).then_some(phase.since)
    }

    /// Tells the connection to close.
    pub(crate) fn close(&self) {
        locks::lock(&self.phase).is_closing = true;
        self.closed.notify_one();
    }

    pub(crate) fn is_closing(&self) -> bool {
        locks::lock(&self.phase).is_closing
    }

    /// Waits until the connection is to be closed and has no request in progress.
    pub(crate) async fn wait_closed(&self) {
        loop {
            self.closed.notified().await;
            let phase = locks::lock(&self.phase);
            if !phase.is_answering && phase.is_written {
                return;
            }
        }
    }

    fn is_broken(&self) -> bool {
        locks::lock(&self.phase).is_broken
    }

    fn record_read(&self) {
        let mut phase = locks::lock(&self.phase);
        if !phase.has_bytes && !phase.is_answering {
            (phase.has_bytes, phase.since) = (true, clock::now());
        }
    }

    fn record_write(&self) {
        locks::lock(&self.phase).is_written = false;
    }

    fn record_flush(&self) {
        let mut phase = locks::lock(&self.phase);
        if !std::mem::replace(&mut phase.is_written, true) {
            phase.since = clock::now();
            if phase.is_closing {
                self.closed.notify_one();
            }
        }
    }

    /// Records that a request has been read; it is in progress until the value returned is dropped.
    pub(crate) fn begin(self: &sync::Arc<Activity>) -> Answering {
        let mut phase = locks::lock(&self.phase);
        (phase.is_answering, phase.has_bytes) = (true, false);
        Answering(self.clone())
    }
}

/// A request in progress.
#[derive(Debug)]
pub(crate) struct Answering(sync::Arc<Activity>);

impl Drop for Answering {
    fn drop(&mut self) {
        let mut phase = locks::lock(&self.0.phase);
        (phase.is_answering, phase.since) = (false, clock::now());
        if phase.is_closing {
            self.0.closed.notify_one();
        }
    }
}

/// Body of an answer; the request is in progress until it ends.
#[derive(Debug)]
pub(crate) struct Body {
    body: response::Body,
    answering: Answering,
    // Whether it ends with its connection, and has not.
    is_open: bool,
}

impl Body {
    /// Creates the body of an answer to a request of this version.
    pub(crate) fn new(body: response::Body, answering: Answering, version: http::Version) -> Body {
        let is_sized = body::Body::size_hint(&body).exact().is_some();
        Body { body, answering, is_open: version < http::Version::HTTP_11 && !is_sized }
    }
}

impl Drop for Body {
    fn drop(&mut self) {
        if self.is_open {
            locks::lock(&self.answering.0.phase).is_broken = true;
        }
    }
}

impl body::Body for Body {
    type Data = bytes::Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<io::Result<body::Frame<bytes::Bytes>>>> {
        let frame = task::ready!(pin::Pin::new(&mut self.body).poll_frame(cx));
        if frame.is_none() {
            self.is_open = false;
        }
        task::Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> body::SizeHint {
        self.body.size_hint()
    }
}

/// Socket of a caller that records what passes through it.
#[derive(Debug)]
pub(crate) struct Socket {
    pub(crate) stream: net::TcpStream,
    pub(crate) activity: sync::Arc<Activity>,
}

impl Drop for Socket {
    fn drop(&mut self) {
        // A reset tells a caller of HTTP/1.0 that the answer is not complete.
        if self.activity.is_broken()
            && let Err(err) = self.stream.set_zero_linger()
        {
            tracing::warn!(%err, "http: connection not reset after an answer was given up");
        }
    }
}

impl tokio_io::AsyncRead for Socket {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &mut tokio_io::ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = pin::Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.activity.record_read();
        }
        result
    }
}

impl tokio_io::AsyncWrite for Socket {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        self.activity.record_write();
        pin::Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        self.activity.record_write();
        pin::Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    // The HTTP library flushes once it has written all that it has buffered.
    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        let result = pin::Pin::new(&mut self.stream).poll_flush(cx);
        if result.is_ready() {
            self.activity.record_flush();
        }
        result
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
