//! Answers one request of a caller, from its head to the last byte.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_LENGTH, HeaderValue};
use http::request::Parts;
use http::{Request, Response};
use hyper::body::{Body as _, Incoming};
use sesamecart_edges::{CallerBody, HttpClient, ReadBodyError, read_whole, whole};
use sesamecart_fleet::{Catalog, Customer, PathRoute, RouteMatch};
use sesamecart_platform::{Asked, forwarded_headers};
use sesamecart_vocabulary::{EndpointId, Timestamp};

use crate::beliefs::Beliefs;
use crate::clock;
use crate::events::Event;
use crate::follower::millis;
use crate::traffic::call::{Answered, Attempts, Call};
use crate::traffic::refusal::Refusal;
use crate::traffic::relay::Relay;

/// Answers callers' requests.
#[derive(Clone, Debug)]
pub(crate) struct Handler {
    beliefs: Arc<Beliefs>,
    client: HttpClient,
}

impl Handler {
    pub(crate) const fn new(beliefs: Arc<Beliefs>, client: HttpClient) -> Self {
        Self { beliefs, client }
    }

    /// Answers a request; every failure becomes an answer that says what may have run.
    pub(crate) async fn answer(&self, req: Request<Incoming>) -> Response<CallerBody> {
        let arrived = clock::now();
        let (head, body) = req.into_parts();
        let mut response = match self.try_answer(arrived, head, body).await {
            Ok(response) => response,
            Err(refused) => self.refuse(arrived, &refused),
        };
        if self.beliefs.is_leaving() {
            let headers = response.headers_mut();
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    fn refuse(&self, arrived: Timestamp, refused: &Refused) -> Response<CallerBody> {
        let Refused { id, refusal, after } = refused;
        let status = refusal.status().as_u16();
        let catalog = self.beliefs.catalog.load();
        self.beliefs.metrics.count_answer("node", status);
        self.beliefs.events.write(&Event::Refused {
            request: id,
            status,
            cause: &refusal.to_string(),
            retry_after_ms: (*after).map(millis),
            configuration: catalog.as_ref().map_or(0, |catalog| catalog.version.0),
            configuration_age_ms: self.beliefs.configuration_age().map(millis),
            after_ms: millis(clock::now().since(arrived)),
        });
        refusal.answer(*after)
    }

    async fn try_answer(
        &self,
        arrived: Timestamp,
        head: Parts,
        body: Incoming,
    ) -> Result<Response<CallerBody>, Refused> {
        let asked = Asked::read(&head).map_err(|error| {
            let refusal = Refusal::BadRequest(error.to_string());
            Refused::new(String::new(), refusal)
        })?;
        let id = asked.id.to_string();
        let refused = |refusal| Refused::new(id.clone(), refusal);
        let admitted = self.admit(&head, &asked).map_err(refused)?;
        self.beliefs.note_request();
        let body = read_body(&admitted.catalog, body).await.map_err(refused)?;
        let call = Arc::new(Call {
            beliefs: Arc::clone(&self.beliefs),
            client: self.client.clone(),
            catalog: admitted.catalog,
            route: admitted.route,
            customer: admitted.customer,
            asked,
            head,
            body,
            arrived,
        });
        call.note_demand();
        serve(&call).await.map_err(|refusal| Refused {
            id: id.clone(),
            after: call.retry_after(&refusal),
            refusal,
        })
    }

    /// Finds the route and the customer of a request, by a configuration that may be acted on.
    fn admit(&self, head: &Parts, asked: &Asked) -> Result<Admitted, Refusal> {
        let not_ready = Refusal::NotReady;
        let catalog = self.beliefs.catalog.load_full();
        let catalog = catalog.ok_or_else(|| not_ready("the node has no configuration yet"))?;
        if head_bytes(head) > catalog.limits.max_header_bytes.0 {
            return Err(Refusal::HeadTooLarge);
        }
        // What an old configuration doesn't know may have been added since, so a node that may have
        // missed a change says that it isn't ready instead of denying what is allowed.
        let deny = |refusal| {
            if self.beliefs.is_outdated() {
                not_ready("the node's configuration may be out of date")
            } else {
                refusal
            }
        };
        let RouteMatch::Found(route) = catalog.route(&asked.host, head.uri.path()) else {
            return Err(deny(Refusal::NoRoute));
        };
        let Some(customers) = catalog.customers.as_ref().filter(|_| !route.is_open) else {
            return Ok(Admitted {
                catalog,
                route,
                customer: None,
            });
        };
        if !self.beliefs.is_confirmed_fresh() {
            return Err(not_ready("the node's configuration is too old"));
        }
        let key = asked.key.as_ref();
        let customer = key.and_then(|key| customers.get(key)).cloned();
        let customer = customer.ok_or_else(|| deny(Refusal::Key))?;
        Ok(Admitted {
            catalog,
            route,
            customer: Some(customer),
        })
    }
}

/// What one configuration says of a request that may be served.
struct Admitted {
    catalog: Arc<Catalog>,
    route: Arc<PathRoute>,
    customer: Option<Arc<Customer>>,
}

/// A request that gets an answer of the node's own.
struct Refused {
    id: String,
    refusal: Refusal,
    /// When the caller may come back.
    after: Option<Duration>,
}

impl Refused {
    fn new(id: String, refusal: Refusal) -> Self {
        let after = refusal.retry_after(fastrand::f64());
        Self { id, refusal, after }
    }
}

fn head_bytes(head: &Parts) -> u64 {
    let headers = head.headers.iter();
    let lines = headers.map(|(name, value)| name.as_str().len() + value.len() + 4);
    let target = head
        .uri
        .path_and_query()
        .map_or(0, |target| target.as_str().len());
    (lines.sum::<usize>() + target) as u64
}

async fn read_body(catalog: &Catalog, body: Incoming) -> Result<Bytes, Refusal> {
    let limits = &catalog.limits;
    if body.size_hint().lower() > limits.max_body_bytes.0 {
        return Err(Refusal::TooLarge(format!(
            "the body has more than {} bytes",
            limits.max_body_bytes
        )));
    }
    read_whole(body, limits.max_body_bytes, limits.idle_time)
        .await
        .map_err(|error| match error {
            ReadBodyError::TooLarge(_) => Refusal::TooLarge(error.to_string()),
            ReadBodyError::TooSlow(_) => Refusal::TooSlow(error.to_string()),
            ReadBodyError::Broken(_) => Refusal::BadRequest(error.to_string()),
        })
}

async fn serve(call: &Arc<Call>) -> Result<Response<CallerBody>, Refusal> {
    let mut attempts = Attempts::default();
    let last_event = call.asked.last_event.as_deref();
    loop {
        let answered = call.attempt(&mut attempts, last_event).await?;
        if call.route.delivery.is_stream() && answered.status.is_success() {
            return Ok(stream(call, attempts, answered));
        }
        let endpoint = answered.flight.endpoint.clone();
        let response = match call.read(answered).await {
            Ok(response) => response,
            Err(refusal) => {
                attempts.note_broken(endpoint);
                if call.may_go_on(&attempts) {
                    continue;
                }
                return Err(refusal);
            }
        };
        if !response.status().is_server_error() {
            return Ok(pass_on(call, &attempts, &endpoint, response));
        }
        attempts.note_broken(endpoint.clone());
        return Ok(second_opinion(call, attempts, endpoint, response).await);
    }
}

/// Asks another endpoint after the first one failed a request that may be repeated; the first
/// answer stands unless the second endpoint gives one.
async fn second_opinion(
    call: &Call,
    mut attempts: Attempts,
    endpoint: EndpointId,
    first: Response<Bytes>,
) -> Response<CallerBody> {
    if !call.may_go_on(&attempts) {
        return pass_on(call, &attempts, &endpoint, first);
    }
    let last_event = call.asked.last_event.as_deref();
    let Ok(answered) = call.attempt(&mut attempts, last_event).await else {
        return pass_on(call, &attempts, &endpoint, first);
    };
    let second = answered.flight.endpoint.clone();
    match call.read(answered).await {
        Ok(response) => pass_on(call, &attempts, &second, response),
        Err(_) => pass_on(call, &attempts, &endpoint, first),
    }
}

fn stream(call: &Arc<Call>, attempts: Attempts, answered: Answered) -> Response<CallerBody> {
    let (status, headers) = (answered.status, forwarded_headers(&answered.headers));
    let relay = Relay::new(Arc::clone(call), attempts, answered);
    let mut response = Response::new(relay.into_body());
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Passes an endpoint's whole answer on as it is.
fn pass_on(
    call: &Call,
    attempts: &Attempts,
    endpoint: &EndpointId,
    response: Response<Bytes>,
) -> Response<CallerBody> {
    let (head, body) = response.into_parts();
    let status = head.status.as_u16();
    let taken = call.after();
    call.beliefs.metrics.count_answer("endpoint", status);
    call.beliefs.metrics.record_first(taken);
    call.beliefs.events.write_success(
        clock::now(),
        &Event::Answered {
            request: call.asked.id.as_str(),
            endpoint: endpoint.as_str(),
            status,
            attempts: attempts.made,
            route: &call.route.name,
            first_ms: millis(taken),
            pause_ms: 0,
            total_ms: millis(taken),
        },
    );
    let len = body.len();
    let mut answer = Response::new(whole(body));
    *answer.status_mut() = head.status;
    *answer.headers_mut() = forwarded_headers(&head.headers);
    answer
        .headers_mut()
        .insert(CONTENT_LENGTH, HeaderValue::from(len));
    answer
}
