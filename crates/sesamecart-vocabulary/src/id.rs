//! IDs of the objects that configurations and records refer to.

use std::str::FromStr;

use derive_more::{AsRef, Display};
use serde::{Deserialize, Serialize};

/// The maximum length of an ID in bytes.
///
/// IDs are part of headers, metric labels and heartbeats. Without a limit, a single line of configuration
/// could enlarge every message.
const MAX_ID_BYTES: usize = 128;

/// The error of parsing an ID.
#[derive(Clone, Debug, Display, Eq, PartialEq, derive_more::Error)]
pub enum ParseIdError {
    /// The ID is empty.
    #[display("a name must not be empty")]
    Empty,
    /// The ID is longer than `MAX_ID_BYTES`.
    #[display("a name must have at most {MAX_ID_BYTES} bytes")]
    TooLong,
    /// The ID contains a character that would need quoting in a header or a metric label.
    #[display("a name may hold only letters, digits and . _ : / -, not {_0:?}")]
    Character(#[error(not(source))] char),
}

fn validate(text: &str) -> Result<(), ParseIdError> {
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
            /// Returns the name as a string slice.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                validate(text)?;
                Ok(Self(text.to_owned()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = ParseIdError;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                validate(&text)?;
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
    /// A VM of the platform, named as in the platform's VM list.
    VmId
);
name_id!(
    /// A back end: an engine or a plain service process.
    EndpointId
);
name_id!(
    /// A serving group: the VMs that together serve one replica of a model.
    GroupId
);
name_id!(
    /// A customer: a tenant whose callers use the system.
    CustomerId
);
name_id!(
    /// A service that callers request by name.
    ServiceId
);
name_id!(
    /// A model.
    ModelId
);
name_id!(
    /// An adapter that an engine can load in addition to a model.
    AdapterId
);
name_id!(
    /// A failure domain: a zone whose VMs can fail together.
    FailureDomainId
);
name_id!(
    /// A fabric domain: VMs connected by a network that is fast enough for one replica to span them.
    FabricDomainId
);
name_id!(
    /// A region: failure domains that are close to each other.
    RegionId
);
name_id!(
    /// A team that administers part of the platform.
    TeamId
);
name_id!(
    /// The ID that a publisher assigns to a change, so that it can look up the verdict if the response is lost.
    PublishId
);
name_id!(
    /// A caller's request, used to correlate log lines across nodes.
    RequestId
);
name_id!(
    /// An attempt of a request at an endpoint. The response must repeat the ID.
    ///
    /// Otherwise a late or misrouted response on a reused connection could reach another caller.
    AttemptId
);
