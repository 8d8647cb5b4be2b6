//! Splits a stream into complete events.
//!
//! An endpoint may fail in the middle of an event. If the first part of such an event were forwarded, the
//! first event of the endpoint that resumes the stream would be appended to it. Only complete events are
//! therefore forwarded.

use bytes::{Bytes, BytesMut};

use crate::traffic::body_memory::Reservation;

/// The maximum size of an event. A stream with a larger one is treated as broken.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Buffers a stream's bytes and releases them in complete events.
#[derive(Debug)]
pub(crate) struct EventSplitter {
    buf: BytesMut,
    /// The memory of `buf`, which all responses share.
    memory: Reservation,
    search: EventSearch,
    last_id: Option<String>,
    fault: Option<&'static str>,
}

/// The result of adding one chunk of a stream.
#[derive(Debug, Eq, PartialEq)]
pub(crate) enum PushOutcome {
    /// The events that the chunk completed; may be empty.
    Events(Bytes),
    /// An event is out of order or too large, so the rest of the stream can't be used.
    Fault(&'static str),
}

impl EventSplitter {
    /// Creates a splitter for a stream that resumes after the event `last_id`.
    pub(crate) fn resuming_after(last_id: Option<String>, memory: Reservation) -> Self {
        Self {
            buf: BytesMut::new(),
            memory,
            search: EventSearch::default(),
            last_id,
            fault: None,
        }
    }

    /// Returns the id of the last complete event.
    pub(crate) fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Returns why the rest of the stream can't be used.
    pub(crate) const fn fault(&self) -> Option<&'static str> {
        self.fault
    }

    /// Returns whether no partial event is buffered.
    pub(crate) fn is_between_events(&self) -> bool {
        self.buf.is_empty()
    }

    /// Adds a chunk of the stream. The events before a fault are released first.
    pub(crate) fn push(&mut self, chunk: &Bytes) -> PushOutcome {
        if self.fault.is_none() {
            self.buf.extend_from_slice(chunk);
            let end = self.find_end();
            let events = self.buf.split_to(end).freeze();
            if self.fault.is_some() {
                self.drop_rest();
            }
            if end > 0 || self.fault.is_none() {
                return PushOutcome::Events(events);
            }
        }
        PushOutcome::Fault(self.fault.unwrap_or_default())
    }

    /// Frees the memory of what can't be used.
    fn drop_rest(&mut self) {
        self.buf = BytesMut::new();
        self.memory.resize(0);
    }

    /// Returns the end of the last complete event before a fault.
    fn find_end(&mut self) -> usize {
        let mut end = 0;
        while let Some(len) = self.search.event_len(&self.buf[end..]) {
            let event = &self.buf[end..end + len];
            if let Some(id) = event_id(event) {
                if !is_next_id(self.last_id.as_deref(), id) {
                    self.fault = Some("an event is out of order");
                    return end;
                }
                self.last_id = Some(id.to_owned());
            }
            end += len;
        }
        let buffered = self.buf.len() - end;
        if buffered > MAX_EVENT_BYTES {
            self.fault = Some("an event is too large");
        } else if !self.memory.resize(buffered) {
            self.fault = Some("the node has no memory left for long events");
        }
        end
    }
}

/// The search for the end of the first event, which continues when more bytes have arrived.
#[derive(Debug, Default)]
struct EventSearch {
    /// The start of the last line.
    line_start: usize,
    /// The number of bytes that have been searched.
    searched: usize,
}

impl EventSearch {
    /// Returns the length of the first complete event, including the blank line that ends it. The search then
    /// begins anew after that event.
    fn event_len(&mut self, bytes: &[u8]) -> Option<usize> {
        for index in self.searched..bytes.len() {
            if bytes[index] != b'\n' {
                continue;
            }
            let line = &bytes[self.line_start..index];
            if index > 0 && (line.is_empty() || line == b"\r") {
                *self = Self::default();
                return Some(index + 1);
            }
            self.line_start = index + 1;
        }
        self.searched = bytes.len();
        None
    }
}

fn event_id(event: &[u8]) -> Option<&str> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(id).ok().map(str::trim)
}

/// Returns whether the event `id` may follow the event `last`: numeric ids increase by one, other ids differ.
fn is_next_id(last: Option<&str>, id: &str) -> bool {
    let Some(last) = last else {
        return true;
    };
    match (last.parse::<u64>(), id.parse::<u64>()) {
        (Ok(last), Ok(id)) => id == last.saturating_add(1),
        _ => last != id,
    }
}

#[cfg(test)]
mod tests;
