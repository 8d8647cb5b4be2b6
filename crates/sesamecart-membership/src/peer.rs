//! One other node as this node knows it.

use std::time::Duration;

use sesamecart_vocabulary::Timestamp;

use crate::member::{Member, Seed, Standing, Status};
use crate::settings::MembershipSettings;

/// The longest that a node which keeps going down is kept from duties after it returns.
const MAX_RETURN_HOLD: Duration = Duration::from_secs(80);

/// One other node as this node knows it.
#[derive(Debug)]
pub(crate) struct Peer {
    pub(crate) seed: Seed,
    /// The newest news; none if it was only named by a seed.
    pub(crate) member: Option<Member>,
    /// How often the newest news are still to be told.
    pub(crate) tellings: u32,
    /// When a suspicion turns into the node being down.
    pub(crate) deadline: Option<Timestamp>,
    /// Since when it is down.
    pub(crate) down_since: Option<Timestamp>,
    /// Until when it is kept from duties after it returned.
    pub(crate) held_until: Timestamp,
    /// How long the last such hold was, and when it ended.
    hold: Duration,
    /// Whether the VM list has ever shown it, and since when it doesn't any more.
    listed: bool,
    unlisted_since: Option<Timestamp>,
}

impl Peer {
    pub(crate) fn new(seed: Seed) -> Self {
        Self {
            seed,
            member: None,
            tellings: 0,
            deadline: None,
            down_since: None,
            held_until: Timestamp::ZERO,
            hold: Duration::ZERO,
            listed: false,
            unlisted_since: None,
        }
    }

    /// Takes news if they are newer than what is known.
    pub(crate) fn learn(
        &mut self,
        news: &Member,
        tellings: u32,
        suspicion: Duration,
        settings: &MembershipSettings,
        now: Timestamp,
    ) {
        if self
            .member
            .as_ref()
            .is_some_and(|known| !news.supersedes(known))
        {
            return;
        }
        self.tellings = tellings;
        self.seed.address = news.address;
        match news.status {
            Status::Alive | Status::Leaving => {
                self.deadline = None;
                self.come_back(settings, now);
            }
            Status::Suspected => {
                self.deadline.get_or_insert(now + suspicion);
            }
            Status::Down => {
                self.deadline = None;
                self.down_since.get_or_insert(now);
            }
        }
        self.member = Some(news.clone());
    }

    /// Begins the time in which a node that was down must stay well.
    ///
    /// A node that goes down and returns every few seconds would otherwise take its shards back each
    /// time, and every move leaves them without an owner for a moment. Each return within a minute
    /// of the last hold doubles the next one.
    fn come_back(&mut self, settings: &MembershipSettings, now: Timestamp) {
        if self.down_since.take().is_none() {
            return;
        }
        let again = now < self.held_until + Duration::from_secs(60) && !self.hold.is_zero();
        self.hold = if again {
            (self.hold * 2).min(MAX_RETURN_HOLD)
        } else {
            settings.return_hold
        };
        self.held_until = now + self.hold;
    }

    /// A message came from the node itself, which gives it the whole time to refute once more.
    ///
    /// The suspicion stands until then: others hold it too, and the node must be told to refute it.
    pub(crate) fn hear(&mut self, suspicion: Duration, now: Timestamp) {
        if let Some(deadline) = &mut self.deadline {
            *deadline = (*deadline).max(now + suspicion);
        }
    }

    /// Notes whether the VM list shows the node.
    pub(crate) fn list(&mut self, shown: bool, now: Timestamp) {
        if shown {
            self.listed = true;
            self.unlisted_since = None;
        } else if self.listed {
            self.unlisted_since.get_or_insert(now);
        }
    }

    pub(crate) fn standing(
        &self,
        settings: &MembershipSettings,
        now: Timestamp,
    ) -> Option<Standing> {
        let member = self.member.as_ref()?;
        let unlisted = self
            .unlisted_since
            .is_some_and(|since| now >= since + settings.list_lag);
        if self.down_since.is_some() && unlisted {
            return Some(Standing::Gone);
        }
        if self.down_since.is_some() || now < self.held_until {
            return Some(Standing::Suspected);
        }
        match member.status {
            Status::Leaving => Some(Standing::Leaving),
            Status::Alive | Status::Suspected => Some(Standing::Live),
            Status::Down => Some(Standing::Suspected),
        }
    }
}
