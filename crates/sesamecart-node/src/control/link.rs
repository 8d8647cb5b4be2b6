//! This node's side of links: what it answers to other nodes.

use std::sync::Arc;

use sesamecart_links::message::link_server::Link;
use sesamecart_links::message::{
    BeginActionReply, BeginActionRequest, BorrowPermitsReply, BorrowPermitsRequest,
    FetchMirrorsReply, FetchMirrorsRequest, FetchRecordsReply, FetchRecordsRequest,
    FetchStateReply, FetchStateRequest, FinishActionReply, FinishActionRequest, HeartbeatReply,
    HeartbeatRequest, LogRecord, MirrorIntentReply, MirrorIntentRequest, VoteReply, VoteRequest,
};
use sesamecart_links::{Request, Response, Status};
use sesamecart_vocabulary::Offset;

use crate::actions::Desk;
use crate::pools::Lender;
use crate::shared::Shared;

/// The most records that are passed on at once.
const MAX_PASSED_ON: usize = 500;

/// Answers other nodes' calls.
#[derive(Clone, Debug)]
pub(crate) struct LinkSide {
    shared: Arc<Shared>,
    desk: Arc<Desk>,
    lender: Arc<Lender>,
}

impl LinkSide {
    pub(crate) fn new(shared: Arc<Shared>, desk: Arc<Desk>, lender: Arc<Lender>) -> Self {
        Self {
            shared,
            desk,
            lender,
        }
    }
}

#[sesamecart_links::async_trait]
impl Link for LinkSide {
    async fn heartbeat(
        &self,
        request: Request<HeartbeatRequest>,
    ) -> Result<Response<HeartbeatReply>, Status> {
        let request = request.into_inner();
        self.shared.take_heartbeat_drains(&request.drains);
        let members = self.shared.take_heartbeat(&request);
        Ok(Response::new(HeartbeatReply {
            members,
            ..self.shared.heartbeat_reply()
        }))
    }

    async fn fetch_records(
        &self,
        request: Request<FetchRecordsRequest>,
    ) -> Result<Response<FetchRecordsReply>, Status> {
        let request = request.into_inner();
        let limit = usize::try_from(request.limit).unwrap_or(MAX_PASSED_ON);
        let from = Offset(request.from_offset);
        let passed_on = self.shared.folded.pass_on(from, limit.min(MAX_PASSED_ON));
        let records = passed_on.records.into_iter().map(|record| LogRecord {
            offset: record.offset.0,
            data: record.data.to_vec(),
            time_ms: record.time_ms,
        });
        Ok(Response::new(FetchRecordsReply {
            first_offset: passed_on.first.0,
            next_offset: passed_on.next.0,
            records: records.collect(),
        }))
    }

    async fn fetch_state(
        &self,
        _request: Request<FetchStateRequest>,
    ) -> Result<Response<FetchStateReply>, Status> {
        let standing = self.shared.standing();
        let reply = FetchStateReply {
            next_offset: standing.next_offset.0,
            revision: standing.revision.0,
            settled: self.shared.is_settled(),
            checkpoint: self.shared.folded.hand_over().encode(),
        };
        Ok(Response::new(reply))
    }

    async fn vote(&self, request: Request<VoteRequest>) -> Result<Response<VoteReply>, Status> {
        let reply = self.shared.answer_vote(request.get_ref());
        reply
            .map(Response::new)
            .ok_or_else(|| Status::invalid_argument("vote: no such shard or node"))
    }

    async fn borrow_permits(
        &self,
        request: Request<BorrowPermitsRequest>,
    ) -> Result<Response<BorrowPermitsReply>, Status> {
        let reply = self.lender.lend(request.get_ref());
        reply
            .map(Response::new)
            .ok_or_else(|| Status::invalid_argument("the borrower has no name"))
    }

    async fn begin_action(
        &self,
        request: Request<BeginActionRequest>,
    ) -> Result<Response<BeginActionReply>, Status> {
        let reply = self.desk.begin_for(request.get_ref()).await;
        reply
            .map(Response::new)
            .map_err(|error| Status::invalid_argument(error.to_string()))
    }

    async fn finish_action(
        &self,
        request: Request<FinishActionRequest>,
    ) -> Result<Response<FinishActionReply>, Status> {
        let reply = self.desk.finish_for(request.into_inner()).await;
        reply
            .map(Response::new)
            .map_err(|error| Status::invalid_argument(error.to_string()))
    }

    async fn mirror_intent(
        &self,
        request: Request<MirrorIntentRequest>,
    ) -> Result<Response<MirrorIntentReply>, Status> {
        let kept = self.desk.keep(request.get_ref());
        Ok(Response::new(MirrorIntentReply { kept }))
    }

    async fn fetch_mirrors(
        &self,
        request: Request<FetchMirrorsRequest>,
    ) -> Result<Response<FetchMirrorsReply>, Status> {
        Ok(Response::new(self.desk.tell_mirrors(request.get_ref())))
    }
}
