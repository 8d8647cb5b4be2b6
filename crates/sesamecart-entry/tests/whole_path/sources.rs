//! Nodes that hear what the store says from one node and then from another.

use serde_json::json;
use sesamecart_entry::Entry;

use crate::gate::Gate;
use crate::setup::{Deployment, knows_evacuation};

/// The events of a whole stream.
const EVENTS: u64 = 12;

/// The operator's key under which a failure domain is evacuated.
const KEY: &str = "evacuate/b";

fn reads(node: &Entry) -> bool {
    node.beliefs().reads_store()
}

fn knows(node: &Entry) -> bool {
    knows_evacuation(node, "b")
}

/// Guards against requests into a failure domain that is evacuated a second time.
#[test]
fn a_follower_hears_of_a_second_evacuation_from_a_standby_that_read_the_first() {
    let deployment = Deployment::start(EVENTS);
    let to_reader = Gate::start(deployment.store.address());
    let to_follower = Gate::start(deployment.store.address());
    let reader = deployment.add_strong_node_at("n2", 0.5, to_reader.address);
    let standby = deployment.add_strong_node("n3", 0.4);
    // It leaves the reader after the standby has stepped in, so it never turns to the store.
    let follower = deployment.add_trusting_node("n4", to_follower.address);
    let reader_reads = || reads(&reader) && !reads(&standby) && !reads(&follower);
    deployment.wait_until("the reader reads the store", reader_reads);
    to_follower.shut();

    to_reader.shut();
    deployment.store.publish(KEY, &json!({}));
    deployment.wait_until("the standby reads of the first evacuation", || {
        reads(&standby) && knows(&standby) && knows(&follower)
    });
    to_reader.reopen();
    deployment.wait_until("the reader reads the store again", reader_reads);
    deployment.store.withdraw(KEY);
    let nodes = [&reader, &standby, &follower];
    deployment.wait_until("the evacuation is taken back everywhere", || {
        let links = reader.beliefs().settings.links;
        let is_followed = |node: &Entry| node.beliefs().followed() == Some(links);
        is_followed(&standby) && is_followed(&follower) && !nodes.iter().any(|node| knows(node))
    });

    to_reader.silence();
    deployment.store.publish(KEY, &json!({}));
    deployment.wait_until("the standby reads of the second evacuation", || {
        reads(&standby) && knows(&standby)
    });
    deployment.wait_until("the follower hears of it", || knows(&follower));

    for node in [reader, standby, follower] {
        node.kill();
    }
    deployment.leave();
}
