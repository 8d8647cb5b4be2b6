//! The steps of a node's start, each of which is logged once.
//!
//! docs/design/start.md has their order and the time that each may take.

use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use derive_more::Display;
use sesamecart_vocabulary::Timestamp;

use crate::clock;
use crate::events::Event;
use crate::follower::millis;
use crate::state::EntryState;

#[cfg(test)]
mod tests;

/// A step of a node's start, after its listeners are bound.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub(crate) enum StartStep {
    /// The list of nodes is read, and this node is in it.
    #[display("registered")]
    Registered,
    /// The store, or a node that reads it, has answered.
    #[display("source found")]
    SourceFound,
    /// A configuration is in force.
    #[display("configuration")]
    Configuration,
    /// The registry is read.
    #[display("registry")]
    Registry,
    /// A head of an open group is known, on a deployment that has groups.
    #[display("groups")]
    Groups,
    /// The load balancer has been told that this node is ready.
    #[display("ready")]
    Ready,
    /// A caller has the complete response of an endpoint.
    #[display("first response")]
    FirstResponse,
}

/// The steps that a node has reached.
#[derive(Debug)]
pub(crate) struct StartSteps {
    started_at: Timestamp,
    reached: AtomicU32,
}

impl StartSteps {
    /// Begins a start.
    pub(crate) const fn new(now: Timestamp) -> Self {
        Self {
            started_at: now,
            reached: AtomicU32::new(0),
        }
    }

    /// Records that a step is reached. Returns the time since the start if it wasn't reached before.
    fn reach(&self, now: Timestamp, step: StartStep) -> Option<Duration> {
        let bit = 1 << step as u32;
        if self.reached.load(Ordering::Relaxed) & bit != 0 {
            return None;
        }
        let before = self.reached.fetch_or(bit, Ordering::Relaxed);
        (before & bit == 0).then(|| now.since(self.started_at))
    }
}

impl EntryState {
    /// Logs that this node has reached a step of its start, if it is for the first time.
    pub(crate) fn reach_start_step(&self, step: StartStep) {
        if let Some(after) = self.start_steps.reach(clock::now(), step) {
            self.events.write(&Event::StartStepReached {
                step: &step.to_string(),
                after_ms: millis(after),
            });
        }
    }
}
