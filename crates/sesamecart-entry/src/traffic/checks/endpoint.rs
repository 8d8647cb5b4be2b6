//! Finds an endpoint for the attempt.

use sesamecart_fleet::Unavailable;

use super::{Halt, PendingSend};
use crate::dispatch::AssignedEndpoint;
use crate::traffic::call::Call;
use crate::traffic::placement::Placement;

impl Call {
    /// Returns the endpoint for the attempt, or refuses the request if no endpoint may be used.
    pub(super) async fn check_endpoint(
        &self,
        pending: &mut PendingSend<'_>,
    ) -> Result<Placement, Halt> {
        let assigned = pending.assigned.take();
        let endpoint = assigned.as_ref().map(|assigned| &assigned.endpoint);
        let policy = self.placement_policy();
        let unavailable = match self.place(pending.attempts, policy, endpoint) {
            Ok(placement) => return Ok(self.with_ticket(placement, assigned)),
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

    /// Adds the dispatcher's ticket to the placement if that is at the assigned endpoint.
    fn with_ticket(&self, placement: Placement, assigned: Option<AssignedEndpoint>) -> Placement {
        let Some(assigned) = assigned else {
            return placement;
        };
        if assigned.endpoint != placement.endpoint.id {
            self.record_unusable(&assigned);
            return placement;
        }
        Placement {
            ticket: Some(assigned.ticket),
            ..placement
        }
    }
}
