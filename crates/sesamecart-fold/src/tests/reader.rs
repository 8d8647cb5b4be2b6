//! Pages, gaps and checkpoints.

use sesamecart_vocabulary::{Offset, Revision, ShardId};

use super::kit::{Feed, MemoryLog, drain, intent, intents, publish};
use crate::action::ACTION_HORIZON_MS;
use crate::{CheckpointError, Fold, LogReader, Record, Standing};

fn read_all(log: &MemoryLog, reader: &mut LogReader) -> Standing {
    for _ in 0..100 {
        let standing = log.read_into(reader).standing;
        if matches!(standing, Standing::AtTail | Standing::Stranded) {
            return standing;
        }
    }
    panic!("the reader never came to an end");
}

/// Fills a log with `count` configurations and a checkpoint after each of `checkpoints`.
fn filled(count: u64, checkpoints: &[u64]) -> MemoryLog {
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
fn page_by_page_gives_the_same_state_as_one_by_one() {
    let log = filled(8, &[3]);
    let mut reader = LogReader::default();
    assert_eq!(read_all(&log, &mut reader), Standing::AtTail);
    assert_eq!(reader.fold().state().revision, Revision(8));
    assert_eq!(reader.fold().state().checkpoint.unwrap().offset, Offset(4));
}

/// A new node starts when the log has forgotten its first records. It must come to the same
/// configuration as the nodes that have read them all.
#[test]
fn new_node_starts_from_a_checkpoint() {
    let mut log = filled(8, &[5]);
    let mut old = LogReader::default();
    read_all(&log, &mut old);
    log.forget_before(Offset(4));
    let mut new = LogReader::default();
    assert_eq!(read_all(&log, &mut new), Standing::AtTail);
    let without_actions = old.fold().state().without_actions();
    assert_eq!(new.fold().state().without_actions(), without_actions);
    assert!(!new.fold().state().knows_actions());
    new.adopt(old.fold().state().clone()).unwrap();
    assert_eq!(new.fold().state(), old.fold().state());
}

/// The log holds nothing but a checkpoint and what it covers. Whoever shows the state to others must
/// hear that it was replaced, though no record was applied.
#[test]
fn page_tells_that_a_checkpoint_replaced_the_state() {
    let mut log = filled(2, &[1]);
    log.forget_before(Offset(2));
    let mut reader = LogReader::default();
    let read = log.read_into(&mut reader);
    assert!(read.adopted);
    assert!(read.applied.is_empty());
    assert_eq!(reader.fold().state().revision, Revision(2));
    assert!(!log.read_into(&mut reader).adopted);
}

/// The log is out for longer than its retention, and what comes back is a checkpoint older than
/// what a node had in force. Taking it would revert the operators' newest change.
#[test]
fn older_checkpoint_is_never_taken() {
    let mut log = filled(4, &[1]);
    let mut reader = LogReader::default();
    read_all(&log, &mut reader);
    assert_eq!(reader.fold().state().revision, Revision(4));
    let Record::Checkpoint { state } = filled(2, &[]).checkpoint() else {
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
    log.forget_before(Offset(7));
    assert_eq!(read_all(&log, &mut reader), Standing::Stranded);
    assert_eq!(reader.fold().state().revision, Revision(4));
}

/// The holder was slow, so its checkpoint lies in the log behind records that it doesn't cover, and
/// some of these are gone. A node that took it would miss them.
#[test]
fn checkpoint_that_does_not_reach_the_gap_is_not_taken() {
    let mut log = filled(3, &[]);
    let slow = log.checkpoint();
    log.append(publish("p-3", 3, "ines").encode());
    log.append(slow.encode());
    log.forget_before(Offset(4));
    let mut reader = LogReader::default();
    assert_eq!(read_all(&log, &mut reader), Standing::Stranded);
    assert_eq!(reader.fold().state().next_offset, Offset(0));
}

/// No checkpoint is left in the log, but other nodes still hold the state. A new node must take it
/// from them and go on reading where it ends.
#[test]
fn peer_state_ends_the_search() {
    let mut log = filled(6, &[]);
    let mut peer = LogReader::default();
    read_all(&log, &mut peer);
    log.forget_before(Offset(5));
    let mut new = LogReader::default();
    assert_eq!(read_all(&log, &mut new), Standing::Stranded);
    log.append(publish("later", 6, "ines").encode());
    new.adopt(peer.fold().state().clone()).unwrap();
    assert_eq!(read_all(&log, &mut new), Standing::AtTail);
    assert_eq!(new.fold().state().revision, Revision(7));
}

#[test]
fn checkpoint_ahead_of_the_log_is_refused() {
    let mut feed = Feed::default();
    let ahead = filled(3, &[]).checkpoint();
    feed.apply(&ahead);
    assert!(feed.last_audit().verdict.contains("ahead of the log"));
    assert_eq!(feed.fold.state().revision, Revision(0));
}

#[test]
fn checkpoint_survives_its_encoding() {
    let log = filled(3, &[1]);
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
    let record = reader.fold().hand_over();
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

/// A drain doesn't change the revision. A checkpoint of the same revision, made before the drain,
/// would put the drained domain back into service.
#[test]
fn checkpoint_before_a_drain_is_not_taken() {
    let mut log = filled(2, &[]);
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

/// A node starts from a checkpoint, which holds no keyed actions. A caller may come with a key that
/// has run before the checkpoint, so the node must say that it doesn't know until the key is
/// forgotten everywhere.
#[test]
fn node_from_a_checkpoint_knows_all_actions_after_the_horizon() {
    let mut feed = Feed {
        now_ms: 1_000,
        ..Feed::default()
    };
    let shard = ShardId(3);
    let epoch = feed.claim(shard, "n1");
    feed.apply(&intents(shard, epoch, "before", "a-1"));
    let Record::Checkpoint { state } = feed.fold.checkpoint() else {
        unreachable!();
    };
    let fold = Fold::from_checkpoint(*state);
    let mut started = Feed {
        fold,
        now_ms: 1_000,
    };
    assert!(started.fold.state().actions.is_empty());
    started.apply(&intents(shard, epoch, "after", "a-2"));
    started.now_ms = 1_000 + ACTION_HORIZON_MS;
    started.apply(&drain("d-1", "vm:vm-1", true));
    assert!(!started.fold.state().knows_actions());
    started.now_ms += 1;
    started.apply(&drain("d-2", "vm:vm-1", true));
    assert!(started.fold.state().knows_actions());
}

/// A node that was away for longer than the log's retention takes a checkpoint. It must not forget
/// the actions that it let in itself, or it would let them in again.
#[test]
fn node_keeps_its_own_actions_when_it_takes_a_checkpoint() {
    let mut feed = Feed::default();
    let shard = ShardId(3);
    let epoch = feed.claim(shard, "n1");
    feed.apply(&intents(shard, epoch, "k", "a-1"));
    let mut away = feed.fold.clone();
    feed.apply(&publish("p-1", 0, "salma"));
    let Record::Checkpoint { state } = feed.fold.checkpoint() else {
        unreachable!();
    };
    away.adopt(*state.clone()).unwrap();
    assert!(
        away.state()
            .actions
            .get(&intent("k", "a-1").action_key())
            .is_some()
    );
    assert!(!away.state().knows_actions());
    let refused = feed.fold.adopt(*state);
    assert_eq!(refused, Err(CheckpointError::FewerActions));
}

/// A copy of the log that lags answers a read. A holder that took the end of that answer for the
/// log's tail would renew its lease although a claim against it may be in the log.
#[test]
fn answer_older_than_the_state_is_not_the_tail() {
    let log = filled(3, &[]);
    let mut reader = LogReader::default();
    read_all(&log, &mut reader);
    let lagging = filled(2, &[]);
    assert_eq!(lagging.read_into(&mut reader).standing, Standing::Ahead);
    assert_eq!(reader.fold().state().revision, Revision(3));
    assert_eq!(log.read_into(&mut reader).standing, Standing::AtTail);
}
