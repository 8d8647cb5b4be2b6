//! Checks whether this node can open connections to endpoints at all.
//!
//! A probe without an answer says the same of an endpoint that is gone and of one that this node has no path
//! to. Other endpoints tell the two apart: a node that reaches none of them has lost its own links.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use sesamecart_edges::HttpClient;
use sesamecart_fleet::{Directory, Endpoint, GroupKey};

use crate::events::Event;
use crate::state::EntryState;

/// The number of endpoints to which connections are opened in one check.
const SAMPLE_SIZE: usize = 3;

/// Timeout for opening a connection. The longest network round trip takes a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(80);

/// The result of a check.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct LinkCheck {
    pub(crate) checked: usize,
    pub(crate) reached: usize,
}

/// Opens connections to some endpoints outside of a group that isn't healthy as seen from this node, and writes
/// the result to the decision log.
pub(crate) async fn check_links(
    state: &EntryState,
    client: &HttpClient,
    group: &GroupKey,
) -> LinkCheck {
    let sample = sample_outside(&state.directory.load(), group);
    let check = open_connections(client, &sample).await;
    state.events.write(&Event::LinksChecked {
        group: &group.to_string(),
        checked: check.checked,
        reached: check.reached,
    });
    check
}

async fn open_connections(client: &HttpClient, peers: &[SocketAddr]) -> LinkCheck {
    let attempts = peers
        .iter()
        .map(|peer| client.check_connection(*peer, CONNECT_TIMEOUT));
    let reached = join_all(attempts).await;
    LinkCheck {
        checked: peers.len(),
        reached: reached.iter().filter(|result| result.is_ok()).count(),
    }
}

/// Returns the addresses of some listed endpoints that aren't members of `group`.
fn sample_outside(directory: &Directory, group: &GroupKey) -> Vec<SocketAddr> {
    let others = directory
        .listed()
        .filter(|endpoint| endpoint.group_key().as_ref() != Some(group));
    let mut others: Vec<&Arc<Endpoint>> = others.collect();
    fastrand::shuffle(&mut others);
    others.truncate(SAMPLE_SIZE);
    others.iter().map(|endpoint| endpoint.address).collect()
}
