//! Carries out what the planner asks for.

use futures_util::future::join_all;
use sesamecart_edges::HttpClient;
use sesamecart_fleet::{Formation, GroupKey, Step, Verdict};
use sesamecart_platform::{Order, OrderOutcome};
use sesamecart_vocabulary::EndpointId;

use crate::beliefs::Beliefs;
use crate::controller::engines::Engines;
use crate::events::Event;
use crate::watch::{self, Examined};

/// What a step that was carried out brought.
#[derive(Debug)]
pub(super) enum Outcome {
    /// The members were told to join, or some couldn't be.
    Joined { key: GroupKey, all: bool },
    /// Some members don't answer, so none was told to join.
    Unreachable {
        key: GroupKey,
        silent: Vec<EndpointId>,
    },
    /// The head was told to open, or couldn't be.
    Opened { key: GroupKey, opening: bool },
    /// A load has begun, or hasn't.
    Staged { endpoint: EndpointId, begun: bool },
    /// The head of a group is out of it, which ends the group, or members that could be told are.
    Dissolved {
        key: GroupKey,
        head_is_out: bool,
        untold: Vec<EndpointId>,
    },
    /// A group was examined and is sound.
    Sound { key: GroupKey },
}

pub(super) async fn carry_out(
    step: Step,
    beliefs: &Beliefs,
    client: &HttpClient,
    engines: &Engines,
    announce: impl FnOnce(GroupKey),
) -> Option<Outcome> {
    match step {
        Step::Join(formation) => Some(join(beliefs, engines, formation).await),
        Step::Open(formation) => {
            let head = formation.members.first()?;
            let order = Order::Open(formation.key.clone());
            let outcome = engines.order(head, &order).await;
            Some(Outcome::Opened {
                opening: is_done(&outcome),
                key: formation.key,
            })
        }
        Step::Stage { endpoint, model } => {
            let outcome = engines.order(&endpoint, &Order::Stage(model)).await;
            Some(Outcome::Staged {
                begun: is_done(&outcome),
                endpoint,
            })
        }
        Step::Close(key) => {
            close(beliefs, engines, key).await;
            None
        }
        Step::Retire { key, from, to } => {
            beliefs.events.write(&Event::GroupRetired {
                group: &key.to_string(),
                model: from.as_str(),
                to: to.as_str(),
            });
            close(beliefs, engines, key).await;
            None
        }
        Step::Dissolve(key) => {
            let examined = Examined {
                verdict: Verdict::Lost,
                silent: Vec::new(),
            };
            Some(dissolve(beliefs, engines, key, examined).await)
        }
        Step::Examine(key) => {
            let examined = watch::examine(beliefs, client, &key).await;
            if examined.verdict == Verdict::Sound {
                return Some(Outcome::Sound { key });
            }
            beliefs.lose_group(&key);
            announce(key.clone());
            Some(dissolve(beliefs, engines, key, examined).await)
        }
    }
}

/// Tells a group's head to take no more requests; the planner repeats it while the group stays open.
async fn close(beliefs: &Beliefs, engines: &Engines, key: GroupKey) {
    if let Some(head) = head_of(beliefs, &key) {
        engines.order(&head, &Order::Close(key)).await;
    }
}

fn is_done(outcome: &OrderOutcome) -> bool {
    matches!(outcome, OrderOutcome::Begun | OrderOutcome::Already)
}

async fn join(beliefs: &Beliefs, engines: &Engines, formation: Formation) -> Outcome {
    let members: Vec<&str> = formation.members.iter().map(EndpointId::as_str).collect();
    beliefs.events.write(&Event::GroupPlanned {
        group: &formation.key.to_string(),
        model: formation.model.as_str(),
        members: &members.join(" "),
        fence: engines.fence().0,
    });
    let silent = engines.silent(&formation.members).await;
    if !silent.is_empty() {
        let key = formation.key;
        return Outcome::Unreachable { key, silent };
    }
    let order = Order::Join {
        key: formation.key.clone(),
        model: formation.model.clone(),
        members: formation.members.clone(),
    };
    let orders = formation.members.iter().map(|id| engines.order(id, &order));
    let all = join_all(orders).await.iter().all(is_done);
    Outcome::Joined {
        key: formation.key,
        all,
    }
}

fn head_of(beliefs: &Beliefs, key: &GroupKey) -> Option<EndpointId> {
    let head = watch::head_of(&beliefs.directory.load(), key);
    head.map(|head| head.id.clone())
}

/// Takes a group apart.
///
/// A member that joined elsewhere while the old head might still serve would be in two groups at once.
/// So the head leaves first, which ends the group; where it doesn't answer, each other member leaves
/// before it joins anything, without which the head can't serve.
async fn dissolve(
    beliefs: &Beliefs,
    engines: &Engines,
    key: GroupKey,
    examined: Examined,
) -> Outcome {
    let head = head_of(beliefs, &key);
    let order = Order::Leave(key.clone());
    let head_is_out = match (&head, examined.verdict) {
        (Some(head), Verdict::Lost | Verdict::Sound) => is_done(&engines.order(head, &order).await),
        _ => false,
    };
    let mut untold = examined.silent;
    if !head_is_out {
        let others: Vec<EndpointId> = {
            let directory = beliefs.directory.load();
            let members = directory.members(&key).map(|member| member.id.clone());
            members
                .filter(|id| Some(id) != head.as_ref() && !untold.contains(id))
                .collect()
        };
        let orders = others.iter().map(|id| engines.order(id, &order));
        let outcomes = join_all(orders).await;
        let failed = others.into_iter().zip(outcomes);
        untold.extend(
            failed
                .filter(|(_, outcome)| !is_done(outcome))
                .map(|(id, _)| id),
        );
        untold.extend(head);
    }
    Outcome::Dissolved {
        key,
        head_is_out,
        untold,
    }
}
