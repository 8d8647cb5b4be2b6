//! Follows the store, or a node that reads it, whichever serves this node now.

use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use futures_lite::future;
use futures_util::future::join;
use sesamecart_fleet::{Source, SourcePlan, plan_sources};
use sesamecart_links::Links;
use sesamecart_platform::{Store, Topic};
use sesamecart_runtime::sleep;
use sesamecart_vocabulary::Timestamp;

use super::nodes::NodesTopic;
use super::operator::OperatorPicture;
use super::peer::Position;
use super::registry::RegistryPicture;
use super::{Dependency, Follower, Picture, REST};
use crate::beliefs::Beliefs;
use crate::clock;
use crate::events::Event;

/// How long a node that should follow others reads the store before it looks for one again.
///
/// It comes to that when both readers of its failure domain are gone; longer, more nodes than needed
/// call the store, and shorter, they read all of it again and again.
const STORE_STAY: Duration = Duration::from_secs(4);

/// How long the store may be away before another source is tried, well within the time in which a
/// change has to be in force.
const STORE_PATIENCE: Duration = Duration::from_millis(500);

/// How often it is looked whether this node should follow another one; a small part of the time for
/// which it stays with the store.
const LOOK_EVERY: Duration = Duration::from_millis(250);

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
        let mut failed = 0;
        loop {
            let plan = self.plan();
            let source = plan.order[failed % plan.order.len()];
            self.note_source(source);
            let begun = clock::now();
            match source {
                Source::Store => self.read_store(begun).await,
                Source::Node(links) => self.follow_node(links).await,
            }
            // A source that served for a while was a good one, and the best is tried first again.
            let served = clock::now().since(begun);
            failed = if served >= STORE_STAY { 0 } else { failed + 1 };
            sleep(REST).await;
        }
    }

    pub(super) fn plan(&self) -> SourcePlan {
        plan_sources(&self.beliefs.settings.node, &self.beliefs.nodes.load())
    }

    fn note_source(&mut self, source: Source) {
        let links = match source {
            Source::Store => None,
            Source::Node(links) => Some(links),
        };
        if links.is_some() {
            self.beliefs.feed.stop();
            // Another node may know less than the last source did, so it is asked for all at first.
            self.position = Position::default();
        }
        self.beliefs.follow(links);
        self.beliefs.events.write(&Event::SourceChanged {
            source: &source.to_string(),
        });
    }

    /// Reads the store until it has been away for too long or this node should follow another one.
    async fn read_store(&mut self, begun: Timestamp) {
        let has_others = self.plan().order.len() > 1;
        let patience = has_others.then_some(STORE_PATIENCE);
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
        let reads = async {
            reads.await;
        };
        let ends = future::or(operator.run(patience), time_to_follow(beliefs, begun));
        future::or(ends, reads).await;
    }
}

/// Returns once this node should follow another one, if it ever should.
async fn time_to_follow(beliefs: &Beliefs, begun: Timestamp) {
    loop {
        sleep(LOOK_EVERY).await;
        let nodes = beliefs.nodes.load_full();
        let has_stayed = clock::now().since(begun) >= STORE_STAY;
        if has_stayed && !plan_sources(&beliefs.settings.node, &nodes).is_reader {
            return;
        }
    }
}
