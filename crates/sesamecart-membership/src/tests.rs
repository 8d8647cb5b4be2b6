//! Tests of membership in a simulated cluster.

mod cluster;

use std::time::Duration;

use crate::Liveness;
use cluster::Cluster;

/// Long enough for every node to discover every other one, if all start at once.
const JOIN_TIME: Duration = Duration::from_secs(100);

/// The limit of encoded bytes per second that one node may send, independent of the number of nodes.
const MAX_BYTES_PER_SECOND: u64 = 4_000;

fn joined_cluster(count: usize) -> Cluster {
    let mut cluster = Cluster::new(count);
    cluster.connect_all();
    cluster.run(Duration::from_secs(5), |_| {});
    cluster
}

macro_rules! at_sizes {
    ($($name:ident: $count:expr => $test:ident;)*) => {
        $(#[test]
        fn $name() {
            $test($count);
        })*
    };
}

at_sizes! {
    nine_nodes_discover_each_other: 9 => nodes_discover_each_other;
    target_nodes_discover_each_other: 380 => nodes_discover_each_other;
    nine_nodes_send_bounded_bytes: 9 => nodes_send_bounded_bytes;
    target_nodes_send_bounded_bytes: 380 => nodes_send_bounded_bytes;
    nine_nodes_tolerate_a_one_way_link: 9 => one_way_link_causes_no_suspicion;
    target_nodes_tolerate_a_one_way_link: 380 => one_way_link_causes_no_suspicion;
    nine_nodes_tolerate_a_short_pause: 9 => short_pause_causes_no_suspicion;
    target_nodes_tolerate_a_short_pause: 380 => short_pause_causes_no_suspicion;
    nine_nodes_detect_a_lost_domain: 9 => lost_domain_is_detected;
    target_nodes_detect_a_lost_domain: 380 => lost_domain_is_detected;
    nine_nodes_tolerate_a_straggler: 9 => straggler_stays_live;
    nine_nodes_hold_a_returned_node: 9 => returned_node_is_held;
}

/// Each node has only one or two seeds. If updates didn't spread, several nodes would each see a nearly empty
/// cluster and claim the same shards, and callers would receive refusals.
fn nodes_discover_each_other(count: usize) {
    let mut cluster = Cluster::new(count);
    cluster.run(JOIN_TIME, |_| {});
    let live = cluster.count(0..count, 0..count, Liveness::Live);
    assert_eq!(live, count * count);
}

/// If the cost of heartbeats grew with the number of nodes, they would saturate the entry VMs' links at the
/// target size.
fn nodes_send_bounded_bytes(count: usize) {
    let mut cluster = joined_cluster(count);
    cluster.bytes_sent.fill(0);
    cluster.run(Duration::from_secs(20), |_| {});
    let most = cluster.bytes_sent.iter().max().unwrap() / 20;
    let mean = cluster.bytes_sent.iter().sum::<u64>() / 20 / count as u64;
    println!("{count} nodes: mean {mean} B/s, most {most} B/s sent per node");
    assert!(mean <= MAX_BYTES_PER_SECOND, "{mean} B/s");
}

/// A firewall rule or a full table drops packets from one node to another, in one direction only. If the
/// suspicion of that one node were sufficient, the shards of the other would be claimed repeatedly.
fn one_way_link_causes_no_suspicion(count: usize) {
    let mut cluster = joined_cluster(count);
    cluster.cut_links.push((0, 1));
    cluster.run(Duration::from_secs(60), |cluster| {
        for by in [0, 2, 3, count - 1] {
            assert_eq!(
                cluster.standing(1, by),
                Some(Liveness::Live),
                "{}",
                cluster.now
            );
        }
    });
}

/// A VM is paused for two seconds by its host. If it were marked as down and then as alive again, each of its
/// shards would refuse work twice.
fn short_pause_causes_no_suspicion(count: usize) {
    let mut cluster = joined_cluster(count);
    cluster.pause(1, Duration::from_secs(2));
    cluster.run(Duration::from_secs(30), |cluster| {
        for by in [0, 2, count - 1] {
            assert_eq!(
                cluster.standing(1, by),
                Some(Liveness::Live),
                "{}",
                cluster.now
            );
        }
        for of in [0, 2, count - 1] {
            assert_eq!(
                cluster.standing(of, 1),
                Some(Liveness::Live),
                "{}",
                cluster.now
            );
        }
    });
}

/// A zone loses power. Until the remaining nodes agree that its nodes are down, their shards have no owner
/// and keyed actions on them are refused.
fn lost_domain_is_detected(count: usize) {
    let mut cluster = joined_cluster(count);
    let lost = (0..count).step_by(3);
    let survivors: Vec<usize> = (0..count).filter(|node| node % 3 != 0).collect();
    lost.clone().for_each(|node| cluster.kill(node));
    let by = || survivors.iter().copied();
    let all = lost.clone().count() * survivors.len();
    cluster.run(Duration::from_secs(40), |_| {});
    let most = cluster.count(lost.clone(), by(), Liveness::Suspected);
    println!("{count} nodes: {most} of {all} detected after 40 s");
    assert!(all - most <= all / 100, "{most} of {all}");
    cluster.run(Duration::from_secs(120), |_| {});
    assert_eq!(cluster.count(lost.clone(), by(), Liveness::Suspected), all);
    assert_eq!(
        cluster.count(by(), by(), Liveness::Live),
        survivors.len() * survivors.len()
    );
}

/// One VM responds to everything a second late. It is slow but alive, and moving its shards away and back
/// would cost more than waiting for it.
fn straggler_stays_live(count: usize) {
    let mut cluster = joined_cluster(count);
    cluster.delay[1] = Duration::from_millis(1_000);
    cluster.run(Duration::from_secs(60), |cluster| {
        for by in [0, 2, count - 1] {
            assert_eq!(
                cluster.standing(1, by),
                Some(Liveness::Live),
                "{}",
                cluster.now
            );
        }
    });
}

/// A VM is paused for half a minute and returns. It must be marked as down, so that other nodes take over its
/// shards, and may not get any back before it has been healthy for the hold.
fn returned_node_is_held(count: usize) {
    let mut cluster = joined_cluster(count);
    cluster.pause(1, Duration::from_secs(30));
    cluster.run(Duration::from_secs(30), |_| {});
    assert_eq!(cluster.standing(1, 0), Some(Liveness::Suspected));
    cluster.run(Duration::from_secs(4), |_| {});
    assert_eq!(cluster.standing(1, 0), Some(Liveness::Suspected));
    cluster.run(Duration::from_secs(10), |_| {});
    assert_eq!(cluster.standing(1, 0), Some(Liveness::Live));
}
