//! The status with which a node that doesn't read the store refers others to the node that it follows.

use std::net::SocketAddr;

use sesamecart_links::{Code, MetadataMap, Status};

#[cfg(test)]
mod tests;

/// The metadata key of the address at which the followed node accepts links.
const REFERRAL_KEY: &str = "sesamecart-referral";

/// Returns the status that this node doesn't read the store, with the node to ask instead.
pub(crate) fn referral_status(referral: Option<SocketAddr>) -> Status {
    let mut metadata = MetadataMap::new();
    let value = referral.and_then(|address| address.to_string().parse().ok());
    if let Some(value) = value {
        metadata.insert(REFERRAL_KEY, value);
    }
    let message = "the node doesn't read the store";
    Status::with_metadata(Code::FailedPrecondition, message, metadata)
}

/// Returns the node to which another node referred this one.
pub(crate) fn referral_of(status: &Status) -> Option<SocketAddr> {
    let value = status.metadata().get(REFERRAL_KEY)?;
    value.to_str().ok()?.parse().ok()
}
