//! Reports to dispatchers what this node has at their endpoints.

use std::sync::Arc;
use std::time::Duration;

use futures_lite::future;
use futures_util::future::join_all;
use indexmap::IndexMap;
use sesamecart_fleet::{PeerNode, PoolPart};
use sesamecart_links::feed::feed_client::FeedClient;
use sesamecart_links::{Channel, Links};
use sesamecart_runtime::sleep;
use sesamecart_vocabulary::NodeId;

use crate::authority::AuthorityClient;
use crate::clock;
use crate::dispatch::message::encode_report;
use crate::dispatch::outbox::{REPORT_INTERVAL, Report};
use crate::dispatch::pools::DispatchPools;
use crate::events::Event;
use crate::state::EntryState;

/// The time for which changes are gathered into one report. Until a dispatcher hears of them, it goes by its
/// predictions.
const GATHER_TIME: Duration = Duration::from_millis(20);

type Feed = FeedClient<Channel>;

/// Reports to the dispatchers of all parts until the task is cancelled.
pub(crate) async fn report_held(state: Arc<EntryState>, links: Links) {
    let mut reporter = Reporter {
        authorities: AuthorityClient::new(Arc::clone(&state), links),
        state,
        dispatchers: IndexMap::new(),
    };
    loop {
        let changed = reporter.state.dispatch.outbox_changed.listen();
        let is_empty = reporter.state.dispatch.outbox().is_empty();
        if is_empty {
            changed.await;
        } else {
            future::or(changed, sleep(REPORT_INTERVAL)).await;
        }
        sleep(GATHER_TIME).await;
        reporter.report().await;
    }
}

struct Reporter {
    state: Arc<EntryState>,
    authorities: AuthorityClient,
    /// The last dispatcher of each part.
    dispatchers: IndexMap<PoolPart, NodeId>,
}

/// A report and the dispatcher that it is for.
struct AddressedReport {
    part: PoolPart,
    dispatcher: PeerNode,
    report: Report,
}

impl Reporter {
    async fn report(&mut self) {
        let pools = self.state.dispatch_pools();
        let has_dispatcher = |part: &PoolPart| pools.part(part).is_some();
        self.state.dispatch.outbox().retain_parts(has_dispatcher);
        self.dispatchers.retain(|part, _| has_dispatcher(part));
        let reports = self.due_reports(&pools);
        let sent = reports.into_iter().map(|report| self.send(report));
        join_all(sent).await;
    }

    fn due_reports(&mut self, pools: &DispatchPools) -> Vec<AddressedReport> {
        let mut reports = Vec::new();
        for pool in pools.iter() {
            for part in &pool.parts {
                let Some(dispatcher) = self.state.dispatcher_of(part) else {
                    continue;
                };
                let report = self.state.dispatch.outbox().take_report(
                    clock::now(),
                    &self.state.settings.node,
                    &part.name,
                    pool.part_count(),
                    &dispatcher.node,
                );
                if let Some(report) = report {
                    self.log_change(&part.name, &dispatcher.node);
                    reports.push(AddressedReport {
                        part: part.name.clone(),
                        dispatcher,
                        report,
                    });
                }
            }
        }
        reports
    }

    fn log_change(&mut self, part: &PoolPart, dispatcher: &NodeId) {
        let before = self.dispatchers.insert(part.clone(), dispatcher.clone());
        if before.as_ref() == Some(dispatcher) {
            return;
        }
        self.state.events.write(&Event::DispatcherChanged {
            part: &part.to_string(),
            dispatcher: dispatcher.as_str(),
            before: before.as_ref().map(NodeId::as_str),
        });
    }

    async fn send(&self, addressed: AddressedReport) {
        let AddressedReport {
            part,
            dispatcher,
            report,
        } = addressed;
        let own = &self.state.settings.node;
        let is_delivered = if dispatcher.node == *own {
            self.state.apply_held_report(&part, own, report)
        } else {
            let message = encode_report(&part, own, &report);
            let call = |mut feed: Feed| async move { feed.report_held(message).await };
            self.authorities
                .call(&dispatcher, false, call)
                .await
                .is_some()
        };
        if !is_delivered {
            self.state.dispatch.outbox().mark_failed(&part);
            self.state.dispatch.outbox_changed.notify(usize::MAX);
        }
    }
}
