//! What a process that has just started takes for granted.

use std::path::Path;

use serde_json::json;

use super::Beliefs;
use crate::events::EventLog;
use crate::metrics::Metrics;
use crate::settings::EntrySettings;

fn beliefs(first_start: bool) -> Beliefs {
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
    let settings = settings.expect("the settings are valid");
    let (events, _writer) = EventLog::start(settings.node.clone()).expect("a thread starts");
    Beliefs::new(
        settings,
        events,
        Metrics::new().expect("they can be set up"),
    )
}

/// A controller's process ends during the day and starts again. It has had no request yet; if it took that
/// for the time before traffic, it would begin every load at once, and the weight store would refuse them.
#[test]
fn a_process_that_starts_again_does_not_take_the_day_for_the_time_before_traffic() {
    assert!(beliefs(false).is_in_traffic());
}

#[test]
fn a_deployment_that_starts_for_the_first_time_is_in_traffic_with_its_first_request() {
    let beliefs = beliefs(true);
    assert!(!beliefs.is_in_traffic());
    beliefs.note_request();
    assert!(beliefs.is_in_traffic());
}
