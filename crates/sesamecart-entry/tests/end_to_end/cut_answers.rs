//! Tests of endpoints that stop in the middle of an answer, at each of its bytes.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use sesamecart_entry::Entry;
use sesamecart_platform_standins::{AnswerEnd, AnswerFormat, RawEndpoint};

use crate::faulty_links::{FaultyLinks, LinkFault};
use crate::setup::{DEFAULT_DEADLINE, Deployment, RequestKind, Response};

/// Two events of a stream.
const BODY: &str = "id: 1\ndata: first\n\nid: 2\ndata: second\n\n";

/// The number of endpoints. One whose answer was cut gets no requests for a short time.
const ENDPOINTS: usize = 24;

/// More than the length of an answer that another node passes on.
const HOP_ANSWER_LEN: u64 = 400;

/// The distance between two bytes after which such an answer is cut.
const HOP_STEP: usize = 3;

const KINDS: [RequestKind; 3] = [
    RequestKind::Lookup,
    RequestKind::Booking,
    RequestKind::PlainStream,
];

/// How long it may take until each endpoint has had a request, though all of them have just failed.
const ROUND_TIMEOUT: Duration = Duration::from_secs(20);

/// How a request reaches the endpoints.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Path {
    /// From the node that has it.
    Direct,
    /// Through another node.
    Forwarded,
}

struct Rig {
    deployment: Deployment,
    endpoints: Vec<RawEndpoint>,
    /// A node that reaches the endpoints only through the deployment's node.
    cut_off: Option<(Entry, FaultyLinks)>,
}

impl Rig {
    fn start(format: AnswerFormat, end: AnswerEnd, path: Path) -> Self {
        let deployment = Deployment::start_with_plain_endpoints(0);
        let endpoints = (0..ENDPOINTS).map(|index| {
            let (store, answer) = (&deployment.store, (format, BODY));
            let endpoint = RawEndpoint::start_with(store, &format!("u{index}"), "app", answer, end);
            endpoint.expect("the endpoint listens")
        });
        let endpoints = endpoints.collect();
        let mut rig = Self {
            deployment,
            endpoints,
            cut_off: None,
        };
        if path == Path::Forwarded {
            let (node, links) = rig.deployment.add_node_with_links("n2");
            links.fail(
                LinkFault::Reset,
                rig.endpoints.iter().map(RawEndpoint::address),
            );
            rig.cut_off = Some((node, links));
        }
        let cut_off = rig.cut_off.as_ref().map(|(node, _links)| node);
        for node in cut_off.into_iter().chain([&rig.deployment.node]) {
            rig.deployment
                .wait_until("the nodes know the endpoints", || {
                    (0..ENDPOINTS).all(|index| node.state().knows_endpoint(&format!("u{index}")))
                });
        }
        rig.deployment.wait_until("a request is served", || {
            rig.send(RequestKind::Lookup, "first").status == 200
        });
        rig
    }

    fn send(&self, kind: RequestKind, id: &str) -> Response {
        let cut_off = self.cut_off.as_ref().map(|(node, _links)| node);
        let node = cut_off.unwrap_or(&self.deployment.node);
        let key = "key-1";
        self.deployment
            .send_request_to(node, kind, id, key, DEFAULT_DEADLINE)
    }

    fn kill(self) {
        if let Some((node, _links)) = self.cut_off {
            node.kill();
        }
        self.deployment.kill();
    }

    /// Sends requests until each endpoint has answered one, and passes each response to `check`.
    fn send_until_all_answered(&self, check: impl Fn(&Response)) {
        let counts = || {
            let endpoints = self.endpoints.iter();
            endpoints.map(RawEndpoint::answer_count).collect::<Vec<_>>()
        };
        let (before, started_at) = (counts(), Instant::now());
        let mut kinds = KINDS.into_iter().cycle();
        while counts()
            .iter()
            .zip(&before)
            .any(|(now, before)| now == before)
        {
            let kind = kinds.next().unwrap_or(RequestKind::Lookup);
            let response = self.send(kind, &format!("{:016x}", fastrand::u64(..)));
            check(&response);
            assert!(started_at.elapsed() < ROUND_TIMEOUT, "{response:?}");
        }
    }
}

/// Cuts answers after each of their bytes, and checks that none is delivered as whole.
fn check_cuts(format: AnswerFormat, end: AnswerEnd, path: Path) {
    let rig = Rig::start(format, end, path);
    let answer = format.answer(&"0".repeat(16), BODY);
    // What comes before the close is the whole body of an unframed answer.
    let len = match format {
        AnswerFormat::Unframed => answer.len() - BODY.len(),
        _ => answer.len(),
    };
    let cuts: Vec<usize> = (1..len).collect();
    for cuts in cuts.chunks(ENDPOINTS) {
        for (endpoint, cut) in rig.endpoints.iter().zip(cuts.iter().cycle()) {
            endpoint.cut_after(*cut);
        }
        rig.send_until_all_answered(|response| {
            // The end of the last chunk adds nothing to a stream whose last event is complete.
            let is_whole = response.body == BODY;
            assert!(response.status != 200 || is_whole, "{cuts:?}: {response:?}");
        });
    }
    for endpoint in &rig.endpoints {
        endpoint.cut_after(usize::MAX);
    }
    rig.deployment.wait_until("a request is served again", || {
        rig.send(RequestKind::Lookup, "last").body == BODY
    });
    rig.kill();
}

macro_rules! cut_tests {
    ($($(#[$doc:meta])* $name:ident: $format:ident, $end:ident, $path:ident;)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                check_cuts(AnswerFormat::$format, AnswerEnd::$end, Path::$path);
            }
        )*
    };
}

cut_tests! {
    /// Guards against delivering an answer with a length as whole that ends in its head or body.
    a_cut_answer_with_a_length_is_not_whole: Length, Close, Direct;
    /// Guards against the same where the connection is reset.
    a_reset_answer_with_a_length_is_not_whole: Length, Reset, Direct;
    /// Guards against the same where lines end with line feeds alone, so that a cut may look like the head's end.
    a_cut_answer_with_lone_line_feeds_is_not_whole: LineFeeds, Close, Direct;
    /// Guards against taking an interim response for the answer.
    a_cut_answer_after_an_interim_response_is_not_whole: AfterInterim, Close, Direct;
    /// Guards against the same for an answer in chunks.
    a_cut_answer_in_chunks_is_not_whole: Chunked, Close, Direct;
    /// Guards against the same where the connection is reset.
    a_reset_answer_in_chunks_is_not_whole: Chunked, Reset, Direct;
    /// Guards against taking a head that isn't complete for that of an answer that ends with its connection.
    an_unframed_answer_that_ends_in_its_head_is_not_whole: Unframed, Close, Direct;
    /// Guards against a second node that passes on a cut answer as whole.
    a_forwarded_answer_with_a_length_that_is_cut_is_not_whole: Length, Close, Forwarded;
    /// Guards against the same for an answer in chunks.
    a_forwarded_answer_in_chunks_that_is_cut_is_not_whole: Chunked, Close, Forwarded;
    /// Guards against the same for an answer that ends with its connection.
    a_forwarded_unframed_answer_that_ends_in_its_head_is_not_whole: Unframed, Close, Forwarded;
}

/// Guards against a node that delivers as whole what another node, which stops, has passed on of an answer.
#[test]
fn an_answer_that_is_cut_between_two_nodes_is_not_whole() {
    let rig = Rig::start(AnswerFormat::Length, AnswerEnd::Close, Path::Forwarded);
    let node = &rig.deployment.node;
    let other = node
        .forwarding_address()
        .expect("the node forwards requests");
    let (_node, links) = rig.cut_off.as_ref().expect("a node is cut off");
    let endpoints: Vec<SocketAddr> = rig.endpoints.iter().map(RawEndpoint::address).collect();
    let mut sent = 0;
    let mut kinds = KINDS.into_iter().cycle();
    let cuts = (1..HOP_ANSWER_LEN).step_by(HOP_STEP);
    for cut in cuts.clone() {
        links.fail_both(&endpoints, (other, LinkFault::EndsAfter(cut)));
        let before = links.received_from(other);
        let kind = kinds.next().unwrap_or(RequestKind::Lookup);
        let response = rig.send(kind, &format!("{:016x}", fastrand::u64(..)));
        let is_whole = response.body == BODY;
        assert!(response.status != 200 || is_whole, "{cut}: {response:?}");
        sent += usize::from(links.received_from(other) > before);
    }
    assert!(2 * sent > cuts.count(), "{sent} answers were cut");
    rig.kill();
}
