//! Sets up a deployment of one node, a store, six engines and two plain endpoints, with a client.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Request};
use http_body_util::{BodyExt as _, Full};
use serde_json::json;
use sesamecart_edges::{HttpClient, Reuse};
use sesamecart_entry::{Entry, EntrySettings};
use sesamecart_platform_standins::{Engine, EngineKind, EngineSetup, Store, USUAL_SLOTS};
use sesamecart_runtime::Worker;

use crate::faulty_links::FaultyLinks;

/// The timeout for every awaited condition. It ends a test that hangs and doesn't check performance.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// The deadline of a request for which a test specifies none.
pub(crate) const DEFAULT_DEADLINE: Duration = Duration::from_secs(8);

/// The kinds of requests that callers send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RequestKind {
    Stream,
    /// A stream of a route that allows one attempt.
    SingleAttemptStream,
    /// A stream that can't be resumed.
    UnresumableStream,
    /// A stream of a model that needs more engines than any fabric domain has.
    HugeStream,
    /// A stream of a plain service.
    PlainStream,
    Booking,
    Lookup,
    /// A lookup whose attempts time out soon.
    QuickLookup,
}

impl RequestKind {
    const fn model(self) -> Option<&'static str> {
        match self {
            Self::Stream | Self::SingleAttemptStream | Self::UnresumableStream => Some("m"),
            Self::HugeStream => Some("huge"),
            Self::PlainStream | Self::Booking | Self::Lookup | Self::QuickLookup => None,
        }
    }
}

/// A request of a caller.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallerRequest<'a> {
    pub(crate) kind: RequestKind,
    pub(crate) id: &'a str,
    pub(crate) key: &'a str,
    pub(crate) body: &'a str,
}

/// The response that a caller received.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Response {
    /// The status code, or 0 if the connection ended without a complete response.
    pub(crate) status: u16,
    pub(crate) body: String,
    pub(crate) is_sealed: bool,
    pub(crate) retry_after: Option<String>,
}

impl Response {
    pub(crate) fn complete(status: u16, body: &str) -> Self {
        Self {
            status,
            body: body.to_owned(),
            is_sealed: true,
            retry_after: None,
        }
    }

    fn aborted() -> Self {
        Self {
            is_sealed: false,
            ..Self::complete(0, "")
        }
    }
}

pub(crate) struct Deployment {
    pub(crate) store: Store,
    pub(crate) engines: Vec<Engine>,
    pub(crate) plain: Vec<Engine>,
    pub(crate) node: Entry,
    /// The links of `node`.
    pub(crate) links: FaultyLinks,
    caller: HttpClient,
    _worker: Worker,
}

/// The number of plain endpoints of a deployment for which a test specifies none.
const PLAIN_ENDPOINTS: usize = 2;

/// The body of a request for which a test specifies none.
const DEFAULT_BODY: &str = "asked";

/// The node with which a deployment starts for the first time; other nodes join later.
const FIRST_NODE: &str = "n1";

impl Deployment {
    /// Starts everything and returns once the node is ready and knows the plain endpoints.
    pub(crate) fn start(events: u64) -> Self {
        Self::start_with(events, |_| {})
    }

    /// Like [`Self::start`], but calls `prepare` with the engines before the node starts.
    pub(crate) fn start_with(events: u64, prepare: impl FnOnce(&[Engine])) -> Self {
        Self::start_sized(events, PLAIN_ENDPOINTS, prepare)
    }

    /// Like [`Self::start`], with `plain_endpoints` instead of two plain endpoints.
    pub(crate) fn start_with_plain_endpoints(plain_endpoints: usize) -> Self {
        Self::start_sized(1, plain_endpoints, |_| {})
    }

    fn start_sized(events: u64, plain_endpoints: usize, prepare: impl FnOnce(&[Engine])) -> Self {
        let store = Store::start().expect("the store listens");
        store.publish("config", &configuration(1, &["key-1", "key-2"]));
        let engines = (0..6).map(|index| {
            let kind = EngineKind::Model {
                domain: "a-0".to_owned(),
            };
            endpoint(&store, &format!("e{index}"), "llm", kind, events)
        });
        let engines: Vec<Engine> = engines.collect();
        prepare(&engines);
        let plain = (0..plain_endpoints).map(|index| {
            endpoint(
                &store,
                &format!("p{index}"),
                "app",
                EngineKind::Plain,
                events,
            )
        });
        let plain = plain.collect();
        let links = FaultyLinks::default();
        let node = settings(FIRST_NODE, store.address());
        let node = Entry::start_with_dialer(node, Arc::new(links.clone()));
        let node = node.expect("the node starts");
        let worker = Worker::start("caller").expect("a thread starts");
        let caller = HttpClient::new(worker.tasks().clone(), Duration::from_secs(1));
        let deployment = Self {
            store,
            engines,
            plain,
            node,
            links,
            caller,
            _worker: worker,
        };
        deployment.wait_until("the node is ready", || deployment.readiness() == 200);
        deployment
    }

    pub(crate) fn wait_until(&self, what: &str, done: impl Fn() -> bool) {
        let started_at = Instant::now();
        while !done() {
            assert!(
                started_at.elapsed() < WAIT_TIMEOUT,
                "timed out waiting until {what}"
            );
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Waits until the node has formed `count` groups and routes to them.
    pub(crate) fn wait_for_groups(&self, count: usize) {
        self.wait_until("groups are open", || {
            let open = self.engines.iter().filter(|engine| engine.is_open_head());
            open.count() >= count && self.node.state().open_group_count() >= count
        });
    }

    /// Starts another node, which connects to the store at `store`, and returns once it is ready.
    pub(crate) fn add_node(&self, node: &str, store: SocketAddr) -> Entry {
        self.add(settings(node, store))
    }

    /// Starts another node whose links can fail, and returns once it is ready.
    pub(crate) fn add_node_with_links(&self, node: &str) -> (Entry, FaultyLinks) {
        self.add_with_links(settings(node, self.store.address()))
    }

    /// Starts another node whose metrics are served at an address, and returns once it is ready.
    pub(crate) fn add_node_with_metrics_at(&self, node: &str, metrics: SocketAddr) -> Entry {
        let settings = settings_with(node, self.store.address(), &metrics.to_string());
        self.add(settings)
    }

    fn add_with_links(&self, settings: EntrySettings) -> (Entry, FaultyLinks) {
        let links = FaultyLinks::default();
        let entry = Entry::start_with_dialer(settings, Arc::new(links.clone()));
        let entry = entry.expect("the node starts");
        self.wait_until("the other node is ready", || {
            self.readiness_of(&entry) == 200
        });
        (entry, links)
    }

    /// Starts another node without a retry budget, whose links can fail.
    pub(crate) fn add_node_without_retries(&self, node: &str) -> (Entry, FaultyLinks) {
        let mut settings = settings(node, self.store.address());
        settings.bounds.retry_ratio = 0.0;
        settings.bounds.retry_burst = 0.0;
        self.add_with_links(settings)
    }

    /// Starts another node by whose settings a leaving endpoint serves for `drain_ms`.
    pub(crate) fn add_node_with_drain_ms(&self, node: &str, drain_ms: u64) -> Entry {
        let mut settings = settings(node, self.store.address());
        settings.bounds.drain_ms = drain_ms;
        self.add(settings)
    }

    /// Starts another node that has `grace_s` seconds for a stop.
    pub(crate) fn add_node_with_grace(&self, node: &str, grace_s: f64) -> Entry {
        let mut settings = settings(node, self.store.address());
        settings.bounds.leave_s = grace_s;
        self.add(settings)
    }

    /// Returns the addresses of all endpoints.
    pub(crate) fn endpoint_addresses(&self) -> Vec<SocketAddr> {
        let endpoints = self.engines.iter().chain(&self.plain);
        endpoints.map(Engine::address).collect()
    }

    /// Starts another node with a longer `configuration_ms`, so that it considers its source stale later.
    pub(crate) fn add_node_with_long_bound(&self, node: &str, store: SocketAddr) -> Entry {
        let mut settings = settings(node, store);
        settings.bounds.configuration_ms *= 3;
        self.add(settings)
    }

    /// Starts other nodes in a failure domain and returns once they are ready.
    pub(crate) fn add_nodes(&self, failure_domain: &str, count: usize) -> Vec<Entry> {
        let names = (0..count).map(|index| format!("{failure_domain}-{index}"));
        let started = names.map(|name| {
            let settings = settings(&name, self.store.address());
            let failure_domain = failure_domain.parse().expect("a valid failure domain name");
            Entry::start(EntrySettings {
                failure_domain,
                ..settings
            })
            .expect("the node starts")
        });
        let started: Vec<Entry> = started.collect();
        self.wait_until("the other nodes are ready", || {
            started.iter().all(|node| self.readiness_of(node) == 200)
        });
        started
    }

    /// Starts another node. With a larger processor share than the first node's, it becomes the first node's
    /// reader.
    pub(crate) fn add_node_with_share(&self, node: &str, processor_share: f64) -> Entry {
        self.add_node_with_share_at(node, processor_share, self.store.address())
    }

    /// Like [`Self::add_node_with_share`], for a node that connects to the store at `store`.
    pub(crate) fn add_node_with_share_at(
        &self,
        node: &str,
        processor_share: f64,
        store: SocketAddr,
    ) -> Entry {
        let settings = settings(node, store);
        self.add(EntrySettings {
            processor_share,
            ..settings
        })
    }

    /// Starts another node on a VM with `memory_mb` megabytes.
    pub(crate) fn add_node_with_memory(&self, node: &str, memory_mb: u64) -> Entry {
        let settings = settings(node, self.store.address());
        self.add(EntrySettings {
            memory_mb: Some(memory_mb),
            ..settings
        })
    }

    /// Starts another node, which may not be ready yet.
    pub(crate) fn start_node(&self, node: &str) -> Entry {
        self.start_node_at(node, self.store.address())
    }

    /// Like [`Self::start_node`], in a failure domain.
    pub(crate) fn start_node_in(&self, failure_domain: &str, node: &str) -> Entry {
        let settings = settings(node, self.store.address());
        let failure_domain = failure_domain.parse().expect("a valid failure domain name");
        let settings = EntrySettings {
            failure_domain,
            ..settings
        };
        Entry::start(settings).expect("the node starts")
    }

    /// Like [`Self::start_node`], for a node that connects to the store at `store`.
    pub(crate) fn start_node_at(&self, node: &str, store: SocketAddr) -> Entry {
        Entry::start(settings(node, store)).expect("the node starts")
    }

    fn add(&self, settings: EntrySettings) -> Entry {
        let entry = Entry::start(settings).expect("the node starts");
        self.wait_until("the other node is ready", || {
            self.readiness_of(&entry) == 200
        });
        entry
    }

    pub(crate) fn publish(&self, version: u64, keys: &[&str]) {
        self.store.publish("config", &configuration(version, keys));
    }

    /// Returns a configuration that was published or is about to be.
    pub(crate) fn configuration(&self, version: u64) -> serde_json::Value {
        self.configuration_with_keys(version, &["key-1"])
    }

    /// Like [`Self::configuration`], with other keys.
    pub(crate) fn configuration_with_keys(&self, version: u64, keys: &[&str]) -> serde_json::Value {
        configuration(version, keys)
    }

    /// Publishes a configuration with a change.
    pub(crate) fn publish_edited(&self, version: u64, edit: impl FnOnce(&mut serde_json::Value)) {
        let mut configuration = configuration(version, &["key-1", "key-2"]);
        edit(&mut configuration);
        self.store.publish("config", &configuration);
    }

    /// Publishes a configuration by which cold plain endpoints can handle `per_s` requests per second.
    pub(crate) fn publish_cold_rate(&self, version: u64, per_s: f64) {
        let mut configuration = configuration(version, &["key-1", "key-2"]);
        configuration["services"][1]["coldPerS"] = json!(per_s);
        self.store.publish("config", &configuration);
    }

    /// Replaces the registry entry of a plain endpoint.
    pub(crate) fn register_plain(&self, index: usize, state: &str, cold_ms: u64) {
        let endpoint = &self.plain[index];
        let entry = json!({
            "service": "app", "address": endpoint.address().to_string(), "zone": "a",
            "version": "v1", "slots": 8, "state": state, "coldRemainingMs": cold_ms, "sequence": 2,
        });
        self.store
            .register(endpoint.id(), entry.to_string().into_bytes());
    }

    pub(crate) fn knows_evacuation(&self, failure_domain: &str) -> bool {
        knows_evacuation(&self.node, failure_domain)
    }

    /// Returns how often a booking or lookup was started, summed over all endpoints.
    pub(crate) fn runs(&self, request: &str) -> u32 {
        self.plain
            .iter()
            .map(|plain| plain.run_count(request))
            .sum()
    }

    pub(crate) fn readiness(&self) -> u16 {
        self.readiness_of(&self.node)
    }

    pub(crate) fn readiness_of(&self, node: &Entry) -> u16 {
        let req = Request::get("/readiness").header("host", "node");
        let req = req.body(Full::default()).expect("it is valid");
        self.send(node.readiness_address(), req, DEFAULT_DEADLINE)
            .status
    }

    /// Sends a request of an operator to the metrics address of a node.
    pub(crate) fn send_operator_request(&self, node: &Entry, method: &str, path: &str) -> Response {
        let req = Request::builder().method(method).uri(path);
        let req = req.header("host", "node").body(Full::default());
        let req = req.expect("it is valid");
        self.send(node.metrics_address(), req, DEFAULT_DEADLINE)
    }

    /// Returns the value of a node's metric whose labels contain `label`.
    pub(crate) fn metric(&self, node: &Entry, name: &str, label: &str) -> u64 {
        let page = self.send_operator_request(node, "GET", "/metrics").body;
        let mut lines = page.lines();
        let line = lines.find(|line| line.starts_with(name) && line.contains(label));
        let value = line.and_then(|line| line.rsplit(' ').next());
        let value = value.and_then(|value| value.parse().ok());
        value.unwrap_or_else(|| panic!("{name} with {label} isn't exported"))
    }

    pub(crate) fn send_request(&self, kind: RequestKind, id: &str, key: &str) -> Response {
        self.send_request_within(kind, id, key, DEFAULT_DEADLINE)
    }

    pub(crate) fn send_request_within(
        &self,
        kind: RequestKind,
        id: &str,
        key: &str,
        deadline: Duration,
    ) -> Response {
        self.send_request_to(&self.node, kind, id, key, deadline)
    }

    pub(crate) fn send_request_to(
        &self,
        node: &Entry,
        kind: RequestKind,
        id: &str,
        key: &str,
        deadline: Duration,
    ) -> Response {
        let call = CallerRequest {
            kind,
            id,
            key,
            body: DEFAULT_BODY,
        };
        self.send_call_to(node, &call, deadline)
    }

    pub(crate) fn send_call_to(
        &self,
        node: &Entry,
        call: &CallerRequest<'_>,
        deadline: Duration,
    ) -> Response {
        let req = Self::request(call, deadline, &[]);
        self.send(node.caller_address(), req, WAIT_TIMEOUT)
    }

    /// Sends a request to the address at which a node accepts requests of other nodes.
    pub(crate) fn send_as_node(
        &self,
        node: &Entry,
        call: &CallerRequest<'_>,
        headers: &[(&str, &str)],
    ) -> Response {
        let address = node.forwarding_address().expect("it accepts requests");
        let req = Self::request(call, DEFAULT_DEADLINE, headers);
        self.send(address, req, WAIT_TIMEOUT)
    }

    /// Returns a function that sends a request to the address for callers of a node.
    pub(crate) fn send_plain_call<'a>(
        &'a self,
        callers: SocketAddr,
        kind: RequestKind,
        id: &'a str,
    ) -> impl FnOnce() -> Response + Send + 'a {
        move || {
            let call = CallerRequest {
                kind,
                id,
                key: "key-1",
                body: DEFAULT_BODY,
            };
            let req = Self::request(&call, DEFAULT_DEADLINE, &[]);
            self.send(callers, req, WAIT_TIMEOUT)
        }
    }

    /// Sends a request with additional headers to the address for callers.
    pub(crate) fn send_call_with_headers(
        &self,
        node: &Entry,
        call: &CallerRequest<'_>,
        headers: &[(&str, &str)],
    ) -> Response {
        self.send_call_within(node, call, DEFAULT_DEADLINE, headers)
    }

    /// Like [`Self::send_call_with_headers`], with a deadline.
    pub(crate) fn send_call_within(
        &self,
        node: &Entry,
        call: &CallerRequest<'_>,
        deadline: Duration,
        headers: &[(&str, &str)],
    ) -> Response {
        let req = Self::request(call, deadline, headers);
        self.send(node.caller_address(), req, WAIT_TIMEOUT)
    }

    fn request(
        call: &CallerRequest<'_>,
        deadline: Duration,
        headers: &[(&str, &str)],
    ) -> Request<Full<Bytes>> {
        let CallerRequest {
            kind,
            id,
            key,
            body,
        } = *call;
        let prefix = match kind {
            RequestKind::Stream | RequestKind::HugeStream => "/chat/",
            RequestKind::SingleAttemptStream => "/single/",
            RequestKind::UnresumableStream => "/fixed/",
            RequestKind::PlainStream => "/watch/",
            RequestKind::Booking => "/book/",
            RequestKind::Lookup => "/look/",
            RequestKind::QuickLookup => "/quick/",
        };
        let mut req = Request::post(format!("{prefix}1"))
            .header("host", "shop.example")
            .header("request-id", id)
            .header("credential", key)
            .header("deadline-ms", deadline.as_millis().to_string());
        if let Some(model) = kind.model() {
            req = req
                .header("model-name", model)
                .header("token-count", "10,80");
        }
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        req.body(Full::from(body.to_owned())).expect("it is valid")
    }

    fn send(&self, peer: SocketAddr, req: Request<Full<Bytes>>, timeout: Duration) -> Response {
        async_io::block_on(async {
            let sent = self.caller.send(peer, req, Reuse::Never, timeout).await;
            let Ok(exchange) = sent else {
                return Response::aborted();
            };
            let (head, body) = exchange.response.into_parts();
            let Ok(body) = body.collect().await else {
                return Response::aborted();
            };
            let text = |headers: &HeaderMap, name: &str| {
                let value = headers.get(name)?;
                value.to_str().ok().map(str::to_owned)
            };
            Response {
                status: head.status.as_u16(),
                body: String::from_utf8_lossy(&body.to_bytes()).into_owned(),
                is_sealed: head.headers.contains_key("response-seal"),
                retry_after: text(&head.headers, "retry-after"),
            }
        })
    }

    /// Shuts the node down as on a SIGTERM and returns the number of connections that it aborted.
    pub(crate) fn shut_down(self) -> usize {
        let Self { node, store, .. } = self;
        let (tx, rx) = std::sync::mpsc::channel();
        let shutdown = std::thread::spawn(move || tx.send(async_io::block_on(node.leave())));
        let aborted = rx
            .recv_timeout(WAIT_TIMEOUT)
            .expect("the node shuts down in time");
        shutdown
            .join()
            .expect("the shutdown doesn't panic")
            .expect("the receiver exists");
        drop(store);
        aborted
    }

    pub(crate) fn kill(self) {
        self.node.kill();
    }
}

pub(crate) fn knows_evacuation(node: &Entry, failure_domain: &str) -> bool {
    let known = node.state().evacuated_domains();
    known.iter().any(|known| known.as_str() == failure_domain)
}

fn endpoint(store: &Store, id: &str, service: &str, kind: EngineKind, events: u64) -> Engine {
    let setup = EngineSetup {
        id: id.to_owned(),
        service: service.to_owned(),
        zone: "a".to_owned(),
        kind,
        events,
        slots: USUAL_SLOTS,
    };
    Engine::start(store, setup).expect("an endpoint listens")
}

fn settings(node: &str, store: SocketAddr) -> EntrySettings {
    settings_with(node, store, "127.0.0.1:0")
}

fn settings_with(node: &str, store: SocketAddr, metrics: &str) -> EntrySettings {
    let text = json!({
        "node": node, "failure_domain": "a", "region": "r",
        "callers": "127.0.0.1:0", "readiness": "127.0.0.1:0", "metrics": metrics,
        "links": "127.0.0.1:0", "processor_share": 0.25, "memory_mb": 260, "store": store.to_string(),
        "first_start": node == FIRST_NODE,
        "bounds": {
            "key_revocation_ms": 5_000, "configuration_ms": 2_000, "group_stall_ms": 5_000,
            "leave_s": 8, "retry_ratio": 0.2, "retry_burst": 132, "heartbeat_ms": 1_200,
            "lease_least_ms": 1_000,
        },
    });
    let path = Path::new("settings.json");
    EntrySettings::parse(path, &text.to_string()).expect("the settings are valid")
}

fn configuration(version: u64, keys: &[&str]) -> serde_json::Value {
    let route = |name: &str, prefix: &str, kind: &str, service: &str, attempts: u32| {
        json!({"name": name, "host": "shop.example", "pathPrefix": prefix, "routeType": kind,
            "timeoutMs": 20_000, "targetLatencyMs": 1_000, "priority": 1, "service": service,
            "maxAttempts": attempts, "authExempt": false, "streamResume": kind == "streaming"})
    };
    let mut unresumable = route("fixed", "/fixed/", "streaming", "llm", 2);
    unresumable["streamResume"] = json!(false);
    let mut quick = route("quick", "/quick/", "safe", "app", 2);
    quick["targetLatencyMs"] = json!(200);
    let customers: Vec<_> = keys
        .iter()
        .map(|key| json!({"name": key.replace("key", "customer"), "apiKeys": [key]}))
        .collect();
    json!({
        "version": version,
        "routes": [
            route("chat", "/chat/", "streaming", "llm", 2),
            route("single", "/single/", "streaming", "llm", 1),
            unresumable,
            quick,
            route("watch", "/watch/", "streaming", "app", 2),
            route("book", "/book/", "unsafe", "app", 1),
            route("look", "/look/", "safe", "app", 2),
        ],
        "services": [
            {"name": "llm", "healthPath": "/health", "maxConnections": 100, "coldPerS": 0.0,
             "engine": {"slots": 8, "loadsPerS": 4.5, "loads_at_once": 6, "models": [
                {"name": "m", "size": 3, "share": 0.5, "pace": 1.0, "loadS": 1.0, "warmS": 0.1},
                {"name": "huge", "size": 10, "share": 0.5, "pace": 1.0, "loadS": 1.0, "warmS": 0.1}]}},
            {"name": "app", "healthPath": "/health", "maxConnections": 100, "coldPerS": 0.0},
            {"name": "other", "healthPath": "/health", "maxConnections": 100, "coldPerS": 0.0},
        ],
        "limits": {"maxHeaderBytes": 16_384, "maxBodyBytes": 1_000_000, "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000},
        "tenants": customers,
    })
}
