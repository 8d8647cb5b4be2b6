//! A stream wrapper that counts bytes, used to measure and report the traffic of the control plane.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use futures_lite::{AsyncRead, AsyncWrite};

/// The number of bytes sent and received over a set of streams. Clones share the same counters.
#[derive(Clone, Debug, Default)]
pub struct ByteCounters {
    sent: Arc<AtomicU64>,
    received: Arc<AtomicU64>,
}

impl ByteCounters {
    /// Returns the number of bytes sent so far.
    #[must_use]
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes received so far.
    #[must_use]
    pub fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }
}

/// A stream that counts the bytes read from it and written to it.
#[derive(Debug)]
pub struct CountingStream<S> {
    stream: S,
    count: ByteCounters,
}

impl<S> CountingStream<S> {
    /// Wraps `stream` and adds its traffic to `count`.
    #[must_use]
    pub fn new(stream: S, count: ByteCounters) -> Self {
        Self { stream, count }
    }
}

fn add(counter: &AtomicU64, bytes: usize) {
    counter.fetch_add(bytes as u64, Ordering::Relaxed);
}

impl<S: AsyncRead + Unpin> AsyncRead for CountingStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if let Poll::Ready(Ok(bytes)) = &polled {
            add(&self.count.received, *bytes);
        }
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CountingStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(bytes)) = &polled {
            add(&self.count.sent, *bytes);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
