//! Splits a stream of server-sent events into whole events and checks to whom they belong.

#[cfg(test)]
mod tests;

use bytes::{Bytes, BytesMut};
use sesamecart_vocabulary::AttemptId;

/// The largest single event, in bytes.
///
/// An endpoint that never ends an event would otherwise grow the buffer without limit.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

const EVENT_END: &[u8] = b"\n\n";
const LAST_EVENT: &[u8] = b"data: [DONE]";

/// What was wrong with a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StreamFault {
    /// An event belongs to another attempt.
    Crossed,
    /// An event is too large.
    TooLarge,
}

/// Whole events that can be passed on.
#[derive(Debug, Default, Eq, PartialEq)]
pub(crate) struct Events {
    /// The bytes of the events.
    pub(crate) bytes: Bytes,
    /// How many of them carry tokens.
    pub(crate) count: u64,
    /// Whether the last event of the answer is among them.
    pub(crate) last: bool,
}

/// Takes the bytes of one stream and gives out whole events.
#[derive(Debug)]
pub(crate) struct EventSplitter {
    attempt: AttemptId,
    buf: BytesMut,
}

impl EventSplitter {
    pub(crate) fn new(attempt: AttemptId) -> Self {
        Self {
            attempt,
            buf: BytesMut::new(),
        }
    }

    /// Adds bytes and returns the whole events that are there now.
    pub(crate) fn push(&mut self, data: &Bytes) -> Result<Events, StreamFault> {
        let searched = self.buf.len().saturating_sub(EVENT_END.len() - 1);
        self.buf.extend_from_slice(data);
        let mut events = Events::default();
        let mut end = 0;
        let mut from = searched;
        while let Some(found) = find(&self.buf[from..], EVENT_END) {
            let event_end = from + found + EVENT_END.len();
            self.check(&self.buf[end..event_end], &mut events)?;
            end = event_end;
            from = event_end;
        }
        if self.buf.len() - end > MAX_EVENT_BYTES {
            return Err(StreamFault::TooLarge);
        }
        events.bytes = self.buf.split_to(end).freeze();
        Ok(events)
    }

    fn check(&self, event: &[u8], events: &mut Events) -> Result<(), StreamFault> {
        let Some(data) = event
            .split(|byte| *byte == b'\n')
            .find(|line| line.starts_with(b"data:"))
        else {
            return Ok(());
        };
        if data == LAST_EVENT {
            events.last = true;
            return Ok(());
        }
        if find(data, self.attempt.as_str().as_bytes()).is_none() {
            return Err(StreamFault::Crossed);
        }
        events.count += 1;
        Ok(())
    }
}

fn find(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    haystack
        .windows(needle.len())
        .position(|window| window == needle)
}
