//! Who reads the store, and whom the others follow.

use indexmap::IndexSet;

use super::{
    PeerNode, READERS, SMALL_DOMAIN, Source, WATCHED_MOST, peers_to_watch, plan_sources, readers,
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

/// Were each node to read the store for itself, the calls would grow with the nodes until the store
/// turns them away, and configurations would arrive late everywhere.
#[test]
fn the_readers_grow_with_the_failure_domains_and_not_with_the_nodes() {
    assert_eq!(readers(&fleet(3, 24)).len(), 3 * READERS);
    assert_eq!(readers(&fleet(5, 76)).len(), 5 * READERS);
    let small = fleet(3, SMALL_DOMAIN as u8);
    assert_eq!(readers(&small).len(), small.len());
}

/// A reader answers two dozen nodes. On the weakest VM that would slow its callers' requests.
#[test]
fn the_nodes_with_the_most_of_a_processor_read() {
    let mut nodes = fleet(1, 10);
    nodes[3].processor_share = 0.5;
    nodes[7].processor_share = 0.5;
    let names: Vec<String> = readers(&nodes)
        .iter()
        .map(|reader| reader.node.to_string())
        .collect();
    assert!(names.contains(&nodes[3].node.to_string()), "{names:?}");
    assert!(names.contains(&nodes[7].node.to_string()), "{names:?}");
}

/// When a reader ends, those that follow it go on with the other reader of their failure domain, and
/// with the store when both are gone.
#[test]
fn a_node_follows_its_own_failure_domain_before_the_store_and_others_after_it() {
    let nodes = fleet(3, 10);
    let read = readers(&nodes);
    let follower = nodes
        .iter()
        .find(|node| !read.contains(node))
        .expect("most follow");
    let plan = plan_sources(&follower.node, &nodes);
    assert!(!plan.is_reader);
    let near = |source: &Source| {
        let reader = read
            .iter()
            .find(|reader| *source == Source::Node(reader.links));
        reader.is_some_and(|reader| reader.failure_domain == follower.failure_domain)
    };
    assert!(plan.order[..READERS].iter().all(near), "{plan:?}");
    assert_eq!(plan.order[READERS], Source::Store);
    assert_eq!(plan.order.len(), 3 * READERS + 1);
}

/// A store that turns one node away serves the others. Without another source that node would refuse
/// its callers as soon as its configuration is too old.
#[test]
fn a_reader_that_the_store_turns_away_has_other_sources() {
    let nodes = fleet(3, 3);
    let plan = plan_sources(&nodes[0].node, &nodes);
    assert!(plan.is_reader);
    assert_eq!(plan.order[0], Source::Store);
    assert_eq!(plan.order.len(), nodes.len());
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
    assert_eq!(watched.len(), WATCHED_MOST);
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
    assert_eq!(after.len(), WATCHED_MOST);
    assert!(after.iter().all(|peer| !gone.contains(&peer.node)));
}
