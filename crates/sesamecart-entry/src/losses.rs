//! Passes on that a group has lost a member: to the controller, and from it to all nodes.
//!
//! Without it each node finds the loss by itself from its own streams, and those with few streams there
//! send on to a head that stands still; their callers wait until the silence is long enough.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use sesamecart_fleet::{GroupKey, readers, standbys};
use sesamecart_links::Links;
use sesamecart_links::feed::GroupLoss;
use sesamecart_platform::{Expected, Record, Store, Topic};
use sesamecart_runtime::within;

use crate::beliefs::Beliefs;
use crate::clock;
use crate::events::Event;

/// How long another node has to note a loss; one that lives does within milliseconds.
const NOTE_LIMIT: Duration = Duration::from_millis(300);

/// Tells the controller of a loss that this node found: through the node that it follows, which hears
/// the same from others and passes it on once, or else through the store.
pub(crate) async fn report(beliefs: &Beliefs, store: &Store, links: &Links, key: &GroupKey) {
    let source = beliefs.followed();
    if let Some(links_of) = source {
        let loss = GroupLoss {
            group: key.to_string(),
        };
        let mut feed = links.feed_of(links_of);
        match within(NOTE_LIMIT, feed.report_loss(loss)).await {
            Ok(Ok(_)) => return,
            Ok(Err(status)) => log::debug!("losses: node at {links_of}: report: {status}."),
            Err(elapsed) => log::debug!("losses: node at {links_of}: report: {elapsed}."),
        }
    }
    if beliefs.note_reported(key) {
        report_to_store(beliefs, store, key).await;
    }
}

/// Writes a loss into the topic that the controller reads.
pub(crate) async fn report_to_store(beliefs: &Beliefs, store: &Store, key: &GroupKey) {
    let record = Record {
        key: None,
        value: Some(key.to_string().into_bytes()),
    };
    let appended = store.append(Topic::Observations, &record, Expected::Anything);
    if let Err(error) = appended.await {
        // The controller's own streams, or the lapsed entry, show the loss somewhat later.
        beliefs.metrics.count_store_failure();
        beliefs.events.write(&Event::RecordIgnored {
            topic: "observations",
            key: &key.to_string(),
            cause: &error.to_string(),
        });
    }
}

/// Tells all nodes of a loss that the controller has made sure of: those that follow this node, and
/// through the other readers those that follow them.
pub(crate) async fn announce(beliefs: Arc<Beliefs>, links: Links, key: GroupKey) {
    if !beliefs.feed.note_loss(clock::now(), &key) {
        return;
    }
    let nodes = beliefs.nodes.load_full();
    // Any standby may be serving others in its reader's place.
    let serving = readers(&nodes).into_iter().chain(standbys(&nodes));
    let others = serving.filter(|peer| peer.node != beliefs.settings.node);
    let told = others.map(|reader| tell(&links, reader.links, &key));
    join_all(told).await;
}

async fn tell(links: &Links, reader: SocketAddr, key: &GroupKey) {
    let loss = GroupLoss {
        group: key.to_string(),
    };
    let mut feed = links.feed_of(reader);
    // A node that isn't told finds the loss by itself or in the registry, somewhat later.
    match within(NOTE_LIMIT, feed.announce_loss(loss)).await {
        Ok(Ok(_)) => {}
        Ok(Err(status)) => log::debug!("losses: node at {reader}: announce {key}: {status}."),
        Err(elapsed) => log::debug!("losses: node at {reader}: announce {key}: {elapsed}."),
    }
}

/// Reads a group's name and epoch, as [`GroupKey`] writes them.
pub(crate) fn parse_group(text: &str) -> Option<GroupKey> {
    let (group, epoch) = text.rsplit_once('@')?;
    Some(GroupKey {
        group: group.parse().ok()?,
        epoch: epoch.parse().ok()?,
    })
}
