//! The side of a feed that takes calls of the nodes that follow.

use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use futures_lite::future;
use sesamecart_fleet::{GroupKey, Verdict};
use sesamecart_links::feed::feed_server::Feed as FeedService;
use sesamecart_links::feed::{
    FollowReply, FollowRequest, GroupLoss, GroupVerdict, Noted, WatchLoadsRequest,
};
use sesamecart_links::{Request, Response, Status, async_trait};
use sesamecart_platform::Store;
use sesamecart_runtime::{ByteCount, Tasks, sleep};

use crate::beliefs::Beliefs;
use crate::clock;
use crate::examinations::Examinations;
use crate::exchange::{self, Changes};
use crate::feed::has_news;
use crate::follower::millis;
use crate::losses::{parse_group, report_to_store};

/// The longest time for which a follower's call is held: twice what followers ask for, and half of the
/// 2 s after which a link gives a call up.
const WAIT_MOST: Duration = Duration::from_secs(1);

struct Side {
    beliefs: Arc<Beliefs>,
    store: Store,
    examinations: Examinations,
}

/// Takes calls of followers until the task is cancelled.
pub(crate) async fn serve(
    beliefs: Arc<Beliefs>,
    store: Store,
    examinations: Examinations,
    listener: TcpListener,
    tasks: Tasks,
) {
    let side = Side {
        beliefs,
        store,
        examinations,
    };
    let served = sesamecart_links::serve_feed(listener, side, tasks, ByteCount::default());
    if let Err(error) = served.await {
        log::error!("feed: followers can't be taken: {error}.");
    }
}

impl Side {
    fn newer(&self, req: &FollowRequest) -> Result<FollowReply, Status> {
        if self.beliefs.is_leaving() {
            return Err(Status::unavailable("the node is leaving"));
        }
        if !self.beliefs.reads_store() {
            return Err(Status::failed_precondition(
                "the node doesn't read the store",
            ));
        }
        let not_yet = || Status::not_found("the node has read nothing yet");
        let age = self.beliefs.configuration_age().ok_or_else(not_yet)?;
        let reply = self.beliefs.feed.newer(clock::now(), req);
        let mut reply = reply.ok_or_else(not_yet)?;
        reply.vouched_ms = millis(age).saturating_add(1);
        Ok(reply)
    }
}

#[async_trait]
impl FeedService for Side {
    async fn follow(
        &self,
        request: Request<FollowRequest>,
    ) -> Result<Response<FollowReply>, Status> {
        let req = request.into_inner();
        let wait = Duration::from_millis(req.wait_ms.into()).min(WAIT_MOST);
        let until = clock::now() + wait;
        loop {
            let changed = self.beliefs.feed.listen();
            let reply = self.newer(&req)?;
            let left = until.since(clock::now());
            if left.is_zero() || has_news(&reply) {
                return Ok(Response::new(reply));
            }
            future::or(changed, sleep(left)).await;
        }
    }

    async fn examine_group(
        &self,
        request: Request<GroupLoss>,
    ) -> Result<Response<GroupVerdict>, Status> {
        let key = read_group(&request)?;
        let verdict = self.examinations.verdict(&key).await;
        Ok(Response::new(GroupVerdict {
            is_sound: verdict == Verdict::Sound,
        }))
    }

    async fn report_loss(&self, request: Request<GroupLoss>) -> Result<Response<Noted>, Status> {
        let key = read_group(&request)?;
        // Many followers find the same loss at once; the controller needs to hear of it once.
        if self.beliefs.note_reported(&key) {
            report_to_store(&self.beliefs, &self.store, &key).await;
        }
        Ok(Response::new(Noted {}))
    }

    type WatchLoadsStream = Changes;

    async fn watch_loads(
        &self,
        _request: Request<WatchLoadsRequest>,
    ) -> Result<Response<Changes>, Status> {
        Ok(Response::new(exchange::changes(Arc::clone(&self.beliefs))))
    }

    async fn announce_loss(&self, request: Request<GroupLoss>) -> Result<Response<Noted>, Status> {
        let key = read_group(&request)?;
        self.beliefs.lose_group(&key);
        self.beliefs.feed.note_loss(clock::now(), &key);
        Ok(Response::new(Noted {}))
    }
}

fn read_group(req: &Request<GroupLoss>) -> Result<GroupKey, Status> {
    parse_group(&req.get_ref().group)
        .ok_or_else(|| Status::invalid_argument("the group isn't of the form name@epoch"))
}
