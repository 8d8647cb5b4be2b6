//! Which order each group's endpoint gets next.

use sesamecart_vocabulary::{GroupId, Timestamp};

use super::group::StartOrder;
use super::{Controller, Effect, GroupPhase};
use crate::order::{FencedOrder, OrderKind};

impl Controller {
    pub(super) fn send_orders(
        &mut self,
        active: &[GroupId],
        now: Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        for group in active {
            let order = match self.phase(group) {
                Some(GroupPhase::Recovering) => self.start_order(group, now),
                Some(GroupPhase::Serving) => self.adapter_order(group, now),
                Some(GroupPhase::Out) | None => None,
            };
            effects.extend(order.map(Effect::Order));
        }
    }

    /// Tells the engine to start the assigned generation, once every member holds its weights.
    fn start_order(&mut self, group: &GroupId, now: Timestamp) -> Option<FencedOrder> {
        if self.is_pending(group) {
            return None;
        }
        let assigned = self.assignments.group(group)?;
        let model = self.fleet.groups.get(group)?.model.clone();
        let control = self.groups.get_mut(group)?;
        let holds = |vm| {
            control
                .loads
                .get(vm)
                .is_some_and(|load| load.is_done(&assigned.version))
        };
        if !assigned.members.iter().all(holds) {
            return None;
        }
        if !control.needs_start(assigned, &self.settings, now) {
            return None;
        }
        let epoch = control.desk.may_send(now)?;
        control.desk.sent(now);
        control.ordered = Some(StartOrder {
            generation: assigned.generation,
            at: now,
        });
        let version = assigned.version.clone();
        let kind = if control.same_members(assigned) {
            OrderKind::LoadVersion { model, version }
        } else {
            OrderKind::LoadModel { model, version }
        };
        Some(FencedOrder {
            group: group.clone(),
            epoch,
            generation: assigned.generation,
            kind,
        })
    }

    /// Tells a serving engine to load the next adapter that this life of it wasn't told yet.
    fn adapter_order(&mut self, group: &GroupId, now: Timestamp) -> Option<FencedOrder> {
        let plan = self.fleet.groups.get(group)?;
        let wanted = &self.fleet.models.get(&plan.model)?.adapters;
        let control = self.groups.get_mut(group)?;
        let incarnation = control.report.as_ref()?.incarnation;
        if control.adapters.incarnation != incarnation {
            control.adapters.ordered.clear();
            control.adapters.incarnation = incarnation;
            control.adapters.told_all = false;
        }
        control.adapters.told_all = wanted.is_subset(&control.adapters.ordered);
        let adapter = wanted
            .iter()
            .find(|a| !control.adapters.ordered.contains(*a))?
            .clone();
        let epoch = control.desk.may_send(now)?;
        control.desk.sent(now);
        control.adapters.ordered.insert(adapter.clone());
        Some(FencedOrder {
            group: group.clone(),
            epoch,
            generation: self.assignments.generation(group),
            kind: OrderKind::LoadAdapter {
                model: plan.model.clone(),
                adapter,
            },
        })
    }
}
