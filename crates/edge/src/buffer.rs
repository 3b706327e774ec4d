//! Memory for the bodies of responses, bounded for the whole process.

use std::{fmt, sync};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body;
use tokio::sync as tokio_sync;

/// Memory for bodies that are being read; clones share it.
#[derive(Clone, Debug)]
pub(crate) struct Buffers {
    free: sync::Arc<tokio_sync::Semaphore>,
}

/// Reason why a body was not read to its end.
#[derive(Debug)]
pub(crate) enum ReadError {
    /// It exceeds this number of bytes.
    TooLarge(usize),
    /// All memory for large bodies is in use.
    NoMemory,
    /// It ended early.
    Interrupted(hyper::Error),
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReadError::TooLarge(limit) => write!(f, "the body exceeds {limit} bytes"),
            ReadError::NoMemory => f.write_str("too many large bodies are being read"),
            ReadError::Interrupted(err) => write!(f, "the body ended early: {err}"),
        }
    }
}

/// Size up to which a body needs no memory of the common part, in bytes; most are smaller.
const SMALL_BYTES: usize = 64 * 1024;
/// Memory for larger bodies, in bytes: a quarter of that of the smallest instance (88 MB).
const LARGE_BYTES: usize = 22 * 1024 * 1024;

impl Buffers {
    pub(crate) fn new() -> Buffers {
        Buffers { free: sync::Arc::new(tokio_sync::Semaphore::new(LARGE_BYTES)) }
    }

    /// Reads a whole body of at most `limit` bytes.
    pub(crate) async fn read(
        &self,
        mut body: body::Incoming,
        limit: usize,
    ) -> Result<Bytes, ReadError> {
        let mut buffer = BytesMut::new();
        // Released when the body has been read.
        let mut reserved = Vec::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(ReadError::Interrupted)?;
            let Ok(data) = frame.into_data() else { continue };
            let length = buffer.len() + data.len();
            if length > limit {
                return Err(ReadError::TooLarge(limit));
            }
            if length > SMALL_BYTES {
                let count = u32::try_from(data.len()).map_err(|_| ReadError::NoMemory)?;
                let permit = self.free.try_acquire_many(count).map_err(|_| ReadError::NoMemory)?;
                reserved.push(permit);
            }
            buffer.extend_from_slice(&data);
        }
        Ok(buffer.freeze())
    }
}
