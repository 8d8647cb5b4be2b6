//! What a node passes on to those that follow it.

use std::time::Duration;

use sesamecart_fleet::GroupKey;
use sesamecart_links::feed::{FollowReply, FollowRequest};
use sesamecart_platform::{Offset, Record, StoredRecord, Topic};
use sesamecart_vocabulary::Timestamp;

use super::topic::DROPPED_KEPT;
use super::{Feed, LOSS_KEPT, has_news};

const NOW: Timestamp = Timestamp(10_000_000);

fn record(key: &str, value: Option<&str>) -> Record {
    Record {
        key: Some(key.to_owned()),
        value: value.map(|value| value.as_bytes().to_vec()),
    }
}

fn stored(offset: u64, key: &str, value: &str) -> StoredRecord {
    StoredRecord {
        offset: Offset(offset),
        record: record(key, Some(value)),
    }
}

/// A feed that has read a registry of two endpoints, which ends at offset 10.
fn feed() -> Feed {
    let feed = Feed::new();
    feed.replace(Topic::Operator, &[stored(2, "config", "1")], Offset(3));
    let endpoints = [stored(8, "e1", "a"), stored(9, "e2", "b")];
    feed.replace(Topic::Registry, &endpoints, Offset(10));
    feed.replace(Topic::Nodes, &[], Offset(0));
    feed
}

fn ask(feed: &Feed, registry_next: u64) -> FollowReply {
    let req = FollowRequest {
        operator_next: 3,
        registry_next,
        ..FollowRequest::default()
    };
    feed.newer(NOW, &req).expect("it serves")
}

fn registry(reply: &FollowReply) -> Vec<(&str, Option<&[u8]>)> {
    let part = reply.registry.as_ref().expect("it is there");
    let records = part.records.iter();
    records
        .map(|record| (record.key.as_str(), record.value.as_deref()))
        .collect()
}

#[test]
fn a_follower_that_has_nothing_gets_all() {
    let reply = ask(&feed(), 0);
    assert_eq!(
        registry(&reply),
        [("e1", Some(&b"a"[..])), ("e2", Some(&b"b"[..]))]
    );
    assert!(reply.registry.expect("it is there").whole);
}

/// A follower that got all records again and again would spend its link and its processor on them.
#[test]
fn a_follower_gets_what_is_new_to_it() {
    let feed = feed();
    assert!(registry(&ask(&feed, 10)).is_empty());
    feed.apply(
        Topic::Registry,
        &[record("e2", None), record("e3", Some("c"))],
        Offset(12),
    );
    let reply = ask(&feed, 10);
    assert_eq!(registry(&reply), [("e2", None), ("e3", Some(&b"c"[..]))]);
    assert_eq!(reply.registry.as_ref().map(|part| part.next), Some(12));
    assert_eq!(registry(&ask(&feed, 11)).len(), 1);
}

/// A reader ends, and the node that stands in for it has just read the topics. It doesn't know what was
/// dropped before; a follower that got only what is newer would send to endpoints that are gone.
#[test]
fn a_follower_that_comes_from_another_node_gets_all_that_may_be_gone() {
    let feed = feed();
    let reply = ask(&feed, 8);
    assert!(reply.registry.as_ref().expect("it is there").whole);
    let reply = ask(&feed, 10);
    assert!(!reply.registry.as_ref().expect("it is there").whole);
}

/// After an outage the topic is read whole. An endpoint that isn't in it any more has to go at the
/// followers as well, or they send requests to an address where nobody listens.
#[test]
fn what_is_missing_when_a_topic_is_read_anew_is_gone_for_followers() {
    let feed = feed();
    feed.replace(Topic::Registry, &[stored(8, "e1", "a")], Offset(20));
    let reply = ask(&feed, 10);
    assert!(registry(&reply).contains(&("e2", None)));
}

/// A store forgets its history, and the reader reads all of a topic anew. Were every follower sent all of it
/// again, the reader's link would be full, and their configurations would grow too old to serve callers.
#[test]
fn a_topic_that_is_read_anew_is_not_sent_again() {
    let feed = feed();
    let endpoints = [stored(8, "e1", "a"), stored(15, "e2", "changed")];
    feed.replace(Topic::Registry, &endpoints, Offset(20));
    let reply = ask(&feed, 10);
    assert_eq!(registry(&reply), [("e2", Some(&b"changed"[..]))]);
    assert_eq!(reply.registry.as_ref().map(|part| part.next), Some(20));
}

/// A follower that was away for longer than drops are remembered would keep endpoints that are gone.
#[test]
fn a_follower_that_was_away_for_long_gets_all() {
    let feed = feed();
    let mut next = 10;
    for index in 0..=DROPPED_KEPT {
        next += 2;
        let key = format!("x{index}");
        let records = [record(&key, Some("x")), record(&key, None)];
        feed.apply(Topic::Registry, &records, Offset(next));
    }
    let reply = ask(&feed, 10);
    assert!(reply.registry.as_ref().expect("it is there").whole);
    assert_eq!(registry(&reply).len(), 2);
}

/// A node that lost the store follows another one itself. Were it to go on serving, two nodes could
/// follow each other and vouch for a configuration that nobody reads.
#[test]
fn a_node_that_doesnt_read_the_store_serves_nobody() {
    let feed = feed();
    feed.stop();
    assert!(feed.newer(NOW, &FollowRequest::default()).is_none());
}

/// The store is away for seconds, and the reader follows another node meanwhile. Back at the store it must not
/// send everything to all that follow it: their answers would take longer than they wait, they would ask
/// elsewhere and start over, and no node would get a configuration any more.
#[test]
fn a_reader_that_comes_back_sends_only_what_differs() {
    let feed = feed();
    feed.stop();
    feed.replace(Topic::Operator, &[stored(2, "config", "1")], Offset(3));
    feed.replace(Topic::Registry, &[stored(9, "e2", "b")], Offset(14));
    assert!(
        feed.newer(NOW, &FollowRequest::default()).is_none(),
        "a topic is missing"
    );
    feed.replace(Topic::Nodes, &[], Offset(0));
    let reply = ask(&feed, 10);
    assert!(!reply.registry.as_ref().expect("it is there").whole);
    assert_eq!(registry(&reply), [("e1", None)]);
}

/// Guards against an endpoint that went in a gap and is kept while nothing else changes.
#[test]
fn unchanged_keys_alone_are_an_update_for_a_follower_in_a_gap() {
    let feed = feed();
    feed.stop();
    feed.replace(Topic::Operator, &[stored(2, "config", "1")], Offset(3));
    let endpoints = [stored(8, "e1", "a"), stored(9, "e2", "b")];
    feed.replace(Topic::Registry, &endpoints, Offset(12));
    feed.replace(Topic::Nodes, &[], Offset(0));
    let reply = ask(&feed, 11);
    assert!(registry(&reply).is_empty());
    assert!(has_news(&reply));
    assert!(!has_news(&ask(&feed, 12)));
}

/// The controller's finding has to reach each follower once, also one that comes from another node.
#[test]
fn losses_are_passed_on_once_to_each_follower() {
    let feed = feed();
    let key = GroupKey {
        group: "g1".parse().expect("a name"),
        epoch: "7".parse().expect("a number"),
    };
    assert!(feed.note_loss(NOW, &key));
    assert!(!feed.note_loss(NOW, &key), "it is no news");
    let reply = ask(&feed, 10);
    assert_eq!(reply.losses, ["g1@7"]);
    let seen = FollowRequest {
        feed: reply.feed,
        losses_next: reply.losses_next,
        ..FollowRequest::default()
    };
    assert!(feed.newer(NOW, &seen).expect("it serves").losses.is_empty());
    let elsewhere = FollowRequest {
        feed: reply.feed + 1,
        ..seen
    };
    let again = feed.newer(NOW, &elsewhere).expect("it serves");
    assert_eq!(again.losses, ["g1@7"]);
    let later = NOW + LOSS_KEPT + Duration::from_millis(1);
    assert!(feed.note_loss(later, &key), "the old one is forgotten");
}
