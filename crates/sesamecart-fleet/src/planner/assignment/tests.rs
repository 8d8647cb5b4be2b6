//! Tests of the engine counts that are kept while domains swap models.

use sesamecart_property::check_property;
use sesamecart_vocabulary::{FabricDomainId, FailureDomainId};

use super::{EngineCounts, Placement, capacity_after_loss};
use crate::testkit::spec;

/// Guards against swaps that are evaluated with stale counts.
#[test]
fn swapping_placements_updates_the_counts_as_a_recount_would() {
    check_property(
        bolero::produce::<(Vec<(u8, u8, u8)>, Vec<(u8, u8)>)>(),
        |(domains, swaps)| {
            let spec = spec();
            let domains: Vec<(FabricDomainId, FailureDomainId, usize, usize)> = domains
                .iter()
                .enumerate()
                .map(|(index, (failure_domain, engines, model))| {
                    let domain = format!("d{index}").parse().expect("valid name");
                    let failure_domain = format!("f{}", failure_domain % 4);
                    let failure_domain = failure_domain.parse().expect("valid name");
                    (
                        domain,
                        failure_domain,
                        (*engines).into(),
                        usize::from(*model),
                    )
                })
                .collect();
            let placements = domains
                .iter()
                .map(|(domain, failure_domain, engines, model)| Placement {
                    domain,
                    failure_domain,
                    engines: *engines,
                    model: &spec.models[model % spec.models.len()],
                    candidates: Vec::new(),
                });
            let mut placements: Vec<Placement<'_>> = placements.collect();
            let mut counts = EngineCounts::of(&spec, &placements);
            for (first, second) in swaps {
                let count = placements.len().max(1);
                let (first, second) = (usize::from(*first) % count, usize::from(*second) % count);
                if first == second {
                    continue;
                }
                counts.swap(&mut placements, first, second);
                assert_eq!(
                    counts.capacity_after_loss(),
                    capacity_after_loss(&spec, &placements)
                );
            }
        },
    );
}
