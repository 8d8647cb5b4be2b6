//! Plays a topic that changes, nodes that read it at times, and a follower that goes from one to the other.

use indexmap::IndexMap;
use sesamecart_links::feed::{FollowRequest, TopicPart};
use sesamecart_platform::{Offset, Record, StoredRecord, Topic};
use sesamecart_property::check_property;
use sesamecart_vocabulary::Timestamp;

use super::Feed;
use super::topic::GAPS_KEPT;

const NOW: Timestamp = Timestamp(10_000_000);

/// What a topic holds, by key.
type Values = IndexMap<String, Vec<u8>>;

#[derive(Clone, Copy, Debug)]
enum Step {
    /// A key gets a value.
    Put(&'static str, &'static str),
    /// A key is dropped.
    Drop(&'static str),
    /// The store forgets its history, so that all readers have to read the topic whole.
    Compact,
    /// A node reads what is new; one that doesn't read the store begins to.
    Read(usize),
    /// A node stops reading the store.
    Stop(usize),
    /// The follower asks a node for what it doesn't have.
    Follow(usize),
}

use Step::{Compact, Drop, Follow, Put, Read, Stop};

/// The topic as the store has it.
#[derive(Default)]
struct Log {
    records: Vec<Record>,
    first: usize,
}

impl Log {
    fn append(&mut self, key: &str, value: Option<&str>) {
        self.records.push(Record {
            key: Some(key.to_owned()),
            value: value.map(|value| value.as_bytes().to_vec()),
        });
    }

    fn end(&self) -> Offset {
        Offset(self.records.len() as u64)
    }

    /// Returns what the topic held once the records before `end` were written.
    fn values_at(&self, end: u64) -> Values {
        let mut values = Values::new();
        for record in &self.records[..usize::try_from(end).expect("a short log")] {
            apply(&mut values, record.key.as_deref(), record.value.clone());
        }
        values
    }

    fn newest(&self) -> Vec<StoredRecord> {
        let mut newest: IndexMap<&str, StoredRecord> = IndexMap::new();
        for (record, offset) in self.records.iter().zip(0..) {
            let Some(key) = record.key.as_deref() else {
                continue;
            };
            let stored = StoredRecord {
                offset: Offset(offset),
                record: record.clone(),
            };
            newest.insert(key, stored);
        }
        newest.retain(|_, stored| stored.record.value.is_some());
        newest.into_values().collect()
    }
}

fn apply(values: &mut Values, key: Option<&str>, value: Option<Vec<u8>>) {
    let Some(key) = key else { return };
    match value {
        Some(value) => {
            values.insert(key.to_owned(), value);
        }
        None => {
            values.shift_remove(key);
        }
    }
}

/// A node that reads the store at times.
struct Reader {
    feed: Feed,
    /// Where it goes on; nothing while it doesn't read the store.
    next: Option<usize>,
}

impl Reader {
    fn new() -> Self {
        Self {
            feed: Feed::new(),
            next: None,
        }
    }

    fn read(&mut self, log: &Log) {
        match self.next {
            Some(next) if next >= log.first => {
                let records = &log.records[next..];
                self.feed.apply(Topic::Registry, records, log.end());
            }
            _ => {
                let _reread = self.feed.replace(Topic::Registry, &log.newest(), log.end());
                for topic in [Topic::Operator, Topic::Nodes] {
                    let _reread = self.feed.replace(topic, &[], Offset(0));
                }
            }
        }
        self.next = Some(log.records.len());
    }

    fn stop(&mut self) {
        self.feed.stop();
        self.next = None;
    }
}

/// A node that follows others.
#[derive(Default)]
struct Follower {
    next: u64,
    values: Values,
}

impl Follower {
    fn follow(&mut self, reader: &Reader) {
        let req = FollowRequest {
            registry_next: self.next,
            ..FollowRequest::default()
        };
        let Some(reply) = reader.feed.newer(NOW, &req) else {
            return;
        };
        let part = reply.registry.expect("a reader has all topics");
        // A node that knows less is left alone, as a follower does.
        if part.next >= self.next {
            self.take(part);
        }
    }

    fn take(&mut self, part: TopicPart) {
        let unchanged = part.unchanged.map(|unchanged| unchanged.keys);
        let unchanged = unchanged.or_else(|| part.whole.then(Vec::new));
        if let Some(unchanged) = unchanged {
            self.values.retain(|key, _| unchanged.contains(key));
        }
        for record in part.records {
            apply(&mut self.values, Some(&record.key), record.value);
        }
        self.next = part.next;
    }
}

/// Plays the steps, and checks after each answer that the follower has what the topic held there.
fn play(steps: &[Step]) {
    let mut log = Log::default();
    let mut readers = [Reader::new(), Reader::new(), Reader::new()];
    let mut follower = Follower::default();
    for (index, step) in steps.iter().enumerate() {
        match *step {
            Put(key, value) => log.append(key, Some(value)),
            Drop(key) => log.append(key, None),
            Compact => log.first = log.records.len(),
            Read(reader) => readers[reader].read(&log),
            Stop(reader) => readers[reader].stop(),
            Follow(reader) => follower.follow(&readers[reader]),
        }
        let held = log.values_at(follower.next);
        assert!(
            follower.values == held,
            "after step {index} of {steps:?}: {:?} instead of {held:?}",
            follower.values
        );
    }
}

macro_rules! a_follower_has_what_the_store_holds {
    ($($(#[$doc:meta])* $name:ident: $steps:expr;)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                play(&$steps);
            }
        )*
    };
}

a_follower_has_what_the_store_holds! {
    /// Guards against requests into an evacuated failure domain.
    evacuated_again_while_its_reader_read_nothing: [
        Put("evacuated", "a"), Read(0), Stop(0), Drop("evacuated"), Read(1), Follow(1),
        Put("evacuated", "a"), Read(0), Follow(0),
    ];
    /// Guards against requests to an endpoint that is gone.
    endpoint_came_and_went_while_its_reader_read_nothing: [
        Put("other", "a"), Read(0), Stop(0), Put("endpoint", "a"), Read(1), Follow(1),
        Drop("endpoint"), Read(0), Follow(0),
    ];
    /// Guards against a failure domain that stays evacuated for ever.
    taken_back_again_while_its_reader_read_nothing: [
        Put("evacuated", "a"), Drop("evacuated"), Put("other", "a"), Read(0), Stop(0),
        Put("evacuated", "a"), Read(1), Follow(1), Drop("evacuated"), Read(0), Follow(0),
    ];
    /// Guards against a value from before, where the store forgets its history under a node that reads on.
    changed_and_changed_back_in_a_forgotten_history: [
        Put("endpoint", "a"), Read(0), Put("endpoint", "b"), Read(1), Follow(1),
        Put("endpoint", "a"), Compact, Read(0), Follow(0),
    ];
}

/// Guards against an endpoint that is gone, where its reader stopped reading more often than it tells apart.
#[test]
fn endpoint_went_in_one_of_many_gaps() {
    let begin = [
        Put("other", "a"),
        Read(0),
        Stop(0),
        Put("endpoint", "a"),
        Read(1),
        Follow(1),
        Drop("endpoint"),
    ];
    let gap = [Read(0), Stop(0), Put("other", "a")];
    let gaps = std::iter::repeat_n(gap, 2 * GAPS_KEPT).flatten();
    let end = [Read(0), Follow(0)];
    let steps: Vec<Step> = begin.into_iter().chain(gaps).chain(end).collect();
    play(&steps);
}

fn step((kind, key, reader): (u8, u8, u8)) -> Step {
    let key = ["k1", "k2", "k3"][usize::from(key % 3)];
    let value = ["a", "b"][usize::from(reader % 2)];
    let reader = usize::from(reader % 3);
    match kind % 12 {
        0 | 1 => Put(key, value),
        2 | 3 => Drop(key),
        4 => Compact,
        5..=7 => Read(reader),
        8 => Stop(reader),
        _ => Follow(reader),
    }
}

/// Guards against any sequence of readers that leaves a follower with what the topic no longer holds.
#[test]
fn a_follower_has_what_the_store_holds_whichever_nodes_it_followed() {
    check_property(bolero::produce::<Vec<(u8, u8, u8)>>(), |steps| {
        let steps: Vec<Step> = steps.iter().copied().map(step).collect();
        play(&steps);
    });
}
