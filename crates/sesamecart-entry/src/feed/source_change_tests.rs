//! Simulates a changing topic, nodes that read it intermittently, and a follower that switches between them.

use indexmap::IndexMap;
use sesamecart_links::feed::{FollowRequest, TopicPart};
use sesamecart_platform::{LogPosition, Offset, Record, StoreEra, StoredRecord, Topic};
use sesamecart_property::check_property;
use sesamecart_vocabulary::Timestamp;

use super::Feed;
use super::topic::MAX_GAPS;

const NOW: Timestamp = Timestamp(10_000_000);

/// The contents of a topic, by key.
type Values = IndexMap<String, Vec<u8>>;

#[derive(Clone, Copy, Debug)]
enum Step {
    /// Write a value to a key.
    Put(&'static str, &'static str),
    /// Drop a key.
    Drop(&'static str),
    /// Trim the store's history, so that all readers have to reread the topic in full.
    Trim,
    /// Let the store return from a copy without the last records, as many as given.
    Return(usize),
    /// Let a node read new records; a node that doesn't read the store begins to.
    Read(usize),
    /// Let a node stop reading the store.
    Stop(usize),
    /// Let the follower request an update from a node.
    Follow(usize),
}

use Step::{Drop, Follow, Put, Read, Return, Stop, Trim};

/// The topic in the store.
#[derive(Default)]
struct Log {
    era: u64,
    records: Vec<Record>,
    first: usize,
    /// The records of each earlier era, at its end.
    ended: Vec<Vec<Record>>,
}

impl Log {
    fn append(&mut self, key: &str, value: Option<&str>) {
        self.records.push(Record {
            key: Some(key.to_owned()),
            value: value.map(|value| value.as_bytes().to_vec()),
        });
    }

    fn return_without(&mut self, lost: usize) {
        self.ended.push(self.records.clone());
        self.era += 1;
        self.records
            .truncate(self.records.len().saturating_sub(lost));
        self.first = self.first.min(self.records.len());
    }

    fn end(&self) -> LogPosition {
        LogPosition::new(StoreEra(self.era), Offset(self.records.len() as u64))
    }

    /// Returns the topic's contents after the records before `end`.
    fn values_at(&self, end: LogPosition) -> Values {
        let mut values = Values::new();
        let era = usize::try_from(end.era.0).expect("the era fits");
        let records = self.ended.get(era).unwrap_or(&self.records);
        for record in &records[..usize::try_from(end.offset.0).expect("the offset fits")] {
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

/// A node that reads the store intermittently.
struct Reader {
    feed: Feed,
    /// The next offset to read, or `None` while the node doesn't read the store.
    next: Option<LogPosition>,
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
            Some(next) if next.era == log.end().era && next.offset.0 >= log.first as u64 => {
                let next = usize::try_from(next.offset.0).expect("the offset fits");
                let records = &log.records[next..];
                self.feed.apply(Topic::Registry, records, log.end());
            }
            _ => {
                let _summary = self.feed.replace(Topic::Registry, &log.newest(), log.end());
                for topic in [Topic::Operator, Topic::Nodes, Topic::Crashes] {
                    let _summary = self.feed.replace(topic, &[], LogPosition::START);
                }
            }
        }
        self.next = Some(log.end());
    }

    fn stop(&mut self) {
        self.feed.stop_serving();
        self.next = None;
    }
}

/// A node that follows the readers.
#[derive(Default)]
struct Follower {
    next: LogPosition,
    values: Values,
}

impl Follower {
    fn follow(&mut self, reader: &Reader) {
        let req = FollowRequest {
            registry_next: self.next.offset.0,
            registry_era: Some(self.next.era.0),
            ..FollowRequest::default()
        };
        let Some(reply) = reader.feed.reply_to(NOW, &req) else {
            return;
        };
        let part = reply.registry.expect("a serving feed has all topics");
        // Like a real follower, ignores a node that is behind it.
        if end_of(&part) >= self.next {
            self.apply_part(part);
        }
    }

    fn apply_part(&mut self, part: TopicPart) {
        let end = end_of(&part);
        let unchanged = part.unchanged.map(|unchanged| unchanged.keys);
        let unchanged = unchanged.or_else(|| part.whole.then(Vec::new));
        if let Some(unchanged) = unchanged {
            self.values.retain(|key, _| unchanged.contains(key));
        }
        for record in part.records {
            apply(&mut self.values, Some(&record.key), record.value);
        }
        self.next = end;
    }
}

fn end_of(part: &TopicPart) -> LogPosition {
    LogPosition::new(StoreEra(part.era), Offset(part.next))
}

/// Runs the steps and checks after each that the follower has the topic's contents at its offset.
fn run_steps(steps: &[Step]) {
    let mut log = Log::default();
    let mut readers = [Reader::new(), Reader::new(), Reader::new()];
    let mut follower = Follower::default();
    for (index, step) in steps.iter().enumerate() {
        match *step {
            Put(key, value) => log.append(key, Some(value)),
            Drop(key) => log.append(key, None),
            Trim => log.first = log.records.len(),
            Return(lost) => log.return_without(lost),
            Read(reader) => readers[reader].read(&log),
            Stop(reader) => readers[reader].stop(),
            Follow(reader) => follower.follow(&readers[reader]),
        }
        let expected = log.values_at(follower.next);
        assert!(
            follower.values == expected,
            "after step {index} of {steps:?}: got {:?}, expected {expected:?}",
            follower.values
        );
    }
}

macro_rules! follower_matches_store_tests {
    ($($(#[$doc:meta])* $name:ident: $steps:expr;)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                run_steps(&$steps);
            }
        )*
    };
}

follower_matches_store_tests! {
    /// Guards against routing requests to an evacuated failure domain.
    second_evacuation_is_received_from_a_reader_that_missed_the_drop: [
        Put("evacuated", "a"), Read(0), Stop(0), Drop("evacuated"), Read(1), Follow(1),
        Put("evacuated", "a"), Read(0), Follow(0),
    ];
    /// Guards against routing requests to an endpoint that no longer exists.
    endpoint_added_and_removed_within_a_gap_is_removed: [
        Put("other", "a"), Read(0), Stop(0), Put("endpoint", "a"), Read(1), Follow(1),
        Drop("endpoint"), Read(0), Follow(0),
    ];
    /// Guards against a failure domain that stays evacuated forever.
    second_drop_is_received_from_a_reader_that_missed_the_put: [
        Put("evacuated", "a"), Drop("evacuated"), Put("other", "a"), Read(0), Stop(0),
        Put("evacuated", "a"), Read(1), Follow(1), Drop("evacuated"), Read(0), Follow(0),
    ];
    /// Guards against an outdated value when the store trims the history that a reader hasn't read yet.
    value_changed_and_restored_within_trimmed_history_is_received: [
        Put("endpoint", "a"), Read(0), Put("endpoint", "b"), Read(1), Follow(1),
        Put("endpoint", "a"), Trim, Read(0), Follow(0),
    ];
    /// Guards against a follower whose offset of before a return lies below the end of the new log.
    records_written_after_a_return_below_a_followers_offset_are_received: [
        Put("k1", "a"), Put("k2", "a"), Put("k3", "a"), Read(0), Follow(0), Return(2),
        Put("k2", "b"), Put("other", "a"), Put("other", "b"), Read(0), Follow(0),
    ];
    /// Guards against a value that was lost in a return at a follower that had read it from another reader.
    lost_value_is_dropped_by_a_follower_that_switches_to_a_reader_without_it: [
        Put("k1", "a"), Read(0), Put("k1", "b"), Read(1), Follow(1), Return(1), Read(0), Follow(0),
    ];
    /// Guards against a key that was lost in a return, and that no reader had at its offset since.
    lost_key_is_dropped_by_a_follower: [
        Put("k1", "a"), Put("k2", "a"), Read(0), Follow(0), Return(1), Put("k3", "a"), Read(0), Follow(0),
    ];
    /// Guards against another value at the offset that a reader had before two returns.
    value_at_the_same_offset_after_two_returns_is_received: [
        Put("k1", "a"), Put("k2", "a"), Read(0), Follow(0), Return(1), Put("k2", "c"), Return(1),
        Put("k2", "b"), Read(0), Follow(0),
    ];
    /// Guards against a follower that goes back to an era that has ended.
    follower_ignores_a_reader_of_an_earlier_era: [
        Put("k1", "a"), Put("k2", "a"), Read(0), Read(1), Return(1), Put("k3", "a"), Read(1), Follow(1),
        Follow(0),
    ];
}

/// Guards against keeping a removed endpoint when the reader has had more gaps than it keeps separately.
#[test]
fn endpoint_removed_within_a_merged_gap_is_removed() {
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
    let gaps = std::iter::repeat_n(gap, 2 * MAX_GAPS).flatten();
    let end = [Read(0), Follow(0)];
    let steps: Vec<Step> = begin.into_iter().chain(gaps).chain(end).collect();
    run_steps(&steps);
}

fn step((kind, key, reader): (u8, u8, u8)) -> Step {
    let key = ["k1", "k2", "k3"][usize::from(key % 3)];
    let value = ["a", "b"][usize::from(reader % 2)];
    let reader = usize::from(reader % 3);
    match kind % 13 {
        0 | 1 => Put(key, value),
        2 | 3 => Drop(key),
        4 => Trim,
        5..=7 => Read(reader),
        8 => Stop(reader),
        12 => Return(reader),
        _ => Follow(reader),
    }
}

/// Guards against any sequence of readers that leaves a follower with outdated contents.
#[test]
fn follower_matches_the_store_after_any_sequence_of_readers() {
    check_property(bolero::produce::<Vec<(u8, u8, u8)>>(), |steps| {
        let steps: Vec<Step> = steps.iter().copied().map(step).collect();
        run_steps(&steps);
    });
}
