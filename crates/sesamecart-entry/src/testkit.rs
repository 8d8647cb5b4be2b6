//! Helpers for the tests of several modules.

use std::path::Path;
use std::time::Duration;

use serde_json::json;
use sesamecart_fleet::{Endpoint, EndpointState, GroupEpoch, GroupRole, GroupState};

use crate::events::EventLog;
use crate::metrics::Metrics;
use crate::settings::EntrySettings;
use crate::state::EntryState;

/// Creates the state of a node `n1` that has read nothing yet.
pub(crate) fn new_state(first_start: bool) -> EntryState {
    let text = json!({
        "node": "n1", "failure_domain": "a", "region": "r",
        "callers": "127.0.0.1:0", "readiness": "127.0.0.1:0", "metrics": "127.0.0.1:0",
        "links": "127.0.0.1:0", "processor_share": 0.25, "store": "127.0.0.1:1",
        "first_start": first_start,
        "bounds": {
            "key_revocation_ms": 5_000, "configuration_ms": 2_000, "group_stall_ms": 5_000,
            "leave_s": 8, "retry_ratio": 0.2, "retry_burst": 132, "heartbeat_ms": 1_200,
            "lease_least_ms": 1_000,
        },
    });
    let settings = EntrySettings::parse(Path::new("settings.json"), &text.to_string());
    let settings = settings.expect("the settings should be valid");
    let (events, _writer) =
        EventLog::start(settings.node.clone()).expect("the log thread should start");
    EntryState::new(
        settings,
        events,
        Metrics::new().expect("the metrics should be set up"),
    )
}

/// Creates the head of an open group.
pub(crate) fn group_head() -> Endpoint {
    Endpoint {
        id: "e0".parse().expect("a valid endpoint name"),
        address: "127.0.0.1:1".parse().expect("a valid address"),
        service: "llm".parse().expect("a valid service name"),
        failure_domain: "a".parse().expect("a valid failure domain name"),
        slots: 8,
        state: EndpointState::Ready,
        cold_for: Duration::ZERO,
        incarnation: None,
        fabric_domain: None,
        models: Vec::new(),
        staged: Vec::new(),
        group: Some(GroupRole {
            group: "g1".parse().expect("a valid group name"),
            epoch: GroupEpoch(1),
            rank: 0,
            state: GroupState::Open,
        }),
    }
}
