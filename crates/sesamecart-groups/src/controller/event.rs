//! What a controller is told and what it wants done.

use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};
use sesamecart_vocabulary::{Bytes, Epoch, FailureDomainId, GroupId, ModelId, ShardId, VmId};

use crate::assignment::{AssignmentRequest, Assignments};
use crate::fleet::Fleet;
use crate::order::{FencedOrder, OrderAnswer};
use crate::state::{GroupReport, Routability};

/// A VM's state in the platform's list, which lags.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VmState {
    /// It runs.
    Live,
    /// It will go soon.
    Leaving,
}

/// What a controller is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// Another configuration is in force.
    Fleet(Arc<Fleet>),
    /// The fold has gone on.
    Assignments(Arc<Assignments>),
    /// The fold has rejected a request.
    Rejected(AssignmentRequest),
    /// The platform's list of VMs; one that isn't in it is gone.
    VmList(IndexMap<VmId, VmState>),
    /// A group's front has answered.
    Report(GroupReport),
    /// An order's answer came, or none within its time.
    OrderAnswered {
        /// The group whose endpoint was ordered.
        group: GroupId,
        /// What became of the order.
        answer: OrderAnswer,
    },
    /// A load has gone on.
    LoadProgress {
        /// The group that waits for it.
        group: GroupId,
        /// The VM that loads.
        vm: VmId,
        /// The version that it loads.
        version: String,
        /// What is left.
        remaining: Bytes,
    },
    /// A VM didn't take its load.
    LoadFailed {
        /// The group that waits for it.
        group: GroupId,
        /// The VM.
        vm: VmId,
    },
    /// What the weight store gives in a second to the groups controlled here. All owners share the
    /// store, so this falls when it refuses and rises again while it doesn't.
    StoreRate(Bytes),
    /// The failure domains that operators have taken out.
    Drained(IndexSet<FailureDomainId>),
    /// The node holds a shard under a new epoch.
    EpochGained {
        /// The shard.
        shard: ShardId,
        /// The epoch.
        epoch: Epoch,
    },
    /// The node doesn't hold a shard any more.
    EpochLost(ShardId),
    /// Time has passed.
    Tick,
}

/// What a controller wants done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Append a change of a group to the log.
    Append(AssignmentRequest),
    /// Send an order to a group's endpoint.
    Order(FencedOrder),
    /// Start or go on with a load at this rate; zero pauses it.
    Load {
        /// The group that waits for it.
        group: GroupId,
        /// The VM that loads.
        vm: VmId,
        /// The model.
        model: ModelId,
        /// The version.
        version: String,
        /// Bytes in a second.
        bytes_per_s: Bytes,
    },
    /// Publish whether a group may be given work.
    Publish {
        /// The group.
        group: GroupId,
        /// Whether it may.
        routability: Routability,
    },
}
