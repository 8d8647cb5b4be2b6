//! IDs, sizes, rates and times shared by all sesamecart crates.
//!
//! Each is a newtype, so that for example an offset can't be passed as an epoch. docs/glossary.md maps the
//! names, which follow the users' specification, to the standard terms of the field.

mod class;
mod fingerprint;
mod hash;
mod id;
mod key;
mod number;
mod position;
mod prompt;
mod rate;
mod time;

pub use class::{Priority, RequestClass};
pub use fingerprint::{Fingerprint, ParseFingerprintError, RequestIdentity};
pub use hash::{SHARD_COUNT, rendezvous_weight, rendezvous_weight_of, stable_hash};
pub use id::{
    AdapterId, AttemptId, CustomerId, EndpointId, FabricDomainId, FailureDomainId, GroupId,
    ModelId, NodeId, ParseIdError, PublishId, RegionId, RequestId, ServiceId, TeamId, VmId,
};
pub use key::{BodyDigest, IdempotencyKey, KeyHash, ParseDigestError};
pub use number::{
    Bytes, Concurrency, Epoch, Generation, Incarnation, Offset, ParseNumberError, Permits,
    Revision, ShardId, StoreEra, Tokens, Weight,
};
pub use position::LogPosition;
pub use prompt::{ParsePromptPartError, PromptPartId};
pub use rate::{ParseRateError, RequestRate};
pub use time::{ParseTimestampError, Timestamp};
