//! What a crash may be attributed to: a whole request, or a part of its prompt.

use derive_more::Display;
use sesamecart_vocabulary::{CustomerId, Fingerprint, PromptPartId};

/// The number of successive crashes after which a request is blocked.
const REQUEST_CRASH_LIMIT: u32 = 3;

/// The number of successive crashes after which requests with a part in their prompts are blocked.
///
/// It is larger than that of one request, as a part may be in the prompts of many bystanders.
const PART_CRASH_LIMIT: u32 = 4;

/// The same number for a part with which a request has completed before.
const CLEARED_PART_CRASH_LIMIT: u32 = 8;

/// The kinds of suspects.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum SuspectKind {
    /// A whole request.
    #[display("request")]
    Request,
    /// A part of a prompt.
    #[display("prompt part")]
    Part,
}

impl SuspectKind {
    /// Returns the number of successive crashes after which a suspect that was cleared `clearances` times is blocked.
    #[must_use]
    pub const fn crash_limit(self, clearances: u32) -> u32 {
        match self {
            Self::Request => REQUEST_CRASH_LIMIT,
            Self::Part if clearances == 0 => PART_CRASH_LIMIT,
            Self::Part => CLEARED_PART_CRASH_LIMIT,
        }
    }
}

/// A part of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SharedPart {
    /// The part, as the caller names it.
    pub id: PromptPartId,
    /// Its fingerprint.
    pub fingerprint: Fingerprint,
}

impl From<PromptPartId> for SharedPart {
    fn from(id: PromptPartId) -> Self {
        let fingerprint = Fingerprint::of_prompt_part(id);
        Self { id, fingerprint }
    }
}

/// All that a crash under one request may be attributed to.
#[derive(Clone, Debug)]
pub struct Suspects {
    /// The whole request.
    pub request: Fingerprint,
    /// The parts of its prompt that other requests may share.
    pub parts: Vec<SharedPart>,
    /// The customer that sends it, or nothing if the route needs no key.
    pub customer: Option<CustomerId>,
}

impl Suspects {
    /// Returns the kind of one of the suspects.
    #[must_use]
    pub fn kind_of(&self, suspect: &Fingerprint) -> SuspectKind {
        match self.request == *suspect {
            true => SuspectKind::Request,
            false => SuspectKind::Part,
        }
    }

    /// Returns the fingerprints of the request and of the parts of its prompt.
    pub fn fingerprints(&self) -> impl Iterator<Item = Fingerprint> {
        let parts = self.parts.iter().map(|part| part.fingerprint);
        std::iter::once(self.request).chain(parts)
    }
}
