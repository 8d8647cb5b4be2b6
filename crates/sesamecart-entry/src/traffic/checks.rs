//! The checks that each attempt of a request passes before it is sent to an endpoint.
//!
//! They run in this order, each in a module of its own:
//!
//! | check | what it waits for | what ends the request | what starts the checks again |
//! | --- | --- | --- | --- |
//! | [`deadline`] | | no time is left | |
//! | [`crashes`] | the nodes that count the runs of a suspected request | it may crash its endpoint | |
//! | [`path`] | another node, if this one doesn't reach the endpoints | the other node's response or refusal | its attempt failed |
//! | [`dispatch`] | the dispatcher of its pool | the dispatcher's refusal; its key or route is gone | |
//! | [`endpoint`] | the check of a path that may be lost | no endpoint may be used | the path is lost |
//! | [`retry_budget`] | | the budget is spent | |
//! | [`limits`] | a permit for a limited endpoint | | no permit |
//! | [`leaving`] | | | the endpoint leaves |
//! | [`backoffs`] | | | the endpoint has asked for a backoff |
//!
//! Checks that use something up come after those that may end the request, so that a refused request takes nothing
//! from other callers.

mod backoffs;
mod crashes;
mod deadline;
mod dispatch;
mod endpoint;
mod leaving;
mod limits;
mod path;
mod retry_budget;

use sesamecart_fleet::SlowStartTicket;

use crate::crashes::SuspectRun;
use crate::dispatch::AssignedEndpoint;
use crate::traffic::call::{AttemptError, Attempts, Call, EndpointResponse};
use crate::traffic::placement::Placement;
use crate::traffic::refusal::Refusal;

pub(super) use retry_budget::BUDGET_SPENT;

/// A request between two of its attempts.
pub(super) struct PendingSend<'a> {
    pub(super) attempts: &'a mut Attempts,
    /// The error of the last attempt.
    pub(super) last_error: Option<AttemptError>,
    /// The endpoint that a dispatcher has assigned to the next attempt.
    pub(super) assigned: Option<AssignedEndpoint>,
    /// The last event that the caller has got, if the request goes on at another endpoint.
    pub(super) last_event: Option<&'a str>,
}

/// An attempt that has passed all checks.
pub(super) struct ReadyAttempt {
    pub(super) placement: Placement,
    /// Set if a crash may be attributed to the request.
    pub(super) suspect_run: Option<SuspectRun>,
    /// Set if it is one of the first requests after a backoff.
    pub(super) slow_start: Option<SlowStartTicket>,
}

/// Why an attempt isn't made.
pub(super) enum Halt {
    /// Something has changed, and the request passes all checks again.
    Again,
    /// The request isn't attempted again.
    Refuse(Refusal),
    /// Another node has sent the request, and an endpoint responded.
    Answered(Box<EndpointResponse>),
}

impl Call {
    /// Passes the checks before the next attempt.
    ///
    /// # Errors
    ///
    /// Returns why the attempt isn't made, as decided by the first check that the request doesn't pass.
    pub(super) async fn pass_checks(
        &self,
        pending: &mut PendingSend<'_>,
    ) -> Result<ReadyAttempt, Halt> {
        self.check_deadline(pending)?;
        let mut suspect_run = self.check_crashes(pending).await?;
        self.check_path(pending, &mut suspect_run).await?;
        self.check_dispatch(pending).await?;
        let placement = self.check_endpoint(pending).await?;
        self.check_retry_budget(pending, &placement)?;
        // After the budget, because a permit that isn't used is lost to other callers.
        self.check_limits(pending, &placement).await?;
        self.check_leaving(&placement)?;
        // Last, because the endpoint may have requested a backoff meanwhile.
        let slow_start = self.check_backoffs(&placement)?;
        Ok(ReadyAttempt {
            placement,
            suspect_run,
            slow_start,
        })
    }
}
