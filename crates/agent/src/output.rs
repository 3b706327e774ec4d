//! Answer of one run, kept so that it can be sent again from any position.

use std::sync;

use tokio::sync::watch;

use rhubarb_core::{ids, outcome};
use rhubarb_node::locks;
use rhubarb_wire::{chunk, message, offer};

/// Answer being produced.
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
    // Bytes that are counted as kept for an idempotency key.
    kept: usize,
}

/// End of an answer.
#[derive(Clone, Copy, Debug)]
pub(crate) enum End {
    /// The answer is whole.
    Whole,
    /// The run was refused or failed.
    Refused(outcome::Refusal),
}

/// Most bytes of an answer that an agent keeps.
pub(crate) const MAX_BYTES: usize = 16 * 1024 * 1024;
const CHUNK_BYTES: usize = 64 * 1024;

impl Output {
    pub(crate) fn new() -> sync::Arc<Output> {
        let (changed, _) = watch::channel(());
        sync::Arc::new(Output { buffer: sync::Mutex::default(), changed })
    }

    /// Makes the output of a run of the process before.
    pub(crate) fn restored(status: u16, headers: Vec<offer::Header>, bytes: Vec<u8>) -> Output {
        let (changed, _) = watch::channel(());
        let head = Some((status, headers));
        let buffer = Buffer { head, bytes, end: Some(End::Whole), kept: 0 };
        Output { buffer: sync::Mutex::new(buffer), changed }
    }

    pub(crate) fn set_head(&self, status: u16, headers: Vec<offer::Header>) {
        self.lock().head = Some((status, headers));
        self.changed.send_replace(());
    }

    /// Appends a piece; false if the answer became too long.
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

    /// Ends the answer; only the first end counts.
    pub(crate) fn finish(&self, end: End) {
        self.lock().end.get_or_insert(end);
        self.changed.send_replace(());
    }

    /// Marks the answer as kept for its key and returns its size.
    pub(crate) fn keep(&self) -> usize {
        let mut buffer = self.lock();
        buffer.kept = buffer.bytes.len();
        buffer.kept
    }

    /// Bytes that are counted as kept.
    pub(crate) fn kept_bytes(&self) -> usize {
        self.lock().kept
    }

    /// Status, headers and bytes of a whole answer.
    pub(crate) fn whole(&self) -> Option<(u16, Vec<offer::Header>, Vec<u8>)> {
        let buffer = self.lock();
        let (status, headers) = buffer.head.clone()?;
        matches!(buffer.end, Some(End::Whole)).then(|| (status, headers, buffer.bytes.clone()))
    }

    /// Waits until something follows `cursor` and returns it; `None` after the end.
    pub(crate) async fn next(
        &self,
        run: ids::RunId,
        cursor: &mut Cursor,
    ) -> Option<message::ToEntry> {
        let mut changed = self.changed.subscribe();
        loop {
            changed.mark_unchanged();
            if cursor.ended {
                return None;
            }
            if let Some(notice) = self.poll(run, cursor) {
                return Some(notice);
            }
            changed.changed().await.ok()?;
        }
    }

    fn poll(&self, run: ids::RunId, cursor: &mut Cursor) -> Option<message::ToEntry> {
        let buffer = self.lock();
        if let (false, Some((status, headers))) = (cursor.head, &buffer.head) {
            cursor.head = true;
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
        cursor.ended = true;
        Some(match end {
            End::Whole => {
                message::ToEntry::End(message::End { run, length: buffer.bytes.len() as u64 })
            }
            End::Refused(refusal) => message::ToEntry::Refused(message::Refused { run, refusal }),
        })
    }

    fn lock(&self) -> sync::MutexGuard<'_, Buffer> {
        locks::lock(&self.buffer)
    }
}

/// How much of an answer one entry has been sent.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Cursor {
    offset: u64,
    head: bool,
    ended: bool,
}

impl Cursor {
    /// Cursor of an entry that has the first `offset` bytes.
    pub(crate) fn at(offset: u64) -> Cursor {
        Cursor { offset, ..Cursor::default() }
    }
}
