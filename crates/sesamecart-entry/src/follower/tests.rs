//! Tests of updates that list unchanged records only by key.

use indexmap::IndexSet;
use serde_json::json;
use sesamecart_platform::{Record, StoreEra};

use super::crashes::CrashesState;
use super::operator::OperatorState;
use super::registry::{REREGISTRATION_GRACE, RegistryState};
use crate::clock;
use crate::state::EntryState;
use crate::testkit::new_state;

const ERA: StoreEra = StoreEra(1);

fn record(key: &str, value: serde_json::Value) -> Record {
    Record {
        key: Some(key.to_owned()),
        value: Some(value.to_string().into_bytes()),
    }
}

fn endpoint(id: &str, state: &str) -> Record {
    let entry = json!({
        "service": "app", "address": "127.0.0.1:1", "zone": "a", "version": "v1", "slots": 6,
        "state": state, "coldRemainingMs": 0, "sequence": 1,
    });
    record(id, entry)
}

fn keys<const COUNT: usize>(keys: [&str; COUNT]) -> IndexSet<String> {
    keys.into_iter().map(str::to_owned).collect()
}

/// Guards against routing requests to an endpoint that no longer exists.
#[test]
fn endpoints_neither_changed_nor_unchanged_are_removed() {
    let state = new_state(true);
    let (changed, _changes) = async_channel::bounded(1);
    let mut registry = RegistryState::new(changed);
    let all = ["e1", "e2", "e3"].map(|id| endpoint(id, "ready"));
    registry.replace(&state, ERA, &all, &keys([]));
    registry.replace(&state, ERA, &[endpoint("e3", "draining")], &keys(["e1"]));
    let directory = state.directory.load();
    let listed: Vec<&str> = directory.listed_ids().map(|id| id.as_str()).collect();
    assert_eq!(listed, ["e1", "e3"]);
}

/// Guards against a failure domain that stays evacuated after its key was dropped, and against losing an
/// evacuation whose key is unchanged.
#[test]
fn evacuations_neither_changed_nor_unchanged_are_cleared() {
    let state = new_state(true);
    let mut operator = OperatorState::new(true);
    let both = ["evacuate/a", "evacuate/b"].map(|key| record(key, json!({})));
    operator.replace(&state, ERA, &both, &keys([]));
    let third = [record("evacuate/c", json!({}))];
    operator.replace(&state, ERA, &third, &keys(["evacuate/b", "config"]));
    let evacuated: IndexSet<String> = state
        .evacuated_domains()
        .iter()
        .map(ToString::to_string)
        .collect();
    assert_eq!(evacuated, keys(["b", "c"]));
}

/// Returns a node's report that a request was running when an endpoint crashed.
fn crash_report(node: &str, fingerprint: char) -> Record {
    let fingerprint: String = std::iter::repeat_n(fingerprint, 32).collect();
    let run = json!({
        "request": fingerprint, "endpoint": "e1", "incarnation": 1, "crashes": 0, "clearances": 0,
        "ran_ms": 80,
    });
    record(node, json!({"runs": [run]}))
}

/// Guards against suspicions that stay after the node that reported them has withdrawn them.
#[test]
fn reports_of_crashes_neither_changed_nor_unchanged_are_dropped() {
    let state = new_state(true);
    let mut crashes = CrashesState::default();
    let reports = [("n2", 'a'), ("n3", 'b'), ("n4", 'c')];
    let reports = reports.map(|(node, request)| crash_report(node, request));
    crashes.replace(&state, ERA, &reports, &keys([]));
    assert_eq!(state.crashes.tracker().suspected_count(), 3);
    crashes.replace(&state, ERA, &[crash_report("n3", 'd')], &keys(["n4"]));
    assert_eq!(state.crashes.tracker().suspected_count(), 2);
    let withdrawn = Record {
        key: Some("n3".to_owned()),
        value: None,
    };
    crashes.apply(&state, ERA, &[withdrawn]);
    assert_eq!(state.crashes.tracker().suspected_count(), 1);
}

/// Guards against losing what other nodes report because one record can't be parsed.
#[test]
fn a_report_of_crashes_that_cannot_be_parsed_is_ignored() {
    let state = new_state(true);
    let mut crashes = CrashesState::default();
    let invalid = [
        record("n2", json!({"runs": "none"})),
        record("n3", json!({"runs": [{"request": "short"}]})),
        record("not a name\n", json!({})),
        crash_report("n4", 'a'),
    ];
    crashes.apply(&state, ERA, &invalid);
    assert_eq!(state.crashes.tracker().suspected_count(), 1);
}

/// Guards against a restarted node that overwrites the evidence that it had published before.
#[test]
fn a_restarted_node_continues_with_its_own_report_of_crashes() {
    let state = new_state(true);
    let mut crashes = CrashesState::default();
    crashes.replace(&state, ERA, &[crash_report("n1", 'a')], &keys([]));
    assert_eq!(state.crashes.tracker().suspected_count(), 1);
    // A late record from before is no second restart.
    crashes.apply(&state, ERA, &[crash_report("n1", 'b')]);
    assert_eq!(state.crashes.tracker().suspected_count(), 1);
}

/// The era after a return of the store.
const LATER_ERA: StoreEra = StoreEra(2);

/// Returns the registry entry of an endpoint that has sent some heartbeats.
fn endpoint_after(id: &str, state: &str, heartbeats: u64, born: u64) -> Record {
    let entry = json!({
        "service": "app", "address": "127.0.0.1:1", "zone": "a", "version": "v1", "slots": 6,
        "state": state, "coldRemainingMs": 0, "sequence": heartbeats, "born": born,
    });
    record(id, entry)
}

/// Returns the endpoints that may get new work.
fn ready(state: &EntryState) -> Vec<String> {
    let directory = state.directory.load();
    let listed = directory.listed();
    let ready = listed.filter(|endpoint| directory.takes_work(endpoint));
    ready.map(|endpoint| endpoint.id.to_string()).collect()
}

/// Guards against sending requests to an endpoint that had begun to leave, or had left, before the store returned.
#[test]
fn an_endpoint_of_a_copy_is_not_ready_if_it_is_known_to_leave() {
    let state = new_state(true);
    let (changed, _changes) = async_channel::bounded(1);
    let mut registry = RegistryState::new(changed);
    let all = ["e1", "e2", "e3"].map(|id| endpoint_after(id, "ready", 4, 7));
    registry.replace(&state, ERA, &all, &keys([]));
    let gone = Record {
        key: Some("e2".to_owned()),
        value: None,
    };
    registry.apply(&state, ERA, &[endpoint_after("e1", "draining", 6, 7), gone]);
    registry.replace(&state, LATER_ERA, &all, &keys([]));
    assert_eq!(ready(&state), ["e3"]);
    // What is written since counts: one has started again, the other goes on after a partition.
    let again = [
        endpoint_after("e1", "ready", 1, 9),
        endpoint_after("e2", "ready", 8, 7),
    ];
    registry.apply(&state, LATER_ERA, &again);
    let mut ready = ready(&state);
    ready.sort_unstable();
    assert_eq!(ready, ["e1", "e2", "e3"]);
}

/// Returns a node whose store has returned from a copy that lacks the second of two endpoints.
fn node_that_misses_an_endpoint() -> (EntryState, RegistryState) {
    let state = new_state(true);
    let (changed, _changes) = async_channel::bounded(1);
    let mut registry = RegistryState::new(changed);
    let all = ["e1", "e2"].map(|id| endpoint_after(id, "ready", 4, 7));
    registry.replace(&state, ERA, &all, &keys([]));
    registry.replace(&state, LATER_ERA, &all[..1], &keys([]));
    (state, registry)
}

/// Guards against losing endpoints that serve because their entries were written after the copy was taken.
#[test]
fn an_endpoint_that_a_copy_lacks_is_kept_while_it_may_register_again() {
    let (state, _registry) = node_that_misses_an_endpoint();
    assert_eq!(ready(&state), ["e1", "e2"]);
}

/// Guards against sending requests to an endpoint that is gone, for as long as nothing else changes in the registry.
#[test]
fn an_endpoint_that_does_not_register_again_is_removed_without_another_change() {
    let (state, _registry) = node_that_misses_an_endpoint();
    assert!(!state.make_due_removals(clock::now()));
    assert!(state.make_due_removals(clock::now() + REREGISTRATION_GRACE));
    assert_eq!(ready(&state), ["e1"]);
}

/// Guards against removing an endpoint that has registered again in time.
#[test]
fn an_endpoint_that_registers_again_is_not_removed() {
    let (state, mut registry) = node_that_misses_an_endpoint();
    registry.apply(&state, LATER_ERA, &[endpoint_after("e2", "ready", 5, 7)]);
    assert!(!state.make_due_removals(clock::now() + REREGISTRATION_GRACE));
    assert_eq!(ready(&state), ["e1", "e2"]);
}

/// Returns a report with a revision.
fn revised(node: &str, fingerprint: char, revision: u64) -> Record {
    let mut report = crash_report(node, fingerprint);
    let value = report.value.take().expect("a report has a value");
    let mut value: serde_json::Value = serde_json::from_slice(&value).expect("it is valid");
    value["revision"] = json!(revision);
    record(node, value)
}

/// Guards against requests that crash endpoints and are forgotten because the store returned from a copy.
#[test]
fn reports_of_crashes_that_a_return_has_lost_count_until_they_are_published_again() {
    let state = new_state(true);
    let mut crashes = CrashesState::default();
    let known = [revised("n2", 'a', 3), revised("n3", 'b', 1)];
    crashes.replace(&state, ERA, &known, &keys([]));
    // The copy has an older report of one node, and none of the other.
    crashes.replace(
        &state,
        LATER_ERA,
        &[record("n2", json!({"revision": 2}))],
        &keys([]),
    );
    assert_eq!(state.crashes.tracker().suspected_count(), 2);
    crashes.apply(&state, LATER_ERA, &[record("n2", json!({"revision": 4}))]);
    assert_eq!(state.crashes.tracker().suspected_count(), 1);
}

/// Guards against a node whose own report was lost and isn't published again.
#[test]
fn a_report_of_crashes_that_a_return_has_lost_is_published_again() {
    let state = new_state(true);
    let mut crashes = CrashesState::default();
    crashes.replace(&state, ERA, &[revised("n1", 'a', 3)], &keys([]));
    let due = || {
        let later = crate::clock::now() + std::time::Duration::from_secs(60);
        state.crashes.tracker().due_report(later, 3)
    };
    assert!(due().is_none(), "the topic has the report");
    crashes.replace(&state, LATER_ERA, &[], &keys([]));
    assert!(due().is_some());
}

/// Guards against removing an endpoint whose older entry is there again.
#[test]
fn an_endpoint_that_a_second_copy_has_is_not_removed() {
    let (state, mut registry) = node_that_misses_an_endpoint();
    let all = ["e1", "e2"].map(|id| endpoint_after(id, "ready", 4, 7));
    registry.replace(&state, StoreEra(3), &all, &keys([]));
    state.make_due_removals(clock::now() + REREGISTRATION_GRACE);
    registry.apply(&state, StoreEra(3), &[endpoint_after("e1", "ready", 5, 7)]);
    assert_eq!(ready(&state), ["e1", "e2"]);
}

/// Guards against removing an endpoint whose entry another source has had all the while.
#[test]
fn an_endpoint_that_another_source_lists_is_not_removed() {
    let (state, mut registry) = node_that_misses_an_endpoint();
    registry.replace(&state, LATER_ERA, &[], &keys(["e1", "e2"]));
    assert!(!state.make_due_removals(clock::now() + REREGISTRATION_GRACE));
    assert_eq!(ready(&state), ["e1", "e2"]);
}
