//! Tests of endpoints that leave the registry around disturbances of the store, and of the nodes that read it.

use std::time::{Duration, Instant};

use sesamecart_entry::Entry;
use sesamecart_platform_standins::Outage;

use crate::setup::{DEFAULT_DEADLINE, Deployment, RequestKind};
use crate::store_proxy::StoreProxy;

/// How long after the store's acknowledgement an endpoint that has left may get requests.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// How long a running endpoint whose entry has expired may take to register again after the store has returned.
const REREGISTRATION_TIME: Duration = Duration::from_millis(1_500);

/// How long after an outage of the store the nodes aren't bound by what it acknowledges.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// How long an outage lasts, in which entries expire.
const OUTAGE: Duration = Duration::from_millis(1_700);

/// The time between two requests to one node.
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);

/// The index of the plain endpoint that leaves.
const LEAVING: usize = 2;

/// The reader of the store, whose path to it can be disturbed, and two nodes that follow it. The deployment's first node
/// controls the groups and so reads the store, too.
struct Nodes {
    deployment: Deployment,
    to_store: StoreProxy,
    reader: Entry,
    others: Vec<Entry>,
}

impl Nodes {
    fn start() -> Self {
        let deployment = Deployment::start_with_plain_endpoints(3);
        let to_store = StoreProxy::start(deployment.store.address());
        let reader = deployment.add_node_with_share_at("n2", 0.5, to_store.address);
        let standby = deployment.add_node_with_share("n3", 0.4);
        let others = vec![
            standby,
            deployment.add_node("n4", deployment.store.address()),
        ];
        let nodes = Self {
            deployment,
            to_store,
            reader,
            others,
        };
        nodes.deployment.wait_until("two nodes follow n2", || {
            let mut others = nodes.others.iter();
            others.all(|node| !node.state().reads_store()) && nodes.reader.state().reads_store()
        });
        nodes
    }

    fn all(&self) -> Vec<&Entry> {
        let first = [&self.reader, &self.deployment.node];
        self.others.iter().chain(first).collect()
    }

    /// Kills the reader. The first of the others takes its place.
    fn kill_reader(&mut self) {
        let other = self.others.remove(0);
        std::mem::replace(&mut self.reader, other).kill();
    }

    fn unregister(&self, index: usize) {
        let endpoint = &self.deployment.plain[index];
        self.deployment.store.unregister(endpoint.id());
    }

    /// Sends lookups to `nodes` until `ends_at`. Returns the statuses of the answers.
    fn send_until(&self, ends_at: Instant, nodes: &[&Entry]) -> Vec<u16> {
        std::thread::scope(|scope| {
            let senders = nodes.iter().enumerate().map(|(index, node)| {
                scope.spawn(move || {
                    let mut statuses = Vec::new();
                    while Instant::now() < ends_at {
                        let id = format!("{index}-{}", fastrand::u64(..));
                        let kind = RequestKind::Lookup;
                        let response = self.deployment.send_request_to(
                            node,
                            kind,
                            &id,
                            "key-1",
                            DEFAULT_DEADLINE,
                        );
                        statuses.push(response.status);
                        std::thread::sleep(REQUEST_INTERVAL);
                    }
                    statuses
                })
            });
            let senders: Vec<_> = senders.collect();
            let joined = senders.into_iter().map(|sender| sender.join());
            joined
                .flat_map(|statuses| statuses.expect("the sender doesn't panic"))
                .collect()
        })
    }

    /// Returns the time from `since` to the last request that reached the endpoint that leaves.
    fn last_arrival(&self, since: Instant) -> Duration {
        let arrivals = self.deployment.plain[LEAVING].arrivals();
        let last = arrivals.into_iter().max();
        last.map_or(Duration::ZERO, |at| at.saturating_duration_since(since))
    }

    fn kill(self) {
        for node in self.others.into_iter().chain([self.reader]) {
            node.kill();
        }
        self.deployment.kill();
    }
}

/// What happens to the reader shortly before an endpoint leaves.
#[derive(Clone, Copy, Debug)]
enum Disturbance {
    None,
    /// The connection on which it follows a topic is reset.
    Reset(&'static str),
    /// It is killed.
    Kill,
}

/// Disturbs the reader, lets an endpoint's entry be removed some time later while it still serves, and checks that the nodes send no
/// requests to it once they must have noticed.
fn check_removal(disturbance: Disturbance, delay: Duration) {
    let mut nodes = Nodes::start();
    match disturbance {
        Disturbance::None => {}
        Disturbance::Reset(topic) => assert_eq!(nodes.to_store.reset(topic), 1),
        Disturbance::Kill => nodes.kill_reader(),
    }
    std::thread::sleep(delay);
    nodes.unregister(LEAVING);
    let left_at = Instant::now();
    let ends_at = left_at + DRAIN_TIME + Duration::from_secs(1);
    let statuses = nodes.send_until(ends_at, &nodes.all());
    let last = nodes.last_arrival(left_at);
    assert!(last <= DRAIN_TIME, "a request arrived {last:?} later");
    let failed = statuses.iter().filter(|status| **status != 200).count();
    assert_eq!(failed, 0, "of {} requests", statuses.len());
    nodes.kill();
}

macro_rules! removal_tests {
    ($($(#[$doc:meta])* $name:ident: $disturbance:expr, $delay_ms:expr;)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                check_removal($disturbance, Duration::from_millis($delay_ms));
            }
        )*
    };
}

const REGISTRY: &str = "topic=keyed.servers";
const OPERATOR: &str = "topic=keyed.op";

removal_tests! {
    an_endpoint_that_leaves_gets_no_requests: Disturbance::None, 0;
    /// Guards against requests to an endpoint that has left, for as long as the registry doesn't change again.
    an_endpoint_that_leaves_just_after_a_reset_gets_no_requests: Disturbance::Reset(REGISTRY), 50;
    /// Guards against the same later after the reset.
    an_endpoint_that_leaves_after_a_reset_gets_no_requests: Disturbance::Reset(REGISTRY), 500;
    /// Guards against the same where the removal is the first record after the reset.
    an_endpoint_that_leaves_long_after_a_reset_gets_no_requests: Disturbance::Reset(REGISTRY), 1_200;
    /// Guards against the same at the end of the time in which endpoints may register again.
    an_endpoint_that_leaves_very_long_after_a_reset_gets_no_requests: Disturbance::Reset(REGISTRY), 1_850;
    /// Guards against the same where the operator's topic is read on the connection.
    an_endpoint_that_leaves_after_a_reset_of_the_operators_topic_gets_no_requests:
        Disturbance::Reset(OPERATOR), 500;
    /// Guards against the same where another node begins to read the store.
    an_endpoint_that_leaves_after_its_reader_has_died_gets_no_requests: Disturbance::Kill, 500;
}

/// What happens to the reader during an outage of the store or after it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Takeover {
    None,
    /// The reader is killed during the outage.
    During,
    /// The reader is killed after the outage, while the nodes wait for entries to be there again.
    After,
}

/// The entries of all endpoints expire during an outage of the store. All but one of them register again in time.
/// Requests must be served meanwhile, and none may reach the one that is gone after that time.
fn check_outage(kind: Outage, length: Duration, takeover: Takeover) {
    let mut nodes = Nodes::start();
    nodes.deployment.store.set_outage(kind);
    if takeover == Takeover::During {
        nodes.kill_reader();
    }
    std::thread::sleep(length);
    for index in 0..nodes.deployment.plain.len() {
        nodes.unregister(index);
    }
    nodes.deployment.store.set_outage(Outage::None);
    let returned_at = Instant::now();
    if takeover == Takeover::After {
        nodes.send_until(returned_at + REREGISTRATION_TIME / 3, &nodes.all());
        nodes.kill_reader();
    }
    let all = nodes.all();
    let statuses = nodes.send_until(returned_at + REREGISTRATION_TIME, &all);
    for index in (0..nodes.deployment.plain.len()).filter(|index| *index != LEAVING) {
        nodes.deployment.register_plain(index, "ready", 0);
    }
    let later = nodes.send_until(returned_at + CONTACT_TIME + Duration::from_secs(1), &all);
    let failed = statuses
        .iter()
        .chain(&later)
        .filter(|status| **status != 200);
    let failed = failed.count();
    assert_eq!(failed, 0, "of {} and {}", statuses.len(), later.len());
    let last = nodes.last_arrival(returned_at);
    assert!(last <= CONTACT_TIME, "a request arrived {last:?} later");
    nodes.kill();
}

macro_rules! outage_tests {
    ($($(#[$doc:meta])* $name:ident: $kind:expr, $length:expr, $takeover:expr;)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                check_outage($kind, $length, $takeover);
            }
        )*
    };
}

outage_tests! {
    /// Guards against nodes without any endpoint after an outage of the store, until the endpoints register again.
    endpoints_whose_entries_expire_in_an_outage_are_kept: Outage::Interrupted, OUTAGE, Takeover::None;
    /// Guards against the same where the store doesn't answer at all.
    endpoints_whose_entries_expire_while_the_store_is_silent_are_kept:
        Outage::Unresponsive, 2 * OUTAGE, Takeover::None;
    /// Guards against the same at a node that begins to read the store in the outage.
    endpoints_are_kept_by_a_node_that_takes_over_in_an_outage:
        Outage::Interrupted, 2 * OUTAGE, Takeover::During;
    /// Guards against the same, and against keeping an endpoint that is gone, at a node that begins to read the store
    /// while removals are deferred.
    endpoints_are_kept_by_a_node_that_takes_over_after_an_outage:
        Outage::Interrupted, OUTAGE, Takeover::After;
}
