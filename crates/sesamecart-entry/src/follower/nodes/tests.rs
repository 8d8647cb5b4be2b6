//! Which nodes a follower knows.

use sesamecart_links::feed::{FollowRequest, KeyedRecord, TopicPart, UnchangedKeys};
use sesamecart_platform::{Offset, Record, StoredRecord, Topic};
use sesamecart_vocabulary::Timestamp;

use crate::beliefs::Beliefs;
use crate::feed::Feed;
use crate::follower::peer::take_nodes;
use crate::testkit::beliefs;

const NOW: Timestamp = Timestamp(10_000_000);

fn entry(node: &str) -> Record {
    let value = serde_json::json!({
        "node": node, "failure_domain": "a", "links": "127.0.0.1:1", "processor_share": 0.25,
    });
    Record {
        key: Some(node.to_owned()),
        value: Some(value.to_string().into_bytes()),
    }
}

/// Reads the list of nodes whole, as a node does that others follow.
fn read_whole(feed: &Feed, nodes: &[&str]) {
    let entries = nodes.iter().copied().map(entry);
    let entries = entries.zip(0..).map(|(record, offset)| StoredRecord {
        offset: Offset(offset),
        record,
    });
    let entries: Vec<StoredRecord> = entries.collect();
    let end = Offset(entries.len() as u64);
    let _reread = feed.replace(Topic::Nodes, &entries, end);
}

/// Follows a node whose list of nodes is known up to `next`; returns how far it is known then.
fn follow(beliefs: &Beliefs, feed: &Feed, next: u64) -> u64 {
    let req = FollowRequest {
        nodes_next: next,
        ..FollowRequest::default()
    };
    let reply = feed.newer(NOW, &req).expect("it serves");
    let part = reply.nodes.expect("it has the list of nodes");
    let next = part.next;
    take_nodes(beliefs, part);
    next
}

fn known(beliefs: &Beliefs) -> Vec<String> {
    let nodes = beliefs.nodes.load();
    nodes.iter().map(|peer| peer.node.to_string()).collect()
}

/// Guards against shares of bounds that are counted for a few of the nodes once one is added.
#[test]
fn a_node_that_is_added_leaves_the_others_known() {
    let feed = Feed::new();
    for topic in [Topic::Operator, Topic::Registry] {
        let _reread = feed.replace(topic, &[], Offset(0));
    }
    read_whole(&feed, &["n1", "n2", "n3"]);
    let beliefs = beliefs(true);
    let next = follow(&beliefs, &feed, 0);
    assert_eq!(known(&beliefs), ["n1", "n2", "n3"]);
    read_whole(&feed, &["n1", "n2", "n3", "n4"]);
    follow(&beliefs, &feed, next);
    assert_eq!(known(&beliefs), ["n1", "n2", "n3", "n4"]);
}

/// Guards against a node that is kept for ever though its entry was dropped.
#[test]
fn nodes_that_are_neither_changed_nor_unchanged_are_gone() {
    let beliefs = beliefs(true);
    let records = |nodes: &[&str]| {
        let entries = nodes.iter().copied().map(entry);
        let records = entries.map(|record| KeyedRecord {
            key: record.key.expect("it has one"),
            value: record.value,
        });
        records.collect()
    };
    let whole = TopicPart {
        records: records(&["n2", "n3"]),
        whole: true,
        ..TopicPart::default()
    };
    take_nodes(&beliefs, whole);
    let changed = TopicPart {
        records: records(&["n4"]),
        unchanged: Some(UnchangedKeys {
            keys: vec!["n3".to_owned()],
        }),
        ..TopicPart::default()
    };
    take_nodes(&beliefs, changed);
    assert_eq!(known(&beliefs), ["n1", "n3", "n4"]);
}
