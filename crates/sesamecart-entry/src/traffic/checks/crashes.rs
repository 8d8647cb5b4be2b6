//! Holds back requests that may crash their endpoint.

use super::{Halt, PendingSend};
use crate::crashes::SuspectRun;
use crate::traffic::call::Call;
use crate::traffic::refusal::Refusal;

impl Call {
    /// Refuses a request that may crash its endpoint. Returns a guard if the request is suspected and may run
    /// nevertheless.
    pub(super) async fn check_crashes(
        &self,
        pending: &PendingSend<'_>,
    ) -> Result<Option<SuspectRun>, Halt> {
        let admitted = self.admit_to_endpoint().await;
        admitted.map_err(|refusal| Halt::Refuse(after_run(refusal, pending)))
    }
}

/// Returns the refusal, or that the response is incomplete if the request may have run already.
pub(super) fn after_run(refusal: Refusal, pending: &PendingSend<'_>) -> Refusal {
    if pending.attempts.may_have_run() {
        Refusal::IncompleteResponse(refusal.to_string())
    } else {
        refusal
    }
}
