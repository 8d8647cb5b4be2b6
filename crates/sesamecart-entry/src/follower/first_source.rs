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
        let plan = self.plan();
        let nodes = plan.order.iter().filter_map(|source| match source {
            Source::Node(address) => Some(*address),
            Source::Store => None,
        });
        let answers = Answers::default();
        let fallback_at = started_at + self.store_fallback_delay();
        let mut questions: FuturesUnordered<_> = nodes
            .zip(0..)
            .map(|(address, place)| {
                let answers = &answers;
                async move {
                    answers.wait_for_turn(place, fallback_at).await;
                    self.wait_until_serving(address, place, answers).await;
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
            if answers.has_any.load(Ordering::Relaxed) {
                sleep_until(fallback_at).await;
            }
            Source::Store
        };
        future::or(node, store).await
    }

    /// Asks the node at a place in the order of sources until it serves.
    async fn wait_until_serving(&self, address: SocketAddr, place: u32, answers: &Answers) {
        loop {
            let answer = ask_node(&self.state, &self.links, address).await;
            if answer == NodeAnswer::Serving {
                return;
            }
            answers.record(place, answer);
            sleep(ASK_INTERVAL).await;
        }
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

/// What the nodes have answered that a starting node has asked.
#[derive(Debug, Default)]
struct Answers {
    /// Whether any has answered.
    has_any: AtomicBool,
    /// Whether the first one reads the store, but hasn't read all topics yet.
    is_first_starting: AtomicBool,
}

impl Answers {
    fn record(&self, place: u32, answer: NodeAnswer) {
        if answer != NodeAnswer::Silent {
            self.has_any.store(true, Ordering::Relaxed);
        }
        if place == 0 {
            let is_starting = answer == NodeAnswer::Starting;
            self.is_first_starting.store(is_starting, Ordering::Relaxed);
        }
    }

    /// Waits until the node at a place may be asked: after its head start, and not while the first one is about to
    /// serve, as all followers would go to whichever reader is ready first.
    async fn wait_for_turn(&self, place: u32, latest: Timestamp) {
        sleep(HEAD_START * place).await;
        while place > 0 && self.is_first_starting.load(Ordering::Relaxed) && clock::now() < latest {
            sleep(ASK_INTERVAL).await;
        }
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
            NodeAnswer::Serving | NodeAnswer::Starting | NodeAnswer::NotServing(_) => 0,
        };
    }
}
