//! Ids, sizes, rates and times shared by every sesamecart crate.
//!
//! Each is a newtype, so that an offset can't be passed where an epoch is meant. The words follow
//! the users' brief; docs/glossary.md maps them to the field's standard terms.

mod class;
mod hash;
mod id;
mod key;
mod number;
mod time;

pub use class::{Priority, RequestClass};
pub use hash::{SHARDS, rendezvous_weight, rendezvous_weight_of, stable_hash};
pub use id::{
    AdapterId, AttemptId, CustomerId, EndpointId, FabricDomainId, FailureDomainId, GroupId,
    ModelId, NodeId, ParseIdError, PublishId, RegionId, RequestId, ServiceId, TeamId, VmId,
};
pub use key::{BodyDigest, IdempotencyKey, KeyHash, ParseDigestError};
pub use number::{
    Bytes, Concurrency, Epoch, Generation, Incarnation, Offset, ParseNumberError, Permits,
    Revision, ShardId, Tokens, Weight,
};
pub use time::{ParseTimestampError, Timestamp};
