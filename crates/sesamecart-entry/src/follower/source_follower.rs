//! Chooses between the store and the nodes that read it, and follows the chosen source.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use futures_lite::future;
use futures_util::future::join3;
use sesamecart_fleet::{Role, Source, SourcePlan, SourceRotation, StoreAsks, plan_sources};
use sesamecart_links::Links;
use sesamecart_platform::{Store, Topic};
use sesamecart_runtime::sleep;
use sesamecart_vocabulary::Timestamp;

use super::crashes::CrashesState;
use super::nodes::{self, NodesTopic};
use super::operator::OperatorState;
use super::peer::Position;
use super::registry::RegistryState;
use super::search::{NodeAnswer, ask_node, is_store_serving};
use super::{Dependency, RETRY_DELAY, TopicFollower, TopicState};
use crate::clock;
use crate::events::Event;
use crate::start_steps::StartStep;
use crate::state::EntryState;

/// How long a node follows a source before it probes the sources that it prefers to it.
///
/// With a longer interval, more nodes than necessary call the store. With a shorter one, nodes switch often
/// and reread all topics each time.
pub(super) const PREFERRED_PROBE_INTERVAL: Duration = Duration::from_secs(4);

/// The configuration age from which a follower may fall back to the store, as a fraction of
/// `bounds.configuration_ms`.
///
/// When a deployment starts, no reader has read the store yet, and without this delay all followers would
/// read the store at once.
pub(super) const STORE_FALLBACK_FRACTION: f64 = 0.5;

/// The timeout for probing whether a source serves again.
pub(super) const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// How long the store may be unavailable before another source is tried, if there are other nodes; well below
/// `bounds.configuration_ms`.
const STORE_TIMEOUT: Duration = Duration::from_millis(500);

/// How often a node that reads the store on behalf of another one checks whether the other one serves again.
const STANDBY_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Follows all topics, from one source at a time.
pub(crate) struct SourceFollower {
    pub(super) state: Arc<EntryState>,
    pub(super) store: Store,
    pub(super) links: Links,
    pub(super) operator: OperatorState,
    pub(super) registry: RegistryState,
    pub(super) crashes: CrashesState,
    pub(super) position: Position,
    pub(super) asks: StoreAsks,
    pub(super) nodes: NodesTopic,
    operator_store: Dependency,
    registry_store: Dependency,
    crashes_store: Dependency,
}

impl SourceFollower {
    /// Creates a follower that sends a notification to `changed` for each change of the registry.
    pub(crate) fn new(
        state: Arc<EntryState>,
        store: Store,
        links: Links,
        changed: Sender<()>,
    ) -> Self {
        Self {
            store,
            links,
            operator: OperatorState::new(state.settings.first_start),
            registry: RegistryState::new(changed),
            crashes: CrashesState::default(),
            position: Position::default(),
            asks: StoreAsks::default(),
            nodes: NodesTopic::new(),
            operator_store: Dependency::new("store, operator"),
            registry_store: Dependency::new("store, registry"),
            crashes_store: Dependency::new("store, crashes"),
            state,
        }
    }

    /// Follows one source after another until the task is dropped.
    pub(crate) async fn run(mut self) {
        let is_new = self.nodes.register(&self.state, &self.store).await;
        self.state.reach_start_step(StartStep::Registered);
        if is_new {
            nodes::announce(&self.state, &self.links).await;
        }
        let started_at = clock::now();
        let mut rotation = SourceRotation::default();
        let mut preferred = None;
        loop {
            let source = match preferred.take() {
                Some(source) => source,
                None => self.next_source(started_at, &rotation).await,
            };
            let begun_at = clock::now();
            rotation.begin(begun_at);
            self.record_source(source);
            let reason = match source {
                Source::Store => self.read_store().await,
                Source::Node(address) => self.follow_node(address).await,
            };
            if self.has_served_since(begun_at) {
                rotation.record_served();
                self.asks.record_served();
            }
            self.record_outcome(source, &reason);
            match reason {
                SwitchReason::FoundBetter(other) => preferred = Some(other),
                SwitchReason::Failed => {
                    rotation.fail(clock::now(), source);
                    sleep(RETRY_DELAY).await;
                }
                SwitchReason::Unready => {
                    rotation.fail_unready(clock::now(), source);
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Returns the source to follow next. While the store turns nodes away, this node reads it only after it has
    /// asked in its turn.
    async fn next_source(&mut self, started_at: Timestamp, rotation: &SourceRotation) -> Source {
        if self.seeks_first_source() {
            return self.first_source(started_at).await;
        }
        match self.choose_source(started_at, rotation) {
            Source::Store if self.asks.must_wait() => self.search().await,
            source => source,
        }
    }

    fn has_served_since(&self, begun_at: Timestamp) -> bool {
        let age = self.state.source_age();
        age.is_some_and(|age| age < clock::now().since(begun_at))
    }

    /// Records whether the store turns nodes away.
    fn record_outcome(&mut self, source: Source, reason: &SwitchReason) {
        let is_turned_away = match (source, reason) {
            (Source::Store, SwitchReason::Failed) => true,
            // A node that is starting doesn't serve either, before the others have a configuration.
            (Source::Node(_), SwitchReason::Unready) => self.state.configuration_age().is_some(),
            _ => false,
        };
        if is_turned_away {
            // The node that was followed may have called the store in vain.
            self.state.record_store_failure();
            self.asks.record_turned_away();
        }
    }

    pub(super) fn plan(&self) -> SourcePlan {
        plan_sources(&self.state.settings.node, &self.state.nodes.load())
    }

    /// Returns the most preferred source that hasn't been tried in the current round. A follower skips the
    /// store until its configuration is old enough for the fallback.
    fn choose_source(&self, started_at: Timestamp, rotation: &SourceRotation) -> Source {
        let mut plan = self.plan();
        let age = self.state.source_age();
        let age = age.unwrap_or_else(|| clock::now().since(started_at));
        if plan.role == Role::Follower && age < self.store_fallback_delay() {
            plan.order.retain(|source| *source != Source::Store);
        }
        rotation.choose(&plan.order)
    }

    fn record_source(&mut self, source: Source) {
        let upstream = match source {
            Source::Store => {
                // This node now reads the topics itself, so offsets received from other nodes no longer
                // apply.
                self.position = Position::default();
                None
            }
            Source::Node(address) => {
                self.state.feed.stop_serving();
                Some(address)
            }
        };
        self.state.set_upstream(upstream);
        self.state.events.write(&Event::SourceChanged {
            source: &source.to_string(),
        });
    }

    /// Reads the store until it has been unavailable for too long or this node should follow another node.
    async fn read_store(&mut self) -> SwitchReason {
        let (state, store, links) = (&*self.state, &self.store, &self.links);
        let operator = TopicFollower {
            state,
            store,
            links,
            topic: Topic::Operator,
            dependency: &mut self.operator_store,
            topic_state: TopicState::Operator(&mut self.operator),
        };
        let registry = TopicFollower {
            state,
            store,
            links,
            topic: Topic::Registry,
            dependency: &mut self.registry_store,
            topic_state: TopicState::Registry(&mut self.registry),
        };
        let crashes = TopicFollower {
            state,
            store,
            links,
            topic: Topic::Crashes,
            dependency: &mut self.crashes_store,
            topic_state: TopicState::Crashes(&mut self.crashes),
        };
        let reads = join3(
            registry.run(None),
            crashes.run(None),
            self.nodes.run(state, store),
        );
        let failure = async {
            future::or(operator.run(Some(STORE_TIMEOUT)), async {
                reads.await;
            })
            .await;
            SwitchReason::Failed
        };
        let preferred =
            async { SwitchReason::FoundBetter(wait_for_preferred(state, &self.links).await) };
        future::or(failure, preferred).await
    }

    /// Returns a serving source that this node prefers to `source`.
    pub(super) async fn find_better_source(&self, source: Source) -> Option<Source> {
        let preferred = self.plan().preferred;
        let better = preferred.into_iter().take_while(|known| *known != source);
        for candidate in better {
            let serves = match candidate {
                Source::Store => is_store_serving(&self.state, &self.store).await,
                Source::Node(address) => is_serving(&self.state, &self.links, address).await,
            };
            if serves {
                return Some(candidate);
            }
        }
        None
    }
}

/// Why a node stops following a source.
pub(super) enum SwitchReason {
    /// The source doesn't respond or is stale.
    Failed,
    /// The source responds that it doesn't read the store.
    Unready,
    /// This other source is preferred and serves again.
    FoundBetter(Source),
}

/// Waits until a node serves that comes before the store in the order of sources, and returns it; pending for as long
/// as there is none.
async fn wait_for_preferred(state: &EntryState, links: &Links) -> Source {
    sleep(PREFERRED_PROBE_INTERVAL).await;
    loop {
        let plan = plan_sources(&state.settings.node, &state.nodes.load());
        for source in plan.order {
            let Source::Node(address) = source else {
                break;
            };
            // A node that controls the groups keeps reading the store: while control moves, engines receive
            // no orders for the length of a lease.
            if !state.is_controller() && is_serving(state, links, address).await {
                return source;
            }
        }
        sleep(STANDBY_CHECK_INTERVAL).await;
    }
}

/// Returns whether a node serves followers.
async fn is_serving(state: &EntryState, links: &Links, address: SocketAddr) -> bool {
    ask_node(state, links, address).await == NodeAnswer::Serving
}
