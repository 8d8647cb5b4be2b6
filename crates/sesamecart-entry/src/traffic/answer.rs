//! What an endpoint's answer says: whether it is this request's, and whether the request ran.

use std::time::Duration;

use bytes::Bytes;
use http::{Response, StatusCode};
use sesamecart_edges::{ConnectionLease, Exchange, read_whole};
use sesamecart_platform::{AnswerHead, NotRun};
use sesamecart_vocabulary::{Bytes as ByteSize, EndpointId};

use crate::clock;
use crate::traffic::call::{Answered, Call, Failed};
use crate::traffic::flight::Flight;
use crate::traffic::refusal::Refusal;
use crate::traffic::waiting::MIN_ANSWER_TIMEOUT;

/// The largest answer that is held whole before it is passed on.
const MAX_ANSWER: ByteSize = ByteSize(16 * 1024 * 1024);

/// Idle connections may take one in so many of an endpoint's; the others are for requests under way.
///
/// Without a bound the nodes' idle connections fill an endpoint, which resets the next request's.
const IDLE_PART: usize = 2;

/// How long an endpoint that rejected a request gets nothing more.
const REJECTED_EJECTION_TIME: Duration = Duration::from_millis(60);

/// How long an endpoint whose address answers for another one gets nothing more; the registry shows
/// the change by then.
const MISDIRECTED_EJECTION_TIME: Duration = Duration::from_millis(500);

impl Call {
    /// Tells an answer to this request from one that proves that it wasn't run, and from one that
    /// belongs to another request.
    pub(super) async fn check(
        &self,
        exchange: Exchange,
        mut flight: Flight,
    ) -> Result<Answered, Failed> {
        let (head, body) = exchange.response.into_parts();
        let said = AnswerHead::read(&head);
        if let Some(load) = said.load {
            let now = clock::now();
            self.beliefs.loads().reported(now, &flight.endpoint, load);
        }
        if let Some(not_run) = said.not_run {
            flight.settle();
            self.note_rejection(&flight.endpoint, not_run, &said);
            if read_whole(body, MAX_ANSWER, MIN_ANSWER_TIMEOUT)
                .await
                .is_ok()
            {
                self.give_back(exchange.lease);
            }
            return Err(Failed {
                cause: format!("{not_run} ({})", said.status),
                may_have_run: false,
            });
        }
        let fault = if said.request.as_ref() != Some(&self.asked.id) {
            Some("the answer belongs to another request")
        } else if said.is_encoded {
            Some("the answer's body is encoded")
        } else if promises_not_run(said.status) {
            Some("the answer's status promises what isn't proved")
        } else if said.status.is_success() && !said.is_sealed {
            Some("the answer has no seal")
        } else {
            None
        };
        if let Some(fault) = fault {
            flight.fail();
            return Err(Failed {
                cause: format!("{fault} ({})", said.status),
                may_have_run: true,
            });
        }
        flight.heard();
        if let Some((_, model)) = self.engine_model() {
            let waited = flight.age();
            self.beliefs.first_events().observe(&model.model, waited);
        }
        Ok(Answered {
            status: said.status,
            headers: head.headers,
            body,
            lease: exchange.lease,
            flight,
        })
    }

    fn note_rejection(&self, endpoint: &EndpointId, not_run: NotRun, said: &AnswerHead) {
        let now = clock::now();
        let rest = match not_run {
            NotRun::Misdirected => MISDIRECTED_EJECTION_TIME,
            NotRun::Full | NotRun::Rejected => REJECTED_EJECTION_TIME,
        };
        self.beliefs.loads().eject(now, endpoint, rest);
        if said.at_fault.as_ref().is_some_and(|id| id != endpoint) {
            log::debug!(
                "traffic: {endpoint} rejects because of {:?}.",
                said.at_fault
            );
        }
    }

    /// Reads an answer whole, which is passed on only if all of it came.
    pub(crate) async fn read(&self, answered: Answered) -> Result<Response<Bytes>, Refusal> {
        let Answered {
            status,
            headers,
            body,
            lease,
            mut flight,
        } = answered;
        match read_whole(body, MAX_ANSWER, self.left()).await {
            Ok(body) => {
                self.give_back(lease);
                if status.is_server_error() {
                    flight.fail();
                } else {
                    flight.succeed();
                }
                let mut response = Response::new(body);
                *response.status_mut() = status;
                *response.headers_mut() = headers;
                Ok(response)
            }
            Err(error) => {
                flight.fail();
                Err(Refusal::NoAnswer(error.to_string()))
            }
        }
    }

    /// Gives a connection back, within this node's share of what the endpoint takes.
    pub(crate) fn give_back(&self, lease: ConnectionLease) {
        let service = self.service().and_then(|id| self.catalog.services.get(id));
        let most = service.map_or(0, |service| service.max_connections as usize);
        let nodes = self.beliefs.nodes.load().len();
        lease.give_back_up_to(most / (nodes.max(1) * IDLE_PART));
    }
}

/// Returns whether a status would tell the caller that its request hasn't run.
fn promises_not_run(status: StatusCode) -> bool {
    [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::MISDIRECTED_REQUEST,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
    ]
    .contains(&status)
}
