//! Simulates a fabric domain with groups of two models whose free engines are a few short of another group.

use super::{START, directory, group};
use crate::catalog::EngineSpec;
use crate::endpoint::{Endpoint, GroupState};
use crate::number::FencingToken;
use crate::planner::{GroupCapacities, Planner, PlannerInput, Step};
use crate::testkit::{engine, engine_model, id, key, model, service, spec};

/// Returns the members of one open group of each model, and free engines that hold a model or nothing.
fn engines(sizes: (usize, usize), free: &[(&str, Option<&str>)]) -> Vec<Endpoint> {
    let names = |prefix: &str, count| -> Vec<String> {
        (0..count)
            .map(|index| format!("{prefix}.{index}"))
            .collect()
    };
    let groups = [("large", sizes.0, 1), ("small", sizes.1, 2)];
    let mut engines: Vec<Endpoint> = groups
        .into_iter()
        .flat_map(|(serves, size, epoch)| {
            let names = names(serves, size);
            let names: Vec<&str> = names.iter().map(String::as_str).collect();
            group(&key(serves, epoch), "a-0", &names, serves, GroupState::Open)
        })
        .collect();
    engines.extend(free.iter().map(|(name, held)| {
        let staged = held.iter().map(|held| model(held)).collect();
        Endpoint {
            staged,
            ..engine(name, "a-0")
        }
    }));
    engines
}

fn spec_of(sizes: (usize, usize)) -> EngineSpec {
    EngineSpec {
        models: vec![
            engine_model("large", sizes.0, 0.5, 16),
            engine_model("small", sizes.1, 0.5, 12),
        ],
        ..spec()
    }
}

/// Returns the engines that are asked to load a model.
fn engines_asked_to_load(
    planner: &mut Planner,
    spec: &EngineSpec,
    engines: &[Endpoint],
) -> Vec<String> {
    let directory = directory(engines.iter().cloned());
    let input = PlannerInput {
        service: &service(),
        spec,
        directory: &directory,
        has_traffic: true,
        capacities: &GroupCapacities::default(),
        demand: None,
    };
    let steps = planner.plan(START, &input);
    let loading = steps.into_iter().filter_map(|step| match step {
        Step::Stage { endpoint, .. } => Some(endpoint.to_string()),
        _ => None,
    });
    loading.collect()
}

/// A group lacks one engine and gets a spare of another model. If the spare were counted by the model that
/// its host still holds, the group would seem to lack an engine in each planning pass, and every other spare
/// would be loaded as well.
#[test]
fn one_spare_is_loaded_for_one_missing_engine() {
    let free = [
        ("free.0", Some("large")),
        ("free.1", Some("large")),
        ("free.2", Some("large")),
        ("free.3", Some("large")),
        ("free.4", Some("small")),
        ("free.5", Some("small")),
    ];
    let spec = spec_of((6, 3));
    let engines = engines((6, 3), &free);
    let mut planner = Planner::new(FencingToken(1), 0);
    assert_eq!(
        engines_asked_to_load(&mut planner, &spec, &engines),
        ["free.0"]
    );
    assert!(engines_asked_to_load(&mut planner, &spec, &engines).is_empty());
}

/// A group lacks two engines, and one of the two spares is still loading. If the other one were loaded alone,
/// it wouldn't complete a group and would be lost to its own model.
#[test]
fn a_spare_is_not_loaded_while_another_one_is_loading() {
    let free = [
        ("free.0", Some("large")),
        ("free.1", Some("large")),
        ("free.2", None),
        ("free.3", Some("small")),
    ];
    let spec = spec_of((4, 6));
    let engines = engines((4, 6), &free);
    let known = directory(engines.iter().cloned());
    let input = PlannerInput {
        service: &service(),
        spec: &spec,
        directory: &known,
        has_traffic: true,
        capacities: &GroupCapacities::default(),
        demand: None,
    };
    let mut planner = Planner::new(FencingToken(1), 0);
    planner.record_load(START, &input, &id("free.2"), &spec.models[1]);
    assert!(engines_asked_to_load(&mut planner, &spec, &engines).is_empty());
}
