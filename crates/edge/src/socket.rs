//! Socket to a server, with a bound on what is read before a response's head is complete.

use std::{
    io, pin, sync,
    sync::atomic,
    task::{self, ready},
};

use tokio::{io as tokio_io, net};

/// Socket whose reads fail after a number of bytes.
///
/// Without it a server could send informational responses without end, which the HTTP library reads
/// and drops.
#[derive(Debug)]
pub(crate) struct Socket {
    stream: net::TcpStream,
    bound: ReadBound,
}

/// Number of bytes that may still be read; clones share it.
#[derive(Clone, Debug)]
pub(crate) struct ReadBound {
    left: sync::Arc<atomic::AtomicUsize>,
}

impl ReadBound {
    /// Creates a bound that allows everything.
    pub(crate) fn unlimited() -> ReadBound {
        ReadBound { left: sync::Arc::new(atomic::AtomicUsize::new(usize::MAX)) }
    }

    /// Sets the number of bytes that may be read from now on.
    pub(crate) fn set(&self, bytes: usize) {
        self.left.store(bytes, atomic::Ordering::Relaxed);
    }

    fn left(&self) -> usize {
        self.left.load(atomic::Ordering::Relaxed)
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
        let before = buf.filled().len();
        ready!(pin::Pin::new(&mut self.stream).poll_read(cx, buf))?;
        if left != usize::MAX {
            self.bound.set(left.saturating_sub(buf.filled().len() - before));
        }
        task::Poll::Ready(Ok(()))
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
