//! The whole path in one process: what a newcomer runs first.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use anyhow::{Context as _, ensure};
use http::Method;
use serde::Serialize;
use sesamecart_fold::DrainTarget;
use sesamecart_runtime::{Worker, sleep};
use sesamecart_standins::{EngineSpeed, answer_text, receipt_of};
use sesamecart_vocabulary::{Concurrency, FailureDomainId};

use crate::caller::Caller;
use crate::cluster::{Cluster, ClusterPlan, NodePlan};

const MODEL: &str = "assistant";
const SERVICE: &str = "stock";
const DOMAINS: [&str; 3] = ["muscat-a", "muscat-b", "muscat-c"];
/// The tokens of each chat answer.
const TOKENS: u64 = 24;
/// The callers that chat while a failure domain is taken out.
const CALLERS: usize = 12;
/// How long a configuration may take to be in force everywhere.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(4);
/// How long new work may still reach a drained failure domain.
const DRAIN_LIMIT: Duration = Duration::from_secs(3);
/// How long the load runs before, during and after the drain.
const PHASE: Duration = Duration::from_millis(800);

/// What a run found; any broken promise makes the run fail.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Findings {
    /// Chat answers that came whole and right.
    pub chat_answers: u64,
    /// Chat answers that were wrong, doubled, cut or refused.
    pub wrong_answers: u64,
    /// How often transfers were run.
    pub transfers_run: u64,
    /// How many transfers callers asked for, each under a key of its own.
    pub transfers_asked: u64,
    /// Requests that were refused with "not run", truthfully.
    pub refused_not_run: u64,
    /// Seconds from the drain's append until the failure domain got its last new request.
    pub drained_domain_new_work_after_s: f64,
    /// Seconds from the append's acknowledgement until the configuration was in force everywhere.
    pub config_in_force_s: f64,
}

/// Runs the whole path and returns what it found.
///
/// # Errors
///
/// Returns an error when a promise is broken or something can't start.
pub fn run(examples: PathBuf) -> anyhow::Result<Findings> {
    let mut callers = Worker::start("callers")?;
    let found = async_io::block_on(play(&callers, examples));
    callers.stop();
    found
}

async fn play(callers: &Worker, examples: PathBuf) -> anyhow::Result<Findings> {
    let mut findings = Findings::default();
    let nodes = DOMAINS.iter().enumerate().map(|(index, domain)| {
        Ok(NodePlan {
            node: format!("node-{index}").parse()?,
            failure_domain: domain.parse()?,
        })
    });
    let plan = ClusterPlan {
        sheet: examples.join("day.csv"),
        inventory: examples.join("inventory.json"),
        nodes: nodes.collect::<anyhow::Result<_>>()?,
        speed: EngineSpeed {
            first_token: Duration::from_millis(5),
            prompt_token: Duration::from_micros(20),
            token: Duration::from_millis(1),
            batch_knee: Concurrency(16),
        },
        traffic_threads: 2,
    };
    let mut cluster = Cluster::start(&plan)?;
    println!(
        "started: 1 log, 1 VM list, 1 weight store, {} engines, {} plain services, {} nodes",
        cluster.engines.len(),
        cluster.services.len(),
        cluster.nodes.len()
    );
    let in_force = cluster
        .publish()
        .await
        .context("publish the day's configuration")?;
    cluster.wait_ready().await?;
    findings.config_in_force_s = in_force.as_secs_f64();
    println!(
        "published: examples/day.csv in force on 3 nodes after {:.3} s",
        in_force.as_secs_f64()
    );
    let caller = Caller::new(callers.tasks().clone(), cluster.callers_key());
    chat(&cluster, &caller, &mut findings).await?;
    transfers(&cluster, &caller, &mut findings).await?;
    status(&cluster, &caller).await?;
    refusals(&cluster, callers, &mut findings).await?;
    move_domain(&mut cluster, callers, &mut findings).await?;
    count_runs(&cluster, &mut findings);
    cluster.stop();
    check(&findings)?;
    Ok(findings)
}

async fn chat(cluster: &Cluster, caller: &Caller, findings: &mut Findings) -> anyhow::Result<()> {
    let prompt = "Summarise tank 4 for today's buyers.";
    let answer = caller
        .chat(cluster.callers(0), MODEL, prompt, TOKENS)
        .await?;
    let right = answer.done && answer.text == answer_text(prompt, TOKENS);
    ensure!(right, "the chat answer is wrong: {answer:?}");
    findings.chat_answers += 1;
    println!(
        "chat: {} tokens, the first after {:.1} ms",
        answer.events.len(),
        answer
            .events
            .first()
            .copied()
            .unwrap_or_default()
            .as_secs_f64()
            * 1e3
    );
    Ok(())
}

async fn transfers(
    cluster: &Cluster,
    caller: &Caller,
    findings: &mut Findings,
) -> anyhow::Result<()> {
    let transfer = "transfer-1";
    findings.transfers_asked += 1;
    let first = caller
        .transfer(cluster.callers(0), SERVICE, transfer, "key-1")
        .await?;
    let second = caller
        .transfer(cluster.callers(1), SERVICE, transfer, "key-1")
        .await?;
    ensure!(
        first.status.is_success(),
        "the transfer was not confirmed: {first:?}"
    );
    ensure!(
        first.body == second.body,
        "the second answer differs: {first:?}, {second:?}"
    );
    let receipt = first.json()?["receipt"].as_str().map(str::to_owned);
    ensure!(
        receipt == Some(receipt_of(transfer)),
        "the receipt is of another transfer"
    );
    println!("transfer: sent twice through two nodes, the same answer twice");
    Ok(())
}

async fn status(cluster: &Cluster, caller: &Caller) -> anyhow::Result<()> {
    let path = format!("/services/{SERVICE}/orders/transfer-1");
    let answer = caller
        .call(cluster.callers(2), Method::GET, &path, None, "")
        .await?;
    ensure!(
        answer.status.is_success(),
        "the order status was not answered: {answer:?}"
    );
    let confirmed = answer.json()?["status"] == "confirmed";
    ensure!(confirmed, "the booked transfer is not found: {answer:?}");
    println!("order status: {}", String::from_utf8_lossy(&answer.body));
    Ok(())
}

/// Asks for what can't be had and checks that each refusal says "not run".
async fn refusals(
    cluster: &Cluster,
    callers: &Worker,
    findings: &mut Findings,
) -> anyhow::Result<()> {
    let stranger = Caller::new(callers.tasks().clone(), "not-a-key");
    let customer = Caller::new(callers.tasks().clone(), cluster.callers_key());
    let node = cluster.callers(0);
    let refused = [
        stranger
            .transfer(node, SERVICE, "transfer-x", "key-x")
            .await?,
        customer
            .transfer(node, "no-such-service", "transfer-x", "key-x")
            .await?,
        customer
            .call(node, Method::POST, "/v1/chat/completions", None, "{")
            .await?,
    ];
    for answer in refused {
        let outcome = answer.json()?["error"]["outcome"].clone();
        ensure!(
            outcome == "not-run",
            "a refusal doesn't say what became of it: {answer:?}"
        );
        findings.refused_not_run += 1;
    }
    println!("refusals: {} said \"not run\"", findings.refused_not_run);
    Ok(())
}

/// What the callers under load count.
#[derive(Debug, Default)]
struct Load {
    stop: AtomicBool,
    right: AtomicU64,
    wrong: AtomicU64,
    running: AtomicU64,
}

async fn move_domain(
    cluster: &mut Cluster,
    callers: &Worker,
    findings: &mut Findings,
) -> anyhow::Result<()> {
    let load = Arc::new(Load::default());
    for index in 0..CALLERS {
        let node = cluster.callers(index % cluster.nodes.len());
        let caller = Caller::new(callers.tasks().clone(), cluster.callers_key());
        load.running.fetch_add(1, Ordering::SeqCst);
        callers
            .tasks()
            .spawn(call_on(Arc::clone(&load), caller, node, index));
    }
    sleep(PHASE).await;
    let domain: FailureDomainId = DOMAINS[0].parse()?;
    let target = DrainTarget::FailureDomain(domain.clone());
    let ordered = Instant::now();
    cluster
        .drain(target.clone(), true)
        .await
        .context("drain a failure domain")?;
    findings.drained_domain_new_work_after_s = last_work(cluster, &domain, ordered).await;
    cluster
        .drain(target, false)
        .await
        .context("bring the failure domain back")?;
    let before = requests(cluster, &domain);
    sleep(PHASE).await;
    let returned = requests(cluster, &domain) > before;
    load.stop.store(true, Ordering::SeqCst);
    while load.running.load(Ordering::SeqCst) > 0 {
        sleep(Duration::from_millis(5)).await;
    }
    ensure!(
        returned,
        "the failure domain got no work after it came back"
    );
    findings.chat_answers += load.right.load(Ordering::SeqCst);
    findings.wrong_answers += load.wrong.load(Ordering::SeqCst);
    println!(
        "failure domain: {domain} taken out and brought back under load, its last new work {:.3} s after the order",
        findings.drained_domain_new_work_after_s
    );
    Ok(())
}

async fn call_on(load: Arc<Load>, caller: Caller, node: std::net::SocketAddr, index: usize) {
    let mut round = 0_u64;
    while !load.stop.load(Ordering::SeqCst) {
        round += 1;
        let prompt = format!("caller {index}, round {round}");
        let answer = caller.chat(node, MODEL, &prompt, TOKENS).await;
        let right =
            answer.is_ok_and(|answer| answer.done && answer.text == answer_text(&prompt, TOKENS));
        let counter = if right { &load.right } else { &load.wrong };
        counter.fetch_add(1, Ordering::SeqCst);
    }
    load.running.fetch_sub(1, Ordering::SeqCst);
}

/// Returns the requests that a failure domain's engines have got.
fn requests(cluster: &Cluster, domain: &FailureDomainId) -> u64 {
    cluster
        .engines
        .iter()
        .filter(|(id, _)| {
            let endpoint = cluster.configuration.endpoints.get(*id);
            endpoint.is_some_and(|endpoint| endpoint.failure_domain == *domain)
        })
        .map(|(_, engine)| engine.counts().begun)
        .sum()
}

/// Watches a drained failure domain and returns the seconds from the order to its last new request.
async fn last_work(cluster: &Cluster, domain: &FailureDomainId, ordered: Instant) -> f64 {
    let mut seen = requests(cluster, domain);
    let mut last = ordered.elapsed();
    let begun = Instant::now();
    while begun.elapsed() < PHASE.max(DRAIN_LIMIT / 2) {
        sleep(Duration::from_millis(2)).await;
        let now = requests(cluster, domain);
        if now != seen {
            seen = now;
            last = ordered.elapsed();
        }
    }
    last.as_secs_f64()
}

fn count_runs(cluster: &Cluster, findings: &mut Findings) {
    // The processes of the service share one ledger.
    if let Some(service) = cluster.services.values().next() {
        findings.transfers_run = service.runs().values().map(|runs| u64::from(*runs)).sum();
    }
}

fn check(findings: &Findings) -> anyhow::Result<()> {
    ensure!(
        findings.config_in_force_s < IN_FORCE_LIMIT.as_secs_f64(),
        "the configuration was in force only after {:.1} s",
        findings.config_in_force_s
    );
    ensure!(
        findings.wrong_answers == 0,
        "{} chat answers were wrong",
        findings.wrong_answers
    );
    ensure!(
        findings.transfers_run == findings.transfers_asked,
        "{} transfers were asked for and {} run",
        findings.transfers_asked,
        findings.transfers_run
    );
    ensure!(
        findings.drained_domain_new_work_after_s < DRAIN_LIMIT.as_secs_f64(),
        "the drained failure domain got new work for {:.1} s",
        findings.drained_domain_new_work_after_s
    );
    Ok(())
}
