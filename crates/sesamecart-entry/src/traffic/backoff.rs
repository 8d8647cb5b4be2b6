//! Requests whose endpoints want no requests from this node for a while.

use std::sync::Arc;

use sesamecart_fleet::{Endpoint, Unavailable};
use sesamecart_vocabulary::Timestamp;

use crate::clock;
use crate::traffic::call::Call;
use crate::traffic::refusal::Refusal;

impl Call {
    /// Removes the endpoints that take no request now because of a backoff. Returns whether the request can't be
    /// sent for that reason; `candidates` are all endpoints, also those that it has tried.
    pub(super) fn remove_backing_off(
        &self,
        candidates: &[&Arc<Endpoint>],
        endpoints: &mut Vec<&Arc<Endpoint>>,
    ) -> bool {
        let now = clock::now();
        let tracker = self.state.backoffs.tracker();
        if tracker.is_empty() {
            return false;
        }
        let is_withheld = |endpoint: &Endpoint| {
            let until = tracker.withheld_until(now, &endpoint.id, endpoint.incarnation);
            until.is_some()
        };
        endpoints.retain(|endpoint| !is_withheld(endpoint));
        endpoints.is_empty() && candidates.iter().any(|endpoint| is_withheld(endpoint))
    }

    /// Returns when the first endpoint may take a request again, if a refusal is due to the endpoints' backoff.
    pub(super) fn backoff_end(&self, refusal: &Refusal) -> Option<Timestamp> {
        let is_certain = match refusal {
            Refusal::Unavailable(Unavailable::BackingOff) => true,
            Refusal::Unavailable(Unavailable::NoEndpoint) | Refusal::NotRun(_) => false,
            _ => return None,
        };
        let now = clock::now();
        let model = self.engine_model().map(|(_, model)| &model.model);
        let directory = self.state.directory.load();
        let mut earliest: Option<Timestamp> = None;
        for endpoint in directory.candidates(self.service()?, model) {
            match self.state.withheld_until(now, endpoint) {
                Some(until) => {
                    earliest = Some(earliest.map_or(until, |earliest| earliest.min(until)));
                }
                None if is_certain => {}
                None => return None,
            }
        }
        earliest
    }
}
