//! Tests that messages arrive as they were sent, and that invalid ones are rejected.

use std::time::Duration;

use sesamecart_fleet::{
    Assignment, DispatchDecision, DispatchRefusal, DispatchRequest, HeldRequest, PoolPart,
    RefusalCause, Ticket, TicketKey, TokenCounts,
};

use super::{
    Report, decode_part, decode_reply, decode_report, decode_request, encode_reply, encode_report,
    encode_request,
};

fn part() -> PoolPart {
    PoolPart {
        service: "llm".parse().expect("a valid service"),
        model: "m".parse().expect("a valid model"),
        part: 1,
    }
}

fn key(ticket: u64) -> TicketKey {
    TicketKey {
        node: "n1".parse().expect("a valid node"),
        ticket: Ticket(ticket),
    }
}

const TOKENS: TokenCounts = TokenCounts {
    prompt: 1_460.0,
    answer: 150.0,
};

fn request() -> DispatchRequest {
    DispatchRequest {
        key: key(7),
        fingerprint: "0123456789abcdef0123456789abcdef"
            .parse()
            .expect("a valid fingerprint"),
        customer: Some("c1".parse().expect("a valid customer")),
        urgency: 2,
        failure_domain: "a".parse().expect("a valid failure domain"),
        tokens: TOKENS,
        latency_target: Duration::from_millis(250),
        waited: Duration::from_millis(3),
        time_left: Duration::from_secs(6),
        excluded: vec!["e1".parse().expect("a valid endpoint")],
    }
}

#[test]
fn a_request_arrives_as_it_was_sent() {
    let message = encode_request(&part(), &request());
    assert_eq!(decode_request(&message).ok(), Some(request()));
    assert_eq!(decode_part(message.pool.as_ref()).ok(), Some(part()));
}

#[test]
fn a_request_without_customer_arrives_without_one() {
    let req = DispatchRequest {
        customer: None,
        ..request()
    };
    let message = encode_request(&part(), &req);
    assert_eq!(decode_request(&message).ok(), Some(req));
}

macro_rules! invalid_requests {
    ($($name:ident: $field:ident = $value:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut message = encode_request(&part(), &request());
                message.$field = $value;
                assert!(decode_request(&message).is_err());
            }
        )*
    };
}

invalid_requests! {
    a_request_of_no_node_is_rejected: node = String::new();
    a_request_without_fingerprint_is_rejected: fingerprint = String::new();
    an_urgency_above_the_range_is_rejected: urgency = 256;
    an_empty_endpoint_is_rejected: excluded = vec![String::new()];
}

#[test]
fn a_message_about_no_pool_is_rejected() {
    assert!(decode_part(None).is_err());
}

macro_rules! decisions {
    ($($name:ident: $decision:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let decision = $decision;
                let reply = encode_reply(&decision).expect("it is final");
                assert_eq!(decode_reply(&reply), Some(decision));
            }
        )*
    };
}

fn refusal(cause: RefusalCause) -> DispatchDecision {
    let retry_after = Duration::from_millis(420);
    DispatchDecision::Refuse(DispatchRefusal { cause, retry_after })
}

decisions! {
    an_assignment_arrives: DispatchDecision::Send(Assignment {
        endpoint: "e1".parse().expect("a valid endpoint"),
        predicted_start: Duration::from_millis(120),
    });
    a_refusal_for_lack_of_endpoints_arrives: refusal(RefusalCause::NoEndpoint);
    a_refusal_by_full_endpoints_arrives: refusal(RefusalCause::Full);
    a_refusal_over_share_arrives: refusal(RefusalCause::OverShare);
}

#[test]
fn a_request_that_waits_has_no_reply() {
    assert_eq!(encode_reply(&DispatchDecision::Wait), None);
}

#[test]
fn an_assignment_without_endpoint_is_no_answer() {
    let reply = encode_reply(&refusal(RefusalCause::Full)).map(|mut reply| {
        reply.refusal = 0;
        reply
    });
    assert_eq!(reply.and_then(|reply| decode_reply(&reply)), None);
}

#[test]
fn a_report_arrives_as_it_was_sent() {
    let held = |ticket, started_after| HeldRequest {
        key: key(ticket),
        endpoint: "e1".parse().expect("a valid endpoint"),
        tokens: TOKENS,
        age: Duration::from_millis(30),
        started_after,
    };
    let report = Report {
        is_complete: true,
        held: vec![held(1, None), held(2, Some(Duration::ZERO))],
        ended: vec![Ticket(3)],
        abandoned: vec![Ticket(4)],
    };
    let node = key(1).node;
    let message = encode_report(&part(), &node, &report);
    assert_eq!(decode_report(&message).ok(), Some((node, report)));
}
