//! Whole events of one server's stream.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body;

use rhubarb_core::sse;

/// A stream being read.
#[derive(Debug)]
pub(crate) struct Reader {
    body: body::Incoming,
    scanner: sse::Decoder,
}

/// What comes next on a stream.
#[derive(Debug)]
pub(crate) enum Piece {
    /// A whole event.
    Event(sse::Event),
    /// The stream ended behind a whole event.
    End,
    /// The stream broke off, or ended within an event.
    Broken(String),
}

impl Reader {
    pub(crate) fn new(body: body::Incoming) -> Reader {
        Reader { body, scanner: sse::Decoder::default() }
    }

    /// Waits for the next piece; dropping the wait loses nothing.
    pub(crate) async fn next(&mut self) -> Piece {
        loop {
            if let Some(event) = self.scanner.next_event() {
                return Piece::Event(event);
            }
            match self.next_bytes().await {
                Some(Ok(bytes)) => self.scanner.push(&bytes),
                Some(Err(err)) => return Piece::Broken(err.to_string()),
                None if self.scanner.is_partial() => {
                    return Piece::Broken("the stream ended within an event".to_string());
                }
                None => return Piece::End,
            }
        }
    }

    async fn next_bytes(&mut self) -> Option<hyper::Result<Bytes>> {
        let frame = self.body.frame().await?;
        Some(frame.map(|frame| frame.into_data().unwrap_or_default()))
    }
}
