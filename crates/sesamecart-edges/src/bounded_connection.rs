//! A connection whose peer can neither occupy the client's thread nor make it read without end.

use std::io::{self, ErrorKind, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use futures_lite::{AsyncRead, AsyncWrite};

use crate::dialer::Connection;

/// The maximum number of bytes that are read without a response head or a part of its body.
///
/// The HTTP library reads interim responses and the sizes of chunks without a limit. It also reads a part of a body
/// ahead, so the limit is several times the size of its buffer.
const MAX_UNPARSED_BYTES: usize = 256 * 1024;

/// The maximum number of successive reads before other tasks of the thread run.
///
/// The HTTP library reads until the connection has nothing more to read, and no timeout can expire meanwhile.
const MAX_SUCCESSIVE_READS: u32 = 16;

/// Counts the bytes that were read since the last part of a response.
#[derive(Clone, Debug, Default)]
pub(crate) struct UnparsedBytes(Arc<AtomicUsize>);

impl UnparsedBytes {
    /// Begins to count anew.
    pub(crate) fn reset(&self) {
        self.0.store(0, Ordering::Relaxed);
    }

    fn add(&self, len: usize) {
        self.0.fetch_add(len, Ordering::Relaxed);
    }

    fn is_over_limit(&self) -> bool {
        self.0.load(Ordering::Relaxed) >= MAX_UNPARSED_BYTES
    }
}

/// A connection with limits for what is read from it.
pub(crate) struct BoundedConnection {
    inner: Box<dyn Connection>,
    unparsed: UnparsedBytes,
    successive_reads: u32,
}

impl BoundedConnection {
    pub(crate) fn new(inner: Box<dyn Connection>, unparsed: UnparsedBytes) -> Self {
        Self {
            inner,
            unparsed,
            successive_reads: 0,
        }
    }
}

impl AsyncRead for BoundedConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.unparsed.is_over_limit() {
            let cause = "the peer sends bytes that are no part of a response";
            return Poll::Ready(Err(io::Error::new(ErrorKind::InvalidData, cause)));
        }
        if self.successive_reads >= MAX_SUCCESSIVE_READS {
            self.successive_reads = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let read = Pin::new(&mut self.inner).poll_read(cx, buf);
        match read {
            Poll::Ready(Ok(len)) => {
                self.successive_reads += 1;
                self.unparsed.add(len);
            }
            Poll::Ready(Err(_)) | Poll::Pending => self.successive_reads = 0,
        }
        read
    }
}

impl AsyncWrite for BoundedConnection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(cx, bufs)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}
