//! The urgencies and latency targets of recent requests, and how often each of them is served.
//!
//! The load is that of routes with different urgency and targets which together ask for more than the pool can
//! serve. Requests with a long target would otherwise fill the endpoints up to it, so that none with a shorter one
//! could be served.

use std::time::Duration;

use indexmap::IndexMap;
use sesamecart_vocabulary::Timestamp;

use crate::decay::DecayingSum;

/// The time for which a class counts as asking after its last request.
const ACTIVE_FOR: Duration = Duration::from_secs(2);

/// The time constant over which served requests are compared.
const SERVICE_WINDOW: Duration = Duration::from_secs(4);

/// The fraction of the mean service below which a class is served like the most urgent one. No class may fall below a
/// quarter of the mean.
const MIN_SERVICE_FRACTION: f64 = 0.4;

/// The number of recent requests from which the service of a class can be told.
const MIN_ASKED: f64 = 3.0;

/// The difference in the served fractions of two classes of the same urgency that is left.
const EQUAL_SERVICE: f64 = 0.05;

/// The number of classes in memory. Those that asked longest ago are removed beyond it.
const MAX_CLASSES: usize = 64;

/// The urgency and latency target of a request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) struct Class {
    pub(super) urgency: u8,
    pub(super) target: Duration,
}

/// What goes before the requests of a class. The least goes first.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Precedence {
    /// The number of more urgent urgencies that ask.
    pub(super) urgencies_before: u8,
    /// Whether it is served more often than others of its urgency, whose targets are shorter.
    pub(super) is_ahead: bool,
}

#[derive(Clone, Copy, Debug)]
struct Service {
    asked_at: Timestamp,
    asked: DecayingSum,
    served: DecayingSum,
}

impl Service {
    fn fraction(&self, now: Timestamp) -> Option<f64> {
        let asked = self.asked.at(now);
        (asked >= MIN_ASKED).then(|| self.served.at(now) / asked)
    }
}

/// The classes of a pool.
#[derive(Clone, Debug, Default)]
pub(super) struct Classes(IndexMap<Class, Service>);

impl Classes {
    /// Records a new request.
    pub(super) fn record_asked(&mut self, now: Timestamp, class: Class) {
        let service = self.0.entry(class).or_insert_with(|| Service {
            asked_at: now,
            asked: DecayingSum::new(SERVICE_WINDOW),
            served: DecayingSum::new(SERVICE_WINDOW),
        });
        service.asked_at = now;
        if self.0.len() > MAX_CLASSES {
            let oldest = self.0.iter().min_by_key(|(_, service)| service.asked_at);
            if let Some(class) = oldest.map(|(class, _)| *class) {
                self.0.swap_remove(&class);
            }
        }
    }

    /// Records the decision about a request.
    pub(super) fn record_decided(&mut self, now: Timestamp, class: Class, is_served: bool) {
        if let Some(service) = self.0.get_mut(&class) {
            service.asked.add(now, 1.0);
            service.served.add(now, f64::from(u8::from(is_served)));
        }
    }

    /// Returns what goes before a class.
    pub(super) fn precedence(&self, now: Timestamp, class: Class) -> Precedence {
        if self.is_underserved(now, class) {
            return Precedence::default();
        }
        let more_urgent = self
            .active(now)
            .filter(|(other, _)| other.urgency < class.urgency);
        let mut urgencies: Vec<u8> = more_urgent.map(|(other, _)| other.urgency).collect();
        urgencies.sort_unstable();
        urgencies.dedup();
        Precedence {
            urgencies_before: urgencies.len() as u8,
            is_ahead: self.is_ahead(now, class),
        }
    }

    /// Returns whether the class is served more often than another one of the same urgency.
    fn is_ahead(&self, now: Timestamp, class: Class) -> bool {
        let Some(own) = self.fraction(now, class) else {
            return false;
        };
        let alike = self
            .active(now)
            .filter(|(other, _)| other.urgency == class.urgency);
        let mut fractions = alike.filter_map(|(_, service)| service.fraction(now));
        fractions.any(|other| own > other + EQUAL_SERVICE)
    }

    fn fraction(&self, now: Timestamp, class: Class) -> Option<f64> {
        self.0.get(&class).and_then(|service| service.fraction(now))
    }

    /// Returns the latency target that must still be held after a request of the class is admitted: the shortest
    /// one of those that are as urgent, or are served too seldom.
    pub(super) fn shared_target(&self, now: Timestamp, class: Class) -> Duration {
        let goes_before =
            |other: &Class| other.urgency <= class.urgency || self.is_underserved(now, *other);
        let others = self.active(now).map(|(other, _)| other).filter(goes_before);
        others
            .map(|other| other.target)
            .fold(class.target, Duration::min)
    }

    /// Returns whether a class is served far more seldom than all together.
    fn is_underserved(&self, now: Timestamp, class: Class) -> bool {
        let own = self.fraction(now, class);
        let asked: f64 = self.0.values().map(|service| service.asked.at(now)).sum();
        let served: f64 = self.0.values().map(|service| service.served.at(now)).sum();
        own.is_some_and(|own| own * asked < MIN_SERVICE_FRACTION * served)
    }

    fn active(&self, now: Timestamp) -> impl Iterator<Item = (Class, &Service)> {
        let is_active =
            move |(_, service): &(&Class, &Service)| now.since(service.asked_at) < ACTIVE_FOR;
        self.0
            .iter()
            .filter(is_active)
            .map(|(class, service)| (*class, service))
    }
}
