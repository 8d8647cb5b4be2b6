//! Distributes models across fabric domains so that they survive the loss of a failure domain.
//!
//! A failure domain can be lost, evacuated or partitioned. How many domains each model gets is already
//! decided. This module swaps the models of domains until the model with the least remaining capacity keeps
//! as much as possible when any one failure domain is gone.

use indexmap::{IndexMap, IndexSet};
use sesamecart_vocabulary::{FabricDomainId, FailureDomainId, ModelId};

use super::provisioning::expected_share;
use crate::catalog::{EngineModel, EngineSpec};

#[cfg(test)]
mod tests;

/// The largest number of assignments for which all are tried. A planning pass has to finish within a few
/// milliseconds.
const MAX_ASSIGNMENTS: usize = 4_096;

/// A fabric domain and the model assigned to it.
#[derive(Clone, Debug)]
pub(super) struct Placement<'a> {
    pub(super) domain: &'a FabricDomainId,
    pub(super) failure_domain: &'a FailureDomainId,
    /// The number of engines in the domain.
    pub(super) engines: usize,
    pub(super) model: &'a EngineModel,
    /// The models that can be assigned to the domain; empty if its engines already hold one.
    pub(super) candidates: Vec<&'a EngineModel>,
}

impl Placement<'_> {
    /// Returns the number of engines that are members of whole groups of the model.
    fn engines_in_groups(&self) -> usize {
        let group_size = self.model.group_size;
        self.engines / group_size.max(1) * group_size
    }

    fn can_serve(&self, model: &EngineModel) -> bool {
        let mut candidates = self.candidates.iter();
        candidates.any(|candidate| candidate.model == model.model)
    }
}

/// Swaps the models of pairs of domains for as long as that leaves more capacity after a loss.
///
/// First, a model that the loss of one failure domain would remove entirely gets another domain, provided
/// that this removes no other model. This step precedes the swaps because a model that stays reachable after
/// a loss matters more than capacity. If the loss of a domain would still remove a model after the swaps,
/// the step is repeated, all assignments are tried if there are few, and the swaps are repeated.
pub(super) fn spread_models<'a>(spec: &'a EngineSpec, placements: &mut [Placement<'a>]) {
    rescue_models(spec, placements);
    swap_models(spec, placements);
    if count_lost_models(spec, placements) > 0 {
        rescue_models(spec, placements);
        try_all_assignments(spec, placements);
        swap_models(spec, placements);
    }
}

/// Tries every assignment, if there are few, and takes the one in which the most models survive a loss.
///
/// Single reassignments and swaps can get stuck where each of them would remove one model to save another,
/// although a combination of them saves both.
fn try_all_assignments(spec: &EngineSpec, placements: &mut [Placement<'_>]) {
    let candidates = placements
        .iter()
        .map(|placement| placement.candidates.len());
    let assignment_count = candidates.fold(1_usize, |count, len| count.saturating_mul(len.max(1)));
    let mut fewest_lost = count_lost_models(spec, placements);
    if assignment_count > MAX_ASSIGNMENTS || fewest_lost == 0 {
        return;
    }
    let served = count_served_models(spec, placements);
    let mut best: Vec<&EngineModel> = placements.iter().map(|placement| placement.model).collect();
    for number in 0..assignment_count {
        apply_assignment(placements, number);
        let lost = count_lost_models(spec, placements);
        if lost < fewest_lost && count_served_models(spec, placements) >= served {
            fewest_lost = lost;
            best = placements.iter().map(|placement| placement.model).collect();
        }
    }
    for (placement, model) in placements.iter_mut().zip(best) {
        placement.model = model;
    }
}

/// Applies the assignment with the given number, whose digits in a mixed radix select a candidate for each
/// domain.
fn apply_assignment(placements: &mut [Placement<'_>], mut number: usize) {
    for placement in placements {
        let candidates = placement.candidates.len();
        if candidates > 0 {
            placement.model = placement.candidates[number % candidates];
            number /= candidates;
        }
    }
}

/// Reassigns domains to models that the loss of one failure domain would remove entirely.
fn rescue_models(spec: &EngineSpec, placements: &mut [Placement<'_>]) {
    let mut lost = count_lost_models(spec, placements);
    while lost > 0 {
        let reassignments: Vec<(usize, &EngineModel)> = placements
            .iter()
            .enumerate()
            .flat_map(|(index, placement)| {
                let candidates = placement.candidates.iter();
                candidates.map(move |candidate| (index, *candidate))
            })
            .collect();
        let improvement = reassignments.into_iter().find(|(index, model)| {
            let previous = std::mem::replace(&mut placements[*index].model, model);
            let is_better = count_lost_models(spec, placements) < lost
                && placements
                    .iter()
                    .any(|other| other.model.model == previous.model);
            if !is_better {
                placements[*index].model = previous;
            }
            is_better
        });
        if improvement.is_none() {
            return;
        }
        lost = count_lost_models(spec, placements);
    }
}

/// Counts the models that have at least one domain.
fn count_served_models(spec: &EngineSpec, placements: &[Placement<'_>]) -> usize {
    let served = spec.models.iter().filter(|model| {
        let mut placements = placements.iter();
        placements.any(|placement| placement.model.model == model.model)
    });
    served.count()
}

/// Counts the models that the loss of one failure domain would remove entirely.
fn count_lost_models(spec: &EngineSpec, placements: &[Placement<'_>]) -> usize {
    let capacities = capacity_after_loss(spec, placements);
    capacities
        .iter()
        .filter(|capacity| **capacity == 0.0)
        .count()
}

fn swap_models<'a>(spec: &'a EngineSpec, placements: &mut [Placement<'a>]) {
    let mut counts = EngineCounts::of(spec, placements);
    let mut best = counts.capacity_after_loss();
    loop {
        let mut improved = false;
        for first in 0..placements.len() {
            for second in first + 1..placements.len() {
                if !can_swap(&placements[first], &placements[second]) {
                    continue;
                }
                counts.swap(placements, first, second);
                let capacity = counts.capacity_after_loss();
                if is_greater(&capacity, &best) {
                    best = capacity;
                    improved = true;
                } else {
                    counts.swap(placements, first, second);
                }
            }
        }
        if !improved {
            return;
        }
    }
}

fn can_swap(a: &Placement<'_>, b: &Placement<'_>) -> bool {
    a.model.model != b.model.model
        && a.failure_domain != b.failure_domain
        && a.can_serve(b.model)
        && b.can_serve(a.model)
}

/// Returns the capacity of each model, relative to its expected share of the work, that remains when the
/// failure domain with most of its engines is lost, in ascending order.
fn capacity_after_loss(spec: &EngineSpec, placements: &[Placement<'_>]) -> Vec<f64> {
    EngineCounts::of(spec, placements).capacity_after_loss()
}

/// The number of engines in groups of each model, by failure domain.
///
/// The counts are updated incrementally as placements change. Recounting for each pair of domains would take
/// seconds in a plan with hundreds of domains.
struct EngineCounts<'a> {
    failure_domains: IndexSet<&'a FailureDomainId>,
    models: IndexMap<&'a ModelId, ModelCounts>,
}

struct ModelCounts {
    expected_share: f64,
    /// Indexed by the position of the failure domain.
    engines: Vec<usize>,
}

impl<'a> EngineCounts<'a> {
    fn of(spec: &'a EngineSpec, placements: &[Placement<'a>]) -> Self {
        let failure_domains: IndexSet<&FailureDomainId> = placements
            .iter()
            .map(|placement| placement.failure_domain)
            .collect();
        let models = spec.models.iter().map(|model| {
            let counts = ModelCounts {
                expected_share: expected_share(spec, model).max(f64::EPSILON),
                engines: vec![0; failure_domains.len()],
            };
            (&model.model, counts)
        });
        let models = models.collect();
        let mut counts = Self {
            failure_domains,
            models,
        };
        for placement in placements {
            counts.add(placement);
        }
        counts
    }

    fn add(&mut self, placement: &Placement<'a>) {
        if let Some(engines) = self.engines_of(placement) {
            *engines += placement.engines_in_groups();
        }
    }

    fn remove(&mut self, placement: &Placement<'a>) {
        if let Some(engines) = self.engines_of(placement) {
            *engines -= placement.engines_in_groups();
        }
    }

    fn engines_of(&mut self, placement: &Placement<'a>) -> Option<&mut usize> {
        let index = self
            .failure_domains
            .get_index_of(placement.failure_domain)?;
        let model = self.models.get_mut(&placement.model.model)?;
        model.engines.get_mut(index)
    }

    /// Swaps the models of two placements.
    fn swap(&mut self, placements: &mut [Placement<'a>], first: usize, second: usize) {
        self.remove(&placements[first]);
        self.remove(&placements[second]);
        let model = placements[first].model;
        placements[first].model = placements[second].model;
        placements[second].model = model;
        self.add(&placements[first]);
        self.add(&placements[second]);
    }

    fn capacity_after_loss(&self) -> Vec<f64> {
        let capacities = self.models.values().map(|model| {
            let total: usize = model.engines.iter().sum();
            let largest = model.engines.iter().max();
            let remaining = largest.map_or(f64::INFINITY, |largest| (total - largest) as f64);
            remaining / model.expected_share
        });
        let mut capacities: Vec<f64> = capacities.collect();
        capacities.sort_by(f64::total_cmp);
        capacities
    }
}

fn is_greater(capacities: &[f64], other: &[f64]) -> bool {
    let differing = capacities.iter().zip(other).find(|(a, b)| a != b);
    differing.is_some_and(|(a, b)| a > b)
}
