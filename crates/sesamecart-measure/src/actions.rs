//! `measure -- actions`: transfers under keys through nine nodes while much goes wrong.
//!
//! Callers book transfers and, unless they get an answer, ask again under the same key through
//! another node. Meanwhile nodes crash and are paused, the log goes out and loses answers, services
//! cut connections, and a failure domain leaves. The ledger counts every run. The same callers then
//! do without keys, which shows what the keys are for.

mod booking;
mod faults;
mod latency;
mod tally;

use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::ensure;
use gumdrop::Options;
use serde::Serialize;
use sesamecart_fold::Record;
use sesamecart_runtime::{Worker, sleep};
use sesamecart_standins::{EngineSpeed, PlainServiceFaults};
use sesamecart_vocabulary::ServiceId;

use crate::cluster::{Cluster, ClusterPlan, NodePlan};
use booking::{Booker, Keys, Nodes};
use tally::{Tally, Totals};

const DOMAINS: [&str; 3] = ["muscat-a", "muscat-b", "muscat-c"];
const SERVICE: &str = "stock";

/// What to measure.
#[derive(Debug, Options)]
pub struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "transfers under keys", default = "20000")]
    transfers: u64,
    #[options(help = "transfers without keys", default = "4000")]
    baseline: u64,
    #[options(help = "callers at once", default = "96")]
    callers: usize,
    #[options(help = "the seed of the faults", default = "1")]
    seed: u64,
    #[options(help = "only measure the time that a key adds")]
    latency_only: bool,
}

#[derive(Debug, Serialize)]
struct Report {
    #[serde(flatten)]
    keyed: Totals,
    baseline: Totals,
    added: Vec<latency::Added>,
    log_appends_per_s: f64,
    lease_claims: usize,
    seconds: f64,
}

/// What a run appended to the log.
#[derive(Clone, Copy, Debug)]
struct LogUse {
    appends_per_s: f64,
    claims: usize,
}

/// Runs the measurement.
///
/// # Errors
///
/// Returns an error when a promise is broken or something can't start.
pub fn run(arguments: &Arguments) -> anyhow::Result<()> {
    let mut worker = Worker::start("callers")?;
    let measured = async_io::block_on(measure(arguments, &worker));
    worker.stop();
    measured
}

async fn measure(arguments: &Arguments, worker: &Worker) -> anyhow::Result<()> {
    let begun = Instant::now();
    let added = latency::measure(worker).await?;
    for one in &added {
        println!(
            "{}: p50 {:.1} ms, p99 {:.1} ms, {} of {} refused",
            one.log, one.p50_ms, one.p99_ms, one.refused, one.asked
        );
    }
    if arguments.latency_only {
        return Ok(());
    }
    let (keyed, used) = book(arguments, worker, Keys::Used, arguments.transfers).await?;
    println!("with keys: {}", serde_json::to_string(&keyed)?);
    let (baseline, _) = book(arguments, worker, Keys::None, arguments.baseline).await?;
    println!("without keys: {}", serde_json::to_string(&baseline)?);
    let report = Report {
        keyed,
        baseline,
        added,
        log_appends_per_s: used.appends_per_s,
        lease_claims: used.claims,
        seconds: begun.elapsed().as_secs_f64(),
    };
    println!("{}", serde_json::to_string(&report)?);
    let keyed = &report.keyed;
    ensure!(
        keyed.run_more_than_once == 0,
        "transfers ran more than once"
    );
    ensure!(keyed.false_refusals == 0, "refusals were not true");
    ensure!(keyed.wrong_answers == 0, "answers were wrong");
    ensure!(
        keyed.unresolved == 0,
        "keys stayed unknown after the faults"
    );
    Ok(())
}

/// The plan of nine nodes in three failure domains.
pub(crate) fn plan(traffic_threads: usize) -> anyhow::Result<ClusterPlan> {
    let examples = PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples"));
    let nodes = (0..9).map(|index| {
        Ok(NodePlan {
            node: format!("node-{index}").parse()?,
            failure_domain: DOMAINS[index % DOMAINS.len()].parse()?,
        })
    });
    Ok(ClusterPlan {
        sheet: examples.join("day.csv"),
        inventory: examples.join("inventory.json"),
        nodes: nodes.collect::<anyhow::Result<_>>()?,
        speed: EngineSpeed::default(),
        traffic_threads,
    })
}

/// Starts nine nodes whose stock service can be asked what became of a try.
async fn start() -> anyhow::Result<Cluster> {
    let mut cluster = Cluster::start(&plan(1)?)?;
    let service: ServiceId = SERVICE.parse()?;
    if let Some(service) = cluster.configuration.services.get_mut(&service) {
        service.settles_actions = true;
    }
    cluster.wait_ready().await?;
    cluster.publish().await?;
    Ok(cluster)
}

async fn book(
    arguments: &Arguments,
    worker: &Worker,
    keys: Keys,
    transfers: u64,
) -> anyhow::Result<(Totals, LogUse)> {
    let mut cluster = start().await?;
    for service in cluster.services.values() {
        service.set_faults(service_faults());
    }
    let nodes = Nodes::of(&cluster);
    let ledger = cluster.ledgers[&SERVICE.parse::<ServiceId>()?].clone();
    let tally = Arc::new(Tally::new(transfers, ledger));
    let booker = Booker::new(worker, &cluster, nodes.clone(), Arc::clone(&tally), keys);
    for caller in 0..arguments.callers {
        let booker = booker.clone();
        let seed = arguments.seed.wrapping_mul(1_000_003) + caller as u64;
        worker.tasks().spawn(async move { booker.run(seed).await });
    }
    let before = (cluster.log.counts().appends, Instant::now());
    faults::play(&mut cluster, &nodes, &tally, keys).await?;
    let limit = Instant::now() + Duration::from_secs(45);
    while !tally.is_done() && Instant::now() < limit {
        sleep(Duration::from_millis(20)).await;
    }
    let appends = cluster.log.counts().appends - before.0;
    #[expect(clippy::cast_precision_loss, reason = "a count of appends is small")]
    let per_second = appends as f64 / before.1.elapsed().as_secs_f64();
    let is_claim = |data: &bytes::Bytes| {
        let record = Record::decode(data).map(|envelope| envelope.record);
        matches!(record, Ok(Record::Claim { .. }))
    };
    let used = LogUse {
        appends_per_s: per_second,
        claims: cluster
            .log
            .records()
            .iter()
            .filter(|data| is_claim(data))
            .count(),
    };
    let totals = tally.totals();
    cluster.stop();
    Ok((totals, used))
}

fn service_faults() -> PlainServiceFaults {
    PlainServiceFaults {
        cut_before_reading: 0.005,
        cut_before_running: 0.005,
        cut_after_running: 0.01,
        cut_in_answer: 0.01,
        cut_on_reuse: 0.01,
        refused: 0.01,
        delay_ms: 1,
        answer_delay_ms: 1,
    }
}
