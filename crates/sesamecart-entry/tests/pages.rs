//! Checks that the operators' pages document all log events and metrics.

use sesamecart_entry::Metrics;

const LOGS: &str = include_str!("../../../docs/logs.md");
const METRICS: &str = include_str!("../../../docs/metrics.md");
const EVENTS: &str = include_str!("../src/events.rs");

/// Returns the names of the events, as they are written to the log, with their fields.
fn events() -> Vec<(String, Vec<String>)> {
    let start = EVENTS
        .find("pub enum Event<'a> {")
        .expect("the file defines the events");
    let body = &EVENTS[start..];
    let end = body.find("\n}").expect("the enum ends");
    let mut events: Vec<(String, Vec<String>)> = Vec::new();
    for line in body[..end].lines().skip(1) {
        if let Some(name) = line
            .strip_prefix("    ")
            .and_then(|line| line.strip_suffix(" {"))
        {
            events.push((snake_case(name), Vec::new()));
        } else if let Some((field, _)) = line.trim().split_once(": ")
            && !line.trim().starts_with('/')
        {
            let (_, fields) = events.last_mut().expect("fields follow a name");
            fields.push(field.to_owned());
        }
    }
    events
}

fn snake_case(name: &str) -> String {
    let mut snake = String::new();
    for c in name.chars() {
        if c.is_ascii_uppercase() && !snake.is_empty() {
            snake.push('_');
        }
        snake.push(c.to_ascii_lowercase());
    }
    snake
}

#[test]
fn every_event_and_field_is_documented() {
    let events = events();
    assert!(events.len() > 20, "{events:?}");
    for (name, fields) in events {
        let row = LOGS
            .lines()
            .find(|line| line.starts_with(&format!("| `{name}` |")));
        let row = row.unwrap_or_else(|| panic!("{name} isn't documented"));
        for field in fields {
            assert!(
                row.contains(&format!("`{field}`")),
                "{name}: {field} isn't documented"
            );
        }
    }
}

#[test]
fn every_metric_is_documented() {
    let metrics = Metrics::new().expect("the metrics register");
    let text = String::from_utf8(metrics.render().expect("the metrics encode"))
        .expect("the output is UTF-8");
    let types = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    let names: Vec<&str> = types.filter_map(|line| line.split(' ').next()).collect();
    let own = names.iter().filter(|name| name.starts_with("sesamecart_"));
    assert_eq!(
        own.clone().count(),
        26,
        "all counters exist from the start: {names:?}"
    );
    for name in own {
        assert!(
            METRICS.contains(&format!("| `{name}` |")),
            "{name} isn't documented"
        );
    }
}
