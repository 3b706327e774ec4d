//! Reads events from the stream of one server.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body;

use rhubarb_core::sse;

use crate::buffer;

/// Reader of a server's event stream.
#[derive(Debug)]
pub(crate) struct Reader {
    body: body::Incoming,
    decoder: sse::Decoder,
    // Bytes of events since the last one with data.
    empty_bytes: usize,
    // Memory of the incomplete event.
    account: buffer::Account,
}

/// Next item of a stream.
#[derive(Debug)]
pub(crate) enum Item {
    /// A complete event.
    Event(sse::Event),
    /// The stream ended after a complete event.
    End,
    /// The connection was lost, or the stream ended within an event.
    Interrupted(String),
}

/// Maximum size of an event, in bytes; those of engines have some hundreds.
const MAX_EVENT_BYTES: usize = 64 * 1024;
/// Maximum size of consecutive events without data, in bytes; servers send short ones to keep a
/// connection open.
const MAX_EMPTY_BYTES: usize = 16 * 1024;

impl Reader {
    pub(crate) fn new(body: body::Incoming, account: buffer::Account) -> Reader {
        Reader { body, decoder: sse::Decoder::default(), empty_bytes: 0, account }
    }

    /// Waits for the next item. Cancel safe: dropping the future loses no data.
    pub(crate) async fn next(&mut self) -> Item {
        loop {
            if let Some(event) = self.decoder.next_event() {
                self.empty_bytes =
                    if event.has_data() { 0 } else { self.empty_bytes + event.bytes.len() };
                if self.empty_bytes > MAX_EMPTY_BYTES {
                    return Item::Interrupted(format!("no data in {MAX_EMPTY_BYTES} bytes"));
                }
                return Item::Event(event);
            }
            if self.decoder.buffered() > MAX_EVENT_BYTES {
                return Item::Interrupted(format!("an event exceeds {MAX_EVENT_BYTES} bytes"));
            }
            match self.next_bytes().await {
                Some(Ok(bytes)) => {
                    self.decoder.push(&bytes);
                    if let Err(err) = self.account.set(self.decoder.memory()) {
                        return Item::Interrupted(err.to_string());
                    }
                }
                Some(Err(err)) => return Item::Interrupted(err.to_string()),
                None if self.decoder.is_partial() => {
                    return Item::Interrupted("the stream ended within an event".to_string());
                }
                None => return Item::End,
            }
        }
    }

    async fn next_bytes(&mut self) -> Option<hyper::Result<Bytes>> {
        let frame = self.body.frame().await?;
        Some(frame.map(|frame| frame.into_data().unwrap_or_default()))
    }
}
