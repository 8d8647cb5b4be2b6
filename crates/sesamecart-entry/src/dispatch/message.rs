//! The messages between nodes and dispatchers.

use std::time::Duration;

use sesamecart_fleet::{
    Assignment, DispatchDecision, DispatchRefusal, DispatchRequest, HeldRequest, PoolPart,
    RefusalCause, Ticket, TicketKey, TokenCounts,
};
use sesamecart_links::Status;
use sesamecart_links::feed::dispatch_reply::Refusal;
use sesamecart_links::feed::{self, DispatchReply};
use sesamecart_vocabulary::NodeId;

use crate::dispatch::outbox::Report;

#[cfg(test)]
mod tests;

pub(super) fn encode_request(part: &PoolPart, req: &DispatchRequest) -> feed::DispatchRequest {
    let customer = req.customer.as_ref();
    feed::DispatchRequest {
        pool: Some(encode_part(part)),
        node: req.key.node.to_string(),
        ticket: req.key.ticket.0,
        fingerprint: req.fingerprint.to_string(),
        customer: customer.map_or_else(String::new, ToString::to_string),
        urgency: req.urgency.into(),
        failure_domain: req.failure_domain.to_string(),
        prompt_tokens: encode_tokens(req.tokens.prompt),
        answer_tokens: encode_tokens(req.tokens.answer),
        latency_target_ms: encode_time(req.latency_target),
        waited_ms: encode_time(req.waited),
        time_left_ms: encode_time(req.time_left),
        excluded: req.excluded.iter().map(ToString::to_string).collect(),
    }
}

/// Decodes a request for an endpoint.
///
/// # Errors
///
/// Returns the status for the sender if it is invalid.
pub(crate) fn decode_request(req: &feed::DispatchRequest) -> Result<DispatchRequest, Status> {
    let customer = match req.customer.as_str() {
        "" => None,
        customer => Some(parse(customer, "customer")?),
    };
    let excluded = req.excluded.iter().map(|id| parse(id, "endpoint"));
    Ok(DispatchRequest {
        key: TicketKey {
            node: parse(&req.node, "node")?,
            ticket: Ticket(req.ticket),
        },
        fingerprint: parse(&req.fingerprint, "fingerprint")?,
        customer,
        urgency: u8::try_from(req.urgency).map_err(|_| invalid("urgency"))?,
        failure_domain: parse(&req.failure_domain, "failure domain")?,
        tokens: decode_tokens(req.prompt_tokens, req.answer_tokens),
        latency_target: decode_time(req.latency_target_ms),
        waited: decode_time(req.waited_ms),
        time_left: decode_time(req.time_left_ms),
        excluded: excluded.collect::<Result<_, _>>()?,
    })
}

/// Encodes a final decision. A request that still waits has no reply.
pub(crate) fn encode_reply(decision: &DispatchDecision) -> Option<DispatchReply> {
    match decision {
        DispatchDecision::Wait => None,
        DispatchDecision::Send(assignment) => Some(DispatchReply {
            endpoint: assignment.endpoint.to_string(),
            predicted_start_ms: encode_time(assignment.predicted_start),
            refusal: Refusal::None.into(),
            retry_after_ms: 0,
        }),
        DispatchDecision::Refuse(refusal) => {
            let cause = match refusal.cause {
                RefusalCause::NoEndpoint => Refusal::NoEndpoint,
                RefusalCause::Full => Refusal::Full,
                RefusalCause::OverShare => Refusal::OverShare,
            };
            Some(DispatchReply {
                endpoint: String::new(),
                predicted_start_ms: 0,
                refusal: cause.into(),
                retry_after_ms: encode_time(refusal.retry_after),
            })
        }
    }
}

/// Decodes a final decision, or returns nothing if it is invalid.
pub(super) fn decode_reply(reply: &DispatchReply) -> Option<DispatchDecision> {
    let refuse = |cause| {
        let retry_after = decode_time(reply.retry_after_ms);
        Some(DispatchDecision::Refuse(DispatchRefusal {
            cause,
            retry_after,
        }))
    };
    match Refusal::try_from(reply.refusal).ok()? {
        Refusal::None => Some(DispatchDecision::Send(Assignment {
            endpoint: reply.endpoint.parse().ok()?,
            predicted_start: decode_time(reply.predicted_start_ms),
        })),
        Refusal::NoEndpoint => refuse(RefusalCause::NoEndpoint),
        Refusal::Full => refuse(RefusalCause::Full),
        Refusal::OverShare => refuse(RefusalCause::OverShare),
    }
}

pub(super) fn encode_report(part: &PoolPart, node: &NodeId, report: &Report) -> feed::HeldReport {
    let held = report.held.iter().map(|held| feed::HeldRequest {
        ticket: held.key.ticket.0,
        endpoint: held.endpoint.to_string(),
        prompt_tokens: encode_tokens(held.tokens.prompt),
        answer_tokens: encode_tokens(held.tokens.answer),
        age_ms: encode_time(held.age),
        started_after_ms: held.started_after.map(encode_time),
    });
    feed::HeldReport {
        pool: Some(encode_part(part)),
        node: node.to_string(),
        is_complete: report.is_complete,
        held: held.collect(),
        ended: report.ended.iter().map(|ticket| ticket.0).collect(),
        abandoned: report.abandoned.iter().map(|ticket| ticket.0).collect(),
    }
}

/// Decodes the sender and its report.
///
/// # Errors
///
/// Returns the status for the sender if it is invalid.
pub(crate) fn decode_report(report: &feed::HeldReport) -> Result<(NodeId, Report), Status> {
    let node: NodeId = parse(&report.node, "node")?;
    let held = report.held.iter().map(|held| {
        Ok(HeldRequest {
            key: TicketKey {
                node: node.clone(),
                ticket: Ticket(held.ticket),
            },
            endpoint: parse(&held.endpoint, "endpoint")?,
            tokens: decode_tokens(held.prompt_tokens, held.answer_tokens),
            age: decode_time(held.age_ms),
            started_after: held.started_after_ms.map(decode_time),
        })
    });
    let held = held.collect::<Result<_, Status>>()?;
    let report = Report {
        is_complete: report.is_complete,
        held,
        ended: report.ended.iter().copied().map(Ticket).collect(),
        abandoned: report.abandoned.iter().copied().map(Ticket).collect(),
    };
    Ok((node, report))
}

fn encode_part(part: &PoolPart) -> feed::PoolPart {
    feed::PoolPart {
        service: part.service.to_string(),
        model: part.model.to_string(),
        part: part.part,
    }
}

/// Decodes the part of a pool that a message is about.
///
/// # Errors
///
/// Returns the status for the sender if it is missing or invalid.
pub(crate) fn decode_part(part: Option<&feed::PoolPart>) -> Result<PoolPart, Status> {
    let part = part.ok_or_else(|| invalid("pool"))?;
    Ok(PoolPart {
        service: parse(&part.service, "service")?,
        model: parse(&part.model, "model")?,
        part: part.part,
    })
}

fn parse<T: std::str::FromStr>(text: &str, what: &str) -> Result<T, Status> {
    text.parse().map_err(|_| invalid(what))
}

fn invalid(what: &str) -> Status {
    Status::invalid_argument(format!("the {what} is invalid"))
}

fn encode_tokens(tokens: f64) -> u32 {
    // The conversion saturates.
    tokens.round() as u32
}

fn decode_tokens(prompt: u32, answer: u32) -> TokenCounts {
    TokenCounts {
        prompt: prompt.into(),
        answer: answer.into(),
    }
}

fn encode_time(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

fn decode_time(ms: u32) -> Duration {
    Duration::from_millis(ms.into())
}
