//! Carries out what the controller wants: appends, orders and loads.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use serde::Deserialize;
use serde_json::{Value, json};
use sesamecart_edges::{HttpClient, Log, Reuse, WeightStore, WeightStoreError, read_body};
use sesamecart_fold::Record;
use sesamecart_groups::{AssignmentRequest, Event, FencedOrder, OrderKind, OrderOutcome};
use sesamecart_runtime::with_timeout;
use sesamecart_vocabulary::{Bytes as ByteSize, EndpointId, Epoch, GroupId, ModelId, VmId};

use super::fleet::assignments_of;
use crate::shared::Shared;

/// How long an endpoint may take to answer an order; an order counts as in flight for longer.
const ORDER_LIMIT: Duration = Duration::from_secs(5);
/// How long an appended request may take to be read back.
const VERDICT_LIMIT: Duration = Duration::from_secs(5);
/// The largest answer to an order.
const MAX_ANSWER: ByteSize = ByteSize(16 * 1024);

/// What effects are carried out with.
#[derive(Clone, Debug)]
pub(super) struct Carrier {
    pub(super) shared: Arc<Shared>,
    pub(super) log: Arc<dyn Log>,
    pub(super) store: Arc<dyn WeightStore>,
    pub(super) client: HttpClient,
}

/// An endpoint's refusal of an order.
#[derive(Deserialize)]
struct StaleOrder {
    newest_epoch: Epoch,
}

/// A load that the controller wants to go on.
#[derive(Clone, Debug)]
pub(super) struct WantedLoad {
    pub(super) group: GroupId,
    pub(super) vm: VmId,
    pub(super) model: ModelId,
    pub(super) version: String,
}

impl Carrier {
    /// Appends a request and returns the news if the fold has rejected it.
    pub(super) async fn append(&self, request: AssignmentRequest, epoch: Epoch) -> Option<Event> {
        if !self.may_act(request.group(), epoch) {
            return Some(Event::Rejected(request));
        }
        let record = request.clone().into_record(epoch).encode();
        let offset = match self.log.append(record.into()).await {
            Ok(offset) => offset,
            Err(error) => {
                log::warn!("groups: {request}: {error}.");
                return None;
            }
        };
        with_timeout(VERDICT_LIMIT, self.shared.folded.applied(offset))
            .await
            .ok()?;
        let settled = self
            .shared
            .folded
            .with(|state| assignments_of(state).is_settled(&request));
        if settled {
            log::info!("groups: {request}.");
            return None;
        }
        log::warn!("groups: {request}: rejected.");
        Some(Event::Rejected(request))
    }

    /// Sends an order and tells the audit trail.
    pub(super) async fn order(
        &self,
        order: FencedOrder,
        endpoint: EndpointId,
        peer: SocketAddr,
    ) -> Event {
        let answer = self.send_order(&order, peer).await;
        log::info!(
            "groups: {} to {endpoint} in generation {}: {answer:?}.",
            order.kind,
            order.generation
        );
        if answer == OrderOutcome::Accepted {
            let record = Record::OrderIssued {
                endpoint,
                epoch: order.epoch,
                order: format!("{} in generation {}", order.kind, order.generation),
                at_ms: wall_ms(),
            };
            if let Err(error) = self.log.append(record.encode().into()).await {
                log::warn!("groups: an order isn't in the audit trail: {error}.");
            }
        }
        Event::OrderAnswered {
            group: order.group,
            answer,
        }
    }

    /// Returns whether this node may still act for a group under an epoch.
    ///
    /// The process can have been paused since the controller decided, for longer than its lease.
    fn may_act(&self, group: &GroupId, epoch: Epoch) -> bool {
        let shard = self.shared.folded.with(|state| state.group_shard(group));
        self.shared.may_act(shard) == Some(epoch)
    }

    async fn send_order(&self, order: &FencedOrder, peer: SocketAddr) -> OrderOutcome {
        let body = Bytes::from(body_of(order).to_string());
        let request = Request::post("/orders")
            .header(http::header::HOST, peer.to_string())
            .header(sesamecart_edges::EPOCH, order.epoch.to_string())
            .body(Full::new(body));
        let Ok(request) = request else {
            return OrderOutcome::Unknown;
        };
        if !self.may_act(&order.group, order.epoch) {
            return OrderOutcome::Unknown;
        }
        // An order isn't sent again by itself: the controller reads the state first.
        let sent = self
            .client
            .send(peer, request, Reuse::Never, ORDER_LIMIT)
            .await;
        let Ok(exchange) = sent else {
            return OrderOutcome::Unknown;
        };
        let status = exchange.response.status();
        if status.is_success() {
            return OrderOutcome::Accepted;
        }
        let body = read_body(exchange.response.into_body(), MAX_ANSWER, ORDER_LIMIT).await;
        match body.map(|body| serde_json::from_slice::<StaleOrder>(&body)) {
            Ok(Ok(stale)) if status == StatusCode::CONFLICT => {
                OrderOutcome::Fenced(stale.newest_epoch)
            }
            _ => OrderOutcome::Unknown,
        }
    }

    /// Starts or goes on with a load; returns how long it will still take, or that the store has no
    /// rate left.
    pub(super) async fn load(&self, load: &WantedLoad) -> LoadStep {
        match self
            .store
            .load(load.model.clone(), load.version.clone())
            .await
        {
            Ok(transfer) => LoadStep::Running {
                bytes: transfer.bytes,
                done_after: Duration::from_millis(transfer.done_after_ms),
            },
            Err(WeightStoreError::RateLimited { .. }) => LoadStep::OutOfRate,
            Err(error) => {
                log::warn!("groups: {error}.");
                LoadStep::Failed
            }
        }
    }
}

/// What the store said to a load.
#[derive(Clone, Copy, Debug)]
pub(super) enum LoadStep {
    Running {
        bytes: ByteSize,
        done_after: Duration,
    },
    OutOfRate,
    Failed,
}

fn body_of(order: &FencedOrder) -> Value {
    let (name, mut body) = match &order.kind {
        OrderKind::LoadModel { model, version } => {
            ("load_model", json!({ "model": model, "version": version }))
        }
        OrderKind::LoadAdapter { model, adapter } => (
            "load_adapter",
            json!({ "model": model, "adapter": adapter }),
        ),
        OrderKind::LoadVersion { model, version } => (
            "load_version",
            json!({ "model": model, "version": version }),
        ),
        OrderKind::ChangeRole { role } => ("change_role", json!({ "role": role })),
    };
    body["order"] = json!(name);
    body["epoch"] = json!(order.epoch);
    body["generation"] = json!(order.generation);
    body
}

fn wall_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |time| {
        u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
    })
}
