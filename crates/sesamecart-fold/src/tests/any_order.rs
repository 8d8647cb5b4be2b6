//! Invariants that hold for arbitrary sequences of records.

use bolero::TypeGenerator;
use indexmap::IndexMap;
use sesamecart_property::check_property;
use sesamecart_vocabulary::{Epoch, Offset, Revision, VmId};

use super::fixtures::{
    FoldDriver, MemoryLog, assign, claim, drain, intents, name, publish, shard_of, unassign,
};
use crate::{Applied, LogReader, ReaderStatus, Record};

#[derive(Clone, Debug, TypeGenerator)]
enum Step {
    Publish {
        id: u8,
        base: u8,
    },
    Drain {
        id: u8,
        on: bool,
    },
    Claim {
        group: u8,
        node: u8,
        builds_on_current: bool,
    },
    Assign {
        group: u8,
        first_vm: u8,
        vms: u8,
        generation: u8,
        old_epoch: bool,
    },
    Unassign {
        group: u8,
        vm: u8,
        generation: u8,
    },
    Intent {
        key: u8,
        attempt: u8,
    },
    Corrupt(Vec<u8>),
    Checkpoint,
    Truncate,
    Restart,
}

const GROUPS: [&str; 3] = ["g1", "g2", "g3"];

fn group(index: u8) -> &'static str {
    GROUPS[usize::from(index) % GROUPS.len()]
}

fn record(step: &Step, driver: &FoldDriver) -> Option<Vec<u8>> {
    let state = driver.fold.state();
    let epoch = |group| state.epoch(shard_of(group)).unwrap_or_default();
    let record = match step {
        Step::Publish { id, base } => {
            let base = state.revision.0.saturating_sub(u64::from(base % 2));
            publish(&format!("p-{id}"), base, "salma")
        }
        Step::Drain { id, on } => drain(&format!("d-{id}"), "vm:vm-1", *on),
        Step::Claim {
            group: g,
            node,
            builds_on_current,
        } => {
            let shard = shard_of(group(*g));
            let builds_on = state.epoch(shard).filter(|_| *builds_on_current);
            claim(shard, &format!("n{}", node % 4), builds_on)
        }
        Step::Assign {
            group: g,
            first_vm,
            vms,
            generation,
            old_epoch,
        } => {
            let vms = (0..vms % 4).map(|index| format!("vm-{}", first_vm.wrapping_add(index) % 8));
            let vms: Vec<_> = vms.collect();
            let vms: Vec<_> = vms.iter().map(String::as_str).collect();
            let current = epoch(group(*g));
            let epoch = if *old_epoch {
                Epoch(current.0 / 2)
            } else {
                current
            };
            assign(group(*g), &vms, u64::from(*generation), epoch)
        }
        Step::Unassign {
            group: g,
            vm,
            generation,
        } => {
            let vm = format!("vm-{}", vm % 8);
            unassign(group(*g), &vm, u64::from(*generation), epoch(group(*g)))
        }
        Step::Intent { key, attempt } => {
            let shard = shard_of("g1");
            intents(
                shard,
                epoch("g1"),
                &format!("k-{}", key % 4),
                &format!("a-{attempt}"),
            )
        }
        Step::Corrupt(bytes) => return Some(bytes.clone()),
        Step::Checkpoint => driver.fold.checkpoint(),
        Step::Truncate | Step::Restart => return None,
    };
    Some(record.encode())
}

/// Nodes read the same log at different speeds, restart and fall behind its retention, while operators
/// publish concurrently and records are corrupt. All nodes must reach the same state, the revision must never
/// decrease, and no key may get two admitted attempts.
#[test]
fn nodes_converge_and_revisions_never_decrease() {
    check_property(bolero::produce::<Vec<Step>>(), |steps| {
        let mut log = MemoryLog::default();
        let mut driver = FoldDriver::default();
        let mut slow = LogReader::default();
        let mut min_revision = Revision(0);
        let mut checkpoint_end = Offset(0);
        let mut admitted: IndexMap<String, String> = IndexMap::new();
        for step in steps {
            match step {
                Step::Truncate => log.truncate_before(checkpoint_end),
                Step::Restart => {
                    slow = LogReader::default();
                    min_revision = Revision(0);
                }
                _ => {}
            }
            if let Some(bytes) = record(step, &driver) {
                let before = driver.fold.state().next_offset;
                log.append(bytes.clone());
                driver.now_ms = 1_000 * before.0;
                match driver.apply_bytes(&bytes) {
                    Applied::Checkpointed { covers } => checkpoint_end = covers,
                    Applied::Intents { refused, .. } if refused.is_empty() => {
                        record_admitted(&bytes, &mut admitted);
                    }
                    _ => {}
                }
            }
            log.read_into(&mut slow);
            assert!(slow.fold().state().revision >= min_revision);
            min_revision = slow.fold().state().revision;
        }
        while log.read_into(&mut slow).status == ReaderStatus::Behind
            || log.read_into(&mut slow).status == ReaderStatus::SeekingCheckpoint
        {}
        assert_eq!(log.read_into(&mut slow).status, ReaderStatus::AtTail);
        let without_actions = driver.fold.state().without_actions();
        assert_eq!(slow.fold().state().without_actions(), without_actions);
        if !slow.fold().state().has_all_actions() {
            slow.adopt(driver.fold.state().clone()).unwrap();
        }
        assert_eq!(slow.fold().state(), driver.fold.state());
        for vm in slow.fold().state().assignments.keys() {
            let groups = GROUPS.map(|group| {
                let group = name(group);
                slow.fold()
                    .state()
                    .members(&group)
                    .any(|member: &VmId| member == vm)
            });
            assert_eq!(groups.into_iter().filter(|found| *found).count(), 1);
        }
    });
}

fn record_admitted(bytes: &[u8], admitted: &mut IndexMap<String, String>) {
    let Record::ActionIntents { entries, .. } = Record::decode(bytes).unwrap().record else {
        unreachable!();
    };
    for entry in entries {
        let attempt = entry.attempt.to_string();
        let first = admitted
            .entry(entry.key.to_string())
            .or_insert(attempt.clone());
        assert_eq!(
            *first, attempt,
            "two attempts with the same key were admitted"
        );
    }
}
