//! Tests of answers that have neither a length nor chunks and end with their connection.

use std::io::{Read as _, Write as _};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use sesamecart_platform_standins::{AnswerEnd, RawEndpoint};

use crate::setup::{Deployment, RequestKind, Response};

/// A whole answer, which is a stream that ends between events as well.
const WHOLE: &str = "id: 1\ndata: first\n\nid: 2\ndata: second\n\n";

/// An answer that ends inside an event of a stream.
const CUT: &str = "id: 1\ndata: first\n\nid: 2\nda";

/// An answer that ends inside the first event of a stream.
const CUT_AT_ONCE: &str = "id: 1\nda";

/// Sends a request to the only endpoint, and returns the response and the number of crashes that the node attributes
/// to it.
fn send(kind: RequestKind, body: &str, end: AnswerEnd) -> (Response, u32) {
    let deployment = Deployment::start_with_plain_endpoints(0);
    let endpoint = RawEndpoint::start(&deployment.store, "u0", "app", body, end);
    let endpoint = endpoint.expect("the endpoint listens");
    deployment.wait_until("the node knows the endpoint", || {
        deployment.node.state().knows_endpoint("u0")
    });
    let response = deployment.send_request(kind, "r1", "key-1");
    assert!(endpoint.answer_count() > 0, "it wasn't sent: {response:?}");
    if end == AnswerEnd::Crash {
        deployment.wait_until("the crash is attributed to the request", || {
            deployment.node.state().most_crashes_of_a_request() > 0
        });
    }
    let crashes = deployment.node.state().most_crashes_of_a_request();
    deployment.kill();
    (response, crashes)
}

/// Sends a request of HTTP/1.0 and returns all that the node sends until it closes the connection.
fn send_http_1_0(body: &str, end: AnswerEnd) -> String {
    let deployment = Deployment::start_with_plain_endpoints(0);
    let endpoint = RawEndpoint::start(&deployment.store, "u0", "app", body, end);
    let endpoint = endpoint.expect("the endpoint listens");
    deployment.wait_until("the node knows the endpoint", || {
        deployment.node.state().knows_endpoint("u0")
    });
    let node = deployment.node.caller_address();
    let mut stream = TcpStream::connect(node).expect("the node listens");
    let request = "POST /watch/1 HTTP/1.0\r\nhost: shop.example\r\nrequest-id: r1\r\n\
        credential: key-1\r\ndeadline-ms: 3000\r\n\r\n";
    let written = stream.write_all(request.as_bytes());
    written.expect("the request is written");
    let mut response = String::new();
    let read = stream.read_to_string(&mut response);
    read.expect("the response is read");
    assert!(endpoint.answer_count() > 0, "it wasn't sent: {response}");
    deployment.kill();
    response
}

/// Guards against a cut stream that looks complete to a caller whose answers end with the connection.
#[test]
fn a_cut_stream_is_an_error_for_a_caller_of_http_1_0() {
    let response = send_http_1_0(CUT, AnswerEnd::Close);
    assert!(response.contains(" 502 "), "{response}");
}

#[test]
fn a_whole_stream_has_a_length_for_a_caller_of_http_1_0() {
    let response = send_http_1_0(WHOLE, AnswerEnd::Close);
    let length = format!("content-length: {}", WHOLE.len());
    assert!(response.contains(&length), "{response}");
    assert!(response.ends_with(WHOLE), "{response}");
}

/// Guards against the end of a connection without any status when a stream fails before its first event.
#[test]
fn a_stream_that_ends_before_its_first_event_is_answered_with_an_error() {
    for end in [AnswerEnd::Close, AnswerEnd::Reset, AnswerEnd::Crash] {
        let (response, _crashes) = send(RequestKind::PlainStream, CUT_AT_ONCE, end);
        assert_eq!(response.status, 502, "{end:?}: {response:?}");
    }
}

macro_rules! answer_cases {
    ($($(#[doc = $doc:literal])* $name:ident: $kind:ident, $body:ident, $end:ident => $is_whole:literal;)*) => {
        $(
            $(#[doc = $doc])*
            #[test]
            fn $name() {
                let (response, crashes) = send(RequestKind::$kind, $body, AnswerEnd::$end);
                let is_whole = (response.status, response.body.as_str()) == (200, $body);
                assert_eq!(is_whole, $is_whole, "{response:?}");
                assert!($is_whole || response.status != 200, "{response:?}");
                assert_eq!(crashes, u32::from(AnswerEnd::$end == AnswerEnd::Crash));
            }
        )*
    };
}

answer_cases! {
    an_answer_that_ends_with_its_connection_is_whole: Lookup, WHOLE, Close => true;
    /// Guards against a crash that delivers a cut answer as whole, and clears the request that caused it.
    an_answer_that_ends_with_its_endpoint_is_not_whole: Lookup, WHOLE, Crash => false;
    /// Guards against delivering what came before a reset as whole.
    an_answer_that_ends_with_a_reset_is_not_whole: Lookup, WHOLE, Reset => false;
    /// Guards against the same for a request that must not run twice.
    a_booking_whose_answer_ends_with_its_endpoint_is_not_whole: Booking, WHOLE, Crash => false;
    a_stream_that_ends_with_its_connection_between_events_is_whole: PlainStream, WHOLE, Close => true;
    /// Guards against the end of a connection that ends a stream as complete wherever it is.
    a_stream_that_ends_with_its_connection_inside_an_event_is_not_whole: PlainStream, CUT, Close => false;
    /// Guards against a reset between two events that ends a stream as complete.
    a_stream_that_ends_with_a_reset_is_not_whole: PlainStream, WHOLE, Reset => false;
    /// Guards against a crash between two events that ends a stream as complete.
    a_stream_that_ends_with_its_endpoint_is_not_whole: PlainStream, WHOLE, Crash => false;
    /// Guards against taking the silence of an endpoint after its answer for its end.
    an_answer_of_an_endpoint_that_falls_silent_is_whole: Lookup, WHOLE, Silence => true;
    /// Guards against the same for a request that must not run twice.
    a_booking_whose_endpoint_falls_silent_is_whole: Booking, WHOLE, Silence => true;
    /// Guards against cutting the end of a stream because its endpoint falls silent.
    a_stream_of_an_endpoint_that_falls_silent_is_whole: PlainStream, WHOLE, Silence => true;
}

/// How an endpoint leaves as planned while it still runs requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Leaving {
    /// Its entry says that it drains.
    Drains,
    /// Its entry is removed.
    Unregisters,
    /// Operators evacuate its failure domain.
    IsEvacuated,
}

/// Makes an endpoint leave, and returns when the node knows it.
fn leave(deployment: &Deployment, endpoint: &RawEndpoint, leaving: Leaving) {
    let store = &deployment.store;
    match leaving {
        Leaving::Drains => store.register("u0", endpoint.entry("draining")),
        Leaving::Unregisters => store.unregister("u0"),
        Leaving::IsEvacuated => store.publish("evacuate/a", &serde_json::json!({})),
    }
    // Once this later record is applied, so is the one before.
    store.register("later", endpoint.entry("draining"));
    deployment.wait_until("the node knows that the endpoint leaves", || {
        let is_evacuated = deployment.knows_evacuation("a");
        deployment.node.state().knows_endpoint("later")
            && is_evacuated == (leaving == Leaving::IsEvacuated)
    });
}

/// Like [`send`], to an endpoint that leaves in the middle of its answer.
fn send_to_leaving(leaving: Leaving, kind: RequestKind, end: AnswerEnd) -> Response {
    let deployment = Deployment::start_with_plain_endpoints(0);
    let endpoint = RawEndpoint::start(&deployment.store, "u0", "app", WHOLE, end);
    let endpoint = endpoint.expect("the endpoint listens");
    deployment.wait_until("the node knows the endpoint", || {
        deployment.node.state().knows_endpoint("u0")
    });
    endpoint.hold_answers(true);
    let response = std::thread::scope(|scope| {
        let caller = scope.spawn(|| deployment.send_request(kind, "r1", "key-1"));
        deployment.wait_until("the endpoint answers", || endpoint.held_count() == 1);
        leave(&deployment, &endpoint, leaving);
        endpoint.hold_answers(false);
        caller.join().expect("the request ends")
    });
    deployment.kill();
    response
}

macro_rules! leaving_cases {
    ($($name:ident: $leaving:ident, $kind:ident, $end:ident => $is_whole:literal;)*) => {
        $(
            /// Guards against passing on what came before a crash as whole because the endpoint was about to leave.
            #[test]
            fn $name() {
                let response =
                    send_to_leaving(Leaving::$leaving, RequestKind::$kind, AnswerEnd::$end);
                let is_whole = (response.status, response.body.as_str()) == (200, WHOLE);
                assert_eq!(is_whole, $is_whole, "{response:?}");
                assert!($is_whole || response.status != 200, "{response:?}");
            }
        )*
    };
}

leaving_cases! {
    an_answer_that_ends_with_a_draining_endpoint_is_not_whole: Drains, Lookup, Crash => false;
    a_booking_that_ends_with_a_draining_endpoint_is_not_whole: Drains, Booking, Crash => false;
    a_stream_that_ends_with_a_draining_endpoint_is_not_whole: Drains, PlainStream, Crash => false;
    an_answer_that_ends_with_an_unregistered_endpoint_is_not_whole: Unregisters, Lookup, Crash => false;
    a_stream_that_ends_with_an_evacuated_endpoint_is_not_whole: IsEvacuated, PlainStream, Crash => false;
    an_answer_of_a_draining_endpoint_is_whole: Drains, Lookup, Close => true;
    a_stream_of_a_draining_endpoint_is_whole: Drains, PlainStream, Close => true;
    a_booking_of_an_unregistered_endpoint_is_whole: Unregisters, Booking, Close => true;
    a_stream_of_an_evacuated_endpoint_is_whole: IsEvacuated, PlainStream, Close => true;
}

/// The deadlines of requests whose endpoints are silent after their answers for longer than that.
const DEADLINES_MS: [u64; 4] = [745, 750, 755, 760];

/// How long after its deadline a request must be answered.
const GRACE: Duration = Duration::from_millis(250);

/// Guards against asking a silent endpoint whether it still runs when the request's time is up.
#[test]
fn requests_at_an_endpoint_that_falls_silent_end_at_their_deadlines() {
    for deadline_ms in DEADLINES_MS {
        let deployment = Deployment::start_with_plain_endpoints(0);
        let end = AnswerEnd::Silence;
        let endpoint = RawEndpoint::start(&deployment.store, "u0", "app", WHOLE, end);
        let _endpoint = endpoint.expect("the endpoint listens");
        deployment.wait_until("the node knows the endpoint", || {
            deployment.node.state().knows_endpoint("u0")
        });
        let deadline = Duration::from_millis(deadline_ms);
        let sent_at = Instant::now();
        let kind = RequestKind::Booking;
        let response = deployment.send_request_within(kind, "r1", "key-1", deadline);
        let late = sent_at.elapsed().saturating_sub(deadline);
        assert!([502, 504].contains(&response.status), "{response:?}");
        assert!(late <= GRACE, "{late:?} after {deadline:?}");
        deployment.kill();
    }
}
