//! Detects groups that have lost a member: probes the members of a group whose head has stopped sending.

use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use futures_util::future::join_all;
use indexmap::IndexSet;
use sesamecart_edges::{ClientError, HttpClient};
use sesamecart_fleet::{
    Directory, Endpoint, GroupHealth, GroupKey, GroupProbes, MemberProbe, StallLimits,
    evaluate_silent_group,
};
use sesamecart_platform::fetch_report;
use sesamecart_runtime::{Tasks, lateness, sleep_paced};
use sesamecart_vocabulary::{EndpointId, ServiceId};

use crate::clock;
use crate::events::Event;
use crate::group_prober::GroupProber;
use crate::reach::check_links;
use crate::state::EntryState;

/// Interval between two checks for silent heads.
const CHECK_INTERVAL: Duration = Duration::from_millis(40);

/// Timeout of one probe of a member. A live member answers within a few milliseconds.
pub(crate) const PROBE_TIMEOUT: Duration = Duration::from_millis(70);

/// Time between two probes of a suspected group. Three nodes probe it: the one that reads the store, the controller and
/// one that the controller asks.
pub(crate) const SUSPECT_PROBE_INTERVAL: Duration = Duration::from_millis(400);

/// Probes without an answer after which a member counts as silent; a single packet may be lost.
pub(crate) const MAX_PROBES: usize = 2;

/// Checks the heads that this node's requests depend on, until the task is dropped, and sends the groups that
/// are found lost to `lost_groups`.
pub(crate) async fn watch_heads(
    state: Arc<EntryState>,
    group_prober: GroupProber,
    tasks: Tasks,
    lost_groups: Sender<GroupKey>,
) {
    loop {
        sleep_paced(CHECK_INTERVAL).await;
        let limits = StallLimits::default().extended_by(lateness().patience());
        let silent = state.loads().start_due_probes(clock::now(), limits);
        if silent.is_empty() {
            continue;
        }
        let directory = state.directory.load_full();
        suspect_silent_services(&state, &directory, &silent);
        for head in silent {
            let endpoint = directory.find(&head);
            // A group that was found lost stays stalled until its head gives up, so a probe yields nothing
            // new. One that is suspected is already being probed.
            let endpoint = endpoint.filter(|head| !state.is_group_avoided(head));
            let Some(key) = endpoint.and_then(|head| head.group_key()) else {
                continue;
            };
            let (state, lost_groups) = (Arc::clone(&state), lost_groups.clone());
            let group_prober = group_prober.clone();
            tasks.spawn(async move {
                examine_until_decided(&state, &group_prober, key, &lost_groups).await;
            });
        }
    }
}

/// Probes a group again as long as its members are only suspected, and applies the verdicts.
async fn examine_until_decided(
    state: &EntryState,
    group_prober: &GroupProber,
    key: GroupKey,
    lost_groups: &Sender<GroupKey>,
) {
    let mut is_suspected = false;
    loop {
        match group_prober.examine(&key).await {
            GroupHealth::Healthy => return state.clear_suspicion(&key),
            GroupHealth::Unknown => {
                state.clear_suspicion(&key);
                // What this node can't see says nothing to other nodes.
                return state.interrupt_group(&key);
            }
            GroupHealth::Suspected if is_suspected => {}
            GroupHealth::Suspected => {
                // Another probe has found the same.
                if !state.suspect_group(&key) {
                    return;
                }
                is_suspected = true;
                // The controller measures the silence itself, from now on. A closed channel means that the
                // process is shutting down.
                let _sent = lost_groups.send(key.clone()).await;
            }
            GroupHealth::Lost | GroupHealth::HeadUnreachable => {
                state.metrics.count_group_lost();
                state.mark_group_lost(&key);
                let _sent = lost_groups.send(key).await;
                return;
            }
        }
        sleep_paced(SUSPECT_PROBE_INTERVAL).await;
    }
}

/// Requests a check of the paths to the services of which all open heads are silent.
fn suspect_silent_services(state: &EntryState, directory: &Directory, silent: &[EndpointId]) {
    let since = clock::now() - StallLimits::default().streaming;
    let services = silent.iter().filter_map(|head| directory.find(head));
    let services: IndexSet<&ServiceId> = services.map(|head| &head.service).collect();
    for service in services {
        let mut heads = directory
            .listed()
            .filter(|endpoint| endpoint.service == *service && endpoint.is_open_head());
        let is_active = {
            let loads = state.loads();
            heads.any(|head| loads.has_event_since(since, &head.id))
        };
        if !is_active {
            state.reach.suspect(service);
        }
    }
}

/// The result of probing the members of a group.
#[derive(Debug)]
pub(crate) struct GroupProbe {
    pub(crate) verdict: GroupHealth,
    /// The members that didn't answer, or have exited.
    pub(crate) silent: Vec<EndpointId>,
}

/// Probes the members of a group, writes the results to the decision log and returns the verdict.
pub(crate) async fn probe_group(
    state: &EntryState,
    client: &HttpClient,
    key: &GroupKey,
) -> GroupProbe {
    let directory = state.directory.load_full();
    let MemberResults {
        probes,
        silent,
        silence,
    } = probe_members(state, &directory, client, key).await;
    let verdict = if probes.is_silence_the_only_evidence()
        && has_lost_links(state, &directory, client, key).await
    {
        GroupHealth::Unknown
    } else {
        evaluate_silent_group(&probes, silence)
    };
    let others: Vec<String> = probes.others.iter().map(ToString::to_string).collect();
    state.events.write(&Event::GroupExamined {
        group: &key.to_string(),
        verdict: &verdict.to_string(),
        finding: &format!("head {}; members {}", probes.head, others.join(", ")),
    });
    GroupProbe { verdict, silent }
}

/// Returns whether this node reaches no endpoint outside of a group whose members it can't reach.
async fn has_lost_links(
    state: &EntryState,
    directory: &Directory,
    client: &HttpClient,
    key: &GroupKey,
) -> bool {
    let Some(service) = directory.members(key).next().map(|member| &member.service) else {
        return false;
    };
    let is_member = |endpoint: &Endpoint| endpoint.group_key().as_ref() == Some(key);
    let check = check_links(state, client, &key.to_string(), service, is_member).await;
    if check.are_links_lost() {
        state.reach.suspect(service);
    }
    check.are_links_lost()
}

/// Probes only the head of a group.
pub(crate) async fn probe_head(
    state: &EntryState,
    client: &HttpClient,
    key: &GroupKey,
) -> MemberProbe {
    let directory = state.directory.load_full();
    match group_head(&directory, key) {
        Some(head) => probe_member(state, client, &head, key).await,
        None => MemberProbe::Unreachable,
    }
}

/// Returns the head of a group, including one that left the registry a short time ago.
pub(crate) fn group_head(directory: &Directory, key: &GroupKey) -> Option<Arc<Endpoint>> {
    let mut members = directory.members(key);
    let head = members.find(|member| {
        let role = member.group.as_ref();
        role.is_some_and(|role| role.rank == 0)
    });
    head.cloned()
}

/// The results of probing the members of a group.
struct MemberResults {
    probes: GroupProbes,
    /// The members that didn't answer.
    silent: Vec<EndpointId>,
    /// How long one of them has been silent.
    silence: Duration,
}

async fn probe_members(
    state: &EntryState,
    directory: &Directory,
    client: &HttpClient,
    key: &GroupKey,
) -> MemberResults {
    let started_at = clock::now();
    let members: Vec<Arc<Endpoint>> = directory.members(key).cloned().collect();
    let probes = members
        .iter()
        .map(|member| probe_member(state, client, member, key));
    let results = join_all(probes).await;
    let mut head = MemberProbe::Unreachable;
    let mut others = Vec::new();
    let mut silent = Vec::new();
    let mut silence = Duration::ZERO;
    for (member, result) in members.iter().zip(results) {
        if matches!(result, MemberProbe::Silent | MemberProbe::Unreachable) {
            silent.push(member.id.clone());
            let silent_for = state.record_silence(started_at, &member.id);
            silence = silence.max(silent_for);
        } else {
            state.record_probe_answer(&member.id);
        }
        if member.group.as_ref().is_some_and(|role| role.rank == 0) {
            head = result;
        } else {
            others.push(result);
        }
    }
    let size = group_size(state, &members);
    others.resize(
        size.saturating_sub(1).max(others.len()),
        MemberProbe::Unreachable,
    );
    MemberResults {
        probes: GroupProbes { head, others },
        silent,
        silence,
    }
}

fn group_size(state: &EntryState, members: &[Arc<Endpoint>]) -> usize {
    let Some(catalog) = state.catalog.load_full() else {
        return 0;
    };
    let sizes = members.iter().filter_map(|member| {
        let spec = catalog.services.get(&member.service)?.engine.as_ref()?;
        let model = member.models.first()?;
        let model = spec
            .models
            .iter()
            .find(|candidate| candidate.model == *model)?;
        Some(model.group_size)
    });
    sizes.max().unwrap_or(0)
}

/// Probes a member of a group. One that doesn't answer is silent if its machine still accepts connections, and
/// unreachable otherwise.
async fn probe_member(
    state: &EntryState,
    client: &HttpClient,
    member: &Endpoint,
    key: &GroupKey,
) -> MemberProbe {
    let mut is_gone = !state.directory.load().is_listed(&member.id);
    for _ in 0..MAX_PROBES {
        let report = match fetch_report(client, member.address, PROBE_TIMEOUT).await {
            Ok(report) => report,
            Err(error) => {
                let error = error.downcast_ref::<ClientError>();
                is_gone |= error.is_some_and(ClientError::is_refused);
                continue;
            }
        };
        state.record_report(member, &report);
        return match report.group {
            Some(role) if role.group == key.group && role.epoch == key.epoch => {
                MemberProbe::Member(role.state)
            }
            _ => MemberProbe::OtherMembership,
        };
    }
    if is_gone || !accepts_connections(client, member).await {
        MemberProbe::Unreachable
    } else {
        MemberProbe::Silent
    }
}

/// Returns whether a new connection to a member opens. The probes may have used an open one.
async fn accepts_connections(client: &HttpClient, member: &Endpoint) -> bool {
    let check = client.check_connection(member.address, PROBE_TIMEOUT);
    check.await.is_ok()
}

#[cfg(test)]
mod tests;
