//! Keyed actions as they travel over links.

use std::time::Duration;

use sesamecart_actions::{Answer, AttemptRequest, Decision, RefusalReason};
use sesamecart_fold::{ActionEnd, ActionKey, EncodedBody, Header as KeptHeader};
use sesamecart_links::message::begin_action_reply::Decision as WireDecision;
use sesamecart_links::message::finish_action_request::Outcome as WireOutcome;
use sesamecart_links::message::{
    BeginActionReply, BeginActionRequest, FinishActionRequest, Header,
};
use sesamecart_vocabulary::{AttemptId, Epoch, NodeId, Timestamp};

/// A message that a node of this release doesn't send.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("the field {field} can't be read")]
pub(crate) struct BadMessage {
    field: &'static str,
}

fn read<T: std::str::FromStr>(field: &'static str, text: &str) -> Result<T, BadMessage> {
    text.parse().map_err(|_| BadMessage { field })
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

pub(crate) fn begin_request(
    asking: &AttemptRequest,
    node: &NodeId,
    now: Timestamp,
) -> BeginActionRequest {
    BeginActionRequest {
        customer: asking.key.customer.to_string(),
        service: asking.key.service.to_string(),
        key: asking.key.key.to_string(),
        body_digest: asking.body_digest.to_string(),
        attempt: asking.attempt.to_string(),
        node: node.to_string(),
        deadline_ms: millis(asking.deadline - now),
    }
}

pub(crate) fn asking(
    req: &BeginActionRequest,
    now: Timestamp,
) -> Result<AttemptRequest, BadMessage> {
    Ok(AttemptRequest {
        key: ActionKey {
            customer: read("customer", &req.customer)?,
            service: read("service", &req.service)?,
            key: read("key", &req.key)?,
        },
        body_digest: read("body_digest", &req.body_digest)?,
        attempt: read("attempt", &req.attempt)?,
        deadline: now + Duration::from_millis(req.deadline_ms),
    })
}

pub(crate) fn begin_reply(decision: Decision) -> BeginActionReply {
    let mut reply = BeginActionReply::default();
    let kind = match decision {
        Decision::Send { epoch } => {
            reply.epoch = epoch.0;
            WireDecision::Send
        }
        Decision::Answered(answer) => {
            reply.status = u32::from(answer.status);
            reply.headers = answer.headers.into_iter().map(wire_header).collect();
            reply.body = answer.body.0;
            WireDecision::Answered
        }
        Decision::Running { retry_after } => {
            reply.retry_after_ms = millis(retry_after);
            WireDecision::Running
        }
        Decision::Unknown { attempt } => {
            reply.attempt = attempt.into();
            WireDecision::Unknown
        }
        Decision::Mismatch => WireDecision::Mismatch,
        Decision::Refused {
            reason,
            retry_after,
        } => {
            reason.code().clone_into(&mut reply.reason);
            reply.retry_after_ms = millis(retry_after);
            WireDecision::Refused
        }
        Decision::Expired => WireDecision::Expired,
        Decision::NotOwner => WireDecision::NotOwner,
    };
    reply.decision = kind.into();
    reply
}

pub(crate) fn decision(reply: BeginActionReply) -> Result<Decision, BadMessage> {
    let retry_after = Duration::from_millis(reply.retry_after_ms);
    match reply.decision() {
        WireDecision::Unspecified => Err(BadMessage { field: "decision" }),
        WireDecision::Send => Ok(Decision::Send {
            epoch: Epoch(reply.epoch),
        }),
        WireDecision::Answered => Ok(Decision::Answered(answer(
            reply.status,
            reply.headers,
            reply.body,
        )?)),
        WireDecision::Running => Ok(Decision::Running { retry_after }),
        WireDecision::Unknown => Ok(Decision::Unknown {
            attempt: read("attempt", &reply.attempt)?,
        }),
        WireDecision::Mismatch => Ok(Decision::Mismatch),
        WireDecision::Refused => Ok(Decision::Refused {
            reason: RefusalReason::of_code(&reply.reason).ok_or(BadMessage { field: "reason" })?,
            retry_after,
        }),
        WireDecision::Expired => Ok(Decision::Expired),
        WireDecision::NotOwner => Ok(Decision::NotOwner),
    }
}

/// How a try ended, as a node tells the key's owner.
#[derive(Clone, Debug)]
pub(crate) struct Ending {
    pub(crate) key: ActionKey,
    pub(crate) attempt: AttemptId,
    pub(crate) end: ActionEnd,
}

pub(crate) fn finish_request(ending: &Ending) -> FinishActionRequest {
    let mut req = FinishActionRequest {
        customer: ending.key.customer.to_string(),
        service: ending.key.service.to_string(),
        key: ending.key.key.to_string(),
        attempt: ending.attempt.to_string(),
        ..FinishActionRequest::default()
    };
    let outcome = match &ending.end {
        ActionEnd::Answered {
            status,
            headers,
            body,
        } => {
            req.status = u32::from(*status);
            req.headers = headers.iter().cloned().map(wire_header).collect();
            req.body.clone_from(&body.0);
            WireOutcome::Answered
        }
        ActionEnd::NotRun => WireOutcome::NotRun,
        ActionEnd::Unknown => WireOutcome::Unknown,
    };
    req.outcome = outcome.into();
    req
}

pub(crate) fn ending(req: FinishActionRequest) -> Result<Ending, BadMessage> {
    let end = match req.outcome() {
        WireOutcome::Unspecified => return Err(BadMessage { field: "outcome" }),
        WireOutcome::NotRun => ActionEnd::NotRun,
        WireOutcome::Unknown => ActionEnd::Unknown,
        WireOutcome::Answered => answer(req.status, req.headers, req.body)?.into(),
    };
    Ok(Ending {
        key: ActionKey {
            customer: read("customer", &req.customer)?,
            service: read("service", &req.service)?,
            key: read("key", &req.key)?,
        },
        attempt: read("attempt", &req.attempt)?,
        end,
    })
}

fn answer(status: u32, headers: Vec<Header>, body: Vec<u8>) -> Result<Answer, BadMessage> {
    let headers = headers.into_iter().map(|header| KeptHeader {
        name: header.name,
        value: EncodedBody(header.value),
    });
    Ok(Answer {
        status: u16::try_from(status).map_err(|_| BadMessage { field: "status" })?,
        headers: headers.collect(),
        body: EncodedBody(body),
    })
}

fn wire_header(header: KeptHeader) -> Header {
    Header {
        name: header.name,
        value: header.value.0,
    }
}
