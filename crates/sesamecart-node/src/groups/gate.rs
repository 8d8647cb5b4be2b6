//! Decides for the endpoints whose allowance this node owns whether their groups are whole.

use std::sync::{Mutex, MutexGuard, PoisonError};

use indexmap::{IndexMap, IndexSet};
use sesamecart_config::EndpointKind;
use sesamecart_fold::State;
use sesamecart_groups::{AssignedGroup, GroupReport, GroupSettings, Routability, assess};
use sesamecart_vocabulary::{EndpointId, GroupId, Timestamp, VmId};

use super::load::Load;
use super::measures::Measures;
use crate::metrics::Metrics;

/// What is known of the groups whose endpoints' allowances this node owns.
///
/// What it guards against: a replica with a lost or stale member still answers its front's port, and
/// callers would get a part of the model's answer. Lending nothing stops new work on all nodes
/// within a slice.
#[derive(Debug)]
pub(crate) struct Gate {
    settings: GroupSettings,
    known: Mutex<IndexMap<EndpointId, Known>>,
    measures: Measures,
}

#[derive(Debug)]
struct Known {
    report: Option<GroupReport>,
    routable: bool,
    counted_at: Timestamp,
}

impl Gate {
    pub(crate) fn new(metrics: &Metrics) -> Self {
        Self {
            settings: GroupSettings::default(),
            known: Mutex::default(),
            measures: Measures::new(metrics),
        }
    }

    /// Takes what an endpoint said, or that it said nothing, and returns whether it may have work.
    ///
    /// A plain service may, whatever it said. `drained` tells whether operators have taken the
    /// endpoint out, in which case its group isn't missed.
    pub(crate) fn take(
        &self,
        state: &State,
        endpoint: &EndpointId,
        load: Option<&Load>,
        asked_at: Timestamp,
        now: Timestamp,
    ) -> bool {
        let Some(found) = state.configuration.endpoints.get(endpoint) else {
            return false;
        };
        let EndpointKind::Group(group) = &found.kind else {
            return load.is_none_or(|load| load.ready);
        };
        let mut known = self.lock();
        let known = known.entry(endpoint.clone()).or_insert(Known {
            report: None,
            routable: false,
            counted_at: now,
        });
        if let Some(load) = load {
            known.report = Some(load.of_group(group.clone(), asked_at));
        }
        let routability = self.decide(state, group, known.report.as_ref(), now);
        let routable = routability.is_routable(now);
        if routable != known.routable {
            log::info!("groups: {group} is {routability}.");
        }
        known.routable = routable;
        let seconds = now.since(known.counted_at).as_secs_f64();
        known.counted_at = now;
        let members = assigned(state, group, known.report.as_ref()).members;
        let drained = state.is_drained(endpoint);
        let seen = known.report.as_ref().map_or(0, |report| {
            members
                .iter()
                .filter(|vm| report.members.contains_key(*vm))
                .count()
        });
        let model = state
            .configuration
            .groups
            .get(group)
            .map(|group| &group.model);
        if let Some(model) = model {
            self.measures.count(
                model,
                &found.failure_domain,
                routable,
                drained,
                seen,
                seconds,
            );
        }
        routable
    }

    fn decide(
        &self,
        state: &State,
        group: &GroupId,
        report: Option<&GroupReport>,
        now: Timestamp,
    ) -> Routability {
        let cfg = &state.configuration;
        let model = cfg
            .groups
            .get(group)
            .and_then(|group| cfg.models.get(&group.model));
        let size = model.map_or(0, |model| model.vms_per_group);
        let size = usize::try_from(size).unwrap_or(usize::MAX);
        let assigned = assigned(state, group, report);
        assess(
            &assigned,
            size,
            report,
            &IndexSet::new(),
            now,
            self.settings.report_validity,
        )
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<EndpointId, Known>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns a group as the fold has it, or as the configuration has it while no record says more;
/// then the generation is whatever the engine runs.
fn assigned(state: &State, group: &GroupId, report: Option<&GroupReport>) -> AssignedGroup {
    if let Some(generation) = state.generations.get(group) {
        return AssignedGroup {
            generation: *generation,
            version: String::new(),
            members: state.members(group).cloned().collect(),
        };
    }
    let configured = state.configuration.groups.get(group);
    let members: IndexSet<VmId> = configured
        .map(|group| group.vms.clone())
        .unwrap_or_default();
    AssignedGroup {
        generation: report.map(|report| report.generation).unwrap_or_default(),
        version: String::new(),
        members,
    }
}
