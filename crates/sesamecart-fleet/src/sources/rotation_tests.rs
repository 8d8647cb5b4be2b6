//! Simulates failing sources and checks which one a node tries next.

use std::time::Duration;

use sesamecart_vocabulary::Timestamp;

use super::{Source, SourceRotation};

const START: Timestamp = Timestamp(1_000_000);

fn node(port: u16) -> Source {
    Source::Node(([127, 0, 0, 1], port).into())
}

/// Tries sources for `time` and returns them in order. Each source is unready twice in a row, which counts
/// as a failure.
fn try_sources(order: &[Source], time: Duration) -> Vec<Source> {
    let mut rotation = SourceRotation::default();
    let mut now = START;
    let mut tried = Vec::new();
    while now < START + time {
        let source = rotation.choose(order);
        rotation.begin(now);
        if tried.last() != Some(&source) {
            tried.push(source);
        }
        now = now + Duration::from_millis(250);
        rotation.fail_unready(now, source);
    }
    tried
}

/// The store refuses all readers but still serves this node. If the node only rotated among the readers,
/// its configuration would become older than the limit for changes, and it would admit callers whose key
/// was revoked.
#[test]
fn the_store_is_tried_however_many_readers_it_refuses() {
    let order = [
        node(1),
        node(2),
        node(3),
        node(4),
        node(5),
        node(6),
        Source::Store,
    ];
    let tried = try_sources(&order, Duration::from_millis(3_500));
    assert_eq!(tried, order);
}

#[test]
fn after_a_full_round_the_oldest_failure_is_retried() {
    let order = [node(1), Source::Store];
    let tried = try_sources(&order, Duration::from_millis(1_500));
    assert_eq!(tried, [node(1), Source::Store, node(1)]);
}

#[test]
fn the_failure_of_a_source_that_served_starts_a_new_round() {
    let order = [node(1), node(2), Source::Store];
    let mut rotation = SourceRotation::default();
    rotation.begin(START);
    rotation.fail(START, node(1));
    rotation.begin(START);
    rotation.record_served();
    let later = START + Duration::from_secs(10);
    rotation.fail(later, node(2));
    assert_eq!(rotation.choose(&order), node(1));
}

/// Guards against a node that goes to and fro between two sources that take long and never serve it.
#[test]
fn each_source_is_tried_however_long_those_before_it_take_to_fail() {
    let order = [node(1), node(2), node(3), Source::Store];
    let mut rotation = SourceRotation::default();
    let mut now = START;
    let tried = order.map(|_| {
        let source = rotation.choose(&order);
        rotation.begin(now);
        now = now + Duration::from_secs(2);
        rotation.fail(now, source);
        source
    });
    assert_eq!(tried, order);
}

/// Lets the first source fail as unready twice, after it was tried for ten seconds. The other nodes failed before.
fn rotation_after_unready(order: &[Source], has_served: bool) -> SourceRotation {
    let mut rotation = SourceRotation::default();
    rotation.begin(START);
    for source in &order[1..order.len() - 1] {
        rotation.fail(START, *source);
    }
    rotation.begin(START);
    if has_served {
        rotation.record_served();
    }
    let mut now = START + Duration::from_secs(10);
    rotation.fail_unready(now, order[0]);
    rotation.begin(now);
    now = now + Duration::from_millis(150);
    rotation.fail_unready(now, order[0]);
    rotation
}

/// Guards against followers that all read the store although readers serve. A source that served says twice that
/// it no longer does, and the second time it hasn't served since the first.
#[test]
fn a_source_that_served_and_is_unready_starts_a_new_round() {
    let order = [node(1), node(2), node(3), Source::Store];
    assert_eq!(rotation_after_unready(&order, true).choose(&order), node(2));
}

/// Guards against another round among sources that don't serve, while the configuration gets too old. A standby that
/// the store doesn't answer says for a second that it hasn't read anything yet.
#[test]
fn a_source_that_was_waited_for_in_vain_starts_no_new_round() {
    let order = [node(1), node(2), Source::Store];
    assert_ne!(
        rotation_after_unready(&order, false).choose(&order),
        node(2)
    );
}
