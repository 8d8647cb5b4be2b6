//! Tests of nodes whose store returns from an older copy of itself.

use std::time::Duration;

use serde_json::{Value, json};
use sesamecart_entry::Entry;
use sesamecart_platform_standins::Outage;

use crate::EVENTS;
use crate::setup::Deployment;
use crate::store_proxy::StoreProxy;

/// How long the store answers nobody before it returns.
const OUTAGE: Duration = Duration::from_millis(300);

/// The newest configuration before the return.
const NEWEST: u64 = 6;

/// The version of which a copy is taken.
const COPIED: u64 = 3;

/// How long the topic is when the store answers again, compared with before.
#[derive(Clone, Copy, Debug)]
enum Length {
    Shorter,
    Equal,
    Longer,
}

impl Length {
    /// Returns the number of other keys that are written again behind the newest configuration.
    const fn others(self) -> u64 {
        let lost = NEWEST - COPIED;
        match self {
            Self::Shorter => 0,
            Self::Equal => lost - 1,
            Self::Longer => lost + 2,
        }
    }
}

fn version_of(node: &Entry) -> u64 {
    node.state().configuration_version()
}

fn wait_for_version(deployment: &Deployment, nodes: &[&Entry], version: u64) {
    deployment.wait_until("all nodes have the configuration", || {
        nodes.iter().all(|node| version_of(node) == version)
    });
}

/// Publishes configurations, and lets the store return from a copy that lacks the newest of them. Whatever was lost
/// is written again with version `NEWEST + 1`, before the store answers.
fn return_store(deployment: &Deployment, nodes: &[&Entry], length: Length) {
    let mut copy = None;
    for version in 2..=NEWEST {
        deployment.publish(version, &["key-1"]);
        if version == COPIED {
            copy = Some(deployment.store.copy());
        }
    }
    let copy = copy.expect("a copy was taken");
    wait_for_version(deployment, nodes, NEWEST);
    deployment.store.set_outage(Outage::Unavailable);
    std::thread::sleep(OUTAGE);
    let newest = deployment.configuration(NEWEST + 1);
    let others: Vec<String> = (0..length.others())
        .map(|index| format!("other-{index}"))
        .collect();
    let empty = json!({});
    let others = others.iter().map(|key| (key.as_str(), &empty));
    let rewritten: Vec<(&str, &Value)> =
        std::iter::once(("config", &newest)).chain(others).collect();
    deployment.store.return_from_with(&copy, &rewritten);
    deployment.store.set_outage(Outage::None);
}

/// A reader of the store, a standby, and two followers.
fn start_nodes(deployment: &Deployment) -> Vec<Entry> {
    let reader = deployment.add_node_with_share("n2", 0.5);
    let standby = deployment.add_node_with_share("n3", 0.4);
    let followers = deployment.add_nodes("a", 2);
    let nodes: Vec<Entry> = [reader, standby].into_iter().chain(followers).collect();
    deployment.wait_until("all nodes know each other", || {
        nodes.iter().all(|node| node.state().known_nodes() == 5)
    });
    nodes
}

fn kill_all(nodes: Vec<Entry>) {
    for node in nodes {
        node.kill();
    }
}

macro_rules! return_tests {
    ($($(#[$doc:meta])* $name:ident: $length:expr;)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                let deployment = Deployment::start(EVENTS);
                let nodes = start_nodes(&deployment);
                let all: Vec<&Entry> = nodes.iter().chain([&deployment.node]).collect();
                return_store(&deployment, &all, $length);
                wait_for_version(&deployment, &all, NEWEST + 1);
                kill_all(nodes);
                deployment.kill();
            }
        )*
    };
}

return_tests! {
    /// Guards against a configuration that nobody reads because the store returned with a shorter topic.
    a_configuration_is_read_from_a_store_that_returned_shorter: Length::Shorter;
    /// Guards against a configuration that nobody reads because its offset was read before the store returned.
    a_configuration_is_read_from_a_store_that_returned_as_long_as_before: Length::Equal;
    /// Guards against the same where more was written since than was lost.
    a_configuration_is_read_from_a_store_that_returned_longer: Length::Longer;
}

/// Guards against a follower that takes each source for one that is behind, because its offset is of before a return.
#[test]
fn a_follower_goes_on_behind_a_reader_whose_store_returned_shorter() {
    let deployment = Deployment::start(EVENTS);
    let to_follower = StoreProxy::start(deployment.store.address());
    let nodes = start_nodes(&deployment);
    let follower = deployment.add_node_with_long_bound("n4", to_follower.address);
    deployment.wait_until("the follower doesn't read the store", || {
        !follower.state().reads_store()
    });
    // Otherwise it would start over at the store's own offsets.
    to_follower.close();
    let all: Vec<&Entry> = nodes.iter().chain([&deployment.node, &follower]).collect();
    return_store(&deployment, &all, Length::Shorter);
    wait_for_version(&deployment, &all, NEWEST + 1);
    follower.kill();
    kill_all(nodes);
    deployment.kill();
}
