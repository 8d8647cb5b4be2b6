//! Tests of who may do what, and of the API's description against its messages.

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

const DESCRIPTION: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/openapi.json");

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
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

/// The example day, with the stock service and a customer given to the team `ledger`.
fn day() -> Configuration {
    let sheet = include_bytes!("../../../examples/day.csv");
    let inventory = include_str!("../../../examples/inventory.json");
    let mut inventory: Inventory = serde_json::from_str(inventory).unwrap();
    inventory.services[0].team = Some(name("ledger"));
    inventory.customers[0].team = Some(name("ledger"));
    import_sheet(sheet, &inventory).configuration
}

fn ledger() -> Scope {
    Scope::of(&operator("ines", Role::Operator, &["ledger"]))
}

/// Run `UPDATE_OPENAPI=1 cargo test -p sesamecart-administration` after a change of the API.
#[test]
fn committed_description_is_in_step() {
    let text = format!("{}\n", serde_json::to_string_pretty(&openapi()).unwrap());
    if std::env::var_os("UPDATE_OPENAPI").is_some() {
        std::fs::write(DESCRIPTION, &text).unwrap();
    }
    let committed = std::fs::read_to_string(DESCRIPTION).unwrap();
    assert!(
        text == committed,
        "docs/openapi.json is out of step with the API"
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

/// A message's JSON must have the fields that its schema names, and no other.
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
        target: name("vm:ledger-a"),
        author: "salma".to_owned(),
        at_ms: 4,
        state: DrainState::Logged,
    }
}

fn node() -> NodeReply {
    NodeReply {
        node: name("n1"),
        failure_domain: name("muscat-a"),
        state: NodeState::Reachable,
        revision: None,
        next_offset: None,
    }
}

schemas! {
    verdict_is_described: "Verdict", accepted();
    change_is_described: "ChangeReply", ChangeReply {
        publish_id: name("p-1"),
        outcome: ChangeOutcome::Decided(accepted()),
    };
    node_is_described: "NodeReply", node();
    drain_is_described: "DrainReply", drain();
    status_is_described: "StatusReply", StatusReply {
        node: name("n1"),
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
    let mut cfg = day();
    cfg.sheet = 0;
    cfg.check().remove(0).into()
}

/// Tokens and roles decide who gets in.
macro_rules! admissions {
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

admissions! {
    known_token: Some("Bearer token-of-salma"), Role::Operator => Ok("salma"),
    scheme_in_lower_case: Some("bearer token-of-omar"), Role::OnCall => Ok("omar"),
    low_role: Some("Bearer token-of-omar"), Role::Operator => Err(Denial::Role { .. }),
    unknown_token: Some("Bearer guess"), Role::Viewer => Err(Denial::Unauthenticated),
    hash_in_place_of_token: Some("Bearer 0"), Role::Viewer => Err(Denial::Unauthenticated),
    other_scheme: Some("Basic token-of-salma"), Role::Viewer => Err(Denial::Unauthenticated),
    empty_token: Some("Bearer "), Role::Viewer => Err(Denial::Unauthenticated),
    no_header: None, Role::Viewer => Err(Denial::Unauthenticated),
}

/// An operator whose settings hold the hash of nothing must not be whoever sends no token.
#[test]
fn hash_of_an_empty_token_admits_nobody() {
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

/// A script asks without pause. It must be slowed down, while another operator isn't.
#[test]
fn one_operator_cannot_take_all_requests() {
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
fn team_sees_its_own_part() {
    let view = ledger().view(&day());
    assert_eq!(view.customers.len(), 1);
    assert_eq!(view.services.len(), 1);
    let mut all = day();
    all.services[0].team = None;
    let view = ledger().view(&all);
    assert!(view.services.is_empty());
    assert!(
        view.endpoints
            .keys()
            .all(|id| !id.as_str().starts_with("stock"))
    );
}

#[test]
fn team_changes_its_own_part_and_keeps_the_rest() {
    let current = day();
    let mut proposed = ledger().view(&current);
    proposed.customers[0].weight = sesamecart_vocabulary::Weight(9);
    let id: EndpointId = name("stock-a");
    proposed.endpoints[&id].limits.warm = sesamecart_vocabulary::Concurrency(8);
    let merged = ledger().merge(&current, proposed).unwrap();
    assert_eq!(merged.customers.len(), 3);
    let words: Vec<_> = current
        .diff(&merged)
        .iter()
        .map(ToString::to_string)
        .collect();
    assert_eq!(
        words,
        [
            "endpoint stock-a: warm limit 32 -> 8",
            "customer harbour-pounds: weight 4 -> 9"
        ]
    );
}

/// A team's operator sends a configuration that reaches into what belongs to others. Without the
/// refusal, one team could take another's customers, machines or service.
macro_rules! intrusions {
    ($($test:ident: $change:expr => $subject:literal;)*) => {$(
        #[test]
        fn $test() {
            let current = day();
            let mut proposed = ledger().view(&current);
            let change: fn(&mut Configuration) = $change;
            change(&mut proposed);
            let refused = ledger().merge(&current, proposed);
            assert_eq!(refused, Err(ScopeError::Others($subject.to_owned())));
        }
    )*};
}

intrusions! {
    takes_a_group_apart: |cfg| { cfg.groups.shift_remove_index(0); } => "group pound-a1";
    moves_a_vm: |cfg| cfg.vms[0].failure_domain = name("muscat-b") => "VM engine-a1";
    takes_over_a_customer: |cfg| {
        let mut other = day().customers[1].clone();
        other.team = Some(name("ledger"));
        cfg.customers.insert(name("sohar-pounds"), other);
    } => "customer sohar-pounds";
    makes_a_customer_of_another_team: |cfg| cfg.customers[0].team = Some(name("front")) =>
        "customer harbour-pounds";
    gives_its_service_away: |cfg| cfg.services[0].team = None => "endpoint stock-a";
    changes_an_engine: |cfg| cfg.endpoints[0].checks_epoch = false => "endpoint pound-a1";
    changes_the_date: |cfg| "2026-12-04".clone_into(&mut cfg.date) => "configuration";
}

#[test]
fn team_drains_only_its_own_endpoints() {
    let cfg = day();
    assert_eq!(
        ledger().check_drain(&cfg, &name("endpoint:stock-a")),
        Ok(())
    );
    for target in [
        "endpoint:pound-a1",
        "failure-domain:muscat-a",
        "vm:ledger-a",
        "endpoint:none",
    ] {
        assert!(
            ledger().check_drain(&cfg, &name(target)).is_err(),
            "{target}"
        );
    }
    let whole = Scope::of(&operator("salma", Role::Operator, &[]));
    assert_eq!(
        whole.check_drain(&cfg, &name("failure-domain:muscat-a")),
        Ok(())
    );
}

#[test]
fn unknown_paths_and_methods_are_told_apart() {
    let find = |method: Method, path: &str| Route::find(&method, path);
    assert_eq!(find(Method::GET, "/v1/nothing"), Err(RouteError::Path));
    assert_eq!(find(Method::GET, "/status"), Err(RouteError::Path));
    assert_eq!(find(Method::DELETE, "/v1/status"), Err(RouteError::Method));
    assert_eq!(find(Method::GET, "/v1/drains"), Err(RouteError::Method));
    assert_eq!(
        find(Method::GET, "/v1/changes/p-1"),
        Ok(Route::Change(name("p-1")))
    );
}

#[test]
fn whole_platform_scope_changes_everything() {
    let whole = Scope::of(&operator("salma", Role::Operator, &[]));
    let mut proposed = day();
    proposed.services.shift_remove(&name::<ServiceId>("stock"));
    assert_eq!(whole.merge(&day(), proposed.clone()), Ok(proposed));
}
