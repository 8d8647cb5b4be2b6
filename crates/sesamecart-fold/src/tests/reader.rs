//! Tests of reading pages, gaps and checkpoints.

use sesamecart_vocabulary::{Offset, Revision, ShardId};

use super::fixtures::{FoldDriver, MemoryLog, drain, intent, intents, publish};
use crate::action::ACTION_RETENTION_MS;
use crate::{CheckpointError, Fold, LogReader, ReaderStatus, Record};

fn read_all(log: &MemoryLog, reader: &mut LogReader) -> ReaderStatus {
    for _ in 0..100 {
        let status = log.read_into(reader).status;
        if matches!(status, ReaderStatus::AtTail | ReaderStatus::NoCheckpoint) {
            return status;
        }
    }
    panic!("the reader did not finish within 100 pages");
}

/// Creates a log with `count` revisions and a checkpoint after each one that `checkpoints` lists.
fn log_with_revisions(count: u64, checkpoints: &[u64]) -> MemoryLog {
    let mut log = MemoryLog::default();
    let mut reader = LogReader::default();
    for revision in 0..count {
        log.append(publish(&format!("p-{revision}"), revision, "salma").encode());
        read_all(&log, &mut reader);
        if checkpoints.contains(&revision) {
            log.append(reader.fold().checkpoint().encode());
        }
    }
    log
}

#[test]
fn reader_applies_all_pages_up_to_the_tail() {
    let log = log_with_revisions(8, &[3]);
    let mut reader = LogReader::default();
    assert_eq!(read_all(&log, &mut reader), ReaderStatus::AtTail);
    assert_eq!(reader.fold().state().revision, Revision(8));
    assert_eq!(reader.fold().state().checkpoint.unwrap().offset, Offset(4));
}

/// A new node starts after the log has removed its first records. It must reach the same state as the nodes
/// that have read all records.
#[test]
fn new_node_starts_from_a_checkpoint() {
    let mut log = log_with_revisions(8, &[5]);
    let mut old = LogReader::default();
    read_all(&log, &mut old);
    log.truncate_before(Offset(4));
    let mut new = LogReader::default();
    assert_eq!(read_all(&log, &mut new), ReaderStatus::AtTail);
    let without_actions = old.fold().state().without_actions();
    assert_eq!(new.fold().state().without_actions(), without_actions);
    assert!(!new.fold().state().has_all_actions());
    new.adopt(old.fold().state().clone()).unwrap();
    assert_eq!(new.fold().state(), old.fold().state());
}

/// The log contains only a checkpoint and records that it covers. The page must report that the state was
/// replaced although no record was applied, so that the caller publishes the new state.
#[test]
fn page_reports_that_a_checkpoint_replaced_the_state() {
    let mut log = log_with_revisions(2, &[1]);
    log.truncate_before(Offset(2));
    let mut reader = LogReader::default();
    let read = log.read_into(&mut reader);
    assert!(read.adopted);
    assert!(read.applied.is_empty());
    assert_eq!(reader.fold().state().revision, Revision(2));
    assert!(!log.read_into(&mut reader).adopted);
}

/// The log is unavailable for longer than its retention and then has only a checkpoint older than a node's
/// state. Adopting it would revert the newest configuration.
#[test]
fn older_checkpoint_is_not_adopted() {
    let mut log = log_with_revisions(4, &[1]);
    let mut reader = LogReader::default();
    read_all(&log, &mut reader);
    assert_eq!(reader.fold().state().revision, Revision(4));
    let Record::Checkpoint { state } = log_with_revisions(2, &[]).checkpoint() else {
        unreachable!();
    };
    let refused = reader.adopt(*state.clone());
    let own = Revision(4);
    let found = Revision(2);
    assert_eq!(refused, Err(CheckpointError::OlderRevision { found, own }));
    for _ in 0..4 {
        log.append(
            Record::Checkpoint {
                state: state.clone(),
            }
            .encode(),
        );
    }
    log.truncate_before(Offset(7));
    assert_eq!(read_all(&log, &mut reader), ReaderStatus::NoCheckpoint);
    assert_eq!(reader.fold().state().revision, Revision(4));
}

/// A slow holder appends its checkpoint after records that the checkpoint doesn't cover, and retention has
/// removed some of these. A node that adopted the checkpoint would miss them.
#[test]
fn checkpoint_that_does_not_close_the_gap_is_not_adopted() {
    let mut log = log_with_revisions(3, &[]);
    let slow = log.checkpoint();
    log.append(publish("p-3", 3, "ines").encode());
    log.append(slow.encode());
    log.truncate_before(Offset(4));
    let mut reader = LogReader::default();
    assert_eq!(read_all(&log, &mut reader), ReaderStatus::NoCheckpoint);
    assert_eq!(reader.fold().state().next_offset, Offset(0));
}

/// The log has no checkpoint left, but other nodes have the state. A new node must adopt it from a peer and
/// continue reading where it ends.
#[test]
fn peer_state_ends_the_search() {
    let mut log = log_with_revisions(6, &[]);
    let mut peer = LogReader::default();
    read_all(&log, &mut peer);
    log.truncate_before(Offset(5));
    let mut new = LogReader::default();
    assert_eq!(read_all(&log, &mut new), ReaderStatus::NoCheckpoint);
    log.append(publish("later", 6, "ines").encode());
    new.adopt(peer.fold().state().clone()).unwrap();
    assert_eq!(read_all(&log, &mut new), ReaderStatus::AtTail);
    assert_eq!(new.fold().state().revision, Revision(7));
}

#[test]
fn checkpoint_ahead_of_the_log_is_rejected() {
    let mut driver = FoldDriver::default();
    let ahead = log_with_revisions(3, &[]).checkpoint();
    driver.apply(&ahead);
    assert!(driver.last_audit().verdict.contains("ahead of the log"));
    assert_eq!(driver.fold.state().revision, Revision(0));
}

#[test]
fn checkpoint_round_trips_through_its_encoding() {
    let log = log_with_revisions(3, &[1]);
    let mut reader = LogReader::default();
    read_all(&log, &mut reader);
    let record = reader.fold().checkpoint();
    let envelope = Record::decode(&record.encode()).unwrap();
    assert_eq!(envelope.record, record);
    let Record::Checkpoint { state } = envelope.record else {
        unreachable!();
    };
    let without_actions = reader.fold().state().without_actions();
    assert_eq!(*Fold::from_checkpoint(*state).state(), without_actions);
    let record = reader.fold().checkpoint_with_actions();
    let envelope = Record::decode(&record.encode()).unwrap();
    let state = Box::new(reader.fold().state().clone());
    assert_eq!(envelope.record, Record::Checkpoint { state });
}

trait CheckpointOf {
    fn checkpoint(&self) -> Record;
}

impl CheckpointOf for MemoryLog {
    fn checkpoint(&self) -> Record {
        let mut reader = LogReader::default();
        read_all(self, &mut reader);
        reader.fold().checkpoint()
    }
}

/// A drain doesn't change the revision. Adopting a checkpoint of the same revision from before the drain
/// would return the drained failure domain to service.
#[test]
fn checkpoint_before_a_drain_is_not_adopted() {
    let mut log = log_with_revisions(2, &[]);
    let early = log.checkpoint();
    log.append(drain("d-1", "failure-domain:muscat-a", true).encode());
    let mut reader = LogReader::default();
    read_all(&log, &mut reader);
    let Record::Checkpoint { state } = early else {
        unreachable!();
    };
    let refused = reader.adopt(*state);
    assert!(matches!(refused, Err(CheckpointError::OlderOffset { .. })));
    assert_eq!(reader.fold().state().drains.len(), 1);
}

/// A node starts from a checkpoint, which contains no keyed actions. A caller may repeat a key whose action
/// ran before the checkpoint, so the node must report incomplete actions until that key has expired on all
/// nodes.
#[test]
fn node_started_from_a_checkpoint_has_all_actions_after_the_horizon() {
    let mut driver = FoldDriver {
        now_ms: 1_000,
        ..FoldDriver::default()
    };
    let shard = ShardId(3);
    let epoch = driver.claim(shard, "n1");
    driver.apply(&intents(shard, epoch, "before", "a-1"));
    let Record::Checkpoint { state } = driver.fold.checkpoint() else {
        unreachable!();
    };
    let fold = Fold::from_checkpoint(*state);
    let mut started = FoldDriver {
        fold,
        now_ms: 1_000,
    };
    assert!(started.fold.state().actions.is_empty());
    started.apply(&intents(shard, epoch, "after", "a-2"));
    started.now_ms = 1_000 + ACTION_RETENTION_MS;
    started.apply(&drain("d-1", "vm:vm-1", true));
    assert!(!started.fold.state().has_all_actions());
    started.now_ms += 1;
    started.apply(&drain("d-2", "vm:vm-1", true));
    assert!(started.fold.state().has_all_actions());
}

/// A node that was offline for longer than the log's retention adopts a checkpoint. It must keep the actions
/// that it admitted itself, or it would admit them again.
#[test]
fn node_keeps_its_actions_when_it_adopts_a_checkpoint() {
    let mut driver = FoldDriver::default();
    let shard = ShardId(3);
    let epoch = driver.claim(shard, "n1");
    driver.apply(&intents(shard, epoch, "k", "a-1"));
    let mut away = driver.fold.clone();
    driver.apply(&publish("p-1", 0, "salma"));
    let Record::Checkpoint { state } = driver.fold.checkpoint() else {
        unreachable!();
    };
    away.adopt(*state.clone()).unwrap();
    assert!(
        away.state()
            .actions
            .get(&intent("k", "a-1").action_key())
            .is_some()
    );
    assert!(!away.state().has_all_actions());
    let refused = driver.fold.adopt(*state);
    assert_eq!(refused, Err(CheckpointError::FewerActions));
}

/// A lagging replica of the log answers a read. A holder that treated the end of that page as the log's tail
/// would renew its lease although the log may contain a newer claim.
#[test]
fn page_older_than_the_state_is_not_the_tail() {
    let log = log_with_revisions(3, &[]);
    let mut reader = LogReader::default();
    read_all(&log, &mut reader);
    let lagging = log_with_revisions(2, &[]);
    assert_eq!(
        lagging.read_into(&mut reader).status,
        ReaderStatus::LogOutdated
    );
    assert_eq!(reader.fold().state().revision, Revision(3));
    assert_eq!(log.read_into(&mut reader).status, ReaderStatus::AtTail);
}
