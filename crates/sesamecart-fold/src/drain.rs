//! Drains, with which operators take endpoints out of service.

use std::str::FromStr;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use sesamecart_vocabulary::{
    EndpointId, FailureDomainId, GroupId, Offset, ParseIdError, PublishId, VmId,
};
use thiserror::Error;

/// The target of a drain.
///
/// # Examples
///
/// ```
/// use sesamecart_fold::DrainTarget;
///
/// let target: DrainTarget = "failure-domain:muscat-a".parse().unwrap();
/// assert_eq!(target.to_string(), "failure-domain:muscat-a");
/// ```
#[derive(Clone, Debug, Display, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub enum DrainTarget {
    /// All endpoints of a failure domain.
    #[display("failure-domain:{_0}")]
    FailureDomain(FailureDomainId),
    /// All endpoints that use a VM, including the group that it belongs to.
    #[display("vm:{_0}")]
    Vm(VmId),
    /// One endpoint.
    #[display("endpoint:{_0}")]
    Endpoint(EndpointId),
    /// A serving group.
    #[display("group:{_0}")]
    Group(GroupId),
}

/// The error of parsing a drain target.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum ParseDrainTargetError {
    /// The kind before the colon is missing or unknown.
    #[error("{0:?} must be failure-domain:NAME, vm:NAME, endpoint:NAME or group:NAME")]
    Kind(String),
    /// The name after the colon is invalid.
    #[error("{text:?}: {source}")]
    Name {
        /// The text that was parsed.
        text: String,
        /// The error of parsing the name.
        source: ParseIdError,
    },
}

impl FromStr for DrainTarget {
    type Err = ParseDrainTargetError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let unknown = || ParseDrainTargetError::Kind(text.to_owned());
        let (kind, name) = text.split_once(':').ok_or_else(unknown)?;
        let parsed = match kind {
            "failure-domain" => name.parse().map(Self::FailureDomain),
            "vm" => name.parse().map(Self::Vm),
            "endpoint" => name.parse().map(Self::Endpoint),
            "group" => name.parse().map(Self::Group),
            _ => return Err(unknown()),
        };
        parsed.map_err(|source| ParseDrainTargetError::Name {
            text: text.to_owned(),
            source,
        })
    }
}

impl TryFrom<String> for DrainTarget {
    type Error = ParseDrainTargetError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<DrainTarget> for String {
    fn from(target: DrainTarget) -> Self {
        target.to_string()
    }
}

/// A drain in force.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Drain {
    /// The change that started the drain.
    pub publish_id: PublishId,
    /// The operator that started the drain.
    pub author: String,
    /// The operator's address.
    pub from: String,
    /// When the drain was requested, in milliseconds of wall-clock time.
    pub at_ms: u64,
    /// The offset of the drain's record in the log.
    pub offset: Offset,
}
