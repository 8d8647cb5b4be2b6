//! Follows the platform's log and folds it, with the help of other nodes while the log is out.

use std::sync::Arc;
use std::time::Duration;

use sesamecart_edges::{Log, LogError, LogPage, LoggedRecord};
use sesamecart_fold::{Applied, AppliedAt, Record, Standing};
use sesamecart_links::Request;
use sesamecart_links::message::{FetchRecordsRequest, FetchStateRequest};
use sesamecart_runtime::{sleep, within};
use sesamecart_vocabulary::{Offset, Timestamp};

use crate::control::peers::{PEER_LIMIT, Peer, PeerView, Peers};
use crate::shared::Shared;

/// The most records that one read asks for.
const READ_LIMIT: usize = 500;

/// How long the follower rests after a failed read.
///
/// Without a rest, all nodes together would ask a log that is just coming back as fast as they can.
const FAILURE_REST: Duration = Duration::from_millis(200);

/// How long another node may take to hand over its state, which can be large.
const STATE_LIMIT: Duration = Duration::from_secs(5);

/// Reads the log in order and folds each record.
#[derive(Debug)]
pub(crate) struct Follower {
    shared: Arc<Shared>,
    log: Arc<dyn Log>,
    peers: Peers,
    standing: Standing,
}

impl Follower {
    pub(crate) fn new(shared: Arc<Shared>, log: Arc<dyn Log>, peers: Peers) -> Self {
        Self {
            shared,
            log,
            peers,
            standing: Standing::Behind,
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
                    if self.standing == Standing::Stranded {
                        self.ask_peers(begun).await;
                        sleep(FAILURE_REST).await;
                    }
                }
                Err(error) => {
                    self.note_failure(&error);
                    self.ask_peers(begun).await;
                    sleep(FAILURE_REST).await;
                }
            }
        }
    }

    fn take_page(&mut self, page: &LogPage, begun: Timestamp) {
        let read = self.shared.folded.take_page(page);
        self.note_applied(&read.applied);
        self.note_standing(read.standing);
        if read.standing == Standing::AtTail {
            self.shared.note_heard(begun);
        }
    }

    fn note_applied(&self, applied: &[AppliedAt]) {
        for AppliedAt { offset, applied } in applied {
            report(*offset, applied);
        }
        if !applied.is_empty() || self.shared.folded.settle_drains(self.shared.clock.now()) {
            self.shared.folded.settle_drains(self.shared.clock.now());
            self.shared.refresh_snapshot();
        }
    }

    fn note_standing(&mut self, standing: Standing) {
        let is_news = standing != self.standing;
        self.standing = standing;
        match standing {
            Standing::Seeking if is_news => {
                log::warn!("fold: the log has forgotten records; looking for a checkpoint.");
            }
            Standing::Stranded if is_news => {
                log::error!("fold: the log holds no checkpoint that helps; asking other nodes.");
            }
            _ => {}
        }
    }

    /// Goes on with what other nodes have read.
    ///
    /// A node that has state of its own follows any other; every node's state is made by the same
    /// rules, so a newer one is always right. A node that starts new takes the newest state among a
    /// majority: a single one could be far behind, and the node would put an old configuration in
    /// force.
    async fn ask_peers(&self, begun: Timestamp) {
        if self.shared.is_settled() {
            self.follow_peer(begun).await;
        } else {
            self.start_from_peers(begun).await;
        }
    }

    async fn follow_peer(&self, begun: Timestamp) {
        let peers = self.peers.all();
        let Some(peer) = fastrand::choice(&peers) else {
            return;
        };
        let request = FetchRecordsRequest {
            from_offset: self.shared.folded.with(|state| state.next_offset.0),
            limit: u32::try_from(READ_LIMIT).unwrap_or(u32::MAX),
        };
        let mut link = self.peers.links().to(peer.address);
        let fetched = within(PEER_LIMIT, link.fetch_records(Request::new(request))).await;
        let Ok(Ok(reply)) = fetched else {
            return;
        };
        let reply = reply.into_inner();
        let records = reply.records.into_iter().map(|record| LoggedRecord {
            offset: Offset(record.offset),
            time_ms: record.time_ms,
            data: record.data.into(),
        });
        let records: Vec<_> = records.collect();
        let applied = self.shared.folded.take_from_peer(&records);
        self.note_applied(&applied);
        let own = self.shared.folded.with(|state| state.next_offset);
        if own < Offset(reply.first_offset) {
            self.adopt_from(peer, begun).await;
        } else if own >= Offset(reply.next_offset) {
            self.shared.note_heard(begun);
        }
    }

    async fn start_from_peers(&self, begun: Timestamp) {
        let views = self.peers.ask_all().await;
        if let Some(newest) = newest_of_majority(&views) {
            self.adopt_from(newest, begun).await;
        }
    }

    async fn adopt_from(&self, peer: &Peer, begun: Timestamp) {
        let mut link = self.peers.links().to(peer.address);
        let fetched = within(
            STATE_LIMIT,
            link.fetch_state(Request::new(FetchStateRequest {})),
        );
        let Ok(Ok(reply)) = fetched.await else {
            return;
        };
        let reply = reply.into_inner();
        let Ok(envelope) = Record::decode(&reply.checkpoint) else {
            log::error!(
                "fold: {} handed over a state that can't be read.",
                peer.node
            );
            return;
        };
        let Record::Checkpoint { state } = envelope.record else {
            return;
        };
        if !reply.settled {
            return;
        }
        match self.shared.folded.adopt(*state) {
            Ok(()) => {
                let standing = self.shared.standing();
                log::info!(
                    "fold: took revision {} from {}.",
                    standing.revision,
                    peer.node
                );
                self.shared.refresh_snapshot();
                self.shared.note_heard(begun);
            }
            Err(error) => log::warn!("fold: the state of {} was not taken: {error}.", peer.node),
        }
    }

    fn note_success(&self) {
        if !self.shared.folded.log_answers() {
            log::info!("fold: the log answers.");
        }
        self.shared.folded.note_log(true);
    }

    fn note_failure(&self, error: &LogError) {
        if self.shared.folded.log_answers() {
            log::warn!("fold: {error}.");
        }
        self.shared.folded.note_log(false);
    }
}

/// Returns the node with the newest state, if a majority of all nodes, this one included, told
/// theirs.
fn newest_of_majority(views: &[PeerView]) -> Option<&Peer> {
    let nodes = views.len() + 1;
    let folded = views.iter().filter_map(|view| {
        let standing = view.standing?;
        (standing.next_offset > Offset(0)).then_some((standing, &view.peer))
    });
    let folded: Vec<_> = folded.collect();
    if 2 * folded.len() <= nodes {
        return None;
    }
    let newest = folded.into_iter().max_by_key(|(standing, _)| *standing);
    newest.map(|(_, peer)| peer)
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

#[cfg(test)]
mod tests;
