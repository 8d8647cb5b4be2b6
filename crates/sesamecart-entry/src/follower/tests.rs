//! What a node keeps of a topic that names only the keys of what hasn't changed.

use indexmap::IndexSet;
use serde_json::json;
use sesamecart_platform::Record;

use super::operator::OperatorPicture;
use super::registry::RegistryPicture;
use crate::testkit::beliefs;

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

/// Guards against requests to an endpoint that is gone.
#[test]
fn endpoints_that_are_neither_changed_nor_unchanged_are_gone() {
    let beliefs = beliefs(true);
    let (changed, _changes) = async_channel::bounded(1);
    let mut picture = RegistryPicture::new(changed);
    let all = ["e1", "e2", "e3"].map(|id| endpoint(id, "ready"));
    picture.replace(&beliefs, &all, &keys([]));
    picture.replace(&beliefs, &[endpoint("e3", "draining")], &keys(["e1"]));
    let directory = beliefs.directory.load();
    let listed: Vec<&str> = directory.listed_ids().map(|id| id.as_str()).collect();
    assert_eq!(listed, ["e1", "e3"]);
}

/// Guards against a failure domain that stays evacuated, and against one that is forgotten.
#[test]
fn evacuations_that_are_neither_changed_nor_unchanged_are_taken_back() {
    let beliefs = beliefs(true);
    let mut picture = OperatorPicture::default();
    let both = ["evacuate/a", "evacuate/b"].map(|key| record(key, json!({})));
    picture.replace(&beliefs, &both, &keys([]));
    let third = [record("evacuate/c", json!({}))];
    picture.replace(&beliefs, &third, &keys(["evacuate/b", "config"]));
    let evacuated: IndexSet<String> = beliefs
        .evacuated()
        .iter()
        .map(ToString::to_string)
        .collect();
    assert_eq!(evacuated, keys(["b", "c"]));
}
