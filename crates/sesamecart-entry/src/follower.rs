//! Follows what the operator, the endpoints and the other nodes write into the store.

mod following;
mod nodes;
mod operator;
mod peer;
mod registry;
#[cfg(test)]
mod tests;

use std::time::Duration;

use indexmap::IndexSet;
use sesamecart_platform::{Offset, Read, Record, Store, StoreError, StoredRecord, Topic};
use sesamecart_runtime::sleep;
use sesamecart_vocabulary::Timestamp;

use crate::beliefs::Beliefs;
use crate::clock;
use crate::events::Event;
pub(crate) use crate::follower::following::Following;
use crate::follower::operator::OperatorPicture;
use crate::follower::registry::RegistryPicture;

/// The part of the time in which a configuration has to be in force for which the store holds a read
/// of the operator's topic that finds nothing.
///
/// A node's configuration is confirmed from when it sent the last read that came back, so in quiet
/// times it gets as old as two waits and a rest.
const OPERATOR_WAIT_PART: f64 = 0.4;

/// How long the store holds a read of the registry that finds nothing.
///
/// A read that reaches the store while a record is being appended sees nothing and isn't woken for
/// it, so the last record of a burst would be known on some nodes only with the next one. The end of
/// the wait finds it. All nodes together may call the store so many times a second.
const REGISTRY_WAIT: Duration = Duration::from_millis(1_000);

/// The same on the node that is forming groups, which opens them as soon as all members are ready.
const FORMING_WAIT: Duration = Duration::from_millis(150);

/// The least time between two reads of a topic: a burst of records is read at once and not by a call for
/// each.
const PACE: Duration = Duration::from_millis(150);

/// The same on the node that is forming groups.
const FORMING_PACE: Duration = Duration::from_millis(40);

/// How long a follower waits after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// A dependency whose loss and return are logged once each.
#[derive(Debug)]
pub(crate) struct Dependency {
    name: &'static str,
    lost_at: Option<Timestamp>,
}

impl Dependency {
    pub(crate) const fn new(name: &'static str) -> Self {
        Self {
            name,
            lost_at: None,
        }
    }

    pub(crate) fn failed(&mut self, beliefs: &Beliefs, cause: &StoreError) {
        beliefs.metrics.count_store_failure();
        if self.lost_at.is_some() {
            return;
        }
        self.lost_at = Some(clock::now());
        let cause = cause.to_string();
        beliefs.events.write(&Event::DependencyLost {
            dependency: self.name,
            cause: &cause,
        });
    }

    /// Notes an answer; returns whether the dependency was away.
    pub(crate) fn answered(&mut self, beliefs: &Beliefs) -> bool {
        let Some(lost_at) = self.lost_at.take() else {
            return false;
        };
        beliefs.events.write(&Event::DependencyRegained {
            dependency: self.name,
            away_ms: millis(clock::now().since(lost_at)),
        });
        true
    }
}

pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// What is kept of one topic.
enum Picture<'a> {
    Operator(&'a mut OperatorPicture),
    Registry(&'a mut RegistryPicture),
}

/// Follows one topic of the store with a newest record for each key.
struct Follower<'a> {
    beliefs: &'a Beliefs,
    store: &'a Store,
    topic: Topic,
    dependency: &'a mut Dependency,
    picture: Picture<'a>,
}

impl Follower<'_> {
    /// Follows the topic; returns once the store has been away for `timeout`.
    async fn run(mut self, timeout: Option<Duration>) {
        loop {
            match self.read_newest().await {
                Ok(from) => self.follow(from, timeout).await,
                Err(error) => {
                    self.dependency.failed(self.beliefs, &error);
                    sleep(RETRY_DELAY).await;
                }
            }
            if self.is_away_for(timeout) {
                return;
            }
        }
    }

    fn is_away_for(&self, timeout: Option<Duration>) -> bool {
        let lost_at = self.dependency.lost_at;
        let away = lost_at.map(|at| clock::now().since(at));
        away.zip(timeout).is_some_and(|(away, limit)| away > limit)
    }

    /// Reads the newest record of each key and returns where to go on.
    ///
    /// Pages aren't of one moment; the records from the first page's end on are read again, which
    /// brings what changed between them.
    async fn read_newest(&mut self) -> Result<Offset, StoreError> {
        let sent = clock::now();
        let first = self.store.newest(self.topic, None).await?;
        let mut records = first.records;
        let mut next = first.next;
        while let Some(after) = next {
            let page = self.store.newest(self.topic, Some(&after)).await?;
            records.extend(page.records);
            next = page.next;
        }
        let was_away = self.dependency.answered(self.beliefs);
        if was_away {
            self.beliefs.feed.note_return(clock::now());
        }
        self.pass_on_whole(&records, first.end);
        let records = records.into_iter().map(|stored| stored.record);
        self.replace(records.collect(), was_away);
        self.confirm_freshness(sent);
        Ok(first.end)
    }

    /// Reads what comes after `from` until the topic's history has to be read anew.
    async fn follow(&mut self, mut from: Offset, timeout: Option<Duration>) {
        loop {
            let (wait, pace) = self.rhythm();
            let sent = clock::now();
            match self.store.read(self.topic, from, wait).await {
                Ok(Read::Records { next, end, records }) => {
                    let was_away = self.dependency.answered(self.beliefs);
                    if end < from {
                        return;
                    }
                    if was_away {
                        self.note_return();
                    }
                    self.beliefs.feed.apply(self.topic, &records, next);
                    self.apply(records);
                    from = next;
                    if next >= end {
                        self.confirm_freshness(sent);
                    }
                }
                Ok(Read::Trimmed { .. }) => return,
                Err(error) => {
                    self.dependency.failed(self.beliefs, &error);
                    sleep(RETRY_DELAY).await;
                    if self.is_away_for(timeout) {
                        return;
                    }
                }
            }
            sleep(pace).await;
        }
    }

    /// Returns how long the store may hold a read, and the rest before the next one.
    fn rhythm(&self) -> (Duration, Duration) {
        let bound = Duration::from_millis(self.beliefs.settings.bounds.configuration_ms);
        match self.picture {
            Picture::Operator(_) => (bound.mul_f64(OPERATOR_WAIT_PART), PACE),
            Picture::Registry(_) if self.beliefs.is_forming() => (FORMING_WAIT, FORMING_PACE),
            Picture::Registry(_) => (REGISTRY_WAIT, PACE),
        }
    }

    fn pass_on_whole(&self, records: &[StoredRecord], end: Offset) {
        let Some(reread) = self.beliefs.feed.replace(self.topic, records, end) else {
            return;
        };
        self.beliefs.events.write(&Event::TopicReread {
            topic: &self.topic.to_string(),
            known_to: reread.known_to.0,
            end: end.0,
            records: records.len(),
            changed: reread.changed,
            gone: reread.gone,
        });
    }

    fn replace(&mut self, records: Vec<Record>, was_away: bool) {
        match &mut self.picture {
            Picture::Operator(picture) => {
                picture.replace(self.beliefs, &records, &IndexSet::new());
            }
            Picture::Registry(picture) => {
                if was_away {
                    picture.returned_at = Some(clock::now());
                }
                picture.replace(self.beliefs, &records, &IndexSet::new());
            }
        }
    }

    fn apply(&mut self, records: Vec<Record>) {
        match &mut self.picture {
            Picture::Operator(picture) => picture.apply(self.beliefs, &records),
            Picture::Registry(picture) => picture.apply(self.beliefs, &records),
        }
    }

    fn note_return(&mut self) {
        self.beliefs.feed.note_return(clock::now());
        if let Picture::Registry(picture) = &mut self.picture {
            picture.returned_at = Some(clock::now());
        }
    }

    fn confirm_freshness(&self, sent: Timestamp) {
        match &self.picture {
            // A picture without a configuration confirms nothing.
            Picture::Operator(_) if self.beliefs.catalog.load().is_none() => {}
            Picture::Operator(_) => self.beliefs.confirm_freshness(sent),
            Picture::Registry(_) => self.beliefs.note_registry_read(),
        }
    }
}

fn ignore(beliefs: &Beliefs, topic: Topic, key: &str, cause: &str) {
    let topic = topic.to_string();
    beliefs.events.write(&Event::RecordIgnored {
        topic: &topic,
        key,
        cause,
    });
}
