//! The timestamp embedded in a key, which distinguishes an expired key from a new one.
//!
//! An owner forgets a key after the retention horizon. A later retry with the same key would look like a new
//! request, and the action would run twice. A version 7 UUID contains its creation time, so such a key can be
//! refused without storing it.

use sesamecart_vocabulary::IdempotencyKey;

/// The tolerated skew between two wall clocks, in milliseconds.
const MAX_CLOCK_SKEW_MS: u64 = 60_000;

/// The length of a UUID in its hyphenated text form, in bytes.
const UUID_LEN: usize = 36;

/// The age of a key according to its embedded timestamp.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyTime {
    /// The key contains no timestamp.
    NoTimestamp,
    /// The key is within the retention horizon.
    Fresh,
    /// The key is so old that its owner may have forgotten it.
    Expired,
    /// The key's timestamp is in the future, so the key would outlive its entry in the log.
    Future,
}

/// Classifies a key by its embedded timestamp, given the wall-clock time `wall_ms`.
#[must_use]
pub fn key_time(key: &IdempotencyKey, wall_ms: u64, horizon_ms: u64) -> KeyTime {
    let Some(created_ms) = uuid7_ms(key.as_str()) else {
        return KeyTime::NoTimestamp;
    };
    if created_ms > wall_ms.saturating_add(MAX_CLOCK_SKEW_MS) {
        return KeyTime::Future;
    }
    // The clocks of the log, the caller and this node may all differ. Refusing a key slightly too early is
    // safe, while accepting one that was already forgotten isn't.
    let age = wall_ms.saturating_sub(created_ms);
    if age > horizon_ms.saturating_sub(2 * MAX_CLOCK_SKEW_MS) {
        return KeyTime::Expired;
    }
    KeyTime::Fresh
}

/// Returns the creation time of a version 7 UUID, in milliseconds since the Unix epoch.
fn uuid7_ms(text: &str) -> Option<u64> {
    let hyphens = [8, 13, 18, 23];
    let bytes = text.as_bytes();
    if bytes.len() != UUID_LEN || bytes[14] != b'7' {
        return None;
    }
    let is_well_formed = bytes.iter().enumerate().all(|(index, byte)| {
        if hyphens.contains(&index) {
            *byte == b'-'
        } else {
            byte.is_ascii_hexdigit()
        }
    });
    if !is_well_formed {
        return None;
    }
    let high = u64::from_str_radix(&text[..8], 16).ok()?;
    let low = u64::from_str_radix(&text[9..13], 16).ok()?;
    Some(high << 16 | low)
}
