//! Claims and releases on their way from the folded log to the leases.

use sesamecart_edges::LoggedRecord;
use sesamecart_fold::{Applied, AppliedRecord, Record};
use sesamecart_lease::{ClaimRecord, Holder, LeaseState, ReleaseRecord};
use sesamecart_vocabulary::{Epoch, Timestamp};

use super::State;
use crate::shared::Shared;

impl Shared {
    /// Tells the leases which claims and releases the fold has just accepted.
    ///
    /// The records themselves are read once more, since each claim in between matters: a claimant
    /// must ask the voters of the lease directly before its own. What a checkpoint brought is taken
    /// from the folded state at the end.
    pub(crate) fn note_leases(&self, records: &[LoggedRecord], applied: &[AppliedRecord]) {
        let now = self.clock.now();
        let mut state = self.duties.lock();
        let mut has_leases = applied.is_empty();
        for one in applied.iter().filter(|one| is_lease(&one.applied)) {
            has_leases = true;
            let record = records.iter().find(|record| record.offset == one.offset);
            if let Some(record) = record {
                state.take_record(record, now);
            }
        }
        // Keyed actions bring many pages a second; copying every lease for each would cost more
        // than all else that the control thread does.
        if !has_leases {
            return;
        }
        let leases = self.folded.with(|fold| {
            let leases = fold.leases.iter().map(|(shard, lease)| LeaseState {
                shard: *shard,
                epoch: lease.epoch,
                holder: Holder {
                    node: lease.holder.clone(),
                    incarnation: lease.incarnation,
                },
                voters: lease.voters.clone(),
                released: lease.released,
            });
            leases.collect::<Vec<_>>()
        });
        leases
            .into_iter()
            .for_each(|lease| state.leases.install(lease));
        self.duties.publish(&state);
    }
}

fn is_lease(applied: &Applied) -> bool {
    matches!(applied, Applied::Claimed { .. } | Applied::Released { .. })
}

impl State {
    fn take_record(&mut self, record: &LoggedRecord, now: Timestamp) {
        let Ok(envelope) = Record::decode(&record.data) else {
            return;
        };
        match envelope.record {
            Record::Claim {
                shard,
                holder,
                incarnation,
                builds_on,
                voters,
            } => {
                let claim = ClaimRecord {
                    shard,
                    epoch: Epoch(record.offset.0),
                    holder: Holder {
                        node: holder,
                        incarnation,
                    },
                    builds_on,
                    voters,
                };
                self.leases.on_claim(&claim, now);
            }
            Record::Release { shard, epoch, .. } => {
                self.leases.on_release(ReleaseRecord { shard, epoch });
            }
            _ => {}
        }
    }
}
