//! Permits for requests to endpoints that limit the requests of all nodes together.

use std::sync::Arc;
use std::time::Duration;

use sesamecart_fleet::{Endpoint, LimitStatus, Permit, PermitRequest};

use crate::clock;
use crate::events::Event;
use crate::traffic::call::{Attempts, Call};
use crate::traffic::placement::{Placement, RestrictedEndpointPolicy};

/// How often a request may be denied a permit before it avoids limited endpoints. Each denial costs the caller
/// a round trip to another node.
const MAX_DENIALS: u32 = 3;

/// How long an endpoint isn't asked for after no authority for its limit answered.
const NO_AUTHORITY_DELAY: Duration = Duration::from_millis(500);

/// The maximum number of limited endpoints that the log names for a refused request.
const MAX_LOGGED_ENDPOINTS: usize = 4;

impl Call {
    /// Gets the permit that a request needs at a limited endpoint. Returns whether the request may be sent; if
    /// not, the endpoint isn't selected again for some time.
    pub(super) async fn acquire_permit(
        &self,
        attempts: &mut Attempts,
        placement: &Placement,
    ) -> bool {
        let endpoint = &placement.endpoint;
        let limit = match self.state.limit_status(clock::now(), endpoint) {
            LimitStatus::Unlimited => return true,
            LimitStatus::UsedUp => {
                attempts.denials += 1;
                return false;
            }
            LimitStatus::NeedsPermit(limit) => limit,
        };
        let req = PermitRequest {
            limit,
            customer: self.customer.as_ref().map(|customer| customer.id.clone()),
            priority: self.priority(),
        };
        let permit = self.limits.request(&req).await;
        self.limits.count_permit(permit);
        let now = clock::now();
        let mut known = self.state.limits.known();
        let retry_after = match permit {
            Some(Permit::Granted) => {
                known.record_admitted(&endpoint.id);
                return true;
            }
            Some(Permit::Unlimited) => {
                let change = known.record_unlimited(now, &endpoint.id);
                drop(known);
                if let Some(change) = change {
                    self.state.record_limit_change(&endpoint.id, "", change);
                }
                return true;
            }
            Some(Permit::Denied(retry_after)) => retry_after,
            None => NO_AUTHORITY_DELAY,
        };
        known.record_denied(now, &endpoint.id, retry_after);
        attempts.denials += 1;
        false
    }

    /// Removes the limited endpoints that the request can't use now. Returns whether there were any.
    pub(super) fn remove_limited(
        &self,
        attempts: &Attempts,
        policy: RestrictedEndpointPolicy,
        endpoints: &mut Vec<&Arc<Endpoint>>,
    ) -> bool {
        let known = self.state.limits.known();
        if known.is_empty() {
            return false;
        }
        let now = clock::now();
        let may_ask = policy != RestrictedEndpointPolicy::Skip && attempts.denials < MAX_DENIALS;
        let before = endpoints.len();
        endpoints.retain(
            |endpoint| match known.status(now, &endpoint.id, endpoint.incarnation) {
                LimitStatus::Unlimited => true,
                LimitStatus::NeedsPermit(_) => may_ask,
                LimitStatus::UsedUp => false,
            },
        );
        endpoints.len() < before
    }

    /// Logs and counts a refusal because of limits, with the endpoints that name them.
    pub(super) fn record_limited(&self, attempts: &Attempts) {
        let Some(service) = self.service() else {
            return;
        };
        let model = self.engine_model().map(|(_, model)| &model.model);
        let directory = self.state.directory.load_full();
        let candidates = directory.candidates(service, model);
        let now = clock::now();
        let limited = candidates
            .filter(|endpoint| self.state.limit_status(now, endpoint) != LimitStatus::Unlimited);
        let limited: Vec<&Arc<Endpoint>> = limited.collect();
        let mut known = self.state.limits.known();
        for endpoint in &limited {
            known.record_refused(&endpoint.id);
        }
        drop(known);
        let logged = limited.iter().take(MAX_LOGGED_ENDPOINTS);
        let logged: Vec<&str> = logged.map(|endpoint| endpoint.id.as_str()).collect();
        self.state.metrics.count_limited_request();
        self.state.events.write(&Event::RequestLimited {
            request: self.metadata.id.as_str(),
            endpoints: &logged,
            limited: limited.len(),
            denials: attempts.denials,
        });
    }
}
