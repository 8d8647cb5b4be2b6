//! What admission is told of a request, before anything of it has run.

use std::time::Duration;

use bytes::Bytes;
use sesamecart_decisions::admission::{Request, Ticket};
use sesamecart_decisions::routing::PrefixHash;
use sesamecart_vocabulary::{Bytes as Size, RequestClass, Timestamp, Tokens, stable_hash};

use crate::traffic::caller::Caller;

/// The bytes of a body that make about one token.
const BYTES_PER_TOKEN: u64 = 4;
/// The tokens of an answer whose request names no limit.
const DEFAULT_ANSWER: u64 = 256;
/// The most tokens of an answer that are reckoned with, whatever the request allows.
///
/// Callers name limits far above the length of answers; reckoned with in full, one such request would
/// keep an engine's memory empty for itself, or fit nowhere.
const LONGEST_ANSWER: u64 = 1_024;
/// The bytes at a body's head that requests with a shared prompt have in common.
const PREFIX_BYTES: usize = 512;
/// Microseconds of an engine at its warm limit for a prompt's token, and for an answer's.
const PROMPT_TOKEN_US: u64 = 170;
const ANSWER_TOKEN_US: u64 = 30_000;
/// How long anything takes at least until its answer begins.
const BEGIN: Duration = Duration::from_millis(20);
/// A prompt's token is as much work as about this part of an answer's token.
const PROMPT_PER_ANSWER: u64 = 100;

/// How long a request waits for its turn at the most, if its caller gives it longer.
///
/// Longer than this a person has given up, and a new request would be of more use.
const fn patience(class: RequestClass) -> Duration {
    match class {
        RequestClass::Action | RequestClass::Interactive => Duration::from_secs(5),
        RequestClass::Batch => Duration::from_secs(30),
    }
}

/// When a request came and how long its caller gives it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Patience {
    pub(crate) arrived: Timestamp,
    pub(crate) limit: Duration,
}

impl Patience {
    fn deadline(self, class: RequestClass) -> Timestamp {
        self.arrived + self.limit.min(patience(class))
    }
}

/// Weighs a completion; `answer` is the most tokens that it asks for.
pub(crate) fn completion(
    caller: Caller<'_>,
    class: RequestClass,
    body: &Bytes,
    answer: Option<u64>,
    patience: Patience,
) -> Request {
    let prompt = body.len() as u64 / BYTES_PER_TOKEN;
    let answer = answer.unwrap_or(DEFAULT_ANSWER).min(LONGEST_ANSWER);
    let head = String::from_utf8_lossy(&body[..body.len().min(PREFIX_BYTES)]);
    let expected = BEGIN + Duration::from_micros(prompt * PROMPT_TOKEN_US);
    Request {
        ticket: Ticket(0),
        class,
        customer: caller.id.clone(),
        weight: caller.customer.weight,
        cost: Tokens(answer + prompt / PROMPT_PER_ANSWER + 1),
        kv: Tokens(prompt + answer),
        prefix: Some(PrefixHash(stable_hash(&head))),
        size: Size(body.len() as u64),
        deadline: patience.deadline(class),
        expected_time_to_first_byte: expected,
        expected_duration: expected + Duration::from_micros(answer.saturating_mul(ANSWER_TOKEN_US)),
    }
}

/// Weighs a plain service's request.
pub(crate) fn service(
    caller: Caller<'_>,
    class: RequestClass,
    body: &Bytes,
    patience: Patience,
) -> Request {
    Request {
        ticket: Ticket(0),
        class,
        customer: caller.id.clone(),
        weight: caller.customer.weight,
        cost: Tokens(1),
        kv: Tokens(0),
        prefix: None,
        size: Size(body.len() as u64),
        deadline: patience.deadline(class),
        expected_time_to_first_byte: BEGIN,
        expected_duration: BEGIN,
    }
}
