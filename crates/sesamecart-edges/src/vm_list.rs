//! The platform's list of VMs, which lags behind what is true.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::{Display, Error};
use futures_lite::future::Boxed;
use serde::{Deserialize, Serialize};
use sesamecart_vocabulary::{Bytes as ByteSize, FailureDomainId, VmId};

use crate::body::BoxError;
use crate::client::HttpClient;

/// The largest list that is read, in bytes.
const MAX_LIST: ByteSize = ByteSize(16 * 1024 * 1024);

/// What a VM is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmRole {
    /// It runs a node.
    Entry,
    /// It runs a part of an endpoint.
    Backend,
}

/// What the platform last knew of a VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// It runs.
    Live,
    /// It will be taken away.
    Leaving,
}

/// One line of the list.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ListedVm {
    /// The VM.
    pub vm: VmId,
    /// Where it takes links, for an entry VM.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: FailureDomainId,
    /// What it is for.
    pub role: VmRole,
    /// What the platform last knew of it.
    pub state: VmState,
}

/// The list couldn't be read.
#[derive(Debug, Display, Error)]
#[display("VM list at {peer}: {reason}")]
pub struct VmListError {
    peer: SocketAddr,
    #[error(not(source))]
    reason: BoxError,
}

/// The platform's VM list, as the node sees it.
///
/// It lags, so it is used to find peers and never to decide that one is gone at once.
pub trait VmList: Send + Sync + std::fmt::Debug {
    /// Reads the list.
    fn read(&self) -> Boxed<Result<Vec<ListedVm>, VmListError>>;
}

/// The VM list over HTTP.
#[derive(Clone, Debug)]
pub struct HttpVmList {
    client: HttpClient,
    peer: SocketAddr,
    limit: Duration,
}

#[derive(Deserialize)]
struct List {
    vms: Vec<ListedVm>,
}

impl HttpVmList {
    /// Makes an adapter for the list at `peer`; each call takes at most `limit`.
    #[must_use]
    pub fn new(client: HttpClient, peer: SocketAddr, limit: Duration) -> Self {
        Self {
            client,
            peer,
            limit,
        }
    }

    async fn read_list(self) -> Result<Vec<ListedVm>, VmListError> {
        let peer = self.peer;
        let error = |reason: BoxError| VmListError { peer, reason };
        let response = self
            .client
            .get(peer, "/vms", MAX_LIST, self.limit)
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
