//! Bounds the retries of all callers by a fraction of their first attempts.

use sesamecart_vocabulary::ServiceId;

use super::{Halt, PendingSend};
use crate::traffic::call::{AttemptError, Attempts, Call};
use crate::traffic::placement::Placement;

/// Why a request isn't sent again although its route allows it.
pub(in crate::traffic) const BUDGET_SPENT: &str = "the retry budget is spent";

impl Call {
    /// Refuses a retry that the budget doesn't allow.
    pub(super) fn check_retry_budget(
        &self,
        pending: &mut PendingSend<'_>,
        placement: &Placement,
    ) -> Result<(), Halt> {
        if self.charge_budget(pending.attempts, &placement.service) {
            return Ok(());
        }
        let may_have_run = pending.attempts.may_have_run();
        let error = AttemptError::new(BUDGET_SPENT.to_owned(), may_have_run);
        pending.last_error = Some(error);
        Err(Halt::Refuse(self.refusal_of(pending, None)))
    }

    /// Charges the next attempt to the retry budget: a first attempt adds to it, and a retry draws on it. Returns
    /// whether the budget allows the attempt.
    pub(in crate::traffic) fn charge_budget(
        &self,
        attempts: &mut Attempts,
        service: &ServiceId,
    ) -> bool {
        if !attempts.is_deposited {
            self.state.deposit_retry(service);
            attempts.is_deposited = true;
        }
        if attempts.is_uncharged_retry() {
            if !self.state.try_withdraw_retry(service) {
                return false;
            }
            attempts.record_charged();
        }
        true
    }
}
