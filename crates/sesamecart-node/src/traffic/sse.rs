//! Splits a stream of server-sent events into whole events and checks to whom they belong.
//!
//! An engine may send a token twice, leave one out, or mix in another request's. The caller would
//! read a wrong answer and could not tell. Each event carries its attempt's id, and its position
//! where the engine gives one, so each of these is noticed before the event is passed on.

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
const FINISH_REASON: &[u8] = b"\"finish_reason\":";

/// What was wrong with a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StreamFault {
    /// An event belongs to another attempt.
    Crossed,
    /// A token is missing.
    Gap,
    /// The last event came before the engine said why it ended.
    Unfinished,
    /// An event is too large.
    TooLarge,
}

impl StreamFault {
    /// Returns the fault in words.
    pub(crate) const fn text(self) -> &'static str {
        match self {
            Self::Crossed => "an event of another answer",
            Self::Gap => "a token is missing",
            Self::Unfinished => "it ended early",
            Self::TooLarge => "an event without end",
        }
    }
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
    /// What was wrong after these events; nothing more of this attempt may be passed on.
    pub(crate) fault: Option<StreamFault>,
}

/// What becomes of one event.
enum Verdict {
    /// It is passed on and carries a token.
    Token,
    /// It is passed on and carries none.
    Other,
    /// It is left out, and nothing is missing for that.
    Drop,
    /// It ends the answer.
    Last,
}

/// Takes the bytes of one attempt's stream and gives out whole events.
#[derive(Debug)]
pub(crate) struct EventSplitter {
    /// The attempt's id as events carry it, in quotes: one id can be the beginning of another.
    own: Vec<u8>,
    /// The id that the caller sees, if it is another.
    shown: Option<Vec<u8>>,
    /// The position of the next token.
    next: u64,
    buf: BytesMut,
    own_seen: bool,
    names_finish: bool,
    finished: bool,
}

impl EventSplitter {
    /// Makes a splitter for an attempt that begins at the token `next`.
    ///
    /// A resumed answer shows the caller the id of its first attempt, as one answer has one id.
    pub(crate) fn new(attempt: &AttemptId, shown: &AttemptId, next: u64) -> Self {
        Self {
            own: quoted(attempt),
            shown: (shown != attempt).then(|| quoted(shown)),
            next,
            buf: BytesMut::new(),
            own_seen: false,
            names_finish: false,
            finished: false,
        }
    }

    /// Returns whether the engine has said why its answer ends, so that no token is missing.
    pub(crate) const fn is_finished(&self) -> bool {
        self.finished
    }

    /// Adds bytes and returns the whole events that are there now.
    pub(crate) fn push(&mut self, data: &Bytes) -> Events {
        let mut from = self.buf.len().saturating_sub(EVENT_END.len() - 1);
        self.buf.extend_from_slice(data);
        let buf = std::mem::take(&mut self.buf);
        let mut events = Events::default();
        // Events are passed on as they came; only when one is left out or renamed, they are copied.
        let mut copied: Option<Vec<u8>> = None;
        let mut end = 0;
        while events.fault.is_none()
            && !events.last
            && let Some(found) = find(&buf[from..], EVENT_END)
        {
            let event_end = from + found + EVENT_END.len();
            let event = &buf[end..event_end];
            match self.check(event) {
                Ok(Verdict::Drop) => {
                    copied.get_or_insert_with(|| buf[..end].to_vec());
                }
                Ok(verdict) => {
                    events.count += u64::from(matches!(verdict, Verdict::Token));
                    events.last = matches!(verdict, Verdict::Last);
                    if let Some(shown) = &self.shown {
                        let copied = copied.get_or_insert_with(Vec::new);
                        copied.extend(replaced(event, &self.own, shown));
                    } else if let Some(copied) = &mut copied {
                        copied.extend_from_slice(event);
                    }
                }
                Err(fault) => {
                    events.fault = Some(fault);
                    break;
                }
            }
            end = event_end;
            from = event_end;
        }
        if events.fault.is_none() && buf.len() - end > MAX_EVENT_BYTES {
            events.fault = Some(StreamFault::TooLarge);
        }
        let mut whole = buf;
        self.buf = whole.split_off(end);
        events.bytes = copied.map_or_else(|| whole.freeze(), Bytes::from);
        events
    }

    fn check(&mut self, event: &[u8]) -> Result<Verdict, StreamFault> {
        let mut data = None;
        let mut position = None;
        for line in event.split(|byte| *byte == b'\n') {
            if line.starts_with(b"data:") {
                data = Some(line);
            } else if let Some(text) = line.strip_prefix(b"id:") {
                position = read_number(text);
            }
        }
        let Some(data) = data else {
            return Ok(Verdict::Other);
        };
        if data == LAST_EVENT {
            return self.check_last();
        }
        if find(data, &self.own).is_none() {
            // Between events whose positions show that none is missing, a foreign one can be left
            // out. A stream that begins with one is another request's as a whole.
            return match position {
                Some(_) if self.own_seen => Ok(Verdict::Drop),
                _ => Err(StreamFault::Crossed),
            };
        }
        match position {
            Some(position) if position < self.next => return Ok(Verdict::Drop),
            Some(position) if position > self.next => return Err(StreamFault::Gap),
            Some(_) | None => {}
        }
        self.own_seen = true;
        self.next += 1;
        if let Some(found) = find(data, FINISH_REASON) {
            self.names_finish = true;
            self.finished = data.get(found + FINISH_REASON.len()) == Some(&b'"');
        }
        Ok(Verdict::Token)
    }

    /// Checks that the answer may end here.
    ///
    /// The last event carries no id, so another request's could come early: between two tokens, or
    /// at once in a resumed stream when the other request's answer is shorter.
    fn check_last(&self) -> Result<Verdict, StreamFault> {
        if !self.own_seen || self.names_finish && !self.finished {
            return Err(StreamFault::Unfinished);
        }
        Ok(Verdict::Last)
    }
}

fn quoted(attempt: &AttemptId) -> Vec<u8> {
    format!("\"{attempt}\"").into_bytes()
}

fn replaced(event: &[u8], from: &[u8], to: &[u8]) -> Vec<u8> {
    match find(event, from) {
        Some(at) => [&event[..at], to, &event[at + from.len()..]].concat(),
        None => event.to_vec(),
    }
}

fn read_number(text: &[u8]) -> Option<u64> {
    std::str::from_utf8(text).ok()?.trim().parse().ok()
}

fn find(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    haystack
        .windows(needle.len())
        .position(|window| window == needle)
}
