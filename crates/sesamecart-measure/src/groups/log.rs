//! The log and its fold, without the log service's own faults.

use std::sync::Arc;

use indexmap::IndexMap;
use sesamecart_config::{Configuration, FailureDomain, Group, Model, Vm};
use sesamecart_fold::{Applied, Fold, Record};
use sesamecart_groups::{AssignedGroup, AssignmentRequest, Assignments, Fleet};
use sesamecart_vocabulary::{Epoch, Incarnation, Offset, Revision, ShardId};

/// A log that takes every record at once.
#[derive(Debug, Default)]
pub(super) struct Log {
    fold: Fold,
    /// The number of records about groups.
    pub(super) group_records: u64,
}

impl Log {
    pub(super) fn publish(&mut self, fleet: &Fleet) {
        let record = Record::Publish {
            publish_id: "day".parse().expect("the id is valid"),
            base_revision: Revision(0),
            author: "planner".to_owned(),
            from: "measure".to_owned(),
            at_ms: 0,
            configuration: Box::new(configuration(fleet)),
        };
        self.append(&record);
    }

    pub(super) fn claim(&mut self, shard: ShardId) -> Epoch {
        let applied = self.append(&Record::Claim {
            shard,
            holder: "node-1".parse().expect("the name is valid"),
            incarnation: Incarnation(1),
            builds_on: None,
            voters: Vec::new(),
        });
        match applied {
            Applied::Claimed { epoch, .. } => epoch,
            other => panic!("the first claim of a shard wins, but got {other:?}"),
        }
    }

    /// Appends a request under the epoch in force and says whether it was accepted.
    pub(super) fn request(&mut self, request: &AssignmentRequest) -> bool {
        let shard = self.fold.state().group_shard(request.group());
        let epoch = self.fold.state().epoch(shard).unwrap_or_default();
        let record = request.clone().into_record(epoch);
        self.group_records += 1;
        !matches!(self.append(&record), Applied::Rejected(_))
    }

    fn append(&mut self, record: &Record) -> Applied {
        let Offset(next) = self.fold.state().next_offset;
        self.fold.apply(Offset(next), next, &record.encode())
    }

    pub(super) fn assignments(&self) -> Arc<Assignments> {
        let state = self.fold.state();
        let mut groups: IndexMap<_, AssignedGroup> = IndexMap::new();
        for (group, generation) in &state.generations {
            let assigned = groups.entry(group.clone()).or_default();
            assigned.generation = *generation;
            assigned.version = state.versions.get(group).cloned().unwrap_or_default();
        }
        for (vm, assignment) in &state.assignments {
            let assigned = groups.entry(assignment.group.clone()).or_default();
            assigned.members.insert(vm.clone());
        }
        Arc::new(Assignments::new(groups))
    }
}

fn configuration(fleet: &Fleet) -> Configuration {
    let mut cfg = Configuration::default();
    for (vm, place) in &fleet.vms {
        let region = "region".parse().expect("the name is valid");
        let domain = FailureDomain { region };
        cfg.failure_domains
            .insert(place.failure_domain.clone(), domain);
        let place = Vm {
            failure_domain: place.failure_domain.clone(),
            fabric_domain: place.fabric_domain.clone(),
        };
        cfg.vms.insert(vm.clone(), place);
    }
    for (id, plan) in &fleet.models {
        let model = Model {
            version: plan.version.clone(),
            vms_per_group: u32::try_from(plan.vms_per_group).unwrap_or(u32::MAX),
            adapters: plan.adapters.clone(),
        };
        cfg.models.insert(id.clone(), model);
    }
    for (id, plan) in &fleet.groups {
        let group = Group {
            model: plan.model.clone(),
            vms: plan.vms.clone(),
        };
        cfg.groups.insert(id.clone(), group);
    }
    cfg
}
