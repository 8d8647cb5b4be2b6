//! The ways of choosing a head.

use std::time::Duration;

use sesamecart_vocabulary::Timestamp;

use super::aged::{AgedNews, Selection};
use super::dispatched::{Dispatched, Dispatchers};
use super::divided::{Places, Subsets};
use super::news::History;
use super::shape::Shape;
use super::today::Today;
use super::{Arrival, RequestId};

/// A way of choosing a head.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Way {
    /// Without a dispatcher: `LoadTracker`, which hears some of the other nodes.
    OwnChoice,
    /// The better of two random heads, by predicted start.
    BestOfTwo,
    /// The best of a random subset of heads, by predicted start.
    BestOfSubset,
    /// The head with the fewest own requests in a fixed subset for each node, which rotates.
    FixedSubsets,
    /// Each place of a head belongs to one node.
    DividedPlaces,
    /// The best of all heads, by predicted start, with the node's own requests since the news.
    OwnSendsAdded,
    /// A random head, weighted by its room, with the node's own requests since the news.
    WeightedByRoom,
    /// One dispatcher for each part of the pool.
    Dispatcher,
    /// The same, with reports of starts and ends that are as old as the news.
    LateReports,
    /// Two dispatchers for each part, each asked by half of the nodes.
    TwoDispatchers,
    /// A dispatcher that is replaced by one that knows nothing for 0.5 s.
    ReplacedDispatcher,
}

impl Way {
    pub const ALL: [Self; 11] = [
        Self::OwnChoice,
        Self::BestOfTwo,
        Self::BestOfSubset,
        Self::FixedSubsets,
        Self::DividedPlaces,
        Self::OwnSendsAdded,
        Self::WeightedByRoom,
        Self::Dispatcher,
        Self::LateReports,
        Self::TwoDispatchers,
        Self::ReplacedDispatcher,
    ];
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    Send(usize),
    Refuse,
}

/// The messages of all nodes together.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    pub messages: f64,
    pub bytes: f64,
}

/// All nodes' decisions in one way.
#[derive(Debug)]
pub enum Decider {
    Today(Today),
    Aged(AgedNews),
    Subsets(Subsets),
    Places(Places),
    Dispatched(Box<Dispatched>),
}

impl Decider {
    pub fn new(way: Way, shape: &Shape, age: Duration, seed: u64) -> Self {
        let aged = |selection| Self::Aged(AgedNews::new(selection, shape, age, seed));
        let dispatched = |kind, report_delay| {
            Self::Dispatched(Box::new(Dispatched::new(kind, shape, report_delay, seed)))
        };
        match way {
            Way::OwnChoice => Self::Today(Today::new(shape, age, seed)),
            Way::BestOfTwo => aged(Selection::BestOf(2)),
            Way::BestOfSubset => aged(Selection::BestOf(5)),
            Way::FixedSubsets => Self::Subsets(Subsets::new(shape, seed)),
            Way::DividedPlaces => Self::Places(Places::new(shape)),
            Way::OwnSendsAdded => aged(Selection::BestWithOwnSends),
            Way::WeightedByRoom => aged(Selection::WeightedByRoom),
            Way::Dispatcher => dispatched(Dispatchers::One, Duration::ZERO),
            Way::LateReports => dispatched(Dispatchers::One, age),
            Way::TwoDispatchers => dispatched(Dispatchers::Two, Duration::ZERO),
            Way::ReplacedDispatcher => dispatched(Dispatchers::Replaced, Duration::ZERO),
        }
    }

    /// Decides about a new request, at once or by [`Self::wake`].
    pub fn arrive(
        &mut self,
        now: Timestamp,
        arrival: &Arrival,
        history: &History,
    ) -> Option<Verdict> {
        match self {
            Self::Today(today) => Some(today.choose(now, arrival.node)),
            Self::Aged(aged) => Some(aged.choose(now, arrival, history)),
            Self::Subsets(subsets) => Some(subsets.choose(now, arrival.node)),
            Self::Places(places) => Some(places.choose(arrival)),
            Self::Dispatched(dispatched) => {
                dispatched.ask(now, arrival);
                None
            }
        }
    }

    /// Returns when [`Self::wake`] has to be called next.
    pub fn next_wake(&self) -> Option<Timestamp> {
        match self {
            Self::Dispatched(dispatched) => dispatched.next_wake(),
            Self::Today(_) | Self::Aged(_) | Self::Subsets(_) | Self::Places(_) => None,
        }
    }

    /// Returns the decisions that have been made by now.
    pub fn wake(&mut self, now: Timestamp) -> Vec<(RequestId, Verdict)> {
        match self {
            Self::Dispatched(dispatched) => dispatched.wake(now),
            Self::Today(_) | Self::Aged(_) | Self::Subsets(_) | Self::Places(_) => Vec::new(),
        }
    }

    pub fn record_sent(&mut self, now: Timestamp, arrival: &Arrival, head: usize) {
        match self {
            Self::Today(today) => today.record_sent(now, arrival.node, head),
            Self::Aged(aged) => aged.record_sent(now, arrival, head),
            Self::Subsets(subsets) => subsets.record_sent(arrival.node, head),
            Self::Places(_) => {}
            Self::Dispatched(dispatched) => dispatched.record_sent(now, arrival, head),
        }
    }

    /// Records a first event, with the running and waiting requests that the head reports.
    pub fn record_start(
        &mut self,
        now: Timestamp,
        arrival: &Arrival,
        head: usize,
        reported: (usize, usize),
    ) {
        match self {
            Self::Today(today) => today.record_start(now, arrival.node, head, reported),
            Self::Aged(aged) => aged.record_start(now, arrival, head),
            Self::Subsets(_) | Self::Places(_) => {}
            Self::Dispatched(dispatched) => dispatched.record_start(now, arrival),
        }
    }

    pub fn record_end(&mut self, now: Timestamp, arrival: &Arrival, head: usize) {
        match self {
            Self::Today(today) => today.record_end(now, arrival.node, head),
            Self::Aged(aged) => aged.record_end(now, arrival, head),
            Self::Subsets(subsets) => subsets.record_end(arrival.node, head),
            Self::Places(places) => places.record_end(arrival),
            Self::Dispatched(dispatched) => dispatched.record_end(now, arrival),
        }
    }

    /// Returns the messages of all nodes within `time`.
    pub fn traffic(&self, shape: &Shape, age: Duration, time: Duration) -> Traffic {
        let rounds = time.as_secs_f64() / age.as_secs_f64();
        match self {
            Self::Today(_) => Today::traffic(shape, rounds),
            Self::Aged(_) => AgedNews::traffic(shape, rounds),
            Self::Subsets(_) | Self::Places(_) => Traffic::default(),
            Self::Dispatched(dispatched) => dispatched.traffic(),
        }
    }
}
