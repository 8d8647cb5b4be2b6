//! Keyed actions: what was begun, and how it ended.

use std::collections::VecDeque;

use derive_more::Display;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use sesamecart_vocabulary::{
    AttemptId, BodyDigest, CustomerId, Epoch, IdempotencyKey, ServiceId, ShardId,
};

use crate::body::EncodedBody;

/// How long a keyed action is remembered, in milliseconds of the log's clock.
///
/// Every action within it is part of each checkpoint, so a longer horizon makes checkpoints larger;
/// a shorter one would refuse callers that come back after a long outage. A key older than this is
/// refused and never run again.
pub const ACTION_HORIZON_MS: u64 = 60 * 60 * 1_000;

/// What makes a keyed action unique.
#[derive(Clone, Debug, Display, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[display("{customer}/{service}/{key}")]
pub struct ActionKey {
    /// The customer whose key it is.
    pub customer: CustomerId,
    /// The service that it is sent to.
    pub service: ServiceId,
    /// The customer's own key.
    pub key: IdempotencyKey,
}

/// An action that is about to be sent.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ActionIntent {
    /// The customer whose key it is.
    pub customer: CustomerId,
    /// The service that it is sent to.
    pub service: ServiceId,
    /// The customer's own key.
    pub key: IdempotencyKey,
    /// The hash of the body, which tells a repeated request from a different one.
    pub body_digest: BodyDigest,
    /// The one try that this intent allows.
    pub attempt: AttemptId,
    /// When it was let in, in milliseconds of wall-clock time.
    pub at_ms: u64,
}

/// What one append tells of one shard's keyed actions.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ActionPart {
    /// The shard that owns the keys.
    pub shard: ShardId,
    /// The epoch of the shard's lease.
    pub epoch: Epoch,
    /// Actions that ended; they count before the intents.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub outcomes: Vec<ActionOutcome>,
    /// Actions that are about to be sent.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub intents: Vec<ActionIntent>,
}

/// How an action ended.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ActionOutcome {
    /// The customer whose key it is.
    pub customer: CustomerId,
    /// The service that it was sent to.
    pub service: ServiceId,
    /// The customer's own key.
    pub key: IdempotencyKey,
    /// The try that ended.
    pub attempt: AttemptId,
    /// How.
    pub outcome: ActionEnd,
}

/// The three ways in which an action can end.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ActionEnd {
    /// The endpoint answered.
    Answered {
        /// The answer's status.
        status: u16,
        /// The answer's headers.
        headers: Vec<Header>,
        /// The answer's body.
        body: EncodedBody,
    },
    /// Provably nothing was run; the key may be used again.
    NotRun,
    /// Nobody can tell whether it ran.
    Unknown,
}

/// A header of an answer.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Header {
    /// Its name.
    pub name: String,
    /// Its value.
    pub value: EncodedBody,
}

/// What the log tells of one keyed action.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ActionEntry {
    /// The hash of the body that the key came with first.
    pub body_digest: BodyDigest,
    /// The try that was allowed.
    pub attempt: AttemptId,
    /// The epoch under which it was allowed.
    pub epoch: Epoch,
    /// When it was let in, in milliseconds of wall-clock time.
    pub at_ms: u64,
    /// When the log took the intent, in milliseconds of the log's clock.
    pub logged_at_ms: u64,
    /// How it ended, once that is known.
    pub end: Option<ActionEnd>,
}

impl ActionIntent {
    /// Returns what makes this action unique.
    #[must_use]
    pub fn action_key(&self) -> ActionKey {
        ActionKey {
            customer: self.customer.clone(),
            service: self.service.clone(),
            key: self.key.clone(),
        }
    }
}

impl ActionOutcome {
    /// Returns what makes this action unique.
    #[must_use]
    pub fn action_key(&self) -> ActionKey {
        ActionKey {
            customer: self.customer.clone(),
            service: self.service.clone(),
            key: self.key.clone(),
        }
    }
}

/// The keyed actions of the last hour.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Actions {
    #[serde(with = "entries")]
    by_key: IndexMap<ActionKey, ActionEntry>,
    oldest_first: VecDeque<Expiry>,
}

/// When one try of an action is forgotten.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
struct Expiry {
    logged_at_ms: u64,
    key: ActionKey,
    attempt: AttemptId,
}

impl Actions {
    /// Returns what is known of an action.
    #[must_use]
    pub fn get(&self, key: &ActionKey) -> Option<&ActionEntry> {
        self.by_key.get(key)
    }

    /// Returns every action that is remembered.
    pub fn iter(&self) -> impl Iterator<Item = (&ActionKey, &ActionEntry)> {
        self.by_key.iter()
    }

    /// Returns how many actions are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Returns whether no action is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    /// Notes an intent and returns whether it is the one that may be sent.
    ///
    /// Two owners in turn may both have appended an intent for one key. The first in the log wins;
    /// without that, a booking would run twice. Only a try that provably wasn't run makes room.
    pub(crate) fn begin(&mut self, intent: &ActionIntent, epoch: Epoch, logged_at_ms: u64) -> bool {
        let key = intent.action_key();
        if let Some(entry) = self.by_key.get(&key)
            && entry.end != Some(ActionEnd::NotRun)
        {
            return entry.attempt == intent.attempt;
        }
        let entry = ActionEntry {
            body_digest: intent.body_digest,
            attempt: intent.attempt.clone(),
            epoch,
            at_ms: intent.at_ms,
            logged_at_ms,
            end: None,
        };
        self.oldest_first.push_back(Expiry {
            logged_at_ms,
            key: key.clone(),
            attempt: intent.attempt.clone(),
        });
        self.by_key.insert(key, entry);
        true
    }

    /// Notes how a try ended and returns whether that was news.
    ///
    /// It counts whatever the epoch: an answer is true also when its node has lost the lease
    /// meanwhile. A known end is only replaced if it was unknown.
    pub(crate) fn finish(&mut self, outcome: &ActionOutcome) -> bool {
        let Some(entry) = self.by_key.get_mut(&outcome.action_key()) else {
            return false;
        };
        if entry.attempt != outcome.attempt {
            return false;
        }
        if !matches!(entry.end, None | Some(ActionEnd::Unknown)) {
            return false;
        }
        entry.end = Some(outcome.outcome.clone());
        true
    }

    /// Forgets what is older than the horizon.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        while let Some(oldest) = self.oldest_first.front()
            && oldest.logged_at_ms.saturating_add(ACTION_HORIZON_MS) < now_ms
        {
            let oldest = self.oldest_first.pop_front().expect("the front was seen");
            let replaced = self
                .by_key
                .get(&oldest.key)
                .is_none_or(|entry| entry.attempt != oldest.attempt);
            if !replaced {
                self.by_key.swap_remove(&oldest.key);
            }
        }
    }
}

/// Writes the map as a list, since JSON's keys are text.
mod entries {
    use indexmap::IndexMap;
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    use super::{ActionEntry, ActionKey};

    #[derive(Serialize, Deserialize)]
    struct Item<K, E> {
        key: K,
        entry: E,
    }

    pub(super) fn serialize<S: Serializer>(
        map: &IndexMap<ActionKey, ActionEntry>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(map.iter().map(|(key, entry)| Item { key, entry }))
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<IndexMap<ActionKey, ActionEntry>, D::Error> {
        let items = Vec::<Item<ActionKey, ActionEntry>>::deserialize(deserializer)?;
        Ok(items
            .into_iter()
            .map(|item| (item.key, item.entry))
            .collect())
    }
}
