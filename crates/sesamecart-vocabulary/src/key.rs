//! Digests of secret keys and request bodies, and idempotency keys.

use std::str::FromStr;

use derive_more::{Debug, Display};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// The maximum length of an idempotency key in bytes.
const MAX_KEY_BYTES: usize = 255;

/// The error of parsing a digest or an idempotency key.
#[derive(Clone, Debug, Display, Eq, PartialEq, derive_more::Error)]
pub enum ParseDigestError {
    /// The digest doesn't consist of 64 hexadecimal digits.
    #[display("a digest must be 64 hexadecimal digits")]
    Digits,
    /// The idempotency key is empty, too long, or contains characters other than printable ASCII.
    #[display("an idempotency key must have 1 to {MAX_KEY_BYTES} printable ASCII characters")]
    Key,
}

fn parse_hex_digest(text: &str) -> Result<[u8; 32], ParseDigestError> {
    if text.len() != 64 || !text.is_ascii() {
        return Err(ParseDigestError::Digits);
    }
    let mut bytes = [0; 32];
    for (index, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16)
            .map_err(|_| ParseDigestError::Digits)?;
    }
    Ok(bytes)
}

fn to_hex(bytes: &[u8]) -> String {
    use std::fmt::Write as _;
    bytes
        .iter()
        .fold(String::with_capacity(2 * bytes.len()), |mut text, byte| {
            write!(text, "{byte:02x}").expect("writing to a string can't fail");
            text
        })
}

macro_rules! digest {
    ($(#[doc = $doc:literal])* $name:ident) => {
        $(#[doc = $doc])*
        #[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
        #[debug("{}", to_hex(_0))]
        #[display("{}", to_hex(_0))]
        #[serde(try_from = "String", into = "String")]
        pub struct $name([u8; 32]);

        impl $name {
            /// Hashes `bytes` with SHA-256.
            #[must_use]
            pub fn of(bytes: &[u8]) -> Self {
                Self(Sha256::digest(bytes).into())
            }

            /// Compares two digests in constant time, so that the duration doesn't reveal where they differ.
            #[must_use]
            pub fn matches(&self, other: &Self) -> bool {
                self.0.ct_eq(&other.0).into()
            }
        }

        impl FromStr for $name {
            type Err = ParseDigestError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                parse_hex_digest(text).map(Self)
            }
        }

        impl TryFrom<String> for $name {
            type Error = ParseDigestError;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(digest: $name) -> Self {
                digest.to_string()
            }
        }
    };
}

digest!(
    /// The hash of a caller's or operator's secret key. The key itself is never stored.
    KeyHash
);
digest!(
    /// The hash of a request body, which distinguishes a retried request from a different one.
    BodyDigest
);

/// A caller's `Idempotency-Key`, unique per customer and service.
#[derive(Clone, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct IdempotencyKey(String);

impl IdempotencyKey {
    /// Returns the key as a string slice.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for IdempotencyKey {
    type Err = ParseDigestError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let printable = text.bytes().all(|byte| (0x20..0x7f).contains(&byte));
        if text.is_empty() || text.len() > MAX_KEY_BYTES || !printable {
            return Err(ParseDigestError::Key);
        }
        Ok(Self(text.to_owned()))
    }
}

impl TryFrom<String> for IdempotencyKey {
    type Error = ParseDigestError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<IdempotencyKey> for String {
    fn from(key: IdempotencyKey) -> Self {
        key.0
    }
}
