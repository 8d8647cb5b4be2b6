//! Avoids endpoints that leave.

use super::Halt;
use crate::traffic::call::Call;
use crate::traffic::placement::Placement;

impl Call {
    /// Looks for another endpoint if this one has begun to leave since it was chosen.
    pub(super) fn check_leaving(&self, placement: &Placement) -> Result<(), Halt> {
        let directory = self.state.directory.load();
        if directory.has_begun_to_leave(&placement.endpoint) {
            Err(Halt::Again)
        } else {
            Ok(())
        }
    }
}
