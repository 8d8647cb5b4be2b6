//! Keeps the limits that endpoints name for the requests of all nodes together.

use super::{Halt, PendingSend};
use crate::traffic::call::Call;
use crate::traffic::placement::Placement;

impl Call {
    /// Gets a permit if the endpoint is limited. Without one, the request looks for another endpoint.
    pub(super) async fn check_limits(
        &self,
        pending: &mut PendingSend<'_>,
        placement: &Placement,
    ) -> Result<(), Halt> {
        if self.acquire_permit(pending.attempts, placement).await {
            Ok(())
        } else {
            Err(Halt::Again)
        }
    }
}
