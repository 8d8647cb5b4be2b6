//! Tests of answers whose status isn't one.

use sesamecart_platform_standins::{AnswerEnd, AnswerFormat, RawEndpoint};

use crate::faulty_links::LinkFault;
use crate::setup::{DEFAULT_DEADLINE, Deployment, RequestKind, Response};

const BODY: &str = "id: 1\ndata: first\n\n";

/// Sends a request to the only endpoint, whose answer has an invalid status. Checks that its caller gets an error of the
/// node.
fn check(status: &'static str, kind: RequestKind) {
    let deployment = Deployment::start_with_plain_endpoints(0);
    let answer = (AnswerFormat::Status(status), BODY);
    let store = &deployment.store;
    let endpoint = RawEndpoint::start_with(store, "u0", "app", answer, AnswerEnd::Close);
    let endpoint = endpoint.expect("the endpoint listens");
    deployment.wait_until("the node knows the endpoint", || {
        deployment.node.state().knows_endpoint("u0")
    });
    let response = deployment.send_request(kind, "r1", "key-1");
    check_response(kind, &response, &endpoint);
    deployment.kill();
}

/// Like [`check`], through another node.
fn check_forwarded(status: &'static str, kind: RequestKind) {
    let deployment = Deployment::start_with_plain_endpoints(0);
    let (node, links) = deployment.add_node_with_links("n2");
    let answer = (AnswerFormat::Status(status), BODY);
    let store = &deployment.store;
    let endpoint = RawEndpoint::start_with(store, "u0", "app", answer, AnswerEnd::Close);
    let endpoint = endpoint.expect("the endpoint listens");
    links.fail(LinkFault::Reset, [endpoint.address()]);
    deployment.wait_until("the nodes know the endpoint", || {
        [&node, &deployment.node]
            .iter()
            .all(|node| node.state().knows_endpoint("u0"))
    });
    let response = deployment.send_request_to(&node, kind, "r1", "key-1", DEFAULT_DEADLINE);
    check_response(kind, &response, &endpoint);
    node.kill();
    deployment.kill();
}

fn check_response(kind: RequestKind, response: &Response, endpoint: &RawEndpoint) {
    assert!([502, 504].contains(&response.status), "{response:?}");
    assert!(!response.is_sealed, "{response:?}");
    let answers = endpoint.answer_count();
    let expected = match kind {
        // It may have run, and must not run again.
        RequestKind::Booking => 1..=1,
        _ => 1..=2,
    };
    assert!(expected.contains(&answers), "it was sent {answers} times");
}

macro_rules! status_cases {
    ($($name:ident: $check:ident, $status:literal, $kind:ident;)*) => {
        $(
            /// Guards against passing on a status that isn't one as an answer.
            #[test]
            fn $name() {
                $check($status, RequestKind::$kind);
            }
        )*
    };
}

status_cases! {
    a_lookup_answered_with_000_is_an_error: check, "000", Lookup;
    a_booking_answered_with_000_is_an_error: check, "000", Booking;
    a_stream_answered_with_000_is_an_error: check, "000", PlainStream;
    a_lookup_answered_with_099_is_an_error: check, "099", Lookup;
    a_booking_answered_with_099_is_an_error: check, "099", Booking;
    a_lookup_answered_with_1000_is_an_error: check, "1000", Lookup;
    a_booking_answered_with_letters_is_an_error: check, "abc", Booking;
    a_stream_answered_with_letters_is_an_error: check, "abc", PlainStream;
    a_lookup_answered_without_a_status_is_an_error: check, "", Lookup;
    a_booking_answered_without_a_status_is_an_error: check, "", Booking;
    a_lookup_answered_with_a_negative_status_is_an_error: check, "-200", Lookup;
    a_stream_answered_with_a_negative_status_is_an_error: check, "-200", PlainStream;
    a_forwarded_lookup_answered_with_000_is_an_error: check_forwarded, "000", Lookup;
    a_forwarded_booking_answered_with_000_is_an_error: check_forwarded, "000", Booking;
    a_forwarded_stream_answered_with_000_is_an_error: check_forwarded, "000", PlainStream;
    a_forwarded_booking_answered_with_letters_is_an_error: check_forwarded, "abc", Booking;
}
