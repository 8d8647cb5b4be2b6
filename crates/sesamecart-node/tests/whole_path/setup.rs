//! Three nodes in three failure domains before two engines and two processes of one service.

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

use indexmap::IndexSet;
use serde_json::{Value, json};
use sesamecart_config::{Configuration, Settings};
use sesamecart_edges::{HttpClient, HttpLog, Log as _};
use sesamecart_fold::Record;
use sesamecart_node::Node;
use sesamecart_runtime::Worker;
use sesamecart_standins::{
    Engine, EngineConfig, EngineSpeed, Ledger, ListedVm, LogConfig, LogFaults, LogOutage,
    LogService, PlainService, PlainServiceConfig, PlainServiceFaults, VmList, VmRole, VmState,
};
use sesamecart_vocabulary::{Concurrency, KeyHash, Revision, SHARD_COUNT, ShardId, Tokens};

pub(crate) const KEY: &str = "key-of-the-test";
const DOMAINS: [&str; 3] = ["muscat-a", "muscat-b", "muscat-c"];
const LIMIT: Duration = Duration::from_secs(60);

pub(crate) struct Deployment {
    pub(crate) nodes: Vec<Option<Node>>,
    pub(crate) engines: Vec<Engine>,
    pub(crate) services: Vec<PlainService>,
    pub(crate) ledger: Ledger,
    pub(crate) log: LogService,
    _vm_list: VmList,
    _place: Place,
}

/// The deployments that run at once; more would only slow each other down.
const PLACES: usize = 4;
static TAKEN: Mutex<usize> = Mutex::new(0);
static FREED: Condvar = Condvar::new();

/// One of the deployments that run at once.
struct Place;

impl Place {
    fn take() -> Self {
        let taken = TAKEN.lock().unwrap_or_else(PoisonError::into_inner);
        let mut taken = FREED
            .wait_while(taken, |taken| *taken >= PLACES)
            .unwrap_or_else(PoisonError::into_inner);
        *taken += 1;
        Self
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        *TAKEN.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        FREED.notify_one();
    }
}

/// An answer as a caller reads it.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub(crate) status: String,
    pub(crate) head: String,
    pub(crate) body: String,
}

impl Answer {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let prefix = format!("{name}: ");
        self.head
            .lines()
            .find_map(|line| line.strip_prefix(&prefix))
    }

    pub(crate) fn outcome(&self) -> &str {
        self.header("x-sesamecart-outcome").unwrap_or("none")
    }

    pub(crate) fn code(&self) -> String {
        let body: Value = serde_json::from_str(&self.body).unwrap_or_default();
        body["error"]["code"].as_str().unwrap_or("none").to_owned()
    }
}

/// Waits for something that other threads do.
pub(crate) fn wait_until(what: &str, done: impl Fn() -> bool) {
    let begun = Instant::now();
    while !done() {
        assert!(begun.elapsed() < LIMIT, "{what} never came about");
        std::thread::sleep(Duration::from_millis(5));
    }
}

impl Deployment {
    /// Starts everything and waits until each shard of keys has an owner.
    pub(crate) fn start(settles_actions: bool) -> Self {
        let place = Place::take();
        let log = LogService::start(LogConfig::default()).expect("start the log");
        let vm_list = VmList::start(Vec::new(), Duration::ZERO).expect("start the list");
        let ledger = Ledger::default();
        let engines = (0..2).map(start_engine).collect();
        let services = (0..2).map(|_| start_service(&ledger)).collect();
        let nodes = (0..3)
            .map(|index| start_node(index, &log, &vm_list))
            .collect();
        let deployment = Self {
            nodes,
            engines,
            services,
            ledger,
            log,
            _vm_list: vm_list,
            _place: place,
        };
        deployment.list_nodes();
        deployment.publish(settles_actions);
        wait_until("an owner of each shard", || {
            let records = deployment.log.records();
            let owned: IndexSet<_> = records.iter().filter_map(|data| claimed(data)).collect();
            owned.len() >= usize::from(SHARD_COUNT)
        });
        let nodes = deployment.nodes.len();
        let body = r#"{"model":"assistant","max_tokens":1,"prompt":"ready"}"#;
        wait_until("a served model", || {
            let served = |node| {
                deployment
                    .call(node, "POST", "/v1/completions", "", body)
                    .status
            };
            (0..nodes).all(|node| served(node) == "200")
        });
        deployment
    }

    fn list_nodes(&self) {
        let listed = self.nodes.iter().flatten().map(|node| {
            let settings = &node.shared().settings;
            ListedVm {
                vm: settings.node.as_str().parse().expect("a name"),
                address: node.links(),
                failure_domain: settings.failure_domain.clone(),
                role: VmRole::Entry,
                state: VmState::Live,
            }
        });
        self._vm_list.set(listed.collect());
    }

    fn publish(&self, settles_actions: bool) {
        let worker = Worker::start("operator").expect("start a thread");
        let client = HttpClient::new(worker.tasks().clone(), Duration::from_secs(5));
        let log = HttpLog::new(client, self.log.address(), Duration::from_secs(5));
        let record = Record::Publish {
            publish_id: "change-1".parse().expect("an id"),
            base_revision: Revision(0),
            author: "planner".to_owned(),
            from: "127.0.0.1".to_owned(),
            at_ms: 0,
            configuration: Box::new(self.configuration(settles_actions)),
        };
        async_io::block_on(log.append(record.encode().into())).expect("append");
        wait_until("the configuration", || {
            let nodes = self.nodes.iter().flatten();
            let mut revisions = nodes.map(|node| node.shared().snapshot.load().revision);
            revisions.all(|revision| revision == Revision(1))
        });
    }

    fn configuration(&self, settles_actions: bool) -> Configuration {
        let limits = json!({ "cold": 16, "warm": 64, "kv_tokens": 10_000_000 });
        let endpoint = |address: SocketAddr, index: usize, kind: Value| {
            json!({
                "address": address, "failure_domain": DOMAINS[index], "kind": kind,
                "limits": limits,
            })
        };
        let mut endpoints = json!({});
        for (index, engine) in self.engines.iter().enumerate() {
            let group = format!("pound-{index}");
            endpoints[&group] = endpoint(engine.address(), index, json!({ "group": group }));
        }
        for (index, service) in self.services.iter().enumerate() {
            let kind = json!({ "service": "stock" });
            endpoints[&format!("stock-{index}")] = endpoint(service.address(), index, kind);
        }
        let domain = json!({ "region": "muscat" });
        let vm = |index: usize| json!({ "failure_domain": DOMAINS[index], "fabric_domain": format!("fabric-{index}") });
        serde_json::from_value(json!({
            "date": "2026-12-03", "sheet": 1,
            "failure_domains": { "muscat-a": domain, "muscat-b": domain, "muscat-c": domain },
            "vms": { "engine-0": vm(0), "engine-1": vm(1) },
            "models": { "assistant": { "version": "1", "vms_per_group": 1 } },
            "groups": {
                "pound-0": { "model": "assistant", "vms": ["engine-0"] },
                "pound-1": { "model": "assistant", "vms": ["engine-1"] },
            },
            "services": { "stock": { "class": "action", "settles_actions": settles_actions } },
            "endpoints": endpoints,
            "customers": { "pounds": {
                "weight": 1, "keys": [KeyHash::of(KEY.as_bytes())],
                "models": ["assistant"], "services": ["stock"],
            } },
        }))
        .expect("configuration")
    }

    pub(crate) fn callers(&self, node: usize) -> SocketAddr {
        self.nodes[node].as_ref().expect("the node runs").callers()
    }

    pub(crate) fn set_service_faults(&self, faults: PlainServiceFaults) {
        for service in &self.services {
            service.set_faults(faults.clone());
        }
    }

    pub(crate) fn set_log_outage(&self, outage: LogOutage) {
        self.log.set_faults(LogFaults {
            outage,
            ..LogFaults::default()
        });
    }

    pub(crate) fn kill(&mut self, node: usize) {
        self.nodes[node].take().expect("the node runs").kill();
    }

    /// Books a transfer, under a key if one is given.
    pub(crate) fn transfer(&self, node: usize, transfer: &str, key: Option<&str>) -> Answer {
        let body = json!({ "transfer": transfer }).to_string();
        let key = key.map(|key| format!("idempotency-key: {key}\r\n"));
        self.call(
            node,
            "POST",
            "/services/stock/transfers",
            &key.unwrap_or_default(),
            &body,
        )
    }

    pub(crate) fn call(
        &self,
        node: usize,
        method: &str,
        path: &str,
        headers: &str,
        body: &str,
    ) -> Answer {
        let mut stream = self.send(node, method, path, headers, body);
        let mut bytes = Vec::new();
        let _read = stream.read_to_end(&mut bytes);
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
        Answer {
            status: head.split(' ').nth(1).unwrap_or_default().to_owned(),
            head: head.to_owned(),
            body: body.to_owned(),
        }
    }

    /// Sends a request and returns the connection without reading from it.
    pub(crate) fn send(
        &self,
        node: usize,
        method: &str,
        path: &str,
        headers: &str,
        body: &str,
    ) -> TcpStream {
        let mut stream = TcpStream::connect(self.callers(node)).expect("connect");
        stream
            .set_read_timeout(Some(LIMIT))
            .expect("set a time limit");
        let length = body.len();
        let request = format!(
            "{method} {path} HTTP/1.1\r\nhost: node\r\nauthorization: Bearer {KEY}\r\n\
             content-length: {length}\r\nconnection: close\r\n{headers}\r\n{body}"
        );
        stream.write_all(request.as_bytes()).expect("write");
        stream
    }
}

fn claimed(data: &[u8]) -> Option<ShardId> {
    match Record::decode(data).ok()?.record {
        Record::Claim { shard, .. } => Some(shard),
        _ => None,
    }
}

fn start_engine(index: usize) -> Engine {
    let speed = EngineSpeed {
        first_token: Duration::from_millis(1),
        prompt_token: Duration::ZERO,
        token: Duration::from_micros(50),
        batch_knee: Concurrency(64),
    };
    let member = format!("engine-{index}");
    let config = EngineConfig {
        speed,
        kv_tokens: Tokens(10_000_000),
        members: vec![member.parse().expect("a name")],
        ..EngineConfig::default()
    };
    Engine::start(config).expect("start an engine")
}

fn start_service(ledger: &Ledger) -> PlainService {
    let config = PlainServiceConfig {
        ledger: ledger.clone(),
        ..PlainServiceConfig::default()
    };
    PlainService::start(config).expect("start a service")
}

fn start_node(index: usize, log: &LogService, vm_list: &VmList) -> Option<Node> {
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    let settings: Settings = serde_json::from_value(json!({
        "node": format!("node-{index}"), "failure_domain": DOMAINS[index], "region": "muscat",
        "callers": loopback, "administration": loopback, "links": loopback,
        "log": { "address": log.address(), "poll_ms": 50 },
        "vm_list": vm_list.address(), "traffic_threads": 1,
        "balancer_delay_ms": 20, "leave_limit_ms": 30_000,
    }))
    .expect("settings");
    Some(Node::start(settings).expect("start a node"))
}
