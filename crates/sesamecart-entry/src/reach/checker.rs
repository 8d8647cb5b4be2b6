//! Opens connections to endpoints to learn whether this node reaches them, for itself and for other nodes.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use indexmap::IndexSet;
use sesamecart_edges::HttpClient;
use sesamecart_fleet::{Endpoint, Pool};
use sesamecart_vocabulary::EndpointId;

use super::sample;
use crate::clock;
use crate::state::EntryState;
use crate::traffic::CONNECT_TIMEOUT;

/// The number of endpoints to which connections are opened at once.
const SAMPLE_SIZE: usize = 3;

/// How long a connection to an endpoint shows that the pool is reachable.
const CONNECTION_TTL: Duration = Duration::from_millis(300);

/// The connections that show that a pool is reachable.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Evidence {
    /// Any connection refutes the suspicion that the pool is lost.
    AnyConnection,
    /// Connections to most endpoints show that a lost pool is reachable again. If a few of its endpoints remained
    /// reachable, any connection would end the loss again and again.
    MostConnections,
}

impl Evidence {
    const fn is_sufficient(self, reached: usize, checked: usize) -> bool {
        match self {
            Self::AnyConnection => reached > 0,
            Self::MostConnections => reached * 2 > checked,
        }
    }
}

/// Checks whether this node reaches pools of endpoints.
#[derive(Clone, Debug)]
pub(crate) struct ReachChecker {
    state: Arc<EntryState>,
    client: HttpClient,
}

impl ReachChecker {
    pub(crate) const fn new(state: Arc<EntryState>, client: HttpClient) -> Self {
        Self { state, client }
    }

    /// Returns whether this node reaches a pool and forwards requests of the asking node to it.
    pub(crate) async fn answer(&self, pool: &Pool, seeks_controller: bool) -> bool {
        if self.state.is_leaving() {
            return false;
        }
        let is_reachable = self.is_reachable(pool).await;
        if is_reachable && seeks_controller {
            self.state.reach.request_control();
        }
        is_reachable
    }

    async fn is_reachable(&self, pool: &Pool) -> bool {
        {
            let reach = self.state.reach.lock();
            if reach.tracker.lost_since(pool).is_some() {
                return false;
            }
            let recently = clock::now() - CONNECTION_TTL;
            if reach.tracker.has_connected_since(recently, pool) {
                return true;
            }
        }
        self.check(pool, &IndexSet::new(), Evidence::AnyConnection)
            .await
    }

    /// Opens connections to some endpoints of a pool, without those in `except`, and records the result. Returns
    /// whether the pool is reachable.
    pub(super) async fn check(
        &self,
        pool: &Pool,
        except: &IndexSet<EndpointId>,
        evidence: Evidence,
    ) -> bool {
        let endpoints = sample(&self.state, pool, SAMPLE_SIZE, except);
        let connections = endpoints.iter().map(|endpoint| {
            self.client
                .check_connection(endpoint.address, CONNECT_TIMEOUT)
        });
        let results = join_all(connections).await;
        let failed = endpoints.iter().zip(&results);
        let failed: Vec<&Arc<Endpoint>> = failed
            .filter(|(_, result)| result.is_err())
            .map(|(endpoint, _)| endpoint)
            .collect();
        let reached = endpoints.len() - failed.len();
        if evidence.is_sufficient(reached, endpoints.len()) {
            self.state.record_reachable(pool);
            return true;
        }
        for endpoint in failed {
            self.state.record_unreachable(pool, &endpoint.id);
        }
        false
    }
}
