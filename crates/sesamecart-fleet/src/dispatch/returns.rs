//! Refused callers and when they return.
//!
//! The load is that of callers who compete for too little room: if all of them return at once, they are refused
//! again. Those that return at their time go before new ones of the same urgency, and those that return earlier gain
//! nothing by it.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;
use sesamecart_vocabulary::{Fingerprint, Timestamp};

use crate::decay::DecayingRate;

/// The number of refused callers in memory.
const MAX_PROMISES: usize = 8_192;

/// The time for which a caller is remembered after it may return.
const REMEMBERED_FOR: Duration = Duration::from_secs(2);

/// The time by which a return may be early: clocks and links differ.
const EARLY_TOLERANCE: Duration = Duration::from_millis(5);

/// The fraction of a caller's time up to which it honours the time of its return.
const MAX_TIME_FRACTION: u32 = 3;

/// The least time until a return. An earlier return meets the same load.
const MIN_DELAY: Duration = Duration::from_millis(50);

/// The fraction of the pool's rate that returning callers get if new ones ask for all of it.
const MIN_RETURN_FRACTION: f64 = 0.05;

/// The time constant of the pool's rates.
const RATE_WINDOW: Duration = Duration::from_secs(2);

/// The rank of a caller among those of its urgency.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Standing {
    /// It was refused and has returned at its time.
    Returned,
    /// It wasn't refused lately.
    New,
    /// It was refused and has returned before its time.
    Early,
}

#[derive(Clone, Copy, Debug)]
struct Promise {
    made_at: Timestamp,
    return_at: Timestamp,
    urgency: u8,
}

/// The refused callers of a pool.
#[derive(Clone, Debug)]
pub(super) struct Returns {
    promises: IndexMap<Fingerprint, Promise>,
    order: VecDeque<(Timestamp, Fingerprint)>,
    outstanding: IndexMap<u8, usize>,
    admitted: DecayingRate,
    new: IndexMap<u8, DecayingRate>,
}

impl Returns {
    pub(super) fn new() -> Self {
        Self {
            promises: IndexMap::new(),
            order: VecDeque::new(),
            outstanding: IndexMap::new(),
            admitted: DecayingRate::new(RATE_WINDOW),
            new: IndexMap::new(),
        }
    }

    /// Records a new request and returns the standing of its caller.
    pub(super) fn record_asked(
        &mut self,
        now: Timestamp,
        caller: &Fingerprint,
        urgency: u8,
    ) -> Standing {
        self.forget_old(now);
        match self.promises.get(caller) {
            Some(promise) if promise.return_at <= now + EARLY_TOLERANCE => {
                self.remove(caller);
                Standing::Returned
            }
            Some(_) => Standing::Early,
            None => {
                let rate = self.new.entry(urgency);
                rate.or_insert_with(|| DecayingRate::new(RATE_WINDOW))
                    .record(now, 1.0);
                Standing::New
            }
        }
    }

    /// Records a request that is sent to an endpoint.
    pub(super) fn record_admitted(&mut self, now: Timestamp, caller: &Fingerprint) {
        self.admitted.record(now, 1.0);
        self.remove(caller);
    }

    /// Returns when a refused caller may return. `room_after` is the time until a place is expected to be free.
    pub(super) fn promise(
        &mut self,
        now: Timestamp,
        caller: &Fingerprint,
        urgency: u8,
        room_after: Duration,
        time_left: Duration,
    ) -> Duration {
        let max_delay = time_left / MAX_TIME_FRACTION;
        if let Some(promise) = self.promises.get(caller) {
            return promise.return_at.since(now).min(max_delay);
        }
        let ahead = self
            .outstanding
            .iter()
            .filter(|(other, _)| **other <= urgency);
        let ahead: usize = ahead.map(|(_, count)| count).sum();
        let queue_s = ahead as f64 / self.room_per_s(now, urgency);
        let queue = Duration::try_from_secs_f64(queue_s).unwrap_or(max_delay);
        let delay = room_after
            .max(MIN_DELAY)
            .saturating_add(queue)
            .min(max_delay);
        self.insert(
            caller,
            Promise {
                made_at: now,
                return_at: now + delay,
                urgency,
            },
        );
        delay
    }

    /// Returns the rate at which the pool takes callers of an urgency that return.
    fn room_per_s(&self, now: Timestamp, urgency: u8) -> f64 {
        let admitted = self.admitted.per_s(now);
        let new = self.new.iter().filter(|(other, _)| **other <= urgency);
        let new: f64 = new.map(|(_, rate)| rate.per_s(now)).sum();
        (admitted - new)
            .max(MIN_RETURN_FRACTION * admitted)
            .max(1.0)
    }

    fn insert(&mut self, caller: &Fingerprint, promise: Promise) {
        *self.outstanding.entry(promise.urgency).or_default() += 1;
        self.promises.insert(*caller, promise);
        self.order.push_back((promise.made_at, *caller));
        while self.order.len() > MAX_PROMISES {
            self.forget_first();
        }
    }

    fn remove(&mut self, caller: &Fingerprint) {
        let Some(promise) = self.promises.swap_remove(caller) else {
            return;
        };
        if let Some(count) = self.outstanding.get_mut(&promise.urgency) {
            *count = count.saturating_sub(1);
        }
    }

    fn forget_old(&mut self, now: Timestamp) {
        while let Some((made_at, caller)) = self.order.front() {
            let promise = self.promises.get(caller);
            let is_current = |promise: &&Promise| promise.made_at == *made_at;
            let remembered_until = |promise: &Promise| promise.return_at + REMEMBERED_FOR;
            if promise
                .filter(is_current)
                .map(remembered_until)
                .is_some_and(|until| now < until)
            {
                break;
            }
            self.forget_first();
        }
    }

    fn forget_first(&mut self) {
        let Some((made_at, caller)) = self.order.pop_front() else {
            return;
        };
        if self
            .promises
            .get(&caller)
            .is_some_and(|promise| promise.made_at == made_at)
        {
            self.remove(&caller);
        }
    }
}
