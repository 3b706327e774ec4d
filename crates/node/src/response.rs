//! Bodies and simple HTTP answers.

use std::{convert, io, pin, task};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited, combinators};
use hyper::{Response, StatusCode, body, header};
use tokio::sync::mpsc;

/// Body of an answer.
pub type Body = combinators::BoxBody<Bytes, io::Error>;

/// Makes a body of known content.
pub fn full(content: impl Into<Bytes>) -> Body {
    let never = |never: convert::Infallible| match never {};
    Full::new(content.into()).map_err(never).boxed()
}

/// Makes a body of the pieces that come from `receiver`; it ends when all senders are dropped,
/// and breaks the connection off at an error.
pub fn stream(receiver: mpsc::Receiver<io::Result<Bytes>>) -> Body {
    ChannelBody { receiver }.boxed()
}

struct ChannelBody {
    receiver: mpsc::Receiver<io::Result<Bytes>>,
}

impl body::Body for ChannelBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<io::Result<body::Frame<Bytes>>>> {
        self.receiver.poll_recv(cx).map(|piece| piece.map(|piece| piece.map(body::Frame::data)))
    }
}

/// Answer in plain text.
pub fn text(status: StatusCode, content: impl Into<Bytes>) -> Response<Body> {
    with_type(status, "text/plain; charset=utf-8", content)
}

/// Answer in JSON.
pub fn json(status: StatusCode, content: &serde_json::Value) -> Response<Body> {
    with_type(status, "application/json", content.to_string())
}

fn with_type(status: StatusCode, kind: &'static str, content: impl Into<Bytes>) -> Response<Body> {
    let mut answer = Response::new(full(content));
    *answer.status_mut() = status;
    answer.headers_mut().insert(header::CONTENT_TYPE, header::HeaderValue::from_static(kind));
    answer
}

/// Reads a whole body of at most `limit` bytes; `None` if it is longer or broken off.
pub async fn read_body<B>(body: B, limit: usize) -> Option<Bytes>
where
    B: body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let whole = Limited::new(body, limit).collect().await.ok()?;
    Some(whole.to_bytes())
}
