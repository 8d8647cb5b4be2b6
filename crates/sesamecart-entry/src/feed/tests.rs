//! Tests of the updates that followers receive from a feed.

use std::time::Duration;

use sesamecart_fleet::GroupKey;
use sesamecart_links::feed::{FollowReply, FollowRequest};
use sesamecart_platform::{LogPosition, Offset, Record, StoreEra, StoredRecord, Topic};
use sesamecart_vocabulary::Timestamp;

use super::topic::MAX_TOMBSTONES;
use super::{Feed, LOSS_RETENTION, has_updates};

const NOW: Timestamp = Timestamp(10_000_000);

fn end(offset: u64) -> LogPosition {
    LogPosition::new(StoreEra(0), Offset(offset))
}

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

/// Returns a feed whose registry topic contains two endpoints and ends at offset 10.
fn feed() -> Feed {
    let feed = Feed::new();
    feed.replace(Topic::Operator, &[stored(2, "config", "1")], end(3));
    let endpoints = [stored(8, "e1", "a"), stored(9, "e2", "b")];
    feed.replace(Topic::Registry, &endpoints, end(10));
    feed.replace(Topic::Nodes, &[], end(0));
    feed.replace(Topic::Crashes, &[], end(0));
    feed
}

fn request_update(feed: &Feed, registry_next: u64) -> FollowReply {
    let req = FollowRequest {
        operator_next: 3,
        registry_next,
        ..FollowRequest::default()
    };
    feed.reply_to(NOW, &req).expect("the feed is serving")
}

fn registry(reply: &FollowReply) -> Vec<(&str, Option<&[u8]>)> {
    let part = reply
        .registry
        .as_ref()
        .expect("the reply has a registry part");
    let records = part.records.iter();
    records
        .map(|record| (record.key.as_str(), record.value.as_deref()))
        .collect()
}

#[test]
fn a_new_follower_receives_the_whole_topic() {
    let reply = request_update(&feed(), 0);
    assert_eq!(
        registry(&reply),
        [("e1", Some(&b"a"[..])), ("e2", Some(&b"b"[..]))]
    );
    assert!(reply.registry.expect("the reply has a registry part").whole);
}

/// Guards against sending all records in every reply, which would waste the follower's bandwidth and CPU
/// time.
#[test]
fn a_follower_receives_only_newer_records() {
    let feed = feed();
    assert!(registry(&request_update(&feed, 10)).is_empty());
    feed.apply(
        Topic::Registry,
        &[record("e2", None), record("e3", Some("c"))],
        end(12),
    );
    let reply = request_update(&feed, 10);
    assert_eq!(registry(&reply), [("e2", None), ("e3", Some(&b"c"[..]))]);
    assert_eq!(reply.registry.as_ref().map(|part| part.next), Some(12));
    assert_eq!(registry(&request_update(&feed, 11)).len(), 1);
}

/// A reader fails, and the standby that replaces it has just read the topics, so it doesn't know which keys
/// were removed before. A follower that received only newer records would send requests to removed endpoints.
#[test]
fn a_follower_that_switches_nodes_receives_the_whole_topic_if_removals_are_unknown() {
    let feed = feed();
    let reply = request_update(&feed, 8);
    assert!(
        reply
            .registry
            .as_ref()
            .expect("the reply has a registry part")
            .whole
    );
    let reply = request_update(&feed, 10);
    assert!(
        !reply
            .registry
            .as_ref()
            .expect("the reply has a registry part")
            .whole
    );
}

/// After an outage, the topic is read in full. An endpoint that is no longer in it has to be removed at the
/// followers as well, or they send requests to an address where nothing listens.
#[test]
fn a_key_missing_from_a_reread_topic_is_removed_at_followers() {
    let feed = feed();
    feed.replace(Topic::Registry, &[stored(8, "e1", "a")], end(20));
    let reply = request_update(&feed, 10);
    assert!(registry(&reply).contains(&("e2", None)));
}

/// The store trims its history, and the reader rereads a topic in full. Sending the whole topic to every
/// follower would saturate the reader's link, and the followers' configurations would become too old to serve
/// callers.
#[test]
fn only_changed_records_of_a_reread_topic_are_sent() {
    let feed = feed();
    let endpoints = [stored(8, "e1", "a"), stored(15, "e2", "changed")];
    feed.replace(Topic::Registry, &endpoints, end(20));
    let reply = request_update(&feed, 10);
    assert_eq!(registry(&reply), [("e2", Some(&b"changed"[..]))]);
    assert_eq!(reply.registry.as_ref().map(|part| part.next), Some(20));
}

/// A follower that was disconnected for longer than tombstones are kept would otherwise keep removed
/// endpoints.
#[test]
fn a_follower_behind_the_discarded_tombstones_receives_the_whole_topic() {
    let feed = feed();
    let mut next = 10;
    for index in 0..=MAX_TOMBSTONES {
        next += 2;
        let key = format!("x{index}");
        let records = [record(&key, Some("x")), record(&key, None)];
        feed.apply(Topic::Registry, &records, end(next));
    }
    let reply = request_update(&feed, 10);
    assert!(
        reply
            .registry
            .as_ref()
            .expect("the reply has a registry part")
            .whole
    );
    assert_eq!(registry(&reply).len(), 2);
}

/// A node that lost the store follows another node. If it continued to serve, two nodes could follow each
/// other and confirm a configuration that neither reads from the store.
#[test]
fn a_node_that_does_not_read_the_store_does_not_serve() {
    let feed = feed();
    feed.stop_serving();
    assert!(feed.reply_to(NOW, &FollowRequest::default()).is_none());
}

/// The store is unavailable for seconds, and the reader follows another node meanwhile. When it reads the
/// store again, it must not send all topics to all its followers: the replies would exceed the followers'
/// timeouts, the followers would start over with other nodes, and none would receive a configuration.
#[test]
fn a_reader_that_resumes_reading_the_store_sends_only_differences() {
    let feed = feed();
    feed.stop_serving();
    feed.replace(Topic::Operator, &[stored(2, "config", "1")], end(3));
    feed.replace(Topic::Registry, &[stored(9, "e2", "b")], end(14));
    assert!(
        feed.reply_to(NOW, &FollowRequest::default()).is_none(),
        "one topic hasn't been read yet"
    );
    feed.replace(Topic::Nodes, &[], end(0));
    feed.replace(Topic::Crashes, &[], end(0));
    let reply = request_update(&feed, 10);
    assert!(
        !reply
            .registry
            .as_ref()
            .expect("the reply has a registry part")
            .whole
    );
    assert_eq!(registry(&reply), [("e1", None)]);
}

/// The reader didn't read the store for a while, so it doesn't know which keys were removed between two
/// offsets (a gap). A follower whose offset lies between them must be sent the unchanged keys even if there are
/// no newer records, or it keeps removed endpoints for as long as nothing else changes.
#[test]
fn unchanged_keys_alone_are_an_update_for_a_follower_in_a_gap() {
    let feed = feed();
    feed.stop_serving();
    feed.replace(Topic::Operator, &[stored(2, "config", "1")], end(3));
    let endpoints = [stored(8, "e1", "a"), stored(9, "e2", "b")];
    feed.replace(Topic::Registry, &endpoints, end(12));
    feed.replace(Topic::Nodes, &[], end(0));
    feed.replace(Topic::Crashes, &[], end(0));
    let reply = request_update(&feed, 11);
    assert!(registry(&reply).is_empty());
    assert!(has_updates(&reply));
    assert!(!has_updates(&request_update(&feed, 12)));
}

fn group() -> GroupKey {
    GroupKey {
        group: "g1".parse().expect("a valid group name"),
        epoch: "7".parse().expect("a valid epoch"),
    }
}

/// A loss that the controller announces has to reach each follower once, including one that switches from
/// another node.
#[test]
fn each_follower_receives_a_loss_once() {
    let feed = feed();
    let key = group();
    assert!(feed.record_loss(NOW, &key));
    assert!(!feed.record_loss(NOW, &key), "the loss is already recorded");
    let reply = request_update(&feed, 10);
    assert_eq!(reply.losses, ["g1@7"]);
    let seen = FollowRequest {
        feed: reply.feed,
        losses_next: reply.losses_next,
        ..FollowRequest::default()
    };
    assert!(
        feed.reply_to(NOW, &seen)
            .expect("the feed is serving")
            .losses
            .is_empty()
    );
    let from_other_feed = FollowRequest {
        feed: reply.feed + 1,
        ..seen
    };
    let again = feed
        .reply_to(NOW, &from_other_feed)
        .expect("the feed is serving");
    assert_eq!(again.losses, ["g1@7"]);
    let later = NOW + LOSS_RETENTION + Duration::from_millis(1);
    assert!(
        feed.record_loss(later, &key),
        "the earlier loss has expired"
    );
}

/// Requests an update of the registry from a position of an era, or of none for a follower that knows no eras.
fn request_from(feed: &Feed, era: Option<u64>, registry_next: u64) -> FollowReply {
    let req = FollowRequest {
        registry_next,
        registry_era: era,
        ..FollowRequest::default()
    };
    feed.reply_to(NOW, &req).expect("the feed is serving")
}

/// Returns a feed whose store has returned from a copy: one endpoint has changed, and the topic is shorter.
fn returned_feed() -> Feed {
    let feed = feed();
    let endpoints = [stored(5, "e1", "a"), stored(6, "e2", "changed")];
    let end = LogPosition::new(StoreEra(1), Offset(7));
    feed.replace(Topic::Registry, &endpoints, end);
    feed
}

/// Guards against a reader that sends all topics to all its followers at once when the store has returned.
#[test]
fn only_what_a_return_has_changed_is_sent_to_followers_that_are_up_to_date() {
    let reply = request_from(&returned_feed(), Some(0), 10);
    assert_eq!(registry(&reply), [("e2", Some(&b"changed"[..]))]);
    let part = reply.registry.expect("the reply has a registry part");
    assert_eq!((part.whole, part.era, part.next), (false, 1, 7));
}

/// Guards against records that were lost in a return and stay at a follower that had read them elsewhere.
#[test]
fn a_follower_that_may_have_lost_records_receives_the_whole_topic() {
    let reply = request_from(&returned_feed(), Some(0), 11);
    assert_eq!(registry(&reply).len(), 2);
    assert!(reply.registry.expect("the reply has a registry part").whole);
}

/// Guards against a reader that sends whole topics again and again to nodes of a version that knows no eras.
#[test]
fn an_offset_without_an_era_is_of_the_readers_era() {
    let reply = request_from(&returned_feed(), None, 7);
    assert!(registry(&reply).is_empty());
    assert!(!reply.registry.expect("the reply has a registry part").whole);
}

/// Guards against moving requests from a sound group, because a node that has just begun to follow this one is told of
/// a loss from long ago.
#[test]
fn a_new_follower_gets_no_loss_from_long_ago() {
    let feed = feed();
    feed.record_loss(NOW, &group());
    let reply = |now| {
        feed.reply_to(now, &FollowRequest::default())
            .expect("the feed is serving")
    };
    assert_eq!(reply(NOW).losses, ["g1@7"]);
    assert!(reply(NOW + LOSS_RETENTION).losses.is_empty());
}
