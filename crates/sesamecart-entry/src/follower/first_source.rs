//! Finds the first source of a node that starts. See docs/design/start.md.
//!
//! The load: all nodes start at the same time, each of them looks for a source, and those that others follow may be
//! gone, silent or starting themselves. A node waits for no single one of them, and the store is asked by few.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use futures_lite::future;
use futures_util::StreamExt as _;
use futures_util::stream::FuturesUnordered;
use sesamecart_fleet::{Role, Source};
use sesamecart_links::Links;
use sesamecart_runtime::sleep;
use sesamecart_vocabulary::Timestamp;

use super::search::{NodeAnswer, ask_node};
use super::source_follower::{STORE_FALLBACK_FRACTION, SourceFollower};
use crate::clock;
use crate::state::EntryState;

/// How long one source after the other is asked alone. A reader that has just started serves by then.
const HEAD_START: Duration = Duration::from_millis(300);

/// The delay before a node that doesn't serve is asked again.
const ASK_INTERVAL: Duration = Duration::from_millis(150);

/// The time after which a node reads the store if none of its sources has answered at all.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(1);

/// The number of questions in a row without an answer after which a node counts as silent.
const UNANSWERED_QUESTIONS: u32 = 2;

impl SourceFollower {
    /// Returns whether this node is a follower that has had no source yet, and isn't turned away by the store.
    pub(super) fn seeks_first_source(&self) -> bool {
        let has_read = self.state.source_age().is_some();
        !has_read && !self.asks.must_wait() && self.plan().role == Role::Follower
    }

    /// Waits until a node serves, or until it is time to read the store.
    pub(super) async fn first_source(&self, started_at: Timestamp) -> Source {
        let order = self.plan().order;
        let has_answer = AtomicBool::new(false);
        let nodes = order.iter().filter_map(|source| match source {
            Source::Node(address) => Some(*address),
            Source::Store => None,
        });
        let mut questions: FuturesUnordered<_> = nodes
            .zip(0..)
            .map(|(address, place)| {
                let has_answer = &has_answer;
                async move {
                    sleep(HEAD_START * place).await;
                    wait_until_serving(&self.state, &self.links, address, has_answer).await;
                    address
                }
            })
            .collect();
        let node = async {
            match questions.next().await {
                Some(address) => Source::Node(address),
                None => future::pending().await,
            }
        };
        let store = async {
            sleep_until(started_at + SILENCE_TIMEOUT).await;
            if has_answer.load(Ordering::Relaxed) {
                sleep_until(started_at + self.store_fallback_delay()).await;
            }
            Source::Store
        };
        future::or(node, store).await
    }

    /// Returns how long a follower does without the store.
    pub(super) fn store_fallback_delay(&self) -> Duration {
        let bound = Duration::from_millis(self.state.settings.bounds.configuration_ms);
        bound.mul_f64(STORE_FALLBACK_FRACTION)
    }
}

async fn sleep_until(due: Timestamp) {
    sleep(due.since(clock::now())).await;
}

/// Asks a node until it serves. Sets `has_answer` when it has answered.
async fn wait_until_serving(
    state: &EntryState,
    links: &Links,
    address: SocketAddr,
    has_answer: &AtomicBool,
) {
    loop {
        match ask_node(state, links, address).await {
            NodeAnswer::Serving => return,
            NodeAnswer::NotServing(_) => has_answer.store(true, Ordering::Relaxed),
            NodeAnswer::Silent => {}
        }
        sleep(ASK_INTERVAL).await;
    }
}

/// Waits until a node leaves some questions in a row unanswered.
///
/// A full reply may take seconds while a reader serves all of its followers. A reader that is gone or stands still
/// doesn't answer small questions either.
pub(super) async fn wait_until_silent(state: &EntryState, links: &Links, address: SocketAddr) {
    let mut unanswered = 0;
    while unanswered < UNANSWERED_QUESTIONS {
        sleep(ASK_INTERVAL).await;
        unanswered = match ask_node(state, links, address).await {
            NodeAnswer::Silent => unanswered + 1,
            NodeAnswer::Serving | NodeAnswer::NotServing(_) => 0,
        };
    }
}
