//! Checks of the step from the configuration in force to the next.

use indexmap::IndexMap;

use crate::check::is_date;
use crate::configuration::{Configuration, Endpoint, EndpointKind};
use crate::problem::{Fault, Problem, Subject};

/// The share of its capacity that a model or service must keep in one change: one part in this
/// many.
///
/// A sheet that lost half its rows on export still looks well formed. Callers would notice only as
/// refusals, so a change that takes more than half away at once must be allowed on purpose.
const KEPT_CAPACITY_PART: u32 = 2;

/// What a step between two configurations may do.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ChangeRules {
    /// Whether it may take most of the capacity away at once.
    pub allow_capacity_drop: bool,
}

impl Configuration {
    /// Returns every problem of going from `self`, which is in force, to `next`.
    #[must_use]
    pub fn check_change(&self, next: &Self, rules: ChangeRules) -> Vec<Problem> {
        let mut problems = Vec::new();
        problems.extend(self.check_sheet_number(next));
        if !rules.allow_capacity_drop {
            problems.extend(self.check_capacity(next));
        }
        problems
    }

    fn check_sheet_number(&self, next: &Self) -> Option<Problem> {
        if !is_date(&self.date) || !is_date(&next.date) {
            return None;
        }
        let place = Subject::Configuration;
        let own = SheetNumber::of(self);
        if SheetNumber::of(next) < own {
            let fault = Fault::OldSheet {
                date: self.date.clone(),
                sheet: self.sheet,
            };
            return Some(Problem::new(place.field("date"), &next.date, fault));
        }
        let same_content = self.groups == next.groups && self.endpoints == next.endpoints;
        if SheetNumber::of(next) == own && !same_content {
            return Some(Problem::new(
                place.field("sheet"),
                next.sheet,
                Fault::SameSheet,
            ));
        }
        None
    }

    fn check_capacity(&self, next: &Self) -> Vec<Problem> {
        let mut capacities: IndexMap<Subject, Capacity> = IndexMap::new();
        for (id, endpoint) in &self.endpoints {
            let Some(served) = self.served(endpoint) else {
                continue;
            };
            let capacity = capacities.entry(served).or_default();
            let before = endpoint.limits.warm.0;
            let kept = next
                .endpoints
                .get(id)
                .filter(|found| found.kind == endpoint.kind);
            let kept = kept.map_or(0, |found| found.limits.warm.0.min(before));
            capacity.before = capacity.before.saturating_add(before);
            capacity.kept = capacity.kept.saturating_add(kept);
        }
        let dropped = |capacity: &Capacity| capacity.kept < capacity.before / KEPT_CAPACITY_PART;
        let dropped = capacities
            .into_iter()
            .filter(|(_, capacity)| dropped(capacity));
        dropped
            .map(|(served, Capacity { kept, before })| {
                let value = served.to_string();
                let fault = Fault::CapacityDrop { kept, before };
                Problem::new(served.field("warm"), value, fault)
            })
            .collect()
    }

    fn served(&self, endpoint: &Endpoint) -> Option<Subject> {
        match &endpoint.kind {
            EndpointKind::Group(group) => {
                let group = self.groups.get(group)?;
                Some(Subject::Model(group.model.clone()))
            }
            EndpointKind::Service(service) => Some(Subject::Service(service.clone())),
        }
    }
}

/// A sheet's place among all sheets.
#[derive(Eq, Ord, PartialEq, PartialOrd)]
struct SheetNumber<'a> {
    date: &'a str,
    sheet: u32,
}

impl<'a> SheetNumber<'a> {
    fn of(cfg: &'a Configuration) -> Self {
        Self {
            date: &cfg.date,
            sheet: cfg.sheet,
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Capacity {
    before: u32,
    kept: u32,
}
