//! Probes of the members of groups, shared between nodes.
//!
//! A group that goes silent does so for many nodes at once. If each of them probed all members, the engines
//! would get thousands of probes for one loss, and the nodes would be busy with them while callers wait.
//! Instead, the node that reads the store for a failure domain probes once for all nodes that follow it, and
//! caches the verdict for a short time.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_lock::OnceCell;
use indexmap::IndexMap;
use sesamecart_edges::HttpClient;
use sesamecart_fleet::{GroupHealth, GroupKey, MemberProbe};
use sesamecart_links::Links;
use sesamecart_links::feed::{GroupLoss, GroupVerdict};
use sesamecart_runtime::with_patience;
use sesamecart_vocabulary::Timestamp;

use crate::clock;
use crate::events::Event;
use crate::state::EntryState;
use crate::watch;

/// How long a verdict is cached. A loss that happens later is found by the next probe.
const VERDICT_TTL: Duration = Duration::from_millis(200);

/// Timeout of a request to another node to probe a group. That node probes each member up to twice, with a
/// timeout of some tens of milliseconds.
const REMOTE_PROBE_TIMEOUT: Duration = Duration::from_millis(350);

/// Probes groups, directly or through the node that this node follows, and caches the verdicts.
#[derive(Clone, Debug)]
pub(crate) struct GroupProber {
    state: Arc<EntryState>,
    client: HttpClient,
    links: Links,
    probes: Arc<Mutex<IndexMap<GroupKey, SharedProbe>>>,
}

/// One probe of all members of a group, and its verdict once it is complete.
#[derive(Clone, Debug)]
struct SharedProbe {
    started_at: Timestamp,
    verdict: Arc<OnceCell<GroupHealth>>,
}

impl GroupProber {
    pub(crate) fn new(state: Arc<EntryState>, client: HttpClient, links: Links) -> Self {
        Self {
            state,
            client,
            links,
            probes: Arc::default(),
        }
    }

    /// Returns the health of a group. If this node follows another one, that node probes the members and this
    /// node only the head.
    pub(crate) async fn examine(&self, key: &GroupKey) -> GroupHealth {
        let Some(address) = self.state.upstream() else {
            return self.verdict(key).await;
        };
        match probe_via(&self.links, address, key).await {
            // The other node may reach engines that this node can't reach.
            Some(GroupHealth::Healthy) => self.probe_head(address, key).await,
            Some(GroupHealth::Lost | GroupHealth::HeadUnreachable) => GroupHealth::Lost,
            Some(GroupHealth::Suspected) => GroupHealth::Suspected,
            Some(GroupHealth::Unknown) | None => self.verdict(key).await,
        }
    }

    /// Probes the members of a group, unless a probe is in flight or its verdict is still cached.
    pub(crate) async fn verdict(&self, key: &GroupKey) -> GroupHealth {
        let cell = self.verdict_cell(key);
        let probe = async {
            let result = watch::probe_group(&self.state, &self.client, key).await;
            result.verdict
        };
        *cell.get_or_init(|| probe).await
    }

    fn verdict_cell(&self, key: &GroupKey) -> Arc<OnceCell<GroupHealth>> {
        let now = clock::now();
        let mut probes = self.probes.lock().unwrap_or_else(PoisonError::into_inner);
        probes.retain(|_, probe| now.since(probe.started_at) < VERDICT_TTL);
        let probe = probes.entry(key.clone()).or_insert_with(|| SharedProbe {
            started_at: now,
            verdict: Arc::default(),
        });
        Arc::clone(&probe.verdict)
    }

    /// Probes the head of a group from this node, after the node at `address` has found the group healthy. A
    /// head that only this node can't reach isn't lost.
    async fn probe_head(&self, address: SocketAddr, key: &GroupKey) -> GroupHealth {
        let probe = watch::probe_head(&self.state, &self.client, key).await;
        let verdict = match probe {
            MemberProbe::Member(_) => GroupHealth::Healthy,
            MemberProbe::OtherMembership => GroupHealth::Lost,
            MemberProbe::Silent | MemberProbe::Unreachable => GroupHealth::Unknown,
        };
        self.state.events.write(&Event::GroupExamined {
            group: &key.to_string(),
            verdict: &verdict.to_string(),
            finding: &format!("sound for the node at {address}; head {probe}"),
        });
        verdict
    }
}

/// Asks the node at `address` to probe a group. Returns nothing if it doesn't answer.
pub(crate) async fn probe_via(
    links: &Links,
    address: SocketAddr,
    key: &GroupKey,
) -> Option<GroupHealth> {
    let group = GroupLoss {
        group: key.to_string(),
    };
    let mut feed = links.feed_client(address);
    match with_patience(REMOTE_PROBE_TIMEOUT, feed.examine_group(group)).await {
        Ok(Ok(reply)) => Some(verdict_of(reply.into_inner())),
        Ok(Err(status)) => {
            log::debug!("watch: node at {address}: probe of {key} failed: {status}.");
            None
        }
        Err(elapsed) => {
            log::debug!("watch: node at {address}: probe of {key} failed: {elapsed}.");
            None
        }
    }
}

const fn verdict_of(reply: GroupVerdict) -> GroupHealth {
    match reply {
        GroupVerdict { is_sound: true, .. } => GroupHealth::Healthy,
        GroupVerdict {
            is_unknown: true, ..
        } => GroupHealth::Unknown,
        GroupVerdict {
            is_suspected: true, ..
        } => GroupHealth::Suspected,
        GroupVerdict { .. } => GroupHealth::Lost,
    }
}
