//! Socket to a server, with a bound on what is read before a response's head is complete.

use std::{
    io, pin, sync,
    sync::atomic,
    task::{self, ready},
};

use tokio::{io as tokio_io, net};

use rhubarb_node::locks;

use crate::buffer;

/// Socket whose reads fail after a number of bytes.
///
/// Without it a server could send informational responses without end, which the HTTP library reads
/// and drops.
#[derive(Debug)]
pub(crate) struct Socket {
    stream: net::TcpStream,
    bound: ReadBound,
}

/// Number of bytes that may still be read, and the memory of those that were; clones share it.
#[derive(Clone, Debug)]
pub(crate) struct ReadBound {
    left: sync::Arc<atomic::AtomicUsize>,
    head: sync::Arc<sync::Mutex<Head>>,
}

// Bytes of a head that is not complete.
#[derive(Debug)]
struct Head {
    bytes: usize,
    account: buffer::Account,
}

/// Most bytes of one read. The HTTP library doubles its buffer, of 8 KB, when a read fills it.
const MAX_READ_BYTES: usize = 8 * 1024 - 1;

impl ReadBound {
    /// Creates a bound that allows everything.
    pub(crate) fn unlimited(account: buffer::Account) -> ReadBound {
        let head = sync::Arc::new(sync::Mutex::new(Head { bytes: 0, account }));
        ReadBound { left: sync::Arc::new(atomic::AtomicUsize::new(usize::MAX)), head }
    }

    /// Bounds the head of the next response to `bytes`.
    pub(crate) fn begin_head(&self, bytes: usize) {
        self.left.store(bytes, atomic::Ordering::Relaxed);
    }

    /// Ends the bound, as the head is complete.
    pub(crate) fn end_head(&self) {
        self.left.store(usize::MAX, atomic::Ordering::Relaxed);
        let mut head = locks::lock(&self.head);
        head.bytes = 0;
        head.account.release();
    }

    fn left(&self) -> usize {
        self.left.load(atomic::Ordering::Relaxed)
    }

    // Records that a part of a head was read.
    fn record(&self, bytes: usize) -> io::Result<()> {
        self.left.store(self.left().saturating_sub(bytes), atomic::Ordering::Relaxed);
        let mut head = locks::lock(&self.head);
        head.bytes += bytes;
        let total = head.bytes;
        head.account.set(total).map_err(|err| io::Error::other(err.to_string()))
    }
}

impl Socket {
    pub(crate) fn new(stream: net::TcpStream, bound: ReadBound) -> Socket {
        Socket { stream, bound }
    }
}

impl tokio_io::AsyncRead for Socket {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &mut tokio_io::ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let left = self.bound.left();
        if left == 0 {
            return task::Poll::Ready(Err(io::Error::other(
                "the head of the response is too long",
            )));
        }
        let length = buf.remaining().min(MAX_READ_BYTES);
        let mut part = tokio_io::ReadBuf::new(buf.initialize_unfilled_to(length));
        ready!(pin::Pin::new(&mut self.stream).poll_read(cx, &mut part))?;
        let read = part.filled().len();
        buf.advance(read);
        task::Poll::Ready(if left == usize::MAX { Ok(()) } else { self.bound.record(read) })
    }
}

impl tokio_io::AsyncWrite for Socket {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
