//! What a node removes later than it learns of it, and the task that removes it when it is due.
//!
//! After an outage or a return of the store, something may be missing there that is written again soon. It is kept
//! until then, also if nothing else changes meanwhile and whichever source this node follows. See
//! docs/design/deferred-work.md.

use std::sync::Arc;

use async_channel::Sender;
use futures_lite::future;
use sesamecart_fleet::Directory;
use sesamecart_runtime::sleep;
use sesamecart_vocabulary::{EndpointId, NodeId, Timestamp};

use crate::clock;
use crate::events::Event;
use crate::lock::lock;
use crate::state::EntryState;

/// Something that is missing in the store and is removed unless it is written again.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) enum Removal {
    /// An endpoint without an entry in the registry.
    Endpoint(EndpointId),
    /// A node without an entry in the list of nodes.
    Node(NodeId),
}

impl EntryState {
    /// Defers a removal until `due`, unless it is deferred already. Returns whether it is new.
    pub(crate) fn defer(&self, removal: Removal, due: Timestamp) -> bool {
        let is_new = lock(&self.deferred).defer(removal, due);
        self.deferred_changed.notify(usize::MAX);
        is_new
    }

    /// Cancels a removal, as what was missing is there again.
    pub(crate) fn cancel_removal(&self, removal: &Removal) {
        lock(&self.deferred).cancel(removal);
    }

    /// Makes the removals that are due. Returns whether an endpoint was removed.
    pub(crate) fn make_due_removals(&self, now: Timestamp) -> bool {
        let due = lock(&self.deferred).take_due(now);
        let mut has_removed_endpoint = false;
        for removal in due {
            match removal {
                Removal::Endpoint(id) => has_removed_endpoint |= self.remove_endpoint(now, &id),
                Removal::Node(node) => self.remove_node(&node),
            }
        }
        self.forget_gone_endpoints(now);
        has_removed_endpoint
    }

    fn remove_endpoint(&self, now: Timestamp, id: &EndpointId) -> bool {
        let mut is_removed = false;
        // The registry's follower runs on the same thread, so it can't publish a directory from before.
        self.directory.rcu(|directory| {
            let mut directory = Directory::clone(directory);
            is_removed = directory.remove(now, id);
            directory
        });
        if is_removed {
            let endpoint = id.as_str();
            self.events.write(&Event::EndpointGone { endpoint });
        }
        is_removed
    }

    fn remove_node(&self, node: &NodeId) {
        self.nodes.rcu(|nodes| {
            let kept = nodes.iter().filter(|peer| peer.node != *node);
            kept.cloned().collect::<Vec<_>>()
        });
    }

    /// Drops endpoints that left the registry long ago, and what is known of them.
    fn forget_gone_endpoints(&self, now: Timestamp) {
        let next = self.directory.load().next_prune();
        if next.is_none_or(|at| at > now) {
            return;
        }
        self.directory.rcu(|directory| {
            let mut directory = Directory::clone(directory);
            directory.prune(now);
            directory
        });
        self.prune_groups(now, &self.directory.load());
    }

    fn next_removal(&self) -> Option<Timestamp> {
        let deferred = lock(&self.deferred).next_due();
        let prune = self.directory.load().next_prune();
        deferred.into_iter().chain(prune).min()
    }
}

/// Makes each removal when it is due, until the task is dropped. Sends a notification to `changed` whenever an endpoint
/// was removed.
pub(crate) async fn make_removals(state: Arc<EntryState>, changed: Sender<()>) {
    loop {
        let deferred = state.deferred_changed.listen();
        match state.next_removal() {
            Some(due) => future::or(deferred, sleep(due.since(clock::now()))).await,
            None => deferred.await,
        }
        if state.make_due_removals(clock::now()) {
            // A full channel already holds a notification.
            let _sent = changed.try_send(());
        }
    }
}
