//! The parts of prompts that are known not to crash endpoints.

use std::time::Duration;

use indexmap::IndexMap;
use sesamecart_vocabulary::{Fingerprint, Timestamp};

/// How long a part is known to be harmless after a request with it has completed.
const TTL: Duration = Duration::from_secs(10);

/// The maximum number of remembered parts. The one that was used least recently is forgotten first.
const MAX_PARTS: usize = 1_024;

/// The parts with which requests of this node have completed, the least recent first.
///
/// Most requests share the first part of their prompts, so it is in nearly every request that a crash interrupts.
/// Without this memory, nodes would suspect it, tell each other, and clear it again at each crash.
#[derive(Debug, Default)]
pub(super) struct HarmlessParts {
    completed_at: IndexMap<Fingerprint, Timestamp>,
}

impl HarmlessParts {
    pub(super) fn insert(&mut self, now: Timestamp, part: Fingerprint) {
        if let Some(index) = self.completed_at.get_index_of(&part) {
            self.completed_at
                .move_index(index, self.completed_at.len() - 1);
        } else if self.completed_at.len() >= MAX_PARTS {
            self.completed_at.shift_remove_index(0);
        }
        self.completed_at.insert(part, now);
    }

    pub(super) fn contains(&self, now: Timestamp, part: &Fingerprint) -> bool {
        let completed_at = self.completed_at.get(part);
        completed_at.is_some_and(|completed_at| now.since(*completed_at) < TTL)
    }
}
