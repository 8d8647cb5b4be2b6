//! Tests of the dispatcher: single decisions, and loads played at many nodes in virtual time.

use std::time::Duration;

use sesamecart_vocabulary::{EndpointId, Timestamp};

use super::{DispatchRequest, HeldRequest, PoolHead, PoolSpec, Ticket, TicketKey};
use crate::step_model::{StepModel, TokenCounts};

mod admission;
mod endpoints;
mod load;
mod overload;
mod records;
mod returns;

/// The step times of the played groups.
fn pool_spec() -> PoolSpec {
    PoolSpec {
        steps: StepModel {
            step_ms: 6.0,
            step_ms_per_answer: 0.1,
            read_tokens_per_ms: 50.0,
            chunk_tokens: 2_048.0,
            steps_per_pass: 5,
            mean: tokens(750.0, 150.0),
        },
        pace: 1.0,
        kv_capacity_tokens: Some(1_000_000.0),
    }
}

const fn tokens(prompt: f64, answer: f64) -> TokenCounts {
    TokenCounts { prompt, answer }
}

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

const fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn endpoint(index: usize) -> EndpointId {
    format!("head-{index}").parse().expect("valid name")
}

/// Returns an endpoint with 48 slots in one of three failure domains.
fn head(index: usize) -> PoolHead {
    PoolHead {
        id: endpoint(index),
        failure_domain: ["a", "b", "c"][index % 3].parse().expect("valid name"),
        slots: 48,
        cold_per_s: None,
    }
}

fn key(node: usize, ticket: u64) -> TicketKey {
    TicketKey {
        node: format!("node-{node}").parse().expect("valid name"),
        ticket: Ticket(ticket),
    }
}

/// Returns an urgent request of mean size by a caller of its own.
fn request(ticket: u64) -> DispatchRequest {
    DispatchRequest {
        key: key(0, ticket),
        fingerprint: format!("{ticket:032x}").parse().expect("valid fingerprint"),
        customer: None,
        urgency: 0,
        failure_domain: "a".parse().expect("valid name"),
        tokens: tokens(750.0, 150.0),
        latency_target: ms(300),
        waited: Duration::ZERO,
        time_left: ms(6_000),
        excluded: Vec::new(),
    }
}

/// Returns the report of an attempt that has just been sent.
fn held(key: &TicketKey, endpoint: EndpointId) -> HeldRequest {
    HeldRequest {
        key: key.clone(),
        endpoint,
        tokens: tokens(750.0, 150.0),
        age: Duration::ZERO,
        started_after: None,
    }
}
