//! The state of one other node.

use std::time::Duration;

use sesamecart_vocabulary::Timestamp;

use crate::member::{Liveness, Member, Seed, Status};
use crate::settings::MembershipSettings;

/// The longest hold of a node that repeatedly goes down and returns.
const MAX_RETURN_HOLD: Duration = Duration::from_secs(80);

/// The state of one other node, as known to this node.
#[derive(Debug)]
pub(crate) struct Peer {
    pub(crate) seed: Seed,
    /// The newest update; `None` if the node is known only as a seed.
    pub(crate) member: Option<Member>,
    /// How often the newest update is still to be transmitted.
    pub(crate) pending_transmissions: u32,
    /// When a suspected node is marked as down.
    pub(crate) suspicion_deadline: Option<Timestamp>,
    /// Since when it has been down.
    pub(crate) down_since: Option<Timestamp>,
    /// The end of the last hold, during which a returned node may not own shards.
    pub(crate) hold_until: Timestamp,
    /// The length of the last hold.
    hold: Duration,
    /// Whether the VM list has ever shown it.
    was_listed: bool,
    /// Since when the VM list hasn't shown it any more.
    unlisted_since: Option<Timestamp>,
}

impl Peer {
    pub(crate) fn new(seed: Seed) -> Self {
        Self {
            seed,
            member: None,
            pending_transmissions: 0,
            suspicion_deadline: None,
            down_since: None,
            hold_until: Timestamp::ZERO,
            hold: Duration::ZERO,
            was_listed: false,
            unlisted_since: None,
        }
    }

    /// Applies an update if it is newer than the current one.
    pub(crate) fn apply_update(
        &mut self,
        update: &Member,
        transmissions: u32,
        suspicion_timeout: Duration,
        settings: &MembershipSettings,
        now: Timestamp,
    ) {
        if self
            .member
            .as_ref()
            .is_some_and(|known| !update.supersedes(known))
        {
            return;
        }
        self.pending_transmissions = transmissions;
        self.seed.address = update.address;
        match update.status {
            Status::Alive | Status::Leaving => {
                self.suspicion_deadline = None;
                self.start_return_hold(settings, now);
            }
            Status::Suspected => {
                self.suspicion_deadline
                    .get_or_insert(now + suspicion_timeout);
            }
            Status::Down => {
                self.suspicion_deadline = None;
                self.down_since.get_or_insert(now);
            }
        }
        self.member = Some(update.clone());
    }

    /// Starts the hold, during which a node that was down must stay healthy.
    ///
    /// Otherwise a node that goes down and returns every few seconds would take back its shards each time,
    /// and every move leaves them briefly without an owner. A return within a minute after the last hold
    /// doubles the next one.
    fn start_return_hold(&mut self, settings: &MembershipSettings, now: Timestamp) {
        if self.down_since.take().is_none() {
            return;
        }
        let is_repeated = now < self.hold_until + Duration::from_secs(60) && !self.hold.is_zero();
        self.hold = if is_repeated {
            (self.hold * 2).min(MAX_RETURN_HOLD)
        } else {
            settings.return_hold
        };
        self.hold_until = now + self.hold;
    }

    /// Restarts the time to refute a suspicion, because a message arrived from the node itself.
    ///
    /// The suspicion isn't cleared: other nodes have it too, and the node must receive it to refute it.
    pub(crate) fn extend_suspicion(&mut self, suspicion_timeout: Duration, now: Timestamp) {
        if let Some(deadline) = &mut self.suspicion_deadline {
            *deadline = (*deadline).max(now + suspicion_timeout);
        }
    }

    /// Records whether the VM list shows the node.
    pub(crate) fn update_listing(&mut self, is_listed: bool, now: Timestamp) {
        if is_listed {
            self.was_listed = true;
            self.unlisted_since = None;
        } else if self.was_listed {
            self.unlisted_since.get_or_insert(now);
        }
    }

    pub(crate) fn standing(
        &self,
        settings: &MembershipSettings,
        now: Timestamp,
    ) -> Option<Liveness> {
        let member = self.member.as_ref()?;
        let is_unlisted = self
            .unlisted_since
            .is_some_and(|since| now >= since + settings.list_lag);
        if self.down_since.is_some() && is_unlisted {
            return Some(Liveness::Gone);
        }
        if self.down_since.is_some() || now < self.hold_until {
            return Some(Liveness::Suspected);
        }
        match member.status {
            Status::Leaving => Some(Liveness::Leaving),
            Status::Alive | Status::Suspected => Some(Liveness::Live),
            Status::Down => Some(Liveness::Suspected),
        }
    }
}
