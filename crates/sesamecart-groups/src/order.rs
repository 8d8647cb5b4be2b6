//! Orders to endpoints, fenced by the epoch of the group's shard.

use std::time::Duration;

use derive_more::Display;
use sesamecart_vocabulary::{AdapterId, Epoch, Generation, GroupId, ModelId, Timestamp};

/// An order to a group's endpoint with its fencing token.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FencedOrder {
    /// The group whose endpoint receives the order.
    pub group: GroupId,
    /// The fencing token.
    pub epoch: Epoch,
    /// The generation that the engine should run.
    pub generation: Generation,
    /// The operation to perform.
    pub kind: OrderKind,
}

/// The operation that an endpoint is ordered to perform.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum OrderKind {
    /// Start the model on the members of the generation.
    #[display("load_model {model} {version}")]
    LoadModel {
        /// The model.
        model: ModelId,
        /// The version of its weights.
        version: String,
    },
    /// Load an adapter in addition to the model.
    #[display("load_adapter {adapter}")]
    LoadAdapter {
        /// The model.
        model: ModelId,
        /// The adapter.
        adapter: AdapterId,
    },
    /// Switch to another version of the model on the same members.
    #[display("load_version {version}")]
    LoadVersion {
        /// The model.
        model: ModelId,
        /// The version to switch to.
        version: String,
    },
    /// Change the engine's role.
    #[display("change_role {role}")]
    ChangeRole {
        /// The name of the role, as the engine defines it.
        role: String,
    },
}

/// The outcome of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// The endpoint accepted the order.
    Accepted,
    /// The endpoint refused the order because it has seen the given newer epoch.
    Fenced(Epoch),
    /// There was no response, or another error: the order may or may not have taken effect.
    Unknown,
}

/// Ensures that one group's orders are sent one at a time and only under a current epoch.
///
/// An order of the previous owner may still be in flight when the new owner sends its own. If it took effect
/// after the new one, the engine would run an outdated generation. An endpoint that checks the fencing token
/// refuses the late order. For one that doesn't, the new owner first waits for the longest time that an order
/// can be in flight and then reads the endpoint's state.
#[derive(Clone, Debug, Default)]
pub struct OrderSequencer {
    epoch: Option<Epoch>,
    highest_epoch: Epoch,
    not_before: Timestamp,
    state_read: bool,
    in_flight_since: Option<Timestamp>,
}

impl OrderSequencer {
    /// Records that the shard is held under a new epoch. An epoch that isn't newer is ignored.
    pub fn acquire_epoch(
        &mut self,
        epoch: Epoch,
        checks_epoch: bool,
        max_latency: Duration,
        now: Timestamp,
    ) {
        if epoch <= self.highest_epoch {
            return;
        }
        self.epoch = Some(epoch);
        self.highest_epoch = epoch;
        self.not_before = if checks_epoch { now } else { now + max_latency };
        self.state_read = false;
        self.in_flight_since = None;
    }

    /// Records that the shard is no longer held.
    pub fn lose_epoch(&mut self) {
        self.epoch = None;
    }

    /// Records that the endpoint's state was read by a request sent at `asked_at`.
    pub fn record_state_read(&mut self, asked_at: Timestamp) {
        self.state_read |= asked_at >= self.not_before;
    }

    /// Returns the epoch for the next order, if one may be sent now.
    #[must_use]
    pub fn sendable_epoch(&self, now: Timestamp) -> Option<Epoch> {
        if !self.state_read || self.in_flight_since.is_some() || now < self.not_before {
            return None;
        }
        self.epoch
    }

    /// Records that an order was sent.
    pub fn record_sent(&mut self, now: Timestamp) {
        self.in_flight_since = Some(now);
    }

    /// Records the outcome of the last order. If the endpoint has seen a newer epoch, no more orders are
    /// sent under this one.
    pub fn record_answer(&mut self, answer: OrderOutcome) {
        self.in_flight_since = None;
        match answer {
            OrderOutcome::Accepted | OrderOutcome::Unknown => {}
            OrderOutcome::Fenced(highest_epoch) => {
                self.highest_epoch = self.highest_epoch.max(highest_epoch);
                if self.epoch.is_some_and(|epoch| epoch < highest_epoch) {
                    self.epoch = None;
                }
            }
        }
    }

    /// Stops waiting for a response once the order has been in flight for `max_latency`.
    pub fn expire_in_flight(&mut self, max_latency: Duration, now: Timestamp) {
        if self
            .in_flight_since
            .is_some_and(|since| now.since(since) >= max_latency)
        {
            self.in_flight_since = None;
        }
    }
}

#[cfg(test)]
mod tests;
