//! Chooses an endpoint for an attempt.

use std::sync::{Arc, Mutex, PoisonError};

use indexmap::IndexMap;
use sesamecart_config::Endpoint;
use sesamecart_vocabulary::{EndpointId, FailureDomainId};

/// The requests in flight at each endpoint from one traffic thread.
#[derive(Clone, Debug, Default)]
pub(crate) struct InFlight(Arc<Mutex<IndexMap<EndpointId, u32>>>);

/// One request in flight; it is counted until this is dropped.
#[derive(Debug)]
pub(crate) struct Flight {
    in_flight: InFlight,
    endpoint: EndpointId,
}

impl Drop for Flight {
    fn drop(&mut self) {
        let mut counts = self
            .in_flight
            .0
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(count) = counts.get_mut(&self.endpoint) {
            *count = count.saturating_sub(1);
        }
    }
}

impl InFlight {
    /// Chooses the endpoint with the fewest requests in flight, one in the node's own failure domain
    /// before others, and counts the request there.
    pub(crate) fn choose<'a>(
        &self,
        candidates: impl Iterator<Item = (&'a EndpointId, &'a Endpoint)>,
        home: &FailureDomainId,
        tried: &[EndpointId],
    ) -> Option<(Flight, &'a EndpointId, &'a Endpoint)> {
        let mut counts = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let (id, endpoint) = candidates
            .filter(|(id, _)| !tried.contains(id))
            .min_by_key(|(id, endpoint)| {
                (
                    counts.get(*id).copied().unwrap_or(0),
                    endpoint.failure_domain != *home,
                )
            })?;
        *counts.entry(id.clone()).or_default() += 1;
        let flight = Flight {
            in_flight: self.clone(),
            endpoint: id.clone(),
        };
        Some((flight, id, endpoint))
    }
}
