//! Keyed actions: requests with an idempotency key, their attempts and their outcomes.

use std::collections::VecDeque;

use derive_more::Display;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use sesamecart_vocabulary::{
    AttemptId, BodyDigest, CustomerId, Epoch, IdempotencyKey, ServiceId, ShardId,
};

use crate::body::EncodedBody;

/// How long a keyed action is retained, in milliseconds of the log's clock.
///
/// Every retained action is part of each checkpoint, so a longer horizon makes checkpoints larger. With a
/// shorter one, callers that retry after a long outage would be refused. An older key is refused and never
/// run again.
pub const ACTION_RETENTION_MS: u64 = 60 * 60 * 1_000;

/// The unique key of an action.
#[derive(Clone, Debug, Display, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[display("{customer}/{service}/{key}")]
pub struct ActionKey {
    /// The customer that chose the key.
    pub customer: CustomerId,
    /// The service that the action is sent to.
    pub service: ServiceId,
    /// The customer's idempotency key.
    pub key: IdempotencyKey,
}

/// The intent to send an action, appended to the log before the action is sent.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ActionIntent {
    /// The customer that chose the key.
    pub customer: CustomerId,
    /// The service that the action is sent to.
    pub service: ServiceId,
    /// The customer's idempotency key.
    pub key: IdempotencyKey,
    /// The hash of the body, which distinguishes a repeated request from a different one with the same key.
    pub body_digest: BodyDigest,
    /// The only attempt that this intent permits.
    pub attempt: AttemptId,
    /// When the action was admitted, in milliseconds of wall-clock time.
    pub at_ms: u64,
}

/// The outcomes and intents of one shard within an append.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ActionPart {
    /// The shard that owns the keys.
    pub shard: ShardId,
    /// The epoch of the shard's lease.
    pub epoch: Epoch,
    /// Outcomes of actions, which are applied before the intents.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub outcomes: Vec<ActionOutcome>,
    /// Intents of actions that are about to be sent.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub intents: Vec<ActionIntent>,
}

/// The outcome of one attempt of an action.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ActionOutcome {
    /// The customer that chose the key.
    pub customer: CustomerId,
    /// The service that the action was sent to.
    pub service: ServiceId,
    /// The customer's idempotency key.
    pub key: IdempotencyKey,
    /// The attempt that ended.
    pub attempt: AttemptId,
    /// How the attempt ended.
    pub outcome: ActionEnd,
}

/// The ways in which an attempt can end.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ActionEnd {
    /// The endpoint sent a response.
    Answered {
        /// The status of the response.
        status: u16,
        /// The headers of the response.
        headers: Vec<Header>,
        /// The body of the response.
        body: EncodedBody,
    },
    /// The action provably did not run, so the key may be used again.
    NotRun,
    /// It is unknown whether the action ran.
    Unknown,
}

/// A header of a response.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Header {
    /// The header's name.
    pub name: String,
    /// The header's value.
    pub value: EncodedBody,
}

/// The state of one keyed action according to the log.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ActionEntry {
    /// The hash of the first request body that was sent with this key.
    pub body_digest: BodyDigest,
    /// The attempt that was permitted.
    pub attempt: AttemptId,
    /// The lease epoch under which the attempt was permitted.
    pub epoch: Epoch,
    /// When the action was admitted, in milliseconds of wall-clock time.
    pub at_ms: u64,
    /// When the intent was appended, in milliseconds of the log's clock.
    pub logged_at_ms: u64,
    /// How the attempt ended, once known.
    pub end: Option<ActionEnd>,
}

impl ActionIntent {
    /// Returns the unique key of this action.
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
    /// Returns the unique key of this action.
    #[must_use]
    pub fn action_key(&self) -> ActionKey {
        ActionKey {
            customer: self.customer.clone(),
            service: self.service.clone(),
            key: self.key.clone(),
        }
    }
}

/// The keyed actions within [`ACTION_RETENTION_MS`].
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Actions {
    #[serde(with = "entries")]
    by_key: IndexMap<ActionKey, ActionEntry>,
    oldest_first: VecDeque<Expiry>,
}

/// The data needed to expire one attempt of an action.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
struct Expiry {
    logged_at_ms: u64,
    key: ActionKey,
    attempt: AttemptId,
}

impl Actions {
    /// Returns the entry of an action.
    #[must_use]
    pub fn get(&self, key: &ActionKey) -> Option<&ActionEntry> {
        self.by_key.get(key)
    }

    /// Returns all retained actions.
    pub fn iter(&self) -> impl Iterator<Item = (&ActionKey, &ActionEntry)> {
        self.by_key.iter()
    }

    /// Returns the number of retained actions.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Returns whether no action is retained.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    /// Records an intent and returns whether its attempt may be sent.
    ///
    /// Two successive owners may both append an intent for the same key. The first one in the log wins, as
    /// otherwise a booking could run twice. It is replaced only if its attempt provably did not run.
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

    /// Records the outcome of an attempt and returns whether it changed the entry.
    ///
    /// The epoch isn't checked, since an outcome remains valid if the node has lost its lease in the
    /// meantime. A recorded outcome is replaced only if it is [`ActionEnd::Unknown`].
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

    /// Removes the actions that are older than the horizon.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        while let Some(oldest) = self.oldest_first.front()
            && oldest.logged_at_ms.saturating_add(ACTION_RETENTION_MS) < now_ms
        {
            let oldest = self
                .oldest_first
                .pop_front()
                .expect("the queue is not empty");
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

/// Serializes the map as a list of entries, since JSON supports only strings as keys.
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
