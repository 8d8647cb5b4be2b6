//! Asks a service's endpoints what became of a try whose answer was lost.
//!
//! Without it, every answer that is lost on the way leaves its caller in doubt for good. An endpoint
//! that is asked either tells the first answer, or promises that it will never run this try; the
//! question may be repeated. docs/design/platform.md gives the protocol.

use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::header::CONTENT_LENGTH;
use http::{Method, Request};
use http_body_util::Full;
use serde::Deserialize;
use sesamecart_actions::Answer;
use sesamecart_edges::{ACTION, Reuse, read_body};
use sesamecart_fold::{ActionEnd, EncodedBody, Header};
use sesamecart_runtime::sleep;
use sesamecart_vocabulary::AttemptId;

use crate::traffic::handler::Handler;
use crate::traffic::keyed::KeyedAction;

/// Where an endpoint is asked.
const SETTLE_PATH: &str = "/sesamecart/settle";
/// How long one endpoint may take.
const SETTLE_LIMIT: Duration = Duration::from_secs(2);
/// The time between two rounds over the endpoints.
const SETTLE_REST: Duration = Duration::from_millis(50);
/// How long an end that is unknown is still asked for after the caller has its answer.
const LATE_LIMIT: Duration = Duration::from_secs(30);

/// What the endpoints say of a try.
#[derive(Clone, Debug)]
pub(crate) enum Settled {
    /// It ran and gave this answer.
    Run(Answer),
    /// It has not run and never will.
    NotRun,
    /// Nobody can tell, or nobody was reached.
    Unknown,
}

#[derive(Debug, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
enum Reply {
    Run {
        status: u16,
        #[serde(default)]
        headers: Vec<(String, String)>,
        body: String,
    },
    NotRun,
}

impl KeyedAction {
    /// Asks the service's endpoints in turn until one tells, for at most `limit`.
    pub(super) async fn settle(
        &self,
        handler: &Handler,
        attempt: &AttemptId,
        limit: Duration,
    ) -> Settled {
        if !self.service.settles_actions {
            return Settled::Unknown;
        }
        let until = handler.shared.clock.now() + limit;
        while handler.shared.clock.now() < until {
            // Endpoints that are drained can still tell what they ran.
            let endpoints = self.snapshot.all_service_endpoints(&self.key.service);
            for endpoint in endpoints {
                let left = until - handler.shared.clock.now();
                let limit = SETTLE_LIMIT.min(left);
                if let Some(settled) = ask(handler, endpoint.address, attempt, limit).await {
                    return settled;
                }
            }
            sleep(SETTLE_REST).await;
        }
        Settled::Unknown
    }

    /// Goes on asking after the caller has got its answer, so that its retry finds the end.
    pub(super) async fn settle_late(
        &self,
        handler: &Handler,
        attempt: &AttemptId,
        end: ActionEnd,
    ) -> ActionEnd {
        if end != ActionEnd::Unknown {
            return end;
        }
        match self.settle(handler, attempt, LATE_LIMIT).await {
            Settled::Run(answer) => answer.into(),
            Settled::NotRun => ActionEnd::NotRun,
            Settled::Unknown => ActionEnd::Unknown,
        }
    }
}

async fn ask(
    handler: &Handler,
    peer: std::net::SocketAddr,
    attempt: &AttemptId,
    limit: Duration,
) -> Option<Settled> {
    let req = Request::builder()
        .method(Method::POST)
        .uri(SETTLE_PATH)
        .header(http::header::HOST, peer.to_string())
        .header(ACTION, attempt.as_str())
        .header(CONTENT_LENGTH, 0)
        .body(Full::new(Bytes::new()))
        .ok()?;
    let exchange = handler
        .client
        .send(peer, req, Reuse::Allowed, limit)
        .await
        .ok()?;
    let status = exchange.response.status();
    let max = handler.shared.settings.bounds.max_answer_bytes;
    let body = read_body(exchange.response.into_body(), max, limit)
        .await
        .ok()?;
    exchange.lease.return_to_pool();
    if !status.is_success() {
        return None;
    }
    match serde_json::from_slice(&body).ok()? {
        Reply::NotRun => Some(Settled::NotRun),
        Reply::Run {
            status,
            headers,
            body,
        } => {
            let headers = headers.into_iter().map(|(name, value)| Header {
                name,
                value: EncodedBody(value.into_bytes()),
            });
            Some(Settled::Run(Answer {
                status,
                headers: headers.collect(),
                body: EncodedBody(STANDARD.decode(body).ok()?),
            }))
        }
    }
}
