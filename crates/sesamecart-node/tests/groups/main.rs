//! Serving groups as a node sees and controls them, before one engine.

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use serde_json::json;
use sesamecart_config::{Configuration, Settings};
use sesamecart_edges::{HttpClient, HttpLog, Log as _};
use sesamecart_fold::Record;
use sesamecart_node::Node;
use sesamecart_runtime::Worker;
use sesamecart_standins::{
    Engine, EngineConfig, LogConfig, LogService, WeightStore, WeightStoreConfig,
};
use sesamecart_vocabulary::{Bytes, Generation, KeyHash, Revision};

const KEY: &str = "key-of-the-test";

/// How long anything may take before a test fails.
const LIMIT: Duration = Duration::from_secs(40);

struct Deployment {
    node: Node,
    engine: Engine,
    log: LogService,
    _store: WeightStore,
}

impl Deployment {
    /// Starts a node before a group of two VMs, of which the engine knows `members`.
    fn start(members: &[&str], controlled: bool) -> Self {
        let log = LogService::start(LogConfig::default()).expect("start the log");
        let store = WeightStore::start(WeightStoreConfig {
            bytes: Bytes(1_000),
            bytes_per_second: Bytes(1_000_000),
            loads_at_once: 4,
        });
        let store = store.expect("start the weight store");
        let members = members.iter().map(|vm| vm.parse().expect("a name"));
        let engine = Engine::start(EngineConfig {
            members: members.collect(),
            ..EngineConfig::default()
        });
        let engine = engine.expect("start the engine");
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut settings = json!({
            "node": "node-1", "failure_domain": "muscat-a", "region": "muscat",
            "callers": loopback, "administration": loopback, "links": loopback,
            "log": { "address": log.address(), "poll_ms": 50 },
        });
        if controlled {
            settings["weight_store"] = json!(store.address());
        }
        let settings: Settings = serde_json::from_value(settings).expect("settings");
        let node = Node::start(settings).expect("start the node");
        let deployment = Self {
            node,
            engine,
            log,
            _store: store,
        };
        deployment.publish();
        deployment
    }

    fn publish(&self) {
        let place = json!({ "failure_domain": "muscat-a", "fabric_domain": "fabric-1" });
        let configuration: Configuration = serde_json::from_value(json!({
            "date": "2026-12-03", "sheet": 1,
            "failure_domains": { "muscat-a": { "region": "muscat" } },
            "vms": { "vm-1": place, "vm-2": place },
            "models": { "assistant": { "version": "1", "vms_per_group": 2 } },
            "groups": { "pound-1": { "model": "assistant", "vms": ["vm-1", "vm-2"] } },
            "services": {},
            "endpoints": { "pound-1": {
                "address": self.engine.address(), "failure_domain": "muscat-a",
                "kind": { "group": "pound-1" }, "checks_epoch": true,
                "limits": { "cold": 4, "warm": 16, "kv_tokens": 40_000 },
            } },
            "customers": { "pounds": {
                "weight": 1, "keys": [KeyHash::of(KEY.as_bytes())], "models": ["assistant"],
            } },
        }))
        .expect("configuration");
        let record = Record::Publish {
            publish_id: "change-1".parse().expect("an id"),
            base_revision: Revision(0),
            author: "planner".to_owned(),
            from: "127.0.0.1".to_owned(),
            at_ms: 0,
            configuration: Box::new(configuration),
        };
        let worker = Worker::start("operator").expect("start a thread");
        let client = HttpClient::new(worker.tasks().clone(), Duration::from_secs(5));
        let log = HttpLog::new(client, self.log.address(), Duration::from_secs(5));
        async_io::block_on(log.append(record.encode().into())).expect("append");
        wait("the configuration is in force", || {
            self.node.shared().snapshot.load().revision == Revision(1)
        });
    }

    /// Asks for a short answer and returns the status line and all that follows.
    fn chat(&self, deadline: Duration) -> String {
        let body = json!({
            "model": "assistant", "max_tokens": 2,
            "messages": [{ "role": "user", "content": "How are the tanks?" }],
        });
        let body = body.to_string();
        let request = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: node\r\nauthorization: Bearer {KEY}\r\n\
             content-type: application/json\r\ncontent-length: {}\r\n\
             x-sesamecart-deadline-ms: {}\r\nconnection: close\r\n\r\n{body}",
            body.len(),
            deadline.as_millis(),
        );
        let mut stream = TcpStream::connect(self.node.callers()).expect("connect");
        stream.set_read_timeout(Some(LIMIT)).expect("set a limit");
        stream.write_all(request.as_bytes()).expect("write");
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).expect("read");
        String::from_utf8_lossy(&answer).into_owned()
    }

    fn is_answered(&self) -> bool {
        self.chat(Duration::from_secs(2))
            .starts_with("HTTP/1.1 200")
    }
}

fn wait(what: &str, mut done: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !done() {
        assert!(begun.elapsed() < LIMIT, "it never came that {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn whole_group_answers() {
    let deployment = Deployment::start(&["vm-1", "vm-2"], false);
    wait("the group answers", || deployment.is_answered());
}

/// One VM of a replica has died, and the front still takes requests. A pound keeper would get a
/// summary that a part of the model made, so nothing may be sent there and the refusal says so.
#[test]
fn group_without_one_of_its_vms_gets_no_work() {
    let deployment = Deployment::start(&["vm-1"], false);
    let answer = deployment.chat(Duration::from_secs(3));
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("not-run"), "{answer}");
    assert_eq!(deployment.engine.counts().begun, 0);
}

/// The engine stops to be ready without a word. Work stops within a slice and comes back with it.
#[test]
fn engine_that_is_not_ready_gets_no_work() {
    let deployment = Deployment::start(&["vm-1", "vm-2"], false);
    wait("the group answers", || deployment.is_answered());
    deployment.engine.set_ready(false);
    wait("the group gets no work", || !deployment.is_answered());
    let begun = deployment.engine.counts().begun;
    assert!(!deployment.is_answered());
    assert_eq!(deployment.engine.counts().begun, begun);
    deployment.engine.set_ready(true);
    wait("the group answers again", || deployment.is_answered());
}

/// The system is put in front of an engine that serves. Restarting it would take service away for
/// nothing. Later the engine runs another generation than the log says, as after a restart by hand:
/// it gets no request from the first moment on, and is ordered back under the shard's epoch.
#[test]
fn controller_keeps_what_runs_and_orders_back_what_strays() {
    let deployment = Deployment::start(&["vm-1", "vm-2"], true);
    wait("the group answers", || deployment.is_answered());
    let front = "pound-1".parse().expect("a name");
    wait("the group is assigned", || {
        let snapshot = deployment.node.shared().snapshot.load();
        snapshot.generation(&front).is_some()
    });
    assert_eq!(deployment.engine.orders().len(), 0);
    deployment.engine.set_generation(Generation(9));
    let begun = deployment.engine.counts().begun;
    let answer = deployment.chat(Duration::from_millis(500));
    assert!(answer.contains("not-run"), "{answer}");
    assert_eq!(deployment.engine.counts().begun, begun);
    wait("the engine is ordered back", || {
        !deployment.engine.orders().is_empty()
    });
    wait("the group answers again", || deployment.is_answered());
    let orders = deployment.engine.orders();
    assert!(orders.iter().all(|order| order.epoch.0 > 0), "{orders:?}");
}

/// Every metric that a node exports stands in docs/metrics.md, and the measures' alerts name metrics
/// that exist.
#[test]
fn exported_metrics_are_documented() {
    let deployment = Deployment::start(&["vm-1", "vm-2"], false);
    wait("the group answers", || deployment.is_answered());
    deployment.engine.set_ready(false);
    let page = include_str!("../../../../docs/metrics.md");
    let alerts = include_str!("../../../../docs/alerts.yaml");
    let exported = || {
        let text = deployment.node.shared().metrics.render().expect("render");
        let text = String::from_utf8(text).expect("text");
        let types = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
        let names = types.filter_map(|line| line.split(' ').next());
        names.map(str::to_owned).collect::<Vec<_>>()
    };
    wait("the group's downtime is counted", || {
        exported()
            .iter()
            .any(|name| name == "sesamecart_group_downtime_seconds_total")
    });
    for name in exported()
        .iter()
        .filter(|name| name.starts_with("sesamecart_"))
    {
        assert!(
            page.contains(&format!("`{name}`")),
            "{name} isn't documented"
        );
    }
    let words = alerts.split(|c: char| !(c.is_ascii_alphanumeric() || c == '_'));
    let mut used: Vec<&str> = words
        .filter(|word| word.starts_with("sesamecart_"))
        .collect();
    used.sort_unstable();
    used.dedup();
    assert_eq!(used.len(), 4, "{used:?}");
    for name in used {
        assert!(
            exported().iter().any(|known| known == name),
            "{name} isn't exported"
        );
    }
}
