//! The evidence that this node has observed itself.

use sesamecart_vocabulary::Timestamp;

use super::DueDecision;
use super::report::{
    BlockedRequest, Clearance, CrashedRun, EndpointCrash, RequestOrigin, SuspectedPart, Suspicion,
};
use super::suspects::SuspectKind;
use crate::number::Incarnation;

/// A run that this node observed.
#[derive(Clone, Debug)]
pub(super) struct OwnRun {
    pub(super) run: CrashedRun,
    pub(super) origin: RequestOrigin,
    pub(super) observed_at: Timestamp,
    pub(super) share_at: Timestamp,
}

/// A block by this node.
#[derive(Clone, Debug)]
pub(super) struct OwnBlock {
    pub(super) block: BlockedRequest,
    pub(super) expires_at: Timestamp,
}

/// A clearance by this node.
#[derive(Clone, Debug)]
pub(super) struct OwnClearance {
    pub(super) clearance: Clearance,
    pub(super) cleared_at: Timestamp,
    /// Whether this node has reported evidence that it voids.
    pub(super) is_shared: bool,
}

impl OwnRun {
    pub(super) fn is_of(&self, due: &DueDecision) -> bool {
        self.run.concerns(&due.suspect) && self.run.crash == due.crash
    }
}

/// Returns the evidence that remains after a block has expired: one more crash blocks the request again.
pub(super) fn probation(now: Timestamp, block: &BlockedRequest) -> Vec<OwnRun> {
    let endpoints = block.endpoints.iter().cycle();
    let kind = match block.part {
        Some(_) => SuspectKind::Part,
        None => SuspectKind::Request,
    };
    let runs = (0..kind.crash_limit(block.clearances) - 1).zip(endpoints);
    let runs = runs.map(|(crashes, endpoint)| {
        let suspicion = Suspicion {
            crashes,
            clearances: block.clearances,
        };
        let part = block.part.is_some().then_some(SuspectedPart {
            part: block.request,
            suspicion,
        });
        CrashedRun {
            request: block.request,
            crash: EndpointCrash {
                endpoint: endpoint.clone(),
                incarnation: Some(Incarnation(u64::from(crashes))),
            },
            suspicion,
            ran_ms: block.ran_ms,
            parts: part.into_iter().collect(),
            customer: block.origin.customer.clone(),
        }
    });
    let own = runs.map(|run| OwnRun {
        run,
        origin: block.origin.clone(),
        observed_at: now,
        share_at: now,
    });
    own.collect()
}
