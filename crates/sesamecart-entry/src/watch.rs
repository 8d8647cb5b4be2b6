//! Finds groups that have lost a member from the silence of their heads.

use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use futures_util::future::join_all;
use sesamecart_edges::HttpClient;
use sesamecart_fleet::{
    Directory, Endpoint, Finding, GroupKey, MemberProbe, SilenceLimits, Verdict, judge,
};
use sesamecart_platform::report;
use sesamecart_runtime::{Tasks, sleep};
use sesamecart_vocabulary::EndpointId;

use crate::beliefs::Beliefs;
use crate::clock;
use crate::events::Event;
use crate::examinations::Examinations;

/// How often heads are looked at.
const LOOK_EVERY: Duration = Duration::from_millis(40);

/// How long a member has to answer; one that lives does within a few milliseconds.
pub(crate) const ANSWER_LIMIT: Duration = Duration::from_millis(70);

/// How often a member is asked before it counts as silent: one packet may be lost.
pub(crate) const QUESTIONS: usize = 2;

/// Looks at the heads that this node's requests depend on, until the task is dropped.
pub(crate) async fn watch_heads(
    beliefs: Arc<Beliefs>,
    examinations: Examinations,
    tasks: Tasks,
    found: Sender<GroupKey>,
) {
    loop {
        sleep(LOOK_EVERY).await;
        let silent = beliefs
            .loads()
            .silent(clock::now(), SilenceLimits::default());
        if silent.is_empty() {
            continue;
        }
        let directory = beliefs.directory.load_full();
        for head in silent {
            let known = directory.find(&head);
            // A group that was found lost stands still until its head gives up; nothing is learnt.
            let known = known.filter(|head| !beliefs.is_lost(head));
            let Some(key) = known.and_then(|head| head.group_key()) else {
                continue;
            };
            let (beliefs, found) = (Arc::clone(&beliefs), found.clone());
            let examinations = examinations.clone();
            tasks.spawn(async move {
                if !examinations.is_sound(&key).await {
                    beliefs.metrics.count_group_lost();
                    beliefs.lose_group(&key);
                    // The controller is told by whoever finds it; a closed channel means that the
                    // process ends.
                    let _told = found.send(key).await;
                }
            });
        }
    }
}

/// A group whose members were asked.
#[derive(Debug)]
pub(crate) struct Examined {
    pub(crate) verdict: Verdict,
    /// The members that didn't answer, or have ended.
    pub(crate) silent: Vec<EndpointId>,
}

/// Asks a group's members and judges it.
pub(crate) async fn examine(beliefs: &Beliefs, client: &HttpClient, key: &GroupKey) -> Examined {
    let directory = beliefs.directory.load_full();
    let (finding, silent) = ask_members(beliefs, &directory, client, key).await;
    let verdict = judge(&finding);
    let others: Vec<String> = finding.others.iter().map(ToString::to_string).collect();
    beliefs.events.write(&Event::GroupExamined {
        group: &key.to_string(),
        verdict: &verdict.to_string(),
        finding: &format!("head {}; members {}", finding.head, others.join(", ")),
    });
    Examined { verdict, silent }
}

/// Asks a group's head alone.
pub(crate) async fn ask_head(
    beliefs: &Beliefs,
    client: &HttpClient,
    key: &GroupKey,
) -> MemberProbe {
    let directory = beliefs.directory.load_full();
    match head_of(&directory, key) {
        Some(head) => ask(client, &head, key).await,
        None => MemberProbe::Silent,
    }
}

/// Returns the head of a group, also one that has left the registry lately.
pub(crate) fn head_of(directory: &Directory, key: &GroupKey) -> Option<Arc<Endpoint>> {
    let mut members = directory.members(key);
    let head = members.find(|member| {
        let role = member.group.as_ref();
        role.is_some_and(|role| role.rank == 0)
    });
    head.cloned()
}

async fn ask_members(
    beliefs: &Beliefs,
    directory: &Directory,
    client: &HttpClient,
    key: &GroupKey,
) -> (Finding, Vec<EndpointId>) {
    let members: Vec<Arc<Endpoint>> = directory.members(key).cloned().collect();
    let asked = members.iter().map(|member| ask(client, member, key));
    let answers = join_all(asked).await;
    let mut head = MemberProbe::Silent;
    let mut others = Vec::new();
    let mut silent = Vec::new();
    for (member, answer) in members.iter().zip(answers) {
        if answer == MemberProbe::Silent {
            silent.push(member.id.clone());
        }
        if member.group.as_ref().is_some_and(|role| role.rank == 0) {
            head = answer;
        } else {
            others.push(answer);
        }
    }
    let size = group_size(beliefs, &members);
    others.resize(
        size.saturating_sub(1).max(others.len()),
        MemberProbe::Silent,
    );
    (Finding { head, others }, silent)
}

fn group_size(beliefs: &Beliefs, members: &[Arc<Endpoint>]) -> usize {
    let Some(catalog) = beliefs.catalog.load_full() else {
        return 0;
    };
    let sizes = members.iter().filter_map(|member| {
        let spec = catalog.services.get(&member.service)?.engine.as_ref()?;
        let model = member.models.first()?;
        let model = spec.models.iter().find(|known| known.model == *model)?;
        Some(model.group_size)
    });
    sizes.max().unwrap_or(0)
}

async fn ask(client: &HttpClient, member: &Endpoint, key: &GroupKey) -> MemberProbe {
    for _ in 0..QUESTIONS {
        let Ok(report) = report(client, member.address, ANSWER_LIMIT).await else {
            continue;
        };
        return match report.group {
            Some(role) if role.group == key.group && role.epoch == key.epoch => {
                MemberProbe::Member(role.state)
            }
            _ => MemberProbe::Elsewhere,
        };
    }
    MemberProbe::Silent
}
