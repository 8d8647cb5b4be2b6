//! Choices by news of all heads that are some time old.

use std::collections::VecDeque;
use std::time::Duration;

use sesamecart_vocabulary::Timestamp;

use super::Arrival;
use super::decider::{Traffic, Verdict};
use super::news::{HeadNews, History};
use super::shape::Shape;

/// The largest random addition to a predicted start, so that nodes with the same news don't choose alike.
const MAX_JITTER_MS: f64 = 3.0;

/// The encoded size of what a message tells of one head.
const HEAD_BYTES: f64 = 16.0;

/// The size of a message without what it tells of heads.
const MESSAGE_BYTES: f64 = 60.0;

/// How a head is chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Selection {
    BestOf(usize),
    BestWithOwnSends,
    WeightedByRoom,
}

/// What a node knows of its own request after the news.
#[derive(Clone, Copy, Debug)]
struct OwnChange {
    at: Timestamp,
    head: usize,
    requests: f64,
    unread_tokens: f64,
}

/// Nodes that hear of all heads.
#[derive(Debug)]
pub struct AgedNews {
    selection: Selection,
    shape: Shape,
    age: Duration,
    own: Vec<VecDeque<OwnChange>>,
    rng: fastrand::Rng,
}

impl AgedNews {
    pub fn new(selection: Selection, shape: &Shape, age: Duration, seed: u64) -> Self {
        Self {
            selection,
            shape: *shape,
            age,
            own: vec![VecDeque::new(); shape.nodes],
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    pub fn choose(&mut self, now: Timestamp, arrival: &Arrival, history: &History) -> Verdict {
        let known_at = now - self.age;
        let news = history.at(known_at).cloned();
        let mut news = news.unwrap_or_else(|| vec![HeadNews::default(); self.shape.heads]);
        if !matches!(self.selection, Selection::BestOf(_)) {
            self.add_own(&mut news, arrival.node, known_at);
        }
        let prompt = arrival.tokens.prompt;
        let head = match self.selection {
            Selection::BestOf(count) => {
                let drawn: Vec<usize> = (0..count)
                    .map(|_| self.rng.usize(..self.shape.heads))
                    .collect();
                self.best(&news, prompt, drawn)
            }
            Selection::BestWithOwnSends => self.best(&news, prompt, 0..self.shape.heads),
            Selection::WeightedByRoom => self.weighted(&news, prompt),
        };
        Verdict::Send(head)
    }

    fn add_own(&mut self, news: &mut [HeadNews], node: usize, known_at: Timestamp) {
        let own = &mut self.own[node];
        while own.front().is_some_and(|change| change.at <= known_at) {
            own.pop_front();
        }
        for change in own {
            let head = &mut news[change.head];
            head.requests = (head.requests + change.requests).max(0.0);
            head.unread_tokens = (head.unread_tokens + change.unread_tokens).max(0.0);
        }
    }

    fn best(
        &mut self,
        news: &[HeadNews],
        prompt: f64,
        heads: impl IntoIterator<Item = usize>,
    ) -> usize {
        let mut best = (f64::INFINITY, 0);
        for head in heads {
            let start_ms = predicted_start_ms(&self.shape, news[head], prompt);
            let score = start_ms + self.rng.f64() * MAX_JITTER_MS;
            if score < best.0 {
                best = (score, head);
            }
        }
        best.1
    }

    fn weighted(&mut self, news: &[HeadNews], prompt: f64) -> usize {
        let target_ms = self.shape.target.as_secs_f64() * 1_000.0;
        let slots = f64::from(self.shape.slots);
        let weight = |head: &HeadNews| {
            let free = (1.0 - head.requests / slots).max(0.0);
            let spare = 1.0 - predicted_start_ms(&self.shape, *head, prompt) / target_ms;
            free * spare.max(0.0)
        };
        let weights: Vec<f64> = news.iter().map(weight).collect();
        let total: f64 = weights.iter().sum();
        if total <= 0.0 {
            return self.best(news, prompt, 0..self.shape.heads);
        }
        let mut draw = self.rng.f64() * total;
        let drawn = weights.iter().position(|weight| {
            draw -= weight;
            draw < 0.0
        });
        drawn.unwrap_or(0)
    }

    pub fn record_sent(&mut self, now: Timestamp, arrival: &Arrival, head: usize) {
        self.push(now, arrival.node, head, 1.0, arrival.tokens.prompt);
    }

    pub fn record_start(&mut self, now: Timestamp, arrival: &Arrival, head: usize) {
        self.push(now, arrival.node, head, 0.0, -arrival.tokens.prompt);
    }

    pub fn record_end(&mut self, now: Timestamp, arrival: &Arrival, head: usize) {
        self.push(now, arrival.node, head, -1.0, 0.0);
    }

    fn push(&mut self, at: Timestamp, node: usize, head: usize, requests: f64, tokens: f64) {
        self.own[node].push_back(OwnChange {
            at,
            head,
            requests,
            unread_tokens: tokens,
        });
    }

    /// Each node tells one other node its requests, and is told the sums, in every round.
    pub fn traffic(shape: &Shape, rounds: f64) -> Traffic {
        let nodes = shape.nodes as f64;
        let told = shape.heads as f64 * HEAD_BYTES;
        Traffic {
            messages: 2.0 * nodes * rounds,
            bytes: 2.0 * nodes * rounds * (MESSAGE_BYTES + told),
        }
    }
}

/// Returns the time after which a head would write the first event of a prompt.
fn predicted_start_ms(shape: &Shape, head: HeadNews, prompt: f64) -> f64 {
    let steps = &shape.spec.steps;
    let slots = f64::from(shape.slots);
    let running = head.requests.min(slots);
    let step_ms = steps.step_ms + steps.step_ms_per_answer * running;
    let pass_ms = f64::from(steps.steps_per_pass) * step_ms;
    let tokens = head.unread_tokens + prompt;
    let passes = (tokens / steps.chunk_tokens).max(1.0);
    let reading_ms = tokens / steps.read_tokens_per_ms + passes * pass_ms;
    let answer_passes = steps.mean.answer / f64::from(steps.steps_per_pass);
    let beyond_slots = (head.requests + 1.0 - slots).max(0.0);
    let slot_ms = beyond_slots / slots * answer_passes * pass_ms;
    shape.spec.pace * (reading_ms + slot_ms)
}
