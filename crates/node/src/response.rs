//! Response bodies and simple HTTP responses.

use std::{convert, fmt, io, pin, sync, sync::atomic, task};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited, combinators};
use hyper::{Response, StatusCode, body, header};
use tokio::sync::mpsc;

/// Response body.
pub type Body = combinators::BoxBody<Bytes, io::Error>;

/// Returns a body with the given content.
pub fn full(content: impl Into<Bytes>) -> Body {
    Full::new(content.into()).map_err(|never: convert::Infallible| match never {}).boxed()
}

/// Returns a body that streams the chunks from `receiver`; it ends when all senders are dropped,
/// and an error aborts the connection.
pub fn stream(receiver: mpsc::Receiver<io::Result<Bytes>>) -> Body {
    stream_until(receiver, sync::Arc::new(atomic::AtomicBool::new(true)))
}

/// Returns a body like [`stream`] that ends as complete only if `is_complete` is set by then.
pub fn stream_until(
    receiver: mpsc::Receiver<io::Result<Bytes>>,
    is_complete: sync::Arc<atomic::AtomicBool>,
) -> Body {
    ChannelBody { receiver, is_complete }.boxed()
}

struct ChannelBody {
    receiver: mpsc::Receiver<io::Result<Bytes>>,
    is_complete: sync::Arc<atomic::AtomicBool>,
}

impl body::Body for ChannelBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<io::Result<body::Frame<Bytes>>>> {
        let chunk = task::ready!(self.receiver.poll_recv(cx));
        let is_cut = chunk.is_none() && !self.is_complete.swap(true, atomic::Ordering::AcqRel);
        let cut = is_cut.then(|| Err(io::Error::other("the answer was given up")));
        task::Poll::Ready(chunk.or(cut).map(|chunk| chunk.map(body::Frame::data)))
    }
}

/// Returns a plain-text response.
pub fn text(status: StatusCode, content: impl Into<Bytes>) -> Response<Body> {
    with_type(status, "text/plain; charset=utf-8", content)
}

/// Returns a JSON response.
pub fn json(status: StatusCode, content: &serde_json::Value) -> Response<Body> {
    with_type(status, "application/json", content.to_string())
}

fn with_type(
    status: StatusCode,
    content_type: &'static str,
    content: impl Into<Bytes>,
) -> Response<Body> {
    let mut response = Response::new(full(content));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, header::HeaderValue::from_static(content_type));
    response
}

/// Reason why a body was not read to its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// It is larger than this number of bytes.
    TooLarge(usize),
    /// It ended early.
    Interrupted(String),
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BodyError::TooLarge(limit) => write!(f, "the body exceeds {limit} bytes"),
            BodyError::Interrupted(err) => write!(f, "the body ended early: {err}"),
        }
    }
}

impl std::error::Error for BodyError {}

/// Reads a whole body.
///
/// # Errors
/// Returns an error if the body exceeds `limit` bytes or ends early.
pub async fn read_body<B>(body: B, limit: usize) -> Result<Bytes, BodyError>
where
    B: body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    match Limited::new(body, limit).collect().await {
        Ok(whole) => Ok(whole.to_bytes()),
        Err(err) if err.is::<http_body_util::LengthLimitError>() => Err(BodyError::TooLarge(limit)),
        Err(err) => Err(BodyError::Interrupted(err.to_string())),
    }
}
