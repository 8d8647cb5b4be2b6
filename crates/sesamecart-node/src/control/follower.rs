//! Follows the platform's log and folds it.

use std::sync::Arc;
use std::time::Duration;

use sesamecart_edges::{Log, LogError, LogPage};
use sesamecart_fold::{Applied, Fold};
use sesamecart_runtime::sleep;

use crate::shared::Shared;
use crate::snapshot::Snapshot;

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
    fold: Fold,
    failing: bool,
}

impl Follower {
    pub(crate) fn new(shared: Arc<Shared>, log: Arc<dyn Log>) -> Self {
        Self {
            shared,
            log,
            fold: Fold::new(),
            failing: false,
        }
    }

    pub(crate) async fn run(mut self) {
        loop {
            let wait = Duration::from_millis(self.shared.settings.log.poll_ms);
            let begun = self.shared.clock.now();
            let from = self.fold.state().next_offset;
            match self.log.read(from, READ_LIMIT, wait).await {
                Ok(page) => {
                    self.note_success();
                    let at_tail = self.fold_page(&page);
                    if at_tail {
                        self.shared.note_heard(begun);
                    }
                }
                Err(error) => {
                    self.note_failure(&error);
                    sleep(FAILURE_REST).await;
                }
            }
        }
    }

    /// Folds a page and returns whether the state is now as new as the log's tail.
    fn fold_page(&mut self, page: &LogPage) -> bool {
        let before = self.fold.state().next_offset;
        for record in &page.records {
            let applied = self.fold.apply(record.offset, record.time_ms, &record.data);
            report(&applied);
        }
        let state = self.fold.state();
        if state.next_offset != before {
            self.shared.snapshot.store(Arc::new(Snapshot::of(state)));
        }
        state.next_offset >= page.next
    }

    fn note_success(&mut self) {
        if self.failing {
            log::info!("follower: the log answers again.");
        }
        self.failing = false;
    }

    fn note_failure(&mut self, error: &LogError) {
        if !self.failing {
            log::warn!("follower: {error}.");
        }
        self.failing = true;
    }
}

fn report(applied: &Applied) {
    log::debug!("follower: {applied:?}.");
}
