//! What operators take out of service.

use std::str::FromStr;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use sesamecart_vocabulary::{
    EndpointId, FailureDomainId, GroupId, Offset, ParseIdError, PublishId, VmId,
};
use thiserror::Error;

/// What a drain takes out of service.
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
    /// Every endpoint of a failure domain.
    #[display("failure-domain:{_0}")]
    FailureDomain(FailureDomainId),
    /// Every group that a VM belongs to.
    #[display("vm:{_0}")]
    Vm(VmId),
    /// One endpoint.
    #[display("endpoint:{_0}")]
    Endpoint(EndpointId),
    /// A serving group.
    #[display("group:{_0}")]
    Group(GroupId),
}

/// Why a text can't be read as a drain target.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum ParseDrainTargetError {
    /// The kind before the colon is missing or unknown.
    #[error("{0:?} must be failure-domain:NAME, vm:NAME, endpoint:NAME or group:NAME")]
    Kind(String),
    /// The name after the colon can't be used.
    #[error("{text:?}: {source}")]
    Name {
        /// The whole text.
        text: String,
        /// What is wrong with the name.
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
    /// The change that began it.
    pub publish_id: PublishId,
    /// Who ordered it.
    pub author: String,
    /// The address that the order came from.
    pub from: String,
    /// When it was ordered, in milliseconds of wall-clock time.
    pub at_ms: u64,
    /// Where it stands in the log.
    pub offset: Offset,
}
