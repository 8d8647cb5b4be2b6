//! The links between nodes: gRPC services on tonic over HTTP/2.
//!
//! docs/design/links.md lists the part of the node that uses each message.

mod channel;
mod error;
mod links;
mod server;

/// The messages and services generated from `proto/link.proto`.
#[expect(
    clippy::allow_attributes,
    clippy::allow_attributes_without_reason,
    clippy::empty_structs_with_brackets,
    missing_docs,
    reason = "this file is generated"
)]
#[path = "generated/sesamecart.link.v1.rs"]
#[rustfmt::skip]
pub mod message;

/// The messages and services generated from `proto/feed.proto`.
#[expect(
    clippy::allow_attributes,
    clippy::allow_attributes_without_reason,
    clippy::empty_structs_with_brackets,
    missing_docs,
    reason = "this file is generated"
)]
#[path = "generated/sesamecart.feed.v1.rs"]
#[rustfmt::skip]
pub mod feed;

pub use channel::Channel;
pub use error::{LinkError, LinkStep};
pub use links::Links;
pub use server::{serve, serve_feed};
pub use tonic::metadata::MetadataMap;
pub use tonic::{Code, Request, Response, Status, async_trait};

#[cfg(test)]
mod tests;
