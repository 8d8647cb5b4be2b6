//! `measure -- control`: what agreement costs each node, and how it grows with the deployment.
//!
//! Whole nodes run in this process over loopback with the log stand-in. Bytes over links are counted
//! at the sockets, sent and received. Bytes of log reads are the number of reads that the stand-in
//! saw times the size of one read and its answer on the wire. Processor time is that of the nodes'
//! control threads, as the system counts it. Memory is what the process grew by from one size to the
//! next, per node added, traffic threads included.
//!
//! Figures at 380 nodes follow from straight lines through the sizes from which on heartbeats are
//! full; below, they carry fewer members. Endpoints cost a node twice: it knows all of them, and it
//! owns the allowances of some. Both are told apart by two more runs with many endpoints, at nine
//! nodes and at the largest size, and what the users' target needs is added to the figures.

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::time::{Duration, Instant};

use anyhow::Context as _;
use gumdrop::Options;
use serde::Serialize;
use sesamecart_runtime::sleep;
use sesamecart_standins::EngineSpeed;
use sesamecart_vocabulary::{SHARD_COUNT, ShardId};

use crate::cluster::{Cluster, ClusterPlan, NodePlan};
use crate::fit::Fit;
use crate::process::{resident, thread_cpu};
use crate::quantile::quantile;
use crate::roles::Point;

/// The users' target.
const TARGET_NODES: f64 = 380.0;

/// The users' target of endpoints.
const TARGET_ENDPOINTS: f64 = 660.0;

/// The fewest nodes at which heartbeats are full.
const FULL_FROM: usize = 14;

/// A number of nodes at which endpoints are multiplied, and by what.
const ENDPOINT_NODES: usize = 9;
const ENDPOINT_COPIES: usize = 10;

/// By what endpoints are multiplied at the largest size: the example's nine become the target's.
const TARGET_COPIES: usize = 73;

/// How long all shards may take to get an owner.
const OWNERS_LIMIT: Duration = Duration::from_secs(60);

/// What to measure.
#[derive(Debug, Options)]
pub struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        help = "numbers of nodes, separated by commas",
        default = "3,9,30,60,90"
    )]
    nodes: String,
    #[options(help = "seconds of the quiet part at each size", default = "8")]
    seconds: u64,
    #[options(help = "configurations published at each size", default = "10")]
    changes: usize,
}

/// What was measured at one size.
#[derive(Clone, Debug, Serialize)]
struct Measured {
    nodes: usize,
    endpoints: usize,
    link_bytes_per_s_per_node: f64,
    log_bytes_per_s_per_node: f64,
    bytes_per_s_per_node: f64,
    cpu_fraction: f64,
    resident_mb: f64,
    log_reads_per_s: f64,
    log_appends_per_s: f64,
    owners_after_start_s: f64,
    config_in_force_p99_s: f64,
    bytes_per_change_per_node: f64,
}

/// The last line.
#[derive(Debug, Serialize)]
struct Report {
    nodes: Vec<usize>,
    bytes_per_s_per_node_at_380: f64,
    cpu_fraction_at_380: f64,
    memory_mb_at_380: f64,
    log_appends_per_s_at_380: f64,
    config_in_force_p99_s_at_380: f64,
    slopes_per_node: Slopes,
    slopes_per_endpoint: EndpointSlopes,
    bytes_per_change_per_node: f64,
    with_more_endpoints: [Measured; 2],
    points: Vec<Measured>,
}

/// What one more node adds to each figure.
#[derive(Debug, Serialize)]
struct Slopes {
    bytes_per_s_per_node: f64,
    cpu_fraction: f64,
    memory_mb: f64,
    log_appends_per_s: f64,
    config_in_force_p99_s: f64,
}

/// What endpoints add on each node.
#[derive(Debug, Serialize)]
struct EndpointSlopes {
    bytes_per_s_per_node: EndpointCost,
    cpu_fraction: EndpointCost,
    memory_mb: EndpointCost,
}

/// What one more endpoint adds on a node that knows it, and on the one that owns it besides.
#[derive(Debug, Serialize)]
struct EndpointCost {
    known: f64,
    owned: f64,
}

impl EndpointCost {
    /// Solves two runs with many endpoints against those with few at the same numbers of nodes.
    fn of(
        points: &[Measured],
        many: &[Measured; 2],
        value: fn(&Measured) -> f64,
    ) -> anyhow::Result<Self> {
        let mut rows = [[0.0; 3]; 2];
        for (row, more) in rows.iter_mut().zip(many) {
            let few = points.iter().find(|point| point.nodes == more.nodes);
            let few = few.context("no run with few endpoints at the same size")?;
            let added = to_f64(more.endpoints - few.endpoints);
            *row = [added, added / to_f64(more.nodes), value(more) - value(few)];
        }
        let [[known_a, owned_a, value_a], [known_b, owned_b, value_b]] = rows;
        let determinant = known_a * owned_b - known_b * owned_a;
        Ok(Self {
            known: (value_a * owned_b - value_b * owned_a) / determinant,
            owned: (known_a * value_b - known_b * value_a) / determinant,
        })
    }

    /// Returns what the target's endpoints add to a node's cost with `few`; what is lost in the
    /// noise below zero isn't taken off.
    fn more(&self, few: f64) -> f64 {
        let missing = TARGET_ENDPOINTS - few;
        (self.known * missing).max(0.0) + (self.owned * missing / TARGET_NODES).max(0.0)
    }
}

/// Measures and prints the report.
///
/// # Errors
///
/// Returns an error when something can't start or a change isn't in force in time.
pub fn run(arguments: &Arguments) -> anyhow::Result<()> {
    let sizes: Result<Vec<usize>, _> = arguments.nodes.split(',').map(str::parse).collect();
    let sizes = sizes.context("--nodes")?;
    let mut points = Vec::new();
    for size in &sizes {
        points.push(measure_and_print(*size, 1, arguments)?);
    }
    let largest = sizes.iter().copied().max().context("--nodes")?;
    let many = [
        measure_and_print(ENDPOINT_NODES, ENDPOINT_COPIES, arguments)?,
        measure_and_print(largest, TARGET_COPIES, arguments)?,
    ];
    let report = report(sizes, points, many)?;
    println!("{}", serde_json::to_string(&report)?);
    Ok(())
}

fn measure_and_print(
    size: usize,
    copies: usize,
    arguments: &Arguments,
) -> anyhow::Result<Measured> {
    let measured = async_io::block_on(measure(size, copies, arguments))?;
    println!("{}", serde_json::to_string(&measured)?);
    Ok(measured)
}

fn report(nodes: Vec<usize>, points: Vec<Measured>, many: [Measured; 2]) -> anyhow::Result<Report> {
    let full: Vec<&Measured> = points
        .iter()
        .filter(|measured| measured.nodes >= FULL_FROM)
        .collect();
    let last = full.last().context("no size has full heartbeats")?;
    let fit = |value: fn(&Measured) -> f64| {
        let points = full.iter().map(|measured| Point {
            size: to_f64(measured.nodes),
            value: value(measured),
        });
        Fit::of(&points.collect::<Vec<_>>())
    };
    let bytes = fit(|measured| measured.bytes_per_s_per_node);
    let cpu = fit(|measured| measured.cpu_fraction);
    let appends = fit(|measured| measured.log_appends_per_s);
    let in_force = fit(|measured| measured.config_in_force_p99_s);
    let memory = memory_per_node(&points);
    let endpoints = EndpointSlopes {
        bytes_per_s_per_node: EndpointCost::of(&points, &many, |one| one.bytes_per_s_per_node)?,
        cpu_fraction: EndpointCost::of(&points, &many, |one| one.cpu_fraction)?,
        memory_mb: EndpointCost::of(&points, &many, |one| one.resident_mb / to_f64(one.nodes))?,
    };
    let few = to_f64(last.endpoints);
    Ok(Report {
        nodes,
        bytes_per_s_per_node_at_380: at_target(bytes, &full, |one| one.bytes_per_s_per_node)
            + endpoints.bytes_per_s_per_node.more(few),
        cpu_fraction_at_380: at_target(cpu, &full, |one| one.cpu_fraction)
            + endpoints.cpu_fraction.more(few),
        memory_mb_at_380: memory.at(TARGET_NODES) + endpoints.memory_mb.more(few),
        log_appends_per_s_at_380: appends.at(TARGET_NODES),
        config_in_force_p99_s_at_380: in_force.at(TARGET_NODES),
        slopes_per_node: Slopes {
            bytes_per_s_per_node: bytes.slope,
            cpu_fraction: cpu.slope,
            memory_mb: memory.slope,
            log_appends_per_s: appends.slope,
            config_in_force_p99_s: in_force.slope,
        },
        slopes_per_endpoint: endpoints,
        bytes_per_change_per_node: last.bytes_per_change_per_node,
        with_more_endpoints: many,
        points,
    })
}

/// Returns a figure at the target's size, and never less than the largest that was measured.
///
/// Where a cost doesn't depend on the number of nodes, noise can give a line that falls; drawn on to
/// 380 nodes it would promise less than any run has shown.
fn at_target(fit: Fit, points: &[&Measured], value: fn(&Measured) -> f64) -> f64 {
    let measured = points.iter().map(|one| value(one));
    measured.fold(fit.at(TARGET_NODES), f64::max)
}

/// Fits the memory of one node against the number of nodes.
///
/// If each of n nodes takes b + c n, all take b n + c n^2, and from one size to the next the growth
/// per added node is b + c (n1 + n2): a line in the sum of both sizes.
fn memory_per_node(points: &[Measured]) -> Fit {
    let growth = points.windows(2).map(|pair| {
        let (from, to) = (&pair[0], &pair[1]);
        Point {
            size: to_f64(from.nodes + to.nodes),
            value: (to.resident_mb - from.resident_mb) / to_f64(to.nodes - from.nodes),
        }
    });
    Fit::of(&growth.collect::<Vec<_>>())
}

async fn measure(size: usize, copies: usize, arguments: &Arguments) -> anyhow::Result<Measured> {
    let mut cluster = Cluster::start(&plan(size)?)?;
    multiply_endpoints(&mut cluster, copies)?;
    cluster.publish().await?;
    cluster.wait_ready().await?;
    let owners_after = wait_for_owners(&cluster).await?;
    // Let the news of the start be told before the quiet part.
    sleep(Duration::from_secs(5)).await;
    let read_bytes = bytes_of_read(cluster.log.address())?;
    let quiet = Counts::now(&cluster)?;
    let begun = Instant::now();
    sleep(Duration::from_secs(arguments.seconds)).await;
    let taken = begun.elapsed().as_secs_f64();
    let used = Counts::now(&cluster)?.since(&quiet);
    let after = resident()?;
    let nodes = to_f64(size);
    let link_bytes = used.link_bytes / taken / nodes;
    let log_bytes = used.log_reads * read_bytes / taken / nodes;
    let changes = Counts::now(&cluster)?;
    let begun = Instant::now();
    let mut in_force = Vec::new();
    for _ in 0..arguments.changes {
        in_force.push(cluster.publish().await?.as_secs_f64());
    }
    let changing = begun.elapsed().as_secs_f64();
    let for_changes = Counts::now(&cluster)?.since(&changes);
    let over_links = (for_changes.link_bytes - link_bytes * nodes * changing).max(0.0);
    // The log's answers carry records in base64.
    let changed = over_links / nodes + for_changes.appended_bytes * 4.0 / 3.0;
    let endpoints = cluster.configuration.endpoints.len();
    cluster.stop();
    Ok(Measured {
        nodes: size,
        endpoints,
        link_bytes_per_s_per_node: link_bytes,
        log_bytes_per_s_per_node: log_bytes,
        bytes_per_s_per_node: link_bytes + log_bytes,
        cpu_fraction: used.cpu / taken / nodes,
        resident_mb: to_f64(after.0) / 1e6,
        log_reads_per_s: used.log_reads / taken,
        log_appends_per_s: used.log_appends / taken,
        owners_after_start_s: owners_after.as_secs_f64(),
        config_in_force_p99_s: quantile(&mut in_force, 0.99),
        bytes_per_change_per_node: changed / to_f64(arguments.changes.max(1)),
    })
}

/// Gives every endpoint some doubles at the same address.
fn multiply_endpoints(cluster: &mut Cluster, copies: usize) -> anyhow::Result<()> {
    let endpoints = cluster.configuration.endpoints.clone();
    for copy in 1..copies {
        for (id, endpoint) in &endpoints {
            let double = format!("{id}-{copy}").parse()?;
            cluster
                .configuration
                .endpoints
                .insert(double, endpoint.clone());
        }
    }
    Ok(())
}

fn plan(size: usize) -> anyhow::Result<ClusterPlan> {
    let examples = PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples"));
    let domains = ["muscat-a", "muscat-b", "muscat-c"];
    let nodes = (0..size).map(|index| {
        Ok(NodePlan {
            node: format!("n{index}").parse()?,
            failure_domain: domains[index % domains.len()].parse()?,
        })
    });
    Ok(ClusterPlan {
        sheet: examples.join("day.csv"),
        inventory: examples.join("inventory.json"),
        nodes: nodes.collect::<anyhow::Result<_>>()?,
        speed: EngineSpeed::default(),
        traffic_threads: 1,
    })
}

async fn wait_for_owners(cluster: &Cluster) -> anyhow::Result<Duration> {
    let begun = Instant::now();
    loop {
        let owned = |shard: &ShardId| {
            let mut nodes = cluster.nodes.iter();
            nodes.any(|node| node.shared().may_act(*shard).is_some())
        };
        let missing = (0..SHARD_COUNT).map(ShardId).filter(|shard| !owned(shard));
        let missing = missing.count();
        if missing == 0 {
            return Ok(begun.elapsed());
        }
        anyhow::ensure!(
            begun.elapsed() < OWNERS_LIMIT,
            "{missing} shards have no owner"
        );
        sleep(Duration::from_millis(50)).await;
    }
}

/// What the nodes have used in all.
#[derive(Clone, Copy, Debug)]
struct Counts {
    link_bytes: f64,
    log_reads: f64,
    log_appends: f64,
    appended_bytes: f64,
    cpu: f64,
}

impl Counts {
    fn now(cluster: &Cluster) -> anyhow::Result<Self> {
        let links = cluster.nodes.iter().map(|node| &node.shared().link_bytes);
        let log = cluster.log.counts();
        Ok(Self {
            link_bytes: links
                .map(|count| to_f64(count.sent() + count.received()))
                .sum(),
            log_reads: to_f64(log.reads),
            log_appends: to_f64(log.appends),
            appended_bytes: to_f64(log.appended_bytes),
            cpu: thread_cpu("control-")?.as_secs_f64(),
        })
    }

    fn since(&self, earlier: &Self) -> Self {
        Self {
            link_bytes: self.link_bytes - earlier.link_bytes,
            log_reads: self.log_reads - earlier.log_reads,
            log_appends: self.log_appends - earlier.log_appends,
            appended_bytes: self.appended_bytes - earlier.appended_bytes,
            cpu: self.cpu - earlier.cpu,
        }
    }
}

/// Returns the bytes of one read of the log's tail that brings nothing new, with its answer.
fn bytes_of_read(log: SocketAddr) -> anyhow::Result<f64> {
    let mut stream = TcpStream::connect(log).context("connect to the log")?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    let request = format!(
        "GET /records?from=999999999&limit=500&wait_ms=0 HTTP/1.1\r\nhost: {log}\r\n\
         connection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes())?;
    let mut answer = Vec::new();
    stream
        .read_to_end(&mut answer)
        .context("read the log's answer")?;
    Ok(to_f64(request.len() + answer.len()))
}

fn to_f64(count: impl TryInto<u64>) -> f64 {
    let count = count.try_into().unwrap_or(u64::MAX);
    count as f64
}
