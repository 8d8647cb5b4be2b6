//! Asks other nodes what they know of the operator's topic.
//!
//! A store that has returned from a copy may have an older configuration than the one that nodes have acted on.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::join_all;
use indexmap::IndexSet;
use sesamecart_links::Links;
use sesamecart_links::feed::{OperatorState, OperatorStateRequest};
use sesamecart_runtime::with_patience;

use super::operator::OperatorState as OperatorTopic;
use crate::state::EntryState;

/// The number of nodes with followers that are asked. These are the first to know of a change.
const MAX_ASKED_READERS: usize = 2;

/// The number of other nodes that are asked.
const MAX_ASKED_OTHERS: usize = 2;

/// The timeout of the question. A node that doesn't answer is likely to be starting or cut off.
const ASK_TIMEOUT: Duration = Duration::from_millis(250);

/// Asks other nodes for a newer configuration than the topic's, if there may be one.
pub(super) async fn ask_if_needed(operator: &mut OperatorTopic, state: &EntryState, links: &Links) {
    if operator.take_needs_neighbors() {
        let answers = ask(state, links).await;
        operator.learn(state, &answers);
    }
}

/// Asks some other nodes at the same time, and returns the answers that arrive in time.
async fn ask(state: &EntryState, links: &Links) -> Vec<OperatorState> {
    let version = state.configuration_version();
    let questions = choose(state).into_iter().map(|address| async move {
        let mut feed = links.feed_client(address);
        let question = feed.read_operator_state(OperatorStateRequest { version });
        match with_patience(ASK_TIMEOUT, question).await {
            Ok(Ok(answer)) => Some(answer.into_inner()),
            Ok(Err(status)) => {
                log::debug!("follower: node at {address}: operator state: {status}.");
                None
            }
            Err(elapsed) => {
                log::debug!("follower: node at {address}: operator state: {elapsed}.");
                None
            }
        }
    });
    join_all(questions).await.into_iter().flatten().collect()
}

fn choose(state: &EntryState) -> IndexSet<SocketAddr> {
    let mut readers = state.nodes_with_followers();
    fastrand::shuffle(&mut readers);
    readers.truncate(MAX_ASKED_READERS);
    let nodes = state.nodes.load();
    let others = nodes.iter().filter(|peer| peer.node != state.settings.node);
    let others = others.map(|peer| peer.links);
    let mut others: Vec<SocketAddr> = others.filter(|links| !readers.contains(links)).collect();
    fastrand::shuffle(&mut others);
    others.truncate(MAX_ASKED_OTHERS);
    readers.into_iter().chain(others).collect()
}
