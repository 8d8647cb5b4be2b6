use std::time::Instant;

use log::{Level, Record};

use super::{LineRate, MAX_LINES_PER_WINDOW, RATE_LIMIT_WINDOW, RateDecision, json_line};

/// While an endpoint is down, every request logs the same line. The log must show that the failures
/// continue, without thousands of copies of the line.
#[test]
fn repeated_lines_are_suppressed_and_counted() {
    let start = Instant::now();
    let mut rate = LineRate {
        window_start: start,
        lines: 0,
    };
    for _ in 0..MAX_LINES_PER_WINDOW {
        assert_eq!(rate.count_line(start), RateDecision::Write);
    }
    for _ in 0..7 {
        assert_eq!(rate.count_line(start), RateDecision::Suppress);
    }
    assert_eq!(
        rate.count_line(start + RATE_LIMIT_WINDOW),
        RateDecision::WriteAfterNote(7)
    );
    assert_eq!(
        rate.count_line(start + RATE_LIMIT_WINDOW),
        RateDecision::Write
    );
}

#[test]
fn json_line_has_prefix_in_separate_field() {
    let line = json_line(
        &Record::builder()
            .level(Level::Warn)
            .args(format_args!("follower: the log is out."))
            .build(),
    );
    let value: serde_json::Value = serde_json::from_str(&line).expect("a JSON line");
    assert_eq!(value["part"], "follower");
    assert_eq!(value["message"], "the log is out.");
    assert_eq!(value["level"], "WARN");
}
