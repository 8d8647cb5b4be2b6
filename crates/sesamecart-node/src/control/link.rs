//! This node's side of links: what it answers to other nodes.

use std::sync::Arc;

use sesamecart_links::message::link_server::Link;
use sesamecart_links::message::{
    BeginActionReply, BeginActionRequest, BorrowPermitsReply, BorrowPermitsRequest,
    FetchRecordsReply, FetchRecordsRequest, FetchStateReply, FetchStateRequest, FinishActionReply,
    FinishActionRequest, HeartbeatReply, HeartbeatRequest, Member, MirrorIntentReply,
    MirrorIntentRequest, VoteReply, VoteRequest,
};
use sesamecart_links::{Request, Response, Status};

use crate::shared::Shared;

/// Answers other nodes' calls.
#[derive(Clone, Debug)]
pub(crate) struct LinkSide {
    shared: Arc<Shared>,
}

impl LinkSide {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    fn member(&self) -> Member {
        let shared = &self.shared;
        Member {
            node: shared.identity.node.to_string(),
            address: shared.settings.links.to_string(),
            failure_domain: shared.settings.failure_domain.to_string(),
            incarnation: shared.identity.incarnation.0,
            heartbeat: 0,
            status: 0,
        }
    }
}

#[sesamecart_links::async_trait]
impl Link for LinkSide {
    async fn heartbeat(
        &self,
        _request: Request<HeartbeatRequest>,
    ) -> Result<Response<HeartbeatReply>, Status> {
        let snapshot = self.shared.snapshot.load();
        Ok(Response::new(HeartbeatReply {
            receiver: Some(self.member()),
            members: Vec::new(),
            next_offset: snapshot.next_offset.0,
            revision: snapshot.revision.0,
            drains: Vec::new(),
        }))
    }

    async fn fetch_records(
        &self,
        _request: Request<FetchRecordsRequest>,
    ) -> Result<Response<FetchRecordsReply>, Status> {
        Err(Status::unimplemented("records are not passed on yet"))
    }

    async fn fetch_state(
        &self,
        _request: Request<FetchStateRequest>,
    ) -> Result<Response<FetchStateReply>, Status> {
        Err(Status::unimplemented("state is not handed over yet"))
    }

    async fn vote(&self, _request: Request<VoteRequest>) -> Result<Response<VoteReply>, Status> {
        Err(Status::unimplemented("votes are not given yet"))
    }

    async fn borrow_permits(
        &self,
        _request: Request<BorrowPermitsRequest>,
    ) -> Result<Response<BorrowPermitsReply>, Status> {
        Err(Status::unimplemented("permits are not lent yet"))
    }

    async fn begin_action(
        &self,
        _request: Request<BeginActionRequest>,
    ) -> Result<Response<BeginActionReply>, Status> {
        Err(Status::unimplemented("keyed actions are not taken yet"))
    }

    async fn finish_action(
        &self,
        _request: Request<FinishActionRequest>,
    ) -> Result<Response<FinishActionReply>, Status> {
        Err(Status::unimplemented("keyed actions are not taken yet"))
    }

    async fn mirror_intent(
        &self,
        _request: Request<MirrorIntentRequest>,
    ) -> Result<Response<MirrorIntentReply>, Status> {
        Err(Status::unimplemented("keyed actions are not taken yet"))
    }
}
