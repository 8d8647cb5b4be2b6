//! Streams that engines break, mix up and end early.

use std::io::Read as _;

use serde_json::{Value, json};
use sesamecart_standins::{EngineFaults, answer_text};

use crate::setup::{Deployment, wait_until};

const TOKENS: u64 = 24;
const PROMPT: &str = "how are the lobsters in tank four";

fn body(stream: bool) -> String {
    json!({
        "model": "assistant", "stream": stream, "max_tokens": TOKENS,
        "messages": [{ "role": "user", "content": PROMPT }],
    })
    .to_string()
}

/// Returns the text of a stream's events, whether it ended in good order, and its ids.
fn read(text: &str) -> (String, bool, Vec<String>) {
    let mut got = String::new();
    let mut ids = Vec::new();
    let mut done = false;
    for data in text.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if data == "[DONE]" {
            done = true;
            continue;
        }
        let event: Value = serde_json::from_str(data).expect("an event is JSON");
        got.push_str(
            event["choices"][0]["delta"]["content"]
                .as_str()
                .unwrap_or_default(),
        );
        ids.extend(event["id"].as_str().map(str::to_owned));
    }
    ids.dedup();
    (got, done, ids)
}

/// Engines fail a stream in one way, one of them always and the other never; the caller must get the
/// whole answer, each token once, under one id.
macro_rules! streams_are_whole {
    ($($name:ident: $fault:ident;)*) => {$(
        #[test]
        fn $name() {
            let deployment = Deployment::start(false);
            deployment.engines[0].set_faults(EngineFaults {
                $fault: 1.0,
                ..EngineFaults::default()
            });
            // Another request first, so that there is one to mix up with.
            let other = body(true).replace("four", "five");
            deployment.call(0, "POST", "/v1/chat/completions", "", &other);
            for _ in 0..4 {
                let answer = deployment.call(0, "POST", "/v1/chat/completions", "", &body(true));
                let (text, done, ids) = read(&answer.body);
                assert_eq!(text, answer_text(PROMPT, TOKENS), "{answer:?}");
                assert!(done, "{answer:?}");
                assert_eq!(ids.len(), 1, "{ids:?}");
            }
        }
    )*};
}

streams_are_whole! {
    broken_stream_goes_on_elsewhere: broken;
    stream_that_ends_early_goes_on_elsewhere: ended_early;
    crossed_stream_is_asked_for_again: crossed;
    foreign_tokens_are_left_out: foreign_events;
    doubled_tokens_are_left_out: doubled_events;
    refused_stream_goes_elsewhere: refused;
}

/// Every engine breaks every stream. The caller must learn that its answer isn't whole; a stream that
/// just stopped would look like a short answer.
#[test]
fn stream_that_nobody_can_finish_ends_with_an_error() {
    let deployment = Deployment::start(false);
    for engine in &deployment.engines {
        engine.set_faults(EngineFaults {
            broken: 1.0,
            ..EngineFaults::default()
        });
    }
    let answer = deployment.call(0, "POST", "/v1/chat/completions", "", &body(true));
    let (text, done, _) = read(&answer.body);
    let right = answer_text(PROMPT, TOKENS);
    assert!(right.starts_with(&text), "{answer:?}");
    assert!(
        done && text == right || answer.body.contains("\"outcome\":\"unknown\""),
        "{answer:?}"
    );
}

/// An engine puts another request's whole answer under the right header. A caller would read somebody
/// else's conversation.
#[test]
fn crossed_whole_answer_is_asked_for_again() {
    let deployment = Deployment::start(false);
    deployment.engines[0].set_faults(EngineFaults {
        crossed: 1.0,
        ..EngineFaults::default()
    });
    deployment.call(
        0,
        "POST",
        "/v1/chat/completions",
        "",
        &body(false).replace("four", "five"),
    );
    for _ in 0..6 {
        let answer = deployment.call(0, "POST", "/v1/chat/completions", "", &body(false));
        assert!(
            answer.body.contains(&answer_text(PROMPT, TOKENS)),
            "{answer:?}"
        );
    }
}

/// A caller closes its connection in the middle of a long answer. The engine's place must become
/// free, or a few impatient callers would fill it with answers that nobody reads.
#[test]
fn engine_is_free_when_the_caller_leaves() {
    let deployment = Deployment::start(false);
    let long = body(true).replace("\"max_tokens\":24", "\"max_tokens\":1000000");
    let mut stream = deployment.send(0, "POST", "/v1/chat/completions", "", &long);
    let mut first = [0; 64];
    stream.read_exact(&mut first).expect("the answer begins");
    assert!(first.starts_with(b"HTTP/1.1 200"), "the stream was refused");
    drop(stream);
    wait_until("a free engine", || {
        deployment
            .engines
            .iter()
            .all(|engine| engine.counts().running == 0)
    });
    let cancelled = deployment
        .engines
        .iter()
        .map(|engine| engine.counts().cancelled);
    assert_eq!(cancelled.sum::<u64>(), 1);
}

/// A caller stops reading and keeps its connection. What the node holds for it must stay bounded, so
/// the engine is held back instead of running far ahead.
#[test]
fn slow_caller_holds_the_engine_back() {
    let deployment = Deployment::start(false);
    let tokens = 400_000;
    let long = body(true).replace("\"max_tokens\":24", &format!("\"max_tokens\":{tokens}"));
    let mut stream = deployment.send(0, "POST", "/v1/chat/completions", "", &long);
    let mut first = [0; 64];
    stream.read_exact(&mut first).expect("the answer begins");
    assert!(first.starts_with(b"HTTP/1.1 200"), "the stream was refused");
    let made = || {
        deployment
            .engines
            .iter()
            .map(|engine| engine.counts().tokens)
            .sum::<u64>()
    };
    let mut before = 0;
    wait_until("a stop of the engine", || {
        let now = made();
        std::thread::sleep(std::time::Duration::from_millis(250));
        now > 0 && now == made()
    });
    before += made();
    assert!(
        before < tokens,
        "the engine made all {tokens} tokens for nobody"
    );
    drop(stream);
}
