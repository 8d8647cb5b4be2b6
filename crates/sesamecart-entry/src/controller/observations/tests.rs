//! Tests of the observations that reach the controller across returns of the store.

use std::sync::Arc;
use std::time::Duration;

use sesamecart_edges::HttpClient;
use sesamecart_fleet::GroupKey;
use sesamecart_platform::Store;
use sesamecart_platform_standins::Store as StoreStandin;
use sesamecart_runtime::{Worker, with_timeout};

use super::follow_observations;
use crate::loss_reports::{parse_group_key, report_to_store};
use crate::store_observer::StoreCalls;
use crate::testkit::new_state;

/// The timeout for every awaited loss. It ends a test that hangs and doesn't check performance.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

fn key(text: &str) -> GroupKey {
    parse_group_key(text).expect("a valid key")
}

/// Guards against groups of today that are probed and dissolved for losses that were reported before a return.
#[test]
fn losses_of_before_a_return_are_not_sent_again() {
    let standin = StoreStandin::start().expect("the store listens");
    let state = Arc::new(new_state(true));
    let worker = Worker::start("observations").expect("a thread starts");
    let tasks = worker.tasks().clone();
    let client = HttpClient::new(tasks.clone(), Duration::from_millis(500));
    let calls = StoreCalls::new(Arc::clone(&state));
    let store = Store::new(client, standin.address(), Duration::from_millis(900), calls);
    let (lost_tx, lost_groups) = async_channel::unbounded();
    let report = |text| async_io::block_on(report_to_store(&state, &store, &key(text)));
    let next = || {
        let received = with_timeout(WAIT_TIMEOUT, lost_groups.recv());
        async_io::block_on(received)
            .expect("it arrives")
            .expect("the channel is open")
    };
    report("g1@1");
    tasks.spawn(follow_observations(store.clone(), lost_tx));
    // Reported until it is received, as nothing tells when the topic is followed.
    let first = loop {
        report("g2@2");
        if let Ok(first) = lost_groups.try_recv() {
            break first;
        }
        std::thread::sleep(Duration::from_millis(50));
    };
    assert_eq!(first, key("g2@2"), "what was reported before isn't sent");
    let copy = standin.copy();
    for _ in 0..20 {
        report("g3@3");
    }
    while next() != key("g3@3") {}
    standin.return_from(&copy);
    let received = loop {
        report("g4@4");
        std::thread::sleep(Duration::from_millis(50));
        let received: Vec<GroupKey> = std::iter::from_fn(|| lost_groups.try_recv().ok()).collect();
        if received.contains(&key("g4@4")) {
            break received;
        }
    };
    let is_old = |group: &&GroupKey| **group != key("g4@4") && **group != key("g3@3");
    assert_eq!(received.iter().find(is_old), None);
}
