//! The time that a key carries in itself, by which an expired key is told from a new one.
//!
//! An owner forgets a key after the horizon. A caller that comes back later with the same key would
//! be taken for a new one, and its booking would run twice. A UUID of version 7 names the time at
//! which it was made, so such a key can be refused without remembering it.

use sesamecart_vocabulary::IdempotencyKey;

/// The difference between two clocks that is still borne, in milliseconds.
const CLOCK_SKEW_MS: u64 = 60_000;

/// The length of a UUID in its usual form.
const UUID_LEN: usize = 36;

/// How a key's own time stands to now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyTime {
    /// The key carries no time.
    Unstated,
    /// The key is young enough.
    Fresh,
    /// The key may have been forgotten already.
    Expired,
    /// The key claims to be made later than now, which would keep it fresh for too long.
    Future,
}

/// Returns how a key's own time stands to `wall_ms`.
#[must_use]
pub fn key_time(key: &IdempotencyKey, wall_ms: u64, horizon_ms: u64) -> KeyTime {
    let Some(made_ms) = uuid7_ms(key.as_str()) else {
        return KeyTime::Unstated;
    };
    if made_ms > wall_ms.saturating_add(CLOCK_SKEW_MS) {
        return KeyTime::Future;
    }
    // The log's clock, the caller's and ours may all differ; forget none too late, refuse some early.
    let age = wall_ms.saturating_sub(made_ms);
    if age > horizon_ms.saturating_sub(2 * CLOCK_SKEW_MS) {
        return KeyTime::Expired;
    }
    KeyTime::Fresh
}

fn uuid7_ms(text: &str) -> Option<u64> {
    let dashes = [8, 13, 18, 23];
    let bytes = text.as_bytes();
    if bytes.len() != UUID_LEN || bytes[14] != b'7' {
        return None;
    }
    let shaped = bytes.iter().enumerate().all(|(index, byte)| {
        if dashes.contains(&index) {
            *byte == b'-'
        } else {
            byte.is_ascii_hexdigit()
        }
    });
    if !shaped {
        return None;
    }
    let high = u64::from_str_radix(&text[..8], 16).ok()?;
    let low = u64::from_str_radix(&text[9..13], 16).ok()?;
    Some(high << 16 | low)
}
