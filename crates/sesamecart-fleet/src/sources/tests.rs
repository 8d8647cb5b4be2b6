//! Who reads the store, and whom the others follow.

use indexmap::IndexSet;

use sesamecart_vocabulary::NodeId;

use super::{
    MAX_WATCHED_PEERS, PeerNode, Role, Source, SourcePlan, peers_to_watch, plan_sources, readers,
    standbys,
};

fn peer(domain: u8, number: u8, processor_share: f64) -> PeerNode {
    PeerNode {
        node: format!("node-{domain}-{number}").parse().expect("a name"),
        failure_domain: format!("domain-{domain}").parse().expect("a name"),
        links: ([127, 0, domain, number], 7_000).into(),
        processor_share,
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

/// Were each node to read the store for itself, the calls would grow with the nodes until the store
/// turns them away, and configurations would arrive late everywhere.
#[test]
fn the_readers_grow_with_the_failure_domains_and_not_with_the_nodes() {
    for (domains, each) in [(3, 2), (3, 24), (5, 76)] {
        let nodes = fleet(domains, each);
        assert_eq!(readers(&nodes).len(), usize::from(domains));
        assert_eq!(plans(&nodes, Role::Reader).len(), usize::from(domains));
        assert_eq!(standbys(&nodes).len(), usize::from(domains));
        assert_eq!(plans(&nodes, Role::Standby).len(), usize::from(domains));
    }
}

/// A reader answers dozens of nodes. On the weakest VM that would slow its callers' requests.
#[test]
fn the_nodes_with_the_most_of_a_processor_read() {
    let mut nodes = fleet(1, 10);
    nodes[3].processor_share = 0.5;
    nodes[7].processor_share = 0.5;
    let names = [readers(&nodes), standbys(&nodes)].concat();
    let names: Vec<&NodeId> = names.iter().map(|peer| &peer.node).collect();
    assert!(names.contains(&&nodes[3].node), "{names:?}");
    assert!(names.contains(&&nodes[7].node), "{names:?}");
}

/// A reader ends, and dozens of nodes lose their source at once. If they all turn to the store, it
/// turns them away; if they all wait for the standby, they know of no change until it has stepped in.
#[test]
fn followers_turn_to_readers_elsewhere_and_to_the_store_last() {
    let nodes = fleet(3, 10);
    let (own, plan) = plans(&nodes, Role::Follower).remove(0);
    let domain = |source: &Source| {
        let peer = nodes
            .iter()
            .find(|peer| *source == Source::Node(peer.links));
        peer.map(|peer| &peer.failure_domain)
    };
    let near = nodes.iter().find(|peer| peer.node == *own);
    let near = near.map(|peer| &peer.failure_domain);
    let is_near: Vec<bool> = plan
        .order
        .iter()
        .map(|source| domain(source) == near)
        .collect();
    assert_eq!(is_near, [true, false, false, true, false], "{plan:?}");
    assert_eq!(plan.order.last(), Some(&Source::Store));
    assert_eq!(plan.home, [plan.order[0], plan.order[3]]);
    let first: IndexSet<Source> = plans(&nodes, Role::Follower)
        .iter()
        .map(|(_, plan)| plan.order[1])
        .collect();
    assert!(
        first.len() > 1,
        "they don't all turn to the same one: {first:?}"
    );
}

/// The standby reads the store as soon as its reader is gone, and follows it again once it is back:
/// otherwise a failure domain would keep two readers for ever.
#[test]
fn the_standby_steps_in_for_its_reader() {
    let nodes = fleet(3, 10);
    for (_, plan) in plans(&nodes, Role::Standby) {
        assert_eq!(plan.order[1], Source::Store);
        assert_eq!(plan.home, plan.order[..1]);
    }
}

/// A store that turns one node away serves the others. Without another source that node would refuse
/// its callers as soon as its configuration is too old.
#[test]
fn a_reader_that_the_store_turns_away_has_other_sources() {
    let nodes = fleet(3, 3);
    for (_, plan) in plans(&nodes, Role::Reader) {
        assert_eq!(plan.order[0], Source::Store);
        assert_eq!(
            plan.order.len(),
            4,
            "the store, its standby and two readers elsewhere"
        );
    }
}

/// A node that has just started knows nobody.
#[test]
fn a_node_that_knows_nobody_reads_the_store() {
    let own = "node-0-0".parse().expect("a name");
    assert_eq!(plan_sources(&own, &[]).order, [Source::Store]);
}

/// Each node tells its loads several dozen times a second. Were each of 380 to hear all others, the links
/// would carry more than callers' requests do.
#[test]
fn a_node_watches_so_many_others_at_most_and_near_ones_first() {
    let small = fleet(2, 4);
    let nobody = IndexSet::new();
    assert_eq!(peers_to_watch(&small[0].node, &small, &nobody).len(), 7);
    let large = fleet(5, 76);
    let own = &large[0];
    let watched = peers_to_watch(&own.node, &large, &nobody);
    assert_eq!(watched.len(), MAX_WATCHED_PEERS);
    let near = |peer: &&PeerNode| peer.failure_domain == own.failure_domain;
    assert!(watched.iter().all(near));
    assert!(watched.iter().all(|peer| peer.node != own.node));
}

/// A VM is replaced for good, and its entry stays in the list. Were it watched for ever, there would be
/// no place for the one that came for it, whose prompts nobody would know of.
#[test]
fn a_node_that_is_gone_leaves_its_place_to_another_one() {
    let nodes = fleet(1, 9);
    let own = &nodes[0].node;
    let before = peers_to_watch(own, &nodes, &IndexSet::new());
    let gone = IndexSet::from([before[0].node.clone()]);
    let after = peers_to_watch(own, &nodes, &gone);
    assert_eq!(after.len(), MAX_WATCHED_PEERS);
    assert!(after.iter().all(|peer| !gone.contains(&peer.node)));
}
