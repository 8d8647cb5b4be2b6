//! The client of the platform's VM list, which lags behind the actual state.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::{Display, Error};
use futures_lite::future::Boxed;
use serde::{Deserialize, Serialize};
use sesamecart_vocabulary::{Bytes as ByteSize, FailureDomainId, VmId};

use crate::body::BoxError;
use crate::client::HttpClient;

/// The maximum size of the list.
const MAX_LIST_BYTES: ByteSize = ByteSize(16 * 1024 * 1024);

/// The role of a VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmRole {
    /// The VM runs a node.
    Entry,
    /// The VM runs a part of an endpoint.
    Backend,
}

/// The last known state of a VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM is running.
    Live,
    /// The platform will remove the VM.
    Leaving,
}

/// An entry of the list.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ListedVm {
    /// The VM's id.
    pub vm: VmId,
    /// For an entry VM, the address where it accepts links.
    pub address: SocketAddr,
    /// The VM's failure domain.
    pub failure_domain: FailureDomainId,
    /// The VM's role.
    pub role: VmRole,
    /// The VM's last known state.
    pub state: VmState,
}

/// The error of reading the VM list.
#[derive(Debug, Display, Error)]
#[display("VM list at {peer}: {reason}")]
pub struct VmListError {
    peer: SocketAddr,
    #[error(not(source))]
    reason: BoxError,
}

/// A client of the platform's VM list.
///
/// Since the list lags, it is used to discover peers, but never to conclude immediately that a peer is gone.
pub trait VmList: Send + Sync + std::fmt::Debug {
    /// Reads the current list.
    fn read(&self) -> Boxed<Result<Vec<ListedVm>, VmListError>>;
}

/// The HTTP client of the VM list.
#[derive(Clone, Debug)]
pub struct HttpVmList {
    client: HttpClient,
    peer: SocketAddr,
    timeout: Duration,
}

#[derive(Deserialize)]
struct List {
    vms: Vec<ListedVm>,
}

impl HttpVmList {
    /// Creates a client of the list at `peer`; each call times out after `timeout`.
    #[must_use]
    pub fn new(client: HttpClient, peer: SocketAddr, timeout: Duration) -> Self {
        Self {
            client,
            peer,
            timeout,
        }
    }

    async fn read_list(self) -> Result<Vec<ListedVm>, VmListError> {
        let peer = self.peer;
        let error = |reason: BoxError| VmListError { peer, reason };
        let response = self
            .client
            .get(peer, "/vms", MAX_LIST_BYTES, self.timeout)
            .await
            .map_err(error)?;
        let status = response.status();
        if !status.is_success() {
            return Err(error(format!("answered {status}").into()));
        }
        let body = response.into_body();
        let list: List = serde_json::from_slice(&body).map_err(|cause| error(cause.into()))?;
        Ok(list.vms)
    }
}

impl VmList for HttpVmList {
    fn read(&self) -> Boxed<Result<Vec<ListedVm>, VmListError>> {
        Box::pin(self.clone().read_list())
    }
}
