//! A log, some nodes and the command line, each test with its own.

use std::io::{Read as _, Write as _};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use sesamecart_config::{AdministrationAccess, LinkPeer, LogSettings, Operator, Role, Settings};
use sesamecart_node::Node;
use sesamecart_standins::{LogConfig, LogFaults, LogOutage, LogService};
use sesamecart_vocabulary::KeyHash;

/// How long something may take before a test fails; it only bounds a hang.
const LIMIT: Duration = Duration::from_secs(30);

static NEXT: AtomicU64 = AtomicU64::new(0);

/// A log, some nodes and a folder for files.
pub(crate) struct Deployment {
    log: LogService,
    /// A log that answers nobody, for nodes that are cut off from the other.
    silent_log: LogService,
    nodes: Vec<Node>,
    folder: PathBuf,
}

/// What a run of the command line printed, and its exit status.
#[derive(Debug)]
pub(crate) struct Run {
    status: i32,
    text: String,
}

impl Deployment {
    pub(crate) fn start(nodes: usize, config: LogConfig) -> Self {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let folder = format!("sesamecart-operator-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(folder);
        std::fs::create_dir_all(&folder).unwrap();
        let silent_log = LogService::start(LogConfig::default()).unwrap();
        silent_log.set_faults(outage(LogOutage::Silent));
        let mut deployment = Self {
            log: LogService::start(config).unwrap(),
            silent_log,
            nodes: Vec::new(),
            folder,
        };
        for _ in 0..nodes {
            deployment.start_node();
        }
        deployment.wait_for("ready nodes", |deployment| {
            (0..nodes).all(|index| deployment.is_ready(index))
        });
        deployment
    }

    /// Starts one more node, which knows those before it.
    pub(crate) fn start_node(&mut self) {
        self.start_node_at(self.log.address());
    }

    /// Starts one more node that the log never answers.
    pub(crate) fn start_node_without_log(&mut self) {
        self.start_node_at(self.silent_log.address());
    }

    fn start_node_at(&mut self, log: SocketAddr) {
        let peers: Vec<_> = self.nodes.iter().map(peer).collect();
        let settings = settings(self.nodes.len() + 1, log, peers);
        self.nodes.push(Node::start(settings).unwrap());
    }

    /// Runs the command line as an operator, at the node that knows all others.
    pub(crate) fn run(&self, operator: &str, arguments: &[&str]) -> Run {
        self.run_at(self.nodes.len() - 1, operator, arguments)
    }

    /// Runs the command line as an operator at one node.
    pub(crate) fn run_at(&self, node: usize, operator: &str, arguments: &[&str]) -> Run {
        let server = self.nodes[node].administration().to_string();
        Run::with(arguments, &server, &format!("token-of-{operator}"))
    }

    /// Asks for the groups many times over one connection, and returns the statuses.
    pub(crate) fn answers_in_a_row(&self, count: usize) -> Vec<u16> {
        let mut stream = TcpStream::connect(self.nodes[0].administration()).unwrap();
        let request = "GET /v1/groups HTTP/1.1\r\nhost: node\r\n\
                       authorization: Bearer token-of-vera\r\n\r\n";
        stream.write_all(request.repeat(count).as_bytes()).unwrap();
        stream.shutdown(Shutdown::Write).unwrap();
        let mut text = String::new();
        stream.read_to_string(&mut text).unwrap();
        let heads = text.lines().filter_map(|line| line.split_once("HTTP/1.1 "));
        heads
            .map(|(_, status)| status[..3].parse().unwrap())
            .collect()
    }

    pub(crate) fn file(&self, name: &str) -> String {
        self.folder.join(name).to_str().unwrap().to_owned()
    }

    pub(crate) fn log_outage(&self, kind: LogOutage) {
        self.log_faults(outage(kind));
    }

    pub(crate) fn log_faults(&self, faults: LogFaults) {
        self.log.set_faults(faults);
    }

    /// Writes the log and what the nodes made of it as a trace, into the folder that `RECORD_TRACES`
    /// names; docs/design/replay.md tells how to replay it.
    pub(crate) fn record(&self, name: &str, title: &str) {
        let Some(folder) = std::env::var_os("RECORD_TRACES") else {
            return;
        };
        let mut lines = vec![json!({"trace": 1, "core": "fold", "title": title})];
        for record in self.log.records() {
            let step = match serde_json::from_slice::<Value>(&record) {
                Ok(record) => json!({ "append": record }),
                Err(_) => json!({ "append_text": String::from_utf8_lossy(&record) }),
            };
            lines.extend([step, json!({"read": "n1"})]);
        }
        let status = self
            .run("vera", &["--output", "json", "status"])
            .done()
            .json();
        let audit = self
            .run("vera", &["--output", "json", "audit"])
            .done()
            .json();
        let drains = status["drains"].as_array().unwrap().iter();
        let drains: Vec<_> = drains.map(|drain| &drain["target"]).collect();
        let last = audit["entries"].as_array().unwrap().last().unwrap();
        let state = json!({
            "revision": status["revision"], "drains": drains, "last_audit": last["verdict"],
        });
        lines.push(json!({"read": "n2"}));
        lines.push(json!({"outcome": {"agree": ["n1", "n2"], "state": state}}));
        let lines = lines.iter().map(|line| format!("{line}\n"));
        let path = PathBuf::from(folder).join(format!("{name}.jsonl"));
        std::fs::write(path, lines.collect::<String>()).unwrap();
    }

    /// Returns whether a record of a kind is in the log.
    pub(crate) fn log_holds(&self, kind: &str) -> bool {
        let start = format!("{{\"v\":1,\"record\":{{\"{kind}\":");
        let records = self.log.records();
        let texts = records.iter().map(|record| String::from_utf8_lossy(record));
        texts.into_iter().any(|record| record.starts_with(&start))
    }

    pub(crate) fn is_ready(&self, node: usize) -> bool {
        self.nodes[node].shared().unready_because().is_none()
    }

    pub(crate) fn revisions(&self) -> Vec<u64> {
        let shared = self.nodes.iter().map(Node::shared);
        shared
            .map(|shared| shared.snapshot.load().revision.0)
            .collect()
    }

    /// Returns for each node how many endpoints may take new work of the first customer.
    pub(crate) fn open_endpoints(&self) -> Vec<usize> {
        let count = |node: &Node| {
            let snapshot = node.shared().snapshot.load();
            let customer = &snapshot.configuration.customers[0];
            let models = customer
                .models
                .iter()
                .map(|id| snapshot.model_endpoints(customer, id).count());
            let services = customer.services.iter();
            let services = services.map(|id| snapshot.service_endpoints(customer, id).count());
            models.sum::<usize>() + services.sum::<usize>()
        };
        self.nodes.iter().map(count).collect()
    }

    pub(crate) fn knows_key(&self, key: &str) -> bool {
        let snapshot = self.nodes[0].shared().snapshot.load();
        snapshot.customer(&KeyHash::of(key.as_bytes())).is_some()
    }

    pub(crate) fn wait_for(&self, what: &str, done: impl Fn(&Self) -> bool) {
        let begun = Instant::now();
        while !done(self) {
            assert!(begun.elapsed() < LIMIT, "waited in vain for {what}");
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for node in self.nodes.drain(..) {
            node.kill();
        }
        std::fs::remove_dir_all(&self.folder).unwrap();
    }
}

impl Run {
    /// Runs the command line without a node.
    pub(crate) fn of(arguments: &[&str]) -> Self {
        Self::with(arguments, "", "")
    }

    fn with(arguments: &[&str], server: &str, token: &str) -> Self {
        let output = Command::new(env!("CARGO_BIN_EXE_sesamecart"))
            .args(arguments)
            .env("SESAMECART_SERVER", server)
            .env("SESAMECART_TOKEN", token)
            .output()
            .unwrap();
        let text = [output.stdout, output.stderr].concat();
        Self {
            status: output.status.code().unwrap(),
            text: String::from_utf8(text).unwrap(),
        }
    }

    pub(crate) fn done(self) -> Self {
        self.exits(0)
    }

    pub(crate) fn exits(self, status: i32) -> Self {
        assert_eq!(self.status, status, "{}", self.text);
        self
    }

    pub(crate) fn says(self, part: &str) -> Self {
        assert!(
            self.text.contains(part),
            "{part:?} is not in:\n{}",
            self.text
        );
        self
    }

    /// Returns whether a part was not printed.
    pub(crate) fn lacks(&self, part: &str) -> bool {
        !self.text.contains(part)
    }

    /// Returns what was printed as JSON.
    fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap()
    }

    pub(crate) fn text(&self) -> &str {
        &self.text
    }

    /// Returns what stands after `start` in the first line that begins so.
    pub(crate) fn field(&self, start: &str) -> String {
        let mut lines = self.text.lines();
        lines
            .find_map(|line| line.strip_prefix(start))
            .unwrap()
            .to_owned()
    }
}

/// Returns the path of a file in `examples`.
pub(crate) fn example(name: &str) -> String {
    format!("{}/../../examples/{name}", env!("CARGO_MANIFEST_DIR"))
}

fn outage(outage: LogOutage) -> LogFaults {
    LogFaults {
        outage,
        ..LogFaults::default()
    }
}

fn peer(node: &Node) -> LinkPeer {
    let settings = &node.shared().settings;
    LinkPeer {
        node: settings.node.clone(),
        address: node.links(),
        failure_domain: settings.failure_domain.clone(),
    }
}

fn settings(number: usize, log: SocketAddr, peers: Vec<LinkPeer>) -> Settings {
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    let text = json!({
        "node": format!("n{number}"),
        "failure_domain": "muscat-a",
        "region": "muscat",
        "callers": loopback,
        "administration": loopback,
        "links": loopback,
        "log": {"address": log},
    });
    let mut settings: Settings = serde_json::from_value(text).unwrap();
    settings.log = LogSettings {
        poll_ms: 50,
        checkpoint_ms: 300,
        ..settings.log
    };
    settings.peers = peers;
    settings.traffic_threads = 1;
    settings.access = AdministrationAccess {
        operators: vec![
            operator("salma", Role::Operator),
            operator("ines", Role::Operator),
            operator("omar", Role::OnCall),
            operator("vera", Role::Viewer),
            Operator {
                teams: ["ledger".parse().unwrap()].into(),
                ..operator("lina", Role::Operator)
            },
        ],
        ..AdministrationAccess::default()
    };
    settings
}

fn operator(name: &str, role: Role) -> Operator {
    Operator {
        name: name.to_owned(),
        token: KeyHash::of(format!("token-of-{name}").as_bytes()),
        role,
        teams: Default::default(),
    }
}
