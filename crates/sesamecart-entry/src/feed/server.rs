//! The gRPC service through which other nodes follow this node's feed.

use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use futures_lite::future;
use sesamecart_fleet::{GroupHealth, GroupKey, Pool};
use sesamecart_links::feed::feed_server::Feed as FeedService;
use sesamecart_links::feed::{
    DispatchReply, DispatchRequest, FollowReply, FollowRequest, GroupLoss, GroupVerdict,
    HeldReport, LimitAnnouncement, LimitReport, NodeAnnouncement, Noted, OperatorState,
    OperatorStateRequest, PermitReply, PermitRequest, ReachReply, ReachRequest, SuspectReply,
    SuspectRequest, WatchLoadsRequest,
};
use sesamecart_links::{Request, Response, Status, async_trait};
use sesamecart_platform::Store;
use sesamecart_runtime::{ByteCounters, Tasks, sleep};

use crate::clock;
use crate::crashes::{SuspectClient, encode_decision};
use crate::dispatch::{
    decode_part, decode_report as decode_held_report,
    decode_request as decode_request_for_endpoint, encode_reply,
};
use crate::feed::has_updates;
use crate::feed::referral::referral_status;
use crate::follower::millis;
use crate::group_prober::GroupProber;
use crate::limits::{LimitClient, decode_report, decode_request, encode_permit};
use crate::loss_reports::{parse_group_key, report_to_store};
use crate::peer_loads::{self, LoadChangesStream};
use crate::reach::ReachChecker;
use crate::state::EntryState;

/// The longest time for which a follower's call is held: twice what followers request, and half of the 2 s
/// after which a link cancels a call.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// Answers the calls of other nodes.
pub(crate) struct FeedHandler {
    pub(crate) state: Arc<EntryState>,
    pub(crate) store: Store,
    pub(crate) group_prober: GroupProber,
    pub(crate) reach_checker: ReachChecker,
    pub(crate) limits: LimitClient,
    pub(crate) suspects: SuspectClient,
}

/// Serves the calls of other nodes until the task is cancelled.
pub(crate) async fn serve(handler: FeedHandler, listener: TcpListener, tasks: Tasks) {
    let served = sesamecart_links::serve_feed(listener, handler, tasks, ByteCounters::default());
    if let Err(error) = served.await {
        log::error!("feed: cannot serve followers: {error}.");
    }
}

impl FeedHandler {
    fn refuse_if_leaving(&self) -> Result<(), Status> {
        match self.state.is_leaving() {
            true => Err(Status::unavailable("the node is leaving")),
            false => Ok(()),
        }
    }

    fn reply_to(&self, req: &FollowRequest) -> Result<FollowReply, Status> {
        self.refuse_if_leaving()?;
        if !self.state.reads_store() {
            return Err(referral_status(self.state.referral()));
        }
        let not_read_yet = || Status::not_found("the node has read nothing yet");
        let age = self.state.configuration_age().ok_or_else(not_read_yet)?;
        let reply = self.state.feed.reply_to(clock::now(), req);
        let mut reply = reply.ok_or_else(not_read_yet)?;
        let limits_from = if req.feed == reply.feed {
            req.limits_next
        } else {
            0
        };
        (reply.limits, reply.limits_next) = self.state.limits.updates(limits_from);
        if let Some(report) = self.state.store_report() {
            let now = clock::now();
            let age_ms = |at| millis(now.since(at));
            reply.store_answered_ms = Some(age_ms(report.answered_at));
            reply.store_answers_for_ms = Some(age_ms(report.answers_since));
            reply.returned_ms = report.returned_at.map(age_ms);
        }
        reply.vouched_ms = millis(age).saturating_add(1);
        reply.read_ms = self
            .state
            .source_age()
            .map(|age| millis(age).saturating_add(1));
        Ok(reply)
    }
}

#[async_trait]
impl FeedService for FeedHandler {
    async fn follow(
        &self,
        request: Request<FollowRequest>,
    ) -> Result<Response<FollowReply>, Status> {
        let req = request.into_inner();
        let wait = Duration::from_millis(req.wait_ms.into()).min(MAX_WAIT);
        let deadline = clock::now() + wait;
        loop {
            let changed = self.state.feed.listen();
            let reply = self.reply_to(&req)?;
            let remaining = deadline.since(clock::now());
            if remaining.is_zero() || has_updates(&reply) {
                return Ok(Response::new(reply));
            }
            future::or(changed, sleep(remaining)).await;
        }
    }

    async fn examine_group(
        &self,
        request: Request<GroupLoss>,
    ) -> Result<Response<GroupVerdict>, Status> {
        let key = decode_group_key(&request)?;
        let verdict = self.group_prober.verdict(&key).await;
        Ok(Response::new(GroupVerdict {
            is_sound: verdict == GroupHealth::Healthy,
            is_unknown: verdict == GroupHealth::Unknown,
            is_suspected: verdict == GroupHealth::Suspected,
        }))
    }

    async fn report_loss(&self, request: Request<GroupLoss>) -> Result<Response<Noted>, Status> {
        let key = decode_group_key(&request)?;
        // Many followers detect the same loss at once, and one report to the controller is enough.
        if self.state.mark_loss_reported(&key) {
            report_to_store(&self.state, &self.store, &key).await;
        }
        Ok(Response::new(Noted {}))
    }

    type WatchLoadsStream = LoadChangesStream;

    async fn watch_loads(
        &self,
        _request: Request<WatchLoadsRequest>,
    ) -> Result<Response<LoadChangesStream>, Status> {
        Ok(Response::new(peer_loads::load_changes(Arc::clone(
            &self.state,
        ))))
    }

    async fn check_reach(
        &self,
        request: Request<ReachRequest>,
    ) -> Result<Response<ReachReply>, Status> {
        let req = request.into_inner();
        let pool = decode_pool(&req)?;
        let answer = self.reach_checker.answer(&pool, req.seeks_controller);
        Ok(Response::new(ReachReply {
            is_reachable: answer.await,
        }))
    }

    async fn start_suspect(
        &self,
        request: Request<SuspectRequest>,
    ) -> Result<Response<SuspectReply>, Status> {
        let req = request.get_ref();
        let fingerprint = req.fingerprint.parse();
        let fingerprint =
            fingerprint.map_err(|_| Status::invalid_argument("the fingerprint is invalid"))?;
        let decision = self
            .suspects
            .try_start_for(fingerprint, req.is_relayed)
            .await;
        Ok(Response::new(SuspectReply {
            retry_after_ms: encode_decision(decision),
        }))
    }

    async fn request_permit(
        &self,
        request: Request<PermitRequest>,
    ) -> Result<Response<PermitReply>, Status> {
        let message = request.get_ref();
        let req = decode_request(message)?;
        let is_relayed = message.limit.as_ref().is_some_and(|limit| limit.is_relayed);
        let permit = self.limits.decide_for(&req, is_relayed).await;
        Ok(Response::new(encode_permit(permit)))
    }

    async fn report_limit(&self, request: Request<LimitReport>) -> Result<Response<Noted>, Status> {
        let observation = decode_report(request.get_ref())?;
        let is_relayed = request.get_ref().is_relayed;
        self.limits.observe_for(&observation, is_relayed).await;
        Ok(Response::new(Noted {}))
    }

    async fn announce_node(
        &self,
        _request: Request<NodeAnnouncement>,
    ) -> Result<Response<Noted>, Status> {
        self.state.node_added.notify(usize::MAX);
        Ok(Response::new(Noted {}))
    }

    async fn announce_limits(
        &self,
        request: Request<LimitAnnouncement>,
    ) -> Result<Response<Noted>, Status> {
        self.state.learn_limits(&request.get_ref().limits);
        Ok(Response::new(Noted {}))
    }

    async fn dispatch(
        &self,
        request: Request<DispatchRequest>,
    ) -> Result<Response<DispatchReply>, Status> {
        self.refuse_if_leaving()?;
        let message = request.get_ref();
        let part = decode_part(message.pool.as_ref())?;
        let req = decode_request_for_endpoint(message)?;
        let decision = self.state.decide_dispatch(&part, req).await;
        let reply = decision.as_ref().and_then(encode_reply);
        reply.map(Response::new).ok_or_else(unknown_part)
    }

    async fn report_held(&self, request: Request<HeldReport>) -> Result<Response<Noted>, Status> {
        self.refuse_if_leaving()?;
        let message = request.get_ref();
        let part = decode_part(message.pool.as_ref())?;
        let (node, report) = decode_held_report(message)?;
        if !self.state.apply_held_report(&part, &node, report) {
            return Err(unknown_part());
        }
        Ok(Response::new(Noted {}))
    }

    async fn read_operator_state(
        &self,
        request: Request<OperatorStateRequest>,
    ) -> Result<Response<OperatorState>, Status> {
        let is_newer = self.state.configuration_version() > request.get_ref().version;
        let record = self.state.configuration_record.load_full();
        let evacuated = self.state.evacuated_domains();
        Ok(Response::new(OperatorState {
            configuration: record.filter(|_| is_newer).map(|record| record.to_vec()),
            evacuated: evacuated.iter().map(ToString::to_string).collect(),
        }))
    }

    async fn announce_loss(&self, request: Request<GroupLoss>) -> Result<Response<Noted>, Status> {
        let key = decode_group_key(&request)?;
        self.state.mark_group_lost(&key);
        self.state.feed.record_loss(clock::now(), &key);
        Ok(Response::new(Noted {}))
    }
}

fn unknown_part() -> Status {
    Status::failed_precondition("the node knows no such part of a dispatched pool")
}

fn decode_pool(req: &ReachRequest) -> Result<Pool, Status> {
    let invalid = || Status::invalid_argument("the pool isn't a service and a model");
    let model = match req.model.as_str() {
        "" => None,
        model => Some(model.parse().map_err(|_| invalid())?),
    };
    Ok(Pool {
        service: req.service.parse().map_err(|_| invalid())?,
        model,
    })
}

fn decode_group_key(req: &Request<GroupLoss>) -> Result<GroupKey, Status> {
    parse_group_key(&req.get_ref().group)
        .ok_or_else(|| Status::invalid_argument("the group isn't of the form name@epoch"))
}
