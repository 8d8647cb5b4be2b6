//! The stream of load changes that a node sends to the peers that watch it.

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use futures_lite::future;
use futures_util::{Stream, stream};
use indexmap::IndexMap;
use sesamecart_fleet::{Directory, LoadReport, NodeLoad};
use sesamecart_links::Status;
use sesamecart_links::feed::{HeadLoad, HeadReport, LoadChanges, ModelDemand};
use sesamecart_runtime::{sleep, sleep_paced};
use sesamecart_vocabulary::{EndpointId, Timestamp};

use super::format_demand;
use crate::clock;
use crate::follower::millis;
use crate::state::EntryState;

/// How long changes are batched before the next message is sent. This is a tenth of an engine's forward pass,
/// so the loads are still current when they arrive, and all changes in that time share one message.
const BATCH_DELAY: Duration = Duration::from_millis(10);

/// How often a node without changes sends an empty message as a keepalive.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(400);

/// How often a node sends its callers' demand for each model along with its loads.
const DEMAND_INTERVAL: Duration = Duration::from_millis(500);

/// The stream of this node's load changes for one watching peer.
pub(crate) type LoadChangesStream = Pin<Box<dyn Stream<Item = Result<LoadChanges, Status>> + Send>>;

/// Returns the changes of this node's loads as they occur.
pub(crate) fn load_changes(state: Arc<EntryState>) -> LoadChangesStream {
    let initial = (state, SentState::default());
    let changes = stream::unfold(initial, |(state, mut sent)| async move {
        sleep_paced(BATCH_DELAY).await;
        let changed = state.loads_changed.listen();
        let mut next = sent.changes(&state);
        if next.heads.is_empty() && next.demand.is_empty() {
            future::or(changed, sleep(KEEPALIVE_INTERVAL)).await;
            next = sent.changes(&state);
        }
        Some((Ok(next), (state, sent)))
    });
    Box::pin(changes)
}

/// What was last sent for one endpoint.
#[derive(Clone, Copy, Debug, Default)]
struct SentLoad {
    load: NodeLoad,
    reported_at: Timestamp,
}

/// What has been sent on one stream. An endpoint's number is its index in `heads`.
#[derive(Debug, Default)]
struct SentState {
    heads: IndexMap<EndpointId, SentLoad>,
    demand_sent_at: Timestamp,
}

impl SentState {
    /// Returns what has changed since the last call.
    fn changes(&mut self, state: &EntryState) -> LoadChanges {
        LoadChanges {
            heads: self.changed_heads(state),
            demand: self.due_demand(state),
        }
    }

    fn changed_heads(&mut self, state: &EntryState) -> Vec<HeadLoad> {
        let now = clock::now();
        let current = CurrentLoads::snapshot(state);
        let known = self
            .heads
            .keys()
            .filter(|id| !current.loads.contains_key(*id));
        let idle: Vec<EndpointId> = known.cloned().collect();
        let mut changed = Vec::new();
        let idle = idle.iter().map(|id| (id, NodeLoad::default()));
        let busy = current.loads.iter().map(|(id, load)| (id, *load));
        for (id, load) in idle.chain(busy) {
            let (number, is_new) = match self.heads.get_index_of(id) {
                Some(number) => (number, false),
                None => (
                    self.heads.insert_full(id.clone(), SentLoad::default()).0,
                    true,
                ),
            };
            let sent = &mut self.heads[number];
            let report = current.reports.get(id);
            let report = report.filter(|(_, at)| *at > sent.reported_at);
            if !is_new && sent.load == load && report.is_none() {
                continue;
            }
            sent.load = load;
            sent.reported_at = report.map_or(sent.reported_at, |(_, at)| *at);
            changed.push(HeadLoad {
                number: u32::try_from(number).unwrap_or(u32::MAX),
                endpoint: if is_new {
                    id.to_string()
                } else {
                    String::new()
                },
                in_flight: load.in_flight,
                waiting: load.waiting,
                report: report.map(|(report, at)| head_report(now, *report, *at)),
            });
        }
        changed
    }

    /// Returns the demand of this node's callers if `DEMAND_INTERVAL` has passed since it was last sent.
    fn due_demand(&mut self, state: &EntryState) -> Vec<ModelDemand> {
        let now = clock::now();
        if now.since(self.demand_sent_at) < DEMAND_INTERVAL {
            return Vec::new();
        }
        self.demand_sent_at = now;
        format_demand(&state.demand().own(now))
    }
}

/// This node's load at the heads of groups, and the loads that these heads reported.
struct CurrentLoads {
    loads: IndexMap<EndpointId, NodeLoad>,
    reports: IndexMap<EndpointId, (LoadReport, Timestamp)>,
}

impl CurrentLoads {
    fn snapshot(state: &EntryState) -> Self {
        let directory = state.directory.load();
        let loads = state.loads();
        let own = loads
            .own_loads()
            .filter(|(id, _)| is_in_group(&directory, id));
        let reports = loads.own_reports();
        let reports = reports.filter(|(id, _, _)| is_in_group(&directory, id));
        Self {
            loads: own.map(|(id, load)| (id.clone(), load)).collect(),
            reports: reports
                .map(|(id, report, at)| (id.clone(), (report, at)))
                .collect(),
        }
    }
}

fn is_in_group(directory: &Directory, id: &EndpointId) -> bool {
    let endpoint = directory.find(id);
    endpoint.is_some_and(|endpoint| endpoint.group.is_some())
}

fn head_report(now: Timestamp, report: LoadReport, at: Timestamp) -> HeadReport {
    HeadReport {
        running: report.running,
        waiting: report.waiting,
        slots: report.slots,
        age_ms: u32::try_from(millis(now.since(at))).unwrap_or(u32::MAX),
    }
}
