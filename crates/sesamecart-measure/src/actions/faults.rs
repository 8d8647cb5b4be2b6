//! The faults of a run, one after another, while callers book.

use std::time::Duration;

use sesamecart_fold::DrainTarget;
use sesamecart_runtime::sleep;
use sesamecart_standins::{LogFaults, LogOutage};

use super::booking::{Keys, Nodes};
use super::plan;
use super::tally::Tally;
use crate::cluster::{Cluster, NodePlan};

/// The time between two faults.
const CALM: Duration = Duration::from_millis(1_200);

fn usual() -> LogFaults {
    LogFaults {
        append_ms: 5,
        lost_answers: 0.01,
        lost_requests: 0.005,
        ..LogFaults::default()
    }
}

/// Plays every fault in turn and then lets callers end.
pub(crate) async fn play(
    cluster: &mut Cluster,
    nodes: &Nodes,
    tally: &Tally,
    keys: Keys,
) -> anyhow::Result<()> {
    cluster.log.set_faults(usual());
    let plans = plan(1)?.nodes;
    sleep(CALM).await;
    crash(cluster, nodes, &plans[..1], Duration::from_millis(800)).await?;
    sleep(CALM).await;
    // Longer than any lease: its owner wakes up and finds its shards taken.
    cluster.nodes[2].pause(Duration::from_secs(4));
    sleep(Duration::from_secs(5)).await;
    if keys == Keys::Used {
        outage(cluster, LogOutage::Refusing, Duration::from_secs(3)).await;
        outage(cluster, LogOutage::Silent, Duration::from_secs(2)).await;
        outage(cluster, LogOutage::Cutting, Duration::from_secs(1)).await;
        crash_in_outage(cluster, nodes, &plans[4]).await?;
    }
    domain_out(cluster, nodes, &plans).await?;
    tally.no_more_faults();
    Ok(())
}

async fn crash(
    cluster: &mut Cluster,
    nodes: &Nodes,
    plans: &[NodePlan],
    down: Duration,
) -> anyhow::Result<()> {
    for plan in plans {
        cluster.kill_node(&plan.node)?;
    }
    nodes.show(cluster);
    sleep(down).await;
    for plan in plans {
        cluster.start_node(plan, 1)?;
    }
    cluster.wait_ready().await?;
    nodes.show(cluster);
    Ok(())
}

async fn outage(cluster: &Cluster, outage: LogOutage, time: Duration) {
    let out = LogFaults {
        outage,
        ..LogFaults::default()
    };
    cluster.log.set_faults(out);
    sleep(time).await;
    cluster.log.set_faults(usual());
    sleep(CALM).await;
}

/// An owner dies while the log is out, with actions that only its voters know of.
async fn crash_in_outage(
    cluster: &mut Cluster,
    nodes: &Nodes,
    plan: &NodePlan,
) -> anyhow::Result<()> {
    let out = LogFaults {
        outage: LogOutage::Refusing,
        ..LogFaults::default()
    };
    cluster.log.set_faults(out);
    sleep(Duration::from_millis(700)).await;
    cluster.kill_node(&plan.node)?;
    nodes.show(cluster);
    sleep(CALM).await;
    cluster.log.set_faults(usual());
    cluster.start_node(plan, 1)?;
    cluster.wait_ready().await?;
    nodes.show(cluster);
    sleep(CALM).await;
    Ok(())
}

/// A failure domain is taken out: its services are drained and its nodes die; later it returns.
async fn domain_out(
    cluster: &mut Cluster,
    nodes: &Nodes,
    plans: &[NodePlan],
) -> anyhow::Result<()> {
    let domain = plans[1].failure_domain.clone();
    let target = DrainTarget::FailureDomain(domain.clone());
    cluster.log.set_faults(LogFaults::default());
    cluster.drain(target.clone(), true).await?;
    cluster.log.set_faults(usual());
    let gone: Vec<_> = plans
        .iter()
        .filter(|plan| plan.failure_domain == domain)
        .cloned()
        .collect();
    crash(cluster, nodes, &gone, Duration::from_secs(2)).await?;
    cluster.log.set_faults(LogFaults::default());
    cluster.drain(target, false).await?;
    cluster.log.set_faults(usual());
    sleep(CALM).await;
    Ok(())
}
