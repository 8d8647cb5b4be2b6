//! The tables of docs/CAPACITY.md, worked out from the committed measurements.
//!
//! The page holds them between two marks, and a test compares: a figure on the page that no
//! measurement gives, or a measurement that the page forgot, fails it.

use std::fmt::Write as _;
use std::path::Path;

use anyhow::Context as _;
use gumdrop::Options;
use indexmap::IndexMap;
use serde::Deserialize;

use crate::roles::Series;

/// The line before the tables on the page.
const BEGIN: &str = "<!-- tables: begin -->";
/// The line after them.
const END: &str = "<!-- tables: end -->";

const SECONDS_PER_DAY: f64 = 86_400.0;
const MICROS: f64 = 1e-6;

/// What `measure -- capacity` takes.
#[derive(Debug, Options)]
pub struct Arguments {
    #[options(help = "print this help")]
    help: bool,
}

/// The committed measurements, as the last lines of the commands gave them.
#[derive(Debug, Deserialize)]
pub struct Measurements {
    path: PathFigures,
    control: ControlFigures,
    roles: IndexMap<String, Series>,
}

#[derive(Debug, Deserialize)]
struct PathFigures {
    streams: f64,
    cpu_ms_per_1000_tokens: f64,
    resident_mb_before_load: f64,
    resident_mb_after_load: f64,
}

#[derive(Debug, Deserialize)]
struct ControlFigures {
    bytes_per_s_per_node_at_380: f64,
    cpu_fraction_at_380: f64,
    memory_mb_at_380: f64,
    log_appends_per_s_at_380: f64,
    config_in_force_p99_s_at_380: f64,
    points: Vec<ControlPoint>,
}

#[derive(Debug, Deserialize)]
struct ControlPoint {
    nodes: f64,
    bytes_per_s_per_node: f64,
    cpu_fraction: f64,
    resident_mb: f64,
    log_reads_per_s: f64,
    log_appends_per_s: f64,
    config_in_force_p99_s: f64,
}

/// A deployment's size.
#[derive(Clone, Copy, Debug)]
struct Size {
    nodes: f64,
    endpoints: f64,
    requests_per_s: f64,
    tokens_per_s: f64,
    changes_per_day: f64,
    /// The most records a second that the log's budget allows.
    records_per_s: f64,
    /// Keyed actions a second; the users give no figure, so this is an estimate.
    actions_per_s: f64,
}

/// The users' target.
const TARGET: Size = Size {
    nodes: 380.0,
    endpoints: 660.0,
    requests_per_s: 3_500.0,
    tokens_per_s: 1_500_000.0,
    changes_per_day: 850.0,
    records_per_s: 200.0,
    actions_per_s: 100.0,
};

/// One of today's two deployments; the load is the target's share by endpoints, an estimate.
const TODAY: Size = Size {
    nodes: 9.0,
    endpoints: 53.0,
    requests_per_s: 3_500.0 * 53.0 / 660.0,
    tokens_per_s: 1_500_000.0 * 53.0 / 660.0,
    changes_per_day: 20.0,
    records_per_s: 200.0,
    actions_per_s: 10.0,
};

/// How often a node's leases tick in a second.
const TICKS_PER_S: f64 = 5.0;
/// The shards, each of which is asked about at its voters in an outage.
const SHARDS: f64 = 256.0;
/// The voters of a shard.
const VOTERS: f64 = 5.0;
/// Rounds of votes a second in an outage.
const VOTE_ROUNDS_PER_S: f64 = 1.0 / 0.7;
/// How often a node renews a slice in a second.
const RENEWALS_PER_S: f64 = 2.5;
/// The target's time between tokens, which gives the streams in flight.
const TOKEN_S: f64 = 0.032;

impl Measurements {
    /// Reads the committed measurements.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file when it can't be read.
    pub fn read(root: &Path) -> anyhow::Result<Self> {
        let path = root.join("docs/capacity/measurements.json");
        let text = std::fs::read_to_string(&path).with_context(|| format!("{}", path.display()))?;
        serde_json::from_str(&text).with_context(|| format!("{}", path.display()))
    }

    fn at(&self, series: &str, size: f64) -> anyhow::Result<f64> {
        let series = self
            .roles
            .get(series)
            .with_context(|| format!("no series {series:?} was measured"))?;
        Ok(series.fit.at(size).max(0.0))
    }

    /// Makes the tables.
    ///
    /// # Errors
    ///
    /// Returns an error that names a series that wasn't measured.
    pub fn tables(&self) -> anyhow::Result<String> {
        let mut text = String::new();
        self.totals(&mut text)?;
        self.roles(&mut text)?;
        Ok(text)
    }

    fn totals(&self, text: &mut String) -> anyhow::Result<()> {
        let control = &self.control;
        let today = control
            .points
            .iter()
            .find(|point| (point.nodes - TODAY.nodes).abs() < 0.5)
            .context("no run with 9 nodes")?;
        writeln!(
            text,
            "| control, a node | 9 nodes, measured | 380 nodes, by slope | limit |"
        )?;
        writeln!(text, "| --- | --- | --- | --- |")?;
        let mut row = |name: &str, now: f64, then: f64, limit: &str, digits: usize| {
            writeln!(
                text,
                "| {name} | {now:.digits$} | {then:.digits$} | {limit} |"
            )
        };
        row(
            "bytes a second",
            today.bytes_per_s_per_node,
            control.bytes_per_s_per_node_at_380,
            "15,000",
            0,
        )?;
        row(
            "the same with a day's changes spread over it",
            today.bytes_per_s_per_node + self.change_bytes_per_s(TODAY)?,
            control.bytes_per_s_per_node_at_380 + self.change_bytes_per_s(TARGET)?,
            "15,000",
            0,
        )?;
        let percent = 100.0;
        row(
            "percent of a core",
            today.cpu_fraction * percent,
            control.cpu_fraction_at_380 * percent,
            "1",
            2,
        )?;
        // The whole process was measured, so a node has its part of it.
        let memory = today.resident_mb / today.nodes;
        row("memory, MB", memory, control.memory_mb_at_380, "128", 1)?;
        row(
            "log appends a second, all nodes",
            today.log_appends_per_s,
            control.log_appends_per_s_at_380,
            "200",
            2,
        )?;
        row(
            "configuration in force, p99, s",
            today.config_in_force_p99_s,
            control.config_in_force_p99_s_at_380,
            "4",
            3,
        )?;
        writeln!(text)?;
        Ok(())
    }

    /// Returns the bytes a second that a day's configurations cost each node, on its mean; the log
    /// gives records in base64.
    fn change_bytes_per_s(&self, size: Size) -> anyhow::Result<f64> {
        let bytes = self.at("publish record", size.endpoints)? * 4.0 / 3.0;
        Ok(bytes * size.changes_per_day / SECONDS_PER_DAY)
    }

    fn roles(&self, text: &mut String) -> anyhow::Result<()> {
        writeln!(
            text,
            "| role | state at the target | messages a second and node, target | percent of a core, today | percent of a core, target |"
        )?;
        writeln!(text, "| --- | --- | --- | --- | --- |")?;
        self.traffic(text)?;
        self.follower(text)?;
        self.holder(text)?;
        self.voter(text)?;
        self.lender(text)?;
        self.key_owner(text)
    }

    fn traffic(&self, text: &mut String) -> anyhow::Result<()> {
        let cpu = |size: Size| {
            size.tokens_per_s / size.nodes / 1_000.0 * self.path.cpu_ms_per_1000_tokens / 1_000.0
        };
        let streams = TARGET.tokens_per_s * TOKEN_S / TARGET.nodes;
        let kb_per_stream = (self.path.resident_mb_after_load - self.path.resident_mb_before_load)
            / self.path.streams
            * 1_000.0;
        let state = format!(
            "{streams:.0} streams, at most {kb_per_stream:.0} KB each (callers and stand-ins included)"
        );
        let requests = TARGET.requests_per_s / TARGET.nodes;
        let tokens = TARGET.tokens_per_s / TARGET.nodes;
        let messages = format!("{requests:.1} requests, {tokens:.0} tokens");
        line(
            text,
            "traffic threads",
            &state,
            &messages,
            cpu(TODAY),
            cpu(TARGET),
        )
    }

    fn follower(&self, text: &mut String) -> anyhow::Result<()> {
        let cpu = |size: Size| -> anyhow::Result<f64> {
            let publish =
                self.at("fold a publish", size.endpoints)? * size.changes_per_day / SECONDS_PER_DAY;
            let record = self.at("fold a claim", size.endpoints)?
                + self.at("renew a snapshot", size.endpoints)?;
            Ok((publish + record * size.records_per_s) * MICROS)
        };
        let state = format!(
            "{:.0} KB as a checkpoint",
            self.at("checkpoint record", TARGET.endpoints)? / 1e3
        );
        let last = self
            .control
            .points
            .last()
            .context("no point was measured")?;
        let messages = format!(
            "{:.1} reads, {:.0} B of configuration on a day's mean",
            last.log_reads_per_s / last.nodes,
            self.change_bytes_per_s(TARGET)?
        );
        line(
            text,
            "log follower, log at its budget",
            &state,
            &messages,
            cpu(TODAY)?,
            cpu(TARGET)?,
        )
    }

    fn holder(&self, text: &mut String) -> anyhow::Result<()> {
        let cpu =
            |size: Size| anyhow::Ok(self.at("lease tick", size.nodes)? * TICKS_PER_S * MICROS);
        let state = format!("{SHARDS:.0} shards, {:.2} held", SHARDS / TARGET.nodes);
        line(
            text,
            "lease holder",
            &state,
            "none, renewal is a read",
            cpu(TODAY)?,
            cpu(TARGET)?,
        )
    }

    fn voter(&self, text: &mut String) -> anyhow::Result<()> {
        let votes = |size: Size| SHARDS * VOTERS * VOTE_ROUNDS_PER_S / size.nodes;
        let cpu =
            |size: Size| anyhow::Ok(self.at("answer a vote", size.nodes)? * votes(size) * MICROS);
        let messages = format!("{:.1} votes in an outage", votes(TARGET));
        line(
            text,
            "voter, log out",
            "none beside the leases",
            &messages,
            cpu(TODAY)?,
            cpu(TARGET)?,
        )
    }

    fn lender(&self, text: &mut String) -> anyhow::Result<()> {
        // Every node asks every owner for each endpoint.
        let lends = |size: Size| size.endpoints / size.nodes * size.nodes * RENEWALS_PER_S;
        let cpu =
            |size: Size| anyhow::Ok(self.at("lend a slice", size.nodes)? * lends(size) * MICROS);
        let state = format!("{:.1} endpoints owned", TARGET.endpoints / TARGET.nodes);
        let messages = format!(
            "{:.0} slices, were every node to route to every endpoint",
            lends(TARGET)
        );
        line(
            text,
            "allowance owner, worst case",
            &state,
            &messages,
            cpu(TODAY)?,
            cpu(TARGET)?,
        )
    }

    fn key_owner(&self, text: &mut String) -> anyhow::Result<()> {
        let cpu = |size: Size| {
            let own = self.at("run a keyed action", 1.0)? * size.actions_per_s / size.nodes;
            let fold = self.at("fold intents", 1.0)? * 2.0 * size.actions_per_s;
            anyhow::Ok((own + fold) * MICROS)
        };
        let state = "an entry a key for an hour, on every node";
        let messages = format!(
            "{:.2} actions begun and ended (estimate)",
            TARGET.actions_per_s / TARGET.nodes
        );
        line(
            text,
            "key owner, with every node's folding",
            state,
            &messages,
            cpu(TODAY)?,
            cpu(TARGET)?,
        )
    }
}

fn line(
    text: &mut String,
    role: &str,
    state: &str,
    messages: &str,
    today: f64,
    target: f64,
) -> anyhow::Result<()> {
    let (today, target) = (today * 100.0, target * 100.0);
    writeln!(
        text,
        "| {role} | {state} | {messages} | {today:.4} | {target:.4} |"
    )?;
    Ok(())
}

/// Returns the tables that a page holds between its marks.
///
/// # Errors
///
/// Returns an error when a mark is missing.
pub fn tables_of_page(page: &str) -> anyhow::Result<&str> {
    let (_, rest) = page
        .split_once(BEGIN)
        .context("the page has no begin mark")?;
    let (tables, _) = rest.split_once(END).context("the page has no end mark")?;
    Ok(tables.trim())
}

/// Prints the tables for the page.
///
/// # Errors
///
/// Returns an error when the measurements can't be read or lack a series.
pub fn run(_arguments: &Arguments) -> anyhow::Result<()> {
    let root = Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."));
    println!("{BEGIN}\n\n{}\n{END}", Measurements::read(root)?.tables()?);
    Ok(())
}
