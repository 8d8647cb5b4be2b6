//! Endpoints that say in their responses that they leave.
//!
//! docs/design/leaving-endpoints.md describes what follows from it.

use async_channel::{Receiver, Sender};
use serde::Serialize;
use sesamecart_fleet::{Directory, Endpoint, GroupKey, Incarnation};
use sesamecart_platform::EngineReport;
use sesamecart_vocabulary::EndpointId;

use crate::clock;
use crate::events::Event;
use crate::follower::millis;
use crate::state::EntryState;

/// The groups with a member that leaves, for the controller.
#[derive(Debug)]
pub(crate) struct LeavingGroups {
    found: Sender<GroupKey>,
    /// Gets the group of each endpoint that has said that it leaves.
    pub(crate) receiver: Receiver<GroupKey>,
}

impl Default for LeavingGroups {
    fn default() -> Self {
        let (found, receiver) = async_channel::unbounded();
        Self { found, receiver }
    }
}

/// An endpoint that leaves, as operators see it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LeavingEndpoint {
    /// The endpoint.
    pub endpoint: String,
    /// The service that it belongs to.
    pub service: String,
    /// How long this node has known, from a response, that the endpoint leaves, in milliseconds.
    pub leaving_ms: u64,
}

impl EntryState {
    /// Records that an endpoint has said in its response to `request` that it leaves. `request` is empty if it was
    /// a report or an answer to an order. The endpoint gets no new work from then on.
    pub(crate) fn record_leaving(&self, endpoint: &Endpoint, request: &str) {
        if self.directory.load().is_leaving(endpoint) {
            return;
        }
        let now = clock::now();
        let mut is_new = false;
        self.directory.rcu(|current| {
            let mut directory = Directory::clone(current);
            is_new = directory.record_leaving(now, endpoint);
            directory
        });
        if !is_new {
            return;
        }
        self.events.write(&Event::EndpointLeaving {
            endpoint: endpoint.id.as_str(),
            request,
        });
        if let Some(key) = endpoint.group_key() {
            // The channel has no bound, and its receiver lives as long as this state.
            let _sent = self.leaving_groups.found.try_send(key);
        }
    }

    /// Records what an endpoint's report says about its leaving, unless another process sent the report.
    pub(crate) fn record_report(&self, endpoint: &Endpoint, report: &EngineReport) {
        let incarnations = endpoint.incarnation.zip(report.incarnation);
        let is_same = incarnations.is_none_or(|(known, reported)| known == reported);
        if report.is_leaving && is_same {
            self.record_leaving(endpoint, "");
        }
    }

    /// Records that an endpoint has said in a response to another node, which forwarded `request`, that it leaves.
    pub(crate) fn learn_leaving(
        &self,
        id: &EndpointId,
        incarnation: Option<Incarnation>,
        request: &str,
    ) {
        let directory = self.directory.load_full();
        let endpoint = directory.find(id);
        if let Some(endpoint) = endpoint.filter(|known| known.incarnation == incarnation) {
            self.record_leaving(endpoint, request);
        }
    }

    /// Returns the endpoints that have said in responses to this node that they leave, and are in the registry.
    #[must_use]
    pub fn leaving_endpoints(&self) -> Vec<LeavingEndpoint> {
        let now = clock::now();
        let directory = self.directory.load();
        let leaving = directory.listed().filter_map(|endpoint| {
            let since = directory.leaving_since(endpoint)?;
            Some(LeavingEndpoint {
                endpoint: endpoint.id.to_string(),
                service: endpoint.service.to_string(),
                leaving_ms: millis(now.since(since)),
            })
        });
        leaving.collect()
    }
}
