//! Tests of provisional drains and of the checkpoint schedule.

use std::time::Duration;

use sesamecart_vocabulary::Timestamp;

use super::fixtures::{FoldDriver, claim, drain, name, publish};
use crate::{
    CheckpointInterval, CheckpointSchedule, PROVISIONAL_DRAIN_TTL, ProvisionalDrains,
    ProvisionalError,
};

const START: Timestamp = Timestamp::from_millis(1_000_000);

/// An operator drains a failure domain while the log is unavailable. The provisional drain must take effect
/// immediately and end once the log contains the drain, or after its limit if the log stays unavailable.
#[test]
fn provisional_drain_ends_when_it_is_logged_or_expires() {
    let mut driver = FoldDriver::default();
    let mut drains = ProvisionalDrains::default();
    let record = drain("d-1", "failure-domain:muscat-a", true);
    let add = |drains: &mut ProvisionalDrains, driver: &FoldDriver, now| {
        drains.add(
            &record.encode(),
            PROVISIONAL_DRAIN_TTL,
            driver.fold.state(),
            now,
        )
    };
    assert_eq!(add(&mut drains, &driver, START), Ok(true));
    assert_eq!(add(&mut drains, &driver, START), Ok(false));
    let target: crate::DrainTarget = name("failure-domain:muscat-a");
    assert!(drains.targets().contains(&target));
    let mut expiring = drains.clone();
    assert!(!expiring.settle(driver.fold.state(), START + PROVISIONAL_DRAIN_TTL / 2));
    assert!(expiring.settle(driver.fold.state(), START + PROVISIONAL_DRAIN_TTL));
    assert!(expiring.is_empty());
    driver.apply(&record);
    assert!(drains.settle(driver.fold.state(), START));
    assert!(drains.is_empty());
}

/// A node that was cut off forwards a provisional drain that has ended in the meantime. The drain must not be
/// restored.
#[test]
fn provisional_drain_that_was_logged_is_ignored() {
    let mut driver = FoldDriver::default();
    let record = drain("d-1", "failure-domain:muscat-a", true);
    driver.apply(&record);
    driver.apply(&drain("d-2", "failure-domain:muscat-a", false));
    let mut drains = ProvisionalDrains::default();
    let late = drains.add(
        &record.encode(),
        PROVISIONAL_DRAIN_TTL,
        driver.fold.state(),
        START,
    );
    assert_eq!(late, Ok(false));
}

#[test]
fn only_the_start_of_a_drain_can_be_provisional() {
    let driver = FoldDriver::default();
    let mut drains = ProvisionalDrains::default();
    for record in [drain("d-1", "vm:vm-1", false), publish("p-1", 0, "salma")] {
        let refused = drains.add(
            &record.encode(),
            PROVISIONAL_DRAIN_TTL,
            driver.fold.state(),
            START,
        );
        assert_eq!(refused, Err(ProvisionalError::Kind));
    }
    let torn = drains.add(b"{", PROVISIONAL_DRAIN_TTL, driver.fold.state(), START);
    assert!(matches!(torn, Err(ProvisionalError::Unreadable(_))));
}

const PACE: CheckpointInterval = CheckpointInterval {
    every: Duration::from_secs(600),
    records: 10,
};

/// The log removes old records. The holder must write the next checkpoint before the last one is removed, and
/// another node must do so if the holder doesn't.
#[test]
fn checkpoint_is_due_after_an_interval_or_a_number_of_records() {
    let mut driver = FoldDriver::default();
    let mut schedule = CheckpointSchedule::new(PACE, 0.0);
    assert!(!schedule.is_due(driver.fold.state(), true, START));
    driver.apply(&publish("p-1", 0, "salma"));
    assert!(!schedule.is_due(driver.fold.state(), true, START));
    assert!(schedule.is_due(driver.fold.state(), true, START + PACE.every));
    assert!(!schedule.is_due(driver.fold.state(), false, START + PACE.every));
    let late = START + PACE.every.mul_f64(1.5);
    assert!(schedule.is_due(driver.fold.state(), false, late));
    let checkpoint = driver.fold.checkpoint();
    driver.apply(&checkpoint);
    assert!(!schedule.is_due(driver.fold.state(), true, late));
    for shard in 0..10 {
        driver.apply(&claim(sesamecart_vocabulary::ShardId(shard), "n1", None));
    }
    assert!(schedule.is_due(driver.fold.state(), true, late));
    assert!(!schedule.is_due(driver.fold.state(), false, late));
}

#[test]
fn new_holder_uses_the_checkpoint_age_of_the_log_clock() {
    let mut driver = FoldDriver::default();
    driver.apply(&publish("p-1", 0, "salma"));
    let checkpoint = driver.fold.checkpoint();
    driver.apply(&checkpoint);
    driver.now_ms = 500_000;
    driver.apply(&drain("d-1", "vm:vm-1", true));
    let mut schedule = CheckpointSchedule::new(PACE, 0.0);
    assert!(!schedule.is_due(driver.fold.state(), true, START));
    assert!(schedule.is_due(driver.fold.state(), true, START + Duration::from_secs(100)));
}
