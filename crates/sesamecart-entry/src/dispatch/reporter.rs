//! Reports to dispatchers what this node has at their endpoints.

use std::sync::Arc;
use std::time::Duration;

use futures_lite::future;
use futures_util::future::join_all;
use indexmap::IndexMap;
use sesamecart_fleet::{PeerNode, PoolPart};
use sesamecart_links::feed::feed_client::FeedClient;
use sesamecart_links::{Channel, Links};
use sesamecart_runtime::{sleep, sleep_paced};
use sesamecart_vocabulary::{NodeId, Timestamp};

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

/// The longest time between two probes of a preferred dispatcher. A node that was replaced never answers.
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(8);

type Feed = FeedClient<Channel>;

/// Reports to the dispatchers of all parts until the task is cancelled.
pub(crate) async fn report_held(state: Arc<EntryState>, links: Links) {
    let mut reporter = Reporter {
        authorities: AuthorityClient::new(Arc::clone(&state), links),
        state,
        dispatchers: IndexMap::new(),
        probed_at: Timestamp::ZERO,
        probe_interval: REPORT_INTERVAL,
    };
    loop {
        let changed = reporter.state.dispatch.outbox_changed.listen();
        let is_empty = reporter.state.dispatch.outbox().is_empty();
        if is_empty {
            changed.await;
        } else {
            future::or(changed, sleep(REPORT_INTERVAL)).await;
        }
        sleep_paced(GATHER_TIME).await;
        reporter.report().await;
    }
}

struct Reporter {
    state: Arc<EntryState>,
    authorities: AuthorityClient,
    /// The last dispatcher of each part.
    dispatchers: IndexMap<PoolPart, NodeId>,
    /// When the preferred dispatchers were last probed.
    probed_at: Timestamp,
    probe_interval: Duration,
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
        self.probe_preferred(&pools).await;
    }

    /// Sends an empty report to each node that comes first in the order of a part and hasn't answered lately.
    ///
    /// A node that answers is asked again. Without that, nodes that pass over it at different times would have
    /// different dispatchers for seconds, for example after all of them have started again.
    async fn probe_preferred(&mut self, pools: &DispatchPools) {
        let now = clock::now();
        if now.since(self.probed_at) < self.probe_interval {
            return;
        }
        let parts = pools.iter().flat_map(|pool| &pool.parts);
        let preferred = parts.filter_map(|part| Some((&part.name, part.order.first()?)));
        let unresponsive = preferred.filter(|(_, peer)| {
            peer.node != self.state.settings.node
                && !self.state.authorities().is_responsive(now, &peer.node)
        });
        let probes = unresponsive.map(|(part, peer)| self.deliver(part, peer, Report::default()));
        let probes: Vec<_> = probes.collect();
        let answered = join_all(probes).await;
        self.probed_at = now;
        self.probe_interval = match answered.contains(&false) {
            true => (self.probe_interval * 2).min(MAX_PROBE_INTERVAL),
            false => REPORT_INTERVAL,
        };
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
        if !self.deliver(&part, &dispatcher, report).await {
            self.state.dispatch.outbox().mark_failed(&part);
            self.state.dispatch.outbox_changed.notify(usize::MAX);
        }
    }

    /// Delivers a report. Returns whether the dispatcher has taken it.
    async fn deliver(&self, part: &PoolPart, dispatcher: &PeerNode, report: Report) -> bool {
        let own = &self.state.settings.node;
        if dispatcher.node == *own {
            return self.state.apply_held_report(part, own, report);
        }
        let message = encode_report(part, own, &report);
        let call = |mut feed: Feed| async move { feed.report_held(message).await };
        let reply = self.authorities.call(dispatcher, false, call).await;
        reply.is_some()
    }
}
