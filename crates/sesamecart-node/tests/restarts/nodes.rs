//! Node processes on addresses of the loopback interface, before a stand-in store and plain endpoints.

use std::io::{Read as _, Write as _};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use rustix::thread::{CpuSet, sched_getaffinity, sched_setaffinity};
use serde_json::{Value, json};
use sesamecart_platform_standins::{Engine, EngineKind, EngineSetup, Store, USUAL_SLOTS};

use crate::engines::{EngineTimes, Engines};

const DOMAINS: [&str; 3] = ["a", "b", "c"];

/// The ports of each node, all below those that the system gives to outgoing connections.
const CALLERS_PORT: u16 = 18_227;
const READINESS_PORT: u16 = 18_220;
const METRICS_PORT: u16 = 18_240;
const LINKS_PORT: u16 = 18_241;

/// The memory of each node's VM.
pub(crate) const MEMORY_MB: u64 = 112;

/// How long a caller waits for an answer.
const PATIENCE: Duration = Duration::from_secs(1);

/// Deployments of one run of the tests, which are at the same time on different addresses.
static DEPLOYMENTS: AtomicU8 = AtomicU8::new(0);

/// One node, whose process may be running.
pub(crate) struct Node {
    name: String,
    failure_domain: &'static str,
    /// Its place in its failure domain. The first one reads the store for the others, the second one is its standby.
    pub(crate) place: usize,
    address: Ipv4Addr,
    memory_mb: u64,
    child: Option<Child>,
    pub(crate) started_at: Instant,
}

impl Node {
    fn at(&self, port: u16) -> SocketAddr {
        SocketAddr::from((self.address, port))
    }

    /// Returns the address at which callers connect.
    pub(crate) fn callers(&self) -> SocketAddr {
        self.at(CALLERS_PORT)
    }

    /// Returns the place of its failure domain among all.
    pub(crate) fn domain_index(&self) -> usize {
        let mut domains = DOMAINS.iter();
        let index = domains.position(|domain| *domain == self.failure_domain);
        index.expect("it is in one of them")
    }

    /// Returns the address of the readiness check.
    pub(crate) fn readiness(&self) -> SocketAddr {
        self.at(READINESS_PORT)
    }

    fn settings(&self, store: SocketAddr, is_first_start: bool) -> Value {
        let share = match self.place {
            0 => 0.6,
            1 => 0.5,
            _ => 0.084,
        };
        json!({
            "node": self.name, "failure_domain": self.failure_domain, "region": "r",
            "callers": self.callers(), "readiness": self.at(READINESS_PORT),
            "metrics": self.at(METRICS_PORT), "links": self.at(LINKS_PORT),
            "processor_share": share, "memory_mb": self.memory_mb, "max_files": 2_870, "store": store,
            "first_start": is_first_start,
            "bounds": {
                "key_revocation_ms": 5_000, "configuration_ms": 3_000, "group_stall_ms": 5_000,
                "leave_s": 8, "retry_ratio": 0.2, "retry_burst": 369, "heartbeat_ms": 1_200,
                "lease_least_ms": 1_000, "contact_ms": 4_000, "drain_ms": 3_000,
            },
        })
    }

    pub(crate) fn process_id(&self) -> u32 {
        let child = self.child.as_ref().expect("the process was started");
        child.id()
    }

    /// Returns whether its process was started and not killed since.
    pub(crate) const fn is_running(&self) -> bool {
        self.child.is_some()
    }

    fn pid(&self) -> Option<Pid> {
        let id = self.child.as_ref()?.id();
        Pid::from_raw(i32::try_from(id).ok()?)
    }

    fn signal(&self, signal: Signal) {
        let pid = self.pid().expect("the process was started");
        kill_process(pid, signal).expect("the process isn't reaped");
    }

    /// Stops the process, whose connections stay open.
    pub(crate) fn stand_still(&self) {
        self.signal(Signal::STOP);
    }

    /// Kills the process and waits for its end.
    pub(crate) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().expect("the process isn't reaped");
            child.wait().expect("the process ends");
        }
    }

    /// Returns the value of a counter in the metrics, or 0 if nothing was counted.
    pub(crate) fn counter(&self, name: &str, label: &str) -> u64 {
        let mut page = String::new();
        let mut stream = TcpStream::connect(self.at(METRICS_PORT)).expect("the node listens");
        let request = "GET /metrics HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\r\n";
        stream.write_all(request.as_bytes()).expect("it is read");
        stream.read_to_string(&mut page).expect("it is answered");
        let mut lines = page.lines();
        let line = lines.find(|line| line.starts_with(name) && line.contains(label));
        let value = line.and_then(|line| line.rsplit(' ').next()?.parse().ok());
        value.unwrap_or(0)
    }

    /// Sends a request of a caller on a new connection, and returns whether it is served.
    pub(crate) fn serves(&self, id: &str) -> bool {
        serves(self.callers(), id)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Sends a request of a caller on a new connection, and returns whether it is served.
pub(crate) fn serves(callers: SocketAddr, id: &str) -> bool {
    let request = format!(
        "GET /look/1 HTTP/1.1\r\nhost: shop.example\r\nrequest-id: {id}\r\ndeadline-ms: 1000\r\n\
         credential: key-1\r\nconnection: close\r\n\r\n"
    );
    let mut answer = [0; 15];
    let answered = TcpStream::connect_timeout(&callers, PATIENCE).and_then(|mut stream| {
        stream.set_read_timeout(Some(PATIENCE))?;
        stream.write_all(request.as_bytes())?;
        stream.read_exact(&mut answer)
    });
    answered.is_ok() && answer.starts_with(b"HTTP/1.1 200 ")
}

/// What a deployment consists of.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DeploymentSetup {
    /// The nodes in each of three failure domains.
    pub(crate) per_domain: usize,
    /// The routes without requests.
    pub(crate) routes: usize,
    /// The fabric domains of engines in each failure domain.
    pub(crate) fabric_domains: usize,
    pub(crate) times: EngineTimes,
    /// The memory of each node's VM, but for the last one.
    pub(crate) memory_mb: u64,
    pub(crate) last_memory_mb: u64,
}

/// A deployment of node processes.
pub(crate) struct Deployment {
    pub(crate) store: Store,
    pub(crate) nodes: Vec<Node>,
    folder: PathBuf,
    _endpoints: Vec<Engine>,
    /// The engines of models, which form groups.
    pub(crate) engines: Engines,
}

impl Deployment {
    /// Starts everything for the first time, with `per_domain` nodes in each of three failure domains, and waits until
    /// each node serves.
    pub(crate) fn start(per_domain: usize, routes: usize) -> Self {
        Self::start_with(DeploymentSetup {
            per_domain,
            routes,
            fabric_domains: 0,
            times: EngineTimes::None,
            memory_mb: MEMORY_MB,
            last_memory_mb: MEMORY_MB,
        })
    }

    /// Like [`Self::start`], with engines.
    pub(crate) fn start_with(setup: DeploymentSetup) -> Self {
        let DeploymentSetup {
            per_domain,
            routes,
            fabric_domains,
            times,
            memory_mb,
            last_memory_mb,
        } = setup;
        let number = DEPLOYMENTS.fetch_add(1, Ordering::Relaxed);
        let process = std::process::id();
        let folder = std::env::temp_dir().join(format!("sesamecart-restarts-{process}-{number}"));
        std::fs::create_dir_all(&folder).expect("the folder can be written");
        let store = Store::start().expect("the store listens");
        store.publish("config", &configuration(routes));
        let endpoints = DOMAINS.iter().map(|domain| {
            let setup = EngineSetup {
                id: format!("p-{domain}"),
                service: "app".to_owned(),
                zone: (*domain).to_owned(),
                kind: EngineKind::Plain,
                events: 1,
                slots: USUAL_SLOTS,
            };
            Engine::start(&store, setup).expect("an endpoint listens")
        });
        let endpoints = endpoints.collect();
        let engines = Engines::start(&store, &DOMAINS, fabric_domains, times);
        let network = u8::try_from(20 + process % 200).expect("it fits");
        let places = DOMAINS
            .into_iter()
            .zip(0..)
            .flat_map(|(domain, index)| (0..per_domain).map(move |place| (domain, index, place)));
        let nodes = places.map(|(failure_domain, index, place): (&str, u8, usize)| Node {
            name: format!("{failure_domain}-{place}"),
            failure_domain,
            place,
            address: Ipv4Addr::new(
                127,
                network,
                number * 3 + index,
                u8::try_from(place + 1).expect("it fits"),
            ),
            memory_mb,
            child: None,
            started_at: Instant::now(),
        });
        let mut nodes: Vec<Node> = nodes.collect();
        if let Some(last) = nodes.last_mut() {
            last.memory_mb = last_memory_mb;
        }
        let mut deployment = Self {
            store,
            nodes,
            folder,
            _endpoints: endpoints,
            engines,
        };
        deployment.start_nodes(true, |_| true);
        for node in &deployment.nodes {
            wait_until_serving(node);
        }
        deployment
    }

    /// Starts the processes of some nodes.
    pub(crate) fn start_nodes(&mut self, is_first_start: bool, is_meant: impl Fn(&Node) -> bool) {
        let store = self.store.address();
        for node in self.nodes.iter_mut().filter(|node| is_meant(node)) {
            let path = self.folder.join(format!("{}.json", node.name));
            let settings = node.settings(store, is_first_start).to_string();
            std::fs::write(&path, settings).expect("the folder can be written");
            let mut command = Command::new(env!("CARGO_BIN_EXE_sesamecart-node"));
            let command = command.args(["--platform", "--log-format", "json"]);
            let command = command.arg(&path).stdin(Stdio::null());
            let child = command.stdout(log_file(node)).stderr(Stdio::null()).spawn();
            node.child = Some(child.expect("the program starts"));
            node.started_at = Instant::now();
        }
    }

    /// Starts all processes again, on one processor for all of them.
    pub(crate) fn start_on_one_processor(&mut self) {
        let before = sched_getaffinity(None).expect("the thread has processors");
        let first = (0..CpuSet::MAX_CPU).find(|cpu| before.is_set(*cpu));
        let mut one = CpuSet::new();
        one.set(first.expect("the thread may use a processor"));
        sched_setaffinity(None, &one).expect("it is one of the thread's own");
        // Processes inherit the processors of the thread that starts them.
        self.start_nodes(false, |_| true);
        sched_setaffinity(None, &before).expect("they were the thread's own");
    }

    /// Kills the processes of some nodes.
    pub(crate) fn kill_nodes(&mut self, is_meant: impl Fn(&Node) -> bool) {
        let mut meant: Vec<&mut Node> = self
            .nodes
            .iter_mut()
            .filter(|node| is_meant(node))
            .collect();
        for child in meant.iter_mut().filter_map(|node| node.child.as_mut()) {
            child.kill().expect("the process isn't reaped");
        }
        for node in meant {
            node.kill();
        }
    }

    /// Lets all processes run for only a part of each period, until the value is dropped.
    pub(crate) fn stop_regularly(&self, running: Duration, stopped: Duration) -> RegularStops {
        self.stop_some_regularly(running, stopped, |_| true)
    }

    /// Like [`Self::stop_regularly`], for some of them.
    pub(crate) fn stop_some_regularly(
        &self,
        running: Duration,
        stopped: Duration,
        is_meant: impl Fn(&Node) -> bool,
    ) -> RegularStops {
        let meant = self.nodes.iter().filter(|node| is_meant(node));
        let pids = meant.filter_map(Node::pid).collect();
        RegularStops::start(pids, running, stopped)
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        // What can't be removed stays in the folder for temporary files.
        let _removed = std::fs::remove_dir_all(&self.folder);
    }
}

/// Returns where a node's log goes: to a file in the folder that `SESAMECART_RESTART_LOGS` names, if it is set.
fn log_file(node: &Node) -> Stdio {
    let Some(folder) = std::env::var_os("SESAMECART_RESTART_LOGS") else {
        return Stdio::null();
    };
    let path = PathBuf::from(folder).join(format!("{}.jsonl", node.name));
    let file = std::fs::File::options()
        .create(true)
        .append(true)
        .open(path);
    file.expect("the folder can be written").into()
}

/// Waits until a node serves, and returns the time from its start.
pub(crate) fn wait_until_serving(node: &Node) -> Duration {
    const TIMEOUT: Duration = Duration::from_secs(30);
    let mut attempt = 0;
    while !node.serves(&format!("{}-w{attempt}", node.name)) {
        let waited = node.started_at.elapsed();
        assert!(waited < TIMEOUT, "{} doesn't serve", node.name);
        attempt += 1;
        std::thread::sleep(Duration::from_millis(50));
    }
    node.started_at.elapsed()
}

/// Processes that run for only a part of each period.
pub(crate) struct RegularStops {
    is_over: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl RegularStops {
    fn start(pids: Vec<Pid>, running: Duration, stopped: Duration) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let over = Arc::clone(&is_over);
        let thread = std::thread::spawn(move || {
            let signal = |signal| {
                for pid in &pids {
                    // A process that was killed meanwhile needs no signal.
                    let _sent = kill_process(*pid, signal);
                }
            };
            while !over.load(Ordering::Relaxed) {
                signal(Signal::STOP);
                std::thread::sleep(stopped);
                signal(Signal::CONT);
                std::thread::sleep(running);
            }
        });
        Self {
            is_over,
            thread: Some(thread),
        }
    }
}

impl Drop for RegularStops {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            thread.join().expect("it ends");
        }
    }
}

/// Returns how many of the requests are served that callers send on new connections for some time, one every
/// `interval` at each node, and how many there were. Callers don't wait for one another.
pub(crate) fn send_for(nodes: &[Node], time: Duration, interval: Duration) -> (usize, usize) {
    let outcomes = Mutex::new((0, 0));
    let ends_at = Instant::now() + time;
    std::thread::scope(|scope| {
        for (index, node) in nodes.iter().enumerate() {
            let (outcomes, callers) = (&outcomes, node.callers());
            scope.spawn(move || {
                let mut sent = 0;
                while Instant::now() < ends_at {
                    let id = format!("s{index}-{sent}-{}", fastrand::u32(..));
                    scope.spawn(move || {
                        let is_served = serves(callers, &id);
                        let mut outcomes = outcomes.lock().expect("no caller panics");
                        outcomes.0 += usize::from(is_served);
                        outcomes.1 += 1;
                    });
                    sent += 1;
                    std::thread::sleep(interval);
                }
            });
        }
    });
    outcomes.into_inner().expect("no caller panics")
}

fn configuration(idle_routes: usize) -> Value {
    let route_of = |name: &str, host: &str, prefix: &str, service: &str| {
        let is_stream = ["chat", "watch"].contains(&name);
        let kind = if is_stream { "streaming" } else { "safe" };
        json!({"name": name, "host": host, "pathPrefix": prefix, "routeType": kind,
            "timeoutMs": 20_000, "targetLatencyMs": 1_000, "priority": 1, "service": service,
            "maxAttempts": 2, "authExempt": false, "streamResume": is_stream})
    };
    let route = |name: &str, host: &str, prefix: &str| route_of(name, host, prefix, "app");
    let idle = (0..idle_routes).map(|index| {
        let host = format!("idle{index}.example");
        route(&format!("idle{index}"), &host, "/idle/")
    });
    let used = [
        route("look", "shop.example", "/look/"),
        route_of("chat", "shop.example", "/chat/", "llm"),
        route_of("long", "shop.example", "/long/", "long"),
        route_of("watch", "shop.example", "/watch/", "long"),
    ];
    let routes: Vec<Value> = used.into_iter().chain(idle).collect();
    json!({
        "version": 1, "routes": routes,
        "services": [
            {"name": "app", "healthPath": "/health", "maxConnections": 732, "coldPerS": 0.0},
            {"name": "long", "healthPath": "/health", "maxConnections": 732, "coldPerS": 0.0},
            {"name": "llm", "healthPath": "/health", "maxConnections": 955, "coldPerS": 17.0,
             "engine": {"slots": 20, "loadsPerS": 14.0, "loads_at_once": 20, "formMs": 300.0,
                "step_ms": 7.8, "per_seq_ms": 0.0947, "read_per_s": 45_900.0, "chunk": 2_048, "stride": 6,
                "kvCapacityTokens": 1_860_000,
                "usual": {"prompt": 856, "answer": 158}, "models": [
                {"name": "m0", "size": 8, "share": 0.5, "pace": 1.0, "loadS": 16.0, "warmS": 1.6},
                {"name": "m1", "size": 2, "share": 0.5, "pace": 0.6, "loadS": 12.0, "warmS": 1.1}]}},
        ],
        "limits": {"maxHeaderBytes": 16_384, "maxBodyBytes": 1_000_000, "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000},
        "tenants": [{"name": "customer-1", "apiKeys": ["key-1"]}],
    })
}
