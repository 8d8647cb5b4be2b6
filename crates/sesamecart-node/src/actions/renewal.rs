//! Keeps the voters of owned shards alive: a voter that left or restarted is replaced.
//!
//! A voter that restarted has forgotten what it kept, so it can't vouch for its last life. Were too
//! many of a shard's voters lost one after another, the next owner could never be sure of having
//! heard of every intent, and the shard's keys would be refused. As long as the log is up, the
//! owner claims its own shard again with fresh voters. Heartbeats tell which life of a node they come
//! from.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use sesamecart_fold::{LeaseRecord, Record};
use sesamecart_lease::choose_voters;
use sesamecart_links::message::HeartbeatRequest;
use sesamecart_runtime::{sleep, with_timeout};
use sesamecart_vocabulary::{Incarnation, NodeId, ShardId, Timestamp};

use super::desk::Desk;

/// The time between two rounds of asking other nodes whether they live.
const WATCH_REST: Duration = Duration::from_millis(800);
/// How long a node may take to answer.
const WATCH_LIMIT: Duration = Duration::from_millis(400);
/// The nodes asked in one round.
///
/// Heartbeats take some five seconds to call a node down, since a wrong word spreads. An owner of keys
/// that died keeps its callers waiting for as long, so a few nodes are asked besides, and one that
/// doesn't answer is passed over here for a while. Nine nodes are all asked within two seconds.
const WATCHED: usize = 4;
/// The most other nodes among which it is done.
///
/// Of hundreds of nodes one owns few keys, and the calls would take the bytes and processor time that
/// control has left at that size; heartbeats alone must do there.
const WATCHED_AMONG: usize = 24;
/// The time between two looks at the voters of owned shards.
const RENEWAL_REST: Duration = Duration::from_millis(250);
/// The most shards renewed in one look, so that a lost failure domain doesn't fill the log's rate.
const RENEWALS: usize = 4;
/// How long a claim for fresh voters may go unread before it is appended again.
const APPEND_LIMIT: Duration = Duration::from_secs(1);

impl Desk {
    /// Asks other nodes in turn whether they answer.
    pub(crate) async fn watch_nodes(self: Arc<Self>) {
        let mut unasked: Vec<NodeId> = Vec::new();
        loop {
            if unasked.is_empty() {
                unasked = self.directory.others();
                fastrand::shuffle(&mut unasked);
            }
            if unasked.len() > WATCHED_AMONG {
                unasked.clear();
            }
            let nodes = unasked.split_off(unasked.len().saturating_sub(WATCHED));
            let begun = self.now();
            let heard = join_all(nodes.iter().map(|node| self.watch(node))).await;
            // A pause of this node makes all its time limits pass at once, and says nothing of others.
            let paused = self.now() - begun > 2 * WATCH_LIMIT;
            for (node, heard) in nodes.iter().zip(heard) {
                if heard {
                    self.directory.trust(node);
                } else if !paused {
                    self.directory.suspect(node, self.now());
                }
            }
            sleep(WATCH_REST).await;
        }
    }

    async fn watch(&self, node: &NodeId) -> bool {
        let Some(address) = self.directory.address(node) else {
            return false;
        };
        let mut client = self.peers.links().to(address);
        let asked = with_timeout(WATCH_LIMIT, client.heartbeat(HeartbeatRequest::default())).await;
        let receiver = asked.ok().and_then(Result::ok);
        let receiver = receiver.and_then(|reply| reply.into_inner().receiver);
        receiver.is_some_and(|member| member.node == node.as_str())
    }

    /// Looks at the voters of owned shards and replaces those that left or restarted.
    pub(crate) async fn renew_voters(self: Arc<Self>) {
        loop {
            sleep(RENEWAL_REST).await;
            let hears = self.folded().log_answers() && self.directory.hears_most(self.now());
            if !hears || self.shared.is_leaving() {
                continue;
            }
            let due = self.due_renewals();
            join_all(due.into_iter().map(|shard| self.renew(shard))).await;
        }
    }

    /// Returns shards to renew, each marked so that its voters are given nothing meanwhile.
    fn due_renewals(&self) -> Vec<ShardId> {
        let now = self.now();
        let mut state = self.lock();
        let shards: Vec<_> = state.owners.keys().copied().collect();
        let mut due = Vec::new();
        for shard in shards {
            let lease = self.folded().with(|fold| fold.leases.get(&shard).cloned());
            let Some(lease) = lease.filter(|_| self.owns(&mut state, shard)) else {
                continue;
            };
            let gathering = state
                .owners
                .get(&shard)
                .is_none_or(|owner| owner.is_recovering());
            // Only a lease in effect may change its voters: before that, its last holder may still
            // act on the promises of the old ones.
            let in_effect = self.shared.duties.owners().may_act(shard, now);
            if gathering || state.commit.is_mirrored(shard) || in_effect != Some(lease.epoch) {
                continue;
            }
            // A claim whose verdict isn't read stays undecided, and is appended again.
            let undecided = state.renewing.contains(&shard);
            let lives = state.voter_lives.entry(shard).or_default();
            let lost = lease.voters.iter().any(|voter| {
                let Some(life) = self.life(voter) else {
                    return false;
                };
                *lives.entry(voter.clone()).or_insert(life) != life
            });
            let due_now = undecided || lost || self.could_be_better(shard, &lease, now);
            if due_now && self.shared.duties.begin_voter_change(shard, now) {
                state.renewing.insert(shard);
                due.push(shard);
            }
            if due.len() >= RENEWALS {
                break;
            }
        }
        due
    }

    fn life(&self, node: &NodeId) -> Option<Incarnation> {
        if *node == self.shared.identity.node {
            return Some(self.shared.identity.incarnation);
        }
        self.directory.life(node)
    }

    /// Returns whether a voter doesn't answer, or there are more nodes to choose from than before.
    fn could_be_better(&self, shard: ShardId, lease: &LeaseRecord, now: Timestamp) -> bool {
        let me = &self.shared.identity.node;
        let silent = |voter: &NodeId| voter != me && !self.directory.is_trusted(voter, now);
        let chosen = choose_voters(shard, &self.directory.view(now));
        chosen.len() > lease.voters.len() || lease.voters.iter().any(silent)
    }

    /// Claims a shard that this node holds once more, with voters that live.
    ///
    /// Returns whether it does so; it doesn't while something is left with the old ones.
    pub(crate) fn refresh_voters(self: &Arc<Self>, shard: ShardId) -> bool {
        let mut state = self.lock();
        let gathering = state
            .owners
            .get(&shard)
            .is_none_or(|owner| owner.is_recovering());
        if gathering || state.commit.is_mirrored(shard) {
            return false;
        }
        state.renewing.insert(shard);
        drop(state);
        let desk = Arc::clone(self);
        self.tasks.spawn(async move { desk.renew(shard).await });
        true
    }

    async fn renew(&self, shard: ShardId) {
        let identity = &self.shared.identity;
        let epoch = self.lock().owners.get(&shard).map(|owner| owner.epoch());
        let Some(epoch) = epoch else {
            return;
        };
        let record = Record::Claim {
            shard,
            holder: identity.node.clone(),
            incarnation: identity.incarnation,
            builds_on: Some(epoch),
            voters: choose_voters(shard, &self.directory.view(self.now())),
        };
        let appended = with_timeout(APPEND_LIMIT, async {
            let offset = self.append_claim(shard, &record).await?;
            self.folded().applied(offset).await;
            Ok::<_, anyhow::Error>(())
        });
        if !matches!(appended.await, Ok(Ok(()))) {
            log::info!("actions: shard {shard} waits for the verdict on its fresh voters.");
        }
        let mut state = self.lock();
        self.owns(&mut state, shard);
    }
}
