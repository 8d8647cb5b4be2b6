//! Claims and releases of shard leases.

use sesamecart_vocabulary::{Epoch, NodeId, SHARD_COUNT, ShardId};

use super::{Fold, Position};
use crate::audit::AuditKind;
use crate::lease::LeaseRecord;
use crate::record::Record;
use crate::verdict::{Applied, Rejection};

impl Fold {
    /// Grants a shard's lease if the claim is based on the epoch in force.
    ///
    /// Two nodes may claim a shard concurrently, or a claim may follow another one that its author had not
    /// read. Only the first claim based on the epoch in force is accepted, so that each epoch has exactly one
    /// successor.
    pub(super) fn apply_claim(&mut self, at: Position, record: Record) -> Applied {
        let Record::Claim {
            shard,
            holder,
            incarnation,
            builds_on,
            voters,
        } = record
        else {
            unreachable!("called with another kind of record");
        };
        let mut entry = at.audit_entry(AuditKind::Lease, format_args!("shard {shard}"));
        entry.author = holder.to_string();
        entry.old = self.describe_lease(shard);
        entry.new = format!("{holder} at epoch {}", at.offset);
        if shard.0 >= SHARD_COUNT {
            return self.reject(entry, Rejection::NoSuchShard { shard });
        }
        let current = self.state.epoch(shard);
        if builds_on != current {
            let rejection = Rejection::PastEpoch {
                shard,
                holder,
                current,
            };
            return self.reject(entry, rejection);
        }
        self.accept(entry);
        let epoch = Epoch(at.offset.0);
        let lease = LeaseRecord {
            holder,
            incarnation,
            epoch,
            voters,
            released: false,
            logged_at_ms: at.logged_at_ms,
        };
        self.state.leases.insert(shard, lease);
        Applied::Claimed { shard, epoch }
    }

    /// Marks a lease as released if the record names its holder and epoch.
    pub(super) fn apply_release(
        &mut self,
        at: Position,
        shard: ShardId,
        holder: &NodeId,
        epoch: Epoch,
    ) -> Applied {
        let mut entry = at.audit_entry(AuditKind::Lease, format_args!("shard {shard}"));
        entry.author = holder.to_string();
        entry.old = self.describe_lease(shard);
        "released".clone_into(&mut entry.new);
        let current = self.state.epoch(shard);
        let stale = Rejection::StaleEpoch {
            shard,
            epoch,
            current,
        };
        let lease = self.state.leases.get_mut(&shard);
        let lease = lease.filter(|lease| lease.epoch == epoch && lease.holder == *holder);
        let Some(lease) = lease else {
            return self.reject(entry, stale);
        };
        lease.released = true;
        self.accept(entry);
        Applied::Released { shard }
    }

    fn describe_lease(&self, shard: ShardId) -> String {
        match self.state.leases.get(&shard) {
            None => "nobody".to_owned(),
            Some(lease) if lease.released => format!("released at epoch {}", lease.epoch),
            Some(lease) => format!("{} at epoch {}", lease.holder, lease.epoch),
        }
    }
}
