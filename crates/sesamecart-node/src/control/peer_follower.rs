//! Follows the log through other nodes while the log doesn't answer this one.

use std::sync::Arc;
use std::time::Duration;

use sesamecart_edges::LoggedRecord;
use sesamecart_fold::{Record, State};
use sesamecart_links::Request;
use sesamecart_links::message::{FetchRecordsRequest, FetchStateRequest};
use sesamecart_runtime::{sleep, with_timeout};
use sesamecart_vocabulary::{Offset, Timestamp};

use crate::control::peers::{PEER_LIMIT, Peer, PeerView, Peers};
use crate::shared::Shared;

/// The most records that one call asks for.
const READ_LIMIT: u32 = 500;

/// How often the node looks whether it needs other nodes.
///
/// A node that is silently cut off from the log must still learn of a drain within three seconds:
/// one second until it counts the log as silent, this, and a call that may take most of another.
const POLL: Duration = Duration::from_millis(250);

/// After what time without an answer the log counts as silent.
///
/// The follower's reads are answered a few times a second, also when there is nothing new.
const LOG_SILENCE: Duration = Duration::from_secs(1);

/// How many other nodes are tried in a row.
const TRIES: usize = 3;

/// How long the node rests between two tries to learn keyed actions from others.
///
/// A state with an hour of them is large, and while the other node's state is behind, it is refused.
const LEARN_REST: Duration = Duration::from_secs(1);

/// How long another node may take to hand over its state, which can be large.
const STATE_LIMIT: Duration = Duration::from_secs(5);

/// Follows the log through other nodes.
#[derive(Debug)]
pub(crate) struct PeerFollower {
    shared: Arc<Shared>,
    peers: Peers,
}

impl PeerFollower {
    pub(crate) fn new(shared: Arc<Shared>, peers: Peers) -> Self {
        Self { shared, peers }
    }

    pub(crate) async fn run(self) {
        let poll = Duration::from_millis(self.shared.settings.log.poll_ms);
        let silence = LOG_SILENCE.max(2 * poll);
        loop {
            sleep(POLL).await;
            let now = self.shared.clock.now();
            if self.shared.folded.needs_peers(silence, now) {
                self.ask_peers().await;
            } else if !self.shared.folded.with(State::has_all_actions) {
                self.learn_actions().await;
            }
        }
    }

    /// Goes on with what other nodes have read.
    ///
    /// A node that has state of its own follows any other; every node's state is made by the same
    /// rules, so a newer one is always right. A node that starts new takes the newest state among a
    /// majority: a single one could be far behind, and the node would put an old configuration in
    /// force.
    async fn ask_peers(&self) {
        if self.shared.is_settled() {
            self.follow_some_peer().await;
        } else {
            self.start_from_peers().await;
        }
    }

    async fn follow_some_peer(&self) {
        let mut peers = self.peers.all();
        fastrand::shuffle(&mut peers);
        for peer in peers.iter().take(TRIES) {
            if self.follow_peer(peer).await {
                return;
            }
        }
    }

    /// Takes a peer's records and returns whether it answered.
    async fn follow_peer(&self, peer: &Peer) -> bool {
        let begun = self.shared.clock.now();
        let request = FetchRecordsRequest {
            from_offset: self.shared.folded.with(|state| state.next_offset.0),
            limit: READ_LIMIT,
        };
        let mut link = self.peers.links().to(peer.address);
        let fetched = with_timeout(PEER_LIMIT, link.fetch_records(Request::new(request))).await;
        let Ok(Ok(reply)) = fetched else {
            return false;
        };
        let reply = reply.into_inner();
        let records = reply.records.into_iter().map(|record| LoggedRecord {
            offset: Offset(record.offset),
            time_ms: record.time_ms,
            data: record.data.into(),
        });
        let records: Vec<_> = records.collect();
        let applied = self.shared.folded.take_from_peer(&records);
        self.shared.note_leases(&records, &applied);
        self.shared.note_applied(&applied);
        let own = self.shared.folded.with(|state| state.next_offset);
        if own < Offset(reply.first_offset) {
            self.adopt_from(peer, begun).await;
        } else if own >= Offset(reply.next_offset) {
            self.shared.note_heard(begun);
        }
        true
    }

    /// Takes the keyed actions that a checkpoint didn't hold from a node that knows them.
    async fn learn_actions(&self) {
        let peers = self.peers.all();
        if let Some(peer) = fastrand::choice(&peers) {
            let begun = self.shared.clock.now();
            self.adopt_from(peer, begun).await;
        }
        sleep(LEARN_REST).await;
    }

    async fn start_from_peers(&self) {
        let begun = self.shared.clock.now();
        let views = self.peers.ask_all().await;
        if let Some(newest) = newest_of_majority(&views) {
            self.adopt_from(newest, begun).await;
        }
    }

    async fn adopt_from(&self, peer: &Peer, begun: Timestamp) {
        let mut link = self.peers.links().to(peer.address);
        let fetched = with_timeout(
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
                self.shared.note_leases(&[], &[]);
                self.shared.refresh_snapshot();
                self.shared.note_heard(begun);
            }
            Err(error) => log::warn!("fold: the state of {} was not taken: {error}.", peer.node),
        }
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

#[cfg(test)]
mod tests;
