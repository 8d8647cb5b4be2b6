//! Tests of authorization, scopes and rate limits, and of the OpenAPI description.

use std::time::Duration;

use http::Method;
use serde::Serialize;
use serde_json::Value;
use sesamecart_config::{
    AdministrationAccess, Configuration, Inventory, Operator, Role, import_sheet,
};
use sesamecart_fold::PublishVerdict;
use sesamecart_vocabulary::{EndpointId, KeyHash, Offset, Revision, ServiceId, Timestamp};

use crate::{
    Authority, ChangeOutcome, ChangeReply, Denial, DrainReply, DrainState, ErrorCode, ErrorReply,
    NodeReply, NodeState, RateLimiter, Route, RouteError, Scope, ScopeError, StatusReply, openapi,
};

const DESCRIPTION_PATH: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/openapi.json");

fn parse<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().unwrap()
}

fn operator(name: &str, role: Role, teams: &[&str]) -> Operator {
    Operator {
        name: name.to_owned(),
        token: KeyHash::of(format!("token-of-{name}").as_bytes()),
        role,
        teams: teams.iter().map(|team| team.parse().unwrap()).collect(),
    }
}

/// Returns the example configuration, with the stock service and a customer owned by the team `ledger`.
fn example_configuration() -> Configuration {
    let sheet = include_bytes!("../../../examples/day.csv");
    let inventory = include_str!("../../../examples/inventory.json");
    let mut inventory: Inventory = serde_json::from_str(inventory).unwrap();
    inventory.services[0].team = Some(parse("ledger"));
    inventory.customers[0].team = Some(parse("ledger"));
    import_sheet(sheet, &inventory).configuration
}

fn ledger_scope() -> Scope {
    Scope::of(&operator("ines", Role::Operator, &["ledger"]))
}

/// Run `UPDATE_OPENAPI=1 cargo test -p sesamecart-administration` to update the file after a change of
/// the API.
#[test]
fn committed_description_is_up_to_date() {
    let text = format!("{}\n", serde_json::to_string_pretty(&openapi()).unwrap());
    if std::env::var_os("UPDATE_OPENAPI").is_some() {
        std::fs::write(DESCRIPTION_PATH, &text).unwrap();
    }
    let committed = std::fs::read_to_string(DESCRIPTION_PATH).unwrap();
    assert!(
        text == committed,
        "docs/openapi.json is not up to date with the API"
    );
}

#[test]
fn described_operations_are_routes_with_the_described_role() {
    let description = openapi();
    let paths = description["paths"].as_object().unwrap();
    let mut count = 0;
    for (path, methods) in paths {
        for (method, operation) in methods.as_object().unwrap() {
            let method: Method = method.to_uppercase().parse().unwrap();
            let route = Route::find(&method, &path.replace("{publish_id}", "p-1")).unwrap();
            let role = format!("Needs the role {}.", route.needs());
            assert_eq!(operation["description"], role, "{path}");
            count += 1;
        }
    }
    assert_eq!(count, 10);
}

/// Tests that a message's JSON has all fields that its schema requires, and none that the schema lacks.
macro_rules! schemas {
    ($($test:ident: $schema:literal, $message:expr;)*) => {$(
        #[test]
        fn $test() {
            let value = serde_json::to_value(&$message).unwrap();
            assert_matches(&value, &openapi()["components"]["schemas"][$schema]);
        }
    )*};
}

fn assert_matches(value: &Value, schema: &Value) {
    let object = value.as_object().unwrap();
    let properties = schema["properties"].as_object().unwrap();
    for key in object.keys() {
        assert!(properties.contains_key(key), "{key} is not described");
    }
    for key in schema["required"].as_array().unwrap() {
        let key = key.as_str().unwrap();
        assert!(object.contains_key(key), "{key} is described but missing");
    }
}

fn accepted() -> PublishVerdict {
    PublishVerdict::Accepted {
        revision: Revision(2),
        offset: Offset(9),
    }
}

fn drain() -> DrainReply {
    DrainReply {
        target: parse("vm:ledger-a"),
        author: "salma".to_owned(),
        at_ms: 4,
        state: DrainState::Logged,
    }
}

fn node() -> NodeReply {
    NodeReply {
        node: parse("n1"),
        failure_domain: parse("muscat-a"),
        state: NodeState::Reachable,
        revision: None,
        next_offset: None,
    }
}

schemas! {
    verdict_is_described: "Verdict", accepted();
    change_is_described: "ChangeReply", ChangeReply {
        publish_id: parse("p-1"),
        outcome: ChangeOutcome::Decided(accepted()),
    };
    node_is_described: "NodeReply", node();
    drain_is_described: "DrainReply", drain();
    status_is_described: "StatusReply", StatusReply {
        node: parse("n1"),
        revision: Revision(1),
        log_answers: true,
        nodes: vec![node()],
        drains: vec![drain()],
    };
    audit_entry_is_described: "AuditEntry", audit_entry();
    problem_is_described: "Problem", problem();
    error_is_described: "ErrorReply", ErrorReply {
        problems: vec![problem()],
        conflict: Some(accepted()),
        ..ErrorReply::new(ErrorCode::Conflict, "another change came first")
    };
}

fn audit_entry() -> impl Serialize {
    let mut fold = sesamecart_fold::Fold::new();
    fold.apply(Offset(0), 1, b"torn");
    fold.state().audit.entries()[0].clone()
}

fn problem() -> sesamecart_config::ProblemReport {
    let mut cfg = example_configuration();
    cfg.sheet = 0;
    cfg.check().remove(0).into()
}

/// Tests which `Authorization` headers and roles are accepted.
macro_rules! authorizations {
    ($($test:ident: $header:expr, $needs:expr => $expected:pat,)*) => {$(
        #[test]
        fn $test() {
            let access = AdministrationAccess {
                operators: vec![
                    operator("salma", Role::Operator, &[]),
                    operator("omar", Role::OnCall, &[]),
                ],
                ..AdministrationAccess::default()
            };
            let authority = Authority::new(&access);
            let admitted = authority.admit($header, $needs);
            let admitted = admitted.map(|operator| operator.name.as_str());
            assert!(matches!(admitted, $expected), "{admitted:?}");
        }
    )*};
}

authorizations! {
    known_token: Some("Bearer token-of-salma"), Role::Operator => Ok("salma"),
    scheme_in_lower_case: Some("bearer token-of-omar"), Role::OnCall => Ok("omar"),
    insufficient_role: Some("Bearer token-of-omar"), Role::Operator => Err(Denial::Role { .. }),
    unknown_token: Some("Bearer guess"), Role::Viewer => Err(Denial::Unauthenticated),
    hash_in_place_of_token: Some("Bearer 0"), Role::Viewer => Err(Denial::Unauthenticated),
    other_scheme: Some("Basic token-of-salma"), Role::Viewer => Err(Denial::Unauthenticated),
    empty_token: Some("Bearer "), Role::Viewer => Err(Denial::Unauthenticated),
    no_header: None, Role::Viewer => Err(Denial::Unauthenticated),
}

/// If the settings hold the hash of the empty string as an operator's token, a request without a token
/// must not be authenticated as that operator.
#[test]
fn hash_of_empty_token_authenticates_nobody() {
    let mut empty = operator("salma", Role::Operator, &[]);
    empty.token = KeyHash::of(b"");
    let access = AdministrationAccess {
        operators: vec![empty],
        ..AdministrationAccess::default()
    };
    let authority = Authority::new(&access);
    assert_eq!(
        authority.admit(None, Role::Viewer),
        Err(Denial::Unauthenticated)
    );
}

/// A script that sends requests without pause must be throttled, without affecting other operators.
#[test]
fn rate_limit_applies_to_each_operator_separately() {
    let mut limiter = RateLimiter::new(10);
    let now = Timestamp::from_millis(60_000);
    let admitted = (0..100)
        .filter(|_| limiter.admit("script", now).is_ok())
        .count();
    assert_eq!(admitted, 20);
    let wait = limiter.admit("script", now).unwrap_err();
    assert_eq!(wait, Duration::from_millis(100));
    assert!(limiter.admit("salma", now).is_ok());
    assert!(limiter.admit("script", now + wait).is_ok());
}

#[test]
fn view_is_limited_to_own_teams() {
    let view = ledger_scope().view(&example_configuration());
    assert_eq!(view.customers.len(), 1);
    assert_eq!(view.services.len(), 1);
    let mut all = example_configuration();
    all.services[0].team = None;
    let view = ledger_scope().view(&all);
    assert!(view.services.is_empty());
    assert!(
        view.endpoints
            .keys()
            .all(|id| !id.as_str().starts_with("stock"))
    );
}

#[test]
fn merge_changes_own_objects_and_keeps_the_rest() {
    let current = example_configuration();
    let mut proposed = ledger_scope().view(&current);
    proposed.customers[0].weight = sesamecart_vocabulary::Weight(9);
    let id: EndpointId = parse("stock-a");
    proposed.endpoints[&id].limits.warm = sesamecart_vocabulary::Concurrency(8);
    let merged = ledger_scope().merge(&current, proposed).unwrap();
    assert_eq!(merged.customers.len(), 3);
    let changes: Vec<_> = current
        .diff(&merged)
        .iter()
        .map(ToString::to_string)
        .collect();
    assert_eq!(
        changes,
        [
            "endpoint stock-a: warm limit 32 -> 8",
            "customer harbour-pounds: weight 4 -> 9"
        ]
    );
}

/// Tests that a team's operator cannot change objects outside of its scope. If such a change were
/// accepted, one team could take another team's customers, machines or services.
macro_rules! out_of_scope_changes {
    ($($test:ident: $change:expr => $subject:literal;)*) => {$(
        #[test]
        fn $test() {
            let current = example_configuration();
            let mut proposed = ledger_scope().view(&current);
            let change: fn(&mut Configuration) = $change;
            change(&mut proposed);
            let refused = ledger_scope().merge(&current, proposed);
            assert_eq!(refused, Err(ScopeError::Others($subject.to_owned())));
        }
    )*};
}

out_of_scope_changes! {
    removes_a_group: |cfg| { cfg.groups.shift_remove_index(0); } => "group pound-a1";
    moves_a_vm: |cfg| cfg.vms[0].failure_domain = parse("muscat-b") => "VM engine-a1";
    replaces_a_customer_of_another_team: |cfg| {
        let mut other = example_configuration().customers[1].clone();
        other.team = Some(parse("ledger"));
        cfg.customers.insert(parse("sohar-pounds"), other);
    } => "customer sohar-pounds";
    assigns_a_customer_to_another_team: |cfg| cfg.customers[0].team = Some(parse("front")) =>
        "customer harbour-pounds";
    removes_the_team_of_a_service: |cfg| cfg.services[0].team = None => "endpoint stock-a";
    changes_an_engine_endpoint: |cfg| cfg.endpoints[0].checks_epoch = false => "endpoint pound-a1";
    changes_the_date: |cfg| "2026-12-04".clone_into(&mut cfg.date) => "configuration";
}

#[test]
fn team_drains_only_its_own_endpoints() {
    let cfg = example_configuration();
    assert_eq!(
        ledger_scope().check_drain(&cfg, &parse("endpoint:stock-a")),
        Ok(())
    );
    for target in [
        "endpoint:pound-a1",
        "failure-domain:muscat-a",
        "vm:ledger-a",
        "endpoint:none",
    ] {
        assert!(
            ledger_scope().check_drain(&cfg, &parse(target)).is_err(),
            "{target}"
        );
    }
    let whole = Scope::of(&operator("salma", Role::Operator, &[]));
    assert_eq!(
        whole.check_drain(&cfg, &parse("failure-domain:muscat-a")),
        Ok(())
    );
}

#[test]
fn unknown_path_and_unsupported_method_are_distinct_errors() {
    let find = |method: Method, path: &str| Route::find(&method, path);
    assert_eq!(find(Method::GET, "/v1/nothing"), Err(RouteError::Path));
    assert_eq!(find(Method::GET, "/status"), Err(RouteError::Path));
    assert_eq!(find(Method::DELETE, "/v1/status"), Err(RouteError::Method));
    assert_eq!(find(Method::GET, "/v1/drains"), Err(RouteError::Method));
    assert_eq!(
        find(Method::GET, "/v1/changes/p-1"),
        Ok(Route::Change(parse("p-1")))
    );
}

#[test]
fn whole_platform_scope_allows_every_change() {
    let whole = Scope::of(&operator("salma", Role::Operator, &[]));
    let mut proposed = example_configuration();
    proposed.services.shift_remove(&parse::<ServiceId>("stock"));
    assert_eq!(
        whole.merge(&example_configuration(), proposed.clone()),
        Ok(proposed)
    );
}
