//! Memory for what servers and callers send, bounded for the whole process.

use std::{fmt, sync};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body;
use tokio::sync as tokio_sync;

/// Memory for what servers or callers send beyond ordinary sizes; clones share it.
#[derive(Clone, Debug)]
pub(crate) struct Buffers {
    bytes: usize,
    free: sync::Arc<tokio_sync::Semaphore>,
}

/// Part of that memory that the head, the body or an event of one answer takes; given back when dropped.
#[derive(Debug)]
pub(crate) struct Account {
    free: sync::Arc<tokio_sync::Semaphore>,
    // Bytes that need no permit.
    small: usize,
    permit: Option<tokio_sync::OwnedSemaphorePermit>,
}

/// All memory for large bodies is in use.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NoMemory;

impl fmt::Display for NoMemory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("too many large bodies are held; check which servers or callers send them")
    }
}

/// Reason why a body was not read to its end.
#[derive(Debug)]
pub(crate) enum ReadError {
    /// It exceeds this number of bytes.
    TooLarge(usize),
    /// All memory for large bodies is in use.
    NoMemory(NoMemory),
    /// It ended early.
    Interrupted(hyper::Error),
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReadError::TooLarge(limit) => write!(f, "the body exceeds {limit} bytes"),
            ReadError::NoMemory(err) => err.fmt(f),
            ReadError::Interrupted(err) => write!(f, "the body ended early: {err}"),
        }
    }
}

// Body that is being read. One of unknown length is kept in blocks of one size: a buffer that grows would
// leave holes of all sizes to the allocator.
struct Blocks {
    blocks: Vec<BytesMut>,
    block_bytes: usize,
    length: usize,
}

impl Blocks {
    fn new(length: Option<u64>) -> Blocks {
        let known = length.and_then(|length| usize::try_from(length).ok());
        let block_bytes = known.map_or(BLOCK_BYTES, |length| length.clamp(1, MAX_KNOWN_BYTES));
        Blocks { blocks: Vec::new(), block_bytes, length: 0 }
    }

    fn push(&mut self, mut data: Bytes) {
        self.length += data.len();
        while !data.is_empty() {
            let room = self.blocks.last().map_or(0, |block| self.block_bytes - block.len());
            if room == 0 {
                self.blocks.push(BytesMut::with_capacity(self.block_bytes));
                continue;
            }
            let part = data.split_to(room.min(data.len()));
            self.blocks
                .iter_mut()
                .last()
                .into_iter()
                .for_each(|block| block.extend_from_slice(&part));
        }
    }

    // Memory while the blocks are joined.
    fn joining_bytes(&self) -> usize {
        if self.blocks.len() > 1 { 2 * self.length } else { self.length }
    }

    fn join(mut self) -> Bytes {
        if self.blocks.len() <= 1 {
            return self.blocks.pop().unwrap_or_default().freeze();
        }
        let mut whole = BytesMut::with_capacity(self.length);
        self.blocks.iter().for_each(|block| whole.extend_from_slice(block));
        whole.freeze()
    }
}

// Bytes with their account, which lasts as long as any clone of them.
struct Held {
    bytes: Bytes,
    _account: Account,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Size of the parts in which a body of unknown length is kept, in bytes.
const BLOCK_BYTES: usize = 4 * 1024;
/// Most bytes that are set aside for a body of known length at once; only those that arrive take memory.
const MAX_KNOWN_BYTES: usize = 16 * 1024 * 1024;
/// Size up to which a body and an incomplete event need no memory of the common part, in bytes. Most are
/// smaller.
const SMALL_BYTES: usize = 4 * 1024;
/// The same for a head: the buffer that each connection has.
const SMALL_HEAD_BYTES: usize = 8 * 1024;
/// The same for an event that waits for its caller; several may.
const SMALL_EVENT_BYTES: usize = 1024;
/// Memory for larger ones, in bytes: a quarter of that of the smallest instance (88 MB).
pub(crate) const LARGE_BYTES: usize = 22 * 1024 * 1024;

impl Buffers {
    /// Creates a pool of so many bytes.
    pub(crate) fn new(bytes: usize) -> Buffers {
        Buffers { bytes, free: sync::Arc::new(tokio_sync::Semaphore::new(bytes)) }
    }

    /// Number of bytes in use.
    pub(crate) fn used(&self) -> usize {
        self.bytes - self.free.available_permits()
    }

    /// Account of a body or an event that is being read.
    pub(crate) fn account(&self) -> Account {
        Account { free: self.free.clone(), small: SMALL_BYTES, permit: None }
    }

    /// Account of the heads on a connection.
    pub(crate) fn head_account(&self) -> Account {
        Account { small: SMALL_HEAD_BYTES, ..self.account() }
    }

    /// Keeps the account of an event until its caller has got it.
    pub(crate) fn keep_event(&self, event: Vec<u8>) -> Result<Bytes, NoMemory> {
        let bytes = Bytes::from(event);
        if bytes.len() <= SMALL_EVENT_BYTES {
            return Ok(bytes);
        }
        let mut account = Account { small: 0, ..self.account() };
        account.set(bytes.len())?;
        Ok(Bytes::from_owner(Held { bytes, _account: account }))
    }

    /// Reads a whole body of at most `limit` bytes, which keeps its account.
    pub(crate) async fn read(
        &self,
        body: &mut body::Incoming,
        limit: usize,
    ) -> Result<Bytes, ReadError> {
        let mut account = self.account();
        let mut blocks = Blocks::new(body::Body::size_hint(body).exact());
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(ReadError::Interrupted)?;
            let Ok(data) = frame.into_data() else { continue };
            if blocks.length + data.len() > limit {
                return Err(ReadError::TooLarge(limit));
            }
            account.set(blocks.length + data.len()).map_err(ReadError::NoMemory)?;
            blocks.push(data);
        }
        account.set(blocks.joining_bytes()).map_err(ReadError::NoMemory)?;
        let bytes = blocks.join();
        account.set(bytes.len()).map_err(ReadError::NoMemory)?;
        if account.permit.is_none() {
            return Ok(bytes);
        }
        Ok(Bytes::from_owner(Held { bytes, _account: account }))
    }
}

impl Account {
    /// Gives all memory back.
    pub(crate) fn release(&mut self) {
        self.permit = None;
    }

    /// Sets the number of bytes that are held.
    pub(crate) fn set(&mut self, bytes: usize) -> Result<(), NoMemory> {
        let bytes = bytes.saturating_sub(self.small);
        let held = self.permit.as_ref().map_or(0, |permit| permit.num_permits());
        if bytes == 0 {
            self.permit = None;
        } else if bytes < held {
            drop(self.permit.as_mut().and_then(|permit| permit.split(held - bytes)));
        } else if bytes > held {
            let count = u32::try_from(bytes - held).map_err(|_| NoMemory)?;
            let free = self.free.clone();
            let more = free.try_acquire_many_owned(count).map_err(|_| NoMemory)?;
            match &mut self.permit {
                Some(permit) => permit.merge(more),
                None => self.permit = Some(more),
            }
        }
        Ok(())
    }
}
