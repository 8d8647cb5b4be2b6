//! Tests of membership in virtual time.

mod kit;

use std::time::Duration;

use crate::Standing;
use kit::Cluster;

/// Long enough for every node to have heard of every other one, if all start at once.
const JOIN: Duration = Duration::from_secs(100);

/// The most encoded bytes a second that one node may send, whatever the number of nodes.
const MAX_BYTES_PER_SECOND: u64 = 4_000;

fn joined(count: usize) -> Cluster {
    let mut cluster = Cluster::new(count);
    cluster.introduce();
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
    nine_nodes_meet: 9 => nodes_meet;
    target_nodes_meet: 380 => nodes_meet;
    nine_nodes_send_few_bytes: 9 => nodes_send_few_bytes;
    target_nodes_send_few_bytes: 380 => nodes_send_few_bytes;
    nine_nodes_bear_a_one_way_link: 9 => one_way_link;
    target_nodes_bear_a_one_way_link: 380 => one_way_link;
    nine_nodes_bear_a_short_pause: 9 => short_pause;
    target_nodes_bear_a_short_pause: 380 => short_pause;
    nine_nodes_notice_a_lost_domain: 9 => lost_domain;
    target_nodes_notice_a_lost_domain: 380 => lost_domain;
    nine_nodes_bear_a_straggler: 9 => straggler;
    nine_nodes_keep_a_returned_node_from_duties: 9 => long_pause;
}

/// Each node is told of one or two others only. If news didn't spread, shards would be claimed by
/// several nodes that each think they are nearly alone, and callers would see refusals.
fn nodes_meet(count: usize) {
    let mut cluster = Cluster::new(count);
    cluster.run(JOIN, |_| {});
    let live = cluster.count(0..count, 0..count, Standing::Live);
    assert_eq!(live, count * count);
}

/// With a cost that grew with the number of nodes, heartbeats alone would fill the entry VMs' links
/// at the target size.
fn nodes_send_few_bytes(count: usize) {
    let mut cluster = joined(count);
    cluster.bytes.fill(0);
    cluster.run(Duration::from_secs(20), |_| {});
    let most = cluster.bytes.iter().max().unwrap() / 20;
    let mean = cluster.bytes.iter().sum::<u64>() / 20 / count as u64;
    println!("{count} nodes: mean {mean} B/s, most {most} B/s sent per node");
    assert!(mean <= MAX_BYTES_PER_SECOND, "{mean} B/s");
}

/// A firewall rule or a full table drops packets from one node to another, one way only. If that
/// one node's word sufficed, the other's shards would be claimed again and again.
fn one_way_link(count: usize) {
    let mut cluster = joined(count);
    cluster.cut.push((0, 1));
    cluster.run(Duration::from_secs(60), |cluster| {
        for by in [0, 2, 3, count - 1] {
            assert_eq!(
                cluster.standing(1, by),
                Some(Standing::Live),
                "{}",
                cluster.now
            );
        }
    });
}

/// A VM is stopped for two seconds by its host. Users would see every shard of it refuse work twice
/// if it were taken for dead and then for alive again.
fn short_pause(count: usize) {
    let mut cluster = joined(count);
    cluster.pause(1, Duration::from_secs(2));
    cluster.run(Duration::from_secs(30), |cluster| {
        for by in [0, 2, count - 1] {
            assert_eq!(
                cluster.standing(1, by),
                Some(Standing::Live),
                "{}",
                cluster.now
            );
        }
        for of in [0, 2, count - 1] {
            assert_eq!(
                cluster.standing(of, 1),
                Some(Standing::Live),
                "{}",
                cluster.now
            );
        }
    });
}

/// A zone loses power. Until the survivors agree that its nodes are down, their shards have no
/// owner and keyed actions on them are refused.
fn lost_domain(count: usize) {
    let mut cluster = joined(count);
    let lost = (0..count).step_by(3);
    let left: Vec<usize> = (0..count).filter(|node| node % 3 != 0).collect();
    lost.clone().for_each(|node| cluster.kill(node));
    let by = || left.iter().copied();
    let all = lost.clone().count() * left.len();
    cluster.run(Duration::from_secs(40), |_| {});
    let most = cluster.count(lost.clone(), by(), Standing::Suspected);
    println!("{count} nodes: {most} of {all} noticed after 40 s");
    assert!(all - most <= all / 100, "{most} of {all}");
    cluster.run(Duration::from_secs(120), |_| {});
    assert_eq!(cluster.count(lost.clone(), by(), Standing::Suspected), all);
    assert_eq!(
        cluster.count(by(), by(), Standing::Live),
        left.len() * left.len()
    );
}

/// One VM answers everything a second late. It is slow, not dead, and taking its shards away and
/// giving them back would hurt more than waiting for it.
fn straggler(count: usize) {
    let mut cluster = joined(count);
    cluster.delay[1] = Duration::from_millis(1_000);
    cluster.run(Duration::from_secs(60), |cluster| {
        for by in [0, 2, count - 1] {
            assert_eq!(
                cluster.standing(1, by),
                Some(Standing::Live),
                "{}",
                cluster.now
            );
        }
    });
}

/// A VM is stopped for half a minute and returns. It must be taken for down, so that others serve
/// its shards, and get none back before it has been well for a while.
fn long_pause(count: usize) {
    let mut cluster = joined(count);
    cluster.pause(1, Duration::from_secs(30));
    cluster.run(Duration::from_secs(30), |_| {});
    assert_eq!(cluster.standing(1, 0), Some(Standing::Suspected));
    cluster.run(Duration::from_secs(4), |_| {});
    assert_eq!(cluster.standing(1, 0), Some(Standing::Suspected));
    cluster.run(Duration::from_secs(10), |_| {});
    assert_eq!(cluster.standing(1, 0), Some(Standing::Live));
}
