//! Searches for a source while the store turns this node away. See docs/design/store-calls.md.

use std::net::SocketAddr;

use futures_util::StreamExt as _;
use futures_util::future::join;
use futures_util::stream::FuturesUnordered;
use indexmap::IndexSet;
use sesamecart_fleet::{AskOrder, Role, Source, search_delay};
use sesamecart_links::{Code, Links};
use sesamecart_platform::{Store, Topic};
use sesamecart_runtime::{sleep, with_patience};

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
    /// It reads the store, and hasn't read all topics yet.
    Starting,
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
        self.state.events.write(&Event::SourceSearched {
            role: &self.plan().role.to_string(),
        });
        loop {
            if let Some(source) = self.search_once().await {
                return source;
            }
            let seeking = self.asks.search(clock::now());
            sleep(search_delay(seeking, fastrand::f64())).await;
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
        let ask = async { asks_store && is_store_serving(&self.state, &self.store).await };
        let (is_store_serving, found) = join(ask, self.find_node(candidates)).await;
        self.asks.record_answers(found.has_answers);
        let store = is_store_serving.then_some(Source::Store);
        match self.plan().role {
            Role::Reader => store.or(found.serving),
            Role::Standby | Role::Follower => found.serving.or(store),
        }
    }

    /// Asks nodes at the same time whether they serve, and those to which they refer this node. Returns at the first
    /// one that does.
    async fn find_node(&self, candidates: Vec<Source>) -> FoundNode {
        // A referral to this node is outdated.
        let own = Source::Node(self.state.settings.links);
        let mut asked: IndexSet<Source> = std::iter::once(own).chain(candidates).collect();
        let first = asked.iter().skip(1);
        let mut questions: FuturesUnordered<_> = first.map(|source| self.ask(*source)).collect();
        let mut found = FoundNode::default();
        while let Some((source, answer)) = questions.next().await {
            found.has_answers |= answer != NodeAnswer::Silent;
            match answer {
                NodeAnswer::Serving => {
                    found.serving = Some(source);
                    break;
                }
                NodeAnswer::NotServing(Some(referral)) => {
                    let referral = Source::Node(referral);
                    if asked.insert(referral) {
                        questions.push(self.ask(referral));
                    }
                }
                NodeAnswer::NotServing(None) | NodeAnswer::Starting | NodeAnswer::Silent => {}
            }
        }
        found
    }

    async fn ask(&self, source: Source) -> (Source, NodeAnswer) {
        let answer = match source {
            Source::Node(address) => ask_node(&self.state, &self.links, address).await,
            Source::Store => NodeAnswer::Silent,
        };
        (source, answer)
    }
}

/// The result of asking some nodes.
#[derive(Debug, Default)]
struct FoundNode {
    serving: Option<Source>,
    has_answers: bool,
}

/// Returns whether the store answers a small read.
pub(super) async fn is_store_serving(state: &EntryState, store: &Store) -> bool {
    let read = store.newest(Topic::Nodes);
    let Ok(outcome) = with_patience(PROBE_TIMEOUT, read).await else {
        // The call was dropped before it could fail.
        state.record_store_failure();
        return false;
    };
    outcome.is_ok()
}

/// Asks a node whether it serves followers. A node that notices later than others that the store doesn't answer
/// offers a configuration that is too old.
pub(super) async fn ask_node(state: &EntryState, links: &Links, address: SocketAddr) -> NodeAnswer {
    let mut feed = links.feed_client(address);
    match with_patience(PROBE_TIMEOUT, feed.follow(Position::probe_request())).await {
        Ok(Ok(reply)) if is_fresh(state, reply.get_ref()) => NodeAnswer::Serving,
        Ok(Ok(_)) => NodeAnswer::NotServing(None),
        Ok(Err(status)) => match status.code() {
            Code::NotFound => NodeAnswer::Starting,
            Code::FailedPrecondition => NodeAnswer::NotServing(referral_of(&status)),
            _ => NodeAnswer::Silent,
        },
        Err(_) => NodeAnswer::Silent,
    }
}
