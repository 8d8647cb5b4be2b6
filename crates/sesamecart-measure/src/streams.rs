//! `measure -- streams`: streamed answers while engines mix them up, break them and end them early.
//!
//! Callers check every token. In the middle, an engine crashes and comes back, and every node is
//! restarted in turn, which must cut nothing off. Some callers leave, and their engines must be free
//! again in the end.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use anyhow::ensure;
use fastrand::Rng;
use gumdrop::Options;
use serde::Serialize;
use sesamecart_runtime::{Worker, sleep, with_timeout};
use sesamecart_standins::{EngineFaults, EngineSpeed, answer_text, answer_token};
use sesamecart_vocabulary::Concurrency;

use crate::actions::plan;
use crate::caller::{Caller, StreamAnswer};
use crate::cluster::Cluster;
use crate::quantile::quantile;

const MODEL: &str = "assistant";
/// One caller in this many leaves in the middle of its stream.
const LEAVING: u32 = 25;
/// How long engines may take to notice that everybody has left.
const FREE_LIMIT: Duration = Duration::from_secs(3);

/// What to measure.
#[derive(Debug, Options)]
pub struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "streams", default = "6000")]
    streams: u64,
    #[options(help = "callers at once", default = "64")]
    callers: usize,
    #[options(help = "the seed of callers and faults", default = "1")]
    seed: u64,
}

/// What callers got.
#[derive(Clone, Debug, Default, Serialize)]
struct Found {
    streams: u64,
    right: u64,
    wrong: u64,
    doubled: u64,
    silently_cut: u64,
    clear_errors: u64,
    refused: u64,
    broken_connections: u64,
    left: u64,
    resumed: u64,
    engine_faults: u64,
    nodes_restarted: u64,
    cut_off_by_restarts: u64,
    still_running: u64,
    first_token_ms_p50: f64,
    first_token_ms_p99: f64,
    seconds: f64,
}

#[derive(Debug)]
struct Load {
    caller: Caller,
    nodes: Mutex<Vec<SocketAddr>>,
    next: AtomicU64,
    wanted: u64,
    ended: AtomicU64,
    /// Whether callers go on beyond what was wanted, since something is still to happen.
    more: AtomicU64,
    found: Mutex<Found>,
    first_tokens: Mutex<Vec<f64>>,
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
    let mut plan = plan(1)?;
    plan.speed = EngineSpeed {
        first_token: Duration::from_millis(2),
        prompt_token: Duration::ZERO,
        token: Duration::from_millis(1),
        batch_knee: Concurrency(64),
    };
    let mut cluster = Cluster::start(&plan)?;
    cluster.wait_ready().await?;
    cluster.publish().await?;
    for engine in cluster.engines.values() {
        engine.set_faults(faults());
    }
    let load = Arc::new(Load {
        caller: Caller::new(worker.tasks().clone(), cluster.callers_key()),
        nodes: Mutex::new(addresses(&cluster)),
        next: AtomicU64::new(0),
        wanted: arguments.streams,
        ended: AtomicU64::new(0),
        more: AtomicU64::new(1),
        found: Mutex::default(),
        first_tokens: Mutex::default(),
    });
    for index in 0..arguments.callers {
        let load = Arc::clone(&load);
        let seed = arguments.seed.wrapping_mul(1_000_003) + index as u64;
        worker.tasks().spawn(async move { load.run(seed).await });
    }
    sleep(Duration::from_millis(500)).await;
    crash_engine(&cluster).await;
    let (restarted, cut_off) = restart_all(&mut cluster, &load, &plan.nodes).await?;
    load.more.store(0, Ordering::Relaxed);
    let limit = Instant::now() + Duration::from_secs(60);
    while !load.is_done() && Instant::now() < limit {
        sleep(Duration::from_millis(20)).await;
    }
    let mut found = load.found.lock().unwrap().clone();
    found.nodes_restarted = restarted;
    found.cut_off_by_restarts = cut_off;
    found.still_running = still_running(&cluster).await;
    let counts = cluster
        .engines
        .values()
        .map(sesamecart_standins::Engine::counts);
    found.resumed = counts.clone().map(|counts| counts.resumed).sum();
    found.engine_faults = counts.map(|counts| counts.crossed + counts.cancelled).sum();
    let mut first_tokens = load.first_tokens.lock().unwrap().clone();
    found.first_token_ms_p50 = quantile(&mut first_tokens, 0.5);
    found.first_token_ms_p99 = quantile(&mut first_tokens, 0.99);
    found.seconds = begun.elapsed().as_secs_f64();
    cluster.stop();
    println!("{}", serde_json::to_string(&found)?);
    ensure!(found.streams >= arguments.streams, "not all streams ended");
    ensure!(found.wrong == 0, "{} answers were wrong", found.wrong);
    ensure!(
        found.silently_cut == 0,
        "{} were cut silently",
        found.silently_cut
    );
    ensure!(
        found.cut_off_by_restarts == 0,
        "restarts cut off {cut_off} connections"
    );
    ensure!(
        found.broken_connections == 0,
        "connections broke under callers"
    );
    ensure!(
        found.still_running == 0,
        "engines still run for callers that left"
    );
    Ok(())
}

fn faults() -> EngineFaults {
    EngineFaults {
        crossed: 0.02,
        foreign_events: 0.002,
        doubled_events: 0.005,
        broken: 0.03,
        ended_early: 0.02,
        refused: 0.02,
        ..EngineFaults::default()
    }
}

fn addresses(cluster: &Cluster) -> Vec<SocketAddr> {
    let nodes = 0..cluster.nodes.len();
    nodes.map(|node| cluster.callers(node)).collect()
}

/// An engine dies with streams in its batch, and comes back cold.
async fn crash_engine(cluster: &Cluster) {
    if let Some(engine) = cluster.engines.values().next() {
        engine.crash();
        sleep(Duration::from_millis(700)).await;
        engine.revive();
    }
}

/// Restarts every node in turn; the balancer sends no callers to one that isn't ready.
async fn restart_all(
    cluster: &mut Cluster,
    load: &Load,
    plans: &[crate::cluster::NodePlan],
) -> anyhow::Result<(u64, u64)> {
    let mut cut_off = 0;
    for plan in plans {
        let index = cluster
            .nodes
            .iter()
            .position(|node| node.shared().settings.node == plan.node);
        let leaving = index.map(|index| cluster.callers(index));
        let mut nodes = addresses(cluster);
        nodes.retain(|address| Some(*address) != leaving);
        *load.nodes.lock().unwrap() = nodes;
        cut_off += cluster.leave_node(&plan.node).await? as u64;
        cluster.start_node(plan, 1)?;
        cluster.wait_ready().await?;
        *load.nodes.lock().unwrap() = addresses(cluster);
    }
    Ok((plans.len() as u64, cut_off))
}

async fn still_running(cluster: &Cluster) -> u64 {
    let running = || {
        let counts = cluster
            .engines
            .values()
            .map(sesamecart_standins::Engine::counts);
        counts.map(|counts| u64::from(counts.running)).sum::<u64>()
    };
    let limit = Instant::now() + FREE_LIMIT;
    while running() > 0 && Instant::now() < limit {
        sleep(Duration::from_millis(10)).await;
    }
    running()
}

impl Load {
    fn is_done(&self) -> bool {
        let ended = self.ended.load(Ordering::Relaxed);
        ended >= self.wanted && ended >= self.next.load(Ordering::Relaxed)
    }

    fn take(&self) -> Option<u64> {
        let next = self.next.fetch_add(1, Ordering::Relaxed);
        if next >= self.wanted && self.more.load(Ordering::Relaxed) == 0 {
            self.next.fetch_sub(1, Ordering::Relaxed);
            return None;
        }
        Some(next)
    }

    async fn run(&self, seed: u64) {
        let mut rng = Rng::with_seed(seed);
        while let Some(number) = self.take() {
            self.stream(number, &mut rng).await;
            self.ended.fetch_add(1, Ordering::Relaxed);
        }
    }

    async fn stream(&self, number: u64, rng: &mut Rng) {
        let node = {
            let nodes = self.nodes.lock().unwrap();
            nodes[rng.usize(..nodes.len())]
        };
        let prompt = format!("tank report {number}");
        let tokens = rng.u64(8..40);
        let answer = self.caller.chat(node, MODEL, &prompt, tokens);
        if rng.u32(..LEAVING) == 0 {
            let stays = Duration::from_millis(rng.u64(3..12));
            let left = with_timeout(stays, answer).await.is_err();
            let mut found = self.found.lock().unwrap();
            found.streams += 1;
            found.left += u64::from(left);
            found.right += u64::from(!left);
            return;
        }
        let answer = answer.await;
        let mut found = self.found.lock().unwrap();
        found.streams += 1;
        match answer {
            Ok(answer) => {
                if let Some(first) = answer.events.first() {
                    let first = first.as_secs_f64() * 1_000.0;
                    self.first_tokens.lock().unwrap().push(first);
                }
                found.note(&prompt, tokens, &answer);
            }
            Err(_) => found.broken_connections += 1,
        }
    }
}

impl Found {
    fn note(&mut self, prompt: &str, tokens: u64, answer: &StreamAnswer) {
        let right = answer_text(prompt, tokens);
        if !answer.status.is_success() {
            self.refused += 1;
        } else if answer.error.is_some() && right.starts_with(&answer.text) {
            self.clear_errors += 1;
        } else if answer.done && answer.text == right {
            self.right += 1;
        } else if right.starts_with(&answer.text) && !answer.done {
            self.silently_cut += 1;
        } else {
            self.wrong += 1;
            self.doubled += u64::from(is_doubled(prompt, tokens, &answer.text));
        }
    }
}

/// Returns whether an answer holds a token of its own twice in a row.
fn is_doubled(prompt: &str, tokens: u64, text: &str) -> bool {
    (0..tokens).any(|index| text.contains(&answer_token(prompt, index).repeat(2)))
}
