//! Sends requests to another node while this one doesn't reach the endpoints.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::future;
use http::header::RETRY_AFTER;
use http::{HeaderMap, Request};
use http_body_util::Full;
use indexmap::IndexSet;
use sesamecart_edges::{ClientError, Exchange, ResponseBody, Reuse, SendStatus, read_body};
use sesamecart_fleet::{Delivery, Pool, Unavailable};
use sesamecart_platform::{ResponseHead, end_to_end_headers, origin_form};
use sesamecart_runtime::sleep;
use sesamecart_vocabulary::{Bytes as ByteSize, EndpointId, NodeId, Timestamp};

use crate::clock;
use crate::crashes::SuspectRun;
use crate::events::Event;
use crate::metrics::ForwardingPart;
use crate::reach::HelperUse;
use crate::traffic::call::{AttemptError, Attempts, Call, EndpointResponse};
use crate::traffic::checks::BUDGET_SPENT;
use crate::traffic::flight::{Flight, ForwardedRequest};
use crate::traffic::hop::{HopRequest, HopResult, take_leaving, take_result};
use crate::traffic::refusal::{Refusal, RelayedRefusal};
use crate::traffic::response::response_fault;
use crate::traffic::timeout::MIN_RESPONSE_TIMEOUT;

/// The number of nodes to which a request may be sent before one of them takes it.
const MAX_HELPERS: usize = 3;

/// How long after the loss of a pool its requests wait for a node that reaches it.
const HELPER_SEARCH_TIME: Duration = Duration::from_millis(500);

/// How long a request waits for the check whether this node has lost its path to the endpoints.
const PATH_CHECK_TIME: Duration = Duration::from_millis(200);

/// How much later than this node's own timeout a response may arrive through another node.
const FORWARDING_ALLOWANCE: Duration = Duration::from_millis(100);

/// The timeout for the first event through another node, as a multiple of the timeout at an endpoint. The other
/// node waits longer than that while all heads are busy.
const HELPER_TIMEOUT_FACTOR: u32 = 2;

/// The maximum size of another node's explanation why a request isn't served.
const MAX_EXPLANATION: ByteSize = ByteSize(16 * 1024);

/// What became of a request that was to be sent to another node.
pub(super) enum Forwarding {
    /// This node reaches the endpoints itself, or no other node takes the request.
    NotDone,
    /// An endpoint responded.
    Answered(Box<EndpointResponse>),
    /// The request wasn't run, and no other node is tried.
    Refused(Refusal),
    /// The request may have run at this endpoint, if the other node has named it.
    Failed(AttemptError, Option<EndpointId>),
}

/// How one node responded.
enum HelperReply {
    Final(Forwarding),
    /// The request wasn't run. Another node may be tried. The refusal is set if it says when to retry.
    TryNext(Option<RelayedRefusal>),
}

impl Call {
    /// Returns the request's pool if this node doesn't reach it and the request may be sent to another node.
    fn unreachable_pool(&self) -> Option<(Pool, Timestamp)> {
        // A request that another node has sent takes no third hop.
        if self.hop.is_some() {
            return None;
        }
        let pool = self.pool(self.service()?);
        let since = self.state.reach.lost_since(&pool)?;
        Some((pool, since))
    }

    /// Returns whether another attempt may be made through another node.
    pub(super) fn may_forward(&self, attempts: &Attempts) -> bool {
        !attempts.has_no_helper && self.has_runs_left(attempts) && self.unreachable_pool().is_some()
    }

    /// Returns whether another node takes the request now and the retry budget allows sending it there.
    pub(super) fn has_forwarding_retry(&self) -> bool {
        self.unreachable_pool().is_some_and(|(pool, _)| {
            self.state.has_helper(&pool) && self.state.has_retry(&pool.service)
        })
    }

    /// Waits for a check of the path to the endpoints, if one is due. Returns whether the path is lost.
    pub(super) async fn wait_for_path_check(
        &self,
        attempts: &Attempts,
        unavailable: Unavailable,
    ) -> bool {
        let is_due =
            unavailable == Unavailable::NoEndpoint && self.hop.is_none() && !attempts.has_no_helper;
        let Some(service) = self.service().filter(|_| is_due) else {
            return false;
        };
        let pool = self.pool(service);
        let deadline = clock::now() + PATH_CHECK_TIME.min(self.time_left() / 3);
        while self.state.reach.is_suspected(&pool) {
            let changed = self.state.reach.listen();
            let remaining = deadline.since(clock::now());
            if remaining.is_zero() {
                return false;
            }
            future::or(changed, sleep(remaining)).await;
        }
        self.state.reach.lost_since(&pool).is_some()
    }

    /// Sends the request to a node that reaches the endpoints, if this one doesn't.
    pub(super) async fn forward(
        &self,
        attempts: &mut Attempts,
        suspect_run: &mut Option<SuspectRun>,
        last_event: Option<&str>,
    ) -> Forwarding {
        let mut tried: IndexSet<NodeId> = IndexSet::new();
        while !attempts.has_no_helper && tried.len() < MAX_HELPERS {
            let Some((pool, since)) = self.unreachable_pool() else {
                return Forwarding::NotDone;
            };
            let Some(helper) = self.find_helper(&pool, since, &tried).await else {
                break;
            };
            if !self.charge_budget(attempts, &pool.service) {
                return Forwarding::Refused(Refusal::NotRun(BUDGET_SPENT.to_owned()));
            }
            let node = helper.peer.node.clone();
            let reply = self.send_to_helper(helper, attempts, suspect_run, last_event);
            match reply.await {
                HelperReply::Final(forwarding) => return forwarding,
                HelperReply::TryNext(refusal) => {
                    attempts.helper_refusal = refusal;
                    self.state.reach.deny_helper(&pool, &node);
                    tried.insert(node);
                }
            }
        }
        attempts.has_no_helper = true;
        Forwarding::NotDone
    }

    /// Chooses a node. Shortly after the loss of the pool, waits until one is found.
    async fn find_helper(
        &self,
        pool: &Pool,
        since: Timestamp,
        tried: &IndexSet<NodeId>,
    ) -> Option<HelperUse> {
        let limit = (since + HELPER_SEARCH_TIME).since(clock::now());
        let deadline = clock::now() + limit.min(self.time_left() / 3);
        loop {
            let changed = self.state.reach.listen();
            if let Some(helper) = self.state.choose_helper(pool, tried) {
                return Some(helper);
            }
            let remaining = deadline.since(clock::now());
            if remaining.is_zero() || self.state.reach.lost_since(pool).is_none() {
                return None;
            }
            future::or(changed, sleep(remaining)).await;
        }
    }

    async fn send_to_helper(
        &self,
        helper: HelperUse,
        attempts: &mut Attempts,
        suspect_run: &mut Option<SuspectRun>,
        last_event: Option<&str>,
    ) -> HelperReply {
        let Some(address) = helper.peer.forwarding else {
            return HelperReply::TryNext(None);
        };
        let req = self.forwarded_request(attempts, last_event);
        self.state.events.write(&Event::Forwarded {
            request: self.metadata.id.as_str(),
            helper: helper.peer.node.as_str(),
            attempt: attempts.made + 1,
        });
        self.state.metrics.count_forwarded(ForwardingPart::Sent);
        attempts.is_unfinished = true;
        let reuse = if self.route.delivery.may_repeat() {
            Reuse::Allowed
        } else {
            Reuse::Never
        };
        let response = self.client.send(address, req, reuse, self.time_left());
        let lost = helper.lost.clone();
        let response = async { Some(response.await) };
        let lost = async {
            future::or(lost.wait(), self.helper_is_late()).await;
            self.wait_until_movable(None, attempts).await;
            None
        };
        let outcome = future::or(response, lost).await;
        match outcome {
            Some(Ok(exchange)) => {
                self.read_reply(exchange, helper, attempts, suspect_run)
                    .await
            }
            Some(Err(error)) if error.sent == SendStatus::Nothing => {
                attempts.is_unfinished = false;
                self.log_next(&error)
            }
            Some(Err(error)) => {
                attempts.made += 1;
                failed(error.to_string(), None)
            }
            None => {
                attempts.made += 1;
                let cause = format!("{}: it doesn't answer any more", helper.peer.node);
                failed(cause, None)
            }
        }
    }

    /// Waits until the response is so late that the other node, which has a timeout of its own, must have failed.
    async fn helper_is_late(&self) {
        match self.route.delivery {
            Delivery::Idempotent => sleep(self.response_timeout() + FORWARDING_ALLOWANCE).await,
            Delivery::Stream { resumable: true } if let Some(model) = &self.metadata.model => {
                let timeout = self.state.first_event_timeouts().timeout(model);
                sleep(timeout * HELPER_TIMEOUT_FACTOR + FORWARDING_ALLOWANCE).await;
            }
            Delivery::Stream { .. } | Delivery::AtMostOnce => future::pending().await,
        }
    }

    fn log_next(&self, error: &ClientError) -> HelperReply {
        log::debug!("traffic: {}: {error}.", self.metadata.id);
        HelperReply::TryNext(None)
    }

    fn forwarded_request(
        &self,
        attempts: &Attempts,
        last_event: Option<&str>,
    ) -> Request<Full<Bytes>> {
        let hop = HopRequest {
            elapsed: self.elapsed(),
            attempts: attempts.made,
            ran_at: attempts.ran_at.clone(),
            configuration: self.catalog.version,
            resume_after: last_event.map(str::to_owned),
        };
        let mut req = Request::new(Full::new(self.body.clone()));
        *req.method_mut() = self.head.method.clone();
        *req.uri_mut() = origin_form(&self.head);
        *req.headers_mut() = end_to_end_headers(&self.head.headers);
        hop.write(req.headers_mut());
        req
    }

    async fn read_reply(
        &self,
        exchange: Exchange,
        helper: HelperUse,
        attempts: &mut Attempts,
        suspect_run: &mut Option<SuspectRun>,
    ) -> HelperReply {
        let (mut head, body) = exchange.response.into_parts();
        let Some((result, endpoint)) = take_result(&mut head.headers) else {
            attempts.made += 1;
            let cause = format!("{}: not the response of a node", helper.peer.node);
            return failed(cause, None);
        };
        if result == HopResult::Elsewhere {
            let message = read_explanation(body).await;
            self.return_connection(exchange.lease);
            attempts.is_unfinished = false;
            let retry_after = read_retry_after(&head.headers);
            return HelperReply::TryNext(retry_after.map(|_| RelayedRefusal {
                status: head.status,
                message: format!("{}: {message}", helper.peer.node),
                retry_after,
            }));
        }
        attempts.made += 1;
        let leaving = take_leaving(&mut head.headers);
        if let (Some(incarnation), Some(endpoint)) = (leaving, &endpoint) {
            let request = self.metadata.id.as_str();
            self.state.learn_leaving(endpoint, incarnation, request);
        }
        match result {
            HopResult::Answered => {
                let response_head = ResponseHead::read(&head);
                if let Some(fault) = response_fault(&response_head, &self.metadata.id) {
                    let cause = format!("{}: {fault} ({})", helper.peer.node, head.status);
                    return failed(cause, endpoint);
                }
                let Some(endpoint) = endpoint else {
                    let cause = format!("{}: it names no endpoint", helper.peer.node);
                    return failed(cause, None);
                };
                let flight = ForwardedRequest {
                    state: Arc::clone(&self.state),
                    helper,
                    endpoint,
                    request: self.metadata.id.clone(),
                    arrived_at: self.arrived_at,
                    has_ended: false,
                    _suspect_run: suspect_run.take(),
                };
                HelperReply::Final(Forwarding::Answered(Box::new(EndpointResponse {
                    status: head.status,
                    headers: head.headers,
                    body,
                    // Nodes send bodies to each other with a length or in chunks.
                    ends_with_connection: false,
                    lease: exchange.lease,
                    in_flight: Flight::Helper(Box::new(flight)),
                })))
            }
            HopResult::Refused | HopResult::Elsewhere => {
                let message = read_explanation(body).await;
                self.return_connection(exchange.lease);
                let refusal = RelayedRefusal {
                    status: head.status,
                    message: format!("{}: {message}", helper.peer.node),
                    retry_after: read_retry_after(&head.headers),
                };
                HelperReply::Final(Forwarding::Refused(Refusal::Relayed(refusal)))
            }
            HopResult::Unknown => {
                let message = read_explanation(body).await;
                self.return_connection(exchange.lease);
                failed(format!("{}: {message}", helper.peer.node), endpoint)
            }
        }
    }
}

fn failed(cause: String, endpoint: Option<EndpointId>) -> HelperReply {
    let error = AttemptError::new(cause, true);
    HelperReply::Final(Forwarding::Failed(error, endpoint))
}

/// Reads the text in which another node explains why a request isn't served.
async fn read_explanation(body: ResponseBody) -> String {
    match read_body(body, MAX_EXPLANATION, MIN_RESPONSE_TIMEOUT).await {
        Ok(body) => String::from_utf8_lossy(&body).trim_end().to_owned(),
        Err(error) => error.to_string(),
    }
}

fn read_retry_after(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(RETRY_AFTER)?.to_str().ok()?;
    Duration::try_from_secs_f64(text.parse().ok()?).ok()
}
