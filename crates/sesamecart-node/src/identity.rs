//! The names that one life of a node gives to requests and attempts.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

use sesamecart_vocabulary::{AttemptId, Incarnation, NodeId, RequestId};

/// Who this process is, and the ids that it hands out.
#[derive(Debug)]
pub struct Identity {
    /// The node's name.
    pub node: NodeId,
    /// This life of the node: it is higher than that of any earlier one.
    pub incarnation: Incarnation,
    next: AtomicU64,
}

impl Identity {
    /// Makes the identity of a process that starts now.
    #[must_use]
    pub fn new(node: NodeId) -> Self {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let micros = u64::try_from(since.as_micros()).unwrap_or(u64::MAX);
        Self {
            node,
            incarnation: Incarnation(micros),
            next: AtomicU64::new(1),
        }
    }

    /// Returns a request id that no other request of any node has.
    #[must_use]
    pub fn request_id(&self) -> RequestId {
        self.name("r")
            .parse()
            .expect("the parts of an id are valid")
    }

    /// Returns an attempt id that no other attempt of any node has.
    ///
    /// It holds the incarnation, since a restarted node begins its count again and a late answer
    /// to its predecessor must not match.
    #[must_use]
    pub fn attempt_id(&self) -> AttemptId {
        self.name("a")
            .parse()
            .expect("the parts of an id are valid")
    }

    fn name(&self, kind: &str) -> String {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let node = self.node.as_str();
        let node = &node[..node.len().min(64)];
        format!("{kind}-{node}-{:x}-{number:x}", self.incarnation.0)
    }
}
