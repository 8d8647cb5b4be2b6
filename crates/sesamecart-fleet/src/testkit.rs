//! Endpoints, configurations and a simulated service for tests.

use std::collections::VecDeque;
use std::time::Duration;

use sesamecart_vocabulary::{EndpointId, FabricDomainId, ModelId, ServiceId, Timestamp};

use crate::catalog::{EngineModel, EngineSpec};
use crate::directory::GroupKey;
use crate::endpoint::{Endpoint, EndpointState, GroupRole, GroupState};
use crate::number::GroupEpoch;
use crate::step_model::{StepModel, TokenCounts};

pub(crate) fn service() -> ServiceId {
    "llm".parse().expect("valid name")
}

pub(crate) fn id(text: &str) -> EndpointId {
    text.parse().expect("valid name")
}

pub(crate) fn model(text: &str) -> ModelId {
    text.parse().expect("valid name")
}

pub(crate) fn key(group: &str, epoch: u64) -> GroupKey {
    GroupKey {
        group: group.parse().expect("valid name"),
        epoch: GroupEpoch(epoch),
    }
}

/// An engine without a model. `domain` is its fabric domain; the part before the hyphen is the failure
/// domain.
pub(crate) fn engine(name: &str, domain: &str) -> Endpoint {
    let failure_domain = domain.split('-').next().expect("valid failure domain");
    Endpoint {
        id: id(name),
        address: "127.0.0.1:1".parse().expect("valid address"),
        service: service(),
        failure_domain: failure_domain.parse().expect("valid name"),
        slots: 26,
        state: EndpointState::Ready,
        cold_for: Duration::ZERO,
        incarnation: None,
        fabric_domain: Some(domain.parse::<FabricDomainId>().expect("valid name")),
        models: Vec::new(),
        staged: Vec::new(),
        group: None,
    }
}

/// Makes an engine a member of a group that serves the model `serves`.
pub(crate) fn member(
    mut engine: Endpoint,
    key: &GroupKey,
    rank: usize,
    state: GroupState,
    serves: &str,
) -> Endpoint {
    engine.models = vec![model(serves)];
    engine.staged = vec![model(serves)];
    engine.group = Some(GroupRole {
        group: key.group.clone(),
        epoch: key.epoch,
        rank,
        state,
    });
    engine
}

pub(crate) fn engine_model(name: &str, size: usize, share: f64, load_s: u64) -> EngineModel {
    EngineModel {
        model: model(name),
        group_size: size,
        share,
        pace: 1.0,
        load_time: Duration::from_secs(load_s),
        warm_time: Duration::from_millis(100 * load_s),
    }
}

pub(crate) fn steps() -> StepModel {
    StepModel {
        step_ms: 6.0,
        step_ms_per_answer: 0.09,
        read_tokens_per_ms: 50.0,
        chunk_tokens: 2_048.0,
        steps_per_pass: 5,
        mean: TokenCounts {
            prompt: 800.0,
            answer: 150.0,
        },
    }
}

/// A large model with groups of four engines and a small one with groups of three, with about equal load.
pub(crate) fn spec() -> EngineSpec {
    EngineSpec {
        slots: 26,
        models: vec![
            engine_model("large", 4, 0.57, 16),
            engine_model("small", 3, 0.43, 12),
        ],
        loads_per_s: 4.5,
        loads_at_once: 6,
        steps: Some(steps()),
        kv_capacity_tokens: None,
    }
}

/// A large model with groups of sixteen engines and a small one with groups of four, with equal load.
pub(crate) fn spec_of_sixteen() -> EngineSpec {
    EngineSpec {
        models: vec![
            engine_model("large", 16, 0.5, 16),
            engine_model("small", 4, 0.5, 12),
        ],
        loads_per_s: 18.0,
        loads_at_once: 27,
        ..spec()
    }
}

/// A simulated service with a fixed number of slots, in which each request takes the same time.
#[derive(Debug)]
pub(crate) struct Slots {
    slots: usize,
    request_time: Duration,
    ends: VecDeque<Timestamp>,
}

impl Slots {
    pub(crate) fn new(slots: usize, request_time: Duration) -> Self {
        Self {
            slots,
            request_time,
            ends: VecDeque::new(),
        }
    }

    /// Returns the requests per slot.
    pub(crate) fn load(&mut self, now: Timestamp) -> f64 {
        while self.ends.front().is_some_and(|end| *end <= now) {
            self.ends.pop_front();
        }
        self.ends.len() as f64 / self.slots as f64
    }

    /// Takes a request if a slot is free. Returns whether one was free.
    pub(crate) fn take(&mut self, now: Timestamp) -> bool {
        let has_free_slot = self.load(now) < 1.0;
        if has_free_slot {
            self.ends.push_back(now + self.request_time);
        }
        has_free_slot
    }
}
