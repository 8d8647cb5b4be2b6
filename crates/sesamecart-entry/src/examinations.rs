//! Questions to the members of groups, shared between the nodes that ask them.
//!
//! It answers a group that falls silent for many nodes at once. Were each of them to ask all members, the
//! engines would get thousands of questions for one loss, and the nodes would be busy with them while
//! callers wait. The node that reads the store for a failure domain asks once for all that follow it; what
//! it finds holds for a moment.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_lock::OnceCell;
use indexmap::IndexMap;
use sesamecart_edges::HttpClient;
use sesamecart_fleet::{GroupKey, MemberProbe, Verdict};
use sesamecart_links::Links;
use sesamecart_links::feed::GroupLoss;
use sesamecart_runtime::within;
use sesamecart_vocabulary::Timestamp;

use crate::beliefs::Beliefs;
use crate::clock;
use crate::events::Event;
use crate::watch;

/// How long a finding holds for others: a loss after it is found with the next question.
const HOLDS: Duration = Duration::from_millis(200);

/// How long another node has to ask the members: each has two tries of some tens of milliseconds.
const ELSEWHERE_LIMIT: Duration = Duration::from_millis(350);

/// Asks the members of groups.
#[derive(Clone, Debug)]
pub(crate) struct Examinations {
    beliefs: Arc<Beliefs>,
    client: HttpClient,
    links: Links,
    known: Arc<Mutex<IndexMap<GroupKey, Examination>>>,
}

/// One question to all members of a group, and its finding once it is there.
#[derive(Clone, Debug)]
struct Examination {
    begun: Timestamp,
    verdict: Arc<OnceCell<Verdict>>,
}

impl Examinations {
    pub(crate) fn new(beliefs: Arc<Beliefs>, client: HttpClient, links: Links) -> Self {
        Self {
            beliefs,
            client,
            links,
            known: Arc::default(),
        }
    }

    /// Returns whether a group is sound for this node: by the node that it follows, if there is one.
    pub(crate) async fn is_sound(&self, key: &GroupKey) -> bool {
        if let Some(links) = self.beliefs.followed()
            && let Some(is_sound) = self.ask_elsewhere(links, key).await
        {
            // What reaches the other node may not reach this one.
            return is_sound && self.reaches_head(links, key).await;
        }
        self.verdict(key).await == Verdict::Sound
    }

    /// Asks a group's members, unless that was done a moment ago or is under way.
    pub(crate) async fn verdict(&self, key: &GroupKey) -> Verdict {
        let cell = self.cell(key);
        let asked = async {
            let examined = watch::examine(&self.beliefs, &self.client, key).await;
            examined.verdict
        };
        *cell.get_or_init(|| asked).await
    }

    fn cell(&self, key: &GroupKey) -> Arc<OnceCell<Verdict>> {
        let now = clock::now();
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        known.retain(|_, examination| now.since(examination.begun) < HOLDS);
        let examination = known.entry(key.clone()).or_insert_with(|| Examination {
            begun: now,
            verdict: Arc::default(),
        });
        Arc::clone(&examination.verdict)
    }

    async fn ask_elsewhere(&self, links: SocketAddr, key: &GroupKey) -> Option<bool> {
        let group = GroupLoss {
            group: key.to_string(),
        };
        let mut feed = self.links.feed_of(links);
        match within(ELSEWHERE_LIMIT, feed.examine_group(group)).await {
            Ok(Ok(answer)) => Some(answer.into_inner().is_sound),
            Ok(Err(status)) => {
                log::debug!("watch: node at {links}: examine {key}: {status}.");
                None
            }
            Err(elapsed) => {
                log::debug!("watch: node at {links}: examine {key}: {elapsed}.");
                None
            }
        }
    }

    async fn reaches_head(&self, links: SocketAddr, key: &GroupKey) -> bool {
        let probe = watch::ask_head(&self.beliefs, &self.client, key).await;
        let is_sound = matches!(probe, MemberProbe::Member(_));
        let verdict = if is_sound {
            Verdict::Sound
        } else {
            Verdict::HeadSilent
        };
        self.beliefs.events.write(&Event::GroupExamined {
            group: &key.to_string(),
            verdict: &verdict.to_string(),
            finding: &format!("sound for the node at {links}; head {probe}"),
        });
        is_sound
    }
}
