//! Tests with real processes, all of which are killed and started again.
//!
//! `SESAMECART_RESTART_NODES` sets the number of nodes in each failure domain.

mod callers;
mod crowds;
mod endless;
mod engines;
mod nodes;

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use sesamecart_platform_standins::Outage;

use crate::callers::{Kind, Traffic};
use crate::engines::{EngineTimes, ReturnedIds};
use crate::nodes::{Deployment, DeploymentSetup, MEMORY_MB, Node, send_for, wait_until_serving};

/// How long a node that reaches the store may take from its start to its first response.
const START_TIME: Duration = Duration::from_secs(2);

/// The time from the start from which on nine in ten callers are served.
const RECOVERY_TIME: Duration = Duration::from_secs(5);

/// How long all processes are away.
const DOWN_TIME: Duration = Duration::from_millis(800);

/// The interval between two callers of a node.
const CALL_INTERVAL: Duration = Duration::from_millis(100);

/// Each test has dozens of processes, so they take turns.
static TURN: Mutex<()> = Mutex::new(());

/// What happens to the nodes that others follow while all restart.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Readers {
    /// They restart like the others.
    Restart,
    /// They stand still, so that connections to them open and nothing answers.
    StandStill,
    /// They don't return, and neither do their standbys.
    AreGone,
    /// They are killed again as soon as they have started, and start again.
    AreKilledAgain,
}

impl Readers {
    /// Returns whether a node restarts like most.
    fn leave(self, node: &Node) -> bool {
        match self {
            Self::Restart | Self::AreKilledAgain => true,
            Self::StandStill => node.place > 0,
            Self::AreGone => node.place > 1,
        }
    }
}

fn per_domain(usual: usize) -> usize {
    let set = std::env::var("SESAMECART_RESTART_NODES");
    set.ok()
        .and_then(|count| count.parse().ok())
        .unwrap_or(usual)
}

/// Kills all nodes of a deployment that serves, and starts them again. Checks when each one serves first, and that
/// callers are served from then on.
fn check_restart(count: usize, routes: usize, readers: Readers, store_away: Duration) {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let mut deployment = Deployment::start(per_domain(count), routes);
    if readers == Readers::StandStill {
        let readers = deployment.nodes.iter().filter(|node| node.place == 0);
        readers.for_each(Node::stand_still);
    }
    deployment.kill_nodes(|node| readers.leave(node));
    deployment.kill_nodes(|node| readers == Readers::AreGone && node.place <= 1);
    std::thread::sleep(DOWN_TIME);
    if !store_away.is_zero() {
        deployment.store.set_outage(Outage::Unavailable);
    }
    deployment.start_nodes(false, |node| readers.leave(node));
    if readers == Readers::AreKilledAgain {
        deployment.kill_nodes(|node| node.place == 0);
        deployment.start_nodes(false, |node| node.place == 0);
    }
    std::thread::sleep(store_away);
    deployment.store.set_outage(Outage::None);
    let served_from = Instant::now() + RECOVERY_TIME;
    let restarted = deployment.nodes.iter().filter(|node| readers.leave(node));
    let slowest = std::thread::scope(|scope| {
        let waits = restarted.map(|node| scope.spawn(move || wait_until_serving(node)));
        let waits: Vec<_> = waits.collect();
        let times = waits
            .into_iter()
            .map(|wait| wait.join().expect("it serves"));
        times.max().unwrap_or_default()
    });
    assert!(
        slowest <= START_TIME + store_away,
        "the last node serves after {slowest:?}"
    );
    deployment.nodes.retain(|node| readers.leave(node));
    std::thread::sleep(served_from.saturating_duration_since(Instant::now()));
    let (served, all) = send_for(&deployment.nodes, Duration::from_secs(1), CALL_INTERVAL);
    assert!(10 * served >= 9 * all, "{served} of {all} served");
}

macro_rules! restart_tests {
    ($($(#[$doc:meta])* $name:ident: $count:expr, $routes:expr, $readers:ident, $store_away_ms:expr;)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                let store_away = Duration::from_millis($store_away_ms);
                check_restart($count, $routes, Readers::$readers, store_away);
            }
        )*
    };
}

restart_tests! {
    all_nodes_serve_soon_after_all_were_killed: 13, 240, Restart, 0;
    four_nodes_in_each_domain_serve_soon_after_all_were_killed: 4, 240, Restart, 0;
    /// Guards against a start that grows with the configuration.
    all_nodes_serve_soon_with_many_routes: 13, 540, Restart, 0;
    /// Guards against nodes that wait for readers that stand still.
    all_nodes_serve_soon_although_the_readers_stand_still: 13, 240, StandStill, 0;
    /// Guards against nodes that look for readers that are gone for good.
    all_nodes_serve_soon_although_readers_and_standbys_are_gone: 13, 240, AreGone, 0;
    /// Guards against followers of a reader that has started twice.
    all_nodes_serve_soon_although_the_readers_are_killed_again: 13, 240, AreKilledAgain, 0;
    /// Guards against nodes that return late after the store, whose first calls have failed.
    all_nodes_serve_soon_after_the_store_is_back: 13, 240, Restart, 3_000;
}

/// For how long each process runs in a period, and for how long it stands still: a small share of a processor, on a
/// machine that has other work.
const RUNNING: Duration = Duration::from_millis(9);
const STOPPED: Duration = Duration::from_millis(125);

/// The interval between two callers of a node that stands still most of the time.
const SLOW_CALL_INTERVAL: Duration = Duration::from_millis(250);

/// Guards against nodes that refuse callers whom they could serve, as their processes run seldom.
#[test]
fn nodes_that_run_seldom_serve_their_callers_before_and_after_a_restart() {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let mut deployment = Deployment::start(4, 240);
    let time = Duration::from_secs(4);
    let check = |deployment: &Deployment, when: &str| {
        let (served, all) = send_for(&deployment.nodes, time, SLOW_CALL_INTERVAL);
        assert!(10 * served >= 9 * all, "{when}: {served} of {all} served");
    };
    let stops = deployment.stop_regularly(RUNNING, STOPPED);
    check(&deployment, "before");
    drop(stops);
    deployment.kill_nodes(|_| true);
    std::thread::sleep(DOWN_TIME);
    deployment.start_nodes(false, |_| true);
    let _stops = deployment.stop_regularly(RUNNING, STOPPED);
    std::thread::sleep(RECOVERY_TIME);
    check(&deployment, "after");
}

/// The requests of callers, most of which are streams of the model with the smaller groups.
const KINDS: [Kind; 3] = [
    Kind {
        share: 0.765,
        path: "/chat/",
        model: Some("m1"),
        deadline: Duration::from_secs(6),
    },
    Kind {
        share: 0.128,
        path: "/chat/",
        model: Some("m0"),
        deadline: Duration::from_secs(8),
    },
    Kind {
        share: 0.107,
        path: "/look/",
        model: None,
        deadline: Duration::from_millis(1_500),
    },
];

/// The callers of each node, and the requests that they send to it together each second.
const CALLERS_PER_NODE: f64 = 8.6;
const REQUESTS_PER_NODE: f64 = 4.54;

/// How long callers send requests before the nodes are killed.
const TIME_BEFORE: Duration = Duration::from_secs(5);

/// The time after the return of the machines from which on requests count, and for which they are sent then.
const RULE_RECOVERY_TIME: Duration = Duration::from_secs(15);
const RULE_TIME: Duration = Duration::from_secs(8);

/// The longest time that a request may take.
const LONGEST_REQUEST: Duration = Duration::from_secs(9);

/// What restarts at the end, beside the nodes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Engines {
    Stay,
    LosePower(ReturnedIds),
}

/// The processors of the nodes after their return.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Processors {
    All,
    One,
}

/// Kills all nodes beside callers with streams, and checks that at least a quarter of the requests is served from
/// [`RULE_RECOVERY_TIME`] after their return on.
fn check_streams(times: EngineTimes, engines: Engines, processors: Processors) {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let fabric_domains = per_domain(4).div_ceil(12);
    let mut deployment = Deployment::start_with(DeploymentSetup {
        per_domain: per_domain(4),
        routes: 240,
        fabric_domains,
        times,
        memory_mb: MEMORY_MB,
        last_memory_mb: MEMORY_MB,
    });
    deployment.engines.wait_for_groups();
    deployment.engines.begin_traffic();
    let nodes = deployment.nodes.len() as f64;
    let callers = (nodes * CALLERS_PER_NODE) as usize;
    let traffic = Traffic::start(
        &deployment.nodes,
        callers,
        nodes * REQUESTS_PER_NODE,
        &KINDS,
    );
    let started_at = Instant::now();
    std::thread::sleep(TIME_BEFORE);
    deployment.kill_nodes(|_| true);
    if engines != Engines::Stay {
        deployment.engines.lose_power();
    }
    std::thread::sleep(DOWN_TIME);
    if let Engines::LosePower(ids) = engines {
        deployment.engines.return_power(ids);
    }
    match processors {
        Processors::All => deployment.start_nodes(false, |_| true),
        Processors::One => deployment.start_on_one_processor(),
    }
    let returned_at = Instant::now();
    let counted_from = returned_at + RULE_RECOVERY_TIME;
    let counted_to = counted_from + RULE_TIME;
    std::thread::sleep(counted_to + LONGEST_REQUEST - Instant::now());
    print_shares(&traffic, "before", started_at, TIME_BEFORE);
    let time = counted_to - returned_at;
    print_shares(&traffic, "after", returned_at, time);
    let loads = deployment.engines.load_count();
    println!("{} groups, {loads} loads", deployment.engines.open_groups());
    for kind in &KINDS {
        let (served, all) = traffic.served_for(kind.model, counted_from, counted_to);
        println!("{}: {served} of {all}", kind.model.unwrap_or("plain"));
    }
    let (served, all) = traffic.served_between(counted_from, counted_to);
    assert!(4 * served >= all, "{served} of {all} served");
}

/// Prints the share of the requests of each second that are served.
fn print_shares(traffic: &Traffic, when: &str, from: Instant, time: Duration) {
    let second = Duration::from_secs(1);
    let shares = (0..time.as_secs() as u32).map(|index| {
        let from = from + second * index;
        let (served, all) = traffic.served_between(from, from + second);
        format!("{:.2}", served as f64 / all.max(1) as f64)
    });
    println!("served {when}: {}", shares.collect::<Vec<_>>().join(" "));
}

macro_rules! stream_tests {
    ($($(#[$doc:meta])* $name:ident: $times:ident, $engines:expr, $processors:ident;)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                check_streams(EngineTimes::$times, $engines, Processors::$processors);
            }
        )*
    };
}

stream_tests! {
    /// Guards against nodes that refuse all callers for good, as their control gets too little of a scarce processor.
    streams_are_served_after_all_nodes_return_to_one_processor: None, Engines::Stay, One;
    /// Guards against groups that a controller forms anew although they serve.
    streams_are_served_after_all_nodes_return_to_slow_engines: Platform, Engines::Stay, All;
    /// Guards against models that are loaded again although the hosts of engines have them.
    streams_are_served_after_nodes_and_engines_lose_power:
        Platform, Engines::LosePower(ReturnedIds::New), All;
    /// Guards against groups and orders that are known from before a restart of the same engines.
    streams_are_served_after_nodes_and_engines_with_the_same_ids_lose_power:
        Platform, Engines::LosePower(ReturnedIds::Same), All;
}
