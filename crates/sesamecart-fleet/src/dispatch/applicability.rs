//! Whether dispatchers place the requests to a service.
//!
//! The load is that of callers who compete for too little capacity: routes that differ in urgency, or nodes that
//! are too small to hold what callers send while endpoints are full. Everywhere else, each node places its own
//! requests.

use serde::Deserialize;
use sesamecart_vocabulary::ServiceId;

use crate::catalog::{Catalog, Service};
use crate::sources::PeerNode;

#[cfg(test)]
mod tests;

/// The memory, in megabytes, below which a node can't hold many waiting requests.
const SMALL_NODE_MB: u64 = 128;

/// Whether dispatchers place requests, regardless of what the configuration calls for.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum DispatchSetting {
    /// They place the requests for all models with usable step times.
    Always,
    /// Each node places its own requests.
    Never,
}

/// Returns whether dispatchers place the requests to a service.
#[must_use]
pub fn uses_dispatchers(
    catalog: &Catalog,
    service: &ServiceId,
    nodes: &[PeerNode],
    setting: Option<DispatchSetting>,
) -> bool {
    let config = catalog.services.get(service);
    if !config.is_some_and(has_usable_steps) {
        return false;
    }
    match setting {
        Some(DispatchSetting::Always) => true,
        Some(DispatchSetting::Never) => false,
        None => catalog.has_unequal_routes(service) || nodes.iter().any(is_small),
    }
}

fn has_usable_steps(service: &Service) -> bool {
    let steps = service.engine.as_ref().and_then(|engine| engine.steps);
    steps.is_some_and(|steps| steps.is_usable())
}

fn is_small(node: &PeerNode) -> bool {
    node.memory_mb.is_some_and(|mb| mb < SMALL_NODE_MB)
}
