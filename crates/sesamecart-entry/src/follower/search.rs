//! Searches for a source while the store turns this node away. See docs/design/store-calls.md.

use std::net::SocketAddr;

use futures_util::future::{join, join_all};
use sesamecart_fleet::{AskOrder, Role, Source, search_delay};
use sesamecart_links::{Code, Links};
use sesamecart_platform::{Store, Topic};
use sesamecart_runtime::{sleep, with_timeout};

use super::peer::{Position, is_fresh};
use super::source_follower::{PROBE_TIMEOUT, SourceFollower};
use crate::clock;
use crate::events::Event;
use crate::feed::referral::referral_of;
use crate::state::EntryState;

/// What another node says about itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum NodeAnswer {
    /// It serves followers.
    Serving,
    /// It answers, but doesn't serve. It may know a node that does.
    NotServing(Option<SocketAddr>),
    /// It doesn't answer.
    Silent,
}

impl SourceFollower {
    /// Searches until the store or another node serves this node, and returns it.
    pub(super) async fn search(&mut self) -> Source {
        self.state.feed.stop_serving();
        self.state.begin_search();
        self.state.metrics.count_source_search();
        self.state.events.write(&Event::SourceSearched {});
        loop {
            if let Some(source) = self.search_once().await {
                return source;
            }
            sleep(search_delay(fastrand::f64())).await;
        }
    }

    async fn search_once(&mut self) -> Option<Source> {
        let own = &self.state.settings.node;
        let now = clock::now();
        let seeking = self.asks.search(now);
        let (turn, candidates) = {
            let nodes = self.state.nodes.load();
            let order = AskOrder::new(&nodes);
            let candidates = order.candidates(own, seeking, fastrand::f64);
            (order.turn(own), candidates)
        };
        let asks_store = self.asks.try_ask(now, turn);
        let ask = async { asks_store && is_store_serving(&self.store).await };
        let questions = candidates
            .iter()
            .map(|source| ask_source(&self.state, &self.links, *source));
        let (is_store_serving, answers) = join(ask, join_all(questions)).await;
        let has_answers = answers.iter().any(|answer| *answer != NodeAnswer::Silent);
        self.asks.record_answers(has_answers);
        let node = self.find_serving(&candidates, &answers).await;
        let store = is_store_serving.then_some(Source::Store);
        match self.plan().role {
            Role::Reader => store.or(node),
            Role::Standby | Role::Follower => node.or(store),
        }
    }

    /// Returns the first candidate that serves, or else a node to which one of the others referred this node.
    async fn find_serving(&self, candidates: &[Source], answers: &[NodeAnswer]) -> Option<Source> {
        let serving = answers
            .iter()
            .position(|answer| *answer == NodeAnswer::Serving);
        if let Some(index) = serving {
            return candidates.get(index).copied();
        }
        let referrals = answers.iter().filter_map(|answer| match answer {
            NodeAnswer::NotServing(referral) => *referral,
            NodeAnswer::Serving | NodeAnswer::Silent => None,
        });
        let own = self.state.settings.links;
        let mut unasked = referrals
            .filter(|address| *address != own && !candidates.contains(&Source::Node(*address)));
        let address = unasked.next()?;
        let answer = ask_node(&self.state, &self.links, address).await;
        (answer == NodeAnswer::Serving).then_some(Source::Node(address))
    }
}

/// Returns whether the store answers a small read.
pub(super) async fn is_store_serving(store: &Store) -> bool {
    let read = store.newest(Topic::Nodes, None);
    matches!(with_timeout(PROBE_TIMEOUT, read).await, Ok(Ok(_)))
}

async fn ask_source(state: &EntryState, links: &Links, source: Source) -> NodeAnswer {
    match source {
        Source::Node(address) => ask_node(state, links, address).await,
        Source::Store => NodeAnswer::Silent,
    }
}

/// Asks a node whether it serves followers. A node that notices later than others that the store doesn't answer
/// offers a configuration that is too old.
pub(super) async fn ask_node(state: &EntryState, links: &Links, address: SocketAddr) -> NodeAnswer {
    let mut feed = links.feed_client(address);
    match with_timeout(PROBE_TIMEOUT, feed.follow(Position::probe_request())).await {
        Ok(Ok(reply)) if is_fresh(state, reply.get_ref()) => NodeAnswer::Serving,
        Ok(Ok(_)) => NodeAnswer::NotServing(None),
        Ok(Err(status)) => match status.code() {
            Code::FailedPrecondition | Code::NotFound => {
                NodeAnswer::NotServing(referral_of(&status))
            }
            _ => NodeAnswer::Silent,
        },
        Err(_) => NodeAnswer::Silent,
    }
}
