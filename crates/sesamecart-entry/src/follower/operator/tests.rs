//! Tests of the operator topic across returns of the store.

use indexmap::IndexSet;
use serde_json::json;
use sesamecart_links::feed::OperatorState as NeighborState;
use sesamecart_platform::{Record, StoreEra};
use sesamecart_vocabulary::Timestamp;

use super::OperatorState;
use crate::clock;
use crate::state::EntryState;
use crate::testkit::new_state;

const BEFORE: StoreEra = StoreEra(1);
const AFTER: StoreEra = StoreEra(2);

fn value_of(version: u64) -> Vec<u8> {
    let configuration = json!({
        "version": version, "routes": [], "services": [], "tenants": [],
        "limits": {"maxHeaderBytes": 16_384, "maxBodyBytes": 1_000_000, "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000},
    });
    configuration.to_string().into_bytes()
}

fn configuration(version: u64) -> Record {
    Record {
        key: Some("config".to_owned()),
        value: Some(value_of(version)),
    }
}

fn evacuation(domain: &str, is_set: bool) -> Record {
    Record {
        key: Some(format!("evacuate/{domain}")),
        value: is_set.then(|| b"{}".to_vec()),
    }
}

fn evacuated(state: &EntryState) -> Vec<String> {
    let domains = state.evacuated_domains();
    domains.iter().map(ToString::to_string).collect()
}

fn none() -> IndexSet<String> {
    IndexSet::new()
}

/// Returns a node that has configuration 20 and the evacuation of `a` when the store returns.
fn node() -> (EntryState, OperatorState) {
    let state = new_state(true);
    state.learn_store_era(BEFORE, "the store");
    let mut operator = OperatorState::new(true);
    operator.replace(
        &state,
        BEFORE,
        &[configuration(20), evacuation("a", true)],
        &none(),
    );
    state.learn_store_era(AFTER, "the store");
    (state, operator)
}

/// Guards against a revoked key that is in force again because the store returned from a copy.
#[test]
fn an_older_configuration_of_a_copy_is_neither_applied_nor_confirmed() {
    let (state, mut operator) = node();
    operator.replace(&state, AFTER, &[configuration(18)], &none());
    operator.confirm(&state, clock::now());
    assert_eq!(state.configuration_version(), 20);
    assert!(state.configuration_age().is_none(), "nothing was confirmed");
    assert!(
        state.source_age().is_some(),
        "the source is read all the same"
    );
    operator.apply(&state, AFTER, &[configuration(20)]);
    operator.confirm(&state, clock::now());
    assert!(state.configuration_age().is_some());
}

/// Guards against nodes that refuse all callers for ever because the operator doesn't write again.
#[test]
fn a_copy_that_is_never_written_again_vouches_in_the_end() {
    let (state, mut operator) = node();
    operator.replace(&state, AFTER, &[configuration(18)], &none());
    assert!(!operator.vouches_for(&state, clock::now()));
    let later = clock::now() + super::REWRITE_GRACE;
    assert!(operator.vouches_for(&state, later));
}

/// Guards against sending requests to a failure domain whose evacuation was lost when the store returned.
#[test]
fn an_evacuation_that_was_lost_counts_until_it_is_written_again() {
    let (state, mut operator) = node();
    operator.replace(&state, AFTER, &[configuration(20)], &none());
    assert_eq!(evacuated(&state), ["a"]);
    operator.apply(&state, AFTER, &[evacuation("a", true)]);
    operator.apply(&state, AFTER, &[evacuation("a", false)]);
    assert!(
        evacuated(&state).is_empty(),
        "the operator has taken it back"
    );
}

/// Guards against the same where another node tells only what has changed.
#[test]
fn an_evacuation_that_another_node_saw_vanish_counts_until_it_is_written_again() {
    let (state, mut operator) = node();
    operator.apply(&state, AFTER, &[evacuation("a", false)]);
    assert_eq!(evacuated(&state), ["a"]);
    operator.apply(&state, AFTER, &[evacuation("a", false)]);
    assert!(
        evacuated(&state).is_empty(),
        "a drop within the era is the operator's"
    );
}

/// Guards against a failure domain that stays evacuated for ever because its evacuation was lost.
#[test]
fn an_evacuation_that_is_never_written_again_ends() {
    let (state, mut operator) = node();
    operator.replace(&state, AFTER, &[configuration(20)], &none());
    operator.expire(&state, clock::now() + super::REWRITE_GRACE);
    assert!(evacuated(&state).is_empty());
}

/// Guards against a node that starts after a return and serves by what other nodes know to be out of date.
#[test]
fn a_node_that_starts_learns_from_others() {
    let state = new_state(false);
    state.learn_store_era(AFTER, "the store");
    let mut operator = OperatorState::new(false);
    operator.replace(&state, AFTER, &[configuration(18)], &none());
    assert!(operator.take_needs_neighbors());
    assert!(!operator.take_needs_neighbors(), "they are asked once");
    let answers = [
        NeighborState::default(),
        NeighborState {
            configuration: Some(value_of(20)),
            evacuated: vec!["b".to_owned(), "not a name\n".to_owned()],
        },
        NeighborState {
            configuration: Some(value_of(19)),
            evacuated: Vec::new(),
        },
    ];
    operator.learn(&state, &answers);
    operator.confirm(&state, clock::now());
    assert_eq!(state.configuration_version(), 20);
    assert_eq!(evacuated(&state), ["b"]);
    assert!(
        state.configuration_age().is_none(),
        "the store may have still newer ones"
    );
}

/// Guards against a node that asks for nothing, or waits, when a deployment starts for the first time.
#[test]
fn a_deployment_that_starts_asks_no_other_nodes() {
    let state = new_state(true);
    let mut operator = OperatorState::new(true);
    operator.replace(&state, AFTER, &[configuration(1)], &none());
    assert!(!operator.take_needs_neighbors());
    operator.confirm(&state, Timestamp(5));
    assert!(state.configuration_age().is_some());
}
