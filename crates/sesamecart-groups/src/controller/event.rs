//! The inputs and outputs of a controller.

use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};
use sesamecart_vocabulary::{Bytes, Epoch, FailureDomainId, GroupId, ModelId, ShardId, VmId};

use crate::assignment::{AssignmentRequest, Assignments};
use crate::fleet::Fleet;
use crate::order::{FencedOrder, OrderOutcome};
use crate::state::{GroupReport, Routability};

/// A VM's state in the platform's list, which may be outdated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VmState {
    /// The VM is running.
    Live,
    /// The VM is about to be removed.
    Leaving,
}

/// An input of a controller.
#[derive(Clone, Debug)]
pub enum Event {
    /// Another configuration was applied.
    Fleet(Arc<Fleet>),
    /// The folded assignments have changed.
    Assignments(Arc<Assignments>),
    /// The fold has rejected a request.
    Rejected(AssignmentRequest),
    /// The platform's list of VMs. A VM that isn't listed is gone.
    VmList(IndexMap<VmId, VmState>),
    /// A group's endpoint has reported its state.
    Report(GroupReport),
    /// The endpoint has responded to an order, or the order timed out.
    OrderAnswered {
        /// The group whose endpoint received the order.
        group: GroupId,
        /// The outcome of the order.
        answer: OrderOutcome,
    },
    /// A load has made progress.
    LoadProgress {
        /// The group that waits for it.
        group: GroupId,
        /// The VM that loads.
        vm: VmId,
        /// The version that it loads.
        version: String,
        /// The bytes still to load.
        remaining: Bytes,
    },
    /// A VM didn't accept its load.
    LoadFailed {
        /// The group that waits for it.
        group: GroupId,
        /// The VM.
        vm: VmId,
    },
    /// The bytes per second that the groups controlled by this node may load from the weight store. All
    /// owners share the store, so the rate is lowered when the store refuses loads and raised while it
    /// doesn't.
    StoreRate(Bytes),
    /// The failure domains that operators have drained.
    Drained(IndexSet<FailureDomainId>),
    /// This node holds a shard under a new epoch.
    EpochGained {
        /// The shard.
        shard: ShardId,
        /// The epoch.
        epoch: Epoch,
    },
    /// This node no longer holds a shard.
    EpochLost(ShardId),
    /// Periodic tick, on which the controller plans and acts.
    Tick,
}

/// An action that the node carries out for a controller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Append a change to a group to the log.
    Append(AssignmentRequest),
    /// Send an order to a group's endpoint.
    Order(FencedOrder),
    /// Start or continue a load at this rate. A rate of zero pauses it.
    Load {
        /// The group that waits for it.
        group: GroupId,
        /// The VM that loads.
        vm: VmId,
        /// The model.
        model: ModelId,
        /// The version.
        version: String,
        /// Bytes per second.
        bytes_per_s: Bytes,
    },
    /// Publish whether work may be sent to a group.
    Publish {
        /// The group.
        group: GroupId,
        /// Whether work may be sent to it.
        routability: Routability,
    },
}
