//! Tests of requests beside changes of the configuration.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use serde_json::{Value, json};
use sesamecart_entry::Entry;
use sesamecart_platform_standins::{Engine, EngineKind, EngineSetup, USUAL_SLOTS};

use crate::EVENTS;
use crate::faulty_links::LinkFault;
use crate::kept_connection::{End, KeptConnection};
use crate::setup::{Deployment, RequestKind};

/// The time between two changes.
const INTERVAL: Duration = Duration::from_millis(300);

/// How long an endpoint is silent before its answers.
const SILENCE: Duration = Duration::from_millis(1_200);

/// The time between the parts of a body that is sent in two parts.
const BODY_PAUSE: Duration = Duration::from_millis(300);

/// The number of events in a stream, which lasts for longer than the time between two changes.
const STREAM_EVENTS: u64 = 150;

/// The time between two requests of a caller.
const PAUSE: Duration = Duration::from_millis(10);

/// How often each change is made.
const ROUNDS: u64 = 2;

/// The changes of a configuration.
const CHANGES: [fn(&mut Value); 16] = [
    |cfg| set_routes(cfg, "timeoutMs", &json!(30_000)),
    |cfg| set_routes(cfg, "timeoutMs", &json!(4_000)),
    add_route,
    |cfg| remove_route(cfg, "look"),
    |cfg| remove_route(cfg, "book"),
    |cfg| cfg["routes"][3]["service"] = json!("other"),
    |cfg| cfg["tenants"] = json!([{"name": "customer-1", "apiKeys": ["key-1"]}]),
    |cfg| cfg["tenants"][1]["apiKeys"] = json!(["key-2", "key-3"]),
    |cfg| cfg["limits"]["idleTimeoutMs"] = json!(5_000),
    |cfg| cfg["limits"]["idleTimeoutMs"] = json!(60_000),
    |cfg| cfg["limits"]["maxBodyBytes"] = json!(SMALL_BODY_BYTES),
    |cfg| cfg["services"][1]["maxConnections"] = json!(20),
    |cfg| set_routes(cfg, "maxAttempts", &json!(1)),
    |cfg| cfg["services"][0]["engine"]["models"][0]["size"] = json!(2),
    |cfg| cfg["services"][0]["engine"]["models"][0]["share"] = json!(0.1),
    |cfg| cfg["services"][0]["engine"]["slots"] = json!(4),
];

fn set_routes(cfg: &mut Value, field: &str, value: &Value) {
    for route in cfg["routes"].as_array_mut().expect("routes") {
        route[field] = value.clone();
    }
}

fn add_route(cfg: &mut Value) {
    let mut route = cfg["routes"][3].clone();
    route["name"] = json!("more");
    route["pathPrefix"] = json!("/more/");
    cfg["routes"].as_array_mut().expect("routes").push(route);
}

fn remove_route(cfg: &mut Value, name: &str) {
    let routes = cfg["routes"].as_array_mut().expect("routes");
    routes.retain(|route| route["name"] != name);
}

/// A kind of caller.
#[derive(Clone, Copy, Debug)]
struct Caller {
    name: &'static str,
    path: &'static str,
    key: &'static str,
    headers: &'static str,
    /// Whether it sends the body in two parts.
    sends_slowly: bool,
}

const LOOKUP: Caller = Caller {
    name: "lookup",
    path: "/look/1",
    key: "key-1",
    headers: "",
    sends_slowly: false,
};

const BOOKING: Caller = Caller {
    name: "booking",
    path: "/book/1",
    ..LOOKUP
};

const STREAM: Caller = Caller {
    name: "stream",
    path: "/chat/1",
    headers: "model-name: m\r\ntoken-count: 10,80\r\n",
    ..LOOKUP
};

const CALLERS: [Caller; 7] = [
    LOOKUP,
    BOOKING,
    STREAM,
    Caller {
        name: "lookup with the key that is taken away",
        key: "key-2",
        ..LOOKUP
    },
    Caller {
        name: "slow lookup",
        sends_slowly: true,
        ..LOOKUP
    },
    Caller {
        name: "slow booking",
        sends_slowly: true,
        ..BOOKING
    },
    Caller {
        name: "slow stream",
        sends_slowly: true,
        ..STREAM
    },
];

/// The size of the body of a request that is sent in two parts.
const SLOW_BODY_BYTES: usize = 100_000;

/// A maximum size of bodies that the first part of such a request exceeds.
const SMALL_BODY_BYTES: usize = 40_000;

impl Caller {
    /// Returns the parts of a request.
    fn request(self, id: &str) -> Vec<String> {
        let Self {
            path, key, headers, ..
        } = self;
        let body_bytes = if self.sends_slowly {
            SLOW_BODY_BYTES
        } else {
            5
        };
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: shop.example\r\nrequest-id: {id}\r\ncredential: {key}\r\n\
            deadline-ms: 8000\r\n{headers}content-length: {body_bytes}\r\n\r\n"
        );
        if self.sends_slowly {
            let half = "x".repeat(SLOW_BODY_BYTES / 2);
            vec![head + &half, half]
        } else {
            vec![head + "asked"]
        }
    }
}

/// The requests of all callers.
#[derive(Debug, Default)]
struct Requests {
    is_over: AtomicBool,
    asked: AtomicU32,
    /// How the requests of each kind of caller ended.
    ends: Mutex<BTreeMap<(String, End), u32>>,
}

impl Requests {
    /// Sends requests one after the other until all is over.
    fn send(&self, node: SocketAddr, caller: Caller, name: &str) {
        let mut connection = KeptConnection::new(node);
        for number in 0.. {
            if self.is_over.load(Ordering::Relaxed) {
                return;
            }
            let id = format!("{}-{number}", name.replace(' ', "-"));
            let parts = caller.request(&id);
            let parts: Vec<&str> = parts.iter().map(String::as_str).collect();
            self.asked.fetch_add(1, Ordering::Relaxed);
            let end = connection.ask(&parts, BODY_PAUSE);
            let mut ends = self.ends.lock().expect("no caller panics");
            *ends.entry((name.to_owned(), end)).or_default() += 1;
            drop(ends);
            std::thread::sleep(PAUSE);
        }
    }

    /// Returns the number of requests that ended in a way.
    fn count(&self, is_counted: impl Fn(&str, End) -> bool) -> u32 {
        let ends = self.ends.lock().expect("no caller panics");
        let counted = ends
            .iter()
            .filter(|((name, end), _)| is_counted(name, *end));
        counted.map(|(_, count)| count).sum()
    }
}

fn start_other_endpoint(deployment: &Deployment) -> Engine {
    let setup = EngineSetup {
        id: "other".to_owned(),
        service: "other".to_owned(),
        zone: "a".to_owned(),
        kind: EngineKind::Plain,
        events: EVENTS,
        slots: USUAL_SLOTS,
    };
    Engine::start(&deployment.store, setup).expect("an endpoint listens")
}

/// Makes each change, beside endpoints that are silent in turn.
fn change_configurations(deployment: &Deployment) {
    let endpoints: Vec<&Engine> = deployment.engines.iter().chain(&deployment.plain).collect();
    for version in 0..ROUNDS * CHANGES.len() as u64 {
        let place = version as usize;
        endpoints[place % endpoints.len()].set_first_event_delay(SILENCE);
        deployment.publish_edited(version + 2, CHANGES[place % CHANGES.len()]);
        std::thread::sleep(INTERVAL);
        let past = (place + endpoints.len() - 2) % endpoints.len();
        endpoints[past].set_first_event_delay(Duration::ZERO);
    }
}

/// Starts a node that doesn't reach the endpoints, and returns once another one serves for it.
fn add_cut_node(deployment: &Deployment) -> Entry {
    let (node, links) = deployment.add_node_with_links("n2");
    links.fail(LinkFault::Reset, deployment.endpoint_addresses());
    for kind in [RequestKind::Stream, RequestKind::Lookup] {
        deployment.wait_until("another node serves for it", || {
            let id = format!("cut-{}", fastrand::u32(..));
            let deadline = crate::setup::DEFAULT_DEADLINE;
            deployment
                .send_request_to(&node, kind, &id, "key-1", deadline)
                .status
                == 200
        });
    }
    node
}

/// Guards against a reset that takes the answer away from a caller that is still sending a refused request.
#[test]
fn a_refused_request_whose_body_is_on_its_way_gets_the_answer() {
    let deployment = Deployment::start(EVENTS);
    let mut connection = KeptConnection::new(deployment.node.caller_address());
    let caller = Caller {
        path: "/nowhere/1",
        sends_slowly: true,
        ..LOOKUP
    };
    for id in ["r1", "r2"] {
        let parts = caller.request(id);
        let parts: Vec<&str> = parts.iter().map(String::as_str).collect();
        assert_eq!(connection.ask(&parts, BODY_PAUSE), End::Answered(404));
        assert!(connection.is_open(), "the connection is kept");
    }
    deployment.shut_down();
}

/// Sends requests over one connection whose bodies are too large. The first of their two parts shows it.
fn send_too_large(parts: impl Fn(&str) -> Vec<String>) {
    let deployment = Deployment::start(EVENTS);
    deployment.publish_edited(2, |cfg| {
        cfg["limits"]["maxBodyBytes"] = json!(SMALL_BODY_BYTES);
        remove_route(cfg, "quick");
    });
    deployment.wait_until("the node has the configuration", || {
        let response = deployment.send_request(RequestKind::QuickLookup, "r0", "key-1");
        response.status == 404
    });
    let mut connection = KeptConnection::new(deployment.node.caller_address());
    for id in ["r1", "r2"] {
        let parts = parts(id);
        let parts: Vec<&str> = parts.iter().map(String::as_str).collect();
        assert_eq!(connection.ask(&parts, BODY_PAUSE), End::Answered(413));
        assert!(connection.is_open(), "the connection is kept");
    }
    deployment.shut_down();
}

/// Guards against a reset that takes the answer away from a caller whose body is too large.
#[test]
fn a_request_whose_body_is_too_large_gets_the_answer() {
    let caller = Caller {
        sends_slowly: true,
        ..LOOKUP
    };
    send_too_large(|id| caller.request(id));
}

/// Guards against the same for a body that is found too large while it is read.
#[test]
fn a_request_whose_body_in_chunks_is_too_large_gets_the_answer() {
    let half = SLOW_BODY_BYTES / 2;
    let chunk = format!("{half:x}\r\n{}\r\n", "x".repeat(half));
    send_too_large(|id| {
        let head = format!(
            "POST /look/1 HTTP/1.1\r\nhost: shop.example\r\nrequest-id: {id}\r\n\
            credential: key-1\r\ndeadline-ms: 8000\r\ntransfer-encoding: chunked\r\n\r\n"
        );
        vec![head + &chunk, format!("{chunk}0\r\n\r\n")]
    });
}

/// Guards against a request that gets neither an answer nor a refusal because the configuration changes under it.
#[test]
fn requests_beside_changes_of_the_configuration_end_with_a_status() {
    let deployment = Deployment::start(STREAM_EVENTS);
    deployment.wait_for_groups(2);
    let _other = start_other_endpoint(&deployment);
    let cut_node = add_cut_node(&deployment);
    // All plain requests need permits then.
    for endpoint in &deployment.plain {
        endpoint.name_limits(&["200"]);
    }
    let requests = Requests::default();
    std::thread::scope(|scope| {
        for (node, hop) in [(&deployment.node, ""), (&cut_node, " at the second hop")] {
            for caller in CALLERS {
                let (requests, node) = (&requests, node.caller_address());
                scope.spawn(move || requests.send(node, caller, &format!("{}{hop}", caller.name)));
            }
        }
        change_configurations(&deployment);
        requests.is_over.store(true, Ordering::Relaxed);
    });
    let answered = requests.count(|_, end| matches!(end, End::Answered(_)));
    assert_eq!(
        requests.asked.load(Ordering::Relaxed),
        answered,
        "{:#?}",
        requests.ends
    );
    for caller in CALLERS {
        let is_served = |name: &str, end| name == caller.name && end == End::Answered(200);
        assert!(requests.count(is_served) > 0, "{:#?}", requests.ends);
    }
    cut_node.kill();
    deployment.shut_down();
}
