//! Tests with up to twenty nodes and a fleet whose fabric domains are too small for one of the models.

use std::time::Duration;

use sesamecart_entry::Entry;

use crate::setup::{DEFAULT_DEADLINE, Deployment, RequestKind};

/// The number of events in a complete stream.
const EVENTS: u64 = 12;

const DOMAINS: [&str; 5] = ["a", "b", "c", "d", "e"];

fn reads(node: &Entry) -> bool {
    node.state().reads_store()
}

/// One model needs more engines than any fabric domain has, and nodes in five failure domains serve callers
/// of all models. The engines must go to the other models, or no caller would be served. Requests for the
/// large model must be refused at once instead of waiting until their deadlines. Only one node of each failure
/// domain may read the store, which would reject the reads of all nodes.
#[test]
fn twenty_nodes_serve_models_that_fit_and_refuse_those_that_do_not() {
    let deployment = Deployment::start(EVENTS);
    deployment.wait_for_groups(2);
    let others = DOMAINS.iter().flat_map(|domain| {
        let count = if *domain == "a" { 3 } else { 4 };
        deployment.add_nodes(domain, count)
    });
    let others: Vec<Entry> = others.collect();
    // The first node continues to read the store because it controls the groups, so its failure domain may
    // have no other reader.
    deployment.wait_until("one node of each failure domain reads the store", || {
        let readers = others.iter().filter(|node| reads(node)).count();
        (DOMAINS.len() - 1..=DOMAINS.len()).contains(&readers)
    });
    for (index, node) in others.iter().enumerate() {
        let served = deployment.send_request_to(
            node,
            RequestKind::Stream,
            &format!("s{index}"),
            "key-1",
            DEFAULT_DEADLINE,
        );
        assert_eq!(served.status, 200);
        let id = format!("h{index}");
        let refused = deployment.send_request_to(
            node,
            RequestKind::HugeStream,
            &id,
            "key-1",
            DEFAULT_DEADLINE,
        );
        assert_eq!(refused.status, 503);
        let after: f64 = refused
            .retry_after
            .expect("the refusal has a retry-after header")
            .parse()
            .expect("a number");
        assert!(
            after > DEFAULT_DEADLINE.as_secs_f64(),
            "no capacity becomes available before the deadline: {after}"
        );
    }
    for node in others {
        node.kill();
    }
    deployment.shut_down();
}

/// Heads stop responding while many nodes have streams on them. If each node probed all members, the engines
/// would receive hundreds of probes for one loss, and the nodes would be busy with them while callers wait.
#[test]
fn the_members_of_an_unresponsive_group_are_probed_once_for_all_nodes() {
    let deployment = Deployment::start(EVENTS);
    deployment.wait_for_groups(2);
    let others = deployment.add_nodes("a", 12);
    let heads = || {
        deployment
            .engines
            .iter()
            .filter(|engine| engine.is_open_head())
    };
    let members = || {
        deployment
            .engines
            .iter()
            .filter(|engine| !engine.is_open_head())
    };
    let before: u32 = members().map(|member| member.report_requests()).sum();
    for head in heads() {
        head.set_unresponsive(true);
    }
    std::thread::scope(|scope| {
        for (index, node) in others.iter().enumerate() {
            let (deployment, id) = (&deployment, format!("r{index}"));
            let deadline = Duration::from_millis(900);
            scope.spawn(move || {
                deployment.send_request_to(node, RequestKind::Stream, &id, "key-1", deadline)
            });
        }
    });
    let probes: u32 = members()
        .map(|member| member.report_requests())
        .sum::<u32>()
        - before;
    let per_member = probes as usize / members().count();
    assert!(
        per_member < others.len(),
        "each of {} nodes sends probes: {per_member} for each member",
        others.len()
    );
    for node in others {
        node.kill();
    }
    deployment.kill();
}
