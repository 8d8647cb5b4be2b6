//! The head of a group, which reads prompts and writes answers in passes.

use std::collections::VecDeque;
use std::time::Duration;

use sesamecart_fleet::{PoolSpec, TokenCounts};

use super::RequestId;

#[derive(Clone, Copy, Debug)]
struct Work {
    request: RequestId,
    unread: f64,
    unwritten: f64,
    has_started: bool,
}

/// The requests of which a pass has produced the first or the last event.
#[derive(Debug, Default)]
pub struct PassEvents {
    pub started: Vec<RequestId>,
    pub ended: Vec<RequestId>,
}

/// A head with the requests that it holds.
#[derive(Debug)]
pub struct Head {
    spec: PoolSpec,
    slots: usize,
    waiting: VecDeque<Work>,
    running: Vec<Work>,
    pub is_in_pass: bool,
}

impl Head {
    pub fn new(spec: PoolSpec, slots: u32) -> Self {
        Self {
            spec,
            slots: slots as usize,
            waiting: VecDeque::new(),
            running: Vec::new(),
            is_in_pass: false,
        }
    }

    pub fn push(&mut self, request: RequestId, tokens: TokenCounts) {
        self.waiting.push_back(Work {
            request,
            unread: tokens.prompt,
            unwritten: tokens.answer,
            has_started: false,
        });
    }

    /// Returns the number of requests in slots.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of requests that wait for a slot.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the prompt tokens that aren't read yet.
    pub fn unread_tokens(&self) -> f64 {
        let all = self.waiting.iter().chain(&self.running);
        all.map(|work| work.unread).sum()
    }

    /// Begins a pass if there is work. Returns its duration.
    pub fn begin_pass(&mut self) -> Option<Duration> {
        while self.running.len() < self.slots {
            let Some(work) = self.waiting.pop_front() else {
                break;
            };
            self.running.push(work);
        }
        if self.running.is_empty() {
            return None;
        }
        let steps = &self.spec.steps;
        let writers = self
            .running
            .iter()
            .filter(|work| work.unread <= 0.0)
            .count();
        let mut room = steps.chunk_tokens;
        for work in &mut self.running {
            let part = work.unread.min(room);
            work.unread -= part;
            room -= part;
        }
        let reading_ms = (steps.chunk_tokens - room) / steps.read_tokens_per_ms;
        let step_ms = steps.step_ms + steps.step_ms_per_answer * writers as f64;
        let pass_steps = if writers > 0 { steps.steps_per_pass } else { 1 };
        let pass_ms = self.spec.pace * (reading_ms + f64::from(pass_steps) * step_ms);
        self.is_in_pass = true;
        Some(Duration::from_secs_f64(pass_ms / 1_000.0))
    }

    /// Ends a pass: each request whose prompt is read writes the tokens of one event.
    pub fn end_pass(&mut self) -> PassEvents {
        self.is_in_pass = false;
        let tokens = f64::from(self.spec.steps.steps_per_pass);
        let mut events = PassEvents::default();
        for work in self.running.iter_mut().filter(|work| work.unread <= 0.0) {
            work.unwritten -= tokens;
            if !work.has_started {
                work.has_started = true;
                events.started.push(work.request);
            }
            if work.unwritten <= 0.0 {
                events.ended.push(work.request);
            }
        }
        self.running
            .retain(|work| work.unread > 0.0 || work.unwritten > 0.0);
        events
    }
}
