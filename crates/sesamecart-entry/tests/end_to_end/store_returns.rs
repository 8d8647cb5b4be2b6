//! Tests of nodes whose store returns from an older copy of itself.

use std::time::{Duration, Instant};

use serde_json::{Value, json};
use sesamecart_entry::Entry;
use sesamecart_platform_standins::Outage;

use crate::EVENTS;
use crate::setup::{DEFAULT_DEADLINE, Deployment, RequestKind};
use crate::store_proxy::StoreProxy;

/// How long the store answers nobody before it returns.
const OUTAGE: Duration = Duration::from_millis(300);

/// The newest configuration before the return.
const NEWEST: u64 = 6;

/// The version of which a copy is taken.
const COPIED: u64 = 3;

/// The time within which readers have read a store that has returned.
const COPY_READ: Duration = Duration::from_secs(1);

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

/// A revoked key stays revoked, and the newest configuration in force, on a node that starts while the store has an older
/// one.
fn start_while_the_store_is_behind(deployment: &Deployment, rewrite_after: Duration) {
    let nodes = start_nodes(deployment);
    let all: Vec<&Entry> = nodes.iter().chain([&deployment.node]).collect();
    deployment.publish(2, &["key-1", "key-2"]);
    wait_for_version(deployment, &all, 2);
    let copy = deployment.store.copy();
    deployment.publish(3, &["key-1"]);
    wait_for_version(deployment, &all, 3);
    deployment.store.return_from(&copy);
    // By then, the nodes that it may follow have read the copy.
    std::thread::sleep(COPY_READ);
    let started = deployment.start_node("n9");
    let started_at = Instant::now();
    // Also the time between the read of the copy and the answers of the other nodes is observed.
    while started_at.elapsed() < COPY_READ {
        assert!([0, 3].contains(&version_of(&started)));
        std::thread::yield_now();
    }
    while started_at.elapsed() < rewrite_after {
        let status = deployment
            .send_request_to(
                &started,
                RequestKind::Lookup,
                "r1",
                "key-2",
                DEFAULT_DEADLINE,
            )
            .status;
        assert!([401, 503].contains(&status), "a revoked key got {status}");
        assert!([0, 3].contains(&version_of(&started)));
        std::thread::sleep(Duration::from_millis(20));
    }
    deployment.publish(3, &["key-1"]);
    deployment.wait_until("the started node is ready", || {
        deployment.readiness_of(&started) == 200
    });
    assert_eq!(version_of(&started), 3);
    started.kill();
    kill_all(nodes);
}

/// Guards against a node that starts after a return, and serves a key that was revoked before.
#[test]
fn a_node_that_starts_after_a_return_accepts_no_revoked_key() {
    let deployment = Deployment::start(EVENTS);
    start_while_the_store_is_behind(&deployment, Duration::from_secs(3));
    deployment.kill();
}

/// Guards against nodes that share limits among too few because an entry was lost for good.
#[test]
fn a_node_whose_entry_was_lost_is_known_to_a_node_that_starts_later() {
    let deployment = Deployment::start(EVENTS);
    let copy = deployment.store.copy();
    let nodes = start_nodes(&deployment);
    deployment.store.return_from(&copy);
    deployment.wait_until("the entries are written again", || {
        deployment.store.keys("keyed.status").len() == 1 + nodes.len()
    });
    let later = deployment.add_node("n9", deployment.store.address());
    deployment.wait_until("the later node knows all nodes", || {
        later.state().known_nodes() == 2 + nodes.len()
    });
    later.kill();
    kill_all(nodes);
    deployment.kill();
}

/// Guards against nodes that read nothing any more because the store names no era, or no number.
#[test]
fn a_store_without_a_readable_era_is_followed() {
    let deployment = Deployment::start(EVENTS);
    let nodes = start_nodes(&deployment);
    let all: Vec<&Entry> = nodes.iter().chain([&deployment.node]).collect();
    deployment.store.return_from(&deployment.store.copy());
    deployment.publish(2, &["key-1"]);
    wait_for_version(&deployment, &all, 2);
    for (version, named) in (3..).zip(["", "one", "-1", "99999999999999999999"]) {
        deployment.store.name_era(Some(named));
        deployment.publish(version, &["key-1"]);
        wait_for_version(&deployment, &all, version);
    }
    // Answers of an era that is over count for nothing, however many there are.
    deployment.store.name_era(Some("0"));
    deployment.publish(9, &["key-1"]);
    std::thread::sleep(Duration::from_millis(1_500));
    assert!(all.iter().all(|node| version_of(node) == 6));
    deployment.store.name_era(None);
    wait_for_version(&deployment, &all, 9);
    kill_all(nodes);
    deployment.kill();
}

/// Guards against groups that nobody repairs after a return, because engines refuse the fences given out again.
#[test]
fn groups_are_repaired_after_the_generations_were_given_out_again() {
    let deployment = Deployment::start(EVENTS);
    let copy = deployment.store.copy();
    let high = copy.clone().with_generation(1_000);
    deployment.store.return_from(&high);
    deployment.wait_for_groups(2);
    deployment.store.return_from(&copy.with_generation(0));
    let head = deployment
        .engines
        .iter()
        .find(|engine| engine.is_open_head());
    let head = head.expect("a group is open");
    head.crash(Some(Duration::from_millis(100)));
    deployment.wait_until("a group is lost", || {
        deployment.node.state().open_group_count() < 2
    });
    deployment.wait_until("the group is repaired", || {
        let open = deployment
            .engines
            .iter()
            .filter(|engine| engine.is_open_head());
        open.count() == 2 && deployment.node.state().open_group_count() == 2
    });
    deployment.kill();
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

/// The failure domains of a larger deployment.
const DOMAINS: [&str; 5] = ["b", "c", "d", "e", "f"];

/// The nodes of each of them. Set `RETURN_NODES_PER_DOMAIN` for other sizes.
const NODES_PER_DOMAIN: usize = 4;

/// How long calls are counted.
const COUNTED: Duration = Duration::from_secs(1);

/// The calls by which a reader that notices a return reads its four topics whole and renews its membership.
const CALLS_OF_A_READER: usize = 5;

/// Returns the calls to the store in the second after an outage, which `end` ends.
fn calls_after_outage(deployment: &Deployment, end: impl FnOnce()) -> usize {
    deployment.store.set_outage(Outage::Unavailable);
    std::thread::sleep(OUTAGE);
    end();
    deployment.store.set_outage(Outage::None);
    let before = deployment.store.calls();
    std::thread::sleep(COUNTED);
    deployment.store.calls() - before
}

/// Guards against a store that is called by all nodes at once because they notice a return.
#[test]
fn a_return_costs_the_store_no_more_calls_than_an_outage() {
    let per_domain = std::env::var("RETURN_NODES_PER_DOMAIN");
    let per_domain = per_domain.map_or(NODES_PER_DOMAIN, |text| text.parse().expect("a number"));
    let deployment = Deployment::start(1);
    let nodes = DOMAINS
        .iter()
        .flat_map(|domain| deployment.add_nodes(domain, per_domain));
    let nodes: Vec<Entry> = nodes.collect();
    let all: Vec<&Entry> = nodes.iter().chain([&deployment.node]).collect();
    let readers = || all.iter().filter(|node| node.state().reads_store()).count();
    deployment.wait_until("one node of each failure domain reads the store", || {
        readers() == DOMAINS.len() + 1
    });
    let after_outage = calls_after_outage(&deployment, || {});
    deployment.wait_until("the readers read the store again", || {
        readers() == DOMAINS.len() + 1
    });
    deployment.publish(2, &["key-1"]);
    wait_for_version(&deployment, &all, 2);
    let copy = deployment.store.copy();
    let after_return = calls_after_outage(&deployment, || deployment.store.return_from(&copy));
    eprintln!("{after_outage} calls after an outage, {after_return} after a return");
    let readers = DOMAINS.len() + 1;
    assert!(after_return <= after_outage + CALLS_OF_A_READER * readers);
    deployment.publish(3, &["key-1"]);
    wait_for_version(&deployment, &all, 3);
    kill_all(nodes);
    deployment.kill();
}
