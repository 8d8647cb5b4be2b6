//! Measures how long it takes to apply the reports of all nodes about crashes, and how large they are.
//!
//! Run it with `cargo run --release -p sesamecart-fleet --example crashes`.

use std::time::Instant;

use sesamecart_fleet::{
    CrashReport, CrashTracker, CrashedRun, EndpointCrash, Incarnation, SuspectedPart, Suspicion,
};
use sesamecart_vocabulary::{Fingerprint, NodeId, PromptPartId, RequestIdentity, Timestamp};

/// The number of repetitions, of which the median is printed.
const REPETITIONS: usize = 50;

/// Numbers of nodes, of the runs that each may report, and of the parts of each prompt.
const SIZES: [(usize, usize, usize); 6] = [
    (7, 109, 0),
    (71, 10, 0),
    (380, 2, 0),
    (7, 109, 3),
    (7, 109, 20),
    (380, 2, 20),
];

/// The number of different parts.
const DIFFERENT_PARTS: usize = 400;

fn report(node: usize, runs: usize, parts: usize) -> CrashReport {
    let runs = (0..runs).map(|index| CrashedRun {
        request: Fingerprint::of(&RequestIdentity {
            customer: Some("customer"),
            host: "host.example",
            method: "POST",
            target: "/chat/1",
            body: format!("{node} {index}").as_bytes(),
        }),
        crash: EndpointCrash {
            endpoint: format!("i-{:010}", index % 40)
                .parse()
                .expect("a valid name"),
            incarnation: Some(Incarnation(1_700_000_000_000)),
        },
        suspicion: Suspicion::default(),
        ran_ms: 80,
        parts: (0..parts)
            .map(|part| {
                let number = (node * 31 + index * 7 + part * 13) % DIFFERENT_PARTS;
                SuspectedPart {
                    part: Fingerprint::of_prompt_part(PromptPartId(number as u128)),
                    suspicion: Suspicion::default(),
                }
            })
            .collect(),
        customer: None,
    });
    CrashReport {
        runs: runs.collect(),
        ..CrashReport::default()
    }
}

fn main() {
    println!(
        "nodes | runs a node | parts of a prompt | bytes of a report | bytes of all | apply all, ms"
    );
    for (nodes, runs, parts) in SIZES {
        let reports: Vec<(NodeId, CrashReport)> = (0..nodes)
            .map(|node| {
                (
                    format!("node-{node}").parse().expect("a valid name"),
                    report(node, runs, parts),
                )
            })
            .collect();
        let bytes = serde_json::to_vec(&reports[0].1).map_or(0, |json| json.len());
        let mut times: Vec<f64> = (0..REPETITIONS)
            .map(|_| {
                let mut tracker = CrashTracker::default();
                let reports = reports.iter().cloned();
                let reports: Vec<_> = reports.map(|(node, report)| (node, Some(report))).collect();
                let started_at = Instant::now();
                tracker.apply_peers(Timestamp(1), reports);
                started_at.elapsed().as_secs_f64() * 1_000.0
            })
            .collect();
        times.sort_by(f64::total_cmp);
        let median = times[REPETITIONS / 2];
        println!(
            "{nodes} | {runs} | {parts} | {bytes} | {} | {median:.2}",
            bytes * nodes
        );
    }
}
