//! Follows the store, or a node that reads it, whichever serves this node now.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use futures_lite::future;
use futures_util::future::join;
use sesamecart_fleet::{Role, Source, SourcePlan, SourceRotation, plan_sources};
use sesamecart_links::Links;
use sesamecart_platform::{Store, Topic};
use sesamecart_runtime::{sleep, within};
use sesamecart_vocabulary::Timestamp;

use super::nodes::NodesTopic;
use super::operator::OperatorPicture;
use super::peer::Position;
use super::registry::RegistryPicture;
use super::{Dependency, Follower, Picture, RETRY_DELAY};
use crate::beliefs::Beliefs;
use crate::clock;
use crate::events::Event;

/// How long a node stays with a source that isn't its own before it looks for that one again; longer,
/// more nodes than needed call the store, and shorter, they read all of it again and again.
pub(super) const STAY: Duration = Duration::from_secs(4);

/// How old the configuration of a node that should follow others may get before it turns to the store,
/// as a part of the time in which a change has to be in force.
///
/// At a start no reader has anything to give yet, and all followers would read the store at once.
const STORE_AFTER_PART: f64 = 0.5;

/// How long a source has to answer when it is asked whether it serves again.
const PROBE_LIMIT: Duration = Duration::from_millis(250);

/// How long the store may be away before another source is tried, well within the time in which a
/// change has to be in force.
const STORE_TIMEOUT: Duration = Duration::from_millis(500);

/// How often a node that reads the store in another one's place looks whether it has to.
const LOOK_EVERY: Duration = Duration::from_secs(1);

/// Everything that a node follows.
pub(crate) struct Following {
    pub(super) beliefs: Arc<Beliefs>,
    pub(super) store: Store,
    pub(super) links: Links,
    pub(super) operator: OperatorPicture,
    pub(super) registry: RegistryPicture,
    pub(super) position: Position,
    nodes: NodesTopic,
    operator_store: Dependency,
    registry_store: Dependency,
}

impl Following {
    /// Makes what follows the store; `changed` is told of each change of the registry.
    pub(crate) fn new(
        beliefs: Arc<Beliefs>,
        store: Store,
        links: Links,
        changed: Sender<()>,
    ) -> Self {
        Self {
            beliefs,
            store,
            links,
            operator: OperatorPicture::default(),
            registry: RegistryPicture::new(changed),
            position: Position::default(),
            nodes: NodesTopic::new(),
            operator_store: Dependency::new("store, operator"),
            registry_store: Dependency::new("store, registry"),
        }
    }

    /// Follows one source after the other until the task is dropped.
    pub(crate) async fn run(mut self) {
        self.nodes.register(&self.beliefs, &self.store).await;
        let begun = clock::now();
        let mut rotation = SourceRotation::default();
        let mut preferred = None;
        loop {
            let source = match preferred.take() {
                Some(source) => source,
                None => self.choose(begun, &rotation),
            };
            rotation.begin(clock::now());
            self.note_source(source);
            let ended = match source {
                Source::Store => self.read_store().await,
                Source::Node(links) => self.follow_node(links).await,
            };
            match ended {
                Ended::Prefers(other) => preferred = Some(other),
                Ended::Failed => {
                    rotation.fail(clock::now(), source);
                    sleep(RETRY_DELAY).await;
                }
                Ended::Unready => {
                    rotation.fail_unready(clock::now(), source);
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    pub(super) fn plan(&self) -> SourcePlan {
        plan_sources(&self.beliefs.settings.node, &self.beliefs.nodes.load())
    }

    /// Chooses the best source that wasn't just tried.
    fn choose(&self, begun: Timestamp, rotation: &SourceRotation) -> Source {
        let mut plan = self.plan();
        let bound = Duration::from_millis(self.beliefs.settings.bounds.configuration_ms);
        let age = self.beliefs.configuration_age();
        let age = age.unwrap_or_else(|| clock::now().since(begun));
        if plan.role == Role::Follower && age < bound.mul_f64(STORE_AFTER_PART) {
            plan.order.retain(|source| *source != Source::Store);
        }
        rotation.choose(&plan.order)
    }

    fn note_source(&mut self, source: Source) {
        let links = match source {
            Source::Store => {
                // The topics are read here now, so what was heard from nodes doesn't say how far.
                self.position = Position::default();
                None
            }
            Source::Node(links) => {
                self.beliefs.feed.stop();
                Some(links)
            }
        };
        self.beliefs.follow(links);
        self.beliefs.events.write(&Event::SourceChanged {
            source: &source.to_string(),
        });
    }

    /// Reads the store until it has been away for too long or this node should follow another one.
    async fn read_store(&mut self) -> Ended {
        let has_others = self.plan().order.len() > 1;
        let timeout = has_others.then_some(STORE_TIMEOUT);
        let (beliefs, store) = (&*self.beliefs, &self.store);
        let operator = Follower {
            beliefs,
            store,
            topic: Topic::Operator,
            dependency: &mut self.operator_store,
            picture: Picture::Operator(&mut self.operator),
        };
        let registry = Follower {
            beliefs,
            store,
            topic: Topic::Registry,
            dependency: &mut self.registry_store,
            picture: Picture::Registry(&mut self.registry),
        };
        let reads = join(registry.run(None), self.nodes.run(beliefs, store));
        let fails = async {
            future::or(operator.run(timeout), async {
                reads.await;
            })
            .await;
            Ended::Failed
        };
        let home = async { Ended::Prefers(home_again(beliefs, &self.links).await) };
        future::or(fails, home).await
    }

    /// Returns the source that this node should return to from `source`, if that serves again.
    pub(super) async fn better_than(&self, source: Source) -> Option<Source> {
        let home = self.plan().home;
        let better = home.into_iter().take_while(|known| *known != source);
        for candidate in better {
            let serves = match candidate {
                Source::Store => {
                    let read = self.store.newest(Topic::Nodes, None);
                    matches!(within(PROBE_LIMIT, read).await, Ok(Ok(_)))
                }
                Source::Node(links) => serves(&self.links, links).await,
            };
            if serves {
                return Some(candidate);
            }
        }
        None
    }
}

/// Why a node leaves a source.
pub(super) enum Ended {
    /// It doesn't answer, or is out of date.
    Failed,
    /// It answers that it doesn't read the store.
    Unready,
    /// This other one goes before it, and serves.
    Prefers(Source),
}

/// Returns once this node should follow another one instead of reading the store, if it ever should.
async fn home_again(beliefs: &Beliefs, links: &Links) -> Source {
    sleep(STAY).await;
    loop {
        let plan = plan_sources(&beliefs.settings.node, &beliefs.nodes.load());
        for source in plan.home {
            let Source::Node(address) = source else {
                continue;
            };
            // Control that moves leaves engines without orders for as long as a lease.
            if !beliefs.controls() && serves(links, address).await {
                return source;
            }
        }
        sleep(LOOK_EVERY).await;
    }
}

/// Returns whether a node serves those that follow it.
async fn serves(links: &Links, address: SocketAddr) -> bool {
    let mut feed = links.feed_of(address);
    matches!(
        within(PROBE_LIMIT, feed.follow(Position::nothing_new())).await,
        Ok(Ok(_))
    )
}
