//! Names of the things that configuration and records speak about.

use std::str::FromStr;

use derive_more::{AsRef, Display};
use serde::{Deserialize, Serialize};

/// The longest name that is accepted, in bytes.
///
/// Names travel in headers, metric labels and heartbeats, so an unbounded one would let a single
/// configuration line enlarge every message.
const MAX_ID_BYTES: usize = 128;

/// Why a text can't be used as a name.
#[derive(Clone, Debug, Display, Eq, PartialEq, derive_more::Error)]
pub enum ParseIdError {
    /// The name is empty.
    #[display("a name must not be empty")]
    Empty,
    /// The name has more than 128 bytes.
    #[display("a name must have at most {MAX_ID_BYTES} bytes")]
    TooLong,
    /// The name holds a character that headers or metric labels can't carry unquoted.
    #[display("a name may hold only letters, digits and . _ : / -, not {_0:?}")]
    Character(#[error(not(source))] char),
}

fn check(text: &str) -> Result<(), ParseIdError> {
    if text.is_empty() {
        return Err(ParseIdError::Empty);
    }
    if text.len() > MAX_ID_BYTES {
        return Err(ParseIdError::TooLong);
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || "._:/-".contains(c);
    match text.chars().find(|c| !allowed(*c)) {
        Some(c) => Err(ParseIdError::Character(c)),
        None => Ok(()),
    }
}

macro_rules! name_id {
    ($(#[doc = $doc:literal])* $name:ident) => {
        $(#[doc = $doc])*
        #[derive(
            AsRef, Clone, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
        )]
        #[as_ref(str)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// Returns the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                check(text)?;
                Ok(Self(text.to_owned()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = ParseIdError;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                check(&text)?;
                Ok(Self(text))
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> Self {
                id.0
            }
        }
    };
}

name_id!(
    /// A node of the system: one process on one entry VM.
    NodeId
);
name_id!(
    /// A VM of the platform, as the planners' sheet names it.
    VmId
);
name_id!(
    /// A back end that serves requests: a serving group's front or one plain service process.
    EndpointId
);
name_id!(
    /// A serving group: the VMs that together hold one replica of a model.
    GroupId
);
name_id!(
    /// A tenant whose callers use the system.
    CustomerId
);
name_id!(
    /// A service that callers ask for by name.
    ServiceId
);
name_id!(
    /// A model.
    ModelId
);
name_id!(
    /// An adapter that an engine can load beside a model.
    AdapterId
);
name_id!(
    /// A failure domain: a zone whose VMs can be lost together.
    FailureDomainId
);
name_id!(
    /// A fabric domain: VMs joined by a network fast enough for one replica.
    FabricDomainId
);
name_id!(
    /// A region: failure domains close to each other.
    RegionId
);
name_id!(
    /// A team that administers part of the platform.
    TeamId
);
name_id!(
    /// A publisher's own name for one change, by which it finds the verdict after a lost answer.
    PublishId
);
name_id!(
    /// A caller's request, followed over nodes in logs.
    RequestId
);
name_id!(
    /// One try of a request at one endpoint; an answer must carry it back.
    ///
    /// Without it, a late or crossed answer on a reused connection could reach another caller.
    AttemptId
);
