//! Sends requests through another node while this one doesn't reach the endpoints.

use super::crashes::after_run;
use super::{Halt, PendingSend};
use crate::crashes::SuspectRun;
use crate::traffic::call::Call;
use crate::traffic::forward::Forwarding;

impl Call {
    /// Sends the request to a node that reaches the endpoints, if this one doesn't.
    pub(super) async fn check_path(
        &self,
        pending: &mut PendingSend<'_>,
        suspect_run: &mut Option<SuspectRun>,
    ) -> Result<(), Halt> {
        let forwarding = self.forward(pending.attempts, suspect_run, pending.last_event);
        let (error, endpoint) = match forwarding.await {
            Forwarding::NotDone => return Ok(()),
            Forwarding::Answered(response) => return Err(Halt::Answered(response)),
            Forwarding::Refused(refusal) => return Err(Halt::Refuse(after_run(refusal, pending))),
            Forwarding::Failed(error, endpoint) => (error, endpoint),
        };
        self.report_failure(endpoint.as_ref(), &error);
        pending.attempts.record_failed_run(endpoint);
        pending.last_error = Some(error);
        if self.may_retry(pending.attempts) {
            Err(Halt::Again)
        } else {
            Err(Halt::Refuse(self.refusal_of(pending, None)))
        }
    }
}
