//! Selects the next order for each group's endpoint.

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
                Some(GroupPhase::Incomplete) | None => None,
            };
            effects.extend(order.map(Effect::Order));
        }
    }

    /// Returns an order to start the assigned generation, once every member has loaded its weights.
    fn start_order(&mut self, group: &GroupId, now: Timestamp) -> Option<FencedOrder> {
        if self.is_pending(group) {
            return None;
        }
        let assigned = self.assignments.group(group)?;
        let model = self.fleet.groups.get(group)?.model.clone();
        let control = self.groups.get_mut(group)?;
        let has_loaded = |vm| {
            control
                .loads
                .get(vm)
                .is_some_and(|load| load.is_done(&assigned.version))
        };
        if !assigned.members.iter().all(has_loaded) {
            return None;
        }
        if !control.needs_start(assigned, &self.settings, now) {
            return None;
        }
        let epoch = control.sequencer.sendable_epoch(now)?;
        control.sequencer.record_sent(now);
        control.start_order = Some(StartOrder {
            generation: assigned.generation,
            sent_at: now,
        });
        let version = assigned.version.clone();
        let kind = if control.has_same_members(assigned) {
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

    /// Returns an order to load the next adapter that this incarnation of a serving engine hasn't been
    /// ordered to load yet.
    fn adapter_order(&mut self, group: &GroupId, now: Timestamp) -> Option<FencedOrder> {
        let plan = self.fleet.groups.get(group)?;
        let wanted_adapters = &self.fleet.models.get(&plan.model)?.adapters;
        let control = self.groups.get_mut(group)?;
        let incarnation = control.report.as_ref()?.incarnation;
        if control.adapters.incarnation != incarnation {
            control.adapters.ordered.clear();
            control.adapters.incarnation = incarnation;
            control.adapters.all_ordered = false;
        }
        control.adapters.all_ordered = wanted_adapters.is_subset(&control.adapters.ordered);
        let adapter = wanted_adapters
            .iter()
            .find(|a| !control.adapters.ordered.contains(*a))?
            .clone();
        let epoch = control.sequencer.sendable_epoch(now)?;
        control.sequencer.record_sent(now);
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
