//! Executes the steps of the planner.

use std::time::Duration;

use futures_lite::future;
use futures_util::future::join_all;
use sesamecart_edges::HttpClient;
use sesamecart_fleet::{Formation, GroupHealth, GroupKey, PeerNode, Step};
use sesamecart_links::Links;
use sesamecart_platform::{Order, OrderOutcome};
use sesamecart_runtime::{sleep, with_timeout};
use sesamecart_vocabulary::EndpointId;

use crate::controller::engines::EngineClient;
use crate::events::Event;
use crate::group_prober::probe_via;
use crate::state::EntryState;
use crate::watch::{self, GroupProbe, SUSPECT_PROBE_INTERVAL};

/// How much longer than this node's own probe another node's probe may take. Callers wait for the repair.
const PEER_PROBE_TIMEOUT: Duration = Duration::from_millis(80);

/// The outcome of an executed step.
#[derive(Debug)]
pub(super) enum StepOutcome {
    /// The members were ordered to join; `accepted_by_all` if each accepted the order.
    Joined {
        key: GroupKey,
        accepted_by_all: bool,
    },
    /// Some members don't answer, so no member was ordered to join.
    Unreachable {
        key: GroupKey,
        silent: Vec<EndpointId>,
    },
    /// The head was ordered to open; `accepted` if it accepted the order.
    Opened { key: GroupKey, accepted: bool },
    /// An engine was ordered to load a model; `accepted` if it accepted the order.
    Staged {
        endpoint: EndpointId,
        accepted: bool,
    },
    /// The head of a group has left it, which ends the group, or the members that could be reached have left.
    Dissolved {
        key: GroupKey,
        head_has_left: bool,
        unconfirmed: Vec<EndpointId>,
    },
    /// A group was probed and is healthy.
    Sound { key: GroupKey },
    /// This node can't tell whether a group is healthy.
    Undecided { key: GroupKey },
}

pub(super) async fn execute(
    step: Step,
    state: &EntryState,
    client: &HttpClient,
    links: &Links,
    engines: &EngineClient,
    announce: impl FnOnce(GroupKey),
) -> Option<StepOutcome> {
    match step {
        Step::Join(formation) => Some(join(state, engines, formation).await),
        Step::Open(formation) => {
            let head = formation.members.first()?;
            let order = Order::Open(formation.key.clone());
            let outcome = engines.send_order(head, &order).await;
            Some(StepOutcome::Opened {
                accepted: is_accepted(&outcome),
                key: formation.key,
            })
        }
        Step::Stage { endpoint, model } => {
            let outcome = engines.send_order(&endpoint, &Order::Stage(model)).await;
            Some(StepOutcome::Staged {
                accepted: is_accepted(&outcome),
                endpoint,
            })
        }
        Step::Close(key) => {
            close(state, engines, key).await;
            None
        }
        Step::Retire { key, from, to } => {
            state.events.write(&Event::GroupRetired {
                group: &key.to_string(),
                model: from.as_str(),
                to: to.as_str(),
            });
            close(state, engines, key).await;
            None
        }
        Step::Dissolve(key) => {
            let probe = GroupProbe {
                verdict: GroupHealth::Lost,
                silent: Vec::new(),
            };
            Some(dissolve(state, engines, key, probe).await)
        }
        Step::Examine(key) => {
            let (probe, verdict) = examine_until_decided(state, client, links, &key).await;
            match verdict {
                GroupHealth::Healthy => Some(StepOutcome::Sound { key }),
                GroupHealth::Suspected | GroupHealth::Unknown => {
                    Some(StepOutcome::Undecided { key })
                }
                GroupHealth::Lost | GroupHealth::HeadUnreachable => {
                    state.mark_group_lost(&key);
                    announce(key.clone());
                    Some(dissolve(state, engines, key, probe).await)
                }
            }
        }
    }
}

/// Probes a group, and probes it again as long as it is only suspected: a silent member may go on.
async fn examine_until_decided(
    state: &EntryState,
    client: &HttpClient,
    links: &Links,
    key: &GroupKey,
) -> (GroupProbe, GroupHealth) {
    loop {
        let (probe, verdict) = examine(state, client, links, key).await;
        if verdict != GroupHealth::Suspected {
            return (probe, verdict);
        }
        sleep(SUSPECT_PROBE_INTERVAL).await;
    }
}

/// Probes a group, and asks another node to probe it at the same time.
///
/// This node may have no path to some of the members, while the group serves the callers of all other nodes. If
/// only silent members speak against a group that is healthy for the other node, the verdict is unknown.
async fn examine(
    state: &EntryState,
    client: &HttpClient,
    links: &Links,
    key: &GroupKey,
) -> (GroupProbe, GroupHealth) {
    let probe_here = watch::probe_group(state, client, key);
    let Some(peer) = reporting_peer(state) else {
        let probe = probe_here.await;
        let verdict = probe.verdict;
        return (probe, verdict);
    };
    let (answered, answer) = async_channel::bounded(1);
    let probe_there = async {
        let verdict = probe_via(links, peer.links, key).await;
        // Nobody receives the answer if it came too late.
        let _sent = answered.send(verdict).await;
        future::pending().await
    };
    let decide = async {
        let probe = probe_here.await;
        let is_loss = matches!(
            probe.verdict,
            GroupHealth::Lost | GroupHealth::HeadUnreachable | GroupHealth::Suspected
        );
        if !is_loss || probe.silent.is_empty() {
            let verdict = probe.verdict;
            return (probe, verdict);
        }
        let verdict = match with_timeout(PEER_PROBE_TIMEOUT, answer.recv()).await {
            Ok(Ok(Some(GroupHealth::Healthy))) => GroupHealth::Unknown,
            _ => probe.verdict,
        };
        (probe, verdict)
    };
    future::or(decide, probe_there).await
}

/// Returns a random node whose loads this node receives, so that it is likely to answer.
fn reporting_peer(state: &EntryState) -> Option<PeerNode> {
    let nodes = state.nodes.load();
    let loads = state.loads();
    let reporting = nodes.iter().filter(|peer| loads.is_reporting(&peer.node));
    let reporting: Vec<&PeerNode> = reporting.collect();
    fastrand::choice(reporting).cloned()
}

/// Orders a group's head to accept no more requests. The planner repeats the step while the group is open.
async fn close(state: &EntryState, engines: &EngineClient, key: GroupKey) {
    if let Some(head) = head_of(state, &key) {
        engines.send_order(&head, &Order::Close(key)).await;
    }
}

fn is_accepted(outcome: &OrderOutcome) -> bool {
    matches!(outcome, OrderOutcome::Begun | OrderOutcome::AlreadyDone)
}

async fn join(state: &EntryState, engines: &EngineClient, formation: Formation) -> StepOutcome {
    let members: Vec<&str> = formation.members.iter().map(EndpointId::as_str).collect();
    state.events.write(&Event::GroupPlanned {
        group: &formation.key.to_string(),
        model: formation.model.as_str(),
        members: &members.join(" "),
        fence: engines.fence().0,
    });
    let silent = engines.find_silent(&formation.members).await;
    if !silent.is_empty() {
        let key = formation.key;
        return StepOutcome::Unreachable { key, silent };
    }
    let order = Order::Join {
        key: formation.key.clone(),
        model: formation.model.clone(),
        members: formation.members.clone(),
    };
    let orders = formation
        .members
        .iter()
        .map(|id| engines.send_order(id, &order));
    let accepted_by_all = join_all(orders).await.iter().all(is_accepted);
    StepOutcome::Joined {
        key: formation.key,
        accepted_by_all,
    }
}

fn head_of(state: &EntryState, key: &GroupKey) -> Option<EndpointId> {
    let head = watch::group_head(&state.directory.load(), key);
    head.map(|head| head.id.clone())
}

/// Dissolves a group.
///
/// A member that joined another group while the old head might still serve would be in two groups at once.
/// So the head is ordered to leave first, which ends the group. If the head doesn't answer, every other
/// member has to leave before it joins another group, because the head can't serve without its members.
async fn dissolve(
    state: &EntryState,
    engines: &EngineClient,
    key: GroupKey,
    probe: GroupProbe,
) -> StepOutcome {
    let head = head_of(state, &key);
    let order = Order::Leave(key.clone());
    let head_has_left = match (&head, probe.verdict) {
        (Some(head), GroupHealth::Lost | GroupHealth::Healthy) => {
            is_accepted(&engines.send_order(head, &order).await)
        }
        _ => false,
    };
    let mut unconfirmed = probe.silent;
    if !head_has_left {
        let others: Vec<EndpointId> = {
            let directory = state.directory.load();
            let members = directory.members(&key).map(|member| member.id.clone());
            members
                .filter(|id| Some(id) != head.as_ref() && !unconfirmed.contains(id))
                .collect()
        };
        let orders = others.iter().map(|id| engines.send_order(id, &order));
        let outcomes = join_all(orders).await;
        let results = others.into_iter().zip(outcomes);
        unconfirmed.extend(
            results
                .filter(|(_, outcome)| !is_accepted(outcome))
                .map(|(id, _)| id),
        );
        unconfirmed.extend(head);
    }
    StepOutcome::Dissolved {
        key,
        head_has_left,
        unconfirmed,
    }
}
