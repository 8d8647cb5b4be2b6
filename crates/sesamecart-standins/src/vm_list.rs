//! The platform's list of VMs, which lags behind the truth.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::Serialize;
use sesamecart_vocabulary::{FailureDomainId, VmId};

use crate::body::{self, Body};
use crate::server::{Connection, Cut, Handler, Server};

/// What a VM does.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VmRole {
    /// It runs a node.
    Entry,
    /// It runs an engine or a plain service.
    Backend,
}

/// Whether a VM is about to go.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// It stays.
    Live,
    /// It is about to go.
    Leaving,
}

/// One line of the list.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ListedVm {
    /// The VM; for an entry VM, its node's name.
    pub vm: VmId,
    /// Where it takes links or requests.
    pub address: SocketAddr,
    /// The failure domain that it lies in.
    pub failure_domain: FailureDomainId,
    /// What it does.
    pub role: VmRole,
    /// Whether it is about to go.
    pub state: VmState,
}

#[derive(Debug)]
struct Version {
    set: Instant,
    vms: Vec<ListedVm>,
}

#[derive(Debug)]
struct State {
    lag: Mutex<Duration>,
    versions: Mutex<Vec<Version>>,
}

/// A VM list on loopback.
#[derive(Debug)]
pub struct VmList {
    state: Arc<State>,
    server: Server,
}

impl VmList {
    /// Starts a list that shows `vms` at once and later changes after `lag`.
    ///
    /// # Errors
    ///
    /// Returns an error if no loopback port or thread can be had.
    pub fn start(vms: Vec<ListedVm>, lag: Duration) -> io::Result<Self> {
        let set = Instant::now();
        let state = Arc::new(State {
            lag: Mutex::new(lag),
            versions: Mutex::new(vec![Version { set, vms }]),
        });
        let server = Server::start("vms", Arc::clone(&state))?;
        Ok(Self { state, server })
    }

    /// Returns the address that it listens at.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets the true list, which shows after the lag.
    pub fn set(&self, vms: Vec<ListedVm>) {
        let set = Instant::now();
        self.state
            .versions
            .lock()
            .unwrap()
            .push(Version { set, vms });
    }

    /// Sets the lag.
    pub fn set_lag(&self, lag: Duration) {
        *self.state.lag.lock().unwrap() = lag;
    }

    /// Closes every connection and ends the thread.
    pub fn stop(self) {}
}

impl Handler for State {
    async fn answer(
        &self,
        req: Request<Incoming>,
        _connection: Connection,
    ) -> Result<Response<Body>, Cut> {
        if req.uri().path() != "/vms" {
            return Ok(body::error(StatusCode::NOT_FOUND, "no such path"));
        }
        let lag = *self.lag.lock().unwrap();
        let versions = self.versions.lock().unwrap();
        let shown = versions
            .iter()
            .rev()
            .find(|version| version.set.elapsed() >= lag)
            .unwrap_or(&versions[0]);
        let answer = serde_json::json!({ "vms": shown.vms });
        Ok(body::json(StatusCode::OK, &answer))
    }
}
