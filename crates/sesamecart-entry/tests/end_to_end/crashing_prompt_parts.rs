//! Tests of parts of prompts that crash each endpoint that answers a request with them.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use sesamecart_entry::Entry;

use crate::setup::{CallerRequest, Deployment, RequestKind};

/// The number of plain endpoints.
const ENDPOINTS: usize = 24;

/// The number of crashes after which all nodes have to refuse requests with the part.
const CRASH_LIMIT: u32 = 5;

/// The number of requests with the part that may be sent on after the last of these crashes is known.
const MAX_LATE_CRASHES: u32 = 3;

/// The time within which all nodes know what one of them has observed.
const CONTACT_TIMEOUT: Duration = Duration::from_secs(3);

/// The time that an endpoint takes to start again after a crash.
const RESTART_DELAY: Duration = Duration::from_secs(2);

/// The time that an endpoint takes to answer.
const ANSWER_TIME: Duration = Duration::from_millis(150);

/// The part that most prompts begin with.
const COMMON_PART: &str = "c0";

/// The part that crashes endpoints.
const CRASHING_PART: &str = "dead";

/// The deadline of the requests, which is short enough that a test isn't held up by them.
const DEADLINE: Duration = Duration::from_secs(2);

/// The result of one request: when it was sent, and its status.
type Sent = (Instant, u16);

/// What callers send at a time.
struct Load<'a> {
    deployment: &'a Deployment,
    nodes: Vec<&'a Entry>,
}

impl Load<'_> {
    /// Sends requests at `per_s` to the nodes in turn for some time. Each has its own body, and its own part at the
    /// end of the parts that `shared` returns for its number.
    fn send(
        &self,
        name: &str,
        per_s: u64,
        duration: Duration,
        shared: impl Fn(u64) -> String + Sync,
    ) -> Vec<Sent> {
        let sent = Mutex::new(Vec::new());
        let started_at = Instant::now();
        std::thread::scope(|scope| {
            let mut number = 0;
            while started_at.elapsed() < duration {
                let node = self.nodes[usize::try_from(number).unwrap_or(0) % self.nodes.len()];
                let id = format!("{name}-{number}");
                let parts = format!("{},{number:x}:20", shared(number));
                let sent = &sent;
                scope.spawn(move || {
                    let at = Instant::now();
                    let status = self.send_one(node, &id, &parts);
                    let mut sent = sent.lock().expect("no sender panics");
                    sent.push((at, status));
                });
                number += 1;
                let next = Duration::from_millis(1_000 * number / per_s);
                std::thread::sleep(next.saturating_sub(started_at.elapsed()));
            }
        });
        sent.into_inner().expect("no sender panics")
    }

    fn send_one(&self, node: &Entry, id: &str, parts: &str) -> u16 {
        let call = CallerRequest {
            kind: RequestKind::Lookup,
            id,
            key: "key-1",
            body: id,
        };
        let headers = [("prefix-hash", parts)];
        let sent = self
            .deployment
            .send_call_within(node, &call, DEADLINE, &headers);
        sent.status
    }
}

fn crashes(deployment: &Deployment) -> u32 {
    let endpoints = deployment.plain.iter();
    endpoints.map(|endpoint| endpoint.crash_count()).sum()
}

fn start() -> Deployment {
    let deployment = Deployment::start_with_plain_endpoints(ENDPOINTS);
    for endpoint in &deployment.plain {
        endpoint.crash_on_prompt_parts(&[CRASHING_PART], Some(RESTART_DELAY));
        endpoint.set_first_event_delay(ANSWER_TIME);
    }
    deployment
}

fn served_share(sent: &[Sent]) -> f64 {
    let served = sent.iter().filter(|(_, status)| *status == 200).count();
    served as f64 / sent.len().max(1) as f64
}

/// Guards against requests that crash one endpoint after another because they share a part of their prompts, though
/// no two are alike, and against refusing others for it.
#[test]
fn requests_with_a_part_that_crashed_five_endpoints_are_not_sent_on() {
    let deployment = start();
    let others = deployment.add_nodes("a", 3);
    let load = Load {
        nodes: std::iter::once(&deployment.node).chain(&others).collect(),
        deployment: &deployment,
    };
    let duration = Duration::from_secs(12);
    let crashing = |number: u64| format!("{COMMON_PART}:800,{number:x}:50,{CRASHING_PART}:30");
    let (late, sound) = std::thread::scope(|scope| {
        scope.spawn(|| load.send("crashing", 10, duration, crashing));
        let sound =
            scope.spawn(|| load.send("sound", 20, duration, |_| format!("{COMMON_PART}:800")));
        deployment.wait_until("five endpoints have crashed", || {
            crashes(&deployment) >= CRASH_LIMIT
        });
        let fifth_at = Instant::now();
        std::thread::sleep(CONTACT_TIMEOUT);
        let crashed = crashes(&deployment);
        let sound = sound.join().expect("the sound requests end");
        let after = |(at, _): &Sent| *at > fifth_at + 2 * CONTACT_TIMEOUT;
        let sound: Vec<Sent> = sound.into_iter().filter(after).collect();
        (crashes(&deployment) - crashed, sound)
    });
    let served = served_share(&sound);
    for node in others {
        node.kill();
    }
    deployment.kill();
    assert!(
        late <= MAX_LATE_CRASHES,
        "{late} more crashed an endpoint, {served:.2} of others served"
    );
    assert!(
        served >= 0.95,
        "{served:.2} of {} others served",
        sound.len()
    );
}
