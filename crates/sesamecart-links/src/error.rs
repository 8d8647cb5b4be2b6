//! The error of a failed call over a link, with the step and the peer.

use std::net::SocketAddr;

use derive_more::Display;
use tonic::codegen::StdError;

/// The step of a call at which it failed.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum LinkStep {
    /// Opening the connection.
    #[display("connect")]
    Connect,
    /// Negotiating HTTP/2.
    #[display("handshake")]
    Handshake,
    /// Sending the call or waiting for its response.
    #[display("call")]
    Call,
}

/// The failure of a call over a link.
#[derive(Debug, Display)]
#[display("link to {peer}: {step}: {source}")]
pub struct LinkError {
    step: LinkStep,
    peer: SocketAddr,
    source: StdError,
}

impl LinkError {
    pub(crate) fn new(step: LinkStep, peer: SocketAddr, source: StdError) -> Self {
        Self { step, peer, source }
    }

    /// Returns the step at which the call failed.
    #[must_use]
    pub fn step(&self) -> LinkStep {
        self.step
    }
}

impl std::error::Error for LinkError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(self.source.as_ref())
    }
}
