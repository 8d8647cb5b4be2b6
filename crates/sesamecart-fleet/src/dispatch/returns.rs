//! Refused callers and when they return.
//!
//! The load is that of callers who compete for too little room: if all of them return at once, they are refused
//! again. Those that return at their time go before new ones of the same urgency, and those that return earlier gain
//! nothing by it.

use std::collections::{BTreeMap, VecDeque};
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
const RATE_WINDOW: Duration = Duration::from_millis(500);

/// The length of the slots of time over which returns are spread.
const SLOT: Duration = Duration::from_millis(SLOT_MS);
const SLOT_MS: u64 = 100;

/// The number of different times within a slot.
const TIMES_PER_SLOT: u32 = 10;

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
    /// The number of callers by the slot of their return and their urgency.
    slots: BTreeMap<u64, BTreeMap<u8, u32>>,
    admitted: DecayingRate,
    new: IndexMap<u8, DecayingRate>,
}

impl Returns {
    pub(super) fn new() -> Self {
        Self {
            promises: IndexMap::new(),
            order: VecDeque::new(),
            slots: BTreeMap::new(),
            admitted: DecayingRate::new(RATE_WINDOW),
            new: IndexMap::new(),
        }
    }

    /// Records a new request. Returns the standing of its caller and the time since the caller was first refused.
    pub(super) fn record_asked(
        &mut self,
        now: Timestamp,
        caller: &Fingerprint,
        urgency: u8,
    ) -> (Standing, Duration) {
        self.forget_old(now);
        match self.promises.get(caller) {
            Some(promise) if promise.return_at <= now + EARLY_TOLERANCE => {
                let refused_for = now.since(promise.made_at);
                self.remove(caller);
                (Standing::Returned, refused_for)
            }
            Some(promise) => (Standing::Early, now.since(promise.made_at)),
            None => {
                let rate = self.new.entry(urgency);
                rate.or_insert_with(|| DecayingRate::new(RATE_WINDOW))
                    .record(now, 1.0);
                (Standing::New, Duration::ZERO)
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
        let delay = self.delay(now, urgency, room_after.max(MIN_DELAY), max_delay);
        let promise = Promise {
            made_at: now,
            return_at: now + delay,
            urgency,
        };
        self.insert(caller, promise);
        delay
    }

    /// Returns the time until the first slot with room, or until the one with the fewest callers that go before
    /// those of the urgency.
    fn delay(&self, now: Timestamp, urgency: u8, min: Duration, max: Duration) -> Duration {
        let room = self.room_per_s(now, urgency) * SLOT.as_secs_f64();
        let first = slot_of(now + min);
        let last = slot_of(now + max).max(first);
        let mut best = (first, u32::MAX);
        for slot in first..=last {
            let count = self.count_before(slot, urgency);
            if count < best.1 {
                best = (slot, count);
            }
            if f64::from(count) < room {
                break;
            }
        }
        let (slot, count) = best;
        let part = SLOT / TIMES_PER_SLOT * (count % TIMES_PER_SLOT);
        let return_at = Timestamp::from_millis(slot * SLOT_MS) + part;
        return_at.since(now).max(min).min(max)
    }

    fn count_before(&self, slot: u64, urgency: u8) -> u32 {
        let counts = self.slots.get(&slot).into_iter().flatten();
        let before = counts.filter(|(other, _)| **other <= urgency);
        before.map(|(_, count)| count).sum()
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
        let slot = self.slots.entry(slot_of(promise.return_at)).or_default();
        *slot.entry(promise.urgency).or_default() += 1;
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
        let slot = slot_of(promise.return_at);
        if let Some(counts) = self.slots.get_mut(&slot) {
            let count = counts.entry(promise.urgency).or_default();
            *count = count.saturating_sub(1);
            if counts.values().all(|count| *count == 0) {
                self.slots.remove(&slot);
            }
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

fn slot_of(at: Timestamp) -> u64 {
    at.as_millis() / SLOT_MS
}
