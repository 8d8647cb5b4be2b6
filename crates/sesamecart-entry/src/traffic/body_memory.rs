//! The memory that the requests and responses of a node take together while they are buffered.
//!
//! Each of them has a limit of its own, but many long ones at once would exceed the memory of the VM. Short ones
//! need none of the shared memory, so long ones can't cause them to fail.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Debug, Display, Error};
use http_body_util::BodyExt as _;
use hyper::body::{Body, Frame, SizeHint};
use sesamecart_edges::{BoxError, CallerBody};
use sesamecart_runtime::with_timeout;

/// The number of bytes that each request and each response may take without drawing on the shared memory.
const FREE_BYTES: usize = 16 * 1024;

/// The number of bytes that all requests and responses may take beyond their free bytes, on a VM with enough memory.
const MAX_SHARED_BYTES: usize = 64 * 1024 * 1024;

/// The part of a VM's memory that may be shared. The rest is for the process itself, for the free bytes of each
/// connection and for its read buffers.
const SHARED_FRACTION: f64 = 1.0 / 3.0;

/// The memory for reading ahead as a part of that for all else.
const READ_AHEAD_DIVISOR: usize = 4;

const BYTES_PER_MB: f64 = 1_000_000.0;

/// The maximum size of a response that is buffered completely before it is forwarded.
pub(crate) const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// The size of the parts in which a response is given to the caller's connection, which copies them.
const PART_BYTES: usize = 64 * 1024;

/// The reason why a response could not be buffered.
#[derive(Debug, Display, Error)]
pub(crate) enum BufferError {
    /// The body exceeds the maximum size.
    #[display("the body has more than {_0} bytes")]
    TooLarge(#[error(not(source))] usize),
    /// Other requests and responses take the node's memory.
    #[display("the node has no memory left for long bodies")]
    NoMemory,
    /// The body did not arrive in time.
    #[display("the body did not arrive within {} ms", _0.as_millis())]
    TooSlow(#[error(not(source))] Duration),
    /// The connection failed before the end of the body.
    #[display("the body broke off: {_0}")]
    Broken(#[error(not(source))] BoxError),
}

/// Counts the memory that requests and responses take.
#[derive(Clone, Debug)]
pub(crate) struct BodyMemory {
    used: Arc<AtomicUsize>,
    shared_bytes: usize,
}

impl BodyMemory {
    /// Creates the memory of a node whose VM has `memory_mb` megabytes, or enough if that isn't known.
    pub(crate) fn new(memory_mb: Option<u64>) -> Self {
        let shared = memory_mb.map(|mb| (mb as f64 * BYTES_PER_MB * SHARED_FRACTION) as usize);
        Self {
            used: Arc::default(),
            shared_bytes: shared.map_or(MAX_SHARED_BYTES, |bytes| bytes.min(MAX_SHARED_BYTES)),
        }
    }

    /// Creates the memory for streams that are read ahead of their callers. It is apart from that of other requests and
    /// responses, which callers that don't read would otherwise take up.
    pub(crate) fn for_read_ahead(memory_mb: Option<u64>) -> Self {
        let all = Self::new(memory_mb);
        Self {
            shared_bytes: all.shared_bytes / READ_AHEAD_DIVISOR,
            ..all
        }
    }

    /// Begins a request or response that takes no memory yet.
    pub(crate) fn begin(&self) -> Reservation {
        Reservation {
            memory: self.clone(),
            shared: 0,
        }
    }

    /// Takes shared memory. Returns whether there was enough.
    fn take(&self, bytes: usize) -> bool {
        let taken = self
            .used
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |used| {
                let used = used.checked_add(bytes)?;
                (used <= self.shared_bytes).then_some(used)
            });
        taken.is_ok()
    }

    #[cfg(test)]
    pub(super) fn used(&self) -> usize {
        self.used.load(Ordering::Acquire)
    }

    fn put_back(&self, bytes: usize) {
        self.used.fetch_sub(bytes, Ordering::AcqRel);
    }
}

/// The memory of one request or response, until it is dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    memory: BodyMemory,
    shared: usize,
}

impl Reservation {
    /// Changes the memory to `bytes`. Returns whether there was enough; if not, the memory stays as it is.
    pub(crate) fn resize(&mut self, bytes: usize) -> bool {
        let shared = bytes.saturating_sub(FREE_BYTES);
        if shared > self.shared && !self.memory.take(shared - self.shared) {
            return false;
        }
        if shared < self.shared {
            self.memory.put_back(self.shared - shared);
        }
        self.shared = shared;
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.memory.put_back(self.shared);
    }
}

/// A complete body, with the memory that it takes.
#[derive(Debug)]
pub(crate) struct BufferedBody {
    bytes: Bytes,
    memory: Reservation,
}

impl BufferedBody {
    pub(crate) const fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns the bytes, and their memory, which is freed once the latter is dropped.
    pub(crate) fn into_parts(self) -> (Bytes, Reservation) {
        (self.bytes, self.memory)
    }

    /// Converts it into the body of the caller's response, which frees the memory once it has been written.
    pub(crate) fn into_caller_body(self) -> CallerBody {
        self.map_err(|never| match never {}).boxed_unsync()
    }
}

impl Body for BufferedBody {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        if self.bytes.is_empty() {
            return Poll::Ready(None);
        }
        let len = self.bytes.len().min(PART_BYTES);
        Poll::Ready(Some(Ok(Frame::data(self.bytes.split_to(len)))))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.bytes.len() as u64)
    }
}

/// Reads a body to its end.
///
/// # Errors
///
/// Fails if the body exceeds `max_bytes`, takes longer than `timeout` or ends early, or if there is no memory for it.
pub(crate) async fn buffer_body<B>(
    body: B,
    memory: &BodyMemory,
    max_bytes: usize,
    timeout: Duration,
) -> Result<BufferedBody, BufferError>
where
    B: Body<Data = Bytes>,
    B::Error: Into<BoxError>,
{
    let read = with_timeout(timeout, read_to_end(body, memory, max_bytes)).await;
    read.unwrap_or(Err(BufferError::TooSlow(timeout)))
}

async fn read_to_end<B>(
    body: B,
    memory: &BodyMemory,
    max_bytes: usize,
) -> Result<BufferedBody, BufferError>
where
    B: Body<Data = Bytes>,
    B::Error: Into<BoxError>,
{
    let mut body = std::pin::pin!(body);
    let mut reservation = memory.begin();
    // One buffer, because parts of one byte would take many times their size.
    let mut buf = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| BufferError::Broken(error.into()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let len = buf.len() + data.len();
        if len > max_bytes {
            return Err(BufferError::TooLarge(max_bytes));
        }
        if len > buf.capacity() {
            let capacity = len.max(2 * buf.capacity()).min(max_bytes);
            if !reservation.resize(capacity) {
                return Err(BufferError::NoMemory);
            }
            buf.reserve_exact(capacity - buf.len());
        }
        buf.extend_from_slice(&data);
    }
    Ok(BufferedBody {
        bytes: Bytes::from(buf),
        memory: reservation,
    })
}

#[cfg(test)]
mod tests;
