//! Spares endpoints that want no requests for a while.

use sesamecart_fleet::{SendDecision, SlowStartTicket};

use super::Halt;
use crate::traffic::call::Call;
use crate::traffic::placement::Placement;

impl Call {
    /// Looks for another endpoint if this one has requested a backoff since it was chosen. Returns a ticket if
    /// the attempt is one of the first after a backoff.
    pub(super) fn check_backoffs(
        &self,
        placement: &Placement,
    ) -> Result<Option<SlowStartTicket>, Halt> {
        match self
            .state
            .start_send(&placement.endpoint, &self.metadata.id)
        {
            SendDecision::Withheld => Err(Halt::Again),
            SendDecision::Unrestricted => Ok(None),
            SendDecision::SlowStart { ticket, .. } => Ok(Some(ticket)),
        }
    }
}
