//! Tests of updates that list unchanged records only by key.

use indexmap::IndexSet;
use serde_json::json;
use sesamecart_platform::Record;

use super::crashes::CrashesState;
use super::operator::OperatorState;
use super::registry::RegistryState;
use crate::testkit::new_state;

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
    registry.replace(&state, &all, &keys([]));
    registry.replace(&state, &[endpoint("e3", "draining")], &keys(["e1"]));
    let directory = state.directory.load();
    let listed: Vec<&str> = directory.listed_ids().map(|id| id.as_str()).collect();
    assert_eq!(listed, ["e1", "e3"]);
}

/// Guards against a failure domain that stays evacuated after its key was dropped, and against losing an
/// evacuation whose key is unchanged.
#[test]
fn evacuations_neither_changed_nor_unchanged_are_cleared() {
    let state = new_state(true);
    let mut operator = OperatorState::default();
    let both = ["evacuate/a", "evacuate/b"].map(|key| record(key, json!({})));
    operator.replace(&state, &both, &keys([]));
    let third = [record("evacuate/c", json!({}))];
    operator.replace(&state, &third, &keys(["evacuate/b", "config"]));
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
    let reports = [("n2", 'a'), ("n3", 'b'), ("n4", 'c')];
    let reports = reports.map(|(node, request)| crash_report(node, request));
    CrashesState.replace(&state, &reports, &keys([]));
    assert_eq!(state.crashes.tracker().suspected_count(), 3);
    CrashesState.replace(&state, &[crash_report("n3", 'd')], &keys(["n4"]));
    assert_eq!(state.crashes.tracker().suspected_count(), 2);
    let withdrawn = Record {
        key: Some("n3".to_owned()),
        value: None,
    };
    CrashesState.apply(&state, &[withdrawn]);
    assert_eq!(state.crashes.tracker().suspected_count(), 1);
}

/// Guards against losing what other nodes report because one record can't be parsed.
#[test]
fn a_report_of_crashes_that_cannot_be_parsed_is_ignored() {
    let state = new_state(true);
    let invalid = [
        record("n2", json!({"runs": "none"})),
        record("n3", json!({"runs": [{"request": "short"}]})),
        record("not a name\n", json!({})),
        crash_report("n4", 'a'),
    ];
    CrashesState.apply(&state, &invalid);
    assert_eq!(state.crashes.tracker().suspected_count(), 1);
}

/// Guards against a restarted node that overwrites the evidence that it had published before.
#[test]
fn a_restarted_node_continues_with_its_own_report_of_crashes() {
    let state = new_state(true);
    CrashesState.replace(&state, &[crash_report("n1", 'a')], &keys([]));
    assert_eq!(state.crashes.tracker().suspected_count(), 1);
    // A late record from before is no second restart.
    CrashesState.apply(&state, &[crash_report("n1", 'b')]);
    assert_eq!(state.crashes.tracker().suspected_count(), 1);
}
