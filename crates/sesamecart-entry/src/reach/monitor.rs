//! The task that confirms the loss of pools, notices its end, and finds nodes that forward requests meanwhile.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::{join, join_all};
use indexmap::IndexSet;
use sesamecart_fleet::{GroupKey, Helpers, PeerNode, Pool};
use sesamecart_links::Links;
use sesamecart_links::feed::ReachRequest;
use sesamecart_runtime::{sleep, sleep_paced, with_patience};
use sesamecart_vocabulary::{EndpointId, NodeId, Timestamp};

use super::checker::Evidence;
use super::{Reach, ReachChecker, ReachState};
use crate::clock;
use crate::events::Event;
use crate::state::EntryState;

/// Interval of the checks while a pool is lost or suspected.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The same interval while a pool is lost for all nodes, so that their checks cost its endpoints little.
const NO_HELPER_CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// How long changes are collected, because many connections fail at once.
const BATCH_DELAY: Duration = Duration::from_millis(5);

/// Interval at which nodes are asked whether they reach a lost pool.
const ASK_INTERVAL: Duration = Duration::from_millis(250);

/// Timeout of such a question. The other node may open a connection first.
const ASK_TIMEOUT: Duration = Duration::from_millis(200);

/// How long a helper may leave questions unanswered before the requests that it forwards are moved.
const HELPER_SILENCE_TIMEOUT: Duration = Duration::from_millis(800);

/// How long a head may send nothing on open connections after the loss of its pool, before its requests are
/// moved. Open connections may outlive the path for new ones.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(200);

/// Watches the paths of this node to endpoints until the task is dropped.
#[derive(Clone, Debug)]
pub(crate) struct ReachMonitor {
    state: Arc<EntryState>,
    checker: ReachChecker,
    links: Links,
}

impl ReachMonitor {
    pub(crate) const fn new(state: Arc<EntryState>, checker: ReachChecker, links: Links) -> Self {
        Self {
            state,
            checker,
            links,
        }
    }

    pub(crate) async fn run(self) {
        join(self.check_paths(), self.find_helpers()).await;
    }

    async fn check_paths(&self) {
        loop {
            self.wait_until(Reach::has_open_questions).await;
            self.prune();
            self.check_suspects().await;
            self.check_lost().await;
            self.interrupt_silent_heads();
            sleep_paced(self.check_interval()).await;
        }
    }

    /// Waits until `is_due`, and a moment longer for further changes.
    async fn wait_until(&self, is_due: impl Fn(&Reach) -> bool) {
        loop {
            let changed = self.state.reach.listen();
            if is_due(&self.state.reach) {
                return sleep(BATCH_DELAY).await;
            }
            changed.await;
        }
    }

    fn check_interval(&self) -> Duration {
        if self.state.reach.has_no_helper() {
            NO_HELPER_CHECK_INTERVAL
        } else {
            CHECK_INTERVAL
        }
    }

    /// Forgets pools whose endpoints are all gone.
    fn prune(&self) {
        let directory = self.state.directory.load_full();
        let exists = |pool: &Pool| {
            let mut candidates = directory.candidates(&pool.service, pool.model.as_ref());
            candidates.next().is_some()
        };
        let lost = {
            let mut reach = self.state.reach.lock();
            reach.tracker.prune(clock::now(), exists);
            let ReachState {
                tracker, helpers, ..
            } = &mut *reach;
            helpers.retain(|pool, _| tracker.lost_since(pool).is_some());
            tracker.lost().count()
        };
        self.state.metrics.record_unreachable_pools(lost);
    }

    /// Opens connections to other endpoints of the pools where some have failed.
    async fn check_suspects(&self) {
        let suspects = self.state.suspected_pools();
        let checks = suspects
            .iter()
            .map(|(pool, failed)| self.checker.check(pool, failed, Evidence::AnyConnection));
        let _reached = join_all(checks).await;
    }

    /// Opens connections to endpoints of the lost pools, to notice that they are reachable again.
    async fn check_lost(&self) {
        let lost = self.state.reach.lost_pools();
        let none = IndexSet::new();
        let checks = lost
            .iter()
            .map(|(pool, _)| self.checker.check(pool, &none, Evidence::MostConnections));
        let _reached = join_all(checks).await;
    }

    /// Interrupts the requests at heads that have sent nothing since their pool was lost, if another node can take
    /// them.
    fn interrupt_silent_heads(&self) {
        let now = clock::now();
        let directory = self.state.directory.load_full();
        for (pool, since) in self.state.reach.lost_pools() {
            let has_helper = self.state.reach.has_helper(&pool);
            if !has_helper || now.since(since) < SILENCE_TIMEOUT {
                continue;
            }
            let heads = directory.candidates(&pool.service, pool.model.as_ref());
            let silent: Vec<GroupKey> = {
                let loads = self.state.loads();
                let silent = heads.filter(|head| !loads.has_event_since(since, &head.id));
                silent.filter_map(|head| head.group_key()).collect()
            };
            for group in silent {
                self.state.interrupt_group(&group);
            }
        }
    }

    async fn find_helpers(&self) {
        loop {
            self.wait_until(Reach::needs_helpers).await;
            let lost = self.state.reach.lost_pools();
            let asked = lost.iter().map(|(pool, _)| self.ask_nodes(pool));
            join(join_all(asked), self.ask_used_helpers()).await;
            self.state.reach.expire_helpers(clock::now());
            self.state.reach.notify();
            sleep_paced(ASK_INTERVAL).await;
        }
    }

    /// Asks the helpers that are forwarding requests of this node, to notice when one of them is gone.
    async fn ask_used_helpers(&self) {
        let used = self.state.reach.used_helpers();
        let questions = used.iter().map(|(peer, pool)| self.ask(peer, pool));
        join_all(questions).await;
    }

    /// Asks some nodes whether they reach a lost pool.
    async fn ask_nodes(&self, pool: &Pool) {
        let nodes = self.state.nodes.load_full();
        let own = self.state.local_peer();
        let (asked, before) = {
            let reach = self.state.reach.lock();
            let helpers = reach.helpers.get(pool);
            let helpers = helpers.cloned().unwrap_or_default();
            let asked = helpers.to_ask(clock::now(), &own, &nodes, fastrand::f64);
            (asked, confirmed_nodes(&helpers))
        };
        let questions = asked.iter().map(|peer| self.ask(peer, pool));
        join_all(questions).await;
        let after = {
            let reach = self.state.reach.lock();
            reach.helpers.get(pool).map(confirmed_nodes)
        };
        let after = after.unwrap_or_default();
        if before != after {
            let names: Vec<&str> = after.iter().map(|node| node.as_str()).collect();
            self.state.events.write(&Event::HelpersChanged {
                pool: &pool.to_string(),
                helpers: &names,
            });
        }
    }

    /// Returns whether this node would have control, or compete for it, if it reached the engines.
    fn competes_for_control(&self) -> bool {
        self.state.reads_store() || self.state.is_controller()
    }

    async fn ask(&self, peer: &PeerNode, pool: &Pool) {
        let request = ReachRequest {
            service: pool.service.to_string(),
            model: pool
                .model
                .as_ref()
                .map(ToString::to_string)
                .unwrap_or_default(),
            seeks_controller: self.competes_for_control()
                && self.state.reach.should_ask_for_control(peer, pool),
        };
        let mut feed = self.links.feed_client(peer.links);
        let is_reachable = match with_patience(ASK_TIMEOUT, feed.check_reach(request)).await {
            Ok(Ok(reply)) => reply.into_inner().is_reachable,
            Ok(Err(status)) => {
                log::debug!("reach: {}: {status}.", peer.node);
                return self.state.reach.deny_helper(pool, &peer.node);
            }
            // A node that is late may be busy. Its confirmation expires if it stays silent.
            Err(_) => return,
        };
        let mut reach = self.state.reach.lock();
        if let Some(helper) = reach.uses.get_mut(&peer.node) {
            helper.answered_at = clock::now();
        }
        if reach.tracker.lost_since(pool).is_none() {
            return;
        }
        if !reach.helpers.contains_key(pool) {
            reach.helpers.insert(pool.clone(), Helpers::default());
        }
        reach.helpers[pool].record_answer(clock::now(), peer, is_reachable);
        drop(reach);
        self.state.reach.notify();
    }
}

fn confirmed_nodes(helpers: &Helpers) -> Vec<NodeId> {
    let mut nodes: Vec<NodeId> = helpers.confirmed().map(|peer| peer.node.clone()).collect();
    nodes.sort_unstable();
    nodes
}

impl Reach {
    fn has_open_questions(&self) -> bool {
        let reach = self.lock();
        let has_suspects = !reach.suspects.is_empty() || reach.tracker.suspected().next().is_some();
        has_suspects || reach.tracker.lost().next().is_some()
    }

    /// Returns whether pools are lost, or helpers are still forwarding requests to pools that were.
    fn needs_helpers(&self) -> bool {
        let reach = self.lock();
        let mut uses = reach.uses.values();
        reach.tracker.lost().next().is_some() || uses.any(|helper| helper.in_flight > 0)
    }

    /// Returns whether a helper should compete for control in this node's place. Only one of them is asked: each
    /// node that begins to compete may take control from another one.
    fn should_ask_for_control(&self, peer: &PeerNode, pool: &Pool) -> bool {
        if !self.should_hand_over_control() {
            return false;
        }
        let reach = self.lock();
        let helpers = reach.helpers.get(pool);
        let confirmed = helpers.into_iter().flat_map(Helpers::confirmed);
        confirmed.map(|helper| &helper.node).min() == Some(&peer.node)
    }

    fn used_helpers(&self) -> Vec<(PeerNode, Pool)> {
        let reach = self.lock();
        let used = reach.uses.values().filter(|helper| helper.in_flight > 0);
        used.map(|helper| (helper.peer.clone(), helper.pool.clone()))
            .collect()
    }

    fn has_helper(&self, pool: &Pool) -> bool {
        let reach = self.lock();
        let helpers = reach.helpers.get(pool);
        helpers.is_some_and(Helpers::has_confirmed)
    }

    /// Returns whether no other node reaches any of the lost pools.
    fn has_no_helper(&self) -> bool {
        let reach = self.lock();
        !reach.helpers.values().any(Helpers::has_confirmed)
    }

    fn lost_pools(&self) -> Vec<(Pool, Timestamp)> {
        let reach = self.lock();
        let lost = reach.tracker.lost();
        lost.map(|(pool, since)| (pool.clone(), since)).collect()
    }

    /// Removes helpers that no longer answer, and interrupts the requests that they are forwarding.
    fn expire_helpers(&self, now: Timestamp) {
        let mut reach = self.lock();
        let ReachState { helpers, uses, .. } = &mut *reach;
        for helpers in helpers.values_mut() {
            helpers.expire(now);
        }
        uses.retain(|_, helper| {
            let is_silent = now.since(helper.answered_at) > HELPER_SILENCE_TIMEOUT;
            if is_silent {
                helper.loss_trigger.set();
            }
            !is_silent && helper.in_flight > 0
        });
    }
}

impl EntryState {
    /// Takes the pools whose endpoints may be unreachable, with the endpoints that are known to have failed.
    fn suspected_pools(&self) -> Vec<(Pool, IndexSet<EndpointId>)> {
        let directory = self.directory.load_full();
        let mut reach = self.reach.lock();
        let services = std::mem::take(&mut reach.suspects);
        let suspected = reach.tracker.suspected();
        let mut pools: Vec<(Pool, IndexSet<EndpointId>)> = suspected
            .map(|(pool, failed)| (pool.clone(), failed.cloned().collect()))
            .collect();
        let endpoints = directory.listed().filter(|endpoint| {
            services.contains(&endpoint.service) && directory.takes_work(endpoint)
        });
        for endpoint in endpoints {
            let model = endpoint.models.first().filter(|_| endpoint.is_open_head());
            if endpoint.fabric_domain.is_some() && model.is_none() {
                continue;
            }
            let pool = Pool {
                service: endpoint.service.clone(),
                model: model.cloned(),
            };
            let is_known = pools.iter().any(|(known, _)| *known == pool);
            if !is_known && reach.tracker.lost_since(&pool).is_none() {
                pools.push((pool, IndexSet::new()));
            }
        }
        pools
    }
}

#[cfg(test)]
mod tests;
