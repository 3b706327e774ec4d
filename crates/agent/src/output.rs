//! Response of one run, buffered so that it can be resent from any offset.

use std::sync;

use tokio::sync::watch;

use rhubarb_core::{ids, outcome};
use rhubarb_node::locks;
use rhubarb_wire::{chunk, message, offer};

/// Response of a run, complete or still growing.
#[derive(Debug)]
pub(crate) struct Output {
    buffer: sync::Mutex<Buffer>,
    changed: watch::Sender<()>,
}

#[derive(Debug, Default)]
struct Buffer {
    head: Option<(u16, Vec<offer::Header>)>,
    bytes: Vec<u8>,
    end: Option<End>,
    // Bytes counted as kept for an idempotency key.
    kept_bytes: usize,
}

/// End of a response.
#[derive(Clone, Copy, Debug)]
pub(crate) enum End {
    /// The response is complete.
    Complete,
    /// The run was refused or failed.
    Refused(outcome::Refusal),
}

/// Maximum size of a response, in bytes.
pub(crate) const MAX_BYTES: usize = 16 * 1024 * 1024;
const CHUNK_BYTES: usize = 64 * 1024;

impl Output {
    pub(crate) fn new() -> sync::Arc<Output> {
        let (changed, _) = watch::channel(());
        sync::Arc::new(Output { buffer: sync::Mutex::default(), changed })
    }

    /// Creates the complete output of a run of the previous process.
    pub(crate) fn from_handover(
        status: u16,
        headers: Vec<offer::Header>,
        bytes: Vec<u8>,
    ) -> Output {
        let (changed, _) = watch::channel(());
        let head = Some((status, headers));
        let buffer = Buffer { head, bytes, end: Some(End::Complete), kept_bytes: 0 };
        Output { buffer: sync::Mutex::new(buffer), changed }
    }

    pub(crate) fn set_head(&self, status: u16, headers: Vec<offer::Header>) {
        self.lock().head = Some((status, headers));
        self.changed.send_replace(());
    }

    /// Appends a part of the body; false if the response would exceed `MAX_BYTES`.
    pub(crate) fn push(&self, bytes: &[u8]) -> bool {
        let mut buffer = self.lock();
        if buffer.bytes.len() + bytes.len() > MAX_BYTES {
            return false;
        }
        buffer.bytes.extend_from_slice(bytes);
        drop(buffer);
        self.changed.send_replace(());
        true
    }

    /// Ends the response; later ends are ignored.
    pub(crate) fn finish(&self, end: End) {
        self.lock().end.get_or_insert(end);
        self.changed.send_replace(());
    }

    /// Marks the response as kept for its idempotency key and returns its size in bytes.
    pub(crate) fn mark_kept(&self) -> usize {
        let mut buffer = self.lock();
        buffer.kept_bytes = buffer.bytes.len();
        buffer.kept_bytes
    }

    /// Bytes counted as kept for an idempotency key.
    pub(crate) fn kept_bytes(&self) -> usize {
        self.lock().kept_bytes
    }

    /// Status, headers and body of the response if it is complete.
    pub(crate) fn complete_response(&self) -> Option<(u16, Vec<offer::Header>, Vec<u8>)> {
        let buffer = self.lock();
        let (status, headers) = buffer.head.clone()?;
        matches!(buffer.end, Some(End::Complete)).then(|| (status, headers, buffer.bytes.clone()))
    }

    /// Waits for the next message after `cursor` and returns it; `None` after the end.
    pub(crate) async fn next(
        &self,
        run: ids::RunId,
        cursor: &mut Cursor,
    ) -> Option<message::ToEntry> {
        let mut changed = self.changed.subscribe();
        loop {
            changed.mark_unchanged();
            if cursor.end_sent {
                return None;
            }
            if let Some(message) = self.poll(run, cursor) {
                return Some(message);
            }
            changed.changed().await.ok()?;
        }
    }

    fn poll(&self, run: ids::RunId, cursor: &mut Cursor) -> Option<message::ToEntry> {
        let buffer = self.lock();
        if let (false, Some((status, headers))) = (cursor.head_sent, &buffer.head) {
            cursor.head_sent = true;
            let head = message::Head { run, status: *status, headers: headers.clone() };
            return Some(message::ToEntry::Head(head));
        }
        let rest = buffer.bytes.get(cursor.offset as usize..).unwrap_or_default();
        if !rest.is_empty() {
            let bytes = rest[..rest.len().min(CHUNK_BYTES)].to_vec();
            let offset = cursor.offset;
            cursor.offset += bytes.len() as u64;
            return Some(message::ToEntry::Chunk(chunk::Chunk { run, offset, bytes }));
        }
        let end = buffer.end?;
        cursor.end_sent = true;
        Some(match end {
            End::Complete => {
                message::ToEntry::End(message::End { run, length: buffer.bytes.len() as u64 })
            }
            End::Refused(refusal) => message::ToEntry::Refused(message::Refused { run, refusal }),
        })
    }

    fn lock(&self) -> sync::MutexGuard<'_, Buffer> {
        locks::lock(&self.buffer)
    }
}

/// How much of a response was sent to one entry.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Cursor {
    offset: u64,
    head_sent: bool,
    end_sent: bool,
}

impl Cursor {
    /// Cursor of an entry that has received the first `offset` bytes of the body.
    pub(crate) fn at(offset: u64) -> Cursor {
        Cursor { offset, ..Cursor::default() }
    }
}
