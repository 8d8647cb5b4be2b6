//! Orders to endpoints under a shard's epoch.

use std::time::Duration;

use derive_more::Display;
use sesamecart_vocabulary::{AdapterId, Epoch, Generation, GroupId, ModelId, Timestamp};

/// An order to a group's endpoint with its fencing number.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FencedOrder {
    /// The group whose endpoint gets it.
    pub group: GroupId,
    /// The fencing number.
    pub epoch: Epoch,
    /// The generation that the engine shall run.
    pub generation: Generation,
    /// What to do.
    pub kind: OrderKind,
}

/// What an endpoint is told to do.
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
    /// Load an adapter beside the model.
    #[display("load_adapter {adapter}")]
    LoadAdapter {
        /// The model.
        model: ModelId,
        /// The adapter.
        adapter: AdapterId,
    },
    /// Change to another version of the model on the same members.
    #[display("load_version {version}")]
    LoadVersion {
        /// The model.
        model: ModelId,
        /// The version to change to.
        version: String,
    },
    /// Change the engine's role.
    #[display("change_role {role}")]
    ChangeRole {
        /// The role in the engine's own words.
        role: String,
    },
}

/// What became of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderAnswer {
    /// The endpoint took it.
    Taken,
    /// The endpoint has seen an order of a newer epoch.
    Fenced(Epoch),
    /// No answer or another refusal: it may or may not have taken effect.
    Unclear,
}

/// Sees to it that one group's orders go out one at a time and only under a live epoch.
///
/// What it guards against: an order of an earlier owner is still under way when the new owner sends
/// its own, and takes effect after it, so that the engine runs what nobody wants. An endpoint that
/// checks the fencing number refuses the late order; for one that doesn't, the new owner first waits
/// out the longest order in flight and then reads the endpoint's state.
#[derive(Clone, Debug, Default)]
pub struct OrderDesk {
    epoch: Option<Epoch>,
    newest: Epoch,
    not_before: Timestamp,
    state_read: bool,
    in_flight_since: Option<Timestamp>,
}

impl OrderDesk {
    /// The shard is held under a new epoch.
    pub fn gain(&mut self, epoch: Epoch, checks_epoch: bool, longest: Duration, now: Timestamp) {
        if epoch <= self.newest {
            return;
        }
        self.epoch = Some(epoch);
        self.newest = epoch;
        self.not_before = if checks_epoch { now } else { now + longest };
        self.state_read = false;
        self.in_flight_since = None;
    }

    /// The shard isn't held any more.
    pub fn lose(&mut self) {
        self.epoch = None;
    }

    /// The endpoint's state was read by a question sent at `asked_at`.
    pub fn state_read(&mut self, asked_at: Timestamp) {
        self.state_read |= asked_at >= self.not_before;
    }

    /// Returns the epoch to send the next order under, if one may go out now.
    #[must_use]
    pub fn may_send(&self, now: Timestamp) -> Option<Epoch> {
        if !self.state_read || self.in_flight_since.is_some() || now < self.not_before {
            return None;
        }
        self.epoch
    }

    /// An order was sent.
    pub fn sent(&mut self, now: Timestamp) {
        self.in_flight_since = Some(now);
    }

    /// The last order's answer came; an endpoint that knows a newer epoch ends this one.
    pub fn answered(&mut self, answer: OrderAnswer) {
        self.in_flight_since = None;
        match answer {
            OrderAnswer::Taken | OrderAnswer::Unclear => {}
            OrderAnswer::Fenced(newest) => {
                self.newest = self.newest.max(newest);
                if self.epoch.is_some_and(|epoch| epoch < newest) {
                    self.epoch = None;
                }
            }
        }
    }

    /// Gives up waiting for an answer after the longest time that an order can take.
    pub fn expire(&mut self, longest: Duration, now: Timestamp) {
        if self
            .in_flight_since
            .is_some_and(|since| now.since(since) >= longest)
        {
            self.in_flight_since = None;
        }
    }
}

#[cfg(test)]
mod tests;
