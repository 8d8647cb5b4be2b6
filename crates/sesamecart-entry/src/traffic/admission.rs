//! Whether the configuration allows a request.

use std::sync::Arc;

use http::request::Parts;
use sesamecart_fleet::{Catalog, Customer, PathRoute, RouteMatch};
use sesamecart_platform::RequestMetadata;

use crate::state::EntryState;
use crate::traffic::refusal::Refusal;

/// The configuration, route and customer of an admitted request.
pub(super) struct Admitted {
    pub(super) catalog: Arc<Catalog>,
    pub(super) route: Arc<PathRoute>,
    pub(super) customer: Option<Arc<Customer>>,
}

/// Looks up the route and the customer of a request in the current configuration.
///
/// # Errors
///
/// Refuses requests that the configuration doesn't allow, and all requests while the configuration is
/// missing. Requests that need a key are also refused while the configuration isn't confirmed to be
/// recent.
pub(super) fn admit(
    state: &EntryState,
    head: &Parts,
    metadata: &RequestMetadata,
) -> Result<Admitted, Refusal> {
    let not_ready = Refusal::NotReady;
    let catalog = state.catalog.load_full();
    let catalog = catalog.ok_or_else(|| not_ready("the node has no configuration yet"))?;
    if head_size(head) > catalog.limits.max_header_bytes.0 {
        return Err(Refusal::HeadTooLarge);
    }
    // A route or key that is missing from an outdated configuration may have been added since. A node
    // that may have missed a change therefore responds that it isn't ready instead of denying an allowed
    // request.
    let deny = |refusal| {
        if state.is_configuration_outdated() {
            not_ready("the node's configuration may be out of date")
        } else {
            refusal
        }
    };
    let RouteMatch::Found(route) = catalog.route(&metadata.host, head.uri.path()) else {
        return Err(deny(Refusal::NoRoute));
    };
    let Some(customers) = catalog.customers.as_ref().filter(|_| !route.is_public) else {
        return Ok(Admitted {
            catalog,
            route,
            customer: None,
        });
    };
    if !state.is_confirmed_fresh() {
        return Err(not_ready("the node's configuration is too old"));
    }
    let key = metadata.key.as_ref();
    let customer = key.and_then(|key| customers.get(key)).cloned();
    let customer = customer.ok_or_else(|| deny(Refusal::InvalidKey))?;
    Ok(Admitted {
        catalog,
        route,
        customer: Some(customer),
    })
}

/// Returns the approximate size of a request's head in bytes.
fn head_size(head: &Parts) -> u64 {
    let headers = head.headers.iter();
    // The 4 bytes are the colon, the space and the line break of each header.
    let lines = headers.map(|(name, value)| name.as_str().len() + value.len() + 4);
    let target = head
        .uri
        .path_and_query()
        .map_or(0, |target| target.as_str().len());
    (lines.sum::<usize>() + target) as u64
}
