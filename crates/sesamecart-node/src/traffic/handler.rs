//! Answers one request: finds out what is asked, by whom, and hands it to the part that does it.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::request::Parts;
use http::{HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde_json::json;
use sesamecart_edges::{CallerBody, HttpClient, REQUEST, ReadBodyError, read_body, whole};
use sesamecart_runtime::Tasks;
use sesamecart_vocabulary::{RequestClass, RequestId, ServiceId, Timestamp};

use crate::actions::Desk;
use crate::shared::Shared;
use crate::snapshot::Snapshot;
use crate::traffic::answer::{Refusal, json_answer};
use crate::traffic::call::Call;
use crate::traffic::caller::{Caller, model_class, time_limit};
use crate::traffic::keyed::KeyedAction;
use crate::traffic::model::ModelRequest;
use crate::traffic::service::ServiceRequest;

/// Answers the requests of one traffic thread.
#[derive(Clone, Debug)]
pub(crate) struct Handler {
    pub(crate) shared: Arc<Shared>,
    pub(crate) desk: Arc<Desk>,
    pub(crate) client: HttpClient,
    pub(crate) tasks: Tasks,
}

/// A request that has been read whole.
struct Arrived {
    head: Parts,
    body: Bytes,
    id: RequestId,
    at: Timestamp,
}

impl Handler {
    pub(crate) fn new(
        shared: Arc<Shared>,
        desk: Arc<Desk>,
        client: HttpClient,
        tasks: Tasks,
    ) -> Self {
        Self {
            shared,
            desk,
            client,
            tasks,
        }
    }

    /// Answers a request; every failure becomes a typed error for the caller.
    pub(crate) async fn answer(&self, req: Request<Incoming>) -> Response<CallerBody> {
        let arrived = self.shared.clock.now();
        let id = self.shared.identity.request_id();
        let call = Call::read(req.method(), req.uri().path(), req.uri().query());
        let answered = match call {
            Ok(Call::Health) => return json_answer(StatusCode::OK, &json!({"status": "ok"})),
            Ok(Call::Ready) => return self.ready(),
            Ok(Call::Metrics) => return self.metrics(),
            Ok(call) => self.answer_call(call, req, &id, arrived).await,
            Err(refusal) => Err(refusal),
        };
        let mut response = answered.unwrap_or_else(|refusal| {
            log::info!("traffic: {id} was refused: {refusal}.");
            refusal.answer()
        });
        if let Ok(value) = HeaderValue::from_str(id.as_str()) {
            response.headers_mut().insert(REQUEST, value);
        }
        response
    }

    async fn answer_call(
        &self,
        call: Call,
        req: Request<Incoming>,
        id: &RequestId,
        arrived: Timestamp,
    ) -> Result<Response<CallerBody>, Refusal> {
        let snapshot = self.shared.snapshot.load_full();
        let (head, body) = req.into_parts();
        let caller = Caller::find(&snapshot, &head.headers)?;
        let body = self.read_body(body).await?;
        let arrived = Arrived {
            head,
            body,
            id: id.clone(),
            at: arrived,
        };
        match call {
            Call::Completion => self.complete(&snapshot, caller, arrived).await,
            Call::Models => Ok(models(caller)),
            Call::Service { service, path } => {
                self.serve(&snapshot, caller, &service, path, arrived).await
            }
            Call::Health | Call::Ready | Call::Metrics => Err(Refusal::UnknownPath),
        }
    }

    async fn serve(
        &self,
        snapshot: &Arc<Snapshot>,
        caller: Caller<'_>,
        service: &ServiceId,
        path: String,
        arrived: Arrived,
    ) -> Result<Response<CallerBody>, Refusal> {
        let limit = self.limit(&arrived.head);
        if let Some(keyed) = KeyedAction::read(snapshot, caller, service, &arrived.head)? {
            let keyed = keyed.with_body(path, arrived.body, arrived.id, arrived.at, limit);
            let answered = keyed.run(self).await;
            self.count(RequestClass::Action, &answered);
            return answered;
        }
        let request = ServiceRequest {
            snapshot,
            caller,
            id: &arrived.id,
            service,
            method: &arrived.head.method,
            path: &path,
            content_type: arrived.head.headers.get(CONTENT_TYPE),
            body: arrived.body,
            arrived: arrived.at,
            limit,
        };
        let class = request.class();
        let answered = request.run(self).await;
        self.count(class, &answered);
        answered
    }

    async fn complete(
        &self,
        snapshot: &Arc<Snapshot>,
        caller: Caller<'_>,
        arrived: Arrived,
    ) -> Result<Response<CallerBody>, Refusal> {
        let class = model_class(&arrived.head.headers);
        let request = ModelRequest {
            snapshot,
            caller,
            id: &arrived.id,
            path: arrived.head.uri.path(),
            body: arrived.body,
            class,
            arrived: arrived.at,
            limit: self.limit(&arrived.head),
        };
        let answered = request.run(self).await;
        self.count(class, &answered);
        answered
    }

    fn limit(&self, head: &Parts) -> Duration {
        let limit = Duration::from_millis(self.shared.settings.bounds.request_limit_ms);
        time_limit(&head.headers, limit)
    }

    fn count(&self, class: RequestClass, answered: &Result<Response<CallerBody>, Refusal>) {
        let status = match answered {
            Ok(response) => response.status(),
            Err(refusal) => refusal.status(),
        };
        self.shared.metrics.count_request(class, status.as_u16());
    }

    async fn read_body(&self, body: Incoming) -> Result<Bytes, Refusal> {
        let bounds = self.shared.settings.bounds;
        let limit = Duration::from_millis(bounds.body_limit_ms);
        read_body(body, bounds.max_body_bytes, limit)
            .await
            .map_err(|error| match error {
                ReadBodyError::TooLarge(_) => Refusal::TooLarge(error.to_string()),
                ReadBodyError::TooSlow(_) => Refusal::TooSlow(error.to_string()),
                ReadBodyError::Broken(_) => Refusal::BadRequest(error.to_string()),
            })
    }

    fn ready(&self) -> Response<CallerBody> {
        if let Some(reason) = self.shared.unready_because() {
            return Refusal::NotReady(reason).answer();
        }
        let snapshot = self.shared.snapshot.load();
        json_answer(
            StatusCode::OK,
            &json!({"status": "ready", "revision": snapshot.revision}),
        )
    }

    fn metrics(&self) -> Response<CallerBody> {
        match self.shared.metrics.render() {
            Ok(text) => Response::new(whole(text)),
            Err(error) => {
                log::error!("traffic: the metrics can't be written: {error}.");
                let body = json!({"error": {"message": "the metrics can't be written"}});
                json_answer(StatusCode::INTERNAL_SERVER_ERROR, &body)
            }
        }
    }
}

fn models(caller: Caller<'_>) -> Response<CallerBody> {
    let models: Vec<_> = caller
        .customer
        .models
        .iter()
        .map(|model| json!({"id": model, "object": "model", "owned_by": "sesamecart"}))
        .collect();
    json_answer(StatusCode::OK, &json!({"object": "list", "data": models}))
}
