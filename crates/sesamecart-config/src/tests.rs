//! Steps between configurations.

use sesamecart_vocabulary::{Concurrency, EndpointId};

use crate::{ChangeRules, Configuration, Inventory, import_sheet};

fn day() -> Configuration {
    let sheet = include_bytes!("../../../examples/day.csv");
    let inventory = include_str!("../../../examples/inventory.json");
    let inventory: Inventory = serde_json::from_str(inventory).unwrap();
    import_sheet(sheet, &inventory).configuration
}

fn words(old: &Configuration, next: &Configuration) -> Vec<String> {
    let changes = old.diff(next);
    changes.iter().map(ToString::to_string).collect()
}

fn refusals(next: &Configuration, rules: ChangeRules) -> Vec<String> {
    let problems = day().check_change(next, rules);
    problems.iter().map(ToString::to_string).collect()
}

fn with(change: impl FnOnce(&mut Configuration)) -> Configuration {
    let mut cfg = day();
    cfg.sheet = 2;
    change(&mut cfg);
    cfg
}

#[test]
fn diff_tells_in_words_what_changes() {
    let next = with(|cfg| {
        let id: EndpointId = "stock-a".parse().unwrap();
        cfg.endpoints[&id].limits.warm = Concurrency(40);
        let id: EndpointId = "stock-c".parse().unwrap();
        cfg.endpoints.shift_remove(&id);
    });
    let expected = [
        "configuration: sheet 1 of 2026-12-03 -> sheet 2 of 2026-12-03",
        "endpoint stock-a: warm limit 32 -> 40",
        "endpoint stock-c: removed",
    ];
    assert_eq!(words(&day(), &next), expected);
    assert!(words(&day(), &day()).is_empty());
}

/// The planners export yesterday's sheet again, and it would replace today's without a word.
#[test]
fn old_sheet_is_refused() {
    let next = with(|cfg| "2026-12-02".clone_into(&mut cfg.date));
    let found = refusals(&next, ChangeRules::default());
    assert!(
        found[0].contains("sheet 1 of 2026-12-03 is in force already"),
        "{found:?}"
    );
}

#[test]
fn other_content_under_the_same_number_is_refused() {
    let next = with(|cfg| {
        cfg.sheet = 1;
        cfg.endpoints.shift_remove_index(0);
    });
    let found = refusals(&next, ChangeRules::default());
    assert!(found[0].contains("raise the sheet number"), "{found:?}");
}

#[test]
fn new_keys_under_the_same_number_pass() {
    let mut next = day();
    for customer in next.customers.values_mut() {
        customer.keys.clear();
    }
    assert!(refusals(&next, ChangeRules::default()).is_empty());
}

/// A sheet that lost most of its rows on export looks well formed. Callers would get refusals.
#[test]
fn capacity_drop_must_be_allowed() {
    let next = with(|cfg| {
        cfg.endpoints
            .retain(|id, _| id.as_str() == "stock-a" || !id.as_str().starts_with("stock"));
    });
    let found = refusals(&next, ChangeRules::default());
    assert!(found[0].contains("keep 32 of 96"), "{found:?}");
    let rules = ChangeRules {
        allow_capacity_drop: true,
    };
    assert!(refusals(&next, rules).is_empty());
}

#[test]
fn configuration_survives_json() {
    let text = serde_json::to_string(&day()).unwrap();
    assert_eq!(serde_json::from_str::<Configuration>(&text).unwrap(), day());
}
