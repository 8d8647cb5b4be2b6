//! Marks groups as suspected or lost, and notifies the requests that depend on them.

use std::time::Duration;

use indexmap::IndexMap;
use sesamecart_fleet::{Directory, Endpoint, GroupKey};
use sesamecart_runtime::{Signal, Trigger};
use sesamecart_vocabulary::{EndpointId, Timestamp};

use crate::clock;
use crate::lock::lock;
use crate::state::EntryState;

/// How long a group stays marked as lost. By then its head has given up and reports this itself.
pub(super) const LOST_GROUP_TTL: Duration = Duration::from_secs(6);

/// Notifies the requests that depend on a group when the group is suspected or found lost.
#[derive(Debug)]
pub(super) struct GroupSignal {
    signal: Signal,
    trigger: Trigger,
    mark: Option<GroupMark>,
}

impl GroupSignal {
    fn is_expired(&self, now: Timestamp) -> bool {
        match self.mark {
            Some(GroupMark::Lost(at)) => now.since(at) > LOST_GROUP_TTL,
            Some(GroupMark::Suspected) | None => false,
        }
    }
}

/// Why a group gets no new requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum GroupMark {
    /// A member is silent. The group gets requests again once it answers.
    Suspected,
    /// It has lost a member, since this time.
    Lost(Timestamp),
}

impl EntryState {
    /// Returns the signal that is triggered when a group is suspected or found lost.
    pub(crate) fn group_signal(&self, key: &GroupKey) -> Signal {
        let mut signals = lock(&self.group_signals);
        drop_expired(&mut signals, clock::now(), key);
        if let Some(group) = signals.get(key) {
            return group.signal.clone();
        }
        let (trigger, signal) = Signal::new();
        let group = GroupSignal {
            signal: signal.clone(),
            trigger,
            mark: None,
        };
        signals.insert(key.clone(), group);
        signal
    }

    /// Marks a group as lost, so that its requests are moved to other endpoints immediately.
    pub(crate) fn mark_group_lost(&self, key: &GroupKey) {
        let now = clock::now();
        let _signal = self.group_signal(key);
        if let Some(group) = lock(&self.group_signals).get_mut(key) {
            group.mark = Some(GroupMark::Lost(now));
            group.trigger.set();
        }
    }

    /// Marks a group as suspected, so that its requests are moved where that is possible. Returns false if it
    /// is already marked.
    pub(crate) fn suspect_group(&self, key: &GroupKey) -> bool {
        let _signal = self.group_signal(key);
        let mut signals = lock(&self.group_signals);
        match signals.get_mut(key) {
            Some(group) if group.mark.is_none() => {
                group.mark = Some(GroupMark::Suspected);
                group.trigger.set();
                true
            }
            _ => false,
        }
    }

    /// Ends the suspicion of a group, which gets requests again.
    pub(crate) fn clear_suspicion(&self, key: &GroupKey) {
        let mut signals = lock(&self.group_signals);
        let mark = signals.get(key).and_then(|group| group.mark);
        if mark == Some(GroupMark::Suspected) {
            signals.swap_remove(key);
        }
    }

    /// Interrupts the requests at a group that this node can't reach, so that they are moved. The group isn't
    /// marked.
    pub(crate) fn interrupt_group(&self, key: &GroupKey) {
        let mut signals = lock(&self.group_signals);
        let is_unmarked = signals.get(key).is_some_and(|group| group.mark.is_none());
        if is_unmarked && let Some(group) = signals.swap_remove(key) {
            group.trigger.set();
        }
    }

    /// Returns whether the group of an endpoint was recently found lost.
    pub(crate) fn is_group_lost(&self, endpoint: &Endpoint) -> bool {
        matches!(
            self.group_mark(clock::now(), endpoint),
            Some(GroupMark::Lost(_))
        )
    }

    /// Returns whether the group of an endpoint gets no new requests, as it is suspected or lost.
    pub(crate) fn is_group_avoided(&self, endpoint: &Endpoint) -> bool {
        self.group_mark(clock::now(), endpoint).is_some()
    }

    pub(super) fn group_mark(&self, now: Timestamp, endpoint: &Endpoint) -> Option<GroupMark> {
        let key = endpoint.group_key()?;
        let mut signals = lock(&self.group_signals);
        drop_expired(&mut signals, now, &key);
        signals.get(&key).and_then(|group| group.mark)
    }

    /// Removes the signals of groups that are no longer in the directory, and expired losses.
    pub(super) fn prune_group_signals(&self, now: Timestamp, directory: &Directory) {
        lock(&self.group_signals)
            .retain(|key, group| !group.is_expired(now) && directory.members(key).next().is_some());
    }

    /// Records that a member of a group didn't answer a probe that started at `started_at`. Returns for how long
    /// it has been silent.
    pub(crate) fn record_silence(&self, started_at: Timestamp, member: &EndpointId) -> Duration {
        let mut silences = lock(&self.member_silences);
        silences.record_silence(clock::now(), started_at, member)
    }

    /// Records that a member of a group answered a probe.
    pub(crate) fn record_probe_answer(&self, member: &EndpointId) {
        lock(&self.member_silences).record_answer(member);
    }
}

/// Drops a group's signal with its mark if the mark has expired. A signal stays triggered, so that new requests need a
/// new one.
fn drop_expired(signals: &mut IndexMap<GroupKey, GroupSignal>, now: Timestamp, key: &GroupKey) {
    if signals.get(key).is_some_and(|group| group.is_expired(now)) {
        signals.swap_remove(key);
    }
}
