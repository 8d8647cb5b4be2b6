//! Twenty nodes before a fleet whose fabric domains don't hold every model.

use std::time::Duration;

use sesamecart_entry::Entry;

use crate::setup::{Deployment, PATIENCE, Path};

/// The events of a whole stream.
const EVENTS: u64 = 12;

const DOMAINS: [&str; 5] = ["a", "b", "c", "d", "e"];

fn reads(node: &Entry) -> bool {
    node.beliefs().reads_store()
}

/// A model needs more engines than any fabric domain has, and nodes of five failure domains serve callers
/// of all models. Were the model given the engines, nobody would be served; were its callers let in, they
/// would wait in vain until their deadline; were each node to read the store, it would turn them away.
#[test]
fn twenty_nodes_serve_what_fits_and_refuse_what_does_not() {
    let deployment = Deployment::start(EVENTS);
    deployment.wait_for_groups(2);
    let others = DOMAINS.iter().flat_map(|domain| {
        let count = if *domain == "a" { 3 } else { 4 };
        deployment.add_nodes(domain, count)
    });
    let others: Vec<Entry> = others.collect();
    // The first node goes on with it, as it controls the groups.
    deployment.wait_until("one node of each failure domain reads the store", || {
        let readers = others.iter().filter(|node| reads(node)).count();
        (DOMAINS.len() - 1..=DOMAINS.len()).contains(&readers)
    });
    for (index, node) in others.iter().enumerate() {
        let served =
            deployment.ask_node(node, Path::Stream, &format!("s{index}"), "key-1", PATIENCE);
        assert_eq!(served.status, 200);
        let asked = format!("h{index}");
        let refused = deployment.ask_node(node, Path::HugeStream, &asked, "key-1", PATIENCE);
        assert_eq!(refused.status, 503);
        let after: f64 = refused
            .retry_after
            .expect("it says when")
            .parse()
            .expect("a number");
        assert!(
            after > PATIENCE.as_secs_f64(),
            "no place opens in time: {after}"
        );
    }
    for node in others {
        node.kill();
    }
    deployment.leave();
}

/// Heads fall silent while many nodes have streams there. Were each node to ask all members, the engines
/// would be asked hundreds of times for one loss, and the nodes be busy with that while callers wait.
#[test]
fn the_members_of_a_silent_group_are_asked_once_for_all_nodes() {
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
    let before: u32 = members().map(|member| member.questions()).sum();
    for head in heads() {
        head.set_lasting_silence(true);
    }
    std::thread::scope(|scope| {
        for (index, node) in others.iter().enumerate() {
            let (deployment, id) = (&deployment, format!("r{index}"));
            let patience = Duration::from_millis(900);
            scope.spawn(move || deployment.ask_node(node, Path::Stream, &id, "key-1", patience));
        }
    });
    let asked: u32 = members().map(|member| member.questions()).sum::<u32>() - before;
    let each = asked as usize / members().count();
    assert!(
        each < others.len(),
        "each of {} nodes asks: {each} questions a member",
        others.len()
    );
    for node in others {
        node.kill();
    }
    deployment.kill();
}
