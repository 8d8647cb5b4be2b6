//! Tests of how a follower updates its list of nodes.

use futures_util::FutureExt as _;
use indexmap::IndexSet;
use sesamecart_links::feed::{FollowRequest, KeyedRecord, TopicPart, UnchangedKeys};
use sesamecart_platform::{LogPosition, Offset, Record, StoreEra, StoredRecord, Topic};
use sesamecart_vocabulary::Timestamp;

use crate::clock;
use crate::feed::Feed;
use crate::follower::nodes::{NODES_READ_INTERVAL, NodeList};
use crate::follower::peer::{TopicUpdate, update_nodes};
use crate::state::EntryState;
use crate::testkit::new_state;

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

/// Replaces the feed's list of nodes, as a reader does after each read of the store.
fn read_list(feed: &Feed, nodes: &[&str]) {
    let entries = nodes.iter().copied().map(entry);
    let entries = entries.zip(0..).map(|(record, offset)| StoredRecord {
        offset: Offset(offset),
        record,
    });
    let entries: Vec<StoredRecord> = entries.collect();
    let end = LogPosition::new(StoreEra(0), Offset(entries.len() as u64));
    let _summary = feed.replace(Topic::Nodes, &entries, end);
}

/// Requests the changes of the list from offset `next`, applies them, and returns the next offset.
fn sync_nodes(state: &EntryState, feed: &Feed, next: u64) -> u64 {
    let req = FollowRequest {
        nodes_next: next,
        ..FollowRequest::default()
    };
    let reply = feed.reply_to(NOW, &req).expect("the feed is serving");
    let part = reply.nodes.expect("the reply contains the list of nodes");
    let next = part.next;
    let mut position = LogPosition::START;
    let update = TopicUpdate::new(part, &mut position).expect("something has changed");
    update_nodes(state, &mut NodeList::default(), update);
    next
}

fn known(state: &EntryState) -> Vec<String> {
    let nodes = state.nodes.load();
    nodes.iter().map(|peer| peer.node.to_string()).collect()
}

/// Guards against an update that replaces the list with only the added node: limits that all nodes share
/// would then be divided among too few nodes.
#[test]
fn adding_a_node_keeps_the_other_nodes() {
    let feed = Feed::new();
    for topic in [Topic::Operator, Topic::Registry, Topic::Crashes] {
        let _summary = feed.replace(topic, &[], LogPosition::START);
    }
    read_list(&feed, &["n1", "n2", "n3"]);
    let state = new_state(true);
    let next = sync_nodes(&state, &feed, 0);
    assert_eq!(known(&state), ["n1", "n2", "n3"]);
    read_list(&feed, &["n1", "n2", "n3", "n4"]);
    sync_nodes(&state, &feed, next);
    assert_eq!(known(&state), ["n1", "n2", "n3", "n4"]);
}

/// Guards against a node that stays in the list forever after its entry was dropped.
#[test]
fn nodes_neither_changed_nor_unchanged_are_removed() {
    let state = new_state(true);
    let records = |nodes: &[&str]| {
        let entries = nodes.iter().copied().map(entry);
        let records = entries.map(|record| KeyedRecord {
            key: record.key.expect("the record has a key"),
            value: record.value,
        });
        records.collect()
    };
    let whole = TopicPart {
        records: records(&["n2", "n3"]),
        whole: true,
        ..TopicPart::default()
    };
    let mut list = NodeList::default();
    let mut position = LogPosition::START;
    let mut apply = |part| {
        let update = TopicUpdate::new(part, &mut position).expect("something has changed");
        update_nodes(&state, &mut list, update);
    };
    apply(whole);
    let changed = TopicPart {
        records: records(&["n4"]),
        unchanged: Some(UnchangedKeys {
            keys: vec!["n3".to_owned()],
        }),
        ..TopicPart::default()
    };
    apply(changed);
    // The node itself, n1, stays listed although no record contains it.
    assert_eq!(known(&state), ["n1", "n3", "n4"]);
}

/// Returns whether this node would register again after it has read a list that ends at `end`.
fn misses_own_entry(
    state: &EntryState,
    list: &mut NodeList,
    end: LogPosition,
    nodes: &[&str],
) -> bool {
    let own = serde_json::to_vec(&state.local_peer()).expect("an entry serializes");
    let entries = nodes.iter().map(|node| match *node {
        "n1" => Record {
            key: Some("n1".to_owned()),
            value: Some(own.clone()),
        },
        other => entry(other),
    });
    let entries: Vec<Record> = entries.collect();
    let missing = state.own_entry_missing.listen();
    let _nodes = list.replace(state, end, &entries, &IndexSet::new());
    missing.now_or_never().is_some()
}

fn at(era: u64, offset: u64) -> LogPosition {
    LogPosition::new(StoreEra(era), Offset(offset))
}

/// Guards against a node that nobody knows of any more because its entry was lost when the store returned.
#[test]
fn a_node_whose_entry_was_lost_registers_again() {
    let state = new_state(true);
    let mut list = NodeList::default();
    state.set_own_entry(at(1, 5));
    assert!(
        !misses_own_entry(&state, &mut list, at(1, 5), &["n2"]),
        "the list is older"
    );
    assert!(!misses_own_entry(
        &state,
        &mut list,
        at(1, 6),
        &["n1", "n2"]
    ));
    assert!(misses_own_entry(&state, &mut list, at(2, 3), &["n2"]));
    state.set_own_entry(at(2, 3));
    assert!(!misses_own_entry(
        &state,
        &mut list,
        at(2, 4),
        &["n1", "n2"]
    ));
}

/// Guards against limits of all nodes that are divided among too few while nodes register again.
#[test]
fn nodes_that_a_return_has_lost_count_until_the_next_read() {
    let state = new_state(true);
    let mut list = NodeList::default();
    misses_own_entry(&state, &mut list, at(1, 3), &["n1", "n2", "n3"]);
    misses_own_entry(&state, &mut list, at(2, 2), &["n1", "n2"]);
    assert_eq!(known(&state), ["n1", "n2", "n3"]);
    misses_own_entry(&state, &mut list, at(2, 3), &["n1", "n2", "n4"]);
    assert_eq!(known(&state), ["n1", "n2", "n4"]);
}

/// Guards against a node that is gone and stays in the lists of those that follow another node, so that nodes choose
/// different ones to decide for all.
#[test]
fn nodes_that_a_return_has_lost_are_removed_without_another_change() {
    let state = new_state(true);
    let mut list = NodeList::default();
    misses_own_entry(&state, &mut list, at(1, 4), &["n1", "n2", "n3", "n4"]);
    misses_own_entry(&state, &mut list, at(2, 2), &["n1", "n2"]);
    list.apply(&state, at(2, 3), &[entry("n4")]);
    assert_eq!(known(&state), ["n1", "n2", "n3", "n4"]);
    state.make_due_removals(clock::now() + NODES_READ_INTERVAL);
    assert_eq!(known(&state), ["n1", "n2", "n4"]);
}

/// Guards against removing a node that another source has listed all the while.
#[test]
fn a_node_that_another_source_lists_is_not_removed() {
    let state = new_state(true);
    let mut list = NodeList::default();
    misses_own_entry(&state, &mut list, at(1, 3), &["n1", "n2", "n3"]);
    misses_own_entry(&state, &mut list, at(2, 2), &["n1", "n2"]);
    let unchanged = ["n2", "n3"].map(str::to_owned).into_iter().collect();
    let _nodes = list.replace(&state, at(2, 3), &[], &unchanged);
    state.make_due_removals(clock::now() + NODES_READ_INTERVAL);
    assert_eq!(known(&state), ["n1", "n2", "n3"]);
}
