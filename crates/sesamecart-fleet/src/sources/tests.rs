//! Tests which nodes read the store and which nodes the others follow.

use indexmap::IndexSet;

use sesamecart_vocabulary::NodeId;

use super::{
    MAX_WATCHED_PEERS, PeerNode, Role, Source, SourcePlan, peers_to_watch, plan_sources, readers,
    standbys,
};

fn peer(domain: u8, number: u8, processor_share: f64) -> PeerNode {
    PeerNode {
        node: format!("node-{domain}-{number}")
            .parse()
            .expect("valid name"),
        failure_domain: format!("domain-{domain}").parse().expect("valid name"),
        links: ([127, 0, domain, number], 7_000).into(),
        forwarding: None,
        processor_share,
        memory_mb: None,
    }
}

fn fleet(domains: u8, each: u8) -> Vec<PeerNode> {
    let pairs = (0..domains).flat_map(|domain| (0..each).map(move |number| (domain, number)));
    pairs
        .map(|(domain, number)| peer(domain, number, 0.25))
        .collect()
}

fn plans(nodes: &[PeerNode], role: Role) -> Vec<(&NodeId, SourcePlan)> {
    let plans = nodes
        .iter()
        .map(|peer| (&peer.node, plan_sources(&peer.node, nodes)));
    plans.filter(|(_, plan)| plan.role == role).collect()
}

/// If each node read the store itself, the calls would grow with the number of nodes until the store
/// refused them, and configurations would arrive late everywhere.
#[test]
fn readers_grow_with_failure_domains_and_not_with_nodes() {
    for (domains, each) in [(3, 2), (3, 24), (5, 76)] {
        let nodes = fleet(domains, each);
        assert_eq!(readers(&nodes).len(), usize::from(domains));
        assert_eq!(plans(&nodes, Role::Reader).len(), usize::from(domains));
        assert_eq!(standbys(&nodes).len(), usize::from(domains));
        assert_eq!(plans(&nodes, Role::Standby).len(), usize::from(domains));
    }
}

/// A reader serves dozens of nodes. On the weakest VM this would slow down its callers' requests.
#[test]
fn nodes_with_the_largest_processor_share_become_readers() {
    let mut nodes = fleet(1, 10);
    nodes[3].processor_share = 0.5;
    nodes[7].processor_share = 0.5;
    let names = [readers(&nodes), standbys(&nodes)].concat();
    let names: Vec<&NodeId> = names.iter().map(|peer| &peer.node).collect();
    assert!(names.contains(&&nodes[3].node), "{names:?}");
    assert!(names.contains(&&nodes[7].node), "{names:?}");
}

/// When a reader stops, dozens of nodes lose their source at once. If all of them read the store, it would
/// refuse them. If all of them waited for the standby, they would miss changes until it has taken over.
#[test]
fn followers_prefer_readers_of_other_domains_over_the_store() {
    let nodes = fleet(3, 10);
    let (own, plan) = plans(&nodes, Role::Follower).remove(0);
    let domain = |source: &Source| {
        let peer = nodes
            .iter()
            .find(|peer| *source == Source::Node(peer.links));
        peer.map(|peer| &peer.failure_domain)
    };
    let local = nodes.iter().find(|peer| peer.node == *own);
    let local = local.map(|peer| &peer.failure_domain);
    let is_local: Vec<bool> = plan
        .order
        .iter()
        .map(|source| domain(source) == local)
        .collect();
    assert_eq!(is_local, [true, false, false, true, false], "{plan:?}");
    assert_eq!(plan.order.last(), Some(&Source::Store));
    assert_eq!(plan.preferred, [plan.order[0], plan.order[3]]);
    let first: IndexSet<Source> = plans(&nodes, Role::Follower)
        .iter()
        .map(|(_, plan)| plan.order[1])
        .collect();
    assert!(
        first.len() > 1,
        "followers choose different readers: {first:?}"
    );
}

/// The standby reads the store as soon as its reader is gone and follows the reader again once it is back.
/// Otherwise a failure domain would keep two readers forever.
#[test]
fn the_standby_takes_over_for_its_reader() {
    let nodes = fleet(3, 10);
    for (_, plan) in plans(&nodes, Role::Standby) {
        assert_eq!(plan.order[1], Source::Store);
        assert_eq!(plan.preferred, plan.order[..1]);
    }
}

/// The store may refuse one node and serve the others. Without another source, that node would refuse its
/// callers as soon as its configuration is too old.
#[test]
fn a_reader_that_the_store_refuses_has_other_sources() {
    let nodes = fleet(3, 3);
    for (_, plan) in plans(&nodes, Role::Reader) {
        assert_eq!(plan.order[0], Source::Store);
        assert_eq!(
            plan.order.len(),
            4,
            "the store, its standby and two readers of other failure domains"
        );
    }
}

/// A node that has just started doesn't know any other nodes.
#[test]
fn a_node_without_known_peers_reads_the_store() {
    let own = "node-0-0".parse().expect("valid name");
    assert_eq!(plan_sources(&own, &[]).order, [Source::Store]);
}

/// Each node sends its loads several dozen times a second. If each of 380 nodes watched all others, the
/// links would carry more control traffic than callers' requests.
#[test]
fn watched_peers_are_limited_and_local_ones_come_first() {
    let small = fleet(2, 4);
    let none_gone = IndexSet::new();
    assert_eq!(peers_to_watch(&small[0].node, &small, &none_gone).len(), 7);
    let large = fleet(5, 76);
    let own = &large[0];
    let watched = peers_to_watch(&own.node, &large, &none_gone);
    assert_eq!(watched.len(), MAX_WATCHED_PEERS);
    let local = |peer: &&PeerNode| peer.failure_domain == own.failure_domain;
    assert!(watched.iter().all(local));
    assert!(watched.iter().all(|peer| peer.node != own.node));
}

/// A VM is replaced permanently, but its entry stays in the list. If it were still watched, its replacement
/// would not be, and nobody would know of the prompts that the replacement sends.
#[test]
fn a_gone_peer_is_replaced_by_another_one() {
    let nodes = fleet(1, 9);
    let own = &nodes[0].node;
    let before = peers_to_watch(own, &nodes, &IndexSet::new());
    let gone = IndexSet::from([before[0].node.clone()]);
    let after = peers_to_watch(own, &nodes, &gone);
    assert_eq!(after.len(), MAX_WATCHED_PEERS);
    assert!(after.iter().all(|peer| !gone.contains(&peer.node)));
}
