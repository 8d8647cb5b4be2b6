//! Records and an in-memory log for tests.

use sesamecart_config::Configuration;
use sesamecart_vocabulary::{
    Epoch, Generation, GroupId, Incarnation, NodeId, Offset, Revision, ShardId, VmId,
};

use crate::{
    ActionEnd, ActionIntent, ActionOutcome, Applied, Fold, LogReader, PageBounds, PageOutcome,
    RawRecord, Record,
};

pub(super) fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().unwrap()
}

/// An in-memory log whose oldest records can be removed, as retention does.
#[derive(Clone, Default)]
pub(super) struct MemoryLog {
    first: usize,
    records: Vec<Vec<u8>>,
}

impl MemoryLog {
    pub(super) fn append(&mut self, data: Vec<u8>) -> Offset {
        self.records.push(data);
        Offset(self.records.len() as u64 - 1)
    }

    pub(super) fn truncate_before(&mut self, offset: Offset) {
        self.first = usize::try_from(offset.0).unwrap();
    }

    pub(super) fn next(&self) -> Offset {
        Offset(self.records.len() as u64)
    }

    /// Reads one page of at most three records into `reader`.
    pub(super) fn read_into(&self, reader: &mut LogReader) -> PageOutcome {
        let bounds = PageBounds {
            first: Offset(self.first as u64),
            next: self.next(),
        };
        let from = usize::try_from(reader.next_read_offset().0)
            .unwrap()
            .max(self.first);
        let retained = self.records.iter().enumerate().skip(from).take(3);
        let records = retained.map(|(index, data)| RawRecord {
            offset: Offset(index as u64),
            logged_at_ms: 1_000 * index as u64,
            data,
        });
        reader.take(bounds, records.collect::<Vec<_>>())
    }
}

/// A fold to which a test applies records one at a time, at the time `now_ms` of the log's clock.
#[derive(Default)]
pub(super) struct FoldDriver {
    pub(super) fold: Fold,
    pub(super) now_ms: u64,
}

impl FoldDriver {
    pub(super) fn apply(&mut self, record: &Record) -> Applied {
        self.apply_bytes(&record.encode())
    }

    pub(super) fn apply_bytes(&mut self, data: &[u8]) -> Applied {
        let offset = self.fold.state().next_offset;
        self.fold.apply(offset, self.now_ms, data)
    }

    /// Claims a shard for a node and returns the new epoch.
    pub(super) fn claim(&mut self, shard: ShardId, holder: &str) -> Epoch {
        let builds_on = self.fold.state().epoch(shard);
        match self.apply(&claim(shard, holder, builds_on)) {
            Applied::Claimed { epoch, .. } => epoch,
            other => panic!("{other:?}"),
        }
    }

    pub(super) fn last_audit(&self) -> crate::AuditEntry {
        let entries = self.fold.state().audit.entries();
        (*entries.last().unwrap()).clone()
    }
}

pub(super) fn publish(id: &str, base: u64, author: &str) -> Record {
    let configuration = Configuration {
        date: "2026-12-03".to_owned(),
        sheet: u32::try_from(base).unwrap() + 1,
        ..Configuration::default()
    };
    Record::Publish {
        publish_id: name(id),
        base_revision: Revision(base),
        author: author.to_owned(),
        from: "192.0.2.7:40100".to_owned(),
        at_ms: 70 + base,
        configuration: Box::new(configuration),
    }
}

pub(super) fn drain(id: &str, target: &str, on: bool) -> Record {
    Record::Drain {
        publish_id: name(id),
        target: name(target),
        on,
        author: "salma".to_owned(),
        from: "192.0.2.7:40100".to_owned(),
        at_ms: 5,
    }
}

pub(super) fn claim(shard: ShardId, holder: &str, builds_on: Option<Epoch>) -> Record {
    Record::Claim {
        shard,
        holder: name(holder),
        incarnation: Incarnation(1),
        builds_on,
        voters: ["n1", "n2", "n3"].map(name::<NodeId>).to_vec(),
    }
}

pub(super) fn assign(group: &str, vms: &[&str], generation: u64, epoch: Epoch) -> Record {
    Record::Assign {
        group: name(group),
        vms: vms.iter().map(|vm| name::<VmId>(vm)).collect(),
        generation: Generation(generation),
        shard_epoch: epoch,
        version: String::new(),
    }
}

pub(super) fn unassign(group: &str, vm: &str, generation: u64, epoch: Epoch) -> Record {
    Record::Unassign {
        vm: name(vm),
        group: name(group),
        generation: Generation(generation),
        shard_epoch: epoch,
    }
}

pub(super) fn shard_of(group: &str) -> ShardId {
    ShardId::of(name::<GroupId>(group).as_str())
}

pub(super) fn intent(key: &str, attempt: &str) -> ActionIntent {
    ActionIntent {
        customer: name("harbour-pounds"),
        service: name("stock"),
        key: name(key),
        body_digest: sesamecart_vocabulary::BodyDigest::of(b"move 40 crates"),
        attempt: name(attempt),
        at_ms: 1,
    }
}

pub(super) fn intents(shard: ShardId, epoch: Epoch, key: &str, attempt: &str) -> Record {
    Record::ActionIntents {
        shard,
        epoch,
        entries: vec![intent(key, attempt)],
    }
}

pub(super) fn outcome(
    shard: ShardId,
    epoch: Epoch,
    key: &str,
    attempt: &str,
    outcome: ActionEnd,
) -> Record {
    let ActionIntent {
        customer,
        service,
        key,
        attempt,
        ..
    } = intent(key, attempt);
    Record::ActionOutcomes {
        shard,
        epoch,
        entries: vec![ActionOutcome {
            customer,
            service,
            key,
            attempt,
            outcome,
        }],
    }
}
