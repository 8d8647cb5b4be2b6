//! Tests which settings are accepted, and the address at which a node accepts requests that other nodes forward.

use std::path::Path;

use serde_json::{Value, json};

use super::EntrySettings;

fn settings(metrics: u16, links: u16, forwarding: &Value) -> Value {
    let mut settings = json!({
        "node": "n1", "failure_domain": "a", "region": "r",
        "callers": "10.0.0.1:8000", "readiness": "10.0.0.1:8001",
        "metrics": format!("10.0.0.1:{metrics}"), "links": format!("10.0.0.1:{links}"),
        "processor_share": 0.25, "store": "10.0.0.9:9000", "first_start": true,
        "bounds": {
            "key_revocation_ms": 5_000, "configuration_ms": 2_000, "group_stall_ms": 5_000,
            "leave_s": 8, "retry_ratio": 0.2, "retry_burst": 132, "heartbeat_ms": 1_200,
            "lease_least_ms": 1_000,
        },
    });
    if !forwarding.is_null() {
        settings["forwarding"] = forwarding.clone();
    }
    settings
}

macro_rules! rejected_settings {
    ($($name:ident: $field:literal = $value:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut settings = settings(7_340, 7_355, &Value::Null);
                settings[$field] = $value;
                let parsed = EntrySettings::parse(Path::new("settings.json"), &settings.to_string());
                let error = parsed.expect_err("the value is rejected").to_string();
                assert!(error.contains($field), "{error}");
            }
        )*
    };
}

rejected_settings! {
    no_memory_at_all_is_rejected: "memory_mb" = json!(0);
    a_memory_that_is_no_number_is_rejected: "memory_mb" = json!("much");
    too_few_files_for_callers_are_rejected: "max_files" = json!(300);
    an_unknown_way_to_dispatch_is_rejected: "dispatch" = json!("sometimes");
}

macro_rules! forwarding_addresses {
    ($($name:ident: $metrics:expr, $links:expr, $forwarding:expr => $address:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let text = settings($metrics, $links, &$forwarding).to_string();
                let settings = EntrySettings::parse(Path::new("settings.json"), &text);
                let forwarding = settings.ok().and_then(|settings| settings.forwarding);
                let address: Option<&str> = $address;
                assert_eq!(forwarding.map(|address| address.to_string()).as_deref(), address);
            }
        )*
    };
}

forwarding_addresses! {
    the_given_address_is_used: 7_340, 7_355, json!("10.0.0.1:7350") => Some("10.0.0.1:7350");
    the_default_is_the_port_after_metrics: 7_340, 7_355, Value::Null => Some("10.0.0.1:7341");
    the_default_skips_used_ports: 7_999, 8_002, Value::Null => Some("10.0.0.1:8003");
    an_address_that_stands_twice_is_rejected: 7_340, 7_355, json!("10.0.0.1:7355") => None;
    something_else_than_an_address_is_rejected: 7_340, 7_355, json!("next") => None;
}
