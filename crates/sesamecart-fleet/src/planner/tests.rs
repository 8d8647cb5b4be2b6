//! Simulates engines that register, load, form groups and are lost, and checks the planned steps.

use std::time::Duration;

use indexmap::IndexSet;
use sesamecart_vocabulary::{EndpointId, Timestamp};

use super::{Formation, GroupCapacities, Planner, PlannerInput, Step};
use crate::directory::{Directory, GroupKey};
use crate::endpoint::{Endpoint, EndpointState, GroupState};
use crate::number::FencingToken;
use crate::testkit::{engine, id, key, member, model, service, spec, spec_of_sixteen};

mod conversion;
mod domains;
mod loading;
mod losses;
mod spread;
mod urgency;

const START: Timestamp = Timestamp(1_000_000);

fn directory(endpoints: impl IntoIterator<Item = Endpoint>) -> Directory {
    let mut directory = Directory::default();
    for endpoint in endpoints {
        directory.put(START, endpoint);
    }
    directory
}

fn plan(
    planner: &mut Planner,
    now: Timestamp,
    directory: &Directory,
    has_traffic: bool,
) -> Vec<Step> {
    let (service, spec) = (service(), spec());
    let input = PlannerInput {
        service: &service,
        spec: &spec,
        directory,
        has_traffic,
        capacities: &GroupCapacities::default(),
        demand: None,
    };
    planner.plan(now, &input)
}

fn joins(steps: &[Step]) -> Vec<(&str, Vec<&str>)> {
    let joins = steps.iter().filter_map(|step| match step {
        Step::Join(formation) => Some((
            formation.model.as_str(),
            formation.members.iter().map(EndpointId::as_str).collect(),
        )),
        _ => None,
    });
    joins.collect()
}

/// Returns all members of a group. The head, at rank 0, is in the state `head`, and the other members are
/// ready.
fn group(
    key: &GroupKey,
    domain: &str,
    names: &[&str],
    serves: &str,
    head: GroupState,
) -> Vec<Endpoint> {
    let members = names.iter().enumerate().map(|(rank, name)| {
        let state = if rank == 0 { head } else { GroupState::Ready };
        member(engine(name, domain), key, rank, state, serves)
    });
    members.collect()
}

fn set_state(engine: &mut Endpoint, state: GroupState) {
    let role = engine.group.as_mut().expect("the engine is in a group");
    role.state = state;
}

/// Returns three engines of one fabric domain that can form a group of the small model without a load.
fn three_staged_engines() -> Directory {
    directory(["e1", "e2", "e3"].map(|name| {
        let mut engine = engine(name, "a-0");
        engine.staged = vec![model("small")];
        engine
    }))
}

/// Returns the group that the first step forms.
fn first_formation(steps: &[Step]) -> &Formation {
    match steps.first() {
        Some(Step::Join(formation)) => formation,
        _ => panic!("no group was formed: {steps:?}"),
    }
}

fn six_domains_of_nine() -> Vec<Endpoint> {
    let domains = ["a-0", "a-1", "b-0", "b-1", "c-0", "c-1"];
    let names = domains
        .iter()
        .flat_map(|domain| (0..9).map(move |index| (format!("{domain}.{index}"), *domain)));
    names.map(|(name, domain)| engine(&name, domain)).collect()
}

/// If all engines register at once and a weight store that serves six loads at once is given thirty, every
/// group completes only at the end and the first requests find none.
#[test]
fn a_cold_start_limits_concurrent_loads_and_covers_both_models() {
    let directory = directory(six_domains_of_nine());
    let mut planner = Planner::new(FencingToken(1), 0);
    let steps = plan(&mut planner, START, &directory, false);
    let engines: usize = joins(&steps).iter().map(|(_, members)| members.len()).sum();
    assert!((6..=8).contains(&engines), "{engines} engines load at once");
    let models: IndexSet<&str> = joins(&steps).iter().map(|(model, _)| *model).collect();
    assert_eq!(
        models.len(),
        2,
        "both models are served by the first groups"
    );
}

/// Loads take ten times longer once requests arrive, which can happen at any time. Engines that waited for
/// their turn would then stay empty for half a minute, and callers would find too few groups.
#[test]
fn remaining_engines_load_at_once_after_half_hold_a_model() {
    let mut endpoints = six_domains_of_nine();
    for endpoint in endpoints.iter_mut().step_by(2) {
        let domain = endpoint
            .fabric_domain
            .clone()
            .expect("the engine has a fabric domain");
        let serves = if domain.as_str().ends_with('0') {
            "large"
        } else {
            "small"
        };
        endpoint.staged = vec![model(serves)];
    }
    let directory = directory(endpoints);
    let mut planner = Planner::new(FencingToken(1), 0);
    let steps = plan(&mut planner, START, &directory, false);
    let joining: usize = joins(&steps).iter().map(|(_, members)| members.len()).sum();
    let staged = steps
        .iter()
        .filter(|step| matches!(step, Step::Stage { .. }));
    assert_eq!(joining + staged.count(), 54);
}

/// Engines are lost two at a time, and a group of sixteen that lacks one serves nothing. If the leftover
/// engines of two such groups in a domain were used for the small model, each of the first losses would take
/// down a whole group, and its callers would wait for a load of sixteen seconds.
#[test]
fn leftover_engines_of_large_groups_are_kept_as_spares() {
    let names = (0..37).map(|index| format!("e{index}"));
    let mut endpoints: Vec<Endpoint> = names.map(|name| engine(&name, "a-0")).collect();
    for endpoint in &mut endpoints {
        endpoint.staged = vec![model("large")];
    }
    for endpoint in &mut endpoints[32..] {
        endpoint.staged.clear();
    }
    let directory = directory(endpoints);
    let spec = spec_of_sixteen();
    let input = PlannerInput {
        service: &service(),
        spec: &spec,
        directory: &directory,
        has_traffic: false,
        capacities: &GroupCapacities::default(),
        demand: None,
    };
    let steps = Planner::new(FencingToken(1), 0).plan(START, &input);
    let formed: Vec<&str> = joins(&steps).iter().map(|(model, _)| *model).collect();
    assert_eq!(formed, ["large", "large"]);
    let staged = steps
        .iter()
        .filter(|step| matches!(step, Step::Stage { model, .. } if model.as_str() == "large"));
    assert_eq!(staged.count(), 5);
}

/// The engines that are ready soonest form the next group. If the survivors of a lost group join with a
/// spare, callers of its model wait for 0.2 s instead of 16 s.
#[test]
fn survivors_and_a_staged_spare_form_the_next_group() {
    let lost = key("g1-1", 1);
    let mut endpoints = group(
        &lost,
        "a-0",
        &["e1", "e2", "e3"],
        "large",
        GroupState::Broken,
    );
    for endpoint in &mut endpoints {
        endpoint.group = None;
    }
    let mut spare = engine("spare", "a-0");
    spare.staged = vec![model("large")];
    endpoints.push(spare);
    endpoints.push(engine("empty", "a-0"));
    let directory = directory(endpoints);
    let mut planner = Planner::new(FencingToken(1), 0);
    let steps = plan(&mut planner, START, &directory, true);
    assert_eq!(joins(&steps), [("large", vec!["e1", "e2", "e3", "spare"])]);
}

/// Groups across fabric domains are three times slower, so engines of two domains never form a group, even if
/// each domain has too few.
#[test]
fn a_group_never_spans_two_fabric_domains() {
    let mut endpoints = vec![engine("e1", "a-0"), engine("e2", "a-0")];
    endpoints.extend([engine("e3", "a-1"), engine("e4", "a-1")]);
    for endpoint in &mut endpoints {
        endpoint.staged = vec![model("large")];
    }
    let directory = directory(endpoints);
    let mut planner = Planner::new(FencingToken(1), 0);
    assert!(joins(&plan(&mut planner, START, &directory, true)).is_empty());
}

/// A head may open only after every member has reported ready under the group's name and epoch. If it opened
/// earlier, it would answer callers while part of the model is missing.
#[test]
fn a_group_opens_only_when_all_members_are_ready() {
    let empty = three_staged_engines();
    let mut planner = Planner::new(FencingToken(1), 0);
    let steps = plan(&mut planner, START, &empty, true);
    let formation = first_formation(&steps);
    let names: Vec<&str> = formation.members.iter().map(EndpointId::as_str).collect();
    let mut endpoints = group(&formation.key, "a-0", &names, "small", GroupState::Ready);
    set_state(&mut endpoints[2], GroupState::Joining);
    let later = START + Duration::from_millis(50);
    let steps = plan(&mut planner, later, &directory(endpoints.clone()), true);
    assert!(steps.is_empty(), "one member isn't ready: {steps:?}");
    set_state(&mut endpoints[2], GroupState::Ready);
    let steps = plan(&mut planner, later, &directory(endpoints), true);
    assert!(matches!(steps.as_slice(), [Step::Open(opened)] if opened.key == formation.key));
}

/// The registry may show that a head has opened only seconds later. A controller that has abandoned the group
/// must not join its members to other groups: the head may be open, and they would be in two groups.
#[test]
fn members_of_a_possibly_open_group_are_not_free() {
    let empty = three_staged_engines();
    let mut planner = Planner::new(FencingToken(1), 0);
    let steps = plan(&mut planner, START, &empty, true);
    let formation = first_formation(&steps);
    let names: Vec<&str> = formation.members.iter().map(EndpointId::as_str).collect();
    let ready = directory(group(
        &formation.key,
        "a-0",
        &names,
        "small",
        GroupState::Ready,
    ));
    let _opened = plan(&mut planner, START, &ready, true);
    let much_later = START + Duration::from_secs(10);
    let mut steps = plan(&mut planner, much_later, &ready, true);
    steps.extend(plan(
        &mut planner,
        much_later + Duration::from_secs(1),
        &ready,
        true,
    ));
    assert!(joins(&steps).is_empty(), "{steps:?}");
    assert!(
        steps
            .iter()
            .any(|step| matches!(step, Step::Dissolve(key) if *key == formation.key))
    );
}

/// A controller that crashes between two steps leaves a partially formed group. Its successor doesn't know
/// the plan, and the engines would never be released.
#[test]
fn a_new_controller_dissolves_a_partially_formed_group() {
    let partial = key("g1-7", 7);
    let directory = directory(group(
        &partial,
        "a-0",
        &["e1", "e2"],
        "small",
        GroupState::Joining,
    ));
    let mut planner = Planner::new(FencingToken(9), 0);
    let steps = plan(&mut planner, START, &directory, true);
    assert!(
        matches!(steps.as_slice(), [Step::Dissolve(key)] if *key == partial),
        "{steps:?}"
    );
}

/// Guards against groups that each new controller forms anew, as control moves faster than their members join.
#[test]
fn a_new_controller_opens_a_group_whose_members_join_under_an_earlier_one() {
    let half_formed = key("g1-7", 7);
    let mut members = group(
        &half_formed,
        "a-0",
        &["e1", "e2", "e3"],
        "small",
        GroupState::Joining,
    );
    let mut planner = Planner::new(FencingToken(9), 0);
    let steps = plan(&mut planner, START, &directory(members.clone()), true);
    assert!(steps.is_empty(), "one member is still joining: {steps:?}");
    set_state(&mut members[0], GroupState::Ready);
    let later = START + Duration::from_millis(50);
    let steps = plan(&mut planner, later, &directory(members), true);
    assert!(matches!(steps.as_slice(), [Step::Open(opened)] if opened.key == half_formed));
}

/// Guards against waiting for ever for a member that never becomes ready.
#[test]
fn a_new_controller_dissolves_a_group_that_does_not_become_ready_in_time() {
    let half_formed = key("g1-7", 7);
    let names = ["e1", "e2", "e3"];
    let members = group(&half_formed, "a-0", &names, "small", GroupState::Joining);
    let directory = directory(members);
    let mut planner = Planner::new(FencingToken(9), 0);
    assert!(plan(&mut planner, START, &directory, true).is_empty());
    let much_later = START + Duration::from_secs(60);
    let mut steps = plan(&mut planner, much_later, &directory, true);
    let next = much_later + Duration::from_secs(1);
    steps.extend(plan(&mut planner, next, &directory, true));
    let is_meant = |step: &Step| matches!(step, Step::Dissolve(key) if *key == half_formed);
    assert!(!steps.is_empty() && steps.iter().all(is_meant), "{steps:?}");
}

/// Guards against a formation that is given up before its orders are answered, where processors are scarce.
#[test]
fn a_formation_gets_its_time_from_when_its_orders_are_accepted() {
    let staged = three_staged_engines();
    let mut planner = Planner::new(FencingToken(1), 0);
    let steps = plan(&mut planner, START, &staged, true);
    let formation = first_formation(&steps);
    let accepted_at = START + Duration::from_secs(6);
    assert!(plan(&mut planner, accepted_at, &staged, true).is_empty());
    planner.record_begun(&formation.key, accepted_at);
    let names: Vec<&str> = formation.members.iter().map(EndpointId::as_str).collect();
    let ready = group(&formation.key, "a-0", &names, "small", GroupState::Ready);
    let ready_at = accepted_at + Duration::from_secs(2);
    let steps = plan(&mut planner, ready_at, &directory(ready), true);
    assert!(matches!(steps.as_slice(), [Step::Open(opened)] if opened.key == formation.key));
}

/// After a restart of all nodes, the groups are still serving. Forming them again would leave callers without
/// any group for seconds.
#[test]
fn a_new_controller_keeps_complete_groups() {
    let complete = key("g1-7", 7);
    let directory = directory(group(
        &complete,
        "a-0",
        &["e1", "e2", "e3"],
        "small",
        GroupState::Open,
    ));
    let mut planner = Planner::new(FencingToken(9), 0);
    assert!(plan(&mut planner, START, &directory, true).is_empty());
}

/// The registry entry of a member that is disconnected from the store expires although the member keeps
/// serving, so the members are asked before the group is dissolved.
#[test]
fn a_group_with_a_missing_member_is_examined_first() {
    let group_key = key("g1-7", 7);
    let endpoints = group(
        &group_key,
        "a-0",
        &["e1", "e2", "e3"],
        "small",
        GroupState::Open,
    );
    let mut directory = directory(endpoints);
    directory.remove(START, &id("e2"));
    let mut planner = Planner::new(FencingToken(9), 0);
    let steps = plan(&mut planner, START, &directory, true);
    assert!(
        matches!(steps.as_slice(), [Step::Examine(key)] if *key == group_key),
        "{steps:?}"
    );
}

/// A member that announces its departure takes its group down within seconds. The head is closed so that its
/// streams finish instead of breaking off.
#[test]
fn a_group_with_a_leaving_member_is_closed() {
    let group_key = key("g1-7", 7);
    let mut endpoints = group(
        &group_key,
        "a-0",
        &["e1", "e2", "e3"],
        "small",
        GroupState::Open,
    );
    endpoints[2].state = EndpointState::Draining;
    let mut planner = Planner::new(FencingToken(9), 0);
    let steps = plan(&mut planner, START, &directory(endpoints), true);
    assert!(
        matches!(steps.as_slice(), [Step::Close(key)] if *key == group_key),
        "{steps:?}"
    );
}

/// A term that starts again under the same fencing token must not reuse group names. Engines would refuse the
/// new members, and one of them could be in both groups.
#[test]
fn a_new_term_with_the_same_fencing_token_reuses_no_group_name() {
    let endpoints = ["e1", "e2", "e3"].map(|name| {
        let mut engine = engine(name, "a-0");
        engine.staged = vec![model("small")];
        engine
    });
    let directory = directory(endpoints);
    let mut first = Planner::new(FencingToken(4), 0);
    let named = |steps: &[Step]| match steps.first() {
        Some(Step::Join(formation)) => formation.key.clone(),
        other => panic!("no group was formed: {other:?}"),
    };
    let before = named(&plan(&mut first, START, &directory, true));
    let mut second = Planner::new(FencingToken(4), first.formed_count());
    let after = named(&plan(&mut second, START, &directory, true));
    assert_ne!(before, after);
    assert!(after.epoch > before.epoch);
}

/// The weight store admits a limited number of loads in a window from all controllers together. A controller
/// that repeatedly loses its engines would use up that limit alone.
#[test]
fn loads_in_traffic_stay_within_their_share_of_the_rate_limit() {
    let mut planner = Planner::new(FencingToken(1), 0);
    let mut started = 0;
    for round in 0..40 {
        let names: Vec<String> = (0..5).map(|index| format!("e{round}-{index}")).collect();
        let endpoints = names.iter().map(|name| engine(name, "a-0"));
        let now = START + Duration::from_millis(100 * round);
        let steps = plan(&mut planner, now, &directory(endpoints), true);
        started += steps
            .iter()
            .filter(|step| matches!(step, Step::Stage { .. }))
            .count();
    }
    assert!(started <= 10, "{started} loads started within four seconds");
}

/// The weight store of another operator admits one load per second. A limit hard-coded for 4.5 would exceed
/// it, and every load there would be rejected or slowed down.
#[test]
fn loads_stay_within_the_configured_rate_limit() {
    let (service, mut spec) = (service(), spec());
    spec.loads_per_s = 1.0;
    let directory = directory((0..5).map(|index| engine(&format!("e{index}"), "a-0")));
    let input = PlannerInput {
        service: &service,
        spec: &spec,
        directory: &directory,
        has_traffic: true,
        capacities: &GroupCapacities::default(),
        demand: None,
    };
    let steps = Planner::new(FencingToken(1), 0).plan(START, &input);
    let started = steps
        .iter()
        .filter(|step| matches!(step, Step::Stage { .. }));
    assert!((1..=2).contains(&started.count()), "{steps:?}");
}

/// Two domains have lost engines, and empty ones have arrived in both. Few loads can run at once. If they
/// were distributed engine by engine, each domain would get some of the loads that it needs, and neither
/// group would be complete before the last load.
#[test]
fn the_group_missing_the_fewest_engines_is_loaded_first() {
    let with_large = |mut engine: Endpoint| {
        engine.staged = vec![model("large")];
        engine
    };
    let held = [("a-0", 3), ("b-0", 1)]
        .into_iter()
        .flat_map(|(domain, count)| {
            (0..count).map(move |index| (format!("{domain}.held.{index}"), domain))
        });
    let mut endpoints: Vec<Endpoint> = held
        .map(|(name, domain)| with_large(engine(&name, domain)))
        .collect();
    for (domain, count) in [("a-0", 1), ("b-0", 3)] {
        endpoints.extend((0..count).map(|index| engine(&format!("{domain}.new.{index}"), domain)));
    }
    let directory = directory(endpoints);
    let mut spec = spec();
    spec.loads_at_once = 3;
    let input = PlannerInput {
        service: &service(),
        spec: &spec,
        directory: &directory,
        has_traffic: true,
        capacities: &GroupCapacities::default(),
        demand: None,
    };
    let steps = Planner::new(FencingToken(1), 0).plan(START, &input);
    let staged = steps.iter().filter_map(|step| match step {
        Step::Stage { endpoint, .. } => Some(endpoint.as_str()),
        _ => None,
    });
    assert_eq!(
        staged.collect::<Vec<_>>(),
        ["a-0.new.0", "b-0.new.0", "b-0.new.1"]
    );
}
