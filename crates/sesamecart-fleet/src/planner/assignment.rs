//! Which of the models that fabric domains are to serve goes to which domain.
//!
//! It answers the loss, the evacuation or the cut of a failure domain. How many domains each model gets is
//! settled before; here they change places until the model that is left with the least keeps the most
//! when any one failure domain is gone.

use indexmap::{IndexMap, IndexSet};
use sesamecart_vocabulary::{FabricDomainId, FailureDomainId, ModelId};

use super::provisioning::expected_share;
use crate::catalog::{EngineModel, EngineSpec};

#[cfg(test)]
mod tests;

/// The ways to deal domains out that are tried one by one; a plan has to end within some milliseconds.
const MAX_WAYS: usize = 4_096;

/// A fabric domain and the model that it is to serve.
#[derive(Clone, Debug)]
pub(super) struct Placement<'a> {
    pub(super) domain: &'a FabricDomainId,
    pub(super) failure_domain: &'a FailureDomainId,
    /// Its engines.
    pub(super) engines: usize,
    pub(super) model: &'a EngineModel,
    /// The models that it may serve instead; none where its engines hold one already.
    pub(super) choices: Vec<&'a EngineModel>,
}

impl Placement<'_> {
    /// Counts the engines that serve in whole groups of its model.
    fn engines_in_groups(&self) -> usize {
        let group_size = self.model.group_size;
        self.engines / group_size.max(1) * group_size
    }

    fn allows(&self, model: &EngineModel) -> bool {
        let mut choices = self.choices.iter();
        choices.any(|choice| choice.model == model.model)
    }
}

/// Exchanges the models of pairs of domains for as long as that leaves more after a loss.
///
/// A model that one failure domain takes away altogether gets another domain first, where that takes no
/// other model away: how many domains each gets doesn't matter to callers who reach none.
pub(super) fn spread<'a>(spec: &'a EngineSpec, placements: &mut [Placement<'a>]) {
    save_models(spec, placements);
    exchange_models(spec, placements);
    if models_lost(spec, placements) > 0 {
        save_models(spec, placements);
        try_all_ways(spec, placements);
        exchange_models(spec, placements);
    }
}

/// Deals the domains out in every way, if there are few, and takes the one that saves the most models.
///
/// Single changes and exchanges can end where each would take a model away to save another one, though a few
/// of them together save both.
fn try_all_ways(spec: &EngineSpec, placements: &mut [Placement<'_>]) {
    let choices = placements.iter().map(|placement| placement.choices.len());
    let ways = choices.fold(1_usize, |ways, choices| ways.saturating_mul(choices.max(1)));
    let mut fewest_lost = models_lost(spec, placements);
    if ways > MAX_WAYS || fewest_lost == 0 {
        return;
    }
    let served = models_served(spec, placements);
    let mut best: Vec<&EngineModel> = placements.iter().map(|placement| placement.model).collect();
    for way in 0..ways {
        deal_out(placements, way);
        let lost = models_lost(spec, placements);
        if lost < fewest_lost && models_served(spec, placements) >= served {
            fewest_lost = lost;
            best = placements.iter().map(|placement| placement.model).collect();
        }
    }
    for (placement, model) in placements.iter_mut().zip(best) {
        placement.model = model;
    }
}

/// Gives each domain the choice that a number stands for, as digits of a mixed base.
fn deal_out(placements: &mut [Placement<'_>], mut way: usize) {
    for placement in placements {
        let choices = placement.choices.len();
        if choices > 0 {
            placement.model = placement.choices[way % choices];
            way /= choices;
        }
    }
}

/// Gives domains to models that the loss of one failure domain would take away.
fn save_models(spec: &EngineSpec, placements: &mut [Placement<'_>]) {
    let mut lost = models_lost(spec, placements);
    while lost > 0 {
        let changes: Vec<(usize, &EngineModel)> = placements
            .iter()
            .enumerate()
            .flat_map(|(index, placement)| {
                let choices = placement.choices.iter();
                choices.map(move |choice| (index, *choice))
            })
            .collect();
        let better = changes.into_iter().find(|(index, model)| {
            let before = std::mem::replace(&mut placements[*index].model, model);
            let is_better = models_lost(spec, placements) < lost
                && placements
                    .iter()
                    .any(|other| other.model.model == before.model);
            if !is_better {
                placements[*index].model = before;
            }
            is_better
        });
        if better.is_none() {
            return;
        }
        lost = models_lost(spec, placements);
    }
}

/// Counts the models that have a domain.
fn models_served(spec: &EngineSpec, placements: &[Placement<'_>]) -> usize {
    let served = spec.models.iter().filter(|model| {
        let mut placements = placements.iter();
        placements.any(|placement| placement.model.model == model.model)
    });
    served.count()
}

/// Counts the models that the loss of one failure domain would take away.
fn models_lost(spec: &EngineSpec, placements: &[Placement<'_>]) -> usize {
    let left = left_after_a_loss(spec, placements);
    left.iter().filter(|engines| **engines == 0.0).count()
}

fn exchange_models<'a>(spec: &'a EngineSpec, placements: &mut [Placement<'a>]) {
    let mut tally = Tally::of(spec, placements);
    let mut least = tally.left_after_a_loss();
    loop {
        let mut improved = false;
        for first in 0..placements.len() {
            for second in first + 1..placements.len() {
                if !may_exchange(&placements[first], &placements[second]) {
                    continue;
                }
                tally.exchange(placements, first, second);
                let left = tally.left_after_a_loss();
                if is_more(&left, &least) {
                    least = left;
                    improved = true;
                } else {
                    tally.exchange(placements, first, second);
                }
            }
        }
        if !improved {
            return;
        }
    }
}

fn may_exchange(a: &Placement<'_>, b: &Placement<'_>) -> bool {
    a.model.model != b.model.model
        && a.failure_domain != b.failure_domain
        && a.allows(b.model)
        && b.allows(a.model)
}

/// Returns what is left of each model for its share of the work when the failure domain that holds most of
/// it is gone, the least first.
fn left_after_a_loss(spec: &EngineSpec, placements: &[Placement<'_>]) -> Vec<f64> {
    Tally::of(spec, placements).left_after_a_loss()
}

/// The engines in groups of each model, by failure domain.
///
/// Kept while placements change, it makes what an exchange leaves cheap to tell: counted anew for each pair of
/// domains, a plan of hundreds of domains would take seconds.
struct Tally<'a> {
    failure_domains: IndexSet<&'a FailureDomainId>,
    models: IndexMap<&'a ModelId, ModelTally>,
}

struct ModelTally {
    expected_share: f64,
    /// By the place of the failure domain.
    engines: Vec<usize>,
}

impl<'a> Tally<'a> {
    fn of(spec: &'a EngineSpec, placements: &[Placement<'a>]) -> Self {
        let failure_domains: IndexSet<&FailureDomainId> = placements
            .iter()
            .map(|placement| placement.failure_domain)
            .collect();
        let models = spec.models.iter().map(|model| {
            let tally = ModelTally {
                expected_share: expected_share(spec, model).max(f64::EPSILON),
                engines: vec![0; failure_domains.len()],
            };
            (&model.model, tally)
        });
        let models = models.collect();
        let mut tally = Self {
            failure_domains,
            models,
        };
        for placement in placements {
            tally.add(placement);
        }
        tally
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
        let place = self
            .failure_domains
            .get_index_of(placement.failure_domain)?;
        let model = self.models.get_mut(&placement.model.model)?;
        model.engines.get_mut(place)
    }

    /// Exchanges the models of two placements.
    fn exchange(&mut self, placements: &mut [Placement<'a>], first: usize, second: usize) {
        self.remove(&placements[first]);
        self.remove(&placements[second]);
        let model = placements[first].model;
        placements[first].model = placements[second].model;
        placements[second].model = model;
        self.add(&placements[first]);
        self.add(&placements[second]);
    }

    fn left_after_a_loss(&self) -> Vec<f64> {
        let left = self.models.values().map(|model| {
            let all: usize = model.engines.iter().sum();
            let most = model.engines.iter().max();
            let least = most.map_or(f64::INFINITY, |most| (all - most) as f64);
            least / model.expected_share
        });
        let mut left: Vec<f64> = left.collect();
        left.sort_by(f64::total_cmp);
        left
    }
}

fn is_more(left: &[f64], than: &[f64]) -> bool {
    let differing = left.iter().zip(than).find(|(a, b)| a != b);
    differing.is_some_and(|(a, b)| a > b)
}
