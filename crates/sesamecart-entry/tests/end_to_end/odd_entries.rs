//! Tests of entries that another writer has left in the topics of the store.

use serde_json::{Value, json};

use crate::setup::{DEFAULT_DEADLINE, Deployment, RequestKind};

const EVENTS: u64 = 3;

/// An address at which nothing listens.
const NOBODY: &str = "127.0.0.1:9";

/// Returns the entry of an engine that would be one of the fleet's.
fn engine(changes: &Value) -> Value {
    let mut entry = json!({
        "service": "llm", "address": NOBODY, "zone": "a", "version": "v1", "slots": 8,
        "state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": 1_700_000_000_000_u64, "domain": "a-0",
        "models": [], "staged": [], "group": null,
    });
    let fields = changes.as_object().expect("an object").clone();
    entry.as_object_mut().expect("an object").extend(fields);
    entry
}

fn group(name: &str, epoch: u64, rank: u64, state: &str) -> Value {
    json!({"name": name, "epoch": epoch, "rank": rank, "state": state})
}

/// Returns a list within a list, and so on.
fn nested(depth: usize) -> String {
    "[".repeat(depth) + &"]".repeat(depth)
}

/// Returns odd entries of engines, by what is odd about them.
fn odd_engines() -> Vec<(String, Vec<u8>)> {
    let models = json!([{"name": "m", "version": 1, "adapters": []}]);
    let mut entries = vec![
        ("no JSON", b"\xff\xfe\x00".to_vec()),
        ("open brackets", "[".repeat(200_000).into_bytes()),
    ];
    for (name, text) in [
        ("nested beyond the limit", nested(100_000)),
        ("nested within the limit", nested(100)),
        ("a number too large", "1e999".to_owned()),
        ("a negative number", "-1".to_owned()),
    ] {
        for (field, place) in [("staged", "\"staged\":[]"), ("epoch", "\"group\":null")] {
            let entry = engine(&json!({})).to_string();
            let odd = match field {
                "staged" => format!("\"staged\":[{text}]"),
                _ => format!(
                    "\"group\":{{\"name\":\"g\",\"epoch\":{text},\"rank\":0,\"state\":\"open\"}}"
                ),
            };
            entries.push((name, entry.replace(place, &odd).into_bytes()));
        }
    }
    for (name, changes) in [
        (
            "the highest epoch at a head",
            json!({"models": models, "group": group("g", u64::MAX, 0, "open")}),
        ),
        (
            "the highest epoch at a member that joins",
            json!({"models": models, "group": group("g", u64::MAX, 2, "joining")}),
        ),
        (
            "the highest rank",
            json!({"models": models, "group": group("g", 7, 4_095, "open")}),
        ),
        (
            "a rank beyond the highest",
            json!({"models": models, "group": group("g", 7, u64::MAX, "open")}),
        ),
        (
            "a group of itself",
            json!({"models": models, "group": group("odd", 1, 0, "open")}),
        ),
        (
            "the most slots",
            json!({"models": models, "slots": u32::MAX, "group": group("s", 9, 0, "open")}),
        ),
        (
            "no slots",
            json!({"models": models, "slots": 0, "group": group("z", 9, 0, "open")}),
        ),
        ("cold for ever", json!({"coldRemainingMs": 1e18})),
        (
            "the latest start",
            json!({"born": u64::MAX, "sequence": u64::MAX}),
        ),
        ("port 0", json!({"address": "127.0.0.1:0"})),
        ("a port out of range", json!({"address": "127.0.0.1:70000"})),
        ("many models", json!({"staged": vec!["m"; 20_000]})),
        ("an empty zone", json!({"zone": ""})),
    ] {
        entries.push((name, engine(&changes).to_string().into_bytes()));
    }
    let named = entries.into_iter();
    named
        .map(|(name, entry)| (name.to_owned(), entry))
        .collect()
}

/// Returns entries that name the same places in the same groups as sound engines do.
fn copies(deployment: &Deployment) -> Vec<Vec<u8>> {
    let entries = deployment.store.values("keyed.servers");
    let members = entries.iter().filter_map(|entry| {
        let mut entry: Value = serde_json::from_slice(entry).ok()?;
        entry["group"].is_object().then(|| {
            entry["address"] = json!(NOBODY);
            entry.to_string().into_bytes()
        })
    });
    members.collect()
}

fn assert_serves(deployment: &Deployment, id: &str) {
    for kind in [RequestKind::Stream, RequestKind::Lookup] {
        let id = format!("{id}-{kind:?}");
        let response = deployment.send_request(kind, &id, "key-1");
        assert_eq!(response.status, 200, "{id}: {}", response.body);
    }
}

/// Guards against nodes that end, stop following the registry or fail to start because of one odd entry.
#[test]
fn nodes_serve_beside_odd_entries_of_engines_and_start_beside_them() {
    let deployment = Deployment::start(EVENTS);
    deployment.wait_for_groups(2);
    for (index, (name, entry)) in odd_engines().into_iter().enumerate() {
        let id = format!("odd{index}");
        deployment.store.register(&id, entry);
        deployment.store.register(
            "after",
            engine(&json!({"sequence": index})).to_string().into_bytes(),
        );
        assert_serves(&deployment, &format!("{index} {name}").replace(' ', "-"));
    }
    let node = deployment.add_node("new", deployment.store.address());
    deployment.wait_until("the new node serves", || {
        let id = format!("new{}", fastrand::u32(..));
        let kind = RequestKind::Stream;
        let response = deployment.send_request_to(&node, kind, &id, "key-1", DEFAULT_DEADLINE);
        response.status == 200
    });
    node.kill();
    deployment.kill();
}

/// Guards against dissolving sound groups because other entries name places in them.
#[test]
fn copies_of_entries_of_sound_groups_cost_callers_nothing() {
    let deployment = Deployment::start(EVENTS);
    deployment.wait_for_groups(2);
    for (index, entry) in copies(&deployment).into_iter().enumerate() {
        deployment.store.register(&format!("copy{index}"), entry);
        assert_serves(&deployment, &format!("beside{index}"));
    }
    deployment.kill();
}

/// Guards against nodes that end or fail to start because of odd entries in the other topics.
#[test]
fn nodes_serve_beside_odd_entries_of_other_topics_and_start_beside_them() {
    let deployment = Deployment::start(EVENTS);
    deployment.wait_for_groups(2);
    let store = &deployment.store;
    for (index, odd) in [
        json!(null),
        json!({"node": "x", "failure_domain": "a", "links": "127.0.0.1:0", "processor_share": -1e300}),
        json!({"node": "y", "failure_domain": "a", "links": NOBODY, "processor_share": 1e300, "memory_mb": 0}),
        json!({"node": "n1", "failure_domain": "z", "links": NOBODY, "processor_share": 9.0}),
        json!({"revision": u64::MAX, "report": {}}),
        json!([[[[]]]]),
    ]
    .into_iter()
    .enumerate()
    {
        let name = format!("odd{index}");
        store.register_node(&name, &odd);
        store.report_crashes(&name, &odd);
        store.report_crashes("new", &odd);
        store.publish(&format!("evacuate/{}", "x".repeat(index * 60)), &odd);
        store.publish(&name, &odd);
        assert_serves(&deployment, &name);
    }
    let node = deployment.add_node("new", deployment.store.address());
    let kind = RequestKind::Lookup;
    let response = deployment.send_request_to(&node, kind, "new", "key-1", DEFAULT_DEADLINE);
    assert_eq!(response.status, 200);
    node.kill();
    deployment.kill();
}

/// The odd entries beside three sound ones, and the requests sent beside them.
const ODD: usize = 14;
const REQUESTS: usize = 300;

/// Guards against refusing callers after attempts at several endpoints that have never answered, while sound ones are
/// idle.
#[test]
fn endpoints_that_have_never_answered_cost_a_request_one_attempt() {
    let deployment = Deployment::start_with_plain_endpoints(3);
    for id in 0..3 {
        let kind = RequestKind::Lookup;
        assert_eq!(
            deployment
                .send_request(kind, &format!("first{id}"), "key-1")
                .status,
            200
        );
    }
    for index in 0..ODD {
        let entry = engine(&json!({"service": "app", "domain": null}));
        let entry = entry.to_string().into_bytes();
        deployment.store.register(&format!("odd{index}"), entry);
    }
    deployment.wait_until("the odd entries are known", || {
        let state = deployment.node.state();
        (0..ODD).all(|index| state.knows_endpoint(&format!("odd{index}")))
    });
    let failed = (0..REQUESTS).filter(|index| {
        let id = format!("l{index}");
        deployment
            .send_request(RequestKind::Lookup, &id, "key-1")
            .status
            != 200
    });
    assert_eq!(failed.count(), 0, "of {REQUESTS}");
    deployment.kill();
}
