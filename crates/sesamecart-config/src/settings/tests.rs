use std::path::Path;

use sesamecart_property::check_property;

use super::Settings;

fn parse(decisions: &str) -> Result<Settings, String> {
    let text = format!(
        r#"{{"node": "node-1", "failure_domain": "muscat-a", "region": "muscat",
            "callers": "127.0.0.1:1", "administration": "127.0.0.1:2", "links": "127.0.0.1:3",
            "log": {{"address": "127.0.0.1:4"}}, "decisions": {decisions}}}"#
    );
    Settings::parse(Path::new("node.json"), &text).map_err(|error| error.to_string())
}

macro_rules! decisions {
    ($($name:ident: $text:literal, $error:expr;)*) => {$(
        #[test]
        fn $name() {
            let expected: Option<&str> = $error;
            let error = parse($text).err();
            assert_eq!(error.is_some(), expected.is_some(), "{error:?}");
            for (error, part) in error.iter().zip(expected) {
                assert!(error.contains(part), "{error}");
            }
        }
    )*};
}

decisions! {
    no_threshold_is_given: "{}", None;
    one_threshold_is_given: r#"{"allowance": {"growth": 1.3}}"#, None;
    a_threshold_is_out_of_range: r#"{"allowance": {"growth": 9.0}}"#, Some("allowance.growth: 9 must be from 1.01 to 4");
    a_threshold_is_unknown: r#"{"allowance": {"grwoth": 1.3}}"#, Some("grwoth");
}

/// Operators write settings by hand and by scripts that break them. Whatever stands in the file, the
/// node must end with an error that names it and never with a panic.
#[test]
fn any_text_is_settings_or_an_error_that_names_the_file() {
    let whole = serde_json::json!({
        "node": "node-1", "failure_domain": "muscat-a", "region": "muscat",
        "callers": "127.0.0.1:1", "administration": "127.0.0.1:2", "links": "127.0.0.1:3",
        "log": { "address": "127.0.0.1:4", "poll_ms": 200 }, "traffic_threads": 2,
    })
    .to_string();
    let path = std::path::Path::new("node-1.json");
    check_property(
        bolero::produce::<(u16, u16, Vec<u8>)>(),
        |(from, length, written)| {
            let mut bytes = whole.clone().into_bytes();
            let from = usize::from(*from) % bytes.len();
            let to = (from + usize::from(*length) % 24).min(bytes.len());
            bytes.splice(from..to, written.iter().copied().take(24));
            let text = String::from_utf8_lossy(&bytes);
            if let Err(error) = super::Settings::parse(path, &text) {
                assert!(error.to_string().starts_with("node-1.json: "), "{error}");
            }
        },
    );
}

macro_rules! wrong_settings {
    ($($name:ident: $field:literal = $value:expr => $expected:literal;)*) => {$(
        #[test]
        fn $name() {
            let mut whole = serde_json::json!({
                "node": "node-1", "failure_domain": "muscat-a", "region": "muscat",
                "callers": "127.0.0.1:1", "administration": "127.0.0.1:2", "links": "127.0.0.1:3",
                "log": { "address": "127.0.0.1:4" },
            });
            whole[$field] = $value;
            let parsed = Settings::parse(Path::new("node-1.json"), &whole.to_string());
            let error = parsed.expect_err("the settings can't be used").to_string();
            assert!(error.starts_with($expected), "{error}");
        }
    )*};
}

wrong_settings! {
    wrong_address_is_named: "callers" = "300.0.0.1:80".into()
        => "node-1.json: callers: \"300.0.0.1:80\": ";
    wrong_address_of_the_log_is_named: "log" = serde_json::json!({ "address": "here" })
        => "node-1.json: log.address: \"here\": ";
    unknown_field_is_named: "colour" = 3.into() => "node-1.json: colour: 3: unknown field";
    wrong_peer_is_named: "peers" = serde_json::json!([{ "node": "node-2", "address": 5, "failure_domain": "a" }])
        => "node-1.json: peers[0].address: 5: ";
    own_name_among_peers_is_named:
        "peers" = serde_json::json!([{ "node": "node-1", "address": "127.0.0.1:5", "failure_domain": "a" }])
        => "node-1.json: peers: node-1: ";
    address_that_stands_twice_is_named: "links" = "127.0.0.1:1".into()
        => "node-1.json: links: 127.0.0.1:1: ";
}
