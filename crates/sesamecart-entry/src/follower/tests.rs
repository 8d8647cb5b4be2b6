//! Tests of updates that list unchanged records only by key.

use indexmap::IndexSet;
use serde_json::json;
use sesamecart_platform::Record;

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
