use std::path::Path;

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
