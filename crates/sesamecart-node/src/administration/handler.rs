//! Answers one operator's request.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use http::header::{AUTHORIZATION, CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::Serialize;
use serde::de::DeserializeOwned;
use sesamecart_administration::{
    Authority, ChangeOutcome, ChangeReply, CheckReply, CheckRequest, Denial, DrainRequest,
    ErrorCode, ErrorReply, PublishRequest, RateLimiter, Route, RouteError, Scope, openapi,
};
use sesamecart_config::{ChangeRules, Configuration, Operator, Problem, ProblemReport};
use sesamecart_edges::{CallerBody, ReadBodyError, read_body, whole};
use sesamecart_fold::{PublishVerdict, Record};
use sesamecart_runtime::sleep;
use sesamecart_vocabulary::{Bytes, PublishId, Revision};

use crate::administration::change::Changes;
use crate::administration::views;
use crate::control::Peers;
use crate::shared::Shared;

/// The largest request; a configuration of the target's size takes a few hundred kilobytes.
const MAX_BODY: Bytes = Bytes(16 * 1024 * 1024);

/// How long a request's body may take to arrive.
const BODY_LIMIT: Duration = Duration::from_secs(10);

/// How long a node may take to learn the revision that a change was made against.
const REVISION_LIMIT: Duration = Duration::from_secs(2);

/// How often it looks for it.
const REVISION_POLL: Duration = Duration::from_millis(10);

/// Answers operators' requests.
#[derive(Clone, Debug)]
pub(crate) struct Handler {
    shared: Arc<Shared>,
    changes: Changes,
    peers: Peers,
    authority: Arc<Authority>,
    rate: Arc<Mutex<RateLimiter>>,
}

/// An operator whose token and rate were found good.
struct Admitted {
    name: String,
    from: SocketAddr,
    scope: Scope,
}

/// A configuration that would replace the one in force.
struct Proposal {
    revision: Revision,
    current: Arc<Configuration>,
    merged: Configuration,
    problems: Vec<Problem>,
}

impl Handler {
    pub(crate) fn new(shared: Arc<Shared>, changes: Changes, peers: Peers) -> Self {
        let access = &shared.settings.access;
        let authority = Arc::new(Authority::new(access));
        let rate = Arc::new(Mutex::new(RateLimiter::new(access.requests_per_s)));
        Self {
            shared,
            changes,
            peers,
            authority,
            rate,
        }
    }

    pub(crate) async fn answer(
        &self,
        req: Request<Incoming>,
        from: SocketAddr,
    ) -> Response<CallerBody> {
        let found = Route::find(req.method(), req.uri().path());
        let admitted = self.admit(&req, &found, from);
        let answered = match (found, admitted) {
            (_, Err(error)) => Err(error),
            (Err(error), Ok(_)) => Err(route_error(error)),
            (Ok(route), Ok(operator)) => self.run(route, req, operator).await,
        };
        answered.unwrap_or_else(|error| {
            log::info!("administration: a request from {from} failed: {error}.");
            let mut response = reply(error.code.status(), &error);
            if error.code == ErrorCode::RateLimited {
                let headers = response.headers_mut();
                headers.insert(RETRY_AFTER, HeaderValue::from_static("1"));
            }
            response
        })
    }

    /// Checks token, role and rate before anything of the request is read.
    ///
    /// An unknown path needs a token too, so that nobody can map the API without one.
    fn admit(
        &self,
        req: &Request<Incoming>,
        route: &Result<Route, RouteError>,
        from: SocketAddr,
    ) -> Result<Admitted, ErrorReply> {
        let header = req.headers().get(AUTHORIZATION);
        let header = header.and_then(|value| value.to_str().ok());
        let needs = route
            .as_ref()
            .map_or(sesamecart_config::Role::Viewer, Route::needs);
        let operator: &Operator = self.authority.admit(header, needs).map_err(denied)?;
        let now = self.shared.clock.now();
        let mut rate = self.rate.lock().unwrap_or_else(PoisonError::into_inner);
        rate.admit(&operator.name, now).map_err(|wait| {
            let message = format!("too many requests; ask again in {} ms", wait.as_millis());
            ErrorReply::new(ErrorCode::RateLimited, message)
        })?;
        Ok(Admitted {
            name: operator.name.clone(),
            from,
            scope: Scope::of(operator),
        })
    }

    async fn run(
        &self,
        route: Route,
        req: Request<Incoming>,
        operator: Admitted,
    ) -> Result<Response<CallerBody>, ErrorReply> {
        let scope = &operator.scope;
        let folded = &self.shared.folded;
        if let Route::OpenApi = route {
            return Ok(reply(StatusCode::OK, &openapi()));
        }
        self.check_settled()?;
        match route {
            Route::OpenApi => unreachable!("answered before"),
            Route::Status => {
                let views = self.peers.ask_all().await;
                Ok(reply(StatusCode::OK, &self.shared.status(views)))
            }
            Route::Configuration => {
                let view = folded.with(|state| views::configuration(state, scope));
                Ok(reply(StatusCode::OK, &view))
            }
            Route::Groups => {
                let view = folded.with(|state| views::groups(state, scope));
                Ok(reply(StatusCode::OK, &view))
            }
            Route::Leases if !scope.is_whole() => Err(ErrorReply::new(
                ErrorCode::Forbidden,
                "leases are shown to operators of the whole platform only",
            )),
            Route::Leases => Ok(reply(StatusCode::OK, &folded.with(views::leases))),
            Route::Audit => {
                let view = folded.with(|state| views::audit(state, scope));
                Ok(reply(StatusCode::OK, &view))
            }
            Route::Change(publish_id) => self.change(publish_id),
            Route::Check => self.check(read_json(req).await?, &operator),
            Route::Publish => self.publish(read_json(req).await?, &operator).await,
            Route::Drain => self.drain(read_json(req).await?, &operator).await,
        }
    }

    /// Refuses while the node hasn't read the log, when its state would mislead.
    fn check_settled(&self) -> Result<(), ErrorReply> {
        if self.shared.is_settled() {
            return Ok(());
        }
        let message = "this node hasn't read the log yet; ask another one";
        Err(ErrorReply::new(ErrorCode::Unavailable, message))
    }

    fn change(&self, publish_id: PublishId) -> Result<Response<CallerBody>, ErrorReply> {
        let Some(outcome) = self.changes.outcome(&publish_id) else {
            let message = format!("no change {publish_id} is known");
            return Err(ErrorReply::new(ErrorCode::NotFound, message));
        };
        let reply_body = ChangeReply {
            publish_id,
            outcome,
        };
        Ok(reply(StatusCode::OK, &reply_body))
    }

    fn check(
        &self,
        request: CheckRequest,
        operator: &Admitted,
    ) -> Result<Response<CallerBody>, ErrorReply> {
        let rules = ChangeRules {
            allow_capacity_drop: request.allow_capacity_drop,
        };
        let proposal = self.propose(request.configuration, rules, operator)?;
        let reply_body = CheckReply {
            revision: proposal.revision,
            problems: reports(proposal.problems),
            changes: proposal.current.diff(&proposal.merged),
        };
        Ok(reply(StatusCode::OK, &reply_body))
    }

    async fn publish(
        &self,
        request: PublishRequest,
        operator: &Admitted,
    ) -> Result<Response<CallerBody>, ErrorReply> {
        // A repeated request gets its first verdict, whatever came into force since.
        if let Some(outcome) = self.changes.outcome(&request.publish_id) {
            return change_reply(request.publish_id, outcome);
        }
        let rules = ChangeRules {
            allow_capacity_drop: request.allow_capacity_drop,
        };
        self.wait_for_revision(request.base_revision).await?;
        let proposal = self.propose(request.configuration, rules, operator)?;
        // One made against a past revision is a conflict, which only the fold tells.
        if proposal.revision == request.base_revision && !proposal.problems.is_empty() {
            let mut error = ErrorReply::new(
                ErrorCode::Invalid,
                "the configuration has problems; nothing was changed",
            );
            error.problems = reports(proposal.problems);
            return Err(error);
        }
        let record = Record::Publish {
            publish_id: request.publish_id.clone(),
            base_revision: request.base_revision,
            author: operator.name.clone(),
            from: operator.from.to_string(),
            at_ms: wall_clock_ms(),
            configuration: Box::new(proposal.merged),
        };
        let outcome = self.changes.publish(&request.publish_id, &record).await?;
        change_reply(request.publish_id, outcome)
    }

    /// Waits until this node knows the revision that a change was made against.
    ///
    /// The operator may have read it at a node that was faster. Checking against an older revision
    /// would let a change pass unchecked that the fold then accepts.
    async fn wait_for_revision(&self, base: Revision) -> Result<(), ErrorReply> {
        let begun = Instant::now();
        while self.shared.standing().revision < base {
            if begun.elapsed() > REVISION_LIMIT {
                let message = format!("this node doesn't know revision {base} yet; ask another");
                return Err(ErrorReply::new(ErrorCode::Unavailable, message));
            }
            sleep(REVISION_POLL).await;
        }
        Ok(())
    }

    async fn drain(
        &self,
        request: DrainRequest,
        operator: &Admitted,
    ) -> Result<Response<CallerBody>, ErrorReply> {
        let allowed = self.shared.folded.with(|state| {
            let scope = &operator.scope;
            scope.check_drain(&state.configuration, &request.target)
        });
        allowed.map_err(|error| ErrorReply::new(ErrorCode::Forbidden, error.to_string()))?;
        let record = Record::Drain {
            publish_id: request.publish_id.clone(),
            target: request.target,
            on: request.on,
            author: operator.name.clone(),
            from: operator.from.to_string(),
            at_ms: wall_clock_ms(),
        };
        let changes = &self.changes;
        let outcome = changes
            .drain(&request.publish_id, &record, request.on)
            .await?;
        change_reply(request.publish_id, outcome)
    }

    /// Puts an operator's part into the configuration in force and checks the whole.
    fn propose(
        &self,
        configuration: Configuration,
        rules: ChangeRules,
        operator: &Admitted,
    ) -> Result<Proposal, ErrorReply> {
        let (revision, current) = self.shared.folded.with(|state| {
            let current = Arc::clone(&state.configuration);
            (state.revision, current)
        });
        let merged = operator.scope.merge(&current, configuration);
        let merged =
            merged.map_err(|error| ErrorReply::new(ErrorCode::Forbidden, error.to_string()))?;
        let mut problems = merged.check();
        problems.extend(current.check_change(&merged, rules));
        Ok(Proposal {
            revision,
            current,
            merged,
            problems,
        })
    }
}

fn reports(problems: Vec<Problem>) -> Vec<ProblemReport> {
    problems.into_iter().map(ProblemReport::from).collect()
}

fn change_reply(
    publish_id: PublishId,
    outcome: ChangeOutcome,
) -> Result<Response<CallerBody>, ErrorReply> {
    if let ChangeOutcome::Decided(verdict @ PublishVerdict::Conflict { .. }) = &outcome {
        let message = format!("{verdict}; look at the difference and publish again");
        let mut error = ErrorReply::new(ErrorCode::Conflict, message);
        error.conflict = Some(verdict.clone());
        return Err(error);
    }
    let reply_body = ChangeReply {
        publish_id,
        outcome,
    };
    Ok(reply(StatusCode::OK, &reply_body))
}

async fn read_json<T: DeserializeOwned>(req: Request<Incoming>) -> Result<T, ErrorReply> {
    let bad = |message: String| ErrorReply::new(ErrorCode::BadRequest, message);
    let body = read_body(req.into_body(), MAX_BODY, BODY_LIMIT).await;
    let body = body.map_err(|error: ReadBodyError| bad(error.to_string()))?;
    serde_json::from_slice(&body).map_err(|error| bad(format!("the body can't be read: {error}")))
}

fn denied(denial: Denial) -> ErrorReply {
    let code = match denial {
        Denial::Unauthenticated => ErrorCode::Unauthenticated,
        Denial::Role { .. } => ErrorCode::Forbidden,
    };
    ErrorReply::new(code, denial.to_string())
}

fn route_error(error: RouteError) -> ErrorReply {
    let code = match error {
        RouteError::Path => ErrorCode::NotFound,
        RouteError::Method => ErrorCode::MethodNotAllowed,
    };
    ErrorReply::new(code, error.to_string())
}

fn reply(status: StatusCode, body: &impl Serialize) -> Response<CallerBody> {
    let bytes = serde_json::to_vec(body).expect("replies have text keys only");
    let mut response = Response::new(whole(bytes));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

fn wall_clock_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let since = since.unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
