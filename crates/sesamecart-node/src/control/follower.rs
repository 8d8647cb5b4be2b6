//! Follows the platform's log and folds it.

use std::sync::Arc;
use std::time::Duration;

use sesamecart_edges::{Log, LogError, LogPage};
use sesamecart_fold::{Applied, AppliedRecord, ReaderStatus};
use sesamecart_runtime::sleep;
use sesamecart_vocabulary::{Offset, Timestamp};

use crate::shared::Shared;

/// The most records that one read asks for.
const READ_LIMIT: usize = 500;

/// How long the follower rests after a failed read.
///
/// Without a rest, all nodes together would ask a log that is just coming back as fast as they can.
const FAILURE_REST: Duration = Duration::from_millis(200);

/// Reads the log in order and folds each record.
#[derive(Debug)]
pub(crate) struct Follower {
    shared: Arc<Shared>,
    log: Arc<dyn Log>,
    standing: ReaderStatus,
}

impl Follower {
    pub(crate) fn new(shared: Arc<Shared>, log: Arc<dyn Log>) -> Self {
        Self {
            shared,
            log,
            standing: ReaderStatus::Behind,
        }
    }

    pub(crate) async fn run(mut self) {
        loop {
            let wait = Duration::from_millis(self.shared.settings.log.poll_ms);
            let begun = self.shared.clock.now();
            let from = self.shared.folded.wants();
            match self.log.read(from, READ_LIMIT, wait).await {
                Ok(page) => {
                    self.note_success();
                    self.take_page(&page, begun);
                    if matches!(
                        self.standing,
                        ReaderStatus::NoCheckpoint | ReaderStatus::LogOutdated
                    ) {
                        sleep(FAILURE_REST).await;
                    }
                }
                Err(error) => {
                    self.note_failure(&error);
                    sleep(FAILURE_REST).await;
                }
            }
        }
    }

    fn take_page(&mut self, page: &LogPage, begun: Timestamp) {
        let read = self.shared.folded.take_page(page);
        if !page.records.is_empty() {
            self.shared.note_leases(&page.records, &read.applied);
        }
        self.shared.note_applied(&read.applied);
        if read.adopted {
            log::info!("fold: took a checkpoint from the log.");
            self.shared.note_leases(&[], &[]);
            self.shared.refresh_snapshot();
        }
        self.note_standing(read.status);
        if read.status == ReaderStatus::AtTail {
            self.shared.duties.on_tail(begun, self.shared.clock.now());
            self.shared.note_heard(begun);
        }
    }

    fn note_standing(&mut self, standing: ReaderStatus) {
        let is_news = standing != self.standing;
        self.standing = standing;
        self.shared.folded.note_standing(standing);
        match standing {
            ReaderStatus::SeekingCheckpoint if is_news => {
                log::warn!("fold: the log has forgotten records; looking for a checkpoint.");
            }
            ReaderStatus::LogOutdated if is_news => {
                log::warn!("fold: the log's answer ends before what this node has read.");
            }
            ReaderStatus::NoCheckpoint if is_news => {
                log::error!("fold: the log holds no checkpoint that helps; asking other nodes.");
            }
            _ => {}
        }
    }

    fn note_success(&self) {
        if !self.shared.folded.log_answers() {
            log::info!("fold: the log answers.");
        }
        let now = self.shared.clock.now();
        self.shared.folded.note_log(true, now);
    }

    fn note_failure(&self, error: &LogError) {
        if self.shared.folded.log_answers() {
            log::warn!("fold: {error}.");
        }
        let now = self.shared.clock.now();
        self.shared.folded.note_log(false, now);
    }
}

impl Shared {
    /// Tells what records did and shows the traffic threads the new state.
    pub(crate) fn note_applied(&self, applied: &[AppliedRecord]) {
        for AppliedRecord { offset, applied } in applied {
            report(*offset, applied);
        }
        let settled = self.folded.settle_drains(self.clock.now());
        if settled || applied.iter().any(|at| shows_in_snapshot(&at.applied)) {
            self.refresh_snapshot();
        }
    }
}

/// Returns whether the traffic threads' picture may look different after a record.
///
/// Keyed actions alone can bring a hundred records a second. Making the picture of hundreds of
/// endpoints anew for each of them would take more of the control thread than all else it does.
fn shows_in_snapshot(applied: &Applied) -> bool {
    match applied {
        Applied::Claimed { .. }
        | Applied::Released { .. }
        | Applied::Ordered { .. }
        | Applied::Intents { .. }
        | Applied::Outcomes { .. }
        | Applied::ActionBatch { .. }
        | Applied::Checkpointed { .. }
        | Applied::AlreadyApplied
        | Applied::Gap { .. } => false,
        Applied::Published { .. }
        | Applied::Drained { .. }
        | Applied::Repeated { .. }
        | Applied::Assigned { .. }
        | Applied::Unassigned { .. }
        | Applied::Rejected(_)
        | Applied::Skipped(_) => true,
    }
}

fn report(offset: Offset, applied: &Applied) {
    match applied {
        Applied::Skipped(error) => {
            log::error!("fold: the record at offset {offset} was skipped: {error}.");
        }
        Applied::Rejected(rejection) => log::info!("fold: offset {offset}: {rejection}."),
        Applied::Published { revision } => log::info!("fold: revision {revision} is in force."),
        other => log::debug!("fold: offset {offset}: {other:?}."),
    }
}
