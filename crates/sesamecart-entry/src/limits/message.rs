//! The messages between nodes about limits.

use std::time::Duration;

use sesamecart_fleet::{Incarnation, LimitObservation, Permit, PermitRequest};
use sesamecart_links::Status;
use sesamecart_links::feed::permit_reply::Decision;
use sesamecart_links::feed::{self, EndpointLimit, LimitReport, PermitReply};
use sesamecart_vocabulary::{RequestRate, Timestamp};

use crate::clock;
use crate::follower::millis;

pub(super) fn encode_limit(limit: &LimitObservation) -> EndpointLimit {
    EndpointLimit {
        endpoint: limit.endpoint.to_string(),
        incarnation: limit.incarnation.map(|incarnation| incarnation.0),
        per_s: limit.limit.map(RequestRate::per_s),
    }
}

/// Decodes a limit that this node knows from another node.
pub(super) fn decode_limit(limit: &EndpointLimit) -> Option<LimitObservation> {
    let rate = match limit.per_s {
        Some(per_s) => Some(RequestRate::new(per_s)?),
        None => None,
    };
    Some(LimitObservation {
        endpoint: limit.endpoint.parse().ok()?,
        incarnation: limit.incarnation.map(Incarnation),
        limit: rate,
        sent_at: Timestamp::ZERO,
    })
}

/// Encodes an observation, whose time is sent as its age.
pub(super) fn encode_report(observation: &LimitObservation, is_relayed: bool) -> LimitReport {
    let is_own = observation.sent_at != Timestamp::ZERO;
    LimitReport {
        limit: Some(encode_limit(observation)),
        age_ms: is_own.then(|| millis(clock::now().since(observation.sent_at))),
        is_relayed,
    }
}

/// Decodes an observation.
///
/// # Errors
///
/// Returns the status for the sender if it is invalid.
pub(crate) fn decode_report(report: &LimitReport) -> Result<LimitObservation, Status> {
    let limit = report.limit.as_ref().and_then(decode_limit);
    let limit = limit.ok_or_else(|| Status::invalid_argument("the limit is invalid"))?;
    let sent_at = report.age_ms.map_or(Timestamp::ZERO, |age_ms| {
        clock::now() - Duration::from_millis(age_ms)
    });
    Ok(LimitObservation { sent_at, ..limit })
}

pub(super) fn encode_request(req: &PermitRequest, is_relayed: bool) -> feed::PermitRequest {
    let customer = req.customer.as_ref();
    feed::PermitRequest {
        limit: Some(encode_report(&req.limit, is_relayed)),
        customer: customer.map_or_else(String::new, ToString::to_string),
        priority: req.priority.into(),
    }
}

/// Decodes a request for a permit.
///
/// # Errors
///
/// Returns the status for the sender if it is invalid.
pub(crate) fn decode_request(req: &feed::PermitRequest) -> Result<PermitRequest, Status> {
    let invalid = || Status::invalid_argument("the request for a permit is invalid");
    let limit = req.limit.as_ref().ok_or_else(invalid)?;
    let customer = match req.customer.as_str() {
        "" => None,
        customer => Some(customer.parse().map_err(|_| invalid())?),
    };
    Ok(PermitRequest {
        limit: decode_report(limit)?,
        customer,
        priority: u8::try_from(req.priority).map_err(|_| invalid())?,
    })
}

pub(crate) fn encode_permit(permit: Permit) -> PermitReply {
    let (decision, retry_after) = match permit {
        Permit::Granted => (Decision::Granted, Duration::ZERO),
        Permit::Denied(retry_after) => (Decision::Denied, retry_after),
        Permit::Unlimited => (Decision::Unlimited, Duration::ZERO),
    };
    PermitReply {
        decision: decision.into(),
        retry_after_ms: millis(retry_after),
    }
}

/// Decodes a permit, or returns nothing if it is invalid.
pub(super) fn decode_permit(reply: &PermitReply) -> Option<Permit> {
    match reply.decision() {
        Decision::Unspecified => None,
        Decision::Granted => Some(Permit::Granted),
        Decision::Denied => Some(Permit::Denied(Duration::from_millis(reply.retry_after_ms))),
        Decision::Unlimited => Some(Permit::Unlimited),
    }
}
