use std::time::Instant;

use log::{Level, Record};

use super::{LINES_PER_WINDOW, Repeats, Verdict, WINDOW, json_line};

/// An endpoint is out and every request logs the same line. An operator who reads the log must see
/// that it goes on, but not thousands of lines of it.
#[test]
fn repeated_lines_are_left_out_and_counted() {
    let begun = Instant::now();
    let mut repeats = Repeats {
        since: begun,
        lines: 0,
    };
    for _ in 0..LINES_PER_WINDOW {
        assert_eq!(repeats.count(begun), Verdict::Write);
    }
    for _ in 0..7 {
        assert_eq!(repeats.count(begun), Verdict::LeaveOut);
    }
    assert_eq!(repeats.count(begun + WINDOW), Verdict::WriteAfter(7));
    assert_eq!(repeats.count(begun + WINDOW), Verdict::Write);
}

#[test]
fn json_line_has_the_part_apart() {
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
