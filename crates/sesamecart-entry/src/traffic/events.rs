//! Splits a stream into whole events.
//!
//! An endpoint may stop in the middle of an event. What was passed on of such an event would run into
//! the first one of the endpoint that goes on, so only whole events are passed on.

use bytes::{Bytes, BytesMut};

/// The largest event that is gathered; beyond it the stream counts as broken.
const MAX_EVENT: usize = 256 * 1024;

/// A stream's events as they arrive.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    rest: BytesMut,
    last_id: Option<String>,
}

/// What one piece of a stream completed.
#[derive(Debug, Eq, PartialEq)]
pub(crate) enum Pushed {
    /// Whole events, perhaps none.
    Events(Bytes),
    /// An event out of order, or too large: what comes can't be trusted.
    Fault(&'static str),
}

impl EventSplitter {
    /// Makes a splitter for a stream that goes on after the event `last_id`.
    pub(crate) fn after(last_id: Option<String>) -> Self {
        Self {
            rest: BytesMut::new(),
            last_id,
        }
    }

    /// Returns the id of the last whole event.
    pub(crate) fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Returns whether the stream stands between two events.
    pub(crate) fn is_between_events(&self) -> bool {
        self.rest.is_empty()
    }

    /// Takes a piece of the stream.
    pub(crate) fn push(&mut self, piece: &Bytes) -> Pushed {
        self.rest.extend_from_slice(piece);
        let mut end = 0;
        while let Some(len) = event_len(&self.rest[end..]) {
            let event = &self.rest[end..end + len];
            if let Some(id) = event_id(event) {
                if !follows(self.last_id.as_deref(), id) {
                    return Pushed::Fault("an event is out of order");
                }
                self.last_id = Some(id.to_owned());
            }
            end += len;
        }
        if self.rest.len() - end > MAX_EVENT {
            return Pushed::Fault("an event is too large");
        }
        Pushed::Events(self.rest.split_to(end).freeze())
    }
}

/// Returns the length of the first whole event, its blank line included.
fn event_len(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (index, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..index];
        if index > 0 && (line.is_empty() || line == b"\r") {
            return Some(index + 1);
        }
        line_start = index + 1;
    }
    None
}

fn event_id(event: &[u8]) -> Option<&str> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(id).ok().map(str::trim)
}

/// Returns whether an event may come after another: ids that are numbers go up by one.
fn follows(last: Option<&str>, id: &str) -> bool {
    let Some(last) = last else {
        return true;
    };
    match (last.parse::<u64>(), id.parse::<u64>()) {
        (Ok(last), Ok(id)) => id == last.saturating_add(1),
        _ => last != id,
    }
}
