//! Tests of which node is the authority for a limit.

use std::time::Duration;

use sesamecart_vocabulary::Timestamp;

use crate::endpoint_limit::AuthorityRanking;
use crate::sources::PeerNode;

fn nodes(count: usize) -> Vec<PeerNode> {
    let nodes = (0..count).map(|index| PeerNode {
        node: format!("n{index}").parse().expect("a valid id"),
        failure_domain: format!("d{}", index % 3).parse().expect("a valid id"),
        links: "127.0.0.1:1".parse().expect("an address"),
        forwarding: None,
        processor_share: 0.25,
        memory_mb: None,
    });
    nodes.collect()
}

fn authority<'a>(
    ranking: &AuthorityRanking,
    now: Timestamp,
    endpoint: usize,
    nodes: &'a [PeerNode],
) -> &'a PeerNode {
    let endpoint = format!("e{endpoint}");
    let domain = "d1".parse().expect("a valid id");
    let authority = ranking.authority(now, &endpoint, Some(&domain), nodes);
    authority.expect("there are nodes")
}

#[test]
fn the_authority_is_in_the_failure_domain_of_the_endpoint() {
    let nodes = nodes(9);
    let ranking = AuthorityRanking::default();
    for endpoint in 0..50 {
        let chosen = authority(&ranking, Timestamp::ZERO, endpoint, &nodes);
        assert_eq!(chosen.failure_domain.as_str(), "d1");
    }
}

#[test]
fn endpoints_are_spread_over_the_nodes() {
    let nodes = nodes(380);
    let ranking = AuthorityRanking::default();
    let mut counts = indexmap::IndexMap::new();
    for endpoint in 0..660 {
        let chosen = authority(&ranking, Timestamp::ZERO, endpoint, &nodes);
        *counts.entry(chosen.node.clone()).or_insert(0) += 1;
    }
    assert!(counts.values().all(|count| *count <= 20), "{counts:?}");
}

/// The list of nodes may contain nodes that were replaced, which never answer.
#[test]
fn nodes_that_do_not_answer_are_passed_over_for_a_growing_time() {
    let nodes = nodes(9);
    let mut ranking = AuthorityRanking::default();
    let mut now = Timestamp(1_000_000_000);
    let first = authority(&ranking, now, 0, &nodes).node.clone();
    let mut last = Duration::ZERO;
    for _ in 0..5 {
        ranking.mark_unresponsive(now, &first);
        let marked_at = now;
        while authority(&ranking, now, 0, &nodes).node != first {
            now = now + Duration::from_millis(100);
        }
        let time = now.since(marked_at);
        assert!(time >= last && time <= Duration::from_secs(16), "{time:?}");
        last = time;
    }
    assert_eq!(last, Duration::from_secs(16));
    ranking.mark_responsive(&first);
    ranking.mark_unresponsive(now, &first);
    let later = now + Duration::from_millis(2_100);
    assert_eq!(authority(&ranking, later, 0, &nodes).node, first);
}

#[test]
fn without_other_nodes_the_only_one_is_the_authority() {
    let nodes = nodes(1);
    let chosen = authority(&AuthorityRanking::default(), Timestamp::ZERO, 0, &nodes);
    assert_eq!(chosen.node, nodes[0].node);
}
