//! Fingerprints, by which a request is recognized when its caller sends it again.

use std::str::FromStr;

use derive_more::{Debug, Display, Error};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::prompt::PromptPartId;

/// The size of a fingerprint in bytes.
const FINGERPRINT_BYTES: usize = 16;

/// The first hashed byte of a part of a prompt. That of a request is 0 or 1.
const PROMPT_PART_TAG: u8 = 2;

/// The error of parsing a fingerprint.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("a fingerprint must be {} hexadecimal digits", 2 * FINGERPRINT_BYTES)]
pub struct ParseFingerprintError;

/// What makes two requests of callers the same request.
#[derive(Clone, Copy, Debug)]
pub struct RequestIdentity<'a> {
    /// The customer that the caller's key belongs to, or nothing if the route needs no key.
    ///
    /// Without it, a caller could send another customer's request and have it refused for both.
    pub customer: Option<&'a str>,
    /// The requested host.
    pub host: &'a str,
    /// The HTTP method.
    pub method: &'a str,
    /// The path and query.
    pub target: &'a str,
    /// The body.
    pub body: &'a [u8],
}

/// The fingerprint of a request, or of a part that the prompts of several requests share.
///
/// That of a request is the same whenever a customer sends the same request, to any node. It is a truncated
/// SHA-256 hash, so that nobody can construct a request with the fingerprint of another one.
#[derive(
    Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[debug("{self}")]
#[display("{:032x}", u128::from_be_bytes(*_0))]
#[serde(try_from = "String", into = "String")]
pub struct Fingerprint([u8; FINGERPRINT_BYTES]);

impl Fingerprint {
    /// Computes the fingerprint of a request.
    #[must_use]
    pub fn of(identity: &RequestIdentity<'_>) -> Self {
        let mut hasher = Sha256::new();
        // The presence and the length of each part are hashed as well, so that no byte can move from one
        // part to another.
        hasher.update([u8::from(identity.customer.is_some())]);
        let customer = identity.customer.unwrap_or_default();
        for part in [customer, identity.host, identity.method, identity.target] {
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        hasher.update(identity.body);
        Self::truncated(hasher)
    }

    /// Computes the fingerprint of a part of a prompt, which is the same for all customers.
    #[must_use]
    pub fn of_prompt_part(part: PromptPartId) -> Self {
        let mut hasher = Sha256::new();
        hasher.update([PROMPT_PART_TAG]);
        hasher.update(part.0.to_be_bytes());
        Self::truncated(hasher)
    }

    fn truncated(hasher: Sha256) -> Self {
        let digest = hasher.finalize();
        let mut bytes = [0; FINGERPRINT_BYTES];
        bytes.copy_from_slice(&digest[..FINGERPRINT_BYTES]);
        Self(bytes)
    }
}

impl FromStr for Fingerprint {
    type Err = ParseFingerprintError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_hex = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if text.len() != 2 * FINGERPRINT_BYTES || !is_hex {
            return Err(ParseFingerprintError);
        }
        let number = u128::from_str_radix(text, 16).map_err(|_| ParseFingerprintError)?;
        Ok(Self(number.to_be_bytes()))
    }
}

impl TryFrom<String> for Fingerprint {
    type Error = ParseFingerprintError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<Fingerprint> for String {
    fn from(fingerprint: Fingerprint) -> Self {
        fingerprint.to_string()
    }
}

#[cfg(test)]
mod tests;
