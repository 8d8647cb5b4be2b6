//! Asks the dispatcher of the request's pool, which decides for all nodes together.

use super::{Halt, PendingSend};
use crate::traffic::call::Call;

impl Call {
    /// Gets the endpoint that the dispatcher assigns to the first attempt, or refuses the request as the dispatcher
    /// says. Without an answer, this node chooses an endpoint itself.
    pub(super) async fn check_dispatch(&self, pending: &mut PendingSend<'_>) -> Result<(), Halt> {
        let assigned = self.ask_dispatcher(pending.attempts).await;
        pending.assigned = assigned.map_err(Halt::Refuse)?;
        // The request may have waited.
        self.check_deadline(pending)
    }
}
