//! The text that an engine answers, which follows from the prompt alone.

use fastrand::Rng;
use serde_json::{Value, json};
use sesamecart_vocabulary::stable_hash;

/// The tokens of an answer when the request names no number.
const DEFAULT_TOKENS: u64 = 16;

/// Returns one token of the answer to a prompt, counted from 0.
///
/// It follows from the prompt, so that a checker can verify that an answer belongs to its request
/// and holds every token once.
#[must_use]
pub fn answer_token(prompt: &str, index: u64) -> String {
    token_of(stable_hash(prompt), index)
}

/// Returns the whole answer to a prompt.
#[must_use]
pub fn answer_text(prompt: &str, tokens: u64) -> String {
    let hash = stable_hash(prompt);
    (0..tokens).map(|index| token_of(hash, index)).collect()
}

/// Returns the prompt of a request's body: its messages' contents or its `prompt`.
#[must_use]
pub fn prompt_of(request: &Value) -> String {
    let Some(messages) = request.get("messages").and_then(Value::as_array) else {
        return text_of(&request["prompt"]);
    };
    let contents: Vec<_> = messages
        .iter()
        .map(|message| text_of(&message["content"]))
        .collect();
    contents.join("\n")
}

fn text_of(content: &Value) -> String {
    match content {
        Value::String(text) => text.clone(),
        Value::Array(parts) => parts.iter().map(|part| text_of(&part["text"])).collect(),
        _ => String::new(),
    }
}

fn token_of(hash: u64, index: u64) -> String {
    let mut rng = Rng::with_seed(hash.wrapping_add(index.wrapping_mul(0x9e37_79b9_7f4a_7c15)));
    format!(" {:05x}", rng.u32(..1 << 20))
}

/// Which of the callers' two shapes an answer has.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Shape {
    Chat,
    Text,
}

/// One request as the engine runs it.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) attempt: String,
    pub(crate) model: String,
    pub(crate) hash: u64,
    pub(crate) prompt_tokens: u64,
    pub(crate) tokens: u64,
    pub(crate) shape: Shape,
}

impl Job {
    pub(crate) fn new(attempt: String, path: &str, request: &Value) -> Self {
        let prompt = prompt_of(request);
        let tokens = request
            .get("max_completion_tokens")
            .or_else(|| request.get("max_tokens"))
            .and_then(Value::as_u64);
        let chat = path == "/v1/chat/completions";
        Self {
            attempt,
            model: request["model"].as_str().unwrap_or_default().to_owned(),
            hash: stable_hash(&prompt),
            prompt_tokens: (prompt.len() as u64).div_ceil(4),
            tokens: tokens.unwrap_or(DEFAULT_TOKENS),
            shape: if chat { Shape::Chat } else { Shape::Text },
        }
    }

    /// Returns the server-sent event of one token.
    ///
    /// Its `id` line is the token's position, by which a relay notices a doubled or missing token.
    pub(crate) fn event(&self, index: u64) -> String {
        let token = token_of(self.hash, index);
        let last = index + 1 >= self.tokens;
        let finish = if last {
            Value::from("length")
        } else {
            Value::Null
        };
        let (object, choice) = match self.shape {
            Shape::Chat => (
                "chat.completion.chunk",
                json!({ "index": 0, "delta": { "content": token }, "finish_reason": finish }),
            ),
            Shape::Text => (
                "text_completion",
                json!({ "index": 0, "text": token, "finish_reason": finish }),
            ),
        };
        let chunk = json!({
            "id": self.attempt, "object": object, "model": self.model, "choices": [choice],
        });
        format!("id: {index}\ndata: {chunk}\n\n")
    }

    /// Returns the whole answer.
    pub(crate) fn whole(&self) -> Value {
        let text: String = (0..self.tokens)
            .map(|index| token_of(self.hash, index))
            .collect();
        let (object, choice) = match self.shape {
            Shape::Chat => {
                let message = json!({ "role": "assistant", "content": text });
                let choice = json!({ "index": 0, "message": message, "finish_reason": "length" });
                ("chat.completion", choice)
            }
            Shape::Text => (
                "text_completion",
                json!({ "index": 0, "text": text, "finish_reason": "length" }),
            ),
        };
        json!({
            "id": self.attempt,
            "object": object,
            "model": self.model,
            "choices": [choice],
            "usage": {
                "prompt_tokens": self.prompt_tokens,
                "completion_tokens": self.tokens,
                "total_tokens": self.prompt_tokens + self.tokens,
            },
        })
    }
}
