//! Tests of the sizes of messages that nodes send for each request of a caller.

use prost::Message as _;

use crate::feed::permit_reply::Decision;
use crate::feed::{EndpointLimit, LimitReport, PermitReply, PermitRequest};

/// Guards against more traffic for control than nodes may use, if each of 3,500 requests per second of 380
/// nodes needs a permit.
#[test]
fn a_permit_takes_few_bytes() {
    let limit = EndpointLimit {
        endpoint: "i-66b58885cf".to_owned(),
        incarnation: Some(1_788_826_515_012),
        per_s: Some(3.6),
    };
    let req = PermitRequest {
        limit: Some(LimitReport {
            limit: Some(limit),
            age_ms: Some(60_000),
            is_relayed: false,
        }),
        customer: "a-customer-with-a-long-name".to_owned(),
        priority: 5,
    };
    let reply = PermitReply {
        decision: Decision::Denied.into(),
        retry_after_ms: 2_500,
    };
    assert!(req.encoded_len() <= 80, "{} bytes", req.encoded_len());
    assert!(reply.encoded_len() <= 8, "{} bytes", reply.encoded_len());
}
