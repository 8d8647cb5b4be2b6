//! Ends requests whose time has run out.

use super::{Halt, PendingSend};
use crate::traffic::call::Call;

impl Call {
    /// Refuses the request if no time is left for an attempt.
    pub(super) fn check_deadline(&self, pending: &mut PendingSend<'_>) -> Result<(), Halt> {
        if self.time_left().is_zero() {
            return Err(Halt::Refuse(self.refusal_of(pending, None)));
        }
        Ok(())
    }
}
