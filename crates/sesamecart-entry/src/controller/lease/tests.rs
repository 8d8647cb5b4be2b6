//! Tests of the control lease across returns of the store.

use std::sync::Arc;
use std::time::{Duration, Instant};

use sesamecart_edges::HttpClient;
use sesamecart_fleet::FencingToken;
use sesamecart_platform::{GroupMembership, Store, StoreEra};
use sesamecart_platform_standins::Store as StoreStandIn;
use sesamecart_runtime::Worker;

use super::Lease;
use crate::clock;
use crate::controller::testkit::Competitor;
use crate::store_observer::StoreCalls;
use crate::testkit::new_state;

/// A TTL above the usual one, as a store may require.
const TTL: Duration = Duration::from_secs(3);

const BEFORE: StoreEra = StoreEra(1);
const AFTER: StoreEra = StoreEra(2);

/// Returns the lease of a node that has known the first era for a long time, or that is just starting.
fn lease(is_first_start: bool) -> (Lease, Worker) {
    let state = Arc::new(new_state(is_first_start));
    let worker = Worker::start("lease").expect("a thread starts");
    let client = HttpClient::new(worker.tasks().clone(), Duration::from_millis(100));
    let calls = StoreCalls::new(Arc::clone(&state));
    let store = Store::new(
        client,
        state.settings.store,
        Duration::from_millis(100),
        calls,
    );
    (Lease::new(state, store), worker)
}

/// Lets the store say that the node holds the lease under a generation.
fn hold(lease: &Lease, era: StoreEra, generation: u64) {
    lease.state.learn_store_era(era, "the store");
    let membership = GroupMembership {
        era,
        generation,
        is_holder: true,
    };
    let held = lease.held_lease(&membership, clock::now(), TTL);
    lease.set_held(Some(held), "the store says so");
}

#[test]
fn a_holder_acts_at_once_when_a_deployment_starts() {
    let (lease, _worker) = lease(true);
    hold(&lease, BEFORE, 3);
    assert_eq!(lease.fence(), Some(FencingToken::of(BEFORE, 3)));
}

/// Guards against two holders: the one of before the return acts until its last renewal expires.
#[test]
fn a_holder_of_a_new_era_waits_for_the_holder_before() {
    let (lease, _worker) = lease(true);
    hold(&lease, BEFORE, 3);
    hold(&lease, AFTER, 2);
    assert_eq!(lease.fence(), None);
    let membership = GroupMembership {
        era: AFTER,
        generation: 2,
        is_holder: true,
    };
    let held = lease.held_lease(&membership, clock::now(), TTL);
    assert!(held.valid_from >= lease.state.store_eras.learned_at() + TTL);
}

/// Guards against the same on a process that starts right after the return, and can't know when that was.
#[test]
fn a_holder_that_has_just_started_waits() {
    let (lease, _worker) = lease(false);
    hold(&lease, AFTER, 2);
    assert_eq!(lease.fence(), None);
}

/// Guards against orders under a lease that the store has lost, by a node that learns the era from elsewhere.
#[test]
fn a_holder_does_not_act_once_it_knows_of_a_later_era() {
    let (lease, _worker) = lease(true);
    hold(&lease, BEFORE, 3);
    lease.state.learn_store_era(AFTER, "node at 127.0.0.1:1");
    assert_eq!(lease.fence(), None);
}

/// How long the store takes to answer a renewal of the lease.
const SLOW_ANSWER: Duration = Duration::from_millis(700);

/// How long renewals may take to find their pace, and how long control is watched after that.
const ADAPTATION_TIME: Duration = Duration::from_secs(5);
const WATCH_TIME: Duration = Duration::from_secs(4);

/// Guards against control that moves, or rests, while its holder lives and renews as fast as the store answers.
#[test]
fn a_holder_keeps_control_while_the_store_answers_renewals_slowly() {
    let store = StoreStandIn::start().expect("the store listens");
    store.set_answer_delay(SLOW_ANSWER);
    let nodes: Vec<Competitor> = (0..3).map(|_| Competitor::start(&store)).collect();
    std::thread::sleep(ADAPTATION_TIME);
    let first = nodes.iter().position(Competitor::is_holder);
    let ends_at = Instant::now() + WATCH_TIME;
    while Instant::now() < ends_at {
        let holders = nodes.iter().filter(|node| node.is_holder());
        assert_eq!(holders.count(), 1, "one node has control at any time");
        assert_eq!(nodes.iter().position(Competitor::is_holder), first);
        std::thread::sleep(Duration::from_millis(10));
    }
}
