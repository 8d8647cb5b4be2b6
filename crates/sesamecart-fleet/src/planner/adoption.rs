//! Takes over the groups that an earlier controller was forming.
//!
//! The load: control moves while many groups are being formed, for example after a loss of power. Forming them anew costs
//! their members the time to join, and with each move once more.

use indexmap::IndexMap;
use sesamecart_vocabulary::{EndpointId, Timestamp};

use super::engine::{find_model, needs_load};
use super::{Formation, JOIN_TIMEOUT_MARGIN, Phase, Planner, PlannerInput};
use crate::directory::{GroupKey, GroupView};
use crate::endpoint::GroupState;

impl Planner {
    /// Takes over each group of an earlier controller whose members have all been told to join, and whose head isn't open
    /// yet. A head that this controller has closed looks the same, so groups of its own aren't.
    pub(super) fn adopt_formations(
        &mut self,
        now: Timestamp,
        input: &PlannerInput<'_>,
        groups: &IndexMap<GroupKey, GroupView>,
    ) {
        for (key, group) in groups {
            let is_known = key.epoch > self.inherited_epoch
                || self.formations.contains_key(key)
                || self.abandoned.contains(key)
                || self.dissolved.contains(key);
            if !is_known && let Some(mut formation) = half_formed(now, input, group) {
                formation.begin_work(now);
                self.formations.insert(key.clone(), formation);
            }
        }
    }
}

/// Returns the formation of a group if each of its members is joining or ready, and none is missing.
fn half_formed(now: Timestamp, input: &PlannerInput<'_>, group: &GroupView) -> Option<Formation> {
    let is_forming = |state| matches!(state, GroupState::Joining | GroupState::Ready);
    let members = group.members.iter().flatten();
    let is_each_forming = members.clone().all(|member| {
        let role = member.group.as_ref();
        role.is_some_and(|role| is_forming(role.state))
    });
    let head = group.members.first()?.as_ref()?;
    let model = find_model(input.spec, head.models.first()?)?;
    if !is_each_forming || !group.is_complete || group.members.len() != model.group_size {
        return None;
    }
    let is_loading = members.clone().any(|member| needs_load(member, model));
    let time = match is_loading {
        true => model.load_time,
        false => model.warm_time,
    };
    let members: Vec<EndpointId> = members.map(|member| member.id.clone()).collect();
    Some(Formation {
        key: group.key.clone(),
        model: model.model.clone(),
        members,
        phase: Phase::Joining,
        time_limit: time + JOIN_TIMEOUT_MARGIN,
        deadline: now,
    })
}
