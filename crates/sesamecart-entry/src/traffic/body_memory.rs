//! The memory that the requests and responses of a node take together while they are buffered.
//!
//! Each of them has a limit of its own, but many long ones at once would exceed the memory of the VM. Short ones
//! need none of the shared memory, so long ones can't cause them to fail.

use std::collections::VecDeque;
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
use sesamecart_vocabulary::Bytes as ByteSize;

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

/// The part of a VM's memory that the node's process may take.
const PROCESS_FRACTION: f64 = 0.9;

/// What the process takes beside requests, with what the allocator keeps.
const IDLE_PROCESS_BYTES: f64 = 32.0 * BYTES_PER_MB;

/// The memory that each request takes until its response has ended, beside long bodies: the read and write buffers of
/// both connections, a part of a body on its way between them, and the free bytes.
const REQUEST_BYTES: usize = 128 * 1024;

/// The memory that an open connection of a caller takes without a request: the buffers of the HTTP library and its task.
const IDLE_CONNECTION_BYTES: usize = 24 * 1024;

/// The part of the memory that is left to requests on open connections and to long bodies, as a divisor. New connections
/// are closed unread before it is used up, as their callers are served by other nodes.
const KEPT_DIVISOR: usize = 8;

/// The part of the memory that long bodies leave to requests, as a divisor. It is larger than that of [`KEPT_DIVISOR`], so
/// new connections find room beside any number of long bodies.
const REQUESTS_DIVISOR: usize = 4;

/// The number of requests for which there is memory beside long bodies on any VM.
const MIN_REQUESTS: usize = 16;

/// Returns the number of requests on new connections for which there is memory, if `used` of `limit` bytes are taken.
const fn room_for_new(limit: usize, used: usize) -> usize {
    let for_new = limit - limit / KEPT_DIVISOR;
    for_new.saturating_sub(used) / REQUEST_BYTES
}

/// Bytes that are taken and put back, up to a limit.
#[derive(Debug)]
struct Account {
    used: AtomicUsize,
    limit: usize,
}

impl Account {
    fn new(limit: usize) -> Arc<Self> {
        let used = AtomicUsize::new(0);
        Arc::new(Self { used, limit })
    }

    /// Takes some bytes. Returns whether there were enough.
    fn take(&self, bytes: usize) -> bool {
        self.take_and_leave(bytes, 0)
    }

    /// Takes some bytes if `left` bytes are left afterwards. Returns whether there were enough.
    fn take_and_leave(&self, bytes: usize, left: usize) -> bool {
        let limit = self.limit.saturating_sub(left);
        let taken = self
            .used
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |used| {
                let used = used.checked_add(bytes)?;
                (used <= limit).then_some(used)
            });
        taken.is_ok()
    }

    fn put_back(&self, bytes: usize) {
        self.used.fetch_sub(bytes, Ordering::AcqRel);
    }
}

/// Counts the memory that requests and responses take.
#[derive(Clone, Debug)]
pub(crate) struct BodyMemory {
    /// Of all requests, with their bodies and the streams that are read ahead.
    all: Arc<Account>,
    /// The number of requests.
    requests: Arc<AtomicUsize>,
    /// Of long bodies, or of streams that are read ahead.
    shared: Arc<Account>,
    /// The bytes of `all` that these leave to requests.
    left: usize,
}

/// The memory of one request beside its long bodies, until it is dropped.
#[derive(Debug)]
pub(crate) struct RequestMemory {
    all: Arc<Account>,
    requests: Arc<AtomicUsize>,
}

impl Drop for RequestMemory {
    fn drop(&mut self) {
        self.all.put_back(REQUEST_BYTES);
        self.requests.fetch_sub(1, Ordering::AcqRel);
    }
}

impl BodyMemory {
    /// Creates the memory of a node whose VM has `memory_mb` megabytes, or enough if that isn't known.
    pub(crate) fn new(memory_mb: Option<u64>) -> Self {
        let bytes = memory_mb.map(|mb| mb as f64 * BYTES_PER_MB);
        let shared = bytes.map(|bytes| (bytes * SHARED_FRACTION) as usize);
        let shared = shared.map_or(MAX_SHARED_BYTES, |bytes| bytes.min(MAX_SHARED_BYTES));
        let all = bytes.map(|bytes| {
            let left = (bytes * PROCESS_FRACTION - IDLE_PROCESS_BYTES).max(0.0);
            (left as usize).max(shared + MIN_REQUESTS * REQUEST_BYTES)
        });
        let all = all.unwrap_or(usize::MAX);
        Self {
            all: Account::new(all),
            requests: Arc::default(),
            shared: Account::new(shared),
            left: all / REQUESTS_DIVISOR,
        }
    }

    /// Returns the memory for streams that are read ahead of their callers. It is apart from that of long bodies, which
    /// callers that don't read would otherwise take up.
    pub(crate) fn for_read_ahead(&self) -> Self {
        Self {
            all: Arc::clone(&self.all),
            requests: Arc::clone(&self.requests),
            shared: Account::new(self.shared.limit / READ_AHEAD_DIVISOR),
            left: 0,
        }
    }

    /// Returns the number of requests for which there is memory on new connections, beside those that are open.
    pub(crate) fn room_for_new(&self, connections: usize) -> usize {
        let used = self.all.used.load(Ordering::Acquire);
        let idle = connections.saturating_sub(self.requests());
        room_for_new(self.all.limit, used + idle * IDLE_CONNECTION_BYTES)
    }

    /// Returns the number of requests that have memory.
    pub(crate) fn requests(&self) -> usize {
        self.requests.load(Ordering::Acquire)
    }

    /// Returns what is used of the memory of all requests, and its limit.
    pub(crate) fn usage(&self) -> (ByteSize, ByteSize) {
        let used = self.all.used.load(Ordering::Acquire);
        (ByteSize(used as u64), ByteSize(self.all.limit as u64))
    }

    /// Takes the memory of one more request, if there is enough.
    pub(crate) fn begin_request(&self) -> Option<RequestMemory> {
        let all = Arc::clone(&self.all);
        let requests = Arc::clone(&self.requests);
        all.take(REQUEST_BYTES).then(|| {
            requests.fetch_add(1, Ordering::AcqRel);
            RequestMemory { all, requests }
        })
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
        if !self.all.take_and_leave(bytes, self.left) {
            return false;
        }
        let is_taken = self.shared.take(bytes);
        if !is_taken {
            self.all.put_back(bytes);
        }
        is_taken
    }

    #[cfg(test)]
    pub(super) fn used(&self) -> usize {
        self.shared.used.load(Ordering::Acquire)
    }

    fn put_back(&self, bytes: usize) {
        self.all.put_back(bytes);
        self.shared.put_back(bytes);
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
    parts: VecDeque<Bytes>,
    len: usize,
    memory: Reservation,
}

impl BufferedBody {
    /// Returns the number of bytes that are left.
    pub(crate) const fn len(&self) -> usize {
        self.len
    }

    /// Returns the bytes in one piece, and their memory, which is freed once the latter is dropped.
    pub(crate) fn into_bytes(mut self) -> (Bytes, Reservation) {
        let bytes = match self.parts.len() {
            0 | 1 => self.parts.pop_front().unwrap_or_default(),
            _ => self.parts.make_contiguous().concat().into(),
        };
        (bytes, self.memory)
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
        let Some(part) = self.parts.pop_front() else {
            return Poll::Ready(None);
        };
        self.len -= part.len();
        Poll::Ready(Some(Ok(Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        self.parts.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.len as u64)
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
    let mut parts = PartBuffer::default();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| BufferError::Broken(error.into()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if parts.len + data.len() > max_bytes {
            return Err(BufferError::TooLarge(max_bytes));
        }
        if !reservation.resize(parts.capacity_with(data.len())) {
            return Err(BufferError::NoMemory);
        }
        parts.extend(&data);
    }
    Ok(parts.into_body(reservation))
}

/// A body that is being buffered, in parts of the same size.
///
/// One buffer that grows is copied each time, and leaves holes that the next one doesn't fit into. Parts as they are
/// read may have one byte each, and would take many times their size.
#[derive(Debug, Default)]
struct PartBuffer {
    full: VecDeque<Bytes>,
    last: Vec<u8>,
    len: usize,
}

impl PartBuffer {
    /// Returns the memory of the buffer once `added` more bytes are in it.
    fn capacity_with(&self, added: usize) -> usize {
        let len = self.len + added;
        if len <= FREE_BYTES {
            len
        } else if len <= PART_BYTES {
            // The last part may be copied, and both are there meanwhile.
            2 * len
        } else {
            len.next_multiple_of(PART_BYTES)
        }
    }

    fn extend(&mut self, mut data: &[u8]) {
        self.len += data.len();
        while !data.is_empty() {
            let room = PART_BYTES - self.last.len();
            let (fitting, rest) = data.split_at(room.min(data.len()));
            if !self.full.is_empty() {
                self.last.reserve_exact(room);
            }
            self.last.extend_from_slice(fitting);
            data = rest;
            if self.last.len() == PART_BYTES {
                self.full.push_back(std::mem::take(&mut self.last).into());
            }
        }
    }

    fn into_body(mut self, memory: Reservation) -> BufferedBody {
        if !self.last.is_empty() {
            self.full.push_back(self.last.into());
        }
        BufferedBody {
            parts: self.full,
            len: self.len,
            memory,
        }
    }
}

#[cfg(test)]
mod tests;
