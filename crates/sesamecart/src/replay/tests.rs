//! Every committed trace must come out as stated, and a wrong statement must be found.

use std::path::Path;

use super::{ReplayError, replay_file, replay_text};

/// Replays whatever traces are committed, so that a new one needs no test of its own.
#[test]
fn committed_traces_come_out_as_stated() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../traces");
    let mut count = 0;
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path
            .extension()
            .is_some_and(|extension| extension == "jsonl")
        {
            let replayed = replay_file(&path);
            assert!(
                replayed.is_ok(),
                "{}: {}",
                path.display(),
                replayed.unwrap_err()
            );
            count += 1;
        }
    }
    assert!(count >= 20, "only {count} traces were found");
}

const RACE: &str = include_str!("../../../../traces/two-operators-at-once.jsonl");

/// A trace whose statement is wrong must not pass.
macro_rules! wrong {
    ($($name:ident: $from:literal, $to:literal;)*) => {$(
        #[test]
        fn $name() {
            assert!(RACE.contains($from));
            let replayed = replay_text(&RACE.replacen($from, $to, 1));
            assert!(matches!(replayed, Err(ReplayError::Differs { .. })), "{replayed:?}");
        }
    )*};
}

wrong! {
    wrong_author: "\"author\":\"salma\",\"verdicts\"", "\"author\":\"ines\",\"verdicts\"";
    wrong_verdict: "\"ines-1\":\"conflict", "\"ines-1\":\"accepted";
}

const PAUSED: &str = include_str!("../../../../traces/lease-paused-holder-returns.jsonl");

/// A statement about leases that doesn't hold must be found, too.
#[test]
fn wrong_holder() {
    let wrong = PAUSED.replace("\"acted\":[\"n3\",\"n4\"]", "\"acted\":[\"n3\"]");
    assert_ne!(wrong, PAUSED);
    assert!(matches!(
        replay_text(&wrong),
        Err(ReplayError::Differs { .. })
    ));
}

#[test]
fn trace_without_outcome_is_refused() {
    let without: Vec<_> = RACE
        .lines()
        .filter(|line| !line.contains("outcome"))
        .collect();
    assert!(matches!(
        replay_text(&without.join("\n")),
        Err(ReplayError::Line { .. })
    ));
}

#[test]
fn unknown_step_is_refused_with_its_line() {
    let text = RACE.replacen("{\"read\"", "{\"reed\"", 1);
    let error = replay_text(&text).unwrap_err().to_string();
    assert!(error.contains("unknown variant `reed`"), "{error}");
}
