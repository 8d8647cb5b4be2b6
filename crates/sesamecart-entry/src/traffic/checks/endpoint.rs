//! Finds an endpoint for the attempt.

use sesamecart_fleet::Unavailable;

use super::{Halt, PendingSend};
use crate::traffic::call::Call;
use crate::traffic::placement::{Placement, RestrictedEndpointPolicy};

impl Call {
    /// Returns the endpoint for the attempt, or refuses the request if no endpoint may be used.
    pub(super) async fn check_endpoint(
        &self,
        pending: &mut PendingSend<'_>,
    ) -> Result<Placement, Halt> {
        let policy = RestrictedEndpointPolicy::WithinLimits;
        let unavailable = match self.place(pending.attempts, policy, pending.assigned.as_ref()) {
            Ok(placement) => return Ok(placement),
            Err(unavailable) => unavailable,
        };
        if self
            .wait_for_path_check(pending.attempts, unavailable)
            .await
        {
            return Err(Halt::Again);
        }
        match unavailable {
            Unavailable::Limited => self.record_limited(pending.attempts),
            Unavailable::BackingOff => self.state.metrics.count_backed_off_request(),
            _ => {}
        }
        Err(Halt::Refuse(self.refusal_of(pending, Some(unavailable))))
    }
}
