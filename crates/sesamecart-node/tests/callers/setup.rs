//! One node before one engine and one plain service.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::json;
use sesamecart_config::{CallerBounds, Configuration, Settings};
use sesamecart_edges::{HttpClient, HttpLog, Log as _};
use sesamecart_fold::Record;
use sesamecart_node::Node;
use sesamecart_runtime::Worker;
use sesamecart_standins::{
    Engine, EngineConfig, LogConfig, LogFaults, LogOutage, LogService, PlainService,
    PlainServiceConfig,
};
use sesamecart_vocabulary::{Bytes, KeyHash, Revision};

pub(crate) const KEY: &str = "key-of-the-test";
pub(crate) const MAX_BODY: usize = 4096;

const READY_LIMIT: Duration = Duration::from_secs(30);

pub(crate) struct Deployment {
    pub(crate) node: Node,
    pub(crate) engine: Engine,
    pub(crate) service: PlainService,
    _log: LogService,
}

impl Deployment {
    /// Starts a node and waits until the configuration is in force.
    pub(crate) fn start() -> Self {
        let deployment = Self::prepare(LogFaults::default());
        let worker = Worker::start("operator").expect("start a thread");
        let client = HttpClient::new(worker.tasks().clone(), Duration::from_secs(5));
        let log = HttpLog::new(client, deployment._log.address(), Duration::from_secs(5));
        let record = deployment.publish();
        async_io::block_on(log.append(record.encode().into())).expect("append");
        let begun = Instant::now();
        while deployment.node.shared().snapshot.load().revision != Revision(1) {
            assert!(
                begun.elapsed() < READY_LIMIT,
                "the configuration never came into force"
            );
            std::thread::sleep(Duration::from_millis(2));
        }
        deployment
    }

    /// Starts a node whose log is out.
    pub(crate) fn without_log() -> Self {
        Self::prepare(LogFaults {
            outage: LogOutage::Refusing,
            ..LogFaults::default()
        })
    }

    fn prepare(faults: LogFaults) -> Self {
        let log = LogService::start(LogConfig::default()).expect("start the log");
        log.set_faults(faults);
        let engine = Engine::start(EngineConfig {
            members: vec!["engine-1".parse().expect("a name")],
            ..EngineConfig::default()
        })
        .expect("start the engine");
        let service =
            PlainService::start(PlainServiceConfig::default()).expect("start the service");
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        let settings = json!({
            "node": "node-1", "failure_domain": "muscat-a", "region": "muscat",
            "callers": loopback, "administration": loopback, "links": loopback,
            "log": { "address": log.address(), "poll_ms": 50 },
            "bounds": CallerBounds {
                max_body_bytes: Bytes(MAX_BODY as u64),
                body_limit_ms: 300,
                ..CallerBounds::default()
            },
        });
        let settings: Settings = serde_json::from_value(settings).expect("settings");
        let node = Node::start(settings).expect("start the node");
        Self {
            node,
            engine,
            service,
            _log: log,
        }
    }

    fn publish(&self) -> Record {
        let limits = json!({ "cold": 4, "warm": 16, "kv_tokens": 40_000 });
        let configuration: Configuration = serde_json::from_value(json!({
            "date": "2026-12-03", "sheet": 1,
            "failure_domains": { "muscat-a": { "region": "muscat" } },
            "vms": { "engine-1": { "failure_domain": "muscat-a", "fabric_domain": "fabric-1" } },
            "models": { "assistant": { "version": "1", "vms_per_group": 1 } },
            "groups": { "pound-1": { "model": "assistant", "vms": ["engine-1"] } },
            "services": { "stock": { "class": "action" }, "payments": { "class": "action" } },
            "endpoints": {
                "pound-1": {
                    "address": self.engine.address(), "failure_domain": "muscat-a",
                    "kind": { "group": "pound-1" }, "limits": limits,
                },
                "stock-1": {
                    "address": self.service.address(), "failure_domain": "muscat-a",
                    "kind": { "service": "stock" }, "limits": limits,
                },
            },
            "customers": { "pounds": {
                "weight": 1, "keys": [KeyHash::of(KEY.as_bytes())],
                "models": ["assistant"], "services": ["stock"],
            } },
        }))
        .expect("configuration");
        Record::Publish {
            publish_id: "change-1".parse().expect("an id"),
            base_revision: Revision(0),
            author: "planner".to_owned(),
            from: "127.0.0.1".to_owned(),
            at_ms: 0,
            configuration: Box::new(configuration),
        }
    }
}
