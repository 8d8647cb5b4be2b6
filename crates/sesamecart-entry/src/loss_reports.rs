//! Propagates the loss of a group member to the controller, and from the controller to all nodes.
//!
//! Otherwise each node would have to detect the loss from its own streams. Nodes with few streams at the
//! group would keep sending requests to a stalled head, and their callers would wait until the silence
//! timeout.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use sesamecart_fleet::GroupKey;
use sesamecart_links::Links;
use sesamecart_links::feed::GroupLoss;
use sesamecart_platform::{Record, Store, Topic};
use sesamecart_runtime::with_timeout;

use crate::clock;
use crate::events::Event;
use crate::state::EntryState;

/// Timeout of a request that reports a loss to another node. A live node answers within milliseconds.
const LOSS_REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// Reports a loss that this node detected to the controller: through the node that this node follows, which
/// merges the reports of its followers into one, or else through the store.
pub(crate) async fn report(state: &EntryState, store: &Store, links: &Links, key: &GroupKey) {
    let upstream = state.upstream();
    if let Some(address) = upstream {
        let loss = GroupLoss {
            group: key.to_string(),
        };
        let mut feed = links.feed_client(address);
        match with_timeout(LOSS_REPORT_TIMEOUT, feed.report_loss(loss)).await {
            Ok(Ok(_)) => return,
            Ok(Err(status)) => log::debug!("losses: node at {address}: report failed: {status}."),
            Err(elapsed) => log::debug!("losses: node at {address}: report failed: {elapsed}."),
        }
    }
    if state.mark_loss_reported(key) {
        report_to_store(state, store, key).await;
    }
}

/// Appends a loss to the observations topic, which the controller reads.
pub(crate) async fn report_to_store(state: &EntryState, store: &Store, key: &GroupKey) {
    let record = Record {
        key: None,
        value: Some(key.to_string().into_bytes()),
    };
    if let Err(error) = store.append(Topic::Observations, &record).await {
        // The controller detects the loss a little later, from its own streams or the expired registry entry.
        state.metrics.count_store_failure();
        state.events.write(&Event::RecordIgnored {
            topic: "observations",
            key: &key.to_string(),
            cause: &error.to_string(),
        });
    }
}

/// Announces a loss that the controller has confirmed to all nodes: to those that follow this node, and
/// through the other store readers to those that follow them.
pub(crate) async fn announce(state: Arc<EntryState>, links: Links, key: GroupKey) {
    if !state.feed.record_loss(clock::now(), &key) {
        return;
    }
    let addresses = state.nodes_with_followers();
    let announcements = addresses
        .into_iter()
        .map(|address| announce_to(&links, address, &key));
    join_all(announcements).await;
}

async fn announce_to(links: &Links, address: SocketAddr, key: &GroupKey) {
    let loss = GroupLoss {
        group: key.to_string(),
    };
    let mut feed = links.feed_client(address);
    // A node that misses the announcement detects the loss by itself or in the registry, a little later.
    match with_timeout(LOSS_REPORT_TIMEOUT, feed.announce_loss(loss)).await {
        Ok(Ok(_)) => {}
        Ok(Err(status)) => log::debug!("losses: node at {address}: announce {key}: {status}."),
        Err(elapsed) => log::debug!("losses: node at {address}: announce {key}: {elapsed}."),
    }
}

/// Parses a group's name and epoch from the `Display` format of [`GroupKey`].
pub(crate) fn parse_group_key(text: &str) -> Option<GroupKey> {
    let (group, epoch) = text.rsplit_once('@')?;
    Some(GroupKey {
        group: group.parse().ok()?,
        epoch: epoch.parse().ok()?,
    })
}
