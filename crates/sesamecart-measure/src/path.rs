//! `measure -- path`: what the node itself adds on the streaming path.
//!
//! The same callers stream from an engine stand-in directly and through a node in the same run, so
//! that what the machine does at the time affects both alike. Callers, engines and the node share
//! one process; the node's processor time is that of its threads alone.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use anyhow::ensure;
use gumdrop::Options;
use serde::Serialize;
use sesamecart_runtime::{Worker, sleep};
use sesamecart_standins::{EngineSpeed, answer_text};
use sesamecart_vocabulary::Concurrency;

use crate::caller::Caller;
use crate::cluster::{Cluster, ClusterPlan, NodePlan};
use crate::process::{resident, thread_cpu};
use crate::quantile::quantile;

const MODEL: &str = "assistant";
/// The tokens of each answer in the latency part.
const LATENCY_TOKENS: u64 = 8;
/// The tokens of each answer in the throughput part.
const LOAD_TOKENS: u64 = 100;

/// What to measure.
#[derive(Debug, Options)]
pub struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        help = "requests one after another, for the added time",
        default = "1000"
    )]
    requests: usize,
    #[options(help = "streams at once, for the processor time", default = "200")]
    streams: usize,
    #[options(help = "answers of each stream", default = "8")]
    rounds: usize,
}

/// What was measured.
#[derive(Debug, Serialize)]
struct Report {
    requests: usize,
    direct_first_token_ms_p50: f64,
    node_first_token_ms_p50: f64,
    added_first_token_ms_p50: f64,
    added_first_token_ms_p99: f64,
    streams: usize,
    tokens: u64,
    tokens_per_s: f64,
    cpu_ms_per_1000_tokens: f64,
    tokens_per_s_per_core: f64,
    requests_per_s_per_core: f64,
    resident_mb_before_load: f64,
    resident_mb_after_load: f64,
}

/// Measures and prints the report.
///
/// # Errors
///
/// Returns an error when something can't start or an answer is wrong.
pub fn run(arguments: &Arguments) -> anyhow::Result<()> {
    let mut callers = Worker::start("callers")?;
    let report = async_io::block_on(measure(&callers, arguments));
    callers.stop();
    println!("{}", serde_json::to_string(&report?)?);
    Ok(())
}

async fn measure(callers: &Worker, arguments: &Arguments) -> anyhow::Result<Report> {
    let examples = PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples"));
    let mut cluster = Cluster::start(&ClusterPlan {
        sheet: examples.join("day.csv"),
        inventory: examples.join("inventory.json"),
        nodes: vec![NodePlan {
            node: "node-0".parse()?,
            failure_domain: "muscat-a".parse()?,
        }],
        speed: EngineSpeed {
            first_token: Duration::from_millis(1),
            prompt_token: Duration::ZERO,
            token: Duration::from_millis(5),
            batch_knee: Concurrency(10_000),
        },
        traffic_threads: 1,
    })?;
    for endpoint in cluster.configuration.endpoints.values_mut() {
        endpoint.limits.cold = Concurrency(10_000);
        endpoint.limits.warm = Concurrency(10_000);
        endpoint.limits.kv_tokens.0 = 1_000_000_000;
    }
    cluster.publish().await?;
    cluster.wait_ready().await?;
    let caller = Caller::new(callers.tasks().clone(), cluster.callers_key());
    let (direct, through) = latency(&cluster, &caller, arguments.requests).await?;
    let before = resident()?;
    let load = load(&cluster, callers, arguments).await?;
    let after = resident()?;
    cluster.stop();
    let mut added: Vec<f64> = direct.iter().zip(&through).map(|(a, b)| b - a).collect();
    Ok(Report {
        requests: arguments.requests,
        direct_first_token_ms_p50: quantile(&mut direct.clone(), 0.5),
        node_first_token_ms_p50: quantile(&mut through.clone(), 0.5),
        added_first_token_ms_p50: quantile(&mut added, 0.5),
        added_first_token_ms_p99: quantile(&mut added, 0.99),
        streams: arguments.streams,
        tokens: load.tokens,
        tokens_per_s: per(load.tokens, load.taken),
        cpu_ms_per_1000_tokens: load.cpu.as_secs_f64() * 1e6 / to_f64(load.tokens),
        tokens_per_s_per_core: per(load.tokens, load.cpu),
        requests_per_s_per_core: per(load.tokens / LOAD_TOKENS, load.cpu),
        resident_mb_before_load: to_f64(before.0) / 1e6,
        resident_mb_after_load: to_f64(after.0) / 1e6,
    })
}

/// Sends requests by turns directly and through the node; returns milliseconds to the first token.
async fn latency(
    cluster: &Cluster,
    caller: &Caller,
    requests: usize,
) -> anyhow::Result<(Vec<f64>, Vec<f64>)> {
    let engine = cluster.engines[0].address();
    let node = cluster.callers(0);
    let mut direct = Vec::with_capacity(requests);
    let mut through = Vec::with_capacity(requests);
    for index in 0..requests {
        let prompt = format!("request {index}");
        direct.push(first_token(caller, engine, &prompt).await?);
        through.push(first_token(caller, node, &prompt).await?);
    }
    Ok((direct, through))
}

async fn first_token(caller: &Caller, peer: SocketAddr, prompt: &str) -> anyhow::Result<f64> {
    let answer = caller.chat(peer, MODEL, prompt, LATENCY_TOKENS).await?;
    let right = answer.done && answer.text == answer_text(prompt, LATENCY_TOKENS);
    ensure!(right, "an answer of {peer} is wrong: {answer:?}");
    Ok(answer.events[0].as_secs_f64() * 1e3)
}

struct LoadResult {
    tokens: u64,
    taken: Duration,
    cpu: Duration,
}

#[derive(Default)]
struct Counts {
    tokens: AtomicU64,
    wrong: AtomicU64,
    running: AtomicU64,
}

async fn load(
    cluster: &Cluster,
    callers: &Worker,
    arguments: &Arguments,
) -> anyhow::Result<LoadResult> {
    let counts = Arc::new(Counts::default());
    let cpu_before = thread_cpu("traffic")?;
    let begun = Instant::now();
    for stream in 0..arguments.streams {
        let caller = Caller::new(callers.tasks().clone(), cluster.callers_key());
        let node = cluster.callers(0);
        let counts_of_task = Arc::clone(&counts);
        let rounds = arguments.rounds;
        counts.running.fetch_add(1, Ordering::SeqCst);
        callers.tasks().spawn(async move {
            for round in 0..rounds {
                let prompt = format!("stream {stream}, round {round}");
                let answer = caller.chat(node, MODEL, &prompt, LOAD_TOKENS).await;
                match answer {
                    Ok(answer) if answer.text == answer_text(&prompt, LOAD_TOKENS) => {
                        counts_of_task
                            .tokens
                            .fetch_add(LOAD_TOKENS, Ordering::SeqCst);
                    }
                    _ => {
                        counts_of_task.wrong.fetch_add(1, Ordering::SeqCst);
                    }
                }
            }
            counts_of_task.running.fetch_sub(1, Ordering::SeqCst);
        });
    }
    while counts.running.load(Ordering::SeqCst) > 0 {
        sleep(Duration::from_millis(5)).await;
    }
    let taken = begun.elapsed();
    let cpu = thread_cpu("traffic")?.saturating_sub(cpu_before);
    let wrong = counts.wrong.load(Ordering::SeqCst);
    ensure!(wrong == 0, "{wrong} answers under load were wrong");
    ensure!(
        !cpu.is_zero(),
        "the node's threads used no processor time that could be measured"
    );
    Ok(LoadResult {
        tokens: counts.tokens.load(Ordering::SeqCst),
        taken,
        cpu,
    })
}

fn per(count: u64, time: Duration) -> f64 {
    to_f64(count) / time.as_secs_f64()
}

#[expect(clippy::cast_precision_loss, reason = "the counts are far below 2^53")]
fn to_f64(count: u64) -> f64 {
    count as f64
}
