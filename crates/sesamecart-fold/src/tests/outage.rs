//! Provisional drains, and when checkpoints are due.

use std::time::Duration;

use sesamecart_vocabulary::Timestamp;

use super::kit::{Feed, claim, drain, name, publish};
use crate::{
    CheckpointPace, CheckpointSchedule, PROVISIONAL_LIMIT, ProvisionalDrains, ProvisionalError,
};

const START: Timestamp = Timestamp::from_millis(1_000_000);

/// The log is out and an operator takes a domain out. The drain must hold at once, end by itself
/// if the log never comes back, and be the log's business once it has it.
#[test]
fn provisional_drain_holds_until_the_log_has_it_or_it_expires() {
    let mut feed = Feed::default();
    let mut drains = ProvisionalDrains::default();
    let record = drain("d-1", "failure-domain:muscat-a", true);
    let add = |drains: &mut ProvisionalDrains, feed: &Feed, now| {
        drains.add(&record.encode(), PROVISIONAL_LIMIT, feed.fold.state(), now)
    };
    assert_eq!(add(&mut drains, &feed, START), Ok(true));
    assert_eq!(add(&mut drains, &feed, START), Ok(false));
    let target: crate::DrainTarget = name("failure-domain:muscat-a");
    assert!(drains.targets().contains(&target));
    let mut expiring = drains.clone();
    assert!(!expiring.settle(feed.fold.state(), START + PROVISIONAL_LIMIT / 2));
    assert!(expiring.settle(feed.fold.state(), START + PROVISIONAL_LIMIT));
    assert!(expiring.is_empty());
    feed.apply(&record);
    assert!(drains.settle(feed.fold.state(), START));
    assert!(drains.is_empty());
}

/// A node that was cut off passes on a drain that operators have ended since. It must not come
/// back.
#[test]
fn late_provisional_drain_is_no_news() {
    let mut feed = Feed::default();
    let record = drain("d-1", "failure-domain:muscat-a", true);
    feed.apply(&record);
    feed.apply(&drain("d-2", "failure-domain:muscat-a", false));
    let mut drains = ProvisionalDrains::default();
    let late = drains.add(
        &record.encode(),
        PROVISIONAL_LIMIT,
        feed.fold.state(),
        START,
    );
    assert_eq!(late, Ok(false));
}

#[test]
fn only_the_begin_of_a_drain_can_be_provisional() {
    let feed = Feed::default();
    let mut drains = ProvisionalDrains::default();
    for record in [drain("d-1", "vm:vm-1", false), publish("p-1", 0, "salma")] {
        let refused = drains.add(
            &record.encode(),
            PROVISIONAL_LIMIT,
            feed.fold.state(),
            START,
        );
        assert_eq!(refused, Err(ProvisionalError::Kind));
    }
    let torn = drains.add(b"{", PROVISIONAL_LIMIT, feed.fold.state(), START);
    assert!(matches!(torn, Err(ProvisionalError::Unreadable(_))));
}

const PACE: CheckpointPace = CheckpointPace {
    every: Duration::from_secs(600),
    records: 10,
};

/// The log forgets what is old. The holder must write the next checkpoint in time, and another node
/// must do so when the holder doesn't.
#[test]
fn checkpoint_is_due_after_time_or_records() {
    let mut feed = Feed::default();
    let mut schedule = CheckpointSchedule::new(PACE, 0.0);
    assert!(!schedule.is_due(feed.fold.state(), true, START));
    feed.apply(&publish("p-1", 0, "salma"));
    assert!(!schedule.is_due(feed.fold.state(), true, START));
    assert!(schedule.is_due(feed.fold.state(), true, START + PACE.every));
    assert!(!schedule.is_due(feed.fold.state(), false, START + PACE.every));
    let late = START + PACE.every.mul_f64(1.5);
    assert!(schedule.is_due(feed.fold.state(), false, late));
    let checkpoint = feed.fold.checkpoint();
    feed.apply(&checkpoint);
    assert!(!schedule.is_due(feed.fold.state(), true, late));
    for shard in 0..10 {
        feed.apply(&claim(sesamecart_vocabulary::ShardId(shard), "n1", None));
    }
    assert!(schedule.is_due(feed.fold.state(), true, late));
    assert!(!schedule.is_due(feed.fold.state(), false, late));
}

#[test]
fn new_holder_counts_the_age_that_the_log_tells() {
    let mut feed = Feed::default();
    feed.apply(&publish("p-1", 0, "salma"));
    let checkpoint = feed.fold.checkpoint();
    feed.apply(&checkpoint);
    feed.now_ms = 500_000;
    feed.apply(&drain("d-1", "vm:vm-1", true));
    let mut schedule = CheckpointSchedule::new(PACE, 0.0);
    assert!(!schedule.is_due(feed.fold.state(), true, START));
    assert!(schedule.is_due(feed.fold.state(), true, START + Duration::from_secs(100)));
}
