//! Binary data in JSON records.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use derive_more::{AsRef, From, Into};
use serde::{Deserialize, Serialize};

/// Bytes of a response, encoded in base64 since JSON strings can't hold arbitrary bytes.
#[derive(AsRef, Clone, Debug, Default, Eq, From, Hash, Into, PartialEq, Serialize, Deserialize)]
#[as_ref([u8])]
#[serde(try_from = "String", into = "String")]
pub struct EncodedBody(pub Vec<u8>);

impl From<EncodedBody> for String {
    fn from(body: EncodedBody) -> Self {
        STANDARD.encode(body.0)
    }
}

impl TryFrom<String> for EncodedBody {
    type Error = base64::DecodeError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        STANDARD.decode(text).map(Self)
    }
}
