//! Measures the duration of a planning pass by the number of engines: `cargo run --release -p
//! sesamecart-fleet --example plan`.
//!
//! The controller plans after each change of the registry, on a VM that may have only an eighth of a core.
//! docs/CAPACITY.md lists the results.

use std::time::{Duration, Instant};

use sesamecart_fleet::{
    Directory, Endpoint, EndpointState, EngineModel, EngineSpec, FencingToken, GroupCapacities,
    GroupEpoch, GroupRole, GroupState, Planner, PlannerInput,
};
use sesamecart_vocabulary::{ServiceId, Timestamp};

/// The number of plans measured for each fleet.
const ROUNDS: u32 = 50;

/// The number of engines, the engines in one fabric domain, and the group sizes of the two models.
const FLEETS: [(usize, usize, usize, usize); 6] = [
    (54, 9, 4, 3),
    (222, 37, 16, 4),
    (660, 66, 32, 8),
    (1_095, 73, 32, 8),
    (3_000, 27, 12, 6),
    (3_000, 9, 4, 3),
];

fn main() {
    for (engines, domain, large, small) in FLEETS {
        let service: ServiceId = "llm".parse().unwrap_or_else(|_| unreachable!());
        let spec = spec(large, small);
        let open = fleet(engines, domain, large, small, &service);
        let empty = fleet(engines, domain, 0, 0, &service);
        println!(
            "{engines} engines: {:?} with all groups open, {:?} at a start",
            median(&service, &spec, &open, true),
            median(&service, &spec, &empty, false),
        );
    }
}

fn median(
    service: &ServiceId,
    spec: &EngineSpec,
    directory: &Directory,
    has_traffic: bool,
) -> Duration {
    let input = PlannerInput {
        service,
        spec,
        directory,
        has_traffic,
        capacities: &GroupCapacities::default(),
        demand: None,
    };
    let mut durations: Vec<Duration> = (0..ROUNDS)
        .map(|_| {
            let mut planner = Planner::new(FencingToken(1), 0);
            let start = Instant::now();
            let steps = planner.plan(Timestamp(10_000_000), &input);
            let duration = start.elapsed();
            drop(steps);
            duration
        })
        .collect();
    durations.sort();
    durations[durations.len() / 2]
}

fn spec(large: usize, small: usize) -> EngineSpec {
    let model = |name: &str, group_size, load_s| EngineModel {
        model: name.parse().unwrap_or_else(|_| unreachable!()),
        group_size,
        share: 0.5,
        pace: 1.0,
        load_time: Duration::from_secs(load_s),
        warm_time: Duration::from_secs(1),
    };
    EngineSpec {
        slots: 22,
        models: vec![model("large", large, 16), model("small", small, 12)],
        loads_per_s: 91.0,
        loads_at_once: 136,
        steps: None,
        kv_capacity_tokens: None,
    }
}

/// Builds a fleet in which each domain serves one model in groups of the given sizes, or in which all engines
/// are empty if the sizes are 0.
fn fleet(
    engines: usize,
    domain: usize,
    large: usize,
    small: usize,
    service: &ServiceId,
) -> Directory {
    let mut directory = Directory::default();
    for index in 0..engines {
        let (number, place) = (index / domain, index % domain);
        let (model, size) = if number.is_multiple_of(2) {
            ("large", large)
        } else {
            ("small", small)
        };
        let is_member = size > 0 && place < domain / size * size;
        let group = place.checked_div(size).unwrap_or(0);
        let rank = place.checked_rem(size).unwrap_or(0);
        let role = is_member.then(|| GroupRole {
            group: format!("g{number}-{group}")
                .parse()
                .unwrap_or_else(|_| unreachable!()),
            epoch: GroupEpoch(index as u64 / size.max(1) as u64),
            rank,
            state: if rank == 0 {
                GroupState::Open
            } else {
                GroupState::Ready
            },
        });
        let held = if size > 0 {
            vec![model.parse().unwrap_or_else(|_| unreachable!())]
        } else {
            Vec::new()
        };
        let endpoint = Endpoint {
            id: format!("e{index}")
                .parse()
                .unwrap_or_else(|_| unreachable!()),
            address: ([127, 0, 0, 1], 1).into(),
            service: service.clone(),
            failure_domain: format!("f{}", number % 5)
                .parse()
                .unwrap_or_else(|_| unreachable!()),
            slots: 22,
            state: EndpointState::Ready,
            cold_for: Duration::ZERO,
            incarnation: None,
            fabric_domain: Some(
                format!("d{number}")
                    .parse()
                    .unwrap_or_else(|_| unreachable!()),
            ),
            models: held.clone(),
            staged: held,
            group: role,
        };
        directory.put(Timestamp(1), endpoint);
    }
    directory
}
